"""Checks that no task is started again after an end `done` that its worker was told to forget."""

from collections import defaultdict
from collections.abc import Callable

import attrs
from fescuecrank_scheduler.jobs import TaskId


@attrs.frozen
class StartedRun:
    """A start that a worker carried out; `order` numbers the entries of the history."""

    order: int
    time_ms: int
    run: int
    worker: str


@attrs.define(eq=False)
class DoneEnd:
    """An end `done`, its number on the worker, and when that number was acknowledged to it."""

    order: int
    time_ms: int
    task: TaskId
    run: int
    worker: str
    number: int
    acked_ms: int | None = None


@attrs.define
class RunHistory:
    """Starts and acknowledged ends of all tasks, on all incarnations of all workers."""

    # Whether a task may be started again after such an end.
    repeatable: Callable[[TaskId], bool] = attrs.field(default=lambda task: False)
    starts: dict[TaskId, list[StartedRun]] = attrs.field(factory=lambda: defaultdict(list))
    acked_ends: dict[TaskId, DoneEnd] = attrs.field(factory=dict)
    ack_count: int = 0
    _order: int = 0

    def record_start(self, task: TaskId, run: int, worker: str, now_ms: int) -> None:
        """Record a start that was carried out."""
        start = StartedRun(self._next(), now_ms, run, worker)
        self.starts[task].append(start)
        self._check(task, self.acked_ends.get(task), start)

    def record_done(self, task: TaskId, run: int, worker: str, number: int, now_ms: int) -> DoneEnd:
        """Return the record of an end, which counts once it is acknowledged."""
        return DoneEnd(self._next(), now_ms, task, run, worker, number)

    def record_ack(self, end: DoneEnd, now_ms: int) -> None:
        """Record that the incarnation that listed an end was told to forget it."""
        end.acked_ms = now_ms
        self.ack_count += 1
        self.acked_ends.setdefault(end.task, end)
        for start in self.starts[end.task]:
            if start.order > end.order:
                self._check(end.task, end, start)

    def _next(self) -> int:
        self._order += 1
        return self._order

    def _check(self, task: TaskId, end: DoneEnd | None, start: StartedRun) -> None:
        if end is not None and not self.repeatable(task):
            raise AssertionError(f"{task.label} was started again: {start}, after {end}")
