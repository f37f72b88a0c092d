"""Calls that wait for a reply of the reducer, held outside it under reply tokens."""

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

from fescuecrank_daemon.metrics import ShellMetrics
from fescuecrank_daemon.settings import HttpSettings

ReplyEffect = Reply | ReplyFailure | ReplyAccepted | ReplyView | ReplyVerdict


@attrs.frozen
class Waiting:
    """No final reply within the wait; `state` and `explanation` are as last heard, or empty."""

    state: str = ""
    explanation: str = ""


@attrs.frozen
class ProcessEnded:
    """The process ends before the reducer replied."""


CallResult = ReplyEffect | Waiting | ProcessEnded


@attrs.define(eq=False)
class PendingCall:
    """One waiting call. With `until_final`, `ReplyAccepted` is noted and the wait goes on."""

    fut: asyncio.Future
    until_final: bool
    noted: Waiting = Waiting()


class Exchange:
    """Gives events their reply tokens and replies their callers."""

    def __init__(
        self, entry: str, cfg: HttpSettings, post: Callable[[Event], None], metrics: ShellMetrics
    ) -> None:
        self._prefix = entry
        self._cfg = cfg
        self._post = post
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._pending: dict[str, PendingCall] = {}
        self._bytes = 0
        self._closed = False

    def __len__(self) -> int:
        return len(self._pending)

    async def ask(
        self, make_event: Callable[[str], Event], wait_ms: int, until_final: bool, size: int = 0
    ) -> CallResult:
        """Post the event made for a new token and wait at most `wait_ms` for its reply.

        `size` is that of the call's body in bytes. Cancelling the wait tells the reducer that the
        caller is gone; the call itself goes on.
        """
        refusal = self._refusal(size)
        if refusal:
            return ReplyFailure("", Failure(FailureKind.OVERLOADED, "http.admit", "", refusal))
        token = f"{self._prefix}-{next(self._numbers)}"
        call = PendingCall(asyncio.get_running_loop().create_future(), until_final)
        self._pending[token] = call
        self._bytes += size
        try:
            self._post(make_event(token))
            return await self._wait(token, call, wait_ms)
        finally:
            self._bytes -= size
            if self._pending.pop(token, None) is not None:
                self._post(CallerGone(token))

    def _refusal(self, size: int) -> str:
        if self._closed:
            return "this entry is stopping"
        if len(self._pending) >= self._cfg.max_pending:
            return "too many calls wait here"
        if self._bytes + size > self._cfg.max_pending_bytes:
            return "the bodies of waiting calls fill the memory set aside for them"
        return ""

    async def _wait(self, token: str, call: PendingCall, wait_ms: int) -> CallResult:
        done, _ = await asyncio.wait([call.fut], timeout=wait_ms / 1_000)
        if not done:
            return call.noted
        result = call.fut.result()
        if not isinstance(result, ReplyAccepted):
            del self._pending[token]
        return result

    def resolve(self, token: str, reply: Effect) -> None:
        """Hand a reply to its caller, if it still waits."""
        call = self._pending.get(token)
        if call is None or call.fut.done():
            self._metrics.orphan_reply()
            return
        if isinstance(reply, ReplyAccepted) and call.until_final:
            call.noted = Waiting(reply.state, reply.explanation)
            return
        call.fut.set_result(reply)

    async def close(self, patience_ms: int) -> None:
        """End all waits and give the callers' connections a moment to be written."""
        self._closed = True
        for call in self._pending.values():
            if not call.fut.done():
                call.fut.set_result(ProcessEnded())
        deadline = asyncio.get_running_loop().time() + patience_ms / 1_000
        while self._pending and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.01)
