"""Composition root of an entry on the users' platform: creates its components and runs it.

An entry is one process of the job scheduler.
"""

import asyncio
import logging
import os
import random
import signal
import sys
from pathlib import Path

import attrs
from fescuecrank_core.clock import Clock
from fescuecrank_platform.fleet_client import HttpFleetClient
from fescuecrank_platform.request_format import PlatformRequestFormat
from fescuecrank_platform.settings import (
    ORDERS_BY_CALL,
    SETTINGS_ENV,
    Endpoints,
    PlatformSettings,
    read_settings,
)
from fescuecrank_platform.store import LogStore
from fescuecrank_platform.worker_client import HttpWorkerClient
from fescuecrank_scheduler.events import ShutDown
from fescuecrank_scheduler.reducer import Reducer
from fescuecrank_service.engine import Engine
from fescuecrank_service.file_watch import FileWatcher
from fescuecrank_service.http_client import HttpClient
from fescuecrank_service.http_frontend import HttpFrontend
from fescuecrank_service.log_lines import JsonLineLogger
from fescuecrank_service.metrics import Metrics

from fescuecrank_daemon.clock import SystemClock

EXIT_BAD_SETTINGS = 2

# Limit on concurrent calls to the store, the machine list and the advice service.
MAX_STORE_CALLS = 24
# Limit on concurrent requests that are passed on to another entry.
MAX_PEER_CALLS = 64
# Limit on concurrent calls to workers: one hold and some orders for each worker.
MAX_WORKER_CALLS = 400

# Where metrics are served; the deploy file names the same port and path.
METRICS_PORT = 9_464
METRICS_PATH = "/metrics"

# Option to check the settings and exit. It is looked up in `sys.argv` because importing an option
# parser would slow down every start on every machine.
CHECK_OPTION = "--check"

# Time in which the last responses are written before the process exits.
LAST_ANSWERS_MS = 100


@attrs.define
class Entry:
    """One entry with its components."""

    path: Path
    cfg: PlatformSettings
    endpoints: Endpoints
    engine: Engine
    frontend: HttpFrontend
    metrics: Metrics
    log: JsonLineLogger
    clients: list[HttpClient]
    watcher: FileWatcher = attrs.field(init=False)

    @watcher.default
    def _make_watcher(self) -> FileWatcher:
        return FileWatcher(self.path, self._reload, self.log)

    async def run(self) -> None:
        """Serve until the entry is shut down; raises `OSError` if an address is in use."""
        self.frontend.listen(self.cfg.front_address, self.cfg.ready_address)
        self._serve_metrics()
        self.log.write(
            "started", {"store": self.cfg.store_address, "front": self.cfg.front_address}
        )
        if self.cfg.order_delivery != ORDERS_BY_CALL:
            self.log.write("orders_not_supported", {"orders": self.cfg.order_delivery})
        watch_task = asyncio.get_running_loop().create_task(self.watcher.run())
        try:
            await self.engine.run()
            self.frontend.close()
            self.frontend.stop_listening()
            await asyncio.sleep(LAST_ANSWERS_MS / 1_000)
            self.log.write("stopped", {})
        finally:
            watch_task.cancel()
            self.engine.close()
            for client in self.clients:
                client.close()

    def shut_down(self) -> None:
        """Begin a graceful shutdown."""
        self.frontend.stopping = True
        self.engine.post(ShutDown())

    def _serve_metrics(self) -> None:
        address = f"{self.cfg.front_address.rsplit(':', 1)[0]}:{METRICS_PORT}"
        reducer = self.engine.reducer
        try:
            self.frontend.listen_metrics(
                address, METRICS_PATH, lambda: self.metrics.render(reducer)
            )
        except OSError as exc:
            self.log.write("metrics_not_served", {"address": address, "reason": str(exc)})

    def _reload(self) -> None:
        read = read_settings(self.path)
        if read.is_err():
            self.log.write("settings_rejected", {"reason": str(read.err_value)})
            return
        self.endpoints.update(read.ok_value)
        self.log.write("settings_reloaded", attrs.asdict(self.endpoints))


def make_entry(path: Path, cfg: PlatformSettings, clock: Clock, log: JsonLineLogger) -> Entry:
    """Create the components of one entry."""
    rng = random.Random()
    endpoints = Endpoints.from_settings(cfg)
    metrics = Metrics(clock)
    client = HttpClient(MAX_STORE_CALLS, metrics.resent_counts)
    # Only forwarded requests: their callers, not this process, decide when to give up.
    peer_client = HttpClient(MAX_PEER_CALLS, metrics.resent_counts, resets=False)
    clients = [client, peer_client]

    def make_worker_client() -> HttpWorkerClient:
        # Created on demand, as only the leader calls workers.
        clients.append(HttpClient(MAX_WORKER_CALLS, metrics.resent_counts))
        return HttpWorkerClient(clients[-1])

    engine = Engine(
        Reducer(cfg.node, cfg.limits(), rng, cfg.front_address),
        clock,
        LogStore(client, endpoints),
        make_worker_client,
        HttpFleetClient(client, endpoints, cfg.node),
        peer_client,
        # Unique for each process, as a process numbers its appends from the start again.
        f"{cfg.node}-{rng.getrandbits(48):x}",
        log,
        metrics,
    )
    frontend = HttpFrontend(
        PlatformRequestFormat(),
        clock,
        engine.post,
        lambda: engine.reducer.ready,
        lambda: engine.reducer.config.max_body_bytes,
        response_counts=metrics.response_counts,
    )
    engine.frontend = frontend
    return Entry(path, cfg, endpoints, engine, frontend, metrics, log, clients)


async def run(path: Path, cfg: PlatformSettings) -> None:
    """Run one entry until a signal stops it."""
    clock = SystemClock()
    entry = make_entry(path, cfg, clock, JsonLineLogger(clock, cfg.node))
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, entry.shut_down)
    loop.add_signal_handler(signal.SIGHUP, entry.watcher.check, True)
    await entry.run()


def main() -> int:
    """Run an entry, or only check its settings; return the exit status."""
    logging.getLogger().setLevel(logging.ERROR)
    path = Path(os.environ.get(SETTINGS_ENV, "/etc/fescuecrank/boot.yaml"))
    cfg = read_settings(path)
    if cfg.is_err():
        print(cfg.err_value, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if CHECK_OPTION in sys.argv[1:]:
        print(f"{path}: valid settings of entry {cfg.ok_value.node}")
        return 0
    asyncio.run(run(path, cfg.ok_value))
    return 0
