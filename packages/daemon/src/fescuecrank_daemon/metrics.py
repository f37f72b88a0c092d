"""Metrics of one entry, rendered in the Prometheus exposition format."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from fescuecrank_core.metrics import DESCRIPTIONS, Sample

PREFIX = "fescuecrank_"

# Bounds in seconds. A decision takes well below a millisecond, an answer may take minutes.
DECISION_BUCKETS = (0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.1, float("inf"))
CALL_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0, float("inf"))


class ShellMetrics:
    """What the daemon itself measures, and the registry that the reducer's figures join."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._core: dict[str, Counter | Gauge] = {}
        self._observed: dict[str, Histogram] = {}
        self._decisions = self._histogram(
            "decision_seconds", "Time of one reducer step by event.", DECISION_BUCKETS
        )
        self._calls = self._histogram("call_seconds", "Time of calls by step.", CALL_BUCKETS)
        self._http = self._counter("http_answers_total", "HTTP answers by route and status.")
        self._log_lag = self._gauge("log_lag_records", "Records not read yet at the last read.")
        self._peers = self._gauge("peer_connected", "Whether a connection to a peer is up.")
        self._received = self._counter("peer_messages_total", "Messages received by peer.")
        self._dropped = self._counter("peer_dropped_total", "Messages dropped by peer and reason.")
        self._refused = self._counter(
            "peer_refused_total", "Connections that did not prove the key."
        )
        self._orphans = self._counter("orphan_replies_total", "Replies whose caller had gone.")
        self._pending = self._gauge("pending_replies", "Calls that wait for the reducer's reply.")

    def decided(self, event: str, seconds: float) -> None:
        """Count one step of the reducer."""
        self._decisions.observe({"event": event}, seconds)

    def called(self, step: str, seconds: float) -> None:
        """Count one call to a platform service."""
        self._calls.observe({"step": step}, seconds)

    def answered(self, route: str, status: int) -> None:
        """Count one HTTP answer."""
        self._http.inc({"route": route, "status": str(status)})

    def log_lag(self, records: int) -> None:
        """Set how many records the last read left unread."""
        self._log_lag.set({}, records)

    def peer_connected(self, peer: str, up: bool) -> None:
        """Set whether the connection to a peer is up."""
        self._peers.set({"peer": peer}, int(up))

    def peer_received(self, peer: str) -> None:
        """Count one message of a peer."""
        self._received.inc({"peer": peer})

    def peer_dropped(self, peer: str, reason: str, count: int) -> None:
        """Count messages to or from a peer that were dropped."""
        self._dropped.add({"peer": peer, "reason": reason}, count)

    def peer_refused(self) -> None:
        """Count a connection that did not authenticate."""
        self._refused.inc({})

    def orphan_reply(self) -> None:
        """Count a reply without a waiting caller."""
        self._orphans.inc({})

    def observed(self, name: str, seconds: float, labels: dict[str, str]) -> None:
        """Add one observation of the reducer to its histogram."""
        if name not in self._observed:
            doc = "Durations that the reducer observes."
            self._observed[name] = self._histogram(name, doc, CALL_BUCKETS)
        self._observed[name].observe(labels, seconds)

    def render(self, core: list[Sample], pending: int, accept: str) -> tuple[bytes, dict]:
        """Return body and headers of the exposition, with the reducer's figures included.

        Figures of the reducer whose names end in `_total` are counters, all others gauges. Series
        of cells that this entry no longer holds are dropped.
        """
        self._pending.set({}, pending)
        for metric in self._core.values():
            metric.values.clear()
        for sample in core:
            self._core_metric(sample.name).set(sample.labels, sample.value)
        return render(self._registry, [accept or "text/plain"])

    def _core_metric(self, name: str) -> Counter | Gauge:
        if name not in self._core:
            make = self._counter if name.endswith("_total") else self._gauge
            self._core[name] = make(name, DESCRIPTIONS[name])
        return self._core[name]

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(PREFIX + name, doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(PREFIX + name, doc, registry=self._registry)

    def _histogram(self, name: str, doc: str, buckets: tuple[float, ...]) -> Histogram:
        return Histogram(PREFIX + name, doc, registry=self._registry, buckets=buckets)
