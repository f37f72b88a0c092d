"""Reads one stream of the store: first the newest record of each key, then the tail.

After a loss of power all entries load the stream at the same time, which takes seconds on a small
machine, while others accept jobs already. What was read is therefore as old as the request of its
first page, not as its arrival.

A read that is repeated whole after each failure never gets ahead where a link carries less within
the time-out than has been missed. What has arrived is therefore kept, pages are as small as the
link needs, and a read lasts for as long as more of it arrives.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
from fescuecrank_core.clock import Clock
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_scheduler.records import StoredRecord
from result import Err, Result

from fescuecrank_service.interfaces import OffsetExpired, Stream
from fescuecrank_service.read_pace import (
    MAX_CONFIG_RETRY_MS,
    MAX_PAGE_KB,
    MAX_RETRY_MS,
    PageSize,
    ReadOrder,
    RetryPause,
)

# Longest wait of a read for new records; it bounds the age of a copy that is read continuously.
READ_WAIT_MS = 1_000

# Stands for what is no text in a key of another writer.
REPLACEMENT_CHARACTER = "\ufffd"

# A stream of which only the newest value of each key counts is read by key if more records than
# this are missing: the tail has every version that was replaced, and each one is whole.
MAX_REPLACED_RECORDS = 2


@attrs.frozen
class Batch:
    """Records read from a stream, and the offset after the last one."""

    records: tuple[StoredRecord, ...]
    next_offset: int
    # Whether the records are the newest of all keys.
    complete: bool
    # Time of our clock as of which nothing that was stored is missing; None if more can be read.
    as_of_ms: int | None


@attrs.frozen
class Reading:
    """A read that has received `received` bytes, from `offset` on or of the newest records."""

    stream: str
    # Number of the read; those of one stream differ.
    number: int
    received: int
    offset: int | None
    # Records that arrived with the pages before.
    records: int


@attrs.define
class _NewestRead:
    """The pages of the newest records that have been read so far."""

    sent_ms: int
    records: list[StoredRecord] = attrs.field(factory=list)
    end_offset: int | None = None

    # Keys after which pages were asked for.
    asked_keys: set[str | None] = attrs.field(factory=set)

    def next_key(self) -> str | None:
        """Return the last key that has been read; None if there is none.

        A key that was no text has replaced characters, with which the store does not know it.
        """
        keys = (stored.record.key for stored in reversed(self.records))
        return next((key for key in keys if REPLACEMENT_CHARACTER not in key), None)


Deliver = Callable[[Batch], None]


class TopicReader:
    """Reads a stream in the background.

    As the pages of the newest records are no snapshot, the tail is read from the end offset of the
    first page: changes made while the pages were read are then delivered again.

    Of the readers that share `order`, the one with `goes_first` reads before the others.
    """

    def __init__(
        self,
        name: str,
        stream: Stream,
        clock: Clock,
        deliver: Deliver,
        on_failure: Callable[[str, Failure], None],
        on_success: Callable[[str], None] = lambda _: None,
        on_reading: Callable[[Reading], None] = lambda _: None,
        order: ReadOrder | None = None,
        goes_first: bool = False,
        newest_only: bool = False,
    ) -> None:
        self._name = name
        self._stream = stream
        self._clock = clock
        self._deliver = deliver
        self._on_failure = on_failure
        self._on_success = on_success
        self._on_reading = on_reading
        self._order = order
        self._goes_first = goes_first
        # Whether only the newest value of each key counts.
        self._newest_only = newest_only
        self._next_offset: int | None = None
        self._newest: _NewestRead | None = None
        self._page_size = PageSize()
        self._pause = RetryPause(MAX_CONFIG_RETRY_MS if goes_first else MAX_RETRY_MS)
        # Whether the last read failed. The next one asks the store not to wait for new records, so
        # that it shows at once whether the stream can be read again.
        self._failing = False
        # Whether more records can be read at once.
        self._behind = False
        # Number of the current read, and the bytes of its response that have arrived.
        self._read_number = 0
        self._received = 0
        self._task: asyncio.Task[None] | None = None
        # Identifies the newest read loop. Older loops deliver nothing; a read that they still wait
        # for ends by its time-out.
        self._loop_number = 0
        # Pause between reads (None: no reads) and longest wait of a read.
        self._polling: tuple[int | None, int] | None = None

    def set_polling(self, pause_ms: int | None, wait_ms: int, reload: bool = False) -> None:
        """Read with a pause of `pause_ms` between reads, or not at all if it is None.

        With `reload`, the newest record of each key is read again.
        """
        if reload:
            self._next_offset = self._newest = None
        if self._polling == (pause_ms, wait_ms) and not reload:
            return
        self._polling = (pause_ms, wait_ms)
        self._loop_number += 1
        if pause_ms is not None:
            self._task = asyncio.get_running_loop().create_task(
                self._run(self._loop_number, pause_ms, wait_ms)
            )

    def close(self) -> None:
        """Stop reading without waiting for the read in progress."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self, loop_number: int, pause_ms: int, wait_ms: int) -> None:
        if self._goes_first and self._order is not None and self._next_offset is None:
            self._order.hold()
        while loop_number == self._loop_number:
            if self._order is not None and not self._goes_first:
                await self._order.wait()
                if loop_number != self._loop_number:
                    return
            self._read_number += 1
            self._received = 0
            try:
                read = await (
                    self._read_newest(loop_number)
                    if self._next_offset is None
                    else self._read_tail(loop_number, 0 if self._failing else wait_ms)
                )
            except Exception as exc:  # noqa: BLE001 - without its reader the process is blind
                detail = f"unexpected error: {exc!r}"
                read = Err(Failure(FailureKind.INVALID, "stream.read", self._name, detail))
            if loop_number != self._loop_number:
                return
            self._failing = read.is_err()
            if self._goes_first and self._order is not None and (self._failing or not self._behind):
                self._order.release()
            if read.is_err():
                self._page_size.record_failure(self._received)
                self._on_failure(self._name, read.err_value)
                throttled = read.err_value.kind is FailureKind.OVERLOADED
                await asyncio.sleep(self._pause.next_ms(throttled) / 1_000)
                continue
            self._on_success(self._name)
            self._pause.reset()
            if pause_ms and not self._behind:
                await asyncio.sleep(pause_ms / 1_000)

    def _on_progress(self, received: int) -> None:
        if received < self._received:
            self._read_number += 1
        self._received = received
        if self._goes_first and self._order is not None:
            self._order.hold()
        records = len(self._newest.records) if self._newest is not None else 0
        self._on_reading(
            Reading(self._name, self._read_number, received, self._next_offset, records)
        )

    async def _read_newest(self, loop_number: int) -> Result[Any, Failure]:
        """Read the pages of the newest records, from the last page on that an earlier call read."""
        if self._newest is None:
            self._newest = _NewestRead(self._clock.now().mono_ms)
        newest = self._newest
        while True:
            after_key = newest.next_key()
            page = await self._stream.read_newest(after_key, self._on_progress)
            if page.is_err() or loop_number != self._loop_number:
                return page
            if newest.end_offset is None:
                newest.end_offset = page.ok_value.end_offset
            newest.records += page.ok_value.records
            if not page.ok_value.has_more or not page.ok_value.records:
                break
            if after_key in newest.asked_keys:
                self._newest = None
                detail = f"the page after key {after_key!r} was read twice"
                return Err(Failure(FailureKind.INVALID, "stream.read", self._name, detail))
            newest.asked_keys.add(after_key)
        self._newest = None
        self._next_offset = newest.end_offset
        self._behind = page.ok_value.end_offset > newest.end_offset
        self._deliver(
            Batch(tuple(newest.records), newest.end_offset, complete=True, as_of_ms=newest.sent_ms)
        )
        return page

    async def _read_tail(self, loop_number: int, wait_ms: int) -> Result[Any, Failure]:
        assert self._next_offset is not None
        as_of_ms: int | None = self._clock.now().mono_ms
        max_kb = self._page_size.kb
        outcome = await self._stream.read(self._next_offset, wait_ms, max_kb, self._on_progress)
        if outcome.is_err() or loop_number != self._loop_number:
            return outcome
        page = outcome.ok_value
        if isinstance(page, OffsetExpired):
            self._next_offset = None
            self._behind = False
            return outcome
        if page.records:
            self._pause.reset()
            self._next_offset = page.records[-1].offset + 1
        missing = page.end_offset - self._next_offset
        self._behind = missing > 0
        if page.failure is None:
            self._page_size.record(page.transfer_ms, len(page.records), self._behind)
        if self._behind or page.sent_before:
            as_of_ms = None
        elif not page.records:
            # The store responds without records only after the whole wait.
            as_of_ms += wait_ms
        self._deliver(Batch(page.records, self._next_offset, complete=False, as_of_ms=as_of_ms))
        if self._behind and not page.records and max_kb == MAX_PAGE_KB:
            # No page is large enough for the next record; reading by key gets past it.
            self._next_offset = None
            detail = f"a page without records, though {missing} follow"
            return Err(Failure(FailureKind.INVALID, "stream.read", self._name, detail))
        if self._newest_only and missing > MAX_REPLACED_RECORDS:
            self._next_offset = None
        return outcome if page.failure is None else Err(page.failure)
