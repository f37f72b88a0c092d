"""Starts that the network delays for a short time, while groups of workers restart behind cuts.

A client resets the connection of a call that it gives up, so that the network delivers a start no
later than its time-out after it was sent. The next incarnation of the worker, which knows neither
the task nor a token, may be the one that gets it. For more seeds, run
`SOAK_SEEDS=100-199 python -m pytest packages/scheduler/tests/test_soak_delayed_starts.py`.
"""

import pytest
from test_soak_late_calls import RECOVERY_MS, ROUNDS, LateCallSoak, failing_seeds

# A start that its client gives up is reset after its time-out. The longer delay allows for bytes
# that had reached the worker's machine.
START_TIMEOUT_MS = 500
LONG_DELAY_MS = 1_500

# Time of one task, in milliseconds: shorter than a delay, and as long as a lease. The longest ones
# need more time to end after the repair, as some are tried one by one.
WORK_MS = (150, 1_000, 6_000)
LONG_TASKS_MS = 60_000


class DelayedStartSoak(LateCallSoak):
    """Groups of workers that restart behind a short cut, once or twice, and are cut off soon."""

    shares = ("late_order_share", "late_hold_share")
    late_calls_outlive_restarts = True
    max_delay_ms = LONG_DELAY_MS
    # Lengths of the cuts behind which workers restart.
    restart_cut_ms = (20, 1_200)

    def prepare(self) -> None:
        super().prepare()
        self.sim.late_call_ms = (10, self.max_delay_ms)
        for worker in self.sim.workers.values():
            worker.work_ms = self.rng.choice(WORK_MS)

    def check(self) -> None:
        names = [f"{number:016x}" for number in range(1, self.jobs + 1)]
        if any(self.sim.state(name, "entry-1") == "running" for name in names):
            self.sim.run(LONG_TASKS_MS)
        super().check()

    def faults(self) -> tuple:
        leaders = (self.kill_leader, self.stop_node, self.kill_giver)
        return (
            self.delay_calls,
            self.delay_calls,
            self.restart_group,
            self.restart_group,
            *leaders,
        )

    def restart_group(self) -> None:
        names = self.rng.sample(sorted(self.sim.workers), self.rng.randint(1, 4))
        times = 1 if self.rng.random() < 0.5 else 2
        for number in range(times):
            self.sim.at(
                1 + number * self.rng.randrange(100, 1_500), lambda: self.restart_all(names)
            )
        if self.rng.random() < 0.5:
            self.sim.at(self.rng.randrange(1_500, 4_000), lambda: self.cut_off(names))

    def restart_all(self, names: list[str]) -> None:
        for name in names:
            cut_ms, stale = self.rng.randrange(*self.restart_cut_ms), self.rng.random() < 0.7
            self.sim.restart_behind_cut(name, cut_ms, stale)

    def cut_off(self, names: list[str]) -> None:
        links = {(node, name) for node in self.sim.nodes for name in names}
        self.sim.cut_links |= links
        self.sim.at(
            self.rng.randrange(3_000, 12_000), lambda: self.sim.cut_links.difference_update(links)
        )


class RepeatedRestartSoak(DelayedStartSoak):
    """Bursts of delayed starts, leaders that end, and groups that restart up to three times."""

    max_delay_ms = START_TIMEOUT_MS
    restart_cut_ms = (20, 300)

    def run(self) -> None:
        for _ in range(ROUNDS):
            self.sim.late_order_share = self.rng.choice((0.2, 0.6))
            for _ in range(self.rng.randrange(1, 4)):
                self.submit()
            self.sim.run(self.rng.randrange(10, 120))
            if self.rng.random() < 0.3:
                self.rng.choice((self.stop_node, self.kill_leader))()
            names = self.rng.sample(sorted(self.sim.workers), self.rng.randint(1, 4))
            for _ in range(self.rng.randint(1, 3)):
                self.sim.run(self.rng.randrange(50, 700))
                self.restart_all(names)
            self.sim.run(self.rng.randrange(200, 2_000))
            self.sim.late_order_share = 0.0
            self.sim.run(self.rng.randrange(200, 3_000))
        self.repair_all()
        self.sim.run(RECOVERY_MS)
        self.check()


class HeldStartSoak(RepeatedRestartSoak):
    """The same with starts that are carried out after their caller has given up."""

    max_delay_ms = LONG_DELAY_MS


@pytest.mark.parametrize("soak", (DelayedStartSoak, RepeatedRestartSoak, HeldStartSoak))
def test_delayed_starts_of_restarted_workers_run_no_task_twice(soak):
    """A start reached the next incarnation of its worker and ran beside another run."""
    failures = failing_seeds(soak)
    assert not failures, "\n".join(failures)
