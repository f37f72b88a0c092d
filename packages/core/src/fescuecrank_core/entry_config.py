"""Identity and timing constants of one entry."""

import attrs

from fescuecrank_core.records import KeyGranted

# An entry stays current when two heartbeats in a row are lost. With 8 entries, heartbeats cost
# less than 7 KB/s per entry.
HEARTBEAT_MS = 500
# An entry whose state may be older than this has no visible effects. Together with the margin of
# TAKEOVER_WAIT_MS, a change is in force everywhere within 3 s.
MAX_STALENESS_MS = 2_000
# Wait of a new holder before it acts. It exceeds MAX_STALENESS_MS by the time that a command may
# spend between the last check and the worker.
TAKEOVER_WAIT_MS = 2_500
# Without a heartbeat for this time, a peer no longer counts as live and is reconnected.
SUSPECT_AFTER_MS = 1_500
# After this time a silent member is removed from the members.
REMOVE_AFTER_MS = 3_000
LOG_READ_INTERVAL_MS = 150
LOG_READ_TIMEOUT_MS = 1_500
INSTANCE_LIST_INTERVAL_MS = 1_000
DEFAULT_LOG_RETENTION_MS = 86_400_000


@attrs.define
class EntryConfig:
    """Identity and settings of one entry.

    `incarnation` increases with each start under the same name. `seeds` maps the names of the
    initial peers to their `ip:port`; the log names all later peers. `operator_keys` are valid
    without the log, so that the first declarations can be published. `log_retention_ms` is the
    minimum time for which the log keeps a record.
    """

    name: str
    region: str
    data_centre: str
    peer_address: str
    incarnation: int
    seeds: dict[str, str] = attrs.field(factory=dict)
    operator_keys: tuple[KeyGranted, ...] = ()
    log_retention_ms: int = DEFAULT_LOG_RETENTION_MS
