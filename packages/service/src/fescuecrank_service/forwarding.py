"""Passes a caller's request on to another entry, as the caller sent it."""

import orjson
from fescuecrank_core.errors import FailureKind
from fescuecrank_scheduler.effects import ForwardRequest
from fescuecrank_scheduler.events import Forwarded, PeerAnswer
from fescuecrank_scheduler.validation import mapping, whole_number
from tornado.httputil import HTTPServerRequest

from fescuecrank_service.http_client import HttpClient, HttpResponse
from fescuecrank_service.http_frontend import FORWARDED_HEADER

# Callers wait for 3 s; the other entry answers within some milliseconds if the store serves it.
FORWARD_TIMEOUT_MS = 1_200

# Longest wait that another entry can ask a caller for; entries ask for seconds.
MAX_RETRY_AFTER_MS = 3_600_000

# Headers that the other entry needs; the rest concerns the caller's connection.
PASSED_HEADERS = ("Host", "Authorization", "Content-Type")


async def forward(
    client: HttpClient, effect: ForwardRequest, req: HTTPServerRequest | None
) -> Forwarded:
    """Pass a request on and return the answer; `req` is None if its caller has left."""
    if req is None:
        return Forwarded(effect.token, None, sent=False)
    headers = {name: req.headers[name] for name in PASSED_HEADERS if name in req.headers}
    # The client sends it once: the refusal of a second copy would say that a job has not run that
    # the first one stored.
    outcome = await client.call(
        "entry.forward",
        effect.address,
        req.method or "",
        req.uri or "",
        FORWARD_TIMEOUT_MS,
        req.body or None,
        headers | {FORWARDED_HEADER: "1"},
    )
    if outcome.is_err():
        sent = outcome.err_value.kind is not FailureKind.UNAVAILABLE
        return Forwarded(effect.token, None, sent=sent)
    return Forwarded(effect.token, decode_answer(outcome.ok_value), sent=True)


def decode_answer(response: HttpResponse) -> PeerAnswer | None:
    """Return the answer, or None if it cannot be read or passed on."""
    try:
        body = mapping(orjson.loads(response.body)) if response.body else {}
        # What is read may be nested too deeply to be written.
        orjson.dumps(body)
        retry_after = response.headers.get("retry-after")
        if retry_after is not None:
            retry_after_ms = whole_number(1_000 * int(retry_after), limit=MAX_RETRY_AFTER_MS)
        else:
            retry_after_ms = None
    except (ValueError, orjson.JSONEncodeError):
        return None
    return PeerAnswer(response.code, body, retry_after_ms)
