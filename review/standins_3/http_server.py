"""A small HTTP/1.1 server on a free loopback port, the base of all stand-ins."""

import asyncio
import contextlib
from urllib.parse import parse_qs, urlsplit


class NoAnswerError(Exception):
    """The call gets no answer; its connection stays open and silent until the client closes it."""


class Request:
    """One request: method, path, query, headers with names in lower case, and body."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        parts = urlsplit(target)
        self.method, self.path, self.headers, self.body = method, parts.path, headers, body
        self.query = {name: values[0] for name, values in parse_qs(parts.query).items()}


class Server:
    """Serves keep-alive connections; subclasses implement `handle`."""

    def __init__(self) -> None:
        self.address = ""
        self._writers: set[asyncio.StreamWriter] = set()
        # Open channels that carry nothing any more.
        self._silent: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port, or again on the port that it had."""
        port = int(self.address.rsplit(":", 1)[1]) if self.address else 0
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Refuse new connections and reset the open ones, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def silence_channels(self) -> int:
        """Let all open channels go silent for good, without a reset; return how many there are."""
        self._silent |= self._writers
        return len(self._writers)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                req = await self._read_request(reader)
                try:
                    if writer in self._silent:
                        raise NoAnswerError
                    status, body = await self.handle(req)
                    if writer in self._silent:
                        raise NoAnswerError
                except NoAnswerError:
                    await reader.read()
                    return
                head = f"HTTP/1.1 {status} -\r\nContent-Length: {len(body)}\r\n"
                writer.write(head.encode() + b"Content-Type: application/json\r\n\r\n" + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            self._silent.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    @staticmethod
    async def _read_request(reader: asyncio.StreamReader) -> Request:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        method, target, _ = first.split(" ", 2)
        headers = {}
        for line in filter(None, lines):
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Request(method, target, headers, body)

    async def handle(self, req: Request) -> tuple[int, bytes]:
        """Return the status and the body of the response, or raise `NoAnswerError`."""
        raise NotImplementedError
