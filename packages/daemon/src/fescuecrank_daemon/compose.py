"""Composition root: wires one entry, or several in one process on one loop."""

import asyncio
import base64
import contextlib
import socket
import sys
from collections.abc import Callable, Sequence
from typing import Protocol, TextIO

import attrs
from fescuecrank_core.clock import Clock, Instant
from fescuecrank_core.effects import Effect
from fescuecrank_core.entry import EntryConfig, build_entry
from fescuecrank_core.events import Event, PeerMessage, ShutdownAsked
from fescuecrank_core.messages import Message
from fescuecrank_core.metrics import Sample
from fescuecrank_core.records import KeyGranted
from tornado.netutil import bind_sockets

from fescuecrank_daemon.adapters import INSTANCE_LISTERS, LOG_CLIENTS, WORKER_CLIENTS
from fescuecrank_daemon.clock import SystemClock
from fescuecrank_daemon.effect_runner import EffectRunner, Platform
from fescuecrank_daemon.engine import Engine
from fescuecrank_daemon.exchange import Exchange
from fescuecrank_daemon.http_base import HttpContext
from fescuecrank_daemon.http_server import HttpListener
from fescuecrank_daemon.logs import make_logger
from fescuecrank_daemon.metrics import ShellMetrics
from fescuecrank_daemon.peers import Peers
from fescuecrank_daemon.settings import Settings
from fescuecrank_daemon.tasks import BackgroundTasks
from fescuecrank_daemon.tracing import Tracing

EXIT_OK = 0
EXIT_BROKEN = 70
EXIT_OVERDUE = 75

# The reducer ends a shutdown within 30 s; past this, the process ends without it.
SHUTDOWN_LIMIT_MS = 40_000

# Time for the last answers to reach their callers.
LAST_ANSWERS_MS = 1_000


class StepReducer(Protocol):
    """What the daemon needs of the reducer."""

    def step(self, event: Event, now: Instant) -> list[Effect]:
        """Handle one event and return what to do."""

    def metrics(self, now: Instant) -> list[Sample]:
        """Return the figures of the state."""

    def is_ready(self, now: Instant) -> bool:
        """Return whether the load balancer should send callers here."""


@attrs.frozen
class Identity:
    """Who an entry is: its settings, peer address and incarnation."""

    settings: Settings
    peer_address: str
    incarnation: int
    operator_keys: tuple[KeyGranted, ...]


MakeReducer = Callable[[Identity, Instant], StepReducer]


def make_reducer(identity: Identity, now: Instant) -> StepReducer:
    """Return the reducer of `fescuecrank_core.entry`."""
    cfg = identity.settings
    entry = EntryConfig(
        name=cfg.name,
        region=cfg.region,
        data_centre=cfg.data_centre,
        peer_address=identity.peer_address,
        incarnation=identity.incarnation,
        seeds=dict(cfg.peers.seeds),
        operator_keys=identity.operator_keys,
        log_retention_ms=cfg.log.retention_ms,
    )
    return build_entry(entry, now)


def operator_keys(cfg: Settings) -> tuple[KeyGranted, ...]:
    """Return the operator keys in the settings as records."""
    return tuple(
        KeyGranted(
            f"settings-{key.key_id}",
            key.key_id,
            "operator",
            "",
            base64.b64decode(key.salt),
            base64.b64decode(key.digest),
        )
        for key in cfg.operator_keys
    )


def bind(address: str) -> socket.socket:
    """Return a listening socket on `ip:port`; port 0 picks a free one."""
    host, _, port = address.rpartition(":")
    return bind_sockets(int(port), host.strip("[]"))[0]


def bound_address(sock: socket.socket) -> str:
    """Return the `ip:port` of a bound socket."""
    host, port = sock.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class EntryDaemon:
    """One entry with its listeners; everything runs on the loop that calls `start`."""

    def __init__(
        self,
        cfg: Settings,
        make: MakeReducer = make_reducer,
        clock: Clock | None = None,
        log_stream: TextIO | None = None,
        span_stream: TextIO | None = None,
    ) -> None:
        """Bind the listeners and wire the entry; `OSError` if an address or file is unusable."""
        self.cfg = cfg
        self._clock = clock or SystemClock()
        self._http_socket = bind(cfg.http.address)
        self._peer_socket = bind(cfg.peers.address)
        self.http_address = bound_address(self._http_socket)
        self.peer_address = bound_address(self._peer_socket)
        self.log = make_logger(cfg.logging, log_stream or sys.stderr, cfg.name)
        self._metrics = ShellMetrics()
        self._tasks = BackgroundTasks(self.log)
        self._tracing = Tracing(cfg.tracing, cfg.name, span_stream)
        self._stopping = False
        self._exit_code: int | None = None
        self._exited = asyncio.Event()
        self._wire(make)

    def _wire(self, make: MakeReducer) -> None:
        cfg, log, metrics, clock = self.cfg, self.log, self._metrics, self._clock
        now = clock.now()
        # Wall time grows over restarts, so a later start has a higher incarnation.
        identity = Identity(cfg, self.peer_address, now.wall_ms, operator_keys(cfg))
        self.reducer = make(identity, now)
        self.exchange = Exchange(cfg.name, cfg.http, self.post, metrics)
        self.peers = Peers(
            cfg.name, cfg.peers, clock, self._peer_message, log, metrics, self._tasks
        )
        platform = Platform(
            LOG_CLIENTS[cfg.log.adapter](cfg.log, log),
            INSTANCE_LISTERS[cfg.instances.adapter](cfg.instances),
            WORKER_CLIENTS[cfg.workers.adapter](cfg.workers),
        )
        runner = EffectRunner(
            clock,
            platform,
            self.peers,
            self.exchange,
            self._tasks,
            self._tracing,
            metrics,
            log,
            self.post,
            lambda: self._exit(EXIT_OK),
        )
        self.engine = Engine(
            clock, self.reducer.step, runner.run, lambda: self._exit(EXIT_BROKEN), log, metrics
        )
        self._http = HttpListener(self._http_context())

    def _http_context(self) -> HttpContext:
        return HttpContext(
            self.cfg.name,
            self.cfg.http,
            self.cfg.logging.calls,
            self._clock,
            self.exchange,
            self._tracing,
            self._metrics,
            self.log,
            lambda: self.reducer.metrics(self._clock.now()),
            self._is_ready,
        )

    def _is_ready(self) -> bool:
        return not self._stopping and self.reducer.is_ready(self._clock.now())

    def post(self, event: Event) -> None:
        """Feed one event to the reducer."""
        self.engine.post(event)

    def _peer_message(self, sender: str, message: Message) -> None:
        self.post(PeerMessage(sender, message))

    async def start(self) -> None:
        """Open the listeners and start the ticks."""
        await self.peers.start(self._peer_socket)
        self._http.start(self._http_socket)
        self.engine.start()
        self.log.info("entry_started", http=self.http_address, peers=self.peer_address)

    def shut_down(self) -> None:
        """Begin a planned stop; the reducer ends it with `Exit`."""
        if self._stopping:
            return
        self._stopping = True
        self.log.info("shutdown_asked")
        self._tasks.spawn(self._limit_shutdown(), "shutdown.limit")
        self.post(ShutdownAsked())

    async def _limit_shutdown(self) -> None:
        await asyncio.sleep(SHUTDOWN_LIMIT_MS / 1_000)
        self.log.error("shutdown_overdue", limit_ms=SHUTDOWN_LIMIT_MS)
        self._exit(EXIT_OVERDUE)

    def _exit(self, code: int) -> None:
        if self._exit_code is None:
            self._exit_code = code
            self._exited.set()

    async def wait(self) -> int:
        """Wait for the end of the entry, close everything, and return the exit status."""
        await self._exited.wait()
        await self.close()
        return self._exit_code or EXIT_OK

    async def abort(self) -> None:
        """End as a killed process does: connections close and nothing more is sent or answered."""
        self._stopping = True
        self.engine.stop()
        self._tasks.cancel()
        await self._http.close()
        await self._close_rest()

    async def close(self) -> None:
        """Stop at once: waiting callers learn that their outcome is unknown."""
        self._stopping = True
        self.engine.stop()
        await self.exchange.close(LAST_ANSWERS_MS)
        await self._http.close()
        await self._close_rest()

    async def _close_rest(self) -> None:
        await self.peers.close()
        await self._tasks.close()
        # The last export makes blocking calls, and other entries may share this loop.
        await asyncio.to_thread(self._tracing.close)
        for sock in (self._http_socket, self._peer_socket):
            with contextlib.suppress(OSError):
                sock.close()
        self.log.info("entry_stopped", status=self._exit_code)


async def run_entries(entries: Sequence[EntryDaemon]) -> int:
    """Run entries on this loop until all have ended; return the highest exit status."""
    for entry in entries:
        await entry.start()
    return max(await asyncio.gather(*(entry.wait() for entry in entries)))
