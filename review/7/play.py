"""A job of a queue with advice never starts, although workers with room for it have been added."""

import asyncio
import json
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins_2"))

from stand_ins import Answer, Bed, HttpServer, Request, as_json, now_ms, play  # noqa: E402

ENTRIES = 3

# Workers of 16 cores: those of the beginning, and those that are added, a quarter more.
WORKERS, ADDED = 8, 2

# The first job has tasks that last and fill the first workers; the second one needs 4 cores.
FULL_CPU, SMALL_CPU, SMALL_MS = 16_000, 4_000, 500.0
LASTING_ID, SMALL_ID = "00000000f0000001", "00000000f0000002"

# Holds that a worker has answered when the leader has heard of it.
KNOWN_HOLDS = 2

DECIDE_MS, EACH_MS, VALIDITY_MS = 20, 1, 3_000

# A job with capacity for it has something running within 3 s; the 4 s before them count as well.
ALLOWED_MS, WATCH_S = 7_000, 30.0


class Advice:
    """The service that knows which workers may run a step: here all of them."""

    def __init__(self, bed: Bed) -> None:
        self.bed = bed
        # When the ticket of each step and worker ends.
        self.ends_ms: dict[str, float] = {}

    async def handle(self, req: Request) -> Answer:
        """Answer a call."""
        body = json.loads(req.body)
        await asyncio.sleep((DECIDE_MS + EACH_MS * len(body["workers"])) / 1_000)
        self.bed.record.write(f"advice: {body['step']} on {body['workers']}: all of them")
        rows = []
        for worker in body["workers"]:
            ticket = f"{body['step']}-{worker}"
            self.ends_ms[ticket] = now_ms() + VALIDITY_MS
            rows.append([worker, ticket])
        return as_json(200, {"good": rows, "validity_ms": VALIDITY_MS})

    def accepts(self, worker: str, task: str, ticket: str) -> bool:
        """Return whether a worker may start a task with a ticket."""
        step = task.rsplit(".", 1)[0]
        return ticket == f"{step}-{worker}" and now_ms() < self.ends_ms.get(ticket, 0.0)


async def scenario(bed: Bed) -> list[str]:
    """Fill the pool, hand in a small job, and add workers."""
    advice = Advice(bed)
    server = await HttpServer(advice.handle).open()
    bed.advice_address = server.address
    bed.queue = {"advice": True}
    started: list[tuple[float, str]] = []
    lasting: set[str] = set()

    def on_event(worker: str, task: str, run: int, what: str) -> None:
        if what == "start" and task.startswith(SMALL_ID):
            started.append((now_ms(), worker))
        elif what == "start":
            lasting.add(task)

    def duration_ms(task: str) -> float | None:
        return None if task.startswith(LASTING_ID) else SMALL_MS

    def need(task: str) -> int:
        return FULL_CPU if task.startswith(LASTING_ID) else SMALL_CPU

    async def add_workers(count: int) -> None:
        known = len(bed.workers)
        await bed.add_workers(count, duration_ms, need)
        for worker in bed.workers[known:]:
            worker.on_event = on_event
            worker.accepts_ticket = lambda task, ticket, name=worker.name: advice.accepts(
                name, task, ticket
            )

    await bed.begin(ENTRIES, 0, duration_ms, need)
    await add_workers(WORKERS if bed.trouble else WORKERS + ADDED)
    # The leader knows all workers, so that it asks about all of them for the first job.
    async with asyncio.timeout(20):
        while any(worker.holds < KNOWN_HOLDS for worker in bed.workers):
            await asyncio.sleep(0.05)
    step = {"count": WORKERS, "cpu": FULL_CPU, "mem_mb": 64, "estimate_ms": 1_000}
    steps = [step | {"long_running": True}]
    answer = await bed.call(0, "POST", LASTING_ID, {"spec": "s", "steps": steps})
    assert answer is not None and answer[0] == 200, "the first job was not accepted"
    async with asyncio.timeout(10):
        while len(lasting) < WORKERS:
            await asyncio.sleep(0.05)
    steps = [{"count": 1, "cpu": SMALL_CPU, "mem_mb": 64, "estimate_ms": int(SMALL_MS)}]
    answer = await bed.call(1, "POST", SMALL_ID, {"spec": "s", "steps": steps})
    assert answer is not None and answer[0] == 200, "the second job was not accepted"
    await asyncio.sleep(2.0)
    if bed.trouble:
        bed.record.write(f"{ADDED} workers are added")
        await add_workers(ADDED)
    # Their entries are in the store by now.
    await asyncio.sleep(1.0)
    begin_ms = now_ms()
    while now_ms() - begin_ms < 1_000 * WATCH_S and not started:
        await asyncio.sleep(0.1)
    waited_ms = (started[0][0] if started else now_ms()) - begin_ms
    await bed.call(2, "GET", SMALL_ID)
    server.close()
    if waited_ms < ALLOWED_MS:
        return []
    shown = "has started" if started else "has not started"
    return [
        f"LOST: {waited_ms / 1_000:.1f} s after {ADDED} empty workers of 16 cores were added, the"
        f" job {shown}; its task needs {SMALL_CPU // 1_000} cores, and {WORKERS} of"
        f" {WORKERS + ADDED} workers are in use"
    ]


if __name__ == "__main__":
    sys.exit(play(CASE, scenario))
