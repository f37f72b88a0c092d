"""Groups of workers in the soak over processes: restarts at once, earlier calls, long tasks."""

import asyncio
import itertools
import random
import signal
from types import SimpleNamespace

import attrs
import orjson
import pytest
from fake_worker import LEASE_MAX_MS
from platform_servers import now_ms, unix_ms
from service_builders import until
from soak_builders import JOB, TASK, use_workers
from soak_callers import LONG_JOBS_PER_WORKER, Callers
from soak_faults import GROUP_LEAD_MS, Faults
from soak_jobs import LONG, LONG_WORK_MS, PLAIN, draw_job, long_kind
from soak_ledger import EARLY_MS
from soak_machine import CLOCK_RATE
from soak_plan import FAULTS, GROUP_END_MS, GROUP_FAULTS, GROUP_STEP_MS, make_plan
from soak_report import early_losses
from soak_workers import START_PATH

DARK_MS = 600
LATER = attrs.evolve(TASK, occurrence=1)


# Calls of a former life.


@pytest.mark.parametrize(("age_ms", "bound"), [(0, "under"), (1_000, "over")])
def test_call_to_a_worker_that_is_down_is_the_first_of_its_next_incarnation(
    monkeypatch, age_ms, bound
):
    """Without it, the soak would not show starts that nobody can refuse."""

    async def scenario(soak):
        server = soak.workers[0]
        server.restart_in_group(DARK_MS, 0, takes_calls=True)
        starts = [asyncio.ensure_future(soak.start(0, run=run)) for run in (1, 1)]
        await until(lambda: len(server._waiting) == 2)
        monkeypatch.setattr("soak_workers.now_ms", lambda: now_ms() + age_ms)
        life = server.life
        await server._come_back(keeps_id=True)
        assert [(await start)[0] for start in starts] == [200, 200]
        assert server.has_started
        assert (server.life.worker, server.life != life) == (life.worker, True)
        for order in ("first", "later"):
            name = f"run-start calls of a former life carried out {order}, {bound} 1 s late"
            assert soak.hits[name] == 1

    assert not use_workers(scenario)


def test_call_of_a_caller_that_gave_up_is_carried_out():
    async def scenario(soak):
        server = soak.workers[0]
        server.restart_in_group(DARK_MS, 0, takes_calls=True)
        await server.proxy.open()
        host, port = server.proxy.address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        body = b'{"task":"%s.0.0.0","run":1,"spec":"s"' % JOB.encode()
        body += b',"deadline_ms":1000000,"fencing_token":1}'
        head = (
            f"POST {START_PATH} HTTP/1.1\r\nHost: worker\r\nX-Expect-Instance: {server.worker.id}"
        )
        writer.write(f"{head}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        await until(lambda: server._waiting)
        writer.transport.abort()
        await until(lambda: not server.proxy._links)
        await server._come_back(keeps_id=True)
        await until(lambda: server.has_started)

    assert not use_workers(scenario)


def test_start_of_a_former_life_beside_another_run_is_reported():
    async def scenario(soak):
        soak.workers[0].restart_in_group(DARK_MS, 0, takes_calls=True)
        start = asyncio.ensure_future(soak.start(0))
        await until(lambda: soak.workers[0]._waiting)
        await soak.start(1, run=2)
        await soak.workers[0]._come_back(keeps_id=True)
        await start

    (text,) = use_workers(scenario)
    assert "runs on ['i-1-1']" in text


def test_nothing_of_a_former_life_reaches_a_group_that_discards_it():
    """Longer leases could not be told from late calls otherwise."""

    async def scenario(soak):
        server = soak.workers[0]
        await server.proxy.open()
        _, writer = await asyncio.open_connection(*server.proxy.address.split(":"))
        await until(lambda: server.proxy._links)
        server.restart_in_group(DARK_MS, 0, takes_calls=False)
        assert all(link.dead for link in server.proxy._links)
        assert await soak.start(0) is None
        await server._come_back(keeps_id=True)
        assert not server.has_started
        assert soak.hits["calls discarded by workers that were down"] == 1
        writer.transport.abort()
        await until(lambda: not server.proxy._links)

    assert not use_workers(scenario)


# The fault of a group.


class GroupSoak:
    """Adds to a soak of workers what the faults of groups use, with delays that pass at once."""

    def __init__(self, soak) -> None:
        self.soak, self.signals, self.delays = soak, [], []
        self.actions = []
        entry = SimpleNamespace(running=True, signal=self.signals.append)
        entry.kill_after_grace = lambda: asyncio.sleep(0)
        soak.entries, soak.restart_later = [entry], lambda entry, delay_ms: None
        soak.later = lambda delay_ms, action: self.actions.append((delay_ms, action))

    async def run(self, name: str, seed: int) -> None:
        """Inject a fault, and start a task on each worker that is back."""
        FAULTS[name](Faults(self.soak), random.Random(seed))
        clock_ms = 0
        while self.actions:
            self.actions.sort(key=lambda row: row[0])
            clock_ms, action = self.actions.pop(0)
            down = [server for server in self.soak.workers if not server.worker.alive]
            count = len(self.actions)
            if asyncio.iscoroutine(result := action()):
                await result
            self.actions[count:] = [
                (clock_ms + delay_ms, later) for delay_ms, later in self.actions[count:]
            ]
            for server in down:
                if server.worker.alive:
                    self.delays.append(clock_ms - GROUP_LEAD_MS)
                    await self.soak.start(server.number, TASK, run=len(self.delays))


@pytest.mark.parametrize("name", sorted(GROUP_FAULTS))
@pytest.mark.parametrize("seed", range(4))
def test_group_restarts_and_is_cut_off_while_a_leader_resigns(name, seed):
    async def scenario(soak):
        group = GroupSoak(soak)
        await group.run(name, seed)
        hits = soak.hits
        assert hits["groups reborn"] == hits["workers of reborn groups"] == 1
        assert hits["workers restarted under the same id"] == len(group.delays) == 1
        cut = [
            hits[f"workers of reborn groups cut off {work} work"] for work in ("after", "without")
        ]
        assert cut == [1, 0]
        assert 1 <= group.signals.count(signal.SIGTERM) == len(group.signals) <= 2

    assert not use_workers(scenario)


def test_worker_that_is_cut_off_without_work_is_counted_apart():
    async def scenario(soak):
        soak.later = lambda delay_ms, action: None
        Faults(soak)._cut_group(soak.workers, 5_000, drop=False)
        assert soak.hits["workers of reborn groups cut off without work"] == 2
        assert all(server.proxy.isolated for server in soak.workers)

    assert not use_workers(scenario)


def test_plan_of_group_faults_alone_leaves_time_between_them():
    plan = make_plan(3, 60, sorted(GROUP_FAULTS))
    assert plan == make_plan(3, 60, sorted(GROUP_FAULTS))
    assert len(plan) >= 3
    steps = [second.at_ms - first.at_ms for first, second in itertools.pairwise(plan)]
    assert all(GROUP_STEP_MS[0] <= step < GROUP_STEP_MS[1] for step in steps)
    assert plan[-1].at_ms + GROUP_END_MS <= 60_000


# Long jobs.


def test_task_of_a_long_job_works_for_its_own_time():
    """Tasks that are shorter than a lease cannot show that it was expected too short."""

    async def scenario(soak):
        assert soak.workers[0].work_ms > 5_000
        await soak.start(0)
        assert soak.workers[0].worker.runs[TASK].work_ms == 5_000

    assert not use_workers(scenario, long_kind(5_000))


def test_share_of_long_jobs_is_drawn_and_none_without_one():
    rng, time_ms = random.Random(1), unix_ms(now_ms()) + EARLY_MS
    jobs = [draw_job(rng, time_ms, True, 0.35, crashing_share=0.0) for _ in range(400)]
    long_jobs = [job for job in jobs if job.kind.name == LONG]
    assert 100 < len(long_jobs) < 180
    steps = {
        (job.kind.steps[0].work_ms, job.request()["steps"][0]["estimate_ms"]) for job in long_jobs
    }
    assert steps == {(work_ms, work_ms) for work_ms in LONG_WORK_MS}
    assert not any(job.crashing for job in jobs)
    assert not any(draw_job(rng, time_ms, True).kind.name == LONG for _ in range(400))


def test_callers_hand_in_no_more_long_jobs_than_leave_room():
    async def scenario(soak):
        soak.long_share = 1.0
        callers, rng = Callers(soak, 1), random.Random(1)
        soak.ledger.jobs.clear()
        limit = LONG_JOBS_PER_WORKER * len(soak.workers)
        for _ in range(2 * limit):
            callers._new_job(rng).accepted_ms = 0
        assert soak.ledger.open_jobs(LONG) == limit
        assert soak.ledger.open_jobs() == 2 * limit

    assert not use_workers(scenario, PLAIN)


# Leases of workers that are cut off.


@pytest.mark.parametrize(
    ("lost_ms", "lost_task", "reported"),
    [(-1, TASK, True), (1, TASK, False), (-1, LATER, False)],
)
def test_runs_that_are_given_up_before_the_end_of_a_lease_are_reported(
    tmp_path, lost_ms, lost_task, reported
):
    """A second run started that early; most plays hit no task at that time."""

    async def scenario(soak):
        actions = []
        soak.later = lambda delay_ms, action: actions.append(action)
        await soak.start(0)
        soak.workers[0].cut_off(9_000, drop=True)
        actions.pop()()
        (cut,) = soak.ledger.cut_leases
        left_ms = cut.lease_end_ms - cut.until_ms
        assert left_ms == pytest.approx(LEASE_MAX_MS / CLOCK_RATE, abs=1_000)
        cut = attrs.evolve(cut, until_ms=cut.lease_end_ms + 5_000)
        soak.ledger.cut_leases[:], end_ms = [cut], cut.lease_end_ms
        rows = [
            {
                "event": "runs_lost",
                "reason": reason,
                "worker": worker,
                "ms": end_ms + shift,
            }
            for reason, worker, shift in (
                ("lease_over", "i-0-1", lost_ms),
                ("lease_over", "i-1-1", -1),
                ("restarted", "i-0-1", -1),
                ("lease_over", "i-0-1", -60_000),
            )
        ]
        for row in rows:
            row["ages_ms"] = {lost_task.label: [0, 0]}
        path = tmp_path / "edge-0.log"
        path.write_bytes(b"\n".join(orjson.dumps(row) for row in rows))
        soak.entries = [SimpleNamespace(name="edge-0", log_path=path)]
        assert bool(early_losses(soak)) == reported
        assert len(early_losses(soak)) <= 1

    assert not use_workers(scenario)
