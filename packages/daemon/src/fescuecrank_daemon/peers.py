"""Connections between one entry and its peers."""

import socket
from collections.abc import Callable

from fescuecrank_core import codec
from fescuecrank_core.clock import Clock
from fescuecrank_core.messages import Message
from structlog.typing import FilteringBoundLogger

from fescuecrank_daemon.background_tasks import BackgroundTasks
from fescuecrank_daemon.metrics import DaemonMetrics
from fescuecrank_daemon.peer_auth import PeerAuthenticator
from fescuecrank_daemon.peer_dialler import PeerDialler
from fescuecrank_daemon.peer_listener import PeerListener
from fescuecrank_daemon.settings import PeerSettings
from fescuecrank_daemon.tls import client_context


class Peers:
    """Sends messages to peers by name and reconnects when a connection ends.

    Each entry dials every peer and sends only over the connection that it dialled. Two entries thus
    have two connections, and no tie has to be broken when both dial at once.
    """

    def __init__(
        self,
        name: str,
        cfg: PeerSettings,
        clock: Clock,
        receive: Callable[[str, Message], None],
        log: FilteringBoundLogger,
        metrics: DaemonMetrics,
        tasks: BackgroundTasks,
    ) -> None:
        self._cfg = cfg
        self._log = log
        self._metrics = metrics
        self._tasks = tasks
        self._auth = PeerAuthenticator(name, cfg.shared_key)
        self._tls = client_context(cfg.client_tls)
        self._listener = PeerListener(cfg, self._auth, clock, receive, log, metrics)
        self._diallers: dict[str, PeerDialler] = {}

    async def start(self, sock: socket.socket) -> None:
        """Listen on a bound socket."""
        await self._listener.start(sock)

    async def close(self) -> None:
        """Drop all connections."""
        diallers, self._diallers = self._diallers, {}
        for dialler in diallers.values():
            await dialler.close()
        await self._listener.close()

    def connect(self, peer: str, address: str) -> None:
        """Connect to a peer and keep the connection up until `disconnect`."""
        previous = self._diallers.get(peer)
        if previous is not None and previous.address == address:
            return
        if previous is not None:
            self._tasks.spawn(previous.close(), "peer.close")
        self._diallers[peer] = PeerDialler(
            peer, address, self._cfg, self._auth, self._tls, self._log, self._metrics
        )

    def disconnect(self, peer: str, wanted: bool) -> None:
        """Drop both connections with a peer; dial it again if `wanted`."""
        self._listener.drop(peer)
        dialler = self._diallers.get(peer)
        if dialler is None:
            return
        if wanted:
            dialler.reset()
        else:
            del self._diallers[peer]
            self._tasks.spawn(dialler.close(), "peer.close")

    def send(self, peer: str, message: Message) -> None:
        """Queue a message for a peer; delivery is not guaranteed."""
        dialler = self._diallers.get(peer)
        if dialler is None:
            self._metrics.count_dropped_messages(peer, "not_connected", 1)
            return
        data = codec.encode(message)
        if len(data) > self._cfg.max_message_bytes:
            self._metrics.count_dropped_messages(peer, "too_large", 1)
            kind = type(message).__name__
            self._log.error("peer_message_too_large", peer=peer, message=kind, bytes=len(data))
            return
        dialler.send(data)

    def connected_count(self) -> int:
        """Return the number of peers with an authenticated outgoing connection."""
        return sum(dialler.connected for dialler in self._diallers.values())
