"""HTTP client of the platform's store: a log with topics, partitions and keyed records."""

import base64
import json
import struct
from typing import Any
from urllib.parse import quote

import orjson
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_scheduler.effects import StoreWaveState
from fescuecrank_scheduler.events import StoreResult, Topic, WorkersRead
from fescuecrank_scheduler.records import Record, StoredRecord
from fescuecrank_scheduler.validation import FieldReader, counter, describe, elements
from fescuecrank_service.http_client import Download, HttpClient
from fescuecrank_service.interfaces import (
    AppendOutcome,
    Configuration,
    NewestPage,
    OffsetExpired,
    OnProgress,
    Page,
    Store,
    Stream,
)
from fescuecrank_service.patient_reads import PatientReads
from result import Err, Ok, Result

from fescuecrank_platform.configuration import decode_configuration
from fescuecrank_platform.settings import Endpoints
from fescuecrank_platform.worker_list import decode_workers

# In topics with the prefix `keyed.`, the newest record of each key never expires.
TOPIC_NAMES = {Topic.INTAKE: "keyed.fescuecrank-jobs", Topic.PROGRESS: "keyed.fescuecrank-runs"}
OPERATORS_TOPIC = "keyed.op"
WORKERS_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"

# Time within which the response to a read has to begin, beyond the wait that it asks the store for.
READ_SLACK_MS = 1_200
NEWEST_TIMEOUT_MS = 2_000
# Longest pause within a response; a packet that is lost is sent again after 0.2 to 1 s.
STALL_TIMEOUT_MS = 1_200
STATUS_TIMEOUT_MS = 800

# States of a wave by whether it is completed.
WAVE_STATES = {False: "running", True: "completed"}

BINARY_HEADERS = {"Content-Type": "application/octet-stream"}

# Results of an append by the status of its response; any other one leaves the outcome open.
RESULT_BY_STATUS = {
    200: StoreResult.STORED,
    409: StoreResult.FENCED,
    412: StoreResult.CONFLICT,
    **dict.fromkeys((400, 403, 429, 503, 507), StoreResult.REFUSED),
}


def encode_records(records: tuple[Record, ...]) -> bytes:
    """Return the body of an append: for each record its length, the key's length, key and value."""
    parts = []
    for record in records:
        key = record.key.encode()
        parts.append(struct.pack(">IB", 1 + len(key) + len(record.value), len(key)))
        parts += (key, record.value)
    return b"".join(parts)


def decode_records(body: bytes, first_offset: int, whole: bool = True) -> tuple[StoredRecord, ...]:
    """Return the records in the body of a read, the first of which has `first_offset`.

    The body begins with two offsets of 8 bytes. Raises `ValueError` if a record is truncated,
    unless the body is the part of a response that arrived before it ended early (not `whole`).
    """
    view, position, records = memoryview(body), 16, []
    while position + 4 <= len(view):
        (length,) = struct.unpack_from(">I", view, position)
        position += 4
        if not whole and position + length > len(view):
            break
        if length < 1 or position + length > len(view):
            raise ValueError("a record is truncated")
        key_end = position + 1 + view[position]
        if key_end > position + length:
            raise ValueError("the key of a record is truncated")
        key = bytes(view[position + 1 : key_end]).decode(errors="replace")
        value = bytes(view[key_end : position + length])
        records.append(StoredRecord(first_offset + len(records), Record(key, value)))
        position += length
    return tuple(records)


def _load_page(body: bytes) -> Any:
    """Return a page of the newest records, also if a key in it is no text.

    Another writer may use any bytes as the key of its record.
    """
    try:
        return orjson.loads(body)
    except ValueError:
        return json.loads(body.decode(errors="replace"))


def _stored_records(value: Any) -> tuple[StoredRecord, ...]:
    return elements(value, _stored_record)


def _stored_record(value: Any) -> StoredRecord:
    item = FieldReader(value)
    record = Record(item.read("key", _key), item.read("value", _bytes))
    return StoredRecord(item.read("offset", counter), record)


def _bytes(value: Any) -> bytes:
    if not isinstance(value, str):
        raise ValueError(f"must be a string, is {describe(value)}")
    return base64.b64decode(value)


def _key(value: Any) -> str:
    """Return a key, in which each lone surrogate is replaced."""
    if not isinstance(value, str):
        raise ValueError(f"must be a string, is {describe(value)}")
    return value.encode("utf-16", "surrogatepass").decode("utf-16", "replace")


class LogStream(Stream):
    """One partition of a topic."""

    def __init__(
        self, client: HttpClient, endpoints: Endpoints, topic: str, partition: int = 0
    ) -> None:
        self._client = client
        self._reads = PatientReads(client)
        self._endpoints = endpoints
        self._query = f"topic={quote(topic)}&part={partition}"

    @property
    def _address(self) -> str:
        return self._endpoints.store

    async def read(
        self, from_offset: int, wait_ms: int, max_kb: int, on_progress: OnProgress
    ) -> Result[Page | OffsetExpired, Failure]:
        """Read about `max_kb` of records from `from_offset` on."""
        path = f"/api/log-read?{self._query}&from={from_offset}&wait_ms={wait_ms}&max_kb={max_kb}"
        outcome = await self._fetch(
            "store.read", from_offset, path, wait_ms + READ_SLACK_MS, on_progress
        )
        if outcome.is_err():
            return outcome
        response = outcome.ok_value
        if response.code == 410:
            return Ok(OffsetExpired())
        if response.code != 200:
            return self._status_failure("store.read", response.code)
        if len(response.body) < 16:
            detail = f"answered with {len(response.body)} bytes"
            return (
                Err(response.failure) if response.failure else self._failure("store.read", detail)
            )
        (end,) = struct.unpack_from(">Q", response.body)
        try:
            records = decode_records(response.body, from_offset, whole=response.failure is None)
        except ValueError as exc:
            return self._failure("store.read", str(exc))
        return Ok(Page(records, end, response.transfer_ms, response.failure, response.sent_before))

    async def read_newest(
        self, after_key: str | None, on_progress: OnProgress
    ) -> Result[NewestPage, Failure]:
        """Read a page of the newest record of each key."""
        after = f"&after={quote(after_key, safe='')}" if after_key is not None else ""
        path = f"/api/log-newest?{self._query}{after}"
        outcome = await self._fetch("store.newest", after_key, path, NEWEST_TIMEOUT_MS, on_progress)
        if outcome.is_err():
            return outcome
        response = outcome.ok_value
        if response.failure is not None:
            # The records of a truncated JSON document cannot be told from its rest.
            return Err(response.failure)
        if response.code == 404:
            # The store creates a topic with its first record, so this one is still empty.
            return Ok(NewestPage((), 0, has_more=False))
        if response.code != 200:
            return self._status_failure("store.newest", response.code)
        try:
            page = FieldReader(_load_page(response.body))
            return Ok(
                NewestPage(
                    page.read("items", _stored_records),
                    page.read("end", counter),
                    page.read("has_more", bool),
                )
            )
        except (ValueError, RecursionError) as exc:
            return self._failure("store.newest", f"malformed response: {exc}")

    async def _fetch(
        self,
        operation: str,
        after: int | str | None,
        path: str,
        begin_timeout_ms: int,
        on_progress: OnProgress,
    ) -> Result[Download, Failure]:
        return await self._reads.fetch(
            (operation, after),
            operation,
            self._address,
            path,
            begin_timeout_ms,
            STALL_TIMEOUT_MS,
            on_progress,
        )

    async def append(
        self,
        records: tuple[Record, ...],
        producer: str,
        epoch: int,
        sequence: int,
        expected_end_offset: int | None,
        timeout_ms: int,
    ) -> AppendOutcome:
        """Append all records or none, identified by producer, epoch and sequence number."""
        condition = f"&at={expected_end_offset}" if expected_end_offset is not None else ""
        path = (
            f"/api/log-append?{self._query}{condition}"
            f"&producer={quote(producer)}&epoch={epoch}&sequence={sequence}"
        )
        # The client sends it once: the refusal of a second copy would say nothing about the first.
        outcome = await self._client.call(
            "store.append",
            self._address,
            "POST",
            path,
            timeout_ms,
            encode_records(records),
            BINARY_HEADERS,
        )
        if outcome.is_err():
            unsent = outcome.err_value.kind is FailureKind.UNAVAILABLE
            result = StoreResult.REFUSED if unsent else StoreResult.UNKNOWN
            return AppendOutcome(result, reason=outcome.err_value.detail)
        response = outcome.ok_value
        result = RESULT_BY_STATUS.get(response.code, StoreResult.UNKNOWN)
        stored = result is StoreResult.STORED
        offset = _int_field(response.body, "offset") if stored else -1
        return AppendOutcome(result, offset, response.code)

    def _status_failure(self, operation: str, status: int) -> Err[Failure]:
        kind = FailureKind.OVERLOADED if status == 429 else FailureKind.UNAVAILABLE
        detail = f"answered with status {status}"
        return Err(Failure(kind, operation, self._address, detail))

    def _failure(self, operation: str, detail: str) -> Err[Failure]:
        return Err(Failure(FailureKind.UNAVAILABLE, operation, self._address, detail))


def _int_field(body: bytes, field: str) -> int:
    try:
        return FieldReader(orjson.loads(body)).read(field, counter)
    except ValueError:
        return -1


class LogStore(Store):
    """The store with the topics of the scheduler, the operators and the workers."""

    def __init__(self, client: HttpClient, endpoints: Endpoints) -> None:
        self._shared_streams = {
            topic: LogStream(client, endpoints, name) for topic, name in TOPIC_NAMES.items()
        }
        self._operator_stream = LogStream(client, endpoints, OPERATORS_TOPIC)
        self._worker_stream = LogStream(client, endpoints, WORKERS_TOPIC)
        self._status_stream = LogStream(client, endpoints, STATUS_TOPIC)

    def shared_stream(self, topic: Topic) -> Stream:
        """Return one of the streams that all scheduler processes share."""
        return self._shared_streams[topic]

    def operator_stream(self) -> Stream:
        """Return the stream of configuration and waves, which operators write."""
        return self._operator_stream

    def worker_stream(self) -> Stream:
        """Return the stream in which workers report themselves."""
        return self._worker_stream

    async def put_wave_state(self, effect: StoreWaveState) -> bool:
        """Store the state of a wave for operators; return whether it, or a later one, is stored.

        A copy that got no answer may be carried out after the next state was stored. The number of
        a state keeps it from replacing a later one, and the epoch from replacing that of a later
        leader.
        """
        value = {"wave": effect.wave, "state": WAVE_STATES[effect.completed]}
        record = Record(f"wave/{effect.wave}", orjson.dumps(value))
        outcome = await self._status_stream.append(
            (record,),
            f"wave-{effect.wave}",
            effect.epoch,
            effect.number,
            None,
            STATUS_TIMEOUT_MS,
        )
        return outcome.result in (StoreResult.STORED, StoreResult.FENCED)

    def decode_configuration(self, values: dict[str, bytes]) -> Result[Configuration, Failure]:
        """Decode the configuration and the waves."""
        return decode_configuration(values)

    def decode_workers(self, records: tuple[StoredRecord, ...], complete: bool) -> WorkersRead:
        """Decode the entries of workers."""
        return decode_workers(records, complete)
