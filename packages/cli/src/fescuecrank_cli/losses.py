"""Why jobs ended late, from the logs of all entries.

The largest part of each late job's time decides: without a leader, without room in its pool, with
work that was lost and done again, or none of these.
"""

import enum
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path

import attrs

from fescuecrank_cli.trace_lines import LogLine, parse_line

WINDOW_MS = 2_000

# Events that only a leader logs, and about every 20 ms while there is work.
LEADER_EVENTS = frozenset({"runs_planned", "job_ended", "run_ended", "machine_move"})

# A shorter time without lines of a leader is no change of leader.
MIN_GAP_MS = 200

# How runs end whose work has to be done again.
LOST_RUNS = frozenset({"lapsed", "failed", "refused", "withdrawn"})


class Cause(enum.StrEnum):
    """Why a job was late."""

    NO_LEADER = "no_leader"
    NO_ROOM = "no_room"
    LOST_WORK = "lost_work"
    OTHER = "other"


@attrs.define
class Window:
    """Jobs of one pool that were accepted within `WINDOW_MS`."""

    in_time: int = 0
    late: Counter = attrs.field(factory=Counter)


@attrs.frozen
class Losses:
    """Windows by pool and start in wall-clock ms, and the refusals by reason."""

    windows: dict[tuple[str, int], Window]
    refused: Counter
    # Lines that the entries left out to limit the volume; their jobs are not counted.
    left_out: int


def read_lines(files: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the log lines of all files; `OSError` if a file cannot be read."""
    for file in files:
        for raw in file.read_text(errors="replace").splitlines():
            line = parse_line(raw)
            if line is not None:
                yield line


def compute_losses(lines: Iterable[LogLine]) -> Losses:
    """Attribute each late job to a cause."""
    ordered = sorted(lines, key=lambda line: line.ms)
    gaps = _leaderless_times(ordered)
    by_job: dict[str, list[LogLine]] = {}
    refused: Counter = Counter()
    for line in ordered:
        if line.event == "job_refused":
            refused[str(line.fields.get("reason"))] += 1
        job = line.fields.get("job") or str(line.fields.get("task", "")).split(".")[0]
        if job:
            by_job.setdefault(str(job), []).append(line)
    windows: dict[tuple[str, int], Window] = {}
    for job_lines in by_job.values():
        ended = next((line for line in job_lines if line.event == "job_ended"), None)
        if ended is None or "age_ms" not in ended.fields:
            continue
        accepted_ms = ended.ms - ended.fields["age_ms"]
        start_ms = accepted_ms - accepted_ms % WINDOW_MS
        window = windows.setdefault((ended.fields["pool"], start_ms), Window())
        if ended.fields["age_ms"] <= ended.fields["objective_ms"]:
            window.in_time += 1
        else:
            window.late[_cause(job_lines, accepted_ms, ended.ms, gaps)] += 1
    left_out = sum(line.fields.get("left_out", 0) for line in ordered if line.event == "job_ended")
    return Losses(windows, refused, left_out)


def _leaderless_times(ordered: Iterable[LogLine]) -> list[tuple[int, int]]:
    """Return the intervals between the last line of a leader and the start of the next one."""
    gaps, active_ms = [], None
    for line in ordered:
        if line.event == "leadership_started":
            if active_ms is not None and line.ms - active_ms >= MIN_GAP_MS:
                gaps.append((active_ms, line.ms))
            active_ms = line.ms
        elif line.event in LEADER_EVENTS:
            active_ms = line.ms
    return gaps


def _cause(
    job_lines: list[LogLine], accepted_ms: int, ended_ms: int, gaps: list[tuple[int, int]]
) -> Cause:
    leaderless_ms = sum(
        max(0, min(end_ms, ended_ms) - max(start_ms, accepted_ms)) for start_ms, end_ms in gaps
    )
    waiting_ms = _time_without_room(job_lines)
    if max(leaderless_ms, waiting_ms) >= MIN_GAP_MS:
        return Cause.NO_LEADER if leaderless_ms > waiting_ms else Cause.NO_ROOM
    lost = any(
        line.event == "run_ended" and line.fields.get("how") in LOST_RUNS for line in job_lines
    )
    return Cause.LOST_WORK if lost else Cause.OTHER


def _time_without_room(job_lines: list[LogLine]) -> int:
    """Return for how long a ready step of a job waited for room, over all its steps."""
    waiting_since: dict[tuple[object, object], int] = {}
    total_ms = 0
    for line in job_lines:
        if line.event != "runs_planned":
            continue
        step = (line.fields.get("occurrence"), line.fields.get("step"))
        if line.fields.get("reason") == "no_room":
            waiting_since.setdefault(step, line.ms)
        elif step in waiting_since:
            total_ms += line.ms - waiting_since.pop(step)
    return total_ms


def render_losses(losses: Losses) -> Iterator[str]:
    """Yield the lines of a table, one for each pool and window."""
    header = ["pool", "from_ms", "in_time", *(cause.value for cause in Cause)]
    yield " ".join(f"{name:>12}" for name in header)
    for (pool, start_ms), window in sorted(losses.windows.items()):
        cells = [pool, start_ms, window.in_time, *(window.late[cause] for cause in Cause)]
        yield " ".join(f"{cell!s:>12}" for cell in cells)
    total: Counter = sum((window.late for window in losses.windows.values()), Counter())
    in_time = sum(window.in_time for window in losses.windows.values())
    cells = ["all", "", in_time, *(total[cause] for cause in Cause)]
    yield " ".join(f"{cell!s:>12}" for cell in cells)
    for reason, count in sorted(losses.refused.items()):
        yield f"refused, {reason}: {count}"
    if losses.left_out:
        yield f"not counted, as their lines were left out of the logs: {losses.left_out}"
