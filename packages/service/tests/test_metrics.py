"""Figures on the metrics address."""

from fescuecrank_scheduler.crashing_kinds import Kind
from fescuecrank_scheduler.records import KindRecord
from fescuecrank_service.metrics import gauges
from fleet_simulation import Simulation


def test_suspected_kinds_are_shown_with_their_crashes():
    """Operators must see that the jobs of a queue are tried one by one."""
    sim = Simulation(nodes=1, workers=1)
    sim.run(2_000)
    reducer = sim.leader().reducer
    kinds = reducer.scheduler.runs.crashes.kinds.kinds
    assert gauges(reducer, sim.now)["suspected_kinds"][1] == []
    kinds["checks"] = Kind(KindRecord("checks", "checks", 1, 1, 3))
    assert gauges(reducer, sim.now)["suspected_kinds"][1] == [({"kind": "checks"}, 3)]
