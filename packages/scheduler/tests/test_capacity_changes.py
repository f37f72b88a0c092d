"""Workers whose capacity shrinks and grows while they run, some of which accept any start."""

import attrs
from fescuecrank_scheduler.events import Topic
from fescuecrank_scheduler.fleet import Pool, Resources
from fescuecrank_scheduler.jobs import TaskId
from fescuecrank_scheduler.ordering import PoolSpeed
from fescuecrank_scheduler.workers import Worker
from fleet_simulation import RESIZE_GRACE_MS, Simulation
from scheduler_builders import config, job, step

JOB = "00000000000000aa"


def make_fleet(workers: int = 2, nodes: int = 3) -> Simulation:
    """Return a fleet with a leader; unguarded workers start whatever they are told to."""
    cfg = config(pools=(Pool("pool-a", admission_check=False),))
    sim = Simulation(nodes, workers, cfg)
    sim.run(2_000)
    assert sim.leader() is not None
    return sim


def submit_short_jobs(sim: Simulation, seconds: int) -> None:
    for number in range(seconds * 2):
        sim.submit(job(f"{number:016x}", step(3), accepted_ms=sim.now.wall_ms))
        sim.run(500)


def test_shrunk_worker_is_not_filled_beyond_its_capacity():
    sim = make_fleet()
    sim.resize_worker("worker-1", 1_000)
    submit_short_jobs(sim, 12)
    assert not sim.starts_over_capacity
    counts = [len(sim.workers[name].started) for name in ("worker-1", "worker-2")]
    assert 0 < counts[0] < counts[1]


def test_worker_that_grows_again_is_used_again():
    sim = make_fleet(workers=1)
    sim.resize_worker("worker-1", 0)
    sim.run(1_000)
    sim.submit(job(JOB, step(2)))
    sim.run(3_000)
    assert not sim.starts()
    sim.resize_worker("worker-1", 2_000)
    sim.run(3_000)
    assert sim.state(JOB) == "completed"


def test_worker_that_shrank_below_its_long_running_tasks_adds_no_negative_speed():
    shrunk = Worker("worker-1", capacity=Resources(1_000, 1_000), long_running_cpu=3_000)
    sound = Worker("worker-2", capacity=Resources(4_000, 1_000))
    assert PoolSpeed.of_workers([shrunk, sound]).cores == 4
    assert PoolSpeed.of_workers([shrunk]).worker_cpu == 0


def test_runs_of_a_shrunk_worker_go_on():
    sim = make_fleet(workers=1)
    sim.submit(job(JOB, step(4)))
    sim.run(300)
    sim.resize_worker("worker-1", 1_000)
    sim.run(3_000)
    assert sim.state(JOB) == "completed"
    assert all(len(rows) == 1 for rows in sim.starts().values())


def cut_off_store_once_runs_are_planned(sim: Simulation) -> None:
    """Let the leader plan runs that it cannot store any more."""
    workers = sim.leader().reducer.scheduler.state.workers
    for _ in range(100):
        if any(worker.runs for worker in workers.values()):
            break
        sim.run(1)
    for node in sim.nodes.values():
        node.store_reachable = False
    sim.run(200)
    assert any(worker.runs for worker in workers.values())
    assert not sim.starts()


def test_runs_planned_before_an_outage_are_not_started_on_a_worker_that_shrank_meanwhile():
    sim = make_fleet(nodes=1)
    sim.submit(job(JOB, step(8)))
    cut_off_store_once_runs_are_planned(sim)
    for name in sim.workers:
        sim.resize_worker(name, 1_000)
    sim.list_readable = False
    sim.run(RESIZE_GRACE_MS + 100)
    for node in sim.nodes.values():
        node.store_reachable = True
    sim.run(500)
    sim.list_readable = True
    sim.run(20_000)
    assert not sim.starts_over_capacity
    assert sim.state(JOB) == "completed"


def test_unanswered_start_is_not_repeated_on_a_worker_that_shrank_meanwhile():
    sim = make_fleet(workers=1)
    sim.submit(job(JOB, step(4)))
    worker = sim.workers["worker-1"]
    sim.run(12)
    worker.reachable = False
    sim.run(400)
    assert not sim.starts()
    sim.resize_worker("worker-1", 1_000)
    sim.run(RESIZE_GRACE_MS + 100)
    worker.reachable = True
    sim.run(20_000)
    assert not sim.starts_over_capacity
    assert sim.state(JOB) == "completed"


def test_worker_whose_entry_is_old_gets_no_runs_if_it_accepts_any_start():
    sim = make_fleet()
    sim.list_readable = False
    sim.run(500)
    for name in sim.workers:
        sim.resize_worker(name, 1_000)
    sim.run(RESIZE_GRACE_MS + 100)
    sim.submit(job(JOB, step(8)))
    sim.run(3_000)
    assert not sim.starts_over_capacity
    sim.list_readable = True
    sim.run(1_000)
    assert sim.starts()


def test_runs_of_jobs_that_a_new_leader_has_not_read_count():
    sim = make_fleet(workers=1)
    leader = sim.leader()
    for node in sim.nodes.values():
        if node is not leader:
            node.unread_topics.add(Topic.INTAKE)
    sim.submit(job(JOB, step(4)))
    sim.run(300)
    assert len(sim.workers["worker-1"].runs) == 4
    sim.kill(leader.name)
    others = [job(f"{number:016x}", step(4)) for number in range(3)]
    for other in others:
        for node in sim.nodes.values():
            node.reducer.table.jobs[other.id] = attrs.evolve(other, tasks={})
    sim.workers["worker-1"].runs[TaskId(JOB, 0, 0, 0)].work_ms = 6_000
    sim.run(5_000)
    assert not sim.starts_over_capacity
    for node in sim.nodes.values():
        node.unread_topics.clear()
    sim.run(15_000)
    assert not sim.starts_over_capacity
    survivor = next(name for name, node in sim.nodes.items() if node.alive)
    assert sim.state(JOB, survivor) == "completed"


def test_runs_that_a_leader_has_given_up_count_until_they_have_stopped():
    sim = make_fleet(workers=1)
    sim.submit(job(JOB, step(4)))
    sim.run(300)
    assert len(sim.workers["worker-1"].runs) == 4
    scheduler = sim.leader().reducer.scheduler
    scheduler.runs.abandon_runs(scheduler.state.workers["worker-1"], "lease_over", sim.now)
    for number in range(3):
        sim.submit(job(f"{number:016x}", step(4)))
    sim.run(10_000)
    assert not sim.starts_over_capacity
    assert sim.state(JOB) == "completed"
