"""Reads one stream of the store: first the newest record of each key, then the tail.

After a loss of power all entries load the stream at the same time, which takes seconds on a small
machine, while others accept jobs already. What was read is therefore as old as the request of its
first page, not as its arrival.
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

# Longest wait of a read for new records; it bounds the age of a copy that is read continuously.
READ_WAIT_MS = 1_000

READ_RETRY_MS = 150


@attrs.frozen
class Batch:
    """Records read from a stream, and the offset after the last one."""

    records: tuple[StoredRecord, ...]
    next_offset: int
    # Whether the records are the newest of all keys.
    complete: bool
    # Time of our clock as of which nothing that was stored is missing; None if more can be read.
    as_of_ms: int | None


Deliver = Callable[[Batch], None]


class TopicReader:
    """Reads a stream in the background.

    As the pages of the newest records are no snapshot, the tail is read from the end offset of the
    first page: changes made while the pages were read are then delivered again.
    """

    def __init__(
        self,
        name: str,
        stream: Stream,
        clock: Clock,
        deliver: Deliver,
        on_failure: Callable[[str, Failure], None],
    ) -> None:
        self._name = name
        self._stream = stream
        self._clock = clock
        self._deliver = deliver
        self._on_failure = on_failure
        self._next_offset: int | None = None
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
            self._next_offset = None
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
        while loop_number == self._loop_number:
            has_offset = self._next_offset is not None
            try:
                read = await (
                    self._read_tail(loop_number, wait_ms)
                    if has_offset
                    else self._read_newest(loop_number)
                )
            except Exception as exc:  # noqa: BLE001 - without its reader the process is blind
                detail = f"unexpected error: {exc!r}"
                read = Err(Failure(FailureKind.INVALID, "stream.read", self._name, detail))
            if loop_number != self._loop_number:
                return
            if read.is_err():
                self._on_failure(self._name, read.err_value)
                await asyncio.sleep(READ_RETRY_MS / 1_000)
            elif pause_ms:
                await asyncio.sleep(pause_ms / 1_000)

    async def _read_newest(self, loop_number: int) -> Result[Any, Failure]:
        records: list[StoredRecord] = []
        after_key: str | None = None
        end_offset: int | None = None
        sent_ms = self._clock.now().mono_ms
        while True:
            page = await self._stream.read_newest(after_key)
            if page.is_err():
                return page
            records += page.ok_value.records
            end_offset = page.ok_value.end_offset if end_offset is None else end_offset
            if not page.ok_value.has_more or not page.ok_value.records:
                break
            after_key = page.ok_value.records[-1].record.key
        if loop_number == self._loop_number:
            self._next_offset = end_offset
            self._deliver(Batch(tuple(records), end_offset, complete=True, as_of_ms=sent_ms))
        return page

    async def _read_tail(self, loop_number: int, wait_ms: int) -> Result[Any, Failure]:
        assert self._next_offset is not None
        as_of_ms: int | None = self._clock.now().mono_ms
        page = await self._stream.read(self._next_offset, wait_ms)
        if page.is_err() or loop_number != self._loop_number:
            return page
        if isinstance(page.ok_value, OffsetExpired):
            self._next_offset = None
            return page
        records = page.ok_value.records
        if records:
            self._next_offset = records[-1].offset + 1
            if self._next_offset < page.ok_value.end_offset:
                as_of_ms = None
        else:
            # The store responds without records only after the whole wait.
            as_of_ms += wait_ms
        self._deliver(Batch(records, self._next_offset, complete=False, as_of_ms=as_of_ms))
        return page
