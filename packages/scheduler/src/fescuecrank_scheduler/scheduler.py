"""The leader's scheduler: adopts the runs recorded in the store, then reacts to events."""

from collections.abc import Iterable

import attrs

from fescuecrank_scheduler import events
from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.dispatch import Dispatcher
from fescuecrank_scheduler.effects import Effect
from fescuecrank_scheduler.fleet import FleetConfig
from fescuecrank_scheduler.gangs import stop_partial_gangs
from fescuecrank_scheduler.jobs import Job, Outcome, Phase, all_tasks
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.leadership import EPOCH_STEP
from fescuecrank_scheduler.leases import Leases
from fescuecrank_scheduler.progress_log import ProgressLog
from fescuecrank_scheduler.retention import Retention
from fescuecrank_scheduler.runs import Runs
from fescuecrank_scheduler.stalled_runs import stop_stalled
from fescuecrank_scheduler.starts import Starts
from fescuecrank_scheduler.suspicion import isolation_ms
from fescuecrank_scheduler.workers import LeaseBasis, RunState, Worker

# Intervals of checks that look at every worker or run; the times that they compare are several
# times as long.
RETRY_INTERVAL_MS = 100
STALL_INTERVAL_MS = 200


@attrs.define
class Scheduler:
    """Scheduling state of one leadership; `sequence` numbers its next append to the store."""

    state: LeaderState
    sequence: int
    runs: Runs = attrs.field(init=False)
    starts: Starts = attrs.field(init=False)
    leases: Leases = attrs.field(init=False)
    dispatcher: Dispatcher = attrs.field(init=False)
    progress: ProgressLog = attrs.field(init=False)
    retention: Retention = attrs.field(init=False)
    _retried_ms: int = 0
    _stalls_checked_ms: int = 0

    def __attrs_post_init__(self) -> None:
        self.runs = Runs(self.state)
        self.starts = Starts(self.state, self.runs)
        self.leases = Leases(self.state, self.runs)
        self.dispatcher = Dispatcher(self.state, self.runs)
        self.progress = ProgressLog(self.state, self.starts, self.sequence)
        self.retention = Retention(self.state)

    def take_over(self, now: Now) -> list[Effect]:
        """Start this leadership: adopt the recorded runs and end cancelled jobs."""
        state = self.state
        state.started_ms = state.renewed_ms = now.mono_ms
        state.inherited_leases = (
            state.previous_leader.unrenewed_leases if state.previous_leader else {}
        )
        for worker_id, remaining_ms in state.table.long_leases.items():
            remaining_ms = min(remaining_ms, state.limits.longest_inherited_ms)
            expires_ms = state.started_ms + remaining_ms
            state.worker(worker_id).expect_lease(expires_ms, LeaseBasis.STATED)
        adopted = 0
        for job in state.table.jobs.values():
            state.waiting_jobs.add(job)
            adopted += self._adopt_runs(job, now)
            if not job.open and job.outcome is None:
                self.runs.end_job(job, Outcome.CANCELLED, now)
        state.log(
            "leadership_started",
            epoch=state.leader.epoch,
            adopted_runs=adopted,
            unrenewed_leases=len(state.inherited_leases),
            long_leases=state.table.long_leases,
        )
        return state.take_effects()

    def _adopt_runs(self, job: Job, now: Now) -> int:
        """Adopt the runs of a job that the previous leader recorded; return how many.

        On a worker that does not answer, such a run may continue until the last lease that the
        previous leader can have granted has expired.
        """
        state = self.state
        adopted = 0
        for task in all_tasks(job):
            if task.phase is not Phase.ASSIGNED or task.id in state.placements:
                continue
            worker = state.worker(task.worker)
            expires_ms = state.started_ms + self._inherited_lease_ms(worker, job)
            worker.expect_lease(expires_ms, LeaseBasis.INHERITED)
            long_running = job.steps[task.id.step].long_running
            isolated_ms = isolation_ms(task, long_running, state.limits.isolation_ms)
            self.runs.register(worker, job, task, RunState.SENT, now, isolated_ms)
            run = worker.runs[task.id]
            run.confirmed_ms = run.first_sent_ms = now.mono_ms
            run.adopted, run.suspected = True, task.suspicion.run == task.run
            # The inherited lease allows for a start without an answer.
            run.confirmed = True
            adopted += 1
        if job.open:
            stop_partial_gangs(self.runs, job, now)
        return adopted

    def _inherited_lease_ms(self, worker: Worker, job: Job) -> int:
        """Return for how long from now a silent worker may hold a run that is adopted.

        Whether a start that was recorded after the last renewal has been answered is not known. Of
        those before it, `long_leases` states the ones that may last longer than usual.
        """
        state, limits = self.state, self.state.limits
        # A leader that has resigned renews no leases.
        resigned = state.previous_leader is not None and not state.previous_leader.holder
        if state.table.is_newer_than_leases(job.id):
            return limits.unconfirmed_lease_ms if resigned else limits.longest_inherited_ms
        usual_ms = limits.usual_lease_ms if resigned else limits.usual_inherited_ms
        return min(state.inherited_leases.get(worker.id, usual_ms), usual_ms)

    def handle(self, event: events.Event, now: Now) -> None:
        """Apply an answer of a worker or of the advice service, or a new list of workers."""
        match event:
            case events.WorkersRead():
                self.leases.on_workers_read(event, now)
            case events.HoldDone():
                self.leases.on_hold_done(event, now)
            case events.PaceDone():
                self.leases.on_pace_done(event, now)
                self.leases.incarnations.check_clock(event.worker, event.clock, now)
            case events.StartDone():
                self.starts.on_done(event, now)
                self.leases.incarnations.check_clock(event.worker, event.clock, now)
            case events.StopDone():
                self.runs.on_stop_done(event, now)
                self.leases.incarnations.check_clock(event.worker, event.clock, now)
            case events.Advised():
                self.state.advice.on_advised(event, now)
                self.state.send_advice_calls()
                self.state.request_placement()

    def set_config(self, config: FleetConfig) -> None:
        """Use a new configuration for all further decisions."""
        self.state.config = config
        self.state.demands.clear()
        self.state.request_placement()

    def on_jobs_read(self, as_of_ms: int | None) -> None:
        """Record a read of the jobs, whole as of a time of our clock; None if some are left."""
        if as_of_ms is not None:
            self.state.jobs_as_of_ms = max(self.state.jobs_as_of_ms, as_of_ms)

    def on_jobs_changed(self, ids: Iterable[str], now: Now) -> None:
        """Queue new jobs for placement and end cancelled ones."""
        state = self.state
        for job_id in ids:
            job = state.table.jobs[job_id]
            adopted = self._adopt_runs(job, now)
            if adopted:
                state.log("runs_adopted", job=job_id, runs=adopted, epoch=state.leader.epoch)
            if job.open:
                state.waiting_jobs.add(job)
                queue = state.config.queue(job.queue)
                state.request_placement(queue.pool if queue is not None else None)
                self._record_arrival(job, now)
            elif job.outcome is None and job_id not in state.outcomes:
                self.runs.end_job(job, Outcome.CANCELLED, now)

    def _record_arrival(self, job: Job, now: Now) -> None:
        queue = self.state.config.queue(job.queue)
        fresh = now.wall_ms - job.accepted_ms < self.state.limits.stale_ms
        if queue is not None and fresh and not job.assigned:
            self.state.arrivals.record(queue.pool, job, now.mono_ms)

    def resign(self) -> None:
        """Release the leadership with the next append; no further run is started."""
        self.state.resigning = True
        self.state.log("leadership_resigned", epoch=self.state.leader.epoch)

    def tick(self, now: Now) -> None:
        """Expire leases, retry unanswered calls and stop stalled runs."""
        self.dispatcher.tick(now)
        if self.state.token_count >= EPOCH_STEP - 1 and not self.state.resigning:
            # The next token would be one of the next leader.
            self.resign()
        if now.mono_ms - self._retried_ms >= RETRY_INTERVAL_MS:
            self._retried_ms = now.mono_ms
            self.leases.expire_leases(now)
            self.starts.retry(now)
            self.runs.retry_stops(now)
        if now.mono_ms - self._stalls_checked_ms >= STALL_INTERVAL_MS:
            self._stalls_checked_ms = now.mono_ms
            stop_stalled(self.runs, now)

    def run_pending(self, now: Now) -> list[Effect]:
        """Place waiting tasks, start an append and renew leases, each if it is due."""
        self.dispatcher.place_waiting(now)
        self.progress.start_append(now)
        self.leases.renew_leases(now)
        return self.state.take_effects()

    def next_wake_ms(self, now: Now) -> int | None:
        """Return the time until the next hold, placement pass or append; None if none is due."""
        due = [part.next_due_ms(now) for part in (self.leases, self.dispatcher, self.progress)]
        times = [time_ms for time_ms in due if time_ms is not None]
        return max(1, min(times) - now.mono_ms) if times else None
