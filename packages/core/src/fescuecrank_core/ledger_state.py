"""State that every entry folds from the log; `codec` encodes it as a snapshot."""

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
    """An entry that is counted in majorities."""

    name: str
    incarnation: int
    region: str
    data_centre: str
    peer_address: str


@attrs.frozen
class MemberList:
    """The members as of the record at `offset`."""

    offset: int
    names: tuple[str, ...]


@attrs.frozen
class Claim:
    """The newest claim on a scope.

    The `source_*` fields name the entries that may hold request records of an earlier epoch: the
    holder and the backups of the last epoch that was prepared. `prepared` is true once this epoch
    has had backups of its own. `successor` is None until the holder releases the claim. `is_clean`
    is true if no entry can act under an earlier epoch any more, so that the holder need not wait.
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
    """The pool of a worker; `version` is the offset of the record that assigned it."""

    pool: str
    version: int


@attrs.frozen
class Wave:
    """A maintenance wave; an empty tuple of pools stands for all pools.

    `started` is the offset of the record that started it. `done` names the workers that it has
    maintained.
    """

    wave_id: str
    pools: tuple[str, ...]
    started: int
    paused: bool = False
    done: tuple[str, ...] = ()


@attrs.frozen
class FoldVerdict:
    """Whether a record took effect when it was folded; `detail` is the reason if it did not."""

    offset: int
    accepted: bool
    detail: str = ""


@attrs.define
class LedgerState:
    """The result of folding the log; `applied` is the offset of the next record.

    The last of `member_lists` is in force. The ones before it are kept until a majority of their
    members is known to have applied a later list.

    `versions` holds the offset of the last change of each declaration, by `<section>/<name>`.
    `withdrawn` holds the offset of each key's withdrawal, `incarnations` the latest incarnation of
    each entry that ever joined, and `drains` the operator who requested the drain of each worker.
    `moves` counts the moves of workers. `snapshot_through` is the newest offset that a snapshot in
    the log covers.
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
