"""Builders for the tests of the soak's checks: a ledger, an entry and a server that misbehaves."""

import asyncio
from types import SimpleNamespace

from fescuecrank_scheduler.events import EndRow
from fescuecrank_scheduler.jobs import TaskId
from soak_callers import MAX_LAG_MS, Callers
from soak_ledger import Ledger, Life, SoakJob

JOB = "00000000000000aa"
TASK = TaskId(JOB, 0, 0, 0)
LAST_TASK = TaskId(JOB, 0, 1, 0)
LIFE, OTHER_LIFE, NEXT_LIFE = Life("i-1", 10), Life("i-2", 10), Life("i-1", 20)


class CheckedLedger(Ledger):
    """A ledger with one accepted job, which keeps its violations."""

    def __init__(self, crashing: bool = False) -> None:
        self.violations: list[str] = []
        super().__init__(self.violations.append, lambda: "0.00")
        self.job = SoakJob(JOB, crashing, accepted_ms=0)
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
        # Allows for a machine that is busy while the tests run.
        lag_ms=MAX_LAG_MS,
        store_away=False,
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
