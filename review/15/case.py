"""AVAIL: an upkeep ends more tasks of a step that lasts than its `may_miss` allows."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_3"))

from cloud import Mode  # noqa: E402
from deployment import BROKEN, HELD, NOT_RUN, Deployment, run_case, trouble, until  # noqa: E402
from workers import Machine  # noqa: E402

MACHINES = {"m-1": "pool-a", "m-2": "pool-a"}
WAVE, CAP, DURATION_S = 1, 1, 60

# The machine service is silent for this long.
SILENT_S = 5.0
# A crashed worker's machine is back after this time, as a new worker.
CRASH_S = 1.0

# Fills one machine, so that the wave begins with the other.
FILLER = [{"count": 1, "cpu": 3500, "mem_mb": 64, "estimate_ms": 900, "long_running": True}]
FILLER_SPEC = {"cpu": 3500}
# Keeps the other machine busy for some seconds.
SHORT = [{"count": 1, "cpu": 3500, "mem_mb": 64, "estimate_ms": 3000}]
SHORT_SPEC = {"cpu": 3500, "work_ms": 3000}
# The service, of which one task may be missing at a time.
COUNT, MAY_MISS = 3, 1
SERVICE = [
    {
        "count": COUNT,
        "cpu": 1000,
        "mem_mb": 64,
        "estimate_ms": 900,
        "long_running": True,
        "may_miss": MAY_MISS,
    }
]
SERVICE_SPEC = {"cpu": 1000}


class Case:
    """The state of one run."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment, self.cloud = deployment, deployment.cloud
        self.broken = False
        self.service = ""
        self.crash: asyncio.Task | None = None
        self.cloud.on_order, self.cloud.on_upkeep = self.on_order, self.on_upkeep

    def at_work(self, machine: Machine) -> list[str]:
        """Return the tasks of the service that are at work on a machine."""
        if not self.service or machine.worker is None or machine.worker.draining:
            return []
        runs = machine.worker.runs.values()
        return [r.task for r in runs if r.task.startswith(self.service) and r.percent == 100]

    def on_upkeep(self, wave: int, machine: Machine, down: frozenset[str]) -> None:
        """Check the rule as the platform and the workers see it.

        Of the tasks that end at once, the last one ends while the others have been ended.
        """
        ended = self.at_work(machine)
        if len(ended) - 1 >= MAY_MISS:
            self.broken = True
            self.deployment.record(
                "rule_broken", rule="AVAIL", machine=machine.name, ended=ended, may_miss=MAY_MISS
            )

    def on_order(self, req) -> None:
        """Let the worker crash whose machine is ordered down while nothing is carried out."""
        if self.cloud.mode is Mode.SILENT and self.crash is None:
            order = json.loads(req.body)
            self.deployment.record("order_not_answered", order=order)
            machine = self.deployment.machine(order["machine"])
            self.crash = asyncio.ensure_future(self._crash(machine))

    async def _crash(self, machine: Machine) -> None:
        await asyncio.sleep(0.1)
        self.deployment.record("worker_crashes", machine=machine.name)
        machine.end_life()
        await asyncio.sleep(CRASH_S)
        await machine.boot()

    async def start_service(self) -> None:
        """Hand the service in and wait until all of its tasks are at work."""
        self.service, accepted = await self.deployment.submit("pool-a", SERVICE, SERVICE_SPEC)
        if not accepted:
            raise RuntimeError("the service was not accepted")
        self.deployment.record("service_accepted", job=self.service)
        if not await until(lambda: self.count_at_work() == COUNT, 20):
            raise RuntimeError("the service did not come to work")
        self.deployment.record("service_at_work")

    def count_at_work(self) -> int:
        """Return how many tasks of the service are at work."""
        return sum(len(self.at_work(machine)) for machine in self.deployment.machines)

    def wave_completed(self) -> bool:
        """Return whether operators are told that the wave is completed."""
        newest = self.deployment.store.partition("keyed.status").newest
        _, value = newest.get(f"wave/{WAVE}".encode(), (0, b"{}"))
        return json.loads(value).get("state") == "completed"


async def scenario(deployment: Deployment) -> int:
    """Return the exit status of one run."""
    case = Case(deployment)
    cloud = deployment.cloud
    for steps, spec in ((FILLER, FILLER_SPEC), (SHORT, SHORT_SPEC)):
        await deployment.submit("pool-a", steps, spec)
        await asyncio.sleep(1.0)
    deployment.put_wave(WAVE, list(MACHINES), CAP, DURATION_S)
    await asyncio.sleep(1.0)
    if trouble():
        cloud.mode, silent_s = Mode.SILENT, time.monotonic()
        deployment.record("machine_service_silent", for_s=SILENT_S)
        if not await until(lambda: case.crash is not None, SILENT_S):
            deployment.record("no_order_came")
            return NOT_RUN
        service = asyncio.ensure_future(case.start_service())
        await asyncio.sleep(max(0.0, silent_s + SILENT_S - time.monotonic()))
        cloud.mode = Mode.SERVE
        deployment.record("machine_service_back", at_work=case.count_at_work())
        await service
    else:
        await case.start_service()
    if not await until(lambda: case.broken or case.wave_completed(), 60):
        deployment.record("wave_not_completed")
        return BROKEN if case.broken else NOT_RUN
    return BROKEN if case.broken else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, MACHINES, scenario))
