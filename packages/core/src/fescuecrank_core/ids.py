"""Identifiers: ids of records and tasks, and the time stamps in UUIDv7 request ids."""

import uuid

UUID_VERSION_7 = 7
UUID7_TIME_SHIFT = 80


class IdGenerator:
    """Generates unique ids for one incarnation of an entry."""

    def __init__(self, name: str, incarnation: int) -> None:
        self._prefix = f"{name}.{incarnation}"
        self._count = 0

    def next(self, kind: str) -> str:
        """Return a new id; `kind` is only there for readers of logs."""
        self._count += 1
        return f"{self._prefix}.{kind}{self._count}"


def uuid7_wall_ms(text: str) -> int | None:
    """Return the creation time in a UUIDv7 (RFC 9562) in ms since the epoch, else None."""
    try:
        value = uuid.UUID(text)
    except ValueError:
        return None
    if value.version != UUID_VERSION_7:
        return None
    return value.int >> UUID7_TIME_SHIFT
