"""Scheduling of one cell at its holder: the life of each request from queue to answer."""

import hashlib
from collections import Counter

import attrs

from fescuecrank_core.claims import ClaimKeeper
from fescuecrank_core.clock import Instant
from fescuecrank_core.declarations import Resources
from fescuecrank_core.effects import (
    ControlTask,
    Effect,
    Observe,
    QueryTask,
    SendPeer,
    StartTask,
    TaskAction,
)
from fescuecrank_core.escrow import CellAccounts
from fescuecrank_core.events import TaskEnd, TaskReported, WorkerPolled
from fescuecrank_core.ids import IdSource
from fescuecrank_core.learning import Estimator
from fescuecrank_core.ledger import Ledger
from fescuecrank_core.ledger_state import Claim
from fescuecrank_core.membership import Membership
from fescuecrank_core.messages import (
    CellLoad,
    EscrowGrant,
    Forward,
    ForwardAnswer,
    ReplicateAck,
    ResultReply,
)
from fescuecrank_core.placement import WorkerIndex
from fescuecrank_core.publishing import Publisher
from fescuecrank_core.quarantine import FailureTracker
from fescuecrank_core.record_table import RecordTable, may_have_run_before
from fescuecrank_core.records import LIMITS_SCOPE
from fescuecrank_core.replication import Replicator
from fescuecrank_core.requests import (
    Answer,
    Outcome,
    Request,
    RequestKey,
    RequestRecord,
    RequestState,
    Task,
)
from fescuecrank_core.retries import RetryBudget
from fescuecrank_core.sharing import DominantShareQueue, Waiting
from fescuecrank_core.workers import LEASE_MS, WorkerGroup

# A wave of cancellations is worked off in parts, so that it does not delay admissions.
CANCELS_PER_STEP = 64
STARTS_PER_STEP = 64
QUERY_INTERVAL_MS = 1_000
# All running tasks are looked at, which costs too much on each tick.
LOST_INTERVAL_MS = 100
LOAD_INTERVAL_MS = 1_000
CONFIGURE_INTERVAL_MS = 500
EXPIRE_INTERVAL_MS = 1_000
# A request that so many workers in a row have refused to start is refused to the caller.
MAX_REFUSALS = 20
# Changes of a later epoch supersede those of an earlier one, so the epoch forms the high bits.
SEQ_BITS = 32
LOG_SILENCE_MS = 2_000
# A throttled task may end or the need may pass; both are cheaper than a checkpoint.
CHECKPOINT_AFTER_MS = 200
# A task that lasts longer would hold up a worker that maintenance takes out next.
LONG_TASK_MS = 10_000


@attrs.define
class Running:
    """A task from its placement to its end.

    `lost_since_ms` is set while it is not known what became of the task.
    """

    task: Task
    slots: int
    queued_ms: int = 0
    lost_since_ms: int | None = None
    next_query_ms: int = 0
    started: bool = False
    started_ms: int = 0
    used: Resources | None = None
    stop_asked: bool = False
    throttled_ms: int | None = None
    reclaimed: bool = False


class Cell:
    """One cell that this entry holds and has prepared."""

    def __init__(
        self,
        claim: Claim,
        pool: str,
        region: str,
        name: str,
        ledger: Ledger,
        membership: Membership,
        claims: ClaimKeeper,
        publisher: Publisher,
        ids: IdSource,
        table: RecordTable,
        now: Instant,
    ) -> None:
        self.scope = claim.scope
        self.epoch = claim.epoch
        self.pool = pool
        self.table = table
        self.records_since_ms = claim.records_since_ms
        self._name = name
        self._ledger = ledger
        self._membership = membership
        self._claims = claims
        self._ids = ids
        self._seq = claim.epoch << SEQ_BITS
        self._running: dict[RequestKey, Running] = {}
        self._unstarted: dict[RequestKey, Running] = {}
        self._by_task: dict[str, RequestKey] = {}
        self._waiters: dict[RequestKey, set[str]] = {}
        self._refusals: dict[RequestKey, int] = {}
        self._avoid: dict[RequestKey, set[str]] = {}
        self._cancels: dict[RequestKey, None] = {}
        self._queued: dict[RequestKey, Waiting] = {}
        self._wanted: Counter[str] = Counter()
        self._arrived_slot_ms = 0
        self._load_sent_ms = now.mono_ms
        self._due = {"load": 0, "configure": 0, "expire": 0, "lost": 0}
        self.queue = DominantShareQueue()
        self.index = WorkerIndex()
        self.estimator = Estimator()
        self.tracker = FailureTracker()
        self.retries = RetryBudget()
        self.accounts = CellAccounts(self.scope, self.epoch, ledger)
        self.replicator = Replicator(self.scope, self.epoch, ledger, membership, table)
        self.workers = WorkerGroup(
            self.scope,
            self.epoch,
            pool,
            region,
            ledger,
            publisher,
            ids,
            membership.current_until_ms,
            self.index,
            self.tracker,
            now,
        )
        self.is_stopping = False
        self._adopt_records(now)
        self._configure(now)

    def _adopt_records(self, now: Instant) -> None:
        """Continue what an earlier holder of the cell had in hand."""
        for record in list(self.table):
            if record.state is RequestState.ENDED:
                continue
            if record.task is None:
                self._enqueue(record.request, now)
                continue
            if record.state is RequestState.REPLICATING:
                # The dispatch itself is not replicated, so it may have happened.
                record = attrs.evolve(
                    record, state=RequestState.DISPATCHED, attempts=record.attempts + 1
                )
                record = self._store(record, now)
            slots = record.request.need.slots
            running = Running(record.task, slots, lost_since_ms=now.mono_ms, started=True)
            self._remember(running)
            self.accounts.adopt_running(record.request.key.team, slots)
            self.workers.add_task(
                record.task.worker,
                record.task.task_id,
                record.request.need,
                record.request.expected_run_ms,
                now,
            )

    def _remember(self, running: Running) -> None:
        self._running[running.task.key] = running
        self._by_task[running.task.task_id] = running.task.key

    def running_count(self, team: str) -> int:
        """Return the slots that tasks of a team may be using."""
        return sum(r.slots for r in self._running.values() if r.task.key.team == team)

    def started_tasks(self) -> set[str]:
        """Return the ids of the tasks whose start command may have been sent."""
        return {r.task.task_id for r in self._running.values() if r.started}

    def unfinished(self) -> int:
        """Return the number of tasks that may be running."""
        return len(self._running)

    # Requests

    def refuse_or_none(self, message: Forward, now: Instant) -> Answer | None:
        """Return the answer to a request that is not taken in, or None if it is."""
        request = message.request
        if self.table.get(request.key) is not None:
            return None
        reason = self._unknown_reason(request, now)
        if reason:
            return Answer(request.key, Outcome.UNKNOWN, reason)
        reason = self._refusal(request)
        if not reason:
            return None
        request_id = request.key.request_id
        before = may_have_run_before(request_id, self.records_since_ms, now.wall_ms)
        is_unsure = before or message.is_retry
        return Answer(request.key, Outcome.UNKNOWN if is_unsure else Outcome.NOT_RUN, reason)

    def submit(self, sender: str, request: Request, now: Instant) -> list[Effect]:
        """Take in a request that a gateway forwarded, or join the one that is known by its key."""
        key = request.key
        record = self.table.get(key)
        if record is not None:
            return self._join(sender, record, request)
        self._waiters.setdefault(key, set()).add(sender)
        self._store(RequestRecord(request, RequestState.QUEUED, 0), now)
        self._enqueue(request, now)
        return self._dispatch(now)

    def _join(self, sender: str, record: RequestRecord, request: Request) -> list[Effect]:
        key = request.key
        if record.request.fingerprint != request.fingerprint:
            reason = "the id was used before for a different request"
            return self._answer_only(sender, Answer(key, Outcome.NOT_RUN, reason, status=422))
        if record.state is RequestState.ENDED:
            return self._answer_only(sender, record.answer)
        self._waiters.setdefault(key, set()).add(sender)
        return []

    def _unknown_reason(self, request: Request, now: Instant) -> str:
        if request.idempotent:
            return ""
        if may_have_run_before(request.key.request_id, self.records_since_ms, now.wall_ms):
            return "the id is older than the records that are kept; the request may have run before"
        return ""

    def _refusal(self, request: Request) -> str:
        service = self._ledger.fleet.services.get(request.service)
        if service is None or service.pool != self.pool:
            return "the service does not belong to this cell"
        if request.key.team not in self._ledger.fleet.teams:
            return f"no team named {request.key.team!r}"
        profile = self._ledger.fleet.profiles[service.profile]
        if len(self.queue) >= profile.max_queue:
            return f"the queue is full: max_queue is {profile.max_queue}"
        return self.index.never_fits(request.need) or ""

    def _answer_only(self, sender: str, answer: Answer) -> list[Effect]:
        return [SendPeer(sender, ForwardAnswer(answer))]

    def _enqueue(self, request: Request, now: Instant, queued_ms: int | None = None) -> None:
        service, team = request.service, request.key.team
        estimate = self.estimator.expect(service, team, request.need, request.expected_run_ms)
        # Reports may be wrong: a learned size that fits no worker would keep the request for ever.
        need = request.need if self.index.never_fits(estimate.need) else estimate.need
        waiting = Waiting(
            request.key,
            team,
            request.request_class,
            need,
            estimate.run_ms,
            now.mono_ms if queued_ms is None else queued_ms,
            reclaimable=request.idempotent,
        )
        if queued_ms is None:
            self._arrived_slot_ms += need.slots * estimate.run_ms
        self._queued[request.key] = waiting
        self._wanted[team] += need.slots
        self.queue.push(waiting)

    def _unqueue(self, key: RequestKey) -> None:
        waiting = self._queued.pop(key, None)
        if waiting is not None:
            self._wanted[waiting.team] -= waiting.need.slots

    def _store(self, record: RequestRecord, now: Instant) -> RequestRecord:
        self._seq += 1
        record = attrs.evolve(record, seq=self._seq, updated_wall_ms=now.wall_ms)
        self.table.put(record)
        return record

    def _change(self, record: RequestRecord, now: Instant) -> list[Effect]:
        return self.replicator.send(self._store(record, now), now)

    def cancel(self, key: RequestKey) -> None:
        """Note a cancellation; it is carried out in the next steps."""
        self._cancels[key] = None

    def _carry_out_cancels(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        for key in list(self._cancels)[:CANCELS_PER_STEP]:
            del self._cancels[key]
            effects.extend(self._cancel_one(key, now))
        return effects

    def _cancel_one(self, key: RequestKey, now: Instant) -> list[Effect]:
        record = self.table.get(key)
        if record is None or record.state is RequestState.ENDED:
            return []
        running = self._running.get(key)
        if running is None:
            self.queue.discard(key)
            self._unqueue(key)
            return self._end_unstarted(record, Outcome.CANCELLED, "cancelled while waiting", now)
        if not running.started:
            self._release(running, now)
            return self._end_unstarted(record, Outcome.CANCELLED, "cancelled before start", now)
        return self._control(running, TaskAction.STOP, now)

    def _control(self, running: Running, action: TaskAction, now: Instant) -> list[Effect]:
        if not self._claims.may_act(self.scope, now):
            return []
        running.stop_asked = running.stop_asked or action is TaskAction.STOP
        address = self.workers.address(running.task.worker)
        until_ms = self._membership.current_until_ms(now)
        return [ControlTask(self._commanded(running.task), address, action, until_ms)]

    def _commanded(self, task: Task) -> Task:
        """Return a task under the fence of this epoch; workers refuse that of an earlier holder."""
        return attrs.evolve(task, fence=self.workers.fence(task.worker))

    def query(self, sender: str, query_id: str, key: RequestKey) -> list[Effect]:
        """Tell what is known of a request."""
        record = self.table.get(key)
        if record is None:
            reply = ResultReply(query_id, False, "", "", None)
        else:
            reply = ResultReply(query_id, True, record.state, self.explain(key), record.answer)
        return [SendPeer(sender, reply)]

    def explain(self, key: RequestKey) -> str:
        """Say why a request waits, or where it runs."""
        running = self._running.get(key)
        if running is not None and running.lost_since_ms is not None:
            return f"worker {running.task.worker} is being asked what became of the task"
        if running is not None:
            return f"runs on worker {running.task.worker}"
        record = self.table.get(key)
        if record is None or record.state is RequestState.ENDED:
            return ""
        account = self.accounts.team(key.team)
        if account.free < record.request.need.slots:
            limit = self._ledger.fleet.teams[key.team].limit if self._has_team(key.team) else 0
            return (
                f"team {key.team} has no unit of its limit of {limit} slots free here; "
                f"{self.queue.explain(key)}"
            )
        return self.queue.explain(key)

    def _has_team(self, team: str) -> bool:
        return team in self._ledger.fleet.teams

    # Dispatch

    def may_dispatch(self, now: Instant) -> bool:
        """Return whether requests may be taken in and started.

        Without backups of its own epoch, a later holder could not find what was started here.
        """
        if self.is_stopping:
            return False
        return self._claims.may_act(self.scope, now) and self._ledger.claim(self.scope).prepared

    def _dispatch(self, now: Instant) -> list[Effect]:
        """Place what may start now; nothing is sent before its record is on a backup."""
        if not self.may_dispatch(now):
            return []
        effects: list[Effect] = []
        at_limit: set[str] = set()
        unfit: set[str] = set()
        for _ in range(STARTS_PER_STEP):
            waiting = self.queue.next(now.mono_ms, at_limit, unfit)
            if waiting is None:
                break
            worker = self._choose_worker(waiting)
            if worker is None:
                unfit.add(waiting.team)
            elif not self.accounts.take(waiting.team, waiting.need.slots):
                at_limit.add(waiting.team)
            else:
                effects.extend(self._place(waiting, worker, now))
        return effects

    def _choose_worker(self, waiting: Waiting) -> str | None:
        avoid = frozenset(self._avoid.get(waiting.key, ()))
        if waiting.expected_ms > LONG_TASK_MS:
            avoid |= self.workers.upcoming
        worker = self.index.choose(waiting.need, avoid)
        return worker or (self.index.choose(waiting.need) if avoid else None)

    def _place(self, waiting: Waiting, worker: str, now: Instant) -> list[Effect]:
        key = waiting.key
        record = self.table.get(key)
        self.queue.start(key, now.mono_ms)
        self._unqueue(key)
        task = Task(self._ids.next("task"), key, worker, self.workers.fence(worker))
        running = Running(task, waiting.need.slots, queued_ms=waiting.queued_ms)
        self._remember(running)
        self._unstarted[key] = running
        self.workers.add_task(worker, task.task_id, waiting.need, waiting.expected_ms, now)
        if record.attempts == 0:
            self.retries.note_first_attempt()
        record = attrs.evolve(record, state=RequestState.REPLICATING, task=task)
        effects = self._change(record, now)
        return effects + self._start_if_safe(key, now)

    def _start_if_safe(self, key: RequestKey, now: Instant) -> list[Effect]:
        running = self._running.get(key)
        if running is None or running.started or not self.replicator.is_safe(key, now):
            return []
        if not self.may_dispatch(now):
            return []
        self.replicator.settled(key)
        record = self.table.get(key)
        record = attrs.evolve(record, state=RequestState.DISPATCHED, attempts=record.attempts + 1)
        self._store(record, now)
        waited = Observe(
            "queue_wait_seconds",
            (now.mono_ms - running.queued_ms) / 1_000,
            {"cell": self.scope, "class": record.request.request_class.value},
        )
        running.started = True
        self._unstarted.pop(key, None)
        running.started_ms = now.mono_ms
        address = self.workers.address(running.task.worker)
        until_ms = self._membership.current_until_ms(now)
        start = StartTask(running.task, address, record.request, LEASE_MS, until_ms)
        return [start, waited]

    def on_replicate_ack(self, sender: str, message: ReplicateAck, now: Instant) -> list[Effect]:
        """Start a task whose record a backup has stored."""
        if not self.replicator.on_ack(sender, message):
            return []
        record = self.table.get(message.key)
        if record is None or record.state is not RequestState.REPLICATING:
            if self.replicator.is_safe(message.key, now):
                self.replicator.settled(message.key)
            return []
        return self._start_if_safe(message.key, now)

    def on_grant(self, message: EscrowGrant, now: Instant) -> list[Effect]:
        """Take in units of teams' limits, and start what waited for them."""
        self.accounts.on_grant(message, now)
        return self._dispatch(now)

    def _release(self, running: Running, now: Instant) -> None:
        key = running.task.key
        self._learn_end(running, now)
        del self._running[key]
        self._unstarted.pop(key, None)
        self._by_task.pop(running.task.task_id, None)
        self.workers.remove_task(running.task.worker, running.task.task_id)
        self.accounts.give_back(key.team, running.slots, now)
        self.queue.finish(key, now.mono_ms)

    def _learn_end(self, running: Running, now: Instant) -> None:
        record = self.table.get(running.task.key)
        if running.used is None or not running.started_ms or record is None:
            return
        run_ms = now.mono_ms - running.started_ms
        team = running.task.key.team
        self.estimator.observe(record.request.service, team, running.used, run_ms, finished=True)

    # Ends of tasks

    def owns_task(self, task_id: str) -> bool:
        """Return whether a task belongs to this cell."""
        return task_id in self._by_task

    def on_task(self, event: TaskReported, now: Instant) -> list[Effect]:
        """Take in what became of a task."""
        key = self._by_task.get(event.task_id)
        if key is None:
            return []
        running = self._running[key]
        record = self.table.get(key)
        effects = _TASK_ENDS[event.end](self, running, record, event, now)
        return effects + self._dispatch(now)

    def _on_answered(
        self, running: Running, record: RequestRecord, event: TaskReported, now: Instant
    ) -> list[Effect]:
        if hashlib.sha256(event.body).hexdigest() != event.digest:
            return self._on_lost(running, record, event, now)
        self.tracker.report(
            event.worker, record.request.key, not event.endpoint_failed, now.mono_ms
        )
        if event.endpoint_failed and self._may_try_again(record):
            return self._try_again(running, record, now)
        self._release(running, now)
        outcome = Outcome.FAILED if event.endpoint_failed else Outcome.DONE
        answer = Answer(
            record.request.key,
            outcome,
            event.detail,
            event.status,
            event.body,
            event.digest,
            record.attempts,
        )
        return self._end(record, answer, now)

    def _may_try_again(self, record: RequestRecord) -> bool:
        if not record.request.idempotent or self.tracker.hopeless(record.request.key):
            return False
        return self.retries.take()

    def _try_again(
        self,
        running: Running,
        record: RequestRecord,
        now: Instant,
        queued_ms: int | None = None,
    ) -> list[Effect]:
        """Put a request back into the queue; its last attempt can have no further effect."""
        key = record.request.key
        if queued_ms is None:
            self._avoid.setdefault(key, set()).add(running.task.worker)
        self._release(running, now)
        effects = self._change(attrs.evolve(record, state=RequestState.QUEUED, task=None), now)
        self._enqueue(record.request, now, queued_ms)
        return effects

    def _on_not_started(
        self, running: Running, record: RequestRecord, event: TaskReported, now: Instant
    ) -> list[Effect]:
        key = record.request.key
        if event.draining:
            self.workers.mark_draining(event.worker)
        if event.end is TaskEnd.NOT_SENT:
            self.workers.mark_unreachable(event.worker, now)
        # The worker promised never to start this task, so the attempt does not count.
        record = attrs.evolve(record, attempts=max(0, record.attempts - 1))
        self._refusals[key] = self._refusals.get(key, 0) + 1
        if self._refusals[key] > MAX_REFUSALS:
            self._release(running, now)
            reason = f"refused by workers: {event.detail}"
            return self._end_unstarted(record, Outcome.NOT_RUN, reason, now)
        return self._try_again(running, record, now)

    def _on_lost(
        self, running: Running, record: RequestRecord, event: TaskReported, now: Instant
    ) -> list[Effect]:
        if running.lost_since_ms is None:
            running.lost_since_ms = now.mono_ms
        if self.workers.lease_has_ended(running.task.worker, running.task.task_id, now):
            return self._give_up(running, record, now)
        if now.mono_ms < running.next_query_ms:
            return []
        return self._ask(running, now)

    def _ask(self, running: Running, now: Instant) -> list[Effect]:
        running.next_query_ms = now.mono_ms + QUERY_INTERVAL_MS
        address = self.workers.address(running.task.worker)
        return [QueryTask(self._commanded(running.task), address, forbid=True)]

    def _on_running(
        self, running: Running, record: RequestRecord, event: TaskReported, now: Instant
    ) -> list[Effect]:
        # The connection that was to bring the answer may be gone, so the task is asked for until
        # it ends.
        running.lost_since_ms = now.mono_ms
        running.next_query_ms = now.mono_ms + QUERY_INTERVAL_MS
        return []

    def _on_stopped(
        self, running: Running, record: RequestRecord, event: TaskReported, now: Instant
    ) -> list[Effect]:
        if running.reclaimed and not running.stop_asked:
            return self._try_again(running, record, now, queued_ms=running.started_ms)
        if running.stop_asked:
            self._release(running, now)
            key = record.request.key
            answer = Answer(key, Outcome.FAILED, "cancelled while it ran", runs=record.attempts)
            return self._end(record, answer, now)
        return self._give_up(running, record, now)

    def _give_up(self, running: Running, record: RequestRecord, now: Instant) -> list[Effect]:
        """Decide on a request whose task has ended without an answer."""
        if self._may_try_again(record):
            return self._try_again(running, record, now)
        self._release(running, now)
        key = record.request.key
        reason = f"worker {running.task.worker} gave no answer; the request may have run"
        return self._end(record, Answer(key, Outcome.UNKNOWN, reason, runs=record.attempts), now)

    def _end_unstarted(
        self, record: RequestRecord, outcome: Outcome, reason: str, now: Instant
    ) -> list[Effect]:
        """End a request that is not running now; earlier attempts may have had effects."""
        if record.attempts > 0:
            outcome = Outcome.FAILED
            reason = f"{reason}, after {record.attempts} attempts"
        answer = Answer(record.request.key, outcome, reason, runs=record.attempts)
        return self._end(record, answer, now)

    def _end(self, record: RequestRecord, answer: Answer, now: Instant) -> list[Effect]:
        key = answer.key
        effects = self._change(
            attrs.evolve(record, state=RequestState.ENDED, task=None, answer=answer), now
        )
        self._refusals.pop(key, None)
        self._avoid.pop(key, None)
        for sender in sorted(self._waiters.pop(key, ())):
            effects.append(SendPeer(sender, ForwardAnswer(answer)))
        return effects

    # Workers and time

    def on_polled(self, event: WorkerPolled, now: Instant) -> list[Effect]:
        """Learn from a poll, and ask about tasks that the worker does not know."""
        for usage in event.usage:
            self._learn(usage.task_id, usage.used, usage.run_ms)
        effects: list[Effect] = []
        for task_id in self.workers.on_polled(event, now):
            running = self._running.get(self._by_task.get(task_id))
            if running is None or not running.started or now.mono_ms < running.next_query_ms:
                continue
            running.lost_since_ms = running.lost_since_ms or now.mono_ms
            effects.extend(self._ask(running, now))
        return effects

    def _learn(self, task_id: str, used: object, run_ms: int) -> None:
        key = self._by_task.get(task_id)
        record = self.table.get(key) if key else None
        if record is not None:
            self._running[key].used = used
            self.estimator.observe(record.request.service, key.team, used, run_ms, finished=False)

    def on_tick(self, now: Instant) -> list[Effect]:
        """Carry out everything that is due."""
        if self._is_due("configure", CONFIGURE_INTERVAL_MS, now):
            self._configure(now)
        if self._is_due("expire", EXPIRE_INTERVAL_MS, now):
            self.table.expire(now.wall_ms)
        effects = self._carry_out_cancels(now)
        effects.extend(self.replicator.repeat(now))
        effects.extend(self.accounts.on_tick(now))
        if not self._claims.may_act(self.scope, now):
            return effects
        effects.extend(self.workers.poll(now))
        if not self.is_stopping and self.workers.is_maintenance_due(now):
            effects.extend(self.workers.maintain(self._load(), now, self._may_start_outage(now)))
        effects.extend(self._start_waiting(now))
        effects.extend(self._ask_lost(now))
        effects.extend(self._reclaim(now))
        self._state_needs()
        effects.extend(self._dispatch(now))
        if self._is_due("load", LOAD_INTERVAL_MS, now):
            effects.extend(self._report_load(now))
        return effects

    def _may_start_outage(self, now: Instant) -> bool:
        """Return whether planned outages may start.

        Without the log their end could not be recorded, and a new holder would repeat them.
        """
        return self._membership.hears_majority(now) and self._log_is_readable(now)

    def _log_is_readable(self, now: Instant) -> bool:
        return self._membership.log_read_age_ms(now) < LOG_SILENCE_MS

    def _is_due(self, name: str, interval_ms: int, now: Instant) -> bool:
        if now.mono_ms < self._due[name]:
            return False
        self._due[name] = now.mono_ms + interval_ms
        return True

    def _configure(self, now: Instant) -> None:
        self.workers.sync(now)
        weights = {team.name: team.share for team in self._ledger.fleet.teams.values()}
        self.queue.configure(weights, self.workers.capacity(), self.workers.profile())

    def _start_waiting(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        for key in list(self._unstarted):
            effects.extend(self._start_if_safe(key, now))
        return effects

    def _ask_lost(self, now: Instant) -> list[Effect]:
        if not self._is_due("lost", LOST_INTERVAL_MS, now):
            return []
        effects: list[Effect] = []
        for key, running in list(self._running.items()):
            task = running.task
            if not running.started or now.mono_ms < running.next_query_ms:
                continue
            lease_ended = self.workers.lease_has_ended(task.worker, task.task_id, now)
            if running.lost_since_ms is None and not lease_ended:
                continue
            if lease_ended:
                effects.extend(self._give_up(running, self.table.get(key), now))
            else:
                effects.extend(self._ask(running, now))
        return effects

    def _reclaim(self, now: Instant) -> list[Effect]:
        """Throttle, then checkpoint, tasks whose capacity others are entitled to."""
        effects: list[Effect] = []
        for key in self.queue.over_share(now.mono_ms):
            running = self._running.get(key)
            if running is None or not running.started or running.reclaimed:
                continue
            if running.throttled_ms is None:
                running.throttled_ms = now.mono_ms
                effects.extend(self._control(running, TaskAction.THROTTLE, now))
            elif now.mono_ms - running.throttled_ms >= CHECKPOINT_AFTER_MS:
                running.reclaimed = self.table.get(key).request.idempotent
                if running.reclaimed:
                    effects.extend(self._control(running, TaskAction.CHECKPOINT, now))
        return effects

    def _state_needs(self) -> None:
        for team, units in self._wanted.items():
            self.accounts.set_waiting(team, units)

    def _load(self) -> float:
        slots = sum(v.instance.capacity.slots for v in self.workers.views().values() if v.instance)
        busy = sum(running.slots for running in self._running.values())
        waiting = self._wanted.total()
        return (busy + waiting) / slots if slots else 1.0

    def _report_load(self, now: Instant) -> list[Effect]:
        elapsed_ms = max(1, now.mono_ms - self._load_sent_ms)
        offered = self._arrived_slot_ms / elapsed_ms
        self._arrived_slot_ms = 0
        self._load_sent_ms = now.mono_ms
        holder = self._ledger.holder(LIMITS_SCOPE)
        if holder is None:
            return []
        busy = sum(running.slots for running in self._running.values())
        waiting = self._wanted.total()
        load = CellLoad(
            self.scope,
            self.epoch,
            self.pool,
            self.workers.usable(),
            len(self.workers.out()),
            self.workers.slots(),
            busy,
            waiting,
            offered,
        )
        return [SendPeer(holder.name, load)]


_TASK_ENDS = {
    TaskEnd.ANSWERED: Cell._on_answered,
    TaskEnd.REFUSED: Cell._on_not_started,
    TaskEnd.NOT_SENT: Cell._on_not_started,
    TaskEnd.NEVER_SEEN: Cell._on_not_started,
    TaskEnd.LOST: Cell._on_lost,
    TaskEnd.RUNNING: Cell._on_running,
    TaskEnd.STOPPED: Cell._on_stopped,
}
