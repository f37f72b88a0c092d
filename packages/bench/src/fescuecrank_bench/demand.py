"""Demand with the shape of section 1.5 of the design, and the two deployments.

Each queue in turn asks for five times its mean for some seconds, more than its pool holds, and for
a twentieth of its mean in between. Run times and sizes are declared up to 10 times too small or too
large.
"""

import math
import random

import attrs
from fescuecrank_core.declarations import Profile, RequestClass, Resources, Weights

URGENT, QUICK, ARCHIVAL = RequestClass.URGENT, RequestClass.QUICK, RequestClass.ARCHIVAL

BURST_MS = 20_000
# Five queues take turns, so that a queue that asks five times its mean in a fifth of the time and a
# twentieth otherwise is near its mean overall.
CYCLE_MS = 5 * BURST_MS
BURST_FACTOR = 5.0
QUIET_FACTOR = 0.05
# Mean demand of a queue as part of its pool's slots; a burst asks for 1.6 times the pool.
MEAN_LOAD = 0.32
# Median run times; the page gives none, so these are the benchmark's own.
MEDIAN_RUN_MS = {URGENT: 400, QUICK: 300, ARCHIVAL: 2_500}
RUN_SIGMA = 0.8
# Mean over median of a log-normal run time.
MEAN_FACTOR = math.exp(RUN_SIGMA**2 / 2)
# Part of the demanded slot-seconds in each class.
MIX = {URGENT: 0.02, QUICK: 0.48, ARCHIVAL: 0.50}
ARCHIVAL_IDEMPOTENT = 0.8


@attrs.frozen
class Deployment:
    """One deployment at today's size: teams with shares, limits in slots, and its profile."""

    name: str
    worker: Resources
    shares: dict[str, float]
    limits: dict[str, int]
    profile: Profile
    workers: int = 6
    connections: int = 64

    @property
    def slots(self) -> int:
        """Return the slots of one pool."""
        return self.workers * self.worker.slots


@attrs.frozen
class Arrival:
    """One request with its true and declared run time and size."""

    at_ms: int
    team: str
    request_class: RequestClass
    run_ms: int
    declared_ms: int
    need: Resources
    declared: Resources
    idempotent: bool = True


def _deployment(name: str, memory_mb: int, shares: tuple[int, ...], weights: Weights) -> Deployment:
    teams = {f"team-{i}": float(share) for i, share in enumerate(shares, 1)}
    limits = {team: 48 for team in teams}
    # The largest team's limit binds when the others leave the pool to it.
    limits["team-1"] = 30
    return Deployment(
        name,
        Resources(16_000, memory_mb, 0, 8),
        teams,
        limits,
        Profile(name, weights=weights),
    )


HOANG_LONG = _deployment("Hoang Long", 32_000, (35, 25, 20, 10, 6, 4), Weights(4, 4, 1, 1))
HALVORSEN = _deployment("Halvorsen", 64_000, (40, 30, 12, 8, 6, 4), Weights(1, 1, 4, 4))
DEPLOYMENTS = (HOANG_LONG, HALVORSEN)


class DemandSource:
    """Random arrivals of one queue from a fixed seed."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._rng = random.Random(seed)

    def turns(self, cycles: int, offset_ms: int) -> list[Arrival]:
        """Return arrivals over some cycles; the burst starts `offset_ms` into each cycle."""
        arrivals = []
        for cycle in range(cycles):
            start = cycle * CYCLE_MS
            parts = self._team_parts()
            arrivals += self.stream(start, start + offset_ms, MEAN_LOAD * QUIET_FACTOR, parts)
            burst_end = start + offset_ms + BURST_MS
            arrivals += self.stream(start + offset_ms, burst_end, MEAN_LOAD * BURST_FACTOR, parts)
            arrivals += self.stream(burst_end, start + CYCLE_MS, MEAN_LOAD * QUIET_FACTOR, parts)
        return sorted(arrivals, key=lambda a: a.at_ms)

    def stream(
        self,
        start_ms: int,
        end_ms: int,
        load: float,
        parts: dict[str, float],
        mix: dict[RequestClass, float] = MIX,
    ) -> list[Arrival]:
        """Return Poisson arrivals that ask for `load` times the pool, divided by team and class."""
        arrivals = []
        for team, part in parts.items():
            for cls, share in mix.items():
                mean_run = MEDIAN_RUN_MS[cls] * MEAN_FACTOR
                rate = load * self._deployment.slots * part * share / mean_run
                if rate <= 0:
                    continue
                at = start_ms + self._rng.expovariate(rate)
                while at < end_ms:
                    arrivals.append(self.arrival(int(at), team, cls))
                    at += self._rng.expovariate(rate)
        return sorted(arrivals, key=lambda a: a.at_ms)

    def arrival(
        self, at_ms: int, team: str, cls: RequestClass, run_ms: int | None = None
    ) -> Arrival:
        """Return one request with errors of up to 10 times in what it declares."""
        rng = self._rng
        if run_ms is None:
            factor = min(10.0, max(0.1, rng.lognormvariate(0.0, RUN_SIGMA)))
            run_ms = max(1, int(MEDIAN_RUN_MS[cls] * factor))
        need = Resources(rng.randrange(500, 2_000), rng.randrange(500, 3_500))
        error = 10 ** rng.uniform(-1, 1)
        declared = Resources(int(need.cpu_millis * error), int(need.memory_mb * error))
        declared_ms = max(1, int(run_ms * 10 ** rng.uniform(-1, 1)))
        idempotent = cls is not ARCHIVAL or rng.random() < ARCHIVAL_IDEMPOTENT
        return Arrival(at_ms, team, cls, run_ms, declared_ms, need, declared, idempotent)

    def _team_parts(self) -> dict[str, float]:
        """Return how the demand of one burst divides; it differs from the shares by up to 2."""
        shares = self._deployment.shares
        raw = {team: share * 2 ** self._rng.uniform(-1, 1) for team, share in shares.items()}
        total = sum(raw.values())
        return {team: part / total for team, part in raw.items()}
