"""Stand-in for the platform's instance list, which lags behind the real state."""

import time

import attrs
from fescuecrank_core.events import Instance, InstanceState

from fescuecrank_standin.server import StandIn, StandInHandler


@attrs.frozen
class _Snapshot:
    """The whole list as of one wall-clock time."""

    wall_ms: int
    instances: tuple[Instance, ...]


class InstanceListStandIn(StandIn):
    """Serves the list as it was `lag_ms` ago."""

    def __init__(self, lag_ms: int = 0) -> None:
        super().__init__()
        self.lag_ms = lag_ms
        self.down = False
        self._history = [_Snapshot(0, ())]

    def routes(self) -> list[tuple]:
        """Return the routes for tornado."""
        return [(r"/instances", _ListHandler, {"instances": self})]

    def replace(self, instances: tuple[Instance, ...]) -> None:
        """Replace the whole list; the change is visible after `lag_ms`."""
        self._history.append(_Snapshot(_wall_ms(), instances))

    def set_state(self, name: str, state: InstanceState) -> None:
        """Change the state of one instance."""
        self.replace(
            tuple(
                attrs.evolve(item, state=state) if item.name == name else item
                for item in self._history[-1].instances
            )
        )

    def visible(self) -> _Snapshot:
        """Return the list as of `lag_ms` ago, and drop the snapshots that were replaced by then."""
        limit_ms = _wall_ms() - self.lag_ms
        while len(self._history) > 1 and self._history[1].wall_ms <= limit_ms:
            del self._history[0]
        return _Snapshot(limit_ms, self._history[0].instances)


class _ListHandler(StandInHandler):
    def initialize(self, instances: InstanceListStandIn) -> None:
        self.instances = instances

    def get(self) -> None:
        if self.instances.down:
            self.drop_connection()
            return
        snapshot = self.instances.visible()
        items = [attrs.asdict(item) for item in snapshot.instances]
        # tornado adds an ETag of the body and answers 304 if it matches If-None-Match.
        self.set_header("As-Of-Wall-Ms", str(snapshot.wall_ms))
        self.send_json(200, {"instances": items})


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000
