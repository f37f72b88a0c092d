"""Workers and their leases.

The leader renews the lease of each worker with a hold, a long-poll call to which the worker answers
with its running and ended runs. A worker ends its runs when its lease expires.
"""

import attrs

from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.effects import HoldWorker
from fescuecrank_scheduler.events import (
    CallResult,
    EndRow,
    HoldDone,
    HoldReply,
    PaceDone,
    WorkersRead,
)
from fescuecrank_scheduler.incarnations import Incarnations
from fescuecrank_scheduler.jobs import Phase, TaskId
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.pacing import Pacer
from fescuecrank_scheduler.runs import DONE, Runs
from fescuecrank_scheduler.worker_entries import WorkerEntries
from fescuecrank_scheduler.workers import LeaseBasis, RunState, Worker

# Results of a hold that the worker did not answer; it may be cut off, slow or gone.
NO_CONTACT = {CallResult.NO_ANSWER, CallResult.REFUSED}

# Longest time between an answer and the hold that acknowledges ends. Workers take longer to
# restart; holds follow each other after `hold_pause_ms`.
MAX_ACK_GAP_MS = 100

# A hold that fails later than this after its wait has timed out; clients wait longer.
ANSWER_SLACK_MS = 300


@attrs.define
class Leases:
    """Leases that one leader grants; each worker has at most one hold open at a time."""

    state: LeaderState
    runs: Runs
    pacer: Pacer = attrs.field(init=False)
    incarnations: Incarnations = attrs.field(init=False)
    entries: WorkerEntries = attrs.field(init=False)
    _foreign_stop_ms: dict[tuple[str, TaskId], int] = attrs.field(factory=dict)

    @pacer.default
    def _make_pacer(self) -> Pacer:
        return Pacer()

    @incarnations.default
    def _make_incarnations(self) -> Incarnations:
        return Incarnations(self.state, self.runs)

    @entries.default
    def _make_entries(self) -> WorkerEntries:
        return WorkerEntries(self.state, self.incarnations)

    def on_workers_read(self, event: WorkersRead, now: Now) -> None:
        """Apply changes of the list of workers."""
        self.entries.apply(event, now)

    def on_hold_done(self, event: HoldDone, now: Now) -> None:
        """Reconcile the runs that a worker reports with those recorded for it."""
        worker = self.state.workers.get(event.worker)
        if worker is None or not worker.hold_open or event.number != worker.hold_number:
            return
        worker.hold_open = False
        if event.result is CallResult.OK and event.reply is not None:
            # Runs that end shortly after each other are reported in one answer.
            pause_ms = self.state.limits.hold_pause_ms
            self.state.hold_times.set(worker.id, now.mono_ms + pause_ms)
            self._reconcile(worker, event.reply, now)
            ended = event.reply.ended
            if ended and ended[-1].number <= worker.last_acked_end:
                # The hold that was to acknowledge them came too late after the answer before it.
                self.state.hold_times.set(worker.id, now.mono_ms)
        else:
            if event.problem and event.problem != worker.hold_problem:
                worker.hold_problem = event.problem
                self.state.log("hold_unreadable", worker=worker.id, reason=event.problem)
            worker.hold_answer_ms = None
            pause_ms = self.state.limits.hold_retry_ms
            self.state.hold_times.set(worker.id, now.mono_ms + pause_ms)
            if event.result in NO_CONTACT:
                self._on_contact_lost(worker, event.result, now)
            self.runs.on_call_rejected(worker, event.result, worker.hold_token, now)

    def _on_contact_lost(self, worker: Worker, result: CallResult, now: Now) -> None:
        if worker.contact_lost_ms is not None:
            return
        worker.contact_lost_ms = now.mono_ms
        worker.token = self.state.next_token()
        elapsed_ms = now.mono_ms - worker.hold_sent_ms
        timed_out = elapsed_ms > worker.hold_wait_ms + ANSWER_SLACK_MS
        self.runs.crashes.on_contact_lost(worker, timed_out, now)
        if not worker.runs:
            return
        self.state.log(
            "worker_contact_lost",
            worker=worker.id,
            result=result.value,
            runs=len(worker.runs),
            timed_out=timed_out,
            silent_ms=now.mono_ms - worker.last_answer_ms if worker.last_answer_ms else None,
        )

    def _on_contact(self, worker: Worker, now: Now) -> None:
        if worker.contact_lost_ms is None:
            return
        if worker.runs:
            self.state.log(
                "worker_contact_regained",
                worker=worker.id,
                runs=len(worker.runs),
                away_ms=now.mono_ms - worker.contact_lost_ms,
            )
        worker.contact_lost_ms = None
        self.state.request_placement(worker.pool)

    def on_pace_done(self, event: PaceDone, now: Now) -> None:
        """Record that a worker confirmed a run's pace; an unanswered order is sent again.

        It is sent with a higher token, so that the first copy is not carried out after it.
        """
        worker = self.state.workers.get(event.worker)
        run = worker.runs.get(event.task) if worker else None
        if run is not None and event.result is CallResult.OK:
            run.pace_confirmed = event.percent
        elif worker is not None:
            if event.result is CallResult.NO_ANSWER and event.token == worker.token:
                worker.token = self.state.next_token()
                self.state.hold_times.set(worker.id, now.mono_ms)
            self.runs.on_call_rejected(worker, event.result, event.token, now)

    def _reconcile(self, worker: Worker, reply: HoldReply, now: Now) -> None:
        sent_ms = worker.hold_sent_ms
        if reply.started_ms and reply.started_ms != worker.started_ms:
            if worker.started_ms:
                self.incarnations.on_restart(worker, reply.started_ms, reply, now)
            worker.started_ms = reply.started_ms
        if not worker.last_answer_ms:
            self._allow_for_earlier_calls(worker, reply, now)
        worker.answered_started_ms = reply.started_ms
        worker.accepted_token = worker.hold_token
        if worker.verified:
            worker.end_earlier_calls(now.mono_ms, self.state.limits)
        worker.end_expected = worker.end_expected and not worker.verified
        worker.hold_answer_ms = now.mono_ms - worker.record_clock(
            reply, now.mono_ms, self.state.limits
        )
        worker.last_answer_ms = now.mono_ms
        self._on_contact(worker, now)
        if not worker.epoch_accepted:
            worker.epoch_accepted = True
            self.state.request_placement(worker.pool)
        for row in reply.ended:
            if self._job_unread(row.task):
                # Not acknowledged, so the worker reports this end and those after it again.
                break
            if row.number > worker.last_seen_end:
                worker.last_seen_end = row.number
                self._apply_end(worker, row, now)
        self._reconcile_running(worker, reply, sent_ms, now)
        self.state.effects += self.pacer.adjust(worker, now)
        if (
            worker.last_seen_end > worker.last_acked_end
            and not self.state.changed_jobs
            and not self.state.append_pending
        ):
            worker.last_acked_end = worker.last_seen_end

    def _allow_for_earlier_calls(self, worker: Worker, reply: HoldReply, now: Now) -> None:
        """Expect the longest lease on a worker that was young when it first answered this leader.

        The previous leader may have called it with a deadline by the clock of the incarnation
        before, and have ended before it noticed the restart or stored that. A lease is never
        shortened.
        """
        limits = self.state.limits
        if self.state.previous_leader is None or reply.clock_ms >= limits.uncertain_age_ms:
            return
        worker.expect_lease(now.mono_ms + limits.longest_lease_ms, LeaseBasis.YOUNG)

    def _job_unread(self, task: TaskId) -> bool:
        """Return whether the record of a task's job may not have been read yet."""
        return not self.state.jobs_loaded and task.job not in self.state.table.jobs

    def _reconcile_running(self, worker: Worker, reply: HoldReply, sent_ms: int, now: Now) -> None:
        """Reconcile the runs that a worker reports as running with those recorded for it."""
        ended = {(row.task, row.run) for row in reply.ended}
        listed = {row.task: row for row in reply.running}
        for task, run in list(worker.runs.items()):
            row = listed.get(task)
            if row is not None and row.run == run.number:
                run.checkpoint = row.checkpoint or run.checkpoint
                if not run.listed:
                    self.state.record_begun(task.job)
                run.listed = run.confirmed = True
                if run.suspected:
                    self.runs.crashes.clear(run)
                if row.percent != run.percent or not run.progress_ms:
                    run.progress_ms = now.mono_ms
                run.percent, run.measurement = row.percent, row.measurement
                if run.state is RunState.RUNNING:
                    run.reported_ms = max(run.reported_ms, now.mono_ms - run.sent_ms)
                    self.runs.crashes.on_reported(worker, run)
                if run.state is RunState.SENT:
                    run.state = RunState.RUNNING
                run.running_since_ms = run.running_since_ms or now.mono_ms
            elif (
                # While another run of the task is listed, it cannot start elsewhere either.
                row is None
                and run.confirmed_ms is not None
                and run.confirmed_ms < sent_ms
                and not reply.truncated
                and (task, run.number) not in ended
            ):
                self.state.log(
                    "run_missing",
                    task=task.label,
                    run=run.number,
                    worker=worker.id,
                    confirmed_age_ms=now.mono_ms - run.confirmed_ms,
                    hold_age_ms=now.mono_ms - sent_ms,
                    starts_in_flight=run.starts_in_flight,
                    last_seen_end=worker.last_seen_end,
                )
                # Its worker has restarted, if the run was started at all.
                given_up = self.runs.crashes.on_run_missing(worker, run)
                self.runs.give_up_run(worker, run, now)
                self.runs.give_up(given_up, worker, now)
        for row in reply.running:
            run = worker.runs.get(row.task)
            if run is not None and run.number == row.run:
                continue
            unsent = run is None or run.state is RunState.PLANNED
            if unsent and self.runs.take_back(worker, row, now):
                continue
            if self.state.accepts_any_start(worker):
                # The run's resources are in use and not counted.
                worker.blocked_until_ms = now.mono_ms + self.state.limits.stop_retry_ms
            if not self._job_unread(row.task):
                self._stop_foreign(worker, row.task, row.run, now)

    def _stop_foreign(self, worker: Worker, task: TaskId, run: int, now: Now) -> None:
        """Stop a run that this leader has given up or has no record of."""
        key = (worker.id, task)
        if now.mono_ms - self._foreign_stop_ms.get(key, -(10**9)) < self.state.limits.stop_retry_ms:
            return
        self._foreign_stop_ms[key] = now.mono_ms
        found = self.state.find_run(task)
        if found is not None and found[0] is not worker:
            self.state.parallel_run_count += 1
        self.state.log(
            "foreign_run_stopped",
            task=task.label,
            run=run,
            worker=worker.id,
            started_ms=worker.started_ms,
            recorded_run=found[1].number if found is not None else None,
            recorded_worker=found[0].id if found is not None else None,
        )
        self.runs.send_stop(worker, task, run, now)

    def _apply_end(self, worker: Worker, row: EndRow, now: Now) -> None:
        self.state.record_begun(row.task.job)
        run = worker.runs.get(row.task)
        if run is None or run.number != row.run:
            self._apply_unmatched_end(worker, row, now)
            return
        if run.suspected:
            self.runs.crashes.clear(run)
        self.runs.run_ended(worker, run, row.end_reason, row.checkpoint, now)

    def _apply_unmatched_end(self, worker: Worker, row: EndRow, now: Now) -> None:
        """Apply the end of a run that is not on record, for instance as it was given up.

        The worker forgets the end, so this leader is the last to know of it.
        """
        job = self.state.table.jobs.get(row.task.job)
        task = job.task(row.task) if job is not None else None
        if task is None or task.phase is Phase.DONE:
            return
        if row.end_reason == DONE:
            self.state.unmatched_end_count += 1
            self.state.log(
                "end_not_on_record",
                task=row.task.label,
                run=row.run,
                worker=worker.id,
                end=row.number,
                recorded_run=task.run,
                recorded_worker=task.worker,
                phase=task.phase.value,
            )
        self.runs.on_unmatched_end(row, now)

    def expire_leases(self, now: Now) -> None:
        """Give up the runs of workers whose leases have expired."""
        for worker in list(self.state.workers.values()):
            started = [run for run in worker.runs.values() if run.state is not RunState.PLANNED]
            kept = {
                run.task
                for run in started
                if worker.may_hold_run(run, now.mono_ms, self.state.limits)
            }
            if len(kept) < len(started):
                given_up = self.runs.crashes.on_lease_expired(worker, kept)
                self.runs.abandon_runs(worker, "lease_over", now, kept)
                self.runs.give_up(given_up, worker, now)
            lease_over = now.mono_ms > worker.last_lease_ms(self.state.limits)
            if not worker.listed and not worker.runs and lease_over:
                self.state.workers.pop(worker.id, None)

    def next_due_ms(self, now: Now) -> int | None:
        """Return when the next hold is due; None if none is, or none may be sent."""
        return self.state.hold_times.next_due_ms() if self.state.may_grant_leases(now) else None

    def renew_leases(self, now: Now) -> None:
        """Send the holds that are due, unless this leader may have been replaced."""
        if not self.state.may_grant_leases(now):
            return
        for worker_id in self.state.hold_times.pop_due(now.mono_ms):
            worker = self.state.workers.get(worker_id)
            if worker is None or not worker.address or worker.retired:
                continue
            if worker.hold_open and not self._answers_too_late(worker):
                # The next answer, or the next entry of the worker, sets the time anew.
                continue
            self._send_hold(worker, now)

    def _answers_too_late(self, worker: Worker) -> bool:
        """Return whether the open hold was sent before a start whose outcome is waited for.

        The start is that of an isolated run, or got no answer. The worker answers the hold after up
        to `hold_wait_ms`. Another hold replaces it, whose answer is the one that counts.
        """
        return worker.hold_token < worker.token or any(
            worker.runs[task].first_sent_ms > worker.hold_sent_ms for task in worker.isolated_runs
        )

    def _acked_end(self, worker: Worker, now: Now) -> int:
        """Return the number of the last end that a worker may forget with the next hold.

        A worker that has restarted numbers its ends anew. Only one that has just answered is known
        to be the incarnation that reported the ends; the answer may have been on the way for long.
        """
        answered_ms = worker.hold_answer_ms
        recent = answered_ms is not None and now.mono_ms - answered_ms <= MAX_ACK_GAP_MS
        return worker.last_acked_end if recent else 0

    def _send_hold(self, worker: Worker, now: Now) -> None:
        silent = now.mono_ms - worker.last_answer_ms >= self.state.limits.worker_silence_ms
        responsive = (
            worker.epoch_accepted
            and worker.contact_lost_ms is None
            and not silent
            and worker.verified
        )
        wait_ms = self.state.limits.hold_wait_ms
        if any(run.step.best_effort for run in worker.runs.values()):
            wait_ms = self.state.limits.hold_wait_paced_ms
        if worker.pool in self.state.pools_moving_tasks:
            wait_ms = self.state.limits.hold_wait_moving_ms
        if worker.isolated_runs:
            wait_ms = self.state.limits.hold_wait_isolated_ms
        self.state.hold_count += 1
        worker.hold_number = self.state.hold_count
        worker.hold_open, worker.hold_sent_ms = True, now.mono_ms
        worker.hold_token = worker.token
        worker.hold_wait_ms = wait_ms if responsive else 0
        deadline = None
        # The deadline is not moved while the worker is silent. The clock of a later incarnation
        # starts anew, so that to it the same deadline is a new lease.
        if worker.epoch_accepted and worker.runs and not silent:
            timeout_ms = worker.hold_wait_ms + self.state.limits.hold_slack_ms
            deadline = worker.grant_lease(now.mono_ms, self.state.limits, timeout_ms)
        self.state.effects.append(
            HoldWorker(
                worker.id,
                worker.address,
                worker.token,
                self._acked_end(worker, now),
                deadline,
                worker.hold_wait_ms,
                worker.hold_number,
            )
        )
