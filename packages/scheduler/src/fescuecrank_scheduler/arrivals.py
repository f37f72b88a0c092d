"""Rate at which work arrives at each pool.

The load comes in bursts: from one second to the next, an almost idle pool is asked for several
times its capacity. A machine needs more than a second until it can help, so the number of machines
is derived from the arrival rate; by the time a backlog shows the need, the first jobs are late.
"""

import math
from collections import deque
from collections.abc import Sequence

import attrs

from fescuecrank_scheduler.jobs import Job

# Windows over which the arrival rate is computed. A short one detects a burst early, a long one
# covers queues that get few but large jobs.
WINDOWS_MS = (500, 1_500, 3_000)

# Windows for detecting the end of a burst; the longest one still contains it for too long.
SHORT_WINDOWS_MS = WINDOWS_MS[:2]


@attrs.frozen
class Arrival:
    """One accepted job."""

    time_ms: int
    job: str
    # Work of all its steps, in core-ms.
    work: float
    # Duration of its longest chain of steps.
    critical_path_ms: float


@attrs.define
class Arrivals:
    """Jobs that arrived in the last seconds, by pool."""

    _by_pool: dict[str, deque[Arrival]] = attrs.field(factory=dict)

    def record(self, pool: str, job: Job, now_ms: int) -> None:
        """Record a newly accepted job, unless it is long-running or has a schedule."""
        if job.schedule is not None or any(step.long_running for step in job.steps):
            return
        work = sum(step.count * step.need.cpu / 1_000 * step.estimate_ms for step in job.steps)
        arrivals = self._by_pool.setdefault(pool, deque())
        if all(arrival.job != job.id for arrival in arrivals):
            arrivals.append(Arrival(now_ms, job.id, work, job.critical_path_ms()))

    def required_cores(
        self, pool: str, now_ms: int, windows_ms: Sequence[int] = WINDOWS_MS
    ) -> float:
        """Return the cores that the arrivals need, as the maximum over the windows."""
        arrivals = self._by_pool.get(pool)
        if not arrivals:
            return 0.0
        while arrivals and arrivals[0].time_ms <= now_ms - WINDOWS_MS[-1]:
            arrivals.popleft()
        return max(self._cores_for_window(arrivals, now_ms, window_ms) for window_ms in windows_ms)

    @staticmethod
    def _cores_for_window(arrivals: deque[Arrival], now_ms: int, window_ms: int) -> float:
        recent = [arrival for arrival in arrivals if arrival.time_ms > now_ms - window_ms]
        if not recent:
            return 0.0
        # A count of n has a standard error of sqrt(n); the lower bound is used.
        lower_factor = 1 - 1 / math.sqrt(len(recent))
        rate = lower_factor * sum(arrival.work for arrival in recent) / window_ms
        # However few jobs there are, each needs the cores that it can use concurrently.
        concurrent = sum(
            arrival.work / max(window_ms, arrival.critical_path_ms) for arrival in recent
        )
        return max(rate, concurrent)
