"""Starts: how the leader of the job scheduler starts one task on workers that may restart."""

from collections.abc import Iterator

from fescuecrank_model.specification import Mutant, Rules, Specification, Step
from fescuecrank_model.start_calls import (
    NO_CLOCK,
    NO_RUN,
    Call,
    Fleet,
    Kind,
    Lease,
    Result,
    Worker,
    acknowledge_b,
    carry_out,
    end_done,
    forget_ends,
    hold_answer,
    lapse,
    restart,
    start_on_b,
)
from fescuecrank_model.start_faults import (
    StartFaults,
    carried_out,
    describe,
    is_refused,
    is_unanswered,
    unanswered,
)
from fescuecrank_model.start_leader import (
    FIRST_LEADER,
    FIRST_TOKENS,
    NO_TOKEN,
    SECOND_LEADER,
    Exchange,
    LeaderLogic,
    Phase,
    Record,
    RunState,
    StartState,
    View,
)
from fescuecrank_model.start_rules import FencedRules, StartRules

# Faults of calls (no answer, a slow one, a refusal, a list that is cut off) and restarts in one
# behaviour, beside the change of leader. Larger bounds take minutes.
MAX_FAULTS = 1
MAX_RESTARTS = 1


ANSWERED = {"order": LeaderLogic.on_order_done, "hold": LeaderLogic.on_hold_done}


class Starts(Specification):
    """One task, two workers, two leaders, and calls that are carried out late.

    The first worker may restart under its id, and every call to it may get no answer and be carried
    out at any later time, by whichever incarnation is there. The second worker is always reached.
    Time is reduced to what a wait guarantees: `_silence_steps` and `_expire_steps`.
    """

    name = "starts"
    rules_class = StartRules
    max_states = 1_000_000
    max_faults = MAX_FAULTS
    max_restarts = MAX_RESTARTS
    # Whether a new leader may meet the run before it has read the job.
    jobs_may_be_unread = False

    def __init__(self, rules: Rules | None = None) -> None:
        super().__init__(rules)
        self.leader = LeaderLogic(self.rules)
        self.faults = StartFaults(self.leader, self.jobs_may_be_unread)

    def initial(self) -> StartState:
        """Start with a waiting task, and an end of another task that is not acknowledged."""
        return StartState(Fleet(a=Worker(token=FIRST_TOKENS[FIRST_LEADER])))

    def steps(self, state: StartState) -> Iterator[Step]:
        """Yield the steps of the leader, the calls, the workers and time, then the faults."""
        for label, after in self._all_steps(state):
            yield label, self._canonical(after)

    def steps_without_faults(self, state: StartState) -> list[StartState]:
        """Return the states that follow `state` without a fault, restart or change of leader."""
        return [self._canonical(after) for _, after in self._regular_steps(state)]

    def _all_steps(self, state: StartState) -> Iterator[Step]:
        if state.fleet.redone or state.fleet.at_work > 1:
            return
        yield from self._regular_steps(state)
        if state.faults < self.max_faults:
            for label, after in self.faults.fault_steps(state):
                yield label, after._replace(faults=state.faults + 1)
        if self._may_restart(state):
            after = state._replace(fleet=restart(state.fleet))
            yield f"A restarts as incarnation {after.fleet.a.incarnation}", after
        if state.view.leader == FIRST_LEADER:
            yield from self.faults.takeover_steps(state)

    def _may_restart(self, state: StartState) -> bool:
        return state.fleet.a.incarnation <= self.max_restarts

    def _canonical(self, state: StartState) -> StartState:
        """Drop what can no longer affect a property.

        A late hold that neither grants a lease nor acknowledges an end only raises the token, so
        that calls are refused which may as well be lost. Without restarts to come, calls below the
        token of the worker are refused. Once the end is acknowledged, or the task can run on B
        only, starts alone matter.
        """
        late = state.late
        fleet, phase = state.fleet, state.record.phase
        if phase in (Phase.ON_B, Phase.DONE) and not (fleet.redone or state.rival):
            starts = {call for call in unanswered(state) if call.kind is Kind.START}
            on_a = fleet.a.runs or fleet.a.done
            if (fleet.noted and phase is Phase.DONE) or not (starts or on_a):
                late = starts
                a = fleet.a._replace(lease=Lease.NONE, done=NO_RUN, rerun=False, lapsed=False)
                fleet = Fleet(a, noted=True)
                view = View(leader=state.view.leader)
                state = StartState(
                    fleet, Record(Phase.DONE, state.record.run), view, faults=state.faults
                )
        if not late:
            return state
        a = state.fleet.a
        last = not self._may_restart(state)
        late = frozenset(
            call
            for call in late
            if (call.kind is not Kind.HOLD or call.last_seen or call.clock != NO_CLOCK)
            and not (last and is_refused(a, call))
        )
        return state._replace(late=late)

    def _regular_steps(self, state: StartState) -> Iterator[Step]:
        """Yield the steps that are no faults."""
        if not (state.fleet.noted and state.record.phase is Phase.DONE):
            yield from self._place_steps(state)
            yield from self._order_steps(state)
            yield from self._hold_steps(state)
        yield from self._worker_steps(state)
        yield from self._late_steps(state)
        yield from self._silence_steps(state)
        yield from self._expire_steps(state)
        yield from self.faults.lost_steps(state, answered=True)

    # The leader.

    def _place_steps(self, state: StartState) -> Iterator[Step]:
        view, record = state.view, state.record
        if not view.job_read:
            yield "new leader reads the job", self.leader.on_job_read(state)
            return
        if record.phase is not Phase.WAITING or view.state is not RunState.NONE:
            return
        run = record.run + 1
        if self.rules.wait_before_other_start and view.open_token != NO_TOKEN:
            return
        after = state.with_record(phase=Phase.ON_B, run=run)
        yield f"leader starts run {run} on B", after._replace(fleet=start_on_b(state.fleet, run))
        if view.contact and view.accepted and state.order is None:
            after = state.with_record(phase=Phase.ON_A, run=run)
            yield f"leader records run {run} and sends its start to A", self._start_sent(after)

    def _start_sent(self, state: StartState) -> StartState:
        view, hold = state.view, state.hold
        outranked = hold is not None and hold.call.last_seen and hold.call.token == view.token
        token = view.token + bool(self.rules.starts_outrank_acks and outranked)
        call = Call(Kind.START, token, state.record.run, clock=view.known, leader=view.leader)
        state = state._replace(order=Exchange(call))
        return state.with_view(token=token, state=RunState.SENT, confirmed=False, listed=False)

    def _order_steps(self, state: StartState) -> Iterator[Step]:
        view = state.view
        if state.order is not None:
            if state.order.answer is not None:
                call = state.order.call
                label = f"{call.kind.name.lower()} of run {call.run} is answered"
                yield label, self.leader.on_order_done(state)
            return
        fenced = view.accepted >= view.token or not self.rules.earlier_start_fenced
        if view.state is RunState.UNANSWERED and view.contact and fenced:
            after = state
            if self.rules.open_starts_recorded and view.open_token != NO_TOKEN:
                after = state.with_record(open_start=True)
            yield f"leader repeats the start of run {state.record.run}", self._start_sent(after)
        if view.state is RunState.STOPPING and not view.confirmed:
            call = Call(Kind.STOP, view.token, state.record.run, leader=view.leader)
            yield f"leader sends a stop of run {call.run}", state._replace(order=Exchange(call))

    def _hold_steps(self, state: StartState) -> Iterator[Step]:
        if state.hold is None:
            call = self._next_hold(state)
            exchange = Exchange(call, covers=state.view.confirmed, settles=state.view.expired)
            after = state._replace(hold=exchange)
            yield f"leader sends a hold with last_seen {call.last_seen}", after
        elif state.hold.answer is not None:
            answer = state.hold.answer
            label = f"hold is answered by incarnation {answer.incarnation}, running"
            label += f" {answer.running}, done {answer.done}"
            yield label, self.leader.on_hold_done(state)
        elif state.stale is not None:
            after = state._replace(hold=state.hold._replace(answer=state.stale), stale=None)
            yield "the answer to an earlier hold arrives", self.leader.on_hold_done(after)
        known = state.view.known
        if known and state.fleet.a.incarnation != known:
            after = self.leader.on_restart(state, state.fleet.a.incarnation, None)
            yield "the entry of A shows its restart", after

    def _next_hold(self, state: StartState) -> Call:
        view = state.view
        may_ack = view.fresh or not self.rules.ack_after_answer
        if self.rules.wait_before_ack:
            open_start = view.open_token != NO_TOKEN or state.start_in_flight
            may_ack = may_ack and not open_start
        grants = view.state is not RunState.NONE and view.accepted
        if not view.contact and self.rules.silent_holds_without_deadline:
            grants = False
        return Call(
            Kind.HOLD,
            view.token,
            last_seen=view.seen if may_ack else 0,
            clock=view.known if grants else NO_CLOCK,
            leader=view.leader,
            silent=bool(grants) and not view.contact,
        )

    # Workers and calls.

    def _worker_steps(self, state: StartState) -> Iterator[Step]:
        for name in ("order", "hold"):
            exchange = getattr(state, name)
            if not is_unanswered(exchange):
                continue
            label, after = carried_out(state, name)
            yield label, ANSWERED[name](self.leader, after)
            call = exchange.call
            if call.last_seen and not self.rules.acks_do_not_wait:
                answer = getattr(after, name).answer
                if answer.result is Result.OK:
                    arrived = exchange._replace(arrived=answer.incarnation)
                    yield f"{describe(call)} waits at A", after._replace(hold=arrived)
        if state.hold is not None and state.hold.arrived == state.fleet.a.incarnation:
            fleet = forget_ends(state.fleet, state.hold.call.last_seen)
            answered = state.hold._replace(answer=hold_answer(fleet.a))
            after = self.leader.on_hold_done(state._replace(fleet=fleet, hold=answered))
            yield "A answers the hold that waits", after
        for run in sorted(state.fleet.a.runs):
            yield f"run {run} ends done on A", state._replace(fleet=end_done(state.fleet, run))
        if state.fleet.run_b != NO_RUN:
            fleet = state.fleet._replace(run_b=NO_RUN, done_b=True)
            yield f"run {state.fleet.run_b} ends done on B", state._replace(fleet=fleet)
        if state.fleet.done_b:
            after = state._replace(fleet=acknowledge_b(state.fleet))
            yield "leader stores and acknowledges the end on B", after.with_record(phase=Phase.DONE)
        if state.rival:
            after = state._replace(rival=False, fleet=start_on_b(state.fleet, state.record.run + 1))
            yield "former leader starts the task on B", after

    def _late_steps(self, state: StartState) -> Iterator[Step]:
        for call in sorted(state.late):
            fleet, answer = carry_out(state.fleet, call)
            late = state.late - {call}
            if fleet == state.fleet:
                yield f"{describe(call)} has no effect", state._replace(late=late)
            else:
                label = f"A, incarnation {answer.incarnation}, carries out {describe(call)} late"
                yield f"{label}: {answer.result.name}", state._replace(fleet=fleet, late=late)

    # Time.

    def _pending(self, state: StartState) -> list[Call]:
        """Return the calls that may be carried out and that the waits of the leader cover."""
        covered = self.rules.permission_from_sending
        return [call for call in unanswered(state) if covered or call.leader == state.view.leader]

    def _silence_steps(self, state: StartState) -> Iterator[Step]:
        """Give up the run on A when its lease is over.

        After the short lease every deadline on the clock of its incarnation has passed; after the
        longest one, counted from the last call that may grant one, every lease.
        """
        view = state.view
        if view.state is RunState.NONE or (view.contact and view.accepted):
            return
        if state.order is not None:
            # Orders time out before any lease does.
            return
        if not view.long and (
            view.open_token == NO_TOKEN or not self.rules.wait_before_other_start
        ):
            fleet = lapse(state.fleet) if state.fleet.a.lease is Lease.SHORT else state.fleet
            after = self._all_expired(state._replace(fleet=fleet))
            yield "the lease of A is over, as the leader believes", self.leader.given_up(after)
        elif not self._late_grants(state):
            over = {Lease.SHORT, Lease.LONG} if self._waits_long(view) else {Lease.SHORT}
            fleet = lapse(state.fleet) if state.fleet.a.lease in over else state.fleet
            after = self._all_expired(state._replace(fleet=fleet))
            if self.rules.wait_before_other_start:
                after = self.leader.no_open_start(after)
            yield "the longest lease of A is over", self.leader.given_up(after)

    def _waits_long(self, view: View) -> bool:
        return view.long or self.rules.wait_for_longest_lease

    def _late_grants(self, state: StartState) -> bool:
        calls = self._pending(state)
        if not self.rules.late_calls_expire:
            calls = [call for call in calls if call not in state.late]
        return any(call.clock != NO_CLOCK and not call.silent for call in calls)

    def _all_expired(self, state: StartState) -> StartState:
        covered = set(self._pending(state))
        late = frozenset(c._replace(expired=True) if c in covered else c for c in state.late)
        state = state._replace(late=late)
        for name in ("hold", "order"):
            exchange = getattr(state, name)
            if exchange is not None and exchange.call.clock != NO_CLOCK:
                call = exchange.call._replace(expired=True)
                state = state._replace(**{name: exchange._replace(call=call)})
        return state

    def _expire_steps(self, state: StartState) -> Iterator[Step]:
        """Let the time pass after which no unanswered start is carried out any more."""
        view = state.view
        if view.open_token == NO_TOKEN or view.expired or state.start_in_flight:
            return
        starts = [call for call in self._pending(state) if call.kind is Kind.START]
        if not starts or not self.rules.late_calls_expire:
            yield "the time for late starts is over", state.with_view(expired=True)


ONE_RUN = "at most one run of the task at a time"
NO_RERUN = "no run is started after an end done that is acknowledged then or later"

Starts.properties = {
    ONE_RUN: lambda s: s.fleet.at_work <= 1,
    NO_RERUN: lambda s: not s.fleet.redone,
}
Starts.witnesses = {
    "end done on A is stored without faults": lambda s: (
        s.record.phase is Phase.DONE and s.fleet.a.done > 0 and s.faults == 0
    ),
    "late start runs the task in a later incarnation": lambda s: (
        s.fleet.a.incarnation > 1 and bool(s.fleet.a.runs) and s.view.known == 1
    ),
    "task completes on B after the longest lease": lambda s: (
        s.fleet.noted and s.record.run > 1 and s.record.phase is Phase.DONE
    ),
    "successor completes a run of the first leader": lambda s: (
        s.view.leader == SECOND_LEADER and s.record == Record(Phase.DONE, 1) and s.fleet.noted
    ),
}
Starts.mutants = (
    Mutant("keep_runs_of_new_incarnation", ONE_RUN),
    Mutant("token_after_unanswered", NO_RERUN),
    Mutant("take_back_listed_run", ONE_RUN),
    Mutant("late_calls_expire", ONE_RUN),
    Mutant("wait_before_other_start", ONE_RUN),
    Mutant("wait_before_ack", NO_RERUN),
    Mutant("wait_for_longest_lease", ONE_RUN),
    Mutant("longest_lease_inherited", ONE_RUN),
    Mutant("clock_of_start_answers", ONE_RUN),
    Mutant("starts_outrank_acks", NO_RERUN),
    Mutant("acks_do_not_wait", NO_RERUN),
    Mutant("silent_holds_without_deadline", ONE_RUN),
    Mutant("open_starts_recorded", NO_RERUN),
)


class FencedStarts(Starts):
    """The same task on workers that do not restart, without any wait for late calls."""

    name = "fenced-starts"
    rules_class = FencedRules
    max_faults = 2
    max_restarts = 0
    jobs_may_be_unread = True


FencedStarts.witnesses = {
    name: witness for name, witness in Starts.witnesses.items() if "incarnation" not in name
}
FencedStarts.mutants = (
    Mutant("record_before_start", ONE_RUN),
    Mutant("claim_fenced", ONE_RUN),
    Mutant("earlier_start_fenced", ONE_RUN),
    Mutant("unmatched_done_completes", NO_RERUN),
    Mutant("token_after_unanswered", NO_RERUN),
    Mutant("calls_sent_once", NO_RERUN),
    Mutant("holds_numbered", NO_RERUN),
    Mutant("truncated_shows_none_missing", NO_RERUN),
    Mutant("permission_from_sending", ONE_RUN),
    Mutant("unread_jobs_keep_ends", NO_RERUN),
)
