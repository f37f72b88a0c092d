"""Appends to the store, retried until the outcome is known or no longer matters."""

import asyncio
from collections.abc import Callable
from typing import Any, ClassVar

import attrs
from fescuecrank_core.clock import Clock
from fescuecrank_scheduler.effects import StoreIntake, StoreProgress
from fescuecrank_scheduler.events import (
    Event,
    IntakeStored,
    ProgressStored,
    StoreHealth,
    StoreResult,
)
from fescuecrank_scheduler.records import Record

from fescuecrank_service.interfaces import AppendOutcome, Stream
from fescuecrank_service.log_lines import JsonLineLogger, describe_failure

# Least time-outs of successive attempts. A healthy store responds in a few milliseconds, a slow one
# in some hundreds. A timed-out connection is closed, so the next attempt uses another one.
ATTEMPT_TIMEOUTS_MS = (400, 700, 1_200, 2_000)

# An attempt gets this many times the recent duration of attempts. The store executes the appends of
# all processes one after the other; when it is slow, repeating those that still wait there doubles
# its load, until nothing is stored in time.
DURATION_FACTOR = 3

# Exponential backoff after an attempt that the store refused, or whose connection it closed.
MIN_BACKOFF_MS = 60
MAX_BACKOFF_MS = 500

# Requests are answered before the usual deadline of callers, 3 s. If the store has been fast and
# now does not respond, this process is probably cut off from it, and the caller does better to try
# another one soon; the id makes the repetition harmless.
INTAKE_DEADLINE_MS = 2_500
CUT_OFF_DEADLINE_MS = 1_300
# Refused appends are not retried for longer: a late refusal serves the caller no better than an
# immediate one.
INTAKE_REFUSAL_DEADLINE_MS = 130

# Shortest time-out of an attempt; with less time left, an append is given up.
MIN_ATTEMPT_TIMEOUT_MS = 50

# While appends fail, empty appends are sent with this pause to detect that the store has recovered.
PROBE_PAUSE_MS = 300

# Attempts in the log line of one append; one of the leader is repeated for as long as it takes.
MAX_LOGGED_ATTEMPTS = 12

# Records and bytes in one append of callers' requests. The store limits its size, and a request may
# be as large as a record.
MAX_BATCH_RECORDS = 200
MAX_BATCH_BYTES = 1_000_000


@attrs.define
class AttemptTimeouts:
    """Time-outs of attempts, which follow the recent durations."""

    recent_ms: float = 0.0

    def timeout_ms(self, attempt: int) -> int:
        """Return the time-out of an attempt, counted from 0."""
        least_ms = ATTEMPT_TIMEOUTS_MS[min(attempt, len(ATTEMPT_TIMEOUTS_MS) - 1)]
        wanted_ms = max(least_ms, DURATION_FACTOR * self.recent_ms)
        return int(min(wanted_ms, ATTEMPT_TIMEOUTS_MS[-1]))

    def deadline_ms(self) -> int:
        """Return the time after which an append of callers' requests is given up."""
        expected_ms = DURATION_FACTOR * self.recent_ms + CUT_OFF_DEADLINE_MS
        return int(min(expected_ms, INTAKE_DEADLINE_MS))

    def record(self, duration_ms: int, timed_out: bool) -> None:
        """Record the duration of an attempt; one that timed out would have taken longer."""
        if timed_out:
            self.recent_ms = max(self.recent_ms, duration_ms)
        else:
            self.recent_ms = (self.recent_ms + duration_ms) / 2


@attrs.define
class Backoff:
    """Pauses between the attempts at one append, each twice as long as the one before."""

    pause_ms: int = MIN_BACKOFF_MS

    async def wait(self) -> None:
        """Wait before the next attempt."""
        await self.wait_rest(0)

    async def wait_rest(self, passed_ms: int) -> None:
        """Wait for the part of the pause that the attempt has not taken itself."""
        if passed_ms < self.pause_ms:
            await asyncio.sleep((self.pause_ms - passed_ms) / 1_000)
        self.pause_ms = min(2 * self.pause_ms, MAX_BACKOFF_MS)


@attrs.define
class AttemptLog:
    """Writes the attempts of each append that the store did not simply store.

    The first plain append after such a one is written too: its offset and sequence number show
    whether the store has taken it for a repetition of an earlier one.
    """

    log: JsonLineLogger
    stream: str
    _attempts: list[tuple[str, int | str, int]] = attrs.field(factory=list)
    _unsettled: bool = False

    def record(self, outcome: AppendOutcome, duration_ms: int) -> None:
        """Record the outcome of one attempt."""
        if len(self._attempts) < MAX_LOGGED_ATTEMPTS:
            self._attempts.append((outcome.result.value, outcome.reason, duration_ms))

    def settle(self, result: StoreResult, **fields: Any) -> None:
        """Write the attempts since the last call unless there is nothing to tell."""
        attempts, self._attempts = self._attempts, []
        plain = result is StoreResult.STORED and len(attempts) == 1
        if not plain or self._unsettled:
            fields = {"stream": self.stream, "result": result.value, "attempts": attempts} | fields
            self.log.write("append_settled", fields)
        self._unsettled = not plain


@attrs.frozen
class PendingRecord:
    """A record that waits for an append, and the token of its request."""

    token: int
    record: Record


@attrs.define(eq=False, slots=False)
class Appender:
    """What both appenders share: single attempts, their time-outs and their log lines."""

    # Name of the stream in log lines.
    stream_name: ClassVar[str]

    _stream: Stream
    _producer: str
    _clock: Clock
    _post: Callable[[Event], None]
    _log: JsonLineLogger
    _attempt_log: AttemptLog = attrs.field(init=False)
    _timeouts: AttemptTimeouts = attrs.field(factory=AttemptTimeouts, init=False)
    _task: asyncio.Task[None] | None = attrs.field(default=None, init=False)

    @_attempt_log.default
    def _make_attempt_log(self) -> AttemptLog:
        return AttemptLog(self._log, self.stream_name)

    def close(self) -> None:
        """Stop without waiting for the append in progress."""
        if self._task is not None:
            self._task.cancel()

    async def _send(
        self,
        records: tuple[Record, ...],
        epoch: int,
        sequence: int,
        expected_end_offset: int | None,
        timeout_ms: int,
    ) -> AppendOutcome:
        """Send an append; after an unexpected error it may be stored, so its outcome is unknown."""
        try:
            return await self._stream.append(
                records, self._producer, epoch, sequence, expected_end_offset, timeout_ms
            )
        except Exception as exc:  # noqa: BLE001 - callers wait for an outcome
            self._log.write("append_failed", describe_failure("append", self.stream_name, exc))
            return AppendOutcome(StoreResult.UNKNOWN, reason=type(exc).__name__)

    async def _attempt(
        self,
        records: tuple[Record, ...],
        epoch: int,
        sequence: int,
        expected_end_offset: int | None,
        timeout_ms: int,
    ) -> tuple[AppendOutcome, int]:
        """Make one attempt at an append; return its outcome and how long it took, in ms."""
        sent_ms = self._clock.now().mono_ms
        outcome = await self._send(records, epoch, sequence, expected_end_offset, timeout_ms)
        duration_ms = self._clock.now().mono_ms - sent_ms
        self._timeouts.record(duration_ms, outcome.result is StoreResult.UNKNOWN)
        self._attempt_log.record(outcome, duration_ms)
        return outcome, duration_ms


@attrs.define(eq=False, slots=False)
class IntakeAppender(Appender):
    """Appends the records of callers' requests, in batches of those that arrive together."""

    stream_name = "intake"

    _pending: list[PendingRecord] = attrs.field(factory=list, init=False)
    _epoch: int = attrs.field(default=1, init=False)
    _sequence: int = attrs.field(default=0, init=False)
    # Offset of the latest append that the store has reported as stored.
    _offset: int = attrs.field(default=-1, init=False)
    _failing: bool = attrs.field(default=False, init=False)

    def add(self, effect: StoreIntake) -> None:
        """Queue one record."""
        self._pending.append(PendingRecord(effect.token, effect.record))
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while self._pending or self._failing:
            batch = self._take_batch()
            if batch:
                epoch, sequence = self._epoch, self._sequence
                result = await self._append(tuple(pending.record for pending in batch))
                self._attempt_log.settle(
                    result, records=len(batch), epoch=epoch, sequence=sequence, offset=self._offset
                )
                for pending in batch:
                    self._post(IntakeStored(pending.token, result))
                if result is not StoreResult.STORED:
                    self._release_waiting()
            else:
                await self._probe()

    def _take_batch(self) -> list[PendingRecord]:
        """Take the records of the next append off the queue, at least one if there is any."""
        count, size = 0, 0
        for pending in self._pending[:MAX_BATCH_RECORDS]:
            size += len(pending.record.key) + len(pending.record.value)
            if count and size > MAX_BATCH_BYTES:
                break
            count += 1
        batch, self._pending = self._pending[:count], self._pending[count:]
        return batch

    async def _append(self, records: tuple[Record, ...]) -> StoreResult:
        started_ms = self._clock.now().mono_ms
        deadline_ms = self._timeouts.deadline_ms()
        may_be_stored, attempt, backoff = False, 0, Backoff()
        while True:
            elapsed_ms = self._clock.now().mono_ms - started_ms
            timeout_ms = min(self._timeouts.timeout_ms(attempt), deadline_ms - elapsed_ms)
            outcome, duration_ms = await self._attempt(
                records,
                self._epoch,
                self._sequence,
                None,
                max(timeout_ms, MIN_ATTEMPT_TIMEOUT_MS),
            )
            attempt += 1
            elapsed_ms = self._clock.now().mono_ms - started_ms
            match outcome.result:
                case StoreResult.STORED:
                    self._sequence, self._offset = self._sequence + 1, outcome.offset
                    self._set_failing(failing=False)
                    return StoreResult.STORED
                case StoreResult.REFUSED if (
                    not may_be_stored and elapsed_ms >= INTAKE_REFUSAL_DEADLINE_MS
                ):
                    self._set_failing(failing=True)
                    self._start_epoch()
                    return StoreResult.REFUSED
                case StoreResult.REFUSED:
                    await backoff.wait()
                case StoreResult.UNKNOWN:
                    may_be_stored = True
                    if attempt > 1:
                        self._set_failing(failing=True)
                        await backoff.wait_rest(duration_ms)
                case _:
                    # Another incarnation of this process has used the sequence numbers.
                    self._start_epoch()
            if elapsed_ms >= deadline_ms - MIN_ATTEMPT_TIMEOUT_MS:
                self._set_failing(failing=True)
                self._start_epoch()
                return StoreResult.UNKNOWN if may_be_stored else StoreResult.REFUSED

    def _start_epoch(self) -> None:
        """Use a new epoch, so that a number belongs to one set of records only.

        It fences off attempts that the store may still execute.
        """
        self._epoch, self._sequence = self._epoch + 1, 0

    async def _probe(self) -> None:
        timeout_ms = self._timeouts.timeout_ms(0)
        outcome = await self._send((), self._epoch, self._sequence, None, timeout_ms)
        if outcome.result is StoreResult.STORED:
            self._set_failing(failing=False)
        else:
            await asyncio.sleep(PROBE_PAUSE_MS / 1_000)

    def _set_failing(self, failing: bool) -> None:
        if failing != self._failing:
            self._failing = failing
            self._post(StoreHealth(failing))
            if failing:
                self._release_waiting()

    def _release_waiting(self) -> None:
        """Report the requests that wait for their turn as refused; nothing of them was sent.

        Behind an append that takes until its deadline they would exceed their own.
        """
        waiting, self._pending = self._pending, []
        for pending in waiting:
            self._post(IntakeStored(pending.token, StoreResult.REFUSED))


@attrs.define(eq=False, slots=False)
class ProgressAppender(Appender):
    """Appends the leader's records; retries an append until the store states its outcome."""

    stream_name = "progress"

    _generation: int = attrs.field(default=0, init=False)

    def append(self, effect: StoreProgress) -> None:
        """Start an append; one of an earlier leadership that is still in progress is abandoned."""
        self.stop()
        self._task = asyncio.get_running_loop().create_task(self._run(self._generation, effect))

    def stop(self) -> None:
        """Abandon the append in progress: it is neither retried nor reported."""
        self._generation += 1

    async def _run(self, generation: int, effect: StoreProgress) -> None:
        attempt, backoff = 0, Backoff()
        while True:
            outcome, duration_ms = await self._attempt(
                effect.records,
                effect.epoch,
                effect.sequence,
                effect.expected_end,
                self._timeouts.timeout_ms(attempt),
            )
            attempt += 1
            if generation != self._generation:
                return
            if outcome.result is StoreResult.REFUSED:
                await backoff.wait()
            elif outcome.result is not StoreResult.UNKNOWN:
                break
            elif attempt > 1:
                await backoff.wait_rest(duration_ms)
        self._attempt_log.settle(
            outcome.result,
            records=len(effect.records),
            epoch=effect.epoch,
            sequence=effect.sequence,
            offset=outcome.offset,
        )
        self._post(ProgressStored(effect.epoch, effect.sequence, outcome.result, outcome.offset))
