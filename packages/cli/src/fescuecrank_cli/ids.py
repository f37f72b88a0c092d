"""Identifiers that carry their time of creation."""

import secrets
import time
import uuid

_RANDOM_BITS = 74
_VERSION = 7
_VARIANT = 0b10


def uuid7() -> str:
    """Return a new UUIDv7 (RFC 9562, section 5.7) as text."""
    wall_ms = time.time_ns() // 1_000_000
    random = secrets.randbits(_RANDOM_BITS)
    high, low = random >> 62, random & ((1 << 62) - 1)
    value = (wall_ms & ((1 << 48) - 1)) << 80 | _VERSION << 76 | high << 64 | _VARIANT << 62 | low
    return str(uuid.UUID(int=value))
