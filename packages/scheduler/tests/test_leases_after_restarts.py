"""Leases of workers that restarted under their id shortly before they were cut off.

A start that was meant for an earlier incarnation carries a deadline by its clock. To the later one,
whose clock started anew, it lies far ahead: the lease lasts as long as a worker may hold one. The
simulation fails as soon as a task runs on two workers.
"""

import attrs
import pytest
from faulty_fleet import FaultySimulation
from fescuecrank_scheduler.effects import StoreProgress
from fescuecrank_scheduler.events import CallResult, ShutDown
from fescuecrank_scheduler.job_table import JobTable
from fescuecrank_scheduler.jobs import Job, Phase
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
from leader_builders import BORN_MS, STEP_MS, TASK, LeaderDriver, make_driver, start_task
from scheduler_builders import config, entry, instant, job, step
from test_repeated_starts import JOB, start_up, submit_one

LONG_MS = 30_000
LATER_JOB = "00000000000000cc"
LIMITS = Limits()
LONGEST_LEASE_MS = LIMITS.longest_lease_ms


def start_on_restarted_worker(sim: FaultySimulation, lose_answer: bool = False) -> str:
    """Restart a worker behind a short cut, and have it carry out a start; return its id."""
    sim.list_age_ms = 5_000
    worker = sim.workers["worker-1"]
    sim.restart_behind_cut(worker.id, 100, entry_is_stale=True)
    sim.run(150)
    sim.lost_answers = lose_answer
    started_on = submit_one(sim, LONG_MS)
    assert started_on == worker.id
    assert worker.runs and worker.incarnation == 2
    return worker.id


def cut_off(sim: FaultySimulation, worker_id: str, born_ms: int) -> None:
    """Cut a worker off from all processes and from the store."""
    sim.workers[worker_id].reachable = False
    sim.list_age_ms = 0
    sim.stale_entries[worker_id] = born_ms


def stop_leader(sim: FaultySimulation, how: str) -> None:
    leader = sim.leader()
    if how == "resigns":
        sim.post(leader, ShutDown())
    else:
        sim.kill(leader.name)


class LosingAnswers(FaultySimulation):
    """A fleet in which workers carry out starts whose answers are lost."""

    lost_answers = False

    def _answer(self, node, effect, answer, clock_ms=None):
        if self.lost_answers and type(effect).__name__ == "StartRun":
            self.lost_answers = False
            self.at(
                500, lambda: super(LosingAnswers, self)._answer(node, effect, CallResult.NO_ANSWER)
            )
            self.workers[effect.worker].reachable = False
            return
        super()._answer(node, effect, answer, clock_ms)


def start_up_losing(workers: int) -> LosingAnswers:
    sim = LosingAnswers(workers=workers)
    sim.run(2_000)
    sim.submit(job("f" * 16, step(4 * workers, anti_affinity=4)))
    sim.run(3_000)
    return sim


@pytest.mark.parametrize("how", ["resigns", "is killed"])
@pytest.mark.parametrize("delay_ms", [0, 250, 700])
def test_next_leader_waits_for_the_longest_lease_that_its_predecessor_knew_of(how, delay_ms):
    """The predecessor has noticed the restart, and ends before it has lost contact."""
    sim = start_up(2)
    born_ms = sim.workers["worker-1"].born_ms
    worker_id = start_on_restarted_worker(sim)
    sim.run(delay_ms)
    stop_leader(sim, how)
    cut_off(sim, worker_id, born_ms)
    sim.run(16_000)
    # It is started elsewhere in the end.
    assert sum(len(rows) for task, rows in sim.starts().items() if task.job == JOB) == 2


@pytest.mark.parametrize("how", ["resigns", "is killed"])
def test_leader_after_the_next_one_waits_as_long(how):
    """The leader between them never reaches the worker, and ends soon."""
    sim = start_up(2)
    born_ms = sim.workers["worker-1"].born_ms
    worker_id = start_on_restarted_worker(sim)
    stop_leader(sim, "resigns")
    cut_off(sim, worker_id, born_ms)
    first = sim.leader()
    while sim.leader() in (None, first):
        sim.run(10)
    sim.run(100)
    stop_leader(sim, how)
    sim.run(16_000)


def test_leader_waits_for_the_longest_lease_of_a_start_without_an_answer():
    """The worker carries the start out and is cut off before its answer arrives."""
    sim = start_up_losing(2)
    born_ms = sim.workers["worker-1"].born_ms
    worker_id = start_on_restarted_worker(sim, lose_answer=True)
    cut_off(sim, worker_id, born_ms)
    sim.run(16_000)


@pytest.mark.parametrize("how", ["resigns", "is killed"])
@pytest.mark.parametrize("delay_ms", [0, 400])
def test_next_leader_waits_for_the_longest_lease_of_a_start_without_an_answer(how, delay_ms):
    sim = start_up_losing(2)
    born_ms = sim.workers["worker-1"].born_ms
    worker_id = start_on_restarted_worker(sim, lose_answer=True)
    cut_off(sim, worker_id, born_ms)
    sim.run(delay_ms)
    stop_leader(sim, how)
    sim.run(18_000)


@pytest.mark.parametrize("phase_ms", range(0, 1_500, 250))
def test_leader_after_a_partition_waits_for_the_lease_that_its_predecessor_states(phase_ms):
    """The one before its predecessor, on the other side with the worker, renews it until later."""
    sim = start_up(3)
    worker_id = submit_one(sim, LONG_MS)
    sim.run(1_000 + phase_ms)
    first = sim.leader()
    first.store_reachable = False
    sim.stale_entries[worker_id] = sim.workers[worker_id].born_ms
    sim.split(first, {worker_id})
    while sim.leader() is first:
        sim.run(10)
    sim.run(500)
    sim.post(sim.leader(), ShutDown())
    sim.run(16_000)


def test_confirmed_runs_do_not_wait_for_the_longest_lease():
    """Work of a worker that is cut off starts elsewhere when its lease is over."""
    sim = start_up(2)
    worker_id = submit_one(sim, LONG_MS)
    sim.run(1_000)
    cut_off(sim, worker_id, sim.workers[worker_id].born_ms)
    cut_ms = sim.now_ms
    sim.run(16_000)
    (rows,) = [rows for task, rows in sim.starts().items() if task.job == JOB]
    assert rows[1][0] - cut_ms < LONGEST_LEASE_MS - 1_000
    assert attrs.asdict(sim.limits)["lease_ms"] < LONGEST_LEASE_MS


def test_successor_waits_for_the_lease_on_a_worker_without_runs():
    """The predecessor noticed the restart; the run is the successor's own."""
    sim = start_up(2)
    born_ms = sim.workers["worker-1"].born_ms
    worker_id = start_on_restarted_worker(sim)
    # Nothing is placed there before its own entry has been read.
    sim.list_age_ms = 0
    sim.cancel(JOB)
    sim.run(400)
    first = sim.leader()
    stop_leader(sim, "resigns")
    while sim.leader() in (None, first) or not sim.workers["worker-1"].reachable:
        sim.run(10)
    other = sim.workers["worker-2"]
    other.reachable = False
    for _ in range(200):
        sim.run(10)
        if any(task.job == LATER_JOB for task in sim.workers[worker_id].runs):
            break
        if LATER_JOB not in sim.jobs:
            sim.submit(job(LATER_JOB, step(1, estimate_ms=LONG_MS)))
    assert sim.workers[worker_id].runs
    cut_off(sim, worker_id, born_ms)
    other.reachable = True
    sim.run(16_000)


def next_leader(now_ms: int, previous: Leadership | None) -> LeaderDriver:
    """Return a leader to which worker-1 is listed and has been called, but has not answered."""
    leader = Leadership(2 * EPOCH_STEP, "entry-2", 0)
    state = LeaderState(LIMITS, JobTable(), config(), leader, previous)
    driver = LeaderDriver(Scheduler(state, 1), now_ms=now_ms)
    driver.leader.take_over(instant(now_ms))
    driver.list_workers(entry("worker-1", started_ms=BORN_MS))
    driver.advance(STEP_MS)
    return driver


@pytest.mark.parametrize(
    ("age_ms", "has_previous", "waits"),
    [(500, True, True), (60_000, True, False), (500, False, False)],
)
def test_young_worker_may_have_a_lease_by_the_clock_of_its_earlier_incarnation(
    age_ms, has_previous, waits
):
    """The predecessor called it as it had just restarted, and ended before it noticed that."""
    driver = next_leader(100_000, Leadership(EPOCH_STEP, "", 9) if has_previous else None)
    driver.answer_hold("worker-1", clock_ms=age_ms)
    worker = driver.state.workers["worker-1"]
    longest_ms = driver.now_ms + LONGEST_LEASE_MS
    assert worker.lease_expires_ms == (longest_ms if waits else 0)


def test_renewal_states_the_long_lease_of_a_worker_without_runs():
    driver = make_driver()
    worker = driver.state.workers["worker-1"]
    worker.lease_expires_ms = driver.now_ms + 9_000
    driver.effects.clear()
    driver.advance(LIMITS.renew_interval_ms + 20)
    appended = [record for append in driver.calls(StoreProgress) for record in append.records]
    (stated,) = [decode(record) for record in appended if record.key == LEASES_KEY]
    assert set(stated.remaining_ms) == {"worker-1"}
    assert 8_500 < stated.remaining_ms["worker-1"] <= 9_000


def test_long_lease_of_a_worker_that_left_the_list_is_remembered():
    """It may come back, and get a run, before the lease is over."""
    driver = make_driver()
    driver.state.workers["worker-1"].lease_expires_ms = driver.now_ms + 9_000
    driver.list_workers(entry("worker-2", started_ms=BORN_MS))
    driver.advance(8_000)
    assert "worker-1" in driver.state.workers
    driver.advance(1_500)
    assert "worker-1" not in driver.state.workers


def recorded_job(offset: int) -> tuple[JobTable, Job]:
    """Return a table with a job whose task was started, and its progress stored at an offset."""
    table, assigned = JobTable(), job(JOB, step(1))
    assigned.create_occurrence(0)
    task = assigned.task(TASK)
    task.phase, task.run, task.worker = Phase.ASSIGNED, 1, "worker-1"
    table.apply(StoredRecord(0, encode_job(assigned)))
    table.apply(StoredRecord(offset, encode_progress(assigned, None, EPOCH_STEP)))
    return table, table.jobs[JOB]


@pytest.mark.parametrize(
    ("offset", "stated", "expected_ms"),
    [
        (1, {}, LIMITS.usual_inherited_ms),
        (3, {}, LIMITS.longest_inherited_ms),
        (1, {"worker-1": 12_000}, 12_000),
        (1, {"worker-1": 10**9}, LIMITS.longest_inherited_ms),
        (1, {"worker-2": 12_000}, LIMITS.usual_inherited_ms),
    ],
)
def test_adopted_run_waits_for_the_lease_that_is_known_of(offset, stated, expected_ms):
    """A start that was recorded after the last renewal may have been sent to any incarnation."""
    table, _ = recorded_job(offset)
    table.apply(StoredRecord(2, encode_long_leases(stated)))
    leader = Leadership(2 * EPOCH_STEP, "entry-2", 0)
    previous = Leadership(EPOCH_STEP, "entry-1", 5)
    driver = LeaderDriver(Scheduler(LeaderState(LIMITS, table, config(), leader, previous), 1))
    driver.leader.take_over(instant(1_000))
    worker = driver.state.workers["worker-1"]
    assert worker.lease_expires_ms - 1_000 == expected_ms


def test_log_tells_on_which_grounds_a_lease_counted_as_over():
    """Without it, a lease that was expected too short cannot be traced."""
    sim = start_up(2)
    worker_id = submit_one(sim, LONG_MS)
    sim.run(1_000)
    cut_off(sim, worker_id, sim.workers[worker_id].born_ms)
    sim.run(16_000)
    (lost,) = [fields for fields in sim.logged("runs_lost") if fields["worker"] == worker_id]
    assert (lost["lease"], lost["unconfirmed"]) == ("granted", [])
    assert LIMITS.usual_lease_ms < lost["silent_ms"] < LONGEST_LEASE_MS


def stated_leases(driver: LeaderDriver) -> dict[str, int]:
    """Return the remaining times in the latest record of long leases."""
    appended = [record for append in driver.calls(StoreProgress) for record in append.records]
    return [decode(record) for record in appended if record.key == LEASES_KEY][-1].remaining_ms


def test_renewal_allows_for_the_repetition_of_a_start_that_was_refused():
    """The repetition may reach a later incarnation, and the leader end before its next renewal.

    The record of the run is older than the renewal, so that its start does not count as unknown.
    """
    driver = make_driver()
    start = start_task(driver)
    driver.answer_start(start, CallResult.REFUSED)
    driver.advance(LIMITS.renew_interval_ms + 20)
    renewed_ms = driver.now_ms
    assert stated_leases(driver).get(start.worker) == LIMITS.longest_inherited_ms
    driver.answer_hold(start.worker)
    # The store is cut off from now on; the leader may go on calling for `leader_validity_ms`.
    driver.storing = False
    driver.advance(LIMITS.start_timeout_ms + 200)
    assert len(driver.starts()) == 2
    assert driver.now_ms - renewed_ms < LIMITS.leader_validity_ms
