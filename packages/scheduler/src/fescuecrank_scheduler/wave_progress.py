"""Progress of one maintenance wave: the stages of its machines, and which of them have left."""

import enum
from collections.abc import Container

import attrs

from fescuecrank_scheduler.fleet import Wave
from fescuecrank_scheduler.workers import Worker


class Stage(enum.StrEnum):
    """Stage of one machine of a wave."""

    # Cordoned; its worker still has runs.
    EMPTYING = "emptying"
    # The maintenance order was sent and may have been carried out.
    ORDERED = "ordered"
    DOWN = "down"
    DONE = "done"


@attrs.define
class MachineStatus:
    """State of a machine that has been selected for maintenance."""

    stage: Stage
    since_ms: int
    retry_ms: int = 0
    # Worker that the order shuts down; empty if the machine had none.
    worker: str = ""
    # Whether an order got no answer, so that it may have been carried out or still be.
    unanswered: bool = False


@attrs.define
class WaveProgress:
    """Progress of one wave under this leader."""

    wave: Wave
    started_ms: int
    completed: bool = False
    reported: bool = False
    # States published so far under this leader.
    state_count: int = 0
    machines: dict[str, MachineStatus] = attrs.field(factory=dict)
    # When the first of the latest lists that lack a machine was requested, by machine.
    absent_since_ms: dict[str, int] = attrs.field(factory=dict)

    def unstarted(self) -> list[str]:
        """Return the machines that have not been selected yet."""
        return [name for name in self.wave.machines if name not in self.machines]

    def update_absent(self, listed: Container[str], requested_ms: int) -> list[str]:
        """Record which unselected machines a list lacks; return those that it is the first to lack.

        A list that was requested before the wave was known may be older than its machines.
        """
        missing = [name for name in self.unstarted() if name not in listed]
        if requested_ms < self.started_ms:
            missing = []
        known = self.absent_since_ms
        self.absent_since_ms = {name: known.get(name, requested_ms) for name in missing}
        return [name for name in missing if name not in known]

    def has_left(self, machine: str, requested_ms: int) -> bool:
        """Return whether the list requested at `requested_ms` and one before it lack a machine.

        Pages of the list are no snapshot, so a single list can miss a machine that is there.
        """
        return requested_ms > self.absent_since_ms.get(machine, requested_ms)

    def evicts(self, worker: Worker) -> bool:
        """Return whether a worker has to be drained; its successor on the same machine need not."""
        status = self.machines.get(worker.machine)
        if status is None or status.stage is Stage.DONE:
            return False
        return status.stage is Stage.EMPTYING or status.worker == worker.id

    def pending_machines(self) -> set[str]:
        """Return the machines that have not been taken down yet."""
        return set(self.wave.machines) - set(self.taken_down())

    def in_progress(self) -> int:
        """Return how many machines are being drained or are down."""
        return sum(1 for status in self.machines.values() if status.stage is not Stage.DONE)

    def taken_down(self) -> tuple[str, ...]:
        """Return the machines that have been taken down, whether or not they are up again.

        Later leaders rely on it; machines that have left or refuse the order do not belong to it.
        """
        down_stages = (Stage.DOWN, Stage.DONE)
        return tuple(name for name, status in self.machines.items() if status.stage in down_stages)
