"""Throttling of best-effort tasks beside tasks with a latency target.

The interference depends on the image and changes within seconds, so the pace follows the latencies
that the worker reports. It is halved as soon as a task nears its target, and rises in small steps
while the latencies are low.
"""

import attrs

from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.effects import Effect, LogLine, PaceRun
from fescuecrank_scheduler.workers import Run, RunState, Worker

FULL_PERCENT = 100

# A lower pace is rounded down to 0.
MIN_PERCENT = 10

# Ratio of latency to target above which the pace is reduced, and below which it is raised.
DECREASE_RATIO = 0.9
INCREASE_RATIO = 0.6

# A report covers half a second, and a new pace takes effect within a tenth of a second.
MIN_DECREASE_INTERVAL_MS = 700
MIN_INCREASE_INTERVAL_MS = 1_500
INCREASE_STEP = 20

# An unanswered order is repeated after this time.
RETRY_MS = 600


@attrs.define
class Pacer:
    """Adjusts the pace of best-effort runs on the workers of one leader."""

    _changed_ms: dict[str, int] = attrs.field(factory=dict)

    def adjust(self, worker: Worker, now: Now) -> list[Effect]:
        """Return the pace orders that follow from a worker's latest report."""
        best_effort_runs = [
            run
            for run in worker.runs.values()
            if run.step.best_effort and run.state is RunState.RUNNING
        ]
        if not best_effort_runs:
            return []
        effects: list[Effect] = []
        ratio = self._latency_ratio(worker)
        last_ms = self._changed_ms.get(worker.id, 0)
        if ratio is None:
            wanted = FULL_PERCENT
        elif ratio > DECREASE_RATIO and now.mono_ms - last_ms >= MIN_DECREASE_INTERVAL_MS:
            halved = min(run.pace for run in best_effort_runs) // 2
            wanted = halved if halved >= MIN_PERCENT else 0
        elif ratio < INCREASE_RATIO and now.mono_ms - last_ms >= MIN_INCREASE_INTERVAL_MS:
            wanted = min(FULL_PERCENT, min(run.pace for run in best_effort_runs) + INCREASE_STEP)
        else:
            wanted = None
        if wanted is not None and any(run.pace != wanted for run in best_effort_runs):
            self._changed_ms[worker.id] = now.mono_ms
            fields = {
                "worker": worker.id,
                "percent": wanted,
                "ratio": ratio,
                "runs": len(best_effort_runs),
            }
            effects.append(LogLine("pace_changed", fields))
            for run in best_effort_runs:
                run.pace = wanted
        effects += [
            self._make_order(worker, run, now)
            for run in best_effort_runs
            if self._order_due(run, now)
        ]
        return effects

    def _latency_ratio(self, worker: Worker) -> float | None:
        """Return the highest ratio of latency to target, or None if no run reports a latency."""
        ratios = [
            run.measurement / run.step.target_ms
            for run in worker.runs.values()
            if run.step.target_ms and run.measurement is not None
        ]
        return max(ratios, default=None)

    def _order_due(self, run: Run, now: Now) -> bool:
        return run.pace_confirmed != run.pace and now.mono_ms - run.pace_sent_ms >= RETRY_MS

    def _make_order(self, worker: Worker, run: Run, now: Now) -> PaceRun:
        run.pace_sent_ms = now.mono_ms
        return PaceRun(
            worker.id,
            worker.address,
            worker.call_token,
            run.task,
            run.number,
            run.pace,
            sent_ms=now.mono_ms,
        )
