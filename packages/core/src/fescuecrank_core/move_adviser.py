"""Advice to move instances between pools, given by the holder of the `limits` claim."""

from fescuecrank_core.capacity import CapacityPlanner, PoolLoad
from fescuecrank_core.claims import ClaimManager
from fescuecrank_core.clock import Instant
from fescuecrank_core.effects import Effect, Notice, SendPeer
from fescuecrank_core.ledger import Ledger
from fescuecrank_core.membership import Membership
from fescuecrank_core.messages import CellLoad, MoveAdvice
from fescuecrank_core.records import LIMITS_SCOPE

PLAN_INTERVAL_MS = 1_000


class MoveAdviser:
    """Collects the loads of cells and sends planned moves as advice to the donors' holders.

    It keeps one load for each pool, so a pool must be in one region.
    """

    def __init__(self, ledger: Ledger, membership: Membership, claims: ClaimManager) -> None:
        self._ledger = ledger
        self._membership = membership
        self._claims = claims
        self._planner = CapacityPlanner()
        self._loads: dict[str, CellLoad] = {}
        self._next_plan_ms = 0
        self.moves_advised = 0

    def on_load(self, sender: str, message: CellLoad, now: Instant) -> list[Effect]:
        """Record the load of one cell."""
        if not self._claims.may_act(LIMITS_SCOPE, now):
            return []
        self._loads[message.pool] = message
        load = PoolLoad(
            message.pool,
            message.usable,
            message.out,
            message.slots,
            message.busy,
            message.waiting,
            message.offered,
        )
        self._planner.observe(load, now.mono_ms)
        return []

    def on_tick(self, now: Instant) -> list[Effect]:
        """Plan moves while there is a quorum, without which they could not be recorded."""
        if now.mono_ms < self._next_plan_ms:
            return []
        self._next_plan_ms = now.mono_ms + PLAN_INTERVAL_MS
        if not self._claims.may_act(LIMITS_SCOPE, now):
            # When this entry holds the claim again, it must not plan with outdated loads.
            self._planner = CapacityPlanner()
            self._loads = {}
            return []
        if not self._membership.has_quorum(now):
            return []
        effects: list[Effect] = []
        for move in self._planner.plan(self._ledger.fleet, now.mono_ms, now.wall_ms):
            cell = self._loads.get(move.from_pool)
            holder = self._ledger.holder(cell.cell) if cell else None
            if holder is None:
                continue
            self.moves_advised += move.count
            advice = MoveAdvice(cell.cell, cell.epoch, move.to_pool, move.count)
            fields = {"from": move.from_pool, "to": move.to_pool, "reason": move.reason}
            effects.append(Notice("move_advised", fields))
            effects.append(SendPeer(holder.name, advice))
        return effects
