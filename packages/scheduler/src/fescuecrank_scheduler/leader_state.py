"""State of one leadership, shared by the components of the leader."""

from collections.abc import Mapping

import attrs

from fescuecrank_scheduler.advice import AdviceCache
from fescuecrank_scheduler.arrivals import Arrivals
from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.deadlines import Deadlines
from fescuecrank_scheduler.effects import Effect, LogLine
from fescuecrank_scheduler.events import MachineRow
from fescuecrank_scheduler.fleet import FleetConfig
from fescuecrank_scheduler.job_table import JobTable
from fescuecrank_scheduler.jobs import Job, Outcome, TaskId
from fescuecrank_scheduler.leadership import EPOCH_STEP
from fescuecrank_scheduler.limits import Limits
from fescuecrank_scheduler.ordering import Demand
from fescuecrank_scheduler.quotas import Usage
from fescuecrank_scheduler.records import Leadership, Record
from fescuecrank_scheduler.waiting_jobs import WaitingJobs
from fescuecrank_scheduler.workers import Run, Worker

# Time that a machine order may take to reach the platform.
ORDER_MARGIN_MS = 200


@attrs.define
class LeaderState:
    """State of one leader; each leadership starts with a new one."""

    limits: Limits
    table: JobTable
    config: FleetConfig
    leader: Leadership
    # The record that this leadership replaced.
    previous_leader: Leadership | None = None
    started_ms: int = 0
    # When the newest append that the store has confirmed was sent.
    renewed_ms: int = 0
    # When the newest stored renewal, or the claim, was sent: no successor counts its silence from
    # an earlier time.
    renewal_sent_ms: int = 0
    # As of when all jobs have been read since this leadership began; see `jobs_loaded`.
    jobs_as_of_ms: int = -1
    # A call was rejected because of a newer leader; this leadership ends.
    fenced: bool = False
    # The next append releases the leadership; whether that one was sent; `resigned` once it is
    # stored.
    resigning: bool = False
    release_sent: bool = False
    resigned: bool = False
    workers: dict[str, Worker] = attrs.field(factory=dict)
    # Worker of each machine, as of the last tick, without retired workers.
    worker_by_machine: dict[str, Worker] = attrs.field(factory=dict)
    # Holds sent so far, which numbers them: an answer can outlive the record of its worker.
    hold_count: int = 0
    # When the next hold of each worker is due.
    hold_times: Deadlines = attrs.field(factory=Deadlines)
    # Whether the list of workers has been read.
    workers_listed: bool = False
    # Remaining time of the leases that the previous leader no longer renewed.
    inherited_leases: dict[str, int] = attrs.field(factory=dict)
    usage: Usage = attrs.field(factory=Usage)
    advice: AdviceCache = attrs.field(factory=AdviceCache)
    # Pools in which long-running tasks are moved off workers that are drained.
    pools_moving_tasks: set[str] = attrs.field(factory=set)
    # Worker of the current run of each task.
    placements: dict[TaskId, str] = attrs.field(factory=dict)
    # Jobs that may have tasks to start, and their cached demands.
    waiting_jobs: WaitingJobs = attrs.field(factory=WaitingJobs)
    demands: dict[str, Demand] = attrs.field(factory=dict)
    # Pools in which capacity or demand has changed since the last placement pass, and whether that
    # may be true of any pool.
    pools_due: set[str] = attrs.field(factory=set)
    all_pools_due: bool = True
    # Pools with tasks that wait for a run of their team to end, in whichever pool it is.
    team_limited_pools: set[str] = attrs.field(factory=set)
    # Work for which the last pass found no capacity, by pool, in core-ms: all of it, and that of
    # jobs that can still end on time. Tasks held back by their team's limit do not count.
    waiting_work: dict[str, float] = attrs.field(factory=dict)
    on_time_work: dict[str, float] = attrs.field(factory=dict)
    # Pools without capacity for a long-running task that waits.
    pools_awaiting_long_running: set[str] = attrs.field(factory=set)
    arrivals: Arrivals = attrs.field(factory=Arrivals)
    # Crashes of workers with runs, and tasks that were given up for them, under this leadership.
    crash_count: int = 0
    given_up_count: int = 0
    # Fencing tokens given out under this leadership.
    token_count: int = 0
    # Restarts of workers under the id that they had, and ends `done` of runs that are not on record
    # though their task is open, under this leadership.
    restart_count: int = 0
    unmatched_end_count: int = 0
    # Runs that a worker reported while their task was assigned to another one.
    parallel_run_count: int = 0
    # Since when each task has waited for a worker without other runs.
    isolation_since: dict[TaskId, int] = attrs.field(factory=dict)
    # Runs of open jobs that were given up, by task: ends of them may still be reported.
    given_up_runs: dict[TaskId, set[int]] = attrs.field(factory=dict)
    # Why each step of a job waits, as last logged.
    wait_reasons: dict[tuple[str, int, int], str] = attrs.field(factory=dict)
    # Contents of the next append: changed jobs, decided outcomes, planned starts, other records.
    changed_jobs: set[str] = attrs.field(factory=set)
    outcomes: dict[str, Outcome] = attrs.field(factory=dict)
    planned: list[tuple[str, TaskId, int]] = attrs.field(factory=list)
    queued_records: list[Record] = attrs.field(factory=list)
    # Jobs of which a first task has begun. They are no reason for an append, as the next renewal
    # comes soon enough for callers.
    begun_jobs: list[str] = attrs.field(factory=list)
    # Whether an append is in progress.
    append_pending: bool = False
    effects: list[Effect] = attrs.field(factory=list)

    @property
    def jobs_loaded(self) -> bool:
        """Whether every job of which the previous leader started a task has been read.

        These jobs were stored before this leadership began. Until then a task of an unknown job may
        belong to a job not read yet; a read that leaves out records says nothing.
        """
        return self.jobs_as_of_ms >= self.started_ms

    def take_effects(self) -> list[Effect]:
        """Return and clear the collected effects."""
        effects, self.effects = self.effects, []
        return effects

    def log(self, event: str, **fields: object) -> None:
        """Emit one log line."""
        self.effects.append(LogLine(event, fields))

    def send_advice_calls(self) -> None:
        """Emit the calls to the advice service that are due."""
        for call in self.advice.take_effects():
            self.log("advice_requested", **self.advice.describe(call))
            self.effects.append(call)

    def mark_changed(self, job: Job) -> None:
        """Mark the progress of a job for the next append and discard its cached demand."""
        self.changed_jobs.add(job.id)
        self.demands.pop(job.id, None)

    def queue_record(self, record: Record) -> None:
        """Add a record to the next append."""
        self.queued_records.append(record)

    def record_begun(self, job_id: str) -> None:
        """Record that a worker has begun a task of a job."""
        job = self.table.jobs.get(job_id)
        if job is not None and not job.begun:
            job.begun = True
            self.begun_jobs.append(job.id)

    def may_grant_leases(self, now: Now) -> bool:
        """Return whether leases that are granted now end before a successor takes them for ended.

        A successor assumes that its predecessor granted none later than `leader_validity_ms` after
        its last append, and none after its release was stored, which may be long before the answer.
        """
        valid = now.mono_ms - self.renewed_ms < self.limits.leader_validity_ms
        return valid and not self.release_sent

    @property
    def calls_end_ms(self) -> int:
        """When the last call that renews a lease has to be over, unless the store confirms more.

        See `Limits.longest_inherited_ms`.
        """
        return self.renewed_ms + self.limits.leader_validity_ms + self.limits.start_timeout_ms

    def may_order_machines(self, now: Now) -> bool:
        """Return whether no successor can have claimed the leadership yet.

        Workers reject the orders of a replaced leader; not every platform does so for machines. A
        process that was paused may have been replaced meanwhile.
        """
        passed_ms = now.mono_ms - self.renewal_sent_ms
        return not self.resigning and passed_ms < self.limits.leader_silence_ms - ORDER_MARGIN_MS

    def forget_unplaced(self, pool: str) -> None:
        """Discard what the last placement pass found to be waiting in a pool."""
        self.waiting_work.pop(pool, None)
        self.on_time_work.pop(pool, None)
        self.pools_awaiting_long_running.discard(pool)
        self.team_limited_pools.discard(pool)

    def next_token(self) -> int:
        """Return a fencing token that is higher than those of all calls so far.

        A call without an answer may be carried out seconds later, by whichever incarnation has the
        id then: a start would run a task that is done, and an acknowledgement would let a worker
        forget ends that nobody has seen. Once the worker has answered a call with a higher token,
        it refuses the earlier one.
        """
        self.token_count = min(self.token_count + 1, EPOCH_STEP - 1)
        return self.leader.epoch + self.token_count

    def worker(self, worker_id: str) -> Worker:
        """Return a worker, added if it is not known; it need not be in the list of workers."""
        worker = self.workers.get(worker_id)
        if worker is None:
            worker = self.workers[worker_id] = Worker(worker_id, token=self.next_token())
        return worker

    def index_machines(self, rows: Mapping[str, MachineRow]) -> None:
        """Index workers by machine; a listed worker takes precedence, then the one started last.

        The entry of a crashed worker stays in the list for some seconds.
        """
        machine_of = {row.worker: name for name, row in rows.items()}
        self.worker_by_machine = {}
        for worker in self.workers.values():
            worker.machine = worker.machine or machine_of.get(worker.id, "")
            other = self.worker_by_machine.get(worker.machine)
            if not worker.retired and (other is None or worker.recency > other.recency):
                self.worker_by_machine[worker.machine] = worker
        self.worker_by_machine.pop("", None)

    def accepts_any_start(self, worker: Worker) -> bool:
        """Return whether a worker does not refuse starts that exceed its capacity."""
        pool = self.config.pools.get(worker.pool)
        return pool is None or not pool.admission_check

    def capacity_known(self, worker: Worker, now: Now) -> bool:
        """Return whether a worker's capacity is known well enough to start a run there."""
        age_ms = now.mono_ms - worker.entry_ms
        return age_ms <= self.limits.max_entry_age_ms or not self.accepts_any_start(worker)

    def find_run(self, task: TaskId) -> tuple[Worker, Run] | None:
        """Return the current run of a task with its worker; None if the task has none."""
        worker = self.workers.get(self.placements.get(task, ""))
        run = worker.runs.get(task) if worker is not None else None
        return (worker, run) if worker is not None and run is not None else None

    def still_needed(self, run: Run) -> bool:
        """Return whether the job of a run is still open."""
        job = self.table.jobs.get(run.task.job)
        return job is not None and job.open and job.id not in self.outcomes

    @property
    def placement_due(self) -> bool:
        """Whether a placement pass was requested for any pool."""
        return self.all_pools_due or bool(self.pools_due)

    def request_placement(self, pool: str | None = None) -> None:
        """Request a placement pass over one pool, or over all pools if `pool` is None."""
        if pool is None:
            self.all_pools_due = True
        else:
            self.pools_due.add(pool)
