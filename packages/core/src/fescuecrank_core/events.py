"""Inputs of the reducer."""

import enum

import attrs

from fescuecrank_core.declarations import Resources
from fescuecrank_core.errors import Failure
from fescuecrank_core.messages import Message
from fescuecrank_core.records import LogEntry, Record
from fescuecrank_core.requests import Request


@attrs.frozen
class Event:
    """Base of all events."""


@attrs.frozen
class Tick(Event):
    """Time passed; sent at least every 50 ms."""


@attrs.frozen
class LogRead(Event):
    """Records from the log, in order, starting at the offset asked for.

    `sent_mono_ms` is when the read was sent. `end` is the offset after the newest record that the
    log held when it answered.
    """

    entries: tuple[LogEntry, ...]
    end: int
    sent_mono_ms: int


@attrs.frozen
class LogExpired(Event):
    """The offset asked for has expired; `first` is the oldest one kept."""

    first: int


@attrs.frozen
class LogUnreadable(Event):
    """A read of the log failed."""

    failure: Failure


@attrs.frozen
class AppendDone(Event):
    """The log acknowledged a record; `offset` is where it stands."""

    record_id: str
    offset: int


@attrs.frozen
class AppendFailed(Event):
    """An append failed; with `maybe_stored` the record may still stand in the log."""

    record_id: str
    failure: Failure
    maybe_stored: bool


@attrs.frozen
class PeerMessage(Event):
    """A message from an authenticated peer."""

    sender: str
    message: Message


class InstanceState(enum.StrEnum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Instance:
    """One worker as shown by the platform's list; `address` is `ip:port`."""

    name: str
    address: str
    region: str
    data_centre: str
    rack: str
    capacity: Resources
    connections: int
    state: InstanceState


@attrs.frozen
class InstancesListed(Event):
    """The whole instance list; `as_of_wall_ms` is the time that it describes."""

    instances: tuple[Instance, ...]
    as_of_wall_ms: int


@attrs.frozen
class RequestReceived(Event):
    """A caller's request; `reply_to` is the token that `Reply` effects name.

    `secret` is the key as sent, or empty. The gateway replaces the team in `request.key`. With
    `is_retry` the caller says that it has sent this id before.
    """

    reply_to: str
    secret: str = attrs.field(repr=False)
    request: Request
    is_retry: bool = False


@attrs.frozen
class CancelReceived(Event):
    """A caller cancels the request with this id."""

    reply_to: str
    secret: str = attrs.field(repr=False)
    request_id: str
    service: str


@attrs.frozen
class ResultAsked(Event):
    """A caller asks what became of a request; `explain` asks for the reason it waits."""

    reply_to: str
    secret: str = attrs.field(repr=False)
    request_id: str
    service: str
    explain: bool = False


@attrs.frozen
class CallerGone(Event):
    """The connection that waits for `reply_to` closed; the request goes on."""

    reply_to: str


@attrs.frozen
class PublishAsked(Event):
    """An operator publishes one record; the id in it makes the call idempotent."""

    reply_to: str
    secret: str = attrs.field(repr=False)
    record: Record


@attrs.frozen
class PublicationAsked(Event):
    """An operator asks what became of a record id."""

    reply_to: str
    secret: str = attrs.field(repr=False)
    record_id: str


@attrs.frozen
class StatusAsked(Event):
    """An operator asks for a view: `status`, `config`, `waves` or `why` (with a worker name)."""

    reply_to: str
    secret: str = attrs.field(repr=False)
    view: str
    subject: str = ""


class TaskEnd(enum.StrEnum):
    """How a start command or a status query ended.

    `ANSWERED`: the whole answer is here. `REFUSED`: the worker will never start the task.
    `NOT_SENT`: no byte of the command was written. `LOST`: the task may have started.
    `RUNNING`: a query found it running. `NEVER_SEEN`: a query found no such task, and the worker
    will refuse its id from now on. `STOPPED`: the worker stopped it before its end.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    LOST = "lost"
    RUNNING = "running"
    NEVER_SEEN = "never_seen"
    STOPPED = "stopped"


@attrs.frozen
class TaskReported(Event):
    """Result of a start command or a status query of one task.

    `digest` is the hex SHA-256 that the worker stated for `body`. `draining` tells that the worker
    refused because it is leaving. `endpoint_failed` tells an answer that reports a failed run.
    """

    task_id: str
    worker: str
    end: TaskEnd
    status: int = 0
    body: bytes = b""
    digest: str = ""
    detail: str = ""
    draining: bool = False
    endpoint_failed: bool = False


@attrs.frozen
class TaskUsage:
    """Measured use of one task; `age_ms` is how old the measurement is."""

    task_id: str
    used: Resources
    run_ms: int
    age_ms: int


@attrs.frozen
class WorkerPolled(Event):
    """Answer to a poll that also renewed leases; `reachable` is false if there was none."""

    worker: str
    reachable: bool
    draining: bool = False
    boot_id: str = ""
    running: tuple[str, ...] = ()
    usage: tuple[TaskUsage, ...] = ()


class ControlAction(enum.StrEnum):
    """Commands to a worker other than starting a task."""

    DRAIN = "drain"
    UNDRAIN = "undrain"
    REBOOT = "reboot"


@attrs.frozen
class WorkerControlled(Event):
    """A control command ended; on failure it may still have taken effect."""

    worker: str
    action: ControlAction
    failure: Failure | None


@attrs.frozen
class ShutdownAsked(Event):
    """The process was told to stop."""
