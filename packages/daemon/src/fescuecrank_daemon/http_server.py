"""HTTP listener for callers and operators, with the table of routes."""

import socket

from tornado.httpserver import HTTPServer
from tornado.web import Application, URLSpec

from fescuecrank_daemon import http_operators as operators
from fescuecrank_daemon import http_requests as requests
from fescuecrank_daemon.http_base import EntryHandler, HttpContext, UnknownRouteHandler
from fescuecrank_daemon.tls import listener_context

NAME = r"([A-Za-z0-9._~-]{1,128})"

ROUTES: tuple[tuple[str, type[EntryHandler], str], ...] = (
    (rf"/v1/services/{NAME}/requests", requests.SubmitHandler, "submit"),
    (rf"/v1/services/{NAME}/requests/{NAME}", requests.ResultHandler, "result"),
    (r"/v1/config", operators.ConfigHandler, "config"),
    (r"/v1/keys", operators.KeysHandler, "keys"),
    (rf"/v1/keys/{NAME}", operators.KeyHandler, "key"),
    (r"/v1/waves", operators.WavesHandler, "waves"),
    (rf"/v1/waves/{NAME}/pause", operators.WavePauseHandler, "wave_pause"),
    (rf"/v1/waves/{NAME}/resume", operators.WaveResumeHandler, "wave_resume"),
    (rf"/v1/workers/{NAME}/drain", operators.DrainHandler, "drain"),
    (rf"/v1/workers/{NAME}/why", operators.WhyHandler, "why"),
    (rf"/v1/members/{NAME}/strike", operators.StrikeHandler, "strike"),
    (rf"/v1/publications/{NAME}", operators.PublicationHandler, "publication"),
    (r"/v1/status", operators.StatusHandler, "status"),
    (r"/healthz", operators.HealthHandler, "healthz"),
    (r"/readyz", operators.ReadyHandler, "readyz"),
    (r"/metrics", operators.MetricsHandler, "metrics"),
)

CHUNK_BYTES = 65_536


class HttpListener:
    """Serves the routes on one bound socket."""

    def __init__(self, context: HttpContext) -> None:
        cfg = context.cfg
        specs = [
            URLSpec(path, handler, {"context": context, "route": route})
            for path, handler, route in ROUTES
        ]
        app = Application(
            specs,
            default_handler_class=UnknownRouteHandler,
            default_handler_args={"context": context, "route": "unknown"},
            log_function=lambda _: None,
        )
        self._server = HTTPServer(
            app,
            ssl_options=listener_context(cfg.tls),
            max_header_size=cfg.max_header_bytes,
            # The handlers refuse a body over the limit with 413. A body without `Content-Length`
            # must exceed the limit before they can, so tornado's own limits are higher.
            max_body_size=cfg.max_body_bytes + 2 * CHUNK_BYTES,
            max_buffer_size=cfg.max_body_bytes + cfg.max_header_bytes + 2 * CHUNK_BYTES,
            chunk_size=CHUNK_BYTES,
            idle_connection_timeout=cfg.header_timeout_ms / 1_000,
            body_timeout=cfg.body_timeout_ms / 1_000,
        )

    def start(self, sock: socket.socket) -> None:
        """Serve connections on a bound socket."""
        self._server.add_socket(sock)

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        self._server.stop()
        await self._server.close_all_connections()
