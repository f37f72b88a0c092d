"""JSON log lines, written without blocking and limited in rate."""

import os
import traceback
from typing import Any

import attrs
import orjson
from fescuecrank_core.clock import Clock
from fescuecrank_scheduler.validation import describe

# Limit for each event; suppressed lines are counted, and the next line reports their number.
MAX_LINES_PER_SECOND = 40

# Events exempt from the limit: they are rare and report changes in the state of the process.
UNLIMITED_EVENTS = frozenset(
    {
        "started",
        "stopping",
        "stopped",
        "settings_reloaded",
        "config_in_force",
        "leadership_claimed",
        "leadership_started",
        "leadership_ended",
        "leadership_resigned",
        "claim_lost",
        "store_lost",
        "store_regained",
        "wave_completed",
    }
)

# Log lines of decisions that rest on the configuration; they say which version, and its age.
CONFIG_DECISIONS = frozenset(
    {
        "job_refused",
        "machine_move",
        "maintenance_ordered",
        "request_forwarded",
        "request_rejected",
        "request_stored",
        "runs_planned",
        "start_refused",
    }
)


# Characters of an event that are written to the log when it failed.
MAX_LOGGED_INPUT = 300


def describe_failure(step: str, item: object, exc: Exception) -> dict[str, Any]:
    """Return the log fields of an unexpected error: the step, its peer, its input and its place."""
    text = _representation(item)
    place = traceback.extract_tb(exc.__traceback__)[-1]
    return {
        "step": step,
        "peer": str(getattr(item, "worker", "")),
        "error": _representation(exc),
        "at": f"{place.filename.rsplit('/', 1)[-1]}:{place.lineno}",
        "input_size": len(text),
        "input": text[:MAX_LOGGED_INPUT],
    }


def _representation(item: object) -> str:
    try:
        return repr(item)
    except RecursionError:
        return f"{type(item).__name__}, nested too deeply to be shown"


def _encode(line: dict[str, Any]) -> bytes:
    """Return a line as JSON; a value that JSON cannot hold is replaced by a description."""
    try:
        return orjson.dumps(line, default=str)
    except orjson.JSONEncodeError:
        return orjson.dumps({key: _encodable(value) for key, value in line.items()})


def _encodable(value: Any) -> Any:
    try:
        orjson.dumps(value)
    except orjson.JSONEncodeError:
        return describe(value)
    return value


@attrs.define
class EventBudget:
    """Lines of one event: written in the current second, and suppressed since the last line."""

    second: int = -1
    written: int = 0
    suppressed: int = 0


class JsonLineLogger:
    """Writes JSON lines to a file descriptor; drops and counts lines that would block."""

    def __init__(self, clock: Clock, node: str, fd: int = 1) -> None:
        self._clock = clock
        self._node = node
        self._fd = fd
        self._budgets: dict[str, EventBudget] = {}
        self._unsent = b""
        self.dropped = 0
        os.set_blocking(fd, False)

    def write(self, event: str, fields: dict[str, Any]) -> None:
        """Write one line unless its event is over the limit of the current second."""
        now = self._clock.now()
        budget = self._budgets.setdefault(event, EventBudget())
        if budget.second != now.mono_ms // 1_000:
            budget.second, budget.written = now.mono_ms // 1_000, 0
        if budget.written >= MAX_LINES_PER_SECOND and event not in UNLIMITED_EVENTS:
            budget.suppressed += 1
            return
        budget.written += 1
        line = fields | {"ms": now.wall_ms, "node": self._node, "event": event}
        if budget.suppressed:
            line["left_out"], budget.suppressed = budget.suppressed, 0
        self._send(_encode(line) + b"\n")

    def _send(self, line: bytes) -> None:
        if self._unsent:
            # Finish a partially written line before the next one.
            self._unsent = self._unsent[self._write(self._unsent) :]
            if self._unsent:
                self.dropped += 1
                return
        self._unsent = line[self._write(line) :]
        if len(self._unsent) == len(line):
            self.dropped += 1
            self._unsent = b""

    def _write(self, data: bytes) -> int:
        try:
            return os.write(self._fd, data)
        except OSError:
            # The reader is slow or has closed the pipe; `_send` counts the line in `dropped`.
            return 0
