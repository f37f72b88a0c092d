"""Stand-in for the platform's log service."""

import asyncio
import time

import attrs
import cbor2

from fescuecrank_standin.server import StandIn, StandInHandler


@attrs.frozen
class StoredRecord:
    """A record in the log; `stored_ms` is monotonic time."""

    offset: int
    record_id: str
    body: bytes
    stored_ms: int


@attrs.define
class LogFaults:
    """Injected faults; a counter is decremented each time its fault is injected."""

    down: bool = False
    slow_ms: int = 0
    lost_answers: int = 0


class LogStandIn(StandIn):
    """Append-only log with offsets and optional retention limits.

    It does not compare record ids, so a repeated append is stored twice.
    """

    def __init__(self, retain_records: int | None = None, retain_ms: int | None = None) -> None:
        super().__init__()
        self.faults = LogFaults()
        self.retain_records = retain_records
        self.retain_ms = retain_ms
        self.append_count = 0
        self._records: list[StoredRecord] = []
        self._end = 0
        self._appended = asyncio.Event()

    def routes(self) -> list[tuple]:
        """Return the routes for tornado."""
        return [(r"/records", _RecordsHandler, {"log": self})]

    @property
    def first(self) -> int:
        """The oldest offset that is kept, or `end` if the log is empty."""
        return self._records[0].offset if self._records else self._end

    @property
    def end(self) -> int:
        """The offset that the next record gets."""
        return self._end

    def append(self, record_id: str, body: bytes) -> int:
        """Store a record and return its offset."""
        offset = self._end
        self._records.append(StoredRecord(offset, record_id, body, _now_ms()))
        self._end += 1
        self.append_count += 1
        self.expire()
        self._appended.set()
        self._appended = asyncio.Event()
        return offset

    def stored_ms(self, offset: int) -> int:
        """Return the monotonic time at which a record was stored; it must still be kept."""
        return self._records[offset - self.first].stored_ms

    def expire(self) -> None:
        """Drop the records that exceed the retention limits."""
        if self.retain_records is not None:
            del self._records[: max(0, len(self._records) - self.retain_records)]
        if self.retain_ms is not None:
            oldest_ms = _now_ms() - self.retain_ms
            self._records = [rec for rec in self._records if rec.stored_ms >= oldest_ms]

    async def read(self, first: int, wait_ms: int, limit: int) -> list[StoredRecord] | None:
        """Return up to `limit` records from `first` on, or None if that offset has expired.

        At the end of the log, wait up to `wait_ms` for the next record.
        """
        if first >= self._end and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1_000):
                    await self._appended.wait()
            except TimeoutError:
                return []
        self.expire()
        if first < self.first:
            return None
        start = first - self.first
        return self._records[start : start + limit]


class _RecordsHandler(StandInHandler):
    def initialize(self, log: LogStandIn) -> None:
        self.log = log

    async def prepare(self) -> None:
        if self.log.faults.slow_ms:
            await asyncio.sleep(self.log.faults.slow_ms / 1_000)
        if self.log.faults.down:
            self.drop_connection()

    def post(self) -> None:
        record_id = self.request.headers.get("Record-Id", "")
        if not record_id:
            self.send_json(400, {"detail": "Record-Id is missing"})
            return
        offset = self.log.append(record_id, self.request.body)
        if self.log.faults.lost_answers > 0:
            self.log.faults.lost_answers -= 1
            self.drop_connection()
            return
        answer = {"record_id": record_id, "offset": offset, "end": self.log.end}
        self.send_json(200, answer)

    async def get(self) -> None:
        first = int(self.get_query_argument("first"))
        wait_ms = int(self.get_query_argument("wait_ms", "0"))
        limit = int(self.get_query_argument("limit", "1000"))
        records = await self.log.read(first, wait_ms, limit)
        if self.log.faults.down:
            self.drop_connection()
            return
        self.set_header("Content-Type", "application/cbor")
        if records is None:
            self.set_status(410)
            self.finish(cbor2.dumps({"first": self.log.first, "end": self.log.end}))
            return
        items = [{"offset": r.offset, "record_id": r.record_id, "body": r.body} for r in records]
        self.finish(cbor2.dumps({"records": items, "end": self.log.end}))


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
