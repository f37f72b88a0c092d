"""The checks from outside must fail when a property is broken."""

import asyncio

import attrs
import pytest
from deployment_builders import POOL, SERVICE, TEAM, small_fleet
from fescuecrank_cli.answers import RequestReport
from fescuecrank_core.requests import Outcome
from fescuecrank_standin.demo import Measures, rows
from fescuecrank_standin.journal import IN_FORCE_MS, Asked, Journal
from fescuecrank_standin.observed import ObservedWorker, expected_answer, work_body
from fescuecrank_standin.sites import SITES
from fescuecrank_standin.worker_tasks import Execution

BODY = work_body(0)
LEASE_MS = 10_000


def journal_with_workers() -> Journal:
    journal = Journal(fleet=small_fleet())
    site = SITES["hoang-long"]
    for name, place in site.places(journal.fleet.pools[POOL].workers).items():
        journal.workers[name] = ObservedWorker(
            name, site, place, 0, journal.on_start, journal.on_reboot
        )
    return journal


async def run_on(journal: Journal, worker: str, request_id: str, service: str = SERVICE) -> None:
    """Run a request on a worker and wait for its end."""
    run = Execution(f"task-{request_id}-{worker}", request_id, service, BODY, 1)
    task = journal.workers[worker].tasks.start(run, LEASE_MS)
    await task.ended.wait()


def ask(journal: Journal, request_id: str, outcome: Outcome | None, **more: object) -> None:
    """Note a request and what its caller was told."""
    journal.note_asked(Asked(request_id, TEAM, SERVICE, BODY, idempotent=False, **more))
    body = expected_answer(SERVICE, BODY) if outcome is Outcome.DONE else b""
    journal.note_report(request_id, RequestReport(SERVICE, request_id, outcome, body=body))


async def run_twice(journal: Journal) -> None:
    ask(journal, "r1", Outcome.DONE)
    await run_on(journal, "hoist-1", "r1")
    await run_on(journal, "hoist-2", "r1")


async def run_after_refusal(journal: Journal) -> None:
    ask(journal, "r1", Outcome.NOT_RUN)
    await run_on(journal, "hoist-1", "r1")


async def done_without_a_run(journal: Journal) -> None:
    ask(journal, "r1", Outcome.DONE)


async def never_answered(journal: Journal) -> None:
    ask(journal, "r1", None)


async def crossed_answer(journal: Journal) -> None:
    ask(journal, "r1", Outcome.DONE)
    await run_on(journal, "hoist-1", "r1")
    other = expected_answer(SERVICE, b"of another request")
    journal.note_report("r1", RequestReport(SERVICE, "r1", Outcome.DONE, body=other))


async def limit_passed(journal: Journal) -> None:
    limit = journal.fleet.teams[TEAM].limit
    ask(journal, "r1", Outcome.DONE, slots=limit + 1)
    await run_on(journal, "hoist-1", "r1")


async def budget_passed(journal: Journal) -> None:
    for name in ("hoist-1", "hoist-2", "hoist-3"):
        journal.workers[name].is_up = False
    journal.workers["hoist-4"].reboot()


async def two_pools_at_once(journal: Journal) -> None:
    fleet = journal.fleet
    pool = attrs.evolve(fleet.pools[POOL], name="other", workers=())
    service = attrs.evolve(fleet.services[SERVICE], name="other", pool="other")
    journal.fleet = fleet.with_change("pools", "other", pool).with_change(
        "services", "other", service
    )
    await asyncio.gather(
        run_on(journal, "hoist-1", "r1"), run_on(journal, "hoist-1", "r2", "other")
    )


async def work_after_leaving(journal: Journal) -> None:
    journal.leaving["hoist-1"] = -(10**9)
    await run_on(journal, "hoist-1", "r1")


async def reboot_with_work(journal: Journal) -> None:
    worker = journal.workers["hoist-1"]
    run = Execution("task", "r1", SERVICE, work_body(5_000), 1)
    worker.tasks.start(run, LEASE_MS)
    worker.reboot()


async def key_used_late(journal: Journal) -> None:
    journal.note_key_used("entry-1", IN_FORCE_MS + 1)


async def offset_went_back(journal: Journal) -> None:
    journal.note_applied("entry-1/1", 5)
    journal.note_applied("entry-1/1", 4)


CASES = [
    ("P1", budget_passed),
    ("P2", two_pools_at_once),
    ("P3", key_used_late),
    ("P4", limit_passed),
    ("P5", crossed_answer),
    ("P5", done_without_a_run),
    ("P5", never_answered),
    ("P6", run_after_refusal),
    ("P7", run_twice),
    ("P8", work_after_leaving),
    ("P9", reboot_with_work),
    ("P10", offset_went_back),
]


@pytest.mark.parametrize(("rule", "breach"), CASES, ids=lambda item: getattr(item, "__name__", ""))
def test_breach_is_reported(rule, breach):
    """Guards against a demo that passes whatever happens."""
    journal = journal_with_workers()
    asyncio.run(breach(journal))
    journal.check_requests()
    assert set(journal.broken()) == {rule}


def test_table_tells_a_broken_bound():
    """Guards against a table that calls a lost request fine."""
    journal = journal_with_workers()
    asyncio.run(never_answered(journal))
    broken = {row.name for row in rows(journal, Measures([IN_FORCE_MS + 1])) if not row.holds}
    assert broken == {"requests lost", "configuration in force everywhere"}


def test_sound_run_breaks_nothing():
    """Guards against checks that report what is allowed."""
    journal = journal_with_workers()

    async def work():
        ask(journal, "r1", Outcome.DONE)
        await run_on(journal, "hoist-1", "r1")
        journal.workers["hoist-1"].reboot()

    asyncio.run(work())
    journal.check_requests()
    assert journal.violations == []
