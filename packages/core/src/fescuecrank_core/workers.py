"""Workers of one cell: polls, leases of tasks, and reasons to be out of service."""

import enum
import heapq

import attrs

from fescuecrank_core.budgets import Domain, OutReason
from fescuecrank_core.clock import Instant
from fescuecrank_core.declarations import NO_RESOURCES, Profile, Resources
from fescuecrank_core.effects import Effect, PollWorker
from fescuecrank_core.events import (
    Instance,
    InstanceState,
    WorkerControlled,
    WorkerPolled,
)
from fescuecrank_core.ledger import Ledger
from fescuecrank_core.placement import WorkerIndex
from fescuecrank_core.records import InstanceMoved

LEASE_MS = 10_000
POLL_INTERVAL_MS = 2_500
# Workers whose state is expected to change soon are polled more often.
FAST_POLL_INTERVAL_MS = 500
POLL_TIMEOUT_MS = 2_000
# A single lost poll does not make a worker unreachable.
UNREACHABLE_AFTER_POLLS = 2


class OutageKind(enum.StrEnum):
    """Reason for a planned outage."""

    WAVE = "wave"
    DRAIN = "drain"
    MOVE = "move"


class OutageStep(enum.StrEnum):
    """Progress of a planned outage."""

    DRAINING = "draining"
    REBOOTING = "rebooting"
    PUBLISHING = "publishing"


@attrs.define
class PlannedOutage:
    """A planned outage of one worker; `target` is a wave id or the pool to move to."""

    kind: OutageKind
    target: str
    step: OutageStep = OutageStep.DRAINING
    boot_id_before: str = ""
    command_sent_ms: int = 0
    move: InstanceMoved | None = None


@attrs.define
class WorkerTask:
    """A task that may be running on a worker.

    `started_ms` is the time at which it was sent; its lease ends by `lease_ends_by_ms`.
    """

    task_id: str
    need: Resources
    started_ms: int
    lease_ends_by_ms: int
    expected_ms: int = 0

    def remaining_ms(self, now: Instant) -> int:
        """Return the expected time until the task ends."""
        return max(0, self.started_ms + self.expected_ms - now.mono_ms)


@attrs.define
class WorkerView:
    """State of one worker as the holder of its cell knows it.

    A worker is unreachable until its first answer, since an earlier holder of the cell may have
    taken it out. `outage_refusal` is the rule that last forbade a drain requested by an operator.
    """

    name: str
    instance: Instance | None = None
    tasks: dict[str, WorkerTask] = attrs.field(factory=dict)
    outage: PlannedOutage | None = None
    boot_id: str = ""
    reachable: bool = False
    failed_polls: int = 0
    poll_sent_ms: int | None = None
    next_poll_ms: int = 0
    draining: bool = False
    outage_refusal: str = ""

    @property
    def address(self) -> str:
        """Address of the worker, or the empty string if the list does not show it."""
        return self.instance.address if self.instance else ""

    @property
    def domain(self) -> Domain | None:
        """Failure domain of the worker, as far as it is known."""
        if self.instance is None:
            return None
        return Domain(self.instance.rack, self.instance.data_centre)


class WorkerGroup:
    """The workers of one cell."""

    def __init__(
        self,
        scope: str,
        epoch: int,
        pool: str,
        region: str,
        ledger: Ledger,
        index: WorkerIndex,
    ) -> None:
        self.scope = scope
        self.epoch = epoch
        self.pool = pool
        self._region = region
        self._ledger = ledger
        self._index = index
        self._views: dict[str, WorkerView] = {}
        # Workers that left the pool while tasks were running on them.
        self._departed: dict[str, WorkerView] = {}
        self._poll_queue: list[tuple[int, str]] = []
        self._quarantined: frozenset[str] = frozenset()
        self._instances: dict[str, Instance] = {}
        self._in_service: set[str] = set()
        self._capacity: Resources | None = None
        self._last_sync: tuple[tuple[str, ...], dict[str, Instance]] | None = None

    def views(self) -> dict[str, WorkerView]:
        """Return all workers of the cell."""
        return self._views

    def usable(self) -> tuple[str, ...]:
        """Return the workers that take tasks now."""
        return tuple(self._in_service)

    def profile(self) -> Profile:
        """Return the profile whose budget holds for the pool."""
        pool = self._ledger.fleet.pools[self.pool]
        return self._ledger.fleet.profiles[pool.profile]

    def fencing_token(self, worker: str) -> int:
        """Return the fencing token of commands to a worker; a move raises it above the donor's."""
        assignment = self._ledger.state.assignments.get(worker)
        return max(self.epoch, assignment.version if assignment else 0)

    def slots(self) -> int:
        """Return the slots of the workers in service."""
        return self.capacity().slots

    def capacity(self) -> Resources:
        """Return the summed capacity of the workers in service."""
        if self._capacity is None:
            self._capacity = NO_RESOURCES
            for name in self._in_service:
                self._capacity += self._views[name].instance.capacity
        return self._capacity

    # Membership of the cell

    def on_instances(self, listed: dict[str, Instance], now: Instant) -> None:
        """Apply the platform's list of instances."""
        self._instances = listed
        self.sync(now)

    def sync(self, now: Instant) -> None:
        """Add workers that have joined the pool in the ledger, and remove those that have left."""
        workers = self._ledger.workers_of(self.pool)
        # Both objects are replaced, never changed in place, so identity shows a change.
        seen = self._last_sync
        if seen is not None and seen[0] is workers and seen[1] is self._instances:
            return
        self._last_sync = (workers, self._instances)
        self._capacity = None
        wanted = set(workers)
        for name in wanted:
            instance = self._instances.get(name)
            if name not in self._views:
                if instance is None or instance.region != self._region:
                    continue
                self._views[name] = self._departed.pop(name, WorkerView(name))
                self._schedule_poll(self._views[name], now, 0)
            view = self._views[name]
            view.instance = instance or view.instance
            self.update_service_state(view)
        for name in [name for name in self._views if name not in wanted]:
            self._index.remove(name)
            self._in_service.discard(name)
            view = self._views.pop(name)
            view.outage = None
            if view.tasks:
                self._departed[name] = view

    def is_listed_leaving(self, view: WorkerView) -> bool:
        """Return whether the platform's list shows the worker as leaving."""
        listed = self._instances.get(view.name)
        return listed is not None and listed.state is InstanceState.LEAVING

    def _is_leaving(self, view: WorkerView) -> bool:
        return self.is_listed_leaving(view) or (view.draining and view.outage is None)

    def set_quarantined(self, names: frozenset[str]) -> None:
        """Set which workers are quarantined, and update the service state of those that change."""
        changed = names ^ self._quarantined
        self._quarantined = names
        for name in changed & self._views.keys():
            self.update_service_state(self._views[name])

    def out_reason(self, view: WorkerView) -> OutReason | None:
        """Return why a worker takes no tasks, or None if it does."""
        if view.outage is not None:
            return OutReason.PLANNED
        if view.name not in self._instances:
            return OutReason.FAILED
        if self._is_leaving(view):
            return OutReason.LEAVING
        if not view.reachable:
            return OutReason.UNREACHABLE
        return OutReason.QUARANTINED if view.name in self._quarantined else None

    def out_reasons(self) -> dict[str, OutReason]:
        """Return the workers that are out, with the reasons."""
        reasons = {name: self.out_reason(view) for name, view in self._views.items()}
        return {name: reason for name, reason in reasons.items() if reason is not None}

    def domains(self) -> dict[str, Domain]:
        """Return the failure domains of the workers."""
        return {name: view.domain for name, view in self._views.items() if view.domain}

    def update_service_state(self, view: WorkerView) -> None:
        """Put a worker into or out of service according to its state."""
        in_service = self.out_reason(view) is None and self._ledger.pool_of(view.name) == self.pool
        if in_service == (view.name in self._in_service):
            return
        self._capacity = None
        if not in_service:
            self._in_service.discard(view.name)
            self._index.remove(view.name)
            return
        self._in_service.add(view.name)
        item = view.instance
        self._index.upsert(view.name, item.capacity, item.connections, item.rack, item.data_centre)
        for task in view.tasks.values():
            self._index.allocate(view.name, task.need)

    def _find(self, name: str) -> WorkerView | None:
        """Return a worker of the cell, or one that left the pool with tasks still running."""
        return self._views.get(name) or self._departed.get(name)

    # Tasks

    def address(self, name: str) -> str:
        """Return the address of a worker, or the empty string if it is unknown."""
        view = self._find(name)
        if view is not None and view.address:
            return view.address
        return self._instances[name].address if name in self._instances else ""

    def add_task(
        self, worker: str, task_id: str, need: Resources, expected_ms: int, now: Instant
    ) -> None:
        """Add a task that may be running from now on, and allocate its need."""
        view = self._find(worker) or self._departed.setdefault(worker, WorkerView(worker))
        lease_ends_by_ms = now.mono_ms + POLL_TIMEOUT_MS + LEASE_MS
        view.tasks[task_id] = WorkerTask(task_id, need, now.mono_ms, lease_ends_by_ms, expected_ms)
        if worker in self._in_service:
            self._index.allocate(worker, need)

    def remove_task(self, worker: str, task_id: str) -> None:
        """Remove a task and release its need."""
        view = self._find(worker)
        task = view.tasks.pop(task_id, None) if view else None
        if view is not None and not view.tasks:
            self._departed.pop(worker, None)
        if task is not None and worker in self._in_service:
            self._index.release(worker, task.need)

    def lease_has_ended(self, worker: str, task_id: str, now: Instant) -> bool:
        """Return whether a task's lease has ended, by which the worker must have stopped it."""
        view = self._find(worker)
        task = view.tasks.get(task_id) if view else None
        return task is None or now.mono_ms > task.lease_ends_by_ms

    def mark_draining(self, worker: str) -> None:
        """Take out of service a worker that refused a task because it is draining."""
        view = self._views.get(worker)
        if view is not None:
            view.draining = True
            self.update_service_state(view)

    def mark_unreachable(self, worker: str, now: Instant) -> None:
        """Take out of service, until a poll succeeds, a worker to which no task could be sent."""
        view = self._views.get(worker)
        if view is not None and view.reachable:
            view.reachable = False
            view.failed_polls = UNREACHABLE_AFTER_POLLS
            self.update_service_state(view)
            self._schedule_poll(view, now, FAST_POLL_INTERVAL_MS)

    # Polls

    def poll(self, now: Instant) -> list[Effect]:
        """Poll the workers that are due, which renews leases and reads usage."""
        effects: list[Effect] = []
        while self._poll_queue and self._poll_queue[0][0] <= now.mono_ms:
            due_ms, name = heapq.heappop(self._poll_queue)
            view = self._find(name)
            if view is None or view.next_poll_ms != due_ms or view.instance is None:
                continue
            if view.poll_sent_ms is not None:
                self._count_failed_poll(view)
            effects.append(self._poll_one(view, now))
        return effects

    def _poll_one(self, view: WorkerView, now: Instant) -> PollWorker:
        view.poll_sent_ms = now.mono_ms
        renewed: tuple[str, ...] = ()
        if view.failed_polls < UNREACHABLE_AFTER_POLLS:
            # An unreachable worker gets no renewals, so that its leases end by a known time.
            renewed = tuple(view.tasks)
            for task in view.tasks.values():
                task.lease_ends_by_ms = now.mono_ms + POLL_TIMEOUT_MS + LEASE_MS
        self._schedule_poll(view, now, POLL_TIMEOUT_MS)
        return PollWorker(view.name, view.address, self.fencing_token(view.name), renewed, LEASE_MS)

    def _schedule_poll(self, view: WorkerView, now: Instant, delay_ms: int) -> None:
        view.next_poll_ms = now.mono_ms + delay_ms
        heapq.heappush(self._poll_queue, (view.next_poll_ms, view.name))

    def _count_failed_poll(self, view: WorkerView) -> None:
        view.poll_sent_ms = None
        view.failed_polls += 1
        if view.failed_polls >= UNREACHABLE_AFTER_POLLS:
            view.reachable = False
            if view.name in self._views:
                self.update_service_state(view)

    def on_polled(self, event: WorkerPolled, now: Instant) -> list[str]:
        """Process the result of a poll; return the tasks whose state should be queried."""
        view = self._find(event.worker)
        if view is None or view.poll_sent_ms is None:
            return []
        sent_ms = view.poll_sent_ms
        if not event.reachable:
            self._count_failed_poll(view)
            self._schedule_poll(view, now, FAST_POLL_INTERVAL_MS)
            return [] if view.reachable else list(view.tasks)
        view.poll_sent_ms = None
        view.failed_polls = 0
        view.reachable = True
        view.boot_id = event.boot_id
        view.draining = event.draining
        if view.name in self._views:
            self.update_service_state(view)
        changes_soon = view.outage is not None or view.draining
        self._schedule_poll(view, now, FAST_POLL_INTERVAL_MS if changes_soon else POLL_INTERVAL_MS)
        running = set(event.running)
        return [t.task_id for t in view.tasks.values() if self._is_missing(t, running, sent_ms)]

    def _is_missing(self, task: WorkerTask, running: set[str], sent_ms: int) -> bool:
        # A task that was started shortly before the poll may not have reached the worker yet.
        return task.task_id not in running and task.started_ms < sent_ms - FAST_POLL_INTERVAL_MS

    def on_controlled(self, event: WorkerControlled, now: Instant) -> list[Effect]:
        """Poll a worker again soon after a command."""
        view = self._views.get(event.worker)
        if view is not None:
            self._schedule_poll(view, now, FAST_POLL_INTERVAL_MS)
        return []
