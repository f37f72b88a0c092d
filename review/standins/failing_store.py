"""A store that goes down: it stops answering, then resets its channels and answers 503."""

import asyncio

from store import Store
from web import ConnectionDroppedError

# Length of the outage; the sheets of the sites play outages of the store of up to 4.5 s.
OUTAGE_S = 3.0
# For how long, at its beginning, the store carries out calls without answering them.
STALL_S = 0.1


class FailingStore(Store):
    """What it carries out at the beginning of an outage gets no answer."""

    def __init__(self) -> None:
        super().__init__()
        self._down: asyncio.Event | None = None
        # Appends with records that were carried out and not answered.
        self.unanswered = 0

    async def handle(self, method, target, headers, body):
        answer = await super().handle(method, target, headers, body)
        if self._down is not None:
            self.unanswered += answer[0] == 200 and method == "POST" and bool(body)
            await self._down.wait()
            raise ConnectionDroppedError
        return answer

    async def go_down(self) -> None:
        """Stop answering, reset all channels, and answer with 503 until the end of the outage."""
        down = self._down = asyncio.Event()
        await asyncio.sleep(STALL_S)
        self.busy, self._down = True, None
        down.set()
        self.reset_all()
        await asyncio.sleep(OUTAGE_S)
        self.busy = False
