"""System clock of the entry."""

import time

from fescuecrank_core.clock import Clock, Instant

NS_PER_MS = 1_000_000


class SystemClock(Clock):
    """Reads the monotonic and the wall clock of the machine.

    The monotonic clock is `CLOCK_BOOTTIME`, which includes time in suspend. With a clock that stops
    during suspend, an entry would treat its state as current after a resume.
    """

    def now(self) -> Instant:
        """Return the current instant."""
        mono_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return Instant(mono_ns // NS_PER_MS, time.time_ns() // NS_PER_MS)
