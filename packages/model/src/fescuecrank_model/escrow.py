"""Escrow: units of one team's limit, which a minter allocates to the accounts of two cells."""

from collections.abc import Iterator
from typing import NamedTuple

import attrs

from fescuecrank_model.specification import Mutant, Rules, Specification, Step

CELLS = (0, 1)
LIMIT = 2
LOWERED_LIMIT = 1
MAX_GRANTS = 3
MAX_RETURNS = 2
NEVER = -1
# Bounds the units and tasks of a cell in mutants, so that their search stays finite.
MAX_UNITS = 3


@attrs.frozen
class EscrowRules(Rules):
    """Rules of section 8 of the design that mutants disable."""

    debit_before_return: bool = True
    messages_carry_totals: bool = True
    grant_within_limit: bool = True
    start_on_free_unit: bool = True
    grants_name_minter_epoch: bool = True
    grants_name_cell_epoch: bool = True
    returns_name_cell_epoch: bool = True
    open_once_per_claim: bool = True
    new_minter_waits_for_reports: bool = True
    wait_for_unknown_tasks: bool = True
    adopted_units_returned: bool = True


class Account(NamedTuple):
    """A cell's account with the minter of epoch `minter`, and the numbers of its tasks.

    `epoch` is the claim of the cell. `opened` is the number of units that the cell had when the
    account was opened; `granted` and `returned` are totals since then. Tasks in `running` were
    started by the current holder. Tasks in `ended_unstored` have ended, but the backups have not
    stored that yet. The current holder took over the tasks in `adopted`, which run, and those in
    `adopted_ended`, which have ended without its knowledge. Tasks in `unknown` run, but the
    takeover found no record of them.
    """

    epoch: int
    minter: int
    opened: int
    granted: int
    returned: int
    running: int
    ended_unstored: int
    adopted: int
    adopted_ended: int
    unknown: int

    @property
    def usable(self) -> int:
        """Units that are free or used by running tasks, whether the holder knows of them or not."""
        return self.units - self.adopted_ended + self.unknown

    @property
    def units(self) -> int:
        """Units that the cell has."""
        return self.opened + self.granted - self.returned


class Allocation(NamedTuple):
    """Units that the minter has allocated to one cell; `epoch` is the claim of the cell."""

    epoch: int
    opened: int
    granted: int
    returned: int

    @property
    def units(self) -> int:
        """Units that the cell may have, by what the minter knows."""
        return self.opened + self.granted - self.returned


class SentTotals(NamedTuple):
    """Highest totals sent for one pair of epochs; `report` is `NEVER` before the report is sent.

    Totals grow by one, so every lower total was sent as well and may still arrive.
    """

    report: int
    granted: int
    returned: int


class EscrowState(NamedTuple):
    """Limit, minter, cells and messages; `minter` is the epoch of the current minter.

    `sent` has one item for each cell and pair of epochs, see `_pair_index`.
    """

    limit: int
    limit_at_last_grant: int
    minter: int
    allocations: tuple[Allocation, ...]
    cells: tuple[Account, ...]
    sent: tuple[SentTotals, ...]
    grants: int


UNOPENED = Allocation(NEVER, 0, 0, 0)


def _pair_index(cell: int, epoch: int, minter: int) -> int:
    return 4 * cell + 2 * epoch + minter


def _with_item(items: tuple, index: int, **changes: int) -> tuple:
    return items[:index] + (items[index]._replace(**changes),) + items[index + 1 :]


class Escrow(Specification):
    """Messages may be lost, duplicated and reordered without bound.

    The holder of cell 0 and the minter each crash at most once, and the limit is lowered at most
    once. A cell may return a free unit at any time, which covers every return after a recall.
    """

    name = "escrow"
    rules_class = EscrowRules
    max_states = 2_000_000

    def initial(self) -> EscrowState:
        """Start with open accounts and all units at the minter."""
        return EscrowState(
            limit=LIMIT,
            limit_at_last_grant=LIMIT,
            minter=0,
            allocations=(Allocation(0, 0, 0, 0),) * 2,
            cells=(Account(0, 0, 0, 0, 0, 0, 0, 0, 0, 0),) * 2,
            sent=(SentTotals(NEVER, 0, 0),) * 8,
            grants=0,
        )

    def steps(self, state: EscrowState) -> Iterator[Step]:
        """Yield the steps of the minter, the cells, the messages and the faults."""
        if state.limit == LIMIT:
            yield "limit is lowered", state._replace(limit=LOWERED_LIMIT)
        if state.minter == 0:
            after = state._replace(minter=1, allocations=(UNOPENED,) * 2)
            yield "minter crashes, another takes over", after
        yield from self._takeover_steps(state)
        for index in CELLS:
            yield from self._minter_steps(state, index)
            yield from self._open_steps(state, index)
            yield from self._task_steps(state, index)
            yield from self._return_steps(state, index)
            yield from self._grant_steps(state, index)

    def _minter_steps(self, state: EscrowState, index: int) -> Iterator[Step]:
        allocation = state.allocations[index]
        if allocation.epoch != NEVER and state.grants < MAX_GRANTS and self._may_grant(state):
            granted = allocation.granted + 1
            pair = _pair_index(index, allocation.epoch, state.minter)
            after = state._replace(
                allocations=_with_item(state.allocations, index, granted=granted),
                sent=_with_item(state.sent, pair, granted=max(granted, state.sent[pair].granted)),
                limit_at_last_grant=state.limit,
                grants=state.grants + 1,
            )
            yield f"minter grants a unit to cell {index}", after
        for epoch in (0, 1):
            sent = state.sent[_pair_index(index, epoch, state.minter)]
            is_new = epoch > allocation.epoch or (
                epoch == allocation.epoch and not self.rules.open_once_per_claim
            )
            if sent.report != NEVER and is_new:
                allocations = _with_item(
                    state.allocations, index, epoch=epoch, opened=sent.report, granted=0, returned=0
                )
                label = f"report of {sent.report} units of cell {index} arrives"
                yield label, state._replace(allocations=allocations)
            if epoch != allocation.epoch and (
                self.rules.returns_name_cell_epoch or allocation.epoch == NEVER
            ):
                continue
            for total in range(allocation.returned + 1, sent.returned + 1):
                allocations = _with_item(state.allocations, index, returned=total)
                label = f"minter receives the returned total {total} of cell {index}"
                yield label, state._replace(allocations=allocations)

    def _may_grant(self, state: EscrowState) -> bool:
        if (
            any(allocation.epoch == NEVER for allocation in state.allocations)
            and self.rules.new_minter_waits_for_reports
        ):
            return False
        allocated = sum(allocation.units for allocation in state.allocations)
        return allocated < state.limit or not self.rules.grant_within_limit

    def _open_steps(self, state: EscrowState, index: int) -> Iterator[Step]:
        cell = state.cells[index]
        if cell.minter == state.minter:
            return
        if cell.unknown and self.rules.wait_for_unknown_tasks:
            return
        changes = {"minter": state.minter, "opened": cell.units, "granted": 0, "returned": 0}
        after = state._replace(
            cells=_with_item(state.cells, index, **changes),
            sent=_with_item(
                state.sent, _pair_index(index, cell.epoch, state.minter), report=cell.units
            ),
        )
        yield f"cell {index} opens its account with {cell.units} units", after

    def _task_steps(self, state: EscrowState, index: int) -> Iterator[Step]:
        cell = state.cells[index]
        free = self._free_units(cell)
        may_start = free > 0 or (cell.units > 0 and not self.rules.start_on_free_unit)
        if may_start and cell.running < MAX_UNITS:
            cells = _with_item(state.cells, index, running=cell.running + 1)
            yield f"cell {index} starts a task", state._replace(cells=cells)
        # Whether an end is stored matters only for a later takeover, and only cell 0 has one.
        has_takeover = index == 0 and cell.epoch == 0
        if cell.running and cell.ended_unstored < MAX_UNITS:
            ended_unstored = cell.ended_unstored + has_takeover
            cells = _with_item(
                state.cells, index, running=cell.running - 1, ended_unstored=ended_unstored
            )
            yield f"a task of cell {index} ends", state._replace(cells=cells)
        if cell.ended_unstored:
            cells = _with_item(state.cells, index, ended_unstored=cell.ended_unstored - 1)
            yield f"backups of cell {index} store the end of a task", state._replace(cells=cells)
        if cell.adopted:
            changes = {"adopted": cell.adopted - 1, "adopted_ended": cell.adopted_ended + 1}
            cells = _with_item(state.cells, index, **changes)
            yield f"a task that cell {index} took over ends", state._replace(cells=cells)
        if cell.adopted_ended:
            yield self._adopted_end_step(state, index)
        if cell.unknown:
            cells = _with_item(state.cells, index, unknown=cell.unknown - 1)
            yield f"the lease of an unknown task of cell {index} ends", state._replace(cells=cells)

    def _adopted_end_step(self, state: EscrowState, index: int) -> Step:
        """Return the step in which the holder learns of the end of an adopted task.

        It returns the unit of the task to the minter instead of using it again, because the former
        holder may have used it for another task.
        """
        cell = state.cells[index]
        changes = {"adopted_ended": cell.adopted_ended - 1}
        sent = state.sent
        if self.rules.adopted_units_returned and cell.minter == NEVER:
            changes["opened"] = cell.opened - 1
        elif self.rules.adopted_units_returned:
            changes["returned"] = cell.returned + 1
            pair = _pair_index(index, cell.epoch, cell.minter)
            # A total above the bound need not be sent, because messages may be lost.
            sent = _with_item(sent, pair, returned=min(MAX_RETURNS, sent[pair].returned + 1))
        cells = _with_item(state.cells, index, **changes)
        label = f"cell {index} learns that a task that it took over has ended"
        return label, state._replace(cells=cells, sent=sent)

    @staticmethod
    def _free_units(cell: Account) -> int:
        return cell.units - cell.running - cell.adopted - cell.adopted_ended

    def _return_steps(self, state: EscrowState, index: int) -> Iterator[Step]:
        cell = state.cells[index]
        if cell.minter == NEVER or self._free_units(cell) <= 0:
            return
        pair = _pair_index(index, cell.epoch, cell.minter)
        total = state.sent[pair].returned + 1
        if total <= MAX_RETURNS:
            returned = cell.returned + self.rules.debit_before_return
            after = state._replace(
                cells=_with_item(state.cells, index, returned=returned),
                sent=_with_item(state.sent, pair, returned=total),
            )
            yield f"cell {index} returns a unit", after

    @staticmethod
    def _takeover_steps(state: EscrowState) -> Iterator[Step]:
        cell = state.cells[0]
        if cell.epoch:
            return
        for known in range(cell.running + 1):
            units = known + cell.ended_unstored
            unknown = cell.running - known
            account = Account(1, NEVER, units, 0, 0, 0, 0, known, cell.ended_unstored, unknown)
            label = f"cell 0 is taken over with {units} tasks known, {unknown} not"
            yield label, state._replace(cells=(account, state.cells[1]))

    def _grant_steps(self, state: EscrowState, index: int) -> Iterator[Step]:
        cell = state.cells[index]
        for epoch in (0, 1):
            for minter in (0, 1):
                if not self._is_addressed(cell, epoch, minter):
                    continue
                for total in range(1, state.sent[_pair_index(index, epoch, minter)].granted + 1):
                    credited = max(cell.granted, total)
                    if not self.rules.messages_carry_totals:
                        credited = min(cell.granted + total, MAX_UNITS)
                    if credited == cell.granted:
                        continue
                    cells = _with_item(state.cells, index, granted=credited)
                    yield f"granted total {total} arrives at cell {index}", state._replace(
                        cells=cells
                    )

    def _is_addressed(self, cell: Account, epoch: int, minter: int) -> bool:
        if cell.minter == NEVER:
            return False
        has_cell_epoch = epoch == cell.epoch or not self.rules.grants_name_cell_epoch
        has_minter_epoch = minter == cell.minter or not self.rules.grants_name_minter_epoch
        return has_cell_epoch and has_minter_epoch


def _within_allocations(state: EscrowState) -> bool:
    pairs = zip(state.cells, state.allocations, strict=True)
    return all(
        allocation.epoch == NEVER or cell.usable <= allocation.units for cell, allocation in pairs
    )


def _running_tasks(state: EscrowState) -> int:
    return sum(cell.running + cell.adopted + cell.unknown for cell in state.cells)


WITHIN_ALLOCATION = "usable units of a cell never exceed its allocation at the minter"
WITHIN_LIMIT = "usable units of all cells stay within the limit at the last grant"
RUNNING_WITHIN_LIMIT = "running tasks stay within the limit at the last grant"

Escrow.properties = {
    WITHIN_ALLOCATION: _within_allocations,
    WITHIN_LIMIT: lambda s: sum(cell.usable for cell in s.cells) <= s.limit_at_last_grant,
    RUNNING_WITHIN_LIMIT: lambda s: _running_tasks(s) <= s.limit_at_last_grant,
}
Escrow.witnesses = {
    "limit in use by both cells": lambda s: all(cell.running for cell in s.cells),
    "grant under the lowered limit after returns": lambda s: (
        s.limit_at_last_grant == LOWERED_LIMIT and s.grants == MAX_GRANTS
    ),
    "grant of a new minter is used": lambda s: (
        s.minter == 1 and any(cell.granted and cell.running for cell in s.cells)
    ),
    "takeover that misses a running task": lambda s: s.cells[0].unknown > 0,
    "takeover that adopts an ended task": lambda s: s.cells[0].adopted_ended > 0,
    "grant lost to a takeover": lambda s: (
        s.grants == 1
        and s.allocations[0].epoch == 1
        and s.sent[0].granted
        and not s.allocations[0].units
    ),
}
Escrow.mutants = (
    Mutant("debit_before_return", WITHIN_ALLOCATION),
    Mutant("messages_carry_totals", WITHIN_ALLOCATION),
    Mutant("grant_within_limit", WITHIN_LIMIT),
    Mutant("start_on_free_unit", RUNNING_WITHIN_LIMIT),
    Mutant("grants_name_minter_epoch", WITHIN_ALLOCATION),
    Mutant("grants_name_cell_epoch", WITHIN_ALLOCATION),
    Mutant("returns_name_cell_epoch", WITHIN_ALLOCATION),
    Mutant("open_once_per_claim", WITHIN_ALLOCATION),
    Mutant("new_minter_waits_for_reports", WITHIN_LIMIT),
    Mutant("wait_for_unknown_tasks", RUNNING_WITHIN_LIMIT),
    Mutant("adopted_units_returned", RUNNING_WITHIN_LIMIT),
)
