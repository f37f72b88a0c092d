"""Crashes of workers: which runs are suspected, cleared or given up.

`suspicion` explains the points that the tasks collect.
"""

from collections import deque
from collections.abc import Container

import attrs

from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.crashing_kinds import CrashingKinds, kind_name
from fescuecrank_scheduler.jobs import Job, Suspicion, Task, TaskId
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.suspicion import (
    AT_WORK_PERCENT,
    GIVE_UP_POINTS,
    GONE_POINTS,
    REPORTED_POINTS,
    Loss,
    crash_points,
    is_prompt,
)
from fescuecrank_scheduler.workers import Run, Worker

# Workers that go away within this time of each other have a cause in common, such as their rack;
# connections are reset within a few milliseconds of a crash.
COINCIDENCE_MS = 50

# If more workers go away at once, this process is cut off or was paused. Storing points for all
# their runs, and taking them back, would rewrite the records of all running jobs.
MAX_COINCIDENT = 8


@attrs.define
class Crashes:
    """Crashes of workers under one leadership."""

    state: LeaderState
    kinds: CrashingKinds = attrs.field(init=False)
    # Workers that went away in the last `COINCIDENCE_MS`, without those that a trial explains.
    _losses: deque[tuple[int, str]] = attrs.field(factory=deque)

    @kinds.default
    def _make_kinds(self) -> CrashingKinds:
        return CrashingKinds(self.state)

    def on_contact_lost(self, worker: Worker, timed_out: bool, now: Now) -> None:
        """Suspect the runs of a worker that does not answer any more; see `Loss.timed_out`."""
        if self._leaves_as_planned(worker):
            return
        if not worker.runs or not worker.last_answer_ms:
            # Switched off, or away since before this leadership.
            self._suspect(worker, Loss(now.mono_ms, timed_out), now)
            return
        if _ended_trial(worker, Loss(now.mono_ms, timed_out)):
            # The trial explains the loss, so it has no cause in common with others.
            self._suspect(worker, Loss(now.mono_ms, timed_out), now)
            return
        while self._losses and self._losses[0][0] < now.mono_ms - COINCIDENCE_MS:
            self._losses.popleft()
        others = [self.state.workers.get(worker_id) for _, worker_id in self._losses]
        self._losses.append((now.mono_ms, worker.id))
        if len(others) >= MAX_COINCIDENT:
            return
        self._suspect(worker, Loss(now.mono_ms, timed_out, coincident=bool(others)), now)
        for other in others:
            for run in other.runs.values() if other is not None else ():
                if not run.isolated:
                    self._lower_points(run, REPORTED_POINTS)

    def on_crash(self, worker: Worker, now: Now, kept: Container[TaskId] = ()) -> list[Run]:
        """Suspect the runs of a worker that has crashed; return those whose tasks to give up.

        Runs of `kept` tasks were started since.

        The loss of contact may have been recorded by the previous leader.
        """
        if worker.contact_lost_ms is None and not self._leaves_as_planned(worker):
            self._suspect(worker, Loss(now.mono_ms), now, kept)
        self.state.crash_count += bool(worker.runs)
        lost = [run for task, run in worker.runs.items() if task not in kept]
        return [run for run in lost if self._confirm(run)]

    def on_run_missing(self, worker: Worker, run: Run) -> list[Run]:
        """Suspect a run that its worker does not know; return it if its task is to be given up.

        A worker that has restarted under the same id while no process led knows none of its runs.
        """
        found = self._find(run)
        if found is not None and run.adopted and not run.loss_counted:
            job, task = found
            # A worker that is older than the job has not restarted since; it never had the run.
            restarted = worker.started_ms > job.accepted_ms
            if restarted and task.suspicion.run != run.number:
                self._add_points(job, task, run, REPORTED_POINTS)
        return [run] if self._confirm(run) else []

    def _confirm(self, run: Run, needed_points: int = GIVE_UP_POINTS) -> bool:
        """Keep the points for a run that was lost; return whether its task is to be given up."""
        found = self._find(run)
        if found is None or found[1].suspicion.run != run.number:
            return False
        job, task = found
        known = task.suspicion
        # The number stays, so that the next leader does not count the loss of this run again.
        task.suspicion = Suspicion(known.points, run.number, 0, known.alone)
        run.loss_counted = True
        self.state.mark_changed(job)
        return known.alone and known.points >= needed_points

    def on_lease_expired(self, worker: Worker, kept: Container[TaskId] = ()) -> list[Run]:
        """Judge the runs of a worker that did not answer again; return those to give up.

        Runs of `kept` tasks may still have a lease.

        A worker that is still listed is only cut off from this process. One that is not may have
        crashed, or be cut off from the store as well, so more evidence is asked for.
        """
        if worker.listed:
            for run in worker.runs.values():
                self._lower_points(run, REPORTED_POINTS)
            return []
        lost = [run for task, run in worker.runs.items() if task not in kept]
        return [run for run in lost if self._confirm(run, GONE_POINTS)]

    def on_planned_end(self, worker: Worker) -> None:
        """Clear the runs of a worker that was shut down by an order."""
        for run in worker.runs.values():
            self.clear(run)

    def on_reported(self, worker: Worker, run: Run) -> None:
        """End the isolation of a run that the worker has reported for long enough."""
        if run.task not in worker.isolated_runs or run.isolated:
            return
        worker.isolated_runs.discard(run.task)
        self.state.request_placement(worker.pool)
        self.kinds.on_proven(run)
        found = self._find(run)
        if found is not None and run.step.long_running and run.percent >= AT_WORK_PERCENT:
            job, task = found
            task.suspicion = Suspicion()
            self.state.mark_changed(job)

    def clear(self, run: Run) -> None:
        """Take back the points that a run's task got from its worker's silence."""
        run.suspected = False
        self.kinds.on_cleared(run)
        self._lower_points(run, 0)

    def _leaves_as_planned(self, worker: Worker) -> bool:
        draining = bool(worker.address) and not worker.ready
        return draining or worker.cordoned or worker.retired

    def _suspect(self, worker: Worker, loss: Loss, now: Now, kept: Container[TaskId] = ()) -> None:
        """Suspect the runs of a worker but those of `kept` tasks, and their kinds."""
        runs = [run for task, run in worker.runs.items() if task not in kept]
        isolated = any(run.isolated for run in runs)
        prompt = [run for run in runs if is_prompt(run, loss)]
        prompt_jobs = len({run.task.job for run in prompt})
        if isolated or not loss.coincident:
            blamed = [run for run in prompt if run.isolated or not isolated]
            others = [run for run in runs if run not in blamed and not run.isolated]
            self.kinds.on_crash(worker.id, blamed, others, now)
        explained = any(self._kind_confirmed(run) for run in prompt)
        suspects = {}
        for run in runs:
            found = self._find(run)
            if found is None or (isolated and not run.isolated):
                continue
            job, task = found
            # The previous leader may have counted the loss of this run already.
            if task.suspicion.run == run.number or run.loss_counted:
                continue
            points = crash_points(run, loss, prompt_jobs)
            if explained and not self._kind_confirmed(run):
                points = min(points, REPORTED_POINTS)
            if points:
                self._add_points(job, task, run, points)
                suspects[run.label] = task.suspicion.points
        if suspects:
            self.state.log("runs_suspected", worker=worker.id, points=suspects)

    def _kind_confirmed(self, run: Run) -> bool:
        return self.kinds.is_confirmed(kind_name(run.queue, run.step))

    def _add_points(self, job: Job, task: Task, run: Run, points: int) -> None:
        total = task.suspicion.points + points
        task.suspicion = Suspicion(total, run.number, points, run.isolated)
        run.suspected = True
        self.state.mark_changed(job)

    def _lower_points(self, run: Run, points: int) -> None:
        """Lower what the loss of a run counts to `points`, if it counts more."""
        found = self._find(run)
        if found is None or found[1].suspicion.run != run.number:
            return
        job, task = found
        known = task.suspicion
        if known.run_points > points:
            total = known.points - known.run_points + points
            task.suspicion = Suspicion(total, run.number if points else 0, points, known.alone)
            self.state.mark_changed(job)

    def _find(self, run: Run) -> tuple[Job, Task] | None:
        """Return the job and the task of a run; None if it is not the task's current run."""
        job = self.state.table.jobs.get(run.task.job)
        task = job.task(run.task) if job is not None and job.outcome is None else None
        return (job, task) if task is not None and task.run == run.number else None


def _ended_trial(worker: Worker, loss: Loss) -> bool:
    """Return whether a worker went away as a run was tried there, which explains its loss."""
    return any(run.isolated and is_prompt(run, loss) for run in worker.runs.values())
