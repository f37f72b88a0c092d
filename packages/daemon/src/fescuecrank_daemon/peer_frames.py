"""Frames on a connection between entries, after authentication.

The accepting side sends stamps, which are readings of its own monotonic clock. The dialling side
puts the last stamp it has seen before each message, so that the accepting side knows an upper bound
of the message's age, whatever time the message spent in queues and buffers on its way.
"""

import struct

import attrs

_STAMP = struct.Struct(">q")
STAMP_BYTES = _STAMP.size

# Stands before messages that were queued under an earlier connection: their age has no bound.
NO_STAMP = -1


@attrs.frozen
class Frame:
    """One frame of the dialling side; an empty payload is a heartbeat of the connection."""

    stamp: int
    payload: bytes = b""

    def encode(self) -> bytes:
        """Return the bytes of the frame."""
        return _STAMP.pack(self.stamp) + self.payload


def decode_frame(data: bytes) -> Frame | None:
    """Return the frame in `data`, or None if it is too short."""
    if len(data) < STAMP_BYTES:
        return None
    return Frame(_STAMP.unpack_from(data)[0], data[STAMP_BYTES:])
