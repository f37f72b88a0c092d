"""Messages between entries."""

import attrs

from fescuecrank_core.records import LogEntry
from fescuecrank_core.requests import Answer, Request, RequestKey, RequestRecord


@attrs.frozen
class Message:
    """Base of all peer messages."""


@attrs.frozen
class Heartbeat(Message):
    """Sent to every known peer at a fixed interval.

    `applied` is the offset of the next record that the sender will fold. `read_age_ms` is the time
    since its last complete read of the log was sent, or -1 if there was no recent one. `stamp_ms`
    is the sender's monotonic clock. `echo_ms` is the newest stamp that the sender received from the
    receiver, which gives the receiver an upper bound on the age of the message, whatever its delay.
    `echo_incarnation` is the incarnation of the receiver that made this stamp.
    """

    name: str
    incarnation: int
    region: str
    data_centre: str
    peer_address: str
    applied: int
    read_age_ms: int
    ready: bool
    draining: bool
    stamp_ms: int
    echo_ms: int
    echo_incarnation: int


@attrs.frozen
class RecordsRequest(Message):
    """Request for the records from offset `first` on, by an entry that cannot read the log."""

    first: int


@attrs.frozen
class RecordsRelay(Message):
    """Consecutive log records that the sender read from the log."""

    entries: tuple[LogEntry, ...]


@attrs.frozen
class LedgerRequest(Message):
    """Request for a copy of the whole ledger, by an entry that starts or whose records expired."""


@attrs.frozen
class LedgerCopy(Message):
    """Copy of the sender's whole ledger; `applied` is the offset of the next record to fold."""

    applied: int
    state: bytes


@attrs.frozen
class Forward(Message):
    """A request, sent to the holder of its cell and resent with the same key until answered.

    `submission` identifies one call of a caller, so that a late copy of a refused call is refused
    as well. With `is_retry` the caller has sent the same id before, and another copy may still be
    in transit.
    """

    request: Request
    submission: str
    is_retry: bool = False


@attrs.frozen
class ForwardAnswer(Message):
    """The final answer to a forwarded request."""

    answer: Answer


@attrs.frozen
class ForwardAccepted(Message):
    """Acknowledgement: the holder of `epoch` has stored the request and will answer it."""

    key: RequestKey
    epoch: int


@attrs.frozen
class CancelRequest(Message):
    """Cancellation by a caller; resent until answered by `CancelNoted`."""

    key: RequestKey
    service: str


@attrs.frozen
class CancelNoted(Message):
    """Acknowledgement that the holder has received a cancellation and carries it out."""

    key: RequestKey


@attrs.frozen
class ResultRequest(Message):
    """Query for the state of a request; answered by `ResultReply`."""

    key: RequestKey
    service: str
    query_id: str


@attrs.frozen
class ResultReply(Message):
    """State of a request at the holder: its final answer, or its state and why it waits."""

    query_id: str
    known: bool
    state: str
    explanation: str
    answer: Answer | None


@attrs.frozen
class Replicate(Message):
    """One changed request record, sent to a backup of the scope."""

    scope: str
    epoch: int
    record: RequestRecord


@attrs.frozen
class ReplicateAck(Message):
    """Acknowledgement that a backup has stored a request record."""

    scope: str
    epoch: int
    key: RequestKey
    seq: int


@attrs.frozen
class TableRequest(Message):
    """Request by the new holder of a scope for the request records that a peer keeps for it."""

    scope: str
    epoch: int


@attrs.frozen
class TableOffer(Message):
    """One part of a full copy of the request records, sent to a peer that becomes a backup.

    `copy_id` identifies the copy that the part belongs to; the copy has `parts` parts.
    """

    scope: str
    epoch: int
    copy_id: int
    part: int
    parts: int
    records: tuple[RequestRecord, ...]


@attrs.frozen
class TableStored(Message):
    """Acknowledgement that a peer has stored the full copy for a scope."""

    scope: str
    epoch: int


@attrs.frozen
class TableCopy(Message):
    """One part of the request records that the sender keeps for a scope.

    `source_epoch` is the epoch of the sender's full copy, or -1 if it has none. `copy_id`
    identifies the copy that the part belongs to; the copy has `parts` parts.
    """

    scope: str
    epoch: int
    source_epoch: int
    copy_id: int
    part: int
    parts: int
    records: tuple[RequestRecord, ...]


@attrs.frozen
class EscrowReport(Message):
    """Opens the accounts of a cell with a minter.

    `units` holds the units of each team that the cell has when it first sends the report; a
    repeated report is equal to the first.
    """

    cell: str
    epoch: int
    minter_epoch: int
    units: dict[str, int]


@attrs.frozen
class EscrowDemand(Message):
    """Units that a cell needs, and those that it has returned since its accounts were opened.

    `need` counts the units in use and those that queued requests wait for. `returned` is a counter
    that only increases, so that lost and repeated messages do no harm.
    """

    cell: str
    epoch: int
    minter_epoch: int
    need: dict[str, int]
    returned: dict[str, int]


@attrs.frozen
class EscrowGrant(Message):
    """Units that the minter has granted to a cell since the accounts were opened.

    `granted` is a counter that only increases. `returned` is the count that the minter has received
    from the cell, and `recall` the number of further units to return once they are free.
    """

    cell: str
    epoch: int
    minter_epoch: int
    granted: dict[str, int]
    returned: dict[str, int]
    recall: dict[str, int]


@attrs.frozen
class CellLoad(Message):
    """Load of one cell, sent once a second to the holder of the `limits` claim.

    `usable` names the workers in service and `out` counts those out of service. `slots`, `busy` and
    `waiting` count slots of workers, of running tasks and of queued requests. `offered` is the load
    that arrived since the last message: slots times expected run time, divided by the elapsed time.
    It counts queued work only once, when it arrives.
    """

    cell: str
    epoch: int
    pool: str
    usable: tuple[str, ...]
    out: int
    slots: int
    busy: int
    waiting: int
    offered: float


@attrs.frozen
class MoveAdvice(Message):
    """Request to the holder of a donor cell to drain instances and move them to another pool."""

    cell: str
    epoch: int
    to_pool: str
    count: int


@attrs.frozen
class ViewRequest(Message):
    """Request to the holder of a cell for a view of one subject, on behalf of an operator."""

    query_id: str
    view: str
    subject: str


@attrs.frozen
class ViewReply(Message):
    """Answer to `ViewRequest`; `answer` is empty if the sender does not know the subject."""

    query_id: str
    answer: str
