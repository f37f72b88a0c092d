"""Tasks that crash the workers that start them, and workers that crash for other reasons."""

import pytest
from fescuecrank_scheduler.jobs import TaskId
from fleet_simulation import Simulation
from scheduler_builders import job, step

CRASHING_JOB = "c" * 16
CRASHING_TASK = TaskId(CRASHING_JOB, 0, 0, 0)

# Starts that the users allow after three workers have crashed under a task.
STARTS_AFTER_THREE_CRASHES = 2


def make_fleet(seed: int = 1, workers: int = 6, nodes: int = 3) -> Simulation:
    """Return a fleet with a leader, in which one task crashes its workers."""
    sim = Simulation(nodes=nodes, workers=workers, seed=seed)
    sim.list_lag_ms = 4_500
    sim.crashing_tasks.add(CRASHING_TASK)
    sim.run(2_000)
    assert sim.leader() is not None
    return sim


def submit_others(sim: Simulation, count: int, first: int = 1) -> list[str]:
    names = [f"{number:016x}" for number in range(first, first + count)]
    for name in names:
        sim.submit(job(name, step(4), step(2, after=(0,))))
    return names


def check_starts(sim: Simulation) -> None:
    """Check that the crashing task is not started too often after three crashes."""
    crashes = sim.crashes.get(CRASHING_TASK, [])
    if len(crashes) < 3:
        return
    third_ms = crashes[2][0]
    late = [row for row in sim.starts()[CRASHING_TASK] if row[0] > third_ms]
    assert len(late) <= STARTS_AFTER_THREE_CRASHES, (crashes, late)


@pytest.mark.parametrize("same_id", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_task_that_crashes_its_workers_is_given_up(seed, same_id):
    sim = make_fleet(seed)
    sim.restarts_keep_id = same_id
    others = submit_others(sim, 6)
    sim.run(300)
    sim.submit(job(CRASHING_JOB, step(3)))
    sim.run(40_000)
    check_starts(sim)
    assert sim.state(CRASHING_JOB) == "failed"
    assert {sim.state(name) for name in others} == {"completed"}


@pytest.mark.parametrize("delay_ms", [5, 20, 60, 400, 1_500, 3_400])
@pytest.mark.parametrize("seed", range(2))
def test_crashes_that_killed_leaders_saw_count_for_the_next(seed, delay_ms):
    sim = make_fleet(seed, nodes=8)
    sim.submit(job(CRASHING_JOB, step(3)))
    killed = 0
    for _ in range(4_000):
        sim.run(10)
        crashes = sim.crashes.get(CRASHING_TASK, [])
        # Every second crash is followed by the loss of the leader that may have seen it.
        due = [crash for crash in crashes[::2] if sim.now_ms >= crash[0] + delay_ms]
        if len(due) > killed and sim.leader() is not None:
            sim.kill(sim.leader().name)
            killed += 1
    check_starts(sim)
    survivor = next(name for name, node in sim.nodes.items() if node.alive)
    assert sim.state(CRASHING_JOB, survivor) == "failed"


def test_neighbours_of_a_crashing_task_are_lost_once_at_most():
    sim = make_fleet()
    others = submit_others(sim, 6)
    sim.run(300)
    sim.submit(job(CRASHING_JOB, step(3)))
    for number in range(20):
        others += submit_others(sim, 1, first=100 + number)
        sim.run(700)
    sim.run(30_000)
    assert {sim.state(name) for name in others} == {"completed"}
    assert max(sim.lost_neighbours.values(), default=0) <= 1


def test_worker_that_answers_again_is_used_at_once():
    sim = make_fleet(workers=1)
    sim.crashing_tasks.clear()
    sim.run(200)
    sim.workers["worker-1"].refusing = True
    sim.run(2_000)
    sim.workers["worker-1"].refusing = False
    regained_ms = sim.now_ms
    sim.submit(job(CRASHING_JOB, step(1)))
    sim.run(3_000)
    assert sim.starts()[CRASHING_TASK][0][0] - regained_ms < 400
