"""Keys of teams and operators: salted hashes, compared in constant time.

A secret is `<key_id>.<random>`. Secrets are long and random, so one HMAC-SHA-256 with a random salt
suffices; a slow password hash would cost time on each request and add no security.
"""

import hashlib
import hmac

from fescuecrank_core.ledger_state import Key

SECRET_SEPARATOR = "."
NO_KEY_DIGEST = bytes(hashlib.sha256().digest_size)


def key_id_of(secret: str) -> str:
    """Return the public part of a secret, or the empty string if it has none."""
    key_id, separator, random_part = secret.partition(SECRET_SEPARATOR)
    return key_id if separator and random_part else ""


def digest_of(secret: str, salt: bytes) -> bytes:
    """Return the salted digest of a secret, which is published instead of the secret."""
    return hmac.new(salt, secret.encode(), hashlib.sha256).digest()


def verify_secret(secret: str, key: Key | None) -> bool:
    """Return whether a secret belongs to this key.

    An unknown key takes as much time as a wrong secret, so that timing does not reveal key ids.
    """
    salt = key.salt if key else b""
    expected = key.digest if key else NO_KEY_DIGEST
    equal = hmac.compare_digest(digest_of(secret, salt), expected)
    return equal and key is not None
