"""Request records of one cell, at its holder and at the backups."""

from collections.abc import Iterable, Iterator

import attrs

from fescuecrank_core.ids import uuid7_wall_ms
from fescuecrank_core.requests import RequestKey, RequestRecord, RequestState

# Time for which callers can query the answer of an ended request.
RESULT_RETENTION_MS = 600_000
# Ids without a timestamp are kept longer, since their age is unknown.
OPAQUE_ID_RETENTION_MS = 86_400_000
# Time by which a caller's clock may be ahead.
MAX_CLOCK_LEAD_MS = 5_000


class RecordTable:
    """Records by request key; a record never replaces one with a higher `seq`."""

    def __init__(self) -> None:
        self._records: dict[RequestKey, RequestRecord] = {}
        self._ended_wall_ms: dict[RequestKey, int] = {}

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[RequestRecord]:
        return iter(self._records.values())

    def get(self, key: RequestKey) -> RequestRecord | None:
        """Return the record of a request."""
        return self._records.get(key)

    def put(self, record: RequestRecord) -> bool:
        """Store a record unless a later change is known; return whether it was stored."""
        key = record.request.key
        known = self._records.get(key)
        if known is not None and known.seq > record.seq:
            return False
        self._records[key] = record
        if record.state is RequestState.ENDED:
            self._ended_wall_ms[key] = record.updated_wall_ms
        else:
            self._ended_wall_ms.pop(key, None)
        return True

    def merge(self, records: Iterable[RequestRecord]) -> None:
        """Store all records of a copy."""
        for record in records:
            self.put(record)

    def expire(self, wall_ms: int) -> None:
        """Remove the records, or only the bodies, of requests that ended long enough ago."""
        while self._ended_wall_ms:
            key, ended_ms = next(iter(self._ended_wall_ms.items()))
            if wall_ms - ended_ms <= RESULT_RETENTION_MS:
                return
            del self._ended_wall_ms[key]
            self._expire_record(key, wall_ms)

    def _expire_record(self, key: RequestKey, wall_ms: int) -> None:
        record = self._records[key]
        if uuid7_wall_ms(key.request_id) is not None or record.request.idempotent:
            del self._records[key]
            return
        if wall_ms - record.updated_wall_ms > OPAQUE_ID_RETENTION_MS:
            del self._records[key]
            return
        self._records[key] = _without_bodies(record)
        self._ended_wall_ms[key] = wall_ms


def _without_bodies(record: RequestRecord) -> RequestRecord:
    request = attrs.evolve(record.request, body=b"")
    answer = attrs.evolve(record.answer, body=b"", reason="the answer is no longer kept")
    return attrs.evolve(record, request=request, answer=answer)


def may_have_run_before(request_id: str, records_since_ms: int, wall_ms: int) -> bool:
    """Return whether a request that is not in the table may have run earlier.

    `records_since_ms` is the wall time from which on the table is complete, or 0 if it always was.
    An id without a timestamp may be of any age.
    """
    created_ms = uuid7_wall_ms(request_id)
    if created_ms is None:
        return records_since_ms > wall_ms - OPAQUE_ID_RETENTION_MS
    return created_ms < max(records_since_ms, wall_ms - RESULT_RETENTION_MS) + MAX_CLOCK_LEAD_MS


def has_future_timestamp(request_id: str, wall_ms: int) -> bool:
    """Return whether the timestamp of an id is too far ahead for its age to be known."""
    created_ms = uuid7_wall_ms(request_id)
    return created_ms is not None and created_ms > wall_ms + MAX_CLOCK_LEAD_MS
