"""Typed answers of entries: what the HTTP replies to each kind of call say."""

import enum
from typing import Any, TypeVar

import attrs
from fescuecrank_core.declarations import Declaration
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_core.plain import declaration_from_plain
from fescuecrank_core.requests import Outcome
from result import Err, Ok, Result

from fescuecrank_cli.transport import Reply, sha256_of

Member = TypeVar("Member", bound=enum.StrEnum)

ACCEPTED_STATUS = 202
UNAVAILABLE_STATUS = 503


class Verdict(enum.StrEnum):
    """What became of a publication."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class Publication:
    """What an entry says of one record; `offset` is -1 if it is not on the log."""

    record_id: str
    verdict: Verdict
    offset: int = -1
    detail: str = ""


@attrs.frozen
class RequestReport:
    """What is known of a request; `outcome` is None while it waits or runs.

    `is_final` tells an answer that names the request and its outcome in its headers, as entries
    do for answers that the record of the request holds. `kind` is that of a typed refusal.
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
    """Versions and values in force by section and name, as of offset `applied`."""

    applied: int
    sections: dict[str, dict[str, tuple[int, Declaration]]]


def refusal(reply: Reply, step: str) -> Failure:
    """Return the failure that a refused call tells."""
    return Failure(known_kind(reply) or FailureKind.INVALID, step, reply.entry, detail_of(reply))


def known_kind(reply: Reply) -> FailureKind | None:
    """Return the kind of a typed refusal, or None for an answer of another form."""
    return _member(FailureKind, reply.json().get("kind"))


def _member(kind: type[Member], value: Any) -> Member | None:
    known = isinstance(value, str) and value in set(kind)
    return kind(value) if known else None


def detail_of(reply: Reply) -> str:
    """Return the reason that an answer gives, or its HTTP status."""
    problem = reply.json()
    detail = problem.get("detail") or problem.get("title") or problem.get("explanation")
    return str(detail or f"HTTP status {reply.status}")


def applied_offset(outcome: Result[Reply, Failure]) -> int | None:
    """Return the offset that an entry has applied, from its answer to `GET /v1/config`."""
    if outcome.is_err():
        return None
    applied = outcome.ok_value.json().get("applied")
    return applied if isinstance(applied, int) else None


def config_in_force(plain: dict[str, Any]) -> Result[ConfigInForce, Failure]:
    """Return the typed form of the body of `GET /v1/config`."""
    sections: dict[str, dict[str, tuple[int, Declaration]]] = {}
    try:
        for section, items in plain["sections"].items():
            sections[section] = {}
            for name, item in items.items():
                value = declaration_from_plain(section, name, item["value"])
                if value.is_err():
                    return Err(_malformed_config(str(value.err_value[0])))
                sections[section][name] = (int(item["version"]), value.ok_value)
        return Ok(ConfigInForce(int(plain["applied"]), sections))
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        return Err(_malformed_config(f"{exc.__class__.__name__}: {exc}"))


def _malformed_config(detail: str) -> Failure:
    return Failure(FailureKind.INVALID, "config.read", "", f"malformed answer: {detail}")


def publication_of(reply: Reply, record_id: str) -> Publication:
    """Return the verdict of an entry; an answer that is not typed proves nothing."""
    plain = reply.json()
    detail = detail_of(reply) if reply.status != 200 else str(plain.get("detail", ""))
    verdict = plain.get("verdict")
    if verdict is None and "kind" in plain and 400 <= reply.status <= UNAVAILABLE_STATUS:
        unsure = plain["kind"] in (FailureKind.UNKNOWN.value, FailureKind.TIMEOUT.value)
        verdict = Verdict.UNKNOWN if unsure else Verdict.REFUSED
    elif plain.get("record_id") != record_id:
        return Publication(record_id, Verdict.UNKNOWN, detail=f"answer without this id: {detail}")
    offset = plain.get("offset")
    at = offset if isinstance(offset, int) else -1
    return Publication(record_id, _member(Verdict, verdict) or Verdict.UNKNOWN, at, detail)


def looked_up(reply: Reply, record_id: str) -> Publication:
    """Return the verdict of a look-up; a refusal to look says nothing of the record."""
    if "verdict" in reply.json():
        return publication_of(reply, record_id)
    return Publication(record_id, Verdict.UNKNOWN, detail=detail_of(reply))


def report_or_lost(outcome: Result[Reply, Failure], service: str, request_id: str) -> RequestReport:
    """Return what a call tells of a request; a call without an answer proves nothing."""
    if outcome.is_err():
        return _lost(service, request_id, str(outcome.err_value))
    return report_of(outcome.ok_value, service, request_id)


def _lost(service: str, request_id: str, detail: str) -> RequestReport:
    return RequestReport(service, request_id, Outcome.UNKNOWN, detail=detail)


def report_of(reply: Reply, service: str, request_id: str) -> RequestReport:
    """Return what an answer says of a request; an answer that proves nothing is `UNKNOWN`."""
    named = reply.headers.get("Request-Id")
    if named not in (None, request_id):
        return _lost(service, request_id, f"{reply.entry} answered for another request, {named}")
    if reply.status == ACCEPTED_STATUS:
        plain = reply.json()
        state, detail = str(plain.get("state", "")), str(plain.get("explanation", ""))
        return RequestReport(service, request_id, None, state=state, detail=detail)
    if reply.status == 200:
        return _done(reply, service, request_id)
    outcome = reply.headers.get("Request-Outcome") or reply.json().get("outcome")
    if outcome == Outcome.DONE:
        return _lost(service, request_id, f"{reply.entry} answered done with an error status")
    return RequestReport(
        service,
        request_id,
        _member(Outcome, outcome) or Outcome.UNKNOWN,
        is_final=named is not None and "Request-Outcome" in reply.headers,
        kind=known_kind(reply),
        detail=detail_of(reply),
        runs=_count(reply, "Request-Runs"),
    )


def _done(reply: Reply, service: str, request_id: str) -> RequestReport:
    complete = (
        reply.headers.get("Request-Outcome") == Outcome.DONE
        and "Request-Id" in reply.headers
        and sha256_of(reply.headers) is not None
    )
    if not complete:
        return _lost(service, request_id, f"{reply.entry} answered without outcome, id or digest")
    return RequestReport(
        service,
        request_id,
        Outcome.DONE,
        is_final=True,
        body=reply.body,
        runs=_count(reply, "Request-Runs"),
        endpoint_status=_count(reply, "Endpoint-Status"),
    )


def _count(reply: Reply, header: str) -> int:
    text = reply.headers.get(header, "")
    return int(text) if text.isdecimal() else 0
