"""Test helpers for the service: free ports, a request format, a logger and an empty store."""

import asyncio
import socket

import orjson
from fescuecrank_scheduler.events import Lookup, StoreResult, Submit, WorkersRead
from fescuecrank_scheduler.fleet import EMPTY_CONFIG
from fescuecrank_service.http_frontend import retry_after_seconds
from fescuecrank_service.interfaces import (
    AppendOutcome,
    Configuration,
    NewestPage,
    Page,
    RequestFormat,
    ServerResponse,
    Store,
    Stream,
)
from result import Ok


def free_port() -> int:
    """Return a port of the loopback address that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class MinimalRequestFormat(RequestFormat):
    """Decodes a POST as a submission and any other method as a lookup."""

    ready_path = "/ready"

    def decode(self, token, method, path, headers, body):
        request_type = Submit if method == "POST" else Lookup
        job_args = (None,) if request_type is Submit else ()
        return request_type(token, "host", path, None, *job_args)

    def encode(self, reply):
        headers = {}
        if reply.retry_after_ms is not None:
            headers["Retry-After"] = retry_after_seconds(reply.retry_after_ms)
        return ServerResponse(reply.status, orjson.dumps(reply.body), headers)


async def until(condition, timeout_s=5.0):
    """Wait until `condition` holds; fail after `timeout_s`."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.002)


class ListLogger:
    """Keeps log lines in a list."""

    def __init__(self):
        self.lines = []

    def write(self, event, fields):
        self.lines.append((event, fields))

    def fields_of(self, event):
        """Return the fields of each line of one event."""
        return [fields for name, fields in self.lines if name == event]


class EmptyStream(Stream):
    """A stream without records."""

    async def read(self, from_offset, wait_ms, max_kb, on_progress):
        await asyncio.sleep(wait_ms / 1_000)
        return Ok(Page((), from_offset))

    async def read_newest(self, after_key, on_progress):
        return Ok(NewestPage((), 0, has_more=False))

    async def append(self, records, producer, epoch, sequence, expected_end_offset, timeout_ms):
        return AppendOutcome(StoreResult.REFUSED)


class EmptyStore(Store):
    """A store whose streams are empty."""

    def shared_stream(self, topic):
        return EmptyStream()

    def operator_stream(self):
        return EmptyStream()

    def worker_stream(self):
        return EmptyStream()

    async def put_wave_state(self, effect):
        return False

    def decode_configuration(self, values):
        return Ok(Configuration(EMPTY_CONFIG, ()))

    def decode_workers(self, records, complete):
        return WorkersRead((), whole=complete)
