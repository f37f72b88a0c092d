"""The machines of a soak's workers: tasks that last, and gangs over several workers."""

import attrs
from fake_gangs import FakeGangs
from fake_worker import FakeWorker
from fescuecrank_scheduler.effects import StartRun
from fescuecrank_scheduler.events import CallResult
from fescuecrank_scheduler.jobs import TaskId
from run_history import RunHistory
from soak_jobs import SoakJob, SoakStep


def step_of(jobs: dict[str, SoakJob], task: TaskId) -> SoakStep | None:
    """Return the step of a task, unless its job is unknown."""
    job = jobs.get(task.job)
    return job.step(task) if job is not None else None


# How fast the clock of a worker runs.
CLOCK_RATE = 0.98


@attrs.define
class SoakGangs(FakeGangs):
    """The gangs of all workers of a soak, which look at each other only when one is called."""

    machines: list["SoakMachine"] = attrs.field(factory=list)

    @classmethod
    def of_jobs(cls, jobs: dict[str, SoakJob]) -> "SoakGangs":
        """Return the gangs of some jobs."""
        return cls(step_of=lambda task: step_of(jobs, task))

    def has_member(self, task: TaskId) -> bool:
        """Return whether a task belongs to a gang."""
        step = self.step_of(task)
        return step is not None and step.gang

    def settle(self, now_ms: int) -> None:
        """End members whose lease has lapsed or that were stopped, and then those of their gangs.

        The others learn in the second pass that one has waited too long.
        """
        for machine in self.machines:
            FakeWorker.advance(machine, now_ms)
        for _ in range(2):
            self.advance(now_ms)


@attrs.define(eq=False)
class SoakMachine(FakeWorker):
    """A worker whose clock starts anew with each incarnation."""

    # The ledger of the soak reports runs that are started again, over all workers.
    history: RunHistory = attrs.field(factory=lambda: RunHistory(repeatable=lambda task: True))
    gangs: SoakGangs = attrs.field(factory=SoakGangs)

    def clock(self, now_ms: int) -> int:
        return max(0, int((now_ms - self.started_ms) * CLOCK_RATE))

    def start(self, effect: StartRun, now_ms: int, long_running: bool) -> CallResult:
        """Start a task as the step of its job says."""
        step = self.gangs.step_of(effect.task)
        if self.gangs.has_member(effect.task):
            self.gangs.settle(now_ms)
        lasting = long_running or (step is not None and step.lasting)
        result = super().start(effect, now_ms, lasting)
        if step is not None and step.work_ms is not None and effect.task in self.runs:
            self.runs[effect.task].work_ms = step.work_ms
        return result

    def advance(self, now_ms: int) -> None:
        super().advance(now_ms)
        if any(self.gangs.has_member(task) for task in self.runs):
            self.gangs.settle(now_ms)
