"""HTTP format of callers' requests and of the responses to them."""

from typing import Any

import orjson
from fescuecrank_scheduler.effects import Reply
from fescuecrank_scheduler.events import Cancel, Lookup, Request, Submit
from fescuecrank_scheduler.jobs import Job, Schedule, Step
from fescuecrank_service.http_frontend import retry_after_seconds
from fescuecrank_service.interfaces import RequestFormat, ServerResponse

from fescuecrank_platform.configuration import decode_resources

BEARER_PREFIX = "Bearer "

MAX_SPEC_BYTES = 4_000
MAX_STEPS = 1_000
# Over all occurrences; the progress of this many tasks fits in one record of the store.
MAX_TASKS = 3_000

# Largest amounts and times that a job may state: no machine is as large and no job takes as long.
# Sums of larger ones do not fit into the numbers of a record.
MAX_AMOUNT = 10**9
MAX_ESTIMATE_MS = 10**10
MAX_TIME_MS = 10**14

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
            except (ValueError, KeyError, TypeError, AttributeError) as exc:
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


def _decode_job(fields: dict[str, Any]) -> Job:
    spec = fields.get("spec", "")
    if not isinstance(spec, str) or len(spec.encode()) > MAX_SPEC_BYTES:
        raise ValueError("spec must be a string of at most 4000 bytes")
    rows = fields["steps"]
    if not isinstance(rows, list) or not 0 < len(rows) <= MAX_STEPS:
        raise ValueError("steps must be a list of 1 to 1000 steps")
    steps = tuple(_decode_step(row, number) for number, row in enumerate(rows))
    schedule = None
    if fields.get("repeat_count"):
        schedule = Schedule(
            _non_negative_int(fields, "first_ms", limit=MAX_TIME_MS),
            _non_negative_int(fields, "interval_ms", limit=MAX_TIME_MS),
            _non_negative_int(fields, "repeat_count"),
        )
    occurrences = schedule.repeat_count if schedule else 1
    if occurrences * sum(step.count for step in steps) > MAX_TASKS:
        raise ValueError(f"a job may have {MAX_TASKS} tasks at most")
    return Job("", "", "", spec, steps, 0, schedule)


def _non_negative_int(
    fields: dict[str, Any], name: str, default: int = 0, limit: int = MAX_AMOUNT
) -> int:
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= limit:
        raise ValueError(f"{name} must be a whole number from 0 to {limit}")
    return value


def _string(fields: dict[str, Any], name: str) -> str:
    value = fields.get(name) or ""
    if not isinstance(value, str):
        raise ValueError(f"{name} must be a string")
    return value


def _decode_step(fields: dict[str, Any], number: int) -> Step:
    after = tuple(fields.get("after") or ())
    if any(not isinstance(earlier, int) or not 0 <= earlier < number for earlier in after):
        raise ValueError("after must name earlier steps")
    need = decode_resources(
        {name: _non_negative_int(fields, name) for name in ("cpu", "mem_mb", "gpu")}
    )
    count = _non_negative_int(fields, "count", 1)
    if count < 1:
        raise ValueError("count must be at least 1")
    long_running = bool(fields.get("long_running"))
    # The platform omits fields that are 0, so a missing `may_miss` can also mean 0.
    may_miss = (
        _non_negative_int(fields, "may_miss") if long_running and "may_miss" in fields else None
    )
    return Step(
        count=count,
        need=need,
        estimate_ms=_non_negative_int(fields, "estimate_ms", limit=MAX_ESTIMATE_MS),
        after=after,
        gang=bool(fields.get("gang")),
        same_rack=bool(fields.get("same_rack")),
        requires=_string(fields, "requires"),
        affinity=_string(fields, "affinity"),
        anti_affinity=_non_negative_int(fields, "anti_affinity"),
        speculative=bool(fields.get("speculative")),
        long_running=long_running,
        checkpointing=bool(fields.get("checkpointing")),
        image=_string(fields, "image"),
        target_ms=_non_negative_int(fields, "target_ms"),
        best_effort=bool(fields.get("fills")),
        may_miss=may_miss,
    )
