"""An accepted job is lost after a short outage of the store.

The outage: the store carries out the appends that it has received, but its answers don't arrive: it
resets all channels. For some seconds it answers every call with 503. Jobs that are submitted after
it is back, accepted with 200, must be known and run.

With TROUBLE=0 there is no outage.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from failing_store import FailingStore  # noqa: E402
from fleet import BROKEN, HELD, CouldNotRunError, Fleet, main  # noqa: E402

# Jobs that are submitted at each entry before and after the outage.
JOBS = 3
STEPS = [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 500, "work_ms": 500}]

# `visible_ms`, counted from the answer, and a margin.
VISIBLE_S = 3.5
# Time for all jobs to end; they take half a second and the workers are idle.
FINISH_S = 14.0


async def scenario(fleet: Fleet) -> int:
    store = fleet.store
    # Channels to the store are in use, as at any time of a day.
    for _ in range(JOBS):
        for entry in fleet.entries:
            status = await fleet.submit(entry, fleet.new_id(), STEPS)
            if status != 200:
                raise CouldNotRunError("a job before the outage was not accepted")
    await asyncio.sleep(2)
    waiting: list[asyncio.Future] = []
    if fleet.trouble:
        fleet.note("the store goes down: answers are lost, channels are reset, then 503")
        outage = asyncio.ensure_future(store.go_down())
        await asyncio.sleep(0)
        for entry in fleet.entries:
            during = fleet.submit(entry, fleet.new_id(), STEPS)
            waiting.append(asyncio.ensure_future(during))
        await outage
        fleet.note(f"the store is back; {store.unanswered} appends were done and not answered")
    # The entries notice within a second that the store is back.
    await asyncio.sleep(4)
    await asyncio.gather(*waiting)
    accepted = []
    for _ in range(JOBS):
        for entry in fleet.entries:
            job = fleet.new_id()
            if await fleet.submit(entry, job, STEPS) == 200:
                accepted.append(job)
    if len(accepted) < JOBS * len(fleet.entries) // 2:
        raise CouldNotRunError("few jobs were accepted after the outage")
    await asyncio.sleep(VISIBLE_S)
    lost = set()
    for job in accepted:
        for entry in fleet.entries:
            status, _ = await fleet.look_up(entry, job)
            if status == 410:
                lost.add(job)
    await asyncio.sleep(FINISH_S - VISIBLE_S)
    for job in accepted:
        status, state = await fleet.look_up(fleet.entries[0], job)
        if status == 410 or state != "completed":
            lost.add(job)
        if not fleet.runs_of(job):
            fleet.note(f"{job} was accepted and no task of it has begun on any worker")
    fleet.note(f"{len(lost)} of {len(accepted)} accepted jobs are lost: {sorted(lost)}")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    main(scenario, __file__, FailingStore)
