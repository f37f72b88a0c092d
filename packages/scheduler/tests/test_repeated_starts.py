"""Tasks that must not start again: refused repeats, restarted workers, late copies, many ends.

The simulation fails when a task runs on two workers at a time, or is started again after an
acknowledged end `done`.
"""

import attrs
import pytest
from faulty_fleet import FaultySimulation
from fescuecrank_scheduler.events import EndRow, RunRow
from fescuecrank_scheduler.jobs import TaskId
from fleet_simulation import Simulation
from leader_builders import make_driver
from run_history import RunHistory
from scheduler_builders import job, step

FIRST_JOB = "00000000000000aa"
JOB = "00000000000000bb"


def start_up(workers: int, seed: int = 1) -> FaultySimulation:
    """Run until a leader is elected and a first job has ended on every worker."""
    sim = FaultySimulation(workers=workers, seed=seed)
    sim.run(2_000)
    sim.submit(job(FIRST_JOB, step(4 * workers, anti_affinity=4)))
    sim.run(3_000)
    assert sim.state(FIRST_JOB, sim.leader().name) == "completed"
    return sim


def submit_one(sim: FaultySimulation, work_ms: int) -> str:
    """Submit a job of one task and return the worker that it was sent to."""
    for worker in sim.workers.values():
        worker.work_ms = work_ms
    sim.submit(job(JOB, step(1, estimate_ms=work_ms)))
    sim.run(100)
    sends = [line for line in sim.trace if f"StartRun {JOB}" in line and " send " in line]
    return sends[0].split(">")[1].split("#")[0]


def test_history_rejects_a_start_after_an_acknowledged_end():
    history, task = RunHistory(), TaskId(JOB, 0, 0, 0)
    history.record_start(task, 1, "worker-1", 100)
    end = history.record_done(task, 1, "worker-1", 1, 200)
    history.record_ack(end, 300)
    with pytest.raises(AssertionError, match="was started again"):
        history.record_start(task, 2, "worker-2", 400)


def test_history_rejects_an_acknowledgement_after_another_start():
    history, task = RunHistory(), TaskId(JOB, 0, 0, 0)
    history.record_start(task, 1, "worker-1", 100)
    end = history.record_done(task, 1, "worker-1", 1, 200)
    history.record_start(task, 2, "worker-2", 300)
    with pytest.raises(AssertionError, match="was started again"):
        history.record_ack(end, 400)


def test_history_allows_a_start_after_an_end_that_is_not_acknowledged():
    history, task = RunHistory(), TaskId(JOB, 0, 0, 0)
    history.record_start(task, 1, "worker-1", 100)
    history.record_done(task, 1, "worker-1", 1, 200)
    history.record_start(task, 2, "worker-2", 300)
    assert len(history.starts[task]) == 2


def test_end_listed_before_a_lapse_of_the_lease_does_not_count_as_acknowledged():
    sim = start_up(1)
    worker = sim.workers["worker-1"]
    submit_one(sim, 200)
    for name in sim.nodes:
        sim.kill(name)
    sim.run(15_000)
    acked = sim.history.ack_count
    assert [row.end_reason for row in worker.ends] == ["done"]
    sim.add_node("entry-1")
    sim.run(10_000)
    assert not worker.ends
    assert sim.history.ack_count == acked


@pytest.mark.parametrize("seed", range(4))
def test_refusal_of_a_repeated_start_frees_no_task_of_which_a_start_may_be_carried_out(seed):
    sim = start_up(2, seed)
    sim.late_order_share, sim.late_call_ms = 1.0, (2_000, 3_000)
    submit_one(sim, 400)
    sim.late_order_share, sim.refused_repeat_share = 0.0, 1.0
    sim.run(20_000)
    assert sim.fault_counts["refused_repeat"]
    assert sim.state(JOB, sim.leader().name) == "completed"


@pytest.mark.parametrize("work_ms", (300, 5_000))
def test_first_hold_after_a_restart_acknowledges_no_end_of_the_next_incarnation(work_ms):
    """The restart shows when the open hold has timed out; an end may have been listed by then."""
    sim = start_up(2)
    sim.late_order_share, sim.late_call_ms = 1.0, (60_000, 60_001)
    worker = sim.workers[submit_one(sim, work_ms)]
    sim.late_order_share = 0.0
    sim.list_age_ms = 5_000
    sim.restart_behind_cut(worker.id, 100, entry_is_stale=True)
    sim.run(20_000)
    assert worker.incarnation == 2
    assert sim.state(JOB, sim.leader().name) == "completed"


@pytest.mark.parametrize("work_ms", (300, 5_000))
@pytest.mark.parametrize("shown_by", ("list", "answer"))
def test_restart_noticed_late_starts_no_task_of_the_next_incarnation_again(shown_by, work_ms):
    """The start is answered while neither the list nor an answer has shown the restart."""
    sim = start_up(2)
    sim.list_age_ms = 5_000
    worker = sim.workers["worker-1"]
    sim.restart_behind_cut(worker.id, 100, entry_is_stale=True)
    sim.run(150)
    assert submit_one(sim, work_ms) == worker.id
    assert worker.runs and worker.incarnation == 2
    sim.run(700)
    if shown_by == "list":
        sim.list_age_ms = 0
    sim.run(20_000)
    assert sim.state(JOB, sim.leader().name) == "completed"


@pytest.mark.parametrize("called_before", (False, True), ids=("uncalled", "called"))
@pytest.mark.parametrize("share", ("late_order_share", "second_copy_share"))
def test_late_copy_of_a_start_runs_nothing_on_the_next_incarnation(share, called_before):
    sim = start_up(1)
    setattr(sim, share, 1.0)
    sim.late_call_ms = (3_000, 3_001)
    submit_one(sim, 300)
    setattr(sim, share, 0.0)
    sim.run(2_000)
    assert sim.state(JOB, sim.leader().name) == "completed"
    # The copy is carried out about 900 ms from here.
    sim.run(400 if called_before else 850)
    sim.restart_worker("worker-1", 10, announced=True)
    sim.run(8_000)
    assert (
        sim.fault_counts["late_StartRun_reborn"] + sim.fault_counts["late_StartRun_reborn_fenced"]
    )


def test_ends_that_one_answer_does_not_list_are_not_taken_for_missing():
    sim = FaultySimulation(workers=1)
    sim.run(2_000)
    sim.submit(job(JOB, step(1_200, cpu=2, mem_mb=1, estimate_ms=400)))
    sim.workers["worker-1"].work_ms = 400
    sim.run(15_000)
    assert sim.state(JOB, sim.leader().name) == "completed"


def test_late_hold_of_an_earlier_incarnation_acknowledges_no_end_that_was_not_seen():
    sim = start_up(1)
    sim.late_hold_share, sim.late_call_ms = 1.0, (4_000, 4_001)
    sim.run(2_000)
    sim.late_hold_share = 0.0
    sim.restart_worker("worker-1", 10)
    sim.run(1_000)
    submit_one(sim, 200)
    sim.run(15_000)
    assert (
        sim.fault_counts["late_HoldWorker_reborn"]
        + sim.fault_counts["late_HoldWorker_reborn_fenced"]
    )
    assert sim.state(JOB, sim.leader().name) == "completed"


@pytest.mark.parametrize("frozen", (False, True), ids=("running", "frozen"))
@pytest.mark.parametrize("seed", range(6))
def test_leader_without_the_store_lets_the_leases_end_for_which_its_successor_waits(seed, frozen):
    """The old leader reaches one worker only, and the successor all others, so that no token tells.

    A frozen leader wakes up with the answer of an append that was stored seconds before.
    """
    sim = FaultySimulation(workers=3, seed=seed)
    sim.run(2_000)
    sim.submit(job(JOB, step(2, cpu=500, anti_affinity=1, long_running=True)))
    sim.run(1_500)
    old, worker = sim.leader(), next(each for each in sim.workers.values() if each.runs)
    (task,) = worker.runs
    sim.split(old, {worker.id})
    if frozen:
        sim.on_append[old.name] = "freeze"
        sim.run(400)
        assert sim.fault_counts["freeze_at_append"] == 1
    old.store_reachable = False
    sim.run(20_000)
    assert sim.leader() is not old
    assert len(sim.starts()[task]) == 2


def test_task_is_not_started_while_a_worker_lists_a_run_of_it():
    """A stop takes time; a start elsewhere meanwhile makes two runs."""
    driver, task = make_driver(), TaskId(JOB, 0, 0, 0)
    for worker in driver.state.workers.values():
        worker.blocked_until_ms = driver.now_ms + 200
    driver.submit(job(JOB, step(1)))
    driver.advance(50)
    # An earlier leader has given run 1 up.
    driver.state.table.jobs[JOB].task(task).run = 1
    driver.answer_hold("worker-1", running=(RunRow(task, 1, "", 10),))
    driver.advance(1_000)
    assert not driver.starts(task)
    driver.answer_hold("worker-1", ended=(EndRow(1, task, 1, "stopped", ""),))
    driver.advance(500)
    assert len(driver.starts(task)) == 1


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
