"""Order in which jobs get capacity.

The load comes in bursts: each queue in turn asks for several times the capacity of its pool for
some seconds. Sharing the capacity among all of its jobs would make all of them late. Therefore a
set of jobs that can all end on time comes first, found by the Moore-Hodgson rule for a single
machine, which stands for the pool with the joint speed of its workers. When the set becomes too
large, the job with the least value for its remaining work is dropped, so a job that is half done is
kept.

The machine of the rule is busy until the runs in progress have ended, and it has only the speed
that long-running tasks and whole tasks on whole workers leave. Otherwise a full pool seems to have
time for more jobs than it has, and serving them by their due times makes all of them late.

Jobs outside the set follow, the smallest first, and last those that end when they are useless.
"""

import heapq
from collections.abc import Iterable, Sequence

import attrs

from fescuecrank_scheduler.fleet import FleetConfig
from fescuecrank_scheduler.jobs import Job, Phase, Step, Task
from fescuecrank_scheduler.suspicion import ISOLATION_POINTS
from fescuecrank_scheduler.workers import Worker

# Average share of a task's work that is left while it is running.
RUNNING_WORK_LEFT = 0.5

# A job is worth this share of the mean job of its pool, whatever its size, and the rest in
# proportion to its work.
FIXED_VALUE_SHARE = 0.3

# Classes of jobs, in the order in which they get capacity.
ON_TIME, LATE, USELESS = range(3)

# A job that ends later than this many times its objective is useless to its caller.
LATE_LIMIT_FACTOR = 3


@attrs.frozen
class PoolSpeed:
    """Joint speed of a pool's workers."""

    # Cores that long-running tasks leave.
    cores: float
    # Time that the workers need for the runs in progress, if these were spread evenly.
    busy_ms: float = 0.0
    # Thousandths of a core that the typical worker has for tasks; 0 if unknown.
    worker_cpu: float = 0.0

    @classmethod
    def of_workers(cls, workers: Sequence[Worker]) -> "PoolSpeed":
        """Return the speed of the given workers."""
        # Long-running tasks may take more than the capacity of a worker that has shrunk.
        cpu = sum(max(0, worker.capacity.cpu - worker.long_running_cpu) for worker in workers)
        work = sum(worker.started_work for worker in workers)
        cores = max(cpu / 1_000, 1.0)
        return cls(cores, RUNNING_WORK_LEFT * work / cores, cpu / max(1, len(workers)))

    def share_ms(self, demand: "Demand") -> float:
        """Return the time in which the whole pool does the waiting work of a job."""
        fitting = int(self.worker_cpu // demand.task_cpu) if demand.task_cpu else 0
        filled = fitting * demand.task_cpu / self.worker_cpu if fitting else 1.0
        return demand.work / (self.cores * filled)


@attrs.frozen
class ReadyStep:
    """The waiting tasks of a step whose dependencies are done, in one occurrence."""

    occurrence: int
    number: int
    tasks: tuple[Task, ...]


@attrs.frozen
class Demand:
    """Remaining demand of a job on its pool; valid until one of its tasks changes."""

    job: Job
    # Work of the tasks that wait and of all tasks, in core-ms.
    work: float
    total_work: float
    # Thousandths of a core that a waiting task takes, on average.
    task_cpu: float
    # Duration of the longest chain of steps that are not done.
    critical_path_ms: float
    # Wall-clock time at which the job becomes late, and at which it becomes useless.
    due_ms: float
    useless_ms: float
    priority: int
    long_running: bool
    ready: tuple[ReadyStep, ...]
    # The same for tasks that are suspected of crashing their workers; they are isolated.
    suspected: tuple[ReadyStep, ...]
    # Whether any of its tasks is waiting.
    waiting: bool


def due_times_ms(job: Job, config: FleetConfig) -> tuple[float, float]:
    """Return the wall-clock times at which a job becomes late and useless.

    For a job with a schedule they are those of its current occurrence.
    """
    queue = config.queue(job.queue)
    objective_ms: float = job.critical_path_ms()
    if queue is not None:
        objective_ms = queue.stretch * objective_ms + queue.objective_ms
    begin_ms = job.accepted_ms
    if job.schedule is not None:
        begin_ms = job.schedule.first_ms + current_occurrence(job) * job.schedule.interval_ms
    return begin_ms + objective_ms, begin_ms + LATE_LIMIT_FACTOR * objective_ms


def current_occurrence(job: Job) -> int:
    """Return the number of the earliest occurrence with a task that is not done."""
    return min(
        (
            occurrence
            for (occurrence, _), tasks in job.tasks.items()
            if any(task.phase is not Phase.DONE for task in tasks)
        ),
        default=0,
    )


def step_work(step: Step, tasks: float) -> float:
    """Return the work of `tasks` tasks of a step in core-ms; 0 for a long-running step."""
    return 0.0 if step.long_running else tasks * step.need.cpu / 1_000 * step.estimate_ms


def compute_demand(job: Job, config: FleetConfig) -> Demand:
    """Return the remaining demand of a job, from its estimates and its progress."""
    queue = config.queue(job.queue)
    work = task_ms = 0.0
    ready: list[ReadyStep] = []
    suspected: list[ReadyStep] = []
    has_waiting = False
    chains: dict[int, list[float]] = {}
    for (occurrence, number), tasks in job.tasks.items():
        step = job.steps[number]
        waiting = tuple(task for task in tasks if task.phase is Phase.WAITING)
        running = sum(1 for task in tasks if task.phase is Phase.ASSIGNED)
        work += step_work(step, len(waiting))
        task_ms += 0 if step.long_running else len(waiting) * step.estimate_ms
        share = 1.0 if waiting else RUNNING_WORK_LEFT if running else 0.0
        lengths = chains.setdefault(occurrence, [])
        before = max((lengths[earlier] for earlier in step.after), default=0.0)
        lengths.append(before + share * step.estimate_ms)
        if waiting:
            has_waiting = True
            if job.step_ready(occurrence, number):
                suspects = tuple(
                    task for task in waiting if task.suspicion.points >= ISOLATION_POINTS
                )
                if suspects and step.gang:
                    suspects = waiting
                if suspects:
                    suspected.append(ReadyStep(occurrence, number, suspects))
                if len(suspects) < len(waiting):
                    others = tuple(task for task in waiting if task not in suspects)
                    ready.append(ReadyStep(occurrence, number, others if suspects else waiting))
    late_ms, useless_ms = due_times_ms(job, config)
    return Demand(
        job=job,
        work=work,
        total_work=sum(step_work(step, step.count) for step in job.steps),
        task_cpu=1_000 * work / task_ms if task_ms else 0.0,
        critical_path_ms=max((max(lengths) for lengths in chains.values()), default=0.0),
        due_ms=late_ms,
        useless_ms=useless_ms,
        priority=queue.priority if queue else 0,
        long_running=any(step.long_running for step in job.steps),
        ready=tuple(ready),
        suspected=tuple(suspected),
        waiting=has_waiting,
    )


def still_waiting(demand: Demand) -> Demand:
    """Return the demand without the tasks that were placed since it was computed."""
    ready = (
        attrs.evolve(step, tasks=tuple(task for task in step.tasks if task.phase is Phase.WAITING))
        for step in demand.ready
    )
    return attrs.evolve(demand, ready=tuple(step for step in ready if step.tasks))


def on_time_jobs(demands: Iterable[Demand], speed: PoolSpeed, now_ms: float) -> set[str]:
    """Return the ids of the jobs worth most that can all end on time at this speed."""
    feasible = [demand for demand in demands if now_ms + demand.critical_path_ms <= demand.due_ms]
    feasible.sort(key=lambda demand: demand.due_ms)
    mean_work = sum(demand.total_work for demand in feasible) / max(1, len(feasible))
    end_ms = now_ms + speed.busy_ms
    # Jobs of the set; the one with the least value for its remaining work is dropped first.
    chosen: list[tuple[float, float, str]] = []
    for demand in feasible:
        share_ms = speed.share_ms(demand)
        value = FIXED_VALUE_SHARE * mean_work + (1 - FIXED_VALUE_SHARE) * demand.total_work
        end_ms += share_ms
        heapq.heappush(chosen, (value / max(demand.work, 1.0), share_ms, demand.job.id))
        while end_ms > demand.due_ms and chosen:
            _, dropped_ms, _ = heapq.heappop(chosen)
            end_ms -= dropped_ms
    return {job_id for _, _, job_id in chosen}


def order_demands(demands: Iterable[Demand], speed: PoolSpeed, now_ms: float) -> list[Demand]:
    """Return the jobs of one pool in the order in which they get capacity.

    `speed` is that of the pool's workers, `now_ms` the wall clock.
    """
    demands = list(demands)
    chosen = on_time_jobs((demand for demand in demands if not demand.long_running), speed, now_ms)

    def sort_key(demand: Demand) -> tuple[bool, int, int, float, str]:
        if demand.job.id in chosen:
            urgency, order = ON_TIME, demand.due_ms - demand.critical_path_ms
        elif now_ms + demand.critical_path_ms <= demand.useless_ms:
            urgency, order = LATE, demand.work
        else:
            urgency, order = USELESS, demand.work
        return (not demand.long_running, demand.priority, urgency, order, demand.job.id)

    return sorted(demands, key=sort_key)
