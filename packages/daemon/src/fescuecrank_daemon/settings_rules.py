"""Rules for settings that concern the format of a text or more than one field."""

import base64
import binascii
import ipaddress
from collections.abc import Iterator
from urllib.parse import urlsplit

from fescuecrank_daemon.adapters import INSTANCE_LISTERS, LOG_CLIENTS, WORKER_CLIENTS
from fescuecrank_daemon.settings import Settings, TraceExporter
from fescuecrank_daemon.tls import client_context, listener_context
from fescuecrank_daemon.validation import FieldProblem

MIN_SHARED_KEY_CHARACTERS = 32

# Overhead of a forwarded request beside its body: key, service, fingerprint and framing.
MESSAGE_OVERHEAD_BYTES = 65_536


def check_settings(cfg: Settings) -> list[FieldProblem]:
    """Return all problems with settings whose fields are valid each on its own."""
    checks = (
        _check_addresses,
        _check_urls,
        _check_adapters,
        _check_keys,
        _check_limits,
        _check_tls_files,
    )
    return [problem for check in checks for problem in check(cfg)]


def _check_addresses(cfg: Settings) -> Iterator[FieldProblem]:
    fields = {"http.address": cfg.http.address, "peers.address": cfg.peers.address}
    fields.update({f"peers.seeds.{name}": text for name, text in cfg.peers.seeds.items()})
    for path, text in fields.items():
        host, _, port = text.rpartition(":")
        if not (_is_ip(host) and port.isdecimal() and int(port) <= 65_535):
            yield FieldProblem(path, "expected ip:port with a literal IP address")
    if cfg.name in cfg.peers.seeds:
        yield FieldProblem(f"peers.seeds.{cfg.name}", "an entry cannot be its own seed")


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return True


def _check_urls(cfg: Settings) -> Iterator[FieldProblem]:
    for path, url, tls in (
        ("log.url", cfg.log.url, cfg.log.tls),
        ("instances.url", cfg.instances.url, cfg.instances.tls),
    ):
        parts = urlsplit(url)
        if parts.scheme not in ("http", "https") or not _is_ip(parts.hostname or ""):
            yield FieldProblem(path, "expected an http or https URL with a literal IP address")
        elif (parts.scheme == "https") != (tls is not None):
            yield FieldProblem(path, "https needs tls settings, and tls settings need https")
    if cfg.tracing.exporter is TraceExporter.OTLP and not cfg.tracing.endpoint:
        yield FieldProblem("tracing.endpoint", "the otlp exporter needs an endpoint")


def _check_adapters(cfg: Settings) -> Iterator[FieldProblem]:
    for path, name, known in (
        ("log.adapter", cfg.log.adapter, LOG_CLIENTS),
        ("instances.adapter", cfg.instances.adapter, INSTANCE_LISTERS),
        ("workers.adapter", cfg.workers.adapter, WORKER_CLIENTS),
    ):
        if name not in known:
            yield FieldProblem(path, f"must be one of {', '.join(sorted(known))}")


def _check_keys(cfg: Settings) -> Iterator[FieldProblem]:
    if len(cfg.peers.shared_key) < MIN_SHARED_KEY_CHARACTERS:
        yield FieldProblem(
            "peers.shared_key", f"must have at least {MIN_SHARED_KEY_CHARACTERS} characters"
        )
    for index, key in enumerate(cfg.operator_keys):
        for field in ("salt", "digest"):
            if not _is_base64(getattr(key, field)):
                yield FieldProblem(f"operator_keys[{index}].{field}", "expected base64")


def _is_base64(text: str) -> bool:
    try:
        return bool(base64.b64decode(text, validate=True))
    except (binascii.Error, ValueError):
        return False


def _check_limits(cfg: Settings) -> Iterator[FieldProblem]:
    peers, workers = cfg.peers, cfg.workers
    largest_body = max(cfg.http.max_body_bytes, workers.max_answer_bytes)
    if peers.max_message_bytes < largest_body + MESSAGE_OVERHEAD_BYTES:
        detail = f"must exceed the largest body by {MESSAGE_OVERHEAD_BYTES} bytes"
        yield FieldProblem("peers.max_message_bytes", detail)
    for path, smaller, larger in (
        ("peers.queue_bytes", peers.max_message_bytes, peers.queue_bytes),
        ("peers.silence_ms", 2 * peers.heartbeat_ms, peers.silence_ms),
        ("workers.silence_ms", workers.answer_wait_ms + 1, workers.silence_ms),
        ("log.read_timeout_ms", cfg.log.read_wait_ms + 1, cfg.log.read_timeout_ms),
        ("http.max_pending_bytes", cfg.http.max_body_bytes, cfg.http.max_pending_bytes),
        ("http.max_wait_ms", cfg.http.default_wait_ms, cfg.http.max_wait_ms),
    ):
        if larger < smaller:
            yield FieldProblem(path, f"must be at least {smaller}")


def _check_tls_files(cfg: Settings) -> Iterator[FieldProblem]:
    for path, make_context, tls in (
        ("http.tls", listener_context, cfg.http.tls),
        ("peers.listener_tls", listener_context, cfg.peers.listener_tls),
        ("peers.client_tls", client_context, cfg.peers.client_tls),
        ("log.tls", client_context, cfg.log.tls),
        ("instances.tls", client_context, cfg.instances.tls),
        ("workers.tls", client_context, cfg.workers.tls),
    ):
        try:
            make_context(tls)
        except OSError as exc:
            yield FieldProblem(path, f"unusable certificate, key or CA file: {exc}")
    if (cfg.peers.listener_tls is None) != (cfg.peers.client_tls is None):
        yield FieldProblem("peers", "listener_tls and client_tls must be given together")
