"""Outputs of the reducer, which the daemon carries out; each names the event that answers it."""

import enum
from typing import Any

import attrs

from fescuecrank_scheduler.jobs import TaskId
from fescuecrank_scheduler.records import Record


@attrs.frozen
class Effect:
    """Base of all effects."""


@attrs.frozen
class Reply(Effect):
    """Answer the caller of a request; `retry_after_ms` is sent with refusals."""

    token: int
    status: int
    body: dict[str, Any] = attrs.field(factory=dict)
    retry_after_ms: int | None = None


@attrs.frozen
class ForwardRequest(Effect):
    """Pass a caller's request on to another process, unchanged; answered by `Forwarded`."""

    token: int
    # Address at which the other process takes requests.
    address: str


@attrs.frozen
class StoreIntake(Effect):
    """Append the record of a caller's request; answered by `IntakeStored`."""

    token: int
    record: Record


@attrs.frozen
class StoreProgress(Effect):
    """Append records under the leader's epoch; answered by `ProgressStored`.

    The daemon repeats the append with the same sequence number until the store accepts or rejects
    it. With `expected_end` the append is conditional: it succeeds only if the partition ends at
    that offset. Claims of the leadership are written this way.
    """

    epoch: int
    sequence: int
    records: tuple[Record, ...]
    expected_end: int | None = None


@attrs.frozen
class StoreWaveState(Effect):
    """Publish the state of a maintenance wave to operators, under an epoch; not answered."""

    wave: int
    completed: bool
    epoch: int
    # Counts the states of the wave under this epoch, from 0.
    number: int


class FollowMode(enum.StrEnum):
    """Which streams the daemon reads and how often."""

    # Polls the progress stream at intervals.
    FOLLOWER = "follower"
    # Reads the progress stream without delay, to see the outcome of its own claim.
    CANDIDATE = "candidate"
    # Reads new jobs and the list of workers without delay.
    LEADER = "leader"


@attrs.frozen
class SetFollow(Effect):
    """Change which streams are read; with `reload`, all progress records are read again."""

    mode: FollowMode
    reload: bool = False


@attrs.frozen
class WorkerEffect(Effect):
    """Base of calls to one incarnation of a worker, which refuses tokens lower than the highest."""

    worker: str
    address: str
    # Fencing token; see `LeaderState.next_token`.
    token: int
    # When the call was decided on; see `events.ClockReading`.
    sent_ms: int = attrs.field(default=0, kw_only=True)


@attrs.frozen
class HoldWorker(WorkerEffect):
    """Hold a worker: renew its lease and read its running and ended runs; answered by `HoldDone`.

    The worker delays its answer for up to `wait_ms` until a run ends. It may forget ended runs up
    to `last_acked_end`. `deadline_ms` is the end of the lease on the worker's clock; without it
    no lease is renewed, but the worker refuses lower tokens from now on.
    """

    last_acked_end: int
    deadline_ms: int | None
    wait_ms: int
    number: int


@attrs.frozen
class StartRun(WorkerEffect):
    """Start one run of a task; answered by `StartDone`."""

    task: TaskId
    run: int
    spec: str
    deadline_ms: int
    checkpoint: str
    ticket: str
    timeout_ms: int


@attrs.frozen
class StopRun(WorkerEffect):
    """Stop one run; answered by `StopDone`."""

    task: TaskId
    run: int
    timeout_ms: int


@attrs.frozen
class PaceRun(WorkerEffect):
    """Throttle a run to `percent` of its full speed; answered by `PaceDone`."""

    task: TaskId
    run: int
    percent: int


@attrs.frozen
class Advise(Effect):
    """Ask the advice service which of `workers` may run a step; answered by `Advised`."""

    job: str
    occurrence: int
    step: int
    workers: tuple[str, ...]


@attrs.frozen
class ListMachines(Effect):
    """Read the list of machines; answered by `MachinesListed`."""


@attrs.frozen
class MoveMachine(Effect):
    """Move a machine to another pool; answered by `MachineOrderDone`."""

    machine: str
    pool: str
    epoch: int


@attrs.frozen
class MaintainMachine(Effect):
    """Take a machine down for maintenance; answered by `MachineOrderDone`."""

    machine: str
    wave: int
    epoch: int


@attrs.frozen
class LogLine(Effect):
    """One structured log line."""

    event: str
    fields: dict[str, Any]


@attrs.frozen
class Exit(Effect):
    """End the process at the end of a graceful shutdown."""
