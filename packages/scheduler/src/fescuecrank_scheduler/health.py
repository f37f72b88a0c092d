"""Detection of stalled and slow runs.

For nine tasks in ten the estimate is right within a factor of two. On a faulty worker, tasks are
several times slower or make no progress.
"""

from fescuecrank_scheduler.limits import Limits
from fescuecrank_scheduler.workers import Run


def stall_reason(run: Run, last_answer_ms: int, now_ms: int, limits: Limits) -> str:
    """Return why a run should be restarted elsewhere, or the empty string.

    `last_answer_ms` is when the worker last reported. A run counts as idle only if the worker
    has kept reporting it without progress; a silent worker says nothing about its runs.
    """
    if not run.running_since_ms or not run.progress_ms:
        return ""
    # Each run gets more time than the one before, for tasks that take longer than estimated.
    tolerance = 1 << min(run.number - 1, 4)
    idle_ms = max(limits.idle_ms, tolerance * limits.idle_percents * _percent_ms(run))
    if last_answer_ms - run.progress_ms > idle_ms:
        return "idle"
    bound_ms = tolerance * max(
        limits.overdue_min_ms, int(run.step.estimate_ms * limits.overdue_factor)
    )
    if now_ms - run.running_since_ms > bound_ms:
        return "overdue"
    observed_ms = run.progress_ms - run.running_since_ms
    if run.percent and observed_ms >= limits.slow_check_ms:
        projected_ms = observed_ms * 100 / run.percent
        remaining_ms = projected_ms - (now_ms - run.running_since_ms)
        slow = projected_ms > tolerance * max(
            limits.slow_factor * run.step.estimate_ms,
            run.step.estimate_ms + limits.slow_min_excess_ms,
        )
        # A restart has to repeat the whole task.
        if slow and remaining_ms > limits.slow_min_saving * run.step.estimate_ms:
            return "slow"
    return ""


def _percent_ms(run: Run) -> float:
    """Return the time that a run takes for one percent of its progress, which it states in whole.

    The longer of what the estimate and its own pace so far say counts.
    """
    percent_ms = run.step.estimate_ms / 100
    if run.percent:
        percent_ms = max(percent_ms, (run.progress_ms - run.running_since_ms) / run.percent)
    return percent_ms
