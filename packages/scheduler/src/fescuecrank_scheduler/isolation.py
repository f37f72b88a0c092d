"""Placement of tasks that are suspected of crashing their workers.

A suspected task starts on a worker without other runs, so that a crash harms nobody and can be
attributed. A pool in a burst has no such worker: some are reserved and empty as their runs end.
Where long-running tasks are on all workers it never empties, so after some time a worker is taken
of which every run has been reported.
"""

from collections.abc import Iterable

import attrs

from fescuecrank_scheduler import placement
from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.jobs import Job, Step, Task
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.limits import Limits
from fescuecrank_scheduler.ordering import Demand, ReadyStep, step_work
from fescuecrank_scheduler.runs import Runs
from fescuecrank_scheduler.suspicion import ISOLATION_POINTS, isolation_ms
from fescuecrank_scheduler.workers import Worker

# Largest share of a pool's workers that is kept free for suspected tasks.
MAX_RESERVED_SHARE = 0.25

# A task that is the only suspect, or has been suspected before, waits this many times as long for a
# worker without other runs: it is likely to crash the worker.
STRONG_WAIT_FACTOR = 4


def allowed_workers(
    state: LeaderState, job: Job, ready: ReadyStep, usable: list[Worker], now: Now
) -> list[Worker]:
    """Return the usable workers that the queue's advice allows; all if it needs none."""
    queue = state.config.queue(job.queue)
    if queue is None or not queue.needs_advice:
        return usable
    workers = state.advice.workers_with_ticket(
        job, ready.occurrence, ready.number, usable, now, state.limits
    )
    state.effects.extend(state.advice.take_effects())
    return workers


@attrs.define
class Isolation:
    """Places suspected tasks, each on a worker of its own."""

    state: LeaderState
    runs: Runs

    def place_suspects(self, demands: Iterable[Demand], usable: list[Worker], now: Now) -> float:
        """Place the suspected tasks of one pool; return the work left waiting, in core-ms.

        Tasks with the fewest points come first, as they are the least likely to crash a worker.
        """
        unplaced = 0.0
        waiting = 0
        ready_steps = [(demand.job, ready) for demand in demands for ready in demand.suspected]
        ready_steps.sort(key=lambda item: min(task.suspicion.points for task in item[1].tasks))
        for job, ready in ready_steps:
            step = job.steps[ready.number]
            workers = allowed_workers(self.state, job, ready, usable, now)
            groups = [ready.tasks] if step.gang else [(task,) for task in ready.tasks]
            team = self.state.config.teams.get(job.team)
            for tasks in groups:
                if self.state.usage.room(team, step.need, len(tasks)) < len(tasks):
                    break
                if not self._place(job, ready, tasks, workers, now):
                    unplaced += step_work(step, len(tasks))
                    waiting += len(tasks)
        if waiting:
            self._reserve_workers(usable, waiting, now)
        return unplaced

    def _place(
        self, job: Job, ready: ReadyStep, tasks: tuple[Task, ...], workers: list[Worker], now: Now
    ) -> bool:
        step = job.steps[ready.number]
        if step.gang and len(tasks) < step.count:
            return False
        since = self.state.isolation_since.setdefault(tasks[0].id, now.mono_ms)
        # The other members of a gang are isolated as long as the one that is suspected most.
        most = max(tasks, key=lambda task: task.suspicion.points)
        waited = now.mono_ms - since >= wait_ms(most, self.state.limits)
        candidates = [worker for worker in workers if _is_quiet(worker, waited)]
        chosen = self._choose(job, ready, step, len(tasks), candidates)
        if chosen is None:
            return False
        number = max(task.run for task in tasks) + 1
        for task, worker in zip(tasks, chosen, strict=True):
            usual_ms = self.state.limits.isolation_ms
            duration_ms = isolation_ms(most, step.long_running, usual_ms)
            self.runs.plan(worker, job, task, number, now, duration_ms)
            worker.reserved_until_ms = 0
            self.state.log(
                "run_isolated",
                task=task.id.label,
                run=number,
                worker=worker.id,
                points=task.suspicion.points,
                beside=len(worker.runs) - 1,
                waited_ms=now.mono_ms - since,
            )
        return True

    def _choose(
        self, job: Job, ready: ReadyStep, step: Step, count: int, candidates: list[Worker]
    ) -> list[Worker] | None:
        if step.gang:
            return placement.choose_gang(candidates, job.id, ready.occurrence, ready.number, step)
        fitting = [
            worker
            for worker in candidates
            if step.reservation.fits(worker.free)
            and placement.satisfies_constraints(
                worker, step, placement.peers_on(worker, job.id, ready.occurrence, ready.number)
            )
        ]
        if not fitting:
            return None

        # A worker that has run for long is unlikely to crash for another reason.
        def cost(worker: Worker) -> tuple[int, bool, int]:
            far = bool(step.affinity) and step.affinity not in worker.labels
            return (len(worker.runs), far, worker.started_ms)

        return [min(fitting, key=cost)]

    def _reserve_workers(self, usable: list[Worker], waiting: int, now: Now) -> None:
        """Keep new runs off some workers, until the next isolated runs can start there."""
        most = max(1, int(MAX_RESERVED_SHARE * len(usable)))
        reserved = sum(worker.reserved_until_ms > now.mono_ms for worker in usable)
        open_workers = [
            worker
            for worker in usable
            if not worker.isolated_runs and worker.reserved_until_ms <= now.mono_ms
        ]

        def cost(worker: Worker) -> tuple[int, float]:
            return (worker.long_running_cpu, worker.started_work)

        open_workers.sort(key=cost)
        for worker in open_workers[: max(0, min(most, waiting) - reserved)]:
            worker.reserved_until_ms = now.mono_ms + self.state.limits.isolation_wait_ms


def wait_ms(task: Task, limits: Limits) -> int:
    """Return how long a task waits for a worker without other runs."""
    factor = 1 if task.suspicion.points <= ISOLATION_POINTS else STRONG_WAIT_FACTOR
    return factor * limits.isolation_wait_ms


def _is_quiet(worker: Worker, waited: bool) -> bool:
    """Return whether a run can be isolated on a worker, beside reported runs after a wait."""
    if worker.isolated_runs:
        return False
    return not worker.runs or (waited and all(run.reported_ms for run in worker.runs.values()))
