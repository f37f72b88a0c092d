"""Gateway of an entry: admits requests, forwards them to their holders and returns answers."""

import attrs

from fescuecrank_core.claims import cell_scope
from fescuecrank_core.clock import Instant
from fescuecrank_core.declarations import Resources, Service
from fescuecrank_core.effects import Effect, Reply, ReplyAccepted, ReplyFailure, SendPeer
from fescuecrank_core.entry_config import EntryConfig
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_core.events import (
    CallerGone,
    CancelReceived,
    RequestReceived,
    ResultAsked,
)
from fescuecrank_core.ids import IdGenerator
from fescuecrank_core.keys import key_id_of, verify_secret
from fescuecrank_core.ledger import Ledger
from fescuecrank_core.membership import Membership
from fescuecrank_core.messages import (
    CancelNoted,
    CancelRequest,
    Forward,
    ForwardAccepted,
    ForwardAnswer,
    ResultReply,
    ResultRequest,
)
from fescuecrank_core.record_table import has_future_timestamp
from fescuecrank_core.requests import Answer, Outcome, Request, RequestKey, RequestState

# A forward without an answer is sent again; the holder identifies the request by its key.
FORWARD_RESEND_INTERVAL_MS = 400
# A holder that accepted a request sends the answer unasked; resending only covers a lost answer.
ACCEPTED_RESEND_INTERVAL_MS = 5_000
# Both timeouts outlast a takeover of the cell, which takes about 6 s.
ANSWER_TIMEOUT_MS = 60_000
NO_HOLDER_TIMEOUT_MS = 10_000
QUERY_TIMEOUT_MS = 5_000
# Outlasts a takeover of the cell as well.
CANCEL_TIMEOUT_MS = 15_000
MAX_PENDING_REQUESTS = 20_000
MAX_CANCELS_PER_STEP = 64


@attrs.define
class PendingRequest:
    """A request that this entry follows until it ends.

    `sent` is true once a forward may have left this process; from then on only the holder can say
    that the request was not run. `accepted_epoch` is the epoch of the claim under which a holder
    accepted it, and `reply_tokens` name the callers that wait.
    """

    request: Request
    submission: str
    is_retry: bool
    created_ms: int
    reply_tokens: list[str] = attrs.field(factory=list)
    sent: bool = False
    next_send_ms: int = 0
    accepted_epoch: int | None = None

    def forward(self) -> Forward:
        """Return the message for the holder; all copies of it are equal."""
        return Forward(self.request, self.submission, self.is_retry)

    def outcome_if_unsent(self) -> Outcome:
        """Return the outcome of a request that this entry has not forwarded."""
        return Outcome.UNKNOWN if self.is_retry else Outcome.NOT_RUN


@attrs.define
class PendingQuery:
    """A caller's query about a request that no holder has answered yet."""

    reply_to: str
    key: RequestKey
    service: str
    explain: bool
    created_ms: int
    next_send_ms: int = 0


@attrs.define
class PendingCancel:
    """A cancellation that no holder has acknowledged yet."""

    service: str
    created_ms: int
    next_send_ms: int = 0


class Gateway:
    """Admits callers' requests and follows them until they are answered."""

    def __init__(
        self, cfg: EntryConfig, ledger: Ledger, membership: Membership, ids: IdGenerator
    ) -> None:
        self._cfg = cfg
        self._ledger = ledger
        self._membership = membership
        self._ids = ids
        self._pending: dict[RequestKey, PendingRequest] = {}
        self._queries: dict[str, PendingQuery] = {}
        self._cancels: dict[RequestKey, PendingCancel] = {}
        self.closed = False
        self.counts: dict[str, int] = {}

    def pending_forward(self, key: RequestKey) -> Forward:
        """Return the message by which a pending request is forwarded."""
        return self._pending[key].forward()

    def callers_waiting(self) -> int:
        """Return the number of callers whose connection waits here."""
        return sum(len(pending.reply_tokens) for pending in self._pending.values())

    def pending_count(self) -> int:
        """Return the number of requests that this entry follows until they end."""
        return len(self._pending)

    # Admission

    def on_request(self, event: RequestReceived, now: Instant) -> list[Effect]:
        """Admit a request, or refuse it with a reason; a refused request is not run."""
        request = event.request
        failure = self._admission_failure(now) or self._service_failure(request.service)
        failure = failure or self._id_failure(request, now)
        if failure is None:
            team = self._team_of(event.secret, self._ledger.fleet.services[request.service], now)
            if isinstance(team, Failure):
                failure = team
        if failure is not None:
            self._count("refused")
            return [self._refuse(event, failure)]
        request = self._with_defaults(request, RequestKey(team, request.key.request_id))
        return self._admit(request, event, now)

    def _refuse(self, event: RequestReceived, failure: Failure) -> Effect:
        """Refuse a submission; if it is a retry, an earlier copy may have run."""
        if not event.is_retry:
            return ReplyFailure(event.reply_to, failure)
        reason = f"not accepted ({failure.detail}); an earlier copy may have run"
        return Reply(event.reply_to, Answer(event.request.key, Outcome.UNKNOWN, reason))

    def _with_defaults(self, request: Request, key: RequestKey) -> Request:
        """Set what the caller did not declare to the defaults of the service's profile."""
        service = self._ledger.fleet.services[request.service]
        profile = self._ledger.fleet.profiles[service.profile]
        declared = request.need
        need = Resources(
            declared.cpu_millis or profile.need.cpu_millis,
            declared.memory_mb or profile.need.memory_mb,
            declared.accelerators or profile.need.accelerators,
            max(1, declared.slots),
        )
        run_ms = request.expected_run_ms or profile.expected_run_ms
        return attrs.evolve(request, key=key, need=need, expected_run_ms=run_ms)

    def _admission_failure(self, now: Instant) -> Failure | None:
        if self.closed:
            return self._unavailable("this entry is stopping")
        if not self._membership.is_current(now):
            return self._unavailable("this entry cannot tell whether its configuration is current")
        if len(self._pending) >= MAX_PENDING_REQUESTS:
            detail = f"{MAX_PENDING_REQUESTS} requests wait at this entry"
            return Failure(FailureKind.OVERLOADED, "gateway.admit", self._cfg.name, detail)
        return None

    def _unavailable(self, detail: str) -> Failure:
        return Failure(FailureKind.UNAVAILABLE, "gateway.admit", self._cfg.name, detail)

    def _id_failure(self, request: Request, now: Instant) -> Failure | None:
        if not has_future_timestamp(request.key.request_id, now.wall_ms):
            return None
        detail = "the time in the request id lies too far in the future"
        return Failure(FailureKind.INVALID, "gateway.admit", self._cfg.name, detail)

    def _service_failure(self, name: str) -> Failure | None:
        if name in self._ledger.fleet.services:
            return None
        detail = f"no service named {name!r}"
        return Failure(FailureKind.NOT_FOUND, "gateway.admit", self._cfg.name, detail)

    def _team_of(self, secret: str, service: Service, now: Instant) -> str | Failure:
        if not secret and service.open_to_all:
            return service.open_team
        key = self._ledger.state.keys.get(key_id_of(secret))
        if not verify_secret(secret, key) or key.kind != "team":
            detail = "the key is unknown, withdrawn, or not a team's key"
            return Failure(FailureKind.UNAUTHORIZED, "gateway.admit", self._cfg.name, detail)
        if key.team not in self._ledger.fleet.teams:
            detail = f"team {key.team!r} of this key is no longer declared"
            return Failure(FailureKind.FORBIDDEN, "gateway.admit", self._cfg.name, detail)
        return key.team

    def _admit(self, request: Request, event: RequestReceived, now: Instant) -> list[Effect]:
        pending = self._pending.get(request.key)
        if pending is not None and pending.request.fingerprint != request.fingerprint:
            detail = "the id was used before for a different request"
            failure = Failure(FailureKind.CONFLICT, "gateway.admit", self._cfg.name, detail)
            return [ReplyFailure(event.reply_to, failure)]
        if pending is None:
            self._count("admitted")
            submission = self._ids.next("submission")
            pending = PendingRequest(request, submission, event.is_retry, now.mono_ms)
            self._pending[request.key] = pending
        pending.reply_tokens.append(event.reply_to)
        return self._forward(pending, now)

    def _scope_of(self, service: str) -> str | None:
        """Return the scope of the cell that runs a service in the region of this entry."""
        declared = self._ledger.fleet.services.get(service)
        return cell_scope(self._cfg.region, declared.pool) if declared else None

    def _holder_of(self, service: str) -> str | None:
        scope = self._scope_of(service)
        holder = self._ledger.holder(scope) if scope else None
        return holder.name if holder else None

    def _forward(self, pending: PendingRequest, now: Instant) -> list[Effect]:
        pending.next_send_ms = now.mono_ms + FORWARD_RESEND_INTERVAL_MS
        if self._is_accepted_by_current_holder(pending):
            pending.next_send_ms = now.mono_ms + ACCEPTED_RESEND_INTERVAL_MS
        holder = self._holder_of(pending.request.service)
        if holder is None:
            return []
        pending.sent = True
        return [SendPeer(holder, pending.forward())]

    def _is_accepted_by_current_holder(self, pending: PendingRequest) -> bool:
        if pending.accepted_epoch is None:
            return False
        scope = self._scope_of(pending.request.service)
        claim = self._ledger.claim(scope) if scope else None
        return claim is not None and claim.epoch == pending.accepted_epoch

    def on_accepted(self, sender: str, message: ForwardAccepted, now: Instant) -> list[Effect]:
        """Tell the callers that their request is accepted, and resend it less often."""
        pending = self._pending.get(message.key)
        if pending is None or pending.accepted_epoch == message.epoch:
            return []
        is_first = pending.accepted_epoch is None
        pending.accepted_epoch = message.epoch
        pending.next_send_ms = now.mono_ms + ACCEPTED_RESEND_INTERVAL_MS
        if not is_first:
            return []
        text = "accepted; ask for the result by its id"
        return [ReplyAccepted(token, RequestState.QUEUED, text) for token in pending.reply_tokens]

    # Answers

    def on_answer(self, sender: str, message: ForwardAnswer, now: Instant) -> list[Effect]:
        """Pass a final answer to all callers that wait for this request."""
        answer = message.answer
        self._cancels.pop(answer.key, None)
        pending = self._pending.pop(answer.key, None)
        if pending is None:
            return []
        self._count(answer.outcome)
        return [Reply(reply_to, answer) for reply_to in pending.reply_tokens]

    def on_tick(self, now: Instant) -> list[Effect]:
        """Resend forwards, cancellations and queries, and answer those that timed out."""
        effects: list[Effect] = []
        for pending in list(self._pending.values()):
            effects.extend(self._update_pending(pending, now))
        effects.extend(self._send_cancels(now))
        for query_id in list(self._queries):
            effects.extend(self._update_query(query_id, now))
        return effects

    def _update_pending(self, pending: PendingRequest, now: Instant) -> list[Effect]:
        age = now.mono_ms - pending.created_ms
        if not pending.sent and age > NO_HOLDER_TIMEOUT_MS:
            return self._finish(
                pending, pending.outcome_if_unsent(), "no entry schedules this service now"
            )
        if age > ANSWER_TIMEOUT_MS:
            return self._time_out(pending)
        holder_changed = (
            pending.accepted_epoch is not None and not self._is_accepted_by_current_holder(pending)
        )
        if holder_changed:
            pending.accepted_epoch = None
            pending.next_send_ms = now.mono_ms
        if now.mono_ms >= pending.next_send_ms:
            return self._forward(pending, now)
        return []

    def _time_out(self, pending: PendingRequest) -> list[Effect]:
        """Answer callers that waited for too long; the request itself goes on."""
        return self._finish(pending, Outcome.UNKNOWN, "no answer in time; ask again with this id")

    def _finish(self, pending: PendingRequest, outcome: Outcome, reason: str) -> list[Effect]:
        del self._pending[pending.request.key]
        self._count(outcome)
        answer = Answer(pending.request.key, outcome, reason)
        return [Reply(reply_to, answer) for reply_to in pending.reply_tokens]

    def answer_all_pending(self) -> list[Effect]:
        """Answer all waiting callers with the outcome as far as it is known; the entry stops."""
        effects: list[Effect] = []
        for pending in list(self._pending.values()):
            outcome = Outcome.UNKNOWN if pending.sent else pending.outcome_if_unsent()
            effects.extend(self._finish(pending, outcome, "the entry is stopping"))
        return effects

    def on_caller_gone(self, event: CallerGone, now: Instant) -> list[Effect]:
        """Drop a caller that has disconnected; its request goes on and can be queried.

        The forward is still resent, so that a queued request is not lost with its holder.
        """
        for pending in self._pending.values():
            if event.reply_to in pending.reply_tokens:
                pending.reply_tokens.remove(event.reply_to)
        for query_id, query in list(self._queries.items()):
            if query.reply_to == event.reply_to:
                del self._queries[query_id]
        return []

    # Cancellations and queries

    def _authorized_key(
        self, secret: str, service: str, request_id: str, now: Instant
    ) -> RequestKey | Failure:
        if not self._membership.is_current(now):
            return self._unavailable("this entry cannot tell whether its configuration is current")
        failure = self._service_failure(service)
        if failure is not None:
            return failure
        team = self._team_of(secret, self._ledger.fleet.services[service], now)
        return team if isinstance(team, Failure) else RequestKey(team, request_id)

    def on_cancel(self, event: CancelReceived, now: Instant) -> list[Effect]:
        """Cancel a request; its waiting callers get the outcome."""
        key = self._authorized_key(event.secret, event.service, event.request_id, now)
        if isinstance(key, Failure):
            return [ReplyFailure(event.reply_to, key)]
        self._cancels[key] = PendingCancel(event.service, now.mono_ms)
        return [
            ReplyAccepted(event.reply_to, "cancelling", "ask for the result to see the outcome")
        ]

    def _send_cancels(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        for key, cancel in list(self._cancels.items()):
            if len(effects) >= MAX_CANCELS_PER_STEP:
                break
            if now.mono_ms - cancel.created_ms > CANCEL_TIMEOUT_MS:
                del self._cancels[key]
                continue
            holder = self._holder_of(cancel.service)
            if holder is not None and now.mono_ms >= cancel.next_send_ms:
                cancel.next_send_ms = now.mono_ms + FORWARD_RESEND_INTERVAL_MS
                effects.append(SendPeer(holder, CancelRequest(key, cancel.service)))
        return effects

    def on_cancel_noted(self, sender: str, message: CancelNoted, now: Instant) -> list[Effect]:
        """Stop resending a cancellation."""
        self._cancels.pop(message.key, None)
        return []

    def on_result_asked(self, event: ResultAsked, now: Instant) -> list[Effect]:
        """Query the holder for the state or the answer of a request."""
        key = self._authorized_key(event.secret, event.service, event.request_id, now)
        if isinstance(key, Failure):
            return [ReplyFailure(event.reply_to, key)]
        query_id = self._ids.next("query")
        self._queries[query_id] = PendingQuery(
            event.reply_to, key, event.service, event.explain, now.mono_ms
        )
        return self._update_query(query_id, now)

    def _update_query(self, query_id: str, now: Instant) -> list[Effect]:
        query = self._queries[query_id]
        if now.mono_ms - query.created_ms > QUERY_TIMEOUT_MS:
            del self._queries[query_id]
            detail = "the holder of the cell gave no answer in time"
            failure = Failure(FailureKind.TIMEOUT, "gateway.query", self._cfg.name, detail)
            return [ReplyFailure(query.reply_to, failure)]
        holder = self._holder_of(query.service)
        if holder is None or now.mono_ms < query.next_send_ms:
            return []
        query.next_send_ms = now.mono_ms + FORWARD_RESEND_INTERVAL_MS
        return [SendPeer(holder, ResultRequest(query.key, query.service, query_id))]

    def on_result_reply(self, sender: str, message: ResultReply, now: Instant) -> list[Effect]:
        """Pass the holder's reply to the caller."""
        query = self._queries.pop(message.query_id, None)
        if query is None:
            return []
        if not message.known:
            detail = "no request with this id is known; its record may have expired"
            failure = Failure(FailureKind.NOT_FOUND, "gateway.query", sender, detail)
            return [ReplyFailure(query.reply_to, failure)]
        if message.answer is None or query.explain:
            return [ReplyAccepted(query.reply_to, message.state, message.explanation)]
        return [Reply(query.reply_to, message.answer)]

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
