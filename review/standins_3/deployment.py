"""A small deployment: entries as processes of their own, the platform's stand-ins and callers."""

import asyncio
import contextlib
import json
import os
import secrets
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from cloud import Cloud
from store import Store
from workers import Machine

ROOT = Path(__file__).resolve().parents[2]
# The program and its arguments, as in the deploy file.
COMMAND = ("-m", "fescuecrank_daemon.platform_main")

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 115

# A requester sends a job again, up to four times, after no response or a refusal.
TRIES, RETRY_S, ANSWER_S = 5, 1.0, 3.0

HOST = "jobs.example"
FRONT_PORT, READY_PORT = 8_340, 8_343


def trouble() -> bool:
    """Return whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def entry_address(number: int) -> str:
    """Return a loopback address of an entry's own.

    Another script, or a connection, could take a free port while the entry is down.
    """
    pid = os.getpid()
    return f"127.{10 + pid % 200}.{pid // 200 % 250}.{number + 1}"


class Record:
    """Writes what was sent, answered and run, one JSON line each."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def __call__(self, event: str, **fields: object) -> None:
        line = {"s": round(time.monotonic() - self._start_s, 3), "event": event} | fields
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


class Entry:
    """One entry: its settings file and its process."""

    def __init__(self, number: int, folder: Path, store: str, cloud: str, record: Record) -> None:
        self.name, self._record = f"edge-{number + 1}", record
        name, address = self.name, entry_address(number)
        self.front, self.ready = f"{address}:{FRONT_PORT}", f"{address}:{READY_PORT}"
        self._path, self._log = folder / f"{name}.yaml", folder / f"{name}.log"
        # JSON is YAML.
        settings = {
            "node_name": name,
            "role": "entry",
            "zone": "z-1",
            "region": "r-1",
            "listen_addrs": {"front": self.front, "ready": self.ready},
            "limits": {"cpu_share": 1.0, "cpu_cores": 1, "memory_mb": 300, "link_mbps": 1000.0},
            "heartbeat_ms": 1500,
            "bounds": {
                "contact_ms": 3000,
                "config_ms": 2000,
                "hold_max_ms": 10000,
                "maintenance_s": 2,
                "status_s": 120,
                "visible_ms": 3000,
                "require_fencing": True,
                "lease_ms": 3000,
            },
            "orders": "call",
            "platform": {
                "address": store,
                "form": "log",
                "record_bytes": 262144,
                "call_bytes": 2097152,
            },
            "cloud": {"address": cloud},
        }
        self._path.write_text(json.dumps(settings))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file, at the repository's root."""
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "FESCUECRANK_NODE_FILE": str(self._path),
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, *COMMAND, stdout=log, stderr=log, cwd=ROOT, env=env
            )
        self._record("entry_started", entry=self.name, pid=self.process.pid)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        if self.process is not None and self.process.returncode is None:
            self._record("signal", entry=self.name, signal=number.name)
            os.kill(self.process.pid, number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the entry says that it is ready."""
        status, _ = await call(self.ready, "GET", "/api/readyz", {}, b"", 1.0)
        return status == 200

    def log_lines(self) -> list[dict]:
        """Return the log lines of its processes."""
        lines = []
        for line in self._log.read_bytes().splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines


async def call(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes, timeout_s: float
) -> tuple[int | None, bytes]:
    """Send one request on a connection of its own; the status is None without an answer."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {"Host": address, "Content-Length": str(len(body))} | headers
            head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            answer_head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            length = int(answer_head.split("content-length:", 1)[1].split("\r\n", 1)[0])
            return int(answer_head.split(" ", 2)[1]), await reader.readexactly(length)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return None, b""
    finally:
        if writer is not None:
            writer.transport.abort()


class Deployment:
    """Everything that one case runs."""

    def __init__(self, folder: Path, record: Record, machines: dict[str, str], cpu: int) -> None:
        self.folder, self.record = folder, record
        self.store = Store()
        self.machines = [
            Machine(name, pool, f"r-{number // 4}", cpu, self._list_entry, record)
            for number, (name, pool) in enumerate(machines.items())
        ]
        self.cloud = Cloud(self.machines, record)
        self.entries: list[Entry] = []
        self._version = 0

    def _list_entry(self, worker: str, value: bytes) -> None:
        self.store.partition("keyed.servers").put(worker, value)

    def machine(self, name: str) -> Machine:
        """Return a machine by its name."""
        return next(machine for machine in self.machines if machine.name == name)

    def entry(self, name: str) -> Entry:
        """Return an entry by its name."""
        return next(entry for entry in self.entries if entry.name == name)

    async def start(self, entries: int) -> None:
        """Start the platform, the workers and the entries; return when the entries are ready."""
        await self.store.start()
        await self.cloud.start()
        for machine in self.machines:
            await machine.boot()
        self.put_config()
        for number in range(entries):
            addresses = (self.store.address, self.cloud.address)
            self.entries.append(Entry(number, self.folder, *addresses, self.record))
            await self.entries[-1].start()
        async with asyncio.timeout(30):
            while not all([await entry.is_ready() for entry in self.entries]):
                await asyncio.sleep(0.1)

    def put_config(self) -> None:
        """Write a configuration with one queue for each pool, at a path of the pool's name."""
        self._version += 1
        pools = sorted({machine.pool for machine in self.machines})
        config = {
            "version": self._version,
            "routes": [
                {
                    "name": f"q-{pool}",
                    "host": HOST,
                    "path_prefix": f"/{pool}/",
                    "type": "non_idempotent",
                    "timeout_ms": 3000,
                    "slo_ms": 600,
                    "priority": 0,
                    "backend": pool,
                    "max_attempts": 4,
                    "stretch": 1.6,
                }
                for pool in pools
            ],
            "backends": [{"name": pool, "admission_check": True} for pool in pools],
            "limits": {"max_body_bytes": 262144},
            "tenants": [{"name": "team-1", "api_keys": ["key-1"], "weight": 1}],
        }
        self.store.partition("keyed.op").put("config", json.dumps(config).encode())

    def put_wave(self, number: int, machines: list[str], cap: int, duration_s: int) -> None:
        """Ask for the upkeep of machines."""
        wave = {"wave": number, "machines": machines, "duration_s": duration_s, "cap": cap}
        self.cloud.waves[number] = wave
        self.record("wave", **wave)
        self.store.partition("keyed.op").put(f"wave/{number}", json.dumps(wave).encode())

    async def request(
        self, method: str, path: str, body: bytes = b"", entry: Entry | None = None
    ) -> tuple[int | None, bytes]:
        """Send a caller's request to an entry, to one that runs if none is given."""
        running = [e for e in self.entries if e.process and e.process.returncode is None]
        entry = entry or secrets.choice(running)
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "Authorization": "Bearer key-1",
            "X-Deadline-Ms": "3000",
        }
        status, answer = await call(entry.front, method, path, headers, body, ANSWER_S)
        text = answer.decode(errors="replace")[:80]
        self.record(
            "request", method=method, path=path, entry=entry.name, status=status, answer=text
        )
        return status, answer

    async def submit(self, pool: str, steps: list[dict], spec: dict) -> tuple[str, bool]:
        """Hand a job in, again after a failure; return its id and whether it was accepted."""
        job = secrets.token_hex(8)
        body = json.dumps({"spec": json.dumps(spec), "steps": steps}).encode()
        for _ in range(TRIES):
            status, _ = await self.request("POST", f"/{pool}/{job}", body)
            if status is not None and 200 <= status < 300:
                return job, True
            if status in (400, 401, 404, 413):
                break
            await asyncio.sleep(RETRY_S)
        return job, False

    async def state(self, pool: str, job: str) -> str:
        """Return a job's state, or the empty string without an answer that has one."""
        status, answer = await self.request("GET", f"/{pool}/{job}")
        return json.loads(answer).get("state", "") if status == 200 else ""

    async def end(self) -> None:
        """End all processes that were started."""
        for entry in self.entries:
            await entry.end()
        for machine in self.machines:
            machine.record = lambda *_, **__: None
            machine.end_life()
        self.cloud.close()
        self.store.close()


async def until(condition: Callable[[], bool], timeout_s: float, step_s: float = 0.02) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            return False
        await asyncio.sleep(step_s)
    return True


def run_case(
    folder: Path,
    machines: dict[str, str],
    scenario: Callable[[Deployment], Awaitable[int]],
    entries: int = 3,
    cpu: int = 4_000,
) -> int:
    """Run a scenario and return its exit status; a failure to run it counts as `NOT_RUN`."""

    async def body(temporary: Path) -> int:
        deployment = Deployment(temporary, Record(folder / "record.txt"), machines, cpu)
        # A script that is ended from outside ends what it has started.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(LIMIT_S):
                await deployment.start(entries)
                status = await scenario(deployment)
        except (Exception, asyncio.CancelledError) as exc:  # noqa: BLE001 - it could not run
            deployment.record("not_run", error=repr(exc))
            status = NOT_RUN
        finally:
            await deployment.end()
        deployment.record("exit", status=status, trouble=trouble())
        print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[status])
        return status

    with tempfile.TemporaryDirectory() as temporary:
        return asyncio.run(body(Path(temporary)))
