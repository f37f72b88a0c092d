"""Attribution of worker crashes to tasks.

A task may crash every worker that starts it, and all runs beside it are lost each time. The
leader sees only that a worker went away. Each task therefore collects points of suspicion, which
are stored with its progress, so that they outlive the process that saw the crash:

- `SOLE_POINTS` if the worker went away within `PROMPT_MS` of the start of the run, and of no run
  of another job;
- `UNREPORTED_POINTS` if it did so for several jobs, or before it had reported the run as running
  and no run on it was started so shortly before;
- `REPORTED_POINTS` otherwise, or if several workers went away at once or the worker fell silent
  without a reset of its connections.

From `ISOLATION_POINTS` on, the next run is isolated: it is placed on a worker without other runs,
and nothing is placed beside it until the worker has reported it for some time. If that worker
crashes, only the isolated run is suspected. A task is given up at `GIVE_UP_POINTS`, after the crash
of a worker on which its run was isolated: after two crashes if both followed starts of this job
alone, else after three or more. Two are not enough for a run that was started together with another
job's: its worker may crash for another reason just when it is isolated.

Silence is no crash: a worker that answers again clears its runs. A task is given up when another
incarnation has answered in the worker's place, or with `GONE_POINTS` when the worker's lease has
expired and it is not in the list of workers any more.
"""

import attrs

from fescuecrank_scheduler.jobs import Task
from fescuecrank_scheduler.workers import Run, RunState

SOLE_POINTS = 3
UNREPORTED_POINTS = 2
REPORTED_POINTS = 1
ISOLATION_POINTS = 2
GIVE_UP_POINTS = 6

# The same after a worker that is not known to have crashed, but has not come back.
GONE_POINTS = 9

# Points from which a task is isolated for its whole run, since a shorter time did not clear it.
FULL_ISOLATION_POINTS = 4

# A worker that crashes as it starts a task goes away some ten milliseconds after the start is sent;
# without an open hold it is missed when the next one is sent, after `hold_pause_ms`.
PROMPT_MS = 65

# A long-running task is isolated for at most this many times the usual time.
LONG_RUNNING_FACTOR = 5

# Isolation for a whole run ends with the run.
WHOLE_RUN_MS = 3_600_000

# Progress in percent from which a long-running task is at work.
AT_WORK_PERCENT = 100


@attrs.frozen
class Loss:
    """How a worker went away."""

    # When a call to it failed.
    at_ms: int
    # No answer came, so it went away before: a crashed process resets its connections at once, a
    # machine that is cut off or without power does not.
    timed_out: bool = False
    # Other workers went away at the same time.
    coincident: bool = False


def crash_points(run: Run, loss: Loss, prompt_jobs: int) -> int:
    """Return the points for the loss of a run with its worker.

    `prompt_jobs` is the number of jobs of which a run was started on the worker within `PROMPT_MS`
    before.
    """
    if run.state is RunState.PLANNED or run.first_sent_ms > loss.at_ms or run.never_sent:
        return 0
    ambiguous = loss.timed_out or loss.coincident
    if is_prompt(run, loss) and (run.isolated or not ambiguous):
        return SOLE_POINTS if run.isolated or prompt_jobs == 1 else UNREPORTED_POINTS
    if run.isolated:
        return UNREPORTED_POINTS
    if not run.reported_ms and not run.adopted and not ambiguous and not prompt_jobs:
        return UNREPORTED_POINTS
    if run.step.long_running and run.percent >= AT_WORK_PERCENT:
        return 0
    return REPORTED_POINTS


def is_prompt(run: Run, loss: Loss) -> bool:
    """Return whether a run was started within `PROMPT_MS` before its worker went away."""
    if run.state is RunState.PLANNED or run.adopted or run.never_sent or loss.timed_out:
        return False
    return 0 <= loss.at_ms - run.first_sent_ms <= PROMPT_MS


def isolation_ms(task: Task, long_running: bool, usual_ms: int) -> int:
    """Return for how long a worker has to report the task's next run before others join it."""
    if task.suspicion.points < ISOLATION_POINTS:
        return 0
    if task.suspicion.points < FULL_ISOLATION_POINTS:
        return usual_ms
    return LONG_RUNNING_FACTOR * usual_ms if long_running else WHOLE_RUN_MS
