"""Instances that each pool requires, and the moves between pools that provide them.

Sustained demand is a mean over `WINDOW_MS`, so bursts of seconds cause no move. Divided by the
calendar's factor it is the demand of an ordinary day, the baseline. The calendar predicts changes
from it, so that instances move ahead of demand. Where measured demand contradicts the calendar for
`OVERRIDE_MS`, the measured demand counts instead.
"""

import math
from collections import Counter, deque

import attrs

from fescuecrank_core.calendars import demand_factor, next_change, peak_factor
from fescuecrank_core.declarations import Calendar, Fleet, Pool, Profile, Weights

# Long compared with bursts of demand (seconds), short compared with its lasting changes.
WINDOW_MS = 1_200_000
BUCKET_MS = 60_000
# A new holder of the claim has no samples; this part of the window suffices for its first moves.
MIN_WINDOW_MS = 600_000
# Time constants of the baseline while measured demand agrees with the calendar and while it
# contradicts it.
BASELINE_AGREED_MS = 6 * 3_600_000
BASELINE_CONTRADICTED_MS = 3 * 86_400_000
# Measured demand overrides the calendar after it has differed by more than the first fraction for
# `OVERRIDE_MS`, until it differs by no more than the second.
CONTRADICTION_TOLERANCE = 0.15
AGREEMENT_TOLERANCE = 0.03
OVERRIDE_MS = 600_000
# Duration of one move, a drain and a reboot; the moves of a pool follow one another.
MOVE_DURATION_MS = 600_000
# Earliest start before a change in the calendar, on top of the time that the moves take.
LEAD_MS = 900_000
# Cost of one move as idle time of an instance, for equal weights of moves and buffer cost.
MOVE_COST_MS = 24 * 3_600_000
# Time for which a deficit or a surplus must last before a move, for equal weights.
DEFICIT_HOLD_MS = 300_000
SURPLUS_HOLD_MS = 1_800_000
# Capacity above the sustained demand, for a profile that weighs only share closeness.
HEADROOM = 0.05
# A pool releases only instances that it would not need at this much more demand.
DEAD_BAND = 0.05
# An instance that is out for this long is replaced; maintenance takes minutes.
LOST_AFTER_MS = 3_600_000
# Advised moves that the loads do not confirm within this time may be advised again.
PENDING_TIMEOUT_MS = 1_800_000


@attrs.frozen
class PoolLoad:
    """Load of one pool over about one second.

    `usable` names the instances in service, `out` counts the others that belong to the pool.
    `slots` is the total of the usable instances. `offered` is the work that arrived, as slots times
    expected run time over the elapsed time; work that was queued before is not counted again.
    """

    pool: str
    usable: tuple[str, ...]
    out: int
    slots: int
    busy: int
    waiting: int
    offered: float


@attrs.frozen
class Move:
    """Advice to move `count` instances; the donor's holder chooses which, within its budget."""

    from_pool: str
    to_pool: str
    count: int
    reason: str


@attrs.define
class _Bucket:
    """Sum of the offered slots of one minute."""

    since_ms: int
    total: float = 0.0
    samples: int = 0


@attrs.define
class _PoolState:
    """Measured load and demand of one pool, and the state of its forecasts."""

    load: PoolLoad
    first_observed_ms: int
    slots_per_instance: float = 0.0
    observed: bool = False
    buckets: deque[_Bucket] = attrs.field(factory=deque)
    baseline: float | None = None
    baseline_ms: int = 0
    contradicted_since_ms: int | None = None
    calendar_overridden: bool = False
    override_factor: float = 1.0
    deficit_since_ms: int | None = None
    surplus_since_ms: int | None = None

    @property
    def instance_count(self) -> int:
        """Return the number of instances that belong to the pool."""
        return len(self.load.usable) + self.load.out


@attrs.frozen
class _Requirement:
    """Instances that one pool requires and those that it retains, and why it requires them."""

    required: int
    retained: int
    reason: str


@attrs.define
class _PendingMoves:
    """Advised moves from one pool to another that the loads do not show yet."""

    count: int
    since_ms: int


class CapacityPlanner:
    """Plans moves for all pools; runs at the holder of the `limits` claim.

    Its state is not handed over: a new holder measures for `MIN_WINDOW_MS` first.
    """

    def __init__(self) -> None:
        self._states: dict[str, _PoolState] = {}
        self._pool_of_worker: dict[str, str] = {}
        self._unusable_since_ms: dict[str, int] = {}
        self._pending: dict[tuple[str, str], _PendingMoves] = {}

    def observe(self, load: PoolLoad, now_ms: int) -> None:
        """Add a sample of the load of one pool; called about once a second."""
        state = self._states.get(load.pool)
        if state is None:
            state = self._states[load.pool] = _PoolState(load, now_ms)
        before, state.load = state.load.usable, load
        if load.usable and load.slots:
            state.slots_per_instance = load.slots / len(load.usable)
        _add_sample(state.buckets, load.offered, now_ms)
        if load.usable == before and state.observed:
            return
        state.observed = True
        for worker in set(before).difference(load.usable):
            self._unusable_since_ms.setdefault(worker, now_ms)
        for worker in load.usable:
            self._unusable_since_ms.pop(worker, None)
            self._record_pool(worker, load.pool)

    def plan(self, fleet: Fleet, now_ms: int, wall_ms: int) -> list[Move]:
        """Return the moves to start now; moves under way are not repeated."""
        for route in [
            r for r, p in self._pending.items() if now_ms - p.since_ms > PENDING_TIMEOUT_MS
        ]:
            del self._pending[route]
        known = {
            name: pool for name, pool in fleet.pools.items() if self._is_measured(name, now_ms)
        }
        requirements = {
            name: self._requirement(fleet, pool, now_ms, wall_ms) for name, pool in known.items()
        }
        declared_pool = {
            worker: pool.name for pool in fleet.pools.values() for worker in pool.workers
        }
        moves = self._moves_to_deficits(fleet, requirements, declared_pool, now_ms)
        moves += self._moves_back(fleet, requirements, declared_pool, now_ms, wall_ms)
        for move in moves:
            pending = self._pending.setdefault(
                (move.from_pool, move.to_pool), _PendingMoves(0, now_ms)
            )
            pending.count += move.count
            pending.since_ms = now_ms
        return moves

    def sustained_demand(self, pool: str) -> float:
        """Return the mean number of slots demanded over the window."""
        buckets = self._states[pool].buckets
        samples = sum(bucket.samples for bucket in buckets)
        return sum(bucket.total for bucket in buckets) / max(1, samples)

    def retained_instances(self, fleet: Fleet, pool: str, now_ms: int, wall_ms: int) -> int:
        """Return the number of instances that the pool would not release."""
        return self._requirement(fleet, fleet.pools[pool], now_ms, wall_ms).retained

    def _record_pool(self, worker: str, pool: str) -> None:
        before = self._pool_of_worker.get(worker)
        self._pool_of_worker[worker] = pool
        pending = self._pending.get((before, pool))
        if before == pool or pending is None:
            return
        pending.count -= 1
        if pending.count <= 0:
            del self._pending[(before, pool)]

    def _lost_count(self, pool: str, now_ms: int) -> int:
        """Return how many instances of the pool have been out longer than maintenance takes."""
        lost = sum(
            now_ms - since_ms >= LOST_AFTER_MS and self._pool_of_worker[worker] == pool
            for worker, since_ms in self._unusable_since_ms.items()
        )
        return min(lost, self._states[pool].load.out)

    def _is_measured(self, name: str, now_ms: int) -> bool:
        state = self._states.get(name)
        return (
            state is not None
            and now_ms - state.first_observed_ms >= MIN_WINDOW_MS
            and state.slots_per_instance > 0
        )

    def _requirement(self, fleet: Fleet, pool: Pool, now_ms: int, wall_ms: int) -> _Requirement:
        state = self._states[pool.name]
        profile = fleet.profiles[pool.profile]
        calendar = fleet.calendars.get(pool.calendar) or Calendar(name="")
        measured = self.sustained_demand(pool.name)
        self._update_baseline(state, measured, demand_factor(calendar, wall_ms), now_ms)
        demand, reason = self._expected_demand(state, measured, calendar, wall_ms)
        reserve = max(profile.failure_reserve, self._lost_count(pool.name, now_ms))
        required = _required_instances(demand, state, pool, reserve)
        return _Requirement(
            required, max(required, _retained_instances(demand, state, pool, profile)), reason
        )

    def _update_baseline(
        self, state: _PoolState, measured: float, factor: float, now_ms: int
    ) -> None:
        if state.calendar_overridden and factor != state.override_factor:
            state.calendar_overridden = False
            state.contradicted_since_ms = None
        if factor <= 0:
            return
        ordinary_demand = measured / factor
        if state.baseline is None:
            state.baseline = ordinary_demand
        elif _relative_difference(ordinary_demand, state.baseline) <= (
            AGREEMENT_TOLERANCE if state.calendar_overridden else CONTRADICTION_TOLERANCE
        ):
            state.contradicted_since_ms = None
            state.calendar_overridden = False
        elif state.contradicted_since_ms is None:
            state.contradicted_since_ms = now_ms
        elif now_ms - state.contradicted_since_ms >= OVERRIDE_MS:
            state.calendar_overridden = True
            state.override_factor = factor
        elapsed_ms = now_ms - state.baseline_ms if state.baseline_ms else 0
        state.baseline_ms = now_ms
        constant_ms = (
            BASELINE_CONTRADICTED_MS
            if state.contradicted_since_ms is not None
            else BASELINE_AGREED_MS
        )
        state.baseline += (ordinary_demand - state.baseline) * (
            1 - math.exp(-elapsed_ms / constant_ms)
        )

    def _expected_demand(
        self, state: _PoolState, measured: float, calendar: Calendar, wall_ms: int
    ) -> tuple[float, str]:
        factor = demand_factor(calendar, wall_ms)
        current_demand = measured if state.calendar_overridden else state.baseline * factor
        horizon_ms = LEAD_MS + self._moves_duration_ms(state, calendar, wall_ms)
        peak = peak_factor(calendar, wall_ms, wall_ms + horizon_ms)
        if peak > factor and state.baseline * peak > current_demand:
            return state.baseline * peak, f"the calendar expects {peak:g} times an ordinary day"
        if state.calendar_overridden:
            return current_demand, f"{measured:.1f} slots are requested, contrary to the calendar"
        return current_demand, f"{current_demand:.1f} slots are requested"

    def _moves_duration_ms(self, state: _PoolState, calendar: Calendar, wall_ms: int) -> int:
        change_ms = next_change(calendar, wall_ms)
        if change_ms is None:
            return 0
        rise = state.baseline * (
            demand_factor(calendar, change_ms) - demand_factor(calendar, wall_ms)
        )
        return max(0, math.ceil(rise / state.slots_per_instance)) * MOVE_DURATION_MS

    def _moves_to_deficits(
        self,
        fleet: Fleet,
        requirements: dict[str, _Requirement],
        declared_pool: dict[str, str],
        now_ms: int,
    ) -> list[Move]:
        moves: list[Move] = []
        for name in sorted(
            requirements, key=lambda pool: self._count(pool) - requirements[pool].required
        ):
            shortfall = (
                requirements[name].required
                - self._count(name)
                - self._incoming(name)
                + self._outgoing(name)
            )
            hold_ms = (
                DEFICIT_HOLD_MS
                * 2
                * _weight_fraction(_weights(fleet, name), "moves", "share_closeness")
            )
            if not self._has_lasted("deficit_since_ms", name, shortfall > 0, hold_ms, now_ms):
                continue
            donors = [donor for donor in requirements if donor != name and fleet.pools[donor].spare]
            for donor in sorted(
                donors, key=lambda pool: requirements[pool].retained - self._count(pool)
            ):
                spare = self._count(donor) - self._outgoing(donor) - requirements[donor].retained
                count = min(shortfall, spare, self._max_departures(fleet, donor, moves))
                if count <= 0:
                    continue
                moves.append(Move(donor, name, count, requirements[name].reason))
                shortfall -= count
                if shortfall <= 0:
                    break
        return moves

    def _moves_back(
        self,
        fleet: Fleet,
        requirements: dict[str, _Requirement],
        declared_pool: dict[str, str],
        now_ms: int,
        wall_ms: int,
    ) -> list[Move]:
        moves: list[Move] = []
        for name in requirements:
            borrowed = self._borrowed(name, declared_pool)
            surplus = self._count(name) - self._outgoing(name) - requirements[name].retained
            weights = _weights(fleet, name)
            hold_ms = SURPLUS_HOLD_MS * 2 * _weight_fraction(weights, "moves", "buffer_cost")
            is_wanted = (
                bool(borrowed) and surplus > 0 and self._is_worth_returning(fleet, name, wall_ms)
            )
            ready = self._has_lasted("surplus_since_ms", name, is_wanted, hold_ms, now_ms)
            for home, borrowed_count in borrowed.items():
                if home not in fleet.pools:
                    continue
                # A pool that lends nothing gets its instances back whether or not they are needed.
                lent = fleet.pools[home].spare
                present_count = self._count(name) - self._outgoing(name)
                free = surplus if lent and ready else 0
                free = present_count - fleet.pools[name].min_workers if not lent else free
                pending_return = self._pending.get((name, home))
                left = borrowed_count - (pending_return.count if pending_return else 0)
                count = min(left, free, self._max_departures(fleet, name, moves))
                if count <= 0:
                    continue
                reason = "not needed any more" if lent else "declared in another pool"
                moves.append(Move(name, home, count, reason))
                surplus -= count
        return moves

    def _is_worth_returning(self, fleet: Fleet, name: str, wall_ms: int) -> bool:
        """Return whether demand stays low for long enough to justify a move there and back."""
        pool = fleet.pools[name]
        calendar = fleet.calendars.get(pool.calendar)
        if calendar is None:
            return True
        ratio = _weight_fraction(_weights(fleet, name), "moves", "buffer_cost")
        worth_ms = 2 * MOVE_COST_MS * ratio / max(1 - ratio, 1e-3)
        peak = peak_factor(calendar, wall_ms, wall_ms + int(worth_ms))
        state = self._states[name]
        profile = fleet.profiles[pool.profile]
        return peak <= demand_factor(calendar, wall_ms) or (
            _retained_instances(state.baseline * peak, state, pool, profile) < state.instance_count
        )

    def _borrowed(self, name: str, declared_pool: dict[str, str]) -> Counter[str]:
        usable = self._states[name].load.usable
        return Counter(
            declared_pool[worker] for worker in usable if declared_pool.get(worker, name) != name
        )

    def _count(self, name: str) -> int:
        return self._states[name].instance_count

    def _incoming(self, name: str) -> int:
        return sum(pending.count for (_, to), pending in self._pending.items() if to == name)

    def _outgoing(self, name: str) -> int:
        return sum(pending.count for (donor, _), pending in self._pending.items() if donor == name)

    def _max_departures(self, fleet: Fleet, donor: str, moves: list[Move]) -> int:
        """Return how many instances may leave now by the donor's budget and `min_workers`."""
        pool = fleet.pools[donor]
        profile = fleet.profiles[pool.profile]
        leaving = self._outgoing(donor)
        leaving += sum(move.count for move in moves if move.from_pool == donor)
        # An instance that drains for a move counts in `out` and `leaving`, which is conservative.
        # `min_workers` is compared with usable instances, since during an outage of the log pending
        # moves expire before their instances have left.
        load = self._states[donor].load
        in_budget = profile.max_out - profile.failure_reserve - load.out
        return min(in_budget, len(load.usable) - pool.min_workers) - leaving

    def _has_lasted(
        self, field: str, name: str, is_wanted: bool, hold_ms: float, now_ms: int
    ) -> bool:
        state = self._states[name]
        if not is_wanted:
            setattr(state, field, None)
            return False
        if getattr(state, field) is None:
            setattr(state, field, now_ms)
        return now_ms - getattr(state, field) >= hold_ms


def _relative_difference(first: float, second: float) -> float:
    """Return the difference as a fraction of the larger value."""
    return abs(first - second) / max(first, second, 1e-9)


def _add_sample(buckets: deque[_Bucket], offered: float, now_ms: int) -> None:
    since_ms = now_ms - now_ms % BUCKET_MS
    if not buckets or buckets[-1].since_ms != since_ms:
        buckets.append(_Bucket(since_ms))
    buckets[-1].total += offered
    buckets[-1].samples += 1
    while buckets[0].since_ms <= now_ms - WINDOW_MS:
        buckets.popleft()


def _required_instances(demand: float, state: _PoolState, pool: Pool, reserve: int) -> int:
    """Return the instances that serve `demand` slots while `reserve` of them are out."""
    serving = math.ceil(demand / state.slots_per_instance - 1e-9)
    return max(pool.min_workers, serving + reserve)


def _retained_instances(demand: float, state: _PoolState, pool: Pool, profile: Profile) -> int:
    """Return the instances that the pool does not release, by the weights of its profile."""
    headroom = DEAD_BAND + HEADROOM * _weight_fraction(
        profile.weights, "share_closeness", "buffer_cost"
    )
    serving = math.ceil(demand * (1 + headroom) / state.slots_per_instance - 1e-9)
    return max(pool.min_workers, serving + _reserved_instances(profile))


def _reserved_instances(profile: Profile) -> int:
    """Return the instances kept in reserve for those that are out.

    The reserve for failures is always kept. Half of the rest of the budget is kept as well if the
    profile weighs only roll-out time and not buffer cost.
    """
    planned = max(0, profile.max_out - profile.failure_reserve)
    part = _weight_fraction(profile.weights, "roll_out_time", "buffer_cost")
    return profile.failure_reserve + math.floor(planned * max(0.0, part - 0.5))


def _weights(fleet: Fleet, pool: str) -> Weights:
    return fleet.profiles[fleet.pools[pool].profile].weights


def _weight_fraction(weights: Weights, name: str, other: str) -> float:
    """Return one weight as a fraction of the sum of two, or 0.5 if both are 0."""
    total = getattr(weights, name) + getattr(weights, other)
    return getattr(weights, name) / total if total > 0 else 0.5
