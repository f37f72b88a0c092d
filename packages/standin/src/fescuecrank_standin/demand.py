"""Paced demand: each queue in turn asks for about five times its mean."""

import asyncio
import random
import time
from collections.abc import Mapping

import attrs
from fescuecrank_core.declarations import RequestClass

from fescuecrank_standin.deployment import Deployment
from fescuecrank_standin.observed import work_body

BURST_FACTOR = 5.0
QUIET_FACTOR = 0.05


@attrs.frozen
class Kind:
    """One kind of work; `part` is its part of all requests."""

    request_class: RequestClass
    part: float
    run_ms: int
    slots: int


KINDS = (
    Kind(RequestClass.URGENT, 0.1, 150, 1),
    Kind(RequestClass.QUICK, 0.6, 300, 1),
    Kind(RequestClass.ARCHIVAL, 0.3, 2_500, 4),
)


@attrs.frozen
class Pace:
    """Mean rate of each queue and the length of its bursts, which take turns."""

    mean_per_s: float = 4.0
    burst_ms: int = 4_000

    def rate(self, number: int, queues: int, at_ms: int) -> float:
        """Return the requests a second that a queue asks for."""
        bursts = (at_ms // self.burst_ms) % queues == number
        return self.mean_per_s * (BURST_FACTOR if bursts else QUIET_FACTOR)


class Demand:
    """Submits mixed work of all teams through all running entries and waits for every outcome."""

    def __init__(
        self, deployment: Deployment, keys: Mapping[str, str], pace: Pace, seed: int
    ) -> None:
        self._deployment = deployment
        self._keys = dict(keys)
        self._pace = pace
        self._random = random.Random(seed)
        self._services = sorted(deployment.fleet.services)
        self._callers: set[asyncio.Task] = set()
        self._sent = 0

    def use_key(self, team: str, secret: str) -> None:
        """Let all later requests of a team carry another key."""
        self._keys[team] = secret

    async def run(self, duration_ms: int) -> None:
        """Send requests for some time; their outcomes may follow later."""
        queues = range(len(self._services))
        await asyncio.gather(*(self._run_queue(number, duration_ms) for number in queues))

    async def _run_queue(self, number: int, duration_ms: int) -> None:
        started_ms = _now_ms()
        due_ms = 0.0
        while True:
            rate = self._pace.rate(number, len(self._services), int(due_ms))
            gap_ms = self._random.expovariate(rate) * 1_000
            # A burst that begins during a long gap is not slept through.
            due_ms = min(due_ms + gap_ms, _next_burst(due_ms, self._pace.burst_ms))
            if due_ms >= duration_ms:
                return
            await asyncio.sleep(max(0.0, started_ms + due_ms - _now_ms()) / 1_000)
            if due_ms % self._pace.burst_ms:
                self._send(self._services[number])

    def _send(self, service: str) -> None:
        caller = asyncio.create_task(self._call(service))
        self._callers.add(caller)
        caller.add_done_callback(self._callers.discard)

    async def _call(self, service: str) -> None:
        teams = self._deployment.fleet.teams
        team = self._random.choices(list(teams), [item.share for item in teams.values()])[0]
        kind = self._random.choices(KINDS, [item.part for item in KINDS])[0]
        self._sent += 1
        asked = self._deployment.asked(
            team,
            service,
            work_body(kind.run_ms, f"request {self._sent} of {team}"),
            idempotent=self._random.random() < 0.5,
            slots=kind.slots,
        )
        names = list(self._deployment.members)
        client = self._deployment.client_from(
            names[self._sent % len(names)], self._key(team, service)
        )
        await self._deployment.submit(asked, client, request_class=kind.request_class)

    def _key(self, team: str, service: str) -> str:
        declared = self._deployment.fleet.services[service]
        return "" if declared.open_team == team else self._keys[team]

    async def settle(self) -> None:
        """Wait until every caller has an outcome; ask once more for those that have none."""
        while self._callers:
            await asyncio.wait(set(self._callers))
        journal = self._deployment.journal
        for request_id, report in list(journal.reports.items()):
            if report is None or report.outcome is not None:
                continue
            team = journal.asked[request_id].team
            await self._deployment.ask_again(request_id, self._key(team, report.service))


def _next_burst(at_ms: float, burst_ms: int) -> float:
    return (at_ms // burst_ms + 1) * burst_ms


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
