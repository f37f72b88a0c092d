"""Random groups of workers that restart under their ids and are cut off soon after.

Calls that are sent meanwhile are answered by the later incarnation if their caller still waits;
those of callers that have given up are discarded. Many tasks last longer than a lease, and most
leaders resign. The simulation fails when a task runs on two workers at a time. For more seeds, run
`SOAK_SEEDS=100-160 python -m pytest packages/scheduler/tests/test_soak_restarted_groups.py`.
"""

from functools import partial

import pytest
from faulty_fleet import HOLD_SLACK_MS, ORDER_TIMEOUT_MS, UNSENT, FaultySimulation
from fescuecrank_scheduler import effects
from fescuecrank_scheduler.events import CallResult, ShutDown
from fleet_simulation import LATENCY_MS, Node
from scheduler_builders import job, step
from test_soak import Soak
from test_soak_late_calls import failing_seeds

ROUNDS = 3

# Seeds that fail on 6ea312c.
REGRESSIONS = (19, 82)

# The host of a caller sends a first packet again this long after it was sent before.
RESEND_MS = (20, 80, 200, 600, 1_000)

# Times for which the workers of a group are dark, answer afterwards, and are cut off then.
DARK_MS = (50, 1_000)
ANSWERING_MS = (0, 3_000)
CUT_MS = (3_000, 12_000)

# A run that goes on beside another one shows when it starts, so the last cut has to end.
SETTLE_MS = 3_000


class DarkCallSimulation(FaultySimulation):
    """A fleet whose calls reach a worker that is back while their callers still wait.

    That may be its next incarnation. Some calls are under way for long, and some answers are lost.
    """

    def __init__(self, *args: object, **kwargs: object) -> None:
        self.lost_answer_share = 0.0
        self.held_call_share = 0.0
        super().__init__(*args, **kwargs)

    def _call(self, node: Node, effect: effects.WorkerEffect) -> None:
        timeout_ms = self._timeout_ms(effect)
        if self._happens(self.held_call_share):
            self.fault_counts[f"held_{type(effect).__name__}"] += 1
            held_ms = self.rng.randrange(LATENCY_MS, timeout_ms)
            self._note("hold back", node.name, effect, held_ms)
            self.at(held_ms, lambda: self._arrive(node, effect, timeout_ms - held_ms))
        elif self._answers(node, effect):
            super()._call(node, effect)
        else:
            self._note("send into the dark", node.name, effect, "")
            self.at(RESEND_MS[0], lambda: self._send_again(node, effect, timeout_ms, 0))

    def _arrive(self, node: Node, effect: effects.WorkerEffect, left_ms: int) -> None:
        """Deliver a call late, unless its caller has ended; it waits for `left_ms` from now."""
        if not node.alive:
            return
        answers = self._answers(node, effect)
        if answers:
            super()._call(node, effect)
        if not answers or isinstance(effect, effects.HoldWorker):
            # A hold that has been answered by then is not open any more.
            time_ms = max(1, left_ms)
            self.at(time_ms, lambda: self._answer(node, effect, CallResult.NO_ANSWER))

    def _answers(self, node: Node, effect: effects.WorkerEffect) -> bool:
        worker = self.workers[effect.worker]
        return worker.alive and worker.reachable and (node.name, worker.id) not in self.cut_links

    @staticmethod
    def _timeout_ms(effect: effects.WorkerEffect) -> int:
        hold = isinstance(effect, effects.HoldWorker)
        return effect.wait_ms + HOLD_SLACK_MS if hold else ORDER_TIMEOUT_MS

    def _send_again(
        self, node: Node, effect: effects.WorkerEffect, left_ms: int, count: int
    ) -> None:
        """Deliver a call that was sent into the dark, or keep its packet for the next time."""
        left_ms -= RESEND_MS[count]
        if self._answers(node, effect):
            self.fault_counts[f"{type(effect).__name__}_after_darkness"] += 1
            self._arrive(node, effect, left_ms)
        elif count + 1 < len(RESEND_MS) and RESEND_MS[count + 1] < left_ms:
            next_ms = RESEND_MS[count + 1]
            self.at(next_ms, lambda: self._send_again(node, effect, left_ms, count + 1))
        else:
            self.at(max(1, left_ms), lambda: self._answer(node, effect, CallResult.NO_ANSWER))

    def _answer(
        self,
        node: Node,
        effect: effects.WorkerEffect,
        answer: object,
        clock_ms: int | None = None,
    ) -> None:
        answered = not isinstance(answer, CallResult) or answer not in UNSENT
        if answered and self._happens(self.lost_answer_share):
            self.fault_counts["lost_answer"] += 1
            self._note("lose answer", node.name, effect, answer)
            lose = super()._answer
            self.at(self._timeout_ms(effect), lambda: lose(node, effect, CallResult.NO_ANSWER))
            return
        super()._answer(node, effect, answer, clock_ms)


class RestartedGroupSoak(Soak):
    """Groups of workers that restart behind a short darkness, beside changes of the leader."""

    workers = 6
    simulation = DarkCallSimulation

    def run(self) -> None:
        for _ in range(ROUNDS):
            self.submit_long()
            self.sim.run(self.rng.randrange(200, 3_000))
            if self.rng.random() < 0.4:
                self.sim.lost_answer_share = self.rng.choice((0.05, 0.3))
                self.after_random_delay(lambda: setattr(self.sim, "lost_answer_share", 0.0))
            if self.rng.random() < 0.3:
                self.sim.slow_answer_share = self.rng.choice((0.1, 0.4))
                self.after_random_delay(lambda: setattr(self.sim, "slow_answer_share", 0.0))
            if self.rng.random() < 0.4:
                self.sim.held_call_share = self.rng.choice((0.1, 0.4))
                self.after_random_delay(lambda: setattr(self.sim, "held_call_share", 0.0))
            duration_ms = self.restart_group()
            self.change_leaders(duration_ms)
            for _ in range(self.rng.randrange(4)):
                self.sim.at(self.rng.randrange(1, duration_ms), self.submit_long)
            self.sim.run(duration_ms + self.rng.randrange(SETTLE_MS))
        self.sim.run(SETTLE_MS)

    def submit_long(self) -> None:
        """Submit a job; runs that start from now on take other times."""
        for worker in self.sim.workers.values():
            worker.work_ms = self.rng.randrange(1_000, 25_000)
        self.jobs += 1
        self.sim.submit(job(f"{self.jobs:016x}", step(self.rng.randint(1, 6), estimate_ms=15_000)))

    def restart_group(self) -> int:
        """Restart some workers and cut them off; return after how long the cut ends, in ms."""
        group = self.rng.sample(sorted(self.sim.workers), self.rng.randint(2, 4))
        announced = self.rng.random() < 0.5
        time_ms = 0
        for _ in range(self.rng.choice((1, 1, 1, 2, 3))):
            dark_ms = self.rng.randrange(*DARK_MS)
            visible = self.rng.random() < 0.3
            for name in group:
                self.sim.at(
                    time_ms + self.rng.randrange(1, 30),
                    partial(self.restart_dark, name, dark_ms, announced, visible),
                )
            # Its starts are sent into the darkness, or to workers that have just come back.
            for _ in range(self.rng.randrange(3)):
                self.sim.at(time_ms + self.rng.randrange(dark_ms + 400), self.submit_long)
            time_ms += dark_ms + self.rng.randrange(*ANSWERING_MS)
        cut_ms = self.rng.randrange(*CUT_MS)
        cut = self.rng.choice((self.cut_off, self.cut_off, self.cut_links))
        self.sim.at(time_ms, lambda: cut(group, cut_ms))
        return time_ms + cut_ms

    def restart_dark(self, name: str, dark_ms: int, announced: bool, visible: bool) -> None:
        """Restart a worker whose connections are reset if its end is visible."""
        if visible:
            self.sim.restart_worker(name, dark_ms, announced)
        else:
            self.sim.restart_behind_cut(name, dark_ms, entry_is_stale=not announced)

    def cut_off(self, group: list[str], cut_ms: int) -> None:
        """Cut workers off from all processes and from the store."""
        for name in group:
            worker = self.sim.workers[name]
            worker.reachable = False
            self.sim.stale_entries.setdefault(name, self.sim.workers[name].born_ms)
            self.sim.at(cut_ms, lambda worker=worker: self.reach(worker))

    def reach(self, worker) -> None:
        worker.reachable = True
        self.sim.stale_entries.pop(worker.id, None)

    def cut_links(self, group: list[str], cut_ms: int) -> None:
        """Cut workers off from all processes but one, which may be the leader."""
        nodes = sorted(self.sim.nodes)
        nodes.remove(self.rng.choice(nodes))
        links = {(node, name) for node in nodes for name in group}
        self.sim.cut_links |= links
        self.sim.at(cut_ms, lambda: self.sim.cut_links.difference_update(links))

    def change_leaders(self, duration_ms: int) -> None:
        """Interrupt leaders, most of them by resignations, of which two may come within seconds."""
        time_ms = self.rng.randrange(1, min(duration_ms, 5_000))
        for _ in range(self.rng.choice((0, 1, 1, 2, 2, 3))):
            resigns = self.rng.random() < 0.7
            others = (self.kill_leader, self.freeze_node, self.partition_from_store)
            self.sim.at(time_ms, self.stop_node if resigns else self.rng.choice(others))
            time_ms += self.rng.randrange(200, 5_000)

    def stop_node(self) -> None:
        """Stop the leader by a signal; the process is back soon after."""
        node = self.sim.leader()
        if node is None:
            return
        self.sim.post(node, ShutDown())
        self.sim.at(2_500, lambda: self.sim.kill(node.name))
        self.sim.at(2_600, lambda: self.restart(node.name))


def test_random_restarts_of_groups():
    failures = failing_seeds(RestartedGroupSoak, "0-5")
    assert not failures, "\n".join(failures)


@pytest.mark.parametrize("seed", REGRESSIONS)
def test_restarts_after_which_a_lease_was_expected_too_short(seed):
    RestartedGroupSoak(seed).run()
