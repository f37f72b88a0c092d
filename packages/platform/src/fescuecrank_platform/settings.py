"""Reads the settings file that the platform writes for each process."""

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import attrs
import yaml
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_scheduler.leadership import claim_handicap_ms
from fescuecrank_scheduler.limits import Limits
from fescuecrank_scheduler.validation import (
    FieldError,
    address,
    header_value,
    listen_address,
    number,
    required_name,
)
from result import Err, Ok, Result

T = TypeVar("T")

SETTINGS_ENV = "FESCUECRANK_NODE_FILE"

# Value of `orders` if workers are called with their orders. The other mode, in which workers fetch
# orders with their heartbeats, is not implemented.
ORDERS_BY_CALL = "call"

OPERATION = "settings.read"

LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

# Errors of reading the file. The constructors of the YAML library pass on what Python's raise for
# values such as a date in month 99 or an integer of 5,000 digits.
LOAD_ERRORS = (
    OSError,
    yaml.YAMLError,
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    RecursionError,
)

# Characters of such an error that are shown.
MAX_DETAIL = 500

# A lease has to outlast a hold and its repetition; a shorter one would end runs of sound workers.
MIN_LEASE_MS = 1_000

# Larger limits and times are mistakes.
MAX_NUMBER = 10**9

# Margin for the way of an answer to its caller.
VISIBLE_MARGIN_MS = 300

# Time from a worker's write of its entry until the leader has read it (a pause between reads and a
# read that has to be repeated), and for the way of a start.
ENTRY_READ_MS = 1_500

# Least size of an append; the record of a renewal takes some kilobytes.
MIN_APPEND_BYTES = 65_536


@attrs.frozen
class PlatformSettings:
    """Settings of one process; addresses have the form `host:port`."""

    node: str
    data_centre: str
    front_address: str
    ready_address: str
    store_address: str
    machines_address: str
    advice_address: str
    order_delivery: str
    lease_max_ms: int
    maintenance_ms: int
    status_retention_ms: int
    # Time after its acceptance by which every process has to know a job.
    visible_ms: int
    # Interval at which workers write their entries, and how long after that their capacity counts.
    heartbeat_ms: int = 1_500
    # Time after its acknowledgement by which a configuration has to be in force.
    config_ms: int = 3_000
    contact_ms: int = 3_000
    # Largest append that the store takes, and largest record in it.
    call_bytes: int = 2_097_152
    record_bytes: int = 262_144
    # Size of the machine; 0 if the settings do not state it.
    cores: float = 0.0
    link_mbps: float = 0.0
    memory_mb: float = 0.0

    def limits(self) -> Limits:
        """Return the scheduler's limits, derived from the bounds of the deployment."""
        return Limits(
            lease_max_ms=self.lease_max_ms,
            lease_ms=min(Limits.__attrs_attrs__.lease_ms.default, self.lease_max_ms),
            maintenance_ms=self.maintenance_ms,
            # 30 s longer than the platform requires.
            keep_ended_ms=self.status_retention_ms + 30_000,
            max_copy_age_ms=max(0, self.visible_ms - VISIBLE_MARGIN_MS),
            max_entry_age_ms=self.heartbeat_ms + max(0, self.contact_ms - ENTRY_READ_MS),
            max_config_age_ms=self.config_ms,
            # The last record of an append may exceed the limit by its own size, and a renewal of
            # the leadership is stored with it.
            max_append_bytes=max(1, self.call_bytes - 3 * self.record_bytes),
            claim_handicap_ms=claim_handicap_ms(self.cores, self.link_mbps, self.memory_mb),
        )


@attrs.define
class Endpoints:
    """Addresses of the platform's services; a reload of the settings may change them."""

    store: str
    machines: str
    advice: str

    @classmethod
    def from_settings(cls, cfg: PlatformSettings) -> "Endpoints":
        """Return the addresses in the settings."""
        return cls(cfg.store_address, cfg.machines_address, cfg.advice_address)

    def update(self, cfg: PlatformSettings) -> None:
        """Use the addresses in new settings for all further calls."""
        self.store, self.machines, self.advice = (
            cfg.store_address,
            cfg.machines_address,
            cfg.advice_address,
        )


def read_settings(path: Path) -> Result[PlatformSettings, Failure]:
    """Return the validated settings; the failure names the file, the line and the field."""
    try:
        text = path.read_bytes()
        document = yaml.load(text, Loader=LOADER)
    except LOAD_ERRORS as exc:
        detail = f"{type(exc).__name__}: {str(exc)[:MAX_DETAIL]}"
        return Err(Failure(FailureKind.INVALID, OPERATION, str(path), detail))
    reader = _FieldReader(document)
    try:
        return Ok(
            PlatformSettings(
                node=reader.read("node_name", header_value),
                data_centre=reader.read("zone", required_name),
                front_address=reader.read("listen_addrs.front", listen_address),
                ready_address=reader.read("listen_addrs.ready", listen_address),
                store_address=reader.read("platform.address", address),
                machines_address=reader.read("cloud.address", address, ""),
                advice_address=reader.read("advice", address, ""),
                order_delivery=reader.read("orders", required_name, ORDERS_BY_CALL),
                lease_max_ms=reader.number("bounds.hold_max_ms", 10_000, MIN_LEASE_MS),
                maintenance_ms=int(1_000 * reader.number("bounds.maintenance_s", 2)),
                status_retention_ms=int(1_000 * reader.number("bounds.status_s", 120)),
                visible_ms=reader.number("bounds.visible_ms", 3_000),
                heartbeat_ms=reader.number("heartbeat_ms", 1_500),
                config_ms=reader.number("bounds.config_ms", 3_000),
                contact_ms=reader.number("bounds.contact_ms", 3_000),
                call_bytes=reader.number("platform.call_bytes", 2_097_152, MIN_APPEND_BYTES),
                record_bytes=reader.number("platform.record_bytes", 262_144, 1),
                # The share of a core counts in cores of the given speed.
                cores=reader.number("limits.cpu_share", 0) * reader.number("limits.cpu_cores", 1),
                link_mbps=reader.number("limits.link_mbps", 0),
                memory_mb=reader.number("limits.memory_mb", 0),
            )
        )
    except FieldError as exc:
        detail = f"line {_line_of(text, exc.field)}: {exc}"
        return Err(Failure(FailureKind.INVALID, OPERATION, str(path), detail))


def _line_of(text: bytes, field: str) -> int:
    """Return the line of a field, or of the innermost table that should contain it, from 1 on."""
    node = yaml.compose(text, Loader=LOADER)
    line = 1
    for part in field.split("."):
        if not isinstance(node, yaml.MappingNode):
            break
        found = [(key, value) for key, value in node.value if key.value == part]
        if not found:
            break
        key, node = found[-1]
        line = key.start_mark.line + 1
    return line


class _FieldReader:
    """Typed access to nested fields by dotted path; raises `FieldError` for an invalid one."""

    def __init__(self, document: Any) -> None:
        self._document = document

    def _find(self, name: str) -> Any:
        value = self._document
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def read(self, name: str, check: Callable[[Any], T], *default: T) -> T:
        """Return the checked value of a field; if it is missing, `default` if that is given."""
        value = self._find(name)
        if value is None and default:
            return default[0]
        try:
            return check(value)
        except ValueError as exc:
            raise FieldError(name, str(exc)) from exc

    def number(self, name: str, default: float, least: float = 0) -> Any:
        """Return a number from `least` to `MAX_NUMBER`, or `default` if the field is missing."""
        return self.read(name, lambda value: number(value, least, MAX_NUMBER), default)
