"""HTTP calls to a single entry, with timeouts, TLS and integrity checks of the answers."""

import base64
import binascii
import hashlib
import json
import socket
import ssl
from typing import Any

import attrs
from fescuecrank_core.errors import Failure, FailureKind
from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

CONNECT_TIMEOUT_MS = 2_000
# Longer than the 10 s for which an entry looks for an append whose answer was lost before it
# returns `unknown`, and longer than the longest wait that the client asks for in one call.
REQUEST_TIMEOUT_MS = 15_000
MAX_BODY_BYTES = 64 * 1024 * 1024
# High, because most of the calls in flight only wait for an answer.
MAX_CONCURRENT_CALLS = 1_000

# Texts of the timeouts of tornado's client that end a call before its first byte is written.
NOT_SENT_TEXTS = ("while connecting", "in request queue")

JSON_TYPE = "application/json"


@attrs.frozen
class TlsOptions:
    """Paths of PEM files; an empty path selects the default of the platform."""

    ca_file: str = ""
    client_cert: str = ""
    client_key: str = ""


@attrs.frozen
class Call:
    """An HTTP call that can be sent to any entry; `step` names the operation in failures."""

    step: str
    method: str
    path: str
    body: bytes | None = None
    headers: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class EntryAnswer:
    """A complete answer of one entry whose length and digest have been checked."""

    entry: str
    status: int
    headers: HTTPHeaders
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object, or an empty dict if it is not one."""
        try:
            value = json.loads(self.body)
        except (ValueError, RecursionError):
            return {}
        return value if isinstance(value, dict) else {}


class Transport:
    """Sends calls to entries.

    A failure of kind `UNAVAILABLE` guarantees that the call was never sent. After a failure of
    kind `UNKNOWN`, the entry may have executed it.
    """

    def __init__(self, key: str = "", tls: TlsOptions | None = None) -> None:
        self._key = key
        self._tls = tls or TlsOptions()
        self._http = AsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONCURRENT_CALLS,
            defaults={"user_agent": "fescuecrank"},
            max_body_size=MAX_BODY_BYTES,
        )

    async def exchange(self, entry: str, call: Call) -> Result[EntryAnswer, Failure]:
        """Send a call to one entry and return its answer."""
        try:
            response = await self._http.fetch(self._request(entry, call), raise_error=False)
        except Exception as exc:
            return Err(Failure(_failure_kind(exc), call.step, entry, _exception_text(exc)))
        damage = _find_damage(response)
        if damage:
            return Err(Failure(FailureKind.UNKNOWN, call.step, entry, damage))
        return Ok(EntryAnswer(entry, response.code, response.headers, response.body))

    def _request(self, entry: str, call: Call) -> HTTPRequest:
        headers = dict(call.headers)
        if self._key:
            headers["Authorization"] = f"Bearer {self._key}"
        return HTTPRequest(
            entry + call.path,
            method=call.method,
            headers=headers,
            body=call.body,
            connect_timeout=CONNECT_TIMEOUT_MS / 1_000,
            request_timeout=REQUEST_TIMEOUT_MS / 1_000,
            follow_redirects=False,
            decompress_response=False,
            ca_certs=self._tls.ca_file or None,
            client_cert=self._tls.client_cert or None,
            client_key=self._tls.client_key or None,
        )

    def close(self) -> None:
        """Release the HTTP client."""
        self._http.close()


def _failure_kind(exc: Exception) -> FailureKind:
    not_sent = (ConnectionRefusedError, socket.gaierror, ssl.SSLCertVerificationError)
    if isinstance(exc, not_sent) or any(text in str(exc) for text in NOT_SENT_TEXTS):
        return FailureKind.UNAVAILABLE
    return FailureKind.UNKNOWN


def _exception_text(exc: Exception) -> str:
    return str(exc) or exc.__class__.__name__


def _find_damage(response: HTTPResponse) -> str | None:
    """Return how an answer is truncated or altered, or None if it is intact."""
    length = response.headers.get("Content-Length")
    if length is not None and length != str(len(response.body)):
        return f"the answer has {len(response.body)} bytes instead of {length}"
    digest = repr_digest_sha256(response.headers)
    if digest is not None and digest != hashlib.sha256(response.body).digest():
        return "the answer does not match its Repr-Digest"
    return None


def repr_digest_sha256(headers: HTTPHeaders) -> bytes | None:
    """Return the SHA-256 digest in `Repr-Digest` (RFC 9530), or None if there is none.

    For a malformed value, return empty bytes, which match no digest.
    """
    for member in headers.get("Repr-Digest", "").split(","):
        algorithm, _, value = member.strip().partition("=")
        if algorithm.lower() == "sha-256":
            return _decode_digest(value)
    return None


def _decode_digest(value: str) -> bytes:
    if len(value) < 2 or value[0] != ":" or value[-1] != ":":
        return b""
    try:
        return base64.b64decode(value[1:-1], validate=True)
    except binascii.Error:
        return b""
