"""Converts the JSON bodies of operator calls to log records."""

import base64
import binascii
from typing import Any

import attrs
import orjson
from fescuecrank_core import codec
from fescuecrank_core.declarations import SECTIONS
from fescuecrank_core.plain import declaration_from_plain
from fescuecrank_core.records import (
    Change,
    ConfigPublished,
    DrainCancelled,
    DrainRequested,
    KeyGranted,
    KeyWithdrawn,
    MemberLeft,
    Record,
    WavePaused,
    WaveResumed,
    WaveStarted,
)
from result import Err, Ok, Result

from fescuecrank_daemon.submissions import ID_PATTERN
from fescuecrank_daemon.validation import build_object

KEY_KINDS = ("team", "operator")


@attrs.frozen
class ChangeBody:
    """One change of a declaration; its value is checked separately, by its section's rules."""

    section: str
    name: str
    follows: int


@attrs.frozen
class ConfigBody:
    """Body of `POST /v1/config` without the values of its changes."""

    record_id: str
    author: str
    changes: tuple[ChangeBody, ...]


@attrs.frozen
class KeyBody:
    """Body of `POST /v1/keys`; salt and digest are in base64."""

    record_id: str
    key_id: str
    kind: str
    salt: str
    digest: str
    team: str = ""


@attrs.frozen
class WaveBody:
    """Body of `POST /v1/waves`; an empty `pools` selects all pools."""

    record_id: str
    wave_id: str
    pools: tuple[str, ...] = ()


@attrs.frozen
class StrikeBody:
    """Body of `POST /v1/members/{name}/strike`."""

    record_id: str
    incarnation: int


@attrs.frozen
class RecordIdBody:
    """Body of calls that need only a record id; the author is optional."""

    record_id: str
    author: str = ""


ParsedRecord = Result[Record, str]


def parse_body(cls: type, body: bytes) -> Result[Any, str]:
    """Parse a JSON body into an instance of `cls` and check its record id."""
    try:
        plain = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        return Err(f"the body is not JSON: {exc}")
    built = build_object(cls, plain)
    if built.is_err():
        return Err("; ".join(str(problem) for problem in built.err_value))
    return _check_record_id(built.ok_value.record_id).map(lambda _: built.ok_value)


def _check_record_id(record_id: str) -> Result[str, str]:
    if ID_PATTERN.fullmatch(record_id):
        return Ok(record_id)
    return Err("record_id: must have 1 to 128 letters, digits, '.', '_', '~' or '-'")


def config_record(body: bytes) -> ParsedRecord:
    """Return the record of `POST /v1/config`."""
    try:
        plain = orjson.loads(body)
        changes = plain["changes"]
        values = [change.pop("value", None) for change in changes]
    except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError):
        return Err("the body must be a JSON object with a list of changes")
    parsed = parse_body(ConfigBody, orjson.dumps(plain))
    if parsed.is_err():
        return parsed
    config = parsed.ok_value
    if not config.changes:
        return Err("changes: must not be empty")
    encoded: list[Change] = []
    for change, value in zip(config.changes, values, strict=True):
        checked = _encode_change(change, value)
        if checked.is_err():
            return checked
        encoded.append(checked.ok_value)
    return Ok(ConfigPublished(config.record_id, tuple(encoded), config.author))


def _encode_change(change: ChangeBody, value: Any) -> Result[Change, str]:
    path = f"{change.section}/{change.name}"
    if change.section not in SECTIONS:
        return Err(f"{path}: unknown section")
    if value is None:
        return Ok(Change(change.section, change.name, change.follows, None))
    built = declaration_from_plain(change.section, change.name, value)
    if built.is_err():
        return Err("; ".join(str(problem) for problem in built.err_value))
    encoded = codec.encode(built.ok_value)
    return Ok(Change(change.section, change.name, change.follows, encoded))


def key_grant_record(body: bytes) -> ParsedRecord:
    """Return the record of `POST /v1/keys`."""
    parsed = parse_body(KeyBody, body)
    if parsed.is_err():
        return parsed
    key = parsed.ok_value
    if key.kind not in KEY_KINDS:
        return Err(f"kind: must be one of {', '.join(KEY_KINDS)}")
    if (key.kind == "team") != bool(key.team):
        return Err("team: required for keys of kind team, not allowed for others")
    try:
        salt = base64.b64decode(key.salt, validate=True)
        digest = base64.b64decode(key.digest, validate=True)
    except (binascii.Error, ValueError):
        return Err("salt and digest must be base64")
    return Ok(KeyGranted(key.record_id, key.key_id, key.kind, key.team, salt, digest))


def key_withdrawal_record(record_id: str, key_id: str) -> ParsedRecord:
    """Return the record of `DELETE /v1/keys/{key_id}`."""
    return _check_record_id(record_id).map(lambda checked: KeyWithdrawn(checked, key_id))


def wave_start_record(body: bytes) -> ParsedRecord:
    """Return the record of `POST /v1/waves`."""
    return parse_body(WaveBody, body).map(
        lambda wave: WaveStarted(wave.record_id, wave.wave_id, wave.pools)
    )


def wave_pause_record(body: bytes, wave_id: str) -> ParsedRecord:
    """Return the record of `POST /v1/waves/{wave_id}/pause`."""
    return parse_body(RecordIdBody, body).map(lambda parsed: WavePaused(parsed.record_id, wave_id))


def wave_resume_record(body: bytes, wave_id: str) -> ParsedRecord:
    """Return the record of `POST /v1/waves/{wave_id}/resume`."""
    return parse_body(RecordIdBody, body).map(lambda parsed: WaveResumed(parsed.record_id, wave_id))


def drain_record(body: bytes, worker: str) -> ParsedRecord:
    """Return the record of `POST /v1/workers/{name}/drain`."""
    return parse_body(RecordIdBody, body).map(
        lambda parsed: DrainRequested(parsed.record_id, worker, parsed.author)
    )


def strike_record(body: bytes, name: str) -> ParsedRecord:
    """Return the record of `POST /v1/members/{name}/strike`."""
    return parse_body(StrikeBody, body).map(
        lambda strike: MemberLeft(strike.record_id, name, strike.incarnation, forced=True)
    )


def undrain_record(record_id: str, worker: str) -> ParsedRecord:
    """Return the record of `DELETE /v1/workers/{name}/drain`."""
    return _check_record_id(record_id).map(lambda checked: DrainCancelled(checked, worker))
