"""Passes events to the reducer one at a time and its effects to the effect runner."""

import asyncio
import time
from collections import deque
from collections.abc import Callable

from fescuecrank_core.clock import Clock, Instant
from fescuecrank_core.effects import Effect
from fescuecrank_core.events import Event, Tick
from structlog.typing import FilteringBoundLogger

from fescuecrank_daemon.metrics import DaemonMetrics

TICK_MS = 25


class Engine:
    """Steps the reducer for one event at a time, in order of arrival.

    A reducer that raises may have applied only part of a change. The engine then stops permanently
    and reports the failure: replacing the entry is safer than continuing with a broken invariant.
    """

    def __init__(
        self,
        clock: Clock,
        step: Callable[[Event, Instant], list[Effect]],
        run_effect: Callable[[Effect], None],
        on_failure: Callable[[], None],
        log: FilteringBoundLogger,
        metrics: DaemonMetrics,
    ) -> None:
        self._clock = clock
        self._step = step
        self._run_effect = run_effect
        self._on_failure = on_failure
        self._log = log
        self._metrics = metrics
        self._events: deque[Event] = deque()
        self._stepping = False
        self._stopped = False
        self._tick_task: asyncio.Task | None = None

    def start(self) -> None:
        """Start the tick timer."""
        self._tick_task = asyncio.create_task(self._post_ticks())

    def stop(self) -> None:
        """Stop the tick timer and ignore all further events."""
        self._stopped = True
        if self._tick_task is not None:
            self._tick_task.cancel()

    def post(self, event: Event) -> None:
        """Step the reducer for `event`, after the events that are already queued."""
        self._events.append(event)
        if self._stepping:
            return
        self._stepping = True
        try:
            while self._events and not self._stopped:
                self._process(self._events.popleft())
        finally:
            self._stepping = False

    def _process(self, event: Event) -> None:
        name = type(event).__name__
        started = time.perf_counter()
        try:
            effects = self._step(event, self._clock.now())
        except Exception as exc:
            self._log.error("reducer_failed", step="reducer.step", input=name, exc_info=exc)
            self.stop()
            self._on_failure()
            return
        self._metrics.observe_step(name, time.perf_counter() - started)
        for effect in effects:
            self._run_logging_errors(effect)

    def _run_logging_errors(self, effect: Effect) -> None:
        try:
            self._run_effect(effect)
        except Exception as exc:
            self._log.error("effect_failed", step=type(effect).__name__, exc_info=exc)

    async def _post_ticks(self) -> None:
        while True:
            self.post(Tick())
            await asyncio.sleep(TICK_MS / 1_000)
