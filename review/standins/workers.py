"""A stand-in of a worker and of the list of machines, as PROTOCOL.md describes them."""

import asyncio
import contextlib
import json
import random
import time
from collections.abc import Callable

from web import NoAnswerError, WebServer

HOLD_MAX_S, HEARTBEAT_S = 10.0, 1.5
MAX_LISTED_ENDS = 500
# An order that gets no answer is carried out this much later.
LATE_S = (2.0, 12.0)
# A stop takes at most `stop_ms` (200).
STOP_S = 0.05


class Run:
    """One run of a task on a worker."""

    def __init__(self, task: str, number: int, need: tuple[int, int], began_s: float) -> None:
        self.task, self.number, self.need, self.began_s = task, number, need, began_s
        self.timer: asyncio.Task | None = None


class Worker(WebServer):
    """One worker of a service, which guards its capacity.

    `step_of` returns the step (as submitted) of a task's name. `on_event` is called with what
    begins and ends here.
    """

    def __init__(
        self,
        name: str,
        machine: str,
        pool: str,
        step_of: Callable[[str], dict],
        on_event: Callable[..., None],
        cpu: int = 16_000,
        mem_mb: int = 32_768,
        kind: str = "a",
    ) -> None:
        super().__init__()
        self.kind, self.rack = kind, "r1-1"
        self.name, self.machine, self.pool = name, machine, pool
        self.step_of, self.on_event = step_of, on_event
        self.capacity = (cpu, mem_mb)
        self._begin_life()
        self.dark_until_s = 0.0
        # Share of the starts that get no answer and are carried out late.
        self.late_share = 0.0
        self.up = True
        self._tasks: list[asyncio.Task] = []
        self._late: set[asyncio.Task] = set()

    def _begin_life(self) -> None:
        """Hold and know nothing of before; the counts start anew."""
        self.born_s = time.monotonic()
        self.born_ms = int(time.time() * 1_000)
        self.token = 0
        self.deadline_ms = 0
        self.runs: dict[str, Run] = {}
        self.highest_ended: dict[str, int] = {}
        self.finished: list[list] = []
        self.ends = 0
        self.ended = asyncio.Event()
        self.sequence = 0

    @property
    def clock_ms(self) -> int:
        return int((time.monotonic() - self.born_s) * 1_000)

    def entry(self) -> dict:
        """Return its entry in the list of workers."""
        self.sequence += 1
        cpu, mem_mb = self.capacity
        return {
            "backend": self.pool,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_ms": 0,
            "capacity": {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0},
            "labels": [self.kind, self.rack],
            "machine": self.machine,
            "born": self.born_ms,
            "clock_ms": self.clock_ms,
            "sequence": self.sequence,
        }

    def begin(self, store) -> None:
        """Report to the store and watch the lease from now on."""
        self._store = store

        async def report() -> None:
            while True:
                if not self.dark:
                    store.put("keyed.servers", self.name, self.entry())
                await asyncio.sleep(HEARTBEAT_S)

        async def watch_lease() -> None:
            while True:
                await asyncio.sleep(0.02)
                if self.runs and self.clock_ms > self.deadline_ms:
                    for run in list(self.runs.values()):
                        self._end(run, "lapsed")

        self._tasks = [asyncio.ensure_future(each()) for each in (report, watch_lease)]

    async def crash(self, away_s: float, kind: str, store) -> None:
        """Lose everything, and start again under the same id and address, as another kind."""
        host, port = self.address.rsplit(":", 1)
        self.up = False
        self._stop()
        for run in self.runs.values():
            self.on_event("lost", run.task, run.number, self.name)
        await asyncio.sleep(away_s)
        self._begin_life()
        self.kind, self.up = kind, True
        self.on_event("is back", "-", 0, self.name)
        await self.listen(host, int(port))
        self.begin(store)

    async def lose_power(self, away_s: float) -> None:
        """Go dark, lose everything, and start again under the same id and address."""
        self.up = False
        self.go_dark(away_s)
        self._stop_work()
        for run in self.runs.values():
            self.on_event("lost", run.task, run.number, self.name)
        self.runs = {}
        await asyncio.sleep(away_s)
        self.life += 1
        self._begin_life()
        self.dark_until_s, self.up = 0.0, True
        self.on_event("is back", "-", 0, self.name)
        self.begin(self._store)

    def close(self) -> None:
        for task in self._late:
            task.cancel()
        self._stop()

    def _stop(self) -> None:
        self._stop_work()
        super().close()

    def _stop_work(self) -> None:
        for task in self._tasks:
            task.cancel()
        for run in self.runs.values():
            if run.timer is not None:
                run.timer.cancel()

    def go_dark(self, length_s: float) -> None:
        """Answer nothing and report nothing for some time, as a machine without power would."""
        self.dark_until_s = time.monotonic() + length_s

    @property
    def dark(self) -> bool:
        return time.monotonic() < self.dark_until_s

    async def handle(self, method, target, headers, body):
        if self.dark:
            raise NoAnswerError
        if target == "/api/run-start" and random.random() < self.late_share:
            self._late.add(asyncio.ensure_future(self._carry_out_late(target, headers, body)))
            raise NoAnswerError
        answer = await self._handle(target, headers, body)
        if self.dark:
            raise NoAnswerError
        return answer

    async def _carry_out_late(self, target, headers, body) -> None:
        """Carry an order out seconds later, if there is a life of the worker that takes it."""
        await asyncio.sleep(random.uniform(*LATE_S))
        if self.up and not self.dark:
            status, answer = await self._handle(target, headers, body)
            fields = json.loads(body)
            outcome = json.loads(answer).get("reason", "carried out") if answer else status
            self.on_event(f"late start ({outcome})", fields["task"], fields["run"], self.name)

    async def _handle(self, target, headers, body):
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, b""
        fields = json.loads(body)
        token = fields.get("fencing_token", 0)
        if token < self.token:
            return self._answer(409, reason="fence")
        self.token = token
        match target:
            case "/api/run-start":
                return self._start(fields)
            case "/api/run-stop":
                return self._stop_run(fields)
            case "/api/hold":
                return await self._hold(fields)
            case "/api/pace":
                return self._answer(200)
        return 404, b""

    def _answer(self, status: int, **fields) -> tuple[int, bytes]:
        document = {"clock_ms": self.clock_ms, "born": self.born_ms} | fields
        return status, json.dumps(document).encode()

    def _grant(self, fields: dict) -> None:
        deadline_ms = min(fields.get("deadline_ms", 0), self.clock_ms + int(HOLD_MAX_S * 1_000))
        self.deadline_ms = max(self.deadline_ms, deadline_ms)

    def _start(self, fields: dict) -> tuple[int, bytes]:
        task, number = fields["task"], fields["run"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return self._answer(200)
        if fields["deadline_ms"] <= self.clock_ms:
            return self._answer(409, reason="late")
        self._grant(fields)
        if number <= self.highest_ended.get(task, 0) or run is not None:
            return self._answer(409, reason="old")
        step = self.step_of(task)
        need = (step.get("cpu", 0), step.get("mem_mb", 0))
        for place in (0, 1):
            used = sum(each.need[place] for each in self.runs.values())
            if used + need[place] > self.capacity[place]:
                return self._answer(409, reason="room")
        run = self.runs[task] = Run(task, number, need, time.monotonic())
        self.on_event("began", task, number, self.name)
        work_s = step["work_ms"] / 1_000
        if not step.get("long_running"):
            run.timer = asyncio.get_running_loop().create_task(self._finish(run, work_s, "done"))
        return self._answer(200)

    async def _finish(self, run: Run, after_s: float, how: str) -> None:
        await asyncio.sleep(after_s)
        self._end(run, how)

    def _end(self, run: Run, how: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        if run.timer is not None and run.timer is not asyncio.current_task():
            run.timer.cancel()
        highest = self.highest_ended.get(run.task, 0)
        self.highest_ended[run.task] = max(highest, run.number)
        self.ends += 1
        self.finished.append([self.ends, run.task, run.number, how, ""])
        self.on_event(how, run.task, run.number, self.name)
        self.ended.set()
        self.ended = asyncio.Event()

    def _stop_run(self, fields: dict) -> tuple[int, bytes]:
        task, number = fields["task"], fields["run"]
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number == number:
            if run.timer is not None:
                run.timer.cancel()
            run.timer = asyncio.ensure_future(self._finish(run, STOP_S, "stopped"))
        return self._answer(200)

    async def _hold(self, fields: dict) -> tuple[int, bytes]:
        self._grant(fields)
        for row in self.finished:
            if row[0] <= fields["last_seen"]:
                self.on_event(f"end {row[3]} noted", row[1], row[2], self.name)
        self.finished = [row for row in self.finished if row[0] > fields["last_seen"]]
        wait_s = min(fields.get("wait_ms", 0), 2_000) / 1_000
        if not self.finished and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.ended.wait(), wait_s)
        now_s = time.monotonic()
        running = [
            [run.task, run.number, "", self._percent(run, now_s), run.need[0]]
            for run in self.runs.values()
        ]
        return self._answer(200, running=running, finished=self.finished[:MAX_LISTED_ENDS])

    def _percent(self, run: Run, now_s: float) -> int:
        work_s = max(0.001, self.step_of(run.task)["work_ms"] / 1_000)
        return min(100, int(100 * (now_s - run.began_s) / work_s))


class Machines(WebServer):
    """The list of machines; no machine is ever taken down or moved."""

    def __init__(self, workers: list[Worker]) -> None:
        super().__init__()
        self.workers = workers

    async def handle(self, method, target, headers, body):
        if method != "GET":
            return 400, b""
        rows = [
            {
                "machine": worker.machine,
                "pool": worker.pool,
                "state": "up",
                "zone": "zone-a",
                "labels": [worker.kind, worker.rack],
                "capacity": {
                    "cpu": worker.capacity[0],
                    "mem_mb": worker.capacity[1],
                    "gpu": 0,
                },
                "id": worker.name,
            }
            for worker in self.workers
        ]
        return 200, json.dumps({"machines": rows, "next_token": None}).encode()
