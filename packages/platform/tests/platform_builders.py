"""Test helpers of the adapter: an HTTP client with prepared outcomes, and addresses."""

import attrs
from fescuecrank_core.errors import Failure
from fescuecrank_platform.settings import Endpoints
from fescuecrank_service.http_client import Download
from result import Err, Ok

ENDPOINTS = Endpoints("store:1", "machines:2", "advice:3")


@attrs.define
class Response:
    """A response; a read of it ends early if `failure` is not None."""

    code: int
    body: bytes = b"{}"
    failure: Failure | None = None


def ignore_progress(received):
    """Take no note of how far a read has got."""


class FakeHttpClient:
    """Records calls and returns the given responses or failures; the last one is repeated."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.calls = []
        # Whether each call may be sent a second time.
        self.resent = []

    async def call(
        self, operation, address, method, path, timeout_ms, body=None, headers=None, resend=False
    ):
        self.calls.append((address, method, path, body, headers or {}))
        self.resent.append(resend)
        outcome = self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]
        return Ok(outcome) if isinstance(outcome, Response) else Err(outcome)

    async def fetch(
        self, operation, address, path, begin_timeout_ms, stall_timeout_ms, on_progress=None
    ):
        outcome = await self.call(operation, address, "GET", path, begin_timeout_ms)
        if outcome.is_err():
            return outcome
        response = outcome.ok_value
        return Ok(Download(response.code, response.body, 0, response.failure))
