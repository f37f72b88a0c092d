"""Sound workers lose all that they run when the open channels to them go silent."""

import asyncio
import contextlib
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins_2"))

from stand_ins import Bed, now_ms, play  # noqa: E402

ENTRIES, WORKERS = 3, 3

# A job of short tasks that start at the same time: 8 on each worker, as many as it has slots.
BURST_TASKS, BURST_MS = 8 * WORKERS, 600.0

# A job whose tasks last; the system may have one of them away at a time.
LASTING_TASKS, MAY_MISS = 6, 1

LASTING_ID, BURST_ID = "00000000b0000001", "00000000b0000002"

# For the rules the silence counts as a reset of the channels of all machines, which are in touch
# again `contact_ms` later.
CONTACT_MS = 3_000


class SilentProxy:
    """Forwards connections to a worker; `silence` ends all forwarding on those that are open."""

    def __init__(self, target: str) -> None:
        self.target, self.address = target, ""
        self._generation = 0
        self._server: asyncio.Server | None = None
        self.open_count = 0

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._connect, "127.0.0.1", 0, backlog=1_024)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def silence(self) -> None:
        """Forward nothing more on the connections that are open; later ones work."""
        self._generation += 1

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        generation = self._generation
        host, port = self.target.rsplit(":", 1)
        self.open_count += 1
        try:
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
            await asyncio.gather(
                self._pump(generation, reader, back_writer),
                self._pump(generation, back_reader, writer),
            )
        except OSError:
            pass
        finally:
            self.open_count -= 1
            writer.close()

    async def _pump(self, generation: int, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if generation == self._generation:
                    writer.write(data)
                    await writer.drain()
        if generation == self._generation:
            writer.close()


async def scenario(bed: Bed) -> list[str]:
    """Let tasks that last work, start a burst of short ones, then silence the open channels."""
    silent_ms: list[float] = []
    lapses: list[tuple[float, str, str]] = []
    at_work: set[str] = set()

    def on_event(worker: str, task: str, run: int, what: str) -> None:
        if not task.startswith(LASTING_ID):
            return
        if what == "start":
            at_work.add(task)
        else:
            at_work.discard(task)
            if what == "lapsed":
                lapses.append((now_ms(), task, worker))

    def duration_ms(task: str) -> float | None:
        return None if task.startswith(LASTING_ID) else BURST_MS

    proxies: list[SilentProxy] = []
    await bed.begin(ENTRIES, 0, duration_ms, lambda task: 1_000)
    await bed.add_workers(WORKERS, duration_ms, lambda task: 1_000, proxies, SilentProxy)
    for worker in bed.workers:
        worker.on_event = on_event
    lasting = {
        "count": LASTING_TASKS,
        "cpu": 1_000,
        "mem_mb": 64,
        "estimate_ms": 1_000,
        "long_running": True,
        "anti_affinity": LASTING_TASKS // WORKERS,
        "may_miss": MAY_MISS,
    }
    answer = await bed.call(0, "POST", LASTING_ID, {"spec": "s", "steps": [lasting]})
    assert answer is not None and answer[0] == 200, "the job was not accepted"
    async with asyncio.timeout(15):
        while len(at_work) < LASTING_TASKS:
            await asyncio.sleep(0.05)
    burst = {"count": BURST_TASKS, "cpu": 1_000, "mem_mb": 64, "estimate_ms": int(BURST_MS)}
    answer = await bed.call(1, "POST", BURST_ID, {"spec": "s", "steps": [burst]})
    assert answer is not None and answer[0] == 200, "the job was not accepted"
    async with asyncio.timeout(15):
        while (await bed.call(1, "GET", BURST_ID))[1].get("state") != "completed":
            await asyncio.sleep(0.3)
    await asyncio.sleep(3.0)
    counts = [proxy.open_count for proxy in proxies]
    bed.record.write(f"open channels to the workers: {counts}; tasks at work: {len(at_work)}")
    if bed.trouble:
        bed.record.write("the open channels to the workers go silent; new ones work")
        for proxy in proxies:
            proxy.silence()
    silent_ms.append(now_ms())
    await asyncio.sleep(12.0)
    late = [lapse for lapse in lapses if lapse[0] - silent_ms[0] > CONTACT_MS]
    if len(late) <= MAY_MISS:
        return []
    return [
        f"AVAIL: {task} on {worker} lapses {(at_ms - silent_ms[0]) / 1_000:.1f} s after the open"
        f" channels went silent; {len(late)} of {LASTING_TASKS} lapse, may_miss is {MAY_MISS}"
        for at_ms, task, worker in late
    ]


if __name__ == "__main__":
    sys.exit(play(CASE, scenario))
