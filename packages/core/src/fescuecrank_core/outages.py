"""Planned outages of one cell's workers: maintenance waves, drains, moves, and quarantine."""

from collections.abc import Callable

from fescuecrank_core.budgets import Budget, OutReason
from fescuecrank_core.calendars import maintenance_allowed
from fescuecrank_core.clock import Instant
from fescuecrank_core.effects import ControlWorker, Effect, Notice
from fescuecrank_core.events import ControlAction
from fescuecrank_core.ids import IdGenerator
from fescuecrank_core.ledger import Ledger
from fescuecrank_core.ledger_state import Wave
from fescuecrank_core.publishing import Publisher
from fescuecrank_core.quarantine import FailureTracker
from fescuecrank_core.records import InstanceMaintained, InstanceMoved
from fescuecrank_core.waves import WaveMember, WavePlanner
from fescuecrank_core.workers import OutageKind, OutageStep, PlannedOutage, WorkerGroup, WorkerView

UPDATE_INTERVAL_MS = 500
REBOOT_RESEND_INTERVAL_MS = 10_000


class OutageManager:
    """Takes workers of one cell out of service and returns them, within the outage budget."""

    def __init__(
        self,
        group: WorkerGroup,
        ledger: Ledger,
        publisher: Publisher,
        ids: IdGenerator,
        send_before_ms: Callable[[Instant], int],
        tracker: FailureTracker,
    ) -> None:
        self._group = group
        self._ledger = ledger
        self._publisher = publisher
        self._ids = ids
        self._send_before_ms = send_before_ms
        self._tracker = tracker
        self._planner = WavePlanner()
        self._requested_moves: dict[str, int] = {}
        self._unpublished_maintenance: dict[str, InstanceMaintained] = {}
        self._next_update_ms = 0
        # Workers that a wave takes out next; long tasks should not start on them.
        self.upcoming: frozenset[str] = frozenset()

    def request_moves(self, to_pool: str, count: int) -> None:
        """Request that this many workers move to another pool; replaces an earlier request."""
        self._requested_moves[to_pool] = count

    def is_due(self, now: Instant) -> bool:
        """Return whether `update` is due; this check is cheaper than computing its arguments."""
        return now.mono_ms >= self._next_update_ms

    def update(self, load: float, now: Instant, may_start: bool) -> list[Effect]:
        """Start and advance planned outages; none starts while `may_start` is false."""
        self._next_update_ms = now.mono_ms + UPDATE_INTERVAL_MS
        self._update_quarantine(now)
        if may_start:
            self._start_drains()
            self._start_wave(load, now)
            self._start_moves()
        effects: list[Effect] = []
        for view in list(self._group.views().values()):
            effects.extend(self._advance(view, now))
        effects.extend(self._publish_maintained(now))
        return effects

    def _update_quarantine(self, now: Instant) -> None:
        out = self._group.out_reasons().values()
        out_otherwise = sum(reason is not OutReason.QUARANTINED for reason in out)
        allowed = max(0, self._group.profile().max_out - out_otherwise)
        self._group.set_quarantined(self._tracker.quarantined(now.mono_ms, allowed))

    def _begin_outage(self, view: WorkerView, kind: OutageKind, target: str) -> None:
        view.outage = PlannedOutage(kind, target)
        view.outage_refusal = ""
        self._group.update_service_state(view)

    def _budget_refusal(self, view: WorkerView) -> str | None:
        budget = Budget(self._group.profile())
        return budget.refusal(
            view.name, self._group.domains(), self._group.out_reasons(), planned=True
        )

    def _start_drains(self) -> None:
        for name in self._ledger.state.drains:
            view = self._group.views().get(name)
            if view is None or view.outage is not None:
                continue
            view.outage_refusal = self._budget_refusal(view) or ""
            if not view.outage_refusal:
                self._begin_outage(view, OutageKind.DRAIN, "")

    def _start_moves(self) -> None:
        views = self._group.views()
        for to_pool, count in list(self._requested_moves.items()):
            del self._requested_moves[to_pool]
            by_task_count = sorted(self._group.usable(), key=lambda name: len(views[name].tasks))
            for name in by_task_count:
                if count > 0 and self._budget_refusal(views[name]) is None:
                    self._begin_outage(views[name], OutageKind.MOVE, to_pool)
                    count -= 1

    def _current_wave(self, now: Instant) -> Wave | None:
        pool = self._ledger.fleet.pools[self._group.pool]
        calendar = self._ledger.fleet.calendars.get(pool.calendar)
        if calendar is not None and not maintenance_allowed(calendar, now.wall_ms):
            return None
        for wave in self._ledger.active_waves(self._group.pool):
            if any(name not in wave.done for name in self._group.views()):
                return wave
        return None

    def _start_wave(self, load: float, now: Instant) -> None:
        wave = self._current_wave(now)
        budget = Budget(self._group.profile())
        if wave is None:
            # The planner gets the load also without a wave, so that it knows the recent load when a
            # wave begins.
            self._planner.select_next(now.mono_ms, (), {}, budget, load)
            self.upcoming = frozenset()
            return
        done = set(wave.done) | set(self._unpublished_maintenance)
        views = self._group.views()
        known = [view for view in views.values() if view.domain is not None]
        members = [self._wave_member(view, view.name in done, now) for view in known]
        for name in self._planner.cancel_stalled_drains(
            now.mono_ms, members, self._group.out_reasons()
        ):
            self._cancel_draining(views[name])
        out = self._group.out_reasons()
        self.upcoming = self._planner.upcoming(members, out, budget)
        for name in self._planner.select_next(now.mono_ms, members, out, budget, load):
            self._begin_outage(views[name], OutageKind.WAVE, wave.wave_id)

    def _wave_member(self, view: WorkerView, done: bool, now: Instant) -> WaveMember:
        return WaveMember(
            name=view.name,
            domain=view.domain,
            done=done,
            running=len(view.tasks),
            drain_ms=max((task.remaining_ms(now) for task in view.tasks.values()), default=0),
            maintained_wall_ms=self._ledger.state.maintained_wall_ms.get(view.name, 0),
        )

    def _cancel_draining(self, view: WorkerView) -> None:
        if view.outage is not None and view.outage.step is OutageStep.DRAINING:
            view.outage = None
            self._group.update_service_state(view)

    def _advance(self, view: WorkerView, now: Instant) -> list[Effect]:
        outage = view.outage
        if outage is None:
            return self._undo_leftover_drain(view, now)
        if outage.kind is OutageKind.DRAIN and view.name not in self._ledger.state.drains:
            self._cancel_draining(view)
            return []
        if outage.step is OutageStep.DRAINING:
            return self._advance_draining(view, outage, now)
        if outage.step is OutageStep.REBOOTING:
            return self._advance_reboot(view, outage, now)
        return self._advance_move(view, outage, now)

    def _undo_leftover_drain(self, view: WorkerView, now: Instant) -> list[Effect]:
        """Undrain a worker that an earlier holder of the cell left draining."""
        if not view.draining or not view.reachable or self._group.is_listed_leaving(view):
            return []
        return [self._command(view, ControlAction.UNDRAIN, now)]

    def _command(self, view: WorkerView, action: ControlAction, now: Instant) -> ControlWorker:
        return ControlWorker(
            view.name,
            view.address,
            self._group.fencing_token(view.name),
            action,
            self._send_before_ms(now),
        )

    def _advance_draining(
        self, view: WorkerView, outage: PlannedOutage, now: Instant
    ) -> list[Effect]:
        if view.tasks or not view.reachable:
            return []
        if outage.kind is OutageKind.WAVE:
            outage.step = OutageStep.REBOOTING
            outage.boot_id_before = view.boot_id
            outage.command_sent_ms = now.mono_ms
            fields = {"worker": view.name, "wave": outage.target}
            return [
                Notice("worker_reboot", fields),
                self._command(view, ControlAction.REBOOT, now),
            ]
        if outage.kind is OutageKind.MOVE:
            outage.step = OutageStep.PUBLISHING
            return self._advance_move(view, outage, now)
        if not view.draining:
            return [self._command(view, ControlAction.DRAIN, now)]
        return []

    def _advance_reboot(
        self, view: WorkerView, outage: PlannedOutage, now: Instant
    ) -> list[Effect]:
        if view.reachable and view.boot_id != outage.boot_id_before:
            view.outage = None
            record_id = self._ids.next("maintained")
            self._unpublished_maintenance[view.name] = InstanceMaintained(
                record_id, view.name, outage.target, now.wall_ms
            )
            self._group.update_service_state(view)
            return []
        if view.reachable and now.mono_ms - outage.command_sent_ms > REBOOT_RESEND_INTERVAL_MS:
            outage.command_sent_ms = now.mono_ms
            return [self._command(view, ControlAction.REBOOT, now)]
        return []

    def _publish_maintained(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        for name, record in list(self._unpublished_maintenance.items()):
            if self._ledger.verdict(record.record_id) is not None:
                del self._unpublished_maintenance[name]
            elif not self._publisher.is_pending(record.record_id):
                effects.extend(self._publisher.publish(record, now))
        return effects

    def _advance_move(self, view: WorkerView, outage: PlannedOutage, now: Instant) -> list[Effect]:
        if self._ledger.pool_of(view.name) != self._group.pool:
            return []
        if outage.move is None:
            version = self._ledger.state.assignments[view.name].version
            record_id = self._ids.next("move")
            outage.move = InstanceMoved(
                record_id, view.name, outage.target, version, self._group.scope, self._group.epoch
            )
        verdict = self._ledger.verdict(outage.move.record_id)
        if verdict is not None and not verdict.accepted:
            view.outage = None
            self._group.update_service_state(view)
            return []
        # A record without a verdict may still take effect, so the worker stays drained until then.
        if verdict is not None or self._publisher.is_pending(outage.move.record_id):
            return []
        return self._publisher.publish(outage.move, now)

    def explain(self, name: str) -> str | None:
        """Explain why a worker is out of service, or why it cannot be taken out now."""
        view = self._group.views().get(name)
        if view is None:
            return None
        reason = self._group.out_reason(view)
        if reason is OutReason.PLANNED:
            outage = view.outage
            waiting = f"; {len(view.tasks)} tasks are still running" if view.tasks else ""
            return f"out: {outage.kind} {outage.target} ({outage.step}){waiting}".replace("  ", " ")
        if reason is not None:
            return f"out: {reason}"
        refusal = view.outage_refusal or self._budget_refusal(view)
        return f"in service; cannot go out now: {refusal}" if refusal else "in service"
