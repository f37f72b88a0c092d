"""Reads the settings file that the platform writes for each process."""

from pathlib import Path
from typing import Any

import attrs
import yaml
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_scheduler.leadership import claim_handicap_ms
from fescuecrank_scheduler.limits import Limits
from result import Err, Ok, Result

SETTINGS_ENV = "FESCUECRANK_NODE_FILE"

# Value of `orders` if workers are called with their orders. The other mode, in which workers fetch
# orders with their heartbeats, is not implemented.
ORDERS_BY_CALL = "call"

OPERATION = "settings.read"


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
    """Return the validated settings; the failure names the file and the field."""
    try:
        document = yaml.load(
            path.read_bytes(), Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader)
        )
    except (OSError, yaml.YAMLError) as exc:
        return Err(Failure(FailureKind.INVALID, OPERATION, str(path), str(exc)))
    reader = _FieldReader(document, str(path))
    try:
        return Ok(
            PlatformSettings(
                node=reader.string("node_name"),
                data_centre=reader.string("zone"),
                front_address=reader.string("listen_addrs.front"),
                ready_address=reader.string("listen_addrs.ready"),
                store_address=reader.string("platform.address"),
                machines_address=reader.string("cloud.address", ""),
                advice_address=reader.string("advice", ""),
                order_delivery=reader.string("orders", ORDERS_BY_CALL),
                lease_max_ms=reader.number("bounds.hold_max_ms", 10_000),
                maintenance_ms=int(1_000 * reader.number("bounds.maintenance_s", 2)),
                status_retention_ms=int(1_000 * reader.number("bounds.status_s", 120)),
                # The share of a core counts in cores of the given speed.
                cores=reader.number("limits.cpu_share", 0) * reader.number("limits.cpu_cores", 1),
                link_mbps=reader.number("limits.link_mbps", 0),
                memory_mb=reader.number("limits.memory_mb", 0),
            )
        )
    except ValueError as exc:
        return Err(Failure(FailureKind.INVALID, OPERATION, str(path), str(exc)))


class _FieldReader:
    """Typed access to nested fields by dotted path; `ValueError` names an invalid field."""

    def __init__(self, document: Any, path: str) -> None:
        self._document = document
        self._path = path

    def _find(self, name: str) -> Any:
        value = self._document
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def string(self, name: str, default: str | None = None) -> str:
        """Return a string that is not empty, or `default` if the field is missing."""
        value = self._find(name)
        if value is None and default is not None:
            return default
        if not isinstance(value, str) or not value:
            raise ValueError(f"field {name}: must be a string, is {value!r}")
        return value

    def number(self, name: str, default: float) -> Any:
        """Return a number of at least 0, or `default` if the field is missing."""
        value = self._find(name)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            raise ValueError(f"field {name}: must be a number of at least 0, is {value!r}")
        return value
