"""The leader's appends to the progress stream, which act as a write-ahead log.

Every run is recorded before its start is sent, so that a successor knows on which worker each task
may be running. Every end is recorded before the worker may forget it and before callers see its
effect.
"""

import attrs

from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.effects import StoreProgress
from fescuecrank_scheduler.jobs import Outcome, TaskId
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.ordering import due_times_ms
from fescuecrank_scheduler.records import (
    Record,
    encode_begun,
    encode_leadership,
    encode_long_leases,
    encode_progress,
)
from fescuecrank_scheduler.starts import Starts
from fescuecrank_scheduler.validation import MAX_TIME_MS
from fescuecrank_scheduler.workers import RunState


@attrs.define
class PendingAppend:
    """The append in progress and what takes effect once it is stored."""

    sequence: int
    starts: list[tuple[str, TaskId, int]]
    outcomes: dict[str, Outcome]
    # Numbers of the last ends that workers may forget then, with the token of the incarnation.
    acks: dict[str, tuple[int, int]]
    sent_ms: int
    # Leases that the renewal reports as not renewed; None if the append contains no renewal.
    unrenewed_leases: dict[str, int] | None
    # When it was sent, if it contains a renewal.
    renewal_sent_ms: int | None


@attrs.define
class ProgressLog:
    """Appends of one leadership, one at a time."""

    state: LeaderState
    starts: Starts
    # Sequence number of the next append under this epoch.
    sequence: int
    pending: PendingAppend | None = None
    last_append_ms: int = 0
    _renewal_sent_ms: int = 0
    # Changed jobs whose records did not fit into the append before; they come first in the next.
    _postponed: set[str] = attrs.field(factory=set)

    def on_stored(self, sequence: int, now: Now) -> None:
        """Apply a stored append: send its starts, publish its outcomes, acknowledge its ends."""
        pending = self.pending
        if pending is None or pending.sequence != sequence:
            return
        self.pending, self.state.append_pending = None, False
        # The answer may have come late, or been received while this process was paused.
        self.state.renewed_ms = pending.sent_ms
        if pending.renewal_sent_ms is not None:
            self.state.renewal_sent_ms = pending.renewal_sent_ms
        self.state.resigned = not self.state.leader.holder
        for job_id, outcome in pending.outcomes.items():
            self._publish_outcome(job_id, outcome, now)
        for worker_id, task, number in pending.starts:
            self._send_planned(worker_id, task, number, now)
        if pending.unrenewed_leases is not None:
            for worker in self.state.workers.values():
                worker.lease_unrenewed = worker.id in pending.unrenewed_leases
        for worker_id, (token, number) in pending.acks.items():
            worker = self.state.workers.get(worker_id)
            # The numbers of a later incarnation start anew.
            if worker is not None and worker.token == token:
                worker.last_acked_end = max(worker.last_acked_end, number)

    def _publish_outcome(self, job_id: str, outcome: Outcome, now: Now) -> None:
        """Set the outcome of a job in the table and drop its cached placement state."""
        state = self.state
        job = state.table.jobs[job_id]
        queue = state.config.queue(job.queue)
        due_ms, _ = due_times_ms(job, state.config)
        state.log(
            "job_ended",
            job=job_id,
            outcome=outcome.value,
            pool=queue.pool if queue is not None else "",
            age_ms=now.wall_ms - job.accepted_ms,
            objective_ms=int(due_ms - job.accepted_ms),
        )
        state.table.set_outcome(job, outcome)
        state.outcomes.pop(job_id, None)
        state.demands.pop(job_id, None)
        for key in [key for key in state.wait_reasons if key[0] == job_id]:
            del state.wait_reasons[key]
        for by_task in (state.isolation_since, state.given_up_runs):
            for task in [task for task in by_task if task.job == job_id]:
                del by_task[task]
        state.advice.forget_job(job_id)

    def _send_planned(self, worker_id: str, task: TaskId, number: int, now: Now) -> None:
        worker = self.state.workers.get(worker_id)
        run = worker.runs.get(task) if worker else None
        if worker is None or run is None or run.number != number:
            return
        if run.state is not RunState.PLANNED:
            return
        self.starts.send_planned(worker, run, now)

    def _backlog_ms(self) -> dict[str, int]:
        """Return the time that each pool needs for its waiting work."""
        backlog_ms = {}
        for pool, work in self.state.waiting_work.items():
            cores = sum(
                worker.capacity.cpu
                for worker in self.state.workers.values()
                if worker.pool == pool and worker.listed and worker.ready
            )
            if work and cores:
                # Estimates of callers have no bound; a reader takes a longer time for malformed.
                backlog_ms[pool] = min(int(1_000 * work / cores), MAX_TIME_MS)
        return backlog_ms

    def _unrenewed_leases(self, now: Now) -> dict[str, int]:
        """Return the remaining time of each lease that is not renewed because its worker is silent.

        With this record a successor need not assume that this leader kept renewing the lease.
        """
        unrenewed = {}
        for worker in self.state.workers.values():
            if (
                not worker.runs
                or now.mono_ms - worker.last_answer_ms < self.state.limits.worker_silence_ms
            ):
                continue
            since_ms = now.mono_ms - self.state.started_ms
            # One that resigns grants nothing to workers that it has not reached yet.
            fresh = since_ms < self.state.limits.renew_interval_ms and not self.state.resigning
            if worker.last_answer_ms or not fresh or worker.id in self.state.inherited_leases:
                unrenewed[worker.id] = max(0, worker.last_lease_ms(self.state.limits) - now.mono_ms)
                worker.lease_unrenewed = True
        return unrenewed

    def _long_leases(self, now: Now) -> dict[str, int]:
        """Return the remaining time of each lease that may be longer than the usual one.

        Until the next renewal, a worker whose incarnation is uncertain may get further calls, and
        starts may be repeated, also those that were refused.
        """
        limits, long_leases = self.state.limits, {}
        for worker in self.state.workers.values():
            remaining_ms = worker.last_lease_ms(limits) - now.mono_ms
            uncertain = any(run.unconfirmed or run.to_be_repeated for run in worker.runs.values())
            if uncertain and not self.state.resigning:
                remaining_ms = max(remaining_ms, limits.longest_inherited_ms)
            if remaining_ms > limits.usual_lease_ms:
                long_leases[worker.id] = remaining_ms
        return long_leases

    def next_due_ms(self, now: Now) -> int | None:
        """Return when the next append may start; None if there is nothing to append."""
        unwritten = self.pending is None and (self.state.changed_jobs or self.state.queued_records)
        return self.last_append_ms + self.state.limits.min_append_interval_ms if unwritten else None

    def _encode_jobs(self) -> tuple[list[Record], dict[str, Outcome]]:
        """Return the records of changed jobs up to the limit of an append, and the outcomes.

        The store rejects a larger append whole, however often it is repeated.
        """
        state = self.state
        records: list[Record] = []
        outcomes: dict[str, Outcome] = {}
        waiting = sorted(
            state.changed_jobs, key=lambda job_id: (job_id not in self._postponed, job_id)
        )
        self._postponed = set()
        size = 0
        for position, job_id in enumerate(waiting):
            if size >= state.limits.max_append_bytes:
                self._postponed = set(waiting[position:])
                state.log(
                    "jobs_postponed", stored=position, postponed=len(self._postponed), bytes=size
                )
                break
            job, outcome = state.table.jobs[job_id], state.outcomes.get(job_id)
            if job.outcome is not None:
                continue
            if outcome is not None:
                outcomes[job_id] = outcome
            records.append(encode_progress(job, outcome, state.leader.epoch))
            size += len(records[-1].key) + len(records[-1].value)
        return records, outcomes

    def start_append(self, now: Now) -> None:
        """Append the changes since the last append, with a renewal if one is due."""
        since_ms = now.mono_ms - self._renewal_sent_ms
        renewal_due = self.state.resigning or since_ms >= self.state.limits.renew_interval_ms
        if self.pending is not None or not (
            self.state.changed_jobs or self.state.queued_records or renewal_due
        ):
            return
        if now.mono_ms - self.last_append_ms < self.state.limits.min_append_interval_ms:
            return
        records, outcomes = self._encode_jobs()
        records.extend(self.state.queued_records)
        records.extend(encode_begun(job_id) for job_id in self.state.begun_jobs)
        if renewal_due:
            self._renewal_sent_ms = now.mono_ms
            self.state.leader = attrs.evolve(
                self.state.leader,
                holder="" if self.state.resigning else self.state.leader.holder,
                renewals=self.state.leader.renewals + 1,
                wall_ms=now.wall_ms,
                backlog_ms=self._backlog_ms(),
                unrenewed_leases=self._unrenewed_leases(now),
            )
            records.append(encode_long_leases(self._long_leases(now)))
            records.append(encode_leadership(self.state.leader))
        # An end may belong to a job whose record waits for the next append.
        acks = {
            worker.id: (worker.token, worker.last_seen_end)
            for worker in self.state.workers.values()
            if worker.last_seen_end > worker.last_acked_end and not self._postponed
        }
        planned = [run for run in self.state.planned if run[1].job not in self._postponed]
        unrenewed_leases = self.state.leader.unrenewed_leases if renewal_due else None
        self.pending = PendingAppend(
            self.sequence,
            planned,
            outcomes,
            acks,
            now.mono_ms,
            unrenewed_leases,
            now.mono_ms if renewal_due else None,
        )
        self.state.append_pending = True
        self.state.release_sent = self.state.resigning
        self.state.planned = [run for run in self.state.planned if run[1].job in self._postponed]
        self.state.changed_jobs = set(self._postponed)
        self.state.queued_records, self.state.begun_jobs = [], []
        self.last_append_ms = now.mono_ms
        if not records:
            self.on_stored(self.sequence, now)
            return
        self.state.effects.append(
            StoreProgress(self.state.leader.epoch, self.sequence, tuple(records))
        )
        self.sequence += 1
