"""Tasks of one cell that may be running, and commands about them."""

from collections.abc import Callable, Iterator

import attrs

from fescuecrank_core.clock import Instant
from fescuecrank_core.declarations import Resources
from fescuecrank_core.effects import ControlTask, Effect, QueryTask, TaskAction
from fescuecrank_core.escrow import CellAccounts
from fescuecrank_core.request_queue import RequestQueue
from fescuecrank_core.requests import Request, RequestKey, Task
from fescuecrank_core.workers import WorkerGroup

QUERY_INTERVAL_MS = 1_000
# Meanwhile a throttled task may end or the need may pass, which avoids the cost of a checkpoint.
CHECKPOINT_DELAY_MS = 200


@attrs.define
class RunningTask:
    """A task from its placement to its end.

    `lost_since_ms` is set while the state of the task is unknown. `adopted` is true if an earlier
    holder of the cell placed it.
    """

    task: Task
    request: Request
    queued_ms: int = 0
    adopted: bool = False
    lost_since_ms: int | None = None
    next_query_ms: int = 0
    started: bool = False
    started_ms: int = 0
    used: Resources | None = None
    stop_requested: bool = False
    throttled_ms: int | None = None
    reclaimed: bool = False

    @property
    def slots(self) -> int:
        """Slots in use, which are the units of the team's limit."""
        return self.request.need.slots


class RunningTasks:
    """The tasks of a cell that may be running, with what they use of workers, limits and shares."""

    def __init__(
        self,
        workers: WorkerGroup,
        accounts: CellAccounts,
        queue: RequestQueue,
        may_act: Callable[[Instant], bool],
        send_before_ms: Callable[[Instant], int],
    ) -> None:
        self._workers = workers
        self._accounts = accounts
        self._queue = queue
        self._may_act = may_act
        self._send_before_ms = send_before_ms
        self._by_key: dict[RequestKey, RunningTask] = {}
        self._by_task: dict[str, RunningTask] = {}
        self._unstarted: dict[RequestKey, RunningTask] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def __iter__(self) -> Iterator[RunningTask]:
        return iter(list(self._by_key.values()))

    def get(self, key: RequestKey) -> RunningTask | None:
        """Return the task of a request."""
        return self._by_key.get(key)

    def by_task(self, task_id: str) -> RunningTask | None:
        """Return a task by its id."""
        return self._by_task.get(task_id)

    def busy_slots(self) -> int:
        """Return the slots of all tasks."""
        return sum(running.slots for running in self._by_key.values())

    def started_ids(self) -> set[str]:
        """Return the ids of the tasks whose start command may have been sent."""
        return {task_id for task_id, running in self._by_task.items() if running.started}

    def add(self, running: RunningTask, need: Resources, expected_ms: int, now: Instant) -> None:
        """Add a task that has been placed, or that an earlier holder may have started."""
        task = running.task
        self._by_key[task.key] = running
        self._by_task[task.task_id] = running
        if not running.started:
            self._unstarted[task.key] = running
        self._workers.add_task(task.worker, task.task_id, need, expected_ms, now)

    def unstarted(self) -> list[RunningTask]:
        """Return the placed tasks whose records are not durable yet."""
        return list(self._unstarted.values())

    def mark_started(self, running: RunningTask, now: Instant) -> None:
        """Record that the start command of a task may have been sent."""
        running.started = True
        running.started_ms = now.mono_ms
        self._unstarted.pop(running.task.key, None)

    def release(self, running: RunningTask, now: Instant) -> None:
        """Remove a task and release its resources, its units of the limit and its share."""
        task = running.task
        self._observe_run_time(running, now)
        del self._by_key[task.key]
        del self._by_task[task.task_id]
        self._unstarted.pop(task.key, None)
        self._workers.remove_task(task.worker, task.task_id)
        release_units = self._accounts.release
        if running.adopted:
            release_units = self._accounts.release_adopted
        release_units(task.key.team, running.slots, now)
        self._queue.finish(task.key, now)

    def _observe_run_time(self, running: RunningTask, now: Instant) -> None:
        if running.used is not None and running.started_ms:
            run_ms = now.mono_ms - running.started_ms
            self._queue.observe(running.request, running.used, run_ms, finished=True)

    def record_usage(self, task_id: str, used: Resources, run_ms: int) -> None:
        """Record a delayed usage report of a running task."""
        running = self._by_task.get(task_id)
        if running is not None:
            running.used = used
            self._queue.observe(running.request, used, run_ms, finished=False)

    # Commands

    def control(self, running: RunningTask, action: TaskAction, now: Instant) -> list[Effect]:
        """Throttle, checkpoint or stop a task."""
        if not self._may_act(now):
            return []
        running.stop_requested = running.stop_requested or action is TaskAction.STOP
        address = self._workers.address(running.task.worker)
        command = ControlTask(
            self._with_current_fencing_token(running), address, action, self._send_before_ms(now)
        )
        return [command]

    def query(self, running: RunningTask, now: Instant) -> list[Effect]:
        """Query the worker for the state of a task, over a new connection."""
        running.lost_since_ms = running.lost_since_ms or now.mono_ms
        running.next_query_ms = now.mono_ms + QUERY_INTERVAL_MS
        address = self._workers.address(running.task.worker)
        return [QueryTask(self._with_current_fencing_token(running), address, forbid=True)]

    def _with_current_fencing_token(self, running: RunningTask) -> Task:
        """Return the task with the current fencing token, as workers refuse lower ones."""
        return attrs.evolve(running.task, fence=self._workers.fencing_token(running.task.worker))

    def lease_has_ended(self, running: RunningTask, now: Instant) -> bool:
        """Return whether a task's lease has ended, by which its worker must have stopped it."""
        return self._workers.lease_has_ended(running.task.worker, running.task.task_id, now)

    def reclaim(self, now: Instant) -> list[Effect]:
        """Throttle, then checkpoint, tasks whose capacity others are entitled to."""
        effects: list[Effect] = []
        for key in self._queue.tasks_to_reclaim(now):
            running = self._by_key.get(key)
            if running is None or not running.started or running.reclaimed:
                continue
            if running.throttled_ms is None:
                running.throttled_ms = now.mono_ms
                effects.extend(self.control(running, TaskAction.THROTTLE, now))
            elif now.mono_ms - running.throttled_ms >= CHECKPOINT_DELAY_MS:
                running.reclaimed = running.request.idempotent
                if running.reclaimed:
                    effects.extend(self.control(running, TaskAction.CHECKPOINT, now))
        return effects
