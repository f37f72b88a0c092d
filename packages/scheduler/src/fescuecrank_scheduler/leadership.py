"""Leader election: a process claims the leadership in the store and then renews it."""

import enum
import random
from collections import deque

import attrs

from fescuecrank_scheduler.limits import Limits
from fescuecrank_scheduler.records import Leadership

# A vacant leadership is claimed after the usual random delay divided by this.
VACANT_DELAY_DIVISOR = 4

# Nothing starts while there is no leader, so the silence that is tolerated follows the interval at
# which renewals have been coming: short while the store is fast, longer while it is slow.
SILENCE_FACTOR = 3
MAX_SILENCE_MS = 2_500

# Size of a machine that carries the leader of some hundred workers at a fraction of its capacity;
# see docs/CAPACITY.md. Smaller ones delay their claims, by at most the handicap.
LEADER_CORES = 1.0
LEADER_LINK_MBPS = 50.0
LEADER_MEMORY_MB = 250.0
MAX_CLAIM_HANDICAP_MS = 600

# Interval of a leader's ticks.
LEADER_TICK_MS = 50

# A leader hands over if its ticks were late for half of this time. One pause of the process counts
# little, however long it is.
LATENESS_WINDOW_MS = 2_500
TOLERATED_LATENESS_MS = 100
MAX_COUNTED_LATENESS_MS = 500

# Lateness within the same time that is logged, once a second.
LOGGED_LATENESS_MS = 300
LOG_INTERVAL_MS = 1_000

# A leader that has just taken over adopts all runs and is late for a moment.
MIN_LEADERSHIP_MS = 5_000

# After a hand-over, this process claims only if no other has claimed by then, for this long.
STAND_BACK_DELAY_MS = 1_500
STAND_BACK_MS = 15_000


# Least difference between the epochs of two leaderships. The fencing tokens of calls to workers
# count up from the epoch, so that a later leader gives out higher ones than an earlier leader. One
# is used for each call of a worker that gets no answer; a leader that has used them up hands over.
EPOCH_STEP = 1_000_000_000


class Role(enum.StrEnum):
    """Role of this process in the election."""

    FOLLOWER = "follower"
    # A claim has been sent and its outcome is not known yet.
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.define
class Election:
    """Watches the leader's renewals and decides when to claim the leadership.

    The leader's silence counts only while this process can read the store. While the store is down,
    no process can tell whether the leader is alive, and none can replace it.
    """

    name: str
    limits: Limits
    rng: random.Random
    # Address at which this process takes callers' requests.
    address: str = ""
    role: Role = Role.FOLLOWER
    epoch: int = 0
    nonce: int = 0
    _observed: Leadership | None = None
    # From when on the leadership counts as vacant; None before the first read of the store.
    _vacant_from_ms: int | None = None
    _claim_delay_ms: int = 0
    # When the newest renewal was seen, and the average time between renewals.
    _renewal_seen_ms: int | None = None
    _renewal_gap_ms: float = 0.0
    # Until then this process leaves the claim to others if they make one.
    _stands_back_until_ms: int = 0

    def observe(self, leader: Leadership | None, now_ms: int, wall_ms: int) -> None:
        """Record the newest leadership record of the store."""
        first = self._vacant_from_ms is None
        if not first and leader == self._observed:
            return
        self._record_renewal(leader, now_ms)
        self._observed = leader
        self._watch_from(now_ms)
        if first and leader is not None and leader.holder:
            # The record may be older than this process. A wrong clock only makes the claim early,
            # which costs a change of leader.
            own = leader.holder == self.name
            age_ms = self.limits.leader_silence_ms if own else max(0, wall_ms - leader.wall_ms)
            self._vacant_from_ms = max(now_ms, now_ms + self.limits.leader_silence_ms - age_ms)

    def _record_renewal(self, leader: Leadership | None, now_ms: int) -> None:
        same = leader and self._observed and leader.epoch == self._observed.epoch
        if same and self._renewal_seen_ms is not None:
            gap_ms = min(now_ms - self._renewal_seen_ms, MAX_SILENCE_MS)
            self._renewal_gap_ms += (gap_ms - self._renewal_gap_ms) / 2
        else:
            self._renewal_gap_ms = self.limits.renew_interval_ms
        self._renewal_seen_ms = now_ms

    @property
    def silence_ms(self) -> int:
        """Time without a renewal after which the leader counts as gone."""
        expected_ms = min(SILENCE_FACTOR * self._renewal_gap_ms, MAX_SILENCE_MS)
        return max(self.limits.leader_silence_ms, int(expected_ms))

    def _watch_from(self, now_ms: int) -> None:
        self._vacant_from_ms = now_ms if self.vacant else now_ms + self.silence_ms
        self._claim_delay_ms = self.rng.randrange(self.limits.claim_spread_ms)

    @property
    def vacant(self) -> bool:
        """Whether nobody holds the leadership, as of the newest record."""
        return self._observed is None or not self._observed.holder

    def store_recovered(self, now_ms: int) -> None:
        """Restart the silence time-out after the store was unreachable."""
        if self._vacant_from_ms is not None:
            self._renewal_seen_ms = None
            silent_from_ms = now_ms if self.vacant else now_ms + self.silence_ms
            self._vacant_from_ms = max(self._vacant_from_ms, silent_from_ms)

    def should_claim(self, now_ms: int) -> bool:
        """Return whether the leadership is vacant, or its holder silent, for long enough."""
        if self.role is not Role.FOLLOWER or self._vacant_from_ms is None:
            return False
        delay_ms = self._claim_delay_ms // (VACANT_DELAY_DIVISOR if self.vacant else 1)
        delay_ms += self.limits.claim_handicap_ms
        if now_ms < self._stands_back_until_ms:
            delay_ms += STAND_BACK_DELAY_MS
        return now_ms >= self._vacant_from_ms + delay_ms

    def stand_back(self, now_ms: int) -> None:
        """Leave the next claims to others, after a hand-over from this process."""
        self._stands_back_until_ms = now_ms + STAND_BACK_MS

    def claim(self, wall_ms: int) -> Leadership:
        """Become a candidate and return the record that claims the leadership."""
        self.role = Role.CANDIDATE
        newest = self._observed.epoch if self._observed else 0
        self.epoch = (newest // EPOCH_STEP + 1) * EPOCH_STEP
        self.nonce = self.rng.getrandbits(40)
        return Leadership(self.epoch, self.name, 0, self.nonce, wall_ms, address=self.address)

    def owns(self, leader: Leadership | None) -> bool:
        """Return whether a leadership record is this process's own claim."""
        return leader is not None and (leader.epoch, leader.nonce) == (self.epoch, self.nonce)

    def become_follower(self, now_ms: int) -> None:
        """Return to the follower role, after a lost claim or after being fenced."""
        self.role = Role.FOLLOWER
        self._watch_from(now_ms)


def claim_handicap_ms(cores: float, link_mbps: float, memory_mb: float) -> int:
    """Return by how much a machine of this size delays its claims; 0 is an unknown size.

    All decisions and all calls to workers are made by one process, so in a deployment whose
    machines differ a large one should lead: a small one is busy with the calls alone in a burst.
    """
    sizes = ((cores, LEADER_CORES), (link_mbps, LEADER_LINK_MBPS), (memory_mb, LEADER_MEMORY_MB))
    fitness = min((size / wanted for size, wanted in sizes if size > 0), default=1.0)
    return int(MAX_CLAIM_HANDICAP_MS * max(0.0, 1.0 - fitness))


@attrs.define
class LoopMonitor:
    """Notices that a leader's machine is too slow for its work, by ticks that come late."""

    _last_tick_ms: int | None = None
    # Late ticks of the last `LATENESS_WINDOW_MS`: when they came and by how much they were late.
    _late: deque[tuple[int, int]] = attrs.field(factory=deque)

    def record_tick(self, now_ms: int) -> None:
        """Record one tick."""
        if self._last_tick_ms is not None:
            late_ms = now_ms - self._last_tick_ms - LEADER_TICK_MS
            if late_ms > TOLERATED_LATENESS_MS:
                self._late.append((now_ms, min(late_ms, MAX_COUNTED_LATENESS_MS)))
        while self._late and self._late[0][0] <= now_ms - LATENESS_WINDOW_MS:
            self._late.popleft()
        self._last_tick_ms = now_ms

    @property
    def late_ms(self) -> int:
        """By how much the ticks of the last `LATENESS_WINDOW_MS` were late together."""
        return sum(late_ms for _, late_ms in self._late)

    @property
    def overloaded(self) -> bool:
        """Whether ticks were late for half of the last seconds."""
        return self.late_ms >= LATENESS_WINDOW_MS // 2
