"""Incarnations of a worker: what its restart under the same id ends, and what it does not.

A worker that restarts holds and knows nothing of before, and its numbers of ends and its clock
start anew. Calls that it did not answer may still be carried out, by the next incarnation.
"""

import attrs

from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.events import ClockReading, HoldReply
from fescuecrank_scheduler.jobs import TaskId
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.runs import Runs
from fescuecrank_scheduler.workers import LeaseBasis, RunState, Worker


@attrs.define
class Incarnations:
    """Restarts of workers under one leadership."""

    state: LeaderState
    runs: Runs

    def on_restart(
        self, worker: Worker, started_ms: int, reply: HoldReply | None, now: Now
    ) -> None:
        """Give up the runs of a worker that has restarted under the same id.

        Its entry in the list tells of that, or `reply`. A start that was not answered may still be
        carried out by the new incarnation, until that has been called with its own token. Such a
        run is stopped there before its task may start elsewhere. The new incarnation may also have
        been given runs before the restart was known; it keeps them.
        """
        self.state.restart_count += 1
        self.state.log(
            "worker_restarted",
            worker=worker.id,
            source="entry" if reply is None else "answer",
            started_ms=started_ms,
            before_ms=worker.started_ms,
            runs=len(worker.runs),
            starts_in_flight=sum(run.starts_in_flight for run in worker.runs.values()),
            last_seen_end=worker.last_seen_end,
            last_acked_end=worker.last_acked_end,
            hold_open=worker.hold_open,
            deadline_call_age_ms=now.mono_ms - worker.deadline_call_ms,
            lease_ms=worker.lease_expires_ms - now.mono_ms,
        )
        self.begin_calls(worker, now)
        kept = self._runs_of_new_incarnation(worker, reply)
        given_up = self.runs.crashes.on_crash(worker, now, kept)
        for task, run in list(worker.runs.items()):
            # How many starts of an adopted run the previous leader sent is unknown.
            in_flight = run.starts_in_flight > 0 or (run.adopted and run.state is RunState.SENT)
            if in_flight and task not in kept:
                self.runs.stop(worker, run, now)
            if run.state is RunState.STOPPING:
                kept.add(task)
        self.runs.abandon_runs(worker, "restarted", now, kept)
        self.runs.give_up(given_up, worker, now)
        worker.started_ms, worker.epoch_accepted, worker.retired = started_ms, False, False
        worker.last_seen_end = worker.last_acked_end = 0
        worker.clock_ms = worker.sent_deadline_ms = None
        if worker.entry_started_ms < started_ms:
            # Its capacity is known when it has written an entry.
            worker.entry_ms = now.mono_ms - self.state.limits.max_entry_age_ms - 1
        worker.lease_expires_ms = now.mono_ms + self.state.limits.longest_lease_ms
        worker.lease_basis = LeaseBasis.RESTARTED
        worker.expect_earlier_calls()

    def check_clock(self, worker_id: str, clock: ClockReading | None, now: Now) -> None:
        """Call a worker anew whose clock, in an answer other than to a hold, has started anew.

        A later incarnation has answered. It has been granted a lease by the clock of an earlier
        one, which lasts as long as a lease can, and its numbers of ends start anew. Its answer to
        the hold says when it started and what it runs.
        """
        worker = self.state.workers.get(worker_id)
        if worker is None or clock is None or not worker.is_behind(clock, self.state.limits):
            return
        self.state.log(
            "worker_clock_behind",
            worker=worker.id,
            clock_ms=clock.clock_ms,
            last_clock_ms=worker.clock_ms,
            last_read_age_ms=now.mono_ms - worker.clock_read_ms,
            runs=len(worker.runs),
        )
        self.begin_calls(worker, now)
        worker.epoch_accepted = False
        worker.clock_ms = worker.sent_deadline_ms = None
        expires_ms = now.mono_ms + self.state.limits.longest_lease_ms
        worker.expect_lease(expires_ms, LeaseBasis.CLOCK_BEHIND)
        worker.expect_earlier_calls()

    def _runs_of_new_incarnation(self, worker: Worker, reply: HoldReply | None) -> set[TaskId]:
        """Return the tasks of runs that a worker may have been given since it restarted.

        These are the ones that it lists, and those of which the start was answered, but that were
        never listed and could not be, as the hold was sent before.
        """
        if reply is None:
            listed, sent_ms = set(), -1
        else:
            listed = {(row.task, row.run) for row in (*reply.running, *reply.ended)}
            sent_ms = worker.hold_sent_ms
        return {
            task
            for task, run in worker.runs.items()
            if (task, run.number) in listed
            or (
                run.state is RunState.RUNNING
                and not run.listed
                and run.confirmed_ms is not None
                and run.confirmed_ms >= sent_ms
            )
        }

    def begin_calls(self, worker: Worker, now: Now) -> None:
        """Call a worker with a new token, at once, and ignore the answer of the open hold.

        That answer is a state of an earlier incarnation. Its numbers of ends, taken for those of
        the later one, would let that one forget ends that nobody has seen.
        """
        worker.token, worker.hold_open = self.state.next_token(), False
        worker.hold_answer_ms, worker.accepted_token = None, 0
        self.state.hold_times.set(worker.id, now.mono_ms)
