"""Effects: outputs of the reducer, which the daemon carries out."""

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
    """Read the log from offset `first` on.

    The result is a `LogRead`, `LogExpired` or `LogUnreadable` event.
    """

    first: int


@attrs.frozen
class Append(Effect):
    """Append one record to the log; the result is `AppendDone` or `AppendFailed`."""

    record: Record


@attrs.frozen
class ListInstances(Effect):
    """Read the instance list; the result is `InstancesListed`, or no event on failure."""


@attrs.frozen
class SendPeer(Effect):
    """Send a message to a peer by name; delivery is not guaranteed."""

    peer: str
    message: Message


@attrs.frozen
class ConnectPeer(Effect):
    """Connect to a peer and keep the connection up until `DisconnectPeer`."""

    peer: str
    address: str


@attrs.frozen
class DisconnectPeer(Effect):
    """Close the connections to a peer; reconnect if it is still `wanted`."""

    peer: str
    wanted: bool


@attrs.frozen
class Reply(Effect):
    """Send the final answer to a caller's request."""

    reply_to: str
    answer: Answer


@attrs.frozen
class ReplyFailure(Effect):
    """Refuse a call; if the call is a request, it was not run."""

    reply_to: str
    failure: Failure


@attrs.frozen
class ReplyAccepted(Effect):
    """Report to a caller that the request is accepted and has no final answer yet."""

    reply_to: str
    state: str
    explanation: str


@attrs.frozen
class ReplyView(Effect):
    """Answer an operator's query; `view` can be encoded as JSON."""

    reply_to: str
    view: dict


class Verdict(enum.StrEnum):
    """Verdict on a publication."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class ReplyVerdict(Effect):
    """Answer an operator's publication; `offset` is -1 if the record was not found in the log."""

    reply_to: str
    record_id: str
    verdict: Verdict
    offset: int
    detail: str


@attrs.frozen
class StartTask(Effect):
    """Send a request to an endpoint; the result is `TaskReported`.

    `lease_ms` is how long the worker may run the task without a renewal. A command that is not sent
    by the monotonic time `send_before_ms` must not be sent and is reported as `NOT_SENT`: the
    process may have been paused, and another entry may hold the claim by then.
    """

    task: Task
    address: str
    request: Request
    lease_ms: int
    send_before_ms: int


@attrs.frozen
class QueryTask(Effect):
    """Query a task by id over a new connection; the result is `TaskReported`.

    With `forbid`, a worker that does not know the task refuses to start it from then on.
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
    """Throttle, checkpoint or stop a task; the end of the task is reported as `TaskReported`.

    `send_before_ms` has the same meaning as in `StartTask`.
    """

    task: Task
    address: str
    action: TaskAction
    send_before_ms: int


@attrs.frozen
class PollWorker(Effect):
    """Renew the leases of `tasks` and read their usage; the result is `WorkerPolled`."""

    worker: str
    address: str
    fence: int
    tasks: tuple[str, ...]
    lease_ms: int


@attrs.frozen
class ControlWorker(Effect):
    """Drain, undrain or reboot a worker; the result is `WorkerControlled`.

    `send_before_ms` has the same meaning as in `StartTask`.
    """

    worker: str
    address: str
    fence: int
    action: ControlAction
    send_before_ms: int


@attrs.frozen
class Notice(Effect):
    """Write one log line; `fields` holds strings and numbers, never secrets."""

    name: str
    fields: dict


@attrs.frozen
class Observe(Effect):
    """Record one observation in a histogram; `seconds` is a duration."""

    name: str
    seconds: float
    labels: dict


@attrs.frozen
class Exit(Effect):
    """End the process."""
