"""Registry of the requests of one cell at its holder, with the gateways that wait for answers."""

import attrs

from fescuecrank_core.clock import Instant
from fescuecrank_core.effects import Effect, SendPeer
from fescuecrank_core.messages import ForwardAnswer
from fescuecrank_core.record_table import RecordTable
from fescuecrank_core.replication import Replicator
from fescuecrank_core.requests import (
    Answer,
    Outcome,
    Request,
    RequestKey,
    RequestRecord,
    RequestState,
)

# The epoch forms the high bits, so that changes of a later epoch supersede those of earlier ones.
SEQ_BITS = 32


class RequestRegistry:
    """Changes the records of requests, replicates them, and answers the gateways that wait."""

    def __init__(self, epoch: int, table: RecordTable, replicator: Replicator) -> None:
        self.table = table
        self._replicator = replicator
        self._seq = epoch << SEQ_BITS
        self._waiting_gateways: dict[RequestKey, set[str]] = {}

    def get(self, key: RequestKey) -> RequestRecord | None:
        """Return the record of a request."""
        return self.table.get(key)

    def add(self, sender: str, request: Request, now: Instant) -> None:
        """Add a record of a new request; it is replicated when the request is placed."""
        self._waiting_gateways.setdefault(request.key, set()).add(sender)
        self.store(RequestRecord(request, RequestState.QUEUED, 0), now)

    def attach(self, sender: str, record: RequestRecord, request: Request) -> list[Effect]:
        """Let a gateway wait for a known request, or answer it."""
        key = request.key
        if record.request.fingerprint != request.fingerprint:
            reason = "the id was used before for a different request"
            answer = Answer(key, Outcome.NOT_RUN, reason, status=422)
            return [SendPeer(sender, ForwardAnswer(answer))]
        if record.state is RequestState.ENDED:
            return [SendPeer(sender, ForwardAnswer(record.answer))]
        self._waiting_gateways.setdefault(key, set()).add(sender)
        return []

    def store(self, record: RequestRecord, now: Instant) -> RequestRecord:
        """Store a changed record at this entry only."""
        self._seq += 1
        record = attrs.evolve(record, seq=self._seq, updated_wall_ms=now.wall_ms)
        self.table.put(record)
        return record

    def replicate(self, record: RequestRecord, now: Instant) -> list[Effect]:
        """Store a changed record at this entry and on the backups."""
        return self._replicator.send(self.store(record, now), now)

    def end(self, record: RequestRecord, answer: Answer, now: Instant) -> list[Effect]:
        """End a request and answer all gateways that wait for it."""
        ended = attrs.evolve(record, state=RequestState.ENDED, task=None, answer=answer)
        effects = self.replicate(ended, now)
        for sender in sorted(self._waiting_gateways.pop(answer.key, ())):
            effects.append(SendPeer(sender, ForwardAnswer(answer)))
        return effects

    def end_unstarted(
        self, record: RequestRecord, outcome: Outcome, reason: str, now: Instant
    ) -> list[Effect]:
        """End a request that is not running now; earlier attempts may have had effects."""
        if record.attempts > 0:
            outcome = Outcome.FAILED
            reason = f"{reason}, after {record.attempts} attempts"
        answer = Answer(record.request.key, outcome, reason, runs=record.attempts)
        return self.end(record, answer, now)
