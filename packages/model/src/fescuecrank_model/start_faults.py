"""Faults of `starts`: calls that are lost or late, slow answers, refusals, the change of leader."""

from collections.abc import Iterator

import attrs

from fescuecrank_model.specification import Step
from fescuecrank_model.start_calls import NO_RUN, Answer, Call, Kind, Result, Worker, carry_out
from fescuecrank_model.start_leader import (
    FIRST_TOKENS,
    NO_TOKEN,
    SECOND_LEADER,
    Exchange,
    LeaderLogic,
    Phase,
    Record,
    StartState,
    View,
)


def is_unanswered(exchange: Exchange | None) -> bool:
    """Return whether a call is open that has not been carried out."""
    return exchange is not None and exchange.answer is None and not exchange.arrived


def unanswered(state: StartState) -> set[Call]:
    """Return the calls that have not been carried out."""
    pending = set(state.late)
    exchanges = (state.hold, state.order)
    return pending | {exchange.call for exchange in exchanges if is_unanswered(exchange)}


def carried_out(state: StartState, name: str) -> Step:
    """Carry an open call out; its answer is on the way."""
    exchange = getattr(state, name)
    fleet, answer = carry_out(state.fleet, exchange.call)
    label = f"A, incarnation {answer.incarnation}, answers {describe(exchange.call)}: "
    label += answer.result.name
    if exchange.call.kind is Kind.HOLD and answer.result is Result.OK:
        label += f", running {answer.running}, done {answer.done}"
    after = state._replace(fleet=fleet)
    return label, after._replace(**{name: exchange._replace(answer=answer)})


def describe(call: Call) -> str:
    """Return a call as traces name it."""
    name = f"a {call.kind.name.lower()} with token {call.token}"
    if call.kind is Kind.HOLD:
        return f"{name}, last_seen {call.last_seen}"
    return f"{name} of run {call.run}"


def is_refused(a: Worker, call: Call) -> bool:
    """Return whether this incarnation does nothing for a call, now and later."""
    if call.token < a.token:
        return True
    past = call.run <= a.stopped or (call.expired and call.clock == a.incarnation)
    return call.kind is Kind.START and past


@attrs.frozen
class StartFaults:
    """Faults that the leader meets; `jobs_may_be_unread` is that of the specification."""

    leader: LeaderLogic
    jobs_may_be_unread: bool

    def fault_steps(self, state: StartState) -> Iterator[Step]:
        """Yield the faults of calls."""
        for name in ("order", "hold"):
            if is_unanswered(getattr(state, name)):
                label, after = carried_out(state, name)
                yield f"{label}; the answer is slow", after
        yield from self.lost_steps(state, answered=False)
        if state.hold is not None:
            yield from self._cut_off_steps(state)
        if state.order is not None:
            yield from self._refusal_steps(state)
        if is_unanswered(state.hold) and is_unanswered(state.order):
            after = self.leader.hold_lost(self.leader.order_lost(state))
            yield "contact with A is lost: the open calls get no answer", after
        if state.start_in_flight and not self.leader.rules.calls_sent_once:
            after = state._replace(late=state.late | {state.order.call})
            yield "the client sends the start a second time", after

    def takeover_steps(self, state: StartState) -> Iterator[Step]:
        """Yield the takeover by the second leader, which may not have read the job yet."""
        yield "another leader takes over", self._taken_over(state, True)
        if self.jobs_may_be_unread and state.record.phase is Phase.ON_A:
            yield "another leader takes over, without the job", self._taken_over(state, False)

    def lost_steps(self, state: StartState, answered: bool) -> Iterator[Step]:
        """Let the leader give up a call: a slow answer is lost, or the call may come late."""
        lost = {"order": self.leader.order_lost, "hold": self.leader.hold_lost}
        for name in lost:
            exchange = getattr(state, name)
            if exchange is not None and (exchange.answer is not None) == answered:
                yield f"{describe(exchange.call)} gets no answer", lost[name](state)

    def _cut_off_steps(self, state: StartState) -> Iterator[Step]:
        if not is_unanswered(state.hold):
            return
        label, after = carried_out(state, "hold")
        answer = after.hold.answer
        if answer.done != NO_RUN:
            cut = answer._replace(done=NO_RUN, truncated=True)
            after = after._replace(hold=after.hold._replace(answer=cut))
            yield f"{label}, cut off at its limit", self.leader.on_hold_done(after)

    def _refusal_steps(self, state: StartState) -> Iterator[Step]:
        call = state.order.call
        a = state.fleet.a
        if state.start_in_flight and state.order.answer is None and call.token >= a.token:
            fleet = state.fleet._replace(a=a._replace(token=call.token))
            answer = Answer(Result.ROOM, a.incarnation)
            after = state._replace(fleet=fleet, order=state.order._replace(answer=answer))
            yield f"A refuses the start of run {call.run} for want of room", after

    def _taken_over(self, state: StartState, job_read: bool) -> StartState:
        late = unanswered(state)
        record = state.record
        if record.phase is Phase.ON_A and not self.leader.rules.record_before_start:
            record = Record(Phase.WAITING, record.run - 1)
        token = FIRST_TOKENS[SECOND_LEADER]
        may_run = record.phase is Phase.ON_A or record.open_start
        view = View(
            leader=SECOND_LEADER,
            known=0,
            token=token,
            accepted=NO_TOKEN,
            fresh=False,
            seen=0,
            open_token=token - 1 if may_run else NO_TOKEN,
            long=may_run and self.leader.rules.longest_lease_inherited,
            job_read=False,
        )
        rival = record.phase is Phase.WAITING and not self.leader.rules.claim_fenced
        after = StartState(
            state.fleet, record, view, late=frozenset(late), rival=rival, faults=state.faults
        )
        return self.leader.on_job_read(after) if job_read else after
