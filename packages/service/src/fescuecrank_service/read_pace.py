"""How much a reader asks for at a time, when it tries again, and which reader goes first.

Load pattern: after an outage all processes read at the same time what they missed, each over a link
that may carry less than 1 MB a second.
"""

import asyncio
import random
from collections.abc import Callable

import attrs

# Size of a page: the first one after a loss, and its limits. The largest is the store's default.
FIRST_PAGE_KB = 64
MIN_PAGE_KB = 16
MAX_PAGE_KB = 1_024

# Pages are sized so that one takes about this long; a read of another stream waits for one page.
PAGE_TARGET_MS = 250

# Pause after a failed read, and the factor by which it grows while reads fail.
READ_RETRY_MS = 150
RETRY_GROWTH = 1.5

# Largest pause. With three streams a process makes at most 7 calls a second to a store that is
# down; it finds within the first of these times that the store is back.
MAX_CONFIG_RETRY_MS = 300
MAX_RETRY_MS = 600

# The same while the store answers that it gets too many calls.
MAX_THROTTLED_RETRY_MS = 1_000

# Pauses vary by this fraction, so that the calls of many processes spread.
RETRY_JITTER = 0.2

# How long the other readers wait for the configuration's, at most. Over a link that needs longer
# than that for one configuration, all share what it carries.
CONFIG_FIRST_MS = 3_000


@attrs.define
class PageSize:
    """Size of the pages of one stream, which follows the time that they take."""

    kb: int = FIRST_PAGE_KB

    def record(self, transfer_ms: int, count: int, more: bool) -> None:
        """Note a page of `count` records that took `transfer_ms`; `more` if others follow."""
        if transfer_ms > 2 * PAGE_TARGET_MS:
            self.kb = max(MIN_PAGE_KB, self.kb // 2)
        elif more and (transfer_ms < PAGE_TARGET_MS or not count):
            # A page without records although there are some is smaller than the first of them.
            self.kb = min(MAX_PAGE_KB, 2 * self.kb)

    def record_failure(self, received: int) -> None:
        """Note a read that failed after `received` bytes."""
        self.kb = min(FIRST_PAGE_KB, max(MIN_PAGE_KB, self.kb // 2) if received else self.kb)


@attrs.define
class RetryPause:
    """Pauses between the attempts of one reader while its reads fail."""

    max_ms: int = MAX_RETRY_MS
    jitter: Callable[[], float] = random.random
    _pause_ms: float = READ_RETRY_MS

    def reset(self) -> None:
        """Note a read that succeeded."""
        self._pause_ms = READ_RETRY_MS

    def next_ms(self, throttled: bool) -> float:
        """Return the pause before the next attempt."""
        pause_ms = self._pause_ms * (1 + RETRY_JITTER * (2 * self.jitter() - 1))
        limit_ms = MAX_THROTTLED_RETRY_MS if throttled else self.max_ms
        self._pause_ms = min(limit_ms, self._pause_ms * RETRY_GROWTH)
        return pause_ms


class ReadOrder:
    """Lets the reads of the configuration go before those of the other streams.

    While its reader knows that it is behind, or receives a response, the others begin no read.
    """

    def __init__(self) -> None:
        self._free = asyncio.Event()
        self._free.set()
        self._held_since_s = 0.0

    @property
    def held(self) -> bool:
        """Whether the other readers wait."""
        return not self._free.is_set()

    def hold(self) -> None:
        """Keep the other readers from beginning a read."""
        if not self.held:
            self._held_since_s = asyncio.get_running_loop().time()
            self._free.clear()

    def release(self) -> None:
        """Let the other readers go on."""
        self._free.set()

    async def wait(self) -> None:
        """Wait until the configuration has been read, at most for `CONFIG_FIRST_MS`."""
        if not self.held:
            return
        try:
            async with asyncio.timeout_at(self._held_since_s + CONFIG_FIRST_MS / 1_000):
                await self._free.wait()
        except TimeoutError:
            return
