"""Client of the HTTP interface of entries: publications, requests and queries.

Every operation tries the entries in turn. A publication or request keeps its id across all
attempts, so that an attempt whose answer was lost cannot take effect twice.
"""

import asyncio
import base64
import json
import time
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import quote

import attrs
from fescuecrank_core.declarations import Fleet, RequestClass
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_core.plain import declaration_to_plain
from fescuecrank_core.records import Change
from fescuecrank_core.requests import Outcome
from result import Err, Ok, Result

from fescuecrank_cli.answers import (
    ConfigInForce,
    Publication,
    RequestReport,
    Verdict,
    failure_from_refusal,
    parse_config,
    parse_next_offset,
    parse_publication,
    parse_publication_lookup,
    refusal_kind,
    report_from_response,
)
from fescuecrank_cli.ids import uuid7
from fescuecrank_cli.key_material import NewKey
from fescuecrank_cli.transport import (
    JSON_TYPE,
    Call,
    TlsOptions,
    Transport,
)

# How long to look up a publication whose answer was lost.
PUBLICATION_LOOKUP_MS = 10_000
POLL_MS = 300
MAX_POLL_MS = 2_000
# Limits the wait for an answer in one call, so that a dead connection is noticed.
MAX_SUBMIT_WAIT_MS = 10_000
# Rounds over all entries with the same request id before the outcome is reported as unknown.
SUBMIT_ROUNDS = 3

# Failures of one entry after which another entry may still accept the call.
RETRYABLE_KINDS = frozenset(
    {
        FailureKind.UNAVAILABLE,
        FailureKind.OVERLOADED,
        FailureKind.TIMEOUT,
        FailureKind.UNKNOWN,
    }
)


@attrs.frozen
class Unreachable(Failure):
    """No entry answered, and the call cannot have changed anything."""


@attrs.frozen
class Submission:
    """A request of a caller; resource amounts that are None are not sent.

    `traceparent` is a header of W3C Trace Context.
    """

    service: str
    request_id: str
    body: bytes = b""
    content_type: str = "application/octet-stream"
    request_class: RequestClass = RequestClass.QUICK
    idempotent: bool = False
    cpu_millis: int | None = None
    memory_mb: int | None = None
    accelerators: int | None = None
    slots: int | None = None
    expected_run_ms: int | None = None
    traceparent: str = ""


class EntryClient:
    """Client that reaches a fleet through any of its entries; bound to one running event loop."""

    def __init__(self, entries: Sequence[str], key: str = "", tls: TlsOptions | None = None):
        self.entries = tuple(entries)
        self._transport = Transport(key, tls)

    def close(self) -> None:
        """Release the HTTP client."""
        self._transport.close()

    # Queries

    async def config(self) -> Result[ConfigInForce, Failure]:
        """Return the declarations in force."""
        body = await self.get_json("/v1/config", "config.read")
        return body.and_then(parse_config)

    async def status(self) -> Result[dict[str, Any], Failure]:
        """Return members, claims, pools, budgets and whether the answering entry is current."""
        return await self.get_json("/v1/status", "status.read")

    async def waves(self) -> Result[dict[str, Any], Failure]:
        """Return the maintenance waves and their progress."""
        return await self.get_json("/v1/waves", "waves.read")

    async def why(self, worker: str) -> Result[dict[str, Any], Failure]:
        """Return why a worker is out of service, or cannot be taken out now."""
        return await self.get_json(f"/v1/workers/{_percent_encode(worker)}/why", "worker.why")

    async def get_json(self, path: str, step: str) -> Result[dict[str, Any], Failure]:
        """Return the JSON object at `path` from the first entry that returns one."""
        failure: Failure | None = None
        for entry in self.entries:
            response = await self._transport.exchange(entry, Call(step, "GET", path))
            if response.is_err():
                failure = failure or _unreachable_failure(response.err_value)
            elif response.ok_value.status == 200 and response.ok_value.json():
                return Ok(response.ok_value.json())
            else:
                failure = failure_from_refusal(response.ok_value, step)
                if failure.kind not in RETRYABLE_KINDS:
                    return Err(failure)
        return Err(failure or _no_entries_failure(step))

    async def next_offsets(self) -> dict[str, int | None]:
        """Return the offset that each entry reads next, or None where it is not known."""
        call = Call("config.read", "GET", "/v1/config")
        responses = await asyncio.gather(
            *(self._transport.exchange(entry, call) for entry in self.entries)
        )
        return dict(zip(self.entries, map(parse_next_offset, responses), strict=True))

    async def wait_in_force(
        self, offset: int, wait_ms: int, progress: Callable[[int], None]
    ) -> list[str]:
        """Wait until every entry has applied `offset`; return the entries that have not.

        `progress` is called after each poll with the number of entries that have applied it.
        """
        deadline = _now_ms() + wait_ms
        while True:
            next_offsets = await self.next_offsets()
            behind = [
                entry
                for entry, next_offset in next_offsets.items()
                if next_offset is None or next_offset <= offset
            ]
            progress(len(next_offsets) - len(behind))
            if not behind or _now_ms() >= deadline:
                return behind
            await asyncio.sleep(POLL_MS / 1_000)

    # Publications

    async def publish_changes(
        self, changes: Sequence[Change], wanted: Fleet, author: str, record_id: str
    ) -> Result[Publication, Failure]:
        """Publish changes to the declarations; `wanted` holds their values."""
        body = {
            "record_id": record_id,
            "author": author,
            "changes": [_change_to_plain(change, wanted) for change in changes],
        }
        return await self.publish("config.publish", "POST", "/v1/config", record_id, body)

    async def grant_key(
        self, key: NewKey, kind: str, team: str, record_id: str
    ) -> Result[Publication, Failure]:
        """Publish the salted hash of a key of kind `team` or `operator`."""
        body = {
            "record_id": record_id,
            "key_id": key.key_id,
            "kind": kind,
            "team": team,
            "salt": base64.b64encode(key.salt).decode(),
            "digest": base64.b64encode(key.digest).decode(),
        }
        return await self.publish("key.grant", "POST", "/v1/keys", record_id, body)

    async def withdraw_key(self, key_id: str, record_id: str) -> Result[Publication, Failure]:
        """Withdraw a key permanently."""
        path = f"/v1/keys/{_percent_encode(key_id)}?record_id={_percent_encode(record_id)}"
        return await self.publish("key.withdraw", "DELETE", path, record_id)

    async def drain(self, worker: str, record_id: str) -> Result[Publication, Failure]:
        """Take a worker out of service."""
        path = f"/v1/workers/{_percent_encode(worker)}/drain"
        body = {"record_id": record_id}
        return await self.publish("worker.drain", "POST", path, record_id, body)

    async def cancel_drain(self, worker: str, record_id: str) -> Result[Publication, Failure]:
        """Return a worker to service."""
        path = f"/v1/workers/{_percent_encode(worker)}/drain?record_id={_percent_encode(record_id)}"
        return await self.publish("worker.cancel_drain", "DELETE", path, record_id)

    async def strike(
        self, entry: str, incarnation: int, record_id: str
    ) -> Result[Publication, Failure]:
        """Remove a permanently lost entry from all majorities."""
        path = f"/v1/members/{_percent_encode(entry)}/strike"
        body = {"record_id": record_id, "incarnation": incarnation}
        return await self.publish("member.strike", "POST", path, record_id, body)

    async def start_wave(
        self, wave_id: str, pools: Sequence[str], record_id: str
    ) -> Result[Publication, Failure]:
        """Start a maintenance wave over some pools, or over all of them if none is named."""
        body = {"record_id": record_id, "wave_id": wave_id, "pools": list(pools)}
        return await self.publish("wave.start", "POST", "/v1/waves", record_id, body)

    async def pause_or_resume_wave(
        self, wave_id: str, action: str, record_id: str
    ) -> Result[Publication, Failure]:
        """Change the state of a wave; `action` is `pause` or `resume`."""
        path = f"/v1/waves/{_percent_encode(wave_id)}/{action}"
        body = {"record_id": record_id}
        return await self.publish(f"wave.{action}", "POST", path, record_id, body)

    async def publish(
        self,
        step: str,
        method: str,
        path: str,
        record_id: str,
        body: dict[str, Any] | None = None,
    ) -> Result[Publication, Failure]:
        """Publish one record and return its verdict.

        If the answer is lost or `unknown`, look up the verdict by the record id on all entries for
        `PUBLICATION_LOOKUP_MS`. An error means that nothing was published.
        """
        call = _make_json_call(step, method, path, body)
        refused: Publication | None = None
        failure: Failure = _no_entries_failure(step)
        for entry in self.entries:
            response = await self._transport.exchange(entry, call)
            if response.is_err() and response.err_value.kind is FailureKind.UNAVAILABLE:
                failure = _unreachable_failure(response.err_value)
                continue
            if response.is_err():
                return await self._look_up_verdict(record_id, str(response.err_value))
            publication = parse_publication(response.ok_value, record_id)
            if publication.verdict is Verdict.UNKNOWN:
                return await self._look_up_verdict(record_id, publication.detail)
            if refusal_kind(response.ok_value) not in RETRYABLE_KINDS:
                return Ok(publication)
            refused = publication
        return Ok(refused) if refused else Err(failure)

    async def _look_up_verdict(self, record_id: str, detail: str) -> Result[Publication, Failure]:
        found = await self.publication(record_id, PUBLICATION_LOOKUP_MS)
        if found.is_ok() and found.ok_value.verdict is not Verdict.UNKNOWN:
            return found
        return Ok(Publication(record_id, Verdict.UNKNOWN, detail=detail))

    async def publication(self, record_id: str, wait_ms: int = 0) -> Result[Publication, Failure]:
        """Look up the verdict on a publication until an entry knows it, for up to `wait_ms`.

        An entry that has not read the log far enough does not know the record yet, and one that
        refuses the key says nothing about it, so neither answer ends the lookup.
        """
        call = Call("publication.read", "GET", f"/v1/publications/{_percent_encode(record_id)}")
        deadline = _now_ms() + wait_ms
        while True:
            found = await self._look_up_once(call, record_id)
            is_known = found.is_ok() and found.ok_value.verdict is not Verdict.UNKNOWN
            if is_known or _now_ms() >= deadline:
                return found
            await asyncio.sleep(POLL_MS / 1_000)

    async def _look_up_once(self, call: Call, record_id: str) -> Result[Publication, Failure]:
        unknown: Publication | None = None
        failure: Failure = _no_entries_failure(call.step)
        for entry in self.entries:
            response = await self._transport.exchange(entry, call)
            if response.is_err():
                failure = _unreachable_failure(response.err_value)
                continue
            found = parse_publication_lookup(response.ok_value, record_id)
            if found.verdict is not Verdict.UNKNOWN:
                return Ok(found)
            unknown = unknown or found
        return Ok(unknown) if unknown else Err(failure)

    # Requests

    async def submit(self, submission: Submission, wait_ms: int) -> Result[RequestReport, Failure]:
        """Submit a request and return what is known about it after about `wait_ms` at most.

        Every attempt carries the same request id. An error means that the request was never sent.
        `NOT_RUN` is reported only if no earlier attempt can have reached an entry or if the record
        of the request says so, since any other refusal concerns only its own attempt.
        """
        deadline = _now_ms() + wait_ms
        call = _make_submit_call(submission, min(wait_ms, MAX_SUBMIT_WAIT_MS))
        first = await self._submit_with_retries(call, submission.service, submission.request_id)
        return await self._poll_result(first, deadline, call)

    async def _submit_with_retries(
        self, call: Call, service: str, request_id: str
    ) -> Result[RequestReport, Failure]:
        """Submit with the same id until an entry returns an outcome or a state."""
        unknown: RequestReport | None = None
        refused: RequestReport | None = None
        failure: Failure = _no_entries_failure(call.step)
        for attempt in range(SUBMIT_ROUNDS * len(self.entries)):
            if attempt and attempt % len(self.entries) == 0:
                if refused and not unknown:
                    break
                await asyncio.sleep(POLL_MS / 1_000)
            entry = self.entries[attempt % len(self.entries)]
            response = await self._transport.exchange(entry, call)
            if response.is_err() and response.err_value.kind is FailureKind.UNAVAILABLE:
                failure = _unreachable_failure(response.err_value)
                continue
            call = _mark_as_retry(call)
            report = report_from_response(response, service, request_id)
            if report.outcome is Outcome.UNKNOWN:
                unknown = report
            elif report.outcome is not Outcome.NOT_RUN:
                return Ok(report)
            else:
                refused = report
                if report.is_final or report.kind not in RETRYABLE_KINDS:
                    break
        if unknown:
            return Ok(await self._resolve_unknown(unknown))
        return Ok(refused) if refused else Err(failure)

    async def _resolve_unknown(self, unknown: RequestReport) -> RequestReport:
        """Return what the record of a request says after an attempt with an unknown outcome."""
        recorded = await self.result(unknown.service, unknown.request_id)
        return recorded.ok_value if recorded.is_ok() else unknown

    async def cancel(
        self, service: str, request_id: str, wait_ms: int
    ) -> Result[RequestReport, Failure]:
        """Cancel a request and return its outcome, which may still be `DONE`."""
        deadline = _now_ms() + wait_ms
        call = Call("request.cancel", "DELETE", _request_path(service, request_id))
        first = await self._call_about_request(call, service, request_id)
        if first.is_ok() and first.ok_value.outcome is Outcome.UNKNOWN:
            first = await self._call_about_request(call, service, request_id)
        return await self._poll_result(first, deadline)

    async def result(
        self, service: str, request_id: str, wait_ms: int = 0, explain: bool = False
    ) -> Result[RequestReport, Failure]:
        """Return what is known about a request, waiting up to `wait_ms` for its outcome."""
        deadline = _now_ms() + wait_ms
        path = _request_path(service, request_id) + ("?explain=true" if explain else "")
        first = await self._call_about_request(
            Call("request.result", "GET", path), service, request_id
        )
        return await self._poll_result(first, deadline)

    async def _call_about_request(
        self, call: Call, service: str, request_id: str
    ) -> Result[RequestReport, Failure]:
        """Send a call about a submitted request to each entry in turn until one knows the request.

        A refusal of this call is a failure, since it says nothing about the request itself.
        """
        unknown: RequestReport | None = None
        failure: Failure = _no_entries_failure(call.step)
        for entry in self.entries:
            response = await self._transport.exchange(entry, call)
            if response.is_err() and response.err_value.kind is FailureKind.UNAVAILABLE:
                if isinstance(failure, Unreachable):
                    failure = _unreachable_failure(response.err_value)
                continue
            call = _mark_as_retry(call)
            report = report_from_response(response, service, request_id)
            if report.outcome is None or report.is_final:
                return Ok(report)
            if report.kind is None:
                unknown = report
                continue
            failure = Failure(report.kind, call.step, entry, report.detail)
            if report.kind not in RETRYABLE_KINDS:
                return Err(failure)
        return Ok(unknown) if unknown else Err(failure)

    async def _poll_result(
        self, latest: Result[RequestReport, Failure], deadline_ms: int, submit: Call | None = None
    ) -> Result[RequestReport, Failure]:
        """Poll the result of a request that an entry has accepted, until it has an outcome.

        Lost answers and refusals say nothing about a request that an entry accepted before. If the
        entry that holds a waiting request fails, the record of the request is lost. Therefore
        `submit` is sent again with the same id when no entry knows the request.
        """
        pause_ms = POLL_MS
        submits_left = SUBMIT_ROUNDS - 1 if submit else 0
        while latest.is_ok() and latest.ok_value.outcome is None and _now_ms() < deadline_ms:
            report = latest.ok_value
            await asyncio.sleep(pause_ms / 1_000)
            pause_ms = min(2 * pause_ms, MAX_POLL_MS)
            path = _request_path(report.service, report.request_id)
            call = Call("request.result", "GET", path)
            polled = await self._call_about_request(call, report.service, report.request_id)
            if polled.is_ok() and (polled.ok_value.outcome is None or polled.ok_value.is_final):
                latest = polled
            elif _is_not_found(polled) and submits_left:
                submits_left -= 1
                latest = await self._resubmit(submit, report)
        return latest

    async def _resubmit(
        self, submit: Call, previous: RequestReport
    ) -> Result[RequestReport, Failure]:
        """Submit again; a refusal concerns only this attempt, so it leaves `previous` valid."""
        sent = await self._submit_with_retries(submit, previous.service, previous.request_id)
        is_conclusive = sent.is_ok() and (sent.ok_value.outcome is None or sent.ok_value.is_final)
        return sent if is_conclusive else Ok(previous)


def _is_not_found(report: Result[RequestReport, Failure]) -> bool:
    return report.is_err() and report.err_value.kind is FailureKind.NOT_FOUND


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


def _percent_encode(name: str) -> str:
    return quote(name, safe="")


def _request_path(service: str, request_id: str) -> str:
    return f"/v1/services/{_percent_encode(service)}/requests/{_percent_encode(request_id)}"


def _make_json_call(step: str, method: str, path: str, body: dict[str, Any] | None) -> Call:
    if body is None:
        return Call(step, method, path)
    return Call(step, method, path, json.dumps(body).encode(), {"Content-Type": JSON_TYPE})


def _make_submit_call(submission: Submission, wait_ms: int) -> Call:
    optional = {
        "Need-Cpu-Millis": submission.cpu_millis,
        "Need-Memory-Mb": submission.memory_mb,
        "Need-Accelerators": submission.accelerators,
        "Need-Slots": submission.slots,
        "Expected-Run-Ms": submission.expected_run_ms,
        "traceparent": submission.traceparent or None,
    }
    headers = {
        "Content-Type": submission.content_type,
        "Idempotency-Key": submission.request_id,
        "Request-Class": submission.request_class.value,
        "Request-Idempotent": str(submission.idempotent).lower(),
        "Prefer": f"wait={wait_ms // 1_000}" if wait_ms >= 1_000 else "respond-async",
    }
    headers.update({name: str(value) for name, value in optional.items() if value is not None})
    path = f"/v1/services/{_percent_encode(submission.service)}/requests"
    return Call("request.submit", "POST", path, submission.body, headers)


def _mark_as_retry(call: Call) -> Call:
    """Return the call with the header for a retry whose first copy may have reached an entry."""
    return attrs.evolve(call, headers={**call.headers, "Request-Retry": "true"})


def _change_to_plain(change: Change, wanted: Fleet) -> dict[str, Any]:
    value = getattr(wanted, change.section).get(change.name)
    return {
        "section": change.section,
        "name": change.name,
        "follows": change.follows,
        "value": None if change.value is None else declaration_to_plain(value),
    }


def _no_entries_failure(step: str) -> Failure:
    return Unreachable(FailureKind.UNAVAILABLE, step, "", "no entry address is given")


def _unreachable_failure(failure: Failure) -> Failure:
    return Unreachable(failure.kind, failure.step, failure.peer, failure.detail)


def new_record_id() -> str:
    """Return the id of a new publication."""
    return uuid7()
