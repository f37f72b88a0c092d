"""Heartbeats between entries, failure detection, quorums, and the bound on staleness.

An entry acts only while it is current, that is, while it can prove that it has applied every record
that was accepted up to `MAX_STALENESS_MS` ago. A proof is dated by a time stamp of the entry's own
clock that a peer echoed, so a delayed message does not make a proof look fresher than it is.
"""

import attrs

from fescuecrank_core.clock import Instant
from fescuecrank_core.effects import ConnectPeer, DisconnectPeer, Effect, SendPeer
from fescuecrank_core.entry_config import (
    HEARTBEAT_MS,
    MAX_STALENESS_MS,
    SUSPECT_AFTER_MS,
    EntryConfig,
)
from fescuecrank_core.ledger import Ledger
from fescuecrank_core.ledger_state import Member
from fescuecrank_core.messages import Heartbeat

# Earlier than any reading of a monotonic clock.
NEVER = -(10**15)
# A peer that is no longer a member is dropped after this time without a heartbeat.
DROP_PEER_AFTER_MS = 60_000


@attrs.define
class Peer:
    """State of another entry as this one knows it.

    All times are readings of this entry's clock, except `stamp_ms`, which is one of the peer's. The
    peer sent its newest heartbeat at `heartbeat_sent_after_ms` or later, and the log read that
    covers `log_read_applied` at `log_read_ms` or later. `applied` is the highest offset that the
    peer reported. `last_received_ms` is when the newest heartbeat arrived. `added_ms` is when the
    peer became known, and `reconnect_ms` when its silence last led to an attempt to reconnect.
    """

    name: str
    address: str
    incarnation: int = 0
    region: str = ""
    data_centre: str = ""
    applied: int = -1
    heartbeat_sent_after_ms: int = NEVER
    last_received_ms: int = NEVER
    stamp_ms: int = -1
    log_read_ms: int = NEVER
    log_read_applied: int = -1
    ready: bool = False
    draining: bool = False
    added_ms: int = NEVER
    reconnect_ms: int = NEVER


class Membership:
    """Peers of this entry, and what their heartbeats prove about the age of its state."""

    def __init__(self, cfg: EntryConfig, ledger: Ledger, now: Instant) -> None:
        self._cfg = cfg
        self._ledger = ledger
        self._peers: dict[str, Peer] = {}
        self._next_heartbeat_ms = now.mono_ms
        self._log_read_ms = NEVER
        self.draining = False

    def peer(self, name: str) -> Peer | None:
        """Return the peer with this name, or None if it is unknown."""
        return self._peers.get(name)

    def peers(self) -> list[Peer]:
        """Return all known peers."""
        return list(self._peers.values())

    def record_log_read(self, sent_mono_ms: int) -> None:
        """Record a read of the log that was sent at this time and applied to its end."""
        self._log_read_ms = max(self._log_read_ms, sent_mono_ms)

    def log_read_age_ms(self, now: Instant) -> int:
        """Return the age of the newest read of the log that was applied to its end."""
        return now.mono_ms - self._log_read_ms

    def current_until_ms(self, now: Instant) -> int:
        """Return the monotonic time until which this entry can prove that it is current."""
        proofs = [self._log_read_ms, self._peer_read_proof_ms(), self._majority_proof_ms(now)]
        return max(proofs) + MAX_STALENESS_MS

    def is_current(self, now: Instant) -> bool:
        """Return whether this entry may act on its state."""
        return now.mono_ms <= self.current_until_ms(now)

    def _peer_read_proof_ms(self) -> int:
        applied = self._ledger.applied
        proofs = (p.log_read_ms for p in self._peers.values() if p.log_read_applied <= applied)
        return max(proofs, default=NEVER)

    def _majority_proof_ms(self, now: Instant) -> int:
        members = self._ledger.state.members.values()
        times = []
        for member in members:
            proof_ms = self._member_proof_ms(member, now)
            if proof_ms is not None:
                times.append(proof_ms)
        needed = len(members) // 2 + 1
        if len(times) < needed:
            return NEVER
        if self._is_behind_a_recent_peer(now):
            return NEVER
        times.sort(reverse=True)
        return times[needed - 1]

    def _member_proof_ms(self, member: Member, now: Instant) -> int | None:
        """Return a time at which a member had applied no record that this entry lacks.

        Only the incarnation in the ledger counts. A restarted member has lost the records that it
        reported as applied, so it proves nothing until its new join has been folded.
        """
        if member.name == self._cfg.name:
            return now.mono_ms if member.incarnation == self._cfg.incarnation else None
        peer = self._peers.get(member.name)
        if peer is None or peer.incarnation != member.incarnation:
            return None
        return peer.heartbeat_sent_after_ms if peer.applied <= self._ledger.applied else None

    def _is_behind_a_recent_peer(self, now: Instant) -> bool:
        applied = self._ledger.applied
        return any(
            peer.applied > applied and now.mono_ms - peer.last_received_ms <= MAX_STALENESS_MS
            for peer in self._peers.values()
        )

    def has_quorum(self, now: Instant) -> bool:
        """Return whether a majority of every member list sent recent heartbeats."""
        lists = self._ledger.state.member_lists
        return all(
            self._count_recent_heartbeats(item.names, now) > len(item.names) // 2 for item in lists
        )

    def _count_recent_heartbeats(self, names: tuple[str, ...], now: Instant) -> int:
        return sum(1 for name in names if self._has_recent_heartbeat(name, now))

    def _has_recent_heartbeat(self, name: str, now: Instant) -> bool:
        if name == self._cfg.name:
            return True
        peer = self._peers.get(name)
        return peer is not None and now.mono_ms - peer.heartbeat_sent_after_ms <= MAX_STALENESS_MS

    def is_accepted(self, offset: int) -> bool:
        """Return whether a majority of every relevant member list has applied this offset.

        Lists after the offset are irrelevant. Earlier lists are relevant until a majority of their
        members has applied a later list: an entry that still uses an earlier list must be able to
        receive the record from one of the members in it.
        """
        if self._ledger.applied <= offset:
            return False
        lists = [item for item in self._ledger.state.member_lists if item.offset <= offset]
        if not all(self._is_applied_by_majority(item.names, offset) for item in lists):
            return False
        self._ledger.drop_superseded_member_lists(offset)
        return True

    def _is_applied_by_majority(self, names: tuple[str, ...], offset: int) -> bool:
        count = sum(1 for name in names if self._has_applied(name, offset))
        return count > len(names) // 2

    def _has_applied(self, name: str, offset: int) -> bool:
        if name == self._cfg.name:
            return self._ledger.applied > offset
        peer = self._peers.get(name)
        return peer is not None and peer.applied > offset

    def is_live(self, member: Member, now: Instant) -> bool:
        """Return whether a member is this entry, or sent a recent heartbeat in its incarnation."""
        if member.name == self._cfg.name:
            return member.incarnation == self._cfg.incarnation
        peer = self._peers.get(member.name)
        if peer is None or peer.incarnation != member.incarnation:
            return False
        return now.mono_ms - peer.last_received_ms <= SUSPECT_AFTER_MS

    def live_members(self, now: Instant) -> list[Member]:
        """Return the live members, this entry included if it is one."""
        members = self._ledger.state.members.values()
        return [member for member in members if self.is_live(member, now)]

    def candidates(self, now: Instant) -> list[Member]:
        """Return the live members that may take claims."""
        return [member for member in self.live_members(now) if not self._is_draining(member.name)]

    def _is_draining(self, name: str) -> bool:
        if name == self._cfg.name:
            return self.draining
        peer = self._peers.get(name)
        return peer is not None and peer.draining

    def silent_ms(self, name: str, now: Instant) -> int:
        """Return the time since the newest heartbeat of a peer, or since it became known."""
        peer = self._peers.get(name)
        return now.mono_ms - max(peer.last_received_ms, peer.added_ms) if peer else 0

    def on_heartbeat(self, sender: str, heartbeat: Heartbeat, now: Instant) -> list[Effect]:
        """Update the state of the sender, and connect to it if it or its address is new."""
        known = self._peers.get(sender)
        if known is not None and heartbeat.incarnation < known.incarnation:
            return []
        # Messages need a connection of this entry's own, so it also connects to a peer that became
        # known by its heartbeat or that restarted at another address.
        needs_connection = known is None or known.address != heartbeat.peer_address
        if known is None or heartbeat.incarnation > known.incarnation:
            self._peers[sender] = Peer(sender, heartbeat.peer_address, heartbeat.incarnation)
        peer = self._peers[sender]
        if heartbeat.stamp_ms < peer.stamp_ms:
            return []
        peer.address = heartbeat.peer_address
        peer.region, peer.data_centre = heartbeat.region, heartbeat.data_centre
        peer.stamp_ms = heartbeat.stamp_ms
        peer.last_received_ms = now.mono_ms
        peer.ready, peer.draining = heartbeat.ready, heartbeat.draining
        peer.applied = max(peer.applied, heartbeat.applied)
        if heartbeat.echo_incarnation == self._cfg.incarnation:
            self._update_proofs(peer, heartbeat)
        return [ConnectPeer(sender, peer.address)] if needs_connection else []

    def _update_proofs(self, peer: Peer, heartbeat: Heartbeat) -> None:
        peer.heartbeat_sent_after_ms = max(peer.heartbeat_sent_after_ms, heartbeat.echo_ms)
        if heartbeat.read_age_ms < 0:
            return
        read_ms = heartbeat.echo_ms - heartbeat.read_age_ms
        if read_ms >= peer.log_read_ms:
            peer.log_read_ms = read_ms
            peer.log_read_applied = heartbeat.applied

    def on_tick(self, now: Instant) -> list[Effect]:
        """Send heartbeats, add and drop peers, and replace silent connections."""
        if now.mono_ms < self._next_heartbeat_ms:
            return []
        self._next_heartbeat_ms = now.mono_ms + HEARTBEAT_MS
        effects = self._add_new_peers(now) + self._drop_departed_peers(now)
        for peer in self._peers.values():
            effects.append(SendPeer(peer.name, self._heartbeat_for(peer, now)))
            effects.extend(self._reconnect_silent(peer, now))
        return effects

    def _add_new_peers(self, now: Instant) -> list[Effect]:
        addresses = dict(self._cfg.seeds)
        for member in self._ledger.state.members.values():
            addresses[member.name] = member.peer_address
        effects = []
        for name, address in addresses.items():
            if name == self._cfg.name or name in self._peers:
                continue
            self._peers[name] = Peer(name, address, added_ms=now.mono_ms)
            effects.append(ConnectPeer(name, address))
        return effects

    def _heartbeat_for(self, peer: Peer, now: Instant) -> Heartbeat:
        age = self.log_read_age_ms(now)
        return Heartbeat(
            name=self._cfg.name,
            incarnation=self._cfg.incarnation,
            region=self._cfg.region,
            data_centre=self._cfg.data_centre,
            peer_address=self._cfg.peer_address,
            applied=self._ledger.applied,
            read_age_ms=age if age <= MAX_STALENESS_MS else -1,
            ready=self.is_current(now),
            draining=self.draining,
            stamp_ms=now.mono_ms,
            echo_ms=peer.stamp_ms,
            echo_incarnation=peer.incarnation if peer.stamp_ms >= 0 else 0,
        )

    def _reconnect_silent(self, peer: Peer, now: Instant) -> list[Effect]:
        last = max(peer.last_received_ms, peer.reconnect_ms)
        if now.mono_ms - last <= SUSPECT_AFTER_MS:
            return []
        peer.reconnect_ms = now.mono_ms
        if peer.last_received_ms == NEVER:
            return []
        return [DisconnectPeer(peer.name, wanted=True)]

    def _drop_departed_peers(self, now: Instant) -> list[Effect]:
        """Drop silent peers that are no longer members or seeds."""
        wanted = self._cfg.seeds.keys() | self._ledger.state.members.keys()
        departed = [
            name
            for name in self._peers.keys() - wanted
            if self.silent_ms(name, now) > DROP_PEER_AFTER_MS
        ]
        for name in departed:
            del self._peers[name]
        return [DisconnectPeer(name, wanted=False) for name in departed]
