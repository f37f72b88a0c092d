"""Publication of records on the log.

An append whose answer is lost is resolved by reading the log. Each publication ends with one of the
verdicts accepted, refused and unknown.
"""

import enum

import attrs

from fescuecrank_core.clock import Instant
from fescuecrank_core.effects import Append, Effect, ReplyVerdict, Verdict
from fescuecrank_core.events import AppendDone, AppendFailed, LogRead
from fescuecrank_core.ledger import Ledger
from fescuecrank_core.membership import Membership
from fescuecrank_core.records import Record

# After this time an operator gets the verdict `unknown` and may query the record id again.
VERDICT_TIMEOUT_MS = 8_000
# After this time a record of this entry is dropped; the component that published it decides again
# from the state at that time.
OWN_RECORD_TIMEOUT_MS = 15_000
APPEND_TIMEOUT_MS = 2_500
APPEND_RETRY_DELAY_MS = 400


class Step(enum.Enum):
    """Step of one publication: `LOOK_UP` waits for a read that shows if the append took effect."""

    SENT = "sent"
    STORED = "stored"
    LOOK_UP = "look_up"
    RETRY = "retry"


@attrs.define
class Publication:
    """A record without a verdict so far.

    `step_since_ms` is when the current step began. `maybe_stored` is true once an append may have
    taken effect; from then on the verdict cannot be that the record was never sent.
    """

    record: Record
    step: Step
    step_since_ms: int
    started_ms: int
    maybe_stored: bool = False
    reply_tokens: list[str] = attrs.field(factory=list)
    detail: str = ""


class Publisher:
    """Appends records and tracks each one until it has a verdict."""

    def __init__(self, ledger: Ledger, membership: Membership) -> None:
        self._ledger = ledger
        self._membership = membership
        self._pending: dict[str, Publication] = {}

    def is_pending(self, record_id: str) -> bool:
        """Return whether the record is in publication and has no verdict yet."""
        return record_id in self._pending

    def pending_count(self) -> int:
        """Return the number of records that have no verdict yet."""
        return len(self._pending)

    def publish(self, record: Record, now: Instant, reply_to: str = "") -> list[Effect]:
        """Append a record unless its id is known; reply to `reply_to` once there is a verdict."""
        publication = self._pending.get(record.record_id)
        if publication is not None:
            publication.reply_tokens.extend(filter(None, [reply_to]))
            return []
        publication = Publication(record, Step.SENT, now.mono_ms, now.mono_ms)
        publication.reply_tokens.extend(filter(None, [reply_to]))
        self._pending[record.record_id] = publication
        if self._ledger.verdict(record.record_id) is not None:
            publication.step = Step.STORED
            return self.on_tick(now)
        return [Append(record)]

    def query_verdict(self, record_id: str, reply_to: str, now: Instant) -> list[Effect]:
        """Reply with the verdict on a record id, at once or when its publication ends."""
        publication = self._pending.get(record_id)
        if publication is not None:
            publication.reply_tokens.append(reply_to)
            return []
        verdict = self._ledger.verdict(record_id)
        if verdict is None:
            detail = "this record id is not in the log as far as this entry has read it"
            return [ReplyVerdict(reply_to, record_id, Verdict.UNKNOWN, -1, detail)]
        if verdict.accepted and not self._membership.is_accepted(verdict.offset):
            detail = "in the log, but not yet applied by a majority of the entries"
            return [ReplyVerdict(reply_to, record_id, Verdict.UNKNOWN, verdict.offset, detail)]
        kind = Verdict.ACCEPTED if verdict.accepted else Verdict.REFUSED
        return [ReplyVerdict(reply_to, record_id, kind, verdict.offset, verdict.detail)]

    def on_append_done(self, event: AppendDone, now: Instant) -> list[Effect]:
        """Wait until the record is read from the log and folded."""
        publication = self._pending.get(event.record_id)
        if publication is not None:
            publication.maybe_stored = True
            self._set_step(publication, Step.STORED, now)
        return []

    def on_append_failed(self, event: AppendFailed, now: Instant) -> list[Effect]:
        """Append again, but first read the log if the record may be in it."""
        publication = self._pending.get(event.record_id)
        if publication is None or publication.step is Step.STORED:
            return []
        publication.detail = str(event.failure)
        publication.maybe_stored = publication.maybe_stored or event.maybe_stored
        self._set_step(publication, Step.LOOK_UP if event.maybe_stored else Step.RETRY, now)
        return []

    def on_log_read(self, event: LogRead, now: Instant) -> list[Effect]:
        """Retry appends whose record a later, complete read of the log did not return."""
        for publication in self._pending.values():
            read_after_failure = event.sent_mono_ms > publication.step_since_ms
            is_complete = self._ledger.applied >= event.end
            if publication.step is Step.LOOK_UP and read_after_failure and is_complete:
                self._set_step(publication, Step.RETRY, now)
        return []

    def on_tick(self, now: Instant) -> list[Effect]:
        """Reply where there is a verdict, retry appends, and end publications that time out."""
        effects: list[Effect] = []
        for record_id in list(self._pending):
            effects.extend(self._advance(self._pending[record_id], now))
        return effects

    def _advance(self, publication: Publication, now: Instant) -> list[Effect]:
        replies = self._reply_if_decided(publication)
        if replies is not None:
            return replies
        step_age = now.mono_ms - publication.step_since_ms
        if publication.step is Step.SENT and step_age > APPEND_TIMEOUT_MS:
            publication.maybe_stored = True
            self._set_step(publication, Step.LOOK_UP, now)
        age = now.mono_ms - publication.started_ms
        if publication.reply_tokens and age > VERDICT_TIMEOUT_MS:
            return self._time_out(publication)
        if age > OWN_RECORD_TIMEOUT_MS:
            return self._time_out(publication)
        if publication.step is Step.RETRY and step_age > APPEND_RETRY_DELAY_MS:
            self._set_step(publication, Step.SENT, now)
            return [Append(publication.record)]
        return []

    def _reply_if_decided(self, publication: Publication) -> list[Effect] | None:
        record_id = publication.record.record_id
        verdict = self._ledger.verdict(record_id)
        if verdict is None:
            return None
        if verdict.accepted and not self._membership.is_accepted(verdict.offset):
            return None
        del self._pending[record_id]
        kind = Verdict.ACCEPTED if verdict.accepted else Verdict.REFUSED
        return self._reply(publication, kind, verdict.offset, verdict.detail)

    def _time_out(self, publication: Publication) -> list[Effect]:
        del self._pending[publication.record.record_id]
        if not publication.maybe_stored:
            detail = f"never sent to the log: {publication.detail}"
            return self._reply(publication, Verdict.REFUSED, -1, detail)
        detail = f"no verdict in time: {publication.detail or 'the record may be in the log'}"
        return self._reply(publication, Verdict.UNKNOWN, -1, detail)

    def _reply(
        self, publication: Publication, verdict: Verdict, offset: int, detail: str
    ) -> list[Effect]:
        record_id = publication.record.record_id
        return [
            ReplyVerdict(reply_to, record_id, verdict, offset, detail)
            for reply_to in publication.reply_tokens
        ]

    def _set_step(self, publication: Publication, step: Step, now: Instant) -> None:
        publication.step = step
        publication.step_since_ms = now.mono_ms
