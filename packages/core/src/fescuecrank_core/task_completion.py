"""Handling of ended tasks: an answer, another attempt, or an unknown outcome."""

import hashlib

import attrs

from fescuecrank_core.clock import Instant
from fescuecrank_core.effects import Effect
from fescuecrank_core.events import TaskEnd, TaskReported
from fescuecrank_core.quarantine import FailureTracker
from fescuecrank_core.request_queue import RequestQueue
from fescuecrank_core.request_registry import RequestRegistry
from fescuecrank_core.requests import Answer, Outcome, RequestKey, RequestRecord, RequestState
from fescuecrank_core.retries import RetryBudget
from fescuecrank_core.running_tasks import QUERY_INTERVAL_MS, RunningTask, RunningTasks
from fescuecrank_core.workers import WorkerGroup

# A request is refused to the caller after workers have refused to start it this many times.
MAX_START_REFUSALS = 20


class TaskCompletionHandler:
    """Ends or retries requests whose task has ended or may have ended."""

    def __init__(
        self,
        registry: RequestRegistry,
        tasks: RunningTasks,
        queue: RequestQueue,
        workers: WorkerGroup,
        tracker: FailureTracker,
        retries: RetryBudget,
    ) -> None:
        self._registry = registry
        self._tasks = tasks
        self._queue = queue
        self._workers = workers
        self._tracker = tracker
        self._retries = retries
        self._start_refusals: dict[RequestKey, int] = {}
        self._failed_workers: dict[RequestKey, frozenset[str]] = {}

    def workers_to_avoid(self, key: RequestKey) -> frozenset[str]:
        """Return the workers on which earlier attempts of a request failed."""
        return self._failed_workers.get(key, frozenset())

    def on_task(self, event: TaskReported, now: Instant) -> list[Effect]:
        """Process a report about a task."""
        running = self._tasks.by_task(event.task_id)
        record = self._registry.get(running.task.key)
        return _HANDLERS[event.end](self, running, record, event, now)

    def _on_answered(
        self, running: RunningTask, record: RequestRecord, event: TaskReported, now: Instant
    ) -> list[Effect]:
        if hashlib.sha256(event.body).hexdigest() != event.digest:
            return self._on_lost(running, record, event, now)
        key = record.request.key
        self._tracker.report(event.worker, key, not event.endpoint_failed, now.mono_ms)
        if event.endpoint_failed and self._may_retry(record):
            return self._retry(running, record, now)
        self._tasks.release(running, now)
        outcome = Outcome.FAILED if event.endpoint_failed else Outcome.DONE
        answer = Answer(
            key,
            outcome,
            event.detail,
            event.status,
            event.body,
            event.digest,
            record.attempts,
        )
        return self._end(record, answer, now)

    def _may_retry(self, record: RequestRecord) -> bool:
        if not record.request.idempotent or self._tracker.fails_everywhere(record.request.key):
            return False
        return self._retries.try_spend()

    def _retry(self, running: RunningTask, record: RequestRecord, now: Instant) -> list[Effect]:
        """Put a request back into the queue; its last attempt can have no further effect."""
        key = record.request.key
        self._failed_workers[key] = self.workers_to_avoid(key) | {running.task.worker}
        self._tasks.release(running, now)
        effects = self._registry.replicate(_queued(record), now)
        self._queue.add(record.request, now)
        return effects

    def _on_not_started(
        self, running: RunningTask, record: RequestRecord, event: TaskReported, now: Instant
    ) -> list[Effect]:
        key = record.request.key
        if event.draining:
            self._workers.mark_draining(event.worker)
        if event.end is TaskEnd.NOT_SENT:
            self._workers.mark_unreachable(event.worker, now)
        # The task was not started and never will be, so the attempt does not count.
        record = attrs.evolve(record, attempts=max(0, record.attempts - 1))
        self._start_refusals[key] = self._start_refusals.get(key, 0) + 1
        if self._start_refusals[key] <= MAX_START_REFUSALS:
            return self._retry(running, record, now)
        self._tasks.release(running, now)
        self._clear_attempts(key)
        reason = f"refused by workers: {event.detail}"
        return self._registry.end_unstarted(record, Outcome.NOT_RUN, reason, now)

    def _on_lost(
        self, running: RunningTask, record: RequestRecord, event: TaskReported, now: Instant
    ) -> list[Effect]:
        if self._tasks.lease_has_ended(running, now):
            return self._end_without_answer(running, record, now)
        running.lost_since_ms = running.lost_since_ms or now.mono_ms
        if now.mono_ms < running.next_query_ms:
            return []
        return self._tasks.query(running, now)

    def _on_running(
        self, running: RunningTask, record: RequestRecord, event: TaskReported, now: Instant
    ) -> list[Effect]:
        # The connection for the answer may be lost, so the task is queried until it ends.
        running.lost_since_ms = now.mono_ms
        running.next_query_ms = now.mono_ms + QUERY_INTERVAL_MS
        return []

    def _on_stopped(
        self, running: RunningTask, record: RequestRecord, event: TaskReported, now: Instant
    ) -> list[Effect]:
        if running.stop_requested:
            self._tasks.release(running, now)
            key = record.request.key
            answer = Answer(key, Outcome.FAILED, "cancelled while it ran", runs=record.attempts)
            return self._end(record, answer, now)
        if running.reclaimed:
            self._tasks.release(running, now)
            effects = self._registry.replicate(_queued(record), now)
            self._queue.requeue(record.request, running.queued_ms)
            return effects
        return self._end_without_answer(running, record, now)

    def _end_without_answer(
        self, running: RunningTask, record: RequestRecord, now: Instant
    ) -> list[Effect]:
        """Retry a request whose task ended without an answer, or end it as unknown."""
        if self._may_retry(record):
            return self._retry(running, record, now)
        self._tasks.release(running, now)
        key = record.request.key
        reason = f"worker {running.task.worker} gave no answer; the request may have run"
        return self._end(record, Answer(key, Outcome.UNKNOWN, reason, runs=record.attempts), now)

    def _end(self, record: RequestRecord, answer: Answer, now: Instant) -> list[Effect]:
        self._clear_attempts(answer.key)
        return self._registry.end(record, answer, now)

    def _clear_attempts(self, key: RequestKey) -> None:
        self._start_refusals.pop(key, None)
        self._failed_workers.pop(key, None)

    def query_lost(self, now: Instant) -> list[Effect]:
        """Query lost tasks again, and end those whose leases have ended."""
        effects: list[Effect] = []
        for running in self._tasks:
            if not running.started or now.mono_ms < running.next_query_ms:
                continue
            if self._tasks.lease_has_ended(running, now):
                record = self._registry.get(running.task.key)
                effects.extend(self._end_without_answer(running, record, now))
            elif running.lost_since_ms is not None:
                effects.extend(self._tasks.query(running, now))
        return effects


def _queued(record: RequestRecord) -> RequestRecord:
    return attrs.evolve(record, state=RequestState.QUEUED, task=None)


_HANDLERS = {
    TaskEnd.ANSWERED: TaskCompletionHandler._on_answered,
    TaskEnd.REFUSED: TaskCompletionHandler._on_not_started,
    TaskEnd.NOT_SENT: TaskCompletionHandler._on_not_started,
    TaskEnd.NEVER_SEEN: TaskCompletionHandler._on_not_started,
    TaskEnd.LOST: TaskCompletionHandler._on_lost,
    TaskEnd.RUNNING: TaskCompletionHandler._on_running,
    TaskEnd.STOPPED: TaskCompletionHandler._on_stopped,
}
