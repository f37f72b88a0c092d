"""A stand-in of the platform's store: the calls of PROTOCOL.md that the entries use.

It loses nothing that it has acknowledged and answers linearizably.
"""

import asyncio
import base64
import json
import struct
import time
from collections import deque
from urllib.parse import parse_qsl, urlsplit

from web import WebServer

# Time of one answer, as on the sheets of the sites.
ANSWER_S = 0.004
REMEMBERED_APPENDS = 5
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000
RECORD_BYTES, CALL_BYTES = 262_144, 2_097_152
READ_ONLY_TOPICS = ("keyed.op", "keyed.servers")


class Producer:
    """What a partition remembers of one producer."""

    def __init__(self) -> None:
        self.epoch = -1
        # Sequence number that has to come next; None if any may.
        self.next: int | None = None
        self.answers: deque[tuple[int, bytes]] = deque(maxlen=REMEMBERED_APPENDS)


class Partition:
    """Records by offset; `newest` has the newest record of each key."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producers: dict[str, Producer] = {}
        self.lock = asyncio.Lock()
        self.grown = asyncio.Event()

    @property
    def end(self) -> int:
        return len(self.records)

    def add(self, record: bytes) -> None:
        """Add the content of one keyed record."""
        key_end = 1 + record[0]
        key, value = record[1:key_end].decode(), record[key_end:]
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
        self.records.append(record)

    def wake(self) -> None:
        """Answer the reads that wait."""
        self.grown.set()
        self.grown = asyncio.Event()

    def append(self, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        """Carry out one append and return its answer."""
        records, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        too_large = any(len(record) > RECORD_BYTES for record in records)
        if too_large or sum(map(len, records)) > CALL_BYTES:
            return 400, b""
        name = query.get("producer")
        producer, epoch, sequence = None, 0, 0
        if name is not None:
            producer = self.producers.setdefault(name, Producer())
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            if epoch < producer.epoch:
                return 409, json.dumps({"reason": "fenced"}).encode()
            if epoch > producer.epoch:
                producer.epoch, producer.next = epoch, None
                producer.answers.clear()
            if not records:
                return 200, json.dumps({"offset": self.end, "end": self.end}).encode()
            for known, answer in producer.answers:
                if known == sequence:
                    return 200, answer
            if producer.next is not None and sequence != producer.next:
                fields = {"reason": "seq", "sequence": producer.next}
                return 409, json.dumps(fields).encode()
        if "at" in query and int(query["at"]) != self.end:
            return 412, json.dumps({"end": self.end}).encode()
        offset = self.end
        for record in records:
            self.add(record)
        answer = json.dumps({"offset": offset, "end": self.end}).encode()
        if producer is not None:
            producer.next = sequence + 1
            producer.answers.append((sequence, answer))
        self.wake()
        return 200, answer


class Store(WebServer):
    """The store; `busy` makes it answer 503, with which it says that nothing was done."""

    def __init__(self) -> None:
        super().__init__()
        self.partitions: dict[str, Partition] = {}
        self.busy = False
        self.appends_in_progress = 0
        # Answers 400 because a record or a call was too large, by topic.
        self.too_large: list[tuple[float, str, int]] = []

    def partition(self, topic: str) -> Partition:
        return self.partitions.setdefault(topic, Partition())

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a record as the operator or a worker; None removes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        partition = self.partition(topic)
        partition.add(bytes([len(key)]) + key.encode() + data)
        partition.wake()

    def keys(self, prefix: str) -> list[str]:
        """Return the keys of the program's own topics that begin with `prefix`, in offset order."""
        found = []
        for topic, partition in self.partitions.items():
            if topic not in READ_ONLY_TOPICS:
                for record in partition.records:
                    key = record[1 : 1 + record[0]].decode()
                    if key.startswith(prefix):
                        found.append(key)
        return found

    async def handle(self, method, target, headers, body):
        if self.busy:
            return 503, b""
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        topic = query.get("topic", "")
        partition = self.partition(topic)
        match parts.path:
            case "/api/log-append" if topic in READ_ONLY_TOPICS:
                return 403, b""
            case "/api/log-append":
                return await self.append(topic, partition, query, body)
            case "/api/log-read":
                return await self._read(partition, query)
            case "/api/log-newest":
                await asyncio.sleep(ANSWER_S)
                return self._newest(partition, query.get("after"))
        return 404, b""

    async def append(self, topic, partition, query, body):
        """Carry out one append; those of a partition come one after the other."""
        self.appends_in_progress += 1
        try:
            async with partition.lock:
                await asyncio.sleep(ANSWER_S)
                status, answer = partition.append(query, body)
        finally:
            self.appends_in_progress -= 1
        if status == 400:
            self.too_large.append((time.monotonic(), topic, len(body)))
        return status, answer

    async def _read(self, partition, query):
        start, wait_s = int(query["from"]), int(query.get("wait_ms", 0)) / 1_000
        end_s = time.monotonic() + wait_s
        await asyncio.sleep(ANSWER_S)
        while partition.end <= start and (left_s := end_s - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(partition.grown.wait(), left_s)
            except TimeoutError:
                break
        if self.busy:
            return 503, b""
        limit, chunks, size = 1_024 * int(query.get("max_kb", 1_024)), [], 0
        for record in partition.records[start:]:
            if chunks and size + len(record) > limit:
                break
            chunks.append(struct.pack(">I", len(record)) + record)
            size += len(record)
        return 200, struct.pack(">QQ", partition.end, 0) + b"".join(chunks)

    def _newest(self, partition, after):
        keys = sorted(key for key in partition.newest if after is None or key > after)
        items, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            offset, value = partition.newest[key]
            if items and size + len(value) > PAGE_BYTES:
                break
            size += len(value)
            encoded = base64.b64encode(value).decode()
            items.append({"key": key, "value": encoded, "offset": offset})
        page = {"items": items, "has_more": len(items) < len(keys), "end": partition.end}
        return 200, json.dumps(page).encode()
