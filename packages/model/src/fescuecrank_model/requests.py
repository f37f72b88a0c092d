"""Requests: one non-idempotent request, its copies, its records on backups, and a takeover."""

import enum
from collections.abc import Iterator
from typing import NamedTuple

import attrs

from fescuecrank_model.specification import Mutant, Rules, Specification, Step

OLD, NEW = 0, 1
BACKUPS = (0, 1)
FIRST, RESEND, RETRY = 0, 1, 2


@attrs.frozen
class RequestRules(Rules):
    """Rules of section 7 of the design that mutants disable.

    By the two rules on `records_since`, a new holder without the records of all backups answers
    unknown to requests whose ids are from before its claim was usable. By `retries_marked`, a
    gateway never answers not_run to a retry of a request that another gateway may have forwarded.
    By `query_blocks_unknown_task`, a worker that is queried for a task that it does not know
    refuses that task from then on.
    """

    attach_to_known_id: bool = True
    replicate_before_dispatch: bool = True
    backups_refuse_old_epoch: bool = True
    records_since_raised: bool = True
    records_since_is_usable_time: bool = True
    refuse_future_ids: bool = True
    expired_ids_unknown: bool = True
    query_blocks_unknown_task: bool = True
    not_run_needs_all_refused: bool = True
    retries_marked: bool = True


class CopyState(enum.IntEnum):
    """State of one copy of the request; a gateway knows it only from the answer of a holder."""

    UNSENT = 0
    TO_OLD = 1
    TO_NEW = 2
    REFUSED = 3
    ANSWERED = 4


class RecordState(enum.IntEnum):
    """State of the request's record at a holder; `FOUND` is a record copied from a backup."""

    NONE = 0
    QUEUED = 1
    REPLICATING = 2
    DISPATCHED = 3
    FOUND = 4
    ENDED = 5


class Phase(enum.IntEnum):
    """Phase of the takeover: that of a submission, or of the timestamp in a request's id."""

    BEFORE_CLAIM = 0
    BEFORE_USABLE = 1
    AFTER_USABLE = 2


class BackupState(enum.IntEnum):
    """State of the old holder's record at one backup; `SENT` is on its way there."""

    EMPTY = 0
    SENT = 1
    STORED = 2
    LOST = 3


class RequestState(NamedTuple):
    """Caller and gateways, both holders, the backups and the worker.

    `submitted_in` is the phase in which the request was submitted, and `id_phase` the phase to
    which the timestamp of its id belongs. `told_not_run` is true once a gateway answered not_run.
    `claimed` is true once the new holder's claim is appended, and `usable` once it is usable.
    `ready` is true once the new holder serves requests, and `records_complete` if it then had the
    records of all backups. `acked` lists the backups whose acknowledgement reached the old holder,
    `copied_from` those that sent their records to the new one. `tasks_in_flight` lists the holders
    whose task is on its way to the worker, `dispatched` those that ever sent one.
    `old_task_refused` is true once the worker will refuse the old holder's task. `record_dropped`
    is true once the new holder dropped the ended record.
    """

    submitted_in: int
    id_phase: int
    copies: tuple[CopyState, CopyState, CopyState]
    told_not_run: bool
    claimed: bool
    usable: bool
    ready: bool
    records_complete: bool
    records: tuple[RecordState, RecordState]
    backups: tuple[BackupState, BackupState]
    acked: frozenset[int]
    copied_from: frozenset[int]
    tasks_in_flight: frozenset[int]
    dispatched: frozenset[int]
    old_task_refused: bool
    run_counts: tuple[int, int]
    record_dropped: bool


NOT_SUBMITTED = -1


def _with_item(items: tuple, index: int, value: object) -> tuple:
    return items[:index] + (value,) + items[index + 1 :]


class Requests(Specification):
    """A caller submits a request at one gateway and asks again through another.

    The first gateway may resend the forward. The old holder may lose its claim at any step;
    `claims` shows that it starts nothing once the new claim is usable. A message may arrive at any
    later time or never.
    """

    name = "requests"
    rules_class = RequestRules
    max_states = 2_000_000

    def initial(self) -> RequestState:
        """Start with the old holder in charge and no request."""
        return RequestState(
            submitted_in=NOT_SUBMITTED,
            id_phase=NOT_SUBMITTED,
            copies=(CopyState.UNSENT,) * 3,
            told_not_run=False,
            claimed=False,
            usable=False,
            ready=False,
            records_complete=False,
            records=(RecordState.NONE, RecordState.NONE),
            backups=(BackupState.EMPTY, BackupState.EMPTY),
            acked=frozenset(),
            copied_from=frozenset(),
            tasks_in_flight=frozenset(),
            dispatched=frozenset(),
            old_task_refused=False,
            run_counts=(0, 0),
            record_dropped=False,
        )

    def steps(self, state: RequestState) -> Iterator[Step]:
        """Yield the steps of the caller, gateways, holders, backups and the worker."""
        yield from self._caller_steps(state)
        yield from self._copy_steps(state)
        yield from self._old_holder_steps(state)
        yield from self._backup_steps(state)
        yield from self._takeover_steps(state)
        yield from self._new_holder_steps(state)
        yield from self._worker_steps(state)

    def _caller_steps(self, state: RequestState) -> Iterator[Step]:
        if state.submitted_in == NOT_SUBMITTED:
            submitted_in = Phase(state.claimed + state.usable)
            for id_phase in range(submitted_in, Phase.AFTER_USABLE + 1):
                if id_phase > submitted_in and self.rules.refuse_future_ids:
                    continue
                for target in self._targets(state):
                    after = state._replace(
                        submitted_in=submitted_in,
                        id_phase=id_phase,
                        copies=_with_item(state.copies, FIRST, target),
                    )
                    yield f"caller submits, id of {Phase(id_phase).name}, copy {target.name}", after
            return
        if state.told_not_run:
            return
        for index in (RESEND, RETRY):
            if state.copies[index] == CopyState.UNSENT:
                for target in self._targets(state):
                    label = "gateway resends" if index == RESEND else "caller retries elsewhere"
                    after = state._replace(copies=_with_item(state.copies, index, target))
                    yield f"{label}, copy {target.name}", after
        yield from self._not_run_steps(state)

    @staticmethod
    def _targets(state: RequestState) -> list[CopyState]:
        return [CopyState.TO_OLD, CopyState.TO_NEW] if state.usable else [CopyState.TO_OLD]

    def _not_run_steps(self, state: RequestState) -> Iterator[Step]:
        first, resend, retry = state.copies
        after = state._replace(told_not_run=True)
        if retry == CopyState.UNSENT:
            sent = [copy for copy in (first, resend) if copy != CopyState.UNSENT]
            refused = [copy == CopyState.REFUSED for copy in sent]
            if all(refused) or (any(refused) and not self.rules.not_run_needs_all_refused):
                yield "first gateway answers not_run", after
        elif retry == CopyState.REFUSED and not self.rules.retries_marked:
            yield "second gateway answers not_run", after

    def _copy_steps(self, state: RequestState) -> Iterator[Step]:
        for index, copy in enumerate(state.copies):
            if copy == CopyState.TO_OLD:
                yield from self._at_old_holder(state, index)
            elif copy == CopyState.TO_NEW and state.ready:
                yield from self._at_new_holder(state, index)

    def _at_old_holder(self, state: RequestState, index: int) -> Iterator[Step]:
        refused = state._replace(copies=_with_item(state.copies, index, CopyState.REFUSED))
        attached = state._replace(copies=_with_item(state.copies, index, CopyState.ANSWERED))
        if state.usable:
            yield f"old holder is not current, refuses copy {index}", refused
        elif state.records[OLD] != RecordState.NONE:
            yield f"old holder attaches copy {index}", attached
        else:
            yield f"old holder is full, refuses copy {index}", refused
            records = _with_item(state.records, OLD, RecordState.QUEUED)
            yield f"old holder queues copy {index}", attached._replace(records=records)

    def _at_new_holder(self, state: RequestState, index: int) -> Iterator[Step]:
        answered = state._replace(copies=_with_item(state.copies, index, CopyState.ANSWERED))
        known = state.records[NEW] != RecordState.NONE
        if known and self.rules.attach_to_known_id:
            yield f"new holder attaches copy {index}", answered
        elif self._may_have_run(state):
            yield f"new holder answers unknown to copy {index}", answered
        else:
            refused = state._replace(copies=_with_item(state.copies, index, CopyState.REFUSED))
            yield f"new holder is full, refuses copy {index}", refused
            records = _with_item(state.records, NEW, RecordState.QUEUED)
            yield f"new holder queues copy {index}", answered._replace(records=records)

    def _may_have_run(self, state: RequestState) -> bool:
        if state.record_dropped and self.rules.expired_ids_unknown:
            return True
        if state.records_complete or not self.rules.records_since_raised:
            return False
        records_since = (
            Phase.AFTER_USABLE if self.rules.records_since_is_usable_time else Phase.BEFORE_USABLE
        )
        return state.id_phase < records_since

    def _old_holder_steps(self, state: RequestState) -> Iterator[Step]:
        if state.usable:
            return
        record = state.records[OLD]
        if record == RecordState.QUEUED:
            after = state._replace(
                records=_with_item(state.records, OLD, RecordState.REPLICATING),
                backups=tuple(
                    BackupState.SENT if b == BackupState.EMPTY else b for b in state.backups
                ),
            )
            yield "old holder sends the record to its backups", after
        if record == RecordState.REPLICATING and (
            state.acked or not self.rules.replicate_before_dispatch
        ):
            after = state._replace(
                records=_with_item(state.records, OLD, RecordState.DISPATCHED),
                tasks_in_flight=state.tasks_in_flight | {OLD},
                dispatched=state.dispatched | {OLD},
            )
            yield "old holder dispatches", after

    def _backup_steps(self, state: RequestState) -> Iterator[Step]:
        for index in BACKUPS:
            backup = state.backups[index]
            if backup == BackupState.SENT and not self._refuses_old_epoch(state, index):
                after = state._replace(
                    backups=_with_item(state.backups, index, BackupState.STORED),
                    acked=state.acked | {index},
                )
                yield f"backup {index} stores the record, its acknowledgement arrives", after
            if backup != BackupState.LOST and BackupState.LOST not in state.backups:
                lost = state._replace(backups=_with_item(state.backups, index, BackupState.LOST))
                yield f"backup {index} is lost", lost

    def _refuses_old_epoch(self, state: RequestState, index: int) -> bool:
        return index in state.copied_from and self.rules.backups_refuse_old_epoch

    def _takeover_steps(self, state: RequestState) -> Iterator[Step]:
        if not state.claimed:
            yield "new holder's claim is appended", state._replace(claimed=True)
            return
        if not state.ready:
            for index in BACKUPS:
                if index not in state.copied_from and state.backups[index] != BackupState.LOST:
                    yield f"backup {index} sends its records", self._with_copied_records(
                        state, index
                    )
        if not state.usable:
            yield "old holder is no longer current, new claim is usable", state._replace(
                usable=True
            )
        elif not state.ready:
            records_complete = len(state.copied_from) == len(BACKUPS)
            label = "complete" if records_complete else "incomplete"
            after = state._replace(ready=True, records_complete=records_complete)
            yield f"new holder is ready, records {label}", after

    @staticmethod
    def _with_copied_records(state: RequestState, index: int) -> RequestState:
        after = state._replace(copied_from=state.copied_from | {index})
        if state.backups[index] == BackupState.STORED:
            return after._replace(records=_with_item(state.records, NEW, RecordState.FOUND))
        return after

    def _new_holder_steps(self, state: RequestState) -> Iterator[Step]:
        if not state.ready:
            return
        record = state.records[NEW]
        if record == RecordState.FOUND:
            if state.run_counts[OLD]:
                ended = state._replace(records=_with_item(state.records, NEW, RecordState.ENDED))
                yield "worker knows the old task", ended
            else:
                after = state._replace(
                    records=_with_item(state.records, NEW, RecordState.QUEUED),
                    old_task_refused=self.rules.query_blocks_unknown_task,
                )
                yield "worker does not know the old task and will refuse it", after
        if record == RecordState.QUEUED and NEW not in state.tasks_in_flight:
            after = state._replace(
                records=_with_item(state.records, NEW, RecordState.DISPATCHED),
                tasks_in_flight=state.tasks_in_flight | {NEW},
                dispatched=state.dispatched | {NEW},
            )
            yield "new holder dispatches", after
        if record == RecordState.DISPATCHED and state.run_counts[NEW]:
            ended = state._replace(records=_with_item(state.records, NEW, RecordState.ENDED))
            yield "new holder gets the answer", ended
        if record == RecordState.ENDED:
            after = state._replace(
                records=_with_item(state.records, NEW, RecordState.NONE), record_dropped=True
            )
            yield "new holder drops the ended record", after

    def _worker_steps(self, state: RequestState) -> Iterator[Step]:
        for holder in sorted(state.tasks_in_flight):
            after = state._replace(tasks_in_flight=state.tasks_in_flight - {holder})
            name = "old" if holder == OLD else "new"
            if holder == OLD and state.old_task_refused:
                yield "worker refuses the old task", after
            else:
                run_counts = _with_item(
                    state.run_counts, holder, min(state.run_counts[holder] + 1, 2)
                )
                yield f"worker runs the {name} task", after._replace(run_counts=run_counts)


AT_MOST_ONCE = "the request runs at most once"
NOT_RUN_IS_TRUE = "a request answered not_run never runs"

Requests.properties = {
    AT_MOST_ONCE: lambda s: sum(s.run_counts) <= 1,
    NOT_RUN_IS_TRUE: lambda s: not (s.told_not_run and sum(s.run_counts)),
}
Requests.witnesses = {
    "not_run is answered": lambda s: s.told_not_run,
    "new holder finds a task that ran": lambda s: bool(s.run_counts[OLD])
    and s.records[NEW] == RecordState.ENDED,
    "new holder runs a request whose old task had not started": lambda s: s.old_task_refused
    and bool(s.run_counts[NEW]),
    "takeover misses the record of a task that ran": lambda s: (
        bool(s.run_counts[OLD])
        and s.ready
        and s.records[NEW] == RecordState.NONE
        and not s.record_dropped
    ),
    "retry after the ended record was dropped": lambda s: s.record_dropped
    and s.copies[RETRY] == CopyState.ANSWERED,
    "old holder dispatches after the claim was appended": lambda s: (
        s.submitted_in == Phase.BEFORE_USABLE and OLD in s.dispatched
    ),
}
Requests.mutants = (
    Mutant("attach_to_known_id", AT_MOST_ONCE),
    Mutant("replicate_before_dispatch", AT_MOST_ONCE),
    Mutant("backups_refuse_old_epoch", AT_MOST_ONCE),
    Mutant("records_since_raised", AT_MOST_ONCE),
    Mutant("records_since_is_usable_time", AT_MOST_ONCE),
    Mutant("refuse_future_ids", AT_MOST_ONCE),
    Mutant("expired_ids_unknown", AT_MOST_ONCE),
    Mutant("query_blocks_unknown_task", AT_MOST_ONCE),
    Mutant("not_run_needs_all_refused", NOT_RUN_IS_TRUE),
    Mutant("retries_marked", NOT_RUN_IS_TRUE),
)
