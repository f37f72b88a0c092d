"""Base class of the HTTP handlers: body limits, problem documents and a log line for each call."""

from collections.abc import Callable

import attrs
import orjson
from fescuecrank_core.clock import Clock
from fescuecrank_core.effects import ReplyFailure
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_core.metrics import Sample
from fescuecrank_core.requests import Outcome
from structlog.typing import FilteringBoundLogger
from tornado.web import RequestHandler, stream_request_body

from fescuecrank_daemon.metrics import DaemonMetrics
from fescuecrank_daemon.pending_calls import CallResult, EntryStopped, PendingCalls, Waiting
from fescuecrank_daemon.problems import (
    CONTENT_TYPE,
    FAILURE_STATUS,
    STATUS_KIND,
    ProblemDocument,
)
from fescuecrank_daemon.settings import HttpSettings
from fescuecrank_daemon.tracing import Tracing

BEARER = "Bearer "


@attrs.frozen
class HttpContext:
    """Parts of the entry that the handlers use."""

    entry: str
    cfg: HttpSettings
    log_calls: bool
    clock: Clock
    pending_calls: PendingCalls
    tracing: Tracing
    metrics: DaemonMetrics
    log: FilteringBoundLogger
    reducer_samples: Callable[[], list[Sample]]
    is_ready: Callable[[], bool]


@stream_request_body
class EntryHandler(RequestHandler):
    """Collects the body within its limit and turns every error into a problem document."""

    def initialize(self, context: HttpContext, route: str) -> None:
        """Keep the context; `route` names the handler in metrics."""
        self.context = context
        self.route = route
        self.outcome_if_refused: Outcome | None = None
        self.log_fields: dict[str, str] = {}
        self._chunks: list[bytes] = []
        self.body_size = 0

    def set_default_headers(self) -> None:
        """Do not identify the server software, and forbid caching."""
        self.clear_header("Server")
        self.set_header("Cache-Control", "no-store")

    def prepare(self) -> None:
        """Refuse a body whose `Content-Length` is over the limit before reading it."""
        length = self.request.headers.get("Content-Length", "0")
        if length.isdecimal() and int(length) > self.context.cfg.max_body_bytes:
            self.refuse_large_body()

    def data_received(self, chunk: bytes) -> None:
        """Store one chunk of the body, up to the limit."""
        self.body_size += len(chunk)
        if self.body_size <= self.context.cfg.max_body_bytes:
            self._chunks.append(chunk)

    def body(self) -> bytes | None:
        """Return the whole body; refuse the call and return None if it was too large."""
        if self.body_size <= self.context.cfg.max_body_bytes:
            return b"".join(self._chunks)
        self.refuse_large_body()
        return None

    def refuse_large_body(self) -> None:
        """Answer 413; the connection is closed, as the rest of the body is not read."""
        detail = f"the body is larger than {self.context.cfg.max_body_bytes} bytes"
        self.set_header("Connection", "close")
        self.refuse(self.make_failure(FailureKind.TOO_LARGE, detail))

    def caller_key(self) -> str:
        """Return the key that the caller sent, or the empty string."""
        value = self.request.headers.get("Authorization", "")
        return value[len(BEARER) :].strip() if value.startswith(BEARER) else ""

    def make_failure(self, kind: FailureKind, detail: str) -> Failure:
        """Return a failure that this entry detected in this call."""
        return Failure(kind, f"http.{self.route}", self.context.entry, detail)

    def refuse(self, failure: Failure, status: int | None = None) -> None:
        """Refuse the call with a problem document for `failure`."""
        status = status or FAILURE_STATUS[failure.kind]
        self.send_problem(ProblemDocument(status, failure, self.outcome_if_refused))

    def send_problem(self, problem: ProblemDocument) -> None:
        """Send a problem document."""
        self.set_status(problem.status)
        self.set_header("Content-Type", CONTENT_TYPE)
        if problem.status == 401:
            self.set_header("WWW-Authenticate", "Bearer")
        self.finish(problem.encode())

    def send_json(self, status: int, value: object) -> None:
        """Send a JSON document."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(value))

    def send_missing_reply(self, result: CallResult) -> None:
        """Refuse a call that the reducer refused or did not reply to."""
        if isinstance(result, ReplyFailure):
            self.refuse(result.failure)
        elif isinstance(result, Waiting):
            self.refuse(self.make_failure(FailureKind.TIMEOUT, "no reply in time"))
        elif isinstance(result, EntryStopped):
            self.refuse(
                self.make_failure(FailureKind.UNKNOWN, "this entry stopped before it replied")
            )
        else:
            kind = type(result).__name__
            self.refuse(self.make_failure(FailureKind.UNKNOWN, f"unexpected reply {kind}"))

    def write_error(self, status_code: int, **_: object) -> None:
        """Send a problem document for errors that tornado raises."""
        kind = STATUS_KIND.get(status_code, FailureKind.INVALID)
        self.refuse(self.make_failure(kind, self._reason), status_code)

    def on_finish(self) -> None:
        """Count and log the call."""
        status = self.get_status()
        self.context.metrics.count_http_answer(self.route, status)
        if self.context.log_calls:
            self.context.log.info(
                "http_call",
                step=f"http.{self.route}",
                method=self.request.method,
                status=status,
                ms=round(self.request.request_time() * 1_000, 1),
                **self.log_fields,
            )


class UnknownRouteHandler(EntryHandler):
    """Refuses paths that match no route."""

    def prepare(self) -> None:
        """Refuse the call."""
        self.refuse(self.make_failure(FailureKind.NOT_FOUND, "no such path"))
