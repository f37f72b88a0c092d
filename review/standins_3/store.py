"""Stand-in of the platform's store: a log of topics, with the newest record of each key."""

import asyncio
import base64
import json
import struct

from http_server import Request, Server

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
PAGE_RECORDS, PAGE_BYTES = 500, 1_000_000
REMEMBERED_APPENDS = 5


class Partition:
    """One partition of a keyed topic; appends are atomic, and nothing expires."""

    def __init__(self) -> None:
        self.records: list[tuple[bytes, bytes]] = []
        self.newest: dict[bytes, tuple[int, bytes]] = {}
        # By producer: epoch, sequence of the last append, and the answers to the last appends.
        self.producers: dict[str, tuple[int, int | None, dict[int, dict]]] = {}
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Append one record of the operator or of a worker."""
        self._extend([(key.encode(), value)])

    def _extend(self, records: list[tuple[bytes, bytes]]) -> None:
        for key, value in records:
            self.newest[key] = (len(self.records), value)
            if not value:
                del self.newest[key]
            self.records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def append(self, query: dict[str, str], body: bytes) -> tuple[int, dict]:
        """Carry out an append; return the status and the fields of its response."""
        records, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            if length > RECORD_BYTES:
                return 400, {}
            records.append((content[1 : 1 + content[0]], content[1 + content[0] :]))
            position += 4 + length
        if len(body) > CALL_BYTES:
            return 400, {}
        producer = query.get("producer", "")
        epoch, sequence = int(query.get("epoch", 0)), int(query.get("sequence", 0))
        known = self.producers.get(producer, (-1, None, {})) if producer else None
        if known is not None:
            known_epoch, last, answers = known
            if epoch < known_epoch:
                return 409, {"reason": "fenced"}
            if not records:
                if epoch > known_epoch:
                    self.producers[producer] = (epoch, None, {})
                return 200, {"offset": len(self.records), "end": len(self.records)}
            if epoch == known_epoch and sequence in answers:
                return 200, answers[sequence]
            if epoch == known_epoch and last is not None and sequence != last + 1:
                return 409, {"reason": "seq", "expected": last + 1}
        if "at" in query and int(query["at"]) != len(self.records):
            return 412, {"end": len(self.records)}
        answer = {"offset": len(self.records), "end": len(self.records) + len(records)}
        self._extend(records)
        if known is not None:
            answers = dict(known[2]) if epoch == known[0] else {}
            answers[sequence] = answer
            kept = dict(list(answers.items())[-REMEMBERED_APPENDS:])
            self.producers[producer] = (epoch, sequence, kept)
        return 200, answer


class Store(Server):
    """The store; `on_append` sees each append with its status, after it was carried out."""

    def __init__(self, on_append=lambda topic, query, body, status: None) -> None:
        super().__init__()
        self.partitions: dict[str, Partition] = {}
        self.on_append = on_append
        # While set, every call is answered with this status; nothing is done.
        self.refusal: int | None = None

    def partition(self, topic: str) -> Partition:
        """Return a topic's only partition, created on first use."""
        return self.partitions.setdefault(topic, Partition())

    async def handle(self, req: Request) -> tuple[int, bytes]:
        """Answer one call."""
        if self.refusal is not None:
            return self.refusal, b""
        await asyncio.sleep(0.002)
        topic = req.query["topic"]
        partition = self.partition(topic)
        match req.path:
            case "/api/log-append":
                status, fields = partition.append(req.query, req.body)
                self.on_append(topic, req.query, req.body, status)
                return status, json.dumps(fields).encode()
            case "/api/log-newest":
                return 200, self._newest(partition, req.query.get("after"))
            case "/api/log-read":
                return await self._read(partition, req.query)
        return 404, b""

    @staticmethod
    def _newest(partition: Partition, after: str | None) -> bytes:
        items, size, more = [], 0, False
        for key in sorted(partition.newest):
            if after is not None and key <= after.encode():
                continue
            offset, value = partition.newest[key]
            if len(items) >= PAGE_RECORDS or (items and size + len(value) > PAGE_BYTES):
                more = True
                break
            size += len(value)
            row = {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
            items.append(row)
        end = len(partition.records)
        return json.dumps({"items": items, "has_more": more, "end": end}).encode()

    @staticmethod
    async def _read(partition: Partition, query: dict[str, str]) -> tuple[int, bytes]:
        first, max_bytes = int(query["from"]), 1_024 * int(query.get("max_kb", 1_024))
        end_s = asyncio.get_running_loop().time() + int(query.get("wait_ms", 0)) / 1_000
        while len(partition.records) <= first:
            left_s = end_s - asyncio.get_running_loop().time()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(partition.changed.wait(), left_s)
            except TimeoutError:
                break
        parts, size = [struct.pack(">QQ", len(partition.records), 0)], 0
        for key, value in partition.records[first:]:
            content = bytes([len(key)]) + key + value
            if len(parts) > 1 and size + len(content) > max_bytes:
                break
            size += len(content)
            parts.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(parts)
