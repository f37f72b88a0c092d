"""The reducer: applies events to the state and returns effects, which the daemon carries out."""

from collections import deque
from collections.abc import Callable

from fescuecrank_core.clock import Instant
from fescuecrank_core.effects import Effect, SendPeer
from fescuecrank_core.events import Event, PeerMessage
from fescuecrank_core.messages import Message
from fescuecrank_core.metrics import Sample

EventHandler = Callable[[Event, Instant], list[Effect]]
MessageHandler = Callable[[str, Message, Instant], list[Effect]]


class Reducer:
    """Passes each event to the handlers of its type, in their registered order."""

    def __init__(
        self,
        name: str,
        event_handlers: dict[type[Event], tuple[EventHandler, ...]],
        message_handlers: dict[type[Message], MessageHandler],
        metrics: Callable[[Instant], list[Sample]],
        is_ready: Callable[[Instant], bool],
    ) -> None:
        self._name = name
        self._event_handlers = event_handlers
        self._message_handlers = message_handlers
        self._metrics = metrics
        self._is_ready = is_ready

    def step(self, event: Event, now: Instant) -> list[Effect]:
        """Apply one event and return the effects to carry out, in order."""
        effects = self._dispatch(event, now)
        return self._deliver_to_self(effects, now)

    def _dispatch(self, event: Event, now: Instant) -> list[Effect]:
        if isinstance(event, PeerMessage):
            on_message = self._message_handlers[type(event.message)]
            return on_message(event.sender, event.message, now)
        effects: list[Effect] = []
        for on_event in self._event_handlers[type(event)]:
            effects.extend(on_event(event, now))
        return effects

    def _deliver_to_self(self, effects: list[Effect], now: Instant) -> list[Effect]:
        """Apply messages addressed to this entry at once instead of returning them as effects."""
        outward: list[Effect] = []
        queue = deque(effects)
        while queue:
            effect = queue.popleft()
            if isinstance(effect, SendPeer) and effect.peer == self._name:
                queue.extend(self._dispatch(PeerMessage(self._name, effect.message), now))
            else:
                outward.append(effect)
        return outward

    def metrics(self, now: Instant) -> list[Sample]:
        """Return the current metric samples."""
        return self._metrics(now)

    def is_ready(self, now: Instant) -> bool:
        """Return whether the load balancer should send callers to this entry."""
        return self._is_ready(now)
