"""Jobs that may have tasks to start, by queue.

A burst in one pool leaves hundreds of jobs waiting there, while runs end in all pools. A placement
pass reads only the jobs of the pools in which something has changed.
"""

import attrs

from fescuecrank_scheduler.jobs import Job


@attrs.define
class WaitingJobs:
    """Ids of waiting jobs, in the order in which they came."""

    _by_queue: dict[str, dict[str, None]] = attrs.field(factory=dict)

    def __bool__(self) -> bool:
        return any(self._by_queue.values())

    def add(self, job: Job) -> None:
        """Add a job."""
        self._by_queue.setdefault(job.queue, {})[job.id] = None

    def discard(self, job: Job) -> None:
        """Remove a job, if it is waiting."""
        self._by_queue.get(job.queue, {}).pop(job.id, None)

    def queues(self) -> list[str]:
        """Return the names of the queues with waiting jobs."""
        return [name for name, ids in self._by_queue.items() if ids]

    def in_queue(self, queue: str) -> list[str]:
        """Return the ids of the waiting jobs of a queue."""
        return list(self._by_queue.get(queue, ()))
