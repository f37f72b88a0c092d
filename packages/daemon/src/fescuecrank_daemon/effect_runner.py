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

from fescuecrank_daemon.exchange import Exchange, ReplyEffect
from fescuecrank_daemon.metrics import ShellMetrics
from fescuecrank_daemon.peers import Peers
from fescuecrank_daemon.platform_clients import InstanceLister, LogClient, WorkerClient
from fescuecrank_daemon.tasks import BackgroundTasks
from fescuecrank_daemon.tracing import Tracing

# Names that the log line itself uses.
RESERVED_FIELDS = frozenset({"event", "level", "timestamp", "entry"})


@attrs.frozen
class Platform:
    """Adapters to the platform's services."""

    log: LogClient
    instances: InstanceLister
    workers: WorkerClient


class EffectRunner:
    """Starts one background task for each effect that waits for an answer."""

    def __init__(
        self,
        clock: Clock,
        platform: Platform,
        peers: Peers,
        exchange: Exchange,
        tasks: BackgroundTasks,
        tracing: Tracing,
        metrics: ShellMetrics,
        log: FilteringBoundLogger,
        post: Callable[[Event], None],
        exited: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._platform = platform
        self._peers = peers
        self._exchange = exchange
        self._tasks = tasks
        self._tracing = tracing
        self._metrics = metrics
        self._log = log
        self._post = post
        self._exited = exited

    def run(self, effect: Effect) -> None:
        """Carry out one effect; `KeyError` if its class has no method."""
        EFFECT_METHODS[type(effect)](self, effect)

    def _call(self, step: str, work: Awaitable[Event | None]) -> None:
        self._tasks.spawn(self._post_result(step, work), step)

    async def _post_result(self, step: str, work: Awaitable[Event | None]) -> None:
        started = time.perf_counter()
        event = await work
        self._metrics.called(step, time.perf_counter() - started)
        if event is not None:
            self._post(event)

    def _read_log(self, effect: ReadLog) -> None:
        self._call("log.read", self._read(effect.first))

    async def _read(self, first: int) -> Event:
        event = await self._platform.log.read(first, self._clock.now())
        if isinstance(event, LogRead):
            self._metrics.log_lag(max(0, event.end - first - len(event.entries)))
        return event

    def _append(self, effect: Append) -> None:
        self._call("log.append", self._platform.log.append(effect.record))

    def _list_instances(self, _: ListInstances) -> None:
        self._call("instances.list", self._list())

    async def _list(self) -> Event | None:
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
            message = self._traced_forward(effect.peer, message)
        self._peers.send(effect.peer, message)

    def _traced_forward(self, peer: str, message: Forward) -> Forward:
        request = message.request
        hop = self._tracing.start(
            "peer.forward", request.traceparent, peer=peer, request_id=request.key.request_id
        )
        hop.end()
        traced = attrs.evolve(request, traceparent=hop.traceparent)
        return attrs.evolve(message, request=traced)

    def _connect_peer(self, effect: ConnectPeer) -> None:
        self._peers.connect(effect.peer, effect.address)

    def _disconnect_peer(self, effect: DisconnectPeer) -> None:
        self._peers.disconnect(effect.peer, effect.wanted)

    def _reply(self, effect: ReplyEffect) -> None:
        self._exchange.resolve(effect.reply_to, effect)

    def _start_task(self, effect: StartTask) -> None:
        self._call("task.start", self._start(effect))

    async def _start(self, effect: StartTask) -> TaskReported:
        task = effect.task
        fields = {"request_id": task.key.request_id, "team": task.key.team, "peer": task.worker}
        if self._is_too_late(effect):
            return TaskReported(task.task_id, task.worker, TaskEnd.NOT_SENT, detail="claim expired")
        hop = self._tracing.start("task.start", effect.request.traceparent, **fields)
        report = await self._platform.workers.start(effect, hop.traceparent)
        hop.end(end=report.end.value)
        self._log.debug(
            "task_ended", step="task.start", task=task.task_id, end=report.end.value, **fields
        )
        return report

    def _is_too_late(self, effect: StartTask | ControlTask | ControlWorker) -> bool:
        """Return whether this process was paused between the decision and the call."""
        return self._clock.now().mono_ms > effect.send_before_ms

    def _query_task(self, effect: QueryTask) -> None:
        self._call("task.query", self._platform.workers.query(effect))

    def _control_task(self, effect: ControlTask) -> None:
        self._call("task.control", self._control_one_task(effect))

    async def _control_one_task(self, effect: ControlTask) -> Event | None:
        return (
            None if self._is_too_late(effect) else await self._platform.workers.control_task(effect)
        )

    def _poll_worker(self, effect: PollWorker) -> None:
        self._call("worker.poll", self._platform.workers.poll(effect))

    def _control_worker(self, effect: ControlWorker) -> None:
        self._call("worker.control", self._control_one_worker(effect))

    async def _control_one_worker(self, effect: ControlWorker) -> Event | None:
        if self._is_too_late(effect):
            return None
        return await self._platform.workers.control_worker(effect)

    def _notice(self, effect: Notice) -> None:
        fields: dict[str, Any] = {
            f"{name}_" if name in RESERVED_FIELDS else name: value
            for name, value in effect.fields.items()
        }
        self._log.info(effect.name, **fields)

    def _observe(self, effect: Observe) -> None:
        self._metrics.observed(effect.name, effect.seconds, effect.labels)

    def _exit(self, _: Exit) -> None:
        self._exited()


EFFECT_METHODS: dict[type[Effect], Callable[[EffectRunner, Any], None]] = {
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
    Notice: EffectRunner._notice,
    Observe: EffectRunner._observe,
    Exit: EffectRunner._exit,
}
