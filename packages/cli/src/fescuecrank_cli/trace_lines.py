"""Collects the lines about one job from the logs of several entries and lists what is missing."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import attrs
import orjson

# Events that affect every job: they explain why a job made no progress for a while.
CONTEXT_EVENTS = frozenset(
    {
        "leadership_claimed",
        "leadership_started",
        "leadership_ended",
        "leadership_resigned",
        "store_lost",
        "store_regained",
        "stream_lost",
        "stream_regained",
        "started",
        "stopping",
        "stopped",
    }
)


@attrs.frozen
class LogLine:
    """A log line; `node` is the entry that wrote it, and `ms` the wall clock of that entry.

    `about_job` is set if the line names the job.
    """

    ms: int
    node: str
    event: str
    fields: dict[str, Any]
    about_job: bool


@attrs.frozen
class Trace:
    """The log lines that concern a job, and descriptions of what is missing among them."""

    lines: tuple[LogLine, ...]
    missing: tuple[str, ...]


def parse_line(raw: str, about_job: bool = False) -> LogLine | None:
    """Return a log line, or None if it is not one.

    Text before the first brace is ignored, so that logs to which a collector added a prefix can be
    read.
    """
    start = raw.find("{")
    if start < 0:
        return None
    try:
        fields = orjson.loads(raw[start:])
        return LogLine(fields.pop("ms"), fields.pop("node"), fields.pop("event"), fields, about_job)
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def parse_lines(text: str, job: str) -> Iterable[LogLine]:
    """Yield the lines about `job` and the lines of context events; others are skipped."""
    for raw in text.splitlines():
        about_job = job in raw
        if not (about_job or any(event in raw for event in CONTEXT_EVENTS)):
            continue
        line = parse_line(raw, about_job)
        if line is not None and (about_job or line.event in CONTEXT_EVENTS):
            yield line


def build_trace(job: str, files: Iterable[Path]) -> Trace:
    """Return the lines about a job in all files in order; `OSError` if a file cannot be read."""
    lines = [line for file in files for line in parse_lines(file.read_text(), job)]
    job_lines = [line for line in lines if line.about_job]
    if not job_lines:
        return Trace((), (f"no file has a line about {job}",))
    first, last = min(line.ms for line in job_lines), max(line.ms for line in job_lines)
    context = [line for line in lines if not line.about_job and first <= line.ms <= last]
    ordered = sorted(job_lines + context, key=lambda line: line.ms)
    return Trace(tuple(ordered), tuple(_find_missing(job_lines)))


def _find_missing(job_lines: list[LogLine]) -> Iterable[str]:
    events = {line.event for line in job_lines}
    if not events & {"request_stored", "job_refused"}:
        yield "the entry that accepted the job: its log is not among the files, or it lost power"
    stored = [line for line in job_lines if line.event == "request_stored"]
    if any(line.fields.get("result") == "unknown" for line in stored):
        yield (
            "the outcome of an append: the store did not answer; a later line shows whether the "
            "record was stored"
        )
    if "job_refused" not in events and "job_ended" not in events:
        yield (
            "the end of the job: it is still open, or the log of its last leader is not among the "
            "files"
        )
    if any("left_out" in line.fields for line in job_lines):
        yield "lines that were dropped to limit the log volume; `left_out` counts them"
