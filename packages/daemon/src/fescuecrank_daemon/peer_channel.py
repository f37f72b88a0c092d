"""One authenticated connection between two entries, with heartbeats and an idle timeout."""

import asyncio
import contextlib
from collections.abc import Callable

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from fescuecrank_daemon.settings import PeerSettings


class PeerChannel:
    """Sends heartbeats on a connection and ends it when nothing arrives for `silence_ms`."""

    def __init__(
        self,
        conn: Connection,
        cfg: PeerSettings,
        receive: Callable[[bytes], None],
        heartbeat: Callable[[], bytes],
    ) -> None:
        self._conn = conn
        self._cfg = cfg
        self._receive = receive
        self._heartbeat = heartbeat

    async def run(self) -> str:
        """Serve the connection until it ends and return the reason."""
        heartbeats = asyncio.create_task(self._send_heartbeats())
        try:
            return await self._receive_all()
        finally:
            heartbeats.cancel()
            await abort(self._conn)

    async def _receive_all(self) -> str:
        while True:
            try:
                async with asyncio.timeout(self._cfg.silence_ms / 1_000):
                    data = await self._conn.recv()
            except TimeoutError:
                return f"silent for {self._cfg.silence_ms} ms"
            except ConnectionClosed as exc:
                return f"closed: {exc}"
            if not isinstance(data, bytes):
                return "sent a text frame"
            self._receive(data)

    async def _send_heartbeats(self) -> None:
        with contextlib.suppress(ConnectionClosed):
            while True:
                await self._conn.send(self._heartbeat())
                await asyncio.sleep(self._cfg.heartbeat_ms / 1_000)


async def abort(conn: Connection) -> None:
    """Close the transport without a closing handshake, which would hang if the peer is silent."""
    conn.transport.abort()
    await conn.wait_closed()
