"""Interfaces between the service and a platform adapter: store, workers, machines and HTTP."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import attrs
from fescuecrank_core.errors import Failure
from fescuecrank_scheduler import effects, events
from fescuecrank_scheduler.events import Topic, WorkersRead
from fescuecrank_scheduler.fleet import FleetConfig, Wave
from fescuecrank_scheduler.records import Record, StoredRecord
from result import Result


@attrs.frozen
class Page:
    """Records read from a stream; `end_offset` is the offset after the stream's last record.

    If `failure` is not None, the response ended early, after these records. `transfer_ms` is the
    time from the first to the last byte of the response.
    """

    records: tuple[StoredRecord, ...]
    end_offset: int
    transfer_ms: int = 0
    failure: Failure | None = None
    # Whether the read was sent before the call that returns it; newer records may be missing.
    sent_before: bool = False


@attrs.frozen
class NewestPage:
    """One page of the newest record of each key; `has_more` if pages follow after its last key."""

    records: tuple[StoredRecord, ...]
    end_offset: int
    has_more: bool


@attrs.frozen
class OffsetExpired:
    """The offset is no longer stored; `read_newest` still returns the newest record of each key."""


@attrs.frozen
class AppendOutcome:
    """Outcome of an append; if it was stored, `offset` is that of its first record.

    `reason` is the status of the response, or why there is none.
    """

    result: events.StoreResult
    offset: int = -1
    reason: int | str = ""


# Called while a response arrives, with the number of bytes that have arrived.
OnProgress = Callable[[int], None]


class Stream(ABC):
    """One stream of keyed records.

    A read lasts for as long as more of its response arrives.
    """

    @abstractmethod
    async def read(
        self, from_offset: int, wait_ms: int, max_kb: int, on_progress: OnProgress
    ) -> Result[Page | OffsetExpired, Failure]:
        """Return records from `from_offset` on; wait up to `wait_ms` for the first one.

        A page has about `max_kb` of records. The records of a response that ends early are
        returned with the failure.
        """

    @abstractmethod
    async def read_newest(
        self, after_key: str | None, on_progress: OnProgress
    ) -> Result[NewestPage, Failure]:
        """Return a page of the newest record of each key, for the keys after `after_key`.

        Consecutive pages are read at different times, so together they are no snapshot.
        """

    @abstractmethod
    async def append(
        self,
        records: tuple[Record, ...],
        producer: str,
        epoch: int,
        sequence: int,
        expected_end_offset: int | None,
        timeout_ms: int,
    ) -> AppendOutcome:
        """Append all records or none.

        The producer, its epoch and the sequence number identify the append: a retry of a stored
        append is not stored again, and an append with an epoch older than the newest is rejected.
        With `expected_end_offset`, the records are stored only if the stream ends at that offset.
        """


@attrs.frozen
class Configuration:
    """What operators publish; `problems` names the entries that were unreadable and left out."""

    config: FleetConfig
    waves: tuple[Wave, ...]
    problems: tuple[str, ...] = ()


class Store(ABC):
    """The platform's store."""

    @abstractmethod
    def shared_stream(self, topic: Topic) -> Stream:
        """Return one of the streams that all processes share."""

    @abstractmethod
    def operator_stream(self) -> Stream:
        """Return the stream of configuration and waves, which operators write."""

    @abstractmethod
    def worker_stream(self) -> Stream:
        """Return the stream in which workers report themselves."""

    @abstractmethod
    async def put_wave_state(self, effect: effects.StoreWaveState) -> bool:
        """Store the state of a wave for operators; return whether it, or a later one, is stored."""

    @abstractmethod
    def decode_configuration(self, values: dict[str, bytes]) -> Result[Configuration, Failure]:
        """Return configuration and waves from the newest value of each key of their stream."""

    @abstractmethod
    def decode_workers(self, records: tuple[StoredRecord, ...], complete: bool) -> WorkersRead:
        """Return the workers that records describe; unreadable records are skipped.

        With `complete`, the records are all that the stream has.
        """


class WorkerClient(ABC):
    """Calls to workers."""

    @abstractmethod
    async def hold_worker(self, effect: effects.HoldWorker) -> events.HoldDone:
        """Renew the lease on a worker and read its running and ended runs."""

    @abstractmethod
    async def start_run(self, effect: effects.StartRun) -> events.StartDone:
        """Start a run."""

    @abstractmethod
    async def stop_run(self, effect: effects.StopRun) -> events.StopDone:
        """Stop a run."""

    @abstractmethod
    async def pace_run(self, effect: effects.PaceRun) -> events.PaceDone:
        """Change the speed of a run."""


class FleetClient(ABC):
    """Calls to the platform's services for machines and placement advice."""

    @abstractmethod
    async def list_machines(self) -> tuple[events.MachineRow, ...] | None:
        """Return all machines, or None if the list could not be read completely."""

    @abstractmethod
    async def move_machine(self, effect: effects.MoveMachine) -> events.MachineOrderDone:
        """Move a machine to another pool."""

    @abstractmethod
    async def maintain_machine(self, effect: effects.MaintainMachine) -> events.MachineOrderDone:
        """Take a machine down for maintenance."""

    @abstractmethod
    async def request_advice(self, effect: effects.Advise) -> events.Advised:
        """Ask which workers may run a step."""


@attrs.frozen
class ServerResponse:
    """An HTTP response with an encoded body."""

    status: int
    body: bytes
    headers: dict[str, str]


class RequestFormat(ABC):
    """Format of callers' requests and of the responses to them."""

    @abstractmethod
    def decode(
        self, token: int, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> events.Request | ServerResponse:
        """Return the request, or the response to a request that cannot be decoded."""

    @abstractmethod
    def encode(self, reply: effects.Reply) -> ServerResponse:
        """Return the response to a request."""

    @property
    @abstractmethod
    def ready_path(self) -> str:
        """Path of the load balancer's readiness checks."""
