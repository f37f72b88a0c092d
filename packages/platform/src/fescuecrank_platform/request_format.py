"""HTTP format of callers' requests and of the responses to them."""

from typing import Any

import orjson
from fescuecrank_scheduler.effects import Reply
from fescuecrank_scheduler.events import Cancel, Lookup, Request, Submit
from fescuecrank_scheduler.jobs import Job, Schedule, Step
from fescuecrank_scheduler.validation import (
    MAX_AMOUNT,
    MAX_TASKS,
    FieldReader,
    amount,
    elements,
    mapping,
    text,
    whole_number,
)
from fescuecrank_service.http_frontend import retry_after_seconds
from fescuecrank_service.interfaces import RequestFormat, ServerResponse

from fescuecrank_platform.configuration import decode_resources

BEARER_PREFIX = "Bearer "

MAX_STEPS = 1_000

# Longest estimate that a job may state; no job takes as long.
MAX_ESTIMATE_MS = 10**10

JSON_HEADERS = {"Content-Type": "application/json"}

REQUEST_CLASS_BY_METHOD = {"GET": Lookup, "DELETE": Cancel}


class PlatformRequestFormat(RequestFormat):
    """The platform's format of requests and responses."""

    @property
    def ready_path(self) -> str:
        """Path of the load balancer's readiness checks."""
        return "/api/readyz"

    def decode(
        self, token: int, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Request | ServerResponse:
        """Return the request, or the response to a method that is not supported.

        A body that cannot be read becomes `Submit.problem`, because the route and the API key are
        checked first.
        """
        host = headers.get("Host", "")
        authorization = headers.get("Authorization", "")
        api_key = (
            authorization[len(BEARER_PREFIX) :] if authorization.startswith(BEARER_PREFIX) else None
        )
        if method == "POST":
            try:
                return Submit(token, host, path, api_key, _decode_job(orjson.loads(body)))
            except ValueError as exc:
                return Submit(token, host, path, api_key, None, f"the job cannot be read: {exc}")
        request_class = REQUEST_CLASS_BY_METHOD.get(method)
        if request_class is None:
            return ServerResponse(405, b"", {"Allow": "GET, POST, DELETE"})
        return request_class(token, host, path, api_key)

    def encode(self, reply: Reply) -> ServerResponse:
        """Return the response to a request."""
        headers = dict(JSON_HEADERS)
        if reply.retry_after_ms is not None:
            headers["Retry-After"] = retry_after_seconds(reply.retry_after_ms)
        return ServerResponse(reply.status, orjson.dumps(reply.body), headers)


def _decode_job(document: Any) -> Job:
    fields = FieldReader(document)
    spec = fields.read("spec", text, "")
    steps = fields.read("steps", _decode_steps)
    schedule = None
    if fields.optional("repeat_count", amount, 0):
        schedule = Schedule(
            fields.read("first_ms", whole_number, 0),
            fields.read("interval_ms", whole_number, 0),
            fields.read("repeat_count", amount),
        )
    occurrences = schedule.repeat_count if schedule else 1
    if occurrences * sum(step.count for step in steps) > MAX_TASKS:
        raise ValueError(f"a job may have {MAX_TASKS} tasks at most")
    return Job("", "", "", spec, steps, 0, schedule)


def _decode_steps(value: Any) -> tuple[Step, ...]:
    rows = elements(value, mapping, MAX_STEPS)
    if not rows:
        raise ValueError(f"must be a list of 1 to {MAX_STEPS} steps")
    return tuple(_decode_step(row, number) for number, row in enumerate(rows))


def _decode_step(row: dict[str, Any], number: int) -> Step:
    fields = FieldReader(row)
    long_running = fields.read("long_running", bool, False)
    # The platform omits fields that are 0, so a missing `may_miss` can also mean 0.
    may_miss = fields.read("may_miss", amount) if long_running and "may_miss" in row else None
    return Step(
        count=fields.read("count", _count, 1),
        need=decode_resources(row, amount),
        estimate_ms=fields.read("estimate_ms", _estimate, 0),
        after=fields.optional("after", lambda value: _earlier_steps(value, number), ()),
        gang=fields.read("gang", bool, False),
        same_rack=fields.read("same_rack", bool, False),
        requires=fields.optional("requires", text, ""),
        affinity=fields.optional("affinity", text, ""),
        anti_affinity=fields.read("anti_affinity", amount, 0),
        speculative=fields.read("speculative", bool, False),
        long_running=long_running,
        checkpointing=fields.read("checkpointing", bool, False),
        image=fields.optional("image", text, ""),
        target_ms=fields.read("target_ms", amount, 0),
        best_effort=fields.read("fills", bool, False),
        may_miss=may_miss,
    )


def _count(value: Any) -> int:
    return whole_number(value, 1, MAX_AMOUNT)


def _estimate(value: Any) -> int:
    return whole_number(value, 0, MAX_ESTIMATE_MS)


def _earlier_steps(value: Any, number: int) -> tuple[int, ...]:
    return elements(value, lambda earlier: whole_number(earlier, 0, number - 1), number)
