"""Client of workers over HTTP; docs/platform.md describes the wire format."""

import hashlib

import attrs
import orjson
from fescuecrank_core.effects import ControlTask, ControlWorker, PollWorker, QueryTask, StartTask
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_core.events import TaskEnd, TaskReported, TaskUsage, WorkerControlled, WorkerPolled
from fescuecrank_core.requests import Task
from tornado.httpclient import HTTPResponse

from fescuecrank_daemon.digests import parse_repr_digest, repr_digest
from fescuecrank_daemon.http_client import Call, CallLimits, HttpClient
from fescuecrank_daemon.platform_clients import WorkerClient
from fescuecrank_daemon.settings import WorkerSettings
from fescuecrank_daemon.tls import client_context
from fescuecrank_daemon.validation import build_object

# Endpoint statuses from this one up mean that the run failed.
MIN_FAILED_STATUS = 500

START_STEP = "task.start"
QUERY_STEP = "task.query"

FINAL_ENDS = {"done": TaskEnd.ANSWERED, "stopped": TaskEnd.STOPPED}

# Task states that each command accepts as its answer, and their meaning. A refusal of a control
# command, for example, does not tell whether its task runs.
START_ENDS = {**FINAL_ENDS, "running": TaskEnd.RUNNING, "refused": TaskEnd.REFUSED}
QUERY_ENDS = {**FINAL_ENDS, "running": TaskEnd.RUNNING, "never_seen": TaskEnd.NEVER_SEEN}
# Without `forbid`, the worker may still start a task that it reports as never seen.
FOLLOW_ENDS = {**FINAL_ENDS, "running": TaskEnd.RUNNING}


@attrs.frozen
class LeaseAnswer:
    """Body of the answer to a poll."""

    boot_id: str
    draining: bool
    running: tuple[str, ...]
    usage: tuple[TaskUsage, ...]


class HttpWorkerClient(WorkerClient):
    """Calls workers over HTTP."""

    def __init__(self, cfg: WorkerSettings) -> None:
        self._cfg = cfg
        self._scheme = "https" if cfg.tls else "http"
        limits = CallLimits(cfg.connect_timeout_ms, cfg.max_answer_bytes, cfg.max_clients)
        self._client = HttpClient(limits, client_context(cfg.tls))

    async def start(self, effect: StartTask, traceparent: str) -> TaskReported:
        """Start a task and follow it to its end.

        The worker answers `running` after `answer_wait_ms`, and each further call waits as long, so
        a healthy worker never leaves a connection silent for longer than that.
        """
        call = self._start_call(effect, traceparent)
        report = await self._call_task(effect.task, call, START_ENDS)
        while report.end is TaskEnd.RUNNING:
            call = self._query_call(effect.task, effect.address, forbid=False, wait=True)
            report = await self._call_task(effect.task, call, FOLLOW_ENDS)
        return report

    async def query(self, effect: QueryTask) -> TaskReported:
        """Ask once for the state of a task."""
        call = self._query_call(effect.task, effect.address, effect.forbid, wait=False)
        ends = QUERY_ENDS if effect.forbid else FOLLOW_ENDS
        return await self._call_task(effect.task, call, ends)

    async def control_task(self, effect: ControlTask) -> TaskReported | None:
        """Throttle, checkpoint or stop a task."""
        task = effect.task
        url = f"{self._base_url(effect.address)}/tasks/{task.task_id}/{effect.action.value}"
        call = self._command_call(f"task.{effect.action}", task, url)
        report = await self._call_task(task, call, FINAL_ENDS)
        return None if report.end is TaskEnd.LOST else report

    async def poll(self, effect: PollWorker) -> WorkerPolled:
        """Renew leases and read usage in one call."""
        call = Call(
            "worker.poll",
            effect.worker,
            f"{self._base_url(effect.address)}/leases",
            self._cfg.silence_ms,
            method="POST",
            headers={"Fence": str(effect.fence), "Content-Type": "application/json"},
            body=orjson.dumps({"tasks": list(effect.tasks), "lease_ms": effect.lease_ms}),
        )
        answer = await self._client.call(call)
        if answer.is_err() or answer.ok_value.code != 200:
            return WorkerPolled(effect.worker, reachable=False)
        lease = _parse_lease_answer(answer.ok_value)
        if lease is None:
            return WorkerPolled(effect.worker, reachable=False)
        return WorkerPolled(
            effect.worker, True, lease.draining, lease.boot_id, lease.running, lease.usage
        )

    async def control_worker(self, effect: ControlWorker) -> WorkerControlled:
        """Drain, undrain or reboot a worker."""
        step = f"worker.{effect.action}"
        call = Call(
            step,
            effect.worker,
            f"{self._base_url(effect.address)}/control/{effect.action.value}",
            self._cfg.silence_ms,
            method="POST",
            headers={"Fence": str(effect.fence)},
            body=b"",
        )
        answer = await self._client.call(call)
        if answer.is_err():
            failure = answer.err_value.failure
        elif answer.ok_value.code != 200:
            detail = f"answered with status {answer.ok_value.code}"
            failure = Failure(FailureKind.CONFLICT, step, effect.worker, detail)
        else:
            failure = None
        return WorkerControlled(effect.worker, effect.action, failure)

    def _base_url(self, address: str) -> str:
        return f"{self._scheme}://{address}"

    def _start_call(self, effect: StartTask, traceparent: str) -> Call:
        request = effect.request
        headers = {
            "Task-Id": effect.task.task_id,
            "Request-Id": effect.task.key.request_id,
            "Fence": str(effect.task.fence),
            "Lease-Ms": str(effect.lease_ms),
            "Wait-Ms": str(self._cfg.answer_wait_ms),
            "Repr-Digest": repr_digest(request.body),
            "Content-Type": "application/octet-stream",
        }
        if traceparent:
            headers["traceparent"] = traceparent
        url = f"{self._base_url(effect.address)}/run/{request.service}"
        timeout_ms = self._cfg.silence_ms + self._cfg.body_timeout_ms
        return Call(START_STEP, effect.task.worker, url, timeout_ms, "POST", headers, request.body)

    def _query_call(self, task: Task, address: str, forbid: bool, wait: bool) -> Call:
        wait_ms = self._cfg.answer_wait_ms if wait else 0
        query = f"forbid={str(forbid).lower()}&wait_ms={wait_ms}"
        url = f"{self._base_url(address)}/tasks/{task.task_id}/query?{query}"
        return self._command_call(QUERY_STEP, task, url)

    def _command_call(self, step: str, task: Task, url: str) -> Call:
        headers = {"Fence": str(task.fence)}
        return Call(step, task.worker, url, self._cfg.silence_ms, "POST", headers, b"")

    async def _call_task(self, task: Task, call: Call, ends: dict[str, TaskEnd]) -> TaskReported:
        answer = await self._client.call(call)
        if answer.is_ok():
            return _parse_report(task, answer.ok_value, ends)
        failed_call = answer.err_value
        if call.step == START_STEP and not failed_call.sent:
            return TaskReported(
                task.task_id, task.worker, TaskEnd.NOT_SENT, detail=str(failed_call.failure)
            )
        return _lost_report(task, str(failed_call.failure))


def _lost_report(task: Task, detail: str) -> TaskReported:
    return TaskReported(task.task_id, task.worker, TaskEnd.LOST, detail=detail)


def _parse_report(task: Task, response: HTTPResponse, ends: dict[str, TaskEnd]) -> TaskReported:
    """Return the task state in an answer; `LOST` unless it is complete and for this task."""
    headers, body = response.headers, response.body
    if headers.get("Task-Id") != task.task_id:
        return _lost_report(task, "the answer is for another task")
    header_digest = parse_repr_digest(headers.get("Repr-Digest", ""))
    if headers.get("Content-Length") != str(len(body)):
        return _lost_report(task, "the answer is truncated")
    if header_digest != hashlib.sha256(body).hexdigest():
        return _lost_report(task, "the answer does not match its digest")
    state = headers.get("Task-State", "")
    end = ends.get(state)
    status = headers.get("Endpoint-Status", "")
    if end is None or (end is TaskEnd.ANSWERED and not status.isdecimal()):
        return _lost_report(task, f"answered with status {response.code} and state {state!r}")
    if end is not TaskEnd.ANSWERED:
        refusal = headers.get("Refusal", "")
        return TaskReported(
            task.task_id, task.worker, end, detail=refusal, draining=refusal == "draining"
        )
    endpoint_failed = int(status) >= MIN_FAILED_STATUS
    return TaskReported(
        task.task_id,
        task.worker,
        end,
        int(status),
        body,
        header_digest,
        endpoint_failed=endpoint_failed,
    )


def _parse_lease_answer(response: HTTPResponse) -> LeaseAnswer | None:
    try:
        plain = orjson.loads(response.body)
    except orjson.JSONDecodeError:
        return None
    built = build_object(LeaseAnswer, plain)
    return built.ok_value if built.is_ok() else None
