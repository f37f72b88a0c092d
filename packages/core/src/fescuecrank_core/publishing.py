"""Publication of records: lost answers, and the three verdicts accepted, refused and unknown."""

import enum

import attrs

from fescuecrank_core.clock import Instant
from fescuecrank_core.effects import Append, Effect, ReplyVerdict, Verdict
from fescuecrank_core.events import AppendDone, AppendFailed, LogRead
from fescuecrank_core.ledger import Ledger
from fescuecrank_core.membership import Membership
from fescuecrank_core.records import Record

# After this an operator is told `unknown` and asks again with the record id.
VERDICT_TIMEOUT_MS = 8_000
# Own records are given up after this; their publishers decide anew on the state they then see.
OWN_RECORD_TIMEOUT_MS = 15_000
APPEND_TIMEOUT_MS = 2_500
RETRY_MS = 400


class Step(enum.Enum):
    """Progress of one publication."""

    SENT = "sent"
    STORED = "stored"
    LOOK_UP = "look_up"
    RETRY = "retry"


@attrs.define
class Publication:
    """A record on its way.

    `since_ms` is when the present step began. `maybe_stored` is true once an append may have taken
    effect, from when on the record can no longer be refused as never sent.
    """

    record: Record
    step: Step
    since_ms: int
    started_ms: int
    maybe_stored: bool = False
    waiting: list[str] = attrs.field(factory=list)
    detail: str = ""


class Publisher:
    """Appends records and finds out what became of them."""

    def __init__(self, ledger: Ledger, membership: Membership) -> None:
        self._ledger = ledger
        self._membership = membership
        self._pending: dict[str, Publication] = {}

    def is_pending(self, record_id: str) -> bool:
        """Return whether the verdict on a record is still open."""
        return record_id in self._pending

    def pending_count(self) -> int:
        """Return the number of records whose verdict is open."""
        return len(self._pending)

    def publish(self, record: Record, now: Instant, reply_to: str = "") -> list[Effect]:
        """Append a record, unless the same id is known already; reply once there is a verdict."""
        publication = self._pending.get(record.record_id)
        if publication is not None:
            publication.waiting.extend(filter(None, [reply_to]))
            return []
        publication = Publication(record, Step.SENT, now.mono_ms, now.mono_ms)
        publication.waiting.extend(filter(None, [reply_to]))
        self._pending[record.record_id] = publication
        if self._ledger.verdict(record.record_id) is not None:
            publication.step = Step.STORED
            return self.on_tick(now)
        return [Append(record)]

    def ask(self, record_id: str, reply_to: str, now: Instant) -> list[Effect]:
        """Reply with the verdict on a record id, now or when it is known."""
        publication = self._pending.get(record_id)
        if publication is not None:
            publication.waiting.append(reply_to)
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
        """Wait for the fold."""
        publication = self._pending.get(event.record_id)
        if publication is not None:
            publication.maybe_stored = True
            self._enter(publication, Step.STORED, now)
        return []

    def on_append_failed(self, event: AppendFailed, now: Instant) -> list[Effect]:
        """Try again, after a look into the log if the record may stand there."""
        publication = self._pending.get(event.record_id)
        if publication is None or publication.step is Step.STORED:
            return []
        publication.detail = str(event.failure)
        publication.maybe_stored = publication.maybe_stored or event.maybe_stored
        self._enter(publication, Step.LOOK_UP if event.maybe_stored else Step.RETRY, now)
        return []

    def on_log_read(self, event: LogRead, now: Instant) -> list[Effect]:
        """Append again what a read that began after the failure did not show."""
        for publication in self._pending.values():
            looked = event.sent_mono_ms > publication.since_ms
            complete = self._ledger.applied >= event.end
            if publication.step is Step.LOOK_UP and looked and complete:
                self._enter(publication, Step.RETRY, now)
        return []

    def on_tick(self, now: Instant) -> list[Effect]:
        """Reply to what has a verdict, repeat appends, and give up in time."""
        effects: list[Effect] = []
        for record_id in list(self._pending):
            effects.extend(self._advance(self._pending[record_id], now))
        return effects

    def _advance(self, publication: Publication, now: Instant) -> list[Effect]:
        settled = self._settle(publication)
        if settled is not None:
            return settled
        in_step = now.mono_ms - publication.since_ms
        if publication.step is Step.SENT and in_step > APPEND_TIMEOUT_MS:
            publication.maybe_stored = True
            self._enter(publication, Step.LOOK_UP, now)
        age = now.mono_ms - publication.started_ms
        if publication.waiting and age > VERDICT_TIMEOUT_MS:
            return self._give_up(publication)
        if age > OWN_RECORD_TIMEOUT_MS:
            return self._give_up(publication)
        if publication.step is Step.RETRY and in_step > RETRY_MS:
            self._enter(publication, Step.SENT, now)
            return [Append(publication.record)]
        return []

    def _settle(self, publication: Publication) -> list[Effect] | None:
        record_id = publication.record.record_id
        verdict = self._ledger.verdict(record_id)
        if verdict is None:
            return None
        if verdict.accepted and not self._membership.is_accepted(verdict.offset):
            return None
        del self._pending[record_id]
        kind = Verdict.ACCEPTED if verdict.accepted else Verdict.REFUSED
        return self._reply(publication, kind, verdict.offset, verdict.detail)

    def _give_up(self, publication: Publication) -> list[Effect]:
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
            for reply_to in publication.waiting
        ]

    def _enter(self, publication: Publication, step: Step, now: Instant) -> None:
        publication.step = step
        publication.since_ms = now.mono_ms
