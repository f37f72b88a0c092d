"""Requests: one non-idempotent request, its copies, a takeover and the records on backups."""

import enum
from collections.abc import Iterator
from typing import NamedTuple

import attrs

from fescuecrank_model.specification import Mutant, Rules, Specification, Step

OLD, NEW = 0, 1
BACKUPS = (0, 1)
FIRST, REPEAT, RETRY = 0, 1, 2


@attrs.frozen
class RequestRules(Rules):
    """Rules of section 7 that this specification can leave out."""

    join_known_id: bool = True
    replicate_first: bool = True
    backups_fence: bool = True
    since_raised: bool = True
    since_is_usable_time: bool = True
    refuse_future_ids: bool = True
    expired_ids_unknown: bool = True
    query_refuses_task: bool = True
    all_copies_refused: bool = True
    retries_marked: bool = True


class Copy(enum.IntEnum):
    """What became of one copy of the request; the gateway knows only of answers."""

    UNSENT = 0
    TO_OLD = 1
    TO_NEW = 2
    REFUSED = 3
    ANSWERED = 4


class Table(enum.IntEnum):
    """The record of the request at a holder."""

    NONE = 0
    QUEUED = 1
    REPLICATING = 2
    DISPATCHED = 3
    FOUND = 4
    ENDED = 5


class Made(enum.IntEnum):
    """Time of the request id, and of its arrival, relative to the takeover."""

    BEFORE_CLAIM = 0
    BEFORE_USABLE = 1
    AFTER_USABLE = 2


class Backup(enum.IntEnum):
    """State of one backup towards the old holder's record."""

    EMPTY = 0
    SENT = 1
    STORED = 2
    LOST = 3


class RequestState(NamedTuple):
    """Caller and gateways, both holders, the backups and the worker.

    `copied` lists backups that gave the new holder their records. `starts` holds the task of each
    holder that is on its way to the worker, `refused` whether the worker promised to refuse the
    old holder's task.
    """

    made: int
    seems_made: int
    copies: tuple[Copy, Copy, Copy]
    told_not_run: bool
    claimed: bool
    usable: bool
    ready: bool
    complete: bool
    tables: tuple[Table, Table]
    backups: tuple[Backup, Backup]
    acked: frozenset[int]
    copied: frozenset[int]
    starts: frozenset[int]
    sent: frozenset[int]
    refused: bool
    runs: tuple[int, int]
    evicted: bool


NOT_MADE = -1


def _put(items: tuple, index: int, value: object) -> tuple:
    return items[:index] + (value,) + items[index + 1 :]


class Requests(Specification):
    """A caller submits a request at one gateway and asks again through another.

    The first gateway repeats the forward. The old holder loses its claim at any step; that it
    starts nothing once the new claim is usable is shown by `claims`. Connections may stay silent:
    a message may arrive at any later time or never.
    """

    name = "requests"
    rules_class = RequestRules
    max_states = 2_000_000

    def initial(self) -> RequestState:
        """Start with the old holder in charge and no request."""
        return RequestState(
            made=NOT_MADE,
            seems_made=NOT_MADE,
            copies=(Copy.UNSENT,) * 3,
            told_not_run=False,
            claimed=False,
            usable=False,
            ready=False,
            complete=False,
            tables=(Table.NONE, Table.NONE),
            backups=(Backup.EMPTY, Backup.EMPTY),
            acked=frozenset(),
            copied=frozenset(),
            starts=frozenset(),
            sent=frozenset(),
            refused=False,
            runs=(0, 0),
            evicted=False,
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
        if state.made == NOT_MADE:
            made = Made(state.claimed + state.usable)
            for seems in range(made, Made.AFTER_USABLE + 1):
                if seems > made and self.rules.refuse_future_ids:
                    continue
                for target in self._targets(state):
                    after = state._replace(
                        made=made, seems_made=seems, copies=_put(state.copies, FIRST, target)
                    )
                    yield f"caller submits, id time {Made(seems).name}, copy {target.name}", after
            return
        if state.told_not_run:
            return
        for index in (REPEAT, RETRY):
            if state.copies[index] == Copy.UNSENT:
                for target in self._targets(state):
                    label = "gateway repeats" if index == REPEAT else "caller retries elsewhere"
                    after = state._replace(copies=_put(state.copies, index, target))
                    yield f"{label}, copy {target.name}", after
        yield from self._refusal_steps(state)

    @staticmethod
    def _targets(state: RequestState) -> list[Copy]:
        return [Copy.TO_OLD, Copy.TO_NEW] if state.usable else [Copy.TO_OLD]

    def _refusal_steps(self, state: RequestState) -> Iterator[Step]:
        first, repeat, retry = state.copies
        after = state._replace(told_not_run=True)
        if retry == Copy.UNSENT:
            sent = [copy for copy in (first, repeat) if copy != Copy.UNSENT]
            refused = [copy == Copy.REFUSED for copy in sent]
            if all(refused) or (any(refused) and not self.rules.all_copies_refused):
                yield "first gateway answers not_run", after
        elif retry == Copy.REFUSED and not self.rules.retries_marked:
            yield "second gateway answers not_run", after

    def _copy_steps(self, state: RequestState) -> Iterator[Step]:
        for index, copy in enumerate(state.copies):
            if copy == Copy.TO_OLD:
                yield from self._at_old_holder(state, index)
            elif copy == Copy.TO_NEW and state.ready:
                yield from self._at_new_holder(state, index)

    def _at_old_holder(self, state: RequestState, index: int) -> Iterator[Step]:
        refused = state._replace(copies=_put(state.copies, index, Copy.REFUSED))
        joined = state._replace(copies=_put(state.copies, index, Copy.ANSWERED))
        if state.usable:
            yield f"old holder is not current, refuses copy {index}", refused
        elif state.tables[OLD] != Table.NONE:
            yield f"old holder joins copy {index}", joined
        else:
            yield f"old holder is full, refuses copy {index}", refused
            tables = _put(state.tables, OLD, Table.QUEUED)
            yield f"old holder queues copy {index}", joined._replace(tables=tables)

    def _at_new_holder(self, state: RequestState, index: int) -> Iterator[Step]:
        answered = state._replace(copies=_put(state.copies, index, Copy.ANSWERED))
        known = state.tables[NEW] != Table.NONE
        if known and self.rules.join_known_id:
            yield f"new holder joins copy {index}", answered
        elif self._may_be_forgotten(state):
            yield f"new holder answers unknown to copy {index}", answered
        else:
            refused = state._replace(copies=_put(state.copies, index, Copy.REFUSED))
            yield f"new holder is full, refuses copy {index}", refused
            tables = _put(state.tables, NEW, Table.QUEUED)
            yield f"new holder queues copy {index}", answered._replace(tables=tables)

    def _may_be_forgotten(self, state: RequestState) -> bool:
        if state.evicted and self.rules.expired_ids_unknown:
            return True
        if state.complete or not self.rules.since_raised:
            return False
        since = Made.AFTER_USABLE if self.rules.since_is_usable_time else Made.BEFORE_USABLE
        return state.seems_made < since

    def _old_holder_steps(self, state: RequestState) -> Iterator[Step]:
        if state.usable:
            return
        table = state.tables[OLD]
        if table == Table.QUEUED:
            after = state._replace(
                tables=_put(state.tables, OLD, Table.REPLICATING),
                backups=tuple(Backup.SENT if b == Backup.EMPTY else b for b in state.backups),
            )
            yield "old holder sends the record to its backups", after
        if table == Table.REPLICATING and (state.acked or not self.rules.replicate_first):
            after = state._replace(
                tables=_put(state.tables, OLD, Table.DISPATCHED),
                starts=state.starts | {OLD},
                sent=state.sent | {OLD},
            )
            yield "old holder dispatches", after

    def _backup_steps(self, state: RequestState) -> Iterator[Step]:
        for index in BACKUPS:
            backup = state.backups[index]
            if backup == Backup.SENT and not self._fenced(state, index):
                after = state._replace(
                    backups=_put(state.backups, index, Backup.STORED),
                    acked=state.acked | {index},
                )
                yield f"backup {index} stores the record, its ack arrives", after
            if backup != Backup.LOST and Backup.LOST not in state.backups:
                lost = state._replace(backups=_put(state.backups, index, Backup.LOST))
                yield f"backup {index} is lost", lost

    def _fenced(self, state: RequestState, index: int) -> bool:
        return index in state.copied and self.rules.backups_fence

    def _takeover_steps(self, state: RequestState) -> Iterator[Step]:
        if not state.claimed:
            yield "new holder's claim is appended", state._replace(claimed=True)
            return
        if not state.ready:
            for index in BACKUPS:
                if index not in state.copied and state.backups[index] != Backup.LOST:
                    yield f"backup {index} gives its records", self._copy(state, index)
        if not state.usable:
            yield "old holder lapses, new claim is usable", state._replace(usable=True)
        elif not state.ready:
            complete = len(state.copied) == len(BACKUPS)
            label = "complete" if complete else "incomplete"
            after = state._replace(ready=True, complete=complete)
            yield f"new holder begins, records {label}", after

    @staticmethod
    def _copy(state: RequestState, index: int) -> RequestState:
        after = state._replace(copied=state.copied | {index})
        if state.backups[index] == Backup.STORED:
            return after._replace(tables=_put(state.tables, NEW, Table.FOUND))
        return after

    def _new_holder_steps(self, state: RequestState) -> Iterator[Step]:
        if not state.ready:
            return
        table = state.tables[NEW]
        if table == Table.FOUND:
            if state.runs[OLD]:
                ended = state._replace(tables=_put(state.tables, NEW, Table.ENDED))
                yield "worker knows the old task", ended
            else:
                after = state._replace(
                    tables=_put(state.tables, NEW, Table.QUEUED),
                    refused=self.rules.query_refuses_task,
                )
                yield "worker never saw the old task and will refuse it", after
        if table == Table.QUEUED and NEW not in state.starts:
            after = state._replace(
                tables=_put(state.tables, NEW, Table.DISPATCHED),
                starts=state.starts | {NEW},
                sent=state.sent | {NEW},
            )
            yield "new holder dispatches", after
        if table == Table.DISPATCHED and state.runs[NEW]:
            ended = state._replace(tables=_put(state.tables, NEW, Table.ENDED))
            yield "new holder gets the answer", ended
        if table == Table.ENDED:
            after = state._replace(tables=_put(state.tables, NEW, Table.NONE), evicted=True)
            yield "new holder drops the ended record", after

    def _worker_steps(self, state: RequestState) -> Iterator[Step]:
        for holder in sorted(state.starts):
            after = state._replace(starts=state.starts - {holder})
            name = "old" if holder == OLD else "new"
            if holder == OLD and state.refused:
                yield "worker refuses the old task", after
            else:
                runs = _put(state.runs, holder, min(state.runs[holder] + 1, 2))
                yield f"worker runs the {name} task", after._replace(runs=runs)


ONCE = "the request runs at most once"
NOT_RUN = "not_run is true"

Requests.properties = {
    ONCE: lambda s: sum(s.runs) <= 1,
    NOT_RUN: lambda s: not (s.told_not_run and sum(s.runs)),
}
Requests.witnesses = {
    "not_run is said": lambda s: s.told_not_run,
    "new holder finds a task that ran": lambda s: bool(s.runs[OLD])
    and s.tables[NEW] == Table.ENDED,
    "new holder runs a task found unstarted": lambda s: s.refused and bool(s.runs[NEW]),
    "takeover misses the record of a task that ran": lambda s: (
        bool(s.runs[OLD]) and s.ready and s.tables[NEW] == Table.NONE and not s.evicted
    ),
    "retry after the answer was dropped": lambda s: s.evicted and s.copies[RETRY] == Copy.ANSWERED,
    "old holder dispatches after the claim was appended": lambda s: (
        s.made == Made.BEFORE_USABLE and OLD in s.sent
    ),
}
Requests.mutants = (
    Mutant("join_known_id", ONCE),
    Mutant("replicate_first", ONCE),
    Mutant("backups_fence", ONCE),
    Mutant("since_raised", ONCE),
    Mutant("since_is_usable_time", ONCE),
    Mutant("refuse_future_ids", ONCE),
    Mutant("expired_ids_unknown", ONCE),
    Mutant("query_refuses_task", ONCE),
    Mutant("all_copies_refused", NOT_RUN),
    Mutant("retries_marked", NOT_RUN),
)
