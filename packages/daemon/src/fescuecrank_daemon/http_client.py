"""HTTP calls to platform services with limits on time, size and number."""

import asyncio
import socket
import ssl
from typing import Any

import attrs
from fescuecrank_core.errors import Failure, FailureKind
from result import Err, Ok, Result
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.netutil import Resolver
from tornado.simple_httpclient import HTTPTimeoutError, SimpleAsyncHTTPClient

MAX_ANSWER_HEADER_BYTES = 65_536

# Margin of the outer timeout over tornado's own, whose error message is more precise.
TIMEOUT_MARGIN_S = 1.0


class NumericResolver(Resolver):
    """Resolves literal IP addresses only, which needs neither DNS nor a thread."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Return the literal address in `host`; raises `OSError` if it is not one."""
        address_family = socket.AF_INET6 if ":" in host else socket.AF_INET
        socket.inet_pton(address_family, host)
        return [(address_family, (host, port))]


@attrs.frozen
class CallLimits:
    """Limits of one client; at most `max_clients` calls are in flight and others are queued."""

    connect_timeout_ms: int
    max_answer_bytes: int
    max_clients: int


@attrs.frozen
class Call:
    """One HTTP call; `step` and `peer` identify it in failures."""

    step: str
    peer: str
    url: str
    timeout_ms: int
    method: str = "GET"
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes | None = None


@attrs.frozen
class CallFailure:
    """A call without an answer; `sent` is false only if no byte was written."""

    failure: Failure
    sent: bool


class HttpClient:
    """Makes calls, each over a new connection."""

    def __init__(self, limits: CallLimits, tls: ssl.SSLContext | None) -> None:
        self._limits = limits
        self._tls = tls
        self._client = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=limits.max_clients,
            resolver=NumericResolver(),
            max_header_size=MAX_ANSWER_HEADER_BYTES,
            max_body_size=limits.max_answer_bytes,
            max_buffer_size=limits.max_answer_bytes + MAX_ANSWER_HEADER_BYTES,
        )

    def close(self) -> None:
        """Refuse further calls."""
        self._client.close()

    async def call(self, call: Call) -> Result[HTTPResponse, CallFailure]:
        """Return the answer with any status, or why there is none."""
        seconds = call.timeout_ms / 1_000
        req = HTTPRequest(
            call.url,
            method=call.method,
            headers=call.headers,
            body=call.body,
            allow_nonstandard_methods=True,
            connect_timeout=min(self._limits.connect_timeout_ms / 1_000, seconds),
            request_timeout=seconds,
            follow_redirects=False,
            decompress_response=False,
            ssl_options=self._tls,
        )
        try:
            async with asyncio.timeout(seconds + TIMEOUT_MARGIN_S):
                return Ok(await self._client.fetch(req, raise_error=False))
        except ConnectionRefusedError:
            return _failed(call, FailureKind.UNAVAILABLE, "connection refused", sent=False)
        except (HTTPTimeoutError, TimeoutError):
            detail = f"no complete answer within {call.timeout_ms} ms"
            return _failed(call, FailureKind.TIMEOUT, detail)
        except Exception as exc:
            # tornado raises many exception classes for broken connections and malformed answers.
            # After any of them, the call may have taken effect.
            detail = f"{exc.__class__.__name__}: {exc}"
            return _failed(call, FailureKind.UNKNOWN, detail)


def _failed(call: Call, kind: FailureKind, detail: str, sent: bool = True) -> Err[CallFailure]:
    return Err(CallFailure(Failure(kind, call.step, call.peer, detail), sent))
