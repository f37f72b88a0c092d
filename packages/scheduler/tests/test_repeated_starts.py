"""Starts that got no answer, and what has changed when they could be repeated."""

import attrs
from fleet_simulation import Simulation
from scheduler_builders import job, step


def test_unanswered_start_is_not_repeated_on_a_worker_that_drains():
    """A worker that was cut off may have said meanwhile that it leaves."""
    sim = Simulation(nodes=2, workers=1)
    sim.run(2_000)
    worker = sim.workers["worker-1"]
    sim.submit(job("a" * 16, step(1)))
    while not sim.calls["StartRun", "worker-1"]:
        worker.reachable = not sim.leader().reducer.table.jobs
        sim.run(1)
    assert not worker.started
    sim.worker_entries["worker-1"] = attrs.evolve(sim.worker_entries["worker-1"], ready=False)
    sim.run(1_000)
    worker.reachable = True
    sim.run(4_000)
    assert not worker.started
