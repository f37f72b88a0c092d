"""Calls whose answer or refusal says less than it seems to, found by a review.

Each test guards against two runs of one task at a time.
"""

import attrs
from fescuecrank_scheduler.effects import HoldWorker
from fescuecrank_scheduler.events import CallResult, PaceDone, RunRow
from leader_builders import TASK, make_driver, other_worker, start_task
from scheduler_builders import entry


def released_leader(driver):
    """Resign; the append of the release is in effect, but its answer is late."""
    driver.storing = False
    driver.leader.resign()
    driver.advance(50)
    assert driver.unstored[-1].records
    assert driver.state.leader.holder == ""
    return driver.now_ms


def test_refusal_at_a_new_address_says_nothing_of_a_start_sent_to_the_old_one():
    """An entry left by another writer names an address at which another worker answers."""
    driver = make_driver()
    first = start_task(driver)
    driver.answer_start(first, CallResult.NO_ANSWER)
    other = other_worker(driver, first.worker)
    moved = entry(first.worker, started_ms=0)
    moved = attrs.evolve(moved, address="elsewhere:80")
    driver.list_workers(moved, entry(other, started_ms=1_000))
    driver.advance(20)
    assert driver.hold(first.worker).address == "elsewhere:80"
    driver.answer_hold(first.worker, result=CallResult.OTHER_INCARNATION)
    driver.advance(300)
    assert len(driver.starts()) == 1


def test_refusal_at_the_address_of_an_outdated_entry_says_nothing_of_a_start():
    """The worker is cut off, and an entry of its earlier incarnation comes up in the list again.

    Another worker has its address by now. The worker itself may still carry the start out.
    """
    driver = make_driver()
    first = start_task(driver)
    driver.answer_start(first, CallResult.NO_ANSWER)
    driver.advance(20)
    driver.answer_hold(first.worker, result=CallResult.NO_ANSWER)
    other = other_worker(driver, first.worker)
    outdated = attrs.evolve(entry(first.worker, started_ms=500), address="elsewhere:80")
    driver.list_workers(outdated, entry(other, started_ms=1_000))
    driver.advance(300)
    assert driver.hold(first.worker).address == "elsewhere:80"
    driver.answer_hold(first.worker, result=CallResult.OTHER_INCARNATION)
    driver.advance(300)
    assert len(driver.starts()) == 1


def test_leader_repeats_no_start_after_its_release_may_have_been_stored():
    """The next leader takes starts of a resigned one for sent before its own leadership began."""
    driver = make_driver(workers=1)
    first = start_task(driver)
    driver.answer_start(first, CallResult.NO_ANSWER)
    driver.advance(50)
    driver.answer_hold("worker-1")
    driver.advance(200)
    released_ms = released_leader(driver)
    for _ in range(20):
        driver.advance(100)
        if driver.state.workers["worker-1"].hold_open:
            driver.answer_hold("worker-1")
    assert all(start.sent_ms <= released_ms for start in driver.starts())


def test_leader_renews_no_lease_after_its_release_may_have_been_stored():
    """The next leader takes the leases of a resigned one for granted before its own began."""
    driver = make_driver(workers=1)
    driver.answer_start(start_task(driver), CallResult.OK)
    driver.answer_hold("worker-1", (RunRow(TASK, 1, "", 50),))
    driver.advance(200)
    released_leader(driver)
    last = max(each.deadline_ms or 0 for each in driver.calls(HoldWorker))
    for _ in range(20):
        driver.advance(100)
        if driver.state.workers["worker-1"].hold_open:
            driver.answer_hold("worker-1", (RunRow(TASK, 1, "", 50),))
    newest = max(each.deadline_ms or 0 for each in driver.calls(HoldWorker))
    assert newest == last


def test_holds_to_a_silent_worker_grant_no_lease():
    """Its next incarnation takes the deadline for a new lease each time a hold arrives."""
    driver = make_driver(workers=1)
    driver.answer_start(start_task(driver), CallResult.OK)
    driver.answer_hold("worker-1", (RunRow(TASK, 1, "", 50),))
    driver.advance(100)
    assert driver.hold("worker-1").deadline_ms is not None
    for _ in range(6):
        driver.answer_hold("worker-1", result=CallResult.NO_ANSWER)
        driver.advance(500)
    silent = driver.hold("worker-1")
    assert silent.deadline_ms is None
    driver.answer_hold("worker-1", (RunRow(TASK, 1, "", 60),))
    driver.advance(100)
    assert driver.hold("worker-1").deadline_ms is not None


def test_pace_without_an_answer_is_not_carried_out_after_the_next_one():
    """A worker that carries it out late would keep a pace that nobody wants any more."""
    driver = make_driver(workers=1)
    driver.answer_start(start_task(driver), CallResult.OK)
    driver.answer_hold("worker-1", (RunRow(TASK, 1, "", 50),))
    driver.advance(100)
    token = driver.state.workers["worker-1"].token
    driver.handle(PaceDone("worker-1", TASK, 50, CallResult.NO_ANSWER, token))
    driver.advance(20)
    assert driver.hold("worker-1").token > token
    assert driver.state.workers["worker-1"].token > token
