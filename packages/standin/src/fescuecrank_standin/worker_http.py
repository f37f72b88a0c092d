"""HTTP handlers of the stand-in worker, with injected faults in their answers."""

import asyncio
from typing import TYPE_CHECKING

import orjson
from fescuecrank_daemon.digests import parse_repr_digest, repr_digest

from fescuecrank_standin.server import StandInHandler
from fescuecrank_standin.worker_tasks import Execution, TaskState, WorkerTask

if TYPE_CHECKING:
    from fescuecrank_standin.worker import WorkerStandIn

STATUS_BY_STATE = {
    TaskState.RUNNING: 202,
    TaskState.DONE: 200,
    TaskState.STOPPED: 200,
    TaskState.REFUSED: 409,
    TaskState.NEVER_SEEN: 404,
    TaskState.FORGOTTEN: 404,
}


class WorkerHandler(StandInHandler):
    """Base of the handlers: checks the fencing token and answers with the state of a task."""

    def initialize(self, worker: "WorkerStandIn") -> None:
        """Store the worker that this handler serves."""
        self.worker = worker

    async def prepare(self) -> None:
        """Delay every call by the injected latency."""
        if self.worker.faults.slow_ms:
            await asyncio.sleep(self.worker.faults.slow_ms / 1_000)

    def fence(self) -> int:
        """Return the fencing token of the command."""
        return int(self.request.headers["Fence"])

    def reject_stale_fence(self) -> bool:
        """Reject a command whose fencing token is stale; return whether it was rejected."""
        if self.worker.tasks.accept_fence(self.fence()):
            return False
        self.send_json(409, {"detail": f"fence is below {self.worker.tasks.fence}"})
        return True

    def send_state(self, task_id: str, state: TaskState, body: bytes = b"", **headers: str) -> None:
        """Answer with the state of a task; underscores in the names of `headers` become hyphens."""
        self.set_status(STATUS_BY_STATE[state])
        for name, value in _task_headers(task_id, state, body).items():
            self.set_header(name, value)
        for name, value in headers.items():
            self.set_header(name.replace("_", "-"), value)
        self.finish(body)

    def send_task(self, task: WorkerTask) -> None:
        """Answer with the state of a known task, and with its result if it is done."""
        if task.state is TaskState.DONE:
            status = str(task.result.status)
            self.send_state(task.run.task_id, task.state, task.result.body, Endpoint_Status=status)
        else:
            self.send_state(task.run.task_id, task.state, Reason=task.reason)


class RunHandler(WorkerHandler):
    """`POST /run/{service}`."""

    async def post(self, service: str) -> None:
        """Start a task, or attach to the one that already has this id."""
        worker, headers = self.worker, self.request.headers
        task_id = headers["Task-Id"]
        run = Execution(
            task_id,
            headers.get("Request-Id", ""),
            service,
            self.request.body,
            self.fence(),
            headers.get("traceparent", ""),
        )
        if parse_repr_digest(headers.get("Repr-Digest", "")) != parse_repr_digest(
            repr_digest(run.body)
        ):
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
        """Refuse a task for good, so that the holder can safely start it on another worker."""
        self.worker.tasks.forbidden.add(task_id)
        self.send_state(task_id, TaskState.REFUSED, Refusal=reason)

    async def _run(self, run: Execution, lease_ms: int, wait_ms: int) -> None:
        tasks = self.worker.tasks
        task = tasks.by_id.get(run.task_id)
        if task is None:
            reason = tasks.refusal_reason(run)
            if reason:
                self._refuse(run.task_id, reason)
                return
            task = tasks.start(run, lease_ms)
        if await self._inject_fault(task):
            return
        await _wait_for_end(task, wait_ms)
        self.send_task(task)

    async def _inject_fault(self, task: WorkerTask) -> bool:
        """Send a faulty answer if one is due; return whether one was sent."""
        faults = self.worker.faults
        for name, send in FAULTY_ANSWERS:
            if getattr(faults, name) > 0:
                setattr(faults, name, getattr(faults, name) - 1)
                await send(self, task)
                return True
        return False

    async def send_nothing(self, _: WorkerTask) -> None:
        """Keep the connection open without an answer."""
        await self.never_answer()

    async def drop_answer(self, task: WorkerTask) -> None:
        """Close the connection without an answer after the task has run."""
        await task.ended.wait()
        self.drop_connection()

    async def send_half(self, task: WorkerTask) -> None:
        """Send half of the body and close the connection."""
        await task.ended.wait()
        body = task.result.body
        headers = _task_headers(task.run.task_id, TaskState.DONE, body)
        await self.send_truncated({**headers, "Endpoint-Status": "200"}, body)

    async def send_other_task(self, task: WorkerTask) -> None:
        """Send the answer of another task."""
        await task.ended.wait()
        self.send_state("another-task", TaskState.DONE, b"not yours", Endpoint_Status="200")

    async def send_corrupted(self, task: WorkerTask) -> None:
        """Send a body that does not match its digest."""
        await task.ended.wait()
        wrong = b"x" * len(task.result.body)
        digest = repr_digest(task.result.body)
        self.send_state(
            task.run.task_id, TaskState.DONE, wrong, Endpoint_Status="200", Repr_Digest=digest
        )


# Pairs of a counter in `WorkerFaults` and the handler of its faulty answer.
FAULTY_ANSWERS = (
    ("silent", RunHandler.send_nothing),
    ("lost_answers", RunHandler.drop_answer),
    ("truncated", RunHandler.send_half),
    ("crossed", RunHandler.send_other_task),
    ("corrupted", RunHandler.send_corrupted),
)


class QueryHandler(WorkerHandler):
    """`POST /tasks/{task_id}/query`."""

    async def post(self, task_id: str) -> None:
        """Answer with the state of a task; `forbid` keeps an unknown one from ever starting."""
        self.worker.query_count += 1
        if self.reject_stale_fence():
            return
        tasks = self.worker.tasks
        task = tasks.by_id.get(task_id)
        if task is None:
            forbid = self.get_query_argument("forbid", "false") == "true"
            self.send_state(task_id, tasks.state_of(task_id, forbid))
            return
        await _wait_for_end(task, int(self.get_query_argument("wait_ms", "0")))
        self.send_task(task)


class TaskControlHandler(WorkerHandler):
    """`POST /tasks/{task_id}/throttle`, `checkpoint` and `stop`."""

    def post(self, task_id: str, action: str) -> None:
        """Throttle or stop a running task; a checkpoint stops it too."""
        if self.reject_stale_fence():
            return
        tasks = self.worker.tasks
        task = tasks.by_id.get(task_id)
        if task is None:
            self.send_state(task_id, tasks.state_of(task_id, forbid=False))
            return
        if action == "throttle":
            task.throttled = True
        else:
            tasks.stop(task, action)
        self.send_task(task)


class LeasesHandler(WorkerHandler):
    """`POST /leases`."""

    def post(self) -> None:
        """Renew leases and report usage."""
        if self.reject_stale_fence():
            return
        tasks = self.worker.tasks
        renewal = orjson.loads(self.request.body)
        for task_id in renewal["tasks"]:
            task = tasks.by_id.get(task_id)
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


class ControlHandler(WorkerHandler):
    """`POST /control/drain`, `undrain` and `reboot`."""

    def post(self, action: str) -> None:
        """Drain, undrain or reboot the worker."""
        if self.reject_stale_fence():
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


async def _wait_for_end(task: WorkerTask, wait_ms: int) -> None:
    if wait_ms <= 0 or task.ended.is_set():
        return
    try:
        async with asyncio.timeout(wait_ms / 1_000):
            await task.ended.wait()
    except TimeoutError:
        return
