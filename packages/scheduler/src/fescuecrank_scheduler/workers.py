"""Workers from the leader's view: leases, runs and free capacity."""

import enum

import attrs

from fescuecrank_scheduler.events import ClockReading, HoldReply, WorkerEntry
from fescuecrank_scheduler.fleet import NO_RESOURCES, Resources
from fescuecrank_scheduler.jobs import Step, TaskId
from fescuecrank_scheduler.limits import Limits

# Readings of clocks are whole milliseconds.
CLOCK_ROUNDING_MS = 2


class RunState(enum.StrEnum):
    """State of one run."""

    # Its record is not stored yet.
    PLANNED = "planned"
    # The start was sent and may or may not have been carried out.
    SENT = "sent"
    RUNNING = "running"
    STOPPING = "stopping"


class LeaseBasis(enum.StrEnum):
    """What the time until which a worker may hold a lease was derived from."""

    NONE = "none"
    # A deadline by the clock of the incarnation that has answered.
    GRANTED = "granted"
    # The longest lease: a later incarnation has answered, or the worker was young when it first
    # answered this leader, or its lease was granted by another leader.
    RESTARTED = "restarted"
    CLOCK_BEHIND = "clock_behind"
    YOUNG = "young"
    TAKEN_BACK = "taken_back"
    # What the previous leader stated, or may have granted.
    STATED = "stated"
    INHERITED = "inherited"


@attrs.define
class Run:
    """One run of a task on a worker."""

    task: TaskId
    number: int
    step: Step
    team: str
    queue: str
    state: RunState
    ticket: str = ""
    checkpoint: str = ""
    # When the latest start or stop was sent, and where the latest start was; empty if unknown.
    sent_ms: int = 0
    address: str = ""
    # When the worker confirmed a start or a stop; every later hold has to report the run or its
    # end.
    confirmed_ms: int | None = None
    # When the run was first known to be running.
    running_since_ms: int = 0
    # Whether the latest start got no answer.
    unanswered: bool = False
    # Whether the worker has answered that it carried out the latest start, or lists the run. Until
    # then a later incarnation than the one that is known may have it.
    confirmed: bool = False
    # Tokens of the starts that were sent and may still be carried out.
    start_tokens: list[int] = attrs.field(factory=list)
    # Progress of the run; a long-running task is ready at 100.
    percent: int = 0
    measurement: float | None = None
    # When the progress of the run last rose.
    progress_ms: int = 0
    # When the start was first sent, and whether no start can have been carried out.
    first_sent_ms: int = 0
    never_sent: bool = False
    # Whether the run was recorded by a previous leader.
    adopted: bool = False
    # Whether the worker has reported the run as running in this incarnation.
    listed: bool = False
    # For how long, after its start was sent, the worker has reported the run as running.
    reported_ms: int = 0
    # Whether the loss of the run counts as a point against its task.
    suspected: bool = False
    # Whether its loss has been counted and confirmed; it may stay on record until it has stopped.
    loss_counted: bool = False
    # For how long it has to be reported before other runs may be placed beside it.
    isolation_ms: int = 0
    # Throttle in percent of full speed: wanted, confirmed by the worker; time of the last order.
    pace: int = 100
    pace_confirmed: int = 100
    pace_sent_ms: int = 0

    @property
    def starts_in_flight(self) -> int:
        """How many starts were sent and may still be carried out."""
        return len(self.start_tokens)

    @property
    def unconfirmed(self) -> bool:
        """Whether a start may have been carried out by an incarnation that is not known."""
        return not (self.confirmed or self.never_sent)

    @property
    def to_be_repeated(self) -> bool:
        """Whether its start will be sent again."""
        return self.unanswered and self.state is RunState.SENT

    @property
    def isolated(self) -> bool:
        """Whether nothing may be placed beside the run yet."""
        return self.reported_ms < self.isolation_ms

    @property
    def label(self) -> str:
        """Name of its task in log lines."""
        return self.task.label


@attrs.define
class Worker:
    """One incarnation of a worker."""

    id: str
    # Fencing token of the next calls; see `LeaderState.next_token`.
    token: int = 0
    address: str = ""
    pool: str = ""
    zone: str = ""
    machine: str = ""
    capacity: Resources = NO_RESOURCES
    labels: tuple[str, ...] = ()
    # Whether the worker is in the list of workers, and is ready there.
    listed: bool = False
    ready: bool = False
    started_ms: int = 0
    # Start of the incarnation that answered the latest hold, and of the one whose entry was ignored
    # last, in Unix milliseconds; 0 if unknown.
    answered_started_ms: int = 0
    ignored_entry_started_ms: int = 0
    # Start of the incarnation that wrote the entry, in Unix milliseconds; 0 if unknown.
    entry_started_ms: int = 0
    # Start in an entry that was ignored, as it lies in the future.
    future_start_ms: int = 0
    # Later start in an entry, about which the worker has been asked.
    reported_start_ms: int = 0
    # When the worker's entry was last read.
    entry_ms: int = 0
    # Whether it has accepted the epoch of this leader.
    epoch_accepted: bool = False
    # Last reading of the worker's clock, and when it was received.
    clock_ms: int | None = None
    clock_read_ms: int = 0
    # End of the latest lease that was sent, on the worker's clock.
    sent_deadline_ms: int | None = None
    # When the latest call with a deadline was sent, and when the last of them can arrive.
    deadline_call_ms: int = 0
    deadline_calls_end_ms: int = 0
    # When the last call with a deadline by an earlier clock can arrive that this incarnation may
    # still accept; 0 if it accepts none.
    earlier_calls_end_ms: int = 0
    # When every lease granted so far has expired, and what that time was derived from.
    lease_expires_ms: int = 0
    lease_basis: LeaseBasis = LeaseBasis.NONE
    last_answer_ms: int = 0
    # When a hold failed that the last successful one preceded; None while the worker answers.
    contact_lost_ms: int | None = None
    # Whether the leadership record lists the lease as not renewed. A successor relies on this, so
    # the lease must not be renewed then.
    lease_unrenewed: bool = False
    hold_number: int = 0
    hold_sent_ms: int = 0
    hold_wait_ms: int = 0
    hold_open: bool = False
    # Why the last answer to a hold that could not be used was rejected.
    hold_problem: str = ""
    # Token of the latest hold, and the highest that this incarnation has answered.
    hold_token: int = 0
    accepted_token: int = 0
    # When the last hold was answered that no failed one followed; None if another one failed since.
    hold_answer_ms: int | None = None
    # Number of the last ended run that was applied, and of the last that the worker may forget.
    last_seen_end: int = 0
    last_acked_end: int = 0
    # Takes no new runs: its machine is about to be taken down or moved.
    cordoned: bool = False
    # Gets work only when the pool's other workers are full, so that its machine can be switched
    # off soon.
    overflow: bool = False
    # An active wave contains the machine and has not taken it down yet.
    maintenance_due: bool = False
    # The machine was taken down by an order; the worker stays in the list of workers for a while.
    retired: bool = False
    # The platform confirmed such an order; whether it ended this worker is known when a hold that
    # is sent later is answered or fails.
    end_expected: bool = False
    blocked_until_ms: int = 0
    failure_streak: int = 0
    runs: dict[TaskId, Run] = attrs.field(factory=dict)
    # Since when it has had a run at any time.
    busy_since_ms: int = 0
    # Runs beside which nothing may be placed yet.
    isolated_runs: set[TaskId] = attrs.field(factory=set)
    # Until when it gets no runs, so that a run can be isolated there.
    reserved_until_ms: int = 0
    used: Resources = NO_RESOURCES
    # Thousandths of a core that long-running runs reserve.
    long_running_cpu: int = 0
    # Work of all other runs, in core-ms, as estimated when they started.
    started_work: float = 0.0
    # Capacity that no run reserves.
    free: Resources = NO_RESOURCES

    @property
    def rack(self) -> str:
        """Rack of the worker: the second label, after the hardware kind."""
        return self.labels[1] if len(self.labels) > 1 else ""

    @property
    def recency(self) -> tuple[bool, int, bool]:
        """Sort key that is largest for the current one of several workers of a machine."""
        started_ms = max(self.started_ms, self.entry_started_ms)
        return (self.listed, started_ms, bool(self.runs))

    def update(self, entry: WorkerEntry) -> None:
        """Apply the worker's entry in the list of workers."""
        self.address, self.pool, self.zone = entry.address, entry.pool, entry.zone
        self.machine, self.capacity, self.labels = entry.machine, entry.capacity, entry.labels
        self.listed, self.ready = True, entry.ready
        self.entry_started_ms = entry.started_ms
        self._set_used(self.used)

    def record_clock(self, reply: HoldReply, now_ms: int, limits: Limits) -> int:
        """Record a reading of the worker's clock; return by how much it is late, in ms.

        A reading that came late is not recorded, as the clock is known better from before.
        """
        if self.clock_ms is not None:
            passed = (now_ms - self.clock_read_ms) * (1 - limits.clock_drift)
            delay_ms = int(self.clock_ms + passed) - reply.clock_ms
            if delay_ms > 0:
                return delay_ms
        self.clock_ms, self.clock_read_ms = reply.clock_ms, now_ms
        return 0

    def is_behind(self, clock: ClockReading, limits: Limits) -> bool:
        """Return whether a call was answered by a later incarnation than the last hold.

        The clock of each incarnation starts anew, and that of one incarnation never shows less in
        an answer than when the call was sent.
        """
        if self.clock_ms is None:
            return False
        passed = float(clock.sent_ms - self.clock_read_ms)
        if passed > 0:
            passed *= 1 - limits.clock_drift
        return clock.clock_ms < self.clock_ms + passed - CLOCK_ROUNDING_MS

    @property
    def verified(self) -> bool:
        """Whether it has answered a hold with the newest token, and so refuses earlier calls."""
        return self.accepted_token >= self.token

    def may_carry_out(self, run: Run) -> bool:
        """Return whether this incarnation may still carry out a start of a run."""
        return any(token >= self.accepted_token for token in run.start_tokens)

    def grant_lease(self, now_ms: int, limits: Limits, timeout_ms: int | None = None) -> int | None:
        """Return the end of the lease on the worker's clock; None if none can be granted.

        The call that carries it takes up to `timeout_ms`, that of a start if none is given.

        The worker's clock is unknown until it answers, and a lease that the leadership record calls
        not renewed is not granted anew to a later incarnation either.

        The lease is extended only while the worker answers. Otherwise repeated calls would prolong
        the time for which the worker has to be assumed to run its tasks.
        """
        if self.clock_ms is None:
            return None
        answering = now_ms - self.last_answer_ms < limits.worker_silence_ms
        if not self.lease_unrenewed and (answering or self.sent_deadline_ms is None):
            passed = (now_ms - self.clock_read_ms) * (1 - limits.clock_drift)
            self.sent_deadline_ms = int(self.clock_ms + passed + limits.lease_ms)
            self.expect_lease(now_ms + limits.usual_lease_ms, LeaseBasis.GRANTED)
        if self.sent_deadline_ms is not None:
            self.deadline_call_ms = now_ms
            arrival_ms = now_ms + (limits.start_timeout_ms if timeout_ms is None else timeout_ms)
            self.deadline_calls_end_ms = max(self.deadline_calls_end_ms, arrival_ms)
        return self.sent_deadline_ms

    def expect_lease(self, expires_ms: int, basis: LeaseBasis) -> None:
        """Expect a lease until `expires_ms`, unless a later end is expected already."""
        if expires_ms > self.lease_expires_ms:
            self.lease_expires_ms, self.lease_basis = expires_ms, basis

    def expect_earlier_calls(self) -> None:
        """Expect that a later incarnation, which has been noticed, accepts the calls under way.

        To its clock, which started anew, their deadlines lie far ahead.
        """
        self.earlier_calls_end_ms = self.deadline_calls_end_ms

    def end_earlier_calls(self, now_ms: int, limits: Limits) -> None:
        """Expect no more of them: it has answered a call with a higher token."""
        if self.earlier_calls_end_ms:
            arrival_ms = min(now_ms, self.earlier_calls_end_ms)
            self.expect_lease(arrival_ms + limits.longest_lease_ms, LeaseBasis.RESTARTED)
            self.earlier_calls_end_ms = 0

    def _lease_end_ms(self, unconfirmed: bool, limits: Limits) -> int:
        arrival_ms = self.earlier_calls_end_ms
        if unconfirmed:
            arrival_ms = max(arrival_ms, self.deadline_calls_end_ms)
        return max(self.lease_expires_ms, arrival_ms + limits.longest_lease_ms if arrival_ms else 0)

    def last_lease_ms(self, limits: Limits) -> int:
        """Return when the last of the leases ends that its runs may have."""
        return self._lease_end_ms(any(run.unconfirmed for run in self.runs.values()), limits)

    def may_hold_run(self, run: Run, now_ms: int, limits: Limits) -> bool:
        """Return whether a run that was started here may go on although the worker is silent."""
        return now_ms <= self._lease_end_ms(run.unconfirmed, limits)

    def add_run(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.task] = run
        if run.isolation_ms:
            self.isolated_runs.add(run.task)
        self._set_used(self.used.plus(run.step.reservation))
        self._count_work(run.step, 1)

    def remove_run(self, task: TaskId) -> Run | None:
        """Remove a run and release its resources."""
        run = self.runs.pop(task, None)
        self.isolated_runs.discard(task)
        if run is not None:
            self._set_used(self.used.minus(run.step.reservation))
            self._count_work(run.step, -1)
        return run

    def _count_work(self, step: Step, sign: int) -> None:
        if step.long_running:
            self.long_running_cpu += sign * step.reservation.cpu
        else:
            self.started_work += sign * step.need.cpu / 1_000 * step.estimate_ms

    def _set_used(self, used: Resources) -> None:
        self.used, self.free = used, self.capacity.minus(used)

    def is_full_beyond(self, need: Resources) -> bool:
        """Return whether the runs here exceed the capacity in a resource that `need` takes."""
        return (
            (need.cpu > 0 > self.free.cpu)
            or (need.mem_mb > 0 > self.free.mem_mb)
            or (need.gpu > 0 > self.free.gpu)
        )

    @property
    def entry_outdated(self) -> bool:
        """Whether its entry is that of an earlier incarnation, which may be of another kind."""
        return 0 < self.entry_started_ms < self.started_ms

    def usable(self, now_ms: int, limits: Limits) -> bool:
        """Return whether new runs may be placed here."""
        return (
            self.listed
            and self.ready
            and not self.entry_outdated
            and self.epoch_accepted
            and not self.cordoned
            and not self.retired
            and not self.end_expected
            and not self.isolated_runs
            and self.contact_lost_ms is None
            and now_ms >= self.blocked_until_ms
            and now_ms - self.last_answer_ms < limits.worker_silence_ms
        )
