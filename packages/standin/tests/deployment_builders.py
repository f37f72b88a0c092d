"""Small deployments for tests over real sockets."""

import asyncio
from collections.abc import Awaitable, Callable

from fescuecrank_core.declarations import Fleet, Pool, Profile, Service, Team
from fescuecrank_standin.deployment import Deployment, running
from fescuecrank_standin.observed import work_body
from fescuecrank_standin.sites import SITES

POOL = "hoist"
SERVICE = "hoist-inspection"
TEAM = "arenas"
# Far above what any test needs; only a hang reaches it.
HANG_SECONDS = 90


def small_fleet() -> Fleet:
    """Return one pool of six workers with one service and one team."""
    profile = Profile("standard", max_out=3, max_out_per_data_centre=2, max_out_per_rack=2)
    workers = tuple(f"{POOL}-{number}" for number in range(1, 7))
    return Fleet(
        profiles={"standard": profile},
        pools={POOL: Pool(POOL, "standard", workers)},
        services={SERVICE: Service(SERVICE, POOL, "standard")},
        teams={TEAM: Team(TEAM, 1.0, 48)},
    )


def run(scenario: Callable[[Deployment, str], Awaitable[None]], **options: object) -> None:
    """Run a scenario on a small deployment with a team's key, and check every property."""

    async def work() -> None:
        deployment = Deployment(SITES["hoang-long"], small_fleet(), **options)
        async with running(deployment):
            key = await deployment.grant(TEAM)
            await scenario(deployment, key.secret)
            await deployment.statuses()
        deployment.journal.check_requests()
        assert deployment.journal.violations == []

    asyncio.run(asyncio.wait_for(work(), HANG_SECONDS))


async def submit(
    deployment: Deployment, secret: str, entry: str, run_ms: int = 0, idempotent: bool = False
) -> str:
    """Send a request to one entry first; return its outcome."""
    asked = deployment.asked(TEAM, SERVICE, work_body(run_ms), idempotent=idempotent)
    report = await deployment.submit(asked, deployment.client_from(entry, secret))
    return report.outcome.value


async def holder_of(deployment: Deployment, scope: str = f"main/{POOL}") -> str:
    """Return the entry that holds a claim."""
    status = (await deployment.operator().status()).unwrap()
    return next(claim["holder"] for claim in status["claims"] if claim["scope"] == scope)


async def started(deployment: Deployment, count: int) -> None:
    """Wait until this many tasks have started."""
    await deployment.until(f"{count} starts", lambda: len(deployment.journal.starts()) >= count)
