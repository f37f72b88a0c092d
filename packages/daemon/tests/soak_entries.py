"""The entries of a soak, each a process of its own on loopback."""

import asyncio
import contextlib
import itertools
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import yaml
from fescuecrank_platform.settings import SETTINGS_ENV
from platform_servers import now_ms
from soak_proxy import Proxy
from soak_store import StoreFront

FRONT_PORT, READY_PORT = 8_340, 8_343

# An entry is free of faults this long after the last one.
CONTACT_MS = 3_000

ENDING_SIGNALS = (signal.SIGTERM, signal.SIGKILL)

# A process that has not ended this long after a SIGTERM is killed.
GRACE_MS = 6_000


def handles(pid: int, number: int) -> bool:
    """Return whether a process ignores a signal or has a handler for it."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        # It has ended.
        return False
    masks = [int(line.split()[1], 16) for line in lines if line.startswith(("SigIgn", "SigCgt"))]
    return any(mask >> (number - 1) & 1 for mask in masks)


class EntryProcess:
    """One entry with its own way to the store, a server and two proxies."""

    def __init__(
        self,
        number: int,
        folder: Path,
        front: StoreFront,
        count: Callable[[str], None],
        violate: Callable[[str], None],
    ) -> None:
        self.name, self.number = f"edge-{number}", number
        self.folder, self.store_front, self._count = folder, front, count
        self._violate = violate
        # Whether the present process was told to end, and the task that waits for its end.
        self._told_to_end = False
        self._watch: asyncio.Task | None = None
        # An address of its own: a free port could be taken while the process restarts.
        pid = os.getpid()
        address = f"127.{10 + pid % 200}.{pid // 200 % 250}.{number + 1}"
        self.front, self.ready = f"{address}:{FRONT_PORT}", f"{address}:{READY_PORT}"
        # A change of the settings moves the entry from one to the other.
        self.proxies = [Proxy(front.address, lambda name: count(f"store {name}")) for _ in range(2)]
        self.process: asyncio.subprocess.Process | None = None
        self.lives = 0
        self.closed = False
        # Two restarts may be due at a time; the first one counts.
        self._start_lock = asyncio.Lock()
        self._faults: set[int] = set()
        self._fault_numbers = itertools.count()
        self._repaired_ms: int | None = None

    @property
    def proxy(self) -> Proxy:
        """The proxy whose address its settings name."""
        return self.proxies[0]

    @property
    def log_path(self) -> Path:
        return self.folder / f"{self.name}.log"

    def logged(self, event: str) -> int:
        """Return how many lines of an event its processes have written."""
        return self.log_path.read_text(errors="replace").count(f'"{event}"')

    # Faults other than planned stops, reloads and changes of the configuration.

    def begin_fault(self) -> int:
        """Record that a fault begins; return its number for `end_fault`."""
        number = next(self._fault_numbers)
        self._faults.add(number)
        return number

    def end_fault(self, number: int, lives: int) -> None:
        """Record that a fault of the process with this number of starts has ended."""
        if lives == self.lives:
            self._faults.discard(number)
            self._repaired_ms = now_ms()

    @property
    def undisturbed(self) -> bool:
        """Whether it has been free of faults for `CONTACT_MS`, or since its start."""
        settled = self._repaired_ms is None or now_ms() - self._repaired_ms > CONTACT_MS
        return not self._faults and settled

    # Life cycle.

    async def start(self) -> None:
        """Start the process if it does not run; a start is completed even if this is cancelled."""
        await asyncio.shield(self._start())

    async def _start(self) -> None:
        async with self._start_lock:
            if not self.running and not self.closed:
                await self._create_process()

    async def _create_process(self) -> None:
        for proxy in self.proxies:
            await proxy.open()
        path = self.write_settings()
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "fescuecrank_daemon.platform_main",
                stdout=log,
                stderr=log,
                env={**os.environ, SETTINGS_ENV: str(path)},
            )
        self.lives += 1
        self._told_to_end = False
        self._watch = asyncio.ensure_future(self.watch(self.process))
        self._faults.clear()
        self._repaired_ms = None

    async def watch(self, process: asyncio.subprocess.Process) -> None:
        """Report a process that ends by itself."""
        status = await process.wait()
        if process is self.process and not self._told_to_end and not self.closed:
            self._violate(f"{self.name} has ended by itself with status {status}")

    def write_settings(self) -> Path:
        """Write the settings file, which is replaced at once."""
        settings = {
            "node_name": self.name,
            "zone": "dc-1",
            "listen_addrs": {"front": self.front, "ready": self.ready},
            "platform": {"address": self.proxy.address},
            "cloud": {"address": self.proxy.address},
        }
        path = self.folder / f"{self.name}.yaml"
        draft = path.with_suffix(".new")
        draft.write_text(yaml.safe_dump(settings))
        return draft.replace(path)

    def change_settings(self) -> None:
        """Give the store another address."""
        self.proxies.reverse()
        self.write_settings()
        self._count("settings changed")

    def signal(self, number: int) -> None:
        """Send a signal, if the process still runs.

        A reload is left out until the interpreter has come to the program: nothing can keep SIGHUP
        from ending a process that has executed none of its own code.
        """
        if self.running and number == signal.SIGHUP and not handles(self.pid, number):
            self._count("reloads left out before the program began")
        elif self.running:
            with contextlib.suppress(ProcessLookupError):
                beside = " beside another fault" if self._faults or self._told_to_end else ""
                self._told_to_end = self._told_to_end or number in ENDING_SIGNALS
                # `Process.send_signal` may reap the process, whose status is lost then.
                os.kill(self.process.pid, number)
                self._count(f"signals {signal.Signals(number).name}{beside}")

    async def kill_after_grace(self) -> None:
        """Kill the process if it does not end in time after a SIGTERM."""
        process = self.process
        await asyncio.sleep(GRACE_MS / 1_000)
        if process is not None and process.returncode is None:
            self._count("stops beyond the grace period")
            with contextlib.suppress(ProcessLookupError):
                process.kill()

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    @property
    def pid(self) -> int:
        return self.process.pid if self.process is not None else 0

    async def end(self) -> None:
        """Kill the process, also one that is being started, and wait for its end."""
        self.closed = True
        async with self._start_lock:
            pass
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
        if self.process is not None:
            await self.process.wait()

    def close(self) -> None:
        for proxy in self.proxies:
            proxy.refuse()
        self.store_front.close()
