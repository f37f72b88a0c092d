"""Composition root of an entry on the users' platform."""

import asyncio
import logging
import os
import random
import signal
import sys
from pathlib import Path

from fescuecrank_platform.fleet_calls import HttpFleetCalls
from fescuecrank_platform.requests import PlatformRequests
from fescuecrank_platform.settings import (
    ORDERS_BY_CALL,
    SETTINGS_ENV,
    Endpoints,
    PlatformSettings,
    read_settings,
)
from fescuecrank_platform.store import LogStore
from fescuecrank_platform.worker_calls import HttpWorkerCalls
from fescuecrank_scheduler.events import ShutDown
from fescuecrank_scheduler.reducer import Reducer
from fescuecrank_service.engine import Engine
from fescuecrank_service.file_watch import FileWatch
from fescuecrank_service.front import Front
from fescuecrank_service.http_calls import HttpCaller
from fescuecrank_service.log_lines import LineLog
from fescuecrank_service.metrics import Metrics

from fescuecrank_daemon.clock import SystemClock

EXIT_BAD_SETTINGS = 2

# Calls to store, machine list and advice that may be open at a time.
STORE_CALLS = 24
# Calls to workers that may be open at a time: one hold and some orders for each.
WORKER_CALLS = 400

# Where metrics are served; the deploy file names the same port and path.
METRICS_PORT = 9_464
METRICS_PATH = "/metrics"

# Only checks the settings. The option is read by hand: a parser of options would be loaded on every
# machine at every start.
CHECK_OPTION = "--check"

# After the process has decided to end, open answers are written for at most this long.
LINGER_MS = 100


async def run(path: Path, cfg: PlatformSettings) -> None:
    """Run one entry until it is told to stop."""
    endpoints = Endpoints.of(cfg)
    clock = SystemClock()
    rng = random.Random()
    log = LineLog(clock, cfg.node)
    caller = HttpCaller(STORE_CALLS)
    metrics = Metrics(clock)
    engine = Engine(
        Reducer(cfg.node, cfg.limits(), rng),
        clock,
        LogStore(caller, endpoints),
        lambda: HttpWorkerCalls(HttpCaller(WORKER_CALLS)),
        HttpFleetCalls(caller, endpoints, cfg.node),
        # Each life of a process numbers its appends anew.
        f"{cfg.node}-{rng.getrandbits(48):x}",
        log,
        metrics,
    )
    front = Front(
        PlatformRequests(),
        clock,
        engine.post,
        lambda: engine.reducer.ready,
        lambda: engine.reducer.config.max_body_bytes,
        answered=metrics.answers,
    )
    engine.front = front
    front.listen(cfg.front, cfg.ready)
    try:
        address = f"{cfg.front.rsplit(':', 1)[0]}:{METRICS_PORT}"
        front.listen_metrics(address, METRICS_PATH, lambda: metrics.render(engine.reducer))
    except OSError as exc:
        log.write("metrics_not_served", {"port": METRICS_PORT, "reason": str(exc)})

    def shut_down() -> None:
        front.stopping = True
        engine.post(ShutDown())

    def reload() -> None:
        read = read_settings(path)
        if read.is_err():
            log.write("settings_rejected", {"reason": str(read.err_value)})
            return
        endpoints.update(read.ok_value)
        same = {"store": endpoints.store, "machines": endpoints.machines}
        log.write("settings_reloaded", same)

    loop = asyncio.get_running_loop()
    watch = FileWatch(path, reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, shut_down)
    loop.add_signal_handler(signal.SIGHUP, watch.check, True)
    log.write("started", {"store": cfg.store, "front": cfg.front})
    if cfg.orders != ORDERS_BY_CALL:
        log.write("orders_not_supported", {"orders": cfg.orders})
    watching = loop.create_task(watch.run())
    await engine.run()
    watching.cancel()
    front.stop_listening()
    await asyncio.sleep(LINGER_MS / 1_000)
    log.write("stopped", {})


def main() -> int:
    """Entry point of the process."""
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


if __name__ == "__main__":
    sys.exit(main())
