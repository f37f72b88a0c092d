"""The leader's decisions: which task starts where, and what its end means.

Every run is recorded in the store before its start is sent, so that a successor knows on which
worker each task may run. Every end is recorded before the worker is allowed to forget it and before
callers see its effect.
"""

from collections.abc import Iterable, Iterator

import attrs

from fescuecrank_scheduler import health, ordering, placement
from fescuecrank_scheduler.advice import AdviceBook
from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.effects import (
    Effect,
    HoldWorker,
    LogLine,
    StartRun,
    StopRun,
    StoreProgress,
)
from fescuecrank_scheduler.events import (
    CallResult,
    EndRow,
    HoldDone,
    HoldReply,
    PaceDone,
    StartDone,
    StopDone,
    WorkerEntry,
    WorkersRead,
)
from fescuecrank_scheduler.fleet import FleetConfig
from fescuecrank_scheduler.job_table import JobTable
from fescuecrank_scheduler.jobs import Job, Outcome, Phase, Step, Task, TaskId
from fescuecrank_scheduler.limits import Limits
from fescuecrank_scheduler.ordering import Demand, ReadyStep
from fescuecrank_scheduler.pacing import Pacer
from fescuecrank_scheduler.quotas import Usage
from fescuecrank_scheduler.records import Leadership, Record, encode_leadership, encode_progress
from fescuecrank_scheduler.workers import Run, RunState, Worker

NEVER = float("inf")

# Ends of a run by its own fault; only these count against the attempts of a task.
DONE, FAILED = "done", "failed"


@attrs.define
class Flush:
    """One append under way: what becomes true when it is stored."""

    sequence: int
    starts: list[tuple[str, TaskId, int]]
    outcomes: dict[str, Outcome]
    acks: dict[str, int]
    # Workers that a renewal reports as silent; None if the append holds no renewal.
    silent: dict[str, int] | None


@attrs.define
class Scheduler:
    """State of one leadership; a new leader starts a new one."""

    name: str
    limits: Limits
    table: JobTable
    config: FleetConfig
    leader: Leadership
    # Sequence number of the next append under this epoch.
    sequence: int
    # The record that this leadership replaced.
    leader_before: Leadership | None = None
    workers: dict[str, Worker] = attrs.field(factory=dict)
    usage: Usage = attrs.field(factory=Usage)
    advice: AdviceBook = attrs.field(factory=AdviceBook)
    pacer: Pacer = attrs.field(init=False)
    # When this leadership was renewed in the store.
    renewed_ms: int = 0
    fenced: bool = False
    # The last append of this leadership gives it up.
    resigning: bool = False
    resigned: bool = False
    started_ms: int = 0
    # Work that has not found room on usable workers, by pool, in milliseconds of a core: all of
    # it, and that of jobs that can still end on time. Tasks over their team's limit do not count.
    waiting_work: dict[str, float] = attrs.field(factory=dict)
    urgent_work: dict[str, float] = attrs.field(factory=dict)
    # Worker of each run that counts, by task.
    placed: dict[TaskId, str] = attrs.field(factory=dict)
    _flush: Flush | None = None
    _flushed_ms: int = 0
    _dirty: set[str] = attrs.field(factory=set)
    _outcomes: dict[str, Outcome] = attrs.field(factory=dict)
    _planned: list[tuple[str, TaskId, int]] = attrs.field(factory=list)
    _waiting: set[str] = attrs.field(factory=set)
    _demands: dict[str, Demand] = attrs.field(factory=dict)
    # What each step of a job waits for, as last logged.
    _wait_reasons: dict[tuple[str, int, int], str] = attrs.field(factory=dict)
    _extra: list[Record] = attrs.field(factory=list)
    _pass_due: bool = True
    _pass_ms: int = 0
    # Wall clock of the next occurrence of any job.
    _next_due_ms: float = NEVER
    _listed: bool = False
    _beat_sent_ms: int = 0
    _inherited: dict[str, int] = attrs.field(factory=dict)
    _foreign_stops: dict[tuple[str, TaskId], int] = attrs.field(factory=dict)
    _out: list[Effect] = attrs.field(factory=list)

    @pacer.default
    def _make_pacer(self) -> Pacer:
        return Pacer(self.leader.epoch)

    # Start of a leadership.

    def begin(self, now: Now) -> list[Effect]:
        """Take over the runs that the store records."""
        self.started_ms = self.renewed_ms = now.mono_ms
        limits = self.limits
        stretch = 1 / (1 - limits.clock_drift)
        renewed_ms = limits.leader_validity_ms
        if self.leader_before is not None and not self.leader_before.holder:
            # A leader that has resigned renews no leases.
            renewed_ms = 0
        old_lease = int((renewed_ms + limits.lease_ms) * stretch)
        self._inherited = self.leader_before.silent if self.leader_before else {}
        adopted = 0
        for job in self.table.jobs.values():
            self._waiting.add(job.id)
            for task in _tasks(job):
                if task.phase is Phase.ASSIGNED:
                    worker = self._worker(task.worker)
                    left_ms = self._inherited.get(worker.id, old_lease)
                    worker.lease_until_ms = now.mono_ms + min(left_ms, old_lease)
                    self._place(worker, job, task, RunState.SENT, now)
                    worker.runs[task.id].settled_ms = now.mono_ms
                    adopted += 1
            if not job.open and job.outcome is None:
                self._end_job(job, Outcome.CANCELLED, now)
        self._log("leadership_started", epoch=self.leader.epoch, adopted_runs=adopted)
        return self.take()

    def take(self) -> list[Effect]:
        """Return the effects since the last call."""
        out, self._out = self._out, []
        return out

    # Inputs.

    def set_config(self, config: FleetConfig) -> None:
        """Use a new configuration for all further decisions."""
        self.config = config
        self._demands.clear()
        self._pass_due = True

    def jobs_changed(self, ids: Iterable[str], now: Now) -> None:
        """Take note of new and cancelled jobs."""
        for job_id in ids:
            job = self.table.jobs[job_id]
            if job.open:
                self._waiting.add(job_id)
                self._pass_due = True
            elif job.outcome is None and job_id not in self._outcomes:
                self._end_job(job, Outcome.CANCELLED, now)

    def workers_read(self, event: WorkersRead, now: Now) -> None:
        """Take over changes of the list of workers."""
        self._listed = True
        named = set()
        for entry in event.entries:
            named.add(entry.id)
            self._entry(entry, now)
        gone = set(event.gone)
        if event.whole:
            gone |= {worker.id for worker in self.workers.values()} - named
        for worker_id in gone:
            worker = self.workers.get(worker_id)
            if worker is not None and worker.listed:
                worker.listed = False
                self._log("worker_unlisted", worker=worker_id, runs=len(worker.runs))

    def _entry(self, entry: WorkerEntry, now: Now) -> None:
        worker = self._worker(entry.id)
        known = worker.listed
        if worker.address and worker.address != entry.address:
            self._lose_runs(worker, "moved_address", now)
            worker.fenced = False
        was_ready = worker.ready
        worker.update(entry)
        if entry.born_ms and worker.born_ms and entry.born_ms > worker.born_ms:
            self._new_life(worker, entry.born_ms, now)
        if not known or was_ready != entry.ready:
            self._log("worker_listed", worker=entry.id, pool=entry.pool, ready=entry.ready)
            self._pass_due = True
        if not worker.hold_open:
            worker.hold_next_ms = min(worker.hold_next_ms, now.mono_ms)

    def hold_done(self, event: HoldDone, now: Now) -> None:
        """Compare what a worker says with what should run there."""
        worker = self.workers.get(event.worker)
        if worker is None or not worker.hold_open or event.number != worker.hold_number:
            return
        worker.hold_open = False
        if event.result is CallResult.OK and event.reply is not None:
            # Ends that follow each other closely share one answer.
            worker.hold_next_ms = now.mono_ms + self.limits.hold_gap_ms
            self._compare(worker, event.reply, now)
        else:
            worker.hold_next_ms = now.mono_ms + self.limits.hold_retry_ms
            self._failed_call(worker, event.result, now)

    def start_done(self, event: StartDone, now: Now) -> None:
        """Take note of the answer to a start."""
        worker = self.workers.get(event.worker)
        run = worker.runs.get(event.task) if worker else None
        if worker is None or run is None or run.number != event.run:
            return
        if run.state is not RunState.SENT:
            return
        match event.result:
            case CallResult.OK:
                run.state, run.settled_ms = RunState.RUNNING, now.mono_ms
                run.began_ms = run.began_ms or now.mono_ms
                worker.answered_ms = now.mono_ms
                worker.hold_next_ms = now.mono_ms
            case CallResult.NO_ANSWER | CallResult.REFUSED:
                self._unanswered(worker, run, now)
            case CallResult.OLD:
                # The run is there or has been; the next hold lists it or its end.
                run.settled_ms = now.mono_ms
            case CallResult.FENCED:
                self._failed_call(worker, event.result, now)
            case _:
                self._not_started(worker, run, event.result, now)

    def _unanswered(self, worker: Worker, run: Run, now: Now) -> None:
        """Note a start that may have been carried out; the run number makes it idempotent."""
        worker.blocked_until_ms = now.mono_ms + self.limits.start_timeout_ms
        run.unanswered = True

    def _retry_starts(self, now: Now) -> None:
        """Repeat unanswered starts, at a pace that a refused connection does not set."""
        for worker in self.workers.values():
            for run in list(worker.runs.values()):
                if not run.unanswered or run.state is not RunState.SENT:
                    continue
                if now.mono_ms - run.sent_ms < self.limits.start_timeout_ms:
                    continue
                if self._wanted(run):
                    self._send_start(worker, run, now)
                else:
                    self._stop(worker, run, now)

    def _not_started(self, worker: Worker, run: Run, result: CallResult, now: Now) -> None:
        self._log(
            "start_refused",
            task=_name(run.task),
            run=run.number,
            worker=worker.id,
            reason=result.value,
        )
        if result is CallResult.OTHER_LIFE:
            self._failed_call(worker, result, now)
            return
        if result is CallResult.NO_ROOM:
            # Its own count of what runs differs from ours until the next hold.
            worker.blocked_until_ms = now.mono_ms + self.limits.hold_retry_ms
        elif result is CallResult.BAD_TICKET:
            self.advice.drop(run.task, worker.id)
        else:
            worker.blocked_until_ms = now.mono_ms + 4 * self.limits.hold_retry_ms
        self._run_ended(worker, run, "refused", "", now)

    def pace_done(self, event: PaceDone) -> None:
        """Take note of the answer to a change of pace; without one it is ordered again."""
        worker = self.workers.get(event.worker)
        run = worker.runs.get(event.task) if worker else None
        if run is not None and event.result is CallResult.OK:
            run.pace_confirmed = event.percent
        elif event.result is CallResult.FENCED:
            self.fenced = True

    def stop_done(self, event: StopDone, now: Now) -> None:
        """Take note of the answer to a stop; the end itself is listed by a hold."""
        worker = self.workers.get(event.worker)
        run = worker.runs.get(event.task) if worker else None
        if worker is None or run is None or run.number != event.run:
            return
        if event.result is CallResult.OK:
            run.settled_ms = now.mono_ms
            worker.hold_next_ms = now.mono_ms
        else:
            self._failed_call(worker, event.result, now)

    # Calls that went wrong.

    def _failed_call(self, worker: Worker, result: CallResult, now: Now) -> None:
        if result is CallResult.FENCED:
            self.fenced = True
        elif result is CallResult.OTHER_LIFE:
            self._lose_runs(worker, result.value, now)
            worker.fenced = False
            if not worker.listed:
                self.workers.pop(worker.id, None)

    def _lose_runs(self, worker: Worker, reason: str, now: Now) -> None:
        """The worker's life is over, or its leases have run out: nothing runs there any more."""
        if worker.runs:
            self._log("runs_lost", worker=worker.id, runs=len(worker.runs), reason=reason)
        for run in list(worker.runs.values()):
            self._run_ended(worker, run, "lapsed", "", now)

    def _new_life(self, worker: Worker, born_ms: int, now: Now) -> None:
        self._lose_runs(worker, "restarted", now)
        worker.born_ms, worker.fenced = born_ms, False
        worker.seen = worker.acked = 0
        worker.clock_ms = worker.granted_ms = None
        worker.lease_until_ms = now.mono_ms + int(
            self.limits.lease_max_ms / (1 - self.limits.clock_drift)
        )

    # Comparison of a worker's lists with the runs that should be there.

    def _compare(self, worker: Worker, reply: HoldReply, now: Now) -> None:
        sent_ms = worker.hold_sent_ms
        if reply.born_ms and reply.born_ms != worker.born_ms:
            if worker.born_ms:
                self._new_life(worker, reply.born_ms, now)
            worker.born_ms = reply.born_ms
        worker.note_clock(reply, now.mono_ms)
        worker.answered_ms = now.mono_ms
        if not worker.fenced:
            worker.fenced = True
            self._pass_due = True
        ended = {(row.task, row.run) for row in reply.ended}
        for row in reply.ended:
            if row.number > worker.seen:
                worker.seen = row.number
                self._end_listed(worker, row, now)
        listed = {row.task: row for row in reply.running}
        for task, run in list(worker.runs.items()):
            row = listed.get(task)
            if row is not None and row.run == run.number:
                run.checkpoint = row.checkpoint or run.checkpoint
                if row.percent != run.percent or not run.progress_ms:
                    run.progress_ms = now.mono_ms
                run.percent, run.figure = row.percent, row.figure
                if run.state is RunState.SENT:
                    run.state = RunState.RUNNING
                run.began_ms = run.began_ms or now.mono_ms
            elif (
                run.settled_ms is not None
                and run.settled_ms < sent_ms
                and (task, run.number) not in ended
            ):
                self._log("run_missing", task=_name(task), run=run.number, worker=worker.id)
                self._run_ended(worker, run, "lapsed", "", now)
        for row in reply.running:
            run = worker.runs.get(row.task)
            if run is None or run.number != row.run:
                self._stop_foreign(worker, row.task, row.run, now)
        self._out += self.pacer.adjust(worker, now)
        if worker.seen > worker.acked and not self._dirty and self._flush is None:
            worker.acked = worker.seen

    def _stop_foreign(self, worker: Worker, task: TaskId, run: int, now: Now) -> None:
        """Stop a run that this leader has given up or does not know."""
        key = (worker.id, task)
        if now.mono_ms - self._foreign_stops.get(key, -(10**9)) < self.limits.stop_retry_ms:
            return
        self._foreign_stops[key] = now.mono_ms
        self._log("foreign_run_stopped", task=_name(task), run=run, worker=worker.id)
        self._out.append(
            StopRun(
                worker.id,
                worker.address,
                self.leader.epoch,
                task,
                run,
                self.limits.stop_timeout_ms,
            )
        )

    def _end_listed(self, worker: Worker, row: EndRow, now: Now) -> None:
        run = worker.runs.get(row.task)
        if run is None or run.number != row.run:
            return
        self._run_ended(worker, run, row.how, row.checkpoint, now)

    # Ends of runs.

    def _run_ended(self, worker: Worker, run: Run, how: str, checkpoint: str, now: Now) -> None:
        worker.remove(run.task)
        self.usage.remove(run.team, run.step.need)
        self.placed.pop(run.task, None)
        self._pass_due = True
        job = self.table.jobs.get(run.task.job)
        task = job.task(run.task) if job else None
        if job is None or task is None or job.outcome is not None or task.run != run.number:
            return
        if task.phase is Phase.DONE:
            return
        task.checkpoint = checkpoint or run.checkpoint or task.checkpoint
        task.phase = Phase.WAITING
        self._mark(job)
        if how == DONE:
            worker.failure_streak = 0
        elif how == FAILED:
            worker.failure_streak += 1
            task.failures += 1
            if worker.failure_streak >= self.limits.failure_streak:
                worker.blocked_until_ms = now.mono_ms + self.limits.quarantine_ms
                self._log("worker_quarantined", worker=worker.id, streak=worker.failure_streak)
        if how != DONE:
            self._log("run_ended", task=_name(run.task), run=run.number, worker=worker.id, how=how)
        if job.id in self._outcomes:
            return
        if run.step.gang:
            self._gang_ended(job, run, how, now)
        elif how == DONE and not run.step.lasting:
            task.phase = Phase.DONE
        if not job.open:
            return
        if how == FAILED and not run.step.lasting and self._attempts_used(job, task, run.step):
            self._end_job(job, Outcome.FAILED, now)
        elif job.all_done():
            self._end_job(job, Outcome.COMPLETED, now)
        else:
            self._waiting.add(job.id)

    def _gang_ended(self, job: Job, run: Run, how: str, now: Now) -> None:
        """One good end stands for the whole gang; any other end breaks it."""
        members = job.tasks[run.task.occurrence, run.task.step]
        if how == DONE and not run.step.lasting:
            for member in members:
                member.phase = Phase.DONE
            return
        for member in members:
            worker = self.workers.get(self.placed.get(member.id, ""))
            other = worker.runs.get(member.id) if worker else None
            if worker is not None and other is not None:
                self._stop(worker, other, now)
        newest = max((member.checkpoint for member in members), default="")
        for member in members:
            member.checkpoint = newest

    def _attempts_used(self, job: Job, task: Task, step: Step) -> bool:
        queue = self.config.queue(job.queue)
        if queue is None:
            return False
        failures = task.failures
        if step.gang:
            members = job.tasks[task.id.occurrence, task.id.step]
            failures = sum(member.failures for member in members)
        return failures >= queue.max_attempts

    def _end_job(self, job: Job, outcome: Outcome, now: Now) -> None:
        self._outcomes[job.id] = outcome
        self._mark(job)
        self._waiting.discard(job.id)
        for task in _tasks(job):
            worker = self.workers.get(self.placed.get(task.id, ""))
            run = worker.runs.get(task.id) if worker else None
            if worker is not None and run is not None:
                self._stop(worker, run, now)

    def _stop(self, worker: Worker, run: Run, now: Now) -> None:
        if run.state is RunState.PLANNED:
            self._run_ended(worker, run, "withdrawn", "", now)
            return
        run.state, run.sent_ms = RunState.STOPPING, now.mono_ms
        run.settled_ms = None
        self._out.append(
            StopRun(
                worker.id,
                worker.address,
                self.leader.epoch,
                run.task,
                run.number,
                self.limits.stop_timeout_ms,
            )
        )

    def _wanted(self, run: Run) -> bool:
        job = self.table.jobs.get(run.task.job)
        return job is not None and job.open and job.id not in self._outcomes

    # Placement.

    def _schedule(self, now: Now) -> None:
        self._pass_due = False
        self._pass_ms = now.mono_ms
        self._next_due_ms = NEVER
        by_pool: dict[str, list[Demand]] = {}
        for job_id in list(self._waiting):
            job = self.table.jobs[job_id]
            queue = self.config.queue(job.queue)
            if not job.open or job_id in self._outcomes:
                self._waiting.discard(job_id)
            elif queue is not None:
                by_pool.setdefault(queue.pool, []).append(self._demand(job, now))
        self.waiting_work.clear()
        self.urgent_work.clear()
        for pool, demands in by_pool.items():
            usable = [
                worker
                for worker in self.workers.values()
                if worker.pool == pool and worker.usable(now.mono_ms, self.limits)
            ]
            cores = sum(worker.capacity.cpu for worker in usable) / 1_000
            missed = missed_in_time = 0.0
            for demand in ordering.arrange(demands, cores, now.wall_ms):
                work = self._schedule_job(demand, usable, now)
                missed += work
                if now.wall_ms + demand.chain_ms <= demand.due_ms:
                    missed_in_time += work
            self.waiting_work[pool] = missed
            self.urgent_work[pool] = missed_in_time

    def _demand(self, job: Job, now: Now) -> Demand:
        demand = self._demands.get(job.id)
        if demand is None or job.schedule is not None:
            self._occurrences(job, now)
            demand = self._demands[job.id] = ordering.demand(job, self.config)
        return demand

    def _schedule_job(self, demand: Demand, usable: list[Worker], now: Now) -> float:
        """Start what finds room; return the work that found none, in ms of a core."""
        missed = 0.0
        job = demand.job
        if not demand.waiting and job.schedule is None:
            self._waiting.discard(job.id)
        queue = self.config.queue(job.queue)
        for ready in demand.ready if usable else ():
            step = job.steps[ready.number]
            workers = usable
            if queue is not None and queue.needs_advice:
                workers = self.advice.allowed(
                    job, ready.occurrence, ready.number, usable, now, self.limits
                )
                self._out.extend(self.advice.take())
            if step.gang:
                missed += self._start_gang(job, ready, workers, now)
            else:
                missed += self._start_tasks(job, ready, workers, now)
        return missed

    def _occurrences(self, job: Job, now: Now) -> None:
        if job.schedule is None:
            job.occurrence(0)
            return
        times = job.schedule
        for number in range(times.times):
            due = times.first_ms + number * times.interval_ms
            if now.wall_ms < due:
                self._next_due_ms = min(self._next_due_ms, due)
                break
            job.occurrence(number)

    def _start_tasks(self, job: Job, ready: ReadyStep, workers: list[Worker], now: Now) -> float:
        step, team = job.steps[ready.number], self.config.teams.get(job.team)
        chosen: list[str] = []
        reason = ""
        for task in ready.tasks:
            if not self.usage.allows(team, step.need):
                reason = "team_limit"
                break
            worker = placement.choose(workers, job.id, ready.occurrence, ready.number, step)
            if worker is None:
                reason = "no_room"
                break
            self._plan(worker, job, task, task.run + 1, now)
            chosen.append(worker.id)
        left = len(ready.tasks) - len(chosen)
        self._log_plan(job, ready, chosen, left, reason)
        return ordering.work_of(step, left) if reason == "no_room" else 0.0

    def _log_plan(
        self, job: Job, ready: ReadyStep, chosen: list[str], left: int, reason: str
    ) -> None:
        """Write one line for each change of what is placed of a step and what it waits for."""
        key = (job.id, ready.occurrence, ready.number)
        if not chosen and self._wait_reasons.get(key) == reason:
            return
        self._wait_reasons[key] = reason
        self._log(
            "runs_planned",
            job=job.id,
            occurrence=ready.occurrence,
            step=ready.number,
            workers=chosen,
            left=left,
            reason=reason,
            epoch=self.leader.epoch,
            config=self.config.version,
        )

    def _start_gang(self, job: Job, ready: ReadyStep, workers: list[Worker], now: Now) -> float:
        step, team = job.steps[ready.number], self.config.teams.get(job.team)
        if len(ready.tasks) < step.count:
            return 0.0
        if not self.usage.allows(team, step.need, step.count):
            return 0.0
        chosen = placement.choose_gang(workers, job.id, ready.occurrence, ready.number, step)
        if chosen is None:
            self._log_plan(job, ready, [], step.count, "no_room")
            return ordering.work_of(step, step.count)
        run = max(task.run for task in ready.tasks) + 1
        for task, worker in zip(ready.tasks, chosen, strict=True):
            self._plan(worker, job, task, run, now)
        self._log_plan(job, ready, [worker.id for worker in chosen], 0, "")
        return 0.0

    def _plan(self, worker: Worker, job: Job, task: Task, run: int, now: Now) -> None:
        task.run, task.worker, task.phase = run, worker.id, Phase.ASSIGNED
        job.begun = True
        self._mark(job)
        self._place(worker, job, task, RunState.PLANNED, now)
        self._planned.append((worker.id, task.id, run))

    def _place(self, worker: Worker, job: Job, task: Task, state: RunState, now: Now) -> None:
        step = job.steps[task.id.step]
        run = Run(task.id, task.run, step, job.team, job.queue, state, checkpoint=task.checkpoint)
        run.sent_ms = now.mono_ms
        worker.add(run)
        self.usage.add(job.team, step.need)
        self.placed[task.id] = worker.id

    def _send_start(self, worker: Worker, run: Run, now: Now) -> None:
        deadline = worker.deadline(now.mono_ms, self.limits)
        if deadline is None:
            self._run_ended(worker, run, "withdrawn", "", now)
            return
        run.state, run.sent_ms = RunState.SENT, now.mono_ms
        run.unanswered = False
        self._out.append(
            StartRun(
                worker.id,
                worker.address,
                self.leader.epoch,
                run.task,
                run.number,
                self.table.jobs[run.task.job].spec,
                deadline,
                run.checkpoint,
                self.advice.ticket(run.task, worker.id),
                self.limits.start_timeout_ms,
            )
        )

    # Storage.

    def progress_stored(self, sequence: int, now: Now) -> None:
        """The append under way is durable: send its starts, let workers forget its ends."""
        flush = self._flush
        if flush is None or flush.sequence != sequence:
            return
        self._flush = None
        self.renewed_ms = now.mono_ms
        self.resigned = not self.leader.holder
        for job_id, outcome in flush.outcomes.items():
            job = self.table.jobs[job_id]
            self._log("job_ended", job=job_id, outcome=outcome.value)
            self.table.set_outcome(job, outcome)
            self._outcomes.pop(job_id, None)
            self._demands.pop(job_id, None)
            for key in [key for key in self._wait_reasons if key[0] == job_id]:
                del self._wait_reasons[key]
            self.advice.forget(job_id)
        for worker_id, task, number in flush.starts:
            worker = self.workers.get(worker_id)
            run = worker.runs.get(task) if worker else None
            if worker is None or run is None or run.number != number:
                continue
            if run.state is RunState.PLANNED:
                if self._wanted(run) and not self.resigned:
                    self._send_start(worker, run, now)
                else:
                    self._run_ended(worker, run, "withdrawn", "", now)
        if flush.silent is not None:
            for worker in self.workers.values():
                worker.reported_silent = worker.id in flush.silent
        for worker_id, number in flush.acks.items():
            worker = self.workers.get(worker_id)
            if worker is not None and worker.seen >= number:
                worker.acked = max(worker.acked, number)

    def _waits(self) -> dict[str, int]:
        """Return how long each pool needs for its waiting work, in ms."""
        waits = {}
        for pool, work in self.waiting_work.items():
            cores = sum(
                worker.capacity.cpu
                for worker in self.workers.values()
                if worker.pool == pool and worker.listed and worker.ready
            )
            if work and cores:
                waits[pool] = int(1_000 * work / cores)
        return waits

    def _silent_workers(self, now: Now) -> dict[str, int]:
        """Return the time left of each lease that is not renewed since its worker is silent.

        A successor then need not assume that this leader has renewed it up to its end.
        """
        silent = {}
        for worker in self.workers.values():
            if not worker.runs or now.mono_ms - worker.answered_ms < self.limits.silent_ms:
                continue
            fresh = now.mono_ms - self.started_ms < self.limits.renew_ms
            if worker.answered_ms or not fresh or worker.id in self._inherited:
                silent[worker.id] = max(0, worker.lease_until_ms - now.mono_ms)
                worker.reported_silent = True
        return silent

    def store(self, record: Record) -> None:
        """Append a further record with the next flush."""
        self._extra.append(record)

    def _start_flush(self, now: Now) -> None:
        beat_due = self.resigning or now.mono_ms - self._beat_sent_ms >= self.limits.renew_ms
        if self._flush is not None or not (self._dirty or self._extra or beat_due):
            return
        if now.mono_ms - self._flushed_ms < self.limits.flush_gap_ms:
            return
        records = []
        outcomes = {}
        for job_id in sorted(self._dirty):
            job, outcome = self.table.jobs[job_id], self._outcomes.get(job_id)
            if job.outcome is not None:
                continue
            if outcome is not None:
                outcomes[job_id] = outcome
            records.append(encode_progress(job, outcome, self.leader.epoch))
        records.extend(self._extra)
        if beat_due:
            self._beat_sent_ms = now.mono_ms
            self.leader = attrs.evolve(
                self.leader,
                holder="" if self.resigning else self.leader.holder,
                beat=self.leader.beat + 1,
                wall_ms=now.wall_ms,
                waits=self._waits(),
                silent=self._silent_workers(now),
            )
            records.append(encode_leadership(self.leader))
        acks = {
            worker.id: worker.seen for worker in self.workers.values() if worker.seen > worker.acked
        }
        silent = self.leader.silent if beat_due else None
        self._flush = Flush(self.sequence, self._planned, outcomes, acks, silent)
        self._planned, self._dirty, self._extra = [], set(), []
        self._flushed_ms = now.mono_ms
        if not records:
            self.progress_stored(self.sequence, now)
            return
        self._out.append(StoreProgress(self.leader.epoch, self.sequence, tuple(records)))
        self.sequence += 1

    def next_wake_ms(self, now: Now) -> int | None:
        """Return the time until the next append or hold that is due; None if there is none."""
        times = [
            worker.hold_next_ms - now.mono_ms
            for worker in self.workers.values()
            if not worker.hold_open and worker.address
        ]
        if self._flush is None and (self._dirty or self._extra):
            times.append(self._flushed_ms + self.limits.flush_gap_ms - now.mono_ms)
        if self._pass_due:
            times.append(self._pass_ms + self.limits.pass_gap_ms - now.mono_ms)
        return max(1, min(times)) if times else None

    # Leases.

    def _expire_leases(self, now: Now) -> None:
        for worker in list(self.workers.values()):
            started = any(run.state is not RunState.PLANNED for run in worker.runs.values())
            if started and now.mono_ms > worker.lease_until_ms:
                self._lose_runs(worker, "lease_over", now)
            if not worker.listed and not worker.runs:
                self.workers.pop(worker.id, None)

    def _renew_leases(self, now: Now) -> None:
        if self.resigned or now.mono_ms - self.renewed_ms >= self.limits.leader_validity_ms:
            return
        for worker in self.workers.values():
            if not worker.hold_open and worker.address and now.mono_ms >= worker.hold_next_ms:
                self._hold(worker, now)

    def _hold(self, worker: Worker, now: Now) -> None:
        deadline = None
        if worker.fenced and worker.runs:
            deadline = worker.deadline(now.mono_ms, self.limits)
        settled = worker.fenced and now.mono_ms - worker.answered_ms < self.limits.silent_ms
        wait_ms = self.limits.hold_wait_ms
        if any(run.step.fills for run in worker.runs.values()):
            wait_ms = self.limits.paced_wait_ms
        worker.hold_number += 1
        worker.hold_open, worker.hold_sent_ms = True, now.mono_ms
        self._out.append(
            HoldWorker(
                worker.id,
                worker.address,
                self.leader.epoch,
                worker.acked,
                deadline,
                wait_ms if settled else 0,
                worker.hold_number,
            )
        )

    def _retry_stops(self, now: Now) -> None:
        for worker in self.workers.values():
            for run in list(worker.runs.values()):
                if run.state is not RunState.STOPPING or run.settled_ms is not None:
                    continue
                if now.mono_ms - run.sent_ms >= self.limits.stop_retry_ms:
                    self._stop(worker, run, now)

    def _stop_stalled(self, now: Now) -> None:
        """Start tasks elsewhere whose runs stand still or are far slower than estimated."""
        for worker in self.workers.values():
            stalled = 0
            for run in list(worker.runs.values()):
                if run.state is not RunState.RUNNING or run.step.lasting or run.step.gang:
                    continue
                reason = health.stall_reason(run, worker.answered_ms, now.mono_ms, self.limits)
                if not reason:
                    continue
                self._log(
                    "run_stalled",
                    task=_name(run.task),
                    worker=worker.id,
                    reason=reason,
                    age_ms=now.mono_ms - run.began_ms,
                    percent=run.percent,
                )
                stalled += 1
                # One run may be at fault itself; several, or one that does nothing, speak against
                # the worker.
                if stalled > 1 or reason == "idle":
                    worker.blocked_until_ms = now.mono_ms + self.limits.quarantine_ms
                self._stop(worker, run, now)

    def tick(self, now: Now) -> list[Effect]:
        """Do what is due by the clock."""
        # Workers become usable again without any event.
        again = self._waiting and now.mono_ms - self._pass_ms >= self.limits.pass_ms
        if again or now.wall_ms >= self._next_due_ms:
            self._pass_due = True
        self._expire_leases(now)
        self._retry_starts(now)
        self._retry_stops(now)
        self._stop_stalled(now)
        return self.advance(now)

    def advance(self, now: Now) -> list[Effect]:
        """Place waiting tasks, start an append and renew leases that are due."""
        rested = now.mono_ms - self._pass_ms >= self.limits.pass_gap_ms
        if self._pass_due and rested and self._listed and not self.resigning:
            self._schedule(now)
        self._start_flush(now)
        self._renew_leases(now)
        return self.take()

    def resign(self, now: Now) -> None:
        """Give up the leadership with the next append; nothing is started any more."""
        self.resigning = True
        self._log("leadership_resigned", epoch=self.leader.epoch)

    def request_pass(self) -> None:
        """Look for room again at the next step."""
        self._pass_due = True

    # Helpers.

    def _mark(self, job: Job) -> None:
        """Note that the progress of a job has changed."""
        self._dirty.add(job.id)
        self._demands.pop(job.id, None)

    def stop_run(self, worker: Worker, run: Run, now: Now) -> None:
        """Stop one run so that its task starts elsewhere."""
        self._stop(worker, run, now)

    def _worker(self, worker_id: str) -> Worker:
        worker = self.workers.get(worker_id)
        if worker is None:
            worker = self.workers[worker_id] = Worker(worker_id)
        return worker

    def _log(self, event: str, **fields: object) -> None:
        self._out.append(LogLine(event, fields))


def _tasks(job: Job) -> Iterator[Task]:
    for tasks in list(job.tasks.values()):
        yield from tasks


def _name(task: TaskId) -> str:
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"
