"""The store as the scheduler sees it: partitions of keyed records with fenced writers."""

import attrs
from fescuecrank_scheduler.events import StoreResult
from fescuecrank_scheduler.records import Record, StoredRecord

REMEMBERED_APPENDS = 5


@attrs.define
class Producer:
    """What a partition remembers of one writer."""

    epoch: int = -1
    sequence: int | None = None
    answers: dict[int, int] = attrs.field(factory=dict)


@attrs.define
class FakePartition:
    """One partition; `append` is linearizable and all or nothing."""

    records: list[Record] = attrs.field(factory=list)
    first: int = 0
    producers: dict[str, Producer] = attrs.field(factory=dict)

    @property
    def end(self) -> int:
        return len(self.records)

    def append(
        self,
        records: tuple[Record, ...],
        producer: str = "",
        epoch: int = 0,
        sequence: int = 0,
        at: int | None = None,
    ) -> tuple[StoreResult, int]:
        if producer:
            known = self.producers.setdefault(producer, Producer())
            if epoch < known.epoch:
                return StoreResult.FENCED, -1
            if epoch == known.epoch and sequence in known.answers:
                return StoreResult.STORED, known.answers[sequence]
            follows = known.sequence is None or sequence == known.sequence + 1
            if epoch == known.epoch and not follows:
                return StoreResult.FENCED, -1
        if at is not None and at != self.end:
            return StoreResult.CONFLICT, self.end
        offset = self.end
        self.records.extend(records)
        if producer:
            known = self.producers[producer]
            if epoch > known.epoch:
                known.answers.clear()
            known.epoch, known.sequence = epoch, sequence
            known.answers[sequence] = offset
            while len(known.answers) > REMEMBERED_APPENDS:
                del known.answers[min(known.answers)]
        return StoreResult.STORED, offset

    def read(self, first: int) -> tuple[StoredRecord, ...] | None:
        """Return the records from `first` on, or None if they have expired."""
        if first < self.first:
            return None
        tail = self.records[first:]
        return tuple(StoredRecord(first + place, record) for place, record in enumerate(tail))

    def newest(self) -> tuple[StoredRecord, ...]:
        newest: dict[str, StoredRecord] = {}
        for offset, record in enumerate(self.records):
            newest[record.key] = StoredRecord(offset, record)
        return tuple(sorted(newest.values(), key=lambda stored: stored.record.key))
