"""A whole deployment on loopback under load, with maintenance and losses, and what it measured."""

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

from fescuecrank_standin.demand import Demand, Pace
from fescuecrank_standin.deployment import Asked, Deployment, running
from fescuecrank_standin.journal import IN_FORCE_MS, Journal
from fescuecrank_standin.observed import work_body
from fescuecrank_standin.sites import SITES

DEMO_CALENDAR = "demo"
REBOOT_MS = 400
DEMAND_MS = 20_000
PROBE_MS = 100
# Probes go on for longer than the bound, so that a late acceptance is seen.
PROBE_FOR_MS = IN_FORCE_MS + 500
WATCH_MS = 500
# Only a hang reaches it.
WAVE_LIMIT_MS = 120_000
WAVE_ID = "demo-wave"

# Pools whose bursts come last. A wave that begins in a burst of its own pool waits for the mean
# load over minutes to fall, which is longer than the demo.
WAVE_POOLS = {"hoang-long": ("hoist", "truss"), "halvorsen": ("quoting", "yard")}

EXIT_BROKEN = 1

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


class Screen:
    """Progress on a terminal, plain lines otherwise."""

    def __init__(self, console: Console, journal: Journal) -> None:
        self._console = console
        self._journal = journal
        self._started = time.monotonic()
        columns = TextColumn("{task.description}"), BarColumn(), TextColumn("{task.completed}")
        self._progress = Progress(*columns, TimeElapsedColumn(), console=console, transient=True)
        self._bar = self._progress.add_task("requests answered", total=None)

    def __enter__(self) -> "Screen":
        if self._console.is_terminal:
            self._progress.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._progress.stop()

    def say(self, text: str) -> None:
        """Tell what happens."""
        self._console.print(f"{time.monotonic() - self._started:6.1f} s  {text}", highlight=False)

    def update(self) -> None:
        """Show how many requests have an outcome."""
        journal = self._journal
        self._progress.update(self._bar, completed=len(journal.reports), total=len(journal.asked))


@attrs.define
class Measures:
    """Times that the demo measured, in milliseconds."""

    in_force_ms: list[int] = attrs.field(factory=list)
    refused_ms: int = 0
    probes_refused: int = 0
    wave: str = "not finished"


@attrs.define
class Probed:
    """What one entry did with a key: last use by the time it was sent, and first refusal."""

    entry: str
    refused_ms: int
    last_used_ms: int = 0
    refusals: int = 0


class Demo:
    """One run over a deployment that has been started."""

    def __init__(self, deployment: Deployment, screen: Screen, seed: int) -> None:
        self._deployment = deployment
        self._screen = screen
        self._seed = seed
        self.measures = Measures()

    async def run(self) -> None:
        """Put the declarations in force, run the load and everything that happens under it."""
        deployment, fleet = self._deployment, self._deployment.fleet
        self._screen.say(f"{len(deployment.members)} entries are members")
        await self._apply(fleet)
        await deployment.until_cells()
        self._screen.say(f"{len(deployment.workers)} workers in {len(fleet.pools)} pools serve")
        keys = await self._grant_keys(fleet)
        demand = Demand(
            deployment, {team: key.secret for team, key in keys.items()}, Pace(), self._seed
        )
        watcher = asyncio.create_task(self._watch())
        try:
            await asyncio.gather(demand.run(DEMAND_MS), self._disturb(demand, keys))
            self._screen.say("no more requests are sent; waiting for the outcomes")
            await demand.settle()
            await self._finish_wave()
        finally:
            watcher.cancel()
            await asyncio.gather(watcher, return_exceptions=True)
        deployment.journal.check_requests()

    async def _apply(self, fleet: Fleet) -> None:
        publication = await self._deployment.apply(fleet)
        took_ms = await self._deployment.in_force_ms(publication)
        self.measures.in_force_ms.append(took_ms)
        self._deployment.journal.note_in_force("configuration", took_ms)
        self._screen.say(f"declarations in force on all entries after {took_ms} ms")

    async def _grant_keys(self, fleet: Fleet) -> dict[str, NewKey]:
        granted = await asyncio.gather(*(self._deployment.grant(team) for team in fleet.teams))
        self._screen.say(f"{len(granted)} teams have keys")
        return dict(zip(fleet.teams, granted, strict=True))

    async def _watch(self) -> None:
        while True:
            await self._deployment.statuses()
            self._screen.update()
            await asyncio.sleep(WATCH_MS / 1_000)

    # What happens under load

    async def _disturb(self, demand: Demand, keys: dict[str, NewKey]) -> None:
        await asyncio.sleep(1)
        await self._start_wave()
        await self._withdraw_key(demand, keys)
        await self._change_shares()
        await self._replace_entry()
        await self._kill_entry()

    async def _start_wave(self) -> None:
        pools = WAVE_POOLS[self._deployment.site.name]
        operator = self._deployment.operator()
        done = await operator.start_wave(WAVE_ID, pools, new_record_id())
        self._screen.say(f"wave over {' and '.join(pools)}: {done.unwrap().verdict}")

    async def _withdraw_key(self, demand: Demand, keys: dict[str, NewKey]) -> None:
        team = max(keys, key=lambda name: self._deployment.fleet.teams[name].share)
        old, new = keys[team], await self._deployment.grant(team)
        demand.use_key(team, new.secret)
        probes = [
            asyncio.create_task(self._probe(name, team, old.secret, new.secret))
            for name in self._deployment.members
        ]
        publication = await self._deployment.withdraw(old)
        stored_ms = self._deployment.log.stored_ms(publication.offset)
        self._screen.say(f"a key of {team} is withdrawn; trying it on every entry")
        probed = await asyncio.gather(*probes)
        for result in probed:
            used_ms = result.last_used_ms - stored_ms
            self._deployment.journal.note_key_used(result.entry, used_ms)
        self.measures.refused_ms = max(result.refused_ms for result in probed) - stored_ms
        self.measures.probes_refused = sum(result.refusals for result in probed)
        self._screen.say(f"refused everywhere after {self.measures.refused_ms} ms")

    async def _probe(self, entry: str, team: str, secret: str, next_secret: str) -> Probed:
        """Use a key on one entry for a while."""
        deployment = self._deployment
        client = deployment.client(secret, [entry])
        service = next(iter(deployment.fleet.services))
        probed = Probed(entry, refused_ms=_now_ms() + PROBE_FOR_MS)
        until_ms = _now_ms() + PROBE_FOR_MS
        while _now_ms() < until_ms:
            asked = Asked(uuid7(), team, service, work_body(20, "probe"))
            deployment.journal.note_asked(asked)
            sent_ms = _now_ms()
            submission = Submission(service, asked.request_id, asked.body, idempotent=True)
            sent = await client.submit(submission, 0)
            report = sent.ok_value if sent.is_ok() else None
            deployment.journal.note_report(asked.request_id, report)
            if _was_accepted(report):
                probed.last_used_ms = sent_ms
                await deployment.ask_again(asked.request_id, next_secret)
            elif report is not None and report.kind is FailureKind.UNAUTHORIZED:
                probed.refused_ms = min(probed.refused_ms, _now_ms())
                probed.refusals += 1
            await asyncio.sleep(PROBE_MS / 1_000)
        return probed

    async def _change_shares(self) -> None:
        fleet = self._deployment.fleet
        name, team = max(fleet.teams.items(), key=lambda item: item[1].share)
        changed = fleet.with_change("teams", name, attrs.evolve(team, share=team.share + 1))
        self._deployment.fleet = changed
        await self._apply(changed)

    async def _holders(self) -> list[str]:
        """Return the entries that hold cells, the one with the most first."""
        statuses = await self._deployment.statuses()
        return sorted(statuses, key=lambda name: -len(statuses[name]["cells"]))

    async def _replace_entry(self) -> None:
        name = (await self._holders())[0]
        self._screen.say(f"planned stop of {name}")
        status = await self._deployment.replace_entry(name)
        self._screen.say(f"{name} ended with status {status} and was replaced")

    async def _kill_entry(self) -> None:
        name = (await self._holders())[0]
        await self._deployment.kill_entry(name)
        self._screen.say(f"{name} was killed")
        await self._deployment.until_status(
            f"removal of {name}",
            lambda status: name not in {member["name"] for member in status["members"]},
        )
        self._screen.say(f"{name} is no member any more")
        await self._deployment.start_entry(name)
        await self._deployment.until_members([name])
        self._screen.say(f"{name} was started again and has joined")

    async def _finish_wave(self) -> None:
        operator = self._deployment.operator()
        deadline_ms = _now_ms() + WAVE_LIMIT_MS
        while _now_ms() < deadline_ms:
            waves = await operator.waves()
            for wave in waves.ok_value["waves"] if waves.is_ok() else ():
                self.measures.wave = f"{wave['done']} of {wave['total']} instances"
                if wave["finished"]:
                    self._screen.say(f"the wave has maintained {self.measures.wave}")
                    return
            await asyncio.sleep(0.2)


def _was_accepted(report: RequestReport | None) -> bool:
    return report is not None and report.outcome is not Outcome.NOT_RUN


@attrs.frozen
class Row:
    """One line of the table; `limit` is None for a figure without a bound."""

    name: str
    value: int
    limit: int | None = None
    unit: str = ""

    @property
    def holds(self) -> bool:
        """Whether the figure is within its bound."""
        return self.limit is None or self.value <= self.limit


def rows(journal: Journal, measures: Measures) -> list[Row]:
    """Return the figures of a run that has ended."""
    counts, broken = journal.counts(), journal.broken()
    runs = journal.runs()
    twice = sum(runs[a.request_id] > 1 for a in journal.asked.values() if not a.idempotent)
    answered = counts[Outcome.DONE] + counts[Outcome.FAILED]
    return [
        Row("requests answered", answered),
        Row("requests refused, not run", counts[Outcome.NOT_RUN] - measures.probes_refused),
        Row("uses of the withdrawn key refused", measures.probes_refused),
        Row("requests with unknown outcome", counts[Outcome.UNKNOWN]),
        Row("requests lost", counts["lost"], 0),
        Row("requests run twice that must not", twice, 0),
        Row("refusals of requests that ran", broken.get("P6", 0), 0),
        Row("limit violations", broken.get("P4", 0), 0),
        Row("budget violations", broken.get("P1", 0), 0),
        Row("pool violations", broken.get("P2", 0), 0),
        Row("interrupted by a planned stop", broken.get("P9", 0), 0),
        Row("wrong answers", broken.get("P5", 0) - counts["lost"], 0),
        Row("configuration in force everywhere", max(measures.in_force_ms), IN_FORCE_MS, "ms"),
        Row("withdrawn key refused everywhere", measures.refused_ms, IN_FORCE_MS, "ms"),
    ]


def table(figures: list[Row], measures: Measures) -> Table:
    """Return the table that ends the demo."""
    made = Table("measure", "value", "at most", "")
    for row in figures:
        limit = "" if row.limit is None else f"{row.limit} {row.unit}".strip()
        verdict = "" if row.limit is None else ("ok" if row.holds else "BROKEN")
        made.add_row(row.name, f"{row.value} {row.unit}".strip(), limit, verdict)
    made.add_row("maintained by the wave", measures.wave, "", "")
    return made


def demo_fleet(name: str) -> Fleet:
    """Return the declarations of an example under a calendar that has no special days.

    The calendars of the examples forbid maintenance on some days, and the demo runs on any.
    """
    fleet = load_fleet(SITES[name].fleet_folder).unwrap()
    fleet = fleet.with_change("calendars", DEMO_CALENDAR, Calendar(DEMO_CALENDAR))
    for pool in fleet.pools.values():
        fleet = fleet.with_change("pools", pool.name, attrs.evolve(pool, calendar=DEMO_CALENDAR))
    return fleet


async def run_demo(
    name: str, entries: int, seed: int, console: Console, log_file: Path | None = None
) -> bool:
    """Run the demo and print its table; return whether every property held."""
    deployment = Deployment(SITES[name], demo_fleet(name), entries, REBOOT_MS)
    # Calls that a killed entry leaves behind are logged by their library.
    route_library_logs(make_logger(LoggingSettings(), deployment.entry_log, "demo"))
    try:
        return await _run_demo(deployment, seed, console)
    finally:
        if log_file is not None:
            log_file.write_text(deployment.entry_log.getvalue())


async def _run_demo(deployment: Deployment, seed: int, console: Console) -> bool:
    name, entries = deployment.site.name, len(deployment.names)
    with Screen(console, deployment.journal) as screen:
        screen.say(f"{name} with {entries} entries and {len(deployment.workers)} workers")
        async with running(deployment, serving=False):
            demo = Demo(deployment, screen, seed)
            await demo.run()
    figures = rows(deployment.journal, demo.measures)
    console.print(table(figures, demo.measures))
    for violation in deployment.journal.violations:
        console.print(str(violation), markup=False)
    return not deployment.journal.violations and all(row.holds for row in figures)


@app.command()
def main(
    deployment: Annotated[
        str, typer.Option(help="Example to run: hoang-long or halvorsen.")
    ] = "hoang-long",
    entries: Annotated[int, typer.Option(min=3, max=9, help="Number of entries.")] = 8,
    seed: Annotated[int, typer.Option(help="Seed of the demand.")] = 1,
    log_file: Annotated[
        Path | None, typer.Option(help="File for the log lines of the entries.")
    ] = None,
) -> None:
    """Run a whole deployment on loopback and print what it measured."""
    if deployment not in SITES:
        raise typer.BadParameter(f"unknown deployment {deployment!r}; known: {', '.join(SITES)}")
    with contextlib.suppress(KeyboardInterrupt):
        held = asyncio.run(run_demo(deployment, entries, seed, Console(), log_file))
        sys.exit(0 if held else EXIT_BROKEN)


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


if __name__ == "__main__":
    app()
