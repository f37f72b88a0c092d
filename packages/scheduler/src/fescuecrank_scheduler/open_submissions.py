"""Submissions of which this process cannot say that they were not accepted.

An append or a forwarded request without an answer may be carried out seconds later. Until the job
is read from the store, a refusal of a repeated submission would say of the same job that it never
runs.
"""

import attrs

# Jobs that are remembered; the oldest are forgotten first. A job leaves when its record is read,
# so what stays are jobs that were never stored and whose callers gave up.
MAX_OPEN_SUBMISSIONS = 10_000

# Stands for the attempts of a job that was accepted.
ACCEPTED = 0


@attrs.define
class OpenSubmissions:
    """Jobs that may have been accepted through this process, by their host and path.

    Each attempt to store a job counts until it was refused for certain. Of a job that was accepted
    it is known that it will be read, whatever becomes of further attempts.
    """

    _attempts: dict[tuple[str, str], int] = attrs.field(factory=dict)

    def begin(self, host: str, path: str) -> None:
        """Count an attempt that is about to be made."""
        key = (host, path)
        attempts = self._attempts.pop(key, None)
        self._attempts[key] = ACCEPTED if attempts == ACCEPTED else (attempts or 0) + 1
        if len(self._attempts) > MAX_OPEN_SUBMISSIONS:
            del self._attempts[next(iter(self._attempts))]

    def refused(self, host: str, path: str) -> None:
        """Take back an attempt that was refused for certain."""
        attempts = self._attempts.get((host, path), ACCEPTED)
        if attempts > 1:
            self._attempts[host, path] = attempts - 1
        elif attempts == 1:
            self.settle(host, path)

    def accept(self, host: str, path: str) -> None:
        """Note that the job was accepted."""
        self._attempts[host, path] = ACCEPTED

    def accepted(self, host: str, path: str) -> bool:
        """Return whether the job was accepted through this process, as far as is remembered."""
        return self._attempts.get((host, path)) == ACCEPTED

    def settle(self, host: str, path: str) -> None:
        """Forget a job whose record has been read."""
        self._attempts.pop((host, path), None)

    def may_be_accepted(self, host: str, path: str) -> bool:
        """Return whether an attempt to store the job was not refused for certain."""
        return (host, path) in self._attempts
