"""Decoding of the durable records, whoever wrote them.

What is adopted from a record is appended again by the leader, so each field is checked.
"""

import re
from typing import Any

import orjson

from fescuecrank_scheduler.fleet import Resources
from fescuecrank_scheduler.jobs import (
    Job,
    Outcome,
    Phase,
    Schedule,
    Step,
    Suspicion,
    Task,
    TaskId,
)
from fescuecrank_scheduler.records import (
    BEGUN_PREFIX,
    CANCEL_PREFIX,
    HOME_POOLS_KEY,
    JOB_PREFIX,
    KINDS_KEY,
    LEADER_KEY,
    LEASES_KEY,
    PROGRESS_PREFIX,
    STEP_FIELDS,
    WAVE_PREFIX,
    HomePools,
    JobBegun,
    JobTombstone,
    KindRecord,
    Leadership,
    LongLeases,
    Progress,
    ProgressTombstone,
    Record,
    SuspectedKinds,
    WaveRecord,
)
from fescuecrank_scheduler.validation import (
    MAX_TASKS,
    amount,
    counter,
    describe,
    elements,
    flag,
    is_address,
    name,
    optional_token,
    row,
    table,
    text,
    token,
    whole_number,
)

# Number of a wave in the key of its record; it has at most the digits of `MAX_AMOUNT`.
WAVE_NUMBER = re.compile(r"[0-9]{1,9}")

# Last member of `crashing_kinds.Scope`.
MAX_SCOPE = 2


def decode(
    record: Record,
) -> (
    Job
    | Progress
    | Leadership
    | LongLeases
    | WaveRecord
    | HomePools
    | SuspectedKinds
    | JobBegun
    | JobTombstone
    | ProgressTombstone
    | str
    | None
):
    """Decode a record; a string is the id of a cancelled job.

    Returns None for an unknown key and for tombstones other than those of a job and its progress.
    Raises `ValueError` for a malformed value.
    """
    if not record.value:
        return _decode_tombstone(record.key)
    try:
        return _decode_value(record)
    except ValueError as exc:
        raise ValueError(f"malformed record {describe(record.key)}: {exc}") from exc


def _decode_tombstone(key: str) -> JobTombstone | ProgressTombstone | None:
    if key.startswith(JOB_PREFIX):
        return JobTombstone(key[len(JOB_PREFIX) :])
    if key.startswith(PROGRESS_PREFIX):
        return ProgressTombstone(key[len(PROGRESS_PREFIX) :])
    return None


def _decode_value(record: Record) -> Any:
    key = record.key
    if key.startswith(CANCEL_PREFIX):
        return key[len(CANCEL_PREFIX) :]
    if key.startswith(BEGUN_PREFIX):
        return JobBegun(token(key[len(BEGUN_PREFIX) :]))
    if key.startswith(JOB_PREFIX):
        return _decode_job(token(key[len(JOB_PREFIX) :]), orjson.loads(record.value))
    if key.startswith(PROGRESS_PREFIX):
        return _decode_progress(token(key[len(PROGRESS_PREFIX) :]), orjson.loads(record.value))
    if key == LEADER_KEY:
        return Leadership(*row(orjson.loads(record.value), LEADER_CHECKS, least=3))
    if key == LEASES_KEY:
        return LongLeases(_lease_times(orjson.loads(record.value)))
    if key == HOME_POOLS_KEY:
        return HomePools(table(orjson.loads(record.value), name))
    if key == KINDS_KEY:
        kinds = elements(orjson.loads(record.value), _decode_kind)
        return SuspectedKinds({kind.name: kind for kind in kinds})
    if key.startswith(WAVE_PREFIX):
        machines = elements(orjson.loads(record.value), name)
        return WaveRecord(_wave_number(key[len(WAVE_PREFIX) :]), machines)
    return None


def _wave_number(digits: str) -> int:
    if not WAVE_NUMBER.fullmatch(digits):
        raise ValueError(f"must name a wave, is {describe(digits)}")
    return int(digits)


def _rows(value: Any) -> tuple[Any, ...]:
    return elements(value, lambda cells: cells)


def _decode_kind(value: Any) -> KindRecord:
    return KindRecord(*row(value, KIND_CHECKS, least=3))


def _peer_address(value: Any) -> str:
    """Return an address to which requests can be passed on; the empty string for any other.

    A leader whose address cannot be used leads all the same.
    """
    return value if is_address(text(value)) else ""


def _decode_step(value: Any, number: int) -> Step:
    cells = row(value, STEP_CHECKS, least=len(STEP_CHECKS))
    fields = dict(zip(STEP_FIELDS, cells[3:], strict=True))
    if any(earlier >= number for earlier in fields["after"]):
        raise ValueError(f"step {number} is after a later one")
    return Step(need=Resources(*cells[:3]), **fields)


def _decode_job(job_id: str, value: Any) -> Job:
    checks = (name, name, text, _rows, whole_number, _schedule)
    queue, team, spec, rows, accepted_ms, schedule = row(value, checks, least=len(checks))
    steps = tuple(_decode_step(cells, number) for number, cells in enumerate(rows))
    if not steps:
        raise ValueError("must have a step")
    occurrences = schedule.repeat_count if schedule else 1
    if occurrences * sum(step.count for step in steps) > MAX_TASKS:
        raise ValueError(f"must have {MAX_TASKS} tasks at most")
    return Job(job_id, queue, team, spec, steps, accepted_ms, schedule)


def _schedule(value: Any) -> Schedule | None:
    if not value:
        return None
    return Schedule(*row(value, (whole_number, whole_number, amount), least=3))


def _decode_progress(job_id: str, value: Any) -> Progress:
    epoch, outcome, rows = row(value, (counter, _outcome, _rows), least=3)
    return Progress(job_id, epoch, outcome, tuple(_decode_task(job_id, cells) for cells in rows))


def _decode_task(job_id: str, value: Any) -> Task:
    cells = row(value, TASK_CHECKS, least=len(TASK_CHECKS) - 1)
    return Task(TaskId(job_id, *cells[:3]), *cells[3:])


def _outcome(value: Any) -> Outcome | None:
    return Outcome(text(value)) if value is not None else None


def _suspicion(value: Any) -> Suspicion:
    return Suspicion(*row(value, (amount, counter, amount, flag)))


def _phase(value: Any) -> Phase:
    return Phase(text(value))


def _earlier_steps(value: Any) -> tuple[int, ...]:
    return elements(value, amount)


def _may_miss(value: Any) -> int | None:
    return amount(value) if value is not None else None


def _count(value: Any) -> int:
    return whole_number(value, 1, MAX_TASKS)


def _scope(value: Any) -> int:
    return whole_number(value, 0, MAX_SCOPE)


def _place(value: Any) -> int:
    return whole_number(value, 0, MAX_TASKS)


def _lease_times(value: Any) -> dict[str, int]:
    return table(value, whole_number)


LEADER_CHECKS = (
    counter,
    name,
    counter,
    counter,
    whole_number,
    _lease_times,
    _lease_times,
    _peer_address,
)

# The name, the queue, two times and four counts; see `KindRecord`.
KIND_CHECKS = (name, name, whole_number, whole_number, amount, amount, _scope)

# The three amounts of `need`, then the fields in the order of `STEP_FIELDS`.
STEP_CHECKS = (
    amount,
    amount,
    amount,
    _count,
    whole_number,
    _earlier_steps,
    flag,
    flag,
    text,
    text,
    amount,
    flag,
    flag,
    flag,
    text,
    whole_number,
    flag,
    _may_miss,
)

# The fields of an encoded task; see `_encode_task`.
TASK_CHECKS = (
    _place,
    _place,
    _place,
    _phase,
    counter,
    counter,
    optional_token,
    text,
    _suspicion,
)
