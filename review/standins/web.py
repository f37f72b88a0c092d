"""A small HTTP/1.1 server and client for the stand-ins, on the standard library only."""

import asyncio
import json
import socket
import struct

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone"}

# Longest wait of a caller that does not state its own deadline.
CALL_TIMEOUT_S = 3.0


class ConnectionDroppedError(Exception):
    """Raised by a handler that ends the connection with a reset instead of an answer."""


class NoAnswerError(Exception):
    """Raised by a handler that leaves the call, and all later ones on its channel, unanswered."""


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection at once, with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() != -1:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, the headers and the body of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


class WebServer:
    """Serves one address; subclasses implement `handle`."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Number of the present life; a call on a channel of an earlier one is answered by a reset.
        self.life = 1

    async def listen(self, host: str, port: int = 0) -> None:
        """Listen on a port; 0 is any free one."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=2**24)
        found = self._server.sockets[0].getsockname()
        self.address = f"{found[0]}:{found[1]}"

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            reset(writer)

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        """Return the status and the body of the answer."""
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        life = self.life
        try:
            while (message := await read_message(reader)) is not None:
                if life != self.life:
                    reset(writer)
                    return
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                try:
                    status, answer = await self.handle(method, target, headers, body)
                except ConnectionDroppedError:
                    reset(writer)
                    return
                except NoAnswerError:
                    await reader.read()
                    return
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
                head += f"Content-Length: {len(answer)}\r\n\r\n"
                writer.write(head.encode() + answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: object = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> tuple[int, dict[str, str], bytes] | None:
    """Make one call on a channel of its own; None if it gets no answer in time."""
    host, port = address.rsplit(":", 1)
    data = json.dumps(body).encode() if body is not None else b""
    fields = {"Host": address, "Content-Type": "application/json", "Connection": "close"}
    fields |= headers or {}
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    if data or method == "POST":
        lines.append(f"Content-Length: {len(data)}")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join((*lines, "", "")).encode() + data)
            message = await read_message(reader)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    first, answer_headers, answer = message
    return int(first.split(" ")[1]), answer_headers, answer
