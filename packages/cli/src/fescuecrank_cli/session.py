"""Global options and exit statuses of the command, and helpers that all commands use."""

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

T = TypeVar("T")


class ExitStatus(enum.IntEnum):
    """Exit statuses of the command."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNKNOWN = 3
    UNREACHABLE = 4


@attrs.frozen
class Session:
    """Values of the options that precede the command."""

    entries: tuple[str, ...] = ()
    key: str = attrs.field(default="", repr=False)
    tls: TlsOptions = attrs.field(factory=TlsOptions)
    output: OutputFormat = OutputFormat.TABLE

    def run_or_exit(self, operation: Callable[[EntryClient], Awaitable[Result[T, Failure]]]) -> T:
        """Run an operation of the client and return its value; exit if it fails."""
        result = self.run(operation)
        if result.is_err():
            exit_with(_exit_status(result.err_value), str(result.err_value))
        return result.ok_value

    def run(self, operation: Callable[[EntryClient], Awaitable[T]]) -> T:
        """Run an operation of the client in a new event loop."""
        if not self.entries:
            exit_with(
                ExitStatus.BAD_INPUT,
                f"no entry address: use --entry or set {ENTRIES_VARIABLE}",
            )
        return asyncio.run(self._with_client(operation))

    async def _with_client(self, operation: Callable[[EntryClient], Awaitable[T]]) -> T:
        client = EntryClient(self.entries, self.key, self.tls)
        try:
            return await operation(client)
        finally:
            client.close()

    def write_result(self, value: dict[str, Any]) -> None:
        """Write a result to standard output in the chosen format."""
        render.write(value, self.output)

    def write_publication(self, publication: Publication, **more: Any) -> None:
        """Write the verdict on a publication; exit unless it is accepted."""
        self.write_result({**attrs.asdict(publication), **more})
        if publication.verdict is Verdict.UNKNOWN:
            exit_with(
                ExitStatus.UNKNOWN,
                f"outcome unknown: {publication.detail}\n"
                f"ask again with: fescuecrank publication {publication.record_id}",
            )
        if publication.verdict is Verdict.REFUSED:
            exit_with(ExitStatus.REFUSED, f"refused: {publication.detail}")


def exit_with(status: ExitStatus, message: str) -> NoReturn:
    """Write a message to standard error and exit."""
    write_stderr(message)
    raise typer.Exit(int(status))


def write_stderr(message: str) -> None:
    """Write a line to standard error, since standard output is reserved for results."""
    typer.echo(message, err=True)


def _exit_status(failure: Failure) -> ExitStatus:
    if isinstance(failure, Unreachable):
        return ExitStatus.UNREACHABLE
    is_unknown = failure.kind in (FailureKind.TIMEOUT, FailureKind.UNKNOWN)
    return ExitStatus.UNKNOWN if is_unknown else ExitStatus.REFUSED


def parse_entry_addresses(values: Sequence[str]) -> Result[tuple[str, ...], str]:
    """Return base URLs for addresses such as `10.0.0.1:8080` or `https://entry:8443`.

    Each value may hold several addresses, separated by commas or white space.
    """
    texts = [part for item in values for part in item.replace(",", " ").split()]
    addresses = []
    for text in texts:
        address = (text if "://" in text else f"http://{text}").rstrip("/")
        if not _is_base_url(address):
            return Err(f"{text!r} is not an entry address such as 10.0.0.1:8080")
        addresses.append(address)
    return Ok(tuple(dict.fromkeys(addresses)))


def _is_base_url(address: str) -> bool:
    try:
        parts = urlsplit(address)
        has_host = parts.hostname and (parts.port is None or parts.port > 0)
    except ValueError:
        return False
    extra = parts.path or parts.query or parts.fragment or "@" in parts.netloc
    return bool(has_host) and parts.scheme in ("http", "https") and not extra


def read_key(key_file: Path | None) -> Result[str, str]:
    """Return the key from a file, else from the environment, else the empty string.

    There is no option for the key itself, since the process list shows command-line arguments.
    """
    if key_file is None:
        return _check_key(os.environ.get(KEY_VARIABLE, ""), KEY_VARIABLE)
    try:
        text = key_file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Err(f"cannot read the key file {key_file}: {exc}")
    if not text.strip():
        return Err(f"the key file {key_file} is empty")
    return _check_key(text, str(key_file))


def _check_key(text: str, source: str) -> Result[str, str]:
    key = text.strip()
    if not key.isascii() or len(key.split()) > 1:
        return Err(f"{source} does not hold a key of the form <key_id>.<random>")
    return Ok(key)
