"""The machine's clocks."""

import time

from fescuecrank_core.clock import Clock, Instant

NS_PER_MS = 1_000_000


class SystemClock(Clock):
    """Reads the clocks of the machine.

    The monotonic reading includes time that the machine was suspended; without it an entry that
    resumes would believe that it is still current.
    """

    def now(self) -> Instant:
        """Return the current instant."""
        mono_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return Instant(mono_ns // NS_PER_MS, time.time_ns() // NS_PER_MS)
