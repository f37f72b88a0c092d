"""Tickets of the advice service, which decides on which workers a step may run."""

import attrs

from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.effects import Advise, Effect
from fescuecrank_scheduler.events import Advised
from fescuecrank_scheduler.jobs import Job, Step, TaskId
from fescuecrank_scheduler.limits import Limits
from fescuecrank_scheduler.placement import peers_on, tasks_that_fit
from fescuecrank_scheduler.workers import Worker

# Pause after a call that was refused or got no answer.
RETRY_MS = 150

StepKey = tuple[str, int, int]


@attrs.frozen
class Ticket:
    """Permission to start a step on a worker, for one of its incarnations."""

    value: str
    expires_ms: int
    # Start of the incarnation, as known when the ticket was requested.
    started_ms: int


@attrs.define
class StepTickets:
    """Tickets for one step; an incarnation is named by its worker's id and its start."""

    # Newest ticket by worker.
    tickets: dict[str, Ticket] = attrs.field(factory=dict)
    # Incarnation of each worker that was last asked about, with and without an answer.
    asking: dict[str, int] = attrs.field(factory=dict)
    answered: dict[str, int] = attrs.field(factory=dict)
    # Workers that got a ticket when they were last asked about. The service's choice is stable, so
    # theirs can be renewed.
    approved: set[str] = attrs.field(factory=set)

    def is_answered(self, worker: Worker) -> bool:
        """Return whether the service has decided on this incarnation of a worker."""
        return self.answered.get(worker.id) == worker.started_ms

    def is_refused(self, worker: Worker) -> bool:
        """Return whether the service does not allow this incarnation of a worker."""
        return self.is_answered(worker) and worker.id not in self.approved

    def is_valid(self, worker: Worker, at_ms: int) -> bool:
        """Return whether a worker's ticket is valid beyond a time."""
        ticket = self.tickets.get(worker.id)
        return (
            ticket is not None
            and ticket.expires_ms > at_ms
            and ticket.started_ms == worker.started_ms
        )


@attrs.define
class AdviceCache:
    """Tickets by step; one call at a time, as the service handles only one per process."""

    steps: dict[StepKey, StepTickets] = attrs.field(factory=dict)
    _queue: list[Advise] = attrs.field(factory=list)
    _call_open: bool = False
    # No further call before this time, after one that got no answer.
    _paused_until_ms: int = 0
    _effects: list[Effect] = attrs.field(factory=list)

    def workers_with_ticket(
        self,
        job: Job,
        occurrence: int,
        step: int,
        usable: list[Worker],
        now: Now,
        limits: Limits,
        tasks: int = 1,
    ) -> list[Worker]:
        """Return the usable workers with a valid ticket.

        Requests more if these lack capacity for `tasks` of the step that others may have.
        """
        key = (job.id, occurrence, step)
        advice = self.steps.setdefault(key, StepTickets())
        min_expiry_ms = now.mono_ms + limits.ticket_margin_ms
        valid = [worker for worker in usable if advice.is_valid(worker, min_expiry_ms)]
        waiting = any(self._key(call) == key for call in self._queue)
        if waiting or now.mono_ms < self._paused_until_ms:
            return valid
        missing = tasks - sum(_room(worker, key, job.steps[step]) for worker in valid)
        if missing > 0:
            others = [
                worker
                for worker in usable
                if not advice.is_valid(worker, min_expiry_ms) and not advice.is_refused(worker)
            ]
            room = {worker.id: _room(worker, key, job.steps[step]) for worker in others}
            with_room = [worker for worker in others if room[worker.id]]
            # Without any ticket, one is requested ahead of the room that it will be used for.
            candidates = with_room if with_room or valid else others
            candidates.sort(key=lambda worker: -room[worker.id])
            asked = [worker for worker in candidates if worker.id in advice.approved]
            if sum(room[worker.id] for worker in asked) < missing:
                asked += [worker for worker in candidates if worker.id not in advice.approved]
            self._request(key, asked[: limits.advice_batch_size])
        return valid

    def is_refused(self, job: Job, occurrence: int, step: int, worker: Worker) -> bool:
        """Return whether the service is known not to allow a step on a worker."""
        advice = self.steps.get((job.id, occurrence, step))
        return advice is not None and advice.is_refused(worker)

    def _request(self, key: StepKey, workers: list[Worker]) -> None:
        if workers:
            self.steps[key].asking.update({worker.id: worker.started_ms for worker in workers})
            self._queue.append(Advise(*key, tuple(worker.id for worker in workers)))
            self._send_next()

    def describe(self, call: Advise) -> dict[str, object]:
        """Return the fields of a call's log line: what is known of the step before its answer."""
        advice = self.steps.get(self._key(call), StepTickets())
        return {
            "job": call.job,
            "occurrence": call.occurrence,
            "step": call.step,
            "workers": len(call.workers),
            "asked_before": sum(worker in advice.answered for worker in call.workers),
            "answered": len(advice.answered),
            "approved": len(advice.approved),
        }

    def on_advised(self, event: Advised, now: Now) -> None:
        """Store the tickets of an answer; a call without one is repeated on demand later."""
        if event.tickets is None:
            self._paused_until_ms = now.mono_ms + RETRY_MS
        self._call_open = False
        if self._queue:
            self._queue.pop(0)
        advice = self.steps.get((event.job, event.occurrence, event.step))
        if advice is not None and event.tickets is not None:
            for worker in event.workers:
                advice.answered[worker] = advice.asking.get(worker, 0)
            advice.approved.difference_update(event.workers)
            advice.approved.update(event.tickets)
            expires_ms = now.mono_ms + event.validity_ms
            for worker, value in event.tickets.items():
                advice.tickets[worker] = Ticket(value, expires_ms, advice.answered.get(worker, 0))
        self._send_next()

    def ticket(self, task: TaskId, worker: str) -> str:
        """Return the ticket for a start of `task` on `worker`, or the empty string."""
        advice = self.steps.get((task.job, task.occurrence, task.step))
        ticket = advice.tickets.get(worker) if advice is not None else None
        return ticket.value if ticket is not None else ""

    def drop_ticket(self, task: TaskId, worker: str) -> None:
        """Remove a ticket that a worker rejected."""
        advice = self.steps.get((task.job, task.occurrence, task.step))
        if advice is not None:
            advice.tickets.pop(worker, None)

    def forget_job(self, job: str) -> None:
        """Remove the tickets of an ended job."""
        for key in [key for key in self.steps if key[0] == job]:
            del self.steps[key]

    def take_effects(self) -> list[Effect]:
        """Return and clear the calls to make."""
        effects, self._effects = self._effects, []
        return effects

    def _send_next(self) -> None:
        if self._queue and not self._call_open:
            self._call_open = True
            self._effects.append(self._queue[0])

    @staticmethod
    def _key(call: Advise) -> StepKey:
        return (call.job, call.occurrence, call.step)


def _room(worker: Worker, key: StepKey, step: Step) -> int:
    """Return how many further tasks of a step a worker has capacity for."""
    peers = peers_on(worker, *key) if step.anti_affinity else 0
    return tasks_that_fit(worker, step, worker.free, peers)
