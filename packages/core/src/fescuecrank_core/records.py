"""Records of the platform log, which `Ledger` folds in the order of their offsets."""

import attrs

LIMITS_SCOPE = "limits"


@attrs.frozen
class Record:
    """Base of all log records; further records with the same `record_id` have no effect."""

    record_id: str


@attrs.frozen
class Change:
    """Replacement of one declaration.

    `follows` is the offset of the record that set the current value, or -1 if there is none. A
    change with another offset is refused. `value` is the encoded declaration, or None to remove it.
    """

    section: str
    name: str
    follows: int
    value: bytes | None


@attrs.frozen
class ConfigPublished(Record):
    """A set of changes that is applied atomically."""

    changes: tuple[Change, ...]
    author: str


@attrs.frozen
class KeyGranted(Record):
    """Grants a key to a team or an operator; the record holds only the salted hash."""

    key_id: str
    kind: str
    team: str
    salt: bytes
    digest: bytes


@attrs.frozen
class KeyWithdrawn(Record):
    """Withdraws a key; its key id cannot be granted again."""

    key_id: str


@attrs.frozen
class MemberJoined(Record):
    """Adds an entry to the members, which are counted in majorities."""

    name: str
    incarnation: int
    region: str
    data_centre: str
    peer_address: str


@attrs.frozen
class MemberLeft(Record):
    """Removes one incarnation of an entry after a planned stop or a failure found by a peer.

    `forced` is set by an operator who states that the process has ended for good: the entry is then
    removed from all member lists, including earlier ones.
    """

    name: str
    incarnation: int
    forced: bool = False


@attrs.frozen
class ClaimTaken(Record):
    """An attempt to become the holder of a scope.

    It succeeds if `follows` is the current epoch (-1 for none) and the current holder is no longer
    a member or has released the claim.
    """

    scope: str
    follows: int
    holder: str
    incarnation: int


@attrs.frozen
class ClaimReleased(Record):
    """Planned release of a claim; `successor` is the preferred next holder and need not wait."""

    scope: str
    epoch: int
    successor: str


@attrs.frozen
class BackupsChanged(Record):
    """Sets the backups of a claim, which all hold a full copy of the holder's request records.

    `records_since_ms` is the wall time since which the holder knows every request of the scope, or
    0 if it knows all of them.
    """

    scope: str
    epoch: int
    backups: tuple[str, ...]
    records_since_ms: int


@attrs.frozen
class InstanceMoved(Record):
    """Moves a worker to another pool.

    It succeeds if `follows` is the version of the worker's current assignment and `epoch` is that
    of the current claim on the donor's cell `scope`.
    """

    worker: str
    to_pool: str
    follows: int
    scope: str
    epoch: int


@attrs.frozen
class WaveStarted(Record):
    """Starts a maintenance wave over whole pools; an empty tuple stands for all pools."""

    wave_id: str
    pools: tuple[str, ...]


@attrs.frozen
class WavePaused(Record):
    """Pauses a wave: no further worker is taken out of service for it."""

    wave_id: str


@attrs.frozen
class WaveResumed(Record):
    """Resumes a paused wave."""

    wave_id: str


@attrs.frozen
class InstanceMaintained(Record):
    """Maintenance of one worker in a wave is complete."""

    worker: str
    wave_id: str
    wall_ms: int


@attrs.frozen
class DrainRequested(Record):
    """Request of an operator to take one worker out of service."""

    worker: str
    author: str


@attrs.frozen
class DrainCancelled(Record):
    """Cancels the request of an operator to take a worker out of service."""

    worker: str


@attrs.frozen
class Snapshot(Record):
    """Snapshot of the ledger after the record at offset `through`; `state` is encoded."""

    through: int
    state: bytes


@attrs.frozen
class LogEntry:
    """A record with its offset in the log."""

    offset: int
    record: Record
