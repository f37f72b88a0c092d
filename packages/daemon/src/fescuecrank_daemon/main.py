"""Command line of the entry daemon."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import Annotated

import typer

from fescuecrank_daemon.compose import EntryDaemon, make_reducer, run_entries
from fescuecrank_daemon.logs import route_library_logs
from fescuecrank_daemon.settings import Settings
from fescuecrank_daemon.settings_file import load_settings

EXIT_BAD_SETTINGS = 2

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def run(
    config: Annotated[Path, typer.Option(help="Settings file in YAML.")],
    check: Annotated[bool, typer.Option("--check", help="Check the settings and exit.")] = False,
) -> None:
    """Run one entry of fescuecrank."""
    cfg = _load_or_exit(config)
    if check:
        typer.echo(f"{config}: valid settings of entry {cfg.name}")
        return
    sys.exit(asyncio.run(_run(cfg)))


def _load_or_exit(config: Path) -> Settings:
    loaded = load_settings(config)
    if loaded.is_ok():
        return loaded.ok_value
    for problem in loaded.err_value:
        typer.echo(str(problem), err=True)
    sys.exit(EXIT_BAD_SETTINGS)


async def _run(cfg: Settings) -> int:
    try:
        entry = EntryDaemon(cfg, make_reducer)
    except OSError as exc:
        typer.echo(f"cannot start: {exc}", err=True)
        return EXIT_BAD_SETTINGS
    route_library_logs(entry.log)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, entry.shut_down)
    return await run_entries([entry])


def main() -> None:
    """Entry point of `fescuecrankd`."""
    app()


if __name__ == "__main__":
    main()
