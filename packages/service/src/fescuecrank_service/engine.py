"""Passes events to the reducer and executes its effects, on one asyncio loop."""

import asyncio
import functools
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from fescuecrank_core.clock import Clock, Instant
from fescuecrank_core.errors import Failure
from fescuecrank_scheduler import effects, events
from fescuecrank_scheduler.config_age import ConfigChecked
from fescuecrank_scheduler.effects import Effect, FollowMode
from fescuecrank_scheduler.events import Event, Topic
from fescuecrank_scheduler.leadership import LEADER_TICK_MS
from fescuecrank_scheduler.reducer import Reducer

from fescuecrank_service.appenders import IntakeAppender, ProgressAppender
from fescuecrank_service.forwarding import forward
from fescuecrank_service.http_client import HttpClient
from fescuecrank_service.http_frontend import HttpFrontend
from fescuecrank_service.interfaces import FleetClient, Store, WorkerClient
from fescuecrank_service.log_lines import CONFIG_DECISIONS, JsonLineLogger, describe_failure
from fescuecrank_service.metrics import Metrics
from fescuecrank_service.read_pace import ReadOrder
from fescuecrank_service.rejections import RejectionLog
from fescuecrank_service.stream_health import StreamHealth
from fescuecrank_service.topic_reader import READ_WAIT_MS, Batch, TopicReader

# Followers only watch whether the leader renews its claim.
FOLLOWER_TICK_MS = 120

# Changes by operators are rare and must be in force within 2 s, even if the connection of a read is
# dead and the read has to be repeated.
CONFIG_READ_WAIT_MS = 700

# Each worker reports every 1.5 s; without a pause between reads, each report would cost a call.
WORKER_READ_PAUSE_MS = 250

# Pause before a failed write of the state of a wave, which operators read, is repeated.
WAVE_STATE_RETRY_MS = 300


@attrs.frozen
class Polling:
    """How a stream is read: pause between reads (None: no reads) and longest wait of a read."""

    pause_ms: int | None
    wait_ms: int = READ_WAIT_MS


POLLING_BY_MODE = {
    FollowMode.FOLLOWER: {Topic.INTAKE: Polling(350), Topic.PROGRESS: Polling(150)},
    # The read of a candidate may reach the store just before its claim and wait in vain, so it
    # waits briefly.
    FollowMode.CANDIDATE: {Topic.INTAKE: Polling(0), Topic.PROGRESS: Polling(0, 60)},
    FollowMode.LEADER: {Topic.INTAKE: Polling(0), Topic.PROGRESS: Polling(None)},
}

# Events that stand for the outcome of a call whose client failed unexpectedly; the call may have
# been executed.
FAILED_CALLS: dict[type, Callable[[Any], Event]] = {
    effects.HoldWorker: lambda call: events.HoldDone(
        call.worker, call.number, events.CallResult.NO_ANSWER
    ),
    effects.StartRun: lambda call: events.StartDone(
        call.worker, call.task, call.run, events.CallResult.NO_ANSWER
    ),
    effects.StopRun: lambda call: events.StopDone(
        call.worker, call.task, call.run, events.CallResult.NO_ANSWER
    ),
    effects.PaceRun: lambda call: events.PaceDone(
        call.worker, call.task, call.percent, events.CallResult.NO_ANSWER
    ),
    effects.MoveMachine: lambda call: events.MachineOrderDone(
        call.machine, None, events.OrderResult.NO_ANSWER
    ),
    effects.MaintainMachine: lambda call: events.MachineOrderDone(
        call.machine, call.wave, events.OrderResult.NO_ANSWER
    ),
    effects.ForwardRequest: lambda call: events.Forwarded(call.token, None, sent=True),
    effects.Advise: lambda call: events.Advised(
        call.job, call.occurrence, call.step, call.workers, None
    ),
}


class Engine:
    """Runs one process: connects the reducer with store, workers, platform and callers."""

    def __init__(
        self,
        reducer: Reducer,
        clock: Clock,
        store: Store,
        make_worker_client: Callable[[], WorkerClient],
        fleet_client: FleetClient,
        peer_client: HttpClient,
        producer: str,
        log: JsonLineLogger,
        metrics: Metrics,
    ) -> None:
        self.reducer = reducer
        self.frontend: HttpFrontend | None = None
        self._clock = clock
        self._store = store
        self._make_worker_client = make_worker_client
        self._worker_client: WorkerClient | None = None
        self._fleet_client = fleet_client
        self._peer_client = peer_client
        self._log = log
        self._metrics = metrics
        self._intake = IntakeAppender(
            store.shared_stream(Topic.INTAKE), producer, clock, self.post, log
        )
        self._progress = ProgressAppender(
            store.shared_stream(Topic.PROGRESS), "leader", clock, self.post, log
        )
        self._rejections = RejectionLog("workers", log, metrics.rejected_counts)
        self._newest_operator_values: dict[str, bytes] = {}
        # Whether the newest configuration could not be decoded.
        self._config_unreadable = False
        health = self._health = StreamHealth(clock, log)
        make_reader = functools.partial(
            TopicReader,
            clock=clock,
            on_failure=self._on_read_failure,
            on_success=health.on_success,
            on_reading=health.on_reading,
            order=ReadOrder(),
        )
        self._config_reader = make_reader(
            "operators",
            store.operator_stream(),
            deliver=self._on_operator_records,
            goes_first=True,
            newest_only=True,
        )
        self._worker_reader = make_reader(
            "workers", store.worker_stream(), deliver=self._on_worker_records
        )
        self._readers = {
            topic: make_reader(
                topic.value,
                store.shared_stream(topic),
                deliver=functools.partial(self._on_shared_records, topic),
            )
            for topic in Topic
        }
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._wave_locks: dict[int, asyncio.Lock] = {}
        self._tick_ms = FOLLOWER_TICK_MS
        self._wake_timer: asyncio.TimerHandle | None = None
        self._wake_due_ms = 0
        self._exit_requested = asyncio.Event()

    # Lifecycle.

    async def run(self) -> None:
        """Run until the reducer asks to exit."""
        self._config_reader.set_polling(0, CONFIG_READ_WAIT_MS)
        self._set_follow_mode(effects.SetFollow(FollowMode.FOLLOWER))
        tick_task = asyncio.get_running_loop().create_task(self._post_ticks())
        try:
            await self._exit_requested.wait()
        finally:
            tick_task.cancel()

    def close(self) -> None:
        """Cancel all background tasks; nothing is read or sent any more."""
        for reader in (self._config_reader, self._worker_reader, *self._readers.values()):
            reader.close()
        self._intake.close()
        self._progress.close()
        for task in self._background_tasks:
            task.cancel()

    async def _post_ticks(self) -> None:
        while True:
            await asyncio.sleep(self._tick_ms / 1_000)
            self.post(events.Tick())

    def post(self, event: Event) -> None:
        """Pass one event to the reducer and execute the effects that it returns.

        An unexpected error ends only this event. A leader whose state may be half changed by it
        steps down and reads the store again.
        """
        now = self._clock.now()
        name = type(event).__name__
        self._metrics.event_counts[name] += 1
        try:
            returned = self.reducer.handle(event, now)
        except Exception as exc:  # noqa: BLE001 - the process has to go on serving
            self._metrics.event_failures[name] += 1
            self._log.write("event_failed", describe_failure(name, event, exc))
            returned = self.reducer.recover(now)
        for effect in returned:
            self._metrics.effect_counts[type(effect).__name__] += 1
            try:
                self._execute(effect)
            except Exception as exc:  # noqa: BLE001 - the other effects have to be executed
                effect_name = type(effect).__name__
                self._metrics.event_failures[effect_name] += 1
                self._log.write("effect_failed", describe_failure(effect_name, effect, exc))
        self._schedule_wake(now)

    def _schedule_wake(self, now: Instant) -> None:
        """Set a timer for the reducer's next deferred work if that is due before the next tick."""
        scheduler = self.reducer.scheduler
        wait_ms = scheduler.next_wake_ms(now) if scheduler is not None else None
        if wait_ms is None or wait_ms >= self._tick_ms:
            return
        due_ms = now.mono_ms + wait_ms
        if self._wake_timer is not None:
            if due_ms >= self._wake_due_ms:
                return
            self._wake_timer.cancel()
        self._wake_due_ms = due_ms
        self._wake_timer = asyncio.get_running_loop().call_later(
            wait_ms / 1_000, self._on_wake_timer
        )

    def _on_wake_timer(self) -> None:
        self._wake_timer = None
        self.post(events.Wake())

    # Effects.

    def _execute(self, effect: Effect) -> None:
        match effect:
            case effects.Reply():
                if self.frontend is not None:
                    self.frontend.send_reply(effect)
            case effects.LogLine():
                fields = effect.fields
                if effect.event in CONFIG_DECISIONS:
                    fields = fields | self._config_fields()
                self._log.write(effect.event, fields)
            case effects.ForwardRequest():
                self._run_in_background(self._forward(effect))
            case effects.StoreIntake():
                self._intake.add(effect)
            case effects.StoreProgress():
                self._progress.append(effect)
            case effects.SetFollow():
                self._set_follow_mode(effect)
            case effects.Exit():
                self._exit_requested.set()
            case effects.StoreWaveState():
                self._run_in_background(self._put_wave_state(effect))
            case effects.WorkerEffect():
                self._run_in_background(self._await_call(effect, self._call_worker(effect)))
            case effects.ListMachines():
                self._run_in_background(self._list_machines())
            case effects.MoveMachine():
                self._run_in_background(
                    self._await_call(effect, self._fleet_client.move_machine(effect))
                )
            case effects.MaintainMachine():
                self._run_in_background(
                    self._await_call(effect, self._fleet_client.maintain_machine(effect))
                )
            case effects.Advise():
                self._run_in_background(
                    self._await_call(effect, self._fleet_client.request_advice(effect))
                )

    def _config_fields(self) -> dict[str, Any]:
        age_ms = self.reducer.intake.config_age.age_ms(self._clock.now())
        return {"config": self.reducer.config.version, "config_age_ms": age_ms}

    def _call_worker(self, effect: effects.WorkerEffect) -> Awaitable[Event]:
        if self._worker_client is None:
            self._worker_client = self._make_worker_client()
        match effect:
            case effects.HoldWorker():
                return self._worker_client.hold_worker(effect)
            case effects.StartRun():
                return self._worker_client.start_run(effect)
            case effects.StopRun():
                return self._worker_client.stop_run(effect)
            case effects.PaceRun():
                return self._worker_client.pace_run(effect)
        raise TypeError(f"unsupported worker effect: {type(effect).__name__}")

    def _run_in_background(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._on_background_task_done)

    def _on_background_task_done(self, task: asyncio.Task[None]) -> None:
        self._background_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.write("call_failed", {"error": repr(task.exception())})

    async def _await_call(self, effect: Effect, call: Awaitable[Event]) -> None:
        started_ms = self._clock.now().mono_ms
        try:
            event = await call
        except Exception as exc:  # noqa: BLE001 - the reducer waits for an event
            name = type(effect).__name__
            self._metrics.event_failures[name] += 1
            self._log.write("call_failed", describe_failure(name, effect, exc))
            event = FAILED_CALLS[type(effect)](effect)
        result = str(getattr(event, "result", "ok"))
        self._metrics.record_call(type(effect).__name__, result, started_ms)
        self.post(event)

    async def _forward(self, effect: effects.ForwardRequest) -> None:
        req = self.frontend.original(effect.token) if self.frontend is not None else None
        await self._await_call(effect, forward(self._peer_client, effect, req))

    async def _list_machines(self) -> None:
        sent_ms = self._clock.now().mono_ms
        try:
            machines = await self._fleet_client.list_machines()
        except Exception as exc:  # noqa: BLE001 - the reducer waits for an event
            self._log.write("call_failed", {"step": "ListMachines", "error": repr(exc)})
            machines = None
        self.post(events.MachinesListed(machines, sent_ms))

    async def _put_wave_state(self, effect: effects.StoreWaveState) -> None:
        """Store one state of a wave after those before it.

        The store would take a state that overtakes another one for written.
        """
        async with self._wave_locks.setdefault(effect.wave, asyncio.Lock()):
            while not await self._store.put_wave_state(effect):
                if self.reducer.scheduler is None:
                    return
                self._log.write("wave_state_not_stored", {"wave": effect.wave})
                await asyncio.sleep(WAVE_STATE_RETRY_MS / 1_000)

    # Readers.

    def _set_follow_mode(self, effect: effects.SetFollow) -> None:
        leading = effect.mode is FollowMode.LEADER
        self._tick_ms = LEADER_TICK_MS if leading else FOLLOWER_TICK_MS
        for topic, polling in POLLING_BY_MODE[effect.mode].items():
            reload = effect.reload and topic is Topic.PROGRESS
            self._readers[topic].set_polling(polling.pause_ms, polling.wait_ms, reload)
        self._worker_reader.set_polling(
            WORKER_READ_PAUSE_MS if leading else None, READ_WAIT_MS, reload=leading
        )
        if effect.mode is FollowMode.FOLLOWER:
            self._progress.stop()

    def _on_shared_records(self, topic: Topic, batch: Batch) -> None:
        self.post(
            events.RecordsRead(
                topic, batch.records, batch.next_offset, batch.as_of_ms, whole=batch.complete
            )
        )

    def _on_worker_records(self, batch: Batch) -> None:
        read = self._store.decode_workers(batch.records, batch.complete)
        self._rejections.note(read.rejected)
        self.post(read)

    def _on_operator_records(self, batch: Batch) -> None:
        for stored in batch.records:
            self._newest_operator_values[stored.record.key] = stored.record.value
        if batch.records:
            self._apply_operator_values()
        if batch.as_of_ms is not None and not self._config_unreadable:
            self.post(ConfigChecked(batch.as_of_ms))

    def _apply_operator_values(self) -> None:
        decoded = self._store.decode_configuration(self._newest_operator_values)
        self._config_unreadable = decoded.is_err()
        if decoded.is_err():
            self._log.write("config_unreadable", {"reason": str(decoded.err_value)})
            return
        configuration = decoded.ok_value
        if configuration.problems:
            fields = {"version": configuration.config.version, "entries": configuration.problems}
            self._log.write("config_entries_skipped", fields)
        self.post(events.ConfigRead(configuration.config, configuration.waves))

    def _on_read_failure(self, name: str, failure: Failure) -> None:
        if name in set(Topic):
            self.post(events.ReadFailed(Topic(name)))
        self._health.on_failure(name, failure)
