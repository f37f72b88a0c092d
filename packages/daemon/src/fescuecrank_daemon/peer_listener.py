"""Listener for connections of other entries, which carry their messages."""

import asyncio
import socket
from collections.abc import Callable

from fescuecrank_core import codec
from fescuecrank_core.clock import Clock
from fescuecrank_core.messages import Message
from structlog.typing import FilteringBoundLogger
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from fescuecrank_daemon.metrics import DaemonMetrics
from fescuecrank_daemon.peer_auth import PeerAuthenticator
from fescuecrank_daemon.peer_channel import PeerChannel, abort
from fescuecrank_daemon.peer_frames import Frame, decode_frame
from fescuecrank_daemon.settings import PeerSettings
from fescuecrank_daemon.tls import listener_context

# Limit on open connections that have not authenticated yet; further ones are dropped at once.
MAX_UNAUTHENTICATED = 16


class PeerListener:
    """Accepts connections, authenticates them and passes on their messages."""

    def __init__(
        self,
        cfg: PeerSettings,
        auth: PeerAuthenticator,
        clock: Clock,
        receive: Callable[[str, Message], None],
        log: FilteringBoundLogger,
        metrics: DaemonMetrics,
    ) -> None:
        self._cfg = cfg
        self._auth = auth
        self._clock = clock
        self._receive = receive
        self._log = log
        self._metrics = metrics
        self._unauthenticated_count = 0
        self._connections: dict[str, ServerConnection] = {}
        self._server: Server | None = None

    async def start(self, sock: socket.socket) -> None:
        """Serve connections on a bound socket."""
        self._server = await serve(
            self._accept,
            sock=sock,
            ssl=listener_context(self._cfg.listener_tls),
            compression=None,
            ping_interval=None,
            open_timeout=self._cfg.connect_timeout_ms / 1_000,
            max_size=self._cfg.max_message_bytes,
        )

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        if self._server is None:
            return
        for conn in list(self._server.connections):
            conn.transport.abort()
        self._server.close()
        await self._server.wait_closed()

    def drop(self, peer: str) -> None:
        """Drop the connection that a peer has dialled, if any."""
        conn = self._connections.get(peer)
        if conn is not None:
            conn.transport.abort()

    async def _accept(self, conn: ServerConnection) -> None:
        if self._unauthenticated_count >= MAX_UNAUTHENTICATED:
            return await abort(conn)
        self._unauthenticated_count += 1
        try:
            peer = await self._authenticate(conn)
        finally:
            self._unauthenticated_count -= 1
        if peer is None:
            return await abort(conn)
        await self._serve(conn, peer)
        return None

    async def _authenticate(self, conn: ServerConnection) -> str | None:
        try:
            async with asyncio.timeout(self._cfg.connect_timeout_ms / 1_000):
                outcome = await self._auth.accept(conn)
        except (TimeoutError, ConnectionClosed):
            outcome = None
        if outcome is not None and outcome.is_ok():
            return outcome.ok_value
        reason = outcome.err_value.detail if outcome else "no handshake in time"
        remote = str(conn.remote_address)
        self._log.warning("peer_refused", step="peer.accept", remote=remote, reason=reason)
        self._metrics.count_refused_peer()
        return None

    async def _serve(self, conn: ServerConnection, peer: str) -> None:
        self.drop(peer)
        self._connections[peer] = conn
        channel = PeerChannel(
            conn, self._cfg, lambda data: self._receive_frame(peer, data), self._heartbeat
        )
        reason = await channel.run()
        if self._connections.get(peer) is conn:
            del self._connections[peer]
        self._log.info("peer_disconnected", step="peer.accept", peer=peer, reason=reason)

    def _heartbeat(self) -> bytes:
        return Frame(self._clock.now().mono_ms).encode()

    def _receive_frame(self, peer: str, data: bytes) -> None:
        frame = decode_frame(data)
        if frame is None:
            self._drop_message(peer, "malformed", "frame without a timestamp")
        elif frame.payload:
            self._receive_message(peer, frame)

    def _receive_message(self, peer: str, frame: Frame) -> None:
        decoded = codec.decode(frame.payload, Message, "peer.receive", peer)
        if decoded.is_err():
            self._drop_message(peer, "malformed", str(decoded.err_value))
            return
        message = decoded.ok_value
        self._metrics.count_peer_message(peer)
        self._receive(peer, message)

    def _drop_message(self, peer: str, reason: str, detail: str) -> None:
        self._metrics.count_dropped_messages(peer, reason, 1)
        self._log.info("peer_message_dropped", step="peer.receive", peer=peer, reason=detail)
