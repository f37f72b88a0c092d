"""Moves: one instance between two pools, with late appends and commands."""

from collections.abc import Iterator
from typing import NamedTuple

import attrs

from fescuecrank_model.specification import Mutant, Rules, Specification, Step

DONOR, RECIPIENT = 0, 1
POOLS = (DONOR, RECIPIENT)
FIRST_HOLDER, SECOND_HOLDER = 0, 1
HOLDERS = (FIRST_HOLDER, SECOND_HOLDER)
THIRD_POOL = 2


@attrs.frozen
class MoveRules(Rules):
    """Rules of sections 5, 6 and 9 that this specification can leave out."""

    follows_last_move: bool = True
    names_donor_claim: bool = True
    drain_before_append: bool = True
    keep_drained_if_unknown: bool = True
    recipient_waits_for_fold: bool = True
    fence_is_newest_offset: bool = True


class Record(NamedTuple):
    """`ClaimTaken` of the donor cell if `to` is -1, else `InstanceMoved` by a holder."""

    to: int
    holder: int


CLAIM = Record(-1, SECOND_HOLDER)


class Holder(NamedTuple):
    """A holder of the donor cell: log applied, whether it drained, moves that it appended."""

    applied: int
    drained: bool
    asked: frozenset[int]


class MoveState(NamedTuple):
    """The log, appends on their way to it, both donor holders, the recipient and the worker.

    `starts` holds commands on their way with their fence. `busy` lists the cells whose tasks run.
    """

    log: tuple[Record, ...]
    appends: frozenset[Record]
    holders: tuple[Holder, Holder]
    recipient: int
    starts: frozenset[tuple[int, int]]
    fence: int
    busy: frozenset[int]
    pools: int = 1
    recipient_refused: bool = False


def pool_of(log: tuple[Record, ...], rules: MoveRules) -> list[int]:
    """Return the pools that list the instance after folding `log`, and who holds the donor."""
    pools, epoch = {DONOR}, FIRST_HOLDER
    for record in log:
        if record == CLAIM:
            epoch = SECOND_HOLDER
        elif _wins(record, pools, epoch, rules):
            if rules.follows_last_move:
                pools.discard(DONOR)
            pools.add(record.to)
    return sorted(pools)


def _wins(record: Record, pools: set[int], epoch: int, rules: MoveRules) -> bool:
    if rules.names_donor_claim and record.holder != epoch:
        return False
    return DONOR in pools or not rules.follows_last_move


class Moves(Specification):
    """The first holder of the donor cell may lose its claim to the second one at any step.

    A holder's lapse lags behind its knowledge: it uses what its own prefix of the log says. An
    append may reach the log at any time after it was sent, whatever the sender was told.
    """

    name = "moves"
    rules_class = MoveRules
    max_states = 1_000_000

    def initial(self) -> MoveState:
        """Start with an idle instance in the donor pool."""
        holder = Holder(0, False, frozenset())
        return MoveState((), frozenset(), (holder, holder), 0, frozenset(), 0, frozenset())

    def steps(self, state: MoveState) -> Iterator[Step]:
        """Yield the steps of the log, the donor's holders, the recipient and the worker."""
        for label, after in self._all_steps(state):
            yield label, after._replace(pools=len(pool_of(after.log, self.rules)))

    def _all_steps(self, state: MoveState) -> Iterator[Step]:
        if CLAIM not in state.log:
            yield "second holder's claim is appended", state._replace(log=state.log + (CLAIM,))
        for record in sorted(state.appends):
            after = state._replace(log=state.log + (record,), appends=state.appends - {record})
            yield f"move to pool {record.to} by holder {record.holder} reaches the log", after
        for index in HOLDERS:
            yield from self._holder_steps(state, index)
        yield from self._recipient_steps(state)
        yield from self._worker_steps(state)

    def _holder_steps(self, state: MoveState, index: int) -> Iterator[Step]:
        holder = state.holders[index]
        if holder.applied < len(state.log):
            yield f"holder {index} applies a record", self._with(
                state, index, applied=holder.applied + 1
            )
        if not self._holds(state, index):
            return
        if not holder.drained:
            fence = self._donor_fence(state, index)
            if (fence, DONOR) not in state.starts:
                starts = state.starts | {(fence, DONOR)}
                yield f"holder {index} sends a start command", state._replace(starts=starts)
            if fence >= state.fence and DONOR not in state.busy:
                after = self._with(state, index, drained=True)
                mine = frozenset(s for s in state.starts if s != (fence, DONOR))
                yield f"holder {index} drained the worker", after._replace(
                    starts=mine, fence=max(fence, state.fence)
                )
        if holder.drained or not self.rules.drain_before_append:
            for to in (RECIPIENT, THIRD_POOL):
                if to not in holder.asked:
                    after = self._with(state, index, asked=holder.asked | {to})
                    yield f"holder {index} sends a move to pool {to}", after._replace(
                        appends=state.appends | {Record(to, index)}
                    )
        if holder.drained and self._may_return(holder):
            yield f"holder {index} returns the worker to service", self._with(
                state, index, drained=False
            )

    def _may_return(self, holder: Holder) -> bool:
        return not holder.asked or not self.rules.keep_drained_if_unknown

    @staticmethod
    def _with(state: MoveState, index: int, **changes: object) -> MoveState:
        holders = list(state.holders)
        holders[index] = holders[index]._replace(**changes)
        return state._replace(holders=tuple(holders))

    def _holds(self, state: MoveState, index: int) -> bool:
        known = state.log[: state.holders[index].applied]
        if DONOR not in pool_of(known, self.rules):
            return False
        return (CLAIM in known) == (index == SECOND_HOLDER)

    @staticmethod
    def _donor_fence(state: MoveState, index: int) -> int:
        return 0 if index == FIRST_HOLDER else state.log.index(CLAIM) + 1

    def _recipient_steps(self, state: MoveState) -> Iterator[Step]:
        if state.recipient < len(state.log):
            yield "recipient applies a record", state._replace(recipient=state.recipient + 1)
        known = state.log[: state.recipient]
        moved = RECIPIENT in pool_of(known, self.rules)
        fence = 0
        if moved and self.rules.fence_is_newest_offset:
            fence = 1 + next(n for n, record in enumerate(known) if record.to == RECIPIENT)
        if not self.rules.recipient_waits_for_fold:
            moved = moved or any(record.to == RECIPIENT for record in state.appends)
        if moved and (fence, RECIPIENT) not in state.starts and RECIPIENT not in state.busy:
            starts = state.starts | {(fence, RECIPIENT)}
            yield "recipient sends a start command", state._replace(starts=starts)

    def _worker_steps(self, state: MoveState) -> Iterator[Step]:
        for fence, cell in sorted(state.starts):
            after = state._replace(starts=state.starts - {(fence, cell)})
            if fence < state.fence:
                refused = state.recipient_refused or cell == RECIPIENT
                yield "worker refuses a fenced command", after._replace(recipient_refused=refused)
            else:
                busy = state.busy | {cell}
                yield f"worker starts a task of cell {cell}", after._replace(fence=fence, busy=busy)
        for cell in sorted(state.busy):
            yield f"a task of cell {cell} ends", state._replace(busy=state.busy - {cell})


ONE_POOL = "the fold has exactly one pool"
NOT_FENCED = "the worker accepts the recipient's commands"
ONE_USER = "one cell uses the instance"

Moves.properties = {
    ONE_USER: lambda s: len(s.busy) <= 1,
    ONE_POOL: lambda s: s.pools == 1,
    NOT_FENCED: lambda s: not s.recipient_refused,
}
Moves.witnesses = {
    "recipient uses the instance": lambda s: RECIPIENT in s.busy,
    "late append after the takeover": lambda s: (
        CLAIM in s.log and any(r.holder == FIRST_HOLDER and r.to >= 0 for r in s.log[1:])
    ),
    "two moves race": lambda s: sum(r.to >= 0 for r in s.log) >= 2,
}
Moves.mutants = (
    Mutant("follows_last_move", ONE_POOL),
    Mutant("names_donor_claim", ONE_USER),
    Mutant("drain_before_append", ONE_USER),
    Mutant("keep_drained_if_unknown", ONE_USER),
    Mutant("recipient_waits_for_fold", ONE_USER),
    Mutant("fence_is_newest_offset", NOT_FENCED),
)
