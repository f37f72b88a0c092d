"""Fake servers of the platform on loopback: the store and workers."""

import asyncio
import base64
import struct
import time

import attrs
import orjson
from fake_store import FakePartition
from fake_worker import FakeWorker
from fescuecrank_platform.store import encode_records
from fescuecrank_platform.worker_client import parse_task_name, task_name
from fescuecrank_scheduler.effects import HoldWorker, StartRun, StopRun
from fescuecrank_scheduler.events import CallResult, StoreResult
from fescuecrank_scheduler.records import Record
from service_builders import free_port
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

STATUS_BY_RESULT = {
    StoreResult.STORED: 200,
    StoreResult.FENCED: 409,
    StoreResult.CONFLICT: 412,
}
REASON_BY_RESULT = {CallResult.FENCED: "fence", CallResult.OLD: "old", CallResult.LATE: "late"}
POLL_INTERVAL_S = 0.005


UNIX_OFFSET_MS = int((time.time() - time.monotonic()) * 1_000)


def now_ms() -> int:
    return int(time.monotonic() * 1_000)


def unix_ms(mono_ms: int) -> int:
    """Return the Unix time of a reading of the monotonic clock."""
    return UNIX_OFFSET_MS + mono_ms


def carry_out_append(
    partition: FakePartition, query: dict[str, str], body: bytes
) -> tuple[int, bytes]:
    """Carry out an append and return the status and the body of its response."""
    records, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        content = body[position + 4 : position + 4 + length]
        key_end = 1 + content[0]
        records.append(Record(content[1:key_end].decode(), content[key_end:]))
        position += 4 + length
    result, offset = partition.append(
        tuple(records),
        query.get("producer", ""),
        int(query.get("epoch", 0)),
        int(query.get("sequence", 0)),
        int(query["at"]) if "at" in query else None,
    )
    return STATUS_BY_RESULT[result], orjson.dumps({"offset": offset, "end": partition.end})


class Server:
    """An HTTP server on a free port; it answers with status 503 while `down` is set."""

    def __init__(self) -> None:
        self.address = f"127.0.0.1:{free_port()}"
        self.down = False
        self._server = HTTPServer(self._start_response)
        self._tasks: set[asyncio.Task] = set()
        host, port = self.address.split(":")
        self._server.listen(int(port), host)

    def close(self) -> None:
        self._server.stop()

    def _start_response(self, req: HTTPServerRequest) -> None:
        task = asyncio.ensure_future(self._respond(req))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _respond(self, req: HTTPServerRequest) -> None:
        status, body = (503, b"") if self.down else await self.handle(req)
        headers = HTTPHeaders({"Content-Length": str(len(body))})
        req.connection.write_headers(ResponseStartLine("HTTP/1.1", status, ""), headers, body)
        req.connection.finish()

    async def handle(self, req: HTTPServerRequest) -> tuple[int, bytes]:
        """Return the status and the body of the response, at once or later."""
        raise NotImplementedError


class StoreServer(Server):
    """The platform's store, with one partition for each topic."""

    def __init__(self) -> None:
        super().__init__()
        self.partitions: dict[str, FakePartition] = {}

    def partition(self, topic: str) -> FakePartition:
        return self.partitions.setdefault(topic, FakePartition())

    def put(self, topic: str, key: str, value: object) -> None:
        self.partition(topic).append((Record(key, orjson.dumps(value)),))

    async def handle(self, req: HTTPServerRequest) -> tuple[int, bytes]:
        query = {name: values[0].decode() for name, values in req.query_arguments.items()}
        partition = self.partition(query["topic"])
        match req.path:
            case "/api/log-append":
                return self._append(partition, query, req.body)
            case "/api/log-newest":
                items = [
                    {
                        "key": stored.record.key,
                        "value": base64.b64encode(stored.record.value).decode(),
                        "offset": stored.offset,
                    }
                    for stored in partition.newest()
                ]
                page = {"items": items, "has_more": False, "end": partition.end}
                return 200, orjson.dumps(page)
            case "/api/log-read":
                return await self._read(partition, int(query["from"]), int(query["wait_ms"]))
        return 404, b""

    def _append(self, partition, query, body) -> tuple[int, bytes]:
        return carry_out_append(partition, query, body)

    async def _read(self, partition, first_offset, wait_ms) -> tuple[int, bytes]:
        wait_end_ms = now_ms() + wait_ms
        while partition.end <= first_offset and now_ms() < wait_end_ms and not self.down:
            await asyncio.sleep(POLL_INTERVAL_S)
        records = tuple(stored.record for stored in partition.read(first_offset) or ())
        return 200, struct.pack(">QQ", partition.end, 0) + encode_records(records)


class WorkerServer(Server):
    """One worker; `entry` returns what it would write to the list of workers."""

    def __init__(self, name: str, work_ms: int) -> None:
        super().__init__()
        self.worker = FakeWorker(name, started_ms=now_ms(), work_ms=work_ms)

    def entry(self, pool: str) -> dict:
        return {
            "backend": pool,
            "address": self.address,
            "zone": "dc-1",
            "state": "ready",
            "capacity": {"cpu": 4_000, "mem_mb": 8_000},
            "labels": ["kind-a", "rack-1"],
            "machine": f"m-{self.worker.id}",
            "born": unix_ms(self.worker.started_ms),
            "clock_ms": self.worker.clock(now_ms()),
        }

    async def handle(self, req: HTTPServerRequest) -> tuple[int, bytes]:
        body = orjson.loads(req.body)
        epoch = body["fencing_token"]
        base_fields = (self.worker.id, self.address, epoch)
        match req.path:
            case "/api/hold":
                return await self._hold(base_fields, body)
            case "/api/run-start":
                start = StartRun(
                    *base_fields,
                    parse_task_name(body["task"]),
                    body["run"],
                    body["spec"],
                    body["deadline_ms"],
                    body.get("checkpoint", ""),
                    "",
                    0,
                )
                result = self.worker.start(start, now_ms(), long_running=False)
            case _:
                stop = StopRun(*base_fields, parse_task_name(body["task"]), body["run"], 0)
                result = self.worker.stop(stop, now_ms())
        reason = REASON_BY_RESULT.get(result)
        fields = {"clock_ms": self.worker.clock(now_ms())} | ({"reason": reason} if reason else {})
        return 409 if reason else 200, orjson.dumps(fields)

    async def _hold(self, base_fields, body) -> tuple[int, bytes]:
        deadline_ms, wait_ms = body.get("deadline_ms"), body.get("wait_ms", 0)
        hold = HoldWorker(*base_fields, body["last_seen"], deadline_ms, wait_ms, 0)
        wait_end_ms = now_ms() + wait_ms
        reply = self.worker.hold(hold, now_ms())
        while not isinstance(reply, CallResult) and not reply.ended and now_ms() < wait_end_ms:
            await asyncio.sleep(POLL_INTERVAL_S)
            reply = self.worker.hold(attrs.evolve(hold, deadline_ms=None), now_ms())
        if isinstance(reply, CallResult):
            return 409, orjson.dumps({"reason": REASON_BY_RESULT[reply], "clock_ms": 0})
        fields = {
            "clock_ms": reply.clock_ms,
            "born": unix_ms(self.worker.started_ms),
            "running": [
                [task_name(row.task), row.run, row.checkpoint, row.percent] for row in reply.running
            ],
            "finished": [
                [row.number, task_name(row.task), row.run, row.end_reason, row.checkpoint]
                for row in reply.ended
            ],
        }
        return 200, orjson.dumps(fields)
