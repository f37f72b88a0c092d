"""Stand-ins of the workers; a worker is one life of a machine and guards its capacity."""

import asyncio
import json
import secrets
import time
from collections.abc import Callable

from http_server import NoAnswerError, Request, Server

HOLD_MAX_MS = 10_000
STOP_MS = 100
STARTUP_MS = 300
HEARTBEAT_S = 0.5
LISTED_ENDS = 500
STEP_S = 0.02
CHECKPOINT_MS = 1_000


def mono_ms() -> int:
    """Return the steady clock in ms."""
    return int(time.monotonic() * 1_000)


class Run:
    """A task at work. Its spec says what it does: a JSON object with `work_ms` (none: it lasts),
    `cpu`, and `checkpoint_bytes` for a task that makes checkpoints."""

    def __init__(self, task: str, number: int, spec: str, checkpoint: str) -> None:
        self.task, self.number = task, number
        fields = json.loads(spec)
        self.cpu, self.work_ms = fields["cpu"], fields.get("work_ms")
        self.checkpoint_bytes = fields.get("checkpoint_bytes", 0)
        self.saved_ms = int(checkpoint[:16], 16) if checkpoint else 0
        self.started_ms, self.stop_ms = mono_ms(), None

    @property
    def done_ms(self) -> int:
        """Return the work done, with what earlier runs saved."""
        return self.saved_ms + mono_ms() - self.started_ms

    @property
    def percent(self) -> int:
        """Return the progress; a task that lasts is at work at 100."""
        if self.work_ms is None:
            return 100 if mono_ms() - self.started_ms >= STARTUP_MS else 10
        return min(99, 100 * self.done_ms // self.work_ms)

    def checkpoint(self) -> str:
        """Return what is saved, or the empty string."""
        done_ms = self.done_ms // CHECKPOINT_MS * CHECKPOINT_MS
        if not self.checkpoint_bytes or not done_ms:
            return ""
        return f"{done_ms:016x}".ljust(self.checkpoint_bytes, "0")


class Worker(Server):
    """One life of a machine, which knows and holds nothing of the life before."""

    def __init__(self, machine: "Machine") -> None:
        super().__init__()
        self.id, self.machine = f"i-{secrets.token_hex(5)}", machine
        self.born_ms, self._zero_ms = int(time.time() * 1_000), mono_ms()
        self.alive, self.draining = True, False
        self.runs: dict[str, Run] = {}
        self.ends: list[list] = []
        self._end_count = self._token = 0
        self._deadline_ms: int | None = None
        self._ended_runs: dict[str, int] = {}
        self._tasks: list[asyncio.Task] = []

    async def come_up(self) -> None:
        """Listen, and write the first entry in the list of workers."""
        await self.start()
        self._tasks = [asyncio.ensure_future(c) for c in (self._heartbeat(), self._work())]

    def end(self, listed: bool = False) -> None:
        """End the process; its entry stays in the list if `listed`."""
        self.alive = False
        for task in self._tasks:
            task.cancel()
        lost = list(self.runs.values())
        self.runs.clear()
        for run in lost:
            self.machine.record("lost", worker=self.id, task=run.task, run=run.number)
        self.close()
        if not listed:
            self.machine.list_entry(self.id, b"")

    @property
    def clock_ms(self) -> int:
        """Return this life's clock, which runs slow."""
        return int((mono_ms() - self._zero_ms) * 0.99)

    async def _heartbeat(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "backend": self.machine.pool,
                "address": self.address,
                "zone": "z-1",
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.draining else "ready",
                "cold_ms": 0,
                "capacity": {"cpu": self.machine.cpu, "mem_mb": 32_768, "gpu": 0},
                "labels": ["a", self.machine.rack],
                "machine": self.machine.name,
                "born": self.born_ms,
                "clock_ms": self.clock_ms,
                "sequence": sequence,
            }
            self.machine.list_entry(self.id, json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self) -> None:
        while True:
            self._advance()
            await asyncio.sleep(STEP_S)

    def _advance(self) -> None:
        lapsed = self._deadline_ms is not None and self.clock_ms > self._deadline_ms
        for run in list(self.runs.values()):
            if lapsed:
                self._end_run(run, "lapsed")
            elif run.stop_ms is not None and mono_ms() >= run.stop_ms:
                self._end_run(run, "stopped")
            elif run.work_ms is not None and run.done_ms >= run.work_ms:
                self._end_run(run, "done")

    def _end_run(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self._end_count += 1
        self._ended_runs[run.task] = max(run.number, self._ended_runs.get(run.task, 0))
        saved = "" if how == "done" else run.checkpoint()
        self.ends.append([self._end_count, run.task, run.number, how, saved])
        self.machine.record("end", worker=self.id, task=run.task, run=run.number, how=how)

    async def handle(self, req: Request) -> tuple[int, bytes]:
        """Answer one call, unless it is meant for another life."""
        if req.headers.get("x-expect-instance") not in (None, self.id):
            return self._answer(421)
        body = json.loads(req.body)
        token = body.get("fencing_token", 0)
        if token < self._token:
            return self._answer(409, reason="fence")
        self._token = token
        self._advance()
        match req.path:
            case "/api/run-start":
                return self._start_run(body)
            case "/api/run-stop":
                return self._stop_run(body)
            case "/api/hold":
                return await self._hold(body)
            case "/api/pace":
                return self._answer(200)
        return 404, b""

    def _answer(self, status: int, **fields: object) -> tuple[int, bytes]:
        return (
            status,
            json.dumps({"clock_ms": self.clock_ms, "born": self.born_ms} | fields).encode(),
        )

    def _extend_lease(self, deadline_ms: int) -> None:
        deadline_ms = min(deadline_ms, self.clock_ms + HOLD_MAX_MS)
        self._deadline_ms = max(deadline_ms, self._deadline_ms or 0)

    def _start_run(self, body: dict) -> tuple[int, bytes]:
        task, number = body["task"], body["run"]
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return self._answer(200)
        if present is not None or number <= self._ended_runs.get(task, 0):
            self._extend_lease(body["deadline_ms"])
            return self._answer(409, reason="old")
        if body["deadline_ms"] <= self.clock_ms:
            return self._answer(409, reason="late")
        run = Run(task, number, body["spec"], body.get("checkpoint", ""))
        self._extend_lease(body["deadline_ms"])
        if sum(other.cpu for other in self.runs.values()) + run.cpu > self.machine.cpu:
            return self._answer(409, reason="room")
        self.runs[task] = run
        self.machine.record("start", worker=self.id, task=task, run=number)
        return self._answer(200)

    def _stop_run(self, body: dict) -> tuple[int, bytes]:
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            run.stop_ms = run.stop_ms or mono_ms() + STOP_MS
        else:
            self._ended_runs[task] = max(number, self._ended_runs.get(task, 0))
        return self._answer(200)

    async def _hold(self, body: dict) -> tuple[int, bytes]:
        if "deadline_ms" in body:
            self._extend_lease(body["deadline_ms"])
        self.ends = [row for row in self.ends if row[0] > body["last_seen"]]
        end_ms = mono_ms() + min(body.get("wait_ms", 0), 2_000)
        while self.alive and not self.ends and mono_ms() < end_ms:
            await asyncio.sleep(STEP_S)
        if not self.alive:
            raise NoAnswerError
        running = [[r.task, r.number, r.checkpoint(), r.percent] for r in self.runs.values()]
        return self._answer(200, running=running, finished=self.ends[:LISTED_ENDS])


class Machine:
    """A machine with the worker that is its present life."""

    def __init__(
        self,
        name: str,
        pool: str,
        rack: str,
        cpu: int,
        list_entry: Callable[[str, bytes], None],
        record: Callable[..., None],
    ) -> None:
        self.name, self.pool, self.rack, self.cpu = name, pool, rack, cpu
        self.list_entry, self.record = list_entry, record
        self.state = "up"
        self.worker: Worker | None = None

    async def boot(self) -> None:
        """Begin a new life of the machine."""
        self.worker, self.state = Worker(self), "up"
        await self.worker.come_up()
        self.record("worker", machine=self.name, pool=self.pool, worker=self.worker.id)

    def end_life(self) -> None:
        """End the present life, with all that runs on it."""
        if self.worker is not None:
            self.worker.end()
            self.worker = None
