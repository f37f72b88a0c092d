"""Metrics of one entry, rendered in the Prometheus exposition format."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from fescuecrank_core.metrics import DESCRIPTIONS, Sample

PREFIX = "fescuecrank_"

# A step of the reducer takes far less than a millisecond, a call may take minutes.
STEP_BUCKETS_S = (0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.1, float("inf"))
CALL_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0, float("inf"))


class DaemonMetrics:
    """The daemon's metrics, and the registry that holds them and those of the reducer."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._reducer_metrics: dict[str, Counter | Gauge] = {}
        self._observed_histograms: dict[str, Histogram] = {}
        self._step_seconds = self._histogram(
            "decision_seconds", "Time of one reducer step by event.", STEP_BUCKETS_S
        )
        self._call_seconds = self._histogram(
            "call_seconds", "Time of calls by step.", CALL_BUCKETS_S
        )
        self._http_answers = self._counter(
            "http_answers_total", "HTTP answers by route and status."
        )
        self._log_lag = self._gauge("log_lag_records", "Records not read yet at the last read.")
        self._peers_connected = self._gauge(
            "peer_connected", "Whether a connection to a peer is up."
        )
        self._messages_received = self._counter("peer_messages_total", "Messages received by peer.")
        self._messages_dropped = self._counter(
            "peer_dropped_total", "Messages dropped by peer and reason."
        )
        self._peers_refused = self._counter(
            "peer_refused_total", "Connections that did not prove the key."
        )
        self._orphan_replies = self._counter(
            "orphan_replies_total", "Replies whose caller had gone."
        )
        self._pending_replies = self._gauge(
            "pending_replies", "Calls that wait for the reducer's reply."
        )

    def observe_step(self, event: str, seconds: float) -> None:
        """Observe the duration of one step of the reducer."""
        self._step_seconds.observe({"event": event}, seconds)

    def observe_call(self, step: str, seconds: float) -> None:
        """Observe the duration of one call to a platform service."""
        self._call_seconds.observe({"step": step}, seconds)

    def count_http_answer(self, route: str, status: int) -> None:
        """Count one HTTP answer."""
        self._http_answers.inc({"route": route, "status": str(status)})

    def set_log_lag(self, records: int) -> None:
        """Set how many records the last read left unread."""
        self._log_lag.set({}, records)

    def set_peer_connected(self, peer: str, up: bool) -> None:
        """Set whether the connection to a peer is up."""
        self._peers_connected.set({"peer": peer}, int(up))

    def count_peer_message(self, peer: str) -> None:
        """Count one message received from a peer."""
        self._messages_received.inc({"peer": peer})

    def count_dropped_messages(self, peer: str, reason: str, count: int) -> None:
        """Count dropped messages to or from a peer."""
        self._messages_dropped.add({"peer": peer, "reason": reason}, count)

    def count_refused_peer(self) -> None:
        """Count one connection that failed to authenticate."""
        self._peers_refused.inc({})

    def count_orphan_reply(self) -> None:
        """Count one reply whose call no longer waits."""
        self._orphan_replies.inc({})

    def observe(self, name: str, seconds: float, labels: dict[str, str]) -> None:
        """Add one duration that the reducer observed to its histogram."""
        if name not in self._observed_histograms:
            doc = "Durations that the reducer observes."
            self._observed_histograms[name] = self._histogram(name, doc, CALL_BUCKETS_S)
        self._observed_histograms[name].observe(labels, seconds)

    def render(self, samples: list[Sample], pending: int, accept: str) -> tuple[bytes, dict]:
        """Return body and headers of the exposition, which includes the reducer's samples.

        Samples of the reducer whose names end in `_total` are counters, all others gauges. Series
        of cells that this entry no longer holds are dropped.
        """
        self._pending_replies.set({}, pending)
        for metric in self._reducer_metrics.values():
            metric.values.clear()
        for sample in samples:
            self._reducer_metric(sample.name).set(sample.labels, sample.value)
        return render(self._registry, [accept or "text/plain"])

    def _reducer_metric(self, name: str) -> Counter | Gauge:
        if name not in self._reducer_metrics:
            make = self._counter if name.endswith("_total") else self._gauge
            self._reducer_metrics[name] = make(name, DESCRIPTIONS[name])
        return self._reducer_metrics[name]

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(PREFIX + name, doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(PREFIX + name, doc, registry=self._registry)

    def _histogram(self, name: str, doc: str, buckets: tuple[float, ...]) -> Histogram:
        return Histogram(PREFIX + name, doc, registry=self._registry, buckets=buckets)
