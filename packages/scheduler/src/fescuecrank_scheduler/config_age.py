"""Age of the configuration that a process decides with.

Load pattern: after an outage, the configuration is the last thing that a process on a slow link has
read again, while it accepts requests already.

The rule for a configuration that is too old: a request is passed on to the leader if that is
possible. Otherwise the process serves what its configuration allows, as callers are better served
by that than by no answer during an outage; but it doesn't say that a route or a key does not exist,
which may be new. It answers with 503 instead.
"""

import attrs

from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.events import Event


@attrs.frozen
class ConfigChecked(Event):
    """The configuration has been read, changed or not.

    No version that was stored at `as_of_ms` is missing.
    """

    as_of_ms: int


@attrs.define
class ConfigAge:
    """As of when the configuration is known to be complete."""

    max_ms: int
    as_of_ms: int | None = None

    def age_ms(self, now: Now) -> int | None:
        """Return the age, or None before the configuration has been read."""
        return now.mono_ms - self.as_of_ms if self.as_of_ms is not None else None

    def too_old(self, now: Now) -> bool:
        """Return whether a version may be missing that has to be in force by now."""
        age_ms = self.age_ms(now)
        return age_ms is not None and age_ms > self.max_ms
