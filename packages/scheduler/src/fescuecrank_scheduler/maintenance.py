"""Maintenance waves: the order in which machines are taken down.

A machine is cordoned first and taken down once no run is left on its worker. Long-running tasks are
moved off it one at a time, within their step's `may_miss`.
"""

from collections.abc import Mapping

import attrs

from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.effects import (
    Effect,
    ListMachines,
    LogLine,
    MaintainMachine,
    StoreWaveState,
)
from fescuecrank_scheduler.events import MachineRow, MachinesListed, OrderResult
from fescuecrank_scheduler.fleet import Wave
from fescuecrank_scheduler.jobs import TaskId
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.placement import peers_on, satisfies_constraints
from fescuecrank_scheduler.records import WaveRecord, encode_wave
from fescuecrank_scheduler.runs import Runs
from fescuecrank_scheduler.wave_progress import MachineStatus, Stage, WaveProgress
from fescuecrank_scheduler.workers import Run, RunState

# Pause before an order that got no answer or was refused for the time being is repeated; orders are
# idempotent.
ORDER_RETRY_MS = 700

# Share of a wave's duration in which it is planned to complete; the rest absorbs failures.
PLANNED_SHARE = 0.6

# Estimated time from the selection of a machine until its worker is back, without the maintenance.
DRAIN_ESTIMATE_MS = 2_500


# State of a machine that maintenance has taken down.
IN_MAINTENANCE = "upkeep"

# Progress that a long-running task reports once its startup has finished.
READY_PERCENT = 100


@attrs.define
class Maintenance:
    """Carries out maintenance waves under one leadership."""

    state: LeaderState
    runs: Runs
    waves: dict[int, WaveProgress] = attrs.field(factory=dict)
    machine_rows: dict[str, MachineRow] = attrs.field(factory=dict)
    rows_read_ms: int = -1
    _list_requested: bool = False
    _list_requested_ms: int = -(10**9)
    _effects: list[Effect] = attrs.field(factory=list)

    def set_waves(
        self, waves: tuple[Wave, ...], taken_down: dict[int, tuple[str, ...]], now: Now
    ) -> None:
        """Add the waves that operators published, and apply changes of those that are known.

        `taken_down` has the machines of each wave that earlier leaders have taken down.
        """
        for wave in waves:
            known = self.waves.get(wave.number)
            if known is not None:
                if known.wave != wave:
                    self._change_wave(known, wave, now)
                continue
            progress = WaveProgress(wave, now.mono_ms)
            for name in taken_down.get(wave.number, ()):
                progress.machines[name] = MachineStatus(Stage.DOWN, now.mono_ms)
            self.waves[wave.number] = progress

    def _change_wave(self, progress: WaveProgress, wave: Wave, now: Now) -> None:
        """Apply a changed definition of a wave; one that is completed may be active again."""
        self._effects.append(
            LogLine(
                "wave_changed",
                {
                    "wave": wave.number,
                    "machines": len(wave.machines),
                    "machines_before": len(progress.wave.machines),
                    "completed": progress.completed,
                },
            )
        )
        progress.wave, progress.started_ms = wave, now.mono_ms
        progress.absent_since_ms.clear()
        for name in set(progress.machines) - set(wave.machines):
            if progress.machines[name].stage is Stage.EMPTYING:
                del progress.machines[name]
        if progress.pending_machines():
            progress.completed = progress.reported = False

    def on_machines_listed(self, event: MachinesListed, now: Now) -> None:
        """Replace the list of machines; if it could not be read, the old one stays."""
        self._list_requested = False
        if event.machines is None:
            self._effects.append(LogLine("machines_unreadable", {"sent_ms": event.sent_ms}))
        else:
            self.machine_rows = {row.machine: row for row in event.machines}
            self.rows_read_ms = event.sent_ms

    def on_order_done(self, machine: str, wave: int, result: OrderResult, now: Now) -> None:
        """Apply the answer to a maintenance order."""
        progress = self.waves.get(wave)
        status = progress.machines.get(machine) if progress else None
        if progress is None or status is None or status.stage is not Stage.ORDERED:
            return
        self._effects.append(
            LogLine(
                "maintenance_ordered", {"machine": machine, "wave": wave, "result": result.value}
            )
        )
        match result:
            case OrderResult.OK:
                status.stage, status.since_ms = Stage.DOWN, now.mono_ms
                self.runs.expect_end(status.worker, now)
                self.state.queue_record(encode_wave(WaveRecord(wave, progress.taken_down())))
            case OrderResult.FENCED:
                self.state.fenced = True
            case _:
                # A rejected order is repeated too, as long as the machine is listed.
                status.retry_ms = now.mono_ms + ORDER_RETRY_MS
                status.unanswered = status.unanswered or result is OrderResult.NO_ANSWER
                if not status.unanswered:
                    # Until it is repeated, another worker may be on the machine and get runs.
                    status.stage = Stage.EMPTYING

    def in_maintenance(self, machine: str) -> bool:
        """Return whether a wave is draining a machine or has it down."""
        for wave in self.waves.values():
            status = wave.machines.get(machine)
            if status is not None and status.stage is not Stage.DONE and not wave.completed:
                return True
        return False

    def due_machines(self) -> set[str]:
        """Return the machines of all active waves that have not been taken down yet."""
        active = (wave for wave in self.waves.values() if not wave.completed)
        return set().union(*(wave.pending_machines() for wave in active))

    def tick(self, now: Now, moving: Mapping[str, str]) -> list[Effect]:
        """Advance all waves; `moving` is the target pool of each machine that is being moved."""
        self.state.index_machines(self.machine_rows)
        active = [wave for wave in self.waves.values() if not wave.completed]
        if active or any(pool.standby for pool in self.state.config.pools.values()):
            self._request_list(now)
        for wave in active:
            if self.rows_read_ms >= 0:
                self._advance(wave, now, moving)
        due = self.due_machines()
        for worker in self.state.workers.values():
            arrived = moving.get(worker.machine, worker.pool) == worker.pool
            cordoned = not arrived or any(wave.evicts(worker) for wave in active)
            if worker.cordoned and not cordoned:
                self.state.request_placement(worker.pool)
            worker.cordoned = cordoned
            worker.maintenance_due = worker.machine in due
        self._relocate_long_running(now)
        effects, self._effects = self._effects, []
        return effects

    def _request_list(self, now: Now) -> None:
        if (
            not self._list_requested
            and now.mono_ms - self._list_requested_ms >= self.state.limits.machines_read_interval_ms
        ):
            self._list_requested, self._list_requested_ms = True, now.mono_ms
            self._effects.append(ListMachines())

    def _advance(self, progress: WaveProgress, now: Now, moving: Mapping[str, str]) -> None:
        if not progress.reported:
            progress.reported = True
            self._effects.append(self._wave_state(progress, completed=False))
        for name, status in progress.machines.items():
            self._advance_machine(progress, name, status, now)
        self._drop_departed(progress)
        self._select_machines(progress, now, moving)
        unstarted = progress.unstarted()
        departed = [name for name in unstarted if progress.has_left(name, self.rows_read_ms)]
        if len(departed) == len(unstarted) and not progress.in_progress():
            progress.completed = True
            self._effects.append(self._wave_state(progress, completed=True))
            fields = {"wave": progress.wave.number, "departed": departed}
            self._effects.append(LogLine("wave_completed", fields))

    def _drop_departed(self, progress: WaveProgress) -> None:
        """Deselect machines that are not listed any more; they are selected again if they return.

        Those that have been taken down keep their status.
        """
        for name, status in list(progress.machines.items()):
            waiting = status.stage in (Stage.EMPTYING, Stage.ORDERED)
            if waiting and name not in self.machine_rows and self.rows_read_ms > status.since_ms:
                del progress.machines[name]
        for name in progress.update_absent(self.machine_rows, self.rows_read_ms):
            fields = {"machine": name, "wave": progress.wave.number, "read_ms": self.rows_read_ms}
            self._effects.append(LogLine("machine_not_listed", fields))

    def _wave_state(self, progress: WaveProgress, completed: bool) -> StoreWaveState:
        number, progress.state_count = progress.state_count, progress.state_count + 1
        return StoreWaveState(progress.wave.number, completed, self.state.leader.epoch, number)

    def _advance_machine(
        self, progress: WaveProgress, name: str, status: MachineStatus, now: Now
    ) -> None:
        row = self.machine_rows.get(name)
        up = row is not None and row.state == "up"
        if status.stage is Stage.EMPTYING and up:
            worker = self.state.worker_by_machine.get(name)
            if worker is None or not worker.runs:
                status.stage, status.since_ms, status.retry_ms = (
                    Stage.ORDERED,
                    now.mono_ms,
                    max(now.mono_ms, status.retry_ms),
                )
                status.worker = worker.id if worker is not None else ""
        if status.stage is Stage.ORDERED and now.mono_ms >= status.retry_ms:
            status.retry_ms = now.mono_ms + 4 * ORDER_RETRY_MS
            self._effects.append(
                MaintainMachine(name, progress.wave.number, self.state.leader.epoch)
            )
        # A list that was read soon after the order may still show the machine as up.
        read_late = self.rows_read_ms >= status.since_ms + self.state.limits.maintenance_ms // 2
        if status.stage is Stage.DOWN and (up or row is None) and read_late:
            status.stage = Stage.DONE

    def _select_machines(self, progress: WaveProgress, now: Now, moving: Mapping[str, str]) -> None:
        left = [name for name in progress.unstarted() if name in self.machine_rows]
        slots = (
            min(progress.wave.cap, self._required_concurrency(progress, now))
            - progress.in_progress()
        )
        # A previous leader may have taken these down without a record of it.
        slots -= sum(self.machine_rows[name].state == IN_MAINTENANCE for name in left)
        left = [name for name in left if self.machine_rows[name].state == "up"]
        left.sort(key=self._disruption)
        for name in left[: max(0, slots)]:
            if name not in moving:
                progress.machines[name] = MachineStatus(Stage.EMPTYING, now.mono_ms)
                self._effects.append(
                    LogLine("machine_cordoned", {"machine": name, "wave": progress.wave.number})
                )

    def _required_concurrency(self, progress: WaveProgress, now: Now) -> int:
        """Return how many machines to maintain at a time so that the wave completes in time."""
        unstarted = [name for name in progress.unstarted() if name in self.machine_rows]
        open_count = len(unstarted) + progress.in_progress()
        planned_ms = int(progress.wave.duration_ms * PLANNED_SHARE)
        remaining_ms = max(1, progress.started_ms + planned_ms - now.mono_ms)
        each_ms = DRAIN_ESTIMATE_MS + self.state.limits.maintenance_ms
        return -(-open_count * each_ms // remaining_ms)

    def _disruption(self, name: str) -> tuple[bool, int, int]:
        """Return a sort key for what taking a machine down disturbs; lowest if switched off."""
        worker = self.state.worker_by_machine.get(name)
        if worker is None:
            return (False, 0, 0)
        long_running = sum(1 for run in worker.runs.values() if run.step.long_running)
        return (True, long_running, worker.used.cpu)

    def _relocate_long_running(self, now: Now) -> None:
        """Stop long-running tasks on workers to be drained, within the `may_miss` of their steps.

        The tasks of a step move one after the other, which is the longest part of a wave. They
        therefore leave every machine that is due for maintenance, also before it is selected, as
        soon as another worker has capacity for them.
        """
        self.state.pools_moving_tasks.clear()
        # Cached, since the result is the same for all tasks of a step.
        has_alternative: dict[tuple[str, str, int, int], bool] = {}
        for worker in list(self.state.workers.values()):
            leaving = worker.cordoned or (worker.listed and not worker.ready)
            if not leaving and not worker.maintenance_due:
                continue
            for run in list(worker.runs.values()):
                if not run.step.long_running or run.state is not RunState.RUNNING:
                    continue
                step_key = (worker.pool, run.task.job, run.task.occurrence, run.task.step)
                if not leaving and step_key not in has_alternative:
                    has_alternative[step_key] = self._has_alternative(worker.pool, run, now)
                if not leaving and not has_alternative[step_key]:
                    continue
                self.state.pools_moving_tasks.add(worker.pool)
                if self._may_stop(run, now):
                    self.runs.stop(worker, run, now)

    def _has_alternative(self, pool: str, run: Run, now: Now) -> bool:
        """Return whether a worker that is not due for maintenance can take over a run's task."""
        return any(
            worker.pool == pool
            and not worker.maintenance_due
            and worker.usable(now.mono_ms, self.state.limits)
            and run.step.reservation.fits(worker.free)
            and satisfies_constraints(
                worker, run.step, peers_on(worker, run.task.job, run.task.occurrence, run.task.step)
            )
            for worker in self.state.workers.values()
        )

    def _may_stop(self, run: Run, now: Now) -> bool:
        # Steps without `may_miss` are moved one task at a time.
        allowed = 1 if run.step.may_miss is None else run.step.may_miss
        job = self.state.table.jobs.get(run.task.job)
        if job is None:
            return True
        unavailable = 0
        for task in job.tasks.get((run.task.occurrence, run.task.step), ()):
            if task.id != run.task and not self._is_serving(task.id, now):
                unavailable += 1
        return unavailable < allowed

    def _is_serving(self, task_id: TaskId, now: Now) -> bool:
        found = self.state.find_run(task_id)
        if found is None:
            return False
        worker, run = found
        # The last report of a worker that has gone silent is outdated.
        responsive = (
            worker.listed
            and worker.contact_lost_ms is None
            and now.mono_ms - worker.last_answer_ms < self.state.limits.worker_silence_ms
        )
        return responsive and run.state is RunState.RUNNING and run.percent >= READY_PERCENT
