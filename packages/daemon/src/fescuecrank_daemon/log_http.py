"""Client of the log service over HTTP; docs/platform.md describes the wire format."""

from typing import Any
from urllib.parse import urlsplit

import cbor2
import orjson
from fescuecrank_core import codec
from fescuecrank_core.clock import Instant
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_core.events import AppendDone, AppendFailed, LogExpired, LogRead, LogUnreadable
from fescuecrank_core.records import LogEntry, Record
from result import Err, Ok, Result
from structlog.typing import FilteringBoundLogger
from tornado.httpclient import HTTPResponse

from fescuecrank_daemon.http_client import Call, CallLimits, HttpClient
from fescuecrank_daemon.platform_clients import LogClient
from fescuecrank_daemon.settings import LogSettings
from fescuecrank_daemon.tls import client_context

# Statuses by which the log reports that it did not store the record.
NOT_STORED_STATUSES = {400, 403, 404, 413, 429}

APPEND_STEP = "log.append"
READ_STEP = "log.read"


class HttpLogClient(LogClient):
    """Appends to and reads from the log over HTTP."""

    def __init__(self, cfg: LogSettings, log: FilteringBoundLogger) -> None:
        self._cfg = cfg
        self._log = log
        self._peer = urlsplit(cfg.url).netloc
        self._base_url = cfg.url.rstrip("/")
        limits = CallLimits(cfg.connect_timeout_ms, cfg.max_answer_bytes, cfg.max_clients)
        tls = client_context(cfg.tls)
        # Separate clients, so that hanging appends do not delay reads.
        self._appends, self._reads = HttpClient(limits, tls), HttpClient(limits, tls)

    async def append(self, record: Record) -> AppendDone | AppendFailed:
        """Append one record."""
        call = Call(
            APPEND_STEP,
            self._peer,
            f"{self._base_url}/records",
            self._cfg.append_timeout_ms,
            method="POST",
            headers={"Record-Id": record.record_id, "Content-Type": "application/cbor"},
            body=codec.encode(record),
        )
        answer = await self._appends.call(call)
        if answer.is_err():
            failed_call = answer.err_value
            return AppendFailed(
                record.record_id, failed_call.failure, maybe_stored=failed_call.sent
            )
        response = answer.ok_value
        if response.code != 200:
            failure = self._failure(FailureKind.UNAVAILABLE, APPEND_STEP, _status_detail(response))
            return AppendFailed(record.record_id, failure, response.code not in NOT_STORED_STATUSES)
        offset = _parse_offset(response, record.record_id)
        if offset is None:
            failure = self._failure(FailureKind.UNKNOWN, APPEND_STEP, "malformed answer")
            return AppendFailed(record.record_id, failure, maybe_stored=True)
        return AppendDone(record.record_id, offset)

    async def read(self, first: int, now: Instant) -> LogRead | LogExpired | LogUnreadable:
        """Read records from offset `first` on."""
        cfg = self._cfg
        query = f"first={first}&wait_ms={cfg.read_wait_ms}&limit={cfg.read_limit}"
        url = f"{self._base_url}/records?{query}"
        answer = await self._reads.call(Call(READ_STEP, self._peer, url, cfg.read_timeout_ms))
        if answer.is_err():
            return LogUnreadable(answer.err_value.failure)
        response = answer.ok_value
        if response.code not in (200, 410):
            failure = self._failure(FailureKind.UNAVAILABLE, READ_STEP, _status_detail(response))
            return LogUnreadable(failure)
        parsed = self._parse_page(response, first, now)
        return parsed.ok_value if parsed.is_ok() else LogUnreadable(parsed.err_value)

    def _parse_page(
        self, response: HTTPResponse, first: int, now: Instant
    ) -> Result[LogRead | LogExpired, Failure]:
        try:
            page = cbor2.loads(response.body)
            if response.code == 410:
                return Ok(LogExpired(int(page["first"])))
            entries = tuple(self._decode_entry(item) for item in page["records"])
            read = LogRead(entries, int(page["end"]), now.mono_ms)
        except Exception as exc:
            detail = f"malformed answer: {exc.__class__.__name__}"
            return Err(self._failure(FailureKind.INVALID, READ_STEP, detail))
        expected = range(first, first + len(entries))
        if [entry.offset for entry in entries] != list(expected):
            detail = f"answer does not hold consecutive records from {first}"
            return Err(self._failure(FailureKind.INVALID, READ_STEP, detail))
        return Ok(read)

    def _decode_entry(self, item: dict[str, Any]) -> LogEntry:
        """Decode one log entry; a record that cannot be decoded becomes a plain `Record`.

        A malformed record must not block all readers of the log for as long as it is retained.
        """
        decoded = codec.decode(item["body"], Record, READ_STEP, self._peer)
        if decoded.is_ok() and decoded.ok_value.record_id == item["record_id"]:
            return LogEntry(item["offset"], decoded.ok_value)
        reason = str(decoded.err_value) if decoded.is_err() else "record id differs from the body"
        self._log.error("log_record_skipped", offset=item["offset"], reason=reason)
        return LogEntry(item["offset"], Record(str(item["record_id"])))

    def _failure(self, kind: FailureKind, step: str, detail: str) -> Failure:
        return Failure(kind, step, self._peer, detail)


def _status_detail(response: HTTPResponse) -> str:
    return f"answered with status {response.code}"


def _parse_offset(response: HTTPResponse, record_id: str) -> int | None:
    """Return the offset in the answer to an append, or None if it is not for this record."""
    try:
        answer = orjson.loads(response.body)
        offset = answer["offset"] if answer["record_id"] == record_id else None
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return None
    return offset if isinstance(offset, int) else None
