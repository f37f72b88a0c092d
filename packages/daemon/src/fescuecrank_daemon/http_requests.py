"""HTTP handlers for callers: submit a request, read its result, cancel it."""

import asyncio
import hashlib

from fescuecrank_core.effects import Reply, ReplyAccepted, ReplyFailure
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_core.events import CancelReceived, Event, RequestReceived, ResultAsked
from fescuecrank_core.requests import Answer, Outcome

from fescuecrank_daemon.digests import repr_digest
from fescuecrank_daemon.http_base import EntryHandler
from fescuecrank_daemon.pending_calls import CallResult, EntryStopped, Waiting
from fescuecrank_daemon.problems import OUTCOME_STATUS, SUBMISSION_STATUS, ProblemDocument
from fescuecrank_daemon.submissions import parse_request, parse_wait_preference

STILL_WAITING = Waiting("waiting", "no final answer yet; ask again with GET")


class RequestHandlerBase(EntryHandler):
    """Base class of the handlers for callers: waits for an answer and formats it."""

    def initialize(self, **kwargs: object) -> None:
        """Initialise the handler; no call waits yet."""
        super().initialize(**kwargs)
        self._wait_task: asyncio.Task | None = None

    def on_connection_close(self) -> None:
        """Stop waiting; the request itself continues."""
        if self._wait_task is not None:
            self._wait_task.cancel()

    async def post_and_answer(
        self, request_id: str, make_event: object, wait_ms: int, until_final: bool
    ) -> None:
        """Post an event to the reducer and answer the call with its reply."""
        wait = self.context.pending_calls.post_and_wait(
            make_event, wait_ms, until_final, self.body_size
        )
        self._wait_task = asyncio.create_task(wait)
        try:
            result = await self._wait_task
        except asyncio.CancelledError:
            return
        self.send_result(request_id, result)

    def send_result(self, request_id: str, result: CallResult) -> None:
        """Send the reducer's reply, or a problem document if there is none."""
        if isinstance(result, Reply):
            self.send_answer(request_id, result.answer)
        elif isinstance(result, ReplyAccepted):
            self.send_waiting(request_id, Waiting(result.state, result.explanation))
        elif isinstance(result, EntryStopped):
            failure = self.make_failure(
                FailureKind.UNKNOWN, "this entry stopped before the answer came"
            )
            self.send_problem(ProblemDocument(504, failure, Outcome.UNKNOWN))
        else:
            self.send_missing_reply(result)

    def send_waiting(self, request_id: str, waiting: Waiting) -> None:
        """Answer 202 with the state of a request that has no final answer yet."""
        state = waiting.state or STILL_WAITING.state
        explanation = waiting.explanation or STILL_WAITING.explanation
        body = {"request_id": request_id, "state": state, "explanation": explanation}
        self.set_header("Request-Id", request_id)
        self.send_json(202, body)

    def send_answer(self, request_id: str, answer: Answer) -> None:
        """Check that the final answer is intact and for this request, then send it."""
        self.log_fields.update(team=answer.key.team, outcome=answer.outcome.value)
        mismatch = _mismatch(request_id, answer)
        if mismatch:
            self.context.log.error(
                "answer_withheld", step="http.reply", request_id=request_id, reason=mismatch
            )
            failure = self.make_failure(FailureKind.UNKNOWN, mismatch)
            self.send_problem(ProblemDocument(504, failure, Outcome.UNKNOWN))
            return
        self.set_header("Request-Id", request_id)
        self.set_header("Request-Outcome", answer.outcome.value)
        self.set_header("Request-Runs", str(answer.runs))
        if answer.outcome is Outcome.DONE:
            self._send_done(answer)
        else:
            self._send_not_done(answer)

    def _send_done(self, answer: Answer) -> None:
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header("Endpoint-Status", str(answer.status))
        self.set_header("Repr-Digest", repr_digest(answer.body))
        self.finish(answer.body)

    def _send_not_done(self, answer: Answer) -> None:
        kind = FailureKind.UNKNOWN if answer.outcome is Outcome.UNKNOWN else FailureKind.CONFLICT
        if answer.outcome is Outcome.NOT_RUN:
            kind = FailureKind.UNAVAILABLE
        failure = Failure(kind, "request", "", answer.reason)
        extra = {"runs": answer.runs, "endpoint_status": answer.status}
        status = OUTCOME_STATUS[answer.outcome]
        self.send_problem(ProblemDocument(status, failure, answer.outcome, extra))


def _mismatch(request_id: str, answer: Answer) -> str:
    """Return why an answer must not be sent, or the empty string."""
    if answer.key.request_id != request_id:
        return "the answer is for another request"
    if answer.outcome is not Outcome.DONE:
        return ""
    intact = hashlib.sha256(answer.body).hexdigest() == answer.digest
    return "" if intact else "the answer does not match its digest"


class SubmitHandler(RequestHandlerBase):
    """`POST /v1/services/{service}/requests`."""

    def initialize(self, **kwargs: object) -> None:
        """Initialise the handler; its refusals mean that the request was not run."""
        super().initialize(**kwargs)
        self.outcome_if_refused = Outcome.NOT_RUN

    async def post(self, service: str) -> None:
        """Submit a request and wait for its answer as the `Prefer` header asks."""
        body = self.body()
        if body is None:
            return
        headers, cfg = self.request.headers, self.context.cfg
        span = self.context.tracing.start_span("http.submit", headers.get("traceparent", ""))
        try:
            parsed = parse_request(service, headers, body, span.traceparent)
            wait = parse_wait_preference(headers, cfg.default_wait_ms, cfg.max_wait_ms)
            invalid = parsed.err() or wait.err()
            if invalid:
                self.refuse(self.make_failure(FailureKind.INVALID, invalid))
                return
            request, wait_ms = parsed.ok_value, wait.ok_value
            secret, request_id = self.caller_key(), request.key.request_id
            self.log_fields.update(request_id=request_id, service=service)

            is_retry = headers.get("Request-Retry", "").lower() == "true"

            def make_event(token: str) -> Event:
                return RequestReceived(token, secret, request, is_retry)

            if wait_ms:
                await self.post_and_answer(request_id, make_event, wait_ms, until_final=True)
            else:
                self.set_header("Preference-Applied", "respond-async")
                await self.post_and_answer(
                    request_id, make_event, cfg.operator_wait_ms, until_final=False
                )
        finally:
            span.end(status=self.get_status(), service=service, **self.span_fields())

    def span_fields(self) -> dict[str, str]:
        """Return the log fields that are also span attributes."""
        return {k: v for k, v in self.log_fields.items() if k != "service"}

    def send_missing_reply(self, result: CallResult) -> None:
        """Answer a refusal as not run, and a missing reply as still waiting."""
        if isinstance(result, ReplyFailure):
            self.refuse(result.failure, SUBMISSION_STATUS[result.failure.kind])
        elif isinstance(result, Waiting):
            self.send_waiting(self.request.headers.get("Idempotency-Key", ""), result)
        else:
            # The reducer has received the request, so the outcome can no longer be `not_run`.
            self.outcome_if_refused = Outcome.UNKNOWN
            super().send_missing_reply(result)

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Send a problem document; after an error of the handler, the outcome is unknown."""
        if status_code >= 500:
            self.outcome_if_refused = Outcome.UNKNOWN
        super().write_error(status_code, **kwargs)


class ResultHandler(RequestHandlerBase):
    """`GET` and `DELETE /v1/services/{service}/requests/{id}`."""

    async def get(self, service: str, request_id: str) -> None:
        """Send the result of a request, or why it still waits."""
        secret = self.caller_key()
        explain = self.get_query_argument("explain", "false") == "true"
        self.log_fields.update(request_id=request_id, service=service)

        def make_event(token: str) -> Event:
            return ResultAsked(token, secret, request_id, service, explain)

        await self.post_and_answer(
            request_id, make_event, self.context.cfg.operator_wait_ms, until_final=False
        )

    async def delete(self, service: str, request_id: str) -> None:
        """Cancel a request."""
        secret = self.caller_key()
        self.log_fields.update(request_id=request_id, service=service)

        def make_event(token: str) -> Event:
            return CancelReceived(token, secret, request_id, service)

        await self.post_and_answer(
            request_id, make_event, self.context.cfg.operator_wait_ms, until_final=False
        )
