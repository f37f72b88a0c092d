"""The leader of a large fleet: cost of an event, size of its machine, lateness."""

import random

import attrs
import pytest
from fescuecrank_scheduler import events, ordering
from fescuecrank_scheduler.deadlines import Deadlines
from fescuecrank_scheduler.events import CallResult, HoldReply
from fescuecrank_scheduler.fleet import Pool, Resources, Team
from fescuecrank_scheduler.job_table import JobTable
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.leadership import Election, LoopMonitor, claim_handicap_ms
from fescuecrank_scheduler.limits import Limits
from fescuecrank_scheduler.records import Leadership
from fescuecrank_scheduler.scheduler import Scheduler
from fleet_simulation import Simulation
from hypothesis import given
from hypothesis import strategies as st
from scheduler_builders import WALL_MS, config, entry, instant, job, queue, step

TWO_POOLS = config(
    queues=(queue("checks", "pool-a"), queue("renders", "pool-b")),
    pools=(Pool("pool-a"), Pool("pool-b")),
)


def make_leader(*entries: events.WorkerEntry, cfg=TWO_POOLS) -> Scheduler:
    """Return a leader whose workers have all answered."""
    leader = Scheduler(LeaderState(Limits(), JobTable(), cfg, Leadership(1, "entry", 0)), 1)
    leader.take_over(instant(0))
    leader.handle(events.WorkersRead(entries, whole=True), instant(0))
    leader.run_pending(instant(1))
    for each in entries:
        answer_hold(leader, each.id, 2)
    return leader


def answer_hold(leader: Scheduler, worker: str, now_ms: int) -> None:
    number = leader.state.worker(worker).hold_number
    reply = HoldReply(now_ms, 1, (), ())
    leader.handle(events.HoldDone(worker, number, CallResult.OK, reply), instant(now_ms))


def add_jobs(leader: Scheduler, *jobs) -> None:
    for each in jobs:
        leader.state.table.jobs[each.id] = each
    leader.on_jobs_changed([each.id for each in jobs], instant(0))


class TestDeadlines:
    """Times of many keys."""

    @given(
        st.lists(st.tuples(st.sampled_from("abcd"), st.none() | st.integers(0, 20))),
        st.integers(0, 20),
    )
    def test_same_as_a_search_over_all_keys(self, changes, now_ms):
        deadlines, expected = Deadlines(), {}
        for key, due_ms in changes:
            if due_ms is None:
                deadlines.discard(key)
                expected.pop(key, None)
            else:
                deadlines.set(key, due_ms)
                expected[key] = due_ms
        assert deadlines.next_due_ms() == min(expected.values(), default=None)
        due = sorted(key for key, due_ms in expected.items() if due_ms <= now_ms)
        assert sorted(deadlines.pop_due(now_ms)) == due
        left = {key: due_ms for key, due_ms in expected.items() if due_ms > now_ms}
        assert deadlines.next_due_ms() == min(left.values(), default=None)

    def test_key_that_is_set_while_popped_is_due_once_more(self):
        deadlines = Deadlines()
        deadlines.set("a", 1)
        popped = []
        for key in deadlines.pop_due(5):
            popped.append(key)
            deadlines.set(key, 9)
        assert (popped, deadlines.next_due_ms()) == (["a"], 9)


class TestCostOfEvents:
    """Guards against work for the whole fleet after the event of one worker."""

    def test_end_of_a_run_reorders_only_the_jobs_of_its_pool(self, monkeypatch):
        # A burst leaves many jobs waiting in one pool while runs end in the others.
        leader = make_leader(entry("a", pool="pool-a"), entry("b", pool="pool-b"))
        add_jobs(leader, *(job(f"{n:016x}", step(9), queue="renders") for n in range(50)))
        add_jobs(leader, job("f" * 16, step(2)))
        leader.run_pending(instant(100))
        ordered = []

        def order(demands, cores, now_ms):
            ordered.append(len(demands))
            return list(demands)

        monkeypatch.setattr(ordering, "order_demands", order)
        worker = leader.state.worker("a")
        run = next(iter(worker.runs.values()))
        leader.runs.run_ended(worker, run, "lapsed", "", instant(150))
        leader.run_pending(instant(200))
        assert ordered == [1]

    def test_end_of_a_run_serves_tasks_that_its_team_limit_held_back_in_another_pool(self):
        teams = (Team("team-a", limit=Resources(cpu=2_000)),)
        cfg = attrs.evolve(TWO_POOLS, teams={team.name: team for team in teams})
        leader = make_leader(entry("a", pool="pool-a"), entry("b", pool="pool-b"), cfg=cfg)
        add_jobs(leader, job("a" * 16, step(2)))
        leader.run_pending(instant(100))
        add_jobs(leader, job("b" * 16, step(1), queue="renders"))
        leader.run_pending(instant(150))
        worker = leader.state.worker("a")
        assert (len(worker.runs), len(leader.state.worker("b").runs)) == (2, 0)
        run = next(iter(worker.runs.values()))
        # The job of the ended run is cancelled, so that its task does not take the room again.
        leader.state.table.jobs["a" * 16].cancelled = True
        leader.runs.run_ended(worker, run, "stopped", "", instant(160))
        leader.run_pending(instant(200))
        assert len(leader.state.worker("b").runs) == 1

    def test_leader_that_cannot_renew_leases_does_not_wake_up_for_them(self):
        # With the store away, due holds woke the leader every millisecond.
        leader = make_leader(entry("a", pool="pool-a"))
        now = instant(Limits().leader_validity_ms + 1)
        leader.progress.start_append(now)
        leader.tick(now)
        leader.run_pending(now)
        assert leader.next_wake_ms(now) is None

    def test_hold_is_sent_when_it_is_due_and_only_once(self):
        leader = make_leader(entry("a", pool="pool-a"), entry("b", pool="pool-b"))
        pause_ms = Limits().hold_pause_ms
        assert not [e for e in leader.run_pending(instant(pause_ms)) if hasattr(e, "wait_ms")]
        sent = [e for e in leader.run_pending(instant(pause_ms + 2)) if hasattr(e, "wait_ms")]
        assert sorted(effect.worker for effect in sent) == ["a", "b"]
        assert not [e for e in leader.run_pending(instant(9_000)) if hasattr(e, "wait_ms")]


class TestMachineOfTheLeader:
    """Which process leads where machines differ."""

    @pytest.mark.parametrize(
        ("cores", "link_mbps", "memory_mb", "handicap_ms"),
        [(2.0, 200.0, 552.0, 0), (0.5, 200.0, 552.0, 300), (2.0, 10.0, 552.0, 480), (0, 0, 0, 0)],
    )
    def test_handicap_follows_the_scarcest_resource(self, cores, link_mbps, memory_mb, handicap_ms):
        assert claim_handicap_ms(cores, link_mbps, memory_mb) == handicap_ms

    @pytest.mark.parametrize("seed", range(10))
    def test_large_machine_leads_after_a_start_and_after_the_loss_of_a_leader(self, seed):
        sim = Simulation(nodes=6, workers=2, seed=seed)
        small, large = Limits(claim_handicap_ms=480), Limits()
        for number, node in enumerate(sim.nodes.values()):
            limits = large if number < 2 else small
            node.reducer.limits = node.reducer.election.limits = limits
        sim.run(3_000)
        first = sim.leader()
        assert first.name in ("entry-1", "entry-2")
        sim.kill(first.name)
        sim.run(4_000)
        second = sim.leader()
        assert {first.name, second.name} == {"entry-1", "entry-2"}
        sim.kill(second.name)
        sim.run(4_000)
        assert sim.leader() is not None

    def test_restarted_processes_leave_the_claim_to_the_larger_machine(self):
        # After a loss of power the record of the old leader is already older than its time-out.
        old = Leadership(7, "entry-9", 0, 1, WALL_MS - 60_000)
        claims = {}
        for name, handicap_ms in (("small", 480), ("large", 0)):
            election = Election(name, Limits(claim_handicap_ms=handicap_ms), random.Random(name))
            election.observe(old, 0, WALL_MS)
            claims[name] = next(t for t in range(5_000) if election.should_claim(t))
        assert claims["large"] < claims["small"]


class TestSlowLeader:
    """A leader whose machine is too slow hands over."""

    def test_one_pause_is_not_an_overload(self):
        monitor = LoopMonitor()
        for now_ms in (0, 50, 100, 3_100, 3_150, 3_200):
            monitor.record_tick(now_ms)
        assert not monitor.overloaded

    def test_leader_that_stays_late_hands_over_and_runs_go_on(self):
        sim = Simulation(nodes=3, workers=3)
        sim.run(6_500)
        old = sim.leader()
        sim.submit(job("a" * 16, step(3, estimate_ms=6_000)))
        sim.run(400)
        for _ in range(14):
            # The process is slow: it handles a tick, then nothing for 200 ms.
            old.frozen = True
            sim.run(200)
            old.frozen = False
            sim.run(50)
        assert sim.logged("leader_overloaded")
        lines = [fields["late_ms"] for fields in sim.logged("leader_late")]
        assert 2 <= len(lines) <= 4
        assert min(lines) >= 300
        sim.run(1_000)
        assert sim.leader().name != old.name
        sim.run(9_000)
        assert sim.state("a" * 16) == "completed"
        assert all(len(rows) == 1 for rows in sim.starts().values())
