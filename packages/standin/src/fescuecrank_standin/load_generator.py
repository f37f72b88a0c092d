"""Load generator: open-loop Poisson arrivals, with bursts that rotate over the queues."""

import asyncio
import random
import time
from collections.abc import Mapping

import attrs
from fescuecrank_core.declarations import RequestClass

from fescuecrank_standin.deployment import Deployment
from fescuecrank_standin.observed import request_body

# Multiples of the mean rate during a burst and outside it.
BURST_FACTOR = 5.0
QUIET_FACTOR = 0.05


@attrs.frozen
class RequestKind:
    """One kind of request in the mix; `fraction` is its part of all requests."""

    request_class: RequestClass
    fraction: float
    run_ms: int
    slots: int


REQUEST_MIX = (
    RequestKind(RequestClass.URGENT, 0.1, 150, 1),
    RequestKind(RequestClass.QUICK, 0.6, 300, 1),
    RequestKind(RequestClass.ARCHIVAL, 0.3, 2_500, 4),
)


@attrs.frozen
class LoadPattern:
    """Mean request rate and burst length; exactly one queue is in a burst at any time."""

    mean_per_s: float = 4.0
    burst_ms: int = 4_000

    def rate(self, queue: int, queue_count: int, at_ms: int) -> float:
        """Return the request rate of a queue, per second, at a time after the start."""
        in_burst = (at_ms // self.burst_ms) % queue_count == queue
        return self.mean_per_s * (BURST_FACTOR if in_burst else QUIET_FACTOR)


class LoadGenerator:
    """Submits requests of all teams and kinds through all running entries.

    There is one queue per service. Each request is a task that waits for its outcome.
    """

    def __init__(
        self, deployment: Deployment, keys: Mapping[str, str], pattern: LoadPattern, seed: int
    ) -> None:
        self._deployment = deployment
        self._keys = dict(keys)
        self._pattern = pattern
        self._random = random.Random(seed)
        self._services = sorted(deployment.fleet.services)
        self._pending: set[asyncio.Task] = set()
        self._sent_count = 0

    def set_key(self, team: str, secret: str) -> None:
        """Use another key for all later requests of a team."""
        self._keys[team] = secret

    async def run(self, duration_ms: int) -> None:
        """Send requests for `duration_ms`; outcomes may arrive after it."""
        queues = range(len(self._services))
        await asyncio.gather(*(self._run_queue(queue, duration_ms) for queue in queues))

    async def _run_queue(self, queue: int, duration_ms: int) -> None:
        started_ms = _now_ms()
        due_ms = 0.0
        while True:
            rate = self._pattern.rate(queue, len(self._services), int(due_ms))
            gap_ms = self._random.expovariate(rate) * 1_000
            # Gaps are cut off at the next burst, where the rate may change; nothing is sent there.
            due_ms = min(due_ms + gap_ms, _next_burst(due_ms, self._pattern.burst_ms))
            if due_ms >= duration_ms:
                return
            await asyncio.sleep(max(0.0, started_ms + due_ms - _now_ms()) / 1_000)
            if due_ms % self._pattern.burst_ms:
                self._send(self._services[queue])

    def _send(self, service: str) -> None:
        task = asyncio.create_task(self._submit(service))
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    async def _submit(self, service: str) -> None:
        teams = self._deployment.fleet.teams
        team = self._random.choices(list(teams), [item.share for item in teams.values()])[0]
        kind = self._random.choices(REQUEST_MIX, [item.fraction for item in REQUEST_MIX])[0]
        self._sent_count += 1
        request = self._deployment.new_request(
            team,
            service,
            request_body(kind.run_ms, f"request {self._sent_count} of {team}"),
            idempotent=self._random.random() < 0.5,
            slots=kind.slots,
        )
        names = list(self._deployment.entries)
        client = self._deployment.client_from(
            names[self._sent_count % len(names)], self._key(team, service)
        )
        await self._deployment.submit(request, client, request_class=kind.request_class)

    def _key(self, team: str, service: str) -> str:
        declared = self._deployment.fleet.services[service]
        return "" if declared.open_team == team else self._keys[team]

    async def wait_for_outcomes(self) -> None:
        """Wait for all pending requests, then query once more those that still have no outcome."""
        while self._pending:
            await asyncio.wait(set(self._pending))
        checker = self._deployment.checker
        for request_id, report in list(checker.reports.items()):
            if report is None or report.outcome is not None:
                continue
            team = checker.requests[request_id].team
            await self._deployment.query_outcome(request_id, self._key(team, report.service))


def _next_burst(at_ms: float, burst_ms: int) -> float:
    return (at_ms // burst_ms + 1) * burst_ms


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
