"""Parses the headers and body of a submission into a `Request`."""

import hashlib
import re

from fescuecrank_core.declarations import RequestClass, Resources
from fescuecrank_core.requests import Request, RequestKey
from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders

ID_PATTERN = re.compile(r"[A-Za-z0-9._~-]{1,128}")

# Header, field of `Resources` and default of each resource that a request declares.
RESOURCE_HEADERS = (
    ("Need-Cpu-Millis", "cpu_millis", 0),
    ("Need-Memory-Mb", "memory_mb", 0),
    ("Need-Accelerators", "accelerators", 0),
    ("Need-Slots", "slots", 1),
)
MAX_HEADER_NUMBER = 100_000_000

BOOLEANS = {"true": True, "false": False}

RESPOND_ASYNC = "respond-async"


def parse_request(
    service: str, headers: HTTPHeaders, body: bytes, traceparent: str
) -> Result[Request, str]:
    """Return the request with an empty team, or what is wrong with the headers."""
    request_id = headers.get("Idempotency-Key", "")
    if not ID_PATTERN.fullmatch(request_id):
        return Err("Idempotency-Key must have 1 to 128 letters, digits, '.', '_', '~' or '-'")
    class_name = headers.get("Request-Class", RequestClass.QUICK.value)
    if class_name not in set(RequestClass):
        return Err(f"Request-Class must be one of {', '.join(RequestClass)}")
    idempotent = BOOLEANS.get(headers.get("Request-Idempotent", "false"))
    if idempotent is None:
        return Err("Request-Idempotent must be true or false")
    numbers = _parse_numbers(headers)
    if numbers.is_err():
        return numbers
    resources = numbers.ok_value
    expected_run_ms = resources.pop("expected_run_ms")
    need = Resources(**resources)
    options = (service, class_name, str(idempotent), repr(need), str(expected_run_ms))
    return Ok(
        Request(
            RequestKey("", request_id),
            service,
            RequestClass(class_name),
            idempotent,
            need,
            expected_run_ms,
            body,
            _fingerprint(options, body),
            traceparent,
        )
    )


def _parse_numbers(headers: HTTPHeaders) -> Result[dict[str, int], str]:
    fields = (*RESOURCE_HEADERS, ("Expected-Run-Ms", "expected_run_ms", 0))
    numbers = {}
    for header, field, default in fields:
        text = headers.get(header, str(default))
        if not (
            text.isascii()
            and text.isdecimal()
            and len(text) <= 10
            and int(text) <= MAX_HEADER_NUMBER
        ):
            return Err(f"{header} must be a whole number up to {MAX_HEADER_NUMBER}")
        numbers[field] = int(text)
    return Ok(numbers)


def _fingerprint(options: tuple[str, ...], body: bytes) -> str:
    """Hash each part with its length, so that different splits of the same bytes differ."""
    digest = hashlib.sha256()
    for part in (*(option.encode() for option in options), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def parse_wait_preference(headers: HTTPHeaders, default_ms: int, max_ms: int) -> Result[int, str]:
    """Return how long to wait for the answer in ms; 0 stands for `respond-async`."""
    wait_ms = default_ms
    for preference in headers.get("Prefer", "").split(","):
        name, _, value = preference.strip().partition("=")
        if name.lower() == RESPOND_ASYNC:
            return Ok(0)
        if name.lower() == "wait":
            if not (value.isascii() and value.isdecimal() and len(value) <= 9):
                return Err("Prefer: wait must be a whole number of seconds")
            wait_ms = min(int(value) * 1_000, max_ms)
    return Ok(wait_ms)
