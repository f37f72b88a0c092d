"""What a leader's renewal states, compared with the leases that calls after it may still grant.

To a worker that has restarted, a deadline by its earlier clock is the longest lease, counted from
the arrival of the call. The next leader knows only what was stored.
"""

from faulty_fleet import FaultySimulation
from fescuecrank_scheduler.effects import HoldWorker, StoreProgress
from fescuecrank_scheduler.events import CallResult
from fescuecrank_scheduler.job_table import JobTable
from fescuecrank_scheduler.jobs import Phase, TaskId
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.leadership import EPOCH_STEP
from fescuecrank_scheduler.limits import Limits
from fescuecrank_scheduler.record_decoding import decode
from fescuecrank_scheduler.records import (
    LEASES_KEY,
    Leadership,
    StoredRecord,
    encode_job,
    encode_long_leases,
    encode_progress,
)
from fescuecrank_scheduler.scheduler import Scheduler
from leader_builders import JOB, STEP_MS, TASK, LeaderDriver, make_driver
from scheduler_builders import config, instant, job, step
from test_repeated_starts import FIRST_JOB

LIMITS = Limits()
LONG_MS = 30_000
LATER_JOB = "00000000000000bb"

# How long the last hold is under way, a little less than its caller waits.
HOLD_DELAY_MS = LIMITS.hold_wait_ms + LIMITS.hold_slack_ms - 50


def stated_leases(driver: LeaderDriver) -> dict[str, int]:
    """Return the remaining times in the latest record of long leases."""
    appended = [record for append in driver.calls(StoreProgress) for record in append.records]
    return [decode(record) for record in appended if record.key == LEASES_KEY][-1].remaining_ms


def test_renewal_allows_for_a_hold_that_is_sent_last_and_arrives_late():
    """The store is cut off after the renewal; a hold with a deadline arrived up to 2.2 s later.

    `longest_inherited_ms` allows 0.5 s for it, the time of a start. The next leader counts from its
    own start, `leader_silence_ms` after the renewal at the earliest.
    """
    driver = make_driver(workers=1)
    driver.submit(job(JOB, step(2)))
    driver.advance(100)
    first, second = (driver.starts(TaskId(JOB, 0, 0, index))[-1] for index in (0, 1))
    driver.answer_start(first, CallResult.OK, clock_ms=driver.now_ms)
    driver.answer_start(second, CallResult.NO_ANSWER)
    worker = driver.state.workers["worker-1"]
    while driver.state.renewal_sent_ms != driver.now_ms:
        driver.advance(STEP_MS)
    renewed_ms, stated_ms = driver.now_ms, stated_leases(driver)["worker-1"]
    driver.storing = False
    # The worker answers holds, and each repetition of the second start is lost.
    answered = len(driver.starts(second.task))
    while driver.now_ms < renewed_ms + LIMITS.leader_validity_ms - 60:
        driver.advance(STEP_MS)
        if len(driver.starts(second.task)) > answered:
            answered = len(driver.starts(second.task))
            driver.answer_start(driver.starts(second.task)[-1], CallResult.NO_ANSWER)
        if worker.hold_open:
            driver.answer_hold("worker-1")
    driver.advance(100)
    assert worker.hold_open
    assert worker.runs[second.task].unconfirmed
    expected_until_ms = renewed_ms + LIMITS.leader_silence_ms + stated_ms
    assert expected_until_ms >= worker.last_lease_ms(LIMITS)


def test_leader_that_has_not_read_a_job_hands_on_the_lease_of_its_start():
    """The start was recorded after the first leader's last renewal, so its answer is not known.

    The second leader renews before it has read the job, and ends. The third one takes the run for
    one that was confirmed before that renewal, and expects the usual lease.
    """
    assigned = job(JOB, step(1))
    assigned.create_occurrence(0)
    task = assigned.task(TASK)
    task.phase, task.run, task.worker = Phase.ASSIGNED, 1, "worker-1"
    progress = encode_progress(assigned, None, EPOCH_STEP)

    table = JobTable()
    table.apply(StoredRecord(1, encode_long_leases({})))
    table.apply(StoredRecord(2, progress))
    second = Leadership(2 * EPOCH_STEP, "entry-2", 0)
    previous = Leadership(EPOCH_STEP, "entry-1", 5)
    state = LeaderState(LIMITS, table, config(), second, previous)
    driver = LeaderDriver(Scheduler(state, 1), now_ms=10_000)
    driver.leader.take_over(instant(10_000))
    driver.advance(100)
    renewal = encode_long_leases(stated_leases(driver))

    table = JobTable()
    table.apply(StoredRecord(0, encode_job(assigned)))
    table.apply(StoredRecord(2, progress))
    table.apply(StoredRecord(4, renewal))
    third = Leadership(3 * EPOCH_STEP, "entry-3", 0)
    started_ms = 10_000 + LIMITS.leader_silence_ms
    state = LeaderState(LIMITS, table, config(), third, second)
    driver = LeaderDriver(Scheduler(state, 1), now_ms=started_ms)
    driver.leader.take_over(instant(started_ms))
    worker = driver.state.workers["worker-1"]
    assert worker.lease_expires_ms >= 10_000 + LIMITS.longest_inherited_ms


class LastHoldSimulation(FaultySimulation):
    """worker-1 gets no start until it restarts under one, and then one hold that is under way."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        self.losing_starts = False
        self.restart_from_ms: int | None = None
        self.restarted_ms = 0
        self.last_hold_ms = 0
        super().__init__(*args, **kwargs)

    def _call(self, node, effect) -> None:
        if not self.restarted_ms or effect.worker != "worker-1":
            super()._call(node, effect)
            return
        granting = isinstance(effect, HoldWorker) and effect.deadline_ms is not None
        if granting and not self.last_hold_ms:
            self.last_hold_ms = self.now_ms
            self.at(HOLD_DELAY_MS, lambda: self._perform(effect))
        self._time_out(node, effect)

    def _call_start(self, node, effect) -> None:
        if not self.losing_starts or effect.worker != "worker-1":
            super()._call_start(node, effect)
            return
        if self.restart_from_ms is not None and self.now_ms >= self.restart_from_ms:
            worker = self.workers["worker-1"]
            self.stale_entries[worker.id] = worker.born_ms
            worker.crash(self.now_ms)
            worker.restart(self.now_ms)
            self._perform(effect)
            self.restarted_ms, worker.reachable = self.now_ms, False
        self._time_out(node, effect)


def test_no_task_runs_twice_when_the_last_hold_of_a_cut_off_leader_arrives_late():
    """The leader has lost the store and repeats a start, which a restarted worker carries out.

    A hold that is sent beside it arrives 2.15 s later and extends the lease; the next leader
    starts the task elsewhere before that lease ends.
    """
    sim = LastHoldSimulation(workers=2, seed=3)
    sim.run(2_000)
    sim.submit(job(FIRST_JOB, step(8, anti_affinity=4)))
    sim.run(3_000)
    for worker in sim.workers.values():
        worker.work_ms = LONG_MS
    worker, other = sim.workers["worker-1"], sim.workers["worker-2"]
    other.reachable = False
    sim.run(2_500)
    sim.losing_starts = True
    sim.submit(job(LATER_JOB, step(1, estimate_ms=LONG_MS)))
    sim.run(325)
    first = sim.leader()
    first.store_reachable = False
    renewed_ms = first.reducer.scheduler.state.renewed_ms
    sim.restart_from_ms = renewed_ms + LIMITS.leader_validity_ms - 170
    sim.cut_links |= {(name, worker.id) for name in sim.nodes if name != first.name}
    sim.cut_links.add((first.name, other.id))
    other.reachable = True
    sim.run(7_000)
    assert sim.restarted_ms
    assert worker.runs
    sim.run(13_000)
