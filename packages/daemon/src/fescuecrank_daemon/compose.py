"""Composition root: creates the components of an entry, and runs entries on one event loop."""

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
from fescuecrank_daemon.background_tasks import BackgroundTasks
from fescuecrank_daemon.clock import SystemClock
from fescuecrank_daemon.effect_runner import EffectRunner, Platform
from fescuecrank_daemon.engine import Engine
from fescuecrank_daemon.http_base import HttpContext
from fescuecrank_daemon.http_server import HttpListener
from fescuecrank_daemon.logs import make_logger
from fescuecrank_daemon.metrics import DaemonMetrics
from fescuecrank_daemon.peers import Peers
from fescuecrank_daemon.pending_calls import PendingCalls
from fescuecrank_daemon.settings import Settings
from fescuecrank_daemon.tracing import Tracing

EXIT_OK = 0
EXIT_REDUCER_FAILED = 70
EXIT_SHUTDOWN_TIMEOUT = 75

# The reducer completes a shutdown within 30 s. Past this limit, the process exits without waiting
# for it.
SHUTDOWN_TIMEOUT_MS = 40_000

# Time for the last answers to reach their callers.
LAST_ANSWERS_TIMEOUT_MS = 1_000


class Reducer(Protocol):
    """Interface of the reducer, as the daemon uses it."""

    def step(self, event: Event, now: Instant) -> list[Effect]:
        """Apply one event to the state and return the effects to carry out."""

    def metrics(self, now: Instant) -> list[Sample]:
        """Return metric samples of the state."""

    def is_ready(self, now: Instant) -> bool:
        """Return whether the load balancer should route requests to this entry."""


@attrs.frozen
class EntryIdentity:
    """Settings, peer address, incarnation and operator keys of one entry."""

    settings: Settings
    peer_address: str
    incarnation: int
    operator_keys: tuple[KeyGranted, ...]


ReducerFactory = Callable[[EntryIdentity, Instant], Reducer]


def make_reducer(identity: EntryIdentity, now: Instant) -> Reducer:
    """Create the reducer with `fescuecrank_core.entry.build_entry`."""
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
    """Convert the operator keys in the settings to records."""
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
    """Return a listening socket on `ip:port`; port 0 selects a free one."""
    host, _, port = address.rpartition(":")
    return bind_sockets(int(port), host.strip("[]"))[0]


def bound_address(sock: socket.socket) -> str:
    """Return the `ip:port` of a bound socket."""
    host, port = sock.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class EntryDaemon:
    """One entry with its listeners; everything runs on the event loop that calls `start`."""

    def __init__(
        self,
        cfg: Settings,
        reducer_factory: ReducerFactory = make_reducer,
        clock: Clock | None = None,
        log_stream: TextIO | None = None,
        span_stream: TextIO | None = None,
    ) -> None:
        """Bind the listeners and create the components.

        Raises `OSError` if an address or file is unusable.
        """
        self.cfg = cfg
        self._clock = clock or SystemClock()
        self._http_socket = bind(cfg.http.address)
        self._peer_socket = bind(cfg.peers.address)
        self.http_address = bound_address(self._http_socket)
        self.peer_address = bound_address(self._peer_socket)
        self.log = make_logger(cfg.logging, log_stream or sys.stderr, cfg.name)
        self._metrics = DaemonMetrics()
        self._tasks = BackgroundTasks(self.log)
        self._tracing = Tracing(cfg.tracing, cfg.name, span_stream)
        self._stopping = False
        self._exit_code: int | None = None
        self._exited = asyncio.Event()
        self._create_components(reducer_factory)

    def _create_components(self, reducer_factory: ReducerFactory) -> None:
        cfg, log, metrics, clock = self.cfg, self.log, self._metrics, self._clock
        now = clock.now()
        # Wall time increases across restarts, so a later start has a higher incarnation.
        identity = EntryIdentity(cfg, self.peer_address, now.wall_ms, operator_keys(cfg))
        self.reducer = reducer_factory(identity, now)
        self.pending_calls = PendingCalls(cfg.name, cfg.http, self.post, metrics)
        self.peers = Peers(
            cfg.name, cfg.peers, clock, self._receive_peer_message, log, metrics, self._tasks
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
            self.pending_calls,
            self._tasks,
            self._tracing,
            metrics,
            log,
            self.post,
            lambda: self._exit(EXIT_OK),
        )
        self.engine = Engine(
            clock,
            self.reducer.step,
            runner.run,
            lambda: self._exit(EXIT_REDUCER_FAILED),
            log,
            metrics,
        )
        self._http = HttpListener(self._http_context())

    def _http_context(self) -> HttpContext:
        return HttpContext(
            self.cfg.name,
            self.cfg.http,
            self.cfg.logging.calls,
            self._clock,
            self.pending_calls,
            self._tracing,
            self._metrics,
            self.log,
            lambda: self.reducer.metrics(self._clock.now()),
            self._is_ready,
        )

    def _is_ready(self) -> bool:
        return not self._stopping and self.reducer.is_ready(self._clock.now())

    def post(self, event: Event) -> None:
        """Pass one event to the reducer."""
        self.engine.post(event)

    def _receive_peer_message(self, sender: str, message: Message) -> None:
        self.post(PeerMessage(sender, message))

    async def start(self) -> None:
        """Start the listeners and the tick timer."""
        await self.peers.start(self._peer_socket)
        self._http.start(self._http_socket)
        self.engine.start()
        self.log.info("entry_started", http=self.http_address, peers=self.peer_address)

    def shut_down(self) -> None:
        """Begin a graceful shutdown; the reducer completes it with the effect `Exit`."""
        if self._stopping:
            return
        self._stopping = True
        self.log.info("shutdown_requested")
        self._tasks.spawn(self._enforce_shutdown_timeout(), "shutdown.limit")
        self.post(ShutdownAsked())

    async def _enforce_shutdown_timeout(self) -> None:
        await asyncio.sleep(SHUTDOWN_TIMEOUT_MS / 1_000)
        self.log.error("shutdown_overdue", limit_ms=SHUTDOWN_TIMEOUT_MS)
        self._exit(EXIT_SHUTDOWN_TIMEOUT)

    def _exit(self, code: int) -> None:
        if self._exit_code is None:
            self._exit_code = code
            self._exited.set()

    async def wait(self) -> int:
        """Wait until the entry exits, close everything, and return the exit status."""
        await self._exited.wait()
        await self.close()
        return self._exit_code or EXIT_OK

    async def abort(self) -> None:
        """Stop as a killed process does: close connections without sending or answering more."""
        self._stopping = True
        self.engine.stop()
        self._tasks.cancel()
        await self._http.close()
        await self._release_resources()

    async def close(self) -> None:
        """Stop at once; calls that still wait are answered with an unknown outcome."""
        self._stopping = True
        self.engine.stop()
        await self.pending_calls.close(LAST_ANSWERS_TIMEOUT_MS)
        await self._http.close()
        await self._release_resources()

    async def _release_resources(self) -> None:
        await self.peers.close()
        await self._tasks.close()
        # The final span export blocks, and other entries may share this event loop.
        await asyncio.to_thread(self._tracing.close)
        for sock in (self._http_socket, self._peer_socket):
            with contextlib.suppress(OSError):
                sock.close()
        self.log.info("entry_stopped", status=self._exit_code)


async def run_entries(entries: Sequence[EntryDaemon]) -> int:
    """Run entries on this event loop until all have exited; return the highest exit status."""
    for entry in entries:
        await entry.start()
    return max(await asyncio.gather(*(entry.wait() for entry in entries)))
