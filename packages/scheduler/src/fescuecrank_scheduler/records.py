"""Durable records and their encoding; `record_decoding` reads them.

Every record has a key, and the store keeps the newest value of each key. Any process appends
accepted jobs and cancellations. Only the leader appends progress and leadership, and the store
fences its writes by epoch.
"""

from typing import Any

import attrs
import orjson

from fescuecrank_scheduler.jobs import (
    Job,
    Outcome,
    Phase,
    Task,
)

JOB_PREFIX = "j/"
CANCEL_PREFIX = "c/"
PROGRESS_PREFIX = "p/"
BEGUN_PREFIX = "b/"
LEADER_KEY = "leader"
LEASES_KEY = "leases"
WAVE_PREFIX = "w/"
HOME_POOLS_KEY = "homes"
KINDS_KEY = "kinds"

# Fields of a step in the order of its encoded row; the three numbers of `need` precede them.
STEP_FIELDS = (
    "count",
    "estimate_ms",
    "after",
    "gang",
    "same_rack",
    "requires",
    "affinity",
    "anti_affinity",
    "speculative",
    "long_running",
    "checkpointing",
    "image",
    "target_ms",
    "best_effort",
    "may_miss",
)


@attrs.frozen
class Record:
    """One record as the store holds it; an empty value is a tombstone that deletes the key."""

    key: str
    value: bytes


@attrs.frozen
class StoredRecord:
    """A record with its offset in the partition."""

    offset: int
    record: Record


@attrs.frozen
class Leadership:
    """Which process leads; an empty holder means that the last leader has resigned."""

    epoch: int
    holder: str
    # Number of renewals so far.
    renewals: int
    # Distinguishes competing claims of the same epoch.
    nonce: int = 0
    # Wall clock of the holder when it wrote the record.
    wall_ms: int = 0
    # Remaining time, by worker, of the leases that the holder does not renew.
    unrenewed_leases: dict[str, int] = attrs.field(factory=dict)
    # Time that each pool needs for its waiting work.
    backlog_ms: dict[str, int] = attrs.field(factory=dict)
    # Address at which the holder takes callers' requests.
    address: str = ""


@attrs.frozen
class LongLeases:
    """Leases that may last longer than the ones that a leader usually grants.

    Each renewal of the leadership is stored together with it.
    """

    # Remaining time by worker, as of the renewal.
    remaining_ms: dict[str, int]


def encode_long_leases(remaining_ms: dict[str, int]) -> Record:
    """Return the record of the leases that may last longer than usual."""
    return Record(LEASES_KEY, orjson.dumps(remaining_ms))


@attrs.frozen
class Progress:
    """Progress of one job: its outcome, or its tasks that have been assigned to a worker."""

    job: str
    epoch: int
    outcome: Outcome | None
    tasks: tuple[Task, ...] = ()


@attrs.frozen
class WaveRecord:
    """Machines of a maintenance wave that have been taken down so far."""

    wave: int
    machines: tuple[str, ...]


def encode_wave(wave: WaveRecord) -> Record:
    """Return the record of a wave's progress."""
    return Record(f"{WAVE_PREFIX}{wave.wave}", orjson.dumps(wave.machines))


@attrs.frozen
class JobTombstone:
    """Deletion of the record of an ended job."""

    job: str


@attrs.frozen
class JobBegun:
    """A worker has begun a task of a job.

    A record of its own: earlier versions skip one whose key they do not know, but take a longer row
    of a known one for malformed.
    """

    job: str


@attrs.frozen
class ProgressTombstone:
    """Deletion of the progress of a job that has been deleted."""

    job: str


@attrs.frozen
class HomePools:
    """The home pool of each machine, to which it returns after it was lent."""

    pools: dict[str, str]


@attrs.frozen
class KindRecord:
    """One kind of tasks that is suspected of crashing its workers; see `crashing_kinds`."""

    name: str
    queue: str
    # Wall-clock times of the first and the latest crash.
    since_ms: int
    last_crash_ms: int = 0
    # Crashes within a short time of the start of such a task, and those of workers on which one was
    # tried.
    crashes: int = 0
    confirmed: int = 0
    # What is tried, see `crashing_kinds.Scope`.
    scope: int = 0


@attrs.frozen
class SuspectedKinds:
    """All suspected kinds by name."""

    kinds: dict[str, KindRecord]


def encode_kinds(kinds: dict[str, KindRecord]) -> Record:
    """Return the record of the suspected kinds."""
    return Record(KINDS_KEY, orjson.dumps([attrs.astuple(kind) for kind in kinds.values()]))


def encode_home_pools(pools: dict[str, str]) -> Record:
    """Return the record of the machines' home pools."""
    return Record(HOME_POOLS_KEY, orjson.dumps(pools))


def encode_job(job: Job) -> Record:
    """Return the record of an accepted job."""
    rows = [
        [step.need.cpu, step.need.mem_mb, step.need.gpu]
        + [getattr(step, name) for name in STEP_FIELDS]
        for step in job.steps
    ]
    schedule = job.schedule and [
        job.schedule.first_ms,
        job.schedule.interval_ms,
        job.schedule.repeat_count,
    ]
    value = [job.queue, job.team, job.spec, rows, job.accepted_ms, schedule]
    return Record(JOB_PREFIX + job.id, orjson.dumps(value))


def encode_cancel(job_id: str) -> Record:
    """Return the record of a cancellation."""
    return Record(CANCEL_PREFIX + job_id, b"1")


def encode_progress(job: Job, outcome: Outcome | None, epoch: int) -> Record:
    """Return the record of a job's progress."""
    rows: list[list[Any]] = []
    if outcome is None:
        rows = [_encode_task(task) for tasks in job.tasks.values() for task in tasks if task.run]
    value = [epoch, outcome.value if outcome else None, rows]
    return Record(PROGRESS_PREFIX + job.id, orjson.dumps(value))


def _encode_task(task: Task) -> list[Any]:
    """Return the row of a task; the suspicion of a task without any is left out."""
    row: list[Any] = [
        task.id.occurrence,
        task.id.step,
        task.id.index,
        task.phase.value,
        task.run,
        task.failures,
        task.worker if task.phase is Phase.ASSIGNED else "",
        task.checkpoint if task.phase is not Phase.DONE else "",
    ]
    if task.suspicion.points and task.phase is not Phase.DONE:
        row.append(attrs.astuple(task.suspicion))
    return row


def job_tombstones(job: Job) -> tuple[Record, ...]:
    """Return the tombstones of a job and of its cancellation, in the order of their appends.

    A cancellation that outlived its job would cancel the next job with the same id.
    """
    keys = ([CANCEL_PREFIX] if job.cancelled else []) + [JOB_PREFIX]
    return tuple(Record(prefix + job.id, b"") for prefix in keys)


def encode_begun(job_id: str) -> Record:
    """Return the record of a job that has begun."""
    return Record(BEGUN_PREFIX + job_id, b"1")


def progress_tombstones(job_id: str) -> tuple[Record, ...]:
    """Return the tombstones of a job's progress and of the record that it has begun."""
    return tuple(Record(prefix + job_id, b"") for prefix in (BEGUN_PREFIX, PROGRESS_PREFIX))


def encode_leadership(leader: Leadership) -> Record:
    """Return the record of a claim, a renewal or a resignation."""
    value = [
        leader.epoch,
        leader.holder,
        leader.renewals,
        leader.nonce,
        leader.wall_ms,
        leader.unrenewed_leases,
        leader.backlog_ms,
        leader.address,
    ]
    return Record(LEADER_KEY, orjson.dumps(value))
