"""HTTP client of workers."""

import re
from typing import Any

import orjson
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_scheduler.effects import HoldWorker, PaceRun, StartRun, StopRun, WorkerEffect
from fescuecrank_scheduler.events import (
    CallResult,
    ClockReading,
    EndRow,
    HoldDone,
    HoldReply,
    PaceDone,
    RunRow,
    StartDone,
    StopDone,
)
from fescuecrank_scheduler.jobs import TaskId
from fescuecrank_scheduler.validation import (
    MAX_TIME_MS,
    FieldReader,
    counter,
    describe,
    elements,
    name,
    number,
    row,
    signed_number,
    text,
    whole_number,
)
from fescuecrank_service.http_client import HttpClient, HttpResponse
from fescuecrank_service.interfaces import WorkerClient
from result import Result

# Time that a hold may take beyond the wait that it asks the worker for.
HOLD_SLACK_MS = 700
PACE_TIMEOUT_MS = 500

# Most ends that a worker lists in one answer.
MAX_LISTED_ENDS = 500

# Name of a task: its job, then three numbers of which each fits into 32 bits.
TASK_NAME = re.compile(r"([!-~]{1,255})\.([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})")

# Results by the reason in a response with status 409.
RESULT_BY_REASON = {
    "fence": CallResult.FENCED,
    "old": CallResult.OLD,
    "late": CallResult.LATE,
    "room": CallResult.NO_ROOM,
    "ticket": CallResult.BAD_TICKET,
}

RESULT_BY_STATUS = {
    200: CallResult.OK,
    400: CallResult.INVALID,
    421: CallResult.OTHER_INCARNATION,
    429: CallResult.UNHEALTHY,
    503: CallResult.UNHEALTHY,
}


def task_name(task: TaskId) -> str:
    """Return the platform's name of a task."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def parse_task_name(value: Any) -> TaskId:
    """Return the task with this name; raises `ValueError` if the name is malformed."""
    match = TASK_NAME.fullmatch(text(value))
    if match is None:
        raise ValueError(f"must be the name of a task, is {describe(value)}")
    return TaskId(match[1], int(match[2]), int(match[3]), int(match[4]))


class HttpWorkerClient(WorkerClient):
    """Calls to workers by HTTP."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def _call(
        self, operation: str, effect: WorkerEffect, path: str, body: dict[str, Any], timeout_ms: int
    ) -> Result[HttpResponse, Failure]:
        headers = {"Content-Type": "application/json", "X-Expect-Instance": effect.worker}
        body_bytes = orjson.dumps(body)
        # A connection that is closed may mean that the worker has restarted. A second copy would
        # reach the next incarnation, and the first may still be carried out after its refusal.
        return await self._client.call(
            operation, effect.address, "POST", path, timeout_ms, body_bytes, headers
        )

    async def hold_worker(self, effect: HoldWorker) -> HoldDone:
        """Renew the lease on a worker and read its running and ended runs."""
        body: dict[str, Any] = {"fencing_token": effect.token, "last_seen": effect.last_acked_end}
        if effect.deadline_ms is not None:
            body["deadline_ms"] = effect.deadline_ms
        if effect.wait_ms:
            body["wait_ms"] = effect.wait_ms
        timeout_ms = effect.wait_ms + HOLD_SLACK_MS
        outcome = await self._call("worker.hold", effect, "/api/hold", body, timeout_ms)
        result, reply, problem = _call_result(outcome), None, ""
        if result is CallResult.OK:
            try:
                reply = _decode_hold_reply(outcome.ok_value.body)
            except ValueError as exc:
                # Not even a part of it is used: a run that is left out would count as lost.
                result, problem = CallResult.INVALID, str(exc)
        return HoldDone(effect.worker, effect.number, result, reply, problem)

    async def start_run(self, effect: StartRun) -> StartDone:
        """Start a run."""
        body: dict[str, Any] = {
            "task": task_name(effect.task),
            "run": effect.run,
            "spec": effect.spec,
            "deadline_ms": effect.deadline_ms,
            "fencing_token": effect.token,
        }
        if effect.checkpoint:
            body["checkpoint"] = effect.checkpoint
        if effect.ticket:
            body["ticket"] = effect.ticket
        outcome = await self._call(
            "worker.start", effect, "/api/run-start", body, effect.timeout_ms
        )
        result, clock = _call_result(outcome), _clock_reading(effect, outcome)
        return StartDone(effect.worker, effect.task, effect.run, result, effect.token, clock)

    async def stop_run(self, effect: StopRun) -> StopDone:
        """Stop a run."""
        body = {
            "task": task_name(effect.task),
            "run": effect.run,
            "fencing_token": effect.token,
        }
        outcome = await self._call("worker.stop", effect, "/api/run-stop", body, effect.timeout_ms)
        result, clock = _call_result(outcome), _clock_reading(effect, outcome)
        return StopDone(effect.worker, effect.task, effect.run, result, effect.token, clock)

    async def pace_run(self, effect: PaceRun) -> PaceDone:
        """Throttle a run to a percentage of its full speed."""
        body = {
            "task": task_name(effect.task),
            "run": effect.run,
            "percent": effect.percent,
            "fencing_token": effect.token,
        }
        outcome = await self._call("worker.pace", effect, "/api/pace", body, PACE_TIMEOUT_MS)
        result, clock = _call_result(outcome), _clock_reading(effect, outcome)
        return PaceDone(effect.worker, effect.task, effect.percent, result, effect.token, clock)


def _call_result(outcome: Result[HttpResponse, Failure]) -> CallResult:
    if outcome.is_err():
        unsent = outcome.err_value.kind is FailureKind.UNAVAILABLE
        return CallResult.REFUSED if unsent else CallResult.NO_ANSWER
    response = outcome.ok_value
    if response.code == 409:
        try:
            return RESULT_BY_REASON[orjson.loads(response.body)["reason"]]
        except (ValueError, KeyError, TypeError):
            return CallResult.INVALID
    return RESULT_BY_STATUS.get(response.code, CallResult.NO_ANSWER)


def _clock_reading(
    effect: WorkerEffect, outcome: Result[HttpResponse, Failure]
) -> ClockReading | None:
    """Return the worker's clock as stated in the body of an answer; None if it states none."""
    if outcome.is_err():
        return None
    try:
        fields = FieldReader(orjson.loads(outcome.ok_value.body))
        return ClockReading(fields.read("clock_ms", _whole), effect.sent_ms)
    except ValueError:
        # Errors have no body; an answer without a clock still says what became of the call.
        return None


def _decode_hold_reply(body: bytes) -> HoldReply:
    """Return the state in an answer to a hold; raises `ValueError` if a part cannot be used."""
    fields = FieldReader(orjson.loads(body))
    running = fields.optional("running", _running_rows, ())
    ended = fields.optional("finished", _ended_rows, ())
    return HoldReply(
        fields.read("clock_ms", _whole),
        fields.read("born", whole_number, 0),
        running,
        ended,
        truncated=len(ended) >= MAX_LISTED_ENDS,
    )


def _running_rows(value: Any) -> tuple[RunRow, ...]:
    return elements(value, lambda cells: RunRow(*row(cells, RUNNING_CHECKS, 4, True)))


def _ended_rows(value: Any) -> tuple[EndRow, ...]:
    return elements(value, lambda cells: EndRow(*row(cells, ENDED_CHECKS, 5, True)))


def _whole(value: Any) -> int:
    return signed_number(value)


def _measurement(value: Any) -> float | None:
    return number(value, -MAX_TIME_MS) if value is not None else None


def _checkpoint(value: Any) -> str:
    return text(value) if value is not None else ""


# Task, run, checkpoint, percent and the figure of the last half second.
RUNNING_CHECKS = (parse_task_name, counter, _checkpoint, _whole, _measurement)

# Number of the end, task, run, reason and checkpoint.
ENDED_CHECKS = (counter, parse_task_name, counter, name, _checkpoint)
