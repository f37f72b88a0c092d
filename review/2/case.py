"""A job runs whose requester was told by every attempt that it was not accepted.

The store has a short outage: it stops answering, resets all channels and answers 503. The jobs that
are handed in as it begins are sent again as `Retry-After` says, until the requester's deadline. A
job of which every attempt was answered with 429 or 503 must never run.

With TROUBLE=0 there is no outage.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from failing_store import FailingStore  # noqa: E402
from fleet import BROKEN, HELD, CouldNotRunError, Fleet, main  # noqa: E402

STEPS = [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 500, "work_ms": 500}]

# The requester's deadline, as on the sheets, and the pause that the answers ask for.
DEADLINE_S = 3.0
RETRY_S = 1.0

# Time in which what was rejected would start; the workers are idle.
WATCH_S = 14.0

REJECTIONS = (429, 503)


async def hand_in(fleet: Fleet, entry, job: str) -> list[int | None]:
    """Hand a job in until it is accepted or the deadline has passed; return the answers."""
    end_s = fleet.now_s + DEADLINE_S
    statuses = []
    while fleet.now_s < end_s:
        statuses.append(await fleet.submit(entry, job, STEPS, end_s - fleet.now_s))
        if statuses[-1] == 200:
            break
        await asyncio.sleep(RETRY_S)
    return statuses


async def scenario(fleet: Fleet) -> int:
    # Channels to the store are in use, as at any time of a day.
    for _ in range(3):
        for entry in fleet.entries:
            if await fleet.submit(entry, fleet.new_id(), STEPS) != 200:
                raise CouldNotRunError("a job before the outage was not accepted")
    await asyncio.sleep(2)
    outage = None
    if fleet.trouble:
        fleet.note("the store goes down: answers are lost, channels are reset, then 503")
        outage = asyncio.ensure_future(fleet.store.go_down())
        await asyncio.sleep(0)
    jobs = {fleet.new_id(): entry for entry in fleet.entries}
    answers = await asyncio.gather(*(hand_in(fleet, entry, job) for job, entry in jobs.items()))
    if outage is not None:
        await outage
        fleet.note(f"the store is back; {fleet.store.unanswered} appends were done, not answered")
    await asyncio.sleep(WATCH_S)
    broken = rejected = 0
    for job, statuses in zip(jobs, answers, strict=True):
        if not all(status in REJECTIONS for status in statuses):
            continue
        rejected += 1
        runs = fleet.runs_of(job)
        fleet.note(f"{job}: every attempt was rejected {statuses}; {len(runs)} runs began")
        broken += bool(runs)
    fleet.note(f"{broken} of {rejected} rejected jobs have run")
    return BROKEN if broken else HELD


if __name__ == "__main__":
    main(scenario, __file__, FailingStore)
