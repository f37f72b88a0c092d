"""Leases on restarted workers by calls that were under way, or repeated, when a leader ended.

A call with a deadline by an earlier clock grants a later incarnation the longest lease, counted
from its arrival. The simulation fails as soon as a task runs on two workers.
"""

from collections.abc import Callable

from fake_worker import FakeWorker
from faulty_fleet import HOLD_SLACK_MS, FaultySimulation
from fescuecrank_scheduler.effects import HoldWorker, StartRun, StoreProgress
from fescuecrank_scheduler.events import CallResult
from fescuecrank_scheduler.jobs import TaskId
from fescuecrank_scheduler.limits import Limits
from fescuecrank_scheduler.record_decoding import decode
from fescuecrank_scheduler.records import LEASES_KEY
from leader_builders import BORN_MS, STEP_MS, LeaderDriver, make_driver
from scheduler_builders import job, step
from test_repeated_starts import FIRST_JOB, JOB

LONG_MS = 30_000
LIMITS = Limits()


class StartHookSimulation(FaultySimulation):
    """A fleet in which something happens to a worker as a start arrives there."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        self.at_next_start: Callable[[FakeWorker], None] | None = None
        # Time for which further starts are under way, and whether holds are lost.
        self.held_starts_ms = 0
        self.holds_are_lost = False
        super().__init__(*args, **kwargs)

    def _call(self, node, effect) -> None:
        if isinstance(effect, HoldWorker) and self.holds_are_lost:
            self._time_out(node, effect)
        else:
            super()._call(node, effect)

    def _call_start(self, node, effect) -> None:
        action, self.at_next_start = self.at_next_start, None
        if action is not None:
            action(self.workers[effect.worker])
            super()._call_start(node, effect)
        elif self.held_starts_ms:
            self.at(self.held_starts_ms, lambda: self._reply(node, effect))
        else:
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


def test_no_task_runs_twice_when_a_start_is_under_way_as_a_restart_is_noticed():
    """One leader throughout: the second start arrives 400 ms after the restart was noticed."""
    sim = start_up_hooked(2)
    for worker in sim.workers.values():
        worker.work_ms = LONG_MS
    worker, other = sim.workers["worker-1"], sim.workers["worker-2"]
    other.reachable = False
    sim.run(2_500)
    sim.at_next_start, sim.held_starts_ms = sim.restart_at_once, 400
    sim.submit(job(JOB, step(2, estimate_ms=LONG_MS)))
    while not sim.logged("worker_clock_behind"):
        sim.run(1)
    sim.holds_are_lost = True
    sim.run(420)
    assert worker.incarnation == 2
    assert len(worker.runs) == 2
    worker.reachable, sim.holds_are_lost = False, False
    other.reachable, sim.held_starts_ms = True, 0
    sim.run(16_000)
    assert sum(len(rows) for task, rows in sim.starts().items() if task.job == JOB) == 4


def driver_with_two_starts() -> tuple[LeaderDriver, StartRun, StartRun]:
    """Return a leader with two starts under way to one worker, and their tasks."""
    driver = make_driver(workers=1)
    driver.submit(job(JOB, step(2)))
    driver.advance(100)
    first, second = (driver.starts(TaskId(JOB, 0, 0, index))[-1] for index in (0, 1))
    return driver, first, second


def test_start_under_way_when_a_restart_is_noticed_extends_the_lease():
    """The answer to another start shows the restart; the second one is carried out later.

    The hold that would have it refused is lost. The leader counted the longest lease from when it
    noticed the restart.
    """
    driver, first, second = driver_with_two_starts()
    driver.advance(STEP_MS)
    driver.answer_start(first, CallResult.OK, clock_ms=0)
    assert driver.logged("worker_clock_behind")
    driver.advance(400)
    driver.answer_start(second, CallResult.OK, clock_ms=400)
    arrived_ms = driver.now_ms
    driver.answer_hold("worker-1", result=CallResult.NO_ANSWER)
    driver.advance(LIMITS.longest_lease_ms - (driver.now_ms - arrived_ms))
    assert second.task in driver.state.workers["worker-1"].runs
    driver.advance(4_000)
    assert second.task not in driver.state.workers["worker-1"].runs


def test_hold_under_way_when_a_restart_is_noticed_extends_the_lease():
    """It was sent to the earlier incarnation and waits for longer than a start.

    The lease is stated for the next leader as well.
    """
    driver = make_driver(workers=1)
    driver.submit(job(JOB, step(2)))
    driver.advance(100)
    first, second = (driver.starts(TaskId(JOB, 0, 0, index))[-1] for index in (0, 1))
    driver.answer_start(first, CallResult.OK, clock_ms=driver.now_ms)
    driver.answer_hold("worker-1")
    driver.advance(100)
    hold = driver.hold("worker-1")
    assert hold.deadline_ms is not None
    assert hold.wait_ms == LIMITS.hold_wait_ms
    sent_ms = driver.now_ms
    driver.answer_start(second, CallResult.OK, clock_ms=0)
    assert driver.logged("worker_clock_behind")
    worker = driver.state.workers["worker-1"]
    arrival_ms = sent_ms + LIMITS.hold_wait_ms + HOLD_SLACK_MS
    expected_ms = arrival_ms + LIMITS.longest_lease_ms
    assert expected_ms - 100 <= worker.last_lease_ms(LIMITS) <= expected_ms
    driver.advance(LIMITS.renew_interval_ms + 20)
    appended = [record for append in driver.calls(StoreProgress) for record in append.records]
    stated = [decode(record) for record in appended if record.key == LEASES_KEY][-1]
    assert stated.remaining_ms["worker-1"] >= expected_ms - 100 - driver.now_ms
    # The hold with a higher token is lost.
    driver.answer_hold("worker-1", result=CallResult.NO_ANSWER)
    driver.advance(expected_ms - 200 - driver.now_ms)
    assert second.task in worker.runs


def test_answer_with_the_newest_token_shows_that_earlier_calls_are_refused():
    """The longest lease counts from that answer then, and not from the last earlier call."""
    driver, first, second = driver_with_two_starts()
    driver.advance(STEP_MS)
    driver.answer_start(first, CallResult.OK, clock_ms=0)
    driver.answer_start(second, CallResult.OK, clock_ms=0)
    driver.advance(STEP_MS)
    driver.answer_hold("worker-1", born_ms=BORN_MS + 1, clock_ms=10)
    restarted_ms = driver.now_ms
    driver.advance(STEP_MS)
    driver.answer_hold("worker-1", born_ms=BORN_MS + 1, clock_ms=20)
    worker = driver.state.workers["worker-1"]
    assert worker.last_lease_ms(LIMITS) <= restarted_ms + STEP_MS + LIMITS.longest_lease_ms


def test_hold_under_way_extends_the_lease_of_a_start_without_an_answer():
    """An unknown incarnation may have carried the start out, and get the hold up to 2.2 s later.

    The longest lease was counted from the time that a start may take.
    """
    driver, first, second = driver_with_two_starts()
    driver.answer_start(first, CallResult.OK, clock_ms=driver.now_ms)
    driver.answer_hold("worker-1")
    driver.advance(100)
    hold = driver.hold("worker-1")
    assert hold.deadline_ms is not None
    assert hold.wait_ms == LIMITS.hold_wait_ms
    sent_ms = driver.now_ms
    driver.answer_start(second, CallResult.NO_ANSWER)
    worker = driver.state.workers["worker-1"]
    arrival_ms = sent_ms + LIMITS.hold_wait_ms + HOLD_SLACK_MS
    assert worker.last_lease_ms(LIMITS) >= arrival_ms - 100 + LIMITS.longest_lease_ms
