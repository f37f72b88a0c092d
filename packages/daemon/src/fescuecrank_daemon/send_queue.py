"""Bounded queue of encoded messages for one peer."""

import asyncio
from collections import deque

from fescuecrank_daemon.peer_frames import NO_TIMESTAMP, Frame


class SendQueue:
    """Drops the oldest messages beyond its limits on count and bytes.

    Messages may be lost: newer ones supersede older ones, and senders repeat those that need an
    answer.
    """

    def __init__(self, max_messages: int, max_bytes: int) -> None:
        self._max_messages = max_messages
        self._max_bytes = max_bytes
        self._frames: deque[Frame] = deque()
        self._payload_bytes = 0
        self._not_empty = asyncio.Event()

    def put(self, frame: Frame) -> int:
        """Add a frame and return how many frames were dropped."""
        self._frames.append(frame)
        self._payload_bytes += len(frame.payload)
        dropped = 0
        while len(self._frames) > self._max_messages or self._payload_bytes > self._max_bytes:
            self._payload_bytes -= len(self._frames.popleft().payload)
            dropped += 1
        if self._frames:
            self._not_empty.set()
        return dropped

    async def get(self) -> Frame:
        """Wait for a frame and remove it."""
        while not self._frames:
            self._not_empty.clear()
            await self._not_empty.wait()
        frame = self._frames.popleft()
        self._payload_bytes -= len(frame.payload)
        return frame

    def clear_timestamps(self) -> None:
        """Mark all frames as queued during an earlier connection."""
        self._frames = deque(Frame(NO_TIMESTAMP, frame.payload) for frame in self._frames)

    def __len__(self) -> int:
        return len(self._frames)
