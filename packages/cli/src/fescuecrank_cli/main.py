"""Defines the `fescuecrank` command and its subcommands, which call `client`."""

import base64
import getpass
import os
import sys
from pathlib import Path
from typing import Annotated, Any

import attrs
import typer
from fescuecrank_core.declarations import SECTIONS, Fleet, RequestClass
from fescuecrank_core.loader import load_fleet
from fescuecrank_core.plan import NO_VERSION, plan_changes
from fescuecrank_core.records import Change
from fescuecrank_core.requests import Outcome
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from fescuecrank_cli.answers import ConfigInForce, Publication, RequestReport, Verdict
from fescuecrank_cli.client import EntryClient, Submission, new_record_id
from fescuecrank_cli.ids import new_trace_id, traceparent, uuid7
from fescuecrank_cli.key_material import NewKey, new_key
from fescuecrank_cli.losses import compute_losses, read_lines, render_losses
from fescuecrank_cli.render import OutputFormat
from fescuecrank_cli.session import (
    ENTRIES_VARIABLE,
    KEY_FILE_VARIABLE,
    ExitStatus,
    Session,
    exit_with,
    parse_entry_addresses,
    read_key,
    write_stderr,
)
from fescuecrank_cli.trace_lines import build_trace
from fescuecrank_cli.transport import TlsOptions

OPERATORS = "For operators"
CALLERS = "For callers"

REQUEST_WAIT_S = 60
CANCEL_WAIT_S = 10
# An accepted configuration is in force on every entry within 3 s; the rest allows for slow reads.
IN_FORCE_WAIT_S = 10

EXIT_HELP = (
    "Exit status: 0 done, 1 refused or failed, 2 bad input, 3 outcome not known, "
    "4 no entry can be reached."
)

app = typer.Typer(no_args_is_help=True, rich_markup_mode="rich", pretty_exceptions_enable=False)
key_app = typer.Typer(no_args_is_help=True, help="Grant and withdraw keys.")
wave_app = typer.Typer(no_args_is_help=True, help="Run maintenance waves.")
app.add_typer(key_app, name="key", rich_help_panel=OPERATORS)
app.add_typer(wave_app, name="wave", rich_help_panel=OPERATORS)

PathArgument = Annotated[
    Path, typer.Argument(metavar="PATH", help="YAML file, or folder of YAML files.")
]
RequestArgument = Annotated[
    str, typer.Argument(metavar="REQUEST", help="Request as SERVICE/ID, as printed by `submit`.")
]
WorkerArgument = Annotated[str, typer.Argument(metavar="WORKER", help="Name of the worker.")]
WaveArgument = Annotated[str, typer.Argument(metavar="WAVE", help="Id of the wave.")]


@app.callback(help=f"Operate a fescuecrank fleet and send requests to it. {EXIT_HELP}")
def options(
    ctx: typer.Context,
    entry: Annotated[
        list[str] | None,
        typer.Option(
            envvar=ENTRIES_VARIABLE,
            metavar="ADDRESS",
            help="Address of an entry; if given several times, the entries are tried in turn.",
        ),
    ] = None,
    key_file: Annotated[
        Path | None,
        typer.Option(
            envvar=KEY_FILE_VARIABLE,
            help="File that holds the key. Without it, the key is read from FESCUECRANK_KEY.",
        ),
    ] = None,
    ca_file: Annotated[
        Path | None, typer.Option(help="CA certificates that verify the entries.")
    ] = None,
    client_cert: Annotated[Path | None, typer.Option(help="Client certificate to present.")] = None,
    client_key: Annotated[
        Path | None, typer.Option(help="Private key of the client certificate.")
    ] = None,
    output: Annotated[
        OutputFormat, typer.Option(help="Output format of results.")
    ] = OutputFormat.TABLE,
) -> None:
    """Read the options that precede the command."""
    entries = parse_entry_addresses(entry or [])
    if entries.is_err():
        exit_with(ExitStatus.BAD_INPUT, entries.err_value)
    key = read_key(key_file)
    if key.is_err():
        exit_with(ExitStatus.BAD_INPUT, key.err_value)
    tls = TlsOptions(
        _check_readable(ca_file), _check_readable(client_cert), _check_readable(client_key)
    )
    ctx.obj = Session(entries.ok_value, key.ok_value, tls, output)


def _check_readable(path: Path | None) -> str:
    if path is None:
        return ""
    if not os.access(path, os.R_OK):
        exit_with(ExitStatus.BAD_INPUT, f"cannot read {path}")
    return str(path)


# Declarations


@app.command(rich_help_panel=OPERATORS)
def validate(ctx: typer.Context, path: PathArgument) -> None:
    """Check declarations without contacting an entry."""
    fleet = _load_fleet(path)
    ctx.obj.write_result({section: len(getattr(fleet, section)) for section in SECTIONS})


@app.command(rich_help_panel=OPERATORS)
def plan(ctx: typer.Context, path: PathArgument) -> None:
    """Show what `apply` would change."""
    fleet = _load_fleet(path)
    in_force = ctx.obj.run_or_exit(lambda client: client.config())
    changes = plan_changes(in_force.sections, fleet)
    ctx.obj.write_result(
        {"applied": in_force.applied, "changes": _change_rows(changes, in_force, fleet)}
    )


@app.command(rich_help_panel=OPERATORS)
def apply(
    ctx: typer.Context,
    path: PathArgument,
    remove: Annotated[
        bool, typer.Option("--remove", help="Also remove declarations that are not in PATH.")
    ] = False,
    author: Annotated[
        str, typer.Option(help="Author of the record; the login name if not given.")
    ] = "",
    wait: Annotated[
        int,
        typer.Option(
            min=0, metavar="SECONDS", help="How long to wait until the declarations are in force."
        ),
    ] = IN_FORCE_WAIT_S,
) -> None:
    """Publish declarations and wait until they are in force on every given entry."""
    session: Session = ctx.obj
    fleet = _load_fleet(path)
    in_force = session.run_or_exit(lambda client: client.config())
    changes = plan_changes(in_force.sections, fleet)
    removed = [f"{change.section}/{change.name}" for change in changes if change.value is None]
    if removed and not remove:
        exit_with(
            ExitStatus.BAD_INPUT,
            f"this would remove {', '.join(removed)}; pass --remove to allow it",
        )
    if not changes:
        session.write_result({"applied": in_force.applied, "changes": []})
        return
    record_id = _print_new_record_id()
    publication = session.run_or_exit(
        lambda client: client.publish_changes(
            changes, fleet, author or getpass.getuser(), record_id
        )
    )
    unconfirmed = _wait_in_force(session, publication, wait)
    rows = _change_rows(changes, in_force, fleet)
    session.write_publication(publication, not_confirmed=unconfirmed, changes=rows)


def _load_fleet(path: Path) -> Fleet:
    fleet = load_fleet(path)
    if fleet.is_err():
        exit_with(ExitStatus.BAD_INPUT, "\n".join(map(str, fleet.err_value)))
    return fleet.ok_value


def _change_rows(
    changes: list[Change], in_force: ConfigInForce, fleet: Fleet
) -> list[dict[str, Any]]:
    return [_change_row(change, in_force, fleet) for change in changes]


def _change_row(change: Change, in_force: ConfigInForce, fleet: Fleet) -> dict[str, Any]:
    row = {"section": change.section, "name": change.name, "follows": change.follows}
    if change.value is None:
        return {**row, "action": "remove", "fields": ""}
    if change.follows == NO_VERSION:
        return {**row, "action": "add", "fields": ""}
    _, before = in_force.sections[change.section][change.name]
    after = getattr(fleet, change.section)[change.name]
    fields = [
        f"{name}: {getattr(before, name)} -> {getattr(after, name)}"
        for name in attrs.fields_dict(type(after))
        if getattr(before, name) != getattr(after, name)
    ]
    return {**row, "action": "change", "fields": "; ".join(fields)}


def _wait_in_force(session: Session, publication: Publication, wait_s: int) -> list[str]:
    if publication.verdict is not Verdict.ACCEPTED:
        return []
    columns = TextColumn("in force on entries"), BarColumn(), TextColumn("{task.completed}")
    with Progress(*columns, TimeElapsedColumn(), console=Console(stderr=True)) as progress:
        task_id = progress.add_task("", total=len(session.entries))
        unconfirmed = session.run(
            lambda client: client.wait_in_force(
                publication.offset,
                wait_s * 1_000,
                lambda count: progress.update(task_id, completed=count),
            )
        )
    if unconfirmed:
        write_stderr(f"accepted, but not confirmed to be in force on: {', '.join(unconfirmed)}")
    return unconfirmed


def _print_new_record_id() -> str:
    record_id = new_record_id()
    write_stderr(f"record: {record_id}")
    return record_id


# Keys


@key_app.command()
def grant(
    ctx: typer.Context,
    team: Annotated[str, typer.Option(help="Team that uses the key.")] = "",
    operator: Annotated[bool, typer.Option("--operator", help="Grant an operator's key.")] = False,
    secret_file: Annotated[
        Path | None,
        typer.Option(help="New file for the secret, readable by its owner only."),
    ] = None,
) -> None:
    """Generate a key and publish its salted hash; show the secret once or write it to a file."""
    if bool(team) == operator:
        exit_with(ExitStatus.BAD_INPUT, "give either --team or --operator")
    session: Session = ctx.obj
    key = new_key()
    if secret_file is not None:
        _save_secret(secret_file, key)
    kind = "operator" if operator else "team"
    record_id = _print_new_record_id()
    try:
        publication = session.run_or_exit(
            lambda client: client.grant_key(key, kind, team, record_id)
        )
    except typer.Exit:
        _delete_secret(secret_file)
        raise
    if publication.verdict is Verdict.REFUSED:
        _delete_secret(secret_file)
    shown = {} if secret_file or publication.verdict is Verdict.REFUSED else {"secret": key.secret}
    session.write_publication(publication, key_id=key.key_id, **shown)


@key_app.command(name="settings")
def key_settings(
    ctx: typer.Context,
    secret_file: Annotated[
        Path, typer.Option(help="New file for the secret, readable by its owner only.")
    ],
) -> None:
    """Generate an operator's key for `operator_keys` in the settings; contacts no entry."""
    key = new_key()
    _save_secret(secret_file, key)
    ctx.obj.write_result(
        {
            "key_id": key.key_id,
            "salt": base64.b64encode(key.salt).decode(),
            "digest": base64.b64encode(key.digest).decode(),
        }
    )


def _save_secret(file: Path, key: NewKey) -> None:
    try:
        descriptor = os.open(file, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    except OSError as exc:
        exit_with(ExitStatus.BAD_INPUT, f"cannot write the secret to {file}: {exc.strerror}")
    with os.fdopen(descriptor, "w", encoding="utf-8") as stream:
        stream.write(key.secret + "\n")


def _delete_secret(file: Path | None) -> None:
    """Delete the secret of a key that was not granted."""
    if file is not None:
        file.unlink(missing_ok=True)


@key_app.command()
def withdraw(
    ctx: typer.Context,
    key_id: Annotated[str, typer.Argument(metavar="KEY_ID", help="Part of the key before `.`.")],
) -> None:
    """Withdraw a key permanently; it stops working within 3 s."""
    if "." in key_id:
        exit_with(ExitStatus.BAD_INPUT, "give only the key id, not the secret")
    record_id = _print_new_record_id()
    ctx.obj.write_publication(
        ctx.obj.run_or_exit(lambda client: client.withdraw_key(key_id, record_id)), key_id=key_id
    )


# Maintenance


@app.command(rich_help_panel=OPERATORS)
def drain(
    ctx: typer.Context,
    worker: WorkerArgument,
    cancel: Annotated[
        bool, typer.Option("--cancel", help="Return the worker to service instead.")
    ] = False,
) -> None:
    """Take a worker out of service without interrupting its requests."""
    record_id = _print_new_record_id()

    def operation(client: EntryClient) -> Any:
        return (client.cancel_drain if cancel else client.drain)(worker, record_id)

    ctx.obj.write_publication(ctx.obj.run_or_exit(operation), worker=worker)


@app.command(rich_help_panel=OPERATORS)
def strike(
    ctx: typer.Context,
    entry: Annotated[str, typer.Argument(metavar="ENTRY", help="Name of the entry.")],
    incarnation: Annotated[
        int, typer.Option(help="Incarnation of the lost entry, as shown by `status`.", min=1)
    ],
) -> None:
    """Remove a permanently lost entry from all majorities."""
    record_id = _print_new_record_id()
    publication = ctx.obj.run_or_exit(lambda client: client.strike(entry, incarnation, record_id))
    ctx.obj.write_publication(publication, entry=entry)


@wave_app.command()
def start(
    ctx: typer.Context,
    pool: Annotated[
        list[str] | None, typer.Option(metavar="POOL", help="Pool to maintain; all if not given.")
    ] = None,
    wave_id: Annotated[
        str, typer.Option("--id", metavar="WAVE", help="Id of the wave; generated if not given.")
    ] = "",
) -> None:
    """Start a maintenance wave over whole pools."""
    wave = wave_id or uuid7()
    record_id = _print_new_record_id()
    publication = ctx.obj.run_or_exit(lambda client: client.start_wave(wave, pool or [], record_id))
    ctx.obj.write_publication(publication, wave_id=wave)


@wave_app.command()
def pause(ctx: typer.Context, wave: WaveArgument) -> None:
    """Pause a wave: take no further workers out of service for it."""
    _pause_or_resume(ctx.obj, wave, "pause")


@wave_app.command()
def resume(ctx: typer.Context, wave: WaveArgument) -> None:
    """Continue a paused wave."""
    _pause_or_resume(ctx.obj, wave, "resume")


def _pause_or_resume(session: Session, wave: str, action: str) -> None:
    record_id = _print_new_record_id()
    publication = session.run_or_exit(
        lambda client: client.pause_or_resume_wave(wave, action, record_id)
    )
    session.write_publication(publication, wave_id=wave)


@wave_app.command(name="status")
def wave_status(ctx: typer.Context) -> None:
    """Show all waves and their progress."""
    ctx.obj.write_result(ctx.obj.run_or_exit(lambda client: client.waves()))


# Queries


@app.command(rich_help_panel=OPERATORS)
def status(ctx: typer.Context) -> None:
    """Show members, claims, pools, budgets and whether the answering entry is current."""
    ctx.obj.write_result(ctx.obj.run_or_exit(lambda client: client.status()))


@app.command(rich_help_panel=OPERATORS)
def why(ctx: typer.Context, worker: WorkerArgument) -> None:
    """Show why a worker is out of service, or cannot be taken out now."""
    ctx.obj.write_result(ctx.obj.run_or_exit(lambda client: client.why(worker)))


@app.command(rich_help_panel=OPERATORS)
def publication(
    ctx: typer.Context,
    record_id: Annotated[str, typer.Argument(metavar="RECORD_ID", help="Id of the record.")],
) -> None:
    """Show the verdict on a publication."""
    ctx.obj.write_publication(ctx.obj.run_or_exit(lambda client: client.publication(record_id)))


# Requests


@app.command(rich_help_panel=CALLERS)
def submit(
    ctx: typer.Context,
    service: Annotated[str, typer.Argument(metavar="SERVICE", help="Name of the service.")],
    body: Annotated[
        Path | None, typer.Option(help="File with the body; `-` reads standard input.")
    ] = None,
    content_type: Annotated[
        str, typer.Option(help="Media type of the body.")
    ] = "application/octet-stream",
    request_class: Annotated[
        RequestClass, typer.Option("--class", help="How long the request may wait.")
    ] = RequestClass.QUICK,
    idempotent: Annotated[
        bool, typer.Option("--idempotent", help="The request may safely run more than once.")
    ] = False,
    cpu_millis: Annotated[
        int | None, typer.Option(min=0, help="CPU, in thousandths of a core.")
    ] = None,
    memory_mb: Annotated[int | None, typer.Option(min=0, help="Memory, in MB.")] = None,
    accelerators: Annotated[
        int | None, typer.Option(min=0, help="Number of whole accelerators.")
    ] = None,
    slots: Annotated[int | None, typer.Option(min=0, help="Number of task slots.")] = None,
    run_ms: Annotated[int | None, typer.Option(min=1, help="Expected run time, in ms.")] = None,
    wait: Annotated[
        int, typer.Option(min=0, metavar="SECONDS", help="How long to wait for the answer.")
    ] = REQUEST_WAIT_S,
) -> None:
    """Send a request and write its answer to standard output.

    The command first prints the request as SERVICE/ID and its trace id on standard error. Every
    attempt carries the same request id, so a request that is not idempotent runs at most once.
    """
    trace_id = new_trace_id()
    submission = Submission(
        service,
        uuid7(),
        _read_body(body),
        content_type,
        request_class,
        idempotent,
        cpu_millis,
        memory_mb,
        accelerators,
        slots,
        run_ms,
        traceparent(trace_id),
    )
    write_stderr(f"request: {service}/{submission.request_id}")
    write_stderr(f"trace: {trace_id}")
    _write_report(
        ctx.obj, ctx.obj.run_or_exit(lambda client: client.submit(submission, wait * 1_000))
    )


def _read_body(file: Path | None) -> bytes:
    if file is None:
        return b""
    if str(file) == "-":
        return sys.stdin.buffer.read()
    try:
        return file.read_bytes()
    except OSError as exc:
        exit_with(ExitStatus.BAD_INPUT, f"cannot read the body from {file}: {exc.strerror}")


@app.command(rich_help_panel=CALLERS)
def result(
    ctx: typer.Context,
    request: RequestArgument,
    wait: Annotated[
        int, typer.Option(min=0, metavar="SECONDS", help="How long to wait for the answer.")
    ] = 0,
) -> None:
    """Fetch the answer to a submitted request and write it to standard output."""
    service, request_id = _parse_request(request)
    report = ctx.obj.run_or_exit(lambda client: client.result(service, request_id, wait * 1_000))
    _write_report(ctx.obj, report)


@app.command(rich_help_panel=CALLERS)
def cancel(
    ctx: typer.Context,
    request: RequestArgument,
    wait: Annotated[
        int, typer.Option(min=0, metavar="SECONDS", help="How long to wait for the outcome.")
    ] = CANCEL_WAIT_S,
) -> None:
    """Cancel a request; one that has already run keeps its outcome."""
    service, request_id = _parse_request(request)
    report = ctx.obj.run_or_exit(lambda client: client.cancel(service, request_id, wait * 1_000))
    if report.outcome is Outcome.CANCELLED:
        ctx.obj.write_result(_report_to_plain(report))
        return
    if report.outcome is Outcome.DONE:
        exit_with(
            ExitStatus.REFUSED,
            f"too late: already done; get the answer with: fescuecrank result {request}",
        )
    _write_report(ctx.obj, report)


@app.command(rich_help_panel=CALLERS)
def explain(ctx: typer.Context, request: RequestArgument) -> None:
    """Show the state of a request and why it is waiting."""
    service, request_id = _parse_request(request)
    report = ctx.obj.run_or_exit(lambda client: client.result(service, request_id, explain=True))
    ctx.obj.write_result(_report_to_plain(report))


@app.command(name="trace", rich_help_panel=OPERATORS)
def trace_job(
    job: Annotated[str, typer.Argument(help="Id of the job.")],
    files: Annotated[list[Path], typer.Argument(help="Logs of the entries.", exists=True)],
) -> None:
    """Show the log lines about a job from the logs of several entries, in order."""
    trace = build_trace(job, files)
    for line in trace.lines:
        fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
        typer.echo(f"{line.ms} {line.node} {line.event} {fields}".rstrip())
    for missing in trace.missing:
        typer.echo(f"missing: {missing}")


@app.command(name="losses", rich_help_panel=OPERATORS)
def show_losses(
    files: Annotated[list[Path], typer.Argument(help="Logs of the entries.", exists=True)],
) -> None:
    """Show how many jobs ended late, and why, by pool and for each two seconds."""
    for line in render_losses(compute_losses(read_lines(files))):
        typer.echo(line)


def _parse_request(text: str) -> tuple[str, str]:
    service, slash, request_id = text.partition("/")
    if not (service and slash and request_id) or "/" in request_id:
        exit_with(ExitStatus.BAD_INPUT, f"{text!r} is not a request of the form SERVICE/ID")
    return service, request_id


EXIT_STATUSES = {
    Outcome.DONE: ExitStatus.DONE,
    Outcome.FAILED: ExitStatus.REFUSED,
    Outcome.NOT_RUN: ExitStatus.REFUSED,
    Outcome.CANCELLED: ExitStatus.REFUSED,
    Outcome.UNKNOWN: ExitStatus.UNKNOWN,
    None: ExitStatus.UNKNOWN,
}


def _write_report(session: Session, report: RequestReport) -> None:
    if report.outcome is Outcome.DONE and session.output is OutputFormat.TABLE:
        sys.stdout.buffer.write(report.body)
        sys.stdout.buffer.flush()
        return
    session.write_result(_report_to_plain(report))
    status = EXIT_STATUSES[report.outcome]
    if status is ExitStatus.UNKNOWN:
        request = f"{report.service}/{report.request_id}"
        exit_with(status, f"outcome not known yet\nask again with: fescuecrank result {request}")
    if status is ExitStatus.REFUSED:
        exit_with(status, f"{report.outcome}: {report.detail}")


def _report_to_plain(report: RequestReport) -> dict[str, Any]:
    plain: dict[str, Any] = {
        "request": f"{report.service}/{report.request_id}",
        "outcome": report.outcome.value if report.outcome else "",
        "state": report.state,
        "detail": report.detail,
        "runs": report.runs,
    }
    if report.outcome is Outcome.DONE:
        plain["endpoint_status"] = report.endpoint_status
        plain["body_base64"] = base64.b64encode(report.body).decode()
    return plain


def main() -> None:
    """Run the command."""
    app(prog_name="fescuecrank")


if __name__ == "__main__":
    main()
