"""Routes of callers: submit a request, ask for its result, cancel it."""

import asyncio
import hashlib

from fescuecrank_core.effects import Reply, ReplyAccepted, ReplyFailure
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_core.events import CancelReceived, Event, RequestReceived, ResultAsked
from fescuecrank_core.requests import Answer, Outcome

from fescuecrank_daemon.digests import repr_digest
from fescuecrank_daemon.exchange import CallResult, ProcessEnded, Waiting
from fescuecrank_daemon.http_base import EntryHandler
from fescuecrank_daemon.problems import OUTCOME_STATUS, SUBMISSION_STATUS, ProblemDocument
from fescuecrank_daemon.submissions import parse_request, wait_preference

STILL_WAITING = Waiting("waiting", "no final answer yet; ask again with GET")


class RequestHandlerBase(EntryHandler):
    """What the routes of callers share: the wait for an answer and its form."""

    def initialize(self, **kwargs: object) -> None:
        """Start without a waiting call."""
        super().initialize(**kwargs)
        self._asking: asyncio.Task | None = None

    def on_connection_close(self) -> None:
        """Stop waiting; the request itself goes on."""
        if self._asking is not None:
            self._asking.cancel()

    async def answer(self, request_id: str, event: object, wait_ms: int, until_final: bool) -> None:
        """Ask the reducer and send what it replies."""
        ask = self.context.exchange.ask(event, wait_ms, until_final, self.body_size)
        self._asking = asyncio.create_task(ask)
        try:
            result = await self._asking
        except asyncio.CancelledError:
            return
        self.send_result(request_id, result)

    def send_result(self, request_id: str, result: CallResult) -> None:
        """Send a reply of the reducer, or the lack of one."""
        if isinstance(result, Reply):
            self.send_answer(request_id, result.answer)
        elif isinstance(result, ReplyAccepted):
            self.send_waiting(request_id, Waiting(result.state, result.explanation))
        elif isinstance(result, ProcessEnded):
            failure = self.failure(FailureKind.UNKNOWN, "this entry stopped before the answer came")
            self.send_problem(ProblemDocument(504, failure, Outcome.UNKNOWN))
        else:
            self.send_no_reply(result)

    def send_waiting(self, request_id: str, waiting: Waiting) -> None:
        """Tell that there is no final answer yet."""
        state = waiting.state or STILL_WAITING.state
        explanation = waiting.explanation or STILL_WAITING.explanation
        body = {"request_id": request_id, "state": state, "explanation": explanation}
        self.set_header("Request-Id", request_id)
        self.send_json(202, body)

    def send_answer(self, request_id: str, answer: Answer) -> None:
        """Send the final answer, after a last check that it is whole and for this request."""
        self.log_fields.update(team=answer.key.team, outcome=answer.outcome.value)
        wrong = _mismatch(request_id, answer)
        if wrong:
            self.context.log.error(
                "answer_withheld", step="http.reply", request_id=request_id, reason=wrong
            )
            failure = self.failure(FailureKind.UNKNOWN, wrong)
            self.send_problem(ProblemDocument(504, failure, Outcome.UNKNOWN))
            return
        self.set_header("Request-Id", request_id)
        self.set_header("Request-Outcome", answer.outcome.value)
        self.set_header("Request-Runs", str(answer.runs))
        if answer.outcome is Outcome.DONE:
            self._send_done(answer)
        else:
            self._send_other(answer)

    def _send_done(self, answer: Answer) -> None:
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header("Endpoint-Status", str(answer.status))
        self.set_header("Repr-Digest", repr_digest(answer.body))
        self.finish(answer.body)

    def _send_other(self, answer: Answer) -> None:
        kind = FailureKind.UNKNOWN if answer.outcome is Outcome.UNKNOWN else FailureKind.CONFLICT
        if answer.outcome is Outcome.NOT_RUN:
            kind = FailureKind.UNAVAILABLE
        failure = Failure(kind, "request", "", answer.reason)
        extra = {"runs": answer.runs, "endpoint_status": answer.status}
        status = OUTCOME_STATUS[answer.outcome]
        self.send_problem(ProblemDocument(status, failure, answer.outcome, extra))


def _mismatch(request_id: str, answer: Answer) -> str:
    if answer.key.request_id != request_id:
        return "the answer is for another request"
    if answer.outcome is not Outcome.DONE:
        return ""
    whole = hashlib.sha256(answer.body).hexdigest() == answer.digest
    return "" if whole else "the answer does not match its digest"


class SubmitHandler(RequestHandlerBase):
    """`POST /v1/services/{service}/requests`."""

    def initialize(self, **kwargs: object) -> None:
        """A refusal by this route says that the request was not run."""
        super().initialize(**kwargs)
        self.outcome_if_refused = Outcome.NOT_RUN

    async def post(self, service: str) -> None:
        """Submit a request and wait as long as the caller prefers."""
        body = self.body()
        if body is None:
            return
        headers, cfg = self.request.headers, self.context.cfg
        hop = self.context.tracing.start("http.submit", headers.get("traceparent", ""))
        try:
            parsed = parse_request(service, headers, body, hop.traceparent)
            wait = wait_preference(headers, cfg.default_wait_ms, cfg.max_wait_ms)
            wrong = parsed.err() or wait.err()
            if wrong:
                self.refuse(self.failure(FailureKind.INVALID, wrong))
                return
            request, wait_ms = parsed.ok_value, wait.ok_value
            secret, request_id = self.secret(), request.key.request_id
            self.log_fields.update(request_id=request_id, service=service)

            is_retry = headers.get("Request-Retry", "").lower() == "true"

            def event(token: str) -> Event:
                return RequestReceived(token, secret, request, is_retry)

            if wait_ms:
                await self.answer(request_id, event, wait_ms, until_final=True)
            else:
                self.set_header("Preference-Applied", "respond-async")
                await self.answer(request_id, event, cfg.operator_wait_ms, until_final=False)
        finally:
            hop.end(status=self.get_status(), service=service, **self.log_fields_for_span())

    def log_fields_for_span(self) -> dict[str, str]:
        """Return the log fields that a span carries as well."""
        return {k: v for k, v in self.log_fields.items() if k != "service"}

    def send_no_reply(self, result: CallResult) -> None:
        """Answer a refusal as not run, and a missing reply as still waiting."""
        if isinstance(result, ReplyFailure):
            self.refuse(result.failure, SUBMISSION_STATUS[result.failure.kind])
        elif isinstance(result, Waiting):
            self.send_waiting(self.request.headers.get("Idempotency-Key", ""), result)
        else:
            # Nothing may promise "not run" from here on: the reducer has the request.
            self.outcome_if_refused = Outcome.UNKNOWN
            super().send_no_reply(result)

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """An error of the handler itself says nothing about whether the request ran."""
        if status_code >= 500:
            self.outcome_if_refused = Outcome.UNKNOWN
        super().write_error(status_code, **kwargs)


class ResultHandler(RequestHandlerBase):
    """`GET` and `DELETE /v1/services/{service}/requests/{id}`."""

    async def get(self, service: str, request_id: str) -> None:
        """Tell the result of a request, or why it still waits."""
        secret = self.secret()
        explain = self.get_query_argument("explain", "false") == "true"
        self.log_fields.update(request_id=request_id, service=service)

        def event(token: str) -> Event:
            return ResultAsked(token, secret, request_id, service, explain)

        await self.answer(request_id, event, self.context.cfg.operator_wait_ms, until_final=False)

    async def delete(self, service: str, request_id: str) -> None:
        """Cancel a request."""
        secret = self.secret()
        self.log_fields.update(request_id=request_id, service=service)

        def event(token: str) -> Event:
            return CancelReceived(token, secret, request_id, service)

        await self.answer(request_id, event, self.context.cfg.operator_wait_ms, until_final=False)
