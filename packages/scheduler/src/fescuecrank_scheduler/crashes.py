"""Crashes of workers: which runs are suspected, cleared or given up.

`suspicion` explains the points that the tasks collect.
"""

from collections import deque

import attrs

from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.jobs import Job, Task
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.suspicion import (
    AT_WORK_PERCENT,
    GIVE_UP_POINTS,
    REPORTED_POINTS,
    crash_points,
    is_prompt,
)
from fescuecrank_scheduler.workers import Run, Worker

# Workers that go away within this time of each other have a cause in common, such as their rack;
# connections are reset within a few milliseconds of a crash.
COINCIDENCE_MS = 50


@attrs.define
class Crashes:
    """Crashes of workers under one leadership."""

    state: LeaderState
    # Workers that went away in the last `COINCIDENCE_MS`.
    _losses: deque[tuple[int, str]] = attrs.field(factory=deque)

    def on_contact_lost(self, worker: Worker, now: Now) -> None:
        """Suspect the runs of a worker that does not answer any more."""
        if self._leaves_as_planned(worker):
            return
        if not worker.runs or not worker.last_answer_ms:
            # Switched off, or away since before this leadership.
            self._suspect(worker, now.mono_ms, coincident=False)
            return
        while self._losses and self._losses[0][0] < now.mono_ms - COINCIDENCE_MS:
            self._losses.popleft()
        others = [self.state.workers.get(worker_id) for _, worker_id in self._losses]
        self._losses.append((now.mono_ms, worker.id))
        self._suspect(worker, now.mono_ms, coincident=bool(others))
        for other in others:
            for run in other.runs.values() if other is not None else ():
                if not run.isolated and run.points > REPORTED_POINTS:
                    self._add_points(run, REPORTED_POINTS - run.points)

    def on_contact_regained(self, worker: Worker) -> None:
        """Clear the runs of a worker that was only silent."""
        for run in worker.runs.values():
            self.clear(run)

    def on_crash(self, worker: Worker, now: Now) -> list[Run]:
        """Suspect the runs of a worker that has crashed; return those whose tasks to give up."""
        if self._leaves_as_planned(worker):
            return []
        if worker.contact_lost_ms is None:
            self._suspect(worker, now.mono_ms, coincident=False)
        given_up = []
        for run in worker.runs.values():
            found = self._find(run)
            if found is not None and run.isolated and run.points:
                _, task = found
                if task.suspicion >= GIVE_UP_POINTS:
                    given_up.append(run)
        return given_up

    def on_lease_expired(self, worker: Worker) -> None:
        """Lower the suspicion of a worker's runs: it was silent, which need not mean a crash."""
        for run in worker.runs.values():
            self._add_points(run, run.points // 2 - run.points)

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
        found = self._find(run)
        if found is not None and run.step.long_running and run.percent >= AT_WORK_PERCENT:
            job, task = found
            task.suspicion = task.suspected_run = 0
            self.state.mark_changed(job)

    def clear(self, run: Run) -> None:
        """Take back the points that a run got from its worker's silence."""
        self._add_points(run, -run.points)

    def _leaves_as_planned(self, worker: Worker) -> bool:
        draining = bool(worker.address) and not worker.ready
        return draining or worker.cordoned or worker.retired

    def _suspect(self, worker: Worker, lost_ms: int, coincident: bool) -> None:
        isolated = any(run.isolated for run in worker.runs.values())
        prompt_runs = any(is_prompt(run, lost_ms) for run in worker.runs.values())
        suspects = {}
        for run in worker.runs.values():
            found = self._find(run)
            if found is None or (isolated and not run.isolated):
                continue
            # The previous leader may have counted the loss of this run already.
            counted = found[1].suspected_run == run.number
            points = 0 if counted else crash_points(run, lost_ms, coincident, prompt_runs)
            if points:
                self._add_points(run, points)
                suspects[run.label] = found[1].suspicion
        if suspects:
            self.state.log("runs_suspected", worker=worker.id, points=suspects)

    def _add_points(self, run: Run, points: int) -> None:
        found = self._find(run)
        if found is None or not points:
            return
        job, task = found
        run.points += points
        task.suspicion = max(0, task.suspicion + points)
        task.suspected_run = run.number if run.points else 0
        self.state.mark_changed(job)

    def _find(self, run: Run) -> tuple[Job, Task] | None:
        """Return the job and the task of a run; None if it is not the task's current run."""
        job = self.state.table.jobs.get(run.task.job)
        task = job.task(run.task) if job is not None and job.outcome is None else None
        return (job, task) if task is not None and task.run == run.number else None
