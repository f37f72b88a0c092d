"""Calls that wait for a reply of the reducer, by reply token."""

import asyncio
import itertools
from collections.abc import Callable

import attrs
from fescuecrank_core.effects import (
    Effect,
    Reply,
    ReplyAccepted,
    ReplyFailure,
    ReplyVerdict,
    ReplyView,
)
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_core.events import CallerGone, Event

from fescuecrank_daemon.metrics import DaemonMetrics
from fescuecrank_daemon.settings import HttpSettings

ReplyEffect = Reply | ReplyFailure | ReplyAccepted | ReplyView | ReplyVerdict


@attrs.frozen
class Waiting:
    """No final reply came in time; `state` and `explanation` are the last reported, or empty."""

    state: str = ""
    explanation: str = ""


@attrs.frozen
class EntryStopped:
    """The entry stopped before the reducer replied."""


CallResult = ReplyEffect | Waiting | EntryStopped


@attrs.define(eq=False)
class PendingCall:
    """One waiting call; with `until_final`, a `ReplyAccepted` only updates `last_state`."""

    future: asyncio.Future
    until_final: bool
    last_state: Waiting = Waiting()


class PendingCalls:
    """Assigns reply tokens to events and passes each reply to the call that waits for it."""

    def __init__(
        self, entry: str, cfg: HttpSettings, post: Callable[[Event], None], metrics: DaemonMetrics
    ) -> None:
        self._entry = entry
        self._cfg = cfg
        self._post = post
        self._metrics = metrics
        self._token_numbers = itertools.count(1)
        self._pending: dict[str, PendingCall] = {}
        self._pending_bytes = 0
        self._closed = False

    def __len__(self) -> int:
        return len(self._pending)

    async def post_and_wait(
        self, make_event: Callable[[str], Event], wait_ms: int, until_final: bool, size: int = 0
    ) -> CallResult:
        """Post an event with a new reply token and wait at most `wait_ms` for the reply.

        `size` is the size of the call's body in bytes. If the wait ends without a final reply, the
        reducer receives `CallerGone`; the request itself continues.
        """
        refusal = self._refusal_reason(size)
        if refusal:
            return ReplyFailure("", Failure(FailureKind.OVERLOADED, "http.admit", "", refusal))
        token = f"{self._entry}-{next(self._token_numbers)}"
        call = PendingCall(asyncio.get_running_loop().create_future(), until_final)
        self._pending[token] = call
        self._pending_bytes += size
        try:
            self._post(make_event(token))
            return await self._wait(token, call, wait_ms)
        finally:
            self._pending_bytes -= size
            if self._pending.pop(token, None) is not None:
                self._post(CallerGone(token))

    def _refusal_reason(self, size: int) -> str:
        if self._closed:
            return "this entry is stopping"
        if len(self._pending) >= self._cfg.max_pending:
            return "too many calls are waiting"
        if self._pending_bytes + size > self._cfg.max_pending_bytes:
            return "the bodies of waiting calls have reached their memory limit"
        return ""

    async def _wait(self, token: str, call: PendingCall, wait_ms: int) -> CallResult:
        done, _ = await asyncio.wait([call.future], timeout=wait_ms / 1_000)
        if not done:
            return call.last_state
        result = call.future.result()
        if not isinstance(result, ReplyAccepted):
            del self._pending[token]
        return result

    def resolve(self, token: str, reply: Effect) -> None:
        """Pass a reply to its call, if that still waits."""
        call = self._pending.get(token)
        if call is None or call.future.done():
            self._metrics.count_orphan_reply()
            return
        if isinstance(reply, ReplyAccepted) and call.until_final:
            call.last_state = Waiting(reply.state, reply.explanation)
            return
        call.future.set_result(reply)

    async def close(self, timeout_ms: int) -> None:
        """End all waits and give the calls at most `timeout_ms` to answer their callers."""
        self._closed = True
        for call in self._pending.values():
            if not call.future.done():
                call.future.set_result(EntryStopped())
        deadline = asyncio.get_running_loop().time() + timeout_ms / 1_000
        while self._pending and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.01)
