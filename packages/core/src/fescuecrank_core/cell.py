"""Scheduling of one cell at the entry that holds it: admission, dispatch and periodic work."""

import attrs

from fescuecrank_core.claims import ClaimManager
from fescuecrank_core.clock import Instant
from fescuecrank_core.declarations import Resources
from fescuecrank_core.effects import Effect, Observe, SendPeer, StartTask, TaskAction
from fescuecrank_core.escrow import CellAccounts
from fescuecrank_core.events import TaskReported, WorkerPolled
from fescuecrank_core.ids import IdGenerator
from fescuecrank_core.ledger import Ledger
from fescuecrank_core.ledger_state import Claim
from fescuecrank_core.membership import Membership
from fescuecrank_core.messages import (
    CellLoad,
    EscrowGrant,
    Forward,
    ReplicateAck,
    ResultReply,
)
from fescuecrank_core.outages import OutageManager
from fescuecrank_core.placement import WorkerIndex
from fescuecrank_core.publishing import Publisher
from fescuecrank_core.quarantine import FailureTracker
from fescuecrank_core.record_table import RecordTable, may_have_run_before
from fescuecrank_core.records import LIMITS_SCOPE
from fescuecrank_core.replication import Replicator
from fescuecrank_core.request_queue import RequestQueue
from fescuecrank_core.request_registry import RequestRegistry
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
from fescuecrank_core.running_tasks import RunningTask, RunningTasks
from fescuecrank_core.sharing import QueuedRequest
from fescuecrank_core.task_completion import TaskCompletionHandler
from fescuecrank_core.workers import LEASE_MS, WorkerGroup

# Bounds the work of one step, so that thousands of cancellations do not delay admissions.
MAX_CANCELS_PER_STEP = 64
MAX_STARTS_PER_STEP = 64
LOAD_INTERVAL_MS = 1_000
# The check scans all running tasks, which costs too much on each tick.
LOST_CHECK_INTERVAL_MS = 100
CONFIGURE_INTERVAL_MS = 500
EXPIRE_INTERVAL_MS = 1_000
MAX_LOG_READ_AGE_MS = 2_000
# Longer tasks avoid workers that maintenance takes out next, since they would delay the drain.
LONG_TASK_MS = 10_000
ONE_SLOT = Resources(slots=1)


class Cell:
    """Schedules one cell, the workers of one pool in one region, while this entry holds it."""

    def __init__(
        self,
        claim: Claim,
        pool: str,
        region: str,
        ledger: Ledger,
        membership: Membership,
        claims: ClaimManager,
        publisher: Publisher,
        ids: IdGenerator,
        table: RecordTable,
        now: Instant,
    ) -> None:
        self.scope = claim.scope
        self.epoch = claim.epoch
        self.pool = pool
        self.records_since_ms = claim.records_since_ms
        self.is_stopping = False
        self._ledger = ledger
        self._membership = membership
        self._claims = claims
        self._ids = ids
        self._pending_cancels: dict[RequestKey, None] = {}
        self._next_due_ms = {"load": 0, "configure": 0, "expire": 0, "lost": 0}
        self._index = WorkerIndex()
        self._tracker = FailureTracker()
        self.retries = RetryBudget()
        self.queue = RequestQueue(self._index, now)
        self.accounts = CellAccounts(self.scope, self.epoch, ledger)
        self.replicator = Replicator(self.scope, self.epoch, ledger, membership, table)
        self.workers = WorkerGroup(
            self.scope,
            self.epoch,
            pool,
            region,
            ledger,
            self._index,
        )
        self.outages = OutageManager(
            self.workers, ledger, publisher, ids, membership.current_until_ms, self._tracker
        )
        self.registry = RequestRegistry(self.epoch, table, self.replicator)
        self.tasks = RunningTasks(
            self.workers, self.accounts, self.queue, self._may_act, membership.current_until_ms
        )
        self._completion = TaskCompletionHandler(
            self.registry, self.tasks, self.queue, self.workers, self._tracker, self.retries
        )
        self._adopt_records(now)
        self._configure(now)

    def _adopt_records(self, now: Instant) -> None:
        """Queue or adopt the requests that an earlier holder of the cell left unfinished."""
        for record in list(self.registry.table):
            if record.state is RequestState.ENDED:
                continue
            if record.task is None:
                self.queue.add(record.request, now)
            else:
                self._adopt_task(record, now)

    def _adopt_task(self, record: RequestRecord, now: Instant) -> None:
        if record.state is RequestState.REPLICATING:
            # The dispatch itself is not replicated, so it may have happened.
            attempts = record.attempts + 1
            record = attrs.evolve(record, state=RequestState.DISPATCHED, attempts=attempts)
            self.registry.store(record, now)
        request = record.request
        running = RunningTask(
            record.task, request, adopted=True, lost_since_ms=now.mono_ms, started=True
        )
        self.accounts.adopt_task(request.key.team, running.slots)
        self.tasks.add(running, request.need, request.expected_run_ms, now)

    def _may_act(self, now: Instant) -> bool:
        return self._claims.may_act(self.scope, now)

    # Requests

    def refusal_answer(self, message: Forward, now: Instant) -> Answer | None:
        """Return the answer that refuses a request, or None if the cell accepts it."""
        request = message.request
        if self.registry.get(request.key) is not None:
            return None
        request_id = request.key.request_id
        may_have_run = may_have_run_before(request_id, self.records_since_ms, now.wall_ms)
        if may_have_run and not request.idempotent:
            reason = "the id is older than the records that are kept; the request may have run"
            return Answer(request.key, Outcome.UNKNOWN, reason)
        reason = self._refusal_reason(request)
        if not reason:
            return None
        outcome_unknown = may_have_run or message.is_retry
        return Answer(request.key, Outcome.UNKNOWN if outcome_unknown else Outcome.NOT_RUN, reason)

    def _refusal_reason(self, request: Request) -> str:
        service = self._ledger.fleet.services.get(request.service)
        if service is None or service.pool != self.pool:
            return "the service does not belong to this cell"
        if request.key.team not in self._ledger.fleet.teams:
            return f"no team named {request.key.team!r}"
        profile = self._ledger.fleet.profiles[service.profile]
        if len(self.queue) >= profile.max_queue:
            return f"the queue is full: max_queue is {profile.max_queue}"
        return self._index.infeasible_reason(request.need) or ""

    def submit(self, sender: str, request: Request, now: Instant) -> list[Effect]:
        """Queue a forwarded request, or attach its gateway to the known request with this key."""
        record = self.registry.get(request.key)
        if record is not None:
            return self.registry.attach(sender, record, request)
        self.registry.add(sender, request, now)
        self.queue.add(request, now)
        return self._dispatch(now)

    def cancel(self, key: RequestKey) -> None:
        """Schedule a cancellation for one of the next steps."""
        self._pending_cancels[key] = None

    def _process_cancels(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        for key in list(self._pending_cancels)[:MAX_CANCELS_PER_STEP]:
            del self._pending_cancels[key]
            effects.extend(self._cancel_request(key, now))
        return effects

    def _cancel_request(self, key: RequestKey, now: Instant) -> list[Effect]:
        record = self.registry.get(key)
        if record is None or record.state is RequestState.ENDED:
            return []
        running = self.tasks.get(key)
        if running is not None and running.started:
            return self.tasks.control(running, TaskAction.STOP, now)
        if running is not None:
            self.tasks.release(running, now)
        self.queue.remove(key)
        reason = "cancelled before it was started"
        return self.registry.end_unstarted(record, Outcome.CANCELLED, reason, now)

    def query(self, sender: str, query_id: str, key: RequestKey) -> list[Effect]:
        """Send the state of a request, and its answer if it has ended, to the querying entry."""
        record = self.registry.get(key)
        if record is None:
            reply = ResultReply(query_id, False, "", "", None)
        else:
            reply = ResultReply(query_id, True, record.state, self.explain(key), record.answer)
        return [SendPeer(sender, reply)]

    def explain(self, key: RequestKey) -> str:
        """Return why a request waits, or where it runs."""
        running = self.tasks.get(key)
        if running is not None and running.lost_since_ms is not None:
            return f"worker {running.task.worker} is being queried for the state of the task"
        if running is not None:
            return f"runs on worker {running.task.worker}"
        record = self.registry.get(key)
        if record is None or record.state is RequestState.ENDED:
            return ""
        account = self.accounts.team(key.team)
        reason = self.queue.explain(key)
        if account.free >= record.request.need.slots:
            return reason
        team = self._ledger.fleet.teams.get(key.team)
        limit = team.limit if team else 0
        return f"team {key.team} has no free unit of its limit of {limit} slots here; {reason}"

    # Dispatch

    def may_dispatch(self, now: Instant) -> bool:
        """Return whether requests may be accepted and started.

        Until backups are recorded for this epoch, a later holder could not find the tasks that
        were started here.
        """
        if self.is_stopping:
            return False
        return self._may_act(now) and self._ledger.claim(self.scope).prepared

    def _dispatch(self, now: Instant) -> list[Effect]:
        """Place queued requests on workers; each starts once backups have stored its record."""
        if not self.may_dispatch(now):
            return []
        effects: list[Effect] = []
        at_limit: set[str] = set()
        unfit: set[RequestKey] = set()
        for _ in range(MAX_STARTS_PER_STEP):
            queued = self.queue.next(now, at_limit, unfit)
            if queued is None:
                break
            worker = self._choose_worker(queued)
            if worker is None:
                if self._index.choose(ONE_SLOT) is None:
                    break
                if not self.queue.requeue_if_smaller(self.registry.get(queued.key).request):
                    unfit.add(queued.key)
            elif self.accounts.acquire(queued.team, queued.need.slots):
                effects.extend(self._place(queued, worker, now))
            else:
                at_limit.add(queued.team)
        return effects

    def _choose_worker(self, queued: QueuedRequest) -> str | None:
        avoid = self._completion.workers_to_avoid(queued.key)
        if queued.expected_ms > LONG_TASK_MS:
            avoid |= self.outages.upcoming
        worker = self._index.choose(queued.need, avoid)
        return worker or (self._index.choose(queued.need) if avoid else None)

    def _place(self, queued: QueuedRequest, worker: str, now: Instant) -> list[Effect]:
        key = queued.key
        record = self.registry.get(key)
        self.queue.start(key, now)
        task = Task(self._ids.next("task"), key, worker, self.workers.fencing_token(worker))
        running = RunningTask(task, record.request, queued_ms=queued.queued_ms)
        self.tasks.add(running, queued.need, queued.expected_ms, now)
        if record.attempts == 0:
            self.retries.record_first_attempt()
        record = attrs.evolve(record, state=RequestState.REPLICATING, task=task)
        effects = self.registry.replicate(record, now)
        return effects + self._start_if_durable(running, now)

    def _start_if_durable(self, running: RunningTask, now: Instant) -> list[Effect]:
        key = running.task.key
        if running.started or not self.replicator.is_durable(key, now):
            return []
        if not self.may_dispatch(now):
            return []
        self.replicator.stop_resending(key)
        record = self.registry.get(key)
        record = attrs.evolve(record, state=RequestState.DISPATCHED, attempts=record.attempts + 1)
        self.registry.store(record, now)
        self.tasks.mark_started(running, now)
        address = self.workers.address(running.task.worker)
        until_ms = self._membership.current_until_ms(now)
        start = StartTask(running.task, address, running.request, LEASE_MS, until_ms)
        return [start, self._observe_wait(running, now)]

    def _observe_wait(self, running: RunningTask, now: Instant) -> Observe:
        seconds = (now.mono_ms - running.queued_ms) / 1_000
        labels = {"cell": self.scope, "class": running.request.request_class.value}
        return Observe("queue_wait_seconds", seconds, labels)

    def on_replicate_ack(self, sender: str, message: ReplicateAck, now: Instant) -> list[Effect]:
        """Start a task whose record a backup has stored."""
        if not self.replicator.on_ack(sender, message):
            return []
        running = self.tasks.get(message.key)
        if running is not None and not running.started:
            return self._start_if_durable(running, now)
        if self.replicator.is_durable(message.key, now):
            self.replicator.stop_resending(message.key)
        return []

    def on_grant(self, message: EscrowGrant, now: Instant) -> list[Effect]:
        """Apply granted units of teams' limits, and start requests that waited for them."""
        self.accounts.on_grant(message, now)
        return self._dispatch(now)

    # Tasks and workers

    def owns_task(self, task_id: str) -> bool:
        """Return whether a task belongs to this cell."""
        return self.tasks.by_task(task_id) is not None

    def on_task(self, event: TaskReported, now: Instant) -> list[Effect]:
        """Process a report about a task of this cell."""
        return self._completion.on_task(event, now) + self._dispatch(now)

    def on_polled(self, event: WorkerPolled, now: Instant) -> list[Effect]:
        """Process the answer to a poll, and query tasks that the worker does not list."""
        for usage in event.usage:
            self.tasks.record_usage(usage.task_id, usage.used, usage.run_ms)
        effects: list[Effect] = []
        for task_id in self.workers.on_polled(event, now):
            running = self.tasks.by_task(task_id)
            if running is not None and running.started and now.mono_ms >= running.next_query_ms:
                effects.extend(self.tasks.query(running, now))
        return effects

    # Time

    def on_tick(self, now: Instant) -> list[Effect]:
        """Run the periodic work that is due, and dispatch."""
        if self._is_due("configure", CONFIGURE_INTERVAL_MS, now):
            self._configure(now)
        if self._is_due("expire", EXPIRE_INTERVAL_MS, now):
            self.registry.table.expire(now.wall_ms)
        effects = self._process_cancels(now)
        effects.extend(self.replicator.resend_unacknowledged(now))
        effects.extend(self.accounts.on_tick(now))
        if not self._may_act(now):
            return effects
        effects.extend(self.workers.poll(now))
        if not self.is_stopping and self.outages.is_due(now):
            effects.extend(
                self.outages.update(self._load_fraction(), now, self._may_start_outage(now))
            )
        for running in self.tasks.unstarted():
            effects.extend(self._start_if_durable(running, now))
        if self._is_due("lost", LOST_CHECK_INTERVAL_MS, now):
            effects.extend(self._completion.query_lost(now))
        effects.extend(self.tasks.reclaim(now))
        for team, units in self.queue.waiting_slots().items():
            self.accounts.set_waiting(team, units)
        effects.extend(self._dispatch(now))
        if self._is_due("load", LOAD_INTERVAL_MS, now):
            effects.extend(self._report_load(now))
        return effects

    def _may_start_outage(self, now: Instant) -> bool:
        """Return whether planned outages may start.

        Without the log their end could not be recorded, and a new holder would repeat them.
        """
        log_is_readable = self._membership.log_read_age_ms(now) < MAX_LOG_READ_AGE_MS
        return log_is_readable and self._membership.has_quorum(now)

    def _is_due(self, name: str, interval_ms: int, now: Instant) -> bool:
        if now.mono_ms < self._next_due_ms[name]:
            return False
        self._next_due_ms[name] = now.mono_ms + interval_ms
        return True

    def _configure(self, now: Instant) -> None:
        self.workers.sync(now)
        weights = {team.name: team.share for team in self._ledger.fleet.teams.values()}
        self.queue.configure(weights, self.workers.capacity(), self.workers.profile())

    def _load_fraction(self) -> float:
        slots = sum(v.instance.capacity.slots for v in self.workers.views().values() if v.instance)
        used = self.tasks.busy_slots() + self.queue.waiting_slots().total()
        return used / slots if slots else 1.0

    def _report_load(self, now: Instant) -> list[Effect]:
        offered = self.queue.pop_offered_load(now)
        holder = self._ledger.holder(LIMITS_SCOPE)
        if holder is None:
            return []
        load = CellLoad(
            self.scope,
            self.epoch,
            self.pool,
            self.workers.usable(),
            len(self.workers.out_reasons()),
            self.workers.slots(),
            self.tasks.busy_slots(),
            self.queue.waiting_slots().total(),
            offered,
        )
        return [SendPeer(holder.name, load)]
