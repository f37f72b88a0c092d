"""Starts of runs: answers, repetitions and refusals."""

import attrs

from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.effects import StartRun
from fescuecrank_scheduler.events import CallResult, StartDone
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.runs import Runs
from fescuecrank_scheduler.workers import Run, RunState, Worker

# Answers to a start that say that the run is or was on the worker.
CARRIED_OUT = {CallResult.OK, CallResult.OLD}


@attrs.define
class Starts:
    """Starts that one leader has sent and their answers."""

    state: LeaderState
    runs: Runs

    def send(self, worker: Worker, run: Run, now: Now) -> None:
        """Send or repeat the start of a run whose record is stored."""
        deadline = worker.grant_lease(now.mono_ms, self.state.limits)
        if deadline is None:
            self._withdraw(worker, run, "withdrawn", now)
            return
        run.state, run.sent_ms, run.address = RunState.SENT, now.mono_ms, worker.address
        run.first_sent_ms = run.first_sent_ms or now.mono_ms
        run.never_sent = run.unanswered = run.confirmed = False
        run.start_tokens.append(worker.token)
        self.state.effects.append(
            StartRun(
                worker.id,
                worker.address,
                worker.token,
                run.task,
                run.number,
                self.state.table.jobs[run.task.job].spec,
                deadline,
                run.checkpoint,
                self.state.advice.ticket(run.task, worker.id),
                self.state.limits.start_timeout_ms,
                sent_ms=now.mono_ms,
            )
        )

    def _withdraw(self, worker: Worker, run: Run, reason: str, now: Now) -> None:
        """Place the task of a run elsewhere, once none of the run's starts can be carried out."""
        if worker.may_carry_out(run):
            # A worker refuses the starts of a run that it was told to stop.
            self.runs.stop(worker, run, now)
        else:
            self.runs.run_ended(worker, run, reason, "", now)

    def on_done(self, event: StartDone, now: Now) -> None:
        """Apply the answer to a start."""
        worker = self.state.workers.get(event.worker)
        run = worker.runs.get(event.task) if worker else None
        unanswered = event.result is CallResult.NO_ANSWER
        if worker is None or run is None or run.number != event.run:
            if worker is not None and unanswered:
                self._refuse_later(worker, event.token, now)
            return
        if not unanswered and event.token in run.start_tokens:
            run.start_tokens.remove(event.token)
        if run.state is not RunState.SENT:
            if run.state is RunState.STOPPING and unanswered:
                self._refuse_later(worker, event.token, now)
            return
        if event.token < worker.token and event.result not in CARRIED_OUT:
            # It was sent to an earlier address of the worker, or overtaken by a later call.
            self._mark_unanswered(worker, run, now)
            return
        match event.result:
            case CallResult.OK:
                run.state, run.confirmed_ms = RunState.RUNNING, now.mono_ms
                run.confirmed = True
                self.state.record_begun(event.task.job)
                run.running_since_ms = run.running_since_ms or now.mono_ms
                worker.last_answer_ms = now.mono_ms
                self.state.hold_times.set(worker.id, now.mono_ms)
            case CallResult.NO_ANSWER | CallResult.REFUSED:
                if run.starts_in_flight == 0:
                    run.never_sent = True
                    self.runs.crashes.clear(run)
                self._mark_unanswered(worker, run, now)
            case CallResult.OLD:
                # The run is or was on the worker; the next hold reports it or its end.
                run.confirmed_ms = now.mono_ms
            case CallResult.FENCED:
                self.runs.on_call_rejected(worker, event.result, event.token, now)
            case _:
                self._on_refused(worker, run, event, now)

    def _mark_unanswered(self, worker: Worker, run: Run, now: Now) -> None:
        """Mark a start to be repeated; the run number makes the repetition idempotent.

        Before that, the answer to a hold with a higher token tells whether the worker has the run
        or has restarted, and keeps it from carrying out the start later.
        """
        self.state.log(
            "start_unanswered",
            task=run.label,
            run=run.number,
            worker=worker.id,
            age_ms=now.mono_ms - run.sent_ms,
            starts_in_flight=run.starts_in_flight,
            never_sent=run.never_sent,
            started_ms=worker.started_ms,
        )
        if worker.token in run.start_tokens:
            worker.token = self.state.next_token()
        self.state.hold_times.set(worker.id, now.mono_ms)
        worker.blocked_until_ms = now.mono_ms + self.state.limits.start_timeout_ms
        run.unanswered = True

    def _refuse_later(self, worker: Worker, token: int, now: Now) -> None:
        """Use a higher token, so that a start whose run was stopped is not carried out later.

        The worker knows of the stop, but its next incarnation does not.
        """
        if token == worker.token:
            worker.token = self.state.next_token()
            self.state.hold_times.set(worker.id, now.mono_ms)

    def retry(self, now: Now) -> None:
        """Repeat unanswered starts after the time-out, also where the connection was refused."""
        if not self.state.may_grant_leases(now):
            return
        for worker in self.state.workers.values():
            for run in list(worker.runs.values()):
                if not run.unanswered or run.state is not RunState.SENT:
                    continue
                if now.mono_ms - run.sent_ms < self.state.limits.start_timeout_ms:
                    continue
                # Another incarnation may answer next, which must not run it beside other runs.
                if worker.contact_lost_ms is not None or not worker.verified:
                    continue
                if not worker.ready or not self._has_room(worker, run, now):
                    self.runs.stop(worker, run, now)
                    continue
                if self.state.still_needed(run):
                    self.send(worker, run, now)
                else:
                    self.runs.stop(worker, run, now)

    def _has_room(self, worker: Worker, run: Run, now: Now) -> bool:
        """Return whether the worker can still take a run, which its free capacity includes."""
        if not self.state.accepts_any_start(worker):
            return True
        known = self.state.capacity_known(worker, now)
        return known and not worker.is_full_beyond(run.step.reservation)

    def send_planned(self, worker: Worker, run: Run, now: Now) -> None:
        """Send the start of a run whose record is stored, unless it is out of place by now."""
        if not self.state.still_needed(run) or self.state.release_sent:
            reason = "withdrawn"
        elif not self.state.may_grant_leases(now):
            reason = "leadership_unproven"
        elif worker.contact_lost_ms is not None:
            reason = "worker_away"
        elif worker.is_full_beyond(run.step.reservation) or not self.state.capacity_known(
            worker, now
        ):
            reason = "no_room"
        else:
            self.send(worker, run, now)
            return
        self.runs.run_ended(worker, run, reason, "", now)

    def _on_refused(self, worker: Worker, run: Run, event: StartDone, now: Now) -> None:
        result = event.result
        self.state.log(
            "start_refused",
            task=run.label,
            run=run.number,
            worker=worker.id,
            reason=result.value,
            starts_in_flight=run.starts_in_flight,
        )
        if result is CallResult.OTHER_INCARNATION:
            run.never_sent = run.starts_in_flight == 0
            self.runs.on_call_rejected(worker, result, event.token, now)
            return
        if result is CallResult.NO_ROOM:
            # The worker's own count of reserved resources differs from ours until the next hold.
            worker.blocked_until_ms = now.mono_ms + self.state.limits.hold_retry_ms
        elif result is CallResult.BAD_TICKET:
            self.state.advice.drop_ticket(run.task, worker.id)
        else:
            worker.blocked_until_ms = now.mono_ms + 4 * self.state.limits.hold_retry_ms
        self._withdraw(worker, run, "refused", now)
