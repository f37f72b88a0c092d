"""Clocks in milliseconds: monotonic time for time-outs and wall time for dates."""

from abc import ABC, abstractmethod

import attrs


@attrs.frozen
class Instant:
    """One reading of both clocks, in milliseconds.

    `mono_ms` never decreases and is comparable only with other readings of the same process.
    `wall_ms` counts from the Unix epoch and is comparable with dates and with other machines.
    """

    mono_ms: int
    wall_ms: int

    def after(self, duration_ms: int) -> "Instant":
        """Return the instant `duration_ms` later."""
        return Instant(self.mono_ms + duration_ms, self.wall_ms + duration_ms)


class Clock(ABC):
    """Source of instants."""

    @abstractmethod
    def now(self) -> Instant:
        """Return the current instant."""


class ManualClock(Clock):
    """Clock that advances only on request, for tests and benchmarks in virtual time."""

    def __init__(self, mono_ms: int = 0, wall_ms: int = 1_700_000_000_000) -> None:
        self._now = Instant(mono_ms, wall_ms)

    def now(self) -> Instant:
        """Return the current virtual instant."""
        return self._now

    def advance(self, duration_ms: int) -> Instant:
        """Advance both readings by `duration_ms` and return the new instant."""
        self._now = self._now.after(duration_ms)
        return self._now
