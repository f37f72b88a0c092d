"""Fake of the platform's machine service: pools, moves and maintenance."""

from typing import TYPE_CHECKING

import attrs
from fescuecrank_scheduler.effects import Effect, MaintainMachine
from fescuecrank_scheduler.events import MachineRow, OrderResult

if TYPE_CHECKING:
    from fleet_simulation import Simulation

MOVE_MS = 1_500
MAINTENANCE_MS = 2_000


@attrs.define
class FakeMachine:
    name: str
    worker: str
    pool: str
    state: str = "up"
    highest_epoch: int = 0
    maintained: set[int] = attrs.field(factory=set)


class FakeMachines:
    """One machine for each worker of a simulation."""

    def __init__(self, sim: "Simulation") -> None:
        self._sim = sim
        self.machines: dict[str, FakeMachine] = {}
        for worker, entry in sim.worker_entries.items():
            self.machines[entry.machine] = FakeMachine(entry.machine, worker, entry.pool)
        self.max_down = 0
        self.move_count = 0
        # Whether orders with an outdated epoch are rejected; not all deployments do so.
        self.checks_epochs = True
        # Epochs of all orders, in the order of their arrival.
        self.epochs: list[int] = []
        # Pools into which every move is rejected.
        self.rejected_pools: set[str] = set()
        # Runs that an order ended by shutting their worker down: time and job.
        self.runs_ended_by_order: list[tuple[int, str]] = []

    def rows(self) -> tuple[MachineRow, ...]:
        return tuple(
            MachineRow(
                machine.name,
                machine.pool,
                machine.state,
                machine.worker,
                self._sim.worker_entries[machine.worker].capacity,
                self._sim.worker_entries[machine.worker].labels,
            )
            for machine in self.machines.values()
        )

    def order(self, effect: Effect) -> OrderResult:
        machine = self.machines[effect.machine]
        self.epochs.append(effect.epoch)
        if self.checks_epochs and effect.epoch < machine.highest_epoch:
            return OrderResult.FENCED
        machine.highest_epoch = effect.epoch
        if isinstance(effect, MaintainMachine):
            if effect.wave in machine.maintained:
                return OrderResult.OK
            if machine.state != "up":
                return OrderResult.BUSY
            machine.maintained.add(effect.wave)
            self._shut_down(machine, "upkeep", machine.pool, MAINTENANCE_MS)
        else:
            if effect.pool in self.rejected_pools:
                return OrderResult.REJECTED
            if machine.pool == effect.pool:
                return OrderResult.OK
            if machine.state != "up":
                return OrderResult.BUSY
            self.move_count += 1
            self._shut_down(machine, "moving", effect.pool, MOVE_MS)
        down = sum(1 for each in self.machines.values() if each.state == "upkeep")
        self.max_down = max(self.max_down, down)
        return OrderResult.OK

    def _shut_down(self, machine: FakeMachine, state: str, pool: str, duration_ms: int) -> None:
        worker = self._sim.workers[machine.worker]
        for run in worker.runs.values():
            self.runs_ended_by_order.append((self._sim.now_ms, run.task.job))
        worker.crash(self._sim.now_ms)
        machine.state, machine.pool = state, pool
        self._sim.at(duration_ms, lambda: self._bring_up(machine))

    def _bring_up(self, machine: FakeMachine) -> None:
        machine.state = "up"
        machine.worker = self._sim.replace_worker(machine.worker, machine.pool)
