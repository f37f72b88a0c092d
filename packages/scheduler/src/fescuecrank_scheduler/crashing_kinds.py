"""Kinds of tasks that are suspected of crashing their workers.

The tasks of one queue with one image are a kind: they run the same program, so the crash of a
worker under one of them is evidence against all. It weighs less than the points of the task itself
(see `suspicion`): a task of a suspected kind is never given up for it, only tried first. While a
kind is suspected, the tasks of a job wait until one of them has proven well: it was started on a
worker without other runs, and the worker has reported it for `isolation_ms`. The others then start
like any task. If one of them crashes a worker nevertheless, one task says less about the rest than
assumed, and `Scope` narrows: one task of each step is tried, then every task. The tasks of a step
are then tried together, so that a crash costs only runs of its own job.

A kind becomes suspected when a worker goes away within `PROMPT_MS` of the start of a run, unless
runs of more than `MAX_BLAMED_KINDS` kinds were started there or other workers went away at the same
time. A kind under which a worker has crashed in a trial takes the blame alone. A kind is cleared
when

- all tasks that were started on that worker so shortly before have proven well, and no task of the
  kind has crashed a worker on which it was tried: the worker went away for another reason;
- the tasks of `PROVEN_TO_CLEAR` jobs that were tried have proven well in a row; or
- no worker has crashed under it for `FORGET_MS`.

The record of the suspected kinds is stored when one is added, removed or confirmed, so that the
next leader need not find out again.
"""

import enum
from collections.abc import Iterable

import attrs

from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.jobs import Job, Phase, Step, TaskId
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.records import KindRecord, encode_kinds
from fescuecrank_scheduler.workers import Run, RunState

# A kind shares the blame for a crash with at most one other.
MAX_BLAMED_KINDS = 2

# Trials in a row after which a kind is cleared, for each crash that speaks against it, and at most.
# The first crash may have another cause, or a single bad task, which is tried on its own account.
# If a tenth of the jobs of a kind were still bad, 30 trials would all succeed once in 23 times.
PROVEN_TO_CLEAR = 10
MAX_PROVEN_TO_CLEAR = 30

# A kind without a crash for this long is cleared; bursts of a queue recur within about this time.
FORGET_MS = 30_000

# Interval at which what is known of ended jobs is dropped; a pass may come every 20 ms.
PRUNE_INTERVAL_MS = 1_000

# Kinds that are remembered; beyond that the one with the oldest crash is dropped. The record takes
# some 100 bytes for each.
MAX_KINDS = 64


def kind_name(queue: str, step: Step) -> str:
    """Return the name of the kind of a step's tasks."""
    return f"{queue}/{step.image}" if step.image else queue


class Scope(enum.IntEnum):
    """For which tasks one that has proven well speaks."""

    # All of its kind in the job.
    JOB = 0
    # All of its step.
    STEP = 1
    # None; the tasks of a step are tried together.
    TASK = 2


@attrs.define
class Kind:
    """One suspected kind."""

    record: KindRecord
    # Tasks that were started on a crashed worker just before and have not proven well since.
    suspects: set[TaskId] = attrs.field(factory=set)
    # Trials that succeeded since the last crash.
    proven: int = 0

    @property
    def proven_to_clear(self) -> int:
        """Trials that have to succeed in a row before the kind is cleared."""
        return min(MAX_PROVEN_TO_CLEAR, PROVEN_TO_CLEAR * (1 + self.record.confirmed))


@attrs.define
class CrashingKinds:
    """Suspected kinds under one leadership; times of records are wall-clock times."""

    state: LeaderState
    kinds: dict[str, Kind] = attrs.field(init=False)
    # Steps of which a task, and tasks that, proved well while their kind was suspected.
    proven_steps: set[tuple[str, int, int]] = attrs.field(factory=set)
    proven_tasks: set[TaskId] = attrs.field(factory=set)
    _pruned_ms: int = 0

    @kinds.default
    def _load(self) -> dict[str, Kind]:
        """Return the kinds that the previous leader stored, with the suspects of open jobs."""
        kinds = {name: Kind(record) for name, record in self.state.table.kinds.items()}
        for job in self.state.table.jobs.values() if kinds else ():
            for (_, number), tasks in job.tasks.items():
                kind = kinds.get(kind_name(job.queue, job.steps[number]))
                if kind is not None:
                    kind.suspects.update(task.id for task in tasks if task.suspicion.points)
        return kinds

    def of_step(self, queue: str, step: Step) -> Kind | None:
        """Return the kind of a step if it is suspected."""
        return self.kinds.get(kind_name(queue, step)) if self.kinds else None

    def in_queue(self, queue: str) -> bool:
        """Return whether any kind of a queue is suspected."""
        return any(kind.record.queue == queue for kind in self.kinds.values())

    def on_crash(self, worker: str, blamed: Iterable[Run], others: Iterable[Run], now: Now) -> None:
        """Suspect the kinds of the runs that may have crashed a worker.

        `blamed` were started within `PROMPT_MS` before; `others` ran for longer, so they had proven
        well.
        """
        by_name: dict[str, list[Run]] = {}
        for run in blamed:
            by_name.setdefault(kind_name(run.queue, run.step), []).append(run)
        confirmed = {name: runs for name, runs in by_name.items() if self.is_confirmed(name)}
        by_name = confirmed or by_name
        if 0 < len(by_name) <= MAX_BLAMED_KINDS:
            for name, runs in by_name.items():
                self._suspect(name, runs, worker, now)
        for run in others:
            if run.state is RunState.RUNNING and self.of_step(run.queue, run.step) is not None:
                self.proven_tasks.add(run.task)
                self.proven_steps.add(step_key(run.task))

    def is_confirmed(self, name: str) -> bool:
        """Return whether a worker has crashed as a task of a kind was tried there."""
        kind = self.kinds.get(name)
        return kind is not None and kind.record.confirmed > 0

    def _suspect(self, name: str, runs: list[Run], worker: str, now: Now) -> None:
        kind = self.kinds.get(name)
        known = kind.record if kind is not None else KindRecord(name, runs[0].queue, now.wall_ms)
        if kind is None:
            if len(self.kinds) >= MAX_KINDS:
                oldest = min(self.kinds, key=lambda key: self.kinds[key].record.last_crash_ms)
                self._clear(oldest, "too_many", now)
            kind = self.kinds[name] = Kind(known)
        tried = any(run.isolation_ms for run in runs)
        # The second crash under a suspect says nothing new about its kind.
        new = any(run.task not in kind.suspects for run in runs)
        # Runs that were not tried, since another task had proven well.
        unexpected = known.confirmed > 0 and not tried
        kind.record = attrs.evolve(
            known,
            last_crash_ms=now.wall_ms,
            crashes=known.crashes + 1,
            confirmed=known.confirmed + (tried and new),
            scope=min(known.scope + unexpected, Scope.TASK),
        )
        if new:
            kind.proven = 0
        kind.suspects.update(run.task for run in runs)
        self.state.log(
            "kind_suspected",
            kind=name,
            worker=worker,
            crashes=kind.record.crashes,
            confirmed=kind.record.confirmed,
            scope=kind.record.scope,
            since_ms=kind.record.since_ms,
            tasks=[run.label for run in runs],
        )
        self._store()

    def on_proven(self, run: Run) -> None:
        """Count a tried run that its worker has reported for long enough."""
        kind = self.of_step(run.queue, run.step)
        if kind is not None:
            kind.proven += step_key(run.task) not in self.proven_steps
            self.proven_steps.add(step_key(run.task))
            self.proven_tasks.add(run.task)
            kind.suspects.discard(run.task)

    def on_cleared(self, run: Run) -> None:
        """Withdraw the suspicion of a run whose worker has answered again."""
        kind = self.of_step(run.queue, run.step)
        if kind is not None:
            kind.suspects.discard(run.task)

    def review(self, now: Now) -> None:
        """Clear kinds that have proven well or are old, and forget jobs that have ended."""
        jobs = self.state.table.jobs
        for name, kind in list(self.kinds.items()):
            kind.suspects = {task for task in kind.suspects if _is_open(jobs.get(task.job))}
            if now.wall_ms - kind.record.last_crash_ms >= FORGET_MS:
                self._clear(name, "old", now)
            elif kind.proven >= kind.proven_to_clear:
                self._clear(name, "proven", now)
            elif not kind.suspects and not kind.record.confirmed and self.state.jobs_loaded:
                self._clear(name, "suspects_proven", now)
        if now.mono_ms - self._pruned_ms >= PRUNE_INTERVAL_MS:
            self._pruned_ms = now.mono_ms
            self.proven_tasks = {t for t in self.proven_tasks if _is_open(jobs.get(t.job))}
            self.proven_steps = {key for key in self.proven_steps if _is_open(jobs.get(key[0]))}

    def _clear(self, name: str, reason: str, now: Now) -> None:
        kind = self.kinds.pop(name)
        self.state.log(
            "kind_cleared",
            kind=name,
            reason=reason,
            crashes=kind.record.crashes,
            proven=kind.proven,
            for_ms=now.wall_ms - kind.record.since_ms,
        )
        if not self.kinds:
            self.proven_tasks.clear()
            self.proven_steps.clear()
        self.state.request_placement()
        self._store()

    def _store(self) -> None:
        records = {name: kind.record for name, kind in self.kinds.items()}
        self.state.table.kinds = records
        self.state.queue_record(encode_kinds(records))

    def proven(self, job: Job, occurrence: int, number: int) -> bool:
        """Return whether the tasks of a step need not be tried, as others have proven well."""
        kind = self.of_step(job.queue, job.steps[number])
        if kind is None:
            return True
        numbers = [number]
        if kind.record.scope == Scope.JOB:
            name = kind.record.name
            steps = enumerate(job.steps)
            numbers = [other for other, step in steps if kind_name(job.queue, step) == name]
        return any(self._step_proven(job, occurrence, other) for other in numbers)

    def _step_proven(self, job: Job, occurrence: int, number: int) -> bool:
        """Return whether a task of a step has run well, now or before its kind was suspected."""
        if (job.id, occurrence, number) in self.proven_steps:
            return True
        for task in job.tasks[occurrence, number]:
            if task.phase is Phase.DONE:
                return True
            found = self.state.find_run(task.id) if task.phase is Phase.ASSIGNED else None
            if found is not None and found[1].reported_ms >= self.state.limits.isolation_ms:
                return True
        return False


def step_key(task: TaskId) -> tuple[str, int, int]:
    """Return the job, occurrence and number of a task's step."""
    return (task.job, task.occurrence, task.step)


def _is_open(job: Job | None) -> bool:
    return job is not None and job.open
