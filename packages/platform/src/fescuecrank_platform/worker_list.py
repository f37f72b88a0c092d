"""Decodes the list of workers, in which each worker writes its own entry."""

from typing import Any

import orjson
from fescuecrank_scheduler.events import RejectedEntry, WorkerEntry, WorkersRead
from fescuecrank_scheduler.fleet import Resources
from fescuecrank_scheduler.records import StoredRecord
from fescuecrank_scheduler.validation import (
    FieldReader,
    address,
    amount,
    describe,
    mapping,
    name,
    number,
    required_name,
    signed_number,
    text,
    token,
    whole_number,
)

from fescuecrank_platform.configuration import decode_labels, decode_resources

# Whether a worker accepts new runs, by its state.
READY_BY_STATE = {"ready": True, "draining": False}


def decode_workers(records: tuple[StoredRecord, ...], complete: bool) -> WorkersRead:
    """Return the workers that records describe, and the entries that cannot be used.

    An empty value removes the worker. So does an entry that cannot be used: it names no worker.
    """
    entries: dict[str, WorkerEntry] = {}
    removed: dict[str, None] = {}
    rejected: dict[str, RejectedEntry] = {}
    for stored in records:
        key, value = stored.record.key, stored.record.value
        entries.pop(key, None)
        removed.pop(key, None)
        rejected.pop(key, None)
        if not value:
            removed[key] = None
            continue
        try:
            entries[key] = _decode_entry(key, value)
        except ValueError as exc:
            removed[key] = None
            rejected[key] = RejectedEntry(key, stored.offset, getattr(exc, "field", ""), str(exc))
    return WorkersRead(tuple(entries.values()), tuple(removed), complete, tuple(rejected.values()))


def _decode_entry(key: str, value: bytes) -> WorkerEntry:
    """Return the worker; raises `ValueError` if the entry cannot be used."""
    fields = FieldReader(orjson.loads(value))
    return WorkerEntry(
        id=token(key),
        address=fields.read("address", address),
        # The platform calls a worker's pool its back end.
        pool=fields.read("backend", required_name),
        zone=fields.read("zone", name, ""),
        ready=fields.read("state", _is_ready),
        capacity=fields.read("capacity", _capacity),
        labels=fields.optional("labels", decode_labels, ()),
        machine=fields.read("machine", name, ""),
        started_ms=fields.read("born", whole_number, 0),
        clock_ms=fields.optional("clock_ms", signed_number, None),
        remaining_ms=fields.optional("remaining_ms", number, None),
    )


def _is_ready(value: Any) -> bool:
    try:
        return READY_BY_STATE[text(value)]
    except KeyError as exc:
        raise ValueError(f"must be one of {list(READY_BY_STATE)}, is {describe(value)}") from exc


def _capacity(value: Any) -> Resources:
    return decode_resources(mapping(value), amount)
