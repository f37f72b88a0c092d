"""Tasks of the stand-in worker: leases, slots, fencing and the memory of past tasks."""

import asyncio
import enum
import time
import uuid
from collections import deque
from collections.abc import Awaitable, Callable

import attrs
from fescuecrank_core.declarations import Resources

LEASE_EXPIRED = "lease expired"


class TaskState(enum.StrEnum):
    """State of a task as the worker reports it."""

    RUNNING = "running"
    DONE = "done"
    STOPPED = "stopped"
    REFUSED = "refused"
    NEVER_SEEN = "never_seen"
    FORGOTTEN = "forgotten"


@attrs.frozen
class Execution:
    """One run of a request; kept for ever, so that tests can count the runs of each request."""

    task_id: str
    request_id: str
    service: str
    body: bytes
    fence: int
    traceparent: str = ""


@attrs.frozen
class RunResult:
    """The answer of the endpoint to a task."""

    status: int
    body: bytes


@attrs.define(eq=False)
class WorkerTask:
    """A task and its state; times are monotonic milliseconds."""

    run: Execution
    started_ms: int
    state: TaskState = TaskState.RUNNING
    result: RunResult = RunResult(0, b"")
    reason: str = ""
    throttled: bool = False
    ended_ms: int = 0
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)
    job: asyncio.Task | None = None
    lease_timer: asyncio.TimerHandle | None = None


Endpoint = Callable[[WorkerTask], Awaitable[RunResult]]


def echo_endpoint(run_ms: int = 0) -> Endpoint:
    """Return an endpoint that echoes the body after `run_ms`, or twice that when throttled."""

    async def run(task: WorkerTask) -> RunResult:
        left_ms = run_ms
        while left_ms > 0:
            slice_ms = min(left_ms, 20)
            await asyncio.sleep(slice_ms / 1_000)
            left_ms -= slice_ms // 2 if task.throttled and slice_ms > 1 else slice_ms
        return RunResult(200, task.run.body)

    return run


class TaskTable:
    """All tasks of one worker since its last boot, and the rules for starting them.

    `fence` is the highest fencing token seen; lower ones are stale. `task_usage` is the usage that
    the worker reports for each task. For `forgotten_ms` after a reboot, an unknown task counts as
    forgotten instead of never seen.
    """

    def __init__(self, slots: int, endpoint: Endpoint) -> None:
        self.slots = slots
        self.endpoint = endpoint
        self.task_usage = Resources(cpu_millis=500, memory_mb=256, slots=1)
        self.executions: list[Execution] = []
        self.fence = -1
        self.draining = False
        self.rebooted_ms: int | None = None
        self.forgotten_ms = 30_000
        self._new_boot()

    def _new_boot(self) -> None:
        self.boot_id = uuid.uuid4().hex
        self.by_id: dict[str, WorkerTask] = {}
        self.forbidden: set[str] = set()
        self._running: dict[str, WorkerTask] = {}
        self._ended: deque[WorkerTask] = deque()

    def accept_fence(self, fence: int) -> bool:
        """Return whether a fencing token is at least the highest seen, and store it if so."""
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def running(self) -> list[WorkerTask]:
        """Return the running tasks."""
        return list(self._running.values())

    def tasks_to_report(self, since_ms: int) -> list[WorkerTask]:
        """Return the running tasks and those that ended at `since_ms` or later."""
        while self._ended and self._ended[0].ended_ms < since_ms:
            self._ended.popleft()
        return [*self._ended, *self._running.values()]

    def refusal_reason(self, run: Execution) -> str:
        """Return the reason for which a new task is refused, or the empty string."""
        if run.task_id in self.forbidden:
            return "forbidden"
        if not self.accept_fence(run.fence):
            return "stale_fence"
        if self.draining:
            return "draining"
        return "full" if len(self._running) >= self.slots else ""

    def start(self, run: Execution, lease_ms: int) -> WorkerTask:
        """Start a task with a new id for which `refusal_reason` gave none."""
        task = WorkerTask(run, _now_ms())
        self.by_id[run.task_id] = self._running[run.task_id] = task
        self.executions.append(run)
        task.job = asyncio.create_task(self._execute(task))
        self.renew(task, lease_ms)
        return task

    async def _execute(self, task: WorkerTask) -> None:
        task.result = await self.endpoint(task)
        self._end(task, TaskState.DONE, "")

    def renew(self, task: WorkerTask, lease_ms: int) -> None:
        """Renew the lease of a task to `lease_ms` from now; the task is stopped when it expires."""
        if task.lease_timer is not None:
            task.lease_timer.cancel()
        loop = asyncio.get_running_loop()
        task.lease_timer = loop.call_later(lease_ms / 1_000, self.stop, task, LEASE_EXPIRED)

    def stop(self, task: WorkerTask, reason: str) -> None:
        """Stop a task if it is running."""
        if task.state is not TaskState.RUNNING:
            return
        if task.job is not None:
            task.job.cancel()
        self._end(task, TaskState.STOPPED, reason)

    def _end(self, task: WorkerTask, state: TaskState, reason: str) -> None:
        task.state, task.reason, task.ended_ms = state, reason, _now_ms()
        if task.lease_timer is not None:
            task.lease_timer.cancel()
        self._running.pop(task.run.task_id, None)
        self._ended.append(task)
        task.ended.set()

    def state_of(self, task_id: str, forbid: bool) -> TaskState:
        """Return the state of a task; with `forbid`, an unknown task is refused from then on.

        A reboot loses the record of tasks that may have run. So for longer than any lease after it,
        the worker reports an unknown task as forgotten and not as never seen.
        """
        if task_id in self.by_id:
            return self.by_id[task_id].state
        if forbid:
            self.forbidden.add(task_id)
        if self.rebooted_ms is not None and _now_ms() - self.rebooted_ms < self.forgotten_ms:
            return TaskState.FORGOTTEN
        return TaskState.NEVER_SEEN

    def reboot(self) -> None:
        """Stop and forget all tasks; the fencing token is kept, as the platform stores it."""
        for task in list(self.by_id.values()):
            self.stop(task, "reboot")
        self.draining = False
        self.rebooted_ms = _now_ms()
        self._new_boot()


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
