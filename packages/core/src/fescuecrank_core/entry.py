"""Composition root of the core: builds the components of one entry and wires its reducer."""

from collections.abc import Callable

import attrs

from fescuecrank_core import events, messages
from fescuecrank_core.backups import BackupStore
from fescuecrank_core.cell_host import CellHost
from fescuecrank_core.claims import ClaimManager
from fescuecrank_core.clock import Instant
from fescuecrank_core.effects import Effect, ListInstances
from fescuecrank_core.entry_config import INSTANCE_LIST_INTERVAL_MS, EntryConfig
from fescuecrank_core.escrow import Minter
from fescuecrank_core.gateway import Gateway
from fescuecrank_core.ids import IdGenerator
from fescuecrank_core.ledger import Ledger
from fescuecrank_core.log_reader import LogReader
from fescuecrank_core.membership import Membership
from fescuecrank_core.metrics import Sample, collect
from fescuecrank_core.move_adviser import MoveAdviser
from fescuecrank_core.operators import OperatorApi
from fescuecrank_core.publishing import Publisher
from fescuecrank_core.reducer import Reducer
from fescuecrank_core.shutdown import Shutdown
from fescuecrank_core.snapshots import SnapshotWriter

__all__ = ["Entry", "EntryConfig", "build_entry"]


@attrs.frozen
class Entry:
    """All components of one entry, for tests and benchmarks; the daemon uses only the reducer."""

    cfg: EntryConfig
    ledger: Ledger
    membership: Membership
    reader: LogReader
    publisher: Publisher
    claims: ClaimManager
    backups: BackupStore
    cell_host: CellHost
    gateway: Gateway
    operators: OperatorApi
    minter: Minter
    move_adviser: MoveAdviser
    snapshots: SnapshotWriter
    shutdown: Shutdown
    reducer: Reducer


class InstancePoller:
    """Requests the instance list at a fixed interval."""

    def __init__(self) -> None:
        self._next_ms = 0

    def on_tick(self, now: Instant) -> list[Effect]:
        """Request the instance list if it is due."""
        if now.mono_ms < self._next_ms:
            return []
        self._next_ms = now.mono_ms + INSTANCE_LIST_INTERVAL_MS
        return [ListInstances()]


def build_entry(cfg: EntryConfig, now: Instant) -> Reducer:
    """Return the reducer of one entry."""
    return compose(cfg, now).reducer


def compose(cfg: EntryConfig, now: Instant) -> Entry:
    """Build the components of one entry and connect them."""
    ids = IdGenerator(cfg.name, cfg.incarnation)
    ledger = Ledger()
    membership = Membership(cfg, ledger, now)
    reader = LogReader(cfg, ledger, membership, now)
    publisher = Publisher(ledger, membership)
    claims = ClaimManager(cfg, ledger, membership, publisher, ids)
    backups = BackupStore()
    cell_host = CellHost(cfg, ledger, membership, claims, publisher, backups, ids)
    gateway = Gateway(cfg, ledger, membership, ids)
    operators = OperatorApi(cfg, ledger, membership, publisher, cell_host, ids)
    minter = Minter(ledger, claims.may_act)
    move_adviser = MoveAdviser(ledger, membership, claims)
    snapshots = SnapshotWriter(cfg, ledger, membership, claims, publisher, ids)
    shutdown = Shutdown(membership, claims, cell_host, gateway)
    components = {
        "cfg": cfg,
        "ledger": ledger,
        "membership": membership,
        "reader": reader,
        "publisher": publisher,
        "claims": claims,
        "backups": backups,
        "cell_host": cell_host,
        "gateway": gateway,
        "operators": operators,
        "minter": minter,
        "move_adviser": move_adviser,
        "snapshots": snapshots,
        "shutdown": shutdown,
    }
    reducer = _build_reducer(**components)
    return Entry(**components, reducer=reducer)


def _build_reducer(
    cfg: EntryConfig,
    ledger: Ledger,
    membership: Membership,
    reader: LogReader,
    publisher: Publisher,
    claims: ClaimManager,
    backups: BackupStore,
    cell_host: CellHost,
    gateway: Gateway,
    operators: OperatorApi,
    minter: Minter,
    move_adviser: MoveAdviser,
    snapshots: SnapshotWriter,
    shutdown: Shutdown,
) -> Reducer:
    tick_order = (
        membership,
        reader,
        publisher,
        claims,
        backups,
        cell_host,
        minter,
        move_adviser,
        snapshots,
        gateway,
        operators,
        shutdown,
        InstancePoller(),
    )
    event_handlers = {
        events.Tick: tuple(_ignore_event(component.on_tick) for component in tick_order),
        events.LogRead: (reader.on_log_read, publisher.on_log_read),
        events.LogExpired: (reader.on_log_expired,),
        events.LogUnreadable: (reader.on_log_unreadable,),
        events.AppendDone: (publisher.on_append_done,),
        events.AppendFailed: (publisher.on_append_failed,),
        events.InstancesListed: (cell_host.on_instances,),
        events.RequestReceived: (gateway.on_request,),
        events.CancelReceived: (gateway.on_cancel,),
        events.ResultAsked: (gateway.on_result_asked,),
        events.CallerGone: (gateway.on_caller_gone,),
        events.PublishAsked: (operators.on_publish,),
        events.PublicationAsked: (operators.on_publication_asked,),
        events.StatusAsked: (operators.on_status,),
        events.TaskReported: (cell_host.on_task,),
        events.WorkerPolled: (cell_host.on_polled,),
        events.WorkerControlled: (cell_host.on_controlled,),
        events.ShutdownAsked: (shutdown.on_shutdown,),
    }
    message_handlers = {
        messages.Heartbeat: membership.on_heartbeat,
        messages.RecordsRequest: reader.on_records_request,
        messages.RecordsRelay: reader.on_records_relay,
        messages.LedgerRequest: reader.on_ledger_request,
        messages.LedgerCopy: reader.on_ledger_copy,
        messages.Forward: cell_host.on_forward,
        messages.ForwardAccepted: gateway.on_accepted,
        messages.ForwardAnswer: gateway.on_answer,
        messages.CancelRequest: cell_host.on_cancel,
        messages.CancelNoted: gateway.on_cancel_noted,
        messages.ResultRequest: cell_host.on_result_request,
        messages.ResultReply: gateway.on_result_reply,
        messages.Replicate: backups.on_replicate,
        messages.ReplicateAck: cell_host.on_replicate_ack,
        messages.TableOffer: backups.on_table_offer,
        messages.TableStored: cell_host.on_table_stored,
        messages.TableRequest: cell_host.on_table_request,
        messages.TableCopy: cell_host.on_table_copy,
        messages.EscrowReport: minter.on_report,
        messages.EscrowDemand: minter.on_demand,
        messages.EscrowGrant: cell_host.on_grant,
        messages.CellLoad: move_adviser.on_load,
        messages.MoveAdvice: cell_host.on_move_advice,
        messages.ViewRequest: operators.on_view_request,
        messages.ViewReply: operators.on_view_reply,
    }

    def metrics(now: Instant) -> list[Sample]:
        backup_count = backups.__len__
        return collect(ledger, membership, publisher, backup_count, cell_host, gateway, now)

    def is_ready(now: Instant) -> bool:
        has_config = bool(ledger.fleet.services) or bool(ledger.state.members)
        return has_config and membership.is_current(now) and not membership.draining

    return Reducer(cfg.name, event_handlers, message_handlers, metrics, is_ready)


def _ignore_event(on_tick: Callable[[Instant], list[Effect]]) -> Callable:
    def handle(event: events.Event, now: Instant) -> list[Effect]:
        return on_tick(now)

    return handle
