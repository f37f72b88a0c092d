"""Carries out the effects of the reducer."""

import time
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from fescuecrank_core.clock import Clock
from fescuecrank_core.effects import (
    Append,
    ConnectPeer,
    ControlTask,
    ControlWorker,
    DisconnectPeer,
    Effect,
    Exit,
    ListInstances,
    Notice,
    Observe,
    PollWorker,
    QueryTask,
    ReadLog,
    Reply,
    ReplyAccepted,
    ReplyFailure,
    ReplyVerdict,
    ReplyView,
    SendPeer,
    StartTask,
)
from fescuecrank_core.events import Event, LogRead, TaskEnd, TaskReported
from fescuecrank_core.messages import Forward
from structlog.typing import FilteringBoundLogger

from fescuecrank_daemon.background_tasks import BackgroundTasks
from fescuecrank_daemon.metrics import DaemonMetrics
from fescuecrank_daemon.peers import Peers
from fescuecrank_daemon.pending_calls import PendingCalls, ReplyEffect
from fescuecrank_daemon.platform_clients import InstanceLister, LogClient, WorkerClient
from fescuecrank_daemon.tracing import Tracing

# Field names that every log line already has.
RESERVED_FIELDS = frozenset({"event", "level", "timestamp", "entry"})


@attrs.frozen
class Platform:
    """Clients of the platform's services."""

    log: LogClient
    instances: InstanceLister
    workers: WorkerClient


class EffectRunner:
    """Carries out effects; each one that awaits an answer runs in a background task."""

    def __init__(
        self,
        clock: Clock,
        platform: Platform,
        peers: Peers,
        pending_calls: PendingCalls,
        tasks: BackgroundTasks,
        tracing: Tracing,
        metrics: DaemonMetrics,
        log: FilteringBoundLogger,
        post: Callable[[Event], None],
        on_exit: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._platform = platform
        self._peers = peers
        self._pending_calls = pending_calls
        self._tasks = tasks
        self._tracing = tracing
        self._metrics = metrics
        self._log = log
        self._post = post
        self._on_exit = on_exit

    def run(self, effect: Effect) -> None:
        """Carry out one effect; raises `KeyError` if its class has no handler."""
        EFFECT_HANDLERS[type(effect)](self, effect)

    def _spawn_call(self, step: str, work: Awaitable[Event | None]) -> None:
        self._tasks.spawn(self._post_result(step, work), step)

    async def _post_result(self, step: str, work: Awaitable[Event | None]) -> None:
        started = time.perf_counter()
        event = await work
        self._metrics.observe_call(step, time.perf_counter() - started)
        if event is not None:
            self._post(event)

    def _read_log(self, effect: ReadLog) -> None:
        self._spawn_call("log.read", self._fetch_entries(effect.first))

    async def _fetch_entries(self, first: int) -> Event:
        event = await self._platform.log.read(first, self._clock.now())
        if isinstance(event, LogRead):
            self._metrics.set_log_lag(max(0, event.end - first - len(event.entries)))
        return event

    def _append(self, effect: Append) -> None:
        self._spawn_call("log.append", self._platform.log.append(effect.record))

    def _list_instances(self, _: ListInstances) -> None:
        self._spawn_call("instances.list", self._fetch_instances())

    async def _fetch_instances(self) -> Event | None:
        listed = await self._platform.instances.list_instances()
        if listed.is_ok():
            return listed.ok_value
        failure = listed.err_value
        self._log.warning(
            "instance_list_unreadable", step=failure.step, peer=failure.peer, reason=failure.detail
        )
        return None

    def _send_peer(self, effect: SendPeer) -> None:
        message = effect.message
        if isinstance(message, Forward):
            message = self._with_trace(effect.peer, message)
        self._peers.send(effect.peer, message)

    def _with_trace(self, peer: str, message: Forward) -> Forward:
        request = message.request
        span = self._tracing.start_span(
            "peer.forward", request.traceparent, peer=peer, request_id=request.key.request_id
        )
        span.end()
        traced_request = attrs.evolve(request, traceparent=span.traceparent)
        return attrs.evolve(message, request=traced_request)

    def _connect_peer(self, effect: ConnectPeer) -> None:
        self._peers.connect(effect.peer, effect.address)

    def _disconnect_peer(self, effect: DisconnectPeer) -> None:
        self._peers.disconnect(effect.peer, effect.wanted)

    def _reply(self, effect: ReplyEffect) -> None:
        self._pending_calls.resolve(effect.reply_to, effect)

    def _start_task(self, effect: StartTask) -> None:
        self._spawn_call("task.start", self._run_task(effect))

    async def _run_task(self, effect: StartTask) -> TaskReported:
        task = effect.task
        fields = {"request_id": task.key.request_id, "team": task.key.team, "peer": task.worker}
        if self._send_deadline_passed(effect):
            return TaskReported(task.task_id, task.worker, TaskEnd.NOT_SENT, detail="claim expired")
        span = self._tracing.start_span("task.start", effect.request.traceparent, **fields)
        report = await self._platform.workers.start(effect, span.traceparent)
        span.end(end=report.end.value)
        self._log.debug(
            "task_ended", step="task.start", task=task.task_id, end=report.end.value, **fields
        )
        return report

    def _send_deadline_passed(self, effect: StartTask | ControlTask | ControlWorker) -> bool:
        """Return whether the effect is too old to send: the process may have been paused."""
        return self._clock.now().mono_ms > effect.send_before_ms

    def _query_task(self, effect: QueryTask) -> None:
        self._spawn_call("task.query", self._platform.workers.query(effect))

    def _control_task(self, effect: ControlTask) -> None:
        self._spawn_call("task.control", self._send_task_action(effect))

    async def _send_task_action(self, effect: ControlTask) -> Event | None:
        return (
            None
            if self._send_deadline_passed(effect)
            else await self._platform.workers.control_task(effect)
        )

    def _poll_worker(self, effect: PollWorker) -> None:
        self._spawn_call("worker.poll", self._platform.workers.poll(effect))

    def _control_worker(self, effect: ControlWorker) -> None:
        self._spawn_call("worker.control", self._send_worker_action(effect))

    async def _send_worker_action(self, effect: ControlWorker) -> Event | None:
        if self._send_deadline_passed(effect):
            return None
        return await self._platform.workers.control_worker(effect)

    def _log_notice(self, effect: Notice) -> None:
        fields: dict[str, Any] = {
            f"{name}_" if name in RESERVED_FIELDS else name: value
            for name, value in effect.fields.items()
        }
        self._log.info(effect.name, **fields)

    def _observe(self, effect: Observe) -> None:
        self._metrics.observe(effect.name, effect.seconds, effect.labels)

    def _exit(self, _: Exit) -> None:
        self._on_exit()


EFFECT_HANDLERS: dict[type[Effect], Callable[[EffectRunner, Any], None]] = {
    ReadLog: EffectRunner._read_log,
    Append: EffectRunner._append,
    ListInstances: EffectRunner._list_instances,
    SendPeer: EffectRunner._send_peer,
    ConnectPeer: EffectRunner._connect_peer,
    DisconnectPeer: EffectRunner._disconnect_peer,
    Reply: EffectRunner._reply,
    ReplyFailure: EffectRunner._reply,
    ReplyAccepted: EffectRunner._reply,
    ReplyView: EffectRunner._reply,
    ReplyVerdict: EffectRunner._reply,
    StartTask: EffectRunner._start_task,
    QueryTask: EffectRunner._query_task,
    ControlTask: EffectRunner._control_task,
    PollWorker: EffectRunner._poll_worker,
    ControlWorker: EffectRunner._control_worker,
    Notice: EffectRunner._log_notice,
    Observe: EffectRunner._observe,
    Exit: EffectRunner._exit,
}
