"""The platform's store and the links to it in virtual time, for the real client and readers."""

import asyncio
import base64
import selectors
import struct
from collections import Counter
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import attrs
import orjson
from fake_store import FakePartition
from fescuecrank_core.clock import Clock, Instant
from fescuecrank_platform.store import encode_records

# Bytes that a link carries at a time for one connection.
CHUNK_BYTES = 4_096

# Limits of a page of the newest records.
NEWEST_PAGE_RECORDS = 500
NEWEST_PAGE_BYTES = 1_000_000

REASONS = {200: "OK", 429: "Too Many Requests", 503: "Service Unavailable", 410: "Gone"}


class _VirtualSelector(selectors.DefaultSelector):
    """Advances the time of its loop instead of waiting."""

    loop: "VirtualLoop"

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready:
            assert timeout is not None, "nothing is left to wait for"
            self.loop.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time; its connections lead to the virtual store."""

    def __init__(self) -> None:
        selector = _VirtualSelector()
        selector.loop = self
        self.now_s = 0.0
        # By the address of a connection, which stands for the machine that makes it.
        self.links: dict[str, Link] = {}
        super().__init__(selector)

    def time(self) -> float:
        return self.now_s

    async def create_connection(self, factory, host, port):
        link = self.links[f"{host}:{port}"]
        await asyncio.sleep(link.delay_s)
        protocol = factory()
        transport = VirtualTransport(link, protocol)
        protocol.connection_made(transport)
        return transport, protocol


class LoopClock(Clock):
    """The time of a virtual loop."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def now(self) -> Instant:
        ms = int(1_000 * self._loop.time())
        return Instant(ms, 1_700_000_000_000 + ms)


def run_virtual(scenario: Callable[[VirtualLoop], object]) -> None:
    """Run `scenario(loop)` in virtual time and cancel what it leaves."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(scenario(runner.get_loop()))


@attrs.define(eq=False)
class Link:
    """A machine's link to the store; its connections share what it carries.

    `mode` returns what the store does with a request of this machine: `serve`, a status, `reset` or
    `silent`. A connection breaks after `break_after` bytes of a response, if that is not 0.
    """

    store: "VirtualStore"
    bytes_per_s: float = 1e9
    delay_s: float = 0.002
    mode: Callable[[float], object] = lambda _: "serve"
    break_after: int = 0
    free_s: float = 0.0
    carried: Counter = attrs.field(factory=Counter)

    def carry(self, size: int) -> float:
        """Return how long it takes until `size` more bytes have arrived."""
        now_s = asyncio.get_running_loop().time()
        self.free_s = max(now_s, self.free_s) + size / self.bytes_per_s
        return self.free_s - now_s


class VirtualTransport(asyncio.Transport):
    """One connection to the store; a response that is lost leaves it silent."""

    def __init__(self, link: Link, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self._link = link
        self._protocol = protocol
        self._closed = False
        self._silent = False
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task] = set()

    def write(self, data: bytes) -> None:
        method, path, _ = data.split(b"\r\n", 1)[0].decode().split(" ")
        task = self._loop.create_task(self._serve(method, path))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def abort(self) -> None:
        if not self._closed:
            self._closed = True
            for task in self._tasks:
                task.cancel()
            self._loop.call_soon(self._protocol.connection_lost, None)

    async def _serve(self, method: str, path: str) -> None:
        link = self._link
        await asyncio.sleep(link.delay_s)
        mode = link.mode(self._loop.time())
        if mode == "silent" or self._silent:
            self._silent = True
            return
        if mode == "reset":
            self.abort()
            return
        status, body = (mode, b"{}") if mode != "serve" else await link.store.respond(path)
        head = (
            f"HTTP/1.1 {status} {REASONS.get(status, '-')}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        await self._send(urlsplit(path).query, head.encode() + body)

    async def _send(self, query: str, data: bytes) -> None:
        link = self._link
        topic = parse_qs(query)["topic"][0]
        for start in range(0, len(data), CHUNK_BYTES):
            chunk = data[start : start + CHUNK_BYTES]
            await asyncio.sleep(link.carry(len(chunk)))
            if link.mode(self._loop.time()) == "silent":
                self._silent = True
                return
            link.carried[topic] += len(chunk)
            self._protocol.data_received(chunk)
            if link.break_after and start + len(chunk) >= link.break_after:
                self.abort()
                return
            await asyncio.sleep(0)
        await asyncio.sleep(link.delay_s)


@attrs.define(eq=False)
class VirtualStore:
    """The store, with one partition for each topic."""

    answer_ms: float = 4
    # Reads a second that all machines together may make; further ones get status 429.
    reads_per_s: float = float("inf")
    # Whether a page has its first record although that alone exceeds the page's size.
    oversized_first: bool = True
    # Records that a page of the newest ones has at most.
    page_records: int = NEWEST_PAGE_RECORDS
    # Topics whose reads get status 503.
    failing_topics: set[str] = attrs.field(factory=set)
    partitions: dict[str, FakePartition] = attrs.field(factory=dict)
    reads_by_second: Counter = attrs.field(factory=Counter)
    refused: int = 0

    def partition(self, topic: str) -> FakePartition:
        return self.partitions.setdefault(topic, FakePartition())

    async def respond(self, path: str) -> tuple[int, bytes]:
        parts = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        loop = asyncio.get_running_loop()
        second = int(loop.time())
        self.reads_by_second[second] += 1
        if self.reads_by_second[second] > self.reads_per_s:
            self.refused += 1
            return 429, b"{}"
        await asyncio.sleep(self.answer_ms / 1_000)
        if query["topic"] in self.failing_topics:
            return 503, b"{}"
        partition = self.partition(query["topic"])
        if parts.path == "/api/log-newest":
            return 200, self._newest(partition, query.get("after", ""))
        first = int(query["from"])
        wait_until_s = loop.time() + int(query.get("wait_ms", 0)) / 1_000
        while partition.end <= first and loop.time() < wait_until_s:
            await asyncio.sleep(0.005)
        return self._tail(partition, first, 1_024 * int(query.get("max_kb", 1_024)))

    def _tail(self, partition: FakePartition, first: int, limit: int) -> tuple[int, bytes]:
        records = partition.read(first)
        if records is None:
            return 410, b"{}"
        page, size = [], 0
        for stored in records:
            size += len(encode_records((stored.record,)))
            if size > limit and (page or not self.oversized_first):
                break
            page.append(stored.record)
        head = struct.pack(">QQ", partition.end, partition.first_offset)
        return 200, head + encode_records(tuple(page))

    def _newest(self, partition: FakePartition, after: str) -> bytes:
        items, size, has_more = [], 0, False
        for stored in partition.newest():
            if stored.record.key <= after:
                continue
            size += len(stored.record.value)
            if items and (len(items) >= self.page_records or size > NEWEST_PAGE_BYTES):
                has_more = True
                break
            value = base64.b64encode(stored.record.value).decode()
            items.append({"key": stored.record.key, "value": value, "offset": stored.offset})
        return orjson.dumps({"items": items, "has_more": has_more, "end": partition.end})
