"""AVAIL: the leases of all workers lapse after the open channels to them have gone silent."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_3"))

from deployment import BROKEN, HELD, NOT_RUN, Deployment, run_case, trouble, until  # noqa: E402

MACHINES = {f"m-{number}": "pool-a" for number in range(3)}
CPU = 16_000

# The service: two tasks on each worker, of which one may be missing at a time.
COUNT, MAY_MISS = 6, 1
SERVICE = [
    {
        "count": COUNT,
        "cpu": 1000,
        "mem_mb": 64,
        "estimate_ms": 900,
        "long_running": True,
        "may_miss": MAY_MISS,
        "anti_affinity": 2,
    }
]
SERVICE_SPEC = {"cpu": 1000}
# A quick check as wide as the site's widest, beside the service.
QUICK = [{"count": 24, "cpu": 880, "mem_mb": 64, "estimate_ms": 1000}]
QUICK_SPEC = {"cpu": 880, "work_ms": 1000}

# A moment is near the silence for this long after it (`contact_ms`).
NEAR_S = 3.0
WATCHED_S = 15.0


class Lapses:
    """Watches the service's tasks, and which of them lapse with a lease."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.service = ""
        self.silent_s: float | None = None
        # Tasks that have lapsed at some distance from the silence.
        self.tasks: set[str] = set()
        self._at_work: set[str] = set()
        for machine in deployment.machines:
            machine.record = self.on_event

    def count_at_work(self) -> int:
        """Return how many tasks of the service are at work."""
        self._at_work = {
            run.task
            for machine in self.deployment.machines
            if machine.worker is not None
            for run in machine.worker.runs.values()
            if run.task.startswith(self.service) and run.percent == 100
        }
        return len(self._at_work)

    def on_event(self, event: str, **fields: object) -> None:
        """Note the end of a task that was at work, by a lease that has lapsed."""
        self.deployment.record(event, **fields)
        if event != "end" or fields["how"] != "lapsed" or fields["task"] not in self._at_work:
            return
        if self.silent_s is None or time.monotonic() - self.silent_s > NEAR_S:
            self.tasks.add(str(fields["task"]))


async def scenario(deployment: Deployment) -> int:
    """Return the exit status of one run."""
    lapses = Lapses(deployment)
    lapses.service, accepted = await deployment.submit("pool-a", SERVICE, SERVICE_SPEC)
    if not accepted or not await until(lambda: lapses.count_at_work() == COUNT, 20):
        return NOT_RUN
    await deployment.submit("pool-a", QUICK, QUICK_SPEC)
    await asyncio.sleep(4)
    deployment.record("service_at_work", tasks=lapses.count_at_work())
    if trouble():
        lapses.silent_s = time.monotonic()
        channels = [machine.worker.silence_channels() for machine in deployment.machines]
        deployment.record("channels_silent", channels=channels)
    end_s = time.monotonic() + WATCHED_S
    while time.monotonic() < end_s and not lapses.tasks:
        # What is at work when it ends counts.
        lapses.count_at_work()
        await asyncio.sleep(0.02)
    await asyncio.sleep(1)
    if len(lapses.tasks) <= MAY_MISS:
        return HELD
    silent_s = lapses.silent_s
    after_s = round(time.monotonic() - silent_s, 1) if silent_s is not None else None
    deployment.record("rule_broken", rule="AVAIL", lapsed=len(lapses.tasks), within_s=after_s)
    return BROKEN


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, MACHINES, scenario, cpu=CPU))
