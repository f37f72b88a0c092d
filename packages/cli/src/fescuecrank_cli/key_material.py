"""Generates keys for teams and operators; only a salted hash of a key is ever published."""

import hashlib
import hmac
import secrets

import attrs

KEY_ID_BYTES = 9
SECRET_BYTES = 32
SALT_BYTES = 16


@attrs.frozen
class NewKey:
    """A generated key that is not granted yet; `secret` is not part of the grant."""

    key_id: str
    secret: str = attrs.field(repr=False)
    salt: bytes
    digest: bytes


def new_key() -> NewKey:
    """Return a random key with the HMAC-SHA-256 of the whole secret under a new salt."""
    key_id = secrets.token_hex(KEY_ID_BYTES)
    secret = f"{key_id}.{secrets.token_urlsafe(SECRET_BYTES)}"
    salt = secrets.token_bytes(SALT_BYTES)
    digest = hmac.new(salt, secret.encode(), hashlib.sha256).digest()
    return NewKey(key_id, secret, salt, digest)
