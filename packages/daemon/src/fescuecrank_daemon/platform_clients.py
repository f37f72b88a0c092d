"""Interfaces of the clients of the platform's services."""

from abc import ABC, abstractmethod

from fescuecrank_core.clock import Instant
from fescuecrank_core.effects import (
    ControlTask,
    ControlWorker,
    PollWorker,
    QueryTask,
    StartTask,
)
from fescuecrank_core.errors import Failure
from fescuecrank_core.events import (
    AppendDone,
    AppendFailed,
    InstancesListed,
    LogExpired,
    LogRead,
    LogUnreadable,
    TaskReported,
    WorkerControlled,
    WorkerPolled,
)
from fescuecrank_core.records import Record
from result import Result


class LogClient(ABC):
    """Client of the platform's log; every call ends within its time limit."""

    @abstractmethod
    async def append(self, record: Record) -> AppendDone | AppendFailed:
        """Append one record.

        `AppendFailed.maybe_stored` is false only if the log cannot have received the record or
        reported that it did not store it.
        """

    @abstractmethod
    async def read(self, first: int, now: Instant) -> LogRead | LogExpired | LogUnreadable:
        """Read records from offset `first` on; `now` is the instant of the call.

        At the end of the log the call may wait a short time for records.
        """


class InstanceLister(ABC):
    """Client of the platform's instance list."""

    @abstractmethod
    async def list_instances(self) -> Result[InstancesListed, Failure]:
        """Return the current instance list."""


class WorkerClient(ABC):
    """Client of workers; each call has its own connection, so a silent worker affects no other."""

    @abstractmethod
    async def start(self, effect: StartTask, traceparent: str) -> TaskReported:
        """Start a task and follow it to its end.

        `NOT_SENT` is reported only if no byte of the command was written, and `ANSWERED` only if
        length, digest and task id of the answer are right. If the worker reports no final state,
        the result is `LOST`.
        """

    @abstractmethod
    async def query(self, effect: QueryTask) -> TaskReported:
        """Ask once for the state of a task."""

    @abstractmethod
    async def control_task(self, effect: ControlTask) -> TaskReported | None:
        """Throttle, checkpoint or stop a task; return its end if the worker reports one."""

    @abstractmethod
    async def poll(self, effect: PollWorker) -> WorkerPolled:
        """Renew leases and read usage in one call."""

    @abstractmethod
    async def control_worker(self, effect: ControlWorker) -> WorkerControlled:
        """Drain, undrain or reboot a worker."""
