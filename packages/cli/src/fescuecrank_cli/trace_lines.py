"""Finds what the logs of several entries say of one job, in order, and what they leave out."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import attrs
import orjson

# Events that concern every job: they explain why nothing happened to one of them for a while.
CONTEXT = frozenset(
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
class Line:
    """One log line; `ms` is the wall clock of the process that wrote it."""

    ms: int
    node: str
    event: str
    fields: dict[str, Any]
    about_job: bool


@attrs.frozen
class Trace:
    """The lines that concern a job, and what is missing among them."""

    lines: tuple[Line, ...]
    missing: tuple[str, ...]


def read_lines(text: str, job: str) -> Iterable[Line]:
    """Yield the lines about `job` and those about its surroundings.

    Text before the first brace of a line is ignored, so that collected logs with a prefix can be
    read; lines that are no JSON are skipped.
    """
    for raw in text.splitlines():
        start = raw.find("{")
        about = job in raw
        if start < 0 or not (about or any(event in raw for event in CONTEXT)):
            continue
        try:
            plain = orjson.loads(raw[start:])
            line = Line(plain.pop("ms"), plain.pop("node"), plain.pop("event"), plain, about)
        except (ValueError, KeyError, TypeError, AttributeError):
            continue
        if about or line.event in CONTEXT:
            yield line


def trace(job: str, files: Iterable[Path]) -> Trace:
    """Return the lines about a job in all files; `OSError` if a file cannot be read."""
    lines = [line for file in files for line in read_lines(file.read_text(), job)]
    own = [line for line in lines if line.about_job]
    if not own:
        return Trace((), (f"no file has a line about {job}",))
    first, last = min(line.ms for line in own), max(line.ms for line in own)
    context = [line for line in lines if not line.about_job and first <= line.ms <= last]
    ordered = sorted(own + context, key=lambda line: line.ms)
    return Trace(tuple(ordered), tuple(_missing(own)))


def _missing(own: list[Line]) -> Iterable[str]:
    events = {line.event for line in own}
    if not events & {"request_stored", "job_refused"}:
        yield "the entry that took the job: its log is not among the files, or it lost power"
    stored = [line for line in own if line.event == "request_stored"]
    if any(line.fields.get("result") == "unknown" for line in stored):
        yield "the outcome of an append: the store did not answer; a later line tells if it held"
    if "job_refused" not in events and "job_ended" not in events:
        yield "the end of the job: it is open, or its last leader's log is not among the files"
    if any("left_out" in line.fields for line in own):
        yield "lines that were left out to bound the volume; `left_out` counts them"
