"""Counters, gauges and latency histograms of one process.

Loading the exposition library takes 8 MB and 0.1 s on every machine, so it is loaded at the first
scrape. Counters count from the start of the process, histograms from the first scrape.
"""

from collections import Counter
from typing import Any

import attrs
from fescuecrank_core.clock import Clock, Instant
from fescuecrank_scheduler.reducer import Reducer
from fescuecrank_scheduler.workers import Worker

PREFIX = "fescuecrank_"

# A call usually takes a few milliseconds, and some hundreds when the store is slow.
CALL_BUCKETS_MS = (2, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, float("inf"))


@attrs.define
class Metrics:
    """Metrics of one process, rendered in the Prometheus text format."""

    clock: Clock
    event_counts: Counter = attrs.field(factory=Counter)
    effect_counts: Counter = attrs.field(factory=Counter)
    # Events, effects and calls that ended with an unexpected error.
    event_failures: Counter = attrs.field(factory=Counter)
    response_counts: Counter = attrs.field(factory=Counter)
    call_counts: Counter = attrs.field(factory=Counter)
    # Entries that decoders rejected, by source.
    rejected_counts: Counter = attrs.field(factory=Counter)
    # Calls that a client sent a second time by itself, by operation.
    resent_counts: Counter = attrs.field(factory=Counter)
    _library: Any = None
    _registry: Any = None
    _latency: Any = None

    def record_call(self, call: str, result: str, started_ms: int) -> None:
        """Count one call and record its latency."""
        self.call_counts[call, result] += 1
        if self._latency is not None:
            self._latency.observe({"call": call}, self.clock.now().mono_ms - started_ms)

    def render(self, reducer: Reducer) -> bytes:
        """Return all metrics as text."""
        if self._library is None:
            self._load_library()
        registry = self._library.Registry()
        self._add_counter(registry, "events_total", "Events by kind.", "kind", self.event_counts)
        self._add_counter(registry, "effects_total", "Effects by kind.", "kind", self.effect_counts)
        self._add_counter(
            registry,
            "failures_total",
            "Events, effects and calls that ended with an unexpected error.",
            "kind",
            self.event_failures,
        )
        self._add_counter(
            registry,
            "rejected_entries_total",
            "Entries that cannot be used, by source.",
            "source",
            self.rejected_counts,
        )
        self._add_counter(
            registry,
            "resent_calls_total",
            "Calls that were sent a second time, as a reused connection had been closed.",
            "operation",
            self.resent_counts,
        )
        self._add_counter(
            registry, "answers_total", "Answers by status.", "status", self.response_counts
        )
        calls = self._library.Counter(
            PREFIX + "calls_total", "Calls by step and result.", registry=registry
        )
        for (call, result), count in self.call_counts.items():
            calls.set({"call": call, "result": result}, count)
        registry.register(self._latency)
        for name, (doc, samples) in gauges(reducer, self.clock.now()).items():
            gauge = self._library.Gauge(PREFIX + name, doc, registry=registry)
            for labels, value in samples:
                gauge.set(labels, value)
        text, _ = self._library.render(registry, ["text/plain"])
        return text

    def _load_library(self) -> None:
        import aioprometheus  # noqa: PLC0415

        self._library = aioprometheus
        self._latency = aioprometheus.Histogram(
            PREFIX + "call_ms",
            "Time of calls in milliseconds.",
            buckets=CALL_BUCKETS_MS,
            registry=aioprometheus.Registry(),
        )

    def _add_counter(self, registry: Any, name: str, doc: str, label: str, counts: Counter) -> None:
        counter = self._library.Counter(PREFIX + name, doc, registry=registry)
        for key, count in counts.items():
            counter.set({label: str(key)}, count)


Samples = list[tuple[dict[str, str], float]]


def gauges(reducer: Reducer, now: Instant) -> dict[str, tuple[str, Samples]]:
    """Return the help text and the samples of each gauge, by name, from the reducer's state."""
    now_ms = now.mono_ms
    config_age_ms = reducer.intake.config_age.age_ms(now)
    table = reducer.table
    state = reducer.scheduler.state if reducer.scheduler is not None else None
    open_jobs = Counter(job.queue for job in table.jobs.values() if job.open)
    synced_ms = reducer.intake.synced_ms
    gauges_by_name: dict[str, tuple[str, Samples]] = {
        "leader": ("Whether this process leads.", [({}, float(state is not None))]),
        "epoch": ("Newest epoch seen.", [({}, table.leader.epoch if table.leader else 0)]),
        "loop_late_ms": (
            "Lateness of the leader's ticks in the last 2.5 s.",
            [({}, reducer.loop_late_ms)],
        ),
        "ready": ("Whether this process takes new connections.", [({}, float(reducer.ready))]),
        "config_version": ("Configuration in force.", [({}, reducer.config.version)]),
        "config_age_ms": (
            "Time for which a newer configuration may be in force elsewhere; -1 before the first.",
            [({}, config_age_ms if config_age_ms is not None else -1)],
        ),
        "copy_age_ms": (
            "Age of the copies of the store.",
            [({}, now_ms - synced_ms if synced_ms is not None else -1)],
        ),
        "open_jobs": (
            "Jobs that need work, by queue.",
            [({"queue": queue}, count) for queue, count in open_jobs.items()],
        ),
        "open_requests": (
            "Requests that wait for the store.",
            [({}, reducer.intake.open_requests)],
        ),
    }
    if state is None:
        return gauges_by_name
    workers: Counter = Counter()
    free_cpu: Counter = Counter()
    for worker in state.workers.values():
        usable = worker.usable(now_ms, reducer.limits)
        workers[worker.pool, "usable" if usable else "unusable"] += 1
        free_cpu[worker.pool] += worker.free.cpu if usable else 0
    gauges_by_name["workers"] = (
        "Workers by pool and use.",
        [({"pool": pool, "state": state}, n) for (pool, state), n in workers.items()],
    )
    gauges_by_name["free_cpu"] = (
        "Free thousandths of a core on usable workers.",
        [({"pool": pool}, cpu) for pool, cpu in free_cpu.items()],
    )
    gauges_by_name["waiting_work_ms"] = (
        "Work without room, in milliseconds of a core.",
        [({"pool": pool}, work) for pool, work in state.waiting_work.items()],
    )
    gauges_by_name["workers_away"] = (
        "Workers with runs that do not answer.",
        [({}, sum(_is_away(worker) for worker in state.workers.values()))],
    )
    gauges_by_name["isolated_runs"] = (
        "Runs of suspected tasks beside which nothing is placed.",
        [({}, sum(len(worker.isolated_runs) for worker in state.workers.values()))],
    )
    kinds = reducer.scheduler.runs.crashes.kinds.kinds
    gauges_by_name["suspected_kinds"] = (
        "Crashes for which a kind of tasks is suspected, by kind.",
        [({"kind": name}, kind.record.crashes) for name, kind in kinds.items()],
    )
    gauges_by_name["crashes"] = (
        "Crashes of workers with runs under this leadership.",
        [({}, state.crash_count)],
    )
    gauges_by_name["tasks_given_up"] = (
        "Tasks given up for crashes under this leadership.",
        [({}, state.given_up_count)],
    )
    gauges_by_name["worker_restarts"] = (
        "Restarts of workers under the id that they had, under this leadership.",
        [({}, state.restart_count)],
    )
    gauges_by_name["unmatched_ends"] = (
        "Ends `done` of runs that are not on record though their task is open.",
        [({}, state.unmatched_end_count)],
    )
    gauges_by_name["parallel_runs"] = (
        "Reports of a run by a worker while its task is assigned to another one.",
        [({}, state.parallel_run_count)],
    )
    gauges_by_name["running"] = ("Runs that count.", [({}, len(state.placements))])
    gauges_by_name["team_cpu"] = (
        "Thousandths of a core that teams have running.",
        [({"team": name}, state.usage.used(name).cpu) for name in reducer.config.teams],
    )
    return gauges_by_name


def _is_away(worker: Worker) -> bool:
    return worker.contact_lost_ms is not None and bool(worker.runs)
