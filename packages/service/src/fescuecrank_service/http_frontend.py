"""HTTP servers for callers' requests, the load balancer's readiness checks and metrics."""

import itertools
import math
from collections import Counter
from collections.abc import Callable

import attrs
from fescuecrank_core.clock import Clock
from fescuecrank_scheduler.effects import Reply
from fescuecrank_scheduler.events import Event
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError

from fescuecrank_service.interfaces import RequestFormat, ServerResponse

# Limits of the servers; the configuration has a limit of its own for the body of a request.
MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 4 * 1024 * 1024

# Marks a request that another entry has passed on; it is not passed on again.
FORWARDED_HEADER = "X-Fescuecrank-Forwarded"

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    410: "Gone",
    413: "Payload Too Large",
    429: "Too Many Requests",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

# Wait of a caller whose request arrives as the process ends; another one takes it at once.
RETRY_CLOSED_MS = 1_000


def write_response(req: HTTPServerRequest, response: ServerResponse, close: bool) -> None:
    """Send a response; a connection that the caller has closed is not an error.

    With `close`, the response tells the caller that the connection ends.
    """
    headers = HTTPHeaders(response.headers)
    headers["Content-Length"] = str(len(response.body))
    if close:
        headers["Connection"] = "close"
    line = ResponseStartLine(
        "HTTP/1.1", response.status, REASON_PHRASES.get(response.status, "Unknown")
    )
    try:
        fut = req.connection.write_headers(line, headers, response.body)
        req.connection.finish()
    except StreamClosedError:
        return
    # Retrieve the exception of a failed write; otherwise asyncio logs closed connections.
    fut.add_done_callback(lambda written: written.exception())


@attrs.define
class HttpFrontend:
    """Decodes callers' requests into events and encodes replies as responses."""

    request_format: RequestFormat
    clock: Clock
    post: Callable[[Event], None]
    is_ready: Callable[[], bool]
    max_body_bytes: Callable[[], int]
    stopping: bool = False
    # Whether requests are no longer decided, as the process is about to end.
    closed: bool = False
    response_counts: Counter = attrs.field(factory=Counter)
    _tokens: itertools.count = attrs.field(factory=lambda: itertools.count(1))
    _pending: dict[int, HTTPServerRequest] = attrs.field(factory=dict)
    _servers: list[HTTPServer] = attrs.field(factory=list)

    def listen(self, request_address: str, readiness_address: str) -> None:
        """Listen on both addresses; raise `OSError` if one is in use."""
        for address, handler in (
            (request_address, self._handle_request),
            (readiness_address, self._handle_readiness),
        ):
            host, port = address.rsplit(":", 1)
            server = HTTPServer(
                handler,
                max_header_size=MAX_HEADER_BYTES,
                max_body_size=MAX_BODY_BYTES,
                max_buffer_size=2 * MAX_BODY_BYTES,
            )
            server.listen(int(port), host)
            self._servers.append(server)

    def listen_metrics(self, address: str, path: str, render: Callable[[], bytes]) -> None:
        """Serve metrics as text.

        Raises `OSError` if the address is in use; the other servers keep running.
        """

        def serve_metrics(req: HTTPServerRequest) -> None:
            path_matches = req.path == path
            body = render() if path_matches else b""
            headers = {"Content-Type": "text/plain; version=0.0.4"}
            write_response(
                req, ServerResponse(200 if path_matches else 404, body, headers), close=False
            )

        host, port = address.rsplit(":", 1)
        server = HTTPServer(serve_metrics)
        server.listen(int(port), host)
        self._servers.append(server)

    def stop_listening(self) -> None:
        """Accept no further connections."""
        for server in self._servers:
            server.stop()

    def close(self) -> None:
        """Answer the open requests with an unknown outcome and refuse those that still arrive.

        Without an answer, callers would see their connections end.
        """
        self.closed = True
        for token in list(self._pending):
            self.send_reply(Reply(token, 504))

    @property
    def open_requests(self) -> int:
        """Number of requests that wait for a response."""
        return len(self._pending)

    def _handle_readiness(self, req: HTTPServerRequest) -> None:
        ready = req.path == self.request_format.ready_path and self.is_ready()
        write_response(req, ServerResponse(200 if ready else 503, b"", {}), close=False)

    def _handle_request(self, req: HTTPServerRequest) -> None:
        token = next(self._tokens)
        if self.closed:
            refusal = Reply(token, 503, retry_after_ms=RETRY_CLOSED_MS)
            self._respond(req, self.request_format.encode(refusal))
            return
        if len(req.body) > self.max_body_bytes():
            self._respond(req, ServerResponse(413, b"", {}))
            return
        decoded = self.request_format.decode(token, req.method, req.path, req.headers, req.body)
        if isinstance(decoded, ServerResponse):
            self._respond(req, decoded)
            return
        if FORWARDED_HEADER in req.headers:
            decoded = attrs.evolve(decoded, forwarded=True)
        self._pending[token] = req
        self.post(decoded)

    def original(self, token: int) -> HTTPServerRequest | None:
        """Return a request that waits for its response; None if it does not any more."""
        return self._pending.get(token)

    def send_reply(self, reply: Reply) -> None:
        """Respond to the request with the token of a reply."""
        req = self._pending.pop(reply.token, None)
        if req is not None:
            self._respond(req, self.request_format.encode(reply))

    def _respond(self, req: HTTPServerRequest, response: ServerResponse) -> None:
        self.response_counts[response.status] += 1
        write_response(req, response, close=self.stopping)


def retry_after_seconds(retry_ms: int) -> str:
    """Return the value of the header `Retry-After`: whole seconds, rounded up."""
    return str(max(1, math.ceil(retry_ms / 1_000)))
