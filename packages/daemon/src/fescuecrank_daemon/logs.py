"""Structured logs as JSON lines on one stream, without secrets."""

import logging
from collections.abc import MutableMapping
from typing import Any, TextIO

import orjson
import structlog
from structlog.typing import FilteringBoundLogger, WrappedLogger

from fescuecrank_daemon.settings import LoggingSettings

SECRET_FIELDS = frozenset(
    {"secret", "shared_key", "authorization", "password", "token", "salt", "digest", "key"}
)
HIDDEN = "(hidden)"

# Libraries log through the module `logging`; below this level they only duplicate the daemon's own
# log lines.
LIBRARY_LEVEL = logging.ERROR


def hide_secrets(
    _: WrappedLogger, __: str, fields: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Replace the values of fields whose names denote secrets."""
    for name in SECRET_FIELDS & fields.keys():
        fields[name] = HIDDEN
    return fields


def _to_json(fields: Any, **_: Any) -> str:
    return orjson.dumps(fields, default=str).decode()


# Tracebacks omit local variables, because events among them contain callers' keys.
TRACEBACKS = structlog.processors.ExceptionRenderer(
    structlog.tracebacks.ExceptionDictTransformer(show_locals=False)
)

PROCESSORS = [
    structlog.processors.add_log_level,
    structlog.processors.TimeStamper(fmt="iso", utc=True),
    TRACEBACKS,
    hide_secrets,
    structlog.processors.JSONRenderer(serializer=_to_json),
]


def make_logger(cfg: LoggingSettings, stream: TextIO, entry: str) -> FilteringBoundLogger:
    """Return the logger of one entry; it shares no state with those of other entries."""
    level = logging.getLevelNamesMapping()[cfg.level.value.upper()]
    log = structlog.wrap_logger(
        structlog.PrintLogger(stream),
        processors=PROCESSORS,
        wrapper_class=structlog.make_filtering_bound_logger(level),
    )
    return log.bind(entry=entry)


class LibraryHandler(logging.Handler):
    """Forwards log records of libraries to the structured log."""

    def __init__(self, log: FilteringBoundLogger) -> None:
        super().__init__(LIBRARY_LEVEL)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record; its text is truncated, as it may quote received data."""
        cause = record.exc_info[1] if record.exc_info else None
        self._log.error(
            "library_message",
            library=record.name,
            text=record.getMessage()[:200],
            cause=type(cause).__name__ if cause else "",
        )


def route_library_logs(log: FilteringBoundLogger) -> None:
    """Send the log lines of all libraries in this process to `log`."""
    root = logging.getLogger()
    root.handlers[:] = [LibraryHandler(log)]
    root.setLevel(LIBRARY_LEVEL)
