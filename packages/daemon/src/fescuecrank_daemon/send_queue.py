"""Bounded queue of encoded messages for one peer."""

import asyncio
from collections import deque

from fescuecrank_daemon.peer_frames import NO_STAMP, Frame


class SendQueue:
    """Drops the oldest messages beyond its limits on count and bytes.

    Newer messages replace what older ones said, and senders repeat what they need answered.
    """

    def __init__(self, max_messages: int, max_bytes: int) -> None:
        self._max_messages = max_messages
        self._max_bytes = max_bytes
        self._frames: deque[Frame] = deque()
        self._bytes = 0
        self._filled = asyncio.Event()

    def put(self, frame: Frame) -> int:
        """Add a frame; return how many were dropped."""
        self._frames.append(frame)
        self._bytes += len(frame.payload)
        dropped = 0
        while len(self._frames) > self._max_messages or self._bytes > self._max_bytes:
            self._bytes -= len(self._frames.popleft().payload)
            dropped += 1
        if self._frames:
            self._filled.set()
        return dropped

    async def get(self) -> Frame:
        """Wait for a frame and remove it."""
        while not self._frames:
            self._filled.clear()
            await self._filled.wait()
        frame = self._frames.popleft()
        self._bytes -= len(frame.payload)
        return frame

    def forget_stamps(self) -> None:
        """Mark all frames as older than the connection that will carry them."""
        self._frames = deque(Frame(NO_STAMP, frame.payload) for frame in self._frames)

    def __len__(self) -> int:
        return len(self._frames)
