"""What a leader of `starts` believes and how answers change it."""

import enum
from typing import NamedTuple

import attrs

from fescuecrank_model.start_calls import NO_RUN, OTHER_END, Answer, Call, Fleet, Kind, Result
from fescuecrank_model.start_rules import Measures

FIRST_LEADER, SECOND_LEADER = 1, 2
# Tokens of the second leader are above all of the first one.
FIRST_TOKENS = {FIRST_LEADER: 1, SECOND_LEADER: 100}
NO_TOKEN = 0


class Phase(enum.IntEnum):
    """Phase of the task on the durable record."""

    WAITING = 0
    ON_A = 1
    ON_B = 2
    DONE = 3


class Record(NamedTuple):
    """The durable record: phase, number of the newest run, whether a start may be open.

    `open_start` is true if an unanswered start may be carried out beside the one that the phase
    implies: one of a run that was given up, or one that was repeated.
    """

    phase: Phase = Phase.WAITING
    run: int = NO_RUN
    open_start: bool = False


class RunState(enum.IntEnum):
    """State of the run that the leader has on the first worker."""

    NONE = 0
    SENT = 1
    UNANSWERED = 2
    RUNNING = 3
    STOPPING = 4


class View(NamedTuple):
    """Memory of one leader about the first worker.

    `known` is the incarnation that answered last, 0 before the first answer, `token` that of the
    next calls, `accepted` the highest that this incarnation has answered. `fresh` is true between
    an answer and the next call without one, `seen` the number of the last end that was stored.
    `confirmed` is true once the worker has to list the run or its end, `listed` once it has listed
    the run. `open_token` is that of the newest unanswered start that may still be carried out,
    `expired` is true once none can be carried out any more, and `long` if the lease may be the
    longest one. `job_read` is false until the leader has read the job.
    """

    leader: int = FIRST_LEADER
    known: int = 1
    token: int = FIRST_TOKENS[FIRST_LEADER]
    accepted: int = FIRST_TOKENS[FIRST_LEADER]
    contact: bool = True
    fresh: bool = True
    seen: int = OTHER_END
    state: RunState = RunState.NONE
    confirmed: bool = False
    listed: bool = False
    open_token: int = NO_TOKEN
    expired: bool = False
    long: bool = False
    job_read: bool = True


class Exchange(NamedTuple):
    """The open call of one kind with its answer, if that is on its way back.

    `covers` is true if the run had been confirmed when the hold was sent, `settles` if no start
    could be carried out late any more. `arrived` is the incarnation at which the call waits, or 0.
    """

    call: Call
    answer: Answer | None = None
    covers: bool = False
    settles: bool = False
    arrived: int = 0


class StartState(NamedTuple):
    """Workers, durable record, leader, its open calls, calls that nobody waits for, and faults.

    `late` lists the calls that were given up and may still be carried out, `stale` the answer of a
    hold that was given up (tracked by one mutant only), `rival` whether the first leader may still
    place the task (one mutant only), and `faults` how many faults there were.
    """

    fleet: Fleet
    record: Record = Record()
    view: View = View()
    hold: Exchange | None = None
    order: Exchange | None = None
    late: frozenset[Call] = frozenset()
    stale: Answer | None = None
    rival: bool = False
    faults: int = 0

    def with_view(self, **changes: object) -> "StartState":
        """Return this state with a changed view."""
        return self._replace(view=self.view._replace(**changes))

    def with_record(self, **changes: object) -> "StartState":
        """Return this state with a changed record."""
        return self._replace(record=self.record._replace(**changes))

    @property
    def start_in_flight(self) -> bool:
        """Whether a start has been sent whose answer the leader still waits for."""
        return self.order is not None and self.order.call.kind is Kind.START


@attrs.frozen
class LeaderLogic:
    """Reactions of a leader to answers, silence and restarts."""

    rules: Measures

    def given_up(self, state: StartState) -> StartState:
        """Give up the run on the first worker; its task waits for another start."""
        if state.record.phase is Phase.ON_A:
            state = state.with_record(phase=Phase.WAITING)
            if self.rules.open_starts_recorded and state.view.open_token != NO_TOKEN:
                state = state.with_record(open_start=True)
        return state.with_view(state=RunState.NONE, confirmed=False, listed=False)

    def stopping(self, state: StartState) -> StartState:
        """Stop the run on the first worker before its task is started again."""
        return state.with_view(state=RunState.STOPPING, confirmed=False)

    def raised(self, state: StartState, sent: int) -> StartState:
        """Use a higher token than `sent`, that of a call without an answer."""
        if self.rules.token_after_unanswered and sent == state.view.token:
            state = state.with_view(token=state.view.token + 1)
        return state

    def hold_lost(self, state: StartState) -> StartState:
        """Count a hold as unanswered; it may still be carried out."""
        hold = state.hold
        late, stale = state.late, state.stale
        if hold.answer is None and not hold.arrived:
            late |= {hold.call}
        elif hold.answer is not None and not self.rules.holds_numbered:
            stale = hold.answer
        state = state._replace(hold=None, late=late, stale=stale)
        return self.raised(state.with_view(contact=False, fresh=False), hold.call.token)

    def order_lost(self, state: StartState) -> StartState:
        """Count a start or stop as unanswered; it may still be carried out."""
        call = state.order.call
        late = state.late | {call} if state.order.answer is None else state.late
        state = state._replace(order=None, late=late)
        if call.kind is Kind.STOP:
            return state
        if state.hold is not None:
            # It was sent before the time for this start is over.
            state = state._replace(hold=state.hold._replace(settles=False))
        if state.view.state is RunState.SENT:
            state = state.with_view(state=RunState.UNANSWERED)
        state = state.with_view(open_token=call.token, expired=False)
        if self.rules.open_starts_recorded and state.record.phase is not Phase.ON_A:
            state = state.with_record(open_start=True)
        return self.raised(state, call.token)

    def on_restart(self, state: StartState, known: int, reply: Answer | None) -> StartState:
        """Begin with a later incarnation; keep only runs that it may have been given."""
        view = state.view
        kept = view.state is RunState.RUNNING and not view.listed
        if reply is not None:
            covered = state.hold is None or state.hold.covers
            kept = (kept and not covered) or state.record.run in (reply.running, reply.done)
        kept = kept and self.rules.keep_runs_of_new_incarnation
        if state.hold is not None and (reply is not None or self.rules.discard_open_hold):
            if state.hold.answer is None and not state.hold.arrived:
                state = state._replace(late=state.late | {state.hold.call})
            state = state._replace(hold=None)
        open_start = view.open_token != NO_TOKEN or state.start_in_flight
        open_start = open_start or view.state in (RunState.SENT, RunState.UNANSWERED)
        state = state.with_view(known=known, accepted=0, fresh=False, seen=0, long=True)
        state = self.raised(state, view.token)
        if view.state is RunState.NONE or kept or view.state is RunState.STOPPING:
            return state.with_view(listed=False)
        return self.stopping(state) if open_start else self.given_up(state)

    def on_order_done(self, state: StartState) -> StartState:
        """Apply the answer to a start or stop."""
        call, answer = state.order.call, state.order.answer
        state = state._replace(order=None)
        view = state.view
        if call.kind is Kind.STOP:
            if answer.result is Result.OK and view.state is RunState.STOPPING:
                state = state.with_view(confirmed=True)
            return state
        if view.state is not RunState.SENT:
            return state
        match answer.result:
            case Result.OK:
                state = state.with_view(state=RunState.RUNNING, confirmed=True)
                later = answer.incarnation != view.known
                if later and self.rules.clock_of_start_answers:
                    state = self.on_restart(state, answer.incarnation, None)
                return state
            case Result.OLD:
                return state.with_view(confirmed=True)
            case Result.FENCED:
                return state.with_view(state=RunState.UNANSWERED)
        may_follow = view.open_token != NO_TOKEN and view.open_token >= view.accepted
        if may_follow and self.rules.earlier_start_fenced:
            return self.stopping(state)
        return self.given_up(state)

    def on_hold_done(self, state: StartState) -> StartState:
        """Reconcile what the first worker lists with what is on record."""
        hold = state.hold
        answer = hold.answer
        if answer.result is not Result.OK:
            return state._replace(hold=None).with_view(fresh=False)
        if state.view.known not in (0, answer.incarnation):
            state = self.on_restart(state, answer.incarnation, answer)
        state = state._replace(hold=None).with_view(
            known=answer.incarnation, accepted=hold.call.token, contact=True, fresh=True
        )
        cut_off = answer.truncated and self.rules.truncated_shows_none_missing
        if hold.settles and not (cut_off or state.start_in_flight):
            state = self.no_open_start(state)
        if answer.done != NO_RUN:
            state = self._on_end(state, answer)
        if not state.view.job_read:
            return state
        state = self._on_running(state, answer)
        return self._on_missing(state, answer, hold.covers)

    @staticmethod
    def no_open_start(state: StartState) -> StartState:
        """Count all starts as settled."""
        return state.with_view(open_token=NO_TOKEN, expired=False).with_record(open_start=False)

    def _on_end(self, state: StartState, answer: Answer) -> StartState:
        number = Fleet().a._replace(incarnation=answer.incarnation).end_number
        if number <= state.view.seen:
            return state
        if not state.view.job_read:
            if not self.rules.unread_jobs_keep_ends:
                state = state.with_view(seen=number)
            return state
        state = state.with_view(seen=number)
        matched = state.record == state.record._replace(phase=Phase.ON_A, run=answer.done)
        if not matched and not self.rules.unmatched_done_completes:
            return state
        state = self._settled(state)._replace(fleet=state.fleet._replace(run_b=NO_RUN))
        state = state.with_record(phase=Phase.DONE)
        return state.with_view(state=RunState.NONE, confirmed=False, listed=False)

    def _on_running(self, state: StartState, answer: Answer) -> StartState:
        view, record = state.view, state.record
        if answer.running == NO_RUN:
            return state
        if view.state is not RunState.NONE and answer.running == record.run:
            if view.state is not RunState.STOPPING:
                state = state.with_view(state=RunState.RUNNING, listed=True)
            return self._settled(state)
        again = record.phase is Phase.WAITING and answer.running == record.run
        if again and self.rules.take_back_listed_run:
            state = state.with_record(phase=Phase.ON_A)
            return state.with_view(state=RunState.RUNNING, confirmed=True, listed=True, long=True)
        if state.order is None:
            stop = Call(Kind.STOP, view.token, answer.running, leader=view.leader)
            state = state._replace(order=Exchange(stop))
        return state

    @staticmethod
    def _settled(state: StartState) -> StartState:
        """Count the only start of a run as carried out, since the run is listed or has ended."""
        if not state.record.open_start:
            state = state.with_view(open_token=NO_TOKEN, expired=False)
        return state

    def _on_missing(self, state: StartState, answer: Answer, covers: bool) -> StartState:
        view = state.view
        if view.state is RunState.NONE or not (view.confirmed and covers):
            return state
        if state.record.run in (answer.running, answer.done):
            return state
        if answer.truncated and self.rules.truncated_shows_none_missing:
            return state
        return self.given_up(state)

    @staticmethod
    def on_job_read(state: StartState) -> StartState:
        """Adopt the run that the former leader recorded, now that the job is read."""
        state = state.with_view(job_read=True)
        if state.record.phase is Phase.ON_A:
            state = state.with_view(state=RunState.SENT, confirmed=True)
        return state
