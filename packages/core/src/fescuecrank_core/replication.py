"""Replication of a cell's request records to backups, which precedes dispatch."""

import attrs

from fescuecrank_core.backups import split_records
from fescuecrank_core.clock import Instant
from fescuecrank_core.effects import Effect, SendPeer
from fescuecrank_core.ledger import Ledger
from fescuecrank_core.membership import Membership
from fescuecrank_core.messages import Replicate, ReplicateAck, TableOffer, TableStored
from fescuecrank_core.record_table import RecordTable
from fescuecrank_core.rendezvous import choose_backups
from fescuecrank_core.requests import RequestKey, RequestRecord

BACKUP_COUNT = 2
RESEND_INTERVAL_MS = 300


@attrs.define
class PendingChange:
    """A record change that is resent until it is durable; `acks` names the backups with it."""

    seq: int
    sent_ms: int
    acks: set[str] = attrs.field(factory=set)


class Replicator:
    """Keeps the backups of one cell complete and tells whether a record is durable."""

    def __init__(
        self, scope: str, epoch: int, ledger: Ledger, membership: Membership, table: RecordTable
    ) -> None:
        self._scope = scope
        self._epoch = epoch
        self._ledger = ledger
        self._membership = membership
        self._table = table
        self._pending_changes: dict[RequestKey, PendingChange] = {}
        self._last_offer_ms: dict[str, int] = {}
        self._backup_incarnations: dict[str, int] = {}
        self.proposed_backups: tuple[str, ...] | None = None

    def wanted_backups(self, now: Instant) -> tuple[str, ...]:
        """Return the entries that should be backups now; live ones with a copy are kept."""
        live = self._membership.candidates(now)
        claim = self._ledger.claim(self._scope)
        holder = self._ledger.state.members.get(claim.holder)
        if holder is None:
            return ()
        names = {member.name for member in live}
        kept = [
            n
            for n in claim.backups
            if claim.prepared and n in names and n in self._backup_incarnations
        ]
        rest = [member for member in live if member.name not in kept]
        added = choose_backups(self._scope, holder, rest, BACKUP_COUNT - len(kept))
        return (*kept, *added)

    def offer_copies(self, now: Instant) -> list[Effect]:
        """Send a full copy to each wanted backup that lacks one."""
        effects: list[Effect] = []
        wanted = self.wanted_backups(now)
        self._drop_stale_copies(set(wanted))
        for name in wanted:
            if name in self._backup_incarnations:
                continue
            if (
                now.mono_ms - self._last_offer_ms.get(name, -RESEND_INTERVAL_MS)
                < RESEND_INTERVAL_MS
            ):
                continue
            self._last_offer_ms[name] = now.mono_ms
            effects.extend(self._offer(name, now))
        return effects

    def _drop_stale_copies(self, wanted: set[str]) -> None:
        """Drop copies that are not wanted any more or were lost in a restart of their entry."""
        listed = wanted | set(self._ledger.claim(self._scope).backups)
        for name, incarnation in list(self._backup_incarnations.items()):
            if name not in listed or self._incarnation(name) != incarnation:
                del self._backup_incarnations[name]
        self._last_offer_ms = {
            name: ms for name, ms in self._last_offer_ms.items() if name in wanted
        }

    def _incarnation(self, name: str) -> int:
        peer = self._membership.peer(name)
        return peer.incarnation if peer else 0

    def _offer(self, name: str, now: Instant) -> list[Effect]:
        batches = split_records(list(self._table))
        return [
            SendPeer(
                name,
                TableOffer(
                    self._scope, self._epoch, now.mono_ms, index, len(batches), tuple(batch)
                ),
            )
            for index, batch in enumerate(batches)
        ]

    def on_stored(self, sender: str, message: TableStored) -> None:
        """Record that a backup holds a full copy."""
        if message.epoch == self._epoch:
            self._backup_incarnations[sender] = self._incarnation(sender)

    def new_backups(self, now: Instant) -> tuple[str, ...] | None:
        """Return the list of backups to publish, or None while it must not or need not change."""
        wanted = self.wanted_backups(now)
        claim = self._ledger.claim(self._scope)
        if not all(name in self._backup_incarnations for name in wanted):
            return None
        if claim.prepared and set(claim.backups) == set(wanted):
            return None
        return wanted

    def _receivers(self) -> set[str]:
        return set(self._backup_incarnations) | set(self._last_offer_ms)

    def send(self, record: RequestRecord, now: Instant) -> list[Effect]:
        """Send a changed record to all entries that have, or are being sent, a copy."""
        key = record.request.key
        self._pending_changes[key] = PendingChange(record.seq, now.mono_ms)
        message = Replicate(self._scope, self._epoch, record)
        return [SendPeer(name, message) for name in sorted(self._receivers())]

    def on_ack(self, sender: str, message: ReplicateAck) -> bool:
        """Record an acknowledgement; return whether it is for the newest change."""
        change = self._pending_changes.get(message.key)
        if message.epoch != self._epoch or change is None or change.seq != message.seq:
            return False
        change.acks.add(sender)
        return True

    def is_durable(self, key: RequestKey, now: Instant) -> bool:
        """Return whether any later holder will find the newest change of a record.

        Every live receiver must have stored it. A later holder considers its copy complete once it
        has copies of all backups listed in the log, so one of them must have stored the change;
        while a change of the list is under way, one of each list.
        """
        change = self._pending_changes.get(key)
        if change is None:
            return True
        live = {member.name for member in self._membership.live_members(now)}
        if not self._receivers() & live <= change.acks:
            return False
        listed = self._ledger.claim(self._scope).backups
        lists = (listed, listed if self.proposed_backups is None else self.proposed_backups)
        return all(not names or change.acks & set(names) for names in lists)

    def stop_resending(self, key: RequestKey) -> None:
        """Stop resending a change, since its record is dispatched or ended."""
        self._pending_changes.pop(key, None)

    def resend_unacknowledged(self, now: Instant) -> list[Effect]:
        """Send changes again that were not acknowledged in time."""
        effects: list[Effect] = []
        for key, change in list(self._pending_changes.items()):
            if now.mono_ms - change.sent_ms < RESEND_INTERVAL_MS:
                continue
            record = self._table.get(key)
            if record is None:
                del self._pending_changes[key]
                continue
            change.sent_ms = now.mono_ms
            message = Replicate(self._scope, self._epoch, record)
            missing = sorted(self._receivers() - change.acks)
            effects.extend(SendPeer(name, message) for name in missing)
        return effects
