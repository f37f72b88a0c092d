"""Inputs of the reducer.

Fields named `*_ms` are readings of this process's monotonic clock unless stated otherwise.
"""

import enum
from typing import Any

import attrs

from fescuecrank_scheduler.fleet import FleetConfig, Resources, Wave
from fescuecrank_scheduler.jobs import Job, TaskId
from fescuecrank_scheduler.records import StoredRecord


@attrs.frozen
class Event:
    """Base of all events."""


@attrs.frozen
class Tick(Event):
    """Periodic timer."""


@attrs.frozen
class Wake(Event):
    """Timer for work that was deferred, set from `Scheduler.next_wake_ms`."""


@attrs.frozen
class ShutDown(Event):
    """Request to stop the process gracefully."""


@attrs.frozen
class ConfigRead(Event):
    """The newest configuration and maintenance waves that operators published."""

    config: FleetConfig
    waves: tuple[Wave, ...]


class Topic(enum.StrEnum):
    """Streams of records that all scheduler processes share."""

    INTAKE = "intake"
    PROGRESS = "progress"


@attrs.frozen
class RecordsRead(Event):
    """Records read from one stream; `end` is the offset after its last record.

    `as_of_ms` is the time of our clock as of which the stream has been read whole; None if records
    stored before are missing. `whole` says that these are the newest records of all keys: one that
    was known before and is not among them has been deleted.
    """

    topic: Topic
    records: tuple[StoredRecord, ...]
    end: int
    as_of_ms: int | None
    whole: bool = False


@attrs.frozen
class ReadFailed(Event):
    """A read of one stream got no usable response; it is retried."""

    topic: Topic


@attrs.frozen
class WorkerEntry:
    """A worker's own entry in the list of workers."""

    id: str
    address: str
    pool: str
    zone: str
    ready: bool
    capacity: Resources
    labels: tuple[str, ...]
    machine: str = ""
    # Start of this incarnation of the worker in Unix milliseconds; 0 if unknown.
    started_ms: int = 0
    # Reading of the worker's monotonic clock; None if unknown.
    clock_ms: int | None = None
    # Time left until a draining worker shuts down.
    remaining_ms: int | None = None


@attrs.frozen
class RejectedEntry:
    """An entry that cannot be used; `field` is empty if it cannot be read at all."""

    key: str
    offset: int
    field: str
    reason: str


@attrs.frozen
class WorkersRead(Event):
    """Changes of the list of workers; with `whole`, `entries` is the complete list."""

    entries: tuple[WorkerEntry, ...]
    removed: tuple[str, ...] = ()
    whole: bool = False
    rejected: tuple[RejectedEntry, ...] = ()


class CallResult(enum.StrEnum):
    """Result of a call to a worker."""

    OK = "ok"
    # The worker has been called with a higher fencing token: by a newer leader, or by this one
    # since the worker restarted.
    FENCED = "fenced"
    # A run of the task with the same or a higher number has been stopped or has ended there.
    OLD = "old"
    # The lease deadline has passed on the worker's clock.
    LATE = "late"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    # The worker is unhealthy and did not carry out the call.
    UNHEALTHY = "unhealthy"
    # The address belongs to another incarnation of the worker, or to another worker.
    OTHER_INCARNATION = "other_life"
    # The connection was refused.
    REFUSED = "refused"
    # The call may have been carried out, or may still be.
    NO_ANSWER = "no_answer"
    INVALID = "invalid"


@attrs.frozen
class RunRow:
    """One run that is running on a worker."""

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    # Tail latency in ms for a task with a latency target, else CPU in use; None if not reported.
    measurement: float | None = None


@attrs.frozen
class EndRow:
    """One run that ended on a worker.

    `number` counts the ended runs of the worker. `end_reason` is `done`, `failed`, `stopped` or
    `lapsed`, whatever the platform.
    """

    number: int
    task: TaskId
    run: int
    end_reason: str
    checkpoint: str


@attrs.frozen
class HoldReply:
    """State that a worker reports in its answer to a hold."""

    clock_ms: int
    started_ms: int
    running: tuple[RunRow, ...]
    ended: tuple[EndRow, ...]
    # Whether further ends are left out, as an answer lists a limited number.
    truncated: bool = False


@attrs.frozen
class HoldDone(Event):
    """Answer to `HoldWorker`."""

    worker: str
    number: int
    result: CallResult
    reply: HoldReply | None = None
    # Why the answer cannot be used, if it was read.
    problem: str = ""


@attrs.frozen
class ClockReading:
    """Reading of a worker's clock in its answer to a call that was sent at `sent_ms`."""

    clock_ms: int
    sent_ms: int


@attrs.frozen
class StartDone(Event):
    """Answer to `StartRun`; `token` is that of the call."""

    worker: str
    task: TaskId
    run: int
    result: CallResult
    token: int = 0
    clock: ClockReading | None = None


@attrs.frozen
class StopDone(Event):
    """Answer to `StopRun`; `token` is that of the call."""

    worker: str
    task: TaskId
    run: int
    result: CallResult
    token: int = 0
    clock: ClockReading | None = None


@attrs.frozen
class PaceDone(Event):
    """Answer to `PaceRun`; `token` is that of the call."""

    worker: str
    task: TaskId
    percent: int
    result: CallResult
    token: int = 0
    clock: ClockReading | None = None


class StoreResult(enum.StrEnum):
    """Result of an append to the store."""

    STORED = "stored"
    # The store states that it did not append.
    REFUSED = "refused"
    # The append may have been stored, or may still be.
    UNKNOWN = "unknown"
    # A writer with a newer epoch has appended.
    FENCED = "fenced"
    # The condition of the append did not hold.
    CONFLICT = "conflict"


@attrs.frozen
class StoreHealth(Event):
    """Whether appends of this process are failing."""

    failing: bool


@attrs.frozen
class IntakeStored(Event):
    """Answer to `StoreIntake`."""

    token: int
    result: StoreResult


@attrs.frozen
class ProgressStored(Event):
    """Answer to `StoreProgress`; `offset` is that of the first record."""

    epoch: int
    sequence: int
    result: StoreResult
    offset: int = -1


@attrs.frozen
class Advised(Event):
    """Answer to `Advise`: ticket by worker; `tickets` is None if the service did not answer."""

    job: str
    occurrence: int
    step: int
    workers: tuple[str, ...]
    tickets: dict[str, str] | None
    validity_ms: int = 0


@attrs.frozen
class MachineRow:
    """One machine as the platform lists it."""

    machine: str
    pool: str
    # `up`, `moving`, `upkeep` or `down`.
    state: str
    worker: str
    capacity: Resources
    # Hardware kind of the machine, then its rack.
    labels: tuple[str, ...] = ()

    @property
    def kind(self) -> tuple[Resources, str]:
        """Capacity and hardware kind; machines that share both are interchangeable."""
        return (self.capacity, self.labels[0] if self.labels else "")


@attrs.frozen
class MachinesListed(Event):
    """Answer to `ListMachines`; None if the list could not be read."""

    machines: tuple[MachineRow, ...] | None
    sent_ms: int


class OrderResult(enum.StrEnum):
    """Result of an order to move or maintain a machine."""

    OK = "ok"
    FENCED = "fenced"
    BUSY = "busy"
    # The machine is not part of the wave, or is not allowed in the pool.
    REJECTED = "rejected"
    # The order may have been carried out.
    NO_ANSWER = "no_answer"
    THROTTLED = "throttled"


@attrs.frozen
class MachineOrderDone(Event):
    """Answer to `MoveMachine` or `MaintainMachine`; `wave` is None for a move."""

    machine: str
    wave: int | None
    result: OrderResult


@attrs.frozen
class Request(Event):
    """Base of callers' requests.

    `token` ties the reply to the request; `key` is the API key presented, or None.
    """

    token: int
    host: str
    path: str
    # Not in the representation, which is logged when an event fails.
    key: str | None = attrs.field(repr=False)
    # Whether another process has passed it on.
    forwarded: bool = attrs.field(default=False, kw_only=True)


@attrs.frozen
class Submit(Request):
    """Submit a job.

    The queue and the team of `job` are not filled in yet. If the body could not be parsed, `job`
    is None and `problem` says why.
    """

    job: Job | None
    problem: str = ""


@attrs.frozen
class Lookup(Request):
    """Query the state of a job, or the number of queued jobs of a queue."""


@attrs.frozen
class Cancel(Request):
    """Cancel a job."""


@attrs.frozen
class PeerAnswer:
    """Answer of another process to a request that was passed on to it."""

    status: int
    body: dict[str, Any]
    retry_after_ms: int | None


@attrs.frozen
class Forwarded(Event):
    """Outcome of `ForwardRequest`.

    Without an answer, `sent` says whether the other process may have carried the request out.
    """

    token: int
    answer: PeerAnswer | None
    sent: bool
