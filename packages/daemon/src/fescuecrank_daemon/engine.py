"""The loop that feeds events to the reducer and passes on its effects."""

import asyncio
import time
from collections import deque
from collections.abc import Callable

from fescuecrank_core.clock import Clock, Instant
from fescuecrank_core.effects import Effect
from fescuecrank_core.events import Event, Tick
from structlog.typing import FilteringBoundLogger

from fescuecrank_daemon.metrics import ShellMetrics

TICK_MS = 25


class Engine:
    """Steps the reducer for one event at a time, in order of arrival.

    A reducer that raises may hold half a change, so the engine stops for good and reports it; the
    entry is replaced, which is safer than going on with a broken invariant.
    """

    def __init__(
        self,
        clock: Clock,
        step: Callable[[Event, Instant], list[Effect]],
        run_effect: Callable[[Effect], None],
        broken: Callable[[], None],
        log: FilteringBoundLogger,
        metrics: ShellMetrics,
    ) -> None:
        self._clock = clock
        self._step = step
        self._run_effect = run_effect
        self._broken = broken
        self._log = log
        self._metrics = metrics
        self._events: deque[Event] = deque()
        self._stepping = False
        self._stopped = False
        self._ticker: asyncio.Task | None = None

    def start(self) -> None:
        """Send ticks from now on."""
        self._ticker = asyncio.create_task(self._tick())

    def stop(self) -> None:
        """Ignore all further events."""
        self._stopped = True
        if self._ticker is not None:
            self._ticker.cancel()

    def post(self, event: Event) -> None:
        """Step the reducer for `event`, after those that are already waiting."""
        self._events.append(event)
        if self._stepping:
            return
        self._stepping = True
        try:
            while self._events and not self._stopped:
                self._handle(self._events.popleft())
        finally:
            self._stepping = False

    def _handle(self, event: Event) -> None:
        name = type(event).__name__
        started = time.perf_counter()
        try:
            effects = self._step(event, self._clock.now())
        except Exception as exc:
            self._log.error("reducer_failed", step="reducer.step", input=name, exc_info=exc)
            self.stop()
            self._broken()
            return
        self._metrics.decided(name, time.perf_counter() - started)
        for effect in effects:
            self._run(effect)

    def _run(self, effect: Effect) -> None:
        try:
            self._run_effect(effect)
        except Exception as exc:
            self._log.error("effect_failed", step=type(effect).__name__, exc_info=exc)

    async def _tick(self) -> None:
        while True:
            self.post(Tick())
            await asyncio.sleep(TICK_MS / 1_000)
