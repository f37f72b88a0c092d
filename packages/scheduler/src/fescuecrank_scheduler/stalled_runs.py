"""Runs that are stalled or far slower than estimated, which are restarted elsewhere."""

from fescuecrank_scheduler import health
from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.runs import Runs
from fescuecrank_scheduler.workers import RunState


def stop_stalled(runs: Runs, now: Now) -> None:
    """Stop stalled runs; their tasks are placed again."""
    state = runs.state
    for worker in state.workers.values():
        stalled = 0
        for run in list(worker.runs.values()):
            if run.state is not RunState.RUNNING or run.step.long_running or run.step.gang:
                continue
            reason = health.stall_reason(run, worker.last_answer_ms, now.mono_ms, state.limits)
            if not reason:
                continue
            state.log(
                "run_stalled",
                task=run.label,
                worker=worker.id,
                reason=reason,
                age_ms=now.mono_ms - run.running_since_ms,
                percent=run.percent,
            )
            stalled += 1
            # One slow run may be the task's own fault; several, or one without any progress,
            # indicate a problem of the worker.
            if stalled > 1 or reason == "idle":
                worker.blocked_until_ms = now.mono_ms + state.limits.quarantine_ms
            runs.stop(worker, run, now)
