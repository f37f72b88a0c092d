"""What every command needs: entry addresses, key, TLS and output, and the exit statuses."""

import asyncio
import enum
import os
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, NoReturn, TypeVar
from urllib.parse import urlsplit

import attrs
import typer
from fescuecrank_core.errors import Failure, FailureKind
from result import Err, Ok, Result

from fescuecrank_cli import render
from fescuecrank_cli.answers import Publication, Verdict
from fescuecrank_cli.client import EntryClient, Unreachable
from fescuecrank_cli.render import OutputFormat
from fescuecrank_cli.transport import TlsOptions

ENTRIES_VARIABLE = "FESCUECRANK_ENTRIES"
KEY_VARIABLE = "FESCUECRANK_KEY"
KEY_FILE_VARIABLE = "FESCUECRANK_KEY_FILE"

Answer = TypeVar("Answer")


class ExitStatus(enum.IntEnum):
    """Exit statuses of the command."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNKNOWN = 3
    UNREACHABLE = 4


@attrs.frozen
class Session:
    """Options that stand before the command."""

    entries: tuple[str, ...] = ()
    key: str = attrs.field(default="", repr=False)
    tls: TlsOptions = attrs.field(factory=TlsOptions)
    output: OutputFormat = OutputFormat.TABLE

    def ask(self, operation: Callable[[EntryClient], Awaitable[Result[Answer, Failure]]]) -> Answer:
        """Run one operation of the client and return its value, or leave with its failure."""
        outcome = self.run(operation)
        if outcome.is_err():
            stop(_status_of(outcome.err_value), str(outcome.err_value))
        return outcome.ok_value

    def run(self, operation: Callable[[EntryClient], Awaitable[Answer]]) -> Answer:
        """Run one operation of the client in an event loop of its own."""
        if not self.entries:
            stop(
                ExitStatus.BAD_INPUT,
                f"no entry address: use --entry or set {ENTRIES_VARIABLE}",
            )
        return asyncio.run(self._with_client(operation))

    async def _with_client(self, operation: Callable[[EntryClient], Awaitable[Answer]]) -> Answer:
        client = EntryClient(self.entries, self.key, self.tls)
        try:
            return await operation(client)
        finally:
            client.close()

    def write(self, value: dict[str, Any]) -> None:
        """Write one result in the chosen format."""
        render.write(value, self.output)

    def write_publication(self, publication: Publication, **more: Any) -> None:
        """Write the verdict of a publication; leave unless it is accepted."""
        self.write({**attrs.asdict(publication), **more})
        if publication.verdict is Verdict.UNKNOWN:
            stop(
                ExitStatus.UNKNOWN,
                f"outcome unknown: {publication.detail}\n"
                f"ask again with: fescuecrank publication {publication.record_id}",
            )
        if publication.verdict is Verdict.REFUSED:
            stop(ExitStatus.REFUSED, f"refused: {publication.detail}")


def stop(status: ExitStatus, message: str) -> NoReturn:
    """Write a message to standard error and end the command."""
    note(message)
    raise typer.Exit(int(status))


def note(message: str) -> None:
    """Write a line to standard error, which keeps standard output for results."""
    typer.echo(message, err=True)


def _status_of(failure: Failure) -> ExitStatus:
    if isinstance(failure, Unreachable):
        return ExitStatus.UNREACHABLE
    unsure = failure.kind in (FailureKind.TIMEOUT, FailureKind.UNKNOWN)
    return ExitStatus.UNKNOWN if unsure else ExitStatus.REFUSED


def entry_addresses(given: Sequence[str]) -> Result[tuple[str, ...], str]:
    """Return base URLs for addresses such as `10.0.0.1:8080` or `https://entry:8443`.

    Each item may hold several addresses, separated by commas or white space.
    """
    texts = [part for item in given for part in item.replace(",", " ").split()]
    addresses = []
    for text in texts:
        address = (text if "://" in text else f"http://{text}").rstrip("/")
        if not _is_address(address):
            return Err(f"{text!r} is not an entry address such as 10.0.0.1:8080")
        addresses.append(address)
    return Ok(tuple(dict.fromkeys(addresses)))


def _is_address(address: str) -> bool:
    try:
        parts = urlsplit(address)
        usable = parts.hostname and (parts.port is None or parts.port > 0)
    except ValueError:
        return False
    extra = parts.path or parts.query or parts.fragment or "@" in parts.netloc
    return bool(usable) and parts.scheme in ("http", "https") and not extra


def read_key(key_file: Path | None) -> Result[str, str]:
    """Return the key from a file, else from the environment, else the empty string.

    There is no option for the key itself, since arguments are visible in the list of processes.
    """
    if key_file is None:
        return _one_word(os.environ.get(KEY_VARIABLE, ""), KEY_VARIABLE)
    try:
        text = key_file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Err(f"cannot read the key file {key_file}: {exc}")
    if not text.strip():
        return Err(f"the key file {key_file} is empty")
    return _one_word(text, str(key_file))


def _one_word(text: str, origin: str) -> Result[str, str]:
    key = text.strip()
    if not key.isascii() or len(key.split()) > 1:
        return Err(f"{origin} does not hold a key of the form <key_id>.<random>")
    return Ok(key)
