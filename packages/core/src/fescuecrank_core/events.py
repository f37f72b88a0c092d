"""Events: inputs of the reducer."""

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
    """Periodic tick, sent at least every 50 ms."""


@attrs.frozen
class LogRead(Event):
    """Records from the log, in order, from the requested offset on.

    `sent_mono_ms` is when the read was sent. `end` is the offset after the newest record in the log
    at the time of its answer.
    """

    entries: tuple[LogEntry, ...]
    end: int
    sent_mono_ms: int


@attrs.frozen
class LogExpired(Event):
    """The requested offset has expired; `first` is the oldest offset that the log keeps."""

    first: int


@attrs.frozen
class LogUnreadable(Event):
    """A read of the log failed."""

    failure: Failure


@attrs.frozen
class AppendDone(Event):
    """The log has stored a record at `offset`."""

    record_id: str
    offset: int


@attrs.frozen
class AppendFailed(Event):
    """An append failed; if `maybe_stored`, the record may nevertheless be in the log."""

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
    """One worker in the platform's instance list; `address` is `ip:port`."""

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
    """The complete instance list as of `as_of_wall_ms`."""

    instances: tuple[Instance, ...]
    as_of_wall_ms: int


@attrs.frozen
class RequestReceived(Event):
    """A caller's request; effects that answer it carry the token `reply_to`.

    `secret` is the key that the caller sent, or empty. The gateway sets the team in `request.key`.
    `is_retry` is set if the caller states that it has sent this id before.
    """

    reply_to: str
    secret: str = attrs.field(repr=False)
    request: Request
    is_retry: bool = False


@attrs.frozen
class CancelReceived(Event):
    """A caller cancels a request."""

    reply_to: str
    secret: str = attrs.field(repr=False)
    request_id: str
    service: str


@attrs.frozen
class ResultAsked(Event):
    """A caller queries the result of a request; `explain` adds the reason why it waits."""

    reply_to: str
    secret: str = attrs.field(repr=False)
    request_id: str
    service: str
    explain: bool = False


@attrs.frozen
class CallerGone(Event):
    """The connection that waits for `reply_to` has closed; the request continues."""

    reply_to: str


@attrs.frozen
class PublishAsked(Event):
    """An operator publishes one record; its record id makes the call idempotent."""

    reply_to: str
    secret: str = attrs.field(repr=False)
    record: Record


@attrs.frozen
class PublicationAsked(Event):
    """An operator queries the verdict on a record id."""

    reply_to: str
    secret: str = attrs.field(repr=False)
    record_id: str


@attrs.frozen
class StatusAsked(Event):
    """An operator queries a view: `status`, `config`, `waves`, or `why` for a worker."""

    reply_to: str
    secret: str = attrs.field(repr=False)
    view: str
    subject: str = ""


class TaskEnd(enum.StrEnum):
    """Result of a start command or a status query.

    `ANSWERED`: the complete answer was received. `REFUSED`: the worker will never start the task.
    `NOT_SENT`: no byte of the command was written. `LOST`: no answer; the task may have started.
    `RUNNING`: the task is running. `NEVER_SEEN`: the worker does not know the task and will refuse
    its id from now on. `STOPPED`: the worker stopped the task before it was complete.
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

    `digest` is the hex SHA-256 that the worker sent for `body`. `draining` is true if the worker
    refused because it is leaving. `endpoint_failed` is true if the answer reports a failed run.
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
    """Measured resource usage of one task; `age_ms` is the age of the measurement."""

    task_id: str
    used: Resources
    run_ms: int
    age_ms: int


@attrs.frozen
class WorkerPolled(Event):
    """Answer to a poll, which also renews leases; `reachable` is false if there was no answer."""

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
    """Result of a control command; after a failure it may still have taken effect."""

    worker: str
    action: ControlAction
    failure: Failure | None


@attrs.frozen
class ShutdownAsked(Event):
    """Request for a planned stop of the process."""
