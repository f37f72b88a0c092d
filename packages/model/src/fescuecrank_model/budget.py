"""Availability budget of one pool: waves, an operator, failures and a takeover race for it."""

from collections.abc import Iterator
from typing import NamedTuple

import attrs

from fescuecrank_model.specification import Mutant, Rules, Specification, Step

WORKERS = (0, 1, 2)
REQUESTERS = ("first wave", "second wave", "operator")
MAX_OUT = 1
MAX_FAILURES = 2
UP, PLANNED, FAILED = "up", "planned", "failed"
IN, OUT, UNANSWERED = "in", "out", "unanswered"
NOBODY = ""


@attrs.frozen
class BudgetRules(Rules):
    """Rules of section 9 that this specification can leave out."""

    unanswered_count_as_out: bool = True
    failures_count: bool = True
    requesters_count_together: bool = True
    fence_at_worker: bool = True
    answers_raise_fence: bool = True


class Worker(NamedTuple):
    """One worker: its state, its fence, and what the present holder knows of it.

    `by` is who asked for the outage that the holder knows of. `commands` are the epochs of reboot
    commands that are under way to it.
    """

    state: str
    fence: int
    view: str
    by: str
    commands: frozenset[int]


class BudgetState(NamedTuple):
    """The epoch of the holder, the workers, and the number of failures so far.

    `overspent` is set when a planned outage was decided on although the budget was used up.
    """

    epoch: int
    workers: tuple[Worker, ...]
    failures: int
    overspent: bool


def _put(cell: BudgetState, index: int, **changes: object) -> BudgetState:
    workers = list(cell.workers)
    workers[index] = workers[index]._replace(**changes)
    return cell._replace(workers=tuple(workers))


class Budget(Specification):
    """Three workers, of which one may be out; the cell is taken over at most once.

    A failure may exceed the budget by itself, and one that the holder has not noticed yet cannot
    stop a planned outage. That an old holder decides nothing after a takeover is left to `claims`;
    its commands may still be under way.
    """

    name = "budget"
    rules_class = BudgetRules
    max_states = 500_000

    def initial(self) -> BudgetState:
        """Start with all workers in service."""
        worker = Worker(UP, 0, IN, NOBODY, frozenset())
        return BudgetState(0, (worker,) * len(WORKERS), 0, False)

    def steps(self, state: BudgetState) -> Iterator[Step]:
        """Yield failures, answers, decisions, commands and the takeover."""
        if state.epoch == 0:
            view = UNANSWERED if self.rules.unanswered_count_as_out else IN
            workers = tuple(w._replace(view=view, by=NOBODY) for w in state.workers)
            yield "another holder takes over", state._replace(epoch=1, workers=workers)
        for index in WORKERS:
            yield from self._failure_steps(state, index)
            yield from self._command_steps(state, index)
            yield from self._answer_steps(state, index)
            for requester in REQUESTERS:
                yield from self._decisions(state, index, requester)

    @staticmethod
    def _failure_steps(state: BudgetState, index: int) -> Iterator[Step]:
        worker = state.workers[index]
        if worker.state == UP and state.failures < MAX_FAILURES:
            after = _put(state, index, state=FAILED)._replace(failures=state.failures + 1)
            yield f"worker {index} fails", after
        if worker.state == FAILED and worker.view == IN:
            yield f"the list shows worker {index} as failed", _put(state, index, view=OUT)
        if worker.state in (FAILED, PLANNED):
            yield f"worker {index} is up again", _put(state, index, state=UP)

    def _command_steps(self, state: BudgetState, index: int) -> Iterator[Step]:
        worker = state.workers[index]
        for epoch in worker.commands:
            commands = worker.commands - {epoch}
            yield f"a command to worker {index} is lost", _put(state, index, commands=commands)
            fenced = epoch < worker.fence and self.rules.fence_at_worker
            if worker.state != UP or fenced:
                continue
            fence = max(worker.fence, epoch)
            after = _put(state, index, commands=commands, state=PLANNED, fence=fence)
            yield f"worker {index} reboots by a command of epoch {epoch}", after

    def _answer_steps(self, state: BudgetState, index: int) -> Iterator[Step]:
        worker = state.workers[index]
        if worker.state != UP or state.epoch in worker.commands or worker.view == IN:
            return
        fence = state.epoch if self.rules.answers_raise_fence else worker.fence
        after = _put(state, index, view=IN, by=NOBODY, fence=fence)
        yield f"worker {index} answers the holder", after

    def _decisions(self, state: BudgetState, index: int, requester: str) -> Iterator[Step]:
        worker = state.workers[index]
        others = [w for i, w in enumerate(state.workers) if i != index]
        if worker.view != IN or self._count(others, requester) >= MAX_OUT:
            return
        after = _put(state, index, view=OUT, by=requester, commands=worker.commands | {state.epoch})
        overspent = sum(_is_known_out(other) for other in others) >= MAX_OUT
        label = f"the holder takes worker {index} out for the {requester}"
        yield label, after._replace(overspent=state.overspent or overspent)

    def _count(self, others: list[Worker], requester: str) -> int:
        """Return the workers that the holder counts as out."""
        out = [worker for worker in others if worker.view != IN]
        if not self.rules.failures_count:
            out = [worker for worker in out if worker.by or worker.view == UNANSWERED]
        if not self.rules.requesters_count_together:
            out = [worker for worker in out if worker.by in (requester, NOBODY)]
        return len(out)


def _is_known_out(worker: Worker) -> bool:
    """Return whether a worker is out for a reason that the holder has been told of."""
    return worker.state == PLANNED or (worker.state == FAILED and worker.view == OUT)


PLANNED_WITHIN = "planned outages stay within the budget"
NOT_OVERSPENT = "no planned outage is decided on a budget that is used up"

Budget.properties = {
    PLANNED_WITHIN: lambda s: sum(w.state == PLANNED for w in s.workers) <= MAX_OUT,
    NOT_OVERSPENT: lambda s: not s.overspent,
}
Budget.witnesses = {
    "command of the old holder under way after a takeover": lambda s: (
        s.epoch == 1 and any(0 in w.commands for w in s.workers)
    ),
    "new holder takes a worker out": lambda s: any(1 in w.commands for w in s.workers),
    "failures exceed the budget": lambda s: sum(w.state == FAILED for w in s.workers) > MAX_OUT,
    "worker fails while another is out for the operator": lambda s: (
        any(w.state == FAILED for w in s.workers)
        and any(w.state == PLANNED and w.by == "operator" for w in s.workers)
    ),
}
Budget.mutants = (
    Mutant("unanswered_count_as_out", PLANNED_WITHIN),
    Mutant("failures_count", NOT_OVERSPENT),
    Mutant("requesters_count_together", PLANNED_WITHIN),
    Mutant("fence_at_worker", PLANNED_WITHIN),
    Mutant("answers_raise_fence", PLANNED_WITHIN),
)
