"""Metric samples of one entry, including idle workers, share gaps, wave progress and moves."""

from collections.abc import Callable, Iterator

import attrs

from fescuecrank_core.budgets import Budget
from fescuecrank_core.cell import Cell
from fescuecrank_core.cell_host import CellHost
from fescuecrank_core.clock import Instant
from fescuecrank_core.gateway import Gateway
from fescuecrank_core.ledger import Ledger
from fescuecrank_core.membership import Membership
from fescuecrank_core.publishing import Publisher


@attrs.frozen
class Sample:
    """One metric sample; `name` is a key of `DESCRIPTIONS`. Names of counters end in `_total`."""

    name: str
    value: float
    labels: dict[str, str] = attrs.field(factory=dict)


DESCRIPTIONS = {
    "log_applied_offset": "Offset of the log record that is read next.",
    "log_read_age_ms": "Age of the last read of the log to its end, in ms.",
    "entry_current": "Whether this entry can prove that its configuration is current.",
    "members": "Entries that count towards majorities.",
    "members_live": "Members heard from lately, this entry included.",
    "publications_pending": "Records whose verdict is open.",
    "backup_records": "Request records kept for other holders.",
    "gateway_waiting": "Requests whose callers wait at this entry.",
    "gateway_requests_total": "Requests at this entry by outcome.",
    "cell_queue": "Requests that wait in a cell.",
    "cell_running": "Tasks of a cell that may be running.",
    "cell_workers_in_service": "Workers of a cell that take tasks.",
    "cell_workers_idle": "Workers in service without a task: the buffer that is paid for.",
    "cell_workers_out": "Workers out of service by reason.",
    "cell_budget_left": "Instances that planned work may still take out.",
    "cell_retry_tokens": "Retries that the budget allows now.",
    "cell_share_gap": "Entitled less held dominant share of a team with waiting work.",
    "escrow_units": "Units of a team's limit that a cell has.",
    "escrow_units_in_use": "Units of a team's limit that running tasks of a cell use.",
    "wave_instances_done": "Instances that a wave has maintained.",
    "wave_instances": "Instances that a wave covers.",
    "moves_total": "Instances that have moved between pools since the log began.",
}


def collect(
    ledger: Ledger,
    membership: Membership,
    publisher: Publisher,
    backup_count: Callable[[], int],
    cell_host: CellHost,
    gateway: Gateway,
    now: Instant,
) -> list[Sample]:
    """Return all metric samples of one entry."""
    samples = [
        Sample("log_applied_offset", ledger.applied),
        Sample("log_read_age_ms", min(membership.log_read_age_ms(now), now.mono_ms)),
        Sample("entry_current", float(membership.is_current(now))),
        Sample("members", len(ledger.state.members)),
        Sample("members_live", len(membership.live_members(now))),
        Sample("publications_pending", publisher.pending_count()),
        Sample("backup_records", backup_count()),
        Sample("gateway_waiting", gateway.pending_count()),
        Sample("moves_total", ledger.state.moves),
    ]
    for outcome, count in gateway.counts.items():
        samples.append(Sample("gateway_requests_total", count, {"outcome": str(outcome)}))
    samples.extend(_wave_samples(ledger))
    for cell in cell_host.cells.values():
        samples.extend(_cell_samples(cell))
    return samples


def _wave_samples(ledger: Ledger) -> Iterator[Sample]:
    for wave in ledger.state.waves.values():
        pools = wave.pools or tuple(ledger.fleet.pools)
        total = sum(len(ledger.workers_of(pool)) for pool in pools)
        yield Sample("wave_instances", total, {"wave": wave.wave_id})
        yield Sample("wave_instances_done", len(wave.done), {"wave": wave.wave_id})


def _cell_samples(cell: Cell) -> Iterator[Sample]:
    label = {"cell": cell.scope}
    views = cell.workers.views()
    usable = cell.workers.usable()
    yield Sample("cell_queue", len(cell.queue), label)
    yield Sample("cell_running", len(cell.tasks), label)
    yield Sample("cell_workers_in_service", len(usable), label)
    yield Sample("cell_workers_idle", sum(not views[name].tasks for name in usable), label)
    yield Sample("cell_retry_tokens", cell.retries.tokens, label)
    yield from _budget_samples(cell, label)
    for team, gap in cell.queue.share_gaps().items():
        yield Sample("cell_share_gap", gap, {**label, "team": team})
    for team, account in cell.accounts.teams().items():
        yield Sample("escrow_units", account.units, {**label, "team": team})
        yield Sample("escrow_units_in_use", account.in_use, {**label, "team": team})


def _budget_samples(cell: Cell, label: dict[str, str]) -> Iterator[Sample]:
    out = cell.workers.out_reasons()
    for reason in sorted(set(out.values())):
        count = sum(other is reason for other in out.values())
        yield Sample("cell_workers_out", count, {**label, "reason": reason.value})
    left = max(0, Budget(cell.workers.profile()).planned_limit - len(out))
    yield Sample("cell_budget_left", left, label)
