"""Weighted fair sharing of a cell between teams and request classes.

Teams are compared by dominant share, the largest part of any resource of the cell that a team's
tasks occupy. The occupied capacity is divided by weight, and what a team has no demand for goes to
the others. Occupancy is charged as it happens, so wrong declared run times have no effect: each
team has a lag, the integral of entitled less held share while it is backlogged. The lag is bounded,
since a deficit that is repaid later is an excess in the window in which it is repaid.
"""

import math
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Container
from itertools import islice

import attrs

from fescuecrank_core.declarations import Profile, RequestClass, Resources
from fescuecrank_core.requests import RequestKey

# Time over which a lag is repaid: a lag of a quarter of a slot-second counts as one missing slot.
LAG_HORIZON_MS = 250
# Bound of the lag: this much time at the entitled share, but at least the second value, which is in
# slots x ms.
MAX_LAG_MS = 300
MIN_LAG_BOUND_SLOT_MS = 1_000
# Time constant by which the usage of each class decays, and the negative lag of a team without
# queued requests. It equals the window over which share closeness is measured.
USAGE_DECAY_MS = 10_000
# Slots by which a team may exceed its entitlement to start quick work below its floor.
QUICK_BORROW_SLOTS = 1.0
# Lag, as time at the entitled share, from which capacity is reclaimed for a team, with equal
# weights. The gap over a window of 10 s is this time plus the time of a checkpoint.
RECLAIM_DELAY_MS = 150
MIN_RECLAIM_DELAY_MS = 50
MAX_RECLAIM_DELAY_MS = 400
URGENT_RECLAIM_DELAY_MS = 100
# Requests of one team and class that are considered when the first ones fit no worker.
LOOK_AHEAD = 16
# Part of the slots closed to archival tasks that cannot be stopped, with equal weights. With one
# reserved slot of 48, urgent work of six teams waits up to 12.1 s; with three, up to 2.3 s.
RESERVE_FRACTION = 0.0625
MIN_RESERVE_FRACTION = 0.0625
MAX_RESERVE_FRACTION = 0.17


@attrs.frozen
class QueuedRequest:
    """A request that waits for capacity of its cell.

    `need` and `expected_ms` are estimates. `queued_ms` is the time at which it was first queued. A
    `reclaimable` task may be checkpointed, or stopped and run again, so a non-idempotent request is
    never reclaimable.
    """

    key: RequestKey
    team: str
    request_class: RequestClass
    need: Resources
    expected_ms: int
    queued_ms: int
    reclaimable: bool = False


class ShareQueue(ABC):
    """Policy that orders the queued requests of one cell and accounts for its running tasks."""

    @abstractmethod
    def configure(self, weights: dict[str, float], capacity: Resources, profile: Profile) -> None:
        """Set the weights of all teams, the capacity of the workers in service, and the profile."""

    @abstractmethod
    def push(self, request: QueuedRequest) -> None:
        """Add a request; a known key is replaced. A stopped task keeps its old `queued_ms`."""

    @abstractmethod
    def discard(self, key: RequestKey) -> bool:
        """Remove a waiting request and return whether it was there; takes constant time."""

    @abstractmethod
    def next(
        self, now_ms: int, blocked: Container[str], unfit: Container[RequestKey] = ()
    ) -> QueuedRequest | None:
        """Return the request to start next; it stays queued until `start`.

        `blocked` names teams at their upper limit, which are entitled to no more. `unfit` names
        requests that fit no worker now; a smaller one of the same team may start instead.
        """

    @abstractmethod
    def start(self, key: RequestKey, now_ms: int) -> None:
        """Move a waiting request to the running tasks."""

    @abstractmethod
    def finish(self, key: RequestKey, now_ms: int) -> None:
        """Remove a running task; unknown keys are ignored."""

    @abstractmethod
    def explain(self, key: RequestKey) -> str:
        """Return why a request waits."""

    @abstractmethod
    def tasks_to_reclaim(self, now_ms: int) -> list[RequestKey]:
        """Return running tasks whose capacity others are entitled to, in order of reclaim.

        A key stays listed until its task finishes or the capacity is not needed any more, so the
        caller can throttle first and checkpoint a task that stays listed.
        """

    def share_gaps(self) -> dict[str, float]:
        """Return entitled less held dominant share of each team with waiting work."""
        return {}

    @abstractmethod
    def __len__(self) -> int: ...


@attrs.define(eq=False)
class _QueueItem:
    request: QueuedRequest
    share: float
    alive: bool = True


@attrs.define(eq=False)
class _Running:
    request: QueuedRequest
    share: float
    listed: bool = False


class _ClassQueue:
    """Queued requests of one team and class, in order; removed items are skipped lazily."""

    def __init__(self) -> None:
        self._items: deque[_QueueItem] = deque()
        self.live = 0

    def add(self, item: _QueueItem) -> None:
        head = self.head()
        if head is not None and item.request.queued_ms < head.queued_ms:
            self._items.appendleft(item)
        else:
            self._items.append(item)
        self.live += 1

    def remove(self, item: _QueueItem) -> None:
        item.alive = False
        self.live -= 1
        # Compaction costs no more than the removals before it, so removal is amortized O(1).
        if len(self._items) > 64 and self.live < len(self._items) // 4:
            self._items = deque(item for item in self._items if item.alive)

    def head(self, unfit: Container[RequestKey] = ()) -> QueuedRequest | None:
        """Return the first request that is not in `unfit`, among the first `LOOK_AHEAD`."""
        while self._items and not self._items[0].alive:
            self._items.popleft()
        if not self._items or self._items[0].request.key not in unfit:
            return self._items[0].request if self._items else None
        self._compact_front()
        for item in islice(self._items, LOOK_AHEAD):
            if item.request.key not in unfit:
                return item.request
        return None

    def _compact_front(self) -> None:
        """Discard removed items among the first ones, so that looking ahead stays cheap."""
        kept = []
        while self._items and len(kept) < LOOK_AHEAD:
            item = self._items.popleft()
            if item.alive:
                kept.append(item)
        self._items.extendleft(reversed(kept))

    def position(self, key: RequestKey) -> int:
        keys = (item.request.key for item in self._items if item.alive)
        return next((i for i, other in enumerate(keys, 1) if other == key), 0)


class _Team:
    """Queued requests, running tasks and lag of one team; shares are dominant shares."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.weight = 0.0
        self.class_queues = {cls: _ClassQueue() for cls in RequestClass}
        self.running: dict[RequestKey, _Running] = {}
        self.held = 0.0
        self.class_held = dict.fromkeys(RequestClass, 0.0)
        self.class_usage = dict.fromkeys(RequestClass, 0.0)
        self.queued_share = 0.0
        self.entitled = 0.0
        self.lag = 0.0
        self.competes = False
        self.at_limit = False

    def has_queued(self) -> bool:
        return any(queue.live for queue in self.class_queues.values())

    def demand(self) -> float:
        return self.held + (self.queued_share if self.competes else 0.0)

    def quick_held(self) -> float:
        return self.class_held[RequestClass.QUICK] + self.class_held[RequestClass.URGENT]

    def deficit(self) -> float:
        """Return the share that the team should gain, by its entitlement and its lag."""
        return self.entitled - self.held + self.lag / LAG_HORIZON_MS

    def integrate(self, elapsed_ms: int, slot_share: float) -> None:
        self.lag += (self.entitled - self.held) * elapsed_ms
        bound = max(MAX_LAG_MS * self.entitled, MIN_LAG_BOUND_SLOT_MS * slot_share)
        self.lag = min(bound, max(-bound, self.lag))
        decay = math.exp(-elapsed_ms / USAGE_DECAY_MS)
        if not self.competes:
            self.lag = min(0.0, self.lag) * decay
        for cls, held in self.class_held.items():
            self.class_usage[cls] = self.class_usage[cls] * decay + held * elapsed_ms


@attrs.frozen
class _Candidate:
    """A team that may start work, with the first request of each class that fits."""

    team: _Team
    heads: dict[RequestClass, QueuedRequest | None]

    def head(self, cls: RequestClass) -> QueuedRequest | None:
        return self.heads.get(cls)


class DominantShareQueue(ShareQueue):
    """Weighted dominant-resource shares with bounded lag.

    A free slot goes, in this order, to urgent work of a team whose urgent tasks are within its
    share, to quick work below its team's floor, and to the team for which it most reduces the
    squared relative distance from its entitlement.
    """

    def __init__(self) -> None:
        self._teams: dict[str, _Team] = {}
        self._items: dict[RequestKey, _QueueItem] = {}
        self._team_of_running: dict[RequestKey, _Team] = {}
        self._capacity = Resources(slots=1)
        self._profile = Profile("default")
        self._slot_share = 1.0
        self._reserved_share = 0.0
        self._reclaim_delay_ms = float(RECLAIM_DELAY_MS)
        self._unstoppable_share = 0.0
        self._updated_ms: int | None = None
        self._entitlements_stale = True

    def __len__(self) -> int:
        return len(self._items)

    def configure(self, weights: dict[str, float], capacity: Resources, profile: Profile) -> None:
        """Set weights, capacity and profile, and recompute the shares of all tasks."""
        self._capacity, self._profile = capacity, profile
        self._slot_share = 1.0 / max(1, capacity.slots)
        self._reserved_share = _reserved_fraction(profile, capacity.slots)
        self._reclaim_delay_ms = _reclaim_delay(profile)
        self._entitlements_stale = True
        for name in weights:
            self._get_or_add_team(name)
        for team in self._teams.values():
            team.weight = weights.get(team.name, 0.0)
            team.queued_share = 0.0
            self._rescale_running(team)
        for item in self._items.values():
            item.share = self._share(item.request.need)
            self._teams[item.request.team].queued_share += item.share

    def push(self, request: QueuedRequest) -> None:
        """Add a request; one that was queued before the head of its class goes first."""
        self.discard(request.key)
        self._entitlements_stale = True
        item = _QueueItem(request, self._share(request.need))
        self._items[request.key] = item
        team = self._get_or_add_team(request.team)
        team.class_queues[request.request_class].add(item)
        team.queued_share += item.share

    def discard(self, key: RequestKey) -> bool:
        """Remove a waiting request; the cost does not depend on the length of the queue."""
        item = self._items.pop(key, None)
        if item is None:
            return False
        self._entitlements_stale = True
        team = self._teams[item.request.team]
        team.class_queues[item.request.request_class].remove(item)
        team.queued_share -= item.share
        if not team.has_queued():
            # Clears rounding errors of the sum.
            team.queued_share = 0.0
        return True

    def next(
        self, now_ms: int, blocked: Container[str], unfit: Container[RequestKey] = ()
    ) -> QueuedRequest | None:
        """Return the request to start next, or None."""
        self._integrate_lags(now_ms)
        self._set_blocked(blocked)
        candidates = []
        for team in self._teams.values():
            if team.competes:
                heads = {
                    cls: queue.head(unfit) for cls, queue in team.class_queues.items() if queue.live
                }
                candidates.append(_Candidate(team, heads))
        return (
            self._next_urgent(candidates)
            or self._next_quick(candidates, now_ms)
            or self._next_by_deficit(candidates)
        )

    def start(self, key: RequestKey, now_ms: int) -> None:
        """Charge the task to its team from now on."""
        item = self._items.get(key)
        if item is None:
            return
        # A stopped task may be queued again before its end is reported.
        self.finish(key, now_ms)
        self._integrate_lags(now_ms)
        self.discard(key)
        team = self._team_of_running[key] = self._teams[item.request.team]
        task = _Running(item.request, self._share(item.request.need))
        team.running[key] = task
        self._charge(team, task, 1)
        self._update_entitlements()

    def finish(self, key: RequestKey, now_ms: int) -> None:
        """Stop charging the task."""
        team = self._team_of_running.pop(key, None)
        if team is None:
            return
        self._integrate_lags(now_ms)
        self._charge(team, team.running.pop(key), -1)
        self._update_entitlements()

    def explain(self, key: RequestKey) -> str:
        """Return the position of a request and the limit, reserve or share that it waits for."""
        item = self._items.get(key)
        if item is None:
            return "running" if key in self._team_of_running else "not waiting in this cell"
        team = self._teams[item.request.team]
        cls = item.request.request_class
        queue = team.class_queues[cls]
        place = f"position {queue.position(key)} of {queue.live} in {cls.value} work of {team.name}"
        return f"{place}; {self._wait_reason(team, item.request)}"

    def tasks_to_reclaim(self, now_ms: int) -> list[RequestKey]:
        """Return tasks to reclaim for short teams, urgent work and quick work below its floor."""
        self._integrate_lags(now_ms)
        self._update_entitlements()
        chosen: dict[RequestKey, _Running] = {}
        self._reclaim_for_urgent(now_ms, chosen)
        self._reclaim_for_teams(chosen)
        self._reclaim_for_quick(now_ms, chosen)
        for team in self._teams.values():
            for key, task in team.running.items():
                task.listed = key in chosen
        return list(chosen)

    def share_gaps(self) -> dict[str, float]:
        """Return entitled less held dominant share of each team with waiting work."""
        return {t.name: t.entitled - t.held for t in self._teams.values() if t.has_queued()}

    # Accounting

    def _get_or_add_team(self, name: str) -> _Team:
        team = self._teams.get(name)
        if team is None:
            team = self._teams[name] = _Team(name)
        return team

    def _share(self, need: Resources) -> float:
        cap = self._capacity
        return max(
            need.slots / max(1, cap.slots),
            need.cpu_millis / cap.cpu_millis if cap.cpu_millis else 0.0,
            need.memory_mb / cap.memory_mb if cap.memory_mb else 0.0,
            need.accelerators / cap.accelerators if cap.accelerators else 0.0,
        )

    def _charge(self, team: _Team, task: _Running, sign: int) -> None:
        self._entitlements_stale = True
        cls = task.request.request_class
        team.held += sign * task.share
        team.class_held[cls] += sign * task.share
        if _is_unstoppable(task.request):
            self._unstoppable_share += sign * task.share
        if not team.running:
            # Clears rounding errors of the sums.
            team.held = 0.0
            team.class_held = dict.fromkeys(RequestClass, 0.0)

    def _rescale_running(self, team: _Team) -> None:
        tasks = team.running
        for task in tasks.values():
            self._charge(team, task, -1)
            task.share = self._share(task.request.need)
            self._charge(team, task, 1)

    def _integrate_lags(self, now_ms: int) -> None:
        """Integrate lags over the time since the last call, at the entitlements of that time."""
        if self._updated_ms is None:
            self._updated_ms = now_ms
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0:
            return
        self._updated_ms = now_ms
        for team in self._teams.values():
            team.integrate(elapsed_ms, self._slot_share)

    def _set_blocked(self, blocked: Container[str]) -> None:
        for team in self._teams.values():
            at_limit = team.name in blocked
            if at_limit != team.at_limit:
                team.at_limit = at_limit
                self._entitlements_stale = True
        self._update_entitlements()

    def _update_entitlements(self) -> None:
        if not self._entitlements_stale:
            return
        self._entitlements_stale = False
        for team in self._teams.values():
            team.competes = not team.at_limit and team.has_queued()
        set_entitlements(list(self._teams.values()))

    # Choice of the next request

    def _next_urgent(self, candidates: list[_Candidate]) -> QueuedRequest | None:
        heads = []
        for candidate in candidates:
            team, head = candidate.team, candidate.head(RequestClass.URGENT)
            if head is not None and team.class_held[RequestClass.URGENT] < self._urgent_share(team):
                heads.append(head)
        return min(heads, key=lambda head: head.queued_ms, default=None)

    def _urgent_share(self, team: _Team) -> float:
        return max(team.entitled, self._slot_share / 2)

    def _next_quick(self, candidates: list[_Candidate], now_ms: int) -> QueuedRequest | None:
        best, best_slowdown = None, -1.0
        for candidate in candidates:
            team, head = candidate.team, candidate.head(RequestClass.QUICK)
            if head is None or team.quick_held() >= self._profile.quick_floor * team.entitled:
                continue
            if team.deficit() <= -QUICK_BORROW_SLOTS * self._slot_share:
                continue
            if self._starves_archival(candidate):
                continue
            slowdown = (now_ms - head.queued_ms) / max(1, head.expected_ms)
            if slowdown > best_slowdown:
                best, best_slowdown = head, slowdown
        return best

    def _starves_archival(self, candidate: _Candidate) -> bool:
        """Return whether quick work holds slots of a team whose archival work should go first."""
        if candidate.head(RequestClass.ARCHIVAL) is None or candidate.team.quick_held() == 0:
            return False
        return self._archival_first(candidate.team)

    def _next_by_deficit(self, candidates: list[_Candidate]) -> QueuedRequest | None:
        best, best_gain = None, -math.inf
        for candidate in candidates:
            team, head = candidate.team, self._next_of_team(candidate)
            if head is None:
                continue
            share = self._share(head.need)
            entitled = max(team.entitled, self._slot_share / 10)
            gain = (2 * team.deficit() - share) * share / (entitled * entitled)
            if gain > best_gain:
                best, best_gain = head, gain
        return best

    def _next_of_team(self, candidate: _Candidate) -> QueuedRequest | None:
        """Return the request of a team to start first, by class."""
        urgent = candidate.head(RequestClass.URGENT)
        if urgent is not None:
            return urgent
        quick = candidate.head(RequestClass.QUICK)
        archival = candidate.head(RequestClass.ARCHIVAL)
        if archival is not None and self._reserve_excludes(archival):
            archival = None
        if quick is None or archival is None:
            return quick or archival
        return archival if self._archival_first(candidate.team) else quick

    def _archival_first(self, team: _Team) -> bool:
        """Return whether archival work goes before quick work while both wait."""
        part = max(team.held, team.entitled)
        quick_low = team.quick_held() < self._profile.quick_floor * part
        archival_low = team.class_held[RequestClass.ARCHIVAL] < self._profile.archival_floor * part
        if quick_low != archival_low:
            return archival_low
        # Between the floors, each class is served in proportion to the most that it may hold.
        used = team.class_usage
        quick_used = used[RequestClass.QUICK] + used[RequestClass.URGENT]
        archival_used = used[RequestClass.ARCHIVAL]
        most_quick = 1 - self._profile.archival_floor
        most_archival = 1 - self._profile.quick_floor
        return archival_used * most_quick < quick_used * most_archival

    def _reserve_excludes(self, request: QueuedRequest) -> bool:
        if not _is_unstoppable(request):
            return False
        return (
            self._unstoppable_share + self._share(request.need) > 1.0 - self._reserved_share + 1e-9
        )

    def _wait_reason(self, team: _Team, request: QueuedRequest) -> str:
        if team.at_limit:
            return "the team is at its upper limit"
        if self._reserve_excludes(request):
            return "the remaining slots are kept for work that may be urgent"
        held, entitled = f"{team.held:.1%}", f"{team.entitled:.1%}"
        if team.held >= team.entitled - self._slot_share / 2:
            return f"the team holds {held} of the cell and its share is {entitled} now"
        return f"the cell is full; the team holds {held} of its share of {entitled}"

    # Reclaim

    def _reclaim_for_urgent(self, now_ms: int, chosen: dict[RequestKey, _Running]) -> None:
        for team in self._teams.values():
            head = team.class_queues[RequestClass.URGENT].head()
            if head is None or team.at_limit or now_ms - head.queued_ms < URGENT_RECLAIM_DELAY_MS:
                continue
            headroom = self._urgent_share(team) - team.class_held[RequestClass.URGENT]
            wanted = team.class_queues[RequestClass.URGENT].live * self._share(head.need)
            wanted = min(wanted, max(0.0, headroom))
            donors = [team] if team.held > team.entitled - self._slot_share / 2 else []
            donors += sorted(self._teams.values(), key=lambda t: t.entitled - t.held)
            for donor in donors:
                if wanted <= 0:
                    break
                wanted -= self._choose_tasks(donor, wanted, chosen)

    def _reclaim_for_teams(self, chosen: dict[RequestKey, _Running]) -> None:
        needed, within_delay = 0.0, True
        for team in self._teams.values():
            if team.competes and team.held < team.entitled:
                needed += team.entitled - team.held
                within_delay = within_delay and team.lag < self._reclaim_delay_ms * team.entitled
        if within_delay:
            return
        for team in sorted(self._teams.values(), key=lambda t: t.entitled - t.held):
            excess = min(needed, team.held - team.entitled)
            if excess < self._slot_share / 2:
                continue
            if -team.lag >= self._reclaim_delay_ms * team.entitled:
                needed -= self._choose_tasks(team, excess, chosen)

    def _reclaim_for_quick(self, now_ms: int, chosen: dict[RequestKey, _Running]) -> None:
        for team in self._teams.values():
            head = team.class_queues[RequestClass.QUICK].head()
            if head is None or team.at_limit:
                continue
            delay_ms = max(self._reclaim_delay_ms, head.expected_ms / 2)
            shortfall = self._profile.quick_floor * team.entitled - team.quick_held()
            if now_ms - head.queued_ms < delay_ms or shortfall <= 0:
                continue
            wanted = min(
                shortfall, team.class_queues[RequestClass.QUICK].live * self._share(head.need)
            )
            self._choose_tasks(team, wanted, chosen)

    def _choose_tasks(
        self, team: _Team, wanted: float, chosen: dict[RequestKey, _Running]
    ) -> float:
        """Choose archival tasks of a team worth about `wanted` share and return their share.

        Tasks listed before stay listed; then the newest come first, as they lose the least work.
        """
        candidates = [
            (not task.listed, -order, key, task)
            for order, (key, task) in enumerate(team.running.items())
            if task.request.reclaimable and task.request.request_class is RequestClass.ARCHIVAL
        ]
        candidates.sort(key=lambda item: item[:2])
        freed = 0.0
        for _, _, key, task in candidates:
            if freed + self._slot_share / 2 > wanted:
                break
            if key not in chosen:
                chosen[key] = task
                freed += task.share
        return freed


def set_entitlements(teams: list[_Team]) -> None:
    """Divide the held share by weight; what exceeds a team's demand goes to the others."""
    unassigned = sum(team.held for team in teams)
    unsatisfied = []
    for team in teams:
        team.entitled = 0.0
        if team.demand() > 0:
            unsatisfied.append(team)
    while unsatisfied:
        total = sum(team.weight for team in unsatisfied)
        if total <= 0:
            # Only teams without a weight are left; they divide the rest evenly.
            for team in unsatisfied:
                team.entitled = unassigned / len(unsatisfied)
            return
        satisfied = [t for t in unsatisfied if t.demand() <= unassigned * t.weight / total + 1e-12]
        if not satisfied:
            for team in unsatisfied:
                team.entitled = unassigned * team.weight / total
            return
        for team in satisfied:
            team.entitled = team.demand()
            unassigned -= team.entitled
        unsatisfied = [team for team in unsatisfied if team not in satisfied]


def _is_unstoppable(request: QueuedRequest) -> bool:
    """Return whether a task may occupy its slots for long and must not be stopped."""
    return request.request_class is RequestClass.ARCHIVAL and not request.reclaimable


def _reclaim_delay(profile: Profile) -> float:
    """Return the delay before capacity is reclaimed, shorter if share closeness weighs more."""
    weights = profile.weights
    mean = sum(attrs.astuple(weights)) / 4
    if weights.share_closeness <= 0 or mean <= 0:
        return float(MAX_RECLAIM_DELAY_MS)
    wanted = RECLAIM_DELAY_MS / math.sqrt(weights.share_closeness / mean)
    return min(float(MAX_RECLAIM_DELAY_MS), max(float(MIN_RECLAIM_DELAY_MS), wanted))


def _reserved_fraction(profile: Profile, slots: int) -> float:
    """Return the part of the cell closed to archival tasks that cannot be stopped.

    It is at least one slot, so that urgent work need not wait for such a task to end. It grows with
    the weight of share closeness relative to that of buffer cost.
    """
    weights = profile.weights
    ratio = weights.share_closeness / weights.buffer_cost if weights.buffer_cost else math.inf
    fraction = min(MAX_RESERVE_FRACTION, max(MIN_RESERVE_FRACTION, RESERVE_FRACTION * ratio))
    reserved = max(1, round(fraction * slots)) if slots > 1 else 0
    return reserved / max(1, slots)
