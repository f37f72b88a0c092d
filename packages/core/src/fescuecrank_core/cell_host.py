"""Lifecycle of the cells that this entry holds: takeover of records, backups and hand-over."""

import attrs

from fescuecrank_core.backups import BackupStore, PartsReceived
from fescuecrank_core.cell import Cell
from fescuecrank_core.claims import ClaimManager, pool_of_scope
from fescuecrank_core.clock import Instant
from fescuecrank_core.effects import Effect, Notice, SendPeer
from fescuecrank_core.entry_config import EntryConfig
from fescuecrank_core.events import (
    Instance,
    InstancesListed,
    TaskReported,
    WorkerControlled,
    WorkerPolled,
)
from fescuecrank_core.ids import IdGenerator
from fescuecrank_core.ledger import Ledger
from fescuecrank_core.ledger_state import Claim
from fescuecrank_core.membership import Membership
from fescuecrank_core.messages import (
    CancelNoted,
    CancelRequest,
    EscrowGrant,
    Forward,
    ForwardAccepted,
    ForwardAnswer,
    MoveAdvice,
    ReplicateAck,
    ResultRequest,
    TableCopy,
    TableRequest,
    TableStored,
)
from fescuecrank_core.publishing import Publisher
from fescuecrank_core.record_table import RecordTable
from fescuecrank_core.records import LIMITS_SCOPE, BackupsChanged
from fescuecrank_core.requests import Answer
from fescuecrank_core.workers import LEASE_MS, POLL_TIMEOUT_MS

COPY_REQUEST_INTERVAL_MS = 300
# Live sources answer within milliseconds; one that is silent for this long counts as lost.
COLLECT_TIMEOUT_MS = 2_000
# Longer than a gateway resends a submission.
REFUSED_SUBMISSION_RETENTION_MS = 120_000


@attrs.define
class Takeover:
    """Collection of the records of a claim before its cell may start.

    `unanswered` holds the sources that have not answered, `complete_sources` those that had a full
    copy.
    """

    claim: Claim
    started_ms: int
    table: RecordTable = attrs.field(factory=RecordTable)
    received: dict[str, PartsReceived] = attrs.field(factory=dict)
    unanswered: set[str] = attrs.field(factory=set)
    complete_sources: set[str] = attrs.field(factory=set)
    next_request_ms: int = 0

    def is_complete(self) -> bool:
        """Return whether no record of the previous epoch can be missing.

        Dispatch needed only one acknowledgement, so either the previous holder's own table is
        needed or those of all its backups.
        """
        if self.claim.source_epoch < 0 or self.claim.source_holder in self.complete_sources:
            return True
        backups = set(self.claim.source_backups)
        return bool(backups) and backups <= self.complete_sources


@attrs.frozen
class RefusedSubmission:
    """Answer to a refused submission, kept so that a late copy of it cannot run."""

    answer: Answer
    refused_ms: int


class CellHost:
    """Runs the cells of the claims that this entry holds."""

    def __init__(
        self,
        cfg: EntryConfig,
        ledger: Ledger,
        membership: Membership,
        claims: ClaimManager,
        publisher: Publisher,
        backups: BackupStore,
        ids: IdGenerator,
    ) -> None:
        self._cfg = cfg
        self._ledger = ledger
        self._membership = membership
        self._claims = claims
        self._publisher = publisher
        self._backups = backups
        self._ids = ids
        self._takeovers: dict[str, Takeover] = {}
        self._backup_changes: dict[str, BackupsChanged] = {}
        self._instances_by_name: dict[str, Instance] = {}
        self._instances: tuple[Instance, ...] = ()
        self._refused_submissions: dict[str, RefusedSubmission] = {}
        self._open_calls: set[str] = set()
        self.cells: dict[str, Cell] = {}

    def cell(self, scope: str) -> Cell | None:
        """Return a cell that this entry runs."""
        return self.cells.get(scope)

    def on_tick(self, now: Instant) -> list[Effect]:
        """Start the cells of new claims, stop those of lost claims, and run the others."""
        self._expire_refused_submissions(now)
        effects: list[Effect] = []
        for scope in self._claims.scopes():
            if scope != LIMITS_SCOPE:
                effects.extend(self._take_over(scope, now))
        for scope in [scope for scope in self.cells if not self._still_holds(scope)]:
            effects.extend(self._stop_cell(scope))
        for cell in self.cells.values():
            effects.extend(self._update_backups(cell, now))
            effects.extend(cell.on_tick(now))
        return effects

    def _still_holds(self, scope: str) -> bool:
        claim = self._claims.held_claim(scope)
        return claim is not None and claim.epoch == self.cells[scope].epoch

    def _stop_cell(self, scope: str) -> list[Effect]:
        cell = self.cells.pop(scope)
        self._open_calls |= cell.tasks.started_ids()
        self._backups.store_complete(scope, cell.epoch, cell.registry.table)
        return [Notice("cell_lost", {"scope": scope, "epoch": cell.epoch})]

    def _take_over(self, scope: str, now: Instant) -> list[Effect]:
        claim = self._claims.held_claim(scope)
        if claim is None:
            self._takeovers.pop(scope, None)
            return []
        if scope in self.cells and self.cells[scope].epoch == claim.epoch:
            return []
        takeover = self._takeovers.get(scope)
        if takeover is None or takeover.claim.epoch != claim.epoch:
            takeover = self._takeovers[scope] = self._begin_takeover(claim, now)
        return self._advance_takeover(takeover, now)

    def _begin_takeover(self, claim: Claim, now: Instant) -> Takeover:
        takeover = Takeover(claim, now.mono_ms)
        if claim.source_epoch >= 0:
            takeover.unanswered = {claim.source_holder, *claim.source_backups}
        own = self._backups.fence(claim.scope, claim.epoch)
        takeover.table.merge(own.table)
        if own.complete and own.epoch == claim.source_epoch:
            takeover.complete_sources.add(self._cfg.name)
        takeover.unanswered.discard(self._cfg.name)
        return takeover

    def _advance_takeover(self, takeover: Takeover, now: Instant) -> list[Effect]:
        timed_out = now.mono_ms - takeover.started_ms > COLLECT_TIMEOUT_MS
        collected = takeover.is_complete() or not takeover.unanswered or timed_out
        if collected and self._claims.is_usable(takeover.claim.scope, now):
            return self._start_cell(takeover, now)
        if now.mono_ms < takeover.next_request_ms:
            return []
        takeover.next_request_ms = now.mono_ms + COPY_REQUEST_INTERVAL_MS
        request = TableRequest(takeover.claim.scope, takeover.claim.epoch)
        return [SendPeer(name, request) for name in sorted(takeover.unanswered)]

    def _start_cell(self, takeover: Takeover, now: Instant) -> list[Effect]:
        claim = takeover.claim
        complete = takeover.is_complete()
        if not complete:
            # Requests submitted before now may have run although no record of them is left.
            claim = attrs.evolve(claim, records_since_ms=now.wall_ms)
        cell = Cell(
            claim,
            pool_of_scope(claim.scope),
            self._cfg.region,
            self._ledger,
            self._membership,
            self._claims,
            self._publisher,
            self._ids,
            takeover.table,
            now,
        )
        if not complete:
            # Tasks without a record end with their leases. Until then this cell cannot tell which
            # units they use, so it reports nothing and the minter keeps its own count.
            cell.accounts.report_after_ms = now.mono_ms + LEASE_MS + POLL_TIMEOUT_MS
        cell.workers.on_instances(self._instances_by_name, now)
        self.cells[claim.scope] = cell
        del self._takeovers[claim.scope]
        fields = {"scope": claim.scope, "epoch": claim.epoch, "complete": complete}
        return [Notice("cell_started", fields)]

    def _update_backups(self, cell: Cell, now: Instant) -> list[Effect]:
        if not self._membership.is_current(now):
            return []
        effects = cell.replicator.offer_copies(now)
        in_flight = self._backup_changes.get(cell.scope)
        if in_flight is not None and self._ledger.verdict(in_flight.record_id) is None:
            # Without a verdict the record may still be applied, so dispatch requires backups of
            # both lists.
            is_own_epoch = in_flight.epoch == cell.epoch
            if is_own_epoch and not self._publisher.is_pending(in_flight.record_id):
                effects.extend(self._publisher.publish(in_flight, now))
            if is_own_epoch:
                return effects
        cell.replicator.proposed_backups = None
        backups = cell.replicator.new_backups(now)
        if backups is None or not self._membership.has_quorum(now):
            return effects
        cell.replicator.proposed_backups = backups
        record = BackupsChanged(
            self._ids.next("backups"), cell.scope, cell.epoch, backups, cell.records_since_ms
        )
        self._backup_changes[cell.scope] = record
        return effects + self._publisher.publish(record, now)

    # Messages

    def on_table_request(self, sender: str, message: TableRequest, now: Instant) -> list[Effect]:
        """Send records to the next holder, and stop the cell if this entry still runs it."""
        cell = self.cells.get(message.scope)
        if cell is None:
            return self._backups.on_table_request(sender, message, now)
        # A later epoch is a claim that this entry has not acted on yet.
        if cell.epoch >= message.epoch:
            return []
        return [
            *self._stop_cell(message.scope),
            *self._backups.on_table_request(sender, message, now),
        ]

    def on_table_copy(self, sender: str, message: TableCopy, now: Instant) -> list[Effect]:
        """Add one part of a source's records to a takeover."""
        takeover = self._takeovers.get(message.scope)
        if takeover is None or takeover.claim.epoch != message.epoch:
            return []
        takeover.table.merge(message.records)
        received = takeover.received.setdefault(sender, PartsReceived())
        if received.add(message.copy_id, message.part, message.parts):
            takeover.unanswered.discard(sender)
            if message.source_epoch == takeover.claim.source_epoch:
                takeover.complete_sources.add(sender)
        return []

    def on_table_stored(self, sender: str, message: TableStored, now: Instant) -> list[Effect]:
        """Record that a backup holds a full copy."""
        cell = self.cells.get(message.scope)
        if cell is not None:
            cell.replicator.on_stored(sender, message)
        return []

    def on_replicate_ack(self, sender: str, message: ReplicateAck, now: Instant) -> list[Effect]:
        """Pass an acknowledgement to its cell."""
        cell = self.cells.get(message.scope)
        return cell.on_replicate_ack(sender, message, now) if cell else []

    def _cell_of_service(self, service: str) -> Cell | None:
        declared = self._ledger.fleet.services.get(service)
        if declared is None:
            return None
        cells = (cell for cell in self.cells.values() if cell.pool == declared.pool)
        return next(cells, None)

    def _active_cell(self, service: str, now: Instant) -> Cell | None:
        cell = self._cell_of_service(service)
        return cell if cell is not None and cell.may_dispatch(now) else None

    def on_forward(self, sender: str, message: Forward, now: Instant) -> list[Effect]:
        """Accept or refuse a request; without an answer, its gateway sends it again."""
        refused = self._refused_submissions.get(message.submission)
        if refused is not None:
            return [SendPeer(sender, ForwardAnswer(refused.answer))]
        cell = self._active_cell(message.request.service, now)
        if cell is None:
            return []
        answer = cell.refusal_answer(message, now)
        if answer is None:
            accepted = SendPeer(sender, ForwardAccepted(message.request.key, cell.epoch))
            return [accepted, *cell.submit(sender, message.request, now)]
        self._refused_submissions[message.submission] = RefusedSubmission(answer, now.mono_ms)
        return [SendPeer(sender, ForwardAnswer(answer))]

    def _expire_refused_submissions(self, now: Instant) -> None:
        while self._refused_submissions:
            submission, refused = next(iter(self._refused_submissions.items()))
            if now.mono_ms - refused.refused_ms <= REFUSED_SUBMISSION_RETENTION_MS:
                return
            del self._refused_submissions[submission]

    def on_cancel(self, sender: str, message: CancelRequest, now: Instant) -> list[Effect]:
        """Schedule a cancellation and acknowledge it."""
        cell = self._active_cell(message.service, now)
        if cell is None:
            return []
        cell.cancel(message.key)
        return [SendPeer(sender, CancelNoted(message.key))]

    def on_result_request(self, sender: str, message: ResultRequest, now: Instant) -> list[Effect]:
        """Answer a query about a request."""
        cell = self._active_cell(message.service, now)
        return cell.query(sender, message.query_id, message.key) if cell else []

    def on_grant(self, sender: str, message: EscrowGrant, now: Instant) -> list[Effect]:
        """Pass a grant to its cell."""
        cell = self.cells.get(message.cell)
        return cell.on_grant(message, now) if cell else []

    def on_move_advice(self, sender: str, message: MoveAdvice, now: Instant) -> list[Effect]:
        """Request the advised moves of instances to another pool."""
        cell = self.cells.get(message.cell)
        if cell is not None and cell.epoch == message.epoch:
            cell.outages.request_moves(message.to_pool, message.count)
        return []

    # Events

    def on_instances(self, event: InstancesListed, now: Instant) -> list[Effect]:
        """Pass the instance list to all cells."""
        # Nearly all polls find the list unchanged, and comparing the same objects costs little.
        if event.instances == self._instances:
            return []
        self._instances = event.instances
        self._instances_by_name = {item.name: item for item in event.instances}
        for cell in self.cells.values():
            cell.workers.on_instances(self._instances_by_name, now)
        return []

    def on_task(self, event: TaskReported, now: Instant) -> list[Effect]:
        """Pass a report about a task to its cell."""
        for cell in self.cells.values():
            if cell.owns_task(event.task_id):
                return cell.on_task(event, now)
        self._open_calls.discard(event.task_id)
        return []

    def open_call_count(self) -> int:
        """Return the number of open calls to endpoints for tasks of cells that were stopped."""
        return len(self._open_calls)

    def on_polled(self, event: WorkerPolled, now: Instant) -> list[Effect]:
        """Pass a poll's answer to the cells that know the worker."""
        effects: list[Effect] = []
        for cell in self.cells.values():
            effects.extend(cell.on_polled(event, now))
        return effects

    def on_controlled(self, event: WorkerControlled, now: Instant) -> list[Effect]:
        """Pass the result of a control command to the cells that know the worker."""
        effects: list[Effect] = []
        for cell in self.cells.values():
            effects.extend(cell.workers.on_controlled(event, now))
        return effects

    def explain_worker(self, worker: str) -> str | None:
        """Explain the state of a worker of one of the cells."""
        answers = (cell.outages.explain(worker) for cell in self.cells.values())
        return next((answer for answer in answers if answer is not None), None)
