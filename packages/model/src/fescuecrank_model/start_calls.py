"""Worker, calls and answers of `starts`: what a call does whenever it is carried out."""

import enum
from typing import NamedTuple

# Number of the end of another task that the first incarnation lists at the start. The next end of
# that incarnation is one higher; later incarnations number their ends from 1.
OTHER_END = 1

NO_RUN = 0
NO_CLOCK = 0


class Kind(enum.IntEnum):
    """Calls to a worker."""

    HOLD = 0
    START = 1
    STOP = 2


class Result(enum.IntEnum):
    """What a worker answers."""

    OK = 0
    FENCED = 1
    OLD = 2
    LATE = 3
    ROOM = 4


class Lease(enum.IntEnum):
    """Lease of a worker: none, until the deadline on its clock, or for the longest time.

    `RENEWED` is the longest time since a hold that its leader does not count as granting a lease.
    """

    NONE = 0
    SHORT = 1
    LONG = 2
    RENEWED = 3


class Call(NamedTuple):
    """A call of a leader to the first worker.

    `last_seen` is the number of the last end that a hold acknowledges. `clock` is the incarnation
    by whose clock the deadline was computed, `NO_CLOCK` without a deadline, and `expired` is true
    once that deadline has passed. `leader` is the leader that sent it; `silent` is true for a hold
    that was sent while the worker did not answer.
    """

    kind: Kind
    token: int
    run: int = NO_RUN
    last_seen: int = 0
    clock: int = NO_CLOCK
    expired: bool = False
    leader: int = 1
    silent: bool = False


class Answer(NamedTuple):
    """An answer with the incarnation that gave it; holds list a run and an end `done`.

    `truncated` is true if the list of ends was cut off at its limit. A start or stop shows the
    incarnation only by its clock.
    """

    result: Result
    incarnation: int
    running: int = NO_RUN
    done: int = NO_RUN
    truncated: bool = False


class Worker(NamedTuple):
    """One incarnation of the first worker.

    `token` is the highest fencing token seen, `runs` the numbers of the task's runs at work and
    `stopped` the highest number of a run that was stopped or has ended. `done` is the run whose end
    `done` is not acknowledged. `rerun` is true if a run of the task was started since that end, and
    `lapsed` if the lease has lapsed since.
    """

    incarnation: int = 1
    token: int = 0
    runs: frozenset[int] = frozenset()
    stopped: int = NO_RUN
    done: int = NO_RUN
    rerun: bool = False
    lapsed: bool = False
    lease: Lease = Lease.NONE

    @property
    def end_number(self) -> int:
        """Number of the end `done` in this incarnation."""
        return OTHER_END + 1 if self.incarnation == 1 else 1


class Fleet(NamedTuple):
    """Both workers and what has become of the task.

    The second worker is always reached: `run_b` is its run, `done_b` whether it has ended `done`
    and is not acknowledged, and `rerun_b` whether a run was started since. `noted` is true once an
    end `done` was acknowledged, and `redone` if a run was started after an end that was noted then
    or later.
    """

    a: Worker = Worker()
    run_b: int = NO_RUN
    done_b: bool = False
    rerun_b: bool = False
    noted: bool = False
    redone: bool = False

    @property
    def at_work(self) -> int:
        """How many runs of the task are at work."""
        return len(self.a.runs) + (self.run_b != NO_RUN)


def count_start(fleet: Fleet) -> Fleet:
    """Record that a run of the task is started somewhere."""
    a = fleet.a
    rerun = a.rerun or (a.done != NO_RUN and not a.lapsed)
    return fleet._replace(
        a=a._replace(rerun=rerun),
        rerun_b=fleet.rerun_b or fleet.done_b,
        redone=fleet.redone or fleet.noted,
    )


def start_on_b(fleet: Fleet, run: int) -> Fleet:
    """Start a run on the second worker."""
    return count_start(fleet)._replace(run_b=run)


def acknowledge_b(fleet: Fleet) -> Fleet:
    """Acknowledge the end at the second worker."""
    return fleet._replace(
        done_b=False, rerun_b=False, noted=True, redone=fleet.redone or fleet.rerun_b
    )


def forget_ends(fleet: Fleet, last_seen: int) -> Fleet:
    """Let the first worker forget the ends up to `last_seen`."""
    a = fleet.a
    if a.done == NO_RUN or a.end_number > last_seen:
        return fleet
    return fleet._replace(
        a=a._replace(done=NO_RUN, rerun=False, lapsed=False),
        noted=fleet.noted or not a.lapsed,
        redone=fleet.redone or (a.rerun and not a.lapsed),
    )


def carry_out(fleet: Fleet, call: Call) -> tuple[Fleet, Answer]:
    """Carry a call out at the first worker, whichever incarnation it is."""
    a = fleet.a
    if call.token < a.token:
        return fleet, Answer(Result.FENCED, a.incarnation)
    fleet = fleet._replace(a=a._replace(token=call.token))
    match call.kind:
        case Kind.START:
            return _carry_out_start(fleet, call)
        case Kind.STOP:
            runs = frozenset(run for run in a.runs if run != call.run)
            a = fleet.a._replace(runs=runs, stopped=max(a.stopped, call.run))
            return fleet._replace(a=_without_idle_lease(a)), Answer(Result.OK, a.incarnation)
    fleet = forget_ends(_extend_lease(fleet, call), call.last_seen)
    return fleet, hold_answer(fleet.a)


def hold_answer(a: Worker) -> Answer:
    """Return what a hold is answered with."""
    return Answer(Result.OK, a.incarnation, max(a.runs, default=NO_RUN), a.done)


def _carry_out_start(fleet: Fleet, call: Call) -> tuple[Fleet, Answer]:
    a = fleet.a
    if call.run in a.runs:
        return fleet, Answer(Result.OK, a.incarnation)
    if call.run <= a.stopped:
        return fleet, Answer(Result.OLD, a.incarnation)
    if call.expired and call.clock == a.incarnation:
        return fleet, Answer(Result.LATE, a.incarnation)
    fleet = count_start(fleet)
    fleet = fleet._replace(a=fleet.a._replace(runs=a.runs | {call.run}))
    return _extend_lease(fleet, call), Answer(Result.OK, a.incarnation)


def _extend_lease(fleet: Fleet, call: Call) -> Fleet:
    """Extend the lease of all that runs at the first worker to the deadline of a call.

    A deadline on the clock of an earlier incarnation lies far ahead on that of a later one, which
    shortens it to the longest lease.
    """
    a = fleet.a
    if call.clock == NO_CLOCK or (call.expired and call.clock == a.incarnation) or not a.runs:
        return fleet
    lease = Lease.RENEWED if call.silent else Lease.LONG
    if call.clock == a.incarnation:
        lease = Lease.SHORT
    return fleet._replace(a=a._replace(lease=max(a.lease, lease)))


def _without_idle_lease(a: Worker) -> Worker:
    return a if a.runs or a.done else a._replace(lease=Lease.NONE)


def end_done(fleet: Fleet, run: int) -> Fleet:
    """Let a run of the first worker end `done`."""
    a = fleet.a
    a = a._replace(
        runs=a.runs - {run}, stopped=max(a.stopped, run), done=run, rerun=False, lapsed=False
    )
    return fleet._replace(a=a)


def lapse(fleet: Fleet) -> Fleet:
    """Let the lease of the first worker run out, which ends all that runs there."""
    a = fleet.a
    return fleet._replace(
        a=a._replace(
            runs=frozenset(),
            stopped=max((a.stopped, *a.runs)),
            lapsed=a.done != NO_RUN,
            lease=Lease.NONE,
        )
    )


def restart(fleet: Fleet) -> Fleet:
    """Restart the first worker under its id; it knows nothing of before."""
    return fleet._replace(a=Worker(incarnation=fleet.a.incarnation + 1))
