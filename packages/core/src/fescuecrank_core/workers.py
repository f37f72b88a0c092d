"""Workers of one cell: polls and leases, why workers are out, and their maintenance trips."""

import enum
import heapq
from collections.abc import Callable

import attrs

from fescuecrank_core.budgets import Budget, Domain, OutReason
from fescuecrank_core.calendars import maintenance_allowed
from fescuecrank_core.clock import Instant
from fescuecrank_core.declarations import Profile, Resources
from fescuecrank_core.effects import ControlWorker, Effect, Notice, PollWorker
from fescuecrank_core.events import (
    ControlAction,
    Instance,
    InstanceState,
    WorkerControlled,
    WorkerPolled,
)
from fescuecrank_core.ids import IdSource
from fescuecrank_core.ledger import Ledger
from fescuecrank_core.ledger_state import Wave
from fescuecrank_core.placement import WorkerIndex
from fescuecrank_core.publishing import Publisher
from fescuecrank_core.quarantine import FailureTracker
from fescuecrank_core.records import InstanceMaintained, InstanceMoved
from fescuecrank_core.waves import WaveMember, WavePlanner

LEASE_MS = 10_000
POLL_MS = 2_500
# Workers that are expected to change soon are asked more often.
FAST_POLL_MS = 500
POLL_TIMEOUT_MS = 2_000
# One lost poll is not a lost worker.
UNREACHABLE_AFTER_POLLS = 2
MAINTENANCE_INTERVAL_MS = 500
REBOOT_REPEAT_MS = 10_000


class TripKind(enum.StrEnum):
    """Why a worker is taken out on purpose."""

    WAVE = "wave"
    DRAIN = "drain"
    MOVE = "move"


class TripStep(enum.StrEnum):
    """Progress of a planned outage."""

    DRAINING = "draining"
    REBOOTING = "rebooting"
    PUBLISHING = "publishing"


@attrs.define
class Trip:
    """A planned outage of one worker; `target` is a wave id or the pool to move to."""

    kind: TripKind
    target: str
    step: TripStep = TripStep.DRAINING
    boot_before: str = ""
    command_ms: int = 0
    move: InstanceMoved | None = None


@attrs.define
class WorkerTask:
    """A task that may be running on a worker; `started_ms` is when it was sent."""

    task_id: str
    need: Resources
    started_ms: int
    lease_bound_ms: int
    expected_ms: int = 0

    def left_ms(self, now: Instant) -> int:
        """Return the expected time until the task ends."""
        return max(0, self.started_ms + self.expected_ms - now.mono_ms)


@attrs.define
class WorkerView:
    """What the holder of a cell knows of one worker.

    A worker counts as out until its first answer, since an earlier holder of the cell may have
    taken it out.
    """

    name: str
    instance: Instance | None = None
    tasks: dict[str, WorkerTask] = attrs.field(factory=dict)
    trip: Trip | None = None
    boot_id: str = ""
    reachable: bool = False
    failed_polls: int = 0
    poll_sent_ms: int | None = None
    next_poll_ms: int = 0
    draining: bool = False
    refused: str = ""

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
        publisher: Publisher,
        ids: IdSource,
        send_before_ms: Callable[[Instant], int],
        index: WorkerIndex,
        tracker: FailureTracker,
        now: Instant,
    ) -> None:
        self._scope = scope
        self._epoch = epoch
        self._pool = pool
        self._region = region
        self._ledger = ledger
        self._publisher = publisher
        self._ids = ids
        self._send_before_ms = send_before_ms
        self._index = index
        self._tracker = tracker
        self._planner = WavePlanner()
        self._views: dict[str, WorkerView] = {}
        self._departed: dict[str, WorkerView] = {}
        self._poll_queue: list[tuple[int, str]] = []
        self._quarantined: frozenset[str] = frozenset()
        self._listed: dict[str, Instance] = {}
        self._moves: dict[str, int] = {}
        self._maintained: dict[str, InstanceMaintained] = {}
        self._next_maintenance_ms = now.mono_ms
        self._in_service: set[str] = set()
        self._capacity: Resources | None = None
        self._synced: tuple[tuple[str, ...], dict[str, Instance]] | None = None
        # Workers that a wave takes out next; long tasks should not start there.
        self.upcoming: frozenset[str] = frozenset()

    def views(self) -> dict[str, WorkerView]:
        """Return all workers of the cell."""
        return self._views

    def usable(self) -> tuple[str, ...]:
        """Return the workers that take tasks now."""
        return tuple(self._in_service)

    def profile(self) -> Profile:
        """Return the profile whose budget holds for the pool."""
        pool = self._ledger.fleet.pools[self._pool]
        return self._ledger.fleet.profiles[pool.profile]

    def fence(self, worker: str) -> int:
        """Return the fence of commands to a worker; a move raises it above the donor's."""
        assignment = self._ledger.state.assignments.get(worker)
        return max(self._epoch, assignment.version if assignment else 0)

    def slots(self) -> int:
        """Return the slots of the workers in service."""
        return self.capacity().slots

    def capacity(self) -> Resources:
        """Return the summed capacity of the workers in service."""
        if self._capacity is None:
            self._capacity = Resources(slots=0)
            for name in self._in_service:
                self._capacity += self._views[name].instance.capacity
        return self._capacity

    # Membership of the cell

    def on_instances(self, listed: dict[str, Instance], now: Instant) -> None:
        """Take in the platform's list and the pool's present workers."""
        self._listed = listed
        self.sync(now)

    def sync(self, now: Instant) -> None:
        """Follow the ledger: workers that joined the pool come in, others go out."""
        workers = self._ledger.workers_of(self._pool)
        # Both are replaced, never changed in place.
        seen = self._synced
        if seen is not None and seen[0] is workers and seen[1] is self._listed:
            return
        self._synced = (workers, self._listed)
        self._capacity = None
        wanted = set(workers)
        for name in wanted:
            instance = self._listed.get(name)
            if name not in self._views:
                if instance is None or instance.region != self._region:
                    continue
                self._views[name] = self._departed.pop(name, WorkerView(name))
                self._schedule_poll(self._views[name], now, 0)
            view = self._views[name]
            view.instance = instance or view.instance
            self._refresh(view)
        for name in [name for name in self._views if name not in wanted]:
            self._index.drop(name)
            self._in_service.discard(name)
            view = self._views.pop(name)
            view.trip = None
            if view.tasks:
                self._departed[name] = view

    def _is_leaving(self, view: WorkerView) -> bool:
        listed = self._listed.get(view.name)
        shown_leaving = listed is not None and listed.state is InstanceState.LEAVING
        return shown_leaving or (view.draining and view.trip is None)

    def out_reason(self, view: WorkerView) -> OutReason | None:
        """Return why a worker takes no tasks, or None if it does."""
        if view.trip is not None:
            return OutReason.PLANNED
        if view.name not in self._listed:
            return OutReason.FAILED
        if self._is_leaving(view):
            return OutReason.LEAVING
        if not view.reachable:
            return OutReason.UNREACHABLE
        return OutReason.QUARANTINED if view.name in self._quarantined else None

    def out(self) -> dict[str, OutReason]:
        """Return the workers that are out, with the reasons."""
        reasons = {name: self.out_reason(view) for name, view in self._views.items()}
        return {name: reason for name, reason in reasons.items() if reason is not None}

    def domains(self) -> dict[str, Domain]:
        """Return the failure domains of the workers."""
        return {name: view.domain for name, view in self._views.items() if view.domain}

    def _refresh(self, view: WorkerView) -> None:
        serves = self.out_reason(view) is None and self._ledger.pool_of(view.name) == self._pool
        if serves == (view.name in self._in_service):
            return
        self._capacity = None
        if not serves:
            self._in_service.discard(view.name)
            self._index.drop(view.name)
            return
        self._in_service.add(view.name)
        item = view.instance
        self._index.put(view.name, item.capacity, item.connections, item.rack, item.data_centre)
        for task in view.tasks.values():
            self._index.take(view.name, task.need)

    def _find(self, name: str) -> WorkerView | None:
        """Return a worker of the cell, or one that left the pool with tasks still running."""
        return self._views.get(name) or self._departed.get(name)

    # Tasks

    def address(self, name: str) -> str:
        """Return the address of a worker, or the empty string if it is unknown."""
        view = self._find(name)
        if view is not None and view.address:
            return view.address
        return self._listed[name].address if name in self._listed else ""

    def add_task(
        self, worker: str, task_id: str, need: Resources, expected_ms: int, now: Instant
    ) -> None:
        """Count a task that may be running from now on."""
        view = self._find(worker) or self._departed.setdefault(worker, WorkerView(worker))
        bound = now.mono_ms + POLL_TIMEOUT_MS + LEASE_MS
        view.tasks[task_id] = WorkerTask(task_id, need, now.mono_ms, bound, expected_ms)
        if worker in self._in_service:
            self._index.take(worker, need)

    def remove_task(self, worker: str, task_id: str) -> None:
        """Free what a task used."""
        view = self._find(worker)
        task = view.tasks.pop(task_id, None) if view else None
        if view is not None and not view.tasks:
            self._departed.pop(worker, None)
        if task is not None and worker in self._in_service:
            self._index.give_back(worker, task.need)

    def lease_has_ended(self, worker: str, task_id: str, now: Instant) -> bool:
        """Return whether the worker has surely stopped a task whose lease was not renewed."""
        view = self._find(worker)
        task = view.tasks.get(task_id) if view else None
        return task is None or now.mono_ms > task.lease_bound_ms

    def mark_draining(self, worker: str) -> None:
        """Take out a worker that answered that it is leaving."""
        view = self._views.get(worker)
        if view is not None:
            view.draining = True
            self._refresh(view)

    def mark_unreachable(self, worker: str, now: Instant) -> None:
        """Take out a worker that refused a connection, until a poll succeeds."""
        view = self._views.get(worker)
        if view is not None and view.reachable:
            view.reachable = False
            view.failed_polls = UNREACHABLE_AFTER_POLLS
            self._refresh(view)
            self._schedule_poll(view, now, FAST_POLL_MS)

    # Polls

    def poll(self, now: Instant) -> list[Effect]:
        """Renew leases and read usage of the workers that are due."""
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
            # A worker that does not answer is given no renewals, so that the end of its leases
            # can be told.
            renewed = tuple(view.tasks)
            for task in view.tasks.values():
                task.lease_bound_ms = now.mono_ms + POLL_TIMEOUT_MS + LEASE_MS
        self._schedule_poll(view, now, POLL_TIMEOUT_MS)
        return PollWorker(view.name, view.address, self.fence(view.name), renewed, LEASE_MS)

    def _schedule_poll(self, view: WorkerView, now: Instant, delay_ms: int) -> None:
        view.next_poll_ms = now.mono_ms + delay_ms
        heapq.heappush(self._poll_queue, (view.next_poll_ms, view.name))

    def _count_failed_poll(self, view: WorkerView) -> None:
        view.poll_sent_ms = None
        view.failed_polls += 1
        if view.failed_polls >= UNREACHABLE_AFTER_POLLS:
            view.reachable = False
            if view.name in self._views:
                self._refresh(view)

    def on_polled(self, event: WorkerPolled, now: Instant) -> list[str]:
        """Take in a poll's answer; return tasks that the worker should be asked about."""
        view = self._find(event.worker)
        if view is None or view.poll_sent_ms is None:
            return []
        sent_ms = view.poll_sent_ms
        if not event.reachable:
            self._count_failed_poll(view)
            self._schedule_poll(view, now, FAST_POLL_MS)
            return [] if view.reachable else list(view.tasks)
        view.poll_sent_ms = None
        view.failed_polls = 0
        view.reachable = True
        view.boot_id = event.boot_id
        view.draining = event.draining
        if view.name in self._views:
            self._refresh(view)
        busy = view.trip is not None or view.draining
        self._schedule_poll(view, now, FAST_POLL_MS if busy else POLL_MS)
        running = set(event.running)
        return [t.task_id for t in view.tasks.values() if self._is_missing(t, running, sent_ms)]

    def _is_missing(self, task: WorkerTask, running: set[str], sent_ms: int) -> bool:
        return task.task_id not in running and task.started_ms < sent_ms - FAST_POLL_MS

    # Planned outages

    def ask_to_move(self, to_pool: str, count: int) -> None:
        """Note how many workers are to move to another pool."""
        self._moves[to_pool] = count

    def is_maintenance_due(self, now: Instant) -> bool:
        """Return whether `maintain` should be called; its arguments cost more than the check."""
        return now.mono_ms >= self._next_maintenance_ms

    def maintain(self, load: float, now: Instant, may_start: bool) -> list[Effect]:
        """Start and advance planned outages; none starts while `may_start` is false."""
        self._next_maintenance_ms = now.mono_ms + MAINTENANCE_INTERVAL_MS
        self._update_quarantine(now)
        if may_start:
            self._start_drains()
            self._start_wave(load, now)
            self._start_moves()
        effects: list[Effect] = []
        for view in list(self._views.values()):
            effects.extend(self._advance(view, now))
        effects.extend(self._publish_maintained(now))
        return effects

    def _update_quarantine(self, now: Instant) -> None:
        budget = Budget(self.profile())
        others = [r for r in self.out().values() if r is not OutReason.QUARANTINED]
        allowed = max(0, budget.profile.max_out - len(others))
        before = self._quarantined
        self._quarantined = self._tracker.quarantined(now.mono_ms, allowed)
        for name in before ^ self._quarantined:
            if name in self._views:
                self._refresh(self._views[name])

    def _begin(self, view: WorkerView, kind: TripKind, target: str) -> None:
        view.trip = Trip(kind, target)
        view.refused = ""
        self._refresh(view)

    def _refusal(self, view: WorkerView) -> str | None:
        budget = Budget(self.profile())
        return budget.refusal(view.name, self.domains(), self.out(), planned=True)

    def _start_drains(self) -> None:
        for name in self._ledger.state.drains:
            view = self._views.get(name)
            if view is None or view.trip is not None:
                continue
            view.refused = self._refusal(view) or ""
            if not view.refused:
                self._begin(view, TripKind.DRAIN, "")

    def _start_moves(self) -> None:
        for to_pool, count in list(self._moves.items()):
            del self._moves[to_pool]
            idle_first = sorted(self._in_service, key=lambda name: len(self._views[name].tasks))
            for name in idle_first:
                if count > 0 and self._refusal(self._views[name]) is None:
                    self._begin(self._views[name], TripKind.MOVE, to_pool)
                    count -= 1

    def _wave(self, now: Instant) -> Wave | None:
        pool = self._ledger.fleet.pools[self._pool]
        calendar = self._ledger.fleet.calendars.get(pool.calendar)
        if calendar is not None and not maintenance_allowed(calendar, now.wall_ms):
            return None
        for wave in self._ledger.active_waves(self._pool):
            if any(name not in wave.done for name in self._views):
                return wave
        return None

    def _start_wave(self, load: float, now: Instant) -> None:
        wave = self._wave(now)
        # Without a wave all count as done, and the planner only learns the load.
        done = self._views if wave is None else set(wave.done) | set(self._maintained)
        views = [view for view in self._views.values() if view.domain is not None]
        members = [self._member(view, view.name in done, now) for view in views]
        budget = Budget(self.profile())
        self.upcoming = self._planner.upcoming(members, self.out(), budget)
        for name in self._planner.give_back(now.mono_ms, members, self.out()):
            self._cancel(self._views[name])
        for name in self._planner.next_out(now.mono_ms, members, self.out(), budget, load):
            self._begin(self._views[name], TripKind.WAVE, wave.wave_id)

    def _member(self, view: WorkerView, done: bool, now: Instant) -> WaveMember:
        return WaveMember(
            name=view.name,
            domain=view.domain,
            done=done,
            running=len(view.tasks),
            drain_ms=max((task.left_ms(now) for task in view.tasks.values()), default=0),
            maintained_wall_ms=self._ledger.state.maintained_wall_ms.get(view.name, 0),
        )

    def _cancel(self, view: WorkerView) -> None:
        if view.trip is not None and view.trip.step is TripStep.DRAINING:
            view.trip = None
            self._refresh(view)

    def _advance(self, view: WorkerView, now: Instant) -> list[Effect]:
        trip = view.trip
        if trip is None:
            return self._end_foreign_drain(view, now)
        if trip.kind is TripKind.DRAIN and view.name not in self._ledger.state.drains:
            self._cancel(view)
            return []
        if trip.step is TripStep.DRAINING:
            return self._advance_draining(view, trip, now)
        if trip.step is TripStep.REBOOTING:
            return self._advance_reboot(view, trip, now)
        return self._advance_move(view, trip, now)

    def _end_foreign_drain(self, view: WorkerView, now: Instant) -> list[Effect]:
        """Undo the drain that an earlier holder of the cell has left behind."""
        listed = self._listed.get(view.name)
        is_leaving = listed is not None and listed.state is InstanceState.LEAVING
        if not view.draining or not view.reachable or is_leaving:
            return []
        return [self._command(view, ControlAction.UNDRAIN, now)]

    def _command(self, view: WorkerView, action: ControlAction, now: Instant) -> ControlWorker:
        return ControlWorker(
            view.name, view.address, self.fence(view.name), action, self._send_before_ms(now)
        )

    def _advance_draining(self, view: WorkerView, trip: Trip, now: Instant) -> list[Effect]:
        if view.tasks or not view.reachable:
            return []
        if trip.kind is TripKind.WAVE:
            trip.step = TripStep.REBOOTING
            trip.boot_before = view.boot_id
            trip.command_ms = now.mono_ms
            fields = {"worker": view.name, "wave": trip.target}
            return [
                Notice("worker_reboot", fields),
                self._command(view, ControlAction.REBOOT, now),
            ]
        if trip.kind is TripKind.MOVE:
            trip.step = TripStep.PUBLISHING
            return self._advance_move(view, trip, now)
        if not view.draining:
            return [self._command(view, ControlAction.DRAIN, now)]
        return []

    def _advance_reboot(self, view: WorkerView, trip: Trip, now: Instant) -> list[Effect]:
        if view.reachable and view.boot_id != trip.boot_before:
            view.trip = None
            record_id = self._ids.next("maintained")
            self._maintained[view.name] = InstanceMaintained(
                record_id, view.name, trip.target, now.wall_ms
            )
            self._refresh(view)
            return []
        if view.reachable and now.mono_ms - trip.command_ms > REBOOT_REPEAT_MS:
            trip.command_ms = now.mono_ms
            return [self._command(view, ControlAction.REBOOT, now)]
        return []

    def _publish_maintained(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        for name, record in list(self._maintained.items()):
            if self._ledger.verdict(record.record_id) is not None:
                del self._maintained[name]
            elif not self._publisher.is_pending(record.record_id):
                effects.extend(self._publisher.publish(record, now))
        return effects

    def _advance_move(self, view: WorkerView, trip: Trip, now: Instant) -> list[Effect]:
        if self._ledger.pool_of(view.name) != self._pool:
            return []
        if trip.move is None:
            version = self._ledger.state.assignments[view.name].version
            record_id = self._ids.next("move")
            trip.move = InstanceMoved(
                record_id, view.name, trip.target, version, self._scope, self._epoch
            )
        verdict = self._ledger.verdict(trip.move.record_id)
        if verdict is not None and not verdict.accepted:
            view.trip = None
            self._refresh(view)
            return []
        # Without a verdict the record may still be folded, so the worker stays drained.
        if verdict is not None or self._publisher.is_pending(trip.move.record_id):
            return []
        return self._publisher.publish(trip.move, now)

    def on_controlled(self, event: WorkerControlled, now: Instant) -> list[Effect]:
        """Poll a worker again soon after a command."""
        view = self._views.get(event.worker)
        if view is not None:
            self._schedule_poll(view, now, FAST_POLL_MS)
        return []

    def why(self, name: str) -> str | None:
        """Explain why a worker is out, or why it cannot go out now."""
        view = self._views.get(name)
        if view is None:
            return None
        reason = self.out_reason(view)
        if reason is OutReason.PLANNED:
            trip = view.trip
            waiting = f"; {len(view.tasks)} tasks are still running" if view.tasks else ""
            return f"out: {trip.kind} {trip.target} ({trip.step}){waiting}".replace("  ", " ")
        if reason is not None:
            return f"out: {reason}"
        refusal = view.refused or self._refusal(view)
        return f"in service; cannot go out now: {refusal}" if refusal else "in service"
