"""Typed messages between entries."""

import attrs

from fescuecrank_core.records import LogEntry
from fescuecrank_core.requests import Answer, Request, RequestKey, RequestRecord


@attrs.frozen
class Message:
    """Base of all peer messages."""


@attrs.frozen
class Heartbeat(Message):
    """Sent to every peer of the region at a fixed interval.

    `applied` is the offset that the sender reads next. `read_age_ms` is the time since its last
    successful read of the log was sent, or -1 if there was none. `stamp_ms` is the sender's
    monotonic clock, and `echo_ms` the newest stamp that it received from the addressee: it tells
    the addressee how old the message can be at most, however long it was under way.
    `echo_incarnation` names the incarnation of the addressee that the stamp came from.
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
    """Asks for the records from offset `first` on, for an entry that cannot read the log."""

    first: int


@attrs.frozen
class RecordsRelay(Message):
    """Consecutive log records."""

    entries: tuple[LogEntry, ...]


@attrs.frozen
class LedgerRequest(Message):
    """Asks for a whole copy of the ledger, at start-up or after the records have expired."""


@attrs.frozen
class LedgerCopy(Message):
    """A whole copy of the sender's ledger; `applied` is the next offset that it lacks."""

    applied: int
    state: bytes


@attrs.frozen
class Forward(Message):
    """A request for the holder of its cell; repeated until answered, with the same key.

    `submission` names one call of a caller, so that a copy that arrives late gets the same refusal.
    With `is_retry` the caller has sent the same id before, and another copy may still be under way.
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
    """The holder has the request in the claim of `epoch`; its record decides from now on."""

    key: RequestKey
    epoch: int


@attrs.frozen
class CancelRequest(Message):
    """A caller's wish to cancel; repeated until `CancelNoted`."""

    key: RequestKey
    service: str


@attrs.frozen
class CancelNoted(Message):
    """The holder has noted a cancellation and carries it out."""

    key: RequestKey


@attrs.frozen
class ResultRequest(Message):
    """Asks for the state of a request by key; answered by `ResultReply`."""

    key: RequestKey
    service: str
    query_id: str


@attrs.frozen
class ResultReply(Message):
    """What the holder knows: the final answer, or a state with the reason why it waits."""

    query_id: str
    known: bool
    state: str
    explanation: str
    answer: Answer | None


@attrs.frozen
class Replicate(Message):
    """One changed request record for a backup of the scope."""

    scope: str
    epoch: int
    record: RequestRecord


@attrs.frozen
class ReplicateAck(Message):
    """A backup has stored the record."""

    scope: str
    epoch: int
    key: RequestKey
    seq: int


@attrs.frozen
class TableRequest(Message):
    """The new holder of a scope asks for the records that a peer keeps for it."""

    scope: str
    epoch: int


@attrs.frozen
class TableOffer(Message):
    """One part of the full copy that the holder of a scope sends to a peer that is to be a backup.

    `copy_id` tells the parts of one copy from those of another; the copy has `parts` parts.
    """

    scope: str
    epoch: int
    copy_id: int
    part: int
    parts: int
    records: tuple[RequestRecord, ...]


@attrs.frozen
class TableStored(Message):
    """A backup has stored the full copy of a scope."""

    scope: str
    epoch: int


@attrs.frozen
class TableCopy(Message):
    """One part of the records that the sender keeps for a scope.

    `source_epoch` is the epoch under which the sender holds a full copy, or -1 if it has none.
    `copy_id` tells the parts of one copy from those of another; the copy has `parts` parts.
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

    `units` holds, for each team, the units that the cell has at that moment; it stays the same when
    the report is repeated.
    """

    cell: str
    epoch: int
    minter_epoch: int
    units: dict[str, int]


@attrs.frozen
class EscrowDemand(Message):
    """What a cell can use and has given back since its accounts were opened.

    `need` is the number of units in use or waited for now; `returned` only ever grows, so that a
    lost or repeated message does no harm.
    """

    cell: str
    epoch: int
    minter_epoch: int
    need: dict[str, int]
    returned: dict[str, int]


@attrs.frozen
class EscrowGrant(Message):
    """What the minter has granted to a cell since the accounts were opened.

    `granted` only ever grows. `returned` is what the minter knows to be returned, and `recall` asks
    for that many units more once they are free.
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

    Slots and tasks are counts. `offered` is the work that arrived since the last message, as slots
    times expected run time divided by the time elapsed; a queue counts only once in it.
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
    """Asks the holder of a donor cell to drain some instances and move them to another pool."""

    cell: str
    epoch: int
    to_pool: str
    count: int


@attrs.frozen
class ViewRequest(Message):
    """Asks the holder of a cell for an operator's view of one subject."""

    query_id: str
    view: str
    subject: str


@attrs.frozen
class ViewReply(Message):
    """Answer to `ViewRequest`; empty if there is nothing to show."""

    query_id: str
    answer: str
