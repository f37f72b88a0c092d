"""Snapshots of the ledger, appended to the log before the records that they cover expire."""

from fescuecrank_core.claims import ClaimManager
from fescuecrank_core.clock import Instant
from fescuecrank_core.effects import Effect
from fescuecrank_core.entry_config import EntryConfig
from fescuecrank_core.ids import IdGenerator
from fescuecrank_core.ledger import Ledger
from fescuecrank_core.membership import Membership
from fescuecrank_core.publishing import Publisher
from fescuecrank_core.records import LIMITS_SCOPE, Snapshot

RECORDS_PER_SNAPSHOT = 5_000
CHECK_INTERVAL_MS = 1_000


class SnapshotWriter:
    """Appends snapshots while this entry holds the `limits` claim."""

    def __init__(
        self,
        cfg: EntryConfig,
        ledger: Ledger,
        membership: Membership,
        claims: ClaimManager,
        publisher: Publisher,
        ids: IdGenerator,
    ) -> None:
        self._cfg = cfg
        self._ledger = ledger
        self._membership = membership
        self._claims = claims
        self._publisher = publisher
        self._ids = ids
        self._in_flight = ""
        self._next_check_ms = 0
        self._newest_through = -1
        self._newest_since_ms: int | None = None

    def on_tick(self, now: Instant) -> list[Effect]:
        """Append a snapshot if one is due and a majority has applied all records in it."""
        if now.mono_ms < self._next_check_ms:
            return []
        self._next_check_ms = now.mono_ms + CHECK_INTERVAL_MS
        if not self._claims.may_act(LIMITS_SCOPE, now) or self._publisher.is_pending(
            self._in_flight
        ):
            return []
        through = self._ledger.applied - 1
        if not self._is_due(now) or not self._membership.is_accepted(through):
            return []
        self._in_flight = self._ids.next("snapshot")
        record = Snapshot(self._in_flight, through, self._ledger.encode())
        return self._publisher.publish(record, now)

    def _is_due(self, now: Instant) -> bool:
        newest = self._ledger.state.snapshot_through
        if newest != self._newest_through or self._newest_since_ms is None:
            self._newest_through = newest
            # A new holder does not know the age of the newest snapshot, so it writes another one at
            # once if records follow that one.
            is_first = self._newest_since_ms is None
            self._newest_since_ms = now.mono_ms
            if is_first:
                return self._ledger.applied - 1 > newest + 1
        behind = self._ledger.applied - 1 - newest
        age_ms = now.mono_ms - self._newest_since_ms
        return behind >= RECORDS_PER_SNAPSHOT or age_ms >= self._cfg.log_retention_ms // 2
