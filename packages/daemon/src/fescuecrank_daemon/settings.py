"""Settings of one entry; every field carries its unit, default and range as metadata."""

import enum
from typing import Any

import attrs
from fescuecrank_core.declarations import METADATA_KEY, FieldInfo, described

MAX_MS = 3_600_000
MAX_BYTES = 1_073_741_824


def secret(doc: str) -> Any:
    """Return a text field that is omitted from `repr`."""
    return attrs.field(metadata={METADATA_KEY: FieldInfo(doc)}, repr=False)


def duration(doc: str, default: int) -> Any:
    """Return a field for a positive duration in milliseconds."""
    return described(doc, default=default, unit="ms", minimum=1, maximum=MAX_MS)


def size(doc: str, default: int) -> Any:
    """Return a field for a positive size in bytes."""
    return described(doc, default=default, unit="bytes", minimum=1, maximum=MAX_BYTES)


@attrs.frozen
class ListenerTls:
    """TLS of a listener."""

    cert_file: str = described("Certificate chain in PEM.")
    key_file: str = described("Private key in PEM.")
    client_ca_file: str = described(
        "CA that client certificates must be signed by; empty to request none.", default=""
    )


@attrs.frozen
class ClientTls:
    """TLS of outgoing connections; the server's certificate is always verified."""

    ca_file: str = described("CA that server certificates must be signed by.")
    cert_file: str = described("Certificate chain shown to the server, if any.", default="")
    key_file: str = described("Private key of that certificate.", default="")


@attrs.frozen
class HttpSettings:
    """The listener for callers and operators."""

    address: str = described("Listening address as ip:port.")
    max_body_bytes: int = size("Largest request body.", 1_048_576)
    max_header_bytes: int = size("Largest request head.", 16_384)
    header_timeout_ms: int = duration(
        "Longest time for a request head, and longest idle time of a connection.", 30_000
    )
    body_timeout_ms: int = duration("Longest time for a request body.", 30_000)
    default_wait_ms: int = duration("How long a submission waits for its answer.", 30_000)
    max_wait_ms: int = duration("Longest wait that a caller may ask for.", 120_000)
    operator_wait_ms: int = duration("Longest wait of operator calls and lookups.", 15_000)
    max_pending: int = described(
        "Calls that may wait for an answer at once before new ones are refused.",
        default=10_000,
        unit="calls",
        minimum=1,
        maximum=1_000_000,
    )
    max_pending_bytes: int = size(
        "Total size of the bodies of waiting calls before new ones are refused.", 67_108_864
    )
    tls: ListenerTls | None = described("TLS of the listener; plain HTTP without it.", default=None)


@attrs.frozen
class PeerSettings:
    """Connections between entries."""

    address: str = described("Listening address as ip:port; peers connect to it.")
    shared_key: str = secret("Key that all entries share, at least 32 characters.")
    seeds: dict[str, str] = described(
        "Initial peers, as a mapping of name to ip:port.", factory=dict
    )
    silence_ms: int = duration("Silence after which a connection is replaced.", 1_500)
    heartbeat_ms: int = duration("Interval of connection heartbeats.", 250)
    connect_timeout_ms: int = duration("Longest time to connect and authenticate.", 1_500)
    max_message_bytes: int = size("Largest message.", 8_388_608)
    queue_messages: int = described(
        "Messages queued for one peer; beyond this number, the oldest are dropped.",
        default=4_096,
        unit="messages",
        minimum=1,
        maximum=1_000_000,
    )
    queue_bytes: int = size("Bytes queued for one peer.", 16_777_216)
    listener_tls: ListenerTls | None = described("TLS of the peer listener.", default=None)
    client_tls: ClientTls | None = described("TLS of connections to peers.", default=None)


@attrs.frozen
class LogSettings:
    """The platform's log service."""

    url: str = described("Base URL with an IP address.")
    adapter: str = described("Name of the adapter.", default="http")
    connect_timeout_ms: int = duration("Longest time to connect.", 500)
    append_timeout_ms: int = duration("Longest time for an append.", 2_000)
    read_timeout_ms: int = duration("Longest time for a read, the wait included.", 1_500)
    read_wait_ms: int = duration("How long the log may hold a read that has no records.", 200)
    read_limit: int = described(
        "Largest number of records in one read.",
        default=1_000,
        unit="records",
        minimum=1,
        maximum=100_000,
    )
    max_answer_bytes: int = size("Largest answer to a read.", 33_554_432)
    retention_ms: int = described(
        "Minimum time for which the log keeps records; snapshots are written at half of it.",
        default=86_400_000,
        unit="ms",
        minimum=10_000,
        maximum=31_536_000_000,
    )
    max_clients: int = described(
        "Limit on calls in flight; further calls wait.",
        default=256,
        unit="calls",
        minimum=2,
        maximum=100_000,
    )
    tls: ClientTls | None = described("TLS settings of https URLs.", default=None)


@attrs.frozen
class InstanceSettings:
    """The platform's instance list."""

    url: str = described("Base URL with an IP address.")
    adapter: str = described("Name of the adapter.", default="http")
    connect_timeout_ms: int = duration("Longest time to connect.", 500)
    timeout_ms: int = duration("Longest time for one poll.", 1_500)
    max_answer_bytes: int = size("Largest instance list.", 33_554_432)
    tls: ClientTls | None = described("TLS settings of https URLs.", default=None)


@attrs.frozen
class WorkerSettings:
    """Calls to workers."""

    adapter: str = described("Name of the adapter.", default="http")
    connect_timeout_ms: int = duration("Longest time to connect.", 500)
    answer_wait_ms: int = duration("How long a worker may hold a call for a running task.", 1_000)
    silence_ms: int = duration("Silence after which a call counts as lost.", 1_500)
    body_timeout_ms: int = duration(
        "Added to the silence limit for calls that carry a request body.", 3_000
    )
    max_answer_bytes: int = size("Largest answer body.", 4_194_304)
    max_clients: int = described(
        "Limit on calls in flight; further calls wait.",
        default=10_000,
        unit="calls",
        minimum=10,
        maximum=1_000_000,
    )
    tls: ClientTls | None = described("TLS settings; workers are called by HTTPS.", default=None)


@attrs.frozen
class OperatorKey:
    """An operator key that is valid before the log holds any; salt and digest are in base64."""

    key_id: str = described("Id of the key.")
    salt: str = described("Salt of the digest.")
    digest: str = described("HMAC-SHA-256 of the secret under the salt.")


class LogLevel(enum.StrEnum):
    """Least severe level that is written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@attrs.frozen
class LoggingSettings:
    """Log output, as JSON lines on standard error."""

    level: LogLevel = described("Least severe level that is written.", default=LogLevel.INFO)
    calls: bool = described("Whether each HTTP call is logged.", default=True)


class TraceExporter(enum.StrEnum):
    """Destination of spans."""

    NONE = "none"
    OTLP = "otlp"
    JSON = "json"


@attrs.frozen
class TracingSettings:
    """OpenTelemetry spans."""

    exporter: TraceExporter = described("Destination of spans.", default=TraceExporter.NONE)
    endpoint: str = described("URL of the OTLP receiver.", default="")
    file: str = described("File for JSON lines; empty for standard error.", default="")
    sample_ratio: float = described(
        "Fraction of new traces that is recorded.", default=0.01, minimum=0, maximum=1
    )


@attrs.frozen
class Settings:
    """All settings of one entry."""

    name: str = described("Name of the entry, unique in the fleet.")
    region: str = described("Region of the entry.")
    data_centre: str = described("Data centre of the entry.")
    http: HttpSettings = described("Listener for callers and operators.")
    peers: PeerSettings = described("Connections between entries.")
    log: LogSettings = described("Log service.")
    instances: InstanceSettings = described("Instance list.")
    workers: WorkerSettings = described("Calls to workers.", factory=WorkerSettings)
    operator_keys: tuple[OperatorKey, ...] = described("Operator keys.", factory=tuple)
    logging: LoggingSettings = described("Log output.", factory=LoggingSettings)
    tracing: TracingSettings = described("Spans.", factory=TracingSettings)
