"""Jobs, their steps and the progress of their tasks."""

import enum
from collections.abc import Iterator

import attrs

from fescuecrank_scheduler.fleet import Resources


@attrs.frozen
class Step:
    """One step of a job: `count` identical tasks."""

    count: int
    need: Resources
    estimate_ms: int
    # Numbers of the steps that have to be done first.
    after: tuple[int, ...] = ()
    # The tasks start and end together.
    gang: bool = False
    # The tasks run faster on a single rack.
    same_rack: bool = False
    # Label that a worker must have.
    requires: str = ""
    # Preferred label of a worker: the rack that holds the data.
    affinity: str = ""
    # Most tasks of one occurrence on one worker; 0 for no limit.
    anti_affinity: int = 0
    speculative: bool = False
    # The tasks are services that run until the job is cancelled.
    long_running: bool = False
    checkpointing: bool = False
    image: str = ""
    # Target for the tail latency of a task that answers requests; 0 for other tasks.
    target_ms: int = 0
    # Best-effort tasks, which use only idle CPU; their `need.cpu` is not reserved.
    best_effort: bool = False
    # Most tasks that the scheduler may have unavailable at a time; None if not stated.
    may_miss: int | None = None

    @property
    def reservation(self) -> Resources:
        """Resources that one task reserves on its worker."""
        return Resources(0, self.need.mem_mb, self.need.gpu) if self.best_effort else self.need


@attrs.frozen
class Schedule:
    """Repeated execution: occurrence K is due at wall clock `first_ms` + K x `interval_ms`."""

    first_ms: int
    interval_ms: int
    repeat_count: int


class Phase(enum.StrEnum):
    """Phase of a task."""

    WAITING = "w"
    # A run is recorded on a worker; it may or may not have started.
    ASSIGNED = "a"
    DONE = "d"


class Outcome(enum.StrEnum):
    """Final outcome of a job."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.frozen
class TaskId:
    """Identity of a task across all jobs; `occurrence` is 0 for a job without a schedule."""

    job: str
    occurrence: int
    step: int
    index: int

    @property
    def label(self) -> str:
        """Name of the task in log lines."""
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"


@attrs.frozen
class Suspicion:
    """Evidence that a task crashes its workers; see the module `suspicion`."""

    points: int = 0
    # The run whose worker is away and not known to have crashed, its share of the points, and
    # whether it was isolated; 0 if there is none.
    run: int = 0
    run_points: int = 0
    alone: bool = False


@attrs.define
class Task:
    """Progress of one task."""

    id: TaskId
    phase: Phase = Phase.WAITING
    # Number of the latest run; 0 before the first.
    run: int = 0
    failures: int = 0
    # Worker of the latest run.
    worker: str = ""
    checkpoint: str = ""
    suspicion: Suspicion = Suspicion()


@attrs.define
class Job:
    """One accepted job and its known progress."""

    id: str
    queue: str
    team: str
    spec: str
    steps: tuple[Step, ...]
    # Wall-clock time at which a process accepted it.
    accepted_ms: int
    schedule: Schedule | None = None
    cancelled: bool = False
    outcome: Outcome | None = None
    # Tasks by occurrence and step; those of an occurrence are created when it is due.
    tasks: dict[tuple[int, int], list[Task]] = attrs.field(factory=dict)
    # Whether any task was ever assigned to a worker, and whether a worker is known to have begun
    # one: its start may be refused or not arrive.
    assigned: bool = False
    begun: bool = False

    @property
    def open(self) -> bool:
        """Whether the job has neither ended nor been cancelled."""
        return self.outcome is None and not self.cancelled

    def state(self) -> str:
        """Return the state that is reported to callers."""
        if self.outcome is not None:
            return self.outcome.value
        if self.cancelled:
            return Outcome.CANCELLED.value
        return "running" if self.begun else "queued"

    def create_occurrence(self, number: int) -> None:
        """Create the tasks of an occurrence if they do not exist yet."""
        for index, step in enumerate(self.steps):
            if (number, index) not in self.tasks:
                self.tasks[number, index] = [
                    Task(TaskId(self.id, number, index, place)) for place in range(step.count)
                ]

    def step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step are done."""
        tasks = self.tasks.get((occurrence, step))
        return tasks is not None and all(task.phase is Phase.DONE for task in tasks)

    def step_ready(self, occurrence: int, step: int) -> bool:
        """Return whether all steps that `step` depends on are done."""
        return all(self.step_done(occurrence, before) for before in self.steps[step].after)

    def all_done(self) -> bool:
        """Return whether every task of every occurrence is done."""
        occurrences = self.schedule.repeat_count if self.schedule else 1
        if len(self.tasks) < occurrences * len(self.steps):
            return False
        return all(task.phase is Phase.DONE for tasks in self.tasks.values() for task in tasks)

    def task(self, task_id: TaskId) -> Task | None:
        """Return the task, or None if it has not been created."""
        tasks = self.tasks.get((task_id.occurrence, task_id.step), ())
        return tasks[task_id.index] if task_id.index < len(tasks) else None

    def critical_path_ms(self) -> int:
        """Return the estimated duration of the longest chain of dependent steps."""
        lengths: list[int] = []
        for step in self.steps:
            before = max((lengths[number] for number in step.after), default=0)
            lengths.append(before + step.estimate_ms)
        return max(lengths, default=0)


def all_tasks(job: Job) -> Iterator[Task]:
    """Yield the tasks of a job that have been created."""
    for tasks in list(job.tasks.values()):
        yield from tasks
