"""Outgoing connection to one peer, which carries this entry's messages."""

import asyncio
import random
import ssl

from structlog.typing import FilteringBoundLogger
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed, WebSocketException

from fescuecrank_daemon.metrics import DaemonMetrics
from fescuecrank_daemon.peer_auth import PeerAuthenticator
from fescuecrank_daemon.peer_channel import PeerChannel, abort
from fescuecrank_daemon.peer_frames import NO_TIMESTAMP, Frame, decode_frame
from fescuecrank_daemon.send_queue import SendQueue
from fescuecrank_daemon.settings import PeerSettings

# Backoff between attempts. It is randomised, so that entries that start together do not all dial at
# the same moment.
MIN_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1_000


class PeerDialler:
    """Keeps one connection to a peer up and dials again when it ends."""

    def __init__(
        self,
        peer: str,
        address: str,
        cfg: PeerSettings,
        auth: PeerAuthenticator,
        tls: ssl.SSLContext | None,
        log: FilteringBoundLogger,
        metrics: DaemonMetrics,
    ) -> None:
        self.peer = peer
        self.address = address
        self._cfg = cfg
        self._auth = auth
        self._tls = tls
        self._log = log.bind(peer=peer)
        self._metrics = metrics
        self._queue = SendQueue(cfg.queue_messages, cfg.queue_bytes)
        self._conn: ClientConnection | None = None
        self._timestamp = NO_TIMESTAMP
        self._backoff_ms = MIN_BACKOFF_MS
        self._task = asyncio.create_task(self._run())

    @property
    def connected(self) -> bool:
        """Whether a connection is up on which both sides have authenticated."""
        return self._timestamp != NO_TIMESTAMP

    def send(self, data: bytes) -> None:
        """Queue one encoded message."""
        dropped = self._queue.put(Frame(self._timestamp, data))
        if dropped:
            self._metrics.count_dropped_messages(self.peer, "queue_full", dropped)

    def reset(self) -> None:
        """Drop the current connection, so that the peer is dialled again."""
        if self._conn is not None:
            self._conn.transport.abort()

    async def close(self) -> None:
        """Drop the connection and stop dialling."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            reason = await self._connect_once()
            self._log.info("peer_connection_ended", step="peer.connect", reason=reason)
            await asyncio.sleep(random.uniform(0.5, 1.0) * self._backoff_ms / 1_000)
            self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_MS)

    async def _connect_once(self) -> str:
        scheme = "wss" if self._tls else "ws"
        dialling = connect(
            f"{scheme}://{self.address}/peer",
            ssl=self._tls,
            proxy=None,
            compression=None,
            ping_interval=None,
            open_timeout=self._cfg.connect_timeout_ms / 1_000,
            max_size=self._cfg.max_message_bytes,
        )
        try:
            conn = await dialling
        except (OSError, TimeoutError, WebSocketException) as exc:
            return f"not connected: {exc.__class__.__name__}: {exc}"
        try:
            return await self._serve(conn)
        finally:
            self._conn = None
            self._timestamp = NO_TIMESTAMP
            self._queue.clear_timestamps()
            self._metrics.set_peer_connected(self.peer, False)
            await abort(conn)

    async def _serve(self, conn: ClientConnection) -> str:
        try:
            async with asyncio.timeout(self._cfg.connect_timeout_ms / 1_000):
                authenticated = await self._auth.dial(conn, self.peer)
        except (TimeoutError, ConnectionClosed) as exc:
            return f"not authenticated: {exc.__class__.__name__}"
        if authenticated.is_err():
            return str(authenticated.err_value)
        self._conn = conn
        sender = asyncio.create_task(self._send_queued(conn))
        try:
            return await PeerChannel(
                conn, self._cfg, self._receive_timestamp, self._heartbeat
            ).run()
        finally:
            sender.cancel()

    async def _send_queued(self, conn: ClientConnection) -> None:
        try:
            while True:
                frame = await self._queue.get()
                await conn.send(frame.encode())
        except ConnectionClosed:
            return

    def _receive_timestamp(self, data: bytes) -> None:
        frame = decode_frame(data)
        if frame is None:
            return
        if not self.connected:
            self._mark_connected()
        self._timestamp = frame.timestamp

    def _mark_connected(self) -> None:
        """Record that the connection is up, on its first timestamp.

        The peer sends no timestamp before it has verified the proof.
        """
        self._backoff_ms = MIN_BACKOFF_MS
        self._metrics.set_peer_connected(self.peer, True)
        self._log.info("peer_connected", step="peer.connect", address=self.address)

    def _heartbeat(self) -> bytes:
        return Frame(self._timestamp).encode()
