"""Ends of runs that a worker or the store knows of and the leader that starts runs does not.

Each test guards against a way in which a task that is done, or still running, was started again.
"""

import attrs
import pytest
from fescuecrank_scheduler.effects import MaintainMachine, StartRun, StopRun
from fescuecrank_scheduler.events import (
    CallResult,
    EndRow,
    HoldDone,
    MachineOrderDone,
    MachineRow,
    MachinesListed,
    OrderResult,
    RunRow,
    StopDone,
)
from fescuecrank_scheduler.fleet import Resources, Wave
from fescuecrank_scheduler.jobs import TaskId
from fescuecrank_scheduler.maintenance import Maintenance
from fescuecrank_scheduler.workers import RunState
from leader_builders import (
    BORN_MS,
    JOB,
    TASK,
    LeaderDriver,
    make_driver,
    other_worker,
    start_task,
)
from scheduler_builders import config, entry, instant, job, queue, step

LATER_MS = BORN_MS + 5_000
OTHER_JOB = "00000000000000bb"


def running(run: int = 1) -> tuple[RunRow, ...]:
    return (RunRow(TASK, run, "", 50),)


def done(number: int = 1, run: int = 1) -> tuple[EndRow, ...]:
    return (EndRow(number, TASK, run, "done", ""),)


def restarted(driver: LeaderDriver, worker: str) -> None:
    """Let the list show a later incarnation of a worker under the same id."""
    listed = entry(worker, started_ms=LATER_MS)
    driver.list_workers(listed, whole=False)


class TestStartsInFlight:
    """Starts without an answer, which the worker may still carry out."""

    @pytest.mark.parametrize(
        "refusal",
        [
            CallResult.NO_ROOM,
            CallResult.BAD_TICKET,
            CallResult.UNHEALTHY,
            CallResult.INVALID,
            CallResult.LATE,
        ],
    )
    def test_refused_repetition_ends_no_run_whose_first_start_may_be_carried_out(self, refusal):
        driver = make_driver()
        first = start_task(driver)
        repeated = driver.repeat_start(first)
        # No call has kept the worker from carrying out the first start.
        driver.state.workers[first.worker].accepted_token = 0
        driver.answer_start(repeated, refusal)
        driver.advance(500)
        assert {start.worker for start in driver.starts()} == {first.worker}
        # A stop keeps the worker from carrying out the first start later.
        stop, *_ = driver.calls(StopRun)
        assert (stop.worker, stop.task, stop.run) == (first.worker, TASK, 1)
        driver.handle(StopDone(stop.worker, stop.task, stop.run, CallResult.OK, stop.token))
        driver.answer_hold(first.worker)
        driver.advance(300)
        driver.answer_hold(first.worker)
        driver.advance(2_000)
        assert driver.starts()[-1].run == 2

    def test_refused_start_without_others_in_flight_is_placed_elsewhere_at_once(self):
        driver = make_driver()
        first = start_task(driver)
        driver.answer_start(first, CallResult.NO_ROOM)
        driver.advance(100)
        assert driver.starts()[-1].worker == other_worker(driver, first.worker)

    def test_end_of_a_run_does_not_hide_its_unanswered_start_from_a_restarted_worker(self):
        """A start that was repeated may be carried out after its run is done and the worker back.

        Calls that were sent to earlier incarnations have to be refused by the later one.
        """
        driver = make_driver()
        first = start_task(driver)
        driver.answer_start(driver.repeat_start(first), CallResult.OK)
        driver.answer_hold(first.worker, ended=done())
        driver.advance(100)
        driver.answer_hold(first.worker, born_ms=LATER_MS)
        driver.advance(100)
        assert driver.hold(first.worker).token > first.token


class TestClocksInAnswers:
    """A restart that shows first in the clock of an answer to a start."""

    def restarted_before_start(self, clock_ms: int) -> tuple[LeaderDriver, StartRun]:
        """Let a worker that has listed an end answer a start with a reading of its clock."""
        driver = make_driver(workers=1)
        driver.answer_start(start_task(driver), CallResult.OK)
        driver.answer_hold("worker-1", ended=done())
        driver.advance(100)
        assert driver.hold("worker-1").last_acked_end == 1
        driver.answer_hold("worker-1")
        driver.submit(job(OTHER_JOB, step(1)))
        driver.advance(30)
        (start,) = driver.starts(TaskId(OTHER_JOB, 0, 0, 0))
        driver.answer_start(start, CallResult.OK, clock_ms)
        driver.advance(10)
        return driver, start

    def test_next_hold_acknowledges_no_end_of_the_later_incarnation(self):
        driver, start = self.restarted_before_start(clock_ms=5)
        hold = driver.hold("worker-1")
        assert hold.token > start.token
        assert (hold.last_acked_end, hold.deadline_ms, hold.wait_ms) == (0, None, 0)

    def test_lease_lasts_as_long_as_a_worker_may_hold_one(self):
        driver, _ = self.restarted_before_start(clock_ms=5)
        longest_ms = driver.state.limits.longest_lease_ms
        assert driver.state.workers["worker-1"].lease_expires_ms >= driver.now_ms + longest_ms - 20

    def test_answer_that_was_on_the_way_for_long_is_none_of_a_later_incarnation(self):
        """The clock is compared with that at the time of the call, not of its answer."""
        driver = make_driver(workers=1)
        start = start_task(driver)
        clock_ms = driver.now_ms
        driver.advance(400)
        driver.answer_start(start, CallResult.OK, clock_ms)
        assert not driver.logged("worker_clock_behind")


class TestEndsOfRunsNotOnRecord:
    """Ends that a worker reports of runs that the leader has given up."""

    def given_up(self, driver: LeaderDriver) -> str:
        """Give up a run as lost although its worker goes on with it."""
        start = start_task(driver)
        driver.answer_start(start, CallResult.OK)
        driver.answer_hold(start.worker, running())
        driver.advance(100)
        worker = driver.state.workers[start.worker]
        # No room elsewhere, so that the task waits.
        for each in driver.state.workers.values():
            each.blocked_until_ms = driver.now_ms + 5_000
        driver.leader.runs.abandon_runs(worker, "test", instant(driver.now_ms))
        driver.advance(100)
        assert driver.phase() == "w"
        return start.worker

    def test_task_that_waits_is_done(self):
        driver = make_driver()
        worker = self.given_up(driver)
        driver.answer_hold(worker, ended=done())
        driver.advance(8_000)
        assert len(driver.starts()) == 1
        assert driver.state.table.jobs[JOB].outcome == "completed"

    def test_planned_run_is_withdrawn(self):
        driver = make_driver()
        worker = self.given_up(driver)
        driver.storing = False
        for each in driver.state.workers.values():
            each.blocked_until_ms = 0
        driver.state.request_placement()
        driver.advance(100)
        assert driver.phase() == "a"
        driver.answer_hold(worker, ended=done())
        driver.storing = True
        driver.store()
        driver.advance(500)
        assert len(driver.starts()) == 1
        assert driver.state.table.jobs[JOB].outcome == "completed"

    def test_run_that_was_started_elsewhere_is_stopped(self):
        driver = make_driver()
        worker = self.given_up(driver)
        for each in driver.state.workers.values():
            each.blocked_until_ms = 0
        driver.state.request_placement()
        driver.advance(100)
        second = driver.starts()[-1]
        assert second.run == 2
        driver.answer_start(second, CallResult.OK)
        driver.answer_hold(worker, ended=done())
        driver.advance(100)
        assert [(stop.worker, stop.run) for stop in driver.calls(StopRun)] == [(second.worker, 2)]
        assert driver.state.table.jobs[JOB].outcome == "completed"

    def test_end_is_not_acknowledged_before_its_effect_is_stored(self):
        driver = make_driver()
        worker = self.given_up(driver)
        driver.storing = False
        driver.answer_hold(worker, ended=done())
        driver.advance(200)
        assert driver.hold(worker).last_acked_end == 0

    def test_failure_counts_as_an_attempt_of_its_task(self):
        driver = make_driver(cfg=config(queues=(queue(max_attempts=1),)))
        worker = self.given_up(driver)
        driver.answer_hold(worker, ended=(EndRow(1, TASK, 1, "failed", ""),))
        driver.advance(8_000)
        assert len(driver.starts()) == 1
        assert driver.state.table.jobs[JOB].outcome == "failed"

    def test_failure_that_an_earlier_leader_counted_is_not_counted_again(self):
        """The worker reports an end until it is acknowledged, also to the next leader."""
        driver = make_driver(cfg=config(queues=(queue(max_attempts=2),)))
        sample = job(JOB, step(1))
        sample.create_occurrence(0)
        sample.task(TASK).run = sample.task(TASK).failures = 1
        driver.submit(sample)
        worker = driver.starts()[-1].worker
        driver.answer_hold(worker, ended=(EndRow(1, TASK, 1, "failed", ""),))
        driver.advance(100)
        assert driver.state.table.jobs[JOB].outcome is None

    def test_gang_whose_member_was_done_is_done(self):
        driver = make_driver()
        driver.submit(job(JOB, step(2, gang=True)))
        driver.advance(100)
        for each in driver.state.workers.values():
            each.blocked_until_ms = driver.now_ms + 60_000
            driver.leader.runs.abandon_runs(each, "test", instant(driver.now_ms))
        driver.answer_hold(driver.starts()[-1].worker, ended=done())
        driver.advance(100)
        assert driver.state.table.jobs[JOB].outcome == "completed"


class TestIncarnations:
    """Answers and acknowledgements of an earlier incarnation of a worker."""

    def test_answer_of_the_earlier_incarnation_is_not_applied_to_the_later_one(self):
        """The list showed the restart first; the answer of the hold sent before arrives later.

        Its numbers of ends would let the later incarnation forget ends that nobody has seen.
        """
        driver = make_driver()
        start = start_task(driver)
        driver.answer_start(start, CallResult.OK)
        driver.advance(100)
        open_hold = driver.hold(start.worker)
        restarted(driver, start.worker)
        driver.advance(20)
        driver.answer_hold(start.worker, ended=(EndRow(7, TASK, 9, "done", ""),), hold=open_hold)
        driver.advance(300)
        assert driver.state.workers[start.worker].last_seen_end == 0
        driver.answer_hold(start.worker, born_ms=LATER_MS)
        assert driver.state.workers[start.worker].started_ms == LATER_MS
        driver.advance(300)
        assert driver.hold(start.worker).last_acked_end == 0

    def test_runs_of_the_later_incarnation_survive_an_answer_of_the_earlier_one(self):
        driver = make_driver(workers=1)
        open_hold = driver.hold("worker-1")
        restarted(driver, "worker-1")
        driver.advance(20)
        driver.answer_hold("worker-1", born_ms=LATER_MS)
        start = start_task(driver)
        driver.answer_start(start, CallResult.OK)
        driver.answer_hold("worker-1", hold=open_hold)
        driver.advance(300)
        driver.answer_hold("worker-1", running(), born_ms=LATER_MS)
        driver.advance(300)
        assert len(driver.starts()) == 1

    def test_append_of_the_earlier_incarnation_acknowledges_no_end_of_the_later_one(self):
        driver = make_driver(workers=1)
        start = start_task(driver)
        driver.answer_start(start, CallResult.OK)
        driver.storing = False
        driver.answer_hold("worker-1", ended=done())
        driver.advance(100)
        (in_progress,) = driver.unstored
        # The later incarnation reports as many ends before the append is stored.
        driver.answer_hold("worker-1", born_ms=LATER_MS)
        driver.advance(100)
        other = (EndRow(1, attrs.evolve(TASK, index=1), 1, "done", ""),)
        driver.answer_hold("worker-1", ended=other, born_ms=LATER_MS)
        driver.leader.progress.on_stored(in_progress.sequence, instant(driver.now_ms))
        driver.unstored.remove(in_progress)
        assert driver.state.workers["worker-1"].last_acked_end == 0

    def test_append_of_a_worker_that_was_dropped_acknowledges_no_end_of_its_successor(self):
        """An idle worker leaves the list, restarts and comes back while its end is being stored."""
        driver = make_driver(workers=1)
        start = start_task(driver)
        driver.answer_start(start, CallResult.OK)
        driver.storing = False
        driver.answer_hold("worker-1", ended=done())
        driver.list_workers()
        driver.advance(200)
        driver.list_workers(entry("worker-1", started_ms=LATER_MS))
        driver.advance(100)
        driver.store()
        assert driver.state.workers["worker-1"].last_acked_end == 0

    @pytest.mark.parametrize("result", [CallResult.OTHER_INCARNATION, CallResult.NO_ANSWER])
    def test_answer_from_an_earlier_address_says_nothing_about_the_worker(self, result):
        driver = make_driver(workers=1)
        open_hold = driver.hold("worker-1")
        moved = attrs.evolve(entry("worker-1", started_ms=LATER_MS), address="worker-1:81")
        driver.list_workers(moved)
        driver.advance(300)
        driver.answer_hold("worker-1", born_ms=LATER_MS)
        start = start_task(driver)
        assert start.address == "worker-1:81"
        driver.answer_start(start, CallResult.OK)
        driver.answer_hold("worker-1", hold=open_hold, result=result)
        driver.advance(300)
        assert driver.state.workers["worker-1"].contact_lost_ms is None
        assert driver.state.workers["worker-1"].runs[TASK].state is RunState.RUNNING

    @pytest.mark.parametrize("result", [CallResult.OTHER_INCARNATION, CallResult.FENCED])
    def test_start_refused_at_an_earlier_address_is_repeated(self, result):
        driver = make_driver(workers=1)
        start = start_task(driver)
        moved = attrs.evolve(entry("worker-1", started_ms=BORN_MS), address="worker-1:81")
        driver.list_workers(moved)
        driver.advance(50)
        driver.answer_hold("worker-1")
        driver.answer_start(start, result)
        driver.advance(1_000)
        assert not driver.state.fenced
        assert [(each.address, each.run) for each in driver.starts()] == [
            ("worker-1:80", 1),
            ("worker-1:81", 1),
        ]

    def test_answer_to_a_worker_that_left_the_list_and_came_back_is_not_applied(self):
        """The record of an idle worker that is unlisted is dropped together with its open hold.

        The answer is older than the run that it does not list.
        """
        driver = make_driver(workers=1)
        for _ in range(3):
            driver.answer_hold("worker-1")
            driver.advance(100)
        before = driver.hold("worker-1")
        driver.list_workers()
        driver.advance(200)
        assert "worker-1" not in driver.state.workers
        driver.list_workers(entry("worker-1", started_ms=BORN_MS))
        driver.advance(100)
        driver.answer_hold("worker-1")
        start = start_task(driver)
        driver.answer_start(start, CallResult.OK)
        for _ in range(4):
            driver.advance(100)
            driver.answer_hold("worker-1", hold=before)
            driver.answer_hold("worker-1", running())
        driver.advance(300)
        assert len(driver.starts()) == 1


class TestMissingRuns:
    """Runs that an answer does not list."""

    def test_run_is_not_missing_from_a_list_of_ends_that_is_cut_off(self):
        """A worker lists at most 500 ends at a time; the end of a run may be among the others."""
        driver = make_driver(workers=1)
        start = start_task(driver)
        driver.answer_start(start, CallResult.OK)
        driver.advance(100)
        driver.answer_hold("worker-1", running())
        driver.advance(100)
        others = tuple(
            EndRow(number, attrs.evolve(TASK, job="f" * 16, index=number), 1, "failed", "")
            for number in range(1, 501)
        )
        driver.answer_hold("worker-1", ended=others)
        driver.advance(300)
        driver.answer_hold("worker-1", ended=done(501))
        driver.advance(2_000)
        assert len(driver.starts()) == 1
        assert driver.state.table.jobs[JOB].outcome == "completed"


class TestLeadersPermission:
    """A leader acts on its leadership only for a limited time after it sent its last renewal."""

    def test_answer_that_arrives_late_proves_no_leadership(self):
        """The leader was frozen while the answer to its append was on the way."""
        driver = make_driver()
        driver.storing = False
        driver.submit(job(JOB, step(1)))
        driver.advance(100)
        assert driver.phase() == "a"
        driver.now_ms += driver.state.limits.leader_validity_ms + 5_000
        driver.store()
        driver.handle(HoldDone("worker-1", 0, CallResult.NO_ANSWER))
        assert not driver.starts()

    def test_unanswered_start_is_not_repeated_without_a_valid_leadership(self):
        driver = make_driver()
        first = start_task(driver)
        driver.storing = False
        for _ in range(4):
            driver.advance(1_000)
            for name in driver.state.workers:
                driver.answer_hold(name)
        driver.answer_start(first, CallResult.NO_ANSWER)
        driver.advance(1_000)
        assert len(driver.starts()) == 1

    def test_lease_that_is_recorded_as_not_renewed_is_not_granted_to_a_restarted_worker(self):
        """A successor waits only for the remaining time that the leadership record states."""
        driver = make_driver(workers=1)
        worker = driver.state.workers["worker-1"]
        worker.lease_unrenewed = True
        driver.answer_hold("worker-1", born_ms=LATER_MS)
        worker.lease_unrenewed = True
        assert worker.grant_lease(driver.now_ms, driver.state.limits) is None


class TestJobsNotReadYet:
    """Ends of jobs that a new leader has not read."""

    def test_reads_that_are_not_whole_do_not_count(self):
        """A read returns a limited number of bytes; the job may be in the rest."""
        driver = make_driver(workers=1)
        for _ in range(3):
            driver.read_intake(None)
        driver.answer_hold("worker-1", ended=done())
        driver.advance(300)
        assert driver.hold("worker-1").last_acked_end == 0
        driver.read_intake(driver.now_ms)
        assert driver.state.jobs_loaded


class TestMachineOrders:
    """Orders that the platform confirms although they were carried out before."""

    def test_upkeep_that_was_done_before_retires_no_live_worker(self):
        driver = make_driver(workers=1)
        maintenance = Maintenance(driver.state, driver.leader.runs)
        maintenance.set_waves((Wave(1, ("m-worker-1",), 20_000, 1),), {}, instant(driver.now_ms))
        row = MachineRow(
            "m-worker-1", "pool-a", "up", "worker-1", Resources(4_000, 64_000), ("kind-a", "rack-1")
        )

        def tick() -> list:
            driver.now_ms += 100
            maintenance.on_machines_listed(
                MachinesListed((row,), driver.now_ms), instant(driver.now_ms)
            )
            return maintenance.tick(instant(driver.now_ms), {})

        orders = [each for _ in range(3) for each in tick() if isinstance(each, MaintainMachine)]
        assert orders
        done_event = MachineOrderDone("m-worker-1", 1, OrderResult.OK)
        maintenance.on_order_done(done_event.machine, 1, done_event.result, instant(driver.now_ms))
        # The worker still answers under the same id: the upkeep was done by an earlier order.
        driver.answer_hold("worker-1")
        for _ in range(30):
            tick()
            driver.advance(100)
            driver.answer_hold("worker-1")
        start = start_task(driver)
        assert start.worker == "worker-1"


class TestUnnoticedRestarts:
    """A worker that restarts behind a cut while a hold is open, so that nothing tells of it yet."""

    def acknowledged(self, driver: LeaderDriver) -> None:
        """Let the first incarnation report three ends, which are acknowledged."""
        others = tuple(
            EndRow(number, attrs.evolve(TASK, job="f" * 16, index=number), 1, "done", "")
            for number in range(1, 4)
        )
        driver.read_intake(driver.now_ms)
        driver.answer_hold("worker-1", ended=others)
        driver.advance(100)
        assert driver.hold("worker-1").last_acked_end == 3

    @pytest.mark.parametrize(
        "result", [CallResult.NO_ANSWER, CallResult.REFUSED, CallResult.UNHEALTHY]
    )
    def test_hold_after_a_failed_one_acknowledges_nothing(self, result):
        """The next incarnation numbers its ends anew and would forget the first three."""
        driver = make_driver(workers=1)
        self.acknowledged(driver)
        driver.answer_hold("worker-1", result=result)
        driver.advance(500)
        assert driver.hold("worker-1").last_acked_end == 0
        driver.answer_hold("worker-1")
        driver.advance(100)
        assert driver.hold("worker-1").last_acked_end == 3

    def test_ends_are_not_acknowledged_again_once_the_worker_has_forgotten_them(self):
        """A hold that is under way at a restart let the next incarnation forget its first ends."""
        driver = make_driver(workers=1)
        self.acknowledged(driver)
        driver.answer_hold("worker-1")
        driver.advance(100)
        assert driver.hold("worker-1").last_acked_end == 0

    def test_hold_after_a_pause_acknowledges_nothing(self):
        """A leader that may have been replaced sends no holds for a while."""
        driver = make_driver(workers=1)
        self.acknowledged(driver)
        driver.storing = False
        driver.advance(driver.state.limits.leader_validity_ms + 500)
        driver.answer_hold("worker-1")
        driver.advance(1_000)
        driver.storing = True
        driver.store()
        driver.advance(400)
        assert driver.hold("worker-1").last_acked_end == 0

    def test_run_that_the_later_incarnation_did_is_done(self):
        driver = make_driver(workers=1)
        self.acknowledged(driver)
        start = start_task(driver)
        # The later incarnation answers the start; the hold that is open fails.
        driver.answer_start(start, CallResult.OK)
        driver.answer_hold("worker-1", result=CallResult.NO_ANSWER)
        driver.advance(500)
        driver.answer_hold("worker-1", ended=done(), born_ms=LATER_MS)
        driver.advance(2_000)
        assert len(driver.starts()) == 1
        assert driver.state.table.jobs[JOB].outcome == "completed"

    @pytest.mark.parametrize("listed_first", [False, True])
    def test_run_that_the_later_incarnation_has_goes_on(self, listed_first):
        driver = make_driver()
        start = start_task(driver)
        driver.answer_start(start, CallResult.OK)
        driver.answer_hold(start.worker, result=CallResult.NO_ANSWER)
        if listed_first:
            restarted(driver, start.worker)
        driver.advance(500)
        driver.answer_hold(start.worker, running(), born_ms=LATER_MS)
        driver.advance(2_000)
        assert len(driver.starts()) == 1

    @pytest.mark.parametrize("listed_first", [False, True])
    def test_run_that_the_earlier_incarnation_reported_is_started_again(self, listed_first):
        driver = make_driver()
        start = start_task(driver)
        driver.answer_start(start, CallResult.OK)
        driver.answer_hold(start.worker)
        driver.advance(100)
        driver.answer_hold(start.worker, running())
        driver.advance(100)
        if listed_first:
            restarted(driver, start.worker)
            driver.advance(20)
        driver.answer_hold(start.worker, born_ms=LATER_MS)
        driver.advance(100)
        assert driver.starts()[-1].run == 2

    def test_run_of_a_worker_that_is_silent_after_its_restart_is_started_again_after_its_lease(
        self,
    ):
        """The entry may be that of another writer, and the run go on."""
        driver = make_driver()
        start = start_task(driver)
        driver.answer_start(start, CallResult.OK)
        other = other_worker(driver, start.worker)
        restarted(driver, start.worker)
        lease_ms = driver.state.workers[start.worker].lease_expires_ms
        while driver.now_ms < lease_ms + 500:
            assert len(driver.starts()) == 1 or driver.now_ms > lease_ms
            driver.advance(100)
            driver.answer_hold(other)
        assert [each.worker for each in driver.starts()] == [start.worker, other]

    def test_start_is_not_repeated_before_the_worker_has_answered_a_hold(self):
        """It could be carried out by the next incarnation, beside what that one runs."""
        driver = make_driver(workers=1)
        start = start_task(driver)
        driver.answer_start(start, CallResult.NO_ANSWER)
        driver.advance(1_500)
        assert len(driver.starts()) == 1
        driver.answer_hold("worker-1")
        driver.advance(300)
        driver.answer_hold("worker-1")
        driver.advance(300)
        assert len(driver.starts()) == 2

    def test_hold_after_a_failed_one_keeps_that_one_from_acknowledging_ends(self):
        """The failed hold may be carried out later, by the next incarnation."""
        driver = make_driver(workers=1)
        self.acknowledged(driver)
        failed = driver.hold("worker-1")
        driver.answer_hold("worker-1", result=CallResult.NO_ANSWER)
        driver.advance(500)
        assert driver.hold("worker-1").token > failed.token

    def test_refused_start_is_placed_elsewhere_once_the_unanswered_one_is_fenced(self):
        driver = make_driver()
        first = start_task(driver)
        repeated = driver.repeat_start(first)
        assert repeated.token > first.token
        driver.answer_start(repeated, CallResult.NO_ROOM)
        driver.advance(100)
        assert driver.starts()[-1].worker == other_worker(driver, first.worker)

    def test_hold_after_an_answer_that_came_late_acknowledges_nothing(self):
        """The worker may have restarted while its answer was on the way."""
        driver = make_driver(workers=1)
        self.acknowledged(driver)
        driver.answer_hold("worker-1")
        driver.advance(100)
        driver.advance(600)
        later = (EndRow(4, attrs.evolve(TASK, job="f" * 16, index=4), 1, "done", ""),)
        driver.answer_hold("worker-1", ended=later, clock_ms=driver.now_ms - 400)
        driver.advance(60)
        assert driver.hold("worker-1").last_acked_end == 0
        driver.answer_hold("worker-1", ended=later)
        driver.advance(60)
        assert driver.hold("worker-1").last_acked_end == 4


class TestRunsThatGoOn:
    """Runs that were given up and that their worker still lists as running."""

    def test_waiting_task_is_not_started_beside_its_run(self):
        """The leader ordered the run to stop and started the task elsewhere at the same moment."""
        driver = make_driver()
        worker = TestEndsOfRunsNotOnRecord().given_up(driver)
        driver.answer_hold(worker, running())
        for each in driver.state.workers.values():
            each.blocked_until_ms = 0
        driver.state.request_placement()
        driver.advance(1_000)
        assert len(driver.starts()) == 1
        assert not driver.calls(StopRun)
        driver.answer_hold(worker, ended=done())
        driver.advance(100)
        assert driver.state.table.jobs[JOB].outcome == "completed"

    def test_run_of_a_task_that_was_started_elsewhere_is_stopped(self):
        driver = make_driver()
        worker = TestEndsOfRunsNotOnRecord().given_up(driver)
        for each in driver.state.workers.values():
            each.blocked_until_ms = 0
        driver.state.request_placement()
        driver.advance(100)
        assert driver.starts()[-1].run == 2
        driver.answer_hold(worker, running())
        driver.advance(100)
        assert [(stop.worker, stop.run) for stop in driver.calls(StopRun)] == [(worker, 1)]
