"""Requests, tasks, answers, and the request records that prevent a second run."""

import enum

import attrs

from fescuecrank_core.declarations import RequestClass, Resources


@attrs.frozen
class RequestKey:
    """Identity of a request: the team that sent it and the id that the caller chose."""

    team: str
    request_id: str


@attrs.frozen
class Request:
    """One admitted request.

    `fingerprint` is the hex SHA-256 of service, options and body. The caller declares `need` and
    `expected_run_ms`. `traceparent` follows W3C Trace Context.
    """

    key: RequestKey
    service: str
    request_class: RequestClass
    idempotent: bool
    need: Resources
    expected_run_ms: int
    body: bytes
    fingerprint: str
    traceparent: str = ""


class Outcome(enum.StrEnum):
    """Outcome of a request as reported to its caller.

    `NOT_RUN` and `CANCELLED` guarantee that no endpoint has executed or will execute the request.
    """

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


@attrs.frozen
class Answer:
    """Final answer to one request.

    `digest` is the hex SHA-256 of `body`, and `runs` the number of attempts that were dispatched.
    """

    key: RequestKey
    outcome: Outcome
    reason: str = ""
    status: int = 0
    body: bytes = b""
    digest: str = ""
    runs: int = 0


class RequestState(enum.StrEnum):
    """State of a request at the holder of its cell."""

    QUEUED = "queued"
    REPLICATING = "replicating"
    DISPATCHED = "dispatched"
    ENDED = "ended"


@attrs.frozen
class Task:
    """One attempt to run a request on a worker; `fence` is its fencing token."""

    task_id: str
    key: RequestKey
    worker: str
    fence: int


@attrs.frozen
class RequestRecord:
    """State of one request, stored by the holder of its cell and by the backups.

    `attempts` counts dispatches. `seq` increases with each change within one epoch, so that a
    backup can ignore a change that arrives after a later one.
    """

    request: Request
    state: RequestState
    seq: int
    attempts: int = 0
    task: Task | None = None
    answer: Answer | None = None
    updated_wall_ms: int = 0
