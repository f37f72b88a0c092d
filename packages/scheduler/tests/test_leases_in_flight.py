"""Leases on restarted workers by calls that were under way, or repeated, when a leader ended.

A call with a deadline by an earlier clock grants a later incarnation the longest lease, counted
from its arrival. The simulation fails as soon as a task runs on two workers.
"""

from collections.abc import Callable

from fake_worker import FakeWorker
from faulty_fleet import FaultySimulation
from scheduler_builders import job, step
from test_repeated_starts import FIRST_JOB, JOB

LONG_MS = 30_000


class StartHookSimulation(FaultySimulation):
    """A fleet in which something happens to a worker as a start arrives there."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        self.at_next_start: Callable[[FakeWorker], None] | None = None
        super().__init__(*args, **kwargs)

    def _call_start(self, node, effect) -> None:
        action, self.at_next_start = self.at_next_start, None
        if action is not None:
            action(self.workers[effect.worker])
        super()._call_start(node, effect)

    def restart_at_once(self, worker: FakeWorker) -> None:
        """Restart a worker unnoticed: its entry is not read before it is cut off."""
        self.stale_entries[worker.id] = worker.born_ms
        worker.crash(self.now_ms)
        worker.restart(self.now_ms)


def refuse(worker: FakeWorker) -> None:
    worker.refusing = True


def start_up_hooked(workers: int) -> StartHookSimulation:
    sim = StartHookSimulation(workers=workers)
    sim.run(2_000)
    sim.submit(job(FIRST_JOB, step(4 * workers, anti_affinity=4)))
    sim.run(3_000)
    return sim


def test_successor_waits_for_the_repetition_of_a_start_that_was_refused():
    """The start was refused before the last renewal, and repeated to the next incarnation after it.

    The successor took the run for one that is confirmed, and the usual lease for its longest.
    """
    sim = start_up_hooked(2)
    for worker in sim.workers.values():
        worker.work_ms = LONG_MS
    sim.at_next_start = refuse
    sim.submit(job(JOB, step(1, estimate_ms=LONG_MS)))
    sim.run(700)
    (worker,) = [worker for worker in sim.workers.values() if worker.refusing]
    first = sim.leader()
    first.store_reachable = False
    sim.cut_links |= {(name, worker.id) for name in sim.nodes if name != first.name}
    sim.run(1_900)
    worker.refusing, sim.at_next_start = False, sim.restart_at_once
    sim.run(800)
    assert worker.incarnation == 2
    assert worker.runs
    sim.kill(first.name)
    worker.reachable = False
    sim.run(18_000)
    assert sum(len(rows) for task, rows in sim.starts().items() if task.job == JOB) == 2
