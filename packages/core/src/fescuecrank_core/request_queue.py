"""Queue of one cell's requests, with estimated sizes in place of declared ones."""

from collections import Counter
from collections.abc import Container

from fescuecrank_core.clock import Instant
from fescuecrank_core.declarations import Profile, Resources
from fescuecrank_core.estimation import Estimate, Estimator
from fescuecrank_core.placement import WorkerIndex
from fescuecrank_core.requests import Request, RequestKey
from fescuecrank_core.sharing import DominantShareQueue, QueuedRequest


class RequestQueue:
    """The share queue of a cell, whose requests carry estimated sizes and run times."""

    def __init__(self, index: WorkerIndex, now: Instant) -> None:
        self._index = index
        self._estimator = Estimator()
        self._shares = DominantShareQueue()
        self._queued: dict[RequestKey, QueuedRequest] = {}
        self._waiting_slots: Counter[str] = Counter()
        self._offered_slot_ms = 0
        self._offered_since_ms = now.mono_ms

    def __len__(self) -> int:
        return len(self._shares)

    def configure(self, weights: dict[str, float], capacity: Resources, profile: Profile) -> None:
        """Set the weights of all teams, the capacity in service, and the profile."""
        self._shares.configure(weights, capacity, profile)

    def add(self, request: Request, now: Instant) -> None:
        """Add a new request, or one whose last attempt failed."""
        queued = self._with_estimate(request, now.mono_ms)
        self._offered_slot_ms += queued.need.slots * queued.expected_ms
        self._push(queued)

    def requeue(self, request: Request, queued_ms: int) -> None:
        """Add a request whose task was checkpointed; it keeps its time of queuing."""
        self._push(self._with_estimate(request, queued_ms))

    def _push(self, queued: QueuedRequest) -> None:
        self._queued[queued.key] = queued
        self._waiting_slots[queued.team] += queued.need.slots
        self._shares.push(queued)

    def _with_estimate(self, request: Request, queued_ms: int) -> QueuedRequest:
        estimate = self._lookup_estimate(request)
        # Reports may be wrong, and a request whose estimate fits no worker would never start.
        need = request.need if self._index.infeasible_reason(estimate.need) else estimate.need
        return QueuedRequest(
            request.key,
            request.key.team,
            request.request_class,
            need,
            estimate.run_ms,
            queued_ms,
            reclaimable=request.idempotent,
        )

    def _lookup_estimate(self, request: Request) -> Estimate:
        return self._estimator.estimate(
            _estimate_key(request), request.key.team, request.need, request.expected_run_ms
        )

    def requeue_if_smaller(self, request: Request) -> bool:
        """Queue a request again if its estimate has become smaller since it was queued."""
        queued = self._queued[request.key]
        need = self._lookup_estimate(request).need
        if need == queued.need or not need.fits_in(queued.need):
            return False
        self.remove(request.key)
        self._push(self._with_estimate(request, queued.queued_ms))
        return True

    def remove(self, key: RequestKey) -> None:
        """Remove a waiting request, if it is there."""
        queued = self._queued.pop(key, None)
        if queued is not None:
            self._waiting_slots[queued.team] -= queued.need.slots
            self._shares.discard(key)

    def next(
        self, now: Instant, at_limit: Container[str], unfit: Container[RequestKey]
    ) -> QueuedRequest | None:
        """Return the request to start next; it stays queued until `start`."""
        return self._shares.next(now.mono_ms, at_limit, unfit)

    def start(self, key: RequestKey, now: Instant) -> None:
        """Count a waiting request as running."""
        self._shares.start(key, now.mono_ms)
        queued = self._queued.pop(key)
        self._waiting_slots[queued.team] -= queued.need.slots

    def finish(self, key: RequestKey, now: Instant) -> None:
        """Stop counting a task as running."""
        self._shares.finish(key, now.mono_ms)

    def tasks_to_reclaim(self, now: Instant) -> list[RequestKey]:
        """Return running tasks whose capacity others are entitled to, in order of reclaim."""
        return self._shares.tasks_to_reclaim(now.mono_ms)

    def share_gaps(self) -> dict[str, float]:
        """Return entitled less held dominant share of each team with waiting work."""
        return self._shares.share_gaps()

    def explain(self, key: RequestKey) -> str:
        """Return why a request waits."""
        return self._shares.explain(key)

    def waiting_slots(self) -> Counter[str]:
        """Return the slots that the waiting requests of each team need."""
        return self._waiting_slots

    def pop_offered_load(self, now: Instant) -> float:
        """Return the mean number of slots that the requests added since the last call would use."""
        elapsed_ms = max(1, now.mono_ms - self._offered_since_ms)
        offered = self._offered_slot_ms / elapsed_ms
        self._offered_slot_ms = 0
        self._offered_since_ms = now.mono_ms
        return offered

    def observe(self, request: Request, used: Resources, run_ms: int, finished: bool) -> None:
        """Add a usage report to the estimates."""
        self._estimator.observe(_estimate_key(request), request.key.team, used, run_ms, finished)


def _estimate_key(request: Request) -> str:
    """Return the key of estimates; quick and archival work of a service differ in size."""
    return f"{request.service}/{request.request_class.value}"
