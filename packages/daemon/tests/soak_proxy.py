"""A TCP proxy on loopback that delays, holds back, resets or refuses connections."""

import asyncio
import contextlib

CHUNK_BYTES = 65_536
POLL_S = 0.02


class Proxy:
    """Forwards connections to a target address."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.delay_ms = 0
        # Bytes towards the target, or from it, are held back.
        self.holds_requests = False
        self.holds_answers = False
        self._port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen, on the same port as before."""
        if self._server is None:
            self._server = await asyncio.start_server(self._connect, "127.0.0.1", self._port)
            self._port = self._server.sockets[0].getsockname()[1]
            self.address = f"127.0.0.1:{self._port}"

    def refuse(self) -> None:
        """Reset all connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def repair(self) -> None:
        """Forward everything at once again."""
        self.delay_ms, self.holds_requests, self.holds_answers = 0, False, False

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port = self.target.rsplit(":", 1)
        try:
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, back_writer}
        try:
            await asyncio.gather(
                self._pump(reader, back_writer, lambda: self.holds_requests),
                self._pump(back_reader, writer, lambda: self.holds_answers),
            )
        finally:
            for each in (writer, back_writer):
                self._writers.discard(each)
                each.transport.abort()

    async def _pump(self, reader, writer, holds) -> None:
        # A reset by either side ends the connection; resets are among the faults.
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_ms:
                    await asyncio.sleep(self.delay_ms / 1_000)
                while holds():
                    await asyncio.sleep(POLL_S)
                writer.write(data)
                await writer.drain()
        writer.close()
