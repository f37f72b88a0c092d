"""Identifiers of requests, records and traces."""

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


def new_trace_id() -> str:
    """Return a random trace id of W3C Trace Context, which must not be all zeros."""
    return f"{secrets.randbits(127) + 1:032x}"


def traceparent(trace_id: str) -> str:
    """Return the `traceparent` header of a sampled trace whose root span is the caller's."""
    return f"00-{trace_id}-{secrets.randbits(63) + 1:016x}-01"
