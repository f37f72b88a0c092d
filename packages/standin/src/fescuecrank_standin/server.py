"""Base of the stand-ins: an HTTP server on a loopback port that can inject connection faults."""

import asyncio

import orjson
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

LOOPBACK = "127.0.0.1"


class StandIn:
    """HTTP server on loopback that can be stopped and restarted on the same port."""

    def __init__(self) -> None:
        self._server: HTTPServer | None = None
        self.port = 0

    def routes(self) -> list[tuple]:
        """Return the routes for tornado."""
        raise NotImplementedError

    @property
    def address(self) -> str:
        """The address as `ip:port`; valid after the first start."""
        return f"{LOOPBACK}:{self.port}"

    @property
    def url(self) -> str:
        """The base URL; valid after the first start."""
        return f"http://{self.address}"

    async def start(self) -> None:
        """Listen on a free port; later starts reuse the port of the first."""
        sock = bind_sockets(self.port, LOOPBACK)[0]
        self.port = sock.getsockname()[1]
        self._server = HTTPServer(Application(self.routes(), log_function=lambda _: None))
        self._server.add_socket(sock)

    async def stop(self) -> None:
        """Stop listening and close all open connections."""
        server, self._server = self._server, None
        if server is not None:
            server.stop()
            await server.close_all_connections()


class StandInHandler(RequestHandler):
    """Base of the handlers, with answers that fail on purpose."""

    def send_json(self, status: int, value: object) -> None:
        """Answer with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(value))

    def drop_connection(self) -> None:
        """Close the connection without an answer."""
        self.detach().close()

    async def never_answer(self) -> None:
        """Keep the connection open without an answer until the caller closes it."""
        self._closed_by_caller: asyncio.Future = asyncio.get_running_loop().create_future()
        await asyncio.wait([self._closed_by_caller])
        self.drop_connection()

    def on_connection_close(self) -> None:
        """Let `never_answer` return."""
        closed = getattr(self, "_closed_by_caller", None)
        if closed is not None and not closed.done():
            closed.set_result(None)

    async def send_truncated(self, headers: dict[str, str], body: bytes) -> None:
        """Send the headers of the whole body and half of the body, then close the connection."""
        stream = self.detach()
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers.items())]
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        await stream.write(head + body[: len(body) // 2])
        stream.close()
