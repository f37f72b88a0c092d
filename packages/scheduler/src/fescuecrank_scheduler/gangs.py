"""Gangs that a new leader finds incomplete."""

from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.jobs import Job, Phase
from fescuecrank_scheduler.runs import Runs


def stop_partial_gangs(runs: Runs, job: Job, now: Now) -> None:
    """Stop adopted members of gangs of which others have no run; they would wait in vain."""
    for (_, number), members in job.tasks.items():
        if not job.steps[number].gang or members[0].phase is Phase.DONE:
            continue
        found = [runs.state.find_run(member.id) for member in members]
        if None not in found:
            continue
        for worker, run in filter(None, found):
            if run.adopted:
                runs.stop(worker, run, now)
