"""Decodes what operators write to the store: the configuration and the maintenance waves."""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import orjson
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_scheduler.fleet import (
    NO_RESOURCES,
    FleetConfig,
    Pool,
    Queue,
    Resources,
    Team,
    Wave,
)
from fescuecrank_scheduler.validation import (
    MAX_LABELS,
    MAX_TIME_MS,
    FieldReader,
    amount,
    counter,
    elements,
    mapping,
    name,
    number,
    signed_number,
    text,
)
from fescuecrank_service.interfaces import Configuration
from result import Err, Ok, Result

T = TypeVar("T")

CONFIG_KEY = "config"
WAVE_KEY_PREFIX = "wave/"

OPERATION = "config.decode"


# Most problems of one kind of entry that are described; the others are counted.
MAX_PROBLEMS = 20


def decode_configuration(values: dict[str, bytes]) -> Result[Configuration, Failure]:
    """Return the configuration and the waves from the newest value of each key.

    Waves whose value is empty have been deleted. An unreadable route, pool, team or wave is left
    out and named in `problems`; the others are in force.
    """
    problems: list[str] = []
    try:
        config = _decode_config(orjson.loads(values.get(CONFIG_KEY, b"")), problems)
    except ValueError as exc:
        return Err(Failure(FailureKind.INVALID, OPERATION, "", str(exc)))
    documents = (
        (key, value)
        for key, value in sorted(values.items())
        if key.startswith(WAVE_KEY_PREFIX) and value
    )
    waves = _decode_each(
        documents, lambda item: _decode_wave(orjson.loads(item[1])), "wave", problems
    )
    return Ok(Configuration(config, waves, tuple(problems)))


def _decode_each(
    entries: Iterable[Any], decode: Callable[[Any], T], kind: str, problems: list[str]
) -> tuple[T, ...]:
    """Decode the readable entries; append a description of each other one to `problems`."""
    decoded, rejected = [], []
    for place, entry in enumerate(entries):
        try:
            decoded.append(decode(entry))
        except ValueError as exc:
            rejected.append(f"{kind} {place}: {exc}")
    problems += rejected[:MAX_PROBLEMS]
    if len(rejected) > MAX_PROBLEMS:
        problems.append(f"{kind}: {len(rejected) - MAX_PROBLEMS} more")
    return tuple(decoded)


def decode_resources(fields: Any, check: Callable[[Any], Any] = number) -> Resources:
    """Return amounts of resources that pass a check; a missing field means 0."""
    reader = FieldReader({} if fields is None else fields)
    return Resources(*(reader.read(field, check, 0) for field in ("cpu", "mem_mb", "gpu")))


def decode_labels(value: Any) -> tuple[str, ...]:
    """Return the labels of a worker or a machine."""
    return elements(value, name, MAX_LABELS)


def _decode_config(document: Any, problems: list[str]) -> FleetConfig:
    fields = FieldReader(document)
    limits = FieldReader(fields.optional("limits", mapping, {}))

    def decode_table(table: str, decode: Callable[[Any], T], kind: str) -> tuple[T, ...]:
        return _decode_each(fields.optional(table, _entries, ()), decode, kind, problems)

    return FleetConfig(
        version=fields.read("version", counter),
        queues=decode_table("routes", _decode_queue, "route"),
        pools={pool.name: pool for pool in decode_table("backends", _decode_pool, "pool")},
        teams={team.name: team for team in decode_table("tenants", _decode_team, "team")},
        max_body_bytes=limits.read("max_body_bytes", amount, 262_144),
    )


def _entries(value: Any) -> tuple[Any, ...]:
    return elements(value, lambda entry: entry)


def _decode_pool(document: Any) -> Pool:
    fields = FieldReader(document)
    return Pool(
        fields.read("name", name),
        fields.read("admission_check", bool, False),
        fields.read("standby", bool, False),
    )


def _decode_team(document: Any) -> Team:
    fields = FieldReader(document)
    return Team(
        fields.read("name", name),
        fields.optional("api_keys", _api_keys, ()),
        fields.read("weight", number, 1),
        fields.optional("cap", decode_resources, NO_RESOURCES),
    )


def _api_keys(value: Any) -> tuple[str, ...]:
    return elements(value, text)


def _decode_queue(document: Any) -> Queue:
    fields = FieldReader(document)
    return Queue(
        name=fields.read("name", name),
        host=fields.read("host", text),
        prefix=fields.read("path_prefix", text),
        pool=fields.read("backend", name),
        priority=fields.read("priority", signed_number, 0),
        max_attempts=fields.read("max_attempts", amount, 1),
        stretch=fields.read("stretch", number, 1.0),
        # Service level objective: time allowed beyond `stretch` times the critical path.
        objective_ms=fields.read("slo_ms", number, 0),
        timeout_ms=fields.read("timeout_ms", number, 0),
        is_open=fields.read("public", bool, False),
        needs_advice=fields.read("advice", bool, False),
    )


def _decode_wave(document: Any) -> Wave:
    fields = FieldReader(document)
    return Wave(
        fields.read("wave", amount),
        fields.read("machines", _machine_names),
        int(1_000 * fields.read("duration_s", _seconds, 0)),
        fields.read("cap", amount, 1),
    )


def _machine_names(value: Any) -> tuple[str, ...]:
    return elements(value, name)


def _seconds(value: Any) -> float:
    return number(value, limit=MAX_TIME_MS / 1_000)
