"""Backups of request records of cells that other entries hold."""

import attrs

from fescuecrank_core.clock import Instant
from fescuecrank_core.effects import Effect, SendPeer
from fescuecrank_core.messages import (
    Replicate,
    ReplicateAck,
    TableCopy,
    TableOffer,
    TableRequest,
    TableStored,
)
from fescuecrank_core.record_table import RecordTable
from fescuecrank_core.requests import RequestRecord

COPY_BATCH_SIZE = 200
EXPIRE_INTERVAL_MS = 5_000


@attrs.define
class PartsReceived:
    """Parts of one copy that have arrived; a part of another copy resets them."""

    copy_id: int = -1
    parts: set[int] = attrs.field(factory=set)

    def add(self, copy_id: int, part: int, parts: int) -> bool:
        """Add one part and return whether the copy is complete."""
        if copy_id != self.copy_id:
            self.copy_id = copy_id
            self.parts = set()
        self.parts.add(part)
        return len(self.parts) == parts


@attrs.define
class Backup:
    """Copy of one cell's records under one epoch; `complete` once a full copy has arrived.

    Records of epochs below `fence` are refused, since the copy that was sent to the holder of that
    epoch would lack them.
    """

    epoch: int
    table: RecordTable = attrs.field(factory=RecordTable)
    complete: bool = False
    fence: int = -1
    received: PartsReceived = attrs.field(factory=PartsReceived)


def split_records(records: list[RequestRecord]) -> list[list[RequestRecord]]:
    """Split records into batches of bounded size; there is always at least one."""
    return [records[i : i + COPY_BATCH_SIZE] for i in range(0, len(records), COPY_BATCH_SIZE)] or [
        []
    ]


class BackupStore:
    """Stores records for the holders of cells and sends them to a cell's next holder."""

    def __init__(self) -> None:
        self._backups: dict[str, Backup] = {}
        self._next_expire_ms = 0

    def __len__(self) -> int:
        return sum(len(backup.table) for backup in self._backups.values())

    def _open_backup(self, scope: str, epoch: int) -> Backup | None:
        """Return the backup for records of this epoch, or None if the epoch is outdated."""
        backup = self._backups.get(scope)
        if backup is not None and epoch < max(backup.epoch, backup.fence):
            return None
        if backup is None or backup.epoch < epoch:
            # The table of the previous epoch is kept and updated: its records remain valid, and the
            # new holder may fail before its own copy is complete.
            table = backup.table if backup else RecordTable()
            fence = backup.fence if backup else -1
            backup = self._backups[scope] = Backup(epoch, table, fence=fence)
        return backup

    def on_table_offer(self, sender: str, message: TableOffer, now: Instant) -> list[Effect]:
        """Store a part of a full copy."""
        backup = self._open_backup(message.scope, message.epoch)
        if backup is None:
            return []
        backup.table.merge(message.records)
        if backup.received.add(message.copy_id, message.part, message.parts):
            backup.complete = True
        if not backup.complete:
            return []
        return [SendPeer(sender, TableStored(message.scope, message.epoch))]

    def on_replicate(self, sender: str, message: Replicate, now: Instant) -> list[Effect]:
        """Store one changed record, and acknowledge it once a full copy has arrived."""
        backup = self._open_backup(message.scope, message.epoch)
        if backup is None:
            return []
        backup.table.put(message.record)
        if not backup.complete:
            return []
        record = message.record
        ack = ReplicateAck(message.scope, message.epoch, record.request.key, record.seq)
        return [SendPeer(sender, ack)]

    def on_table_request(self, sender: str, message: TableRequest, now: Instant) -> list[Effect]:
        """Send the new holder of a scope the records that are kept for it."""
        backup = self.fence(message.scope, message.epoch)
        source_epoch = backup.epoch if backup.complete else -1
        batches = split_records(list(backup.table))
        return [
            SendPeer(
                sender,
                TableCopy(
                    message.scope,
                    message.epoch,
                    source_epoch,
                    now.mono_ms,
                    index,
                    len(batches),
                    tuple(batch),
                ),
            )
            for index, batch in enumerate(batches)
        ]

    def store_complete(self, scope: str, epoch: int, table: RecordTable) -> None:
        """Keep the complete table of a cell that this entry held itself."""
        self._backups[scope] = Backup(epoch, table, complete=True)

    def fence(self, scope: str, epoch: int) -> Backup:
        """Return the backup of a scope, and refuse records of earlier epochs from now on."""
        backup = self._backups.setdefault(scope, Backup(-1))
        backup.fence = max(backup.fence, epoch)
        return backup

    def on_tick(self, now: Instant) -> list[Effect]:
        """Remove expired records."""
        if now.mono_ms >= self._next_expire_ms:
            self._next_expire_ms = now.mono_ms + EXPIRE_INTERVAL_MS
            for backup in self._backups.values():
                backup.table.expire(now.wall_ms)
        return []
