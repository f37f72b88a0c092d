"""Servers of a soak that may leave a call without an answer."""

from platform_servers import Server
from tornado.httputil import HTTPServerRequest
from tornado.iostream import StreamClosedError


class NoAnswerError(Exception):
    """The call gets no answer; its connection stays open and silent."""


class SilentServer(Server):
    """A server whose `handle` may raise `NoAnswerError`."""

    async def _respond(self, req: HTTPServerRequest) -> None:
        try:
            await super()._respond(req)
        except (NoAnswerError, StreamClosedError):
            # The caller gives up, or has given up already.
            return
