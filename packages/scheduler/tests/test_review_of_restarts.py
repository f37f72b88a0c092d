"""What a leader's renewal states, compared with the leases that calls after it may still grant.

To a worker that has restarted, a deadline by its earlier clock is the longest lease, counted from
the arrival of the call. The next leader knows only what was stored.
"""

from fescuecrank_scheduler.effects import StoreProgress
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

LIMITS = Limits()


def stated_leases(driver: LeaderDriver) -> dict[str, int]:
    """Return the remaining times in the latest record of long leases."""
    appended = [record for append in driver.calls(StoreProgress) for record in append.records]
    return [decode(record) for record in appended if record.key == LEASES_KEY][-1].remaining_ms


def test_renewal_allows_for_a_hold_that_is_sent_last_and_arrives_late():
    """The store is cut off after the renewal; the last hold with a deadline arrives 2.2 s later.

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
    assert driver.hold("worker-1").deadline_ms is not None
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
