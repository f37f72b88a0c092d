"""Order, size and progress of a maintenance wave over the instances of one pool."""

import math
from collections import Counter, deque
from collections.abc import Collection, Iterable, Mapping, Sequence

import attrs

from fescuecrank_core.budgets import Budget, Domain, OutCounts, OutReason
from fescuecrank_core.calendars import DAY_MS
from fescuecrank_core.declarations import Weights

MAINTENANCE_DAYS = 42
MAINTENANCE_PERIOD_MS = MAINTENANCE_DAYS * DAY_MS

# Demand comes in bursts of seconds while an instance is out for minutes, so the load is averaged.
# Over fewer than ten bursts the noise of the mean delays waves.
LOAD_WINDOW_MS = 600_000
# Longest sample, so that the first one after a gap does not replace the mean.
MAX_SAMPLE_MS = 5_000
# A backlog counts as load only if it lasts this long, for a profile that weighs only roll-out time.
# The backlog of a burst lasts for less than a minute.
BACKLOG_WINDOW_MS = 600_000
# Capacity kept free on top of the load, for a profile that weighs only share closeness.
LOAD_MARGIN = 0.05
# Longest time for which load alone delays a wave, for a profile with equal weights.
MAX_LOAD_DELAY_MS = 600_000
# A drain is cancelled after this multiple of its expected time, but not before the minimum.
DRAIN_TIMEOUT_FACTOR = 3
MIN_DRAIN_TIMEOUT_MS = 120_000
# The next call, half a second later, chooses further instances.
MAX_CHOICES_PER_CALL = 8
# Time for the record of its maintenance to arrive, before a worker that returned may go out again.
RECORD_LAG_MS = 60_000


@attrs.frozen
class WaveMember:
    """One instance of the pool that a wave maintains.

    `done` is true once this wave has maintained it. `running` is the number of its tasks and
    `drain_ms` the expected time until the last of them ends. `maintained_wall_ms` is the time of
    its last maintenance.
    """

    name: str
    domain: Domain
    done: bool = False
    running: int = 0
    drain_ms: int = 0
    maintained_wall_ms: int = 0


@attrs.define
class _Outage:
    """A worker that the planner took out; `returned_ms` is when it was seen in service again."""

    since_ms: int
    expected_drain_ms: int
    returned_ms: int | None = None


def daily_maintenance_count(count: int, closed_days: int = 0) -> int:
    """Return how many of `count` instances to maintain a day, so that 6 weeks cover all of them.

    One of the 42 days stays in reserve, because the instances of a day are done only at its end.
    `closed_days` is the number of days in the 6 weeks on which the calendar forbids maintenance.
    """
    return math.ceil(count / max(1, MAINTENANCE_DAYS - 1 - closed_days))


def instances_due(members: Iterable[WaveMember], wall_ms: int, closed_days: int = 0) -> list[str]:
    """Return the instances to maintain in the next 24 hours, the longest unmaintained first.

    These are all that would exceed 6 weeks, filled up to the daily count so that instances that
    were maintained together do not all become due on one day.
    """
    oldest = sorted(members, key=lambda member: (member.maintained_wall_ms, member.name))
    limit_ms = wall_ms + DAY_MS - MAINTENANCE_PERIOD_MS
    late = sum(member.maintained_wall_ms <= limit_ms for member in oldest)
    return [
        member.name
        for member in oldest[: max(late, daily_maintenance_count(len(oldest), closed_days))]
    ]


class SustainedLoad:
    """Load of a pool without the short backlogs that bursts cause.

    `value` is the mean fraction of all slots in use, plus the least backlog of the last minutes.
    """

    def __init__(self) -> None:
        self._mean_busy: float | None = None
        self._first_ms = 0
        self._last_ms = 0
        self._backlogs: deque[tuple[int, float]] = deque()

    @property
    def value(self) -> float:
        """Return the load as a fraction of the slots of all members."""
        if self._mean_busy is None:
            return 0.0
        return self._mean_busy + (self._backlogs[0][1] if self._backlogs else 0.0)

    def observe(
        self, load: float, in_service: float, now_ms: int, backlog_window_ms: float
    ) -> None:
        """Add a sample: the fractions of the slots that are used or queued for, and in service."""
        busy = min(load, in_service)
        if self._mean_busy is None:
            self._mean_busy = busy
            self._first_ms = self._last_ms = now_ms
        # A plain mean at first, so that the first sample has no lasting influence.
        window_ms = max(1, min(LOAD_WINDOW_MS, now_ms - self._first_ms))
        sample_ms = min(now_ms - self._last_ms, MAX_SAMPLE_MS)
        self._mean_busy += (busy - self._mean_busy) * min(1.0, sample_ms / window_ms)
        self._last_ms = now_ms
        # Ascending, so that the first element is the minimum of the window.
        while self._backlogs and self._backlogs[-1][1] >= load - busy:
            self._backlogs.pop()
        self._backlogs.append((now_ms, load - busy))
        while self._backlogs[0][0] < now_ms - backlog_window_ms:
            self._backlogs.popleft()


class WavePlanner:
    """Decides which instances a wave takes out next; one planner for each cell.

    The profile's weights of roll-out time and share closeness decide how much load delays the wave,
    and for how long.
    """

    def __init__(self) -> None:
        self._paused = False
        self._load = SustainedLoad()
        self._outages: dict[str, _Outage] = {}
        self._cancelled_once: set[str] = set()
        self._upcoming: set[str] = set()
        self._blocked_since_ms: int | None = None

    def pause(self) -> None:
        """Stop choosing instances; those that are out finish their maintenance."""
        self._paused = True

    def resume(self) -> None:
        """Continue a paused wave; the time for which load has delayed it starts anew."""
        self._paused = False
        self._blocked_since_ms = None

    def select_next(
        self,
        now_ms: int,
        members: Sequence[WaveMember],
        out: Mapping[str, OutReason],
        budget: Budget,
        load: float,
    ) -> list[str]:
        """Return the instances to drain now, best first.

        `load` is the number of slots that are used or queued for, divided by the slots of all
        members, whether out or not. The caller must count the returned instances as out from then
        on. It calls about twice a second, also while no wave runs, so that the planner has measured
        the load before the next wave.
        """
        self._observe(now_ms, members, out, load, budget.profile.weights)
        candidates = self._candidates(members, out)
        if self._paused or not candidates:
            return []
        if len(out) >= budget.planned_limit and not any(
            member.name in out for member in candidates
        ):
            return []
        selection = _Selection(members, out, budget, candidates, self._cancelled_once)
        limit = self._limit_by_load(
            now_ms, len(members), selection.counts.total, budget.profile.weights
        )
        chosen = []
        while (
            len(chosen) < MAX_CHOICES_PER_CALL
            and (member := selection.best_candidate()) is not None
        ):
            is_additional = member.name not in out
            if is_additional and selection.counts.total >= limit:
                break
            selection.select(member)
            self._outages[member.name] = _Outage(now_ms, member.drain_ms)
            chosen.append(member.name)
        if chosen:
            self._blocked_since_ms = None
        return chosen

    def cancel_stalled_drains(
        self, now_ms: int, members: Sequence[WaveMember], out: Mapping[str, OutReason]
    ) -> list[str]:
        """Return workers whose drain to cancel, since idle workers can be maintained meanwhile.

        A worker whose tasks outlast their expected time many times over would block its part of the
        budget. Its drain is cancelled once and repeated after the other workers; the second drain
        lasts until its tasks end.
        """
        has_idle = any(member.running == 0 for member in self._candidates(members, out))
        if not has_idle:
            return []
        stalled = []
        for member in members:
            outage = self._outages.get(member.name)
            if outage is None or member.running == 0 or member.name in self._cancelled_once:
                continue
            timeout_ms = max(MIN_DRAIN_TIMEOUT_MS, DRAIN_TIMEOUT_FACTOR * outage.expected_drain_ms)
            if now_ms - outage.since_ms > timeout_ms:
                stalled.append(member.name)
        for name in stalled:
            self._cancelled_once.add(name)
            del self._outages[name]
        return stalled

    def upcoming(
        self, members: Sequence[WaveMember], out: Mapping[str, OutReason], budget: Budget
    ) -> frozenset[str]:
        """Return the instances to maintain next, which placement should avoid if others fit.

        They stay in service and count against no budget. Their tasks end while the instances
        before them are maintained, so that their drains do not prolong the wave.
        """
        candidates = self._candidates(members, out)
        candidates = [member for member in candidates if member.name not in self._cancelled_once]
        names = {member.name for member in candidates}
        self._upcoming = {name for name in self._upcoming if name in names}
        if self._paused or len(self._upcoming) >= min(budget.planned_limit, len(candidates)):
            return frozenset(self._upcoming)
        rest = [member for member in candidates if member.name not in self._upcoming]
        selection = _Selection(members, {}, budget, rest, self._cancelled_once)
        for member in candidates:
            if member.name in self._upcoming:
                selection.counts.add(member.domain, OutReason.PLANNED)
        for _ in range(MAX_CHOICES_PER_CALL):
            member = selection.best_candidate()
            if member is None:
                break
            selection.select(member)
            self._upcoming.add(member.name)
        return frozenset(self._upcoming)

    def _observe(
        self,
        now_ms: int,
        members: Sequence[WaveMember],
        out: Mapping[str, OutReason],
        load: float,
        weights: Weights,
    ) -> None:
        in_service = 1 - len(out) / max(1, len(members))
        roll_out_fraction = _weight_fraction(weights.roll_out_time, weights.share_closeness)
        self._load.observe(load, in_service, now_ms, BACKLOG_WINDOW_MS * roll_out_fraction)
        for member in members:
            outage = self._outages.get(member.name)
            if outage is None:
                continue
            if member.name in out:
                outage.returned_ms = None
            elif outage.returned_ms is None:
                outage.returned_ms = now_ms
            record_overdue = (
                outage.returned_ms is not None and now_ms - outage.returned_ms >= RECORD_LAG_MS
            )
            if member.name not in out and (member.done or record_overdue):
                del self._outages[member.name]
        if all(member.done for member in members):
            self._cancelled_once.clear()

    def _candidates(
        self, members: Sequence[WaveMember], out: Mapping[str, OutReason]
    ) -> list[WaveMember]:
        """Return the members whose maintenance can begin.

        A quarantined worker is reachable and out anyway, so its maintenance costs no capacity.
        """
        allowed = (None, OutReason.QUARANTINED)
        return [
            member
            for member in members
            if not member.done
            and out.get(member.name) in allowed
            and member.name not in self._outages
        ]

    def _limit_by_load(self, now_ms: int, count: int, total_out: int, weights: Weights) -> int:
        margin = LOAD_MARGIN * _weight_fraction(weights.share_closeness, weights.roll_out_time)
        limit = math.floor(count * (1 - self._load.value * (1 + margin)) + 1e-9)
        if total_out < limit:
            self._blocked_since_ms = None
            return limit
        if self._blocked_since_ms is None:
            self._blocked_since_ms = now_ms
        delay_limit_ms = (
            2 * MAX_LOAD_DELAY_MS * _weight_fraction(weights.share_closeness, weights.roll_out_time)
        )
        stalled = now_ms - self._blocked_since_ms >= delay_limit_ms
        return total_out + 1 if stalled and not self._outages else limit


class _Selection:
    """Instances chosen in one call, with up-to-date counts of those out.

    Candidates are grouped by rack, so that the cost of one choice grows with the number of racks
    rather than with that of instances.
    """

    def __init__(
        self,
        members: Sequence[WaveMember],
        out: Mapping[str, OutReason],
        budget: Budget,
        candidates: Sequence[WaveMember],
        cancelled_once: Collection[str],
    ) -> None:
        self._out = out
        self._cancelled_once = cancelled_once
        self._budget = budget
        self.counts = OutCounts({member.name: member.domain for member in members}, out)
        self._queues: dict[tuple[str, str], list[WaveMember]] = {}
        for member in sorted(candidates, key=self._drain_key, reverse=True):
            self._queues.setdefault(member.domain.rack_id, []).append(member)
        self._remaining = len(candidates)
        self._remaining_in_rack = Counter(member.domain.rack_id for member in candidates)
        self._remaining_in_data_centre = Counter(member.domain.data_centre for member in candidates)

    def best_candidate(self) -> WaveMember | None:
        """Return the best instance that the budget allows to go out now, or None."""
        open_queues = [
            queue for queue in self._queues.values() if queue and self._budget_allows(queue[-1])
        ]
        if not open_queues:
            return None
        return min(open_queues, key=self._rack_key)[-1]

    def select(self, member: WaveMember) -> None:
        """Count `member` as out."""
        if member.name in self._out:
            self.counts.add(member.domain, self._out[member.name], -1)
        self.counts.add(member.domain, OutReason.PLANNED)
        rack_id = member.domain.rack_id
        self._queues[rack_id].remove(member)
        self._remaining -= 1
        self._remaining_in_rack[rack_id] -= 1
        self._remaining_in_data_centre[member.domain.data_centre] -= 1

    def _budget_allows(self, member: WaveMember) -> bool:
        reason = self._out.get(member.name)
        if reason is not None:
            self.counts.add(member.domain, reason, -1)
        refusal = self._budget.refusal_by_counts(member.domain, self.counts, planned=True)
        if reason is not None:
            self.counts.add(member.domain, reason)
        return refusal is None

    def _drain_key(self, member: WaveMember) -> tuple:
        return (
            member.name in self._cancelled_once,
            member.name not in self._out,
            member.drain_ms,
            member.running,
            member.name,
        )

    def _rack_key(self, queue: list[WaveMember]) -> tuple:
        """Return the sort key of a rack.

        Domains that need the most rounds come first if they determine the length of the wave, then
        racks whose next instance is idle, then the domains with the fewest instances out.
        """
        member = queue[-1]
        min_rounds = self._min_rounds(member.domain)
        total = self._remaining / max(1, self._budget.planned_limit)
        return (
            -min_rounds if min_rounds >= total else 0.0,
            *self._drain_key(member)[:3],
            self.counts.data_centres[member.domain.data_centre],
            self.counts.racks[member.domain.rack_id],
            -min_rounds,
            member.name,
        )

    def _min_rounds(self, domain: Domain) -> float:
        """Return the least number of rounds that the domain still needs."""
        profile = self._budget.profile
        in_rack = self._remaining_in_rack[domain.rack_id] / max(1, profile.max_out_per_rack)
        in_data_centre = self._remaining_in_data_centre[domain.data_centre]
        return max(in_rack, in_data_centre / max(1, profile.max_out_per_data_centre))


def _weight_fraction(weight: float, other: float) -> float:
    """Return `weight` as a fraction of the sum of both, or 0.5 if both are 0."""
    total = weight + other
    return weight / total if total > 0 else 0.5
