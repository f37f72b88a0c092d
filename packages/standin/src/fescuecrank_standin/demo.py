"""Demo: a deployment on loopback under load, with maintenance, changes and lost entries.

It ends with a table of the measured figures and their bounds.
"""

import asyncio
import contextlib
import sys
import time
from pathlib import Path
from typing import Annotated

import attrs
import typer
from fescuecrank_cli.answers import RequestReport
from fescuecrank_cli.client import Submission, new_record_id
from fescuecrank_cli.ids import uuid7
from fescuecrank_cli.key_material import NewKey
from fescuecrank_core.declarations import Calendar, Fleet
from fescuecrank_core.errors import FailureKind
from fescuecrank_core.loader import load_fleet
from fescuecrank_core.requests import Outcome
from fescuecrank_daemon.logs import make_logger, route_library_logs
from fescuecrank_daemon.settings import LoggingSettings
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from fescuecrank_standin.deployment import Deployment, SentRequest, running_deployment
from fescuecrank_standin.load_generator import LoadGenerator, LoadPattern
from fescuecrank_standin.observed import request_body
from fescuecrank_standin.property_checker import IN_FORCE_MS, PropertyChecker
from fescuecrank_standin.topology import TOPOLOGIES

DEMO_CALENDAR = "demo"
REBOOT_MS = 400
LOAD_DURATION_MS = 20_000
PROBE_INTERVAL_MS = 100
# Longer than the limit, so that an entry that accepts the key too late is detected.
PROBE_DURATION_MS = IN_FORCE_MS + 500
STATUS_POLL_MS = 500
# The wave ends well before; only a wave that hangs takes this long.
WAVE_TIMEOUT_MS = 120_000
WAVE_ID = "demo-wave"

# Pools whose bursts come last. A wave that starts during a burst of its own pool waits until the
# mean load over several minutes falls, which takes longer than the demo.
WAVE_POOLS = {"hoang-long": ("hoist", "truss"), "halvorsen": ("quoting", "yard")}

EXIT_VIOLATION = 1

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


class ProgressDisplay:
    """Prints events with the time since the start, on a terminal with a progress bar below them."""

    def __init__(self, console: Console, checker: PropertyChecker) -> None:
        self._console = console
        self._checker = checker
        self._started = time.monotonic()
        columns = TextColumn("{task.description}"), BarColumn(), TextColumn("{task.completed}")
        self._progress = Progress(*columns, TimeElapsedColumn(), console=console, transient=True)
        self._bar = self._progress.add_task("requests answered", total=None)

    def __enter__(self) -> "ProgressDisplay":
        if self._console.is_terminal:
            self._progress.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._progress.stop()

    def print_event(self, text: str) -> None:
        """Print a line with the time since the start."""
        self._console.print(f"{time.monotonic() - self._started:6.1f} s  {text}", highlight=False)

    def update(self) -> None:
        """Show how many requests have been reported on."""
        checker = self._checker
        self._progress.update(
            self._bar, completed=len(checker.reports), total=len(checker.requests)
        )


@attrs.define
class Measurements:
    """Figures measured by the demo: times in milliseconds, refused probes, progress of the wave."""

    in_force_ms: list[int] = attrs.field(factory=list)
    key_refused_ms: int = 0
    refused_probes: int = 0
    wave: str = "not finished"


@attrs.define
class ProbeResult:
    """How one entry treated a key over the probes sent to it, in monotonic time.

    `last_used_ms` is when the last accepted probe was sent, `first_refused_ms` when the first
    refusal arrived, or the end of the probes if none did.
    """

    entry: str
    first_refused_ms: int
    last_used_ms: int = 0
    refusals: int = 0


class Demo:
    """One run of the demo on a deployment that is already started."""

    def __init__(self, deployment: Deployment, display: ProgressDisplay, seed: int) -> None:
        self._deployment = deployment
        self._display = display
        self._seed = seed
        self.measurements = Measurements()

    async def run(self) -> None:
        """Apply the declarations, then run the load and the disruptions, and check all requests."""
        deployment, fleet = self._deployment, self._deployment.fleet
        self._display.print_event(f"{len(deployment.entries)} entries are members")
        await self._apply(fleet)
        await deployment.wait_for_cells()
        self._display.print_event(
            f"{len(deployment.workers)} workers in {len(fleet.pools)} pools serve"
        )
        keys = await self._grant_keys(fleet)
        load = LoadGenerator(
            deployment, {team: key.secret for team, key in keys.items()}, LoadPattern(), self._seed
        )
        poller = asyncio.create_task(self._poll_statuses())
        try:
            await asyncio.gather(load.run(LOAD_DURATION_MS), self._disrupt(load, keys))
            self._display.print_event("no more requests are sent; waiting for the outcomes")
            await load.wait_for_outcomes()
            await self._wait_for_wave()
        finally:
            poller.cancel()
            await asyncio.gather(poller, return_exceptions=True)
        deployment.checker.check_requests()

    async def _apply(self, fleet: Fleet) -> None:
        publication = await self._deployment.apply(fleet)
        took_ms = await self._deployment.wait_in_force(publication)
        self.measurements.in_force_ms.append(took_ms)
        self._deployment.checker.check_in_force("configuration", took_ms)
        self._display.print_event(f"declarations in force on all entries after {took_ms} ms")

    async def _grant_keys(self, fleet: Fleet) -> dict[str, NewKey]:
        granted = await asyncio.gather(*(self._deployment.grant(team) for team in fleet.teams))
        self._display.print_event(f"{len(granted)} teams have keys")
        return dict(zip(fleet.teams, granted, strict=True))

    async def _poll_statuses(self) -> None:
        while True:
            await self._deployment.poll_statuses()
            self._display.update()
            await asyncio.sleep(STATUS_POLL_MS / 1_000)

    # Disruptions under load

    async def _disrupt(self, load: LoadGenerator, keys: dict[str, NewKey]) -> None:
        await asyncio.sleep(1)
        await self._start_wave()
        await self._withdraw_key(load, keys)
        await self._change_shares()
        await self._replace_entry()
        await self._kill_entry()

    async def _start_wave(self) -> None:
        pools = WAVE_POOLS[self._deployment.topology.name]
        operator = self._deployment.operator()
        published = await operator.start_wave(WAVE_ID, pools, new_record_id())
        self._display.print_event(f"wave over {' and '.join(pools)}: {published.unwrap().verdict}")

    async def _withdraw_key(self, load: LoadGenerator, keys: dict[str, NewKey]) -> None:
        team = max(keys, key=lambda name: self._deployment.fleet.teams[name].share)
        old, new = keys[team], await self._deployment.grant(team)
        load.set_key(team, new.secret)
        probes = [
            asyncio.create_task(self._probe(name, team, old.secret, new.secret))
            for name in self._deployment.entries
        ]
        publication = await self._deployment.withdraw(old)
        stored_ms = self._deployment.log.stored_ms(publication.offset)
        self._display.print_event(f"a key of {team} is withdrawn; every entry is probed with it")
        results = await asyncio.gather(*probes)
        for result in results:
            used_ms = result.last_used_ms - stored_ms
            self._deployment.checker.check_key_use(result.entry, used_ms)
        self.measurements.key_refused_ms = (
            max(result.first_refused_ms for result in results) - stored_ms
        )
        self.measurements.refused_probes = sum(result.refusals for result in results)
        self._display.print_event(f"refused everywhere after {self.measurements.key_refused_ms} ms")

    async def _probe(self, entry: str, team: str, secret: str, next_secret: str) -> ProbeResult:
        """Send requests with a key to one entry, at intervals, for `PROBE_DURATION_MS`.

        `next_secret` is the key for querying the outcome of probes that were accepted.
        """
        deployment = self._deployment
        client = deployment.client(secret, [entry])
        service = next(iter(deployment.fleet.services))
        result = ProbeResult(entry, first_refused_ms=_now_ms() + PROBE_DURATION_MS)
        until_ms = _now_ms() + PROBE_DURATION_MS
        while _now_ms() < until_ms:
            request = SentRequest(uuid7(), team, service, request_body(20, "probe"))
            deployment.checker.record_request(request)
            sent_ms = _now_ms()
            submission = Submission(service, request.request_id, request.body, idempotent=True)
            sent = await client.submit(submission, 0)
            report = sent.ok_value if sent.is_ok() else None
            deployment.checker.record_report(request.request_id, report)
            if _was_accepted(report):
                result.last_used_ms = sent_ms
                await deployment.query_outcome(request.request_id, next_secret)
            elif report is not None and report.kind is FailureKind.UNAUTHORIZED:
                result.first_refused_ms = min(result.first_refused_ms, _now_ms())
                result.refusals += 1
            await asyncio.sleep(PROBE_INTERVAL_MS / 1_000)
        return result

    async def _change_shares(self) -> None:
        fleet = self._deployment.fleet
        name, team = max(fleet.teams.items(), key=lambda item: item[1].share)
        changed = fleet.with_change("teams", name, attrs.evolve(team, share=team.share + 1))
        self._deployment.fleet = changed
        await self._apply(changed)

    async def _entries_by_cell_count(self) -> list[str]:
        """Return the entries, those that hold the most cells first."""
        statuses = await self._deployment.poll_statuses()
        return sorted(statuses, key=lambda name: -len(statuses[name]["cells"]))

    async def _replace_entry(self) -> None:
        name = (await self._entries_by_cell_count())[0]
        self._display.print_event(f"planned stop of {name}")
        status = await self._deployment.replace_entry(name)
        self._display.print_event(f"{name} ended with status {status} and was replaced")

    async def _kill_entry(self) -> None:
        name = (await self._entries_by_cell_count())[0]
        await self._deployment.kill_entry(name)
        self._display.print_event(f"{name} was killed")
        await self._deployment.wait_for_status(
            f"removal of {name}",
            lambda status: name not in {member["name"] for member in status["members"]},
        )
        self._display.print_event(f"{name} was removed from the members")
        await self._deployment.start_entry(name)
        await self._deployment.wait_for_members([name])
        self._display.print_event(f"{name} was started again and has joined")

    async def _wait_for_wave(self) -> None:
        operator = self._deployment.operator()
        deadline_ms = _now_ms() + WAVE_TIMEOUT_MS
        while _now_ms() < deadline_ms:
            waves = await operator.waves()
            for wave in waves.ok_value["waves"] if waves.is_ok() else ():
                self.measurements.wave = f"{wave['done']} of {wave['total']} instances"
                if wave["finished"]:
                    self._display.print_event(f"the wave has maintained {self.measurements.wave}")
                    return
            await asyncio.sleep(0.2)


def _was_accepted(report: RequestReport | None) -> bool:
    return report is not None and report.outcome is not Outcome.NOT_RUN


@attrs.frozen
class ResultRow:
    """One row of the result table; `limit` is None for a figure without a bound."""

    name: str
    value: int
    limit: int | None = None
    unit: str = ""

    @property
    def is_within_limit(self) -> bool:
        """Whether the value is within its bound; true without a bound."""
        return self.limit is None or self.value <= self.limit


def result_rows(checker: PropertyChecker, measurements: Measurements) -> list[ResultRow]:
    """Return the rows for a run that has ended."""
    counts, violations = checker.outcome_counts(), checker.violation_counts()
    runs = checker.run_counts()
    twice = sum(runs[r.request_id] > 1 for r in checker.requests.values() if not r.idempotent)
    answered = counts[Outcome.DONE] + counts[Outcome.FAILED]
    return [
        ResultRow("requests answered", answered),
        ResultRow(
            "requests refused, not run", counts[Outcome.NOT_RUN] - measurements.refused_probes
        ),
        ResultRow("uses of the withdrawn key refused", measurements.refused_probes),
        ResultRow("requests with unknown outcome", counts[Outcome.UNKNOWN]),
        ResultRow("requests lost", counts["lost"], 0),
        ResultRow("requests run twice that must not", twice, 0),
        ResultRow("refusals of requests that ran", violations.get("P6", 0), 0),
        ResultRow("limit violations", violations.get("P4", 0), 0),
        ResultRow("budget violations", violations.get("P1", 0), 0),
        ResultRow("pool violations", violations.get("P2", 0), 0),
        ResultRow("interrupted by a planned stop", violations.get("P9", 0), 0),
        ResultRow("wrong answers", violations.get("P5", 0) - counts["lost"], 0),
        ResultRow(
            "configuration in force everywhere",
            max(measurements.in_force_ms),
            IN_FORCE_MS,
            "ms",
        ),
        ResultRow(
            "withdrawn key refused everywhere", measurements.key_refused_ms, IN_FORCE_MS, "ms"
        ),
    ]


def result_table(results: list[ResultRow], measurements: Measurements) -> Table:
    """Return the table that is printed at the end of the demo."""
    table = Table("measure", "value", "at most", "")
    for row in results:
        limit = "" if row.limit is None else f"{row.limit} {row.unit}".strip()
        verdict = "" if row.limit is None else ("ok" if row.is_within_limit else "BROKEN")
        table.add_row(row.name, f"{row.value} {row.unit}".strip(), limit, verdict)
    table.add_row("maintained by the wave", measurements.wave, "", "")
    return table


def demo_fleet(name: str) -> Fleet:
    """Return the declarations of an example with a calendar that has no special days.

    The calendars of the examples forbid maintenance on some days; the demo must run on any day.
    """
    fleet = load_fleet(TOPOLOGIES[name].fleet_folder).unwrap()
    fleet = fleet.with_change("calendars", DEMO_CALENDAR, Calendar(DEMO_CALENDAR))
    for pool in fleet.pools.values():
        fleet = fleet.with_change("pools", pool.name, attrs.evolve(pool, calendar=DEMO_CALENDAR))
    return fleet


async def run_demo(
    name: str, entries: int, seed: int, console: Console, log_file: Path | None = None
) -> bool:
    """Run the demo and print its table; return whether all properties and bounds held."""
    deployment = Deployment(TOPOLOGIES[name], demo_fleet(name), entries, REBOOT_MS)
    # Libraries log the calls that a killed entry leaves pending; these lines go to the same output.
    route_library_logs(make_logger(LoggingSettings(), deployment.log_output, "demo"))
    try:
        return await _run_demo(deployment, seed, console)
    finally:
        if log_file is not None:
            log_file.write_text(deployment.log_output.getvalue())


async def _run_demo(deployment: Deployment, seed: int, console: Console) -> bool:
    name, entries = deployment.topology.name, len(deployment.entry_names)
    with ProgressDisplay(console, deployment.checker) as display:
        display.print_event(f"{name} with {entries} entries and {len(deployment.workers)} workers")
        async with running_deployment(deployment, apply_declarations=False):
            demo = Demo(deployment, display, seed)
            await demo.run()
    results = result_rows(deployment.checker, demo.measurements)
    console.print(result_table(results, demo.measurements))
    for violation in deployment.checker.violations:
        console.print(str(violation), markup=False)
    return not deployment.checker.violations and all(row.is_within_limit for row in results)


@app.command()
def main(
    deployment: Annotated[
        str, typer.Option(help="Example to run: hoang-long or halvorsen.")
    ] = "hoang-long",
    entries: Annotated[int, typer.Option(min=3, max=9, help="Number of entries.")] = 8,
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    log_file: Annotated[
        Path | None, typer.Option(help="File for the log lines of the entries.")
    ] = None,
) -> None:
    """Run a deployment on loopback under load and print the measured figures."""
    if deployment not in TOPOLOGIES:
        raise typer.BadParameter(
            f"unknown deployment {deployment!r}; known: {', '.join(TOPOLOGIES)}"
        )
    with contextlib.suppress(KeyboardInterrupt):
        passed = asyncio.run(run_demo(deployment, entries, seed, Console(), log_file))
        sys.exit(0 if passed else EXIT_VIOLATION)


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


if __name__ == "__main__":
    app()
