"""The jobs of a soak: steps that follow each other, gangs, tasks that last and repeated jobs."""

import random

import attrs
from fescuecrank_scheduler.jobs import TaskId

TASK_CPU = 500
ESTIMATE_MS = 200

# Share of the jobs with a task that crashes its workers; more would keep most workers away.
# Beside long jobs there are none, as suspected tasks would wait for most of the run.
CRASHING_SHARE = 0.01

# An occurrence is due this long after the request, and this long after the one before.
FIRST_DUE_MS = (0, 1_000)
INTERVAL_MS = (200, 1_000)

# Work of the tasks of a long job. Most go on after the longest lease of a worker that is cut off.
LONG_WORK_MS = (5_000, 12_000, 12_000, 12_000, 25_000)


@attrs.frozen
class SoakStep:
    """A step of a job, whose tasks wait for those of the step before."""

    count: int
    gang: bool = False
    lasting: bool = False
    checkpointing: bool = False
    # Its own duration; None for that of the worker.
    work_ms: int | None = None

    def fields(self, number: int) -> dict:
        """Return the step as requests have it."""
        fields = {"count": self.count, "cpu": TASK_CPU}
        fields |= {"estimate_ms": self.work_ms or ESTIMATE_MS}
        fields |= {"gang": True} if self.gang else {}
        fields |= {"long_running": True} if self.lasting else {}
        fields |= {"checkpointing": True} if self.checkpointing else {}
        return fields | ({"after": [number - 1]} if number else {})


@attrs.frozen
class JobKind:
    """The steps of a job, how often they run, and the weight with which the kind is drawn."""

    name: str
    weight: int
    steps: tuple[SoakStep, ...]
    repeats: int = 0

    @property
    def lasting(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.lasting for step in self.steps)

    def tasks(self, job: str) -> list[TaskId]:
        """Return all tasks of a job of this kind."""
        return [
            TaskId(job, occurrence, number, index)
            for occurrence in range(max(1, self.repeats))
            for number, step in enumerate(self.steps)
            for index in range(step.count)
        ]


PLAIN = JobKind("plain", 70, (SoakStep(3), SoakStep(1)))
GANG = JobKind("gang", 12, (SoakStep(3, gang=True), SoakStep(1)))
LASTING = JobKind("lasting", 3, (SoakStep(2, lasting=True),))
LASTING_GANG = JobKind("lasting gang", 2, (SoakStep(2, gang=True, lasting=True),))
REPEATED = JobKind("repeated", 8, (SoakStep(2), SoakStep(1)), repeats=2)
REPEATED_GANG = JobKind("repeated gang", 5, (SoakStep(2, gang=True),), repeats=3)
KINDS = (PLAIN, GANG, LASTING, LASTING_GANG, REPEATED, REPEATED_GANG)
LONG = "long"


def long_kind(work_ms: int) -> JobKind:
    """Return the kind of a job whose tasks work for a given time, and which follows no weight."""
    return JobKind(LONG, 0, (SoakStep(2, work_ms=work_ms),))


@attrs.define
class SoakJob:
    """A job from the view of its caller."""

    id: str
    crashing: bool
    kind: JobKind = PLAIN
    # Unix time of the first occurrence and time between two, for repeated jobs.
    first_ms: int = 0
    interval_ms: int = 0
    accepted_ms: int | None = None
    # Whether every attempt to hand it in was refused for certain.
    refused: bool = False
    # Whether a request to cancel it was sent.
    cancelled: bool = False
    state: str = ""
    completed_ms: int | None = None

    def step(self, task: TaskId) -> SoakStep:
        """Return the step of a task."""
        return self.kind.steps[task.step]

    def due_ms(self, task: TaskId) -> int:
        """Return the Unix time before which a task must not start."""
        return self.first_ms + task.occurrence * self.interval_ms

    def request(self) -> dict:
        """Return the body with which the job is handed in."""
        steps = [step.fields(number) for number, step in enumerate(self.kind.steps)]
        fields = {"spec": "s", "steps": steps}
        if self.kind.repeats:
            fields |= {"repeat_count": self.kind.repeats}
            fields |= {"first_ms": self.first_ms, "interval_ms": self.interval_ms}
        return fields


def draw_job(
    rng: random.Random,
    unix_ms: int,
    may_last: bool,
    long_share: float = 0.0,
    crashing_share: float = CRASHING_SHARE,
) -> SoakJob:
    """Return a new job of a random kind; only plain ones have a task that crashes its workers."""
    id_ = f"{rng.getrandbits(64):016x}"
    if rng.random() < crashing_share:
        return SoakJob(id_, crashing=True)
    if long_share and rng.random() < long_share:
        return SoakJob(id_, False, long_kind(rng.choice(LONG_WORK_MS)))
    (kind,) = rng.choices(KINDS, [kind.weight for kind in KINDS])
    kind = PLAIN if kind.lasting and not may_last else kind
    first_ms = unix_ms + rng.randrange(*FIRST_DUE_MS) if kind.repeats else 0
    interval_ms = rng.randrange(*INTERVAL_MS) if kind.repeats else 0
    return SoakJob(id_, False, kind, first_ms, interval_ms)
