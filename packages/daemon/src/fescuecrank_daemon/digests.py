"""The `Repr-Digest` header of RFC 9530."""

import base64
import binascii
import hashlib

PREFIX = "sha-256=:"


def repr_digest(body: bytes) -> str:
    """Return the header value for a body."""
    return f"{PREFIX}{base64.b64encode(hashlib.sha256(body).digest()).decode()}:"


def parse_repr_digest(header: str) -> str | None:
    """Return the SHA-256 in a header value as hex, or None if the value is malformed."""
    if not (header.startswith(PREFIX) and header.endswith(":")):
        return None
    try:
        return base64.b64decode(header[len(PREFIX) : -1], validate=True).hex()
    except (binascii.Error, ValueError):
        return None
