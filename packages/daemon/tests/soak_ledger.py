"""What callers and workers see in a soak, and the promises that are checked against it."""

import itertools
from collections import Counter, defaultdict
from collections.abc import Callable

import attrs
from fescuecrank_scheduler.events import EndRow
from fescuecrank_scheduler.jobs import TaskId
from platform_servers import now_ms, unix_ms
from soak_jobs import SoakJob

# A start later than this after the job was shown as completed is a violation.
SHOWN_SLACK_MS = 1_000

# Starts that are allowed after three workers have crashed under a task.
STARTS_AFTER_THREE_CRASHES = 2

# The bound of a deployment: a task may start this long before its time.
EARLY_MS = 250


@attrs.frozen
class Life:
    """One incarnation of a worker."""

    worker: str
    started_ms: int


@attrs.define
class DoneEnd:
    """The end of a run as done, listed by a worker."""

    order: int
    task: TaskId
    number: int
    run: int
    acknowledged: bool = False
    # The lease of the worker lapsed before the acknowledgement, which then counts no more.
    void: bool = False


@attrs.define
class TaskRecord:
    """What has happened to a task."""

    # Order number, incarnation and run of each start.
    starts: list[tuple[int, Life, int]] = attrs.field(factory=list)
    done: list[DoneEnd] = attrs.field(factory=list)
    crashes: int = 0
    starts_after_crashes: int = 0
    history: list[str] = attrs.field(factory=list)


@attrs.frozen
class CutLease:
    """A worker that was cut off with some runs, and when its last lease ended or would end.

    Times are Unix times in ms, and runs the labels of their tasks.
    """

    worker: str
    since_ms: int
    until_ms: int
    lease_end_ms: int
    runs: frozenset[str]


class Ledger:
    """Records starts, ends, acknowledgements and answers, and reports broken promises."""

    def __init__(self, violate: Callable[[str], None], now_text: Callable[[], str]) -> None:
        self.jobs: dict[str, SoakJob] = {}
        self.tasks: dict[TaskId, TaskRecord] = defaultdict(TaskRecord)
        # How often each check was made.
        self.checked: Counter[str] = Counter()
        # How the runs ended that workers listed.
        self.ended: Counter[str] = Counter()
        self.cut_leases: list[CutLease] = []
        self._violate = violate
        self._now_text = now_text
        self._order = itertools.count()
        self._done_jobs: set[str] = set()
        self._unacknowledged: dict[Life, list[DoneEnd]] = defaultdict(list)

    def _note(self, task: TaskId, text: str) -> None:
        self.tasks[task].history.append(f"{self._now_text()} {text}")

    def history(self, job: str) -> list[str]:
        """Return what has happened to the tasks of a job."""
        return sorted(
            f"{line} {task.occurrence}.{task.step}.{task.index}"
            for task, record in self.tasks.items()
            if task.job == job
            for line in record.history
        )

    def unit(self, task: TaskId) -> TaskId:
        """Return what runs once: the task itself, or for all members of a gang the first one."""
        job = self.jobs.get(task.job)
        if job is None or not job.step(task).gang:
            return task
        return attrs.evolve(task, index=0)

    def owed_jobs(self) -> list[SoakJob]:
        """Return the jobs that were accepted and not cancelled, in the order of their requests."""
        return [
            job for job in self.jobs.values() if job.accepted_ms is not None and not job.cancelled
        ]

    def open_jobs(self, kind: str = "") -> int:
        """Return how many accepted jobs, of one kind or all, still have tasks to do."""
        self._done_jobs |= {
            job.id
            for job in self.owed_jobs()
            if job.id not in self._done_jobs
            and all(self.tasks[self.unit(task)].done for task in job.kind.tasks(job.id))
        }
        return sum(
            job.id not in self._done_jobs and kind in ("", job.kind.name)
            for job in self.owed_jobs()
        )

    # What workers see.

    def on_start(
        self, life: Life, task: TaskId, run: int, others: list[str], late: bool = False
    ) -> None:
        """Record a start.

        `others` are the workers that are up and run the task, or a member of another run of its
        gang.
        """
        record, job = self.tasks[self.unit(task)], self.jobs.get(task.job)
        record.starts.append((next(self._order), life, run))
        self._note(task, f"run {run} {'late ' if late else ''}start on {life.worker}")
        self.checked["starts"] += 1
        if job is not None:
            self.checked[f"starts of {job.kind.name} jobs"] += 1
        if job is None or job.refused:
            self._violate(f"{task} was started, and its job was refused or never sent")
            return
        if others:
            self._violate(f"{task} was started on {life.worker} and runs on {others}")
        acknowledged = [end for end in record.done if end.acknowledged]
        if acknowledged:
            self._violate(
                f"{task} was started on {life.worker} as run {run}, and the end of run "
                f"{acknowledged[0].run} as done had been acknowledged"
            )
        shown_ms = now_ms() - job.completed_ms if job.completed_ms is not None else 0
        if shown_ms > SHOWN_SLACK_MS and not late:
            self._violate(f"{task} was started, and its job had been shown as completed")
        self._check_time(job, task)
        for index in range(job.kind.steps[task.step - 1].count if task.step else 0):
            earlier = TaskId(task.job, task.occurrence, task.step - 1, index)
            if not self.tasks[self.unit(earlier)].done:
                self._violate(f"{task} was started before {earlier} had ended as done")
        if record.crashes >= 3:
            record.starts_after_crashes += 1
            if record.starts_after_crashes > STARTS_AFTER_THREE_CRASHES:
                count = record.starts_after_crashes
                self._violate(f"{task} was started {count} times after 3 crashes")

    def _check_time(self, job: SoakJob, task: TaskId) -> None:
        if not job.kind.repeats:
            return
        self.checked["times of starts"] += 1
        early_ms = job.due_ms(task) - unix_ms(now_ms())
        if early_ms > EARLY_MS:
            self._violate(f"{task} was started {early_ms} ms before its time")

    def on_end(self, life: Life, row: EndRow) -> None:
        """Record an end that a worker lists from now on."""
        self._note(
            row.task, f"run {row.run} ended {row.end_reason} on {life.worker} ({row.number})"
        )
        self.ended[row.end_reason] += 1
        if row.end_reason == "done":
            end = DoneEnd(next(self._order), row.task, row.number, row.run)
            self.tasks[self.unit(row.task)].done.append(end)
            self._unacknowledged[life].append(end)

    def on_acknowledged(self, life: Life, last_number: int) -> None:
        """Record that a worker may forget its ends up to `last_number`."""
        waiting = self._unacknowledged[life]
        reached = [end for end in waiting if end.number <= last_number]
        if not reached:
            return
        self._unacknowledged[life] = [end for end in waiting if end.number > last_number]
        for end in reached:
            self.checked["acknowledged ends"] += 1
            self._note(end.task, f"run {end.run} end acknowledged to {life.worker}")
            if end.void:
                continue
            end.acknowledged = True
            again = [row for row in self.tasks[self.unit(end.task)].starts if row[0] > end.order]
            if again:
                self._violate(
                    f"{end.task} had been started again as run {again[0][2]} on "
                    f"{again[0][1].worker} when the end of run {end.run} as done was acknowledged"
                )

    def on_lapse(self, life: Life) -> None:
        """Record that the lease of a worker has lapsed."""
        for end in self._unacknowledged[life]:
            end.void = True

    def on_crash(self, task: TaskId, life: Life) -> None:
        """Record that a task has crashed its worker."""
        self.tasks[task].crashes += 1
        self._note(task, f"crashed {life.worker}")

    # What callers see.

    def on_refused(self, job: SoakJob) -> None:
        """Record that every attempt to hand a job in was refused."""
        job.refused = True
        self.checked["refused jobs"] += 1
        if any(task.job == job.id and record.starts for task, record in self.tasks.items()):
            self._violate(f"job {job.id} was refused, and a task of it had been started")

    def on_state(self, job: SoakJob, state: str) -> None:
        """Record the state in which a job is shown."""
        job.state = state
        self.checked["states"] += 1
        if state == "failed" and not job.crashing:
            self._violate(f"job {job.id} without fault is shown as failed")
        if state == "cancelled" and not job.cancelled:
            self._violate(f"job {job.id} is shown as cancelled, which nobody asked for")
        if state != "completed":
            return
        job.completed_ms = job.completed_ms or now_ms()
        for task in job.kind.tasks(job.id):
            if not self.tasks[self.unit(task)].done:
                self._violate(f"job {job.id} is shown as completed, and {task} is not done")
