"""Jobs wait beside free workers, long after two tasks of their queue have crashed workers."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins_2"))

from stand_ins import Bed, Worker, now_ms, play  # noqa: E402

ENTRIES, WORKERS, CORES = 3, 3, 16_000

# A job of long tasks, one on each worker, of another image than the short ones.
LONG_ID, LONG_MS = "00000000e0000001", 60_000.0
SHORT_MS, NEED = 500.0, 1_000

# Short jobs of the same queue that come within 3 s, and how many tasks each has. Two of them have a
# single task, which crashes each worker that starts it: the share and the time of the site's
# `poison`, 0.05 for 3 s.
EARLY_JOBS, EARLY_GAP_S, SHORT_TASKS = 40, 0.07, 4
DEADLY_NUMBERS = (34, 38)

# When a worker crashes after such a start, and how much later it is back.
CRASH_AFTER_S, BACK_AFTER_S = 0.02, 3.0

# The short jobs that are handed in once all is calm: the last requests of the day.
LATE_IDS = ("00000000e0000004", "00000000e0000005", "00000000e0000006")

# The bounds of the rule: when jobs are asked for, and for how long one may have nothing running.
FINISH_S, IDLE_MS = 14.0, 3_000


def early_id(number: int) -> str:
    """Return the id of one of the short jobs that come first."""
    return f"{0xE1000000 + number:016x}"


DEADLY_IDS = tuple(early_id(number) for number in DEADLY_NUMBERS)


class DeadlyWorker(Worker):
    """A worker whose process ends soon after it has started a deadly task."""

    up = True

    def advance(self) -> None:
        """Carry out what is due, unless the process has ended."""
        if self.up:
            super().advance()


async def scenario(bed: Bed) -> list[str]:
    """Let long tasks run, crash some workers, and hand in short jobs when all is calm again."""
    running: dict[str, int] = {}
    idle_since_ms: dict[str, float] = {}
    calm_ms: list[float] = [now_ms()]

    def job_of(task: str) -> str:
        return task.split(".")[0]

    def on_event(name: str, task: str, run: int, what: str) -> None:
        job = job_of(task)
        if what == "start":
            running[job] = running.get(job, 0) + 1
            idle_since_ms.pop(job, None)
            if job in DEADLY_IDS:
                bed.spawn(crash(next(worker for worker in bed.workers if worker.name == name)))
            return
        running[job] -= 1
        if not running[job]:
            idle_since_ms[job] = now_ms()

    def duration_ms(task: str) -> float:
        return LONG_MS if job_of(task) == LONG_ID else SHORT_MS

    async def add(number: int, machine: str, port: int = 0) -> None:
        worker = DeadlyWorker(
            f"i-{number:08x}", bed.store, bed.record, duration_ms, lambda task: NEED, CORES, machine
        )
        worker.on_event = on_event
        worker.server._port = port
        await worker.server.open()
        bed.workers.append(worker)
        bed.spawn(worker.run())

    async def crash(worker: DeadlyWorker) -> None:
        await asyncio.sleep(CRASH_AFTER_S)
        bed.record.write(f"{worker.name} crashes with {sorted(worker.running)}")
        worker.up = worker.reaches_store = False
        calm_ms[0] = now_ms() + 1_000 * BACK_AFTER_S
        lost, worker.running = worker.running, {}
        worker.server.close()
        for task, run in lost.items():
            on_event(worker.name, task, run.number, "gone")
        await asyncio.sleep(BACK_AFTER_S)
        # Another life of the machine, at the same address.
        await add(len(bed.workers), worker.machine, worker.server._port)
        bed.record.write(f"{bed.workers[-1].name} is up at the address of {worker.name}")
        await asyncio.sleep(1.5)
        await bed.store.put("keyed.servers", worker.name, None)

    def body(count: int, estimate_ms: float, **more: object) -> dict:
        step = {"count": count, "cpu": NEED, "mem_mb": 64, "estimate_ms": int(estimate_ms)}
        return {"spec": "s", "steps": [step | more]}

    async def hand_in(job: str, content: dict) -> None:
        answer = await bed.call(0, "POST", job, content)
        assert answer is not None and answer[0] == 200, "a job was not accepted"
        idle_since_ms.setdefault(job, now_ms())

    def long_everywhere() -> bool:
        up = [worker for worker in bed.workers if worker.up]
        return len(up) == WORKERS and all(
            any(job_of(task) == LONG_ID for task in worker.running) for worker in up
        )

    await bed.begin(ENTRIES, 0, duration_ms, lambda task: NEED)
    for number in range(WORKERS):
        await add(number, f"m-{number}")
    await asyncio.sleep(1.0)
    await hand_in(LONG_ID, body(WORKERS, LONG_MS, image="archive", anti_affinity=1))
    async with asyncio.timeout(15):
        while not long_everywhere():
            await asyncio.sleep(0.05)
    sound = []
    for number in range(EARLY_JOBS):
        if number not in DEADLY_NUMBERS:
            sound.append(early_id(number))
            await hand_in(sound[-1], body(SHORT_TASKS, SHORT_MS))
        elif bed.trouble:
            await hand_in(early_id(number), body(1, SHORT_MS))
        await asyncio.sleep(EARLY_GAP_S)
    async with asyncio.timeout(40):
        for job in sound:
            while (await bed.call(1, "GET", job))[1].get("state") != "completed":
                await asyncio.sleep(0.3)
    async with asyncio.timeout(30):
        while not long_everywhere() or now_ms() < calm_ms[0] + 4_000:
            await asyncio.sleep(0.05)
    for job in DEADLY_IDS if bed.trouble else ():
        await bed.call(1, "GET", job)
    bed.record.write("all workers are up, each with a long task; all is calm")
    for job in LATE_IDS:
        await hand_in(job, body(SHORT_TASKS, SHORT_MS))
    await asyncio.sleep(FINISH_S)
    breaks = []
    for job in LATE_IDS:
        answer = await bed.call(1, "GET", job)
        state = answer[1].get("state") if answer is not None else None
        idle_ms = now_ms() - idle_since_ms.get(job, now_ms())
        if state != "completed" and idle_ms > IDLE_MS:
            used = sum(len(worker.running) * NEED for worker in bed.workers if worker.up)
            breaks.append(
                f"LOST: {job} is {state} and has had nothing running for {idle_ms / 1_000:.1f} s;"
                f" {used / 1_000:.0f} of {WORKERS * CORES / 1_000:.0f} cores are in use"
            )
    async with asyncio.timeout(40):
        while any(job not in running for job in LATE_IDS):
            await asyncio.sleep(0.1)
    return breaks


if __name__ == "__main__":
    sys.exit(play(CASE, scenario))
