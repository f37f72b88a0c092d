"""Maintenance waves and moves of machines in a simulated fleet."""

import attrs
import pytest
from fescuecrank_scheduler.events import OrderResult, WorkersRead
from fescuecrank_scheduler.fleet import Pool, Wave
from fescuecrank_scheduler.job_table import JobTable
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.leases import Leases
from fescuecrank_scheduler.limits import Limits
from fescuecrank_scheduler.records import Leadership
from fescuecrank_scheduler.runs import Runs
from fleet_simulation import Simulation
from scheduler_builders import config, entry, instant, job, step

JOB = "00000000000000aa"


def wave(sim: Simulation, cap: int = 2, duration_ms: int = 20_000) -> Wave:
    return Wave(1, tuple(sim.machines.machines), duration_ms, cap)


def started_simulation(workers: int = 4, **fields: object) -> Simulation:
    """Return a fleet that has elected a leader."""
    sim = Simulation(workers=workers, **fields)
    sim.run(2_000)
    return sim


def test_wave_is_done_in_time_and_within_its_cap():
    sim = started_simulation(6)
    due = wave(sim)
    sim.set_config(sim.config, (due,))
    sim.run(due.duration_ms)
    assert sim.wave_states == {1: True}
    assert all(machine.maintained == {1} for machine in sim.machines.machines.values())
    assert sim.machines.max_down <= due.cap


def test_wave_ends_no_task():
    sim = started_simulation(4)
    for number in range(8):
        sim.submit(job(f"{number:016x}", step(3), step(2, after=(0,))))
    sim.set_config(sim.config, (wave(sim),))
    sim.run(20_000)
    assert sim.machines.runs_ended_by_order == []
    assert all(sim.state(f"{number:016x}") == "completed" for number in range(8))


def test_refused_order_is_not_repeated_on_a_worker_that_has_runs_by_then():
    """The machine is down for another wave; its next worker has got runs when it is back."""
    sim = started_simulation(4)
    for number in range(30):
        sim.at(400 * number, lambda number=number: sim.submit(job(f"{number:016x}", step(4))))
    second = attrs.evolve(wave(sim, cap=3), number=2)
    sim.set_config(sim.config, (wave(sim, cap=3), second))
    sim.run(30_000)
    assert sim.wave_states == {1: True, 2: True}
    assert sim.machines.runs_ended_by_order == []


def test_wave_moves_long_running_tasks_within_may_miss():
    sim = started_simulation(4)
    sim.submit(job(JOB, step(3, long_running=True, may_miss=1, anti_affinity=1)))
    sim.run(1_000)
    sim.set_config(sim.config, (wave(sim, cap=4),))
    for _ in range(400):
        sim.run(50)
        stopping = [
            run
            for worker in sim.workers.values()
            for run in worker.runs.values()
            if run.stop_at_ms is not None
        ]
        assert len(stopping) <= 1
    assert sim.wave_states == {1: True}


def test_long_running_tasks_leave_due_machines_before_these_are_selected():
    # Guards against late waves: on a fleet of 180 machines, the last one went down 5 s late. The
    # 20 tasks of a step moved one after the other, the first only once its machine was selected.
    sim = started_simulation(6)
    sim.submit(job(JOB, step(4, cpu=500, long_running=True, may_miss=1)))
    sim.run(2_000)
    due = tuple(
        sim.worker_entries[worker.id].machine for worker in sim.workers.values() if worker.runs
    )
    assert len(due) == 2
    sim.set_config(sim.config, (Wave(1, due, 60_000, 1),))
    sim.run(5_000)
    stopped = [
        time_ms
        for time_ms, _, event, fields in sim.log
        if event == "run_ended" and fields["how"] == "stopped"
    ]
    first_down = next(t for t, _, event, _ in sim.log if event == "maintenance_ordered")
    # Both tasks of the first machine, and one of the second while the first is down.
    assert len(stopped) == 4
    assert stopped[2] - first_down <= 1_000


def test_wave_continues_under_a_new_leader():
    sim = started_simulation(6)
    due = wave(sim)
    sim.set_config(sim.config, (due,))
    sim.run(5_000)
    sim.kill(sim.leader().name)
    sim.run(20_000)
    assert sim.wave_states == {1: True}
    assert sim.machines.max_down <= due.cap


def test_wave_with_a_removed_machine_is_completed():
    sim = started_simulation(3)
    due = attrs.evolve(wave(sim), machines=("m-unknown", *sim.machines.machines))
    sim.set_config(sim.config, (due,))
    sim.run(20_000)
    assert sim.wave_states == {1: True}


def test_nothing_is_started_on_a_worker_whose_machine_went_down():
    # The list of workers still contains it when the machine is up again with a new worker.
    sim = started_simulation(4)
    sim.list_lag_ms = 4_500
    sim.set_config(sim.config, (wave(sim, cap=4, duration_ms=12_000),))
    for number in range(60):
        sim.submit(job(f"{number:016x}", step(4), accepted_ms=sim.now.wall_ms))
        sim.run(200)
    sim.run(5_000)
    assert sim.wave_states == {1: True}
    assert not [fields for fields in sim.logged("runs_lost") if fields["reason"] == "lease_over"]


def simulation_with_standby() -> Simulation:
    """Return a fleet with two workers in a pool and two machines in the standby pool."""
    cfg = config(pools=(Pool("pool-a"), Pool("spare", standby=True)))
    sim = Simulation(workers=4, cfg=cfg)
    for name in ("worker-3", "worker-4"):
        sim.worker_entries[name] = entry(name, pool="spare")
        sim.machines.machines[f"m-{name}"].pool = "spare"
    sim.run(2_000)
    return sim


def test_burst_switches_on_standby_machines_until_they_are_idle():
    sim = simulation_with_standby()
    for number in range(10):
        sim.submit(job(f"{number:016x}", step(4), accepted_ms=sim.now.wall_ms))
    sim.run(3_500)
    in_pool = [m for m in sim.machines.machines.values() if m.pool == "pool-a"]
    assert len(in_pool) == 4
    sim.run(20_000)
    assert all(sim.state(f"{number:016x}") == "completed" for number in range(10))
    in_pool = [m for m in sim.machines.machines.values() if m.pool == "pool-a"]
    assert len(in_pool) == 2


def test_burst_switches_on_machines_before_a_backlog_builds_up():
    # Twice the pool's capacity is requested from one moment to the next. A machine that is switched
    # on only once a second of work waits comes too late for the first jobs.
    sim = simulation_with_standby()
    burst_start_ms = sim.now_ms
    for number in range(8):
        sim.submit(job(f"{number:016x}", step(4), accepted_ms=sim.now.wall_ms))
        sim.run(250)
    moved = [time_ms for time_ms, _, event, _ in sim.log if event == "machine_move"]
    assert moved
    assert moved[0] - burst_start_ms <= 1_000


def test_moved_machine_gets_work_as_soon_as_its_worker_answers():
    sim = simulation_with_standby()
    for number in range(28):
        sim.submit(job(f"{number:016x}", step(4), accepted_ms=sim.now.wall_ms))
        sim.run(250)
    moved_ms = min(time_ms for time_ms, _, event, _ in sim.log if event == "machine_move")
    # The move itself, the next read of the list of workers, and the first hold with a pass.
    begin_ms = moved_ms + 1_500 + 300 + 200
    starts = [time_ms for time_ms, _, _ in sim.workers["worker-3+"].started]
    # Tasks take one second, and there is more work than capacity.
    for second_ms in range(begin_ms, begin_ms + 3_000, 1_000):
        assert [time_ms for time_ms in starts if second_ms - 1_000 < time_ms <= second_ms]


def simulation_with_pools(own: int = 5, spare: int = 1) -> Simulation:
    """Return a fleet with `own` workers in a pool and `spare` machines in the standby pool."""
    cfg = config(pools=(Pool("pool-a"), Pool("spare", standby=True)))
    sim = Simulation(workers=own + spare, cfg=cfg)
    for number in range(own + 1, own + spare + 1):
        sim.worker_entries[f"worker-{number}"] = entry(f"worker-{number}", pool="spare")
        sim.machines.machines[f"m-worker-{number}"].pool = "spare"
    return sim


def machines_in(sim: Simulation, pool: str) -> int:
    return sum(1 for machine in sim.machines.machines.values() if machine.pool == pool)


def test_idle_pool_switches_off_machines_until_the_next_burst():
    sim = simulation_with_pools()
    sim.submit(job(JOB, step(3, long_running=True, may_miss=1)))
    sim.run(8_000)
    assert machines_in(sim, "pool-a") == 3
    for number in range(20):
        sim.submit(job(f"{number:016x}", step(6), accepted_ms=sim.now.wall_ms))
        sim.run(150)
    assert machines_in(sim, "pool-a") == 6
    sim.run(20_000)
    assert machines_in(sim, "pool-a") == 3
    assert sim.machines.runs_ended_by_order == []
    assert all(sim.state(f"{number:016x}") == "completed" for number in range(20))


def test_machine_due_for_maintenance_is_switched_on_last():
    # Guards against late waves: a burst took a due machine out of the standby pool, and it was
    # maintained 18 s later, too late.
    sim = simulation_with_pools(own=3, spare=3)
    sim.run(5_000)
    # The cap keeps the second machine waiting.
    sim.set_config(sim.config, (Wave(1, ("m-worker-4", "m-worker-5"), 60_000, 1),))
    for number in range(4):
        sim.submit(job(f"{number:016x}", step(9), accepted_ms=sim.now.wall_ms))
    sim.run(400)
    moved = [
        fields["machine"] for fields in sim.logged("machine_move") if fields["pool"] != "spare"
    ]
    assert moved[:2] == ["m-worker-1", "m-worker-6"]


def test_silent_workers_are_replaced_by_standby_machines():
    sim = simulation_with_pools(own=3, spare=2)
    sim.run(3_000)
    for name in ("worker-1", "worker-2"):
        sim.workers[name].reachable = False
    sim.run(sim.limits.worker_silence_ms + 200)
    # Two jobs fill two workers. Three are still in the list, but only one answers.
    for number in range(2):
        sim.submit(job(f"{number:016x}", step(4), accepted_ms=sim.now.wall_ms))
        sim.run(300)
    assert machines_in(sim, "spare") < 2


def test_long_running_tasks_are_packed_but_not_on_one_worker():
    sim = simulation_with_pools()
    sim.run(2_000)
    sim.submit(job(JOB, step(4, cpu=500, long_running=True, may_miss=1)))
    sim.run(2_000)
    counts = [len(worker.runs) for worker in sim.workers.values() if worker.runs]
    assert sorted(counts) == [2, 2]


def test_machines_stay_on_for_long_running_tasks_with_anti_affinity():
    sim = simulation_with_pools()
    sim.submit(job(JOB, step(4, long_running=True, may_miss=1, anti_affinity=1)))
    sim.run(10_000)
    assert machines_in(sim, "pool-a") == 5


def test_machines_stay_on_for_tasks_with_a_latency_target():
    sim = simulation_with_pools()
    sim.submit(job(JOB, step(2, long_running=True, may_miss=1, target_ms=50)))
    sim.run(10_000)
    assert machines_in(sim, "pool-a") == 5


def test_long_running_tasks_without_capacity_switch_machines_on():
    sim = simulation_with_pools()
    sim.run(8_000)
    assert machines_in(sim, "pool-a") == 3
    sim.submit(job(JOB, step(5, cpu=3_000, long_running=True, may_miss=1)))
    sim.run(4_000)
    assert machines_in(sim, "pool-a") == 5
    assert sum(len(worker.runs) for worker in sim.workers.values()) == 5


def test_gang_that_is_late_still_gets_the_machines_it_needs():
    sim = simulation_with_pools()
    sim.run(8_000)
    late_ms = sim.now.wall_ms - 60_000
    sim.submit(job(JOB, step(5, cpu=3_000, gang=True), accepted_ms=late_ms))
    sim.run(8_000)
    assert sim.state(JOB) == "completed"


def test_rejected_move_is_not_repeated():
    sim = simulation_with_pools()
    sim.run(1_000)
    sim.machines.rejected_pools.add("spare")
    sim.run(10_000)
    orders = [fields["machine"] for fields in sim.logged("machine_move")]
    assert len(orders) == len(set(orders))


def test_light_load_moves_nothing():
    sim = simulation_with_standby()
    for number in range(10):
        sim.submit(job(f"{number:016x}", step(4)))
        sim.run(2_000)
    assert sim.machines.move_count == 0


def test_move_ends_no_task():
    sim = simulation_with_standby()
    for number in range(30):
        sim.submit(job(f"{number:016x}", step(2)))
        sim.run(150)
    sim.run(30_000)
    assert sim.machines.runs_ended_by_order == []


def test_long_running_task_on_a_silent_worker_counts_as_unavailable():
    sim = started_simulation(5)
    sim.submit(job(JOB, step(3, long_running=True, may_miss=1, anti_affinity=1)))
    sim.run(1_500)
    lost = next(worker for worker in sim.workers.values() if worker.runs)
    lost.reachable = False
    # The worker's last report, in which its task is ready, is outdated by now.
    sim.run(sim.limits.worker_silence_ms + 500)
    sim.set_config(sim.config, (wave(sim, cap=5),))
    sim.run(1_500)
    others = [worker for worker in sim.workers.values() if worker.runs and worker is not lost]
    assert len(others) == 2
    assert all(len(rows) == 1 for rows in sim.starts().values())


@pytest.mark.parametrize("cut_after_ms", range(500, 5_000, 500))
def test_leader_cut_off_from_the_store_orders_no_machine_after_its_successor(cut_after_ms):
    # Where the platform does not check epochs, both went on ordering machines.
    sim = simulation_with_standby()
    sim.machines.checks_epochs = False
    sim.run(cut_after_ms)
    sim.leader().store_reachable = False
    for number in range(30):
        sim.submit(job(f"{number:016x}", step(4), accepted_ms=sim.now.wall_ms))
        sim.run(250)
    sim.run(8_000)
    assert len(set(sim.machines.epochs)) >= 1
    assert sim.machines.epochs == sorted(sim.machines.epochs)


@pytest.mark.parametrize("pause_ms", [1_600, 2_000, 3_400])
def test_leader_that_was_paused_orders_no_machine_before_it_has_renewed(pause_ms):
    sim = simulation_with_standby()
    leader = sim.leader()
    sim.run(500)
    leader.frozen = True
    sim.run(pause_ms)
    reducer = leader.reducer
    assert reducer.scheduler.state.may_order_machines(sim.now) is False


def test_move_that_was_done_before_gives_up_no_runs():
    """An outdated list makes a leader order a machine to the pool in which it is at work.

    The platform confirms that, as the machine is there already.
    """
    pools = (Pool("pool-a"), Pool("spare", standby=True))
    sim = started_simulation(4, cfg=config(pools=pools))
    for worker in sim.workers.values():
        worker.work_ms = 3_000
    rows = sim.machines.rows()
    sim.machines.rows = lambda: tuple(attrs.evolve(row, pool="spare") for row in rows)
    sim.run(1_500)
    for number in range(10):
        sim.submit(job(f"{number:016x}", step(4, estimate_ms=3_000)))
    sim.run(1_500)
    assert not [lost for lost in sim.logged("runs_lost") if lost["reason"] == "machine_down"]
    del sim.machines.rows
    sim.run(40_000)
    assert all(sim.state(f"{number:016x}") == "completed" for number in range(10))
    assert all(len(rows) == 1 for rows in sim.starts().values())


@pytest.mark.parametrize("newest_first", [False, True])
def test_machine_of_a_crashed_worker_that_is_still_listed_is_not_idle(newest_first):
    """The list still has the crashed worker of a machine on which its successor is at work.

    A new leader learns of the two in any order. It must not move or maintain the machine.
    """
    state = LeaderState(Limits(), JobTable(), config(), Leadership(1, "entry-1", 0))
    leases = Leases(state, Runs(state))
    entries = [
        entry("crashed", machine="m-1", started_ms=1_000),
        entry("successor", machine="m-1", started_ms=9_000),
    ]
    if newest_first:
        entries.reverse()
    leases.on_workers_read(WorkersRead(tuple(entries), whole=True), instant(20_000))
    state.index_machines({})
    assert state.worker_by_machine["m-1"].id == "successor"


def run_until_ordered(sim: Simulation, orders: list, count: int) -> None:
    """Run until `count` orders have been sent; fail after 10 s."""
    for _ in range(200):
        if len(orders) >= count:
            return
        sim.run(50)
    raise AssertionError(f"{len(orders)} orders instead of {count}")


@pytest.mark.parametrize("refusal", [OrderResult.THROTTLED, OrderResult.BUSY])
def test_refused_repetition_of_a_move_does_not_free_the_machine(refusal):
    # Guards against lost runs: the first order got no answer and was carried out seconds later,
    # when the machine had work again, as its repetition had been refused.
    sim = simulation_with_pools()
    carry_out, orders = sim.machines.order, []

    def order(effect):
        orders.append(effect)
        if len(orders) == 1:
            sim.at(4_000, lambda: carry_out(effect))
            return OrderResult.NO_ANSWER
        return refusal if sim.now_ms < late_ms else carry_out(effect)

    sim.machines.order = order
    late_ms = 10**9
    run_until_ordered(sim, orders, 1)
    late_ms = sim.now_ms + 4_000
    run_until_ordered(sim, orders, 2)
    for number in range(40):
        sim.submit(job(f"{number:016x}", step(6), accepted_ms=sim.now.wall_ms))
        sim.run(200)
    assert sim.machines.runs_ended_by_order == []
