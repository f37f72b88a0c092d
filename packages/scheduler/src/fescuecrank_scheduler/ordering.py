"""Order in which jobs get room.

Load pattern: each queue in turn asks several times the room of its pool for some seconds. Jobs that
can still end on time go first, by the time at which they must start; jobs that are late already
earn little and take what is left.
"""

import attrs

from fescuecrank_scheduler.fleet import FleetConfig
from fescuecrank_scheduler.jobs import Job, Phase


@attrs.frozen(order=True)
class Rank:
    """Sort key of a job; the lowest goes first."""

    late: bool
    priority: int
    start_by_ms: int
    job: str


def remaining_ms(job: Job) -> int:
    """Return the estimated length of the longest chain of steps that are not done."""
    lengths: list[int] = []
    for number, step in enumerate(job.steps):
        before = max((lengths[earlier] for earlier in step.after), default=0)
        tasks = job.tasks.get((0, number))
        done = tasks is not None and all(task.phase is Phase.DONE for task in tasks)
        lengths.append(before + (0 if done else step.estimate_ms))
    return max(lengths, default=0)


def due_ms(job: Job, config: FleetConfig) -> int:
    """Return the wall-clock time at which a job without a schedule stops being on time."""
    queue = config.queue(job.queue)
    if queue is None:
        return job.accepted_ms + job.chain_ms()
    return job.accepted_ms + int(queue.stretch * job.chain_ms()) + queue.objective_ms


def rank(job: Job, config: FleetConfig, wall_ms: int) -> Rank:
    """Return the place of a job among those that wait for room in the same pool."""
    queue = config.queue(job.queue)
    priority = queue.priority if queue else 0
    start_by = due_ms(job, config) - remaining_ms(job)
    lasting = any(step.lasting for step in job.steps)
    return Rank(not lasting and start_by < wall_ms, priority, start_by, job.id)
