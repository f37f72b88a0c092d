"""Submissions of which this process cannot say that they were not accepted.

An append or a forwarded request without an answer may be carried out seconds later. Until the job
is read from the store, a refusal of a repeated submission would say of the same job that it never
runs.
"""

import attrs

# Jobs that are remembered; the oldest are forgotten first. What stays are jobs that were accepted
# and not submitted again, and jobs that were never stored and whose callers gave up.
MAX_OPEN_SUBMISSIONS = 10_000


@attrs.define
class Attempts:
    """Attempts to store one job through this process."""

    # Attempts that were not refused for certain.
    open_count: int = 0
    # When the job was accepted, on the steady clock; None if it is not known to be. Its team.
    accepted_ms: int | None = None
    team: str = ""


@attrs.define
class OpenSubmissions:
    """Jobs that may have been accepted through this process, by their host and path."""

    _attempts: dict[tuple[str, str], Attempts] = attrs.field(factory=dict)

    def begin(self, host: str, path: str) -> None:
        """Count an attempt that is about to be made."""
        attempts = self._attempts.pop((host, path), None) or Attempts()
        attempts.open_count += 1
        self._attempts[host, path] = attempts
        if len(self._attempts) > MAX_OPEN_SUBMISSIONS:
            del self._attempts[next(iter(self._attempts))]

    def refused(self, host: str, path: str) -> None:
        """Take back an attempt that was refused for certain."""
        attempts = self._attempts.get((host, path))
        if attempts is None:
            return
        attempts.open_count -= 1
        if attempts.open_count <= 0 and attempts.accepted_ms is None:
            self.settle(host, path)

    def accept(self, host: str, path: str, now_ms: int, team: str = "") -> None:
        """Note that the job was accepted, for a team."""
        attempts = self._attempts.setdefault((host, path), Attempts())
        attempts.accepted_ms, attempts.team = now_ms, team

    def accepted_ms(self, host: str, path: str) -> int | None:
        """Return when the job was accepted; None if it is not known to be."""
        attempts = self._attempts.get((host, path))
        return attempts.accepted_ms if attempts is not None else None

    def accepted_team(self, host: str, path: str) -> str:
        """Return the team of an accepted job, or the empty string."""
        attempts = self._attempts.get((host, path))
        return attempts.team if attempts is not None else ""

    def settle(self, host: str, path: str) -> None:
        """Forget a job of which the local copy of the store tells what became."""
        self._attempts.pop((host, path), None)

    def may_be_accepted(self, host: str, path: str) -> bool:
        """Return whether an attempt to store the job was not refused for certain."""
        return (host, path) in self._attempts
