"""Outputs of the reducer, carried out by the daemon."""

import enum

import attrs

from fescuecrank_core.errors import Failure
from fescuecrank_core.events import ControlAction
from fescuecrank_core.messages import Message
from fescuecrank_core.records import Record
from fescuecrank_core.requests import Answer, Request, Task


@attrs.frozen
class Effect:
    """Base of all effects."""


@attrs.frozen
class ReadLog(Effect):
    """Read from offset `first` to the end; the answer is `LogRead`, `LogExpired` or
    `LogUnreadable`.
    """

    first: int


@attrs.frozen
class Append(Effect):
    """Append one record; the answer is `AppendDone` or `AppendFailed`."""

    record: Record


@attrs.frozen
class ListInstances(Effect):
    """Read the instance list; the answer is `InstancesListed`, or nothing on failure."""


@attrs.frozen
class SendPeer(Effect):
    """Send a message to a peer by name; it may be lost."""

    peer: str
    message: Message


@attrs.frozen
class ConnectPeer(Effect):
    """Keep a connection to a peer from now on."""

    peer: str
    address: str


@attrs.frozen
class DisconnectPeer(Effect):
    """Close the connections to a peer; a new one is made if the peer is still wanted."""

    peer: str
    wanted: bool


@attrs.frozen
class Reply(Effect):
    """Answer a caller's request."""

    reply_to: str
    answer: Answer


@attrs.frozen
class ReplyFailure(Effect):
    """Refuse a call; for a request it implies that the request was not run."""

    reply_to: str
    failure: Failure


@attrs.frozen
class ReplyAccepted(Effect):
    """Tell a caller that the request is known and has no final answer yet."""

    reply_to: str
    state: str
    explanation: str


@attrs.frozen
class ReplyView(Effect):
    """Answer an operator's query with data that is encodable as JSON."""

    reply_to: str
    view: dict


class Verdict(enum.StrEnum):
    """What became of a publication."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class ReplyVerdict(Effect):
    """Answer an operator's publication; `offset` is -1 if the record is not known to stand."""

    reply_to: str
    record_id: str
    verdict: Verdict
    offset: int
    detail: str


@attrs.frozen
class StartTask(Effect):
    """Send a request to an endpoint; the answer is `TaskReported`.

    `lease_ms` is how long the worker may run the task without a renewal. A command that was not
    sent by the monotonic time `send_before_ms` must not be sent any more and is `NOT_SENT`: the
    process was paused, and the claim may have passed to another entry.
    """

    task: Task
    address: str
    request: Request
    lease_ms: int
    send_before_ms: int


@attrs.frozen
class QueryTask(Effect):
    """Ask for a task by id over a new connection; the answer is `TaskReported`.

    With `forbid` a worker that has not seen the task refuses its id from then on.
    """

    task: Task
    address: str
    forbid: bool


class TaskAction(enum.StrEnum):
    """Commands about a running task."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


@attrs.frozen
class ControlTask(Effect):
    """Throttle, checkpoint or stop a task; its end is reported as `TaskReported`.

    `send_before_ms` as in `StartTask`.
    """

    task: Task
    address: str
    action: TaskAction
    send_before_ms: int


@attrs.frozen
class PollWorker(Effect):
    """Renew the leases of `tasks` and read usage; the answer is `WorkerPolled`."""

    worker: str
    address: str
    fence: int
    tasks: tuple[str, ...]
    lease_ms: int


@attrs.frozen
class ControlWorker(Effect):
    """Drain, undrain or reboot a worker; the answer is `WorkerControlled`.

    `send_before_ms` as in `StartTask`.
    """

    worker: str
    address: str
    fence: int
    action: ControlAction
    send_before_ms: int


@attrs.frozen
class Notice(Effect):
    """One log line; `fields` holds strings and numbers, never keys."""

    name: str
    fields: dict


@attrs.frozen
class Observe(Effect):
    """One observation for a histogram; `seconds` is a duration."""

    name: str
    seconds: float
    labels: dict


@attrs.frozen
class Exit(Effect):
    """The shutdown is complete."""
