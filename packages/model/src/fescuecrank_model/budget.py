"""Budget: waves, an operator, failures and a takeover compete for the outages of one pool."""

from collections.abc import Iterator
from typing import NamedTuple

import attrs

from fescuecrank_model.specification import Mutant, Rules, Specification, Step

WORKERS = (0, 1, 2)
INITIATORS = ("first wave", "second wave", "operator")
MAX_OUT = 1
MAX_FAILURES = 2
UP, PLANNED, FAILED = "up", "planned", "failed"
IN_SERVICE, OUT, UNANSWERED = "in", "out", "unanswered"
NOBODY = ""


@attrs.frozen
class BudgetRules(Rules):
    """Rules of section 9 of the design that mutants disable."""

    unanswered_count_as_out: bool = True
    failures_count_as_out: bool = True
    initiators_share_budget: bool = True
    fence_at_worker: bool = True
    answers_raise_fence: bool = True


class Worker(NamedTuple):
    """One worker: its state, its fence, and what the current holder knows of it.

    `initiator` is the wave or the operator that started the planned outage the holder knows of.
    `commands_in_flight` contains the epochs of the reboot commands on their way to the worker.
    """

    state: str
    fence: int
    holder_view: str
    initiator: str
    commands_in_flight: frozenset[int]


class BudgetState(NamedTuple):
    """The epoch of the holder, the workers, and the number of failures so far.

    `budget_exceeded` is set once the holder starts a planned outage while other planned outages,
    and failures that it knows of, use up the budget.
    """

    epoch: int
    workers: tuple[Worker, ...]
    failures: int
    budget_exceeded: bool


def _with_worker(budget: BudgetState, index: int, **changes: object) -> BudgetState:
    workers = list(budget.workers)
    workers[index] = workers[index]._replace(**changes)
    return budget._replace(workers=tuple(workers))


class Budget(Specification):
    """Three workers, of which one may be out; the cell is taken over at most once.

    Failures alone may exceed the budget, and a failure that the holder does not know of yet cannot
    prevent a planned outage. `claims` covers that an old holder starts nothing after a takeover;
    its commands may still be in flight.
    """

    name = "budget"
    rules_class = BudgetRules
    max_states = 500_000

    def initial(self) -> BudgetState:
        """Start with all workers in service."""
        worker = Worker(UP, 0, IN_SERVICE, NOBODY, frozenset())
        return BudgetState(0, (worker,) * len(WORKERS), 0, False)

    def steps(self, state: BudgetState) -> Iterator[Step]:
        """Yield the takeover, failures, commands, answers and planned outages."""
        if state.epoch == 0:
            holder_view = UNANSWERED if self.rules.unanswered_count_as_out else IN_SERVICE
            workers = tuple(
                w._replace(holder_view=holder_view, initiator=NOBODY) for w in state.workers
            )
            yield "another holder takes over", state._replace(epoch=1, workers=workers)
        for index in WORKERS:
            yield from self._failure_steps(state, index)
            yield from self._command_steps(state, index)
            yield from self._answer_steps(state, index)
            for initiator in INITIATORS:
                yield from self._outage_steps(state, index, initiator)

    @staticmethod
    def _failure_steps(state: BudgetState, index: int) -> Iterator[Step]:
        worker = state.workers[index]
        if worker.state == UP and state.failures < MAX_FAILURES:
            after = _with_worker(state, index, state=FAILED)._replace(failures=state.failures + 1)
            yield f"worker {index} fails", after
        if worker.state == FAILED and worker.holder_view == IN_SERVICE:
            yield f"the instance list shows worker {index} as failed", _with_worker(
                state, index, holder_view=OUT
            )
        if worker.state in (FAILED, PLANNED):
            yield f"worker {index} is up again", _with_worker(state, index, state=UP)

    def _command_steps(self, state: BudgetState, index: int) -> Iterator[Step]:
        worker = state.workers[index]
        for epoch in worker.commands_in_flight:
            commands_in_flight = worker.commands_in_flight - {epoch}
            yield f"a command to worker {index} is lost", _with_worker(
                state, index, commands_in_flight=commands_in_flight
            )
            fenced = epoch < worker.fence and self.rules.fence_at_worker
            if worker.state != UP or fenced:
                continue
            fence = max(worker.fence, epoch)
            after = _with_worker(
                state, index, commands_in_flight=commands_in_flight, state=PLANNED, fence=fence
            )
            yield f"worker {index} reboots by a command of epoch {epoch}", after

    def _answer_steps(self, state: BudgetState, index: int) -> Iterator[Step]:
        worker = state.workers[index]
        if (
            worker.state != UP
            or state.epoch in worker.commands_in_flight
            or worker.holder_view == IN_SERVICE
        ):
            return
        fence = state.epoch if self.rules.answers_raise_fence else worker.fence
        after = _with_worker(state, index, holder_view=IN_SERVICE, initiator=NOBODY, fence=fence)
        yield f"worker {index} answers the holder", after

    def _outage_steps(self, state: BudgetState, index: int, initiator: str) -> Iterator[Step]:
        worker = state.workers[index]
        others = [w for i, w in enumerate(state.workers) if i != index]
        if worker.holder_view != IN_SERVICE or self._count_out(others, initiator) >= MAX_OUT:
            return
        after = _with_worker(
            state,
            index,
            holder_view=OUT,
            initiator=initiator,
            commands_in_flight=worker.commands_in_flight | {state.epoch},
        )
        budget_exceeded = sum(_is_known_out(other) for other in others) >= MAX_OUT
        label = f"the holder takes worker {index} out for the {initiator}"
        yield label, after._replace(budget_exceeded=state.budget_exceeded or budget_exceeded)

    def _count_out(self, others: list[Worker], initiator: str) -> int:
        """Return the number of workers that the holder counts as out for this initiator."""
        out = [worker for worker in others if worker.holder_view != IN_SERVICE]
        if not self.rules.failures_count_as_out:
            out = [worker for worker in out if worker.initiator or worker.holder_view == UNANSWERED]
        if not self.rules.initiators_share_budget:
            out = [worker for worker in out if worker.initiator in (initiator, NOBODY)]
        return len(out)


def _is_known_out(worker: Worker) -> bool:
    """Return whether a worker is in a planned outage, or has failed and the holder knows of it."""
    return worker.state == PLANNED or (worker.state == FAILED and worker.holder_view == OUT)


PLANNED_WITHIN_BUDGET = "planned outages stay within the budget"
NO_OUTAGE_OVER_BUDGET = "no planned outage starts while the budget is used up"

Budget.properties = {
    PLANNED_WITHIN_BUDGET: lambda s: sum(w.state == PLANNED for w in s.workers) <= MAX_OUT,
    NO_OUTAGE_OVER_BUDGET: lambda s: not s.budget_exceeded,
}
Budget.witnesses = {
    "command of the old holder in flight after a takeover": lambda s: (
        s.epoch == 1 and any(0 in w.commands_in_flight for w in s.workers)
    ),
    "new holder takes a worker out": lambda s: any(1 in w.commands_in_flight for w in s.workers),
    "failures exceed the budget": lambda s: sum(w.state == FAILED for w in s.workers) > MAX_OUT,
    "worker fails while another is out for the operator": lambda s: (
        any(w.state == FAILED for w in s.workers)
        and any(w.state == PLANNED and w.initiator == "operator" for w in s.workers)
    ),
}
Budget.mutants = (
    Mutant("unanswered_count_as_out", PLANNED_WITHIN_BUDGET),
    Mutant("failures_count_as_out", NO_OUTAGE_OVER_BUDGET),
    Mutant("initiators_share_budget", PLANNED_WITHIN_BUDGET),
    Mutant("fence_at_worker", PLANNED_WITHIN_BUDGET),
    Mutant("answers_raise_fence", PLANNED_WITHIN_BUDGET),
)
