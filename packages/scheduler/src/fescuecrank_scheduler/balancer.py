"""Moves machines between pools as demand shifts.

The load comes in bursts: each pool in turn is asked for several times its capacity for some seconds
and is almost idle in between. Machines of the standby pool go to the pool with the largest
shortage. An idle pool keeps only a part of its own machines on; the others are in the standby pool,
where they are switched off, cost nothing and are available to every pool. Machines beyond that part
are overflow: they get work only when the pool's other machines are full, and are switched off once
they have been idle for some time.
"""

import math
from collections.abc import Container

import attrs

from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.effects import Effect, LogLine, MoveMachine
from fescuecrank_scheduler.events import MachineRow, OrderResult
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.maintenance import Maintenance
from fescuecrank_scheduler.pool_loads import PoolLoad, PoolLoads
from fescuecrank_scheduler.records import encode_home_pools
from fescuecrank_scheduler.workers import Worker

# Share of its own machines that an idle pool keeps on. With these, and with the standby machines
# that arrive within two seconds, a burst of the usual size is served in time.
MIN_ACTIVE_SHARE = 0.6

# Interval at which pools are checked; a move takes more than ten times as long.
TICK_MS = 100

# Shortage, as a share of a machine, above which one is moved. A smaller shortage is resolved sooner
# by tasks that end.
MIN_SHORTAGE_SHARE = 0.4

# Idle time after which a machine is switched off. Two idle seconds cost as much as two moves, and
# most machines that have been idle for this long are not needed for a while.
IDLE_MS = 1_500

# Time after the platform confirmed a move within which the machine's new worker is expected to be
# usable.
ARRIVAL_TIMEOUT_MS = 4_000

# An unanswered order is repeated after this time; orders are idempotent.
ORDER_RETRY_MS = 900


@attrs.define
class Move:
    """The move of one machine to another pool."""

    machine: str
    pool: str
    sent_ms: int
    # Worker that the move shuts down; empty if the machine had none.
    worker: str
    # When the platform confirmed the move.
    confirmed_ms: int | None = None
    # Orders that were sent and not refused; each may have been carried out or still be.
    open_orders: int = 0


@attrs.define
class Balancer:
    """Moves machines between pools under one leadership."""

    state: LeaderState
    maintenance: Maintenance
    loads: PoolLoads = attrs.field(init=False)
    moves: dict[str, Move] = attrs.field(factory=dict)
    _ticked_ms: int = -TICK_MS
    _idle_since: dict[str, int] = attrs.field(factory=dict)
    # Pairs of machine and pool for which the platform rejected the move.
    _rejected: set[tuple[str, str]] = attrs.field(factory=set)
    _effects: list[Effect] = attrs.field(factory=list)

    @loads.default
    def _make_loads(self) -> PoolLoads:
        return PoolLoads(self.state)

    def on_order_done(self, machine: str, result: OrderResult, now: Now) -> None:
        """Apply the answer to a move order."""
        move = self.moves.get(machine)
        if move is None or move.confirmed_ms is not None:
            return
        fields = {
            "machine": machine,
            "pool": move.pool,
            "result": result.value,
            "open_orders": move.open_orders,
        }
        self._effects.append(LogLine("machine_moved", fields))
        if result is OrderResult.OK:
            move.confirmed_ms = now.mono_ms
            worker = self.state.workers.get(move.worker)
            # The platform also confirms a move to the machine's own pool, which ends nothing.
            if worker is not None and worker.pool != move.pool:
                self.maintenance.runs.retire_worker(move.worker, now)
        elif result is OrderResult.FENCED:
            self.state.fenced = True
        elif result is OrderResult.REJECTED:
            # No copy of such an order can be carried out.
            del self.moves[machine]
            self._rejected.add((machine, move.pool))
        elif result is not OrderResult.NO_ANSWER:
            move.open_orders -= 1
            if move.open_orders <= 0:
                del self.moves[machine]

    def target_pools(self) -> dict[str, str]:
        """Return the target pool of each machine that is being moved."""
        return {name: move.pool for name, move in self.moves.items()}

    def tick(self, now: Now) -> list[Effect]:
        """Check the moves in progress and start the ones that the load calls for."""
        due = now.mono_ms - self._ticked_ms >= TICK_MS
        if self.maintenance.rows_read_ms >= 0 and due:
            self._ticked_ms = now.mono_ms
            self._check_moves(now)
            self._mark_overflow()
            pools = self._pool_loads(now)
            self._restore_own_machines(pools, now)
            self._relieve_shortages(pools, now)
            self._switch_off_idle(pools, now)
        effects, self._effects = self._effects, []
        return effects

    def _check_moves(self, now: Now) -> None:
        home_pools = self.state.table.home_pools
        count_before = len(home_pools)
        for name, row in self.maintenance.machine_rows.items():
            home_pools.setdefault(name, row.pool)
        if len(home_pools) > count_before:
            self.state.queue_record(encode_home_pools(home_pools))
        for move in list(self.moves.values()):
            if move.confirmed_ms is not None:
                row = self.maintenance.machine_rows.get(move.machine)
                listed = self.maintenance.rows_read_ms > move.confirmed_ms
                at_target = row is not None and row.pool == move.pool and row.state == "up"
                arrived = listed and at_target and self._usable_on(move.machine, move.pool, now)
                if arrived or now.mono_ms - move.confirmed_ms > ARRIVAL_TIMEOUT_MS:
                    del self.moves[move.machine]
            elif now.mono_ms - move.sent_ms >= ORDER_RETRY_MS:
                move.sent_ms = now.mono_ms
                self._send_order(move)

    def _mark_overflow(self) -> None:
        """Mark the workers that get work last, so that their machines can be switched off."""
        surplus = self._surplus()
        for worker in self.state.workers.values():
            row = self.maintenance.machine_rows.get(worker.machine)
            worker.overflow = row is not None and (self._borrowed(row) or worker.machine in surplus)

    def _surplus(self) -> set[str]:
        """Return the own machines of each pool beyond those that it keeps on when idle."""
        surplus: set[str] = set()
        if self._standby() is None:
            return surplus
        min_by_pool = self.loads.min_machines(len(self.maintenance.machine_rows))
        groups: dict[tuple[str, object], list[MachineRow]] = {}
        for row in self.maintenance.machine_rows.values():
            groups.setdefault((self._home_pool(row), row.kind), []).append(row)
        for (home, _), rows in groups.items():
            pool = self.state.config.pools.get(home)
            if pool is None or pool.standby:
                continue
            kept = max(math.ceil(MIN_ACTIVE_SHARE * len(rows)), min_by_pool.get(home, 0))
            present = [row for row in rows if row.pool == home and self._movable(row)]
            present.sort(key=lambda row: (self._long_running_on(row.machine), row.machine))
            surplus.update(row.machine for row in present[: max(0, len(present) - kept)])
        return surplus

    def _long_running_on(self, machine: str) -> int:
        worker = self._listed_worker(machine)
        return sum(1 for run in worker.runs.values() if run.step.long_running) if worker else 0

    def _send_order(self, move: Move) -> None:
        epoch = self.state.leader.epoch
        move.open_orders += 1
        self._effects.append(MoveMachine(move.machine, move.pool, epoch))

    def _usable_on(self, machine: str, pool: str, now: Now) -> bool:
        worker = self._listed_worker(machine)
        return (
            worker is not None
            and worker.pool == pool
            and worker.usable(now.mono_ms, self.state.limits)
        )

    def _pool_loads(self, now: Now) -> dict[str, PoolLoad]:
        pools = self.loads.measure(now)
        for move in self.moves.values():
            if move.pool in pools:
                pools[move.pool].incoming += self._cores(move.machine)
        return pools

    def _cores(self, machine: str) -> float:
        row = self.maintenance.machine_rows.get(machine)
        return row.capacity.cpu / 1_000 if row else 0.0

    def _standby(self) -> str | None:
        names = [name for name, pool in self.state.config.pools.items() if pool.standby]
        return min(names) if names else None

    # Machines for pools with a shortage.

    def _restore_own_machines(self, pools: dict[str, PoolLoad], now: Now) -> None:
        """Switch on the own machines of backlogged pools."""
        standby = self._standby()
        for row in self.maintenance.machine_rows.values():
            load = pools.get(self._home_pool(row))
            if row.pool != standby or load is None or not load.backlogged or not self._movable(row):
                continue
            if (row.machine, self._home_pool(row)) not in self._rejected:
                self._start_move(row.machine, self._home_pool(row), "no_room", now)
                load.incoming += self._cores(row.machine)

    def _relieve_shortages(self, pools: dict[str, PoolLoad], now: Now) -> None:
        ranked = sorted(pools.items(), key=lambda item: -item[1].shortage)
        due = self.maintenance.due_machines()
        for name, load in ranked:
            shortage = load.shortage
            while shortage > 0:
                machine = self._choose_machine(name, due)
                if machine is None or shortage <= MIN_SHORTAGE_SHARE * self._cores(machine):
                    break
                self._start_move(machine, name, "pressure", now)
                shortage -= max(1.0, self._cores(machine))

    def _choose_machine(self, target: str, due: Container[str]) -> str | None:
        """Return a machine to move to `target`: a switched-off one, else an idle borrowed one.

        Machines that are on in their home pool are never lent: the pool's next burst would find
        fewer machines than it keeps. A machine in `due` comes last, since its maintenance disturbs
        nothing while it is switched off.
        """
        rows = [
            row
            for row in self.maintenance.machine_rows.values()
            if self._movable(row) and (row.machine, target) not in self._rejected
        ]
        standby = self._standby()
        off = [row for row in rows if row.pool == standby]
        if off:

            def cost(row: MachineRow) -> tuple[bool, bool, str]:
                return (row.machine in due, self._home_pool(row) != target, row.machine)

            return min(off, key=cost).machine
        for row in rows:
            worker = self._listed_worker(row.machine)
            idle = worker is not None and not worker.runs
            if idle and row.pool != target and self._borrowed(row):
                return row.machine
        return None

    def _listed_worker(self, machine: str) -> Worker | None:
        worker = self.state.worker_by_machine.get(machine)
        return worker if worker is not None and worker.listed else None

    def _home_pool(self, row: MachineRow) -> str:
        return self.state.table.home_pools.get(row.machine, row.pool)

    def _borrowed(self, row: MachineRow) -> bool:
        return self._home_pool(row) != row.pool

    def _movable(self, row: MachineRow) -> bool:
        return (
            row.state == "up"
            and row.machine not in self.moves
            and self._agrees_with_worker(row)
            and not self.maintenance.in_maintenance(row.machine)
        )

    def _agrees_with_worker(self, row: MachineRow) -> bool:
        """Return whether the worker of a machine is in the pool that the list of machines says.

        After an outage of the store the list is older than the workers' entries.
        """
        worker = self._listed_worker(row.machine)
        return worker is None or worker.pool == row.pool

    def _start_move(self, machine: str, pool: str, reason: str, now: Now) -> None:
        worker = self._listed_worker(machine)
        if worker is not None:
            worker.cordoned = True
        move = Move(machine, pool, now.mono_ms, worker.id if worker is not None else "")
        self.moves[machine] = move
        self._idle_since.pop(machine, None)
        fields = {"machine": machine, "pool": pool, "reason": reason}
        self._effects.append(LogLine("machine_move", fields))
        self._send_order(move)

    # Machines that are no longer needed.

    def _switch_off_idle(self, pools: dict[str, PoolLoad], now: Now) -> None:
        """Switch off overflow machines that have been idle for `IDLE_MS`."""
        for row in self.maintenance.machine_rows.values():
            worker = self._listed_worker(row.machine)
            load = pools.get(row.pool)
            if worker is None or load is None or not worker.overflow or not self._movable(row):
                continue
            cores = self._cores(row.machine)
            needed = load.long_running_cores + load.recent_arrival_cores > load.cores - cores
            if worker.runs or load.waiting_work or load.backlogged or needed:
                self._idle_since.pop(row.machine, None)
                continue
            since = self._idle_since.setdefault(row.machine, now.mono_ms)
            if now.mono_ms - since >= IDLE_MS:
                self._switch_off(row, now)
                load.cores -= cores

    def _switch_off(self, row: MachineRow, now: Now) -> None:
        target = self._standby()
        if target is None or (row.machine, target) in self._rejected:
            target = self._home_pool(row)
        if target != row.pool and (row.machine, target) not in self._rejected:
            self._start_move(row.machine, target, "idle", now)
