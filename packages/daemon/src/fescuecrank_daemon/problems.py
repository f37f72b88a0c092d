"""Problem documents of RFC 9457, and the HTTP status of each failure and outcome."""

import attrs
import orjson
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_core.requests import Outcome

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:fescuecrank:"

FAILURE_STATUS = {
    FailureKind.INVALID: 400,
    FailureKind.UNAUTHORIZED: 401,
    FailureKind.FORBIDDEN: 403,
    FailureKind.NOT_FOUND: 404,
    FailureKind.CONFLICT: 409,
    FailureKind.TOO_LARGE: 413,
    FailureKind.OVERLOADED: 429,
    FailureKind.UNAVAILABLE: 503,
    FailureKind.TIMEOUT: 504,
    FailureKind.UNKNOWN: 504,
}

# A refused submission was not run, so its status differs from that of one that may have run.
SUBMISSION_STATUS = {
    **FAILURE_STATUS,
    FailureKind.CONFLICT: 422,
    FailureKind.TIMEOUT: 503,
    FailureKind.UNKNOWN: 503,
}

OUTCOME_STATUS = {
    Outcome.DONE: 200,
    Outcome.FAILED: 502,
    Outcome.NOT_RUN: 503,
    Outcome.CANCELLED: 409,
    Outcome.UNKNOWN: 504,
}

STATUS_KIND = {
    400: FailureKind.INVALID,
    404: FailureKind.NOT_FOUND,
    405: FailureKind.INVALID,
    413: FailureKind.TOO_LARGE,
    500: FailureKind.UNKNOWN,
}


@attrs.frozen
class ProblemDocument:
    """Body of a refusal; `outcome` is set for requests only."""

    status: int
    failure: Failure
    outcome: Outcome | None = None
    extra: dict[str, str | int] = attrs.field(factory=dict)

    def encode(self) -> bytes:
        """Return the JSON body."""
        failure = self.failure
        title = (self.outcome or failure.kind).value.replace("_", " ")
        body = {
            "type": TYPE_PREFIX + failure.kind.value,
            "title": title,
            "status": self.status,
            "detail": failure.detail,
            "kind": failure.kind.value,
            "step": failure.step,
            "peer": failure.peer,
            **self.extra,
        }
        if self.outcome is not None:
            body["outcome"] = self.outcome.value
        return orjson.dumps(body)
