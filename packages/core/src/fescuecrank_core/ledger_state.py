"""State that every entry derives from the log, in a form that can be encoded as a snapshot."""

import attrs

from fescuecrank_core.declarations import Fleet


@attrs.frozen
class Key:
    """A key in force; `kind` is `team` or `operator`."""

    key_id: str
    kind: str
    team: str
    salt: bytes
    digest: bytes


@attrs.frozen
class Member:
    """An entry that counts towards majorities."""

    name: str
    incarnation: int
    region: str
    data_centre: str
    peer_address: str


@attrs.frozen
class MemberList:
    """Names of the members from the record at `offset` on."""

    offset: int
    names: tuple[str, ...]


@attrs.frozen
class Claim:
    """The newest claim on a scope.

    `sources` are the entries that may hold request records of the previous epoch: its holder first,
    then its backups. `prepared` tells that this epoch has backups of its own. `successor` is not
    None once the holder has released the claim. `is_clean` tells that nobody can act under an
    earlier epoch any more, so that no waiting time is needed.
    """

    scope: str
    epoch: int
    holder: str
    incarnation: int
    backups: tuple[str, ...] = ()
    records_since_ms: int = 0
    prepared: bool = False
    successor: str | None = None
    is_clean: bool = False
    source_epoch: int = -1
    source_holder: str = ""
    source_incarnation: int = 0
    source_backups: tuple[str, ...] = ()


@attrs.frozen
class Assignment:
    """The pool of a worker; `version` is the offset of the record that put it there."""

    pool: str
    version: int


@attrs.frozen
class Wave:
    """A maintenance wave; an empty tuple of pools stands for all pools."""

    wave_id: str
    pools: tuple[str, ...]
    started: int
    paused: bool = False
    done: tuple[str, ...] = ()


@attrs.frozen
class FoldVerdict:
    """What a record id amounted to when it was folded."""

    offset: int
    accepted: bool
    detail: str = ""


@attrs.define
class LedgerState:
    """Everything that the fold of the log yields; `applied` is the offset to read next.

    `member_lists` holds the present member list last, after earlier ones of which it is not known
    that a majority has moved on.
    """

    applied: int = 0
    fleet: Fleet = attrs.field(factory=Fleet)
    versions: dict[str, int] = attrs.field(factory=dict)
    keys: dict[str, Key] = attrs.field(factory=dict)
    withdrawn: dict[str, int] = attrs.field(factory=dict)
    members: dict[str, Member] = attrs.field(factory=dict)
    incarnations: dict[str, int] = attrs.field(factory=dict)
    member_lists: list[MemberList] = attrs.field(factory=list)
    claims: dict[str, Claim] = attrs.field(factory=dict)
    assignments: dict[str, Assignment] = attrs.field(factory=dict)
    waves: dict[str, Wave] = attrs.field(factory=dict)
    maintained_wall_ms: dict[str, int] = attrs.field(factory=dict)
    drains: dict[str, str] = attrs.field(factory=dict)
    moves: int = 0
    verdicts: dict[str, FoldVerdict] = attrs.field(factory=dict)
    snapshot_through: int = -1
