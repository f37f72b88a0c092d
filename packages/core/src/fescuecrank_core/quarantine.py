"""Detection of workers that fail all requests, as opposed to requests that fail on all workers.

Each result changes the worker's score by the log-likelihood ratio between a worker that fails
nearly everything and one that fails as often as the other workers do for the same team. The score
never goes below 0 (a CUSUM test), so that a worker that breaks after a long healthy time is found
as fast as a new one.
"""

import math
from collections import OrderedDict

import attrs

from fescuecrank_core.requests import RequestKey

# Failure probability of a worker that counts as broken.
BROKEN_RATE = 0.95
# Score at which a worker is quarantined: odds of 1,000 to 1. Where other workers rarely fail, it
# takes three failures, or two for a worker that failed before.
QUARANTINE_SCORE = math.log(1_000.0)
# Failures assumed before any report, out of `PRIOR_REPORTS`. A heavier prior takes longer to detect
# that requests of a team fail everywhere, and blames workers meanwhile.
PRIOR_FAILURES = 0.2
PRIOR_REPORTS = 4.0
# Bounds of the failure rate elsewhere; the lower one makes three failures necessary.
MIN_RATE = 0.05
MAX_RATE = 0.94
# Reports of a team lose half their weight in this time, so that rates follow an outage.
HALF_LIFE_MS = 30_000
FIRST_QUARANTINE_MS = 30_000
LONGEST_QUARANTINE_MS = 600_000
# Distinct healthy workers on which a request must have failed before it is not retried any more.
MIN_FAILING_WORKERS = 3
# A worker counts as healthy for this long after it ran another request successfully.
HEALTHY_FOR_MS = 600_000
MAX_FAILED_REQUESTS = 20_000
MAX_WORKER_TEAM_RATES = 100_000


@attrs.define(eq=False)
class _Rate:
    """Counts of failures and reports that decay over time."""

    failures: float = 0.0
    reports: float = 0.0
    at_ms: int = 0

    def add(self, failed: bool, now_ms: int) -> None:
        self.decay(now_ms)
        self.failures += failed
        self.reports += 1.0

    def decay(self, now_ms: int) -> None:
        if now_ms > self.at_ms:
            factor = 0.5 ** ((now_ms - self.at_ms) / HALF_LIFE_MS)
            self.failures *= factor
            self.reports *= factor
            self.at_ms = now_ms


@attrs.define(eq=False)
class _Worker:
    score: float = 0.0
    quarantined_since_ms: int | None = None
    quarantined_until_ms: int = 0
    quarantine_count: int = 0
    last_success_ms: int | None = None
    last_success_key: RequestKey | None = None


class FailureTracker:
    """Quarantines workers and detects failing requests by the results of tasks."""

    def __init__(self) -> None:
        self._workers: dict[str, _Worker] = {}
        self._quarantined: dict[str, _Worker] = {}
        self._team_rates: dict[str, _Rate] = {}
        self._worker_team_rates: OrderedDict[tuple[str, str], _Rate] = OrderedDict()
        self._blame_by_request: OrderedDict[RequestKey, dict[str, float]] = OrderedDict()
        self._now_ms = 0

    def report(self, worker: str, key: RequestKey, ok: bool, now_ms: int) -> None:
        """Record the success or failure of one task on a worker."""
        self._now_ms = max(self._now_ms, now_ms)
        state = self._workers.setdefault(worker, _Worker())
        rate = self._rate_elsewhere(worker, key.team, now_ms)
        self._update_rates(worker, key.team, not ok, now_ms)
        if ok:
            self._record_success(worker, state, key, rate, now_ms)
        else:
            self._record_failure(worker, state, key, rate)
        if state.score >= QUARANTINE_SCORE and state.quarantined_since_ms is None:
            self._quarantine(worker, state, now_ms)

    def quarantined(self, now_ms: int, allowed: int) -> frozenset[str]:
        """Return at most `allowed` quarantined workers, those with the highest scores.

        Workers whose time is over are released on probation: one more failure quarantines them for
        twice as long, and a success lowers their score.
        """
        self._now_ms = max(self._now_ms, now_ms)
        quarantined = []
        for name, state in list(self._quarantined.items()):
            if now_ms >= state.quarantined_until_ms:
                self._start_probation(name, state)
                continue
            quarantined.append((-state.score, state.quarantined_since_ms, name))
        return frozenset(name for _, _, name in sorted(quarantined)[: max(0, allowed)])

    def fails_everywhere(self, key: RequestKey) -> bool:
        """Return whether the request failed on enough workers that run other requests well."""
        blame = self._blame_by_request.get(key)
        if blame is None or len(blame) < MIN_FAILING_WORKERS:
            return False
        healthy = sum(self._runs_other_requests(name, key) for name in blame)
        return healthy >= MIN_FAILING_WORKERS

    def _record_success(
        self, worker: str, state: _Worker, key: RequestKey, rate: float, now_ms: int
    ) -> None:
        state.score = max(0.0, state.score + math.log((1 - BROKEN_RATE) / (1 - rate)))
        state.last_success_ms, state.last_success_key = now_ms, key
        if state.score == 0.0 and state.quarantined_since_ms is None:
            state.quarantine_count = 0
        self._blame_by_request.pop(key, None)

    def _record_failure(self, worker: str, state: _Worker, key: RequestKey, rate: float) -> None:
        blame = self._blame_by_request.setdefault(key, {})
        self._blame_by_request.move_to_end(key)
        if len(self._blame_by_request) > MAX_FAILED_REQUESTS:
            self._blame_by_request.popitem(last=False)
        others = [name for name in blame if name != worker and not self._is_suspect(name, key)]
        if others:
            # The request also fails elsewhere, which is little evidence against any of them.
            for name in others:
                self._workers[name].score = max(0.0, self._workers[name].score - blame[name])
                blame[name] = 0.0
            blame.setdefault(worker, 0.0)
            return
        gain = math.log(BROKEN_RATE / rate)
        state.score += gain
        blame[worker] = blame.get(worker, 0.0) + gain

    def _is_suspect(self, name: str, key: RequestKey) -> bool:
        """Return whether a worker seems broken even without its failure of `key`."""
        state = self._workers[name]
        return (
            state.quarantined_since_ms is not None
            or state.score - self._blame_by_request[key][name] > QUARANTINE_SCORE / 2
        )

    def _runs_other_requests(self, name: str, key: RequestKey) -> bool:
        state = self._workers[name]
        if (
            state.last_success_ms is None
            or state.last_success_key == key
            or state.quarantined_since_ms is not None
        ):
            return False
        return self._now_ms - state.last_success_ms <= HEALTHY_FOR_MS

    def _quarantine(self, name: str, state: _Worker, now_ms: int) -> None:
        self._quarantined[name] = state
        length = min(LONGEST_QUARANTINE_MS, FIRST_QUARANTINE_MS << min(state.quarantine_count, 10))
        state.quarantined_since_ms, state.quarantined_until_ms = now_ms, now_ms + length
        state.quarantine_count += 1

    def _start_probation(self, name: str, state: _Worker) -> None:
        del self._quarantined[name]
        state.quarantined_since_ms = None
        state.score = QUARANTINE_SCORE - 1.0

    def _update_rates(self, worker: str, team: str, failed: bool, now_ms: int) -> None:
        self._team_rates.setdefault(team, _Rate()).add(failed, now_ms)
        pair = (worker, team)
        own = self._worker_team_rates.get(pair)
        if own is None:
            own = self._worker_team_rates[pair] = _Rate()
            if len(self._worker_team_rates) > MAX_WORKER_TEAM_RATES:
                self._worker_team_rates.popitem(last=False)
        own.add(failed, now_ms)
        self._worker_team_rates.move_to_end(pair)

    def _rate_elsewhere(self, worker: str, team: str, now_ms: int) -> float:
        """Return the failure rate of the team's requests on the other workers."""
        total, own = self._team_rates.get(team, _Rate()), self._worker_team_rates.get(
            (worker, team), _Rate()
        )
        total.decay(now_ms)
        own.decay(now_ms)
        failures = PRIOR_FAILURES + max(0.0, total.failures - own.failures)
        reports = PRIOR_REPORTS + max(0.0, total.reports - own.reports)
        return min(MAX_RATE, max(MIN_RATE, failures / reports))
