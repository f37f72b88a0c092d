"""Moves: one instance moves between pools while appends and commands are delayed."""

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
    """Rules of sections 5, 6 and 9 of the design that mutants disable.

    By `follows_last_move` and `names_donor_claim`, a move takes effect only if it names the last
    move of the instance and the present claim of the donor cell.
    """

    follows_last_move: bool = True
    names_donor_claim: bool = True
    drain_before_append: bool = True
    keep_drained_while_unknown: bool = True
    recipient_waits_for_fold: bool = True
    fence_is_newest_offset: bool = True


class Record(NamedTuple):
    """`ClaimTaken` on the donor cell if `to_pool` is -1, else `InstanceMoved` by a holder."""

    to_pool: int
    holder: int


CLAIM = Record(-1, SECOND_HOLDER)


class Holder(NamedTuple):
    """A holder of the donor cell.

    `applied` is the number of records that it has applied, `drained` whether it has drained the
    worker, and `sent_moves` contains the pools of the moves that it has sent to the log.
    """

    applied: int
    drained: bool
    sent_moves: frozenset[int]


class MoveState(NamedTuple):
    """The log, both holders of the donor cell, the recipient, the worker, and what is in flight.

    `recipient_applied` is the number of records that the recipient has applied. `starts_in_flight`
    contains the fence and the cell of each start command. `cells_running` lists the cells of the
    tasks that run on the worker. `pool_count` is the number of pools that list the instance.
    """

    log: tuple[Record, ...]
    appends_in_flight: frozenset[Record]
    holders: tuple[Holder, Holder]
    recipient_applied: int
    starts_in_flight: frozenset[tuple[int, int]]
    fence: int
    cells_running: frozenset[int]
    pool_count: int = 1
    recipient_refused: bool = False


def fold_pools(log: tuple[Record, ...], rules: MoveRules) -> list[int]:
    """Return the pools that list the instance after `log` is folded."""
    pools, epoch = {DONOR}, FIRST_HOLDER
    for record in log:
        if record == CLAIM:
            epoch = SECOND_HOLDER
        elif _takes_effect(record, pools, epoch, rules):
            if rules.follows_last_move:
                pools.discard(DONOR)
            pools.add(record.to_pool)
    return sorted(pools)


def _takes_effect(record: Record, pools: set[int], epoch: int, rules: MoveRules) -> bool:
    if rules.names_donor_claim and record.holder != epoch:
        return False
    return DONOR in pools or not rules.follows_last_move


class Moves(Specification):
    """The first holder of the donor cell may lose its claim to the second one at any step.

    A holder acts on the prefix of the log that it has applied, so it may act for some time after it
    has lost its claim. An append may reach the log at any time after it was sent, whatever its
    sender was told about it.
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
            yield label, after._replace(pool_count=len(fold_pools(after.log, self.rules)))

    def _all_steps(self, state: MoveState) -> Iterator[Step]:
        if CLAIM not in state.log:
            yield "second holder's claim is appended", state._replace(log=state.log + (CLAIM,))
        for record in sorted(state.appends_in_flight):
            after = state._replace(
                log=state.log + (record,), appends_in_flight=state.appends_in_flight - {record}
            )
            yield f"move to pool {record.to_pool} by holder {record.holder} reaches the log", after
        for index in HOLDERS:
            yield from self._holder_steps(state, index)
        yield from self._recipient_steps(state)
        yield from self._worker_steps(state)

    def _holder_steps(self, state: MoveState, index: int) -> Iterator[Step]:
        holder = state.holders[index]
        if holder.applied < len(state.log):
            yield f"holder {index} applies a record", self._with_holder(
                state, index, applied=holder.applied + 1
            )
        if not self._may_act(state, index):
            return
        if not holder.drained:
            fence = self._donor_fence(state, index)
            if (fence, DONOR) not in state.starts_in_flight:
                starts_in_flight = state.starts_in_flight | {(fence, DONOR)}
                yield f"holder {index} sends a start command", state._replace(
                    starts_in_flight=starts_in_flight
                )
            if fence >= state.fence and DONOR not in state.cells_running:
                after = self._with_holder(state, index, drained=True)
                remaining = frozenset(s for s in state.starts_in_flight if s != (fence, DONOR))
                yield f"holder {index} has drained the worker", after._replace(
                    starts_in_flight=remaining, fence=max(fence, state.fence)
                )
        if holder.drained or not self.rules.drain_before_append:
            for to_pool in (RECIPIENT, THIRD_POOL):
                if to_pool not in holder.sent_moves:
                    after = self._with_holder(
                        state, index, sent_moves=holder.sent_moves | {to_pool}
                    )
                    yield f"holder {index} sends a move to pool {to_pool}", after._replace(
                        appends_in_flight=state.appends_in_flight | {Record(to_pool, index)}
                    )
        if holder.drained and self._may_return_worker(holder):
            yield f"holder {index} returns the worker to service", self._with_holder(
                state, index, drained=False
            )

    def _may_return_worker(self, holder: Holder) -> bool:
        return not holder.sent_moves or not self.rules.keep_drained_while_unknown

    @staticmethod
    def _with_holder(state: MoveState, index: int, **changes: object) -> MoveState:
        holders = list(state.holders)
        holders[index] = holders[index]._replace(**changes)
        return state._replace(holders=tuple(holders))

    def _may_act(self, state: MoveState, index: int) -> bool:
        prefix = state.log[: state.holders[index].applied]
        if DONOR not in fold_pools(prefix, self.rules):
            return False
        return (CLAIM in prefix) == (index == SECOND_HOLDER)

    @staticmethod
    def _donor_fence(state: MoveState, index: int) -> int:
        return 0 if index == FIRST_HOLDER else state.log.index(CLAIM) + 1

    def _recipient_steps(self, state: MoveState) -> Iterator[Step]:
        if state.recipient_applied < len(state.log):
            yield "recipient applies a record", state._replace(
                recipient_applied=state.recipient_applied + 1
            )
        prefix = state.log[: state.recipient_applied]
        moved = RECIPIENT in fold_pools(prefix, self.rules)
        fence = 0
        if moved and self.rules.fence_is_newest_offset:
            fence = 1 + next(n for n, record in enumerate(prefix) if record.to_pool == RECIPIENT)
        if not self.rules.recipient_waits_for_fold:
            moved = moved or any(record.to_pool == RECIPIENT for record in state.appends_in_flight)
        if (
            moved
            and (fence, RECIPIENT) not in state.starts_in_flight
            and RECIPIENT not in state.cells_running
        ):
            starts_in_flight = state.starts_in_flight | {(fence, RECIPIENT)}
            yield "recipient sends a start command", state._replace(
                starts_in_flight=starts_in_flight
            )

    def _worker_steps(self, state: MoveState) -> Iterator[Step]:
        for fence, cell in sorted(state.starts_in_flight):
            after = state._replace(starts_in_flight=state.starts_in_flight - {(fence, cell)})
            if fence < state.fence:
                refused = state.recipient_refused or cell == RECIPIENT
                yield "worker refuses a command below its fence", after._replace(
                    recipient_refused=refused
                )
            else:
                cells_running = state.cells_running | {cell}
                yield f"worker starts a task of cell {cell}", after._replace(
                    fence=fence, cells_running=cells_running
                )
        for cell in sorted(state.cells_running):
            yield f"a task of cell {cell} ends", state._replace(
                cells_running=state.cells_running - {cell}
            )


ONE_POOL = "the fold assigns the instance to exactly one pool"
RECIPIENT_ACCEPTED = "the worker accepts the recipient's commands"
ONE_CELL = "at most one cell uses the instance"

Moves.properties = {
    ONE_CELL: lambda s: len(s.cells_running) <= 1,
    ONE_POOL: lambda s: s.pool_count == 1,
    RECIPIENT_ACCEPTED: lambda s: not s.recipient_refused,
}
Moves.witnesses = {
    "recipient uses the instance": lambda s: RECIPIENT in s.cells_running,
    "late append after the takeover": lambda s: (
        CLAIM in s.log and any(r.holder == FIRST_HOLDER and r.to_pool >= 0 for r in s.log[1:])
    ),
    "two moves race": lambda s: sum(r.to_pool >= 0 for r in s.log) >= 2,
}
Moves.mutants = (
    Mutant("follows_last_move", ONE_POOL),
    Mutant("names_donor_claim", ONE_CELL),
    Mutant("drain_before_append", ONE_CELL),
    Mutant("keep_drained_while_unknown", ONE_CELL),
    Mutant("recipient_waits_for_fold", ONE_CELL),
    Mutant("fence_is_newest_offset", RECIPIENT_ACCEPTED),
)
