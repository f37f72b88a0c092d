"""Random faults from outside on real entries, each a process of its own on loopback.

The stand-ins of the platform's store and of the workers run in this process, each behind a proxy.
Entries are killed, paused, stopped and restarted by signals, connections are delayed, held back and
reset, workers crash, shrink and come back, tasks crash workers, the configuration changes. Faults
come in series and overlap. What callers and workers see is checked all the time.

    python packages/daemon/tests/process_soak.py --seed 1 --seconds 20 --entries 4
"""

import argparse
import asyncio
import contextlib
import os
import random
import signal
import sys
import tempfile
from pathlib import Path

import attrs
import orjson
import yaml
from fescuecrank_platform.settings import SETTINGS_ENV
from fescuecrank_platform.worker_client import parse_task_name
from fescuecrank_scheduler.jobs import TaskId
from fescuecrank_service.http_client import HttpClient
from platform_servers import StoreServer, WorkerServer, now_ms
from soak_proxy import Proxy

KEY = "key-of-team-a"
QUEUE = "/checks/"
HOST = "host.example"

# Bounds of a deployment, in ms: an accepted job is known everywhere, a worker's report is taken in,
# a withdrawn key is refused.
VISIBLE_MS = 3_000
RESIZE_GRACE_MS = 4_500
REVOKE_MS = 5_000

FRONT_PORT, READY_PORT = 8_340, 8_343
HEARTBEAT_MS = 500
WORK_MS = 200
CRASH_DELAY_MS = 10
CAPACITY = 4_000
TASK_CPU = 500

# Starts that are allowed after three workers have crashed under a task.
STARTS_AFTER_THREE_CRASHES = 2

READY_TIMEOUT_S = 40
RECOVERY_S = 45
CALL_TIMEOUT_MS = 3_000


@attrs.define
class SoakJob:
    """A job from the view of its caller."""

    id: str
    crashing: bool
    accepted_ms: int | None = None
    # Whether every attempt to hand it in was refused for certain.
    refused: bool = False
    state: str = ""


class EntryProcess:
    """One entry, which runs as a process of its own."""

    def __init__(self, number: int, folder: Path, store: StoreServer) -> None:
        self.name = f"edge-{number}"
        self.folder = folder
        # An address of its own: a free port could be taken while the process restarts.
        pid = os.getpid()
        address = f"127.{10 + pid % 200}.{pid // 200 % 250}.{number + 1}"
        self.front, self.ready = f"{address}:{FRONT_PORT}", f"{address}:{READY_PORT}"
        self.proxy = Proxy(store.address)
        self.process: asyncio.subprocess.Process | None = None
        # Whether it is free of faults, apart from a planned stop, since its start.
        self.undisturbed = True
        self.paused = False

    async def start(self) -> None:
        await self.proxy.open()
        settings = {
            "node_name": self.name,
            "zone": "dc-1",
            "listen_addrs": {"front": self.front, "ready": self.ready},
            "platform": {"address": self.proxy.address},
            "cloud": {"address": self.proxy.address},
        }
        path = self.folder / f"{self.name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "fescuecrank_daemon.platform_main",
                stdout=log,
                stderr=log,
                env={**os.environ, SETTINGS_ENV: str(path)},
            )
        self.undisturbed, self.paused = True, False

    def signal(self, number: int) -> None:
        """Send a signal, if the process still runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class SoakWorker(WorkerServer):
    """One machine: a worker behind a proxy, whose successor has another id."""

    def __init__(self, number: int, soak: "ProcessSoak") -> None:
        super().__init__(f"i-{number}-1", WORK_MS)
        self.number, self.soak, self.lives = number, soak, 1
        self.proxy = Proxy(self.address)
        self.cpu, self.resized_ms = CAPACITY, 0

    def listed_entry(self) -> dict:
        capacity = {"cpu": self.cpu, "mem_mb": 8_000}
        machine = f"m-{self.number}"
        fields = {"address": self.proxy.address, "capacity": capacity, "machine": machine}
        return self.entry("pool-a") | fields

    async def handle(self, req) -> tuple[int, bytes]:
        if req.headers.get("X-Expect-Instance") != self.worker.id:
            return 421, orjson.dumps({"clock_ms": 0})
        count, worker = len(self.worker.started), self.worker
        answer = await super().handle(req)
        if len(worker.started) > count and req.path == "/api/run-start":
            self.soak.on_start(self, parse_task_name(orjson.loads(req.body)["task"]))
        return answer

    def crash(self, repair_ms: int) -> None:
        """Reset all connections; another worker has the address after a while."""
        if not self.worker.alive:
            return
        self.worker.crash(now_ms())
        self.proxy.refuse()
        self.soak.later(repair_ms, self._come_back)

    async def _come_back(self) -> None:
        self.soak.store.put("keyed.servers", self.worker.id, "")
        self.lives += 1
        self.worker = type(self.worker)(
            f"i-{self.number}-{self.lives}", started_ms=now_ms(), work_ms=WORK_MS
        )
        await self.proxy.open()


class ProcessSoak:
    """One run with one seed."""

    def __init__(self, seed: int, seconds: float, entries: int, workers: int, folder: Path) -> None:
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.folder = folder
        self.store = StoreServer()
        self.entries = [EntryProcess(number, folder, self.store) for number in range(entries)]
        self.workers = [SoakWorker(number, self) for number in range(workers)]
        self.jobs: dict[str, SoakJob] = {}
        self.crashes: dict[TaskId, list[int]] = {}
        self.late_starts: dict[TaskId, int] = {}
        self.violations: list[str] = []
        self.timeline: list[str] = []
        self.version = 1
        self.withdrawn_key = ""
        self.withdrawn_ms = 0
        self.client = HttpClient(200)
        self._tasks: set[asyncio.Task] = set()
        self._started_ms = now_ms()
        self._closing = False

    # Helpers.

    def later(self, delay_ms: int, action) -> None:
        """Call an action, which may be a coroutine function, after a delay."""

        async def run() -> None:
            await asyncio.sleep(delay_ms / 1_000)
            result = action()
            if asyncio.iscoroutine(result):
                await result

        self._spawn(run())

    def _spawn(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.violate(f"the soak failed: {task.exception()!r}")

    def note(self, text: str) -> None:
        self.timeline.append(f"{(now_ms() - self._started_ms) / 1_000:7.2f} {text}")

    def violate(self, text: str) -> None:
        self.note(f"VIOLATION {text}")
        self.violations.append(text)

    # What workers see.

    def on_start(self, server: SoakWorker, task: TaskId) -> None:
        job = self.jobs.get(task.job)
        if job is None or job.refused:
            self.violate(f"{task} was started, and its job was refused or never sent")
            return
        others = [
            other.worker.id
            for other in self.workers
            if other is not server and other.worker.alive and self._runs(other, task)
        ]
        if others:
            self.violate(f"{task} runs on {server.worker.id} and on {others}")
        used = TASK_CPU * len(server.worker.runs)
        if used > server.cpu and now_ms() - server.resized_ms > RESIZE_GRACE_MS:
            self.violate(f"{server.worker.id} holds {server.cpu} and has {used}")
        crashes = self.crashes.get(task, [])
        if len(crashes) >= 3:
            self.late_starts[task] = self.late_starts.get(task, 0) + 1
            if self.late_starts[task] > STARTS_AFTER_THREE_CRASHES:
                self.violate(f"{task} was started {self.late_starts[task]} times after 3 crashes")
        if job.crashing and (task.step, task.index) == (0, 0):
            worker = server.worker
            self.later(CRASH_DELAY_MS, lambda: self._crash_under(task, server, worker))

    def _runs(self, server: SoakWorker, task: TaskId) -> bool:
        server.worker.advance(now_ms())
        return task in server.worker.runs

    def _crash_under(self, task: TaskId, server: SoakWorker, worker) -> None:
        if worker.alive and server.worker is worker:
            self.crashes.setdefault(task, []).append(now_ms())
            self.note(f"{worker.id} crashes under {task.job}")
            server.crash(self.rng.randrange(800, 2_500))

    async def _heartbeats(self, server: SoakWorker) -> None:
        while not self._closing:
            if server.worker.alive:
                self.store.put("keyed.servers", server.worker.id, server.listed_entry())
            await asyncio.sleep(HEARTBEAT_MS / 1_000)

    # Callers, who keep using their connections until the process is gone.

    async def _caller(self, number: int) -> None:
        rng = random.Random(f"{number}-{self.rng.random()}")
        entry = rng.choice(self.entries)
        while not self._closing:
            if not entry.running or rng.random() < 0.1:
                entry = rng.choice(self.entries)
            await self._hand_in(entry, rng)
            await self._ask(entry, rng)
            await asyncio.sleep(rng.uniform(0.05, 0.4))

    async def _hand_in(self, entry: EntryProcess, rng: random.Random) -> None:
        job = SoakJob(f"{rng.getrandbits(64):016x}", crashing=rng.random() < 0.04)
        self.jobs[job.id] = job
        steps = [{"count": 3, "cpu": TASK_CPU, "estimate_ms": WORK_MS}]
        steps.append({"count": 1, "cpu": TASK_CPU, "estimate_ms": WORK_MS, "after": [0]})
        certain = True
        for _ in range(6):
            status = await self._call(entry, "POST", job.id, {"spec": "s", "steps": steps})
            if status == 200:
                job.accepted_ms = now_ms()
                return
            certain = certain and status in (429, 503)
            if self._closing:
                return
            await asyncio.sleep(rng.uniform(0.1, 0.5))
            entry = rng.choice(self.entries)
        job.refused = certain

    async def _ask(self, entry: EntryProcess, rng: random.Random) -> None:
        due = [
            job
            for job in self.jobs.values()
            if job.accepted_ms is not None and now_ms() - job.accepted_ms > VISIBLE_MS
        ]
        if not due:
            return
        job = rng.choice(due)
        if await self._call(entry, "GET", job.id) == 410:
            self.violate(f"{entry.name} answers 410 for the accepted job {job.id}")

    async def _call(self, entry: EntryProcess, method: str, job: str, body=None) -> int | None:
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
        raw = orjson.dumps(body) if body is not None else None
        path, sent_ms = QUEUE + job, now_ms()
        answer = await self.client.call(
            "soak", entry.front, method, path, CALL_TIMEOUT_MS, raw, headers
        )
        if answer.is_err():
            cut = entry.undisturbed and entry.running and now_ms() - sent_ms < CALL_TIMEOUT_MS
            if cut and "closed by the server" in answer.err_value.detail:
                self.violate(f"{entry.name} cut a request short: {answer.err_value.detail}")
            return None
        if answer.ok_value.code == 200 and method == "GET":
            self.jobs[job].state = orjson.loads(answer.ok_value.body)["state"]
        return answer.ok_value.code

    async def _use_withdrawn_key(self) -> None:
        """Ask with a key that was withdrawn; every entry that answers must refuse it."""
        while not self._closing:
            await asyncio.sleep(0.3)
            if not self.withdrawn_key or now_ms() - self.withdrawn_ms < REVOKE_MS:
                continue
            entry, key = self.rng.choice(self.entries), self.withdrawn_key
            headers = {"Host": HOST, "Authorization": f"Bearer {key}"}
            answer = await self.client.call(
                "soak", entry.front, "GET", QUEUE + "0" * 16, CALL_TIMEOUT_MS, None, headers
            )
            usable = answer.is_ok() and answer.ok_value.code in (200, 410)
            # An entry that cannot read the store does not hear of the withdrawal.
            if usable and entry.undisturbed and not self.store.down:
                self.violate(f"{entry.name} accepts the key {key}, which was withdrawn")

    # Faults.

    def faults(self) -> tuple:
        return (
            self.kill_entry,
            self.kill_entry,
            self.kill_all_entries,
            self.pause_entry,
            self.stop_entry,
            self.stop_entry,
            self.reload_settings,
            self.delay_store,
            self.hold_store_back,
            self.reset_store,
            self.stop_store,
            self.crash_worker,
            self.hold_worker_back,
            self.reset_workers,
            self.shrink_worker,
            self.shrink_worker,
            self.change_configuration,
        )

    def _random_entry(self) -> EntryProcess:
        return self.rng.choice(self.entries)

    def _restart_later(self, entry: EntryProcess, delay_ms: int) -> None:
        async def restart() -> None:
            await entry.process.wait()
            await asyncio.sleep(delay_ms / 1_000)
            if not entry.running and not self._closing:
                await entry.start()

        self._spawn(restart())

    def kill_entry(self, entry: EntryProcess | None = None) -> None:
        entry = entry or self._random_entry()
        if entry.running:
            entry.undisturbed = False
            entry.signal(signal.SIGKILL)
            self._restart_later(entry, self.rng.randrange(100, 2_000))

    def kill_all_entries(self) -> None:
        for entry in self.entries:
            self.kill_entry(entry)

    def pause_entry(self) -> None:
        entry = self._random_entry()
        entry.undisturbed = False
        entry.signal(signal.SIGSTOP)
        self.later(self.rng.randrange(300, 4_000), lambda: entry.signal(signal.SIGCONT))

    def stop_entry(self) -> None:
        entry = self._random_entry()
        if entry.running:
            entry.signal(signal.SIGTERM)
            self._restart_later(entry, self.rng.randrange(100, 1_000))

    def reload_settings(self) -> None:
        for entry in self.entries:
            entry.signal(signal.SIGHUP)

    def delay_store(self) -> None:
        entry = self._random_entry()
        entry.undisturbed, entry.proxy.delay_ms = False, self.rng.randrange(50, 600)
        self.later(self.rng.randrange(500, 4_000), entry.proxy.repair)

    def hold_store_back(self) -> None:
        entry = self._random_entry()
        entry.undisturbed = False
        entry.proxy.holds_answers = True
        entry.proxy.holds_requests = self.rng.random() < 0.5
        self.later(self.rng.randrange(500, 5_000), entry.proxy.repair)

    def reset_store(self) -> None:
        for entry in self.rng.sample(self.entries, len(self.entries) // 2):
            entry.undisturbed = False
            entry.proxy.reset()

    def stop_store(self) -> None:
        self.store.down = True
        self.later(self.rng.randrange(500, 4_000), lambda: setattr(self.store, "down", False))

    def crash_worker(self) -> None:
        self.rng.choice(self.workers).crash(self.rng.randrange(500, 4_000))

    def hold_worker_back(self) -> None:
        server = self.rng.choice(self.workers)
        server.proxy.holds_answers = True
        server.proxy.holds_requests = self.rng.random() < 0.5
        self.later(self.rng.randrange(500, 5_000), server.proxy.repair)

    def reset_workers(self) -> None:
        for server in self.workers:
            server.proxy.reset()

    def shrink_worker(self) -> None:
        server = self.rng.choice(self.workers)
        self._resize(server, self.rng.choice((0, TASK_CPU, 2 * TASK_CPU)))
        self.later(self.rng.randrange(3_000, 9_000), lambda: self._resize(server, CAPACITY))

    def _resize(self, server: SoakWorker, cpu: int) -> None:
        server.cpu, server.resized_ms = cpu, now_ms()

    def change_configuration(self) -> None:
        self.version += self.rng.randint(1, 3)
        extra = f"key-{self.version}"
        self._publish((extra,))
        self.later(self.rng.randrange(300, 2_000), lambda: self._withdraw(extra))

    def _withdraw(self, key: str) -> None:
        self.version += 1
        self._publish(())
        self.withdrawn_key, self.withdrawn_ms = key, now_ms()

    def _publish(self, extra_keys: tuple[str, ...]) -> None:
        route = {"name": "checks", "host": HOST, "path_prefix": QUEUE, "backend": "pool-a"}
        route |= {"max_attempts": 3, "stretch": 50, "slo_ms": 60_000}
        team = {"name": "team-a", "api_keys": [KEY, *extra_keys], "weight": 1, "cap": {}}
        config = {"version": self.version, "routes": [route], "tenants": [team]}
        config["backends"] = [{"name": "pool-a", "admission_check": False}]
        self.store.put("keyed.op", "config", config)

    # The run.

    async def run(self) -> list[str]:
        """Return what went wrong."""
        self._publish(())
        for server in self.workers:
            await server.proxy.open()
            self._spawn(self._heartbeats(server))
        try:
            await asyncio.gather(*(entry.start() for entry in self.entries))
            if await self._wait_until_ready():
                await self._disturb()
                await self._recover()
        finally:
            self._closing = True
            for entry in self.entries:
                await entry.end()
                entry.proxy.refuse()
            for task in list(self._tasks):
                task.cancel()
            for server in (self.store, *self.workers):
                server.close()
            self.client.close()
        return self.violations

    async def _wait_until_ready(self) -> bool:
        end = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        waiting = list(self.entries)
        while waiting and asyncio.get_running_loop().time() < end:
            answer = await self.client.call(
                "soak", waiting[0].ready, "GET", "/api/readyz", CALL_TIMEOUT_MS
            )
            if answer.is_ok() and answer.ok_value.code == 200:
                waiting.pop(0)
            else:
                await asyncio.sleep(0.05)
        if waiting:
            self.violate(f"{waiting[0].name} is not ready after {READY_TIMEOUT_S} s")
        return not waiting

    async def _disturb(self) -> None:
        for number in range(4):
            self._spawn(self._caller(number))
        self._spawn(self._use_withdrawn_key())
        faults = self.faults()
        end = asyncio.get_running_loop().time() + self.seconds
        while asyncio.get_running_loop().time() < end:
            # A series: the faults of one series overlap.
            for _ in range(self.rng.randint(1, 3)):
                fault = self.rng.choice(faults)
                self.note(fault.__name__)
                fault()
                await asyncio.sleep(self.rng.uniform(0.05, 0.6))
            await asyncio.sleep(self.rng.uniform(0.5, 2.5))

    async def _recover(self) -> None:
        """Repair everything; every accepted job has to end as it must."""
        self._closing = True
        self.note("repair")
        await asyncio.sleep(CALL_TIMEOUT_MS / 1_000 + 2)
        self._closing = False
        for server in self.workers:
            server.proxy.repair()
            self._resize(server, CAPACITY)
            self._spawn(self._heartbeats(server))
        self.store.down = False
        for entry in self.entries:
            entry.signal(signal.SIGCONT)
            entry.proxy.repair()
            if not entry.running:
                await entry.start()
        open_jobs = [job for job in self.jobs.values() if job.accepted_ms is not None]
        end = asyncio.get_running_loop().time() + RECOVERY_S
        while open_jobs and asyncio.get_running_loop().time() < end:
            for job in list(open_jobs):
                await self._call(self._random_entry(), "GET", job.id)
                if job.state in ("completed", "failed"):
                    open_jobs.remove(job)
            await asyncio.sleep(0.2)
        for job in open_jobs:
            self.violate(
                f"job {job.id} is {job.state or 'unknown'} {RECOVERY_S} s after the repair"
            )
        for job in self.jobs.values():
            if job.state == "failed" and not job.crashing:
                self.violate(f"job {job.id} without fault is shown as failed")
            if job.state == "completed" and job.crashing:
                self.violate(f"job {job.id} is shown as completed, and its first task never ends")

    def report(self, seed: int) -> str:
        """Return the timeline and the violations as text."""
        accepted = sum(job.accepted_ms is not None for job in self.jobs.values())
        head = (
            f"seed {seed}: {len(self.jobs)} jobs, {accepted} accepted, "
            f"{sum(job.refused for job in self.jobs.values())} refused, "
            f"{sum(map(len, self.crashes.values()))} crashes under {len(self.crashes)} tasks, "
            f"{len(self.violations)} violations"
        )
        lines = self.timeline if self.violations else []
        return "\n".join([head, *lines])


def run_soak(seed: int, seconds: float, entries: int, workers: int, folder: Path) -> ProcessSoak:
    """Run one soak and return it."""

    async def body() -> ProcessSoak:
        soak = ProcessSoak(seed, seconds, entries, workers, folder)
        await soak.run()
        return soak

    return asyncio.run(body())


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--workers", type=int, default=6)
    args = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{args.seed}-"))
    soak = run_soak(args.seed, args.seconds, args.entries, args.workers, folder)
    print(soak.report(args.seed))
    if soak.violations:
        print(f"logs of the entries: {folder}")
    return 1 if soak.violations else 0


if __name__ == "__main__":
    sys.exit(main())
