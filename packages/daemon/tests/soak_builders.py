"""Builders for the tests of the soak's checks: a ledger, an entry and a server that misbehaves."""

import asyncio
from collections import Counter
from types import SimpleNamespace

import orjson
from fescuecrank_platform.worker_client import task_name
from fescuecrank_scheduler.events import EndRow
from fescuecrank_scheduler.jobs import TaskId
from soak_callers import MAX_LAG_MS, Callers
from soak_jobs import PLAIN, JobKind, SoakJob
from soak_ledger import Ledger, Life
from soak_machine import SoakGangs
from soak_servers import NoAnswerError
from soak_store import SharedStore
from soak_workers import HOLD_PATH, START_PATH, SoakWorker

JOB = "00000000000000aa"
TASK = TaskId(JOB, 0, 0, 0)
LAST_TASK = TaskId(JOB, 0, 1, 0)
LIFE, OTHER_LIFE, NEXT_LIFE = Life("i-1", 10), Life("i-2", 10), Life("i-1", 20)


class CheckedLedger(Ledger):
    """A ledger with one accepted job, which keeps its violations."""

    def __init__(self, crashing: bool = False, kind: JobKind = PLAIN, **fields) -> None:
        self.violations: list[str] = []
        super().__init__(self.violations.append, lambda: "0.00")
        self.job = SoakJob(JOB, crashing, kind, accepted_ms=0, **fields)
        self.jobs[JOB] = self.job

    def start(
        self, life: Life = LIFE, run: int = 1, task: TaskId = TASK, others: tuple = ()
    ) -> None:
        self.on_start(life, task, run, list(others))

    def end(self, number: int, life: Life = LIFE, run: int = 1, task: TaskId = TASK) -> None:
        self.on_end(life, EndRow(number, task, run, "done", ""))


def fake_soak(address: str) -> SimpleNamespace:
    """Return what callers use of a soak, with one entry that is free of faults."""
    entry = SimpleNamespace(name="edge-0", front=address, lives=1, undisturbed=True, running=True)
    ledger = CheckedLedger()
    soak = SimpleNamespace(
        ledger=ledger,
        violate=ledger.violations.append,
        count=lambda name: None,
        entries=[entry],
        workers=[None],
        # Allows for a machine that is busy while the tests run.
        lag_ms=MAX_LAG_MS,
        store_away=False,
        long_share=0.0,
    )
    soak.callers = Callers(soak, 1)
    return soak


def ask_server(answer, scenario) -> list[str]:
    """Run `scenario(soak)` against a server that calls `answer(writer, number)` for each request.

    Return the violations.
    """

    async def body() -> list[str]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            number = 0
            try:
                while await reader.readuntil(b"\r\n\r\n"):
                    number += 1
                    await answer(writer, number)
            except (asyncio.IncompleteReadError, OSError):
                # The caller has closed the connection.
                return
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        soak = fake_soak(f"{host}:{port}")
        await scenario(soak)
        server.close()
        # Lets the server see that its connections have ended.
        await asyncio.sleep(0.05)
        return soak.ledger.violations

    return asyncio.run(body())


def response(status: int, body: bytes = b"{}") -> bytes:
    """Return an HTTP response."""
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


# Later than the clock of any worker of a test.
DEADLINE_MS = 1_000_000


class WorkersSoak:
    """What workers use of a soak, with calls to them that need no network."""

    seed = 1

    def __init__(self, ledger: CheckedLedger, count: int = 2, work_ms: int = 60_000) -> None:
        self.ledger, self.hits = ledger, Counter()
        self.gangs, self.store = SoakGangs.of_jobs(ledger.jobs), SharedStore()
        self.violate = ledger.violations.append
        self.tasks: list[asyncio.Task] = []
        self.workers = [SoakWorker(number, work_ms, False, self) for number in range(count)]

    def count(self, name: str) -> None:
        self.hits[name] += 1

    def note(self, text: str) -> None:
        """Keep no time line."""

    def spawn(self, coroutine) -> None:
        self.tasks.append(asyncio.ensure_future(coroutine))

    def later(self, delay_ms: int, action) -> None:
        """Call nothing later; a test calls what it needs."""

    async def call(self, worker: int, path: str, **fields) -> tuple[int, bytes] | None:
        """Call a worker; return the status and the body, or None for no answer."""
        server = self.workers[worker]
        headers = {"X-Expect-Instance": server.worker.id}
        body = orjson.dumps({"fencing_token": 1, "deadline_ms": DEADLINE_MS, **fields})
        try:
            return await server.handle(SimpleNamespace(path=path, headers=headers, body=body))
        except NoAnswerError:
            return None

    async def start(self, worker: int, task: TaskId = TASK, run: int = 1) -> tuple | None:
        return await self.call(worker, START_PATH, task=task_name(task), run=run, spec="s")

    async def hold(self, worker: int, last_seen: int = 0) -> dict:
        return orjson.loads((await self.call(worker, HOLD_PATH, last_seen=last_seen))[1])

    def ends(self, worker: int) -> list[str]:
        """Return how the runs of a worker have ended until now."""
        self.workers[worker].observe()
        return [row.end_reason for row in self.workers[worker].worker.ends]


def use_workers(scenario, kind: JobKind = PLAIN, **fields) -> list[str]:
    """Run `scenario(soak)` with workers and one job of a kind; return the violations."""

    async def body() -> list[str]:
        soak = WorkersSoak(CheckedLedger(kind=kind, **fields))
        await scenario(soak)
        for task in soak.tasks:
            task.cancel()
        for server in soak.workers:
            server.proxy.refuse()
            server.close()
        return soak.ledger.violations

    return asyncio.run(body())
