"""Typed records of the platform log, in the order in which `Ledger` folds them."""

import attrs

LIMITS_SCOPE = "limits"


@attrs.frozen
class Record:
    """Base of all log records; a second copy of the same `record_id` has no effect."""

    record_id: str


@attrs.frozen
class Change:
    """Replacement of one declaration.

    `follows` is the offset of the record that put the present value in force, or -1 if there is
    none. `value` is the encoded declaration, or None to remove it.
    """

    section: str
    name: str
    follows: int
    value: bytes | None


@attrs.frozen
class ConfigPublished(Record):
    """A set of changes that takes effect as a whole or not at all."""

    changes: tuple[Change, ...]
    author: str


@attrs.frozen
class KeyGranted(Record):
    """A key of a team or an operator; only the salted hash is published."""

    key_id: str
    kind: str
    team: str
    salt: bytes
    digest: bytes


@attrs.frozen
class KeyWithdrawn(Record):
    """The end of a key; it is final for this key id."""

    key_id: str


@attrs.frozen
class MemberJoined(Record):
    """An entry that counts towards majorities from now on."""

    name: str
    incarnation: int
    region: str
    data_centre: str
    peer_address: str


@attrs.frozen
class MemberLeft(Record):
    """The end of one incarnation of an entry, planned or detected by a peer.

    `forced` is an operator's word that the process is gone for good: it no longer counts in any
    majority, including those of earlier member lists.
    """

    name: str
    incarnation: int
    forced: bool = False


@attrs.frozen
class ClaimTaken(Record):
    """An attempt to become the holder of a scope.

    It wins if `follows` is the epoch in force (-1 for none) and the present holder is no longer a
    member or has released the claim.
    """

    scope: str
    follows: int
    holder: str
    incarnation: int


@attrs.frozen
class ClaimReleased(Record):
    """A planned end of a claim; `successor` may use the scope without a waiting time."""

    scope: str
    epoch: int
    successor: str


@attrs.frozen
class BackupsChanged(Record):
    """Backups of a claim, each of which holds a full copy of the holder's request records.

    `records_since_ms` is the wall time from which the holder knows every request of the scope;
    0 means all of them.
    """

    scope: str
    epoch: int
    backups: tuple[str, ...]
    records_since_ms: int


@attrs.frozen
class InstanceMoved(Record):
    """A worker that changes pool.

    It wins if `follows` is the version of the worker's present assignment and `epoch` is the claim
    in force for the donor's cell `scope`.
    """

    worker: str
    to_pool: str
    follows: int
    scope: str
    epoch: int


@attrs.frozen
class WaveStarted(Record):
    """A maintenance wave over whole pools; an empty tuple stands for all pools."""

    wave_id: str
    pools: tuple[str, ...]


@attrs.frozen
class WavePaused(Record):
    """Takes no further instance out for this wave."""

    wave_id: str


@attrs.frozen
class WaveResumed(Record):
    """Continues a paused wave."""

    wave_id: str


@attrs.frozen
class InstanceMaintained(Record):
    """One worker came back from maintenance in a wave."""

    worker: str
    wave_id: str
    wall_ms: int


@attrs.frozen
class DrainRequested(Record):
    """An operator wants one worker out of service."""

    worker: str
    author: str


@attrs.frozen
class DrainCancelled(Record):
    """An operator wants the worker back in service."""

    worker: str


@attrs.frozen
class Snapshot(Record):
    """The whole ledger after the record at offset `through`; `state` is an encoded copy."""

    through: int
    state: bytes


@attrs.frozen
class LogEntry:
    """A record with the offset that the log gave it."""

    offset: int
    record: Record
