"""What a soak reports: a summary, and after violations its time line and the affected jobs."""

from collections.abc import Iterable

import orjson
from fescuecrank_service.log_lines import UNLIMITED_EVENTS

MAX_REPORTED_JOBS = 4
MAX_LOG_LINES = 80


def summary(soak) -> list[str]:
    """Return what was done, in a few lines."""
    jobs, tasks = soak.ledger.jobs.values(), soak.ledger.tasks.values()
    accepted = sum(job.accepted_ms is not None for job in jobs)
    crashed = [record.crashes for record in tasks if record.crashes]
    head = (
        f"seed {soak.seed}: {len(jobs)} jobs, {accepted} accepted, "
        f"{sum(job.refused for job in jobs)} refused, "
        f"{sum(crashed)} crashes under {len(crashed)} tasks, "
        f"appends of requests in {soak.store.intake_append_ms} ms, "
        f"longest delay of the soak {soak.largest_lag_ms} ms, "
        f"{len(soak.violations)} violations"
    )
    lines = [head]
    for title, counter in (
        ("injected", soak.injected),
        ("hit", soak.hits),
        ("ends", soak.ledger.ended),
        ("checked", soak.ledger.checked),
    ):
        rows = ", ".join(f"{name} {number}" for name, number in sorted(counter.items()))
        lines.append(f"{title}: {rows}")
    return lines


def early_losses(soak) -> list[str]:
    """Return the workers whose runs a leader gave up as their lease was over, before it was.

    A second run may start in the time between, which few tasks hit. Runs that the worker lost in a
    restart do not count.
    """
    lines = []
    for entry in soak.entries:
        text = entry.log_path.read_text(errors="replace") if entry.log_path.exists() else ""
        for line in text.splitlines():
            if '"runs_lost"' not in line or '"lease_over"' not in line:
                continue
            lost = orjson.loads(line)
            for cut in soak.ledger.cut_leases:
                early_ms = cut.lease_end_ms - lost["ms"]
                within = cut.since_ms < lost["ms"] < cut.until_ms
                runs = sorted(cut.runs.intersection(lost["ages_ms"]))
                if cut.worker == lost["worker"] and within and early_ms > 0 and runs:
                    lines.append(f"{early_ms} ms too early, {entry.name}, {runs}: {line}")
    return lines


def report(soak, verbose: bool = False) -> str:
    """Return a summary; after violations also the time line, affected jobs and log lines."""
    lines = summary(soak)
    early = early_losses(soak)
    lines += [f"runs given up before the end of a lease: {len(early)}", *early]
    if soak.violations or early or verbose:
        lines += soak.timeline
        named = [job for job in soak.ledger.jobs if any(job in text for text in soak.violations)]
        for job in named[:MAX_REPORTED_JOBS]:
            lines += [f"job {job}:", *soak.ledger.history(job), *_logged(soak, (job,))]
        lines += ["workers:", *(_describe(server) for server in soak.workers)]
        lines += ["processes and leaders:", *_logged(soak, UNLIMITED_EVENTS)]
        lines.append(f"logs of the entries: {soak.folder}")
    return "\n".join(lines)


def _describe(server) -> str:
    """Return what a worker runs, and whether it is cut off."""
    runs = [f"{run.task.label} run {run.run}" for run in server.worker.runs.values()]
    state = "up" if server.worker.alive else "down"
    disturbed = ", disturbed" if server.proxy.disturbed else ""
    return f"{server.worker.id} {state}{disturbed}, {server.cpu} of CPU: {', '.join(runs)}"


def _logged(soak, texts: Iterable[str]) -> list[str]:
    """Return the log lines that contain one of some texts, by time."""
    lines = []
    for entry in soak.entries:
        for line in entry.log_path.read_text(errors="replace").splitlines():
            _, _, time = line.partition('"ms":')
            if time and any(text in line for text in texts):
                lines.append((time[:13], line))
    return [line for _, line in sorted(lines)[-MAX_LOG_LINES:]]
