"""The reducer: applies every event to the state of one process and returns effects."""

import random

import attrs

from fescuecrank_scheduler import events
from fescuecrank_scheduler.balancer import Balancer
from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.config_age import ConfigChecked
from fescuecrank_scheduler.effects import (
    Effect,
    Exit,
    FollowMode,
    LogLine,
    SetFollow,
    StoreProgress,
)
from fescuecrank_scheduler.events import Event, StoreResult, Topic
from fescuecrank_scheduler.fleet import EMPTY_CONFIG, FleetConfig, Wave
from fescuecrank_scheduler.intake import Intake
from fescuecrank_scheduler.job_table import JobTable
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.leadership import (
    LOG_INTERVAL_MS,
    LOGGED_LATENESS_MS,
    MIN_LEADERSHIP_MS,
    Election,
    LoopMonitor,
    Role,
)
from fescuecrank_scheduler.limits import Limits
from fescuecrank_scheduler.maintenance import Maintenance
from fescuecrank_scheduler.records import LEADER_KEY, Leadership, encode_leadership
from fescuecrank_scheduler.scheduler import Scheduler

# After a shutdown request, connections are served for this long: the load balancer takes a process
# out of rotation after two failed readiness checks, one second apart.
SHUTDOWN_SERVE_MS = 3_200

# Requests that still wait for the store are abandoned after this time, before the platform kills
# the process.
SHUTDOWN_LIMIT_MS = 5_300

# Ids of jobs in one log line.
MAX_LOGGED_JOBS = 10

# Interval at which maintenance and the moves of machines are checked; a move takes ten times as
# long.
MACHINES_INTERVAL_MS = 100


@attrs.define
class Reducer:
    """State of one scheduler process, as follower, candidate or leader."""

    name: str
    limits: Limits
    rng: random.Random
    # Address at which this process takes callers' requests, for processes cut off from the store.
    address: str = ""
    table: JobTable = attrs.field(factory=JobTable)
    config: FleetConfig = EMPTY_CONFIG
    waves: tuple[Wave, ...] = ()
    intake: Intake = attrs.field(init=False)
    election: Election = attrs.field(init=False)
    scheduler: Scheduler | None = None
    maintenance: Maintenance | None = None
    balancer: Balancer | None = None
    _loop: LoopMonitor = attrs.field(factory=LoopMonitor)
    _lateness_logged_ms: int = 0
    _last_read_ms: dict[Topic, int] = attrs.field(factory=dict)
    # Streams whose latest read failed. A leader is not silent if only we do not hear it.
    _unreadable: set[Topic] = attrs.field(factory=set)
    # As of when each stream has been read whole.
    _as_of_ms: dict[Topic, int] = attrs.field(factory=dict)
    _progress_end: int = 0
    _claim_offset: int | None = None
    _claim_sequence: int = 0
    _claim_sent_ms: int = 0
    _previous_leader: Leadership | None = None
    _stopping_ms: int | None = None
    _machines_checked_ms: int = 0
    _effects: list[Effect] = attrs.field(factory=list)

    @intake.default
    def _make_intake(self) -> Intake:
        return Intake(self.limits, self.table, self.address)

    @election.default
    def _make_election(self) -> Election:
        return Election(self.name, self.limits, self.rng, self.address)

    @property
    def loop_late_ms(self) -> int:
        """By how much a leader's ticks of the last seconds were late together."""
        return self._loop.late_ms if self.scheduler is not None else 0

    @property
    def ready(self) -> bool:
        """Whether this process accepts new connections."""
        return self.intake.ready

    def handle(self, event: Event, now: Now) -> list[Effect]:
        """Apply one event and return its effects."""
        match event:
            case events.Request():
                self._effects += self.intake.handle_request(event, now)
            case events.StoreHealth():
                if event.failing != self.intake.store_failing:
                    self._log("store_lost" if event.failing else "store_regained")
                self.intake.store_failing = event.failing
            case events.Forwarded():
                self._effects += self.intake.on_forwarded(event, now)
            case events.IntakeStored():
                self._effects += self.intake.on_stored(event.token, event.result, now)
            case events.Tick():
                self._tick(now)
            case events.ConfigRead():
                self._apply_config(event, now)
            case ConfigChecked():
                self.intake.config_age.as_of_ms = event.as_of_ms
            case events.RecordsRead():
                self._apply_records(event, now)
            case events.ReadFailed():
                self._unreadable.add(event.topic)
                self.intake.unreadable = event.topic is Topic.INTAKE or self.intake.unreadable
            case events.ProgressStored():
                self._on_progress_stored(event, now)
            case events.ShutDown():
                self._shut_down(now)
            case events.Wake():
                pass
            case _:
                self._handle_as_leader(event, now)
        if self.scheduler is not None:
            self._effects += self.scheduler.run_pending(now)
            if self.scheduler.state.fenced:
                self._step_down("fenced", now)
        effects, self._effects = self._effects, []
        return effects

    def recover(self, now: Now) -> list[Effect]:
        """Return to a known state after an event whose handling failed midway.

        What a leader had changed and not stored is given up; it is read again from the store, by
        this process or by another that takes over.
        """
        if self.scheduler is not None:
            self._step_down("event_failed", now)
        effects, self._effects = self._effects, []
        return effects

    def _handle_as_leader(self, event: Event, now: Now) -> None:
        scheduler, maintenance = self.scheduler, self.maintenance
        if scheduler is None or maintenance is None:
            return
        match event:
            case events.MachinesListed():
                maintenance.on_machines_listed(event, now)
            case events.MachineOrderDone() if event.wave is not None:
                maintenance.on_order_done(event.machine, event.wave, event.result, now)
            case events.MachineOrderDone() if self.balancer is not None:
                self.balancer.on_order_done(event.machine, event.result, now)
            case _:
                scheduler.handle(event, now)

    def _apply_config(self, event: events.ConfigRead, now: Now) -> None:
        if event.config.version < self.config.version:
            return
        if event.config.version > self.config.version:
            self._log("config_in_force", version=event.config.version)
        self.config = self.intake.config = event.config
        self.waves = event.waves
        if self.scheduler is not None and self.maintenance is not None:
            self.scheduler.set_config(event.config)
            self.maintenance.set_waves(self.waves, self.table.wave_machines_down, now)

    # Records of the store.

    def _apply_records(self, event: events.RecordsRead, now: Now) -> None:
        # A leader's state in memory is newer than the progress records it has stored.
        leading = self.scheduler is not None and event.topic is Topic.PROGRESS
        for stored in event.records:
            if leading and stored.record.key != LEADER_KEY:
                continue
            try:
                self.table.apply(stored)
            except ValueError as exc:
                self._log("record_skipped", key=stored.record.key, reason=str(exc))
        if event.whole and event.topic is Topic.INTAKE:
            self._drop_deleted_jobs(event, now)
        last = self._last_read_ms.get(event.topic)
        silent = last is not None and now.mono_ms - last > self.limits.stale_ms
        if silent or event.topic in self._unreadable:
            self._unreadable.discard(event.topic)
            self.intake.unreadable = Topic.INTAKE in self._unreadable
            self.election.store_recovered(now.mono_ms)
        self._last_read_ms[event.topic] = now.mono_ms
        if event.topic is Topic.PROGRESS:
            self._progress_end = event.end
            self.election.observe(self.table.leader, now.mono_ms, now.wall_ms)
            self._check_claim(now)
        if event.as_of_ms is not None:
            self._as_of_ms[event.topic] = event.as_of_ms
        if len(self._as_of_ms) == len(Topic):
            # Whether a job exists is known from the intake stream alone.
            self.intake.synced_ms = self._as_of_ms[Topic.INTAKE]
        self._effects += self.intake.answer_waiting(now)
        changed = self.table.take_changed()
        if self.scheduler is not None:
            if event.topic is Topic.INTAKE:
                self.scheduler.on_jobs_read(event.as_of_ms)
            self.scheduler.on_jobs_changed(changed, now)

    def _drop_deleted_jobs(self, event: events.RecordsRead, now: Now) -> None:
        """Drop the jobs that the store does not have any more, though no tombstone was read.

        The tombstones may have expired while this process was cut off from the store.
        """
        dropped = self.table.retain_jobs({stored.record.key for stored in event.records})
        if not dropped:
            return
        still_open = [job.id for job in dropped if job.open]
        self._log(
            "deleted_jobs_dropped", jobs=len(dropped), still_open=still_open[:MAX_LOGGED_JOBS]
        )
        if still_open and self.scheduler is not None:
            # Only a later leader can have ended and deleted them.
            self._step_down("jobs_deleted", now)

    def _check_claim(self, now: Now) -> None:
        leader = self.table.leader
        leading = self.election.role is Role.LEADER and leader is not None
        if leading and not self.election.owns(leader) and leader.epoch >= self.election.epoch:
            self._step_down("replaced", now)
        if self.election.role is not Role.CANDIDATE or self._claim_offset is None:
            return
        if self._progress_end <= self._claim_offset:
            return
        if self.election.owns(leader):
            self._become_leader(now)
        else:
            self._abandon_claim("another claim came first", now)

    # Leadership.

    def _start_claim(self, now: Now) -> None:
        self._previous_leader = self.table.leader
        leader = self.election.claim(now.wall_ms)
        self._claim_offset = None
        self._claim_sent_ms = now.mono_ms
        # A random sequence number keeps the store from taking the claims of two candidates for the
        # same epoch as retries of one append.
        sequence = self.rng.getrandbits(40)
        self._log("leadership_claimed", epoch=leader.epoch, at=self._progress_end)
        self._effects.append(SetFollow(FollowMode.CANDIDATE))
        self._effects.append(
            StoreProgress(
                leader.epoch,
                sequence,
                (encode_leadership(leader),),
                expected_end=self._progress_end,
            )
        )
        self._claim_sequence = sequence

    def _become_leader(self, now: Now) -> None:
        leader = self.table.leader
        assert leader is not None
        self.election.role = Role.LEADER
        state = LeaderState(self.limits, self.table, self.config, leader, self._previous_leader)
        state.renewal_sent_ms = self._claim_sent_ms
        self.scheduler = Scheduler(state, self._claim_sequence + 1)
        self.maintenance = Maintenance(state, self.scheduler.runs)
        self.balancer = Balancer(state, self.maintenance)
        self._loop = LoopMonitor()
        self._effects.append(SetFollow(FollowMode.LEADER))
        self.table.take_changed()
        self._effects += self.scheduler.take_over(now)
        # This process may have been paused since it sent the claim.
        state.renewed_ms = self._claim_sent_ms
        self.maintenance.set_waves(self.waves, self.table.wave_machines_down, now)

    def _abandon_claim(self, reason: str, now: Now) -> None:
        self._log("claim_lost", epoch=self.election.epoch, reason=reason)
        self.election.become_follower(now.mono_ms)
        self._claim_offset = None
        self._effects.append(SetFollow(FollowMode.FOLLOWER))

    def _step_down(self, reason: str, now: Now) -> None:
        self._log("leadership_ended", epoch=self.election.epoch, reason=reason)
        self.election.become_follower(now.mono_ms)
        self.scheduler = self.maintenance = self.balancer = None
        self.table.reset_progress()
        self._last_read_ms.pop(Topic.PROGRESS, None)
        self._effects.append(SetFollow(FollowMode.FOLLOWER, reload=True))

    def _on_progress_stored(self, event: events.ProgressStored, now: Now) -> None:
        if event.epoch != self.election.epoch:
            return
        if self.election.role is Role.CANDIDATE and event.sequence == self._claim_sequence:
            if event.result is StoreResult.STORED:
                self._claim_offset = event.offset
                self._check_claim(now)
            else:
                self._abandon_claim(event.result.value, now)
        elif self.scheduler is not None:
            if event.result is StoreResult.STORED:
                self._last_read_ms[Topic.PROGRESS] = now.mono_ms
                self.scheduler.progress.on_stored(event.sequence, now)
                if self.scheduler.state.resigned:
                    self._step_down("resigned", now)
            else:
                self._step_down(event.result.value, now)

    # Time.

    def _tick(self, now: Now) -> None:
        self._effects += self.intake.answer_waiting(now)
        if self.scheduler is not None and self.maintenance and self.balancer:
            self.scheduler.tick(now)
            self._check_loop(self.scheduler, now)
            due = now.mono_ms - self._machines_checked_ms >= MACHINES_INTERVAL_MS
            if due and self.scheduler.state.may_order_machines(now):
                self._machines_checked_ms = now.mono_ms
                self._effects += self.maintenance.tick(now, self.balancer.target_pools())
                self._effects += self.balancer.tick(now)
            self._effects += self.scheduler.retention.tick(now)
        elif self._may_claim(now):
            self._start_claim(now)
        if self._stopping_ms is not None:
            self._check_exit(now)

    def _check_loop(self, scheduler: Scheduler, now: Now) -> None:
        """Hand over to another process if this one is too slow to lead."""
        state = scheduler.state
        self._loop.record_tick(now.mono_ms)
        logged = now.mono_ms - self._lateness_logged_ms < LOG_INTERVAL_MS
        if self._loop.late_ms >= LOGGED_LATENESS_MS and not logged:
            self._lateness_logged_ms = now.mono_ms
            self._log(
                "leader_late",
                late_ms=self._loop.late_ms,
                workers=len(state.workers),
                runs=len(state.placements),
                waiting_work=sum(state.waiting_work.values()),
            )
        settled = now.mono_ms - state.started_ms >= MIN_LEADERSHIP_MS
        if self._loop.overloaded and settled and not state.resigning:
            self._log("leader_overloaded", epoch=state.leader.epoch)
            self.election.stand_back(now.mono_ms)
            scheduler.resign()

    def _may_claim(self, now: Now) -> bool:
        read_ms = self._last_read_ms.get(Topic.PROGRESS)
        return (
            self._stopping_ms is None
            and self.intake.ready
            and read_ms is not None
            and Topic.PROGRESS not in self._unreadable
            and now.mono_ms - read_ms < self.limits.stale_ms
            and self.election.should_claim(now.mono_ms)
        )

    # Shutdown.

    def _shut_down(self, now: Now) -> None:
        if self._stopping_ms is not None:
            return
        self._stopping_ms = now.mono_ms
        self.intake.draining = True
        self._log("stopping", leader=self.scheduler is not None)
        if self.scheduler is not None:
            self.scheduler.resign()

    def _check_exit(self, now: Now) -> None:
        assert self._stopping_ms is not None
        passed = now.mono_ms - self._stopping_ms
        if passed < SHUTDOWN_SERVE_MS:
            return
        if self.intake.open_requests and passed < SHUTDOWN_LIMIT_MS:
            return
        self._effects.append(Exit())

    def _log(self, event: str, **fields: object) -> None:
        self._effects.append(LogLine(event, fields))
