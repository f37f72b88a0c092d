"""Stand-in for one worker and its endpoints."""

import asyncio
import time

import attrs
import orjson
from fescuecrank_core.declarations import Resources
from fescuecrank_core.events import Instance, InstanceState
from fescuecrank_daemon.digests import hex_digest, repr_digest

from fescuecrank_standin.server import StandIn, StandInHandler
from fescuecrank_standin.worker_tasks import (
    Endpoint,
    Execution,
    RunResult,
    TaskState,
    WorkerTask,
    WorkerTasks,
    echo_endpoint,
)

STATE_STATUS = {
    TaskState.RUNNING: 202,
    TaskState.DONE: 200,
    TaskState.STOPPED: 200,
    TaskState.REFUSED: 409,
    TaskState.NEVER_SEEN: 404,
    TaskState.FORGOTTEN: 404,
}

# How long the usage of an ended task is still reported.
ENDED_USAGE_MS = 10_000


@attrs.define
class WorkerFaults:
    """Faults in force; counts go down as they strike, each for one start command."""

    fail_all: bool = False
    slow_ms: int = 0
    silent: int = 0
    truncated: int = 0
    crossed: int = 0
    corrupted: int = 0
    lost_answers: int = 0


class WorkerStandIn(StandIn):
    """One worker; `tasks.executions` lists every run."""

    def __init__(
        self,
        name: str,
        slots: int = 8,
        connections: int = 64,
        endpoint: Endpoint | None = None,
        usage_lag_ms: int = 0,
        reboot_ms: int = 0,
    ) -> None:
        super().__init__()
        self.name = name
        self.connections = connections
        self.usage_lag_ms = usage_lag_ms
        self.reboot_ms = reboot_ms
        self.faults = WorkerFaults()
        self.open_runs = 0
        self.queries = 0
        self._endpoint = endpoint or echo_endpoint()
        self.tasks = WorkerTasks(slots, self._run)
        self._rebooting: asyncio.Task | None = None

    async def _run(self, task: WorkerTask) -> RunResult:
        if self.faults.fail_all:
            return RunResult(500, b"endpoint failed")
        return await self._endpoint(task)

    def routes(self) -> list[tuple]:
        """Return the routes for tornado."""
        kwargs = {"worker": self}
        return [
            (r"/run/([^/]+)", _RunHandler, kwargs),
            (r"/tasks/([^/]+)/query", _QueryHandler, kwargs),
            (r"/tasks/([^/]+)/(throttle|checkpoint|stop)", _TaskControlHandler, kwargs),
            (r"/leases", _LeasesHandler, kwargs),
            (r"/control/(drain|undrain|reboot)", _ControlHandler, kwargs),
        ]

    def instance(self, region: str, data_centre: str, rack: str, capacity: Resources) -> Instance:
        """Return the entry of this worker in the instance list."""
        return Instance(
            self.name,
            self.address,
            region,
            data_centre,
            rack,
            capacity,
            self.connections,
            InstanceState.LIVE,
        )

    def runs(self, request_id: str) -> int:
        """Return how often a request was run here."""
        return sum(run.request_id == request_id for run in self.tasks.executions)

    def reboot(self) -> None:
        """Lose all tasks, and be unreachable for `reboot_ms`."""
        self.tasks.reboot()
        if self.reboot_ms:
            self._rebooting = asyncio.create_task(self._restart())

    async def _restart(self) -> None:
        # The answer to the command that asked for the reboot goes out first.
        await asyncio.sleep(0.02)
        await self.stop()
        await asyncio.sleep(self.reboot_ms / 1_000)
        await self.start()

    def usage(self) -> list[dict]:
        """Return the use of each task as it was `usage_lag_ms` ago."""
        as_of_ms = time.monotonic_ns() // 1_000_000 - self.usage_lag_ms
        reports = []
        for task in self.tasks.reported(as_of_ms - ENDED_USAGE_MS):
            last_ms = min(task.ended_ms or as_of_ms, as_of_ms)
            if task.started_ms > as_of_ms:
                continue
            reports.append(
                {
                    "task_id": task.run.task_id,
                    "used": attrs.asdict(self.tasks.uses),
                    "run_ms": last_ms - task.started_ms,
                    "age_ms": self.usage_lag_ms,
                }
            )
        return reports


class _WorkerHandler(StandInHandler):
    def initialize(self, worker: WorkerStandIn) -> None:
        self.worker = worker

    async def prepare(self) -> None:
        if self.worker.faults.slow_ms:
            await asyncio.sleep(self.worker.faults.slow_ms / 1_000)

    def fence(self) -> int:
        return int(self.request.headers["Fence"])

    def refuse_stale(self) -> bool:
        if self.worker.tasks.admit_fence(self.fence()):
            return False
        self.send_json(409, {"detail": f"fence is below {self.worker.tasks.fence}"})
        return True

    def send_state(self, task_id: str, state: TaskState, body: bytes = b"", **headers: str) -> None:
        self.set_status(STATE_STATUS[state])
        for name, value in _task_headers(task_id, state, body).items():
            self.set_header(name, value)
        for name, value in headers.items():
            self.set_header(name.replace("_", "-"), value)
        self.finish(body)

    def send_task(self, task: WorkerTask) -> None:
        if task.state is TaskState.DONE:
            status = str(task.result.status)
            self.send_state(task.run.task_id, task.state, task.result.body, Endpoint_Status=status)
        else:
            self.send_state(task.run.task_id, task.state, Reason=task.reason)


class _RunHandler(_WorkerHandler):
    async def post(self, service: str) -> None:
        worker, headers = self.worker, self.request.headers
        task_id = headers["Task-Id"]
        run = Execution(
            task_id, headers.get("Request-Id", ""), service, self.request.body, self.fence()
        )
        if hex_digest(headers.get("Repr-Digest", "")) != hex_digest(repr_digest(run.body)):
            self._refuse(task_id, "digest")
            return
        if worker.open_runs >= worker.connections:
            self._refuse(task_id, "connections")
            return
        worker.open_runs += 1
        try:
            await self._run(run, int(headers["Lease-Ms"]), int(headers.get("Wait-Ms", "0")))
        finally:
            worker.open_runs -= 1

    def _refuse(self, task_id: str, reason: str) -> None:
        """Refuse a task for ever, which is what lets its holder try elsewhere."""
        self.worker.tasks.forbidden.add(task_id)
        self.send_state(task_id, TaskState.REFUSED, Refusal=reason)

    async def _run(self, run: Execution, lease_ms: int, wait_ms: int) -> None:
        tasks = self.worker.tasks
        task = tasks.tasks.get(run.task_id)
        if task is None:
            reason = tasks.refusal(run)
            if reason:
                self._refuse(run.task_id, reason)
                return
            task = tasks.start(run, lease_ms)
        if await self._strike(task):
            return
        await _wait(task, wait_ms)
        self.send_task(task)

    async def _strike(self, task: WorkerTask) -> bool:
        """Apply a fault to the answer of this command; return whether one applied."""
        faults = self.worker.faults
        for name, strike in FAULT_ANSWERS:
            if getattr(faults, name) > 0:
                setattr(faults, name, getattr(faults, name) - 1)
                await strike(self, task)
                return True
        return False

    async def silent(self, _: WorkerTask) -> None:
        await self.stay_silent()

    async def lost(self, task: WorkerTask) -> None:
        await task.ended.wait()
        self.drop_connection()

    async def truncated(self, task: WorkerTask) -> None:
        await task.ended.wait()
        body = task.result.body
        headers = _task_headers(task.run.task_id, TaskState.DONE, body)
        await self.send_truncated({**headers, "Endpoint-Status": "200"}, body)

    async def crossed(self, task: WorkerTask) -> None:
        await task.ended.wait()
        self.send_state("another-task", TaskState.DONE, b"not yours", Endpoint_Status="200")

    async def corrupted(self, task: WorkerTask) -> None:
        await task.ended.wait()
        wrong = b"x" * len(task.result.body)
        digest = repr_digest(task.result.body)
        self.send_state(
            task.run.task_id, TaskState.DONE, wrong, Endpoint_Status="200", Repr_Digest=digest
        )


FAULT_ANSWERS = (
    ("silent", _RunHandler.silent),
    ("lost_answers", _RunHandler.lost),
    ("truncated", _RunHandler.truncated),
    ("crossed", _RunHandler.crossed),
    ("corrupted", _RunHandler.corrupted),
)


class _QueryHandler(_WorkerHandler):
    async def post(self, task_id: str) -> None:
        self.worker.queries += 1
        if self.refuse_stale():
            return
        tasks = self.worker.tasks
        task = tasks.tasks.get(task_id)
        if task is None:
            forbid = self.get_query_argument("forbid", "false") == "true"
            self.send_state(task_id, tasks.state_of(task_id, forbid))
            return
        await _wait(task, int(self.get_query_argument("wait_ms", "0")))
        self.send_task(task)


class _TaskControlHandler(_WorkerHandler):
    def post(self, task_id: str, action: str) -> None:
        if self.refuse_stale():
            return
        tasks = self.worker.tasks
        task = tasks.tasks.get(task_id)
        if task is None:
            self.send_state(task_id, tasks.state_of(task_id, forbid=False))
            return
        if action == "throttle":
            task.throttled = True
        else:
            tasks.stop(task, action)
        self.send_task(task)


class _LeasesHandler(_WorkerHandler):
    def post(self) -> None:
        if self.refuse_stale():
            return
        tasks = self.worker.tasks
        renewal = orjson.loads(self.request.body)
        for task_id in renewal["tasks"]:
            task = tasks.tasks.get(task_id)
            if task is not None and task.state is TaskState.RUNNING:
                tasks.renew(task, renewal["lease_ms"])
        self.send_json(
            200,
            {
                "boot_id": tasks.boot_id,
                "draining": tasks.draining,
                "running": [task.run.task_id for task in tasks.running()],
                "usage": self.worker.usage(),
            },
        )


class _ControlHandler(_WorkerHandler):
    def post(self, action: str) -> None:
        if self.refuse_stale():
            return
        if action == "reboot":
            self.worker.reboot()
        else:
            self.worker.tasks.draining = action == "drain"
        self.send_json(200, {"draining": self.worker.tasks.draining})


def _task_headers(task_id: str, state: TaskState, body: bytes) -> dict[str, str]:
    return {
        "Task-Id": task_id,
        "Task-State": state.value,
        "Content-Type": "application/octet-stream",
        "Content-Length": str(len(body)),
        "Repr-Digest": repr_digest(body),
    }


async def _wait(task: WorkerTask, wait_ms: int) -> None:
    if wait_ms <= 0 or task.ended.is_set():
        return
    try:
        async with asyncio.timeout(wait_ms / 1_000):
            await task.ended.wait()
    except TimeoutError:
        return
