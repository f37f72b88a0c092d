"""A stand-in of the store on loopback that carries out appends without saying so."""

import asyncio
import enum
import re
from urllib.parse import parse_qs, urlsplit

from fake_store import FakePartition
from platform_servers import carry_out_append

CONTENT_LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)


class Mode(enum.Enum):
    """What the store does with one append."""

    SERVE = "carries it out and answers"
    LOSE = "carries it out and closes the connection"
    DROP = "closes the connection"
    DELAY = "closes the connection and carries it out later"
    REFUSE = "answers with status 503"


class LossyStore:
    """Treats appends by `modes`, one after the other, and serves all others.

    Appends without records, which probe whether the store answers, follow `probe_mode`.
    """

    def __init__(self, *modes: Mode) -> None:
        self.modes = list(modes)
        self.probe_mode = Mode.SERVE
        self.refusal_status = 503
        self.partitions: dict[str, FakePartition] = {}
        self.delayed: list[tuple[dict[str, str], bytes]] = []
        self.append_count = 0
        self.address = ""

    async def start(self) -> "LossyStore":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    def close(self) -> None:
        self._server.close()

    def keys(self, topic: str) -> list[str]:
        """Return the keys of the records of a topic, oldest first."""
        return [record.key for record in self.partition(topic).records]

    def partition(self, topic: str) -> FakePartition:
        return self.partitions.setdefault(topic, FakePartition())

    def carry_out_delayed(self) -> None:
        """Carry out the appends that were delayed, in the order of their arrival."""
        delayed, self.delayed = self.delayed, []
        for query, body in delayed:
            carry_out_append(self.partition(query["topic"]), query, body)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await self._serve_one(reader, writer):
                pass
        except asyncio.IncompleteReadError:
            # The client has closed the connection.
            return
        finally:
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        path = head.split(b" ", 2)[1].decode()
        length = CONTENT_LENGTH.search(head)
        body = await reader.readexactly(int(length[1])) if length else b""
        query = {name: values[0] for name, values in parse_qs(urlsplit(path).query).items()}
        if not body:
            mode = self.probe_mode
        else:
            self.append_count += 1
            mode = self.modes.pop(0) if self.modes else Mode.SERVE
        if mode is Mode.DELAY:
            self.delayed.append((query, body))
        status, answer = self.refusal_status, b""
        if mode in (Mode.SERVE, Mode.LOSE):
            status, answer = carry_out_append(self.partition(query["topic"]), query, body)
        if mode in (Mode.LOSE, Mode.DROP, Mode.DELAY):
            return False
        writer.write(b"HTTP/1.1 %d -\r\nContent-Length: %d\r\n\r\n" % (status, len(answer)))
        writer.write(answer)
        return True
