"""Escrow: units of one team's upper limit between a minter and two cells."""

from collections.abc import Iterator
from typing import NamedTuple

import attrs

from fescuecrank_model.specification import Mutant, Rules, Specification, Step

CELLS = (0, 1)
LIMIT = 2
LOWERED = 1
MAX_GRANTS = 3
MAX_RETURNS = 1
MAX_ASKED = 2
MAX_STARTS = 2


@attrs.frozen
class EscrowRules(Rules):
    """Rules of section 8 that this specification can leave out."""

    debit_first: bool = True
    transfers_once: bool = True
    grant_within_limit: bool = True
    grants_name_report: bool = True
    returns_name_report: bool = True
    reports_numbered: bool = True
    report_once: bool = True
    new_minter_waits: bool = True
    wait_for_unknown_tasks: bool = True


class Transfer(NamedTuple):
    """One unit on its way; `asked` numbers the report request that it follows."""

    number: int
    cell: int
    asked: int


class Reply(NamedTuple):
    """A cell's report of its account."""

    cell: int
    asked: int
    units: int


class Cell(NamedTuple):
    """One cell; `hidden` tasks run without the present holder knowing them."""

    epoch: int
    asked: int
    free: int
    running: int
    hidden: int
    starts: int


class Account(NamedTuple):
    """What the minter knows about one cell; `open` is an unanswered report request."""

    epoch: int
    asked: int
    units: int
    open: bool


class EscrowState(NamedTuple):
    """Limit, minter, cells and the messages sent so far, any of which may arrive again.

    `granted_under` is the limit at the last grant.
    """

    limit: int
    granted_under: int
    minter: int
    accounts: tuple[Account, Account]
    cells: tuple[Cell, Cell]
    grants: frozenset[Transfer]
    returns: frozenset[Transfer]
    replies: frozenset[Reply]
    granted: int
    returned: int
    seen_grants: frozenset[int]
    seen_returns: frozenset[int]


def _put(items: tuple, index: int, **changes: object) -> tuple:
    updated = list(items)
    updated[index] = items[index]._replace(**changes)
    return tuple(updated)


class Escrow(Specification):
    """Transfers may be lost, repeated and reordered without bound.

    The holder of cell 0 and the minter each crash at most once, the limit falls once. A grant or
    a return that is never delivered stands for a lost one.
    """

    name = "escrow"
    rules_class = EscrowRules
    max_states = 2_000_000

    def initial(self) -> EscrowState:
        """Start with all units at the minter."""
        return EscrowState(
            limit=LIMIT,
            granted_under=LIMIT,
            minter=0,
            accounts=(Account(0, 0, 0, False),) * 2,
            cells=(Cell(0, 0, 0, 0, 0, 0),) * 2,
            grants=frozenset(),
            returns=frozenset(),
            replies=frozenset(),
            granted=0,
            returned=0,
            seen_grants=frozenset(),
            seen_returns=frozenset(),
        )

    def steps(self, state: EscrowState) -> Iterator[Step]:
        """Yield the steps of the minter, the cells, the messages and the faults."""
        for label, after in self._all_steps(state):
            yield label, self._reduced(after)

    def _reduced(self, state: EscrowState) -> EscrowState:
        """Drop messages that can have no further effect, whenever they arrive."""
        grants = frozenset(g for g in state.grants if self._grant_lives(state, g))
        returns = frozenset(u for u in state.returns if self._return_lives(state, u))
        replies = frozenset(r for r in state.replies if self._reply_lives(state, r))
        return state._replace(
            grants=grants,
            returns=returns,
            replies=replies,
            seen_grants=state.seen_grants & frozenset(g.number for g in grants),
            seen_returns=state.seen_returns & frozenset(u.number for u in returns),
        )

    def _grant_lives(self, state: EscrowState, grant: Transfer) -> bool:
        cell = state.cells[grant.cell]
        if grant.number in state.seen_grants and self.rules.transfers_once:
            return False
        return grant.asked >= cell.asked or not self.rules.grants_name_report

    def _return_lives(self, state: EscrowState, unit: Transfer) -> bool:
        if unit.number in state.seen_returns and self.rules.transfers_once:
            return False
        asked = state.accounts[unit.cell].asked
        return unit.asked == asked or not self.rules.returns_name_report

    @staticmethod
    def _reply_lives(state: EscrowState, reply: Reply) -> bool:
        account = state.accounts[reply.cell]
        return account.open and account.asked == reply.asked

    def _all_steps(self, state: EscrowState) -> Iterator[Step]:
        if state.limit == LIMIT:
            yield "limit is lowered", state._replace(limit=LOWERED)
        if state.minter == 0:
            yield "minter crashes, another takes over", self._new_minter(state)
        for cell in CELLS:
            yield from self._minter_steps(state, cell)
            yield from self._cell_steps(state, cell)
        yield from self._takeover_steps(state)
        yield from self._arrivals(state)

    def _new_minter(self, state: EscrowState) -> EscrowState:
        accounts = tuple(
            Account(state.cells[c].epoch, state.accounts[c].asked + 1, 0, True) for c in CELLS
        )
        return state._replace(minter=1, accounts=accounts, seen_returns=frozenset())

    def _minter_steps(self, state: EscrowState, cell: int) -> Iterator[Step]:
        account = state.accounts[cell]
        if state.granted < MAX_GRANTS and self._may_grant(state, account):
            grant = Transfer(state.granted, cell, account.asked)
            after = state._replace(
                accounts=_put(state.accounts, cell, units=account.units + 1),
                grants=state.grants | {grant},
                granted=state.granted + 1,
                granted_under=state.limit,
            )
            yield f"minter grants a unit to cell {cell}", after
        if not account.open and account.asked < MAX_ASKED and cell == 0:
            asked = account.asked + self.rules.reports_numbered
            accounts = _put(state.accounts, cell, asked=asked, open=True)
            yield f"minter asks cell {cell} to report", state._replace(accounts=accounts)

    def _may_grant(self, state: EscrowState, account: Account) -> bool:
        if account.open and self.rules.new_minter_waits:
            return False
        if any(a.open for a in state.accounts) and state.minter and self.rules.new_minter_waits:
            return False
        held = sum(a.units for a in state.accounts)
        return held < state.limit or not self.rules.grant_within_limit

    def _cell_steps(self, state: EscrowState, index: int) -> Iterator[Step]:
        cell = state.cells[index]
        if cell.free and cell.starts < MAX_STARTS:
            cells = _put(
                state.cells,
                index,
                free=cell.free - 1,
                running=cell.running + 1,
                starts=cell.starts + 1,
            )
            yield f"cell {index} starts a task", state._replace(cells=cells)
        if cell.running:
            cells = _put(state.cells, index, free=cell.free + 1, running=cell.running - 1)
            yield f"a task of cell {index} ends", state._replace(cells=cells)
        if index == 0 and cell.free and state.returned < MAX_RETURNS:
            free = cell.free - self.rules.debit_first
            unit = Transfer(state.returned, index, cell.asked)
            after = state._replace(
                cells=_put(state.cells, index, free=free),
                returns=state.returns | {unit},
                returned=state.returned + 1,
            )
            yield f"cell {index} returns a unit", after
        if cell.hidden:
            cells = _put(state.cells, index, hidden=cell.hidden - 1)
            yield f"the lease of an unknown task of cell {index} ends", state._replace(cells=cells)
        yield from self._report_steps(state, index)

    def _report_steps(self, state: EscrowState, index: int) -> Iterator[Step]:
        cell, account = state.cells[index], state.accounts[index]
        if not account.open or cell.epoch != account.epoch:
            return
        if cell.hidden and self.rules.wait_for_unknown_tasks:
            return
        if self._answered_once and cell.asked == account.asked:
            return
        reply = Reply(index, account.asked, cell.free + cell.running)
        if reply not in state.replies:
            cells = _put(state.cells, index, asked=account.asked)
            after = state._replace(cells=cells, replies=state.replies | {reply})
            yield f"cell {index} reports {reply.units} units", after

    @property
    def _answered_once(self) -> bool:
        return self.rules.report_once and self.rules.reports_numbered

    def _takeover_steps(self, state: EscrowState) -> Iterator[Step]:
        cell = state.cells[0]
        if cell.epoch:
            return
        for found in range(cell.running + 1):
            cells = _put(
                state.cells,
                0,
                epoch=1,
                asked=0,
                free=0,
                running=found,
                hidden=cell.running - found,
            )
            asked = state.accounts[0].asked + self.rules.reports_numbered
            accounts = _put(state.accounts, 0, epoch=1, asked=asked, open=True)
            label = f"cell 0 is taken over with {found} of {cell.running} tasks known"
            yield label, state._replace(cells=cells, accounts=accounts)

    def _arrivals(self, state: EscrowState) -> Iterator[Step]:
        for grant in sorted(state.grants):
            if self._grant_counts(state, grant):
                cell = state.cells[grant.cell]
                after = state._replace(
                    cells=_put(state.cells, grant.cell, free=cell.free + 1),
                    seen_grants=state.seen_grants | {grant.number},
                )
                yield f"grant {grant.number} arrives at cell {grant.cell}", after
        for unit in sorted(state.returns):
            if self._return_counts(state, unit):
                account = state.accounts[unit.cell]
                after = state._replace(
                    accounts=_put(state.accounts, unit.cell, units=account.units - 1),
                    seen_returns=state.seen_returns | {unit.number},
                )
                yield f"return of cell {unit.cell} arrives at the minter", after
        for reply in sorted(state.replies):
            if self._reply_lives(state, reply):
                accounts = _put(state.accounts, reply.cell, units=reply.units, open=False)
                label = f"report of {reply.units} units of cell {reply.cell} arrives"
                yield label, state._replace(accounts=accounts)

    def _grant_counts(self, state: EscrowState, grant: Transfer) -> bool:
        cell = state.cells[grant.cell]
        if not self._grant_lives(state, grant):
            return False
        return cell.free + cell.running <= LIMIT

    def _return_counts(self, state: EscrowState, unit: Transfer) -> bool:
        account = state.accounts[unit.cell]
        if account.open or account.units == 0:
            return False
        return self._return_lives(state, unit)


def _held(state: EscrowState) -> int:
    return sum(cell.free + cell.running + cell.hidden for cell in state.cells)


def _running(state: EscrowState) -> int:
    return sum(cell.running + cell.hidden for cell in state.cells)


Escrow.properties = {
    "running stays within the limit of the last grant": lambda s: _running(s) <= s.granted_under,
    "accounts stay within the limit of the last grant": lambda s: _held(s) <= s.granted_under,
    "the minter's sum stays within the limit": lambda s: (
        sum(a.units for a in s.accounts) <= s.granted_under
    ),
}
Escrow.witnesses = {
    "limit in use by both cells": lambda s: all(c.running for c in s.cells),
    "grant under the lowered limit after a return": lambda s: (
        s.granted_under == LOWERED and s.returned == 1 and s.granted == 3
    ),
    "grant of a new minter": lambda s: s.minter == 1
    and any(g.asked and g.number for g in s.grants)
    and not any(a.open for a in s.accounts),
    "takeover that misses a running task": lambda s: s.cells[0].hidden > 0,
    "grant lost to a takeover": lambda s: (
        s.cells[0].epoch == 1 and s.granted == 1 and not _held(s) and not s.accounts[0].open
    ),
}
RUNNING = "running stays within the limit of the last grant"
Escrow.mutants = (
    Mutant("debit_first", RUNNING),
    Mutant("transfers_once", RUNNING),
    Mutant("grant_within_limit", RUNNING),
    Mutant("grants_name_report", RUNNING),
    Mutant("returns_name_report", RUNNING),
    Mutant("reports_numbered", RUNNING),
    Mutant("report_once", RUNNING),
    Mutant("new_minter_waits", RUNNING),
    Mutant("wait_for_unknown_tasks", RUNNING),
)
