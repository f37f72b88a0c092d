"""Moves machines between pools as demand moves.

Load pattern: each pool in turn is asked for several times its room for some seconds and is almost
idle in between. Machines of the stand-by pool go to the pool whose waiting work is longest. A
borrowed machine gets work only when the pool's own machines are full, and is switched off again
when it has been idle for some time.
"""

import attrs

from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.effects import Effect, LogLine, MoveMachine
from fescuecrank_scheduler.events import MachineRow, OrderResult
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.maintenance import Maintenance
from fescuecrank_scheduler.records import encode_homes
from fescuecrank_scheduler.workers import Worker

# Fewer missing cores than this are not worth a move.
LEAST_MISSING = 2.0

# Help is sized so that the waiting work is done in this time.
RELIEF_MS = 1_000

# A borrowed machine idles this long before it is switched off; its cost in this time is that of
# two moves.
IDLE_MS = 2_000

# Time in which a moved machine's new worker has appeared and answered, besides the move itself.
SETTLE_MS = 4_000

# An order without an answer is repeated after this time; it has no effect the second time.
ORDER_RETRY_MS = 900


@attrs.define
class Move:
    """One machine on its way to a pool."""

    machine: str
    pool: str
    sent_ms: int
    # Worker that the move ends; empty if the machine had none.
    worker: str
    # When the platform confirmed the move.
    done_ms: int | None = None


@attrs.define
class PoolState:
    """Load of one pool."""

    cores: float = 0.0
    # Cores on their way here.
    coming: float = 0.0
    # Waiting work in milliseconds of a core.
    waiting: float = 0.0
    # Cores of lasting tasks, and cores that keep up with what arrives.
    lasting: float = 0.0
    arriving: float = 0.0

    @property
    def wanted(self) -> float:
        """Cores that keep up with what arrives and do the waiting work in time."""
        return self.lasting + self.arriving + self.waiting / RELIEF_MS

    @property
    def missing(self) -> float:
        """Cores that have to come; negative if there are more than are wanted."""
        return self.wanted - self.cores - self.coming


@attrs.define
class Balancer:
    """Moves of one leadership."""

    state: LeaderState
    maintenance: Maintenance
    moves: dict[str, Move] = attrs.field(factory=dict)
    _idle_since: dict[str, int] = attrs.field(factory=dict)
    _out: list[Effect] = attrs.field(factory=list)

    def order_done(self, machine: str, result: OrderResult, now: Now) -> None:
        """Take note of the answer to a move."""
        move = self.moves.get(machine)
        if move is None or move.done_ms is not None:
            return
        fields = {"machine": machine, "pool": move.pool, "result": result.value}
        self._out.append(LogLine("machine_moved", fields))
        if result is OrderResult.OK:
            move.done_ms = now.mono_ms
            self.maintenance.runs.retire(move.worker, now)
        elif result is OrderResult.FENCED:
            self.state.fenced = True
        elif result is not OrderResult.NO_ANSWER:
            self.moves.pop(machine)

    def targets(self) -> dict[str, str]:
        """Return the pool to which each machine is on its way."""
        return {name: move.pool for name, move in self.moves.items()}

    def tick(self, now: Now) -> list[Effect]:
        """Start the moves that are worth their price."""
        if self.maintenance.rows_ms >= 0:
            self._follow_moves(now)
            self._mark_borrowed()
            pools = self._pools(now)
            self._relieve(pools, now)
            self._park(pools, now)
        out, self._out = self._out, []
        return out

    def _follow_moves(self, now: Now) -> None:
        homes = self.state.table.homes
        known = len(homes)
        for name, row in self.maintenance.rows.items():
            homes.setdefault(name, row.pool)
        if len(homes) > known:
            self.state.store(encode_homes(homes))
        for move in list(self.moves.values()):
            if move.done_ms is not None:
                row = self.maintenance.rows.get(move.machine)
                listed = self.maintenance.rows_ms > move.done_ms
                there = row is not None and row.pool == move.pool and row.state == "up"
                arrived = listed and there and self._usable_on(move.machine, move.pool, now)
                if arrived or now.mono_ms - move.done_ms > SETTLE_MS:
                    del self.moves[move.machine]
            elif now.mono_ms - move.sent_ms >= ORDER_RETRY_MS:
                move.sent_ms = now.mono_ms
                self._order(move)

    def _mark_borrowed(self) -> None:
        rows = self.maintenance.rows
        for worker in self.state.workers.values():
            row = rows.get(worker.machine)
            worker.borrowed = row is not None and self._borrowed(row)

    def _order(self, move: Move) -> None:
        epoch = self.state.leader.epoch
        self._out.append(MoveMachine(move.machine, move.pool, epoch))

    def _usable_on(self, machine: str, pool: str, now: Now) -> bool:
        return any(
            worker.machine == machine
            and worker.pool == pool
            and worker.usable(now.mono_ms, self.state.limits)
            for worker in self.state.workers.values()
        )

    def _pools(self, now: Now) -> dict[str, PoolState]:
        pools = {
            name: PoolState(waiting=self.state.urgent_work.get(name, 0.0))
            for name, pool in self.state.config.pools.items()
            if not pool.standby
        }
        for name, state in pools.items():
            state.arriving = self.state.arrivals.cores(name, now.mono_ms)
        for worker in self.state.workers.values():
            state = pools.get(worker.pool)
            if state is not None and worker.listed and worker.ready and not worker.cordoned:
                state.cores += worker.capacity.cpu / 1_000
                state.lasting += sum(
                    run.step.room.cpu / 1_000 for run in worker.runs.values() if run.step.lasting
                )
        for move in self.moves.values():
            if move.pool in pools:
                pools[move.pool].coming += self._cores(move.machine)
        return pools

    def _cores(self, machine: str) -> float:
        row = self.maintenance.rows.get(machine)
        return row.capacity.cpu / 1_000 if row else 0.0

    def _standby(self) -> str | None:
        names = [name for name, pool in self.state.config.pools.items() if pool.standby]
        return min(names) if names else None

    # Help for a pool under pressure.

    def _relieve(self, pools: dict[str, PoolState], now: Now) -> None:
        ranked = sorted(pools.items(), key=lambda item: -item[1].missing)
        for name, state in ranked:
            missing = state.missing
            while missing > LEAST_MISSING:
                machine = self._lendable(name)
                if machine is None:
                    return
                self._move(machine, name, "pressure", now)
                missing -= max(1.0, self._cores(machine))

    def _lendable(self, target: str) -> str | None:
        """Return a machine that can go to `target`: a switched-off one, else an idle borrowed one.

        Machines never leave their own pool for another one: its next burst would find it smaller,
        and the machine's way back takes as long as the pressure lasts.
        """
        rows = [row for row in self.maintenance.rows.values() if self._free(row)]
        standby = self._standby()
        for row in rows:
            if row.pool == standby:
                return row.machine
        for row in rows:
            worker = self._worker(row.machine)
            idle = worker is not None and not worker.runs
            if idle and row.pool != target and self._borrowed(row):
                return row.machine
        return None

    def _borrowed(self, row: MachineRow) -> bool:
        return self.state.table.homes.get(row.machine, row.pool) != row.pool

    def _free(self, row: MachineRow) -> bool:
        return (
            row.state == "up"
            and row.machine not in self.moves
            and not self.maintenance.busy_with(row.machine)
        )

    def _worker(self, machine: str) -> Worker | None:
        for worker in self.state.workers.values():
            if worker.machine == machine and worker.listed:
                return worker
        return None

    def _move(self, machine: str, pool: str, reason: str, now: Now) -> None:
        worker = self._worker(machine)
        if worker is not None:
            worker.cordoned = True
        move = Move(machine, pool, now.mono_ms, worker.id if worker is not None else "")
        self.moves[machine] = move
        self._idle_since.pop(machine, None)
        fields = {"machine": machine, "pool": pool, "reason": reason}
        self._out.append(LogLine("machine_move", fields))
        self._order(move)

    # Borrowed machines that are not needed any more.

    def _park(self, pools: dict[str, PoolState], now: Now) -> None:
        for row in self.maintenance.rows.values():
            if row.pool not in pools or not self._borrowed(row) or not self._free(row):
                continue
            worker = self._worker(row.machine)
            if worker is None or worker.runs or pools[row.pool].waiting:
                self._idle_since.pop(row.machine, None)
                continue
            since = self._idle_since.setdefault(row.machine, now.mono_ms)
            if now.mono_ms - since >= IDLE_MS:
                home = self.state.table.homes[row.machine]
                self._move(row.machine, home, "idle", now)
