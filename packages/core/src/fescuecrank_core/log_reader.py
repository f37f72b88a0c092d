"""Keeps the ledger up to date from the log, from snapshots on the log, or from peers."""

from collections import deque

from fescuecrank_core import codec
from fescuecrank_core.clock import Instant
from fescuecrank_core.effects import Effect, Notice, ReadLog, SendPeer
from fescuecrank_core.entry_config import (
    LOG_READ_INTERVAL_MS,
    LOG_READ_TIMEOUT_MS,
    MAX_STALENESS_MS,
    EntryConfig,
)
from fescuecrank_core.events import LogExpired, LogRead, LogUnreadable
from fescuecrank_core.ledger import Ledger
from fescuecrank_core.ledger_state import LedgerState
from fescuecrank_core.membership import NEVER, Membership, Peer
from fescuecrank_core.messages import LedgerCopy, LedgerRequest, RecordsRelay, RecordsRequest
from fescuecrank_core.records import LogEntry, Snapshot

MAX_RECENT_RECORDS = 2_000
RELAY_BATCH_SIZE = 100
# Records are requested from a peer once the newest complete read of the log is this old.
REQUEST_FROM_PEERS_AFTER_MS = 500
PEER_REQUEST_INTERVAL_MS = 200


class LogReader:
    """Reads the log, and requests records from peers while the log cannot be read."""

    def __init__(
        self, cfg: EntryConfig, ledger: Ledger, membership: Membership, now: Instant
    ) -> None:
        self._cfg = cfg
        self._ledger = ledger
        self._membership = membership
        self._recent: deque[LogEntry] = deque(maxlen=MAX_RECENT_RECORDS)
        self._scan: list[LogEntry] | None = None
        self._scan_next = 0
        self._in_flight_since_ms = NEVER
        self._next_read_ms = now.mono_ms
        self._next_peer_request_ms = now.mono_ms
        self._started_ms = now.mono_ms
        self.log_end = 0

    def on_tick(self, now: Instant) -> list[Effect]:
        """Send the next read if it is due, and request records from a peer if reads fail."""
        effects = self._request_from_peers(now)
        is_in_flight = now.mono_ms - self._in_flight_since_ms <= LOG_READ_TIMEOUT_MS
        if not is_in_flight and now.mono_ms >= self._next_read_ms:
            effects.append(self._read(now))
        return effects

    def _read(self, now: Instant) -> ReadLog:
        self._in_flight_since_ms = now.mono_ms
        first = self._ledger.applied if self._scan is None else self._scan_next
        return ReadLog(first)

    def _schedule_next_read(self, now: Instant) -> None:
        self._in_flight_since_ms = NEVER
        self._next_read_ms = now.mono_ms + LOG_READ_INTERVAL_MS

    def on_log_read(self, event: LogRead, now: Instant) -> list[Effect]:
        """Fold the records that the log returned, and read on until its end."""
        self._schedule_next_read(now)
        self.log_end = event.end
        if event.end < self._ledger.applied:
            fields = {"end": event.end, "applied": self._ledger.applied}
            return [Notice("log_lost_records", fields)]
        if self._scan is not None:
            self._continue_scan(event)
        else:
            self._fold_all(event.entries)
        if self._scan is None and self._ledger.applied >= event.end:
            self._membership.record_log_read(event.sent_mono_ms)
            return []
        return [self._read(now)] if event.entries else []

    def _fold_all(self, entries: tuple[LogEntry, ...] | list[LogEntry]) -> None:
        for entry in entries:
            if self._ledger.fold(entry):
                self._recent.append(entry)

    def on_log_expired(self, event: LogExpired, now: Instant) -> list[Effect]:
        """Scan the records that the log still holds for the newest snapshot."""
        self._schedule_next_read(now)
        self._scan = []
        self._scan_next = event.first
        return [Notice("log_position_expired", {"first": event.first}), self._read(now)]

    def _continue_scan(self, event: LogRead) -> None:
        self._scan.extend(entry for entry in event.entries if entry.offset >= self._scan_next)
        if self._scan:
            self._scan_next = self._scan[-1].offset + 1
        if self._scan_next < event.end:
            return
        entries, self._scan = self._scan, None
        first = entries[0].offset if entries else event.end
        state = self._newest_snapshot(entries, first)
        if state is not None and self._ledger.restore(state):
            self._recent.clear()
        self._fold_all(entries)

    def _newest_snapshot(self, entries: list[LogEntry], first: int) -> LedgerState | None:
        """Return the newest decodable state with no gap between it and the kept records.

        Snapshots are compared by the offset that they cover: a writer that was paused may have
        appended an older snapshot after a newer one.
        """
        snapshots = [item.record for item in entries if isinstance(item.record, Snapshot)]
        for snapshot in sorted(snapshots, key=lambda item: item.through, reverse=True):
            decoded = codec.decode(snapshot.state, LedgerState, "log.restore", "log")
            if decoded.is_ok() and decoded.ok_value.applied >= first:
                return decoded.ok_value
        return None

    def on_log_unreadable(self, event: LogUnreadable, now: Instant) -> list[Effect]:
        """Schedule another read; meanwhile the missing records may come from a peer."""
        self._schedule_next_read(now)
        return []

    def _request_from_peers(self, now: Instant) -> list[Effect]:
        age = min(self._membership.log_read_age_ms(now), now.mono_ms - self._started_ms)
        if age < REQUEST_FROM_PEERS_AFTER_MS or now.mono_ms < self._next_peer_request_ms:
            return []
        self._next_peer_request_ms = now.mono_ms + PEER_REQUEST_INTERVAL_MS
        peer = self._most_advanced_peer(now)
        if peer is None:
            return []
        if self._ledger.applied == 0:
            return [SendPeer(peer.name, LedgerRequest())]
        return [SendPeer(peer.name, RecordsRequest(self._ledger.applied))]

    def _most_advanced_peer(self, now: Instant) -> Peer | None:
        ahead = [
            peer
            for peer in self._membership.peers()
            if peer.applied > self._ledger.applied
            and now.mono_ms - peer.last_received_ms <= MAX_STALENESS_MS
        ]
        return max(ahead, key=lambda peer: peer.applied, default=None)

    def on_records_request(
        self, sender: str, message: RecordsRequest, now: Instant
    ) -> list[Effect]:
        """Send the requested records, or the whole ledger if they are no longer in memory."""
        if message.first >= self._ledger.applied:
            return []
        if not self._recent or message.first < self._recent[0].offset:
            return self.on_ledger_request(sender, LedgerRequest(), now)
        start = message.first - self._recent[0].offset
        batch = [
            self._recent[i] for i in range(start, min(start + RELAY_BATCH_SIZE, len(self._recent)))
        ]
        return [SendPeer(sender, RecordsRelay(tuple(batch)))]

    def on_records_relay(self, sender: str, message: RecordsRelay, now: Instant) -> list[Effect]:
        """Fold records that a peer read from the log."""
        self._fold_all(message.entries)
        return []

    def on_ledger_request(self, sender: str, message: LedgerRequest, now: Instant) -> list[Effect]:
        """Send a copy of the whole ledger."""
        return [SendPeer(sender, LedgerCopy(self._ledger.applied, self._ledger.encode()))]

    def on_ledger_copy(self, sender: str, message: LedgerCopy, now: Instant) -> list[Effect]:
        """Replace the ledger by a peer's copy if that is newer.

        The copy alone does not make this entry current, as it proves nothing about its age.
        """
        decoded = codec.decode(message.state, LedgerState, "peer.ledger_copy", sender)
        if decoded.is_err():
            return [Notice("bad_ledger_copy", {"peer": sender})]
        if self._ledger.restore(decoded.ok_value):
            self._recent.clear()
            self._scan = None
        return []
