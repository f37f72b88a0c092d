"""Fleet-wide limits of teams, divided among the cells.

The minter, which runs at the holder of the `limits` claim, grants units of each team's limit to
cells. The minter counts the units that it has granted and the cell those that it has returned; both
counters only increase. A lost, repeated or late message therefore cannot create units: a cell never
has more units than the minter has recorded as allocated to it.
"""

from collections.abc import Callable

import attrs

from fescuecrank_core.clock import Instant
from fescuecrank_core.effects import Effect, SendPeer
from fescuecrank_core.ledger import Ledger
from fescuecrank_core.messages import EscrowDemand, EscrowGrant, EscrowReport
from fescuecrank_core.records import LIMITS_SCOPE

SEND_INTERVAL_MS = 200
URGENT_SEND_INTERVAL_MS = 25
# Unchanged messages are resent at this interval in case the last one was lost.
RESEND_INTERVAL_MS = 1_000
# A cell returns idle units only after this time, which saves a round trip between close tasks.
IDLE_RETENTION_MS = 1_000
# Granted units that a cell has work for are not recalled before this time.
MIN_GRANT_MS = 1_000


@attrs.define
class TeamAccount:
    """Units of one team in one cell.

    `opened` is the balance at the time the accounts were opened with the current minter. `recall`
    is the number of units that the minter has recalled and that are not returned yet; they are not
    used again once they are free.
    """

    opened: int = 0
    granted: int = 0
    returned: int = 0
    in_use: int = 0
    waiting: int = 0
    recall: int = 0
    idle_since_ms: int = 0

    @property
    def units(self) -> int:
        """Units that the cell has, whether in use or free."""
        return self.opened + self.granted - self.returned

    @property
    def need(self) -> int:
        """Units that the cell uses or has waiting work for."""
        return self.in_use + self.waiting

    @property
    def free(self) -> int:
        """Units that new tasks may use."""
        return self.units - self.in_use - self.recall

    def return_units(self, units: int) -> None:
        """Return up to this many units that are not in use to the minter."""
        count = max(0, min(units, self.units - self.in_use))
        self.returned += count
        self.recall = max(0, self.recall - count)


class CellAccounts:
    """Accounts of one cell: its units of each team's limit."""

    def __init__(self, scope: str, epoch: int, ledger: Ledger) -> None:
        self._scope = scope
        self._epoch = epoch
        self._ledger = ledger
        self._teams: dict[str, TeamAccount] = {}
        self._minter_epoch = -1
        self._is_open = False
        self._next_send_ms = 0
        self._sent_ms = 0
        self._last_demand: EscrowDemand | None = None
        self._last_demand_ms = 0
        self._report: dict[str, int] = {}
        self.report_after_ms = 0

    def team(self, name: str) -> TeamAccount:
        """Return the account of a team; an empty one is opened if there is none."""
        return self._teams.setdefault(name, TeamAccount())

    def teams(self) -> dict[str, TeamAccount]:
        """Return all accounts."""
        return self._teams

    def adopt_task(self, team: str, units: int) -> None:
        """Count the units of a task that an earlier holder of the cell may have started."""
        account = self.team(team)
        account.opened += units
        account.in_use += units

    def acquire(self, team: str, units: int) -> bool:
        """Reserve units for a task.

        If too few are free, return False and send the demand for more soon.
        """
        account = self.team(team)
        if account.free < units:
            if account.waiting == 0:
                earliest_ms = self._sent_ms + URGENT_SEND_INTERVAL_MS
                self._next_send_ms = min(self._next_send_ms, earliest_ms)
            account.waiting = max(account.waiting, units)
            return False
        account.in_use += units
        return True

    def release(self, team: str, units: int, now: Instant) -> None:
        """Free the units of a task that ended, and return those that the minter has recalled."""
        account = self.team(team)
        account.in_use -= units
        account.idle_since_ms = now.mono_ms
        account.return_units(account.recall)

    def release_adopted(self, team: str, units: int, now: Instant) -> None:
        """Return the units of a task that an earlier holder of the cell had started.

        They are not used again here. The earlier holder may already have used the same units for a
        later task, if its backups had not yet stored the end of this one.
        """
        self.release(team, units, now)
        self.team(team).return_units(units)

    def set_waiting(self, team: str, units: int) -> None:
        """Set the number of units that queued requests could use now."""
        self.team(team).waiting = units

    def on_grant(self, message: EscrowGrant, now: Instant) -> None:
        """Update the granted units and return the recalled ones."""
        is_valid = message.epoch == self._epoch and message.minter_epoch == self._minter_epoch
        if not is_valid:
            return
        self._is_open = True
        for team, granted in message.granted.items():
            account = self.team(team)
            account.granted = max(account.granted, granted)
        for name, account in self._teams.items():
            # When the minter computed the recall, it had not counted these returned units yet.
            uncounted = account.returned - message.returned.get(name, 0)
            account.recall = max(0, message.recall.get(name, 0) - uncounted)
            account.return_units(account.recall)

    def on_tick(self, now: Instant) -> list[Effect]:
        """Open the accounts with a new minter; once open, send the demand and returned units."""
        minter = self._ledger.holder(LIMITS_SCOPE)
        if minter is None or now.mono_ms < max(self._next_send_ms, self.report_after_ms):
            return []
        self._next_send_ms = now.mono_ms + SEND_INTERVAL_MS
        self._sent_ms = now.mono_ms
        epoch = self._ledger.claim(LIMITS_SCOPE).epoch
        if epoch != self._minter_epoch:
            self._open(epoch)
        if not self._is_open:
            report = EscrowReport(self._scope, self._epoch, epoch, dict(self._report))
            return [SendPeer(minter.name, report)]
        self._return_idle(now)
        need = {name: account.need for name, account in self._teams.items() if account.need}
        returned = {n: account.returned for n, account in self._teams.items() if account.returned}
        demand = EscrowDemand(self._scope, self._epoch, epoch, need, returned)
        if demand == self._last_demand and now.mono_ms - self._last_demand_ms < RESEND_INTERVAL_MS:
            return []
        self._last_demand = demand
        self._last_demand_ms = now.mono_ms
        return [SendPeer(minter.name, demand)]

    def _open(self, minter_epoch: int) -> None:
        # The report does not change after this: units of tasks that end later count as returned.
        # Grants of the earlier minter are ignored from now on.
        self._minter_epoch = minter_epoch
        self._is_open = False
        for account in self._teams.values():
            account.opened = account.units
            account.granted = account.returned = 0
        self._report = {name: a.opened for name, a in self._teams.items() if a.opened}

    def _return_idle(self, now: Instant) -> None:
        for account in self._teams.values():
            idle = now.mono_ms - account.idle_since_ms > IDLE_RETENTION_MS
            if idle and account.units > account.need:
                account.return_units(account.units - account.need)


@attrs.define
class CellAllocation:
    """Units that the minter has allocated to one cell under one claim of that cell."""

    epoch: int
    holder: str
    opened: dict[str, int] = attrs.field(factory=dict)
    granted: dict[str, int] = attrs.field(factory=dict)
    returned: dict[str, int] = attrs.field(factory=dict)
    need: dict[str, int] = attrs.field(factory=dict)
    recall: dict[str, int] = attrs.field(factory=dict)
    granted_ms: dict[str, int] = attrs.field(factory=dict)
    last_grant: EscrowGrant | None = None
    last_grant_ms: int = 0

    def shortfall(self, team: str) -> int:
        """Units that the cell needs and does not have."""
        return max(0, self.need.get(team, 0) - self.units(team))

    def grant(self, team: str, units: int, now: Instant) -> None:
        """Count units as granted."""
        self.granted[team] = self.granted.get(team, 0) + units
        self.granted_ms[team] = now.mono_ms

    def units(self, team: str) -> int:
        """Units of a team that are allocated to the cell."""
        opened = self.opened.get(team, 0)
        return opened + self.granted.get(team, 0) - self.returned.get(team, 0)


class Minter:
    """Grants units of each team's limit, at the holder of the `limits` claim."""

    def __init__(self, ledger: Ledger, may_act: Callable[[str, Instant], bool]) -> None:
        self._ledger = ledger
        self._may_act = may_act
        self._epoch = -1
        self._allocations: dict[str, CellAllocation] = {}
        self._next_tick_ms = 0

    def outstanding(self, team: str) -> int:
        """Units of a team that are allocated to all cells together."""
        return sum(item.units(team) for item in self._allocations.values())

    def _sync_epoch(self) -> bool:
        claim = self._ledger.claim(LIMITS_SCOPE)
        if claim is None:
            return False
        if claim.epoch != self._epoch:
            self._epoch = claim.epoch
            self._allocations = {}
        return True

    def on_report(self, sender: str, message: EscrowReport, now: Instant) -> list[Effect]:
        """Open the accounts of a cell, once for each claim of that cell, and reply with a grant."""
        if not self._sync_epoch() or message.minter_epoch != self._epoch:
            return []
        if not self._is_from_holder(sender, message.cell, message.epoch):
            return []
        allocation = self._allocations.get(message.cell)
        if allocation is None or allocation.epoch < message.epoch:
            allocation = CellAllocation(message.epoch, sender, dict(message.units))
            self._allocations[message.cell] = allocation
        return [self._grant_message(message.cell, allocation, now)]

    def on_demand(self, sender: str, message: EscrowDemand, now: Instant) -> list[Effect]:
        """Record the need and the returned units of a cell, and grant at once if it is short."""
        allocation = self._allocations.get(message.cell)
        is_known = allocation is not None and allocation.epoch == message.epoch
        if not is_known or message.minter_epoch != self._epoch:
            return []
        allocation.need = dict(message.need)
        for team, units in message.returned.items():
            allocation.returned[team] = max(allocation.returned.get(team, 0), units)
        short = [name for name in allocation.need if allocation.shortfall(name)]
        if not short or not self._may_act(LIMITS_SCOPE, now) or not self._all_reported():
            return []
        # A cell that is short has waiting requests, so it gets units before the next tick.
        for name in short:
            if name in self._ledger.fleet.teams:
                self._grant_team(name, self._ledger.fleet.teams[name].limit, now)
        return [self._grant_message(message.cell, allocation, now)]

    def _is_from_holder(self, sender: str, cell: str, epoch: int) -> bool:
        claim = self._ledger.claim(cell)
        return claim is not None and claim.epoch == epoch and claim.holder == sender

    def on_tick(self, now: Instant) -> list[Effect]:
        """Grant free units to cells that are short, and recall excess units."""
        if now.mono_ms < self._next_tick_ms or not self._may_act(LIMITS_SCOPE, now):
            return []
        self._next_tick_ms = now.mono_ms + SEND_INTERVAL_MS // 2
        if not self._sync_epoch() or not self._all_reported():
            return []
        for team in self._ledger.fleet.teams.values():
            self._grant_team(team.name, team.limit, now)
        self._recall_removed_teams()
        return [
            self._grant_message(cell, allocation, now)
            for cell, allocation in self._allocations.items()
            if self._is_grant_due(cell, allocation, now)
        ]

    def _is_grant_due(self, cell: str, allocation: CellAllocation, now: Instant) -> bool:
        if now.mono_ms - allocation.last_grant_ms >= RESEND_INTERVAL_MS:
            return True
        return self._grant(cell, allocation) != allocation.last_grant

    def _all_reported(self) -> bool:
        """Return whether there is an allocation for every cell that may have units.

        A cell that was never claimed has no units. For a cell whose new holder has not reported
        yet, the allocation of its last holder that reported to this minter remains in force.
        """
        cells = self._ledger.state.claims.keys() - {LIMITS_SCOPE}
        return cells <= self._allocations.keys()

    def _grant_team(self, team: str, limit: int, now: Instant) -> None:
        for allocation in self._allocations.values():
            allocation.recall.pop(team, None)
        left = limit - self.outstanding(team)
        if left < 0:
            self._recall_in_proportion(team, -left)
            return
        short_cells = [item for item in self._allocations.values() if item.shortfall(team)]
        while left > 0 and short_cells:
            # Cells with the fewest units come first, then those whose last grant is the oldest.
            short_cells.sort(key=lambda item: (item.units(team), item.granted_ms.get(team, 0)))
            units = min(max(1, left // len(short_cells)), short_cells[0].shortfall(team), left)
            short_cells[0].grant(team, units, now)
            left -= units
            short_cells = [item for item in short_cells if item.shortfall(team)]
        if short_cells:
            self._recall_for_shortfall(team, limit, now)

    def _recall_in_proportion(self, team: str, excess: int) -> None:
        total = self.outstanding(team)
        for allocation in self._allocations.values():
            units = allocation.units(team)
            if units > 0:
                allocation.recall[team] = min(units, -(-excess * units // total))

    def _recall_for_shortfall(self, team: str, limit: int, now: Instant) -> None:
        """Recall unused units, and units above an equal part, for cells that are short."""
        allocations = list(self._allocations.values())
        active = [item for item in allocations if item.need.get(team, 0)]
        part = limit // len(active)
        shortfall = sum(item.shortfall(team) for item in allocations)
        below_part = sum(
            max(0, min(item.need[team], max(1, part)) - item.units(team)) for item in active
        )
        for allocation in allocations:
            unused = max(0, allocation.units(team) - allocation.need.get(team, 0))
            # A cell must be able to use newly granted units before they are recalled.
            is_recent = now.mono_ms - allocation.granted_ms.get(team, 0) < MIN_GRANT_MS
            above = 0 if is_recent else max(0, min(allocation.units(team) - part, below_part))
            units = min(unused if is_recent else max(unused, above), max(shortfall, below_part))
            if units > 0:
                allocation.recall[team] = units
                shortfall -= units
                below_part -= units

    def _recall_removed_teams(self) -> None:
        teams = self._ledger.fleet.teams
        for allocation in self._allocations.values():
            for team in {*allocation.opened, *allocation.granted}:
                if team not in teams and allocation.units(team) > 0:
                    allocation.recall[team] = allocation.units(team)

    def _grant(self, cell: str, allocation: CellAllocation) -> EscrowGrant:
        return EscrowGrant(
            cell,
            allocation.epoch,
            self._epoch,
            dict(allocation.granted),
            dict(allocation.returned),
            dict(allocation.recall),
        )

    def _grant_message(self, cell: str, allocation: CellAllocation, now: Instant) -> SendPeer:
        allocation.last_grant = self._grant(cell, allocation)
        allocation.last_grant_ms = now.mono_ms
        return SendPeer(allocation.holder, allocation.last_grant)
