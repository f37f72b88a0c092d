"""Parses the HTTP answers of entries into typed values."""

import enum
from typing import Any, TypeVar

import attrs
from fescuecrank_core.declarations import Declaration
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_core.plain import declaration_from_plain
from fescuecrank_core.requests import Outcome
from result import Err, Ok, Result

from fescuecrank_cli.transport import EntryAnswer, repr_digest_sha256

EnumType = TypeVar("EnumType", bound=enum.StrEnum)

ACCEPTED_STATUS = 202
UNAVAILABLE_STATUS = 503


class Verdict(enum.StrEnum):
    """Result of a publication."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class Publication:
    """Verdict on the publication of a record; `offset` is -1 if the record is not on the log."""

    record_id: str
    verdict: Verdict
    offset: int = -1
    detail: str = ""


@attrs.frozen
class RequestReport:
    """What is known about a request; `outcome` is None while it waits or runs.

    `is_final` is set if the headers of the answer name the request and its outcome: entries send
    these headers only with an outcome that is stored in the record of the request. `kind` is the
    failure kind of a typed refusal.
    """

    service: str
    request_id: str
    outcome: Outcome | None
    is_final: bool = False
    kind: FailureKind | None = None
    state: str = ""
    detail: str = ""
    body: bytes = b""
    runs: int = 0
    endpoint_status: int = 0


@attrs.frozen
class ConfigInForce:
    """Versions and values in force by section and name; `applied` is the offset read next."""

    applied: int
    sections: dict[str, dict[str, tuple[int, Declaration]]]


def failure_from_refusal(answer: EntryAnswer, step: str) -> Failure:
    """Return the failure that a refused call reports."""
    return Failure(
        refusal_kind(answer) or FailureKind.INVALID, step, answer.entry, detail_of(answer)
    )


def refusal_kind(answer: EntryAnswer) -> FailureKind | None:
    """Return the failure kind of a typed refusal, or None for an answer in another form."""
    return _parse_enum(FailureKind, answer.json().get("kind"))


def _parse_enum(enum_type: type[EnumType], value: Any) -> EnumType | None:
    is_member = isinstance(value, str) and value in set(enum_type)
    return enum_type(value) if is_member else None


def detail_of(answer: EntryAnswer) -> str:
    """Return the explanation in an answer, or its HTTP status if there is none."""
    body = answer.json()
    detail = body.get("detail") or body.get("title") or body.get("explanation")
    return str(detail or f"HTTP status {answer.status}")


def parse_next_offset(response: Result[EntryAnswer, Failure]) -> int | None:
    """Return the offset that an entry reads next, from its answer to `GET /v1/config`."""
    if response.is_err():
        return None
    next_offset = response.ok_value.json().get("applied")
    return next_offset if isinstance(next_offset, int) else None


def parse_config(body: dict[str, Any]) -> Result[ConfigInForce, Failure]:
    """Parse the body of the answer to `GET /v1/config`."""
    sections: dict[str, dict[str, tuple[int, Declaration]]] = {}
    try:
        for section, items in body["sections"].items():
            sections[section] = {}
            for name, item in items.items():
                value = declaration_from_plain(section, name, item["value"])
                if value.is_err():
                    return Err(_malformed_config(str(value.err_value[0])))
                sections[section][name] = (int(item["version"]), value.ok_value)
        return Ok(ConfigInForce(int(body["applied"]), sections))
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        return Err(_malformed_config(f"{exc.__class__.__name__}: {exc}"))


def _malformed_config(detail: str) -> Failure:
    return Failure(FailureKind.INVALID, "config.read", "", f"malformed answer: {detail}")


def parse_publication(answer: EntryAnswer, record_id: str) -> Publication:
    """Return the verdict in an answer; an answer in an unknown form gives `UNKNOWN`."""
    body = answer.json()
    detail = detail_of(answer) if answer.status != 200 else str(body.get("detail", ""))
    verdict = body.get("verdict")
    if verdict is None and "kind" in body and 400 <= answer.status <= UNAVAILABLE_STATUS:
        is_unknown = body["kind"] in (FailureKind.UNKNOWN.value, FailureKind.TIMEOUT.value)
        verdict = Verdict.UNKNOWN if is_unknown else Verdict.REFUSED
    elif body.get("record_id") != record_id:
        return Publication(
            record_id, Verdict.UNKNOWN, detail=f"the answer does not name this record: {detail}"
        )
    raw_offset = body.get("offset")
    offset = raw_offset if isinstance(raw_offset, int) else -1
    return Publication(record_id, _parse_enum(Verdict, verdict) or Verdict.UNKNOWN, offset, detail)


def parse_publication_lookup(answer: EntryAnswer, record_id: str) -> Publication:
    """Return the verdict in the answer to a lookup.

    A refused lookup gives `UNKNOWN`, since it says nothing about the record.
    """
    if "verdict" in answer.json():
        return parse_publication(answer, record_id)
    return Publication(record_id, Verdict.UNKNOWN, detail=detail_of(answer))


def report_from_response(
    response: Result[EntryAnswer, Failure], service: str, request_id: str
) -> RequestReport:
    """Return what a call shows about a request; a call without an answer gives `UNKNOWN`."""
    if response.is_err():
        return _unknown_report(service, request_id, str(response.err_value))
    return parse_report(response.ok_value, service, request_id)


def _unknown_report(service: str, request_id: str, detail: str) -> RequestReport:
    return RequestReport(service, request_id, Outcome.UNKNOWN, detail=detail)


def parse_report(answer: EntryAnswer, service: str, request_id: str) -> RequestReport:
    """Return what an answer shows about a request; an inconclusive answer gives `UNKNOWN`."""
    answered_id = answer.headers.get("Request-Id")
    if answered_id not in (None, request_id):
        return _unknown_report(
            service, request_id, f"{answer.entry} answered about another request, {answered_id}"
        )
    if answer.status == ACCEPTED_STATUS:
        body = answer.json()
        state, detail = str(body.get("state", "")), str(body.get("explanation", ""))
        return RequestReport(service, request_id, None, state=state, detail=detail)
    if answer.status == 200:
        return _done_report(answer, service, request_id)
    outcome = answer.headers.get("Request-Outcome") or answer.json().get("outcome")
    if outcome == Outcome.DONE:
        return _unknown_report(
            service, request_id, f"{answer.entry} sent the outcome done with an error status"
        )
    return RequestReport(
        service,
        request_id,
        _parse_enum(Outcome, outcome) or Outcome.UNKNOWN,
        is_final=answered_id is not None and "Request-Outcome" in answer.headers,
        kind=refusal_kind(answer),
        detail=detail_of(answer),
        runs=_header_number(answer, "Request-Runs"),
    )


def _done_report(answer: EntryAnswer, service: str, request_id: str) -> RequestReport:
    is_complete = (
        answer.headers.get("Request-Outcome") == Outcome.DONE
        and "Request-Id" in answer.headers
        and repr_digest_sha256(answer.headers) is not None
    )
    if not is_complete:
        return _unknown_report(
            service, request_id, f"the answer of {answer.entry} lacks the outcome, id or digest"
        )
    return RequestReport(
        service,
        request_id,
        Outcome.DONE,
        is_final=True,
        body=answer.body,
        runs=_header_number(answer, "Request-Runs"),
        endpoint_status=_header_number(answer, "Endpoint-Status"),
    )


def _header_number(answer: EntryAnswer, header: str) -> int:
    text = answer.headers.get(header, "")
    return int(text) if text.isdecimal() else 0
