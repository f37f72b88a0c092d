"""Frames on a connection between entries, after authentication.

The accepting side sends timestamps, which are readings of its own monotonic clock. The dialling
side echoes the latest one in front of each message. This gives the accepting side an upper bound of
the message's age, which includes the time that the message spent in queues and buffers.
"""

import struct

import attrs

_TIMESTAMP = struct.Struct(">q")
TIMESTAMP_BYTES = _TIMESTAMP.size

# Precedes messages that were queued during an earlier connection, whose age is not bounded.
NO_TIMESTAMP = -1


@attrs.frozen
class Frame:
    """A timestamp and an encoded message; without a message, the frame is a heartbeat."""

    timestamp: int
    payload: bytes = b""

    def encode(self) -> bytes:
        """Encode the frame."""
        return _TIMESTAMP.pack(self.timestamp) + self.payload


def decode_frame(data: bytes) -> Frame | None:
    """Decode a frame; None if `data` is too short."""
    if len(data) < TIMESTAMP_BYTES:
        return None
    return Frame(_TIMESTAMP.unpack_from(data)[0], data[TIMESTAMP_BYTES:])
