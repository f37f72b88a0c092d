"""Model in virtual time that compares ways to start tasks of a kind that crashes its workers.

A pool of workers gets jobs of several tasks; in a share of the jobs one task crashes its worker
`CRASH_MS` after its start, and the worker is back after `BACK_MS`, as on the users' bench.
Long-running tasks of another queue are on a third of the workers. `python crash_policies.py` prints
the table of docs/crashing-kinds.md; times are in milliseconds.
"""

import itertools
import random
import sys

import attrs

PASS_MS = 20
# From the placement of a task until its start is carried out: one append to the store and a call.
START_MS = 15
CRASH_MS = 10
BACK_MS = 3_350
STOP_MS = 130
SLOTS = 14
TASKS = 9
TASK_MS = 1_000
OBJECTIVE_MS = 2_200
PROMPT_MS = 50
GIVE_UP_CRASHES = 2
LONG_RUNNING_START_MS = 2_000


@attrs.frozen
class Policy:
    """How tasks of a suspected kind are started."""

    name: str
    # Which tasks are tried: none, the first one of each job ("lead"), each, or the "job" together.
    tried: str = "none"
    # Whether a tried task needs a worker without other runs.
    alone: bool = True
    # Whether a task that has proven well is stopped and started elsewhere for the next one.
    moves: bool = False
    # Largest share of the pool that is set aside for trials, counting workers that are away.
    share: float = 0.5
    proven_ms: int = 50
    # Whether a task that has crashed a worker waits until no other trial waits.
    defers: bool = False
    give_up_crashes: int = GIVE_UP_CRASHES


@attrs.define(eq=False)
class Task:
    job: "Job"
    bad: bool
    state: str = "waiting"
    crashes: int = 0
    suspected: bool = False
    proven: bool = False
    since: int = 0


@attrs.define(eq=False)
class Job:
    at: int
    tasks: list = attrs.field(factory=list)
    ended: int | None = None
    given_up: bool = False
    proven: bool = False

    @property
    def bad(self) -> bool:
        return any(task.bad for task in self.tasks)


@attrs.define(eq=False)
class Worker:
    long_running: bool
    up_at: int = 0
    # Running tasks with the time of their start, and when each ends.
    runs: dict = attrs.field(factory=dict)
    trial: Task | None = None
    aside: bool = False


@attrs.define
class Result:
    jobs: int = 0
    bad: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    wrongly_given_up: int = 0
    crashes: int = 0
    lost: int = 0
    long_running_hits: int = 0
    most_away: int = 0


class Model:
    def __init__(self, policy, workers, seed, bad_share, at_random, per_s, length_ms=9_000):
        self.policy, self.rng, self.now = policy, random.Random(seed), 0
        self.workers = [Worker(number % 3 == 0) for number in range(workers)]
        self.result = Result()
        self.jobs, self.suspected = [], False
        self.arrivals = []
        at = 0.0
        while at < length_ms:
            at += self.rng.expovariate(per_s / 1_000)
            job = Job(int(at))
            bad_index = -1
            if self.rng.random() < bad_share:
                bad_index = self.rng.randrange(TASKS) if at_random else 0
            job.tasks = [Task(job, number == bad_index) for number in range(TASKS)]
            self.arrivals.append(job)
        self.result.jobs = len(self.arrivals)
        self.result.bad = sum(job.bad for job in self.arrivals)

    def run(self, end_ms=60_000):
        waiting = list(self.arrivals)
        for self.now in range(0, end_ms, 5):
            while waiting and waiting[0].at <= self.now:
                self.jobs.append(waiting.pop(0))
            for worker in self.workers:
                self.advance(worker)
            if self.now % PASS_MS == 0:
                self.place()
            if not waiting and not self.jobs:
                break
        for job in self.arrivals:
            if job.bad:
                continue
            age = (job.ended or 10**9) - job.at
            if job.given_up:
                self.result.wrongly_given_up += 1
            elif age <= OBJECTIVE_MS:
                self.result.in_time += 1
            elif age <= 3 * OBJECTIVE_MS:
                self.result.late += 1
            else:
                self.result.failed += 1
        return self.result

    def advance(self, worker):
        for task, (started, ends) in list(worker.runs.items()):
            if task.bad and task.state == "running" and self.now >= started + CRASH_MS:
                self.crash(worker, task)
                return
            if task is worker.trial and self.now >= started + self.policy.proven_ms:
                self.prove(worker, task)
            if self.now >= ends:
                del worker.runs[task]
                stopped = task.state == "stopping"
                task.state = "waiting" if stopped else "done"
                if not stopped and all(t.state == "done" for t in task.job.tasks):
                    task.job.ended = self.now
                    if task.job in self.jobs:
                        self.jobs.remove(task.job)

    def prove(self, worker, task):
        worker.trial, task.proven, task.suspected = None, True, False
        if self.policy.tried in ("lead", "job"):
            task.job.proven = True
        if self.policy.tried == "job":
            for other in worker.runs:
                other.proven, other.suspected = True, False
        if self.policy.moves and self.trials_wait():
            for other in worker.runs:
                other.state = "stopping"
                worker.runs[other] = (self.now, self.now + STOP_MS)

    def trials_wait(self):
        return any(
            self.needs_trial(t) for job in self.jobs for t in job.tasks if t.state == "waiting"
        )

    def crash(self, worker, culprit):
        self.result.crashes += 1
        self.suspected = True
        prompt = {t for t, (s, _) in worker.runs.items() if self.now - s <= PROMPT_MS}
        alone = len({t.job for t in worker.runs}) == 1
        self.result.lost += sum(not t.job.bad for t in worker.runs)
        if worker.long_running:
            self.result.long_running_hits += 1
            worker.long_running = False
            target = [
                w for w in self.workers if w.up_at <= self.now and w is not worker and not w.aside
            ]
            if target:
                self.rng.choice(target).long_running = True
        for task in worker.runs:
            task.state, task.since = "waiting", self.now
            task.suspected |= task in prompt
        culprit.crashes += 1
        if alone and culprit.crashes >= self.policy.give_up_crashes:
            culprit.job.given_up = True
            self.jobs.remove(culprit.job)
            for other in self.workers:
                for task in culprit.job.tasks:
                    other.runs.pop(task, None)
        worker.runs, worker.trial = {}, None
        worker.up_at, worker.aside = self.now + BACK_MS, True
        away = sum(w.up_at > self.now for w in self.workers)
        self.result.most_away = max(self.result.most_away, away)

    def needs_trial(self, task):
        if task.suspected:
            return True
        if not self.suspected or task.proven or self.policy.tried == "none":
            return False
        if self.policy.tried == "each":
            return True
        if task.job.proven:
            return False
        return self.policy.tried == "job" or task is task.job.tasks[0]

    def held(self, task):
        """Whether a task waits for the trial of another one of its job."""
        lead = self.policy.tried == "lead" and self.suspected
        return lead and not task.job.proven and not task.proven

    def place(self):
        up = [w for w in self.workers if w.up_at <= self.now]
        away = len(self.workers) - len(up)
        trials = [
            t for j in self.jobs for t in j.tasks if t.state == "waiting" and self.needs_trial(t)
        ]
        if self.policy.tried == "job":
            trying = {w.trial.job for w in self.workers if w.trial}
            trials = [t for t in trials if t.job not in trying]
        if self.policy.defers:
            trials.sort(key=lambda t: (max(x.crashes for x in t.job.tasks), t.job.at))
        most = max(1, int(self.policy.share * len(self.workers)) - away)
        uses_aside = self.policy.alone and self.policy.tried != "none"
        if uses_aside:
            up.sort(key=lambda w: (not w.aside, w.long_running, len(w.runs)))
            wanted = min(most, len(trials)) if trials else 0
            for number, worker in enumerate(up):
                worker.aside = number < wanted
        fresh = [t for t in trials if not any(x.crashes for x in t.job.tasks)]
        for worker in up:
            if not trials:
                break
            beside = not uses_aside and self.policy.tried == "each" and not trials[0].suspected
            if beside and worker.trial is None and len(worker.runs) < SLOTS:
                self.start(worker, trials.pop(0), trial=True)
                continue
            waited = self.now - trials[0].since > (1_000 if trials[0].crashes < 1 else 4_000)
            empty = not worker.runs and not worker.long_running
            quiet = not worker.trial and all(self.now - s > 200 for s, _ in worker.runs.values())
            allowed = worker.aside or not uses_aside
            beside = waited and quiet and self.policy.tried == "none"
            aside = waited and uses_aside and worker.aside and not worker.runs
            if not (empty and allowed) and not beside and not aside:
                continue
            task = trials[0]
            if self.policy.defers and fresh and task.job not in {t.job for t in fresh}:
                break
            trials.pop(0)
            self.start(worker, task, trial=True)
            if self.policy.tried == "job":
                for other in task.job.tasks:
                    if other.state == "waiting" and len(worker.runs) < SLOTS:
                        self.start(worker, other)
                trials = [t for t in trials if t.job is not task.job]
        free = [w for w in up if not w.trial and not (uses_aside and w.aside)]
        for job in self.jobs:
            for task in job.tasks:
                if task.state != "waiting" or self.needs_trial(task) or self.held(task):
                    continue
                room = [w for w in free if len(w.runs) < SLOTS]
                if not room:
                    return
                self.start(min(room, key=lambda w: len(w.runs)), task)

    def start(self, worker, task, trial=False):
        task.state = "running"
        started = self.now + START_MS
        worker.runs[task] = (started, started + TASK_MS)
        if trial:
            worker.trial = task


POLICIES = (
    Policy("as before"),
    Policy("staggered starts on all workers", "each", alone=False),
    Policy("each task on a worker set aside", "each"),
    Policy("the same, moved once proven", "each", moves=True),
    Policy("one task a job first, set aside", "lead"),
    Policy("the same, moved once proven", "lead", moves=True),
    Policy("the same, second trials last", "lead", moves=True, defers=True),
    Policy("a job's tasks together, set aside", "job"),
    Policy("the same, moved once proven", "job", moves=True),
    Policy("the same, second trials last", "job", moves=True, defers=True),
    Policy("the same, a third set aside", "job", moves=True, defers=True, share=0.34),
    Policy("the same, a half, proven in 200 ms", "job", moves=True, defers=True, proven_ms=200),
    Policy(
        "the same, a half, given up after one crash",
        "job",
        moves=True,
        defers=True,
        give_up_crashes=1,
    ),
)

SCENES = (
    ("12 workers, first task", dict(workers=12, bad_share=0.25, at_random=False, per_s=8)),
    ("6 workers, first task", dict(workers=6, bad_share=0.25, at_random=False, per_s=8)),
    ("12 workers, any task", dict(workers=12, bad_share=0.25, at_random=True, per_s=8)),
    ("60 workers, any task", dict(workers=60, bad_share=0.1, at_random=True, per_s=40)),
    ("300 workers, 24 bad jobs", dict(workers=300, bad_share=0.013, at_random=False, per_s=200)),
)


def main() -> None:
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 3)
    for (scene, args), policy in itertools.product(SCENES, POLICIES):
        rows = [Model(policy, seed=seed, **args).run() for seed in seeds]
        total = Result(*(sum(values) for values in zip(*map(attrs.astuple, rows), strict=True)))
        good = total.jobs - total.bad
        print(
            f"{scene:26} | {policy.name:42} | {total.in_time / good:.2f} {total.late / good:.2f} "
            f"{total.failed / good:.2f} | {total.crashes / max(1, total.bad):.2f} | "
            f"{total.lost / max(1, total.bad):.1f} | {total.long_running_hits} | "
            f"{total.most_away / len(rows):.0f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
