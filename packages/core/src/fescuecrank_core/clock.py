"""Clocks in milliseconds: a monotonic reading for time-outs and a wall reading for dates."""

from abc import ABC, abstractmethod

import attrs


@attrs.frozen
class Instant:
    """One reading of both clocks, in milliseconds.

    `mono_ms` only ever grows and is compared with other readings of the same process.
    `wall_ms` counts from the Unix epoch and is compared with dates and with other machines.
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
    """Clock that moves only when told to, for tests and benchmarks in virtual time."""

    def __init__(self, mono_ms: int = 0, wall_ms: int = 1_700_000_000_000) -> None:
        self._now = Instant(mono_ms, wall_ms)

    def now(self) -> Instant:
        """Return the instant that the last call of `advance` left."""
        return self._now

    def advance(self, duration_ms: int) -> Instant:
        """Move both readings forward by `duration_ms` and return the new instant."""
        self._now = self._now.after(duration_ms)
        return self._now
