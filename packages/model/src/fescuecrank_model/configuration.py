"""Configuration: publications with lost answers, snapshots, retention, restarts, partitions."""

import enum
from collections.abc import Iterator
from typing import NamedTuple

import attrs

from fescuecrank_model.specification import Mutant, Rules, Specification, Step

PUBLISHER, OTHER, OBSERVER = 0, 1, 2
ENTRIES = (PUBLISHER, OTHER, OBSERVER)
MAJORITY = 2
LOG_READ = 3
MAX_RECORDS = 4
NOBODY = -1


@attrs.frozen
class ConfigurationRules(Rules):
    """Rules of sections 5 and 6 of the design that mutants disable.

    By `peer_not_ahead`, a heartbeat proves that the observer is current only if its sender has
    applied no record that the observer lacks.
    """

    repeated_id_ignored: bool = True
    withdrawal_final: bool = True
    verdict_from_fold: bool = True
    absence_is_unknown: bool = True
    accept_by_majority: bool = True
    heartbeats_of_joined_incarnation: bool = True
    self_counts_once_joined: bool = True
    peer_not_ahead: bool = True
    proofs_expire: bool = True
    check_at_use: bool = True
    snapshot_only_if_newer: bool = True
    snapshot_without_gap: bool = True
    snapshot_has_verdicts: bool = True
    copy_only_if_newer: bool = True


class Kind(enum.StrEnum):
    """What is published: a change that races with another, or a withdrawal with a new grant."""

    CHANGE = "change"
    WITHDRAWAL = "withdrawal"


class Record(enum.StrEnum):
    """Records on the log; `NONE` stands for no record, `RIVAL` for the racing record."""

    NONE = "none"
    PUBLICATION = "publication"
    RIVAL = "rival"
    JOINED = "MemberJoined"
    SNAPSHOT = "Snapshot"


class Verdict(enum.IntEnum):
    """Verdict of the fold on the publication; also the answer that the operator got."""

    NONE = 0
    ACCEPTED = 1
    REFUSED = 2


class Ledger(NamedTuple):
    """Fold of the first `applied` records.

    `winner` is the record in force. `joined` is true if the restarted entry has joined again.
    """

    applied: int
    winner: Record
    verdict: Verdict
    joined: bool


# Copies of the publication on the log. A second copy of a withdrawal folds like the first one even
# if its id is not known any more.
MAX_COPIES = {Kind.CHANGE: 2, Kind.WITHDRAWAL: 1}
EMPTY = Ledger(0, Record.NONE, Verdict.NONE, False)


class ConfigurationState(NamedTuple):
    """Log, ledgers, the publication and the proofs of the observer.

    The log has lost the records before `log_start`; `snapshot` is the ledger in the snapshot record
    on the log. `reported_before_restart` is true if the restarted entry had reported the
    publication as applied to the publisher before its restart. `proofs` contains the sources of
    the proofs from after the answer that the observer is current: entries 0 and 1, and `LOG_READ`.
    `key_checked` is true once the observer found the key valid. `observer_stale` is true if the
    observer is current without an accepted publication, `used_after_withdrawal` if it accepted work
    with a withdrawn key, and `reverted` if the state of an entry went backwards.
    """

    kind: Kind
    is_sent: bool
    log: tuple[Record, ...]
    log_start: int
    snapshot: Ledger | None
    ledgers: tuple[Ledger, Ledger, Ledger]
    restarted: int
    reported_before_restart: bool
    answer: Verdict
    proofs: frozenset[int]
    key_checked: bool
    observer_stale: bool
    used_after_withdrawal: bool
    reverted: bool


def _with_item(items: tuple, index: int, value: object) -> tuple:
    return items[:index] + (value,) + items[index + 1 :]


class Configuration(Specification):
    """Entry 0 publishes, entry 1 is a further member, and entry 2 is the observer.

    Only the observer collects proofs that it is current. Each entry may be cut off from the log and
    from the others for any time: each read and each heartbeat is a step that need not happen. One
    of the entries 1 and 2 may restart once, without its state. A copy of the publication reaches
    the log at any time or never. The model knows only one point in time, MAX_STALENESS_MS after the
    answer: proofs from before the answer have then expired, and later ones never expire. `claims`
    covers ages and delayed heartbeats.
    """

    name = "configuration"
    rules_class = ConfigurationRules
    max_states = 2_000_000

    def initial(self) -> ConfigurationState:
        """Start with an empty log and three members."""
        return ConfigurationState(
            kind=Kind.CHANGE,
            is_sent=False,
            log=(),
            log_start=0,
            snapshot=None,
            ledgers=(EMPTY,) * 3,
            restarted=NOBODY,
            reported_before_restart=False,
            answer=Verdict.NONE,
            proofs=frozenset(),
            key_checked=False,
            observer_stale=False,
            used_after_withdrawal=False,
            reverted=False,
        )

    def steps(self, state: ConfigurationState) -> Iterator[Step]:
        """Yield the steps of the publisher, the log, the readers and the observer."""
        if state.reverted or state.used_after_withdrawal or state.observer_stale:
            return
        for label, after in self._all_steps(state):
            yield label, after._replace(observer_stale=self._is_observer_stale(after))

    def _is_observer_stale(self, state: ConfigurationState) -> bool:
        unknown = state.ledgers[OBSERVER].winner != Record.PUBLICATION
        return unknown and state.answer == Verdict.ACCEPTED and self._is_current(state)

    def _all_steps(self, state: ConfigurationState) -> Iterator[Step]:
        if not state.is_sent:
            for kind in Kind:
                after = state._replace(kind=kind, is_sent=True)
                yield f"entry 0 sends its {kind}", after
            return
        yield from self._restart_steps(state)
        if (
            state.answer == Verdict.ACCEPTED
            and state.ledgers[OBSERVER].winner == Record.PUBLICATION
        ):
            # Without a restart only a reversion could follow. The search finds it from states
            # without an answer as well.
            return
        yield from self._publisher_steps(state)
        yield from self._retention_steps(state)
        if len(state.log) < MAX_RECORDS:
            yield from self._append_steps(state)
        for entry in ENTRIES:
            yield from self._reader_steps(state, entry)
        yield from self._observer_steps(state)
        yield from self._key_use_steps(state)

    def _publisher_steps(self, state: ConfigurationState) -> Iterator[Step]:
        if state.answer != Verdict.NONE:
            return
        if self._may_accept(state):
            after = state._replace(answer=Verdict.ACCEPTED, reported_before_restart=False)
            yield "entry 0 answers accepted", after
        if self._may_refuse(state):
            yield "entry 0 answers refused", state._replace(answer=Verdict.REFUSED)

    def _may_accept(self, state: ConfigurationState) -> bool:
        if not self.rules.verdict_from_fold:
            return Record.PUBLICATION in state.log
        if state.ledgers[PUBLISHER].verdict != Verdict.ACCEPTED:
            return False
        others = sum(self._has_reported(state, entry) for entry in (OTHER, OBSERVER))
        return 1 + others >= MAJORITY or not self.rules.accept_by_majority

    def _has_reported(self, state: ConfigurationState, entry: int) -> bool:
        # Reports count by name, whatever the incarnation. An entry that counts the heartbeats of a
        # later incarnation has folded its MemberJoined, and with it every record that an earlier
        # incarnation reported.
        has_applied = state.ledgers[entry].verdict != Verdict.NONE
        return has_applied or (state.restarted == entry and state.reported_before_restart)

    def _may_refuse(self, state: ConfigurationState) -> bool:
        ledger = state.ledgers[PUBLISHER]
        absent = ledger.verdict == Verdict.NONE and ledger.applied == len(state.log)
        return ledger.verdict == Verdict.REFUSED or (absent and not self.rules.absence_is_unknown)

    def _append_steps(self, state: ConfigurationState) -> Iterator[Step]:
        if state.log.count(Record.PUBLICATION) < MAX_COPIES[state.kind]:
            yield f"the {state.kind} is appended", self._append(state, Record.PUBLICATION)
        if Record.RIVAL not in state.log:
            yield "the rival record is appended", self._append(state, Record.RIVAL)
        if state.snapshot is None:
            for through in range(1, state.ledgers[PUBLISHER].applied + 1):
                after = state._replace(snapshot=self._snapshot_through(state, through))
                label = f"entry 0's snapshot through {through} is appended"
                yield label, self._append(after, Record.SNAPSHOT)
        if state.restarted != NOBODY and Record.JOINED not in state.log:
            label = f"MemberJoined of entry {state.restarted} is appended"
            yield label, self._append(state, Record.JOINED)

    def _snapshot_through(self, state: ConfigurationState, through: int) -> Ledger:
        ledger = EMPTY
        for record in state.log[:through]:
            ledger = self._fold(state, ledger, record)
        return ledger if self.rules.snapshot_has_verdicts else ledger._replace(verdict=Verdict.NONE)

    @staticmethod
    def _retention_steps(state: ConfigurationState) -> Iterator[Step]:
        if state.log_start < len(state.log):
            after = state._replace(log_start=state.log_start + 1)
            yield f"retention drops record {state.log_start}", after

    @staticmethod
    def _append(state: ConfigurationState, record: Record) -> ConfigurationState:
        return state._replace(log=state.log + (record,))

    @staticmethod
    def _restart_steps(state: ConfigurationState) -> Iterator[Step]:
        if state.restarted != NOBODY:
            return
        for entry in (OTHER, OBSERVER):
            had_applied = state.ledgers[entry].verdict != Verdict.NONE
            after = state._replace(restarted=entry, ledgers=_with_item(state.ledgers, entry, EMPTY))
            if entry == OBSERVER:
                after = after._replace(proofs=frozenset(), key_checked=False)
            yield f"entry {entry} restarts without state", after
            if had_applied and state.answer == Verdict.NONE:
                label = f"entry {entry} reports that it applied the {state.kind}, then restarts"
                yield label, after._replace(reported_before_restart=True)

    def _reader_steps(self, state: ConfigurationState, entry: int) -> Iterator[Step]:
        ledger = state.ledgers[entry]
        if state.log_start <= ledger.applied < len(state.log):
            record = state.log[ledger.applied]
            after = self._fold(state, ledger, record)
            yield f"entry {entry} folds {record}", self._with_ledger(state, entry, after)
        if ledger.applied < state.log_start:
            yield from self._restore_steps(state, entry)
        for peer in ENTRIES:
            copy = state.ledgers[peer]
            needed = ledger.applied < state.log_start and copy.applied > ledger.applied
            is_older = copy.applied < ledger.applied
            if needed or (is_older and not self.rules.copy_only_if_newer):
                label = f"entry {entry} restores a copy of the state of entry {peer}"
                yield label, self._with_ledger(state, entry, copy)

    def _fold(self, state: ConfigurationState, ledger: Ledger, record: Record) -> Ledger:
        after = ledger._replace(applied=ledger.applied + 1)
        if record == Record.JOINED:
            return after._replace(joined=True)
        if record == Record.SNAPSHOT and not self.rules.snapshot_only_if_newer:
            return state.snapshot._replace(applied=after.applied)
        if record == Record.RIVAL:
            return after._replace(winner=self._winner_after_rival(state.kind, ledger.winner))
        if record != Record.PUBLICATION:
            return after
        if ledger.verdict != Verdict.NONE and self.rules.repeated_id_ignored:
            return after
        if state.kind == Kind.CHANGE and ledger.winner != Record.NONE:
            return after._replace(verdict=Verdict.REFUSED)
        return after._replace(winner=Record.PUBLICATION, verdict=Verdict.ACCEPTED)

    def _winner_after_rival(self, kind: Kind, winner: Record) -> Record:
        if winner == Record.NONE:
            return Record.RIVAL
        if kind == Kind.WITHDRAWAL and not self.rules.withdrawal_final:
            return Record.RIVAL
        return winner

    def _restore_steps(self, state: ConfigurationState, entry: int) -> Iterator[Step]:
        if Record.SNAPSHOT not in state.log[state.log_start :]:
            return
        snapshot = state.snapshot
        if snapshot.applied < state.log_start and self.rules.snapshot_without_gap:
            return
        after = snapshot._replace(applied=max(snapshot.applied, state.log_start))
        yield f"entry {entry} restores the snapshot", self._with_ledger(state, entry, after)

    def _with_ledger(
        self, state: ConfigurationState, entry: int, ledger: Ledger
    ) -> ConfigurationState:
        before = state.ledgers[entry]
        is_replaced = before.winner != Record.NONE and before.winner != ledger.winner
        by_withdrawal = state.kind == Kind.WITHDRAWAL and ledger.winner == Record.PUBLICATION
        reverted = (is_replaced and not by_withdrawal) or ledger.applied < before.applied
        return state._replace(ledgers=_with_item(state.ledgers, entry, ledger), reverted=reverted)

    def _observer_steps(self, state: ConfigurationState) -> Iterator[Step]:
        if state.answer != Verdict.ACCEPTED:
            return
        if state.ledgers[OBSERVER].applied == len(state.log):
            after = state._replace(proofs=state.proofs | {LOG_READ})
            yield "entry 2 reads the log to its end", after
        for peer in (PUBLISHER, OTHER):
            if self._is_proof(state, peer):
                after = state._replace(proofs=state.proofs | {peer})
                yield f"entry 2 receives a heartbeat of entry {peer}", after

    def _is_proof(self, state: ConfigurationState, peer: int) -> bool:
        own = state.ledgers[OBSERVER]
        if state.ledgers[peer].applied > own.applied and self.rules.peer_not_ahead:
            return False
        has_joined = state.restarted != peer or own.joined
        return has_joined or not self.rules.heartbeats_of_joined_incarnation

    def _is_current(self, state: ConfigurationState) -> bool:
        if LOG_READ in state.proofs or not self.rules.proofs_expire:
            return True
        is_member = state.restarted != OBSERVER or state.ledgers[OBSERVER].joined
        own = is_member or not self.rules.self_counts_once_joined
        return own + len(state.proofs) >= MAJORITY

    def _key_use_steps(self, state: ConfigurationState) -> Iterator[Step]:
        if state.kind != Kind.WITHDRAWAL:
            return
        own = state.ledgers[OBSERVER]
        is_valid = own.winner != Record.PUBLICATION
        if state.answer == Verdict.ACCEPTED:
            if state.key_checked or (is_valid and self._is_current(state)):
                yield "entry 2 accepts work with the key", state._replace(
                    used_after_withdrawal=True
                )
        elif is_valid and own.applied == len(state.log) and not self.rules.check_at_use:
            yield "entry 2 is current and checks the key", state._replace(key_checked=True)


NEVER_REVERTS = "state never reverts"
ACCEPTED_IN_FORCE = "an accepted publication is in force at every current entry within the bound"
REFUSED_NOT_IN_FORCE = "a refused publication is never in force"
WITHDRAWN_NOT_ACCEPTED = "a withdrawn key is not accepted after the bound"

Configuration.properties = {
    NEVER_REVERTS: lambda s: not s.reverted,
    ACCEPTED_IN_FORCE: lambda s: not s.observer_stale,
    REFUSED_NOT_IN_FORCE: lambda s: (
        s.answer != Verdict.REFUSED
        or all(ledger.winner != Record.PUBLICATION for ledger in s.ledgers)
    ),
    WITHDRAWN_NOT_ACCEPTED: lambda s: not s.used_after_withdrawal,
}
Configuration.witnesses = {
    "accepted with two copies on the log": lambda s: (
        s.answer == Verdict.ACCEPTED and s.log.count(Record.PUBLICATION) > 1
    ),
    "refused after a race": lambda s: s.answer == Verdict.REFUSED,
    "accepted while the observer is cut off": lambda s: (
        s.answer == Verdict.ACCEPTED and s.ledgers[OBSERVER].applied == 0
    ),
    "observer counts a heartbeat of a member that lags too, then applies the record": lambda s: (
        s.ledgers[OBSERVER].winner == Record.PUBLICATION and OTHER in s.proofs
    ),
    "observer continues from a snapshot": lambda s: (
        s.restarted == OBSERVER
        and s.log_start > 1
        and s.ledgers[OBSERVER].applied > 1
        and Record.SNAPSHOT in s.log[s.log_start :]
    ),
    "restarted entry has joined again": lambda s: s.ledgers[OBSERVER].joined,
}
Configuration.mutants = (
    Mutant("repeated_id_ignored", REFUSED_NOT_IN_FORCE),
    Mutant("withdrawal_final", NEVER_REVERTS),
    Mutant("verdict_from_fold", ACCEPTED_IN_FORCE),
    Mutant("absence_is_unknown", REFUSED_NOT_IN_FORCE),
    Mutant("accept_by_majority", ACCEPTED_IN_FORCE),
    Mutant("heartbeats_of_joined_incarnation", ACCEPTED_IN_FORCE),
    Mutant("self_counts_once_joined", ACCEPTED_IN_FORCE),
    Mutant("peer_not_ahead", ACCEPTED_IN_FORCE),
    Mutant("proofs_expire", ACCEPTED_IN_FORCE),
    Mutant("check_at_use", WITHDRAWN_NOT_ACCEPTED),
    Mutant("snapshot_only_if_newer", NEVER_REVERTS),
    Mutant("snapshot_without_gap", ACCEPTED_IN_FORCE),
    Mutant("snapshot_has_verdicts", REFUSED_NOT_IN_FORCE),
    Mutant("copy_only_if_newer", NEVER_REVERTS),
)
