"""Identity of one entry and the time-outs that it works with."""

import attrs

from fescuecrank_core.records import KeyGranted

# Two heartbeats may be lost before a proof of currency ends; 8 entries stay under 7 KB/s each.
HEARTBEAT_MS = 500
# Nothing visible is done on knowledge older than this. With the margin of TAKEOVER_WAIT_MS it keeps
# the time until a change is in force everywhere under 3 s.
CURRENCY_MS = 2_000
# Longer than CURRENCY_MS by what a command may be under way between the last check and the worker.
TAKEOVER_WAIT_MS = 2_500
SUSPECT_MS = 1_500
REMOVE_MS = 3_000
LOG_READ_INTERVAL_MS = 150
LOG_READ_TIMEOUT_MS = 1_500
LIST_INTERVAL_MS = 1_000
DEFAULT_LOG_RETENTION_MS = 86_400_000


@attrs.define
class EntryConfig:
    """Identity of one entry.

    `incarnation` grows with each start of the same name. `seeds` maps names of peers to their
    `ip:port`; later peers are learned from the log. `operator_keys` are in force without the log,
    so that the first declarations can be published. `log_retention_ms` is how long the log keeps
    records at least.
    """

    name: str
    region: str
    data_centre: str
    peer_address: str
    incarnation: int
    seeds: dict[str, str] = attrs.field(factory=dict)
    operator_keys: tuple[KeyGranted, ...] = ()
    log_retention_ms: int = DEFAULT_LOG_RETENTION_MS
