"""Placement of tasks that may crash their workers.

A suspected task, or one whose kind is suspected (see `crashing_kinds`), starts on a worker without
other runs, so that a crash harms nobody and can be attributed. A pool in a burst has no such
worker: some are reserved and empty as their runs end. Tasks that were tried there and have proven
well are stopped and started elsewhere if others wait for their trial, since that is sooner than
their end. Where long tasks are on all workers none empties, so after some time a worker is taken of
which every run has been reported.

Trials, and workers that have crashed under one, take a bounded share of the pool. A task that has
crashed a worker on which it was alone is likely to do so again, which takes the worker away for
seconds: it is tried again when no other trial waits.
"""

from collections.abc import Iterable, Iterator

import attrs

from fescuecrank_scheduler import placement
from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.crashing_kinds import CrashingKinds, Scope, step_key
from fescuecrank_scheduler.jobs import Job, Phase, Step, Task
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.limits import Limits
from fescuecrank_scheduler.ordering import Demand, ReadyStep, step_work
from fescuecrank_scheduler.runs import Runs
from fescuecrank_scheduler.suspicion import (
    ISOLATION_POINTS,
    PROMPT_MS,
    SOLE_POINTS,
    isolation_ms,
)
from fescuecrank_scheduler.workers import Run, RunState, Worker

# A task that is the only suspect, or has been suspected before, waits this many times as long for a
# worker without other runs: it is likely to crash the worker.
STRONG_WAIT_FACTOR = 4

# A worker is set aside for this long; each pass renews it, and passes are at most 200 ms apart.
RESERVED_MS = 400

# A trial delays a step by about this time: until it has proven well, its stop and its next start.
TRIAL_OVERHEAD_MS = 350


def allowed_workers(
    state: LeaderState, job: Job, ready: ReadyStep, usable: list[Worker], now: Now
) -> list[Worker]:
    """Return the usable workers that the queue's advice allows; all if it needs none."""
    queue = state.config.queue(job.queue)
    if queue is None or not queue.needs_advice:
        return usable
    workers = state.advice.workers_with_ticket(
        job, ready.occurrence, ready.number, usable, now, state.limits, len(ready.tasks)
    )
    state.send_advice_calls()
    return workers


@attrs.frozen
class Trial:
    """Tasks of a step that start together, without other runs on their worker.

    The members of a gang start on a worker each.
    """

    demand: Demand
    ready: ReadyStep
    tasks: tuple[Task, ...]

    @property
    def job(self) -> Job:
        """The job of the tasks."""
        return self.demand.job

    @property
    def step(self) -> Step:
        """The step of the tasks."""
        return self.job.steps[self.ready.number]

    @property
    def suspect(self) -> Task:
        """The task with the most points."""
        return max(self.tasks, key=lambda task: task.suspicion.points)

    @property
    def repeated(self) -> bool:
        """Whether a worker has crashed under one of the tasks while it was alone there."""
        return any(is_likely_culprit(task) for task in self.tasks)


def is_likely_culprit(task: Task) -> bool:
    """Return whether a worker has crashed under the task while it was alone there."""
    return task.suspicion.alone and task.suspicion.points >= SOLE_POINTS


@attrs.define
class Isolation:
    """Places tasks that may crash their workers."""

    state: LeaderState
    runs: Runs
    # Pools in which work that needs no trial found no room in the last pass.
    full_pools: set[str] = attrs.field(factory=set)
    # Steps with a run in trial, as of the current pass.
    _on_trial: set[tuple[str, int, int]] = attrs.field(factory=set)

    @property
    def kinds(self) -> CrashingKinds:
        """The suspected kinds."""
        return self.runs.crashes.kinds

    def needed(self, demands: Iterable[Demand]) -> bool:
        """Return whether tasks of these jobs have to be tried."""
        return any(demand.suspected or self.kinds.in_queue(demand.job.queue) for demand in demands)

    def startable(self, job: Job, ready: ReadyStep) -> ReadyStep:
        """Return the tasks of a ready step that may start beside other runs."""
        step = job.steps[ready.number]
        kind = self.kinds.of_step(job.queue, step)
        if kind is None:
            return ready
        waiting = tuple(task for task in ready.tasks if task.phase is Phase.WAITING)
        if kind.record.scope == Scope.TASK:
            waiting = tuple(task for task in waiting if task.id in self.kinds.proven_tasks)
        elif self._is_held(job, ready):
            waiting = ()
        if step.gang and len(waiting) < step.count:
            waiting = ()
        return attrs.evolve(ready, tasks=waiting)

    def _is_held(self, job: Job, ready: ReadyStep) -> bool:
        """Return whether a step waits until one of its tasks has proven well."""
        if any(is_likely_culprit(task) for task in job.tasks[ready.occurrence, ready.number]):
            return True
        return not self.kinds.proven(job, ready.occurrence, ready.number)

    def place_trials(
        self, pool: str, demands: list[Demand], usable: list[Worker], now: Now
    ) -> tuple[float, float]:
        """Start the trials of one pool, in the order of its demands.

        Returns the work that is left waiting for a trial, in core-ms: all of it, and that of jobs
        that can still end on time. Tasks that are likely to crash their workers do not count.
        """
        members = [worker for worker in self.state.workers.values() if worker.pool == pool]
        self._on_trial = {step_key(task) for worker in members for task in worker.isolated_runs}
        trying = sum(
            bool(worker.isolated_runs) and worker.contact_lost_ms is None for worker in members
        )
        room = self._most_at_risk(pool, members, usable, now) - trying
        trials = [trial for demand in demands for trial in self._trials(demand)]
        trials.sort(key=lambda trial: not self._ends_on_time(trial, now))
        for trial in trials:
            self.state.isolation_since.setdefault(trial.tasks[0].id, now.mono_ms)
        trials.sort(key=lambda trial: self._is_postponed(trial, now))
        left: list[Trial] = []
        for trial in trials:
            postponed = self._is_postponed(trial, now) and left
            if room <= 0 or postponed or not self._place(trial, members, usable, now):
                left.append(trial)
            else:
                room -= len(trial.tasks) if trial.step.gang else 1
        wanted = sum(self._needs_empty_worker(trial) for trial in left)
        self._reserve_workers(usable, min(wanted, room), now)
        work = on_time = 0.0
        for trial in left:
            if trial.repeated:
                continue
            waiting = step_work(trial.step, len(trial.ready.tasks))
            work += waiting
            late = now.wall_ms + trial.demand.critical_path_ms > trial.demand.due_ms
            on_time += 0.0 if late else waiting
        return work, on_time

    def _ends_on_time(self, trial: Trial, now: Now) -> bool:
        """Return whether a job can end on time although each step on its longest chain is tried."""
        trials = sum(1 for step in trial.job.steps if not step.long_running)
        end_ms = now.wall_ms + trial.demand.critical_path_ms + TRIAL_OVERHEAD_MS * trials
        return end_ms <= trial.demand.due_ms

    def _needs_empty_worker(self, trial: Trial) -> bool:
        """Return whether a trial may not be beside other runs.

        While only one crash speaks against a kind, which may have had another cause, a second one
        beside other runs costs less than a wait of the whole kind.
        """
        kind = self.kinds.of_step(trial.job.queue, trial.step)
        return kind is None or kind.record.confirmed > 0 or trial.suspect.suspicion.points > 0

    def _most_at_risk(
        self, pool: str, members: list[Worker], usable: list[Worker], now: Now
    ) -> int:
        """Return how many workers of a pool may be put at risk, without those that are away."""
        limits = self.state.limits
        back = {worker.address for worker in usable}
        away = trying = 0
        for worker in members:
            if worker.address in back or worker.retired or worker.cordoned:
                continue
            lost_ms = worker.contact_lost_ms
            trying += bool(worker.isolated_runs) and lost_ms is None
            away += lost_ms is not None and now.mono_ms - lost_ms < limits.crash_repair_ms
        share = limits.trial_share_full if pool in self.full_pools else limits.trial_share
        most = int(share * (len(usable) + trying + away)) - away
        # A pool with few workers, or few that are not away, has no other way on than a trial.
        return max(most, 1)

    def _is_postponed(self, trial: Trial, now: Now) -> bool:
        since = self.state.isolation_since[trial.tasks[0].id]
        return trial.repeated and now.mono_ms - since < self.state.limits.retrial_wait_ms

    def _trials(self, demand: Demand) -> Iterator[Trial]:
        """Yield the trials of a job that may begin."""
        job = demand.job
        for ready in demand.suspected:
            step = job.steps[ready.number]
            kind = self.kinds.of_step(job.queue, step)
            if step.gang:
                yield Trial(demand, ready, ready.tasks)
            elif kind is None:
                yield from (Trial(demand, ready, (task,)) for task in ready.tasks)
            elif (job.id, ready.occurrence, ready.number) not in self._on_trial:
                # Those that may be without fault are tried together, the others one at a time.
                likely = [task for task in ready.tasks if is_likely_culprit(task)]
                tasks = tuple(task for task in ready.tasks if task not in likely)
                yield Trial(demand, ready, tasks or (likely[0],))
        for ready in demand.ready:
            kind = self.kinds.of_step(job.queue, job.steps[ready.number])
            if kind is None or (job.id, ready.occurrence, ready.number) in self._on_trial:
                continue
            if any(suspected.number == ready.number for suspected in demand.suspected):
                continue
            yield from self._first_trial(demand, ready, kind.record.scope == Scope.TASK)

    def _first_trial(self, demand: Demand, ready: ReadyStep, every_task: bool) -> Iterator[Trial]:
        job = demand.job
        step = job.steps[ready.number]
        if every_task:
            tasks = tuple(task for task in ready.tasks if task.id not in self.kinds.proven_tasks)
        elif self.kinds.proven(job, ready.occurrence, ready.number):
            tasks = ()
        else:
            tasks = ready.tasks[: step.count if step.gang else 1]
        if tasks and not (step.gang and len(ready.tasks) < step.count):
            yield Trial(demand, ready, ready.tasks if step.gang else tasks)

    def _place(self, trial: Trial, members: list[Worker], usable: list[Worker], now: Now) -> bool:
        job, step, tasks = trial.job, trial.step, trial.tasks
        if step.gang and len(tasks) < step.count:
            return False
        team = self.state.config.teams.get(job.team)
        room = self.state.usage.room(team, step.need, len(tasks))
        tasks = tasks if step.gang else tasks[:room]
        if room < len(tasks) or not tasks:
            return False
        since = self.state.isolation_since[tasks[0].id]
        # The other members of a gang are isolated as long as the one that is suspected most.
        most = trial.suspect
        kind = self.kinds.of_step(job.queue, step)
        waited = now.mono_ms - since >= wait_ms(most, self.state.limits)
        if kind is not None and waited:
            waited = not self._may_empty(trial, members, usable, now)
        if self._needs_empty_worker(trial):
            candidates = [worker for worker in usable if _is_quiet(worker, waited)]
        else:
            candidates = [worker for worker in usable if _started_long_ago(worker, now)]
        candidates = allowed_workers(self.state, job, trial.ready, candidates, now)
        chosen = self._choose(trial, tasks, candidates)
        if not chosen:
            return False
        number = max(task.run for task in tasks) + 1
        for task, worker in zip(tasks, chosen, strict=False):
            usual_ms = self.state.limits.isolation_ms
            duration_ms = isolation_ms(most, step.long_running, usual_ms) or usual_ms
            run = number if step.gang else task.run + 1
            self.runs.plan(worker, job, task, run, now, duration_ms)
            if self._needs_empty_worker(trial):
                worker.reserved_until_ms = now.mono_ms + RESERVED_MS
            self.state.log(
                "run_isolated",
                task=task.id.label,
                run=run,
                worker=worker.id,
                points=task.suspicion.points,
                beside=len(worker.runs) - 1,
                waited_ms=now.mono_ms - since,
            )
        return True

    def _may_empty(
        self, trial: Trial, members: list[Worker], usable: list[Worker], now: Now
    ) -> bool:
        """Return whether a trial should go on waiting for workers without other runs.

        That is so while such workers come about: those that were without runs within the time that
        a trial waits have capacity for it. Estimates do not tell, as they can be far off.
        """
        wait = wait_ms(trial.suspect, self.state.limits)
        ids = {worker.id for worker in usable}
        advice, place = self.state.advice, (trial.ready.occurrence, trial.ready.number)
        tasks = sum(
            placement.tasks_that_fit(worker, trial.step, worker.capacity, 0)
            for worker in members
            # One on which a run is tried is not usable until then.
            if (worker.id in ids or (worker.isolated_runs and worker.contact_lost_ms is None))
            and not worker.long_running_cpu
            and not advice.is_refused(trial.job, *place, worker)
            and (not worker.runs or now.mono_ms - worker.busy_since_ms < wait)
        )
        return tasks >= (trial.step.count if trial.step.gang else 1)

    def _choose(
        self, trial: Trial, tasks: tuple[Task, ...], candidates: list[Worker]
    ) -> list[Worker] | None:
        """Return a worker for each task; the tasks of a step that is no gang share one."""
        job, ready, step = trial.job, trial.ready, trial.step
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

        worker = min(fitting, key=cost)
        return placement.choose_workers(
            [worker], job.id, ready.occurrence, ready.number, step, len(tasks)
        )

    def _reserve_workers(self, usable: list[Worker], wanted: int, now: Now) -> None:
        """Keep new runs off some workers, until the next trials can start there."""

        def cost(worker: Worker) -> tuple[int, bool, bool, float]:
            tried = all(run.isolation_ms for run in worker.runs.values())
            reserved = worker.reserved_until_ms > now.mono_ms
            return (worker.long_running_cpu, not tried, not reserved, worker.started_work)

        open_workers = [worker for worker in usable if not worker.isolated_runs]
        open_workers.sort(key=cost)
        for worker in open_workers[: max(0, wanted)]:
            worker.reserved_until_ms = now.mono_ms + RESERVED_MS
            self._move_proven(worker, now)

    def _move_proven(self, worker: Worker, now: Now) -> None:
        """Stop the runs of a worker if all were tried there and have proven well."""
        runs = list(worker.runs.values())
        if all(run.isolation_ms and self._is_movable(run, now) for run in runs):
            for run in runs:
                self.runs.stop(worker, run, now)

    def _is_suspect(self, run: Run) -> bool:
        job = self.state.table.jobs.get(run.task.job)
        task = job.task(run.task) if job is not None else None
        return task is not None and task.suspicion.points >= ISOLATION_POINTS

    def _is_movable(self, run: Run, now: Now) -> bool:
        if self._is_suspect(run):
            # It would have to be tried again wherever it starts.
            return False
        left_ms = run.step.estimate_ms - (now.mono_ms - run.sent_ms)
        return (
            run.state is RunState.RUNNING
            and not run.step.long_running
            and not run.step.gang
            and left_ms >= self.state.limits.min_moved_work_ms
        )


def wait_ms(task: Task, limits: Limits) -> int:
    """Return how long a task waits for a worker without other runs."""
    strong = task.suspicion.points > ISOLATION_POINTS or not task.suspicion.points
    return (STRONG_WAIT_FACTOR if strong else 1) * limits.isolation_wait_ms


def _is_quiet(worker: Worker, waited: bool) -> bool:
    """Return whether a run can be isolated on a worker, beside reported runs after a wait."""
    if worker.isolated_runs:
        return False
    return not worker.runs or (waited and all(run.reported_ms for run in worker.runs.values()))


def _started_long_ago(worker: Worker, now: Now) -> bool:
    """Return whether a crash of the worker could be attributed to a run that starts now."""
    return not worker.isolated_runs and all(
        run.state is not RunState.PLANNED and now.mono_ms - run.sent_ms > PROMPT_MS
        for run in worker.runs.values()
    )
