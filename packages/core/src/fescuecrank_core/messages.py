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
    successful read of the log was sent, or -1 if there was none. `peer_address` lets a peer that
    does not know the sender yet connect back.
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
    """A request for the holder of its cell; repeated until answered, with the same key."""

    request: Request


@attrs.frozen
class ForwardAnswer(Message):
    """The final answer to a forwarded request."""

    answer: Answer


@attrs.frozen
class ForwardAccepted(Message):
    """The holder has the request; until its answer comes only its record decides."""

    key: RequestKey


@attrs.frozen
class CancelRequest(Message):
    """A caller's wish to cancel; answered by the request's final answer."""

    key: RequestKey
    service: str


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
class TableCopy(Message):
    """Records that the sender keeps for a scope.

    `source_epoch` is the epoch under which the sender received them, or -1 if it has none.
    With `last` false more parts follow.
    """

    scope: str
    epoch: int
    source_epoch: int
    records: tuple[RequestRecord, ...]
    last: bool


@attrs.frozen
class EscrowRequest(Message):
    """A cell asks the minter for units of a team's limit."""

    cell: str
    epoch: int
    team: str
    want: int


@attrs.frozen
class EscrowGrant(Message):
    """Units that the minter has already subtracted from what is left of the limit."""

    transfer_id: str
    minter_epoch: int
    cell: str
    epoch: int
    team: str
    units: int


@attrs.frozen
class EscrowReturn(Message):
    """Units that the cell has already subtracted from its account."""

    transfer_id: str
    cell: str
    epoch: int
    team: str
    units: int


@attrs.frozen
class EscrowReturned(Message):
    """The minter has added the units of this transfer."""

    transfer_id: str


@attrs.frozen
class EscrowReportRequest(Message):
    """A minter asks for a cell's accounts; the cell ignores grants of older epochs after it."""

    minter_epoch: int
    cell: str


@attrs.frozen
class EscrowReport(Message):
    """Accounts of one cell: units for each team, in use or free.

    `minter_epoch` and `epoch` name the minter asked and the claim that the cell is held under.
    """

    minter_epoch: int
    cell: str
    epoch: int
    units: dict[str, int]


@attrs.frozen
class EscrowRecall(Message):
    """The minter asks a cell to return free units of a team whose limit was lowered."""

    minter_epoch: int
    cell: str
    team: str
    units: int


@attrs.frozen
class CellLoad(Message):
    """Load of one cell, sent once a second to the holder of the `limits` claim.

    Slots and tasks are counts; `offered` is the mean number of slots asked for since the last
    message, whether they were granted or not.
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
