"""Deterministic fold of the log: equal offsets give equal states on all entries."""

from collections.abc import Callable

import attrs

from fescuecrank_core import codec, records
from fescuecrank_core.declarations import SECTIONS, Declaration, Fleet, check_fleet
from fescuecrank_core.ledger_state import (
    Assignment,
    Claim,
    FoldVerdict,
    Key,
    LedgerState,
    Member,
    MemberList,
    Wave,
)
from fescuecrank_core.records import LogEntry, Record

# Verdicts detect duplicate records. A second copy of a record can follow only within minutes; 4,000
# ids cover about an hour at the target load of 88,000 changes a day.
MAX_VERDICTS = 4_000
MAX_WAVES = 20
NO_VERSION = -1


@attrs.frozen
class Refusal:
    """Why a record had no effect."""

    detail: str


def version_key(section: str, name: str) -> str:
    """Return the key of a declaration's version in `LedgerState.versions`."""
    return f"{section}/{name}"


class Ledger:
    """State folded from the log, and queries on it."""

    def __init__(self) -> None:
        self.state = LedgerState()
        # Workers by pool, computed from the assignments on demand.
        self._pool_workers: dict[str, tuple[str, ...]] | None = None

    @property
    def applied(self) -> int:
        """Offset of the next record to fold; all records before it are applied."""
        return self.state.applied

    @property
    def fleet(self) -> Fleet:
        """Declarations in force."""
        return self.state.fleet

    def fold(self, entry: LogEntry) -> bool:
        """Fold a record if its offset is the next one; return whether it was folded."""
        if entry.offset != self.state.applied:
            return False
        self.state.applied = entry.offset + 1
        record = entry.record
        if record.record_id not in self.state.verdicts:
            refusal = _FOLD_FUNCTIONS[type(record)](self.state, entry.offset, record)
            if _changes_assignments(record):
                self._pool_workers = None
            self._store_verdict(entry.offset, record.record_id, refusal)
        return True

    def _store_verdict(self, offset: int, record_id: str, refusal: Refusal | None) -> None:
        detail = "" if refusal is None else refusal.detail
        verdicts = self.state.verdicts
        verdicts[record_id] = FoldVerdict(offset, refusal is None, detail)
        while len(verdicts) > MAX_VERDICTS:
            verdicts.pop(next(iter(verdicts)))

    def dry_run(self, record: Record) -> Refusal | None:
        """Fold the record into a copy of the state and return the refusal that it gets, if any."""
        scratch = attrs.evolve(self.state)
        for field in attrs.fields(LedgerState):
            value = getattr(scratch, field.name)
            if isinstance(value, dict | list):
                setattr(scratch, field.name, value.copy())
        return _FOLD_FUNCTIONS[type(record)](scratch, scratch.applied, record)

    def verdict(self, record_id: str) -> FoldVerdict | None:
        """Return the verdict on a record id, or None if it was not folded or is no longer kept."""
        return self.state.verdicts.get(record_id)

    def encode(self) -> bytes:
        """Return the encoded state."""
        return codec.encode(self.state)

    def restore(self, state: LedgerState) -> bool:
        """Replace the state if the given one is newer; return whether it was replaced."""
        if state.applied <= self.state.applied:
            return False
        self.state = state
        self._pool_workers = None
        return True

    def drop_superseded_member_lists(self, offset: int) -> None:
        """Drop the member lists before the one in force at `offset`.

        A majority of that list must have applied `offset`.
        """
        lists = self.state.member_lists
        newest = max((i for i, item in enumerate(lists) if item.offset <= offset), default=0)
        del lists[:newest]

    def claim(self, scope: str) -> Claim | None:
        """Return the newest claim on a scope."""
        return self.state.claims.get(scope)

    def is_vacant(self, scope: str) -> bool:
        """Return whether the scope has no holder and may be claimed."""
        return _is_vacant(self.state, scope)

    def holder(self, scope: str) -> Member | None:
        """Return the member that holds a scope, or None if the scope is vacant."""
        if self.is_vacant(scope):
            return None
        return self.state.members[self.state.claims[scope].holder]

    def pool_of(self, worker: str) -> str | None:
        """Return the pool that a worker belongs to."""
        assignment = self.state.assignments.get(worker)
        return assignment.pool if assignment else None

    def workers_of(self, pool: str) -> tuple[str, ...]:
        """Return the workers that belong to a pool; the tuple is cached until a pool changes."""
        if self._pool_workers is None:
            by_pool: dict[str, list[str]] = {}
            for worker, assignment in self.state.assignments.items():
                by_pool.setdefault(assignment.pool, []).append(worker)
            self._pool_workers = {pool: tuple(workers) for pool, workers in by_pool.items()}
        return self._pool_workers.get(pool, ())

    def active_waves(self, pool: str) -> list[Wave]:
        """Return the unpaused waves that cover this pool, oldest first."""
        waves = self.state.waves.values()
        return [
            wave for wave in waves if not wave.paused and (not wave.pools or pool in wave.pools)
        ]


def _changes_assignments(record: Record) -> bool:
    if isinstance(record, records.ConfigPublished):
        return any(change.section == "pools" for change in record.changes)
    return isinstance(record, records.InstanceMoved)


def _fold_config(
    state: LedgerState, offset: int, record: records.ConfigPublished
) -> Refusal | None:
    fleet = state.fleet
    for change in record.changes:
        if change.section not in SECTIONS:
            return Refusal(f"no section {change.section!r}")
        version = state.versions.get(version_key(change.section, change.name), NO_VERSION)
        if version != change.follows:
            path = f"{change.section}/{change.name}"
            return Refusal(f"{path} was changed at offset {version}, not {change.follows}")
        value = _decode_change(change)
        if isinstance(value, Refusal):
            return value
        fleet = fleet.with_change(change.section, change.name, value)
    sections = {change.section for change in record.changes}
    problems = check_fleet(fleet, sections)
    if problems:
        return Refusal("; ".join(str(problem) for problem in problems))
    state.fleet = fleet
    for change in record.changes:
        state.versions[version_key(change.section, change.name)] = offset
    if "pools" in sections:
        _assign_new_workers(state, offset)
    return None


def _decode_change(change: records.Change) -> Declaration | None | Refusal:
    if change.value is None:
        return None
    expected = SECTIONS[change.section]
    decoded = codec.decode(change.value, expected, "ledger.fold", "")
    if decoded.is_err():
        return Refusal(f"{change.section}/{change.name}: {decoded.err_value.detail}")
    if decoded.ok_value.name != change.name:
        return Refusal(f"{change.section}/{change.name}: is named {decoded.ok_value.name!r}")
    return decoded.ok_value


def _assign_new_workers(state: LedgerState, offset: int) -> None:
    for pool in state.fleet.pools.values():
        for worker in pool.workers:
            assignment = state.assignments.get(worker)
            if assignment is None or assignment.pool not in state.fleet.pools:
                state.assignments[worker] = Assignment(pool.name, offset)


def _fold_key_granted(
    state: LedgerState, offset: int, record: records.KeyGranted
) -> Refusal | None:
    if record.key_id in state.withdrawn:
        return Refusal(f"key {record.key_id!r} was withdrawn")
    if record.key_id in state.keys:
        return Refusal(f"key {record.key_id!r} is already in force")
    if record.kind == "team" and record.team not in state.fleet.teams:
        return Refusal(f"no team named {record.team!r}")
    state.keys[record.key_id] = Key(
        record.key_id, record.kind, record.team, record.salt, record.digest
    )
    return None


def _fold_key_withdrawn(
    state: LedgerState, offset: int, record: records.KeyWithdrawn
) -> Refusal | None:
    state.keys.pop(record.key_id, None)
    state.withdrawn.setdefault(record.key_id, offset)
    return None


def _fold_member_joined(
    state: LedgerState, offset: int, record: records.MemberJoined
) -> Refusal | None:
    if record.incarnation <= state.incarnations.get(record.name, 0):
        return Refusal(f"a later incarnation of {record.name!r} has joined")
    state.incarnations[record.name] = record.incarnation
    is_new = record.name not in state.members
    state.members[record.name] = Member(
        record.name,
        record.incarnation,
        record.region,
        record.data_centre,
        record.peer_address,
    )
    if is_new:
        _append_member_list(state, offset)
    return None


def _fold_member_left(
    state: LedgerState, offset: int, record: records.MemberLeft
) -> Refusal | None:
    member = state.members.get(record.name)
    if record.forced and member is None:
        return _remove_former_member(state, record.name)
    if member is None or member.incarnation != record.incarnation:
        return Refusal(f"{record.name!r} is not a member in this incarnation")
    if record.forced:
        _remove_from_member_lists(state, record.name)
    del state.members[record.name]
    _append_member_list(state, offset)
    return None


def _append_member_list(state: LedgerState, offset: int) -> None:
    state.member_lists.append(MemberList(offset, tuple(state.members)))


def _remove_former_member(state: LedgerState, name: str) -> Refusal | None:
    if not any(name in item.names for item in state.member_lists):
        return Refusal(f"{name!r} is in no member list")
    _remove_from_member_lists(state, name)
    return None


def _remove_from_member_lists(state: LedgerState, name: str) -> None:
    lists = []
    for item in state.member_lists:
        names = tuple(other for other in item.names if other != name)
        lists.append(MemberList(item.offset, names))
    state.member_lists = lists


def _is_vacant(state: LedgerState, scope: str) -> bool:
    claim = state.claims.get(scope)
    if claim is None or claim.successor is not None:
        return True
    member = state.members.get(claim.holder)
    return member is None or member.incarnation != claim.incarnation


def _fold_claim_taken(
    state: LedgerState, offset: int, record: records.ClaimTaken
) -> Refusal | None:
    member = state.members.get(record.holder)
    if member is None or member.incarnation != record.incarnation:
        return Refusal(f"{record.holder!r} is not a member in this incarnation")
    previous = state.claims.get(record.scope)
    epoch = previous.epoch if previous else NO_VERSION
    if epoch != record.follows:
        return Refusal(f"{record.scope} was claimed at offset {epoch}")
    if not _is_vacant(state, record.scope):
        return Refusal(f"{record.scope} is held by {previous.holder!r}")
    state.claims[record.scope] = _claim_after(previous, offset, record)
    return None


def _claim_after(previous: Claim | None, offset: int, record: records.ClaimTaken) -> Claim:
    claim = Claim(record.scope, offset, record.holder, record.incarnation)
    if previous is None:
        return attrs.evolve(claim, is_clean=True)
    claim = attrs.evolve(
        claim,
        records_since_ms=previous.records_since_ms,
        # A holder that never had backups may have released the scope before the waiting time for
        # its own predecessor was over.
        is_clean=previous.successor is not None and previous.prepared,
    )
    if previous.prepared:
        return attrs.evolve(
            claim,
            source_epoch=previous.epoch,
            source_holder=previous.holder,
            source_incarnation=previous.incarnation,
            source_backups=previous.backups,
        )
    # Without backups an epoch dispatches nothing, so the request records are still held by the
    # sources of the epoch before it.
    return attrs.evolve(
        claim,
        source_epoch=previous.source_epoch,
        source_holder=previous.source_holder,
        source_incarnation=previous.source_incarnation,
        source_backups=previous.source_backups,
    )


def _fold_claim_released(
    state: LedgerState, offset: int, record: records.ClaimReleased
) -> Refusal | None:
    claim = state.claims.get(record.scope)
    if claim is None or claim.epoch != record.epoch:
        return Refusal(f"{record.scope} is not held under epoch {record.epoch}")
    state.claims[record.scope] = attrs.evolve(claim, successor=record.successor)
    return None


def _fold_backups_changed(
    state: LedgerState, offset: int, record: records.BackupsChanged
) -> Refusal | None:
    claim = state.claims.get(record.scope)
    if claim is None or claim.epoch != record.epoch:
        return Refusal(f"{record.scope} is not held under epoch {record.epoch}")
    state.claims[record.scope] = attrs.evolve(
        claim,
        backups=record.backups,
        records_since_ms=record.records_since_ms,
        prepared=True,
    )
    return None


def _fold_instance_moved(
    state: LedgerState, offset: int, record: records.InstanceMoved
) -> Refusal | None:
    assignment = state.assignments.get(record.worker)
    if assignment is None or assignment.version != record.follows:
        return Refusal(f"{record.worker} has been moved since offset {record.follows}")
    if record.to_pool not in state.fleet.pools:
        return Refusal(f"no pool named {record.to_pool!r}")
    claim = state.claims.get(record.scope)
    if claim is None or claim.epoch != record.epoch:
        return Refusal(f"{record.scope} is not held under epoch {record.epoch}")
    state.assignments[record.worker] = Assignment(record.to_pool, offset)
    state.moves += 1
    return None


def _fold_wave_started(
    state: LedgerState, offset: int, record: records.WaveStarted
) -> Refusal | None:
    if record.wave_id in state.waves:
        return Refusal(f"wave {record.wave_id!r} exists already")
    unknown = [pool for pool in record.pools if pool not in state.fleet.pools]
    if unknown:
        return Refusal(f"no pool named {unknown[0]!r}")
    state.waves[record.wave_id] = Wave(record.wave_id, record.pools, offset)
    while len(state.waves) > MAX_WAVES:
        state.waves.pop(next(iter(state.waves)))
    return None


def _set_paused(state: LedgerState, wave_id: str, paused: bool) -> Refusal | None:
    wave = state.waves.get(wave_id)
    if wave is None:
        return Refusal(f"no wave {wave_id!r}")
    state.waves[wave_id] = attrs.evolve(wave, paused=paused)
    return None


def _fold_wave_paused(
    state: LedgerState, offset: int, record: records.WavePaused
) -> Refusal | None:
    return _set_paused(state, record.wave_id, True)


def _fold_wave_resumed(
    state: LedgerState, offset: int, record: records.WaveResumed
) -> Refusal | None:
    return _set_paused(state, record.wave_id, False)


def _fold_instance_maintained(
    state: LedgerState, offset: int, record: records.InstanceMaintained
) -> Refusal | None:
    state.maintained_wall_ms[record.worker] = record.wall_ms
    wave = state.waves.get(record.wave_id)
    if wave is not None and record.worker not in wave.done:
        state.waves[record.wave_id] = attrs.evolve(wave, done=(*wave.done, record.worker))
    return None


def _fold_drain_requested(
    state: LedgerState, offset: int, record: records.DrainRequested
) -> Refusal | None:
    if record.worker not in state.assignments:
        return Refusal(f"no worker named {record.worker!r}")
    state.drains[record.worker] = record.author
    return None


def _fold_drain_cancelled(
    state: LedgerState, offset: int, record: records.DrainCancelled
) -> Refusal | None:
    state.drains.pop(record.worker, None)
    return None


def _fold_snapshot(state: LedgerState, offset: int, record: records.Snapshot) -> Refusal | None:
    state.snapshot_through = max(state.snapshot_through, record.through)
    return None


_FOLD_FUNCTIONS: dict[type[Record], Callable[[LedgerState, int, Record], Refusal | None]] = {
    records.ConfigPublished: _fold_config,
    records.KeyGranted: _fold_key_granted,
    records.KeyWithdrawn: _fold_key_withdrawn,
    records.MemberJoined: _fold_member_joined,
    records.MemberLeft: _fold_member_left,
    records.ClaimTaken: _fold_claim_taken,
    records.ClaimReleased: _fold_claim_released,
    records.BackupsChanged: _fold_backups_changed,
    records.InstanceMoved: _fold_instance_moved,
    records.WaveStarted: _fold_wave_started,
    records.WavePaused: _fold_wave_paused,
    records.WaveResumed: _fold_wave_resumed,
    records.InstanceMaintained: _fold_instance_maintained,
    records.DrainRequested: _fold_drain_requested,
    records.DrainCancelled: _fold_drain_cancelled,
    records.Snapshot: _fold_snapshot,
    # A record that could not be decoded has no effect but still advances the offset.
    Record: lambda state, offset, record: Refusal("the record cannot be decoded"),
}
