"""Typed failures, returned as the `Err` variant of `result.Result`."""

import enum

import attrs


class FailureKind(enum.StrEnum):
    """Category of a failure, which tells the caller how to react."""

    INVALID = "invalid"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    TOO_LARGE = "too_large"
    OVERLOADED = "overloaded"
    UNAVAILABLE = "unavailable"
    TIMEOUT = "timeout"
    UNKNOWN = "unknown"


@attrs.frozen
class Failure:
    """One failure with the operation and the peer that it concerns.

    `step` names the operation, such as `log.append`; `peer` is the address or name of the other
    side, or the empty string for a local failure.
    """

    kind: FailureKind
    step: str
    peer: str
    detail: str

    def __str__(self) -> str:
        at = f" at {self.peer}" if self.peer else ""
        return f"{self.step}{at}: {self.kind.value}: {self.detail}"
