"""HTTP client with persistent connections and limits on time and concurrency.

The leader makes a call for every start and every report of a worker, about four for each worker and
second. A general client spends more on such a call than the decision that it carries out; this one
sends fixed headers, parses responses in C with httptools and keeps one timer for each call.
"""

import asyncio
import re
import socket
import struct
from collections import Counter, OrderedDict
from collections.abc import Callable

import attrs
import httptools
from fescuecrank_core.errors import Failure, FailureKind
from result import Err, Ok, Result

# Idle connections kept open in all; the one idle for longest is closed first.
MAX_IDLE_CONNECTIONS = 1_024

# Largest response that is read.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024

# `SO_LINGER` on, with 0 seconds: the socket is reset when it is closed, also by the end of the
# process, and what the network has not delivered by then is discarded.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# Errors of a call: the network's, and those of an address or a head that is malformed. A port out
# of range raises `OverflowError`.
CALL_ERRORS = (OSError, ValueError, OverflowError)

# Characters that end a line of the head of a request, or that servers reject there.
LINE_BREAK = re.compile(r"[\r\n\0]")

# Characters that end the path of a request.
PATH_END = re.compile(r"[\0-\x20\x7f]")


@attrs.frozen
class HttpResponse:
    """A response; the names of its headers are in lower case."""

    code: int
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class Download:
    """A response to a read, whole or up to the point where it ended early.

    `transfer_ms` is the time from the first to the last byte of the body. If `failure` is not None,
    the response ended early, and `body` is what had arrived.
    """

    code: int
    body: bytes
    transfer_ms: int
    failure: Failure | None = None
    # Whether the request was sent before the call that returns it; see `PatientReads`.
    sent_before: bool = False


class ConnectionLostError(OSError):
    """The connection ended before the response; `answering` if a part of it was read."""

    def __init__(self, detail: str, answering: bool) -> None:
        super().__init__(detail)
        self.answering = answering


class _Connection(asyncio.Protocol):
    """One connection, which carries one request at a time."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.usable = True
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[HttpResponse] | None = None
        self._on_data: Callable[[int], None] | None = None
        self._start_response()

    def _start_response(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._chunks: list[bytes] = []
        self._size = 0
        self._answering = False

    async def exchange(
        self, request: bytes, on_data: Callable[[int], None] | None = None
    ) -> HttpResponse:
        """Send a request and return its response; raises `ConnectionLostError`.

        `on_data` is called with the number of bytes of the body that have arrived.
        """
        if self._transport is None or not self.usable:
            raise ConnectionLostError("the connection is closed", answering=False)
        self._waiter = asyncio.get_running_loop().create_future()
        self._on_data = on_data
        self._transport.write(request)
        return await self._waiter

    @property
    def waiting(self) -> bool:
        """Whether a response is outstanding."""
        return self._waiter is not None

    def arrived(self) -> HttpResponse | None:
        """Return the part of the current response that has arrived, or None without a body."""
        if not self._chunks:
            return None
        return HttpResponse(self._parser.get_status_code(), self._headers, b"".join(self._chunks))

    def reset_on_close(self) -> None:
        """Let the system reset the connection when it is closed, if it is a socket."""
        sock = self._transport.get_extra_info("socket") if self._transport is not None else None
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def abort(self) -> None:
        """Close at once; a response that still arrives is not read."""
        self.usable = False
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._answering = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(f"malformed response: {exc}")

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(str(exc) if exc else "closed by the server")

    def _fail(self, detail: str) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(ConnectionLostError(detail, self._answering))
        self.abort()

    # Callbacks of the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._chunks.append(body)
        self._size += len(body)
        if self._size > MAX_RESPONSE_BYTES:
            self._fail("the response is too large")
        elif self._on_data is not None:
            self._on_data(self._size)

    def on_message_complete(self) -> None:
        response = HttpResponse(
            self._parser.get_status_code(), self._headers, b"".join(self._chunks)
        )
        keep = self._parser.should_keep_alive()
        waiter, self._waiter = self._waiter, None
        self._start_response()
        if not keep or waiter is None:
            self.abort()
        if waiter is not None and not waiter.done():
            waiter.set_result(response)


class _Transfer:
    """Moves the time-out of a read as more of the response arrives."""

    def __init__(self, stall_timeout_ms: int, on_progress: Callable[[int], None] | None) -> None:
        self.limit: asyncio.Timeout | None = None
        self.began_s: float | None = None
        self._last_s = 0.0
        self._stall_timeout_s = stall_timeout_ms / 1_000
        self._on_progress = on_progress

    @property
    def elapsed_ms(self) -> int:
        """Time from the first to the last byte."""
        return int(1_000 * (self._last_s - self.began_s)) if self.began_s is not None else 0

    def on_data(self, size: int) -> None:
        """Note that `size` bytes of the body have arrived."""
        self._last_s = asyncio.get_running_loop().time()
        if self.began_s is None:
            self.began_s = self._last_s
        if self.limit is not None and not self.limit.expired():
            self.limit.reschedule(self._last_s + self._stall_timeout_s)
        if self._on_progress is not None:
            self._on_progress(size)


class HttpClient:
    """Calls any address; connections are kept open and reused.

    A connection on which a call times out or is cancelled is closed, so that a dead connection is
    not reused. With `resets`, closing resets it: a request that a partition holds up is not
    delivered after its caller has given up, or after this process has ended. What has reached the
    server's socket may still be read.
    """

    def __init__(
        self,
        max_concurrent_calls: int,
        resent_counts: Counter[str] | None = None,
        *,
        resets: bool = True,
    ) -> None:
        self._resets = resets
        self._slots = asyncio.Semaphore(max_concurrent_calls)
        self._idle_by_address: dict[str, list[_Connection]] = {}
        # The same connections, the one idle for longest first.
        self._idle: OrderedDict[_Connection, None] = OrderedDict()
        # Calls that were sent a second time, by operation.
        self._resent_counts = resent_counts if resent_counts is not None else Counter()

    def close(self) -> None:
        """Close all idle connections."""
        for conn in list(self._idle):
            conn.abort()
        self._idle.clear()
        self._idle_by_address.clear()

    async def call(
        self,
        operation: str,
        address: str,
        method: str,
        path: str,
        timeout_ms: int,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        resend: bool = False,
    ) -> Result[HttpResponse, Failure]:
        """Return the response, whatever its status.

        `operation` names the call in failures. A failure is `UNAVAILABLE` if nothing was sent and
        `TIMEOUT` if the server may have executed the call. With `resend`, a request on a reused
        connection that the server closed without a response is sent once more, as the connection
        usually was closed before the request arrived. The response then says nothing about the
        first copy, which may have been executed or may still be, so this is for calls that change
        nothing.
        """
        conn: _Connection | None = None
        sent = False
        try:
            request = _encode_request(address, method, path, body, headers)
            async with asyncio.timeout(timeout_ms / 1_000), self._slots:
                conn = self._take_idle(address)
                if conn is not None:
                    sent = True
                    try:
                        return Ok(await conn.exchange(request))
                    except ConnectionLostError as exc:
                        self._drop_idle(address)
                        if exc.answering or not resend:
                            raise
                        self._resent_counts[operation] += 1
                conn = await self._connect(address)
                sent = True
                return Ok(await conn.exchange(request))
        except TimeoutError:
            detail = f"no response within {timeout_ms} ms"
        except CALL_ERRORS as exc:
            # A malformed address is reported like one that refuses connections.
            detail = str(exc)
        finally:
            if conn is not None:
                self._release(conn)
        kind = FailureKind.TIMEOUT if sent else FailureKind.UNAVAILABLE
        return Err(Failure(kind, operation, address, detail))

    async def fetch(
        self,
        operation: str,
        address: str,
        path: str,
        begin_timeout_ms: int,
        stall_timeout_ms: int,
        on_progress: Callable[[int], None] | None = None,
    ) -> Result[Download, Failure]:
        """Read a response whose size is not known, for as long as more of it arrives.

        The body has to begin within `begin_timeout_ms`, and after that no pause may be longer than
        `stall_timeout_ms`: a limit on the whole time would end every attempt at a response that is
        larger than the link carries in it. `on_progress` gets the number of bytes that have
        arrived. Reads don't count against the limit on concurrent calls, behind which they would
        wait; each reader has one at a time.
        """
        transfer = _Transfer(stall_timeout_ms, on_progress)
        conn = self._take_idle(address)
        try:
            request = _encode_request(address, "GET", path, None, None)
            async with asyncio.timeout(begin_timeout_ms / 1_000) as transfer.limit:
                response: HttpResponse | None = None
                if conn is not None:
                    try:
                        response = await conn.exchange(request, transfer.on_data)
                    except ConnectionLostError as exc:
                        if exc.answering:
                            raise
                if response is None:
                    conn = await self._connect(address)
                    response = await conn.exchange(request, transfer.on_data)
            return Ok(Download(response.code, response.body, transfer.elapsed_ms))
        except TimeoutError:
            wait_ms = begin_timeout_ms if transfer.began_s is None else stall_timeout_ms
            detail = f"nothing arrived for {wait_ms} ms"
        except CALL_ERRORS as exc:
            detail = str(exc)
        finally:
            if conn is not None:
                self._release(conn)
        failure = Failure(FailureKind.TIMEOUT, operation, address, detail)
        part = conn.arrived() if conn is not None and transfer.began_s is not None else None
        if part is None:
            return Err(failure)
        return Ok(Download(part.code, part.body, transfer.elapsed_ms, failure))

    async def _connect(self, address: str) -> _Connection:
        host, port = address.rsplit(":", 1)
        _, conn = await asyncio.get_running_loop().create_connection(
            lambda: _Connection(address), host, int(port)
        )
        if self._resets:
            conn.reset_on_close()
        return conn

    def _take_idle(self, address: str) -> _Connection | None:
        conns = self._idle_by_address.get(address)
        while conns:
            conn = conns.pop()
            self._idle.pop(conn, None)
            if conn.usable:
                return conn
        return None

    def _release(self, conn: _Connection) -> None:
        """Keep a connection for the next call, unless its response is still outstanding."""
        if conn.waiting:
            conn.abort()
        if not conn.usable:
            return
        self._idle_by_address.setdefault(conn.address, []).append(conn)
        self._idle[conn] = None
        if len(self._idle) > MAX_IDLE_CONNECTIONS:
            oldest, _ = self._idle.popitem(last=False)
            self._forget(oldest)
            oldest.abort()

    def _drop_idle(self, address: str) -> None:
        """Close the idle connections to an address, which the server has probably closed too."""
        for conn in self._idle_by_address.pop(address, []):
            self._idle.pop(conn, None)
            conn.abort()

    def _forget(self, conn: _Connection) -> None:
        conns = self._idle_by_address.get(conn.address, [])
        if conn in conns:
            conns.remove(conn)
        if not conns:
            self._idle_by_address.pop(conn.address, None)


def _encode_request(
    address: str, method: str, path: str, body: bytes | None, headers: dict[str, str] | None
) -> bytes:
    """Return the bytes of a request; raises `ValueError` if its head cannot be encoded."""
    if not path or PATH_END.search(path):
        raise ValueError(f"the head of a request cannot contain the path {path!r}")
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in ({"Host": address} | (headers or {})).items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    for line in lines:
        if LINE_BREAK.search(line):
            raise ValueError(f"the head of a request cannot contain the line {line!r}")
    try:
        return "\r\n".join((*lines, "", "")).encode("latin-1") + (body or b"")
    except UnicodeEncodeError as exc:
        raise ValueError(f"the head of a request cannot be encoded: {exc}") from exc
