"""Life cycle of runs: starts, stops, ends and their effect on the job."""

from collections.abc import Iterator

import attrs

from fescuecrank_scheduler import health
from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.crashes import Crashes
from fescuecrank_scheduler.effects import StartRun, StopRun
from fescuecrank_scheduler.events import CallResult, StartDone, StopDone
from fescuecrank_scheduler.jobs import Job, Outcome, Phase, Step, Task, TaskId
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.workers import Run, RunState, Worker

# End reasons of a run; only `failed` counts as an attempt of the task.
DONE, FAILED = "done", "failed"


def all_tasks(job: Job) -> Iterator[Task]:
    """Yield the tasks of a job that have been created."""
    for tasks in list(job.tasks.values()):
        yield from tasks


@attrs.define
class Runs:
    """All runs under one leadership."""

    state: LeaderState
    crashes: Crashes = attrs.field(init=False)

    @crashes.default
    def _make_crashes(self) -> Crashes:
        return Crashes(self.state)

    # Starts.

    def register(
        self,
        worker: Worker,
        job: Job,
        task: Task,
        state: RunState,
        now: Now,
        isolation_ms: int = 0,
    ) -> None:
        """Add a run of `task` to `worker` and reserve its resources."""
        step = job.steps[task.id.step]
        run = Run(task.id, task.run, step, job.team, job.queue, state, checkpoint=task.checkpoint)
        run.sent_ms, run.isolation_ms = now.mono_ms, isolation_ms
        worker.add_run(run)
        self.state.usage.add(job.team, step.need)
        self.state.placements[task.id] = worker.id

    def plan(
        self, worker: Worker, job: Job, task: Task, number: int, now: Now, isolation_ms: int = 0
    ) -> None:
        """Assign a task to a worker; its start is sent when the record of it is stored."""
        task.run, task.worker, task.phase = number, worker.id, Phase.ASSIGNED
        job.started = True
        self.state.mark_changed(job)
        self.state.isolation_since.pop(task.id, None)
        self.register(worker, job, task, RunState.PLANNED, now, isolation_ms)
        self.state.planned.append((worker.id, task.id, number))

    def send_start(self, worker: Worker, run: Run, now: Now) -> None:
        """Send or repeat the start of a run whose record is stored."""
        deadline = worker.grant_lease(now.mono_ms, self.state.limits)
        if deadline is None:
            self.run_ended(worker, run, "withdrawn", "", now)
            return
        run.state, run.sent_ms = RunState.SENT, now.mono_ms
        run.first_sent_ms = run.first_sent_ms or now.mono_ms
        run.never_sent = False
        run.unanswered = False
        run.starts_in_flight += 1
        self.state.effects.append(
            StartRun(
                worker.id,
                worker.address,
                self.state.leader.epoch,
                run.task,
                run.number,
                self.state.table.jobs[run.task.job].spec,
                deadline,
                run.checkpoint,
                self.state.advice.ticket(run.task, worker.id),
                self.state.limits.start_timeout_ms,
            )
        )

    def on_start_done(self, event: StartDone, now: Now) -> None:
        """Apply the answer to a start."""
        worker = self.state.workers.get(event.worker)
        run = worker.runs.get(event.task) if worker else None
        if worker is None or run is None or run.number != event.run:
            return
        if event.result is not CallResult.NO_ANSWER:
            run.starts_in_flight -= 1
        if run.state is not RunState.SENT:
            return
        match event.result:
            case CallResult.OK:
                run.state, run.confirmed_ms = RunState.RUNNING, now.mono_ms
                run.running_since_ms = run.running_since_ms or now.mono_ms
                worker.last_answer_ms = now.mono_ms
                self.state.hold_times.set(worker.id, now.mono_ms)
            case CallResult.NO_ANSWER | CallResult.REFUSED:
                if run.starts_in_flight == 0:
                    run.never_sent = True
                    self.crashes.clear(run)
                self._mark_unanswered(worker, run, now)
            case CallResult.OLD:
                # The run is or was on the worker; the next hold reports it or its end.
                run.confirmed_ms = now.mono_ms
            case CallResult.FENCED:
                self.on_call_rejected(worker, event.result, now)
            case _:
                self._start_refused(worker, run, event.result, now)

    def _mark_unanswered(self, worker: Worker, run: Run, now: Now) -> None:
        """Mark a start to be repeated; the run number makes the repetition idempotent."""
        worker.blocked_until_ms = now.mono_ms + self.state.limits.start_timeout_ms
        run.unanswered = True

    def retry_starts(self, now: Now) -> None:
        """Repeat unanswered starts after the time-out, also where the connection was refused."""
        for worker in self.state.workers.values():
            for run in list(worker.runs.values()):
                if not run.unanswered or run.state is not RunState.SENT:
                    continue
                if now.mono_ms - run.sent_ms < self.state.limits.start_timeout_ms:
                    continue
                # Another incarnation may answer next, which must not run it beside other runs.
                if worker.contact_lost_ms is not None:
                    continue
                if not worker.ready or not self._has_room(worker, run, now):
                    self.stop(worker, run, now)
                    continue
                if self.state.still_needed(run):
                    self.send_start(worker, run, now)
                else:
                    self.stop(worker, run, now)

    def _has_room(self, worker: Worker, run: Run, now: Now) -> bool:
        """Return whether the worker can still take a run, which its free capacity includes."""
        if not self.state.accepts_any_start(worker):
            return True
        known = self.state.capacity_known(worker, now)
        return known and not worker.is_full_beyond(run.step.reservation)

    def start_planned(self, worker: Worker, run: Run, now: Now) -> None:
        """Send the start of a run whose record is stored, unless it is out of place by now."""
        if not self.state.still_needed(run) or self.state.resigned:
            reason = "withdrawn"
        elif worker.contact_lost_ms is not None:
            reason = "worker_away"
        elif worker.is_full_beyond(run.step.reservation) or not self.state.capacity_known(
            worker, now
        ):
            reason = "no_room"
        else:
            self.send_start(worker, run, now)
            return
        self.run_ended(worker, run, reason, "", now)

    def _start_refused(self, worker: Worker, run: Run, result: CallResult, now: Now) -> None:
        self.state.log(
            "start_refused",
            task=run.label,
            run=run.number,
            worker=worker.id,
            reason=result.value,
        )
        if result is CallResult.OTHER_INCARNATION:
            run.never_sent = run.starts_in_flight == 0
            self.on_call_rejected(worker, result, now)
            return
        if result is CallResult.NO_ROOM:
            # The worker's own count of reserved resources differs from ours until the next hold.
            worker.blocked_until_ms = now.mono_ms + self.state.limits.hold_retry_ms
        elif result is CallResult.BAD_TICKET:
            self.state.advice.drop_ticket(run.task, worker.id)
        else:
            worker.blocked_until_ms = now.mono_ms + 4 * self.state.limits.hold_retry_ms
        self.run_ended(worker, run, "refused", "", now)

    # Stops.

    def on_stop_done(self, event: StopDone, now: Now) -> None:
        """Apply the answer to a stop; a hold reports the end of the run."""
        worker = self.state.workers.get(event.worker)
        run = worker.runs.get(event.task) if worker else None
        if worker is None or run is None or run.number != event.run:
            return
        if event.result is CallResult.OK:
            run.confirmed_ms = now.mono_ms
            self.state.hold_times.set(worker.id, now.mono_ms)
        else:
            self.on_call_rejected(worker, event.result, now)

    def retry_stops(self, now: Now) -> None:
        """Repeat unanswered stops."""
        for worker in self.state.workers.values():
            for run in list(worker.runs.values()):
                if run.state is not RunState.STOPPING or run.confirmed_ms is not None:
                    continue
                if now.mono_ms - run.sent_ms >= self.state.limits.stop_retry_ms:
                    self.stop(worker, run, now)

    def stop(self, worker: Worker, run: Run, now: Now) -> None:
        """Stop a run; its task is placed again if its job is still open."""
        if run.state is RunState.PLANNED:
            self.run_ended(worker, run, "withdrawn", "", now)
            return
        run.state, run.sent_ms = RunState.STOPPING, now.mono_ms
        run.confirmed_ms = None
        self.send_stop(worker, run.task, run.number)

    def send_stop(self, worker: Worker, task: TaskId, number: int) -> None:
        """Send the stop of a run, which this leader need not have a record of.

        The address of a worker that has not been listed yet is unknown; the stop is retried.
        """
        if not worker.address:
            return
        self.state.effects.append(
            StopRun(
                worker.id,
                worker.address,
                self.state.leader.epoch,
                task,
                number,
                self.state.limits.stop_timeout_ms,
            )
        )

    def stop_stalled(self, now: Now) -> None:
        """Stop runs that are stalled or far slower than estimated, to restart them elsewhere."""
        for worker in self.state.workers.values():
            stalled = 0
            for run in list(worker.runs.values()):
                if run.state is not RunState.RUNNING or run.step.long_running or run.step.gang:
                    continue
                reason = health.stall_reason(
                    run, worker.last_answer_ms, now.mono_ms, self.state.limits
                )
                if not reason:
                    continue
                self.state.log(
                    "run_stalled",
                    task=run.label,
                    worker=worker.id,
                    reason=reason,
                    age_ms=now.mono_ms - run.running_since_ms,
                    percent=run.percent,
                )
                stalled += 1
                # One slow run may be the task's own fault; several, or one without any progress,
                # indicate a problem of the worker.
                if stalled > 1 or reason == "idle":
                    worker.blocked_until_ms = now.mono_ms + self.state.limits.quarantine_ms
                self.stop(worker, run, now)

    def abandon_runs(
        self, worker: Worker, reason: str, now: Now, keep: RunState | None = None
    ) -> None:
        """Give up the runs that a worker has lost for `reason`, except those in state `keep`."""
        lost = [run for run in worker.runs.values() if run.state is not keep]
        if lost:
            lost_ms = worker.contact_lost_ms
            self.state.log(
                "runs_lost",
                worker=worker.id,
                runs=len(lost),
                reason=reason,
                away_ms=now.mono_ms - lost_ms if lost_ms is not None else 0,
                # Age at the loss of contact, and for how long the worker had reported the run.
                ages_ms={
                    run.label: [(lost_ms or now.mono_ms) - run.sent_ms, run.reported_ms]
                    for run in lost
                },
            )
        for run in lost:
            self.run_ended(worker, run, "lapsed", "", now)
        if lost and self.state.accepts_any_start(worker):
            # The worker may still have them. It gets new runs when it has said what it runs.
            worker.epoch_accepted = False
            self.state.hold_times.set(worker.id, now.mono_ms)

    def retire_worker(self, worker_id: str, now: Now) -> None:
        """Retire a worker whose machine has been taken down by an order.

        The worker stays in the list of workers for some seconds. A task placed on it during that
        time would wait until a lease has expired.
        """
        worker = self.state.workers.get(worker_id)
        if worker is not None:
            worker.retired = True
            self.crashes.on_planned_end(worker)
            self.abandon_runs(worker, "machine_down", now)

    def run_ended(
        self, worker: Worker, run: Run, end_reason: str, checkpoint: str, now: Now
    ) -> None:
        """Release a run's resources and update its task and job according to the end reason."""
        worker.remove_run(run.task)
        self.state.usage.remove(run.team, run.step.need)
        self.state.placements.pop(run.task, None)
        self.state.request_placement(worker.pool)
        self.state.pools_due |= self.state.team_limited_pools
        job = self.state.table.jobs.get(run.task.job)
        task = job.task(run.task) if job else None
        if job is None or task is None or job.outcome is not None or task.run != run.number:
            return
        if task.phase is Phase.DONE:
            return
        task.checkpoint = checkpoint or run.checkpoint or task.checkpoint
        task.phase = Phase.WAITING
        self.state.mark_changed(job)
        if end_reason == DONE:
            worker.failure_streak = 0
        elif end_reason == FAILED:
            worker.failure_streak += 1
            task.failures += 1
            if worker.failure_streak >= self.state.limits.failure_streak:
                worker.blocked_until_ms = now.mono_ms + self.state.limits.quarantine_ms
                self.state.log("worker_quarantined", worker=worker.id, streak=worker.failure_streak)
        if end_reason != DONE:
            self.state.log(
                "run_ended",
                task=run.label,
                run=run.number,
                worker=worker.id,
                how=end_reason,
            )
        if job.id in self.state.outcomes:
            return
        if run.step.gang:
            self._gang_ended(job, run, end_reason, now)
        elif end_reason == DONE and not run.step.long_running:
            task.phase = Phase.DONE
        if not job.open:
            return
        if (
            end_reason == FAILED
            and not run.step.long_running
            and self._attempts_exhausted(job, task, run.step)
        ):
            self.end_job(job, Outcome.FAILED, now)
        elif job.all_done():
            self.end_job(job, Outcome.COMPLETED, now)
        else:
            self.state.waiting_jobs.add(job)
            queue = self.state.config.queue(job.queue)
            if queue is not None:
                self.state.request_placement(queue.pool)

    def _gang_ended(self, job: Job, run: Run, end_reason: str, now: Now) -> None:
        """Complete all tasks of a gang if a run is done; otherwise stop its remaining runs."""
        members = job.tasks[run.task.occurrence, run.task.step]
        if end_reason == DONE and not run.step.long_running:
            for member in members:
                member.phase = Phase.DONE
            return
        for member in members:
            found = self.state.find_run(member.id)
            if found is not None:
                self.stop(*found, now)
        newest = max((member.checkpoint for member in members), default="")
        for member in members:
            member.checkpoint = newest

    def _attempts_exhausted(self, job: Job, task: Task, step: Step) -> bool:
        queue = self.state.config.queue(job.queue)
        if queue is None:
            return False
        failures = task.failures
        if step.gang:
            members = job.tasks[task.id.occurrence, task.id.step]
            failures = sum(member.failures for member in members)
        return failures >= queue.max_attempts

    def give_up(self, runs: list[Run], worker: Worker, now: Now) -> None:
        """Fail the jobs of tasks that have crashed their workers."""
        for run in runs:
            job = self.state.table.jobs.get(run.task.job)
            task = job.task(run.task) if job is not None else None
            if job is None or task is None or not job.open or job.id in self.state.outcomes:
                continue
            self.state.log(
                "task_given_up",
                task=run.label,
                run=run.number,
                worker=worker.id,
                points=task.suspicion.points,
            )
            self.state.given_up_count += 1
            self.end_job(job, Outcome.FAILED, now)

    def end_job(self, job: Job, outcome: Outcome, now: Now) -> None:
        """Set the outcome of a job, visible to callers once stored, and stop its runs."""
        self.state.outcomes[job.id] = outcome
        self.state.mark_changed(job)
        self.state.waiting_jobs.discard(job)
        for task in all_tasks(job):
            found = self.state.find_run(task.id)
            if found is not None:
                self.stop(*found, now)

    # Rejected calls, which concern the whole worker or the leader.

    def on_call_rejected(self, worker: Worker, result: CallResult, now: Now) -> None:
        """Handle a call rejected because of a newer leader or another incarnation of the worker."""
        if result is CallResult.FENCED:
            self.state.fenced = True
        elif result is CallResult.OTHER_INCARNATION:
            given_up = self.crashes.on_crash(worker, now)
            self.abandon_runs(worker, result.value, now)
            self.give_up(given_up, worker, now)
            worker.epoch_accepted = False
            if not worker.listed:
                self.state.workers.pop(worker.id, None)
