"""Stand-in for the platform's instance list, which shows the past."""

import time

import attrs
from fescuecrank_core.events import Instance, InstanceState

from fescuecrank_standin.server import StandIn, StandInHandler


@attrs.frozen
class _View:
    wall_ms: int
    instances: tuple[Instance, ...]


class InstanceListStandIn(StandIn):
    """Shows the instances as they were `lag_ms` ago."""

    def __init__(self, lag_ms: int = 0) -> None:
        super().__init__()
        self.lag_ms = lag_ms
        self.down = False
        self._views = [_View(0, ())]

    def routes(self) -> list[tuple]:
        """Return the routes for tornado."""
        return [(r"/instances", _ListHandler, {"instances": self})]

    def replace(self, instances: tuple[Instance, ...]) -> None:
        """Set the whole list."""
        self._views.append(_View(_wall_ms(), instances))

    def set_state(self, name: str, state: InstanceState) -> None:
        """Change the state of one instance."""
        self.replace(
            tuple(
                attrs.evolve(item, state=state) if item.name == name else item
                for item in self._views[-1].instances
            )
        )

    def shown(self) -> _View:
        """Return the newest view that is at least `lag_ms` old, and forget older ones."""
        limit_ms = _wall_ms() - self.lag_ms
        while len(self._views) > 1 and self._views[1].wall_ms <= limit_ms:
            del self._views[0]
        return _View(limit_ms, self._views[0].instances)


class _ListHandler(StandInHandler):
    def initialize(self, instances: InstanceListStandIn) -> None:
        self.instances = instances

    def get(self) -> None:
        if self.instances.down:
            self.drop_connection()
            return
        view = self.instances.shown()
        items = [attrs.asdict(item) for item in view.instances]
        # tornado adds an ETag of the body and answers 304 if the caller has it.
        self.set_header("As-Of-Wall-Ms", str(view.wall_ms))
        self.send_json(200, {"instances": items})


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000
