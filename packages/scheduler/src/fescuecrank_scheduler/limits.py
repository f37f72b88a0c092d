"""Limits and time-outs of the scheduler."""

import attrs


@attrs.frozen
class Limits:
    """Limits of one deployment; fields named `*_ms` are durations."""

    # Longest lease that a worker accepts, a bound of the deployment.
    lease_max_ms: int = 10_000
    # Covers one hold, the detection of a dead leader and the first calls of its successor.
    lease_ms: int = 6_000
    # Largest fraction by which a worker's clock may run slower than ours.
    clock_drift: float = 0.02
    # Longest wait of a hold for a run to end; shorter waits cost more calls, longer ones consume
    # more of the lease.
    hold_wait_ms: int = 1_500
    # The same on workers with best-effort tasks, whose pace has to follow the reported latencies.
    hold_wait_paced_ms: int = 500
    # The same in pools where long-running tasks are moved one by one: the next one moves as soon as
    # the worker reports that the previous one is ready.
    hold_wait_moving_ms: int = 300
    # Pause between an answer and the next hold; runs that end meanwhile are reported together.
    hold_pause_ms: int = 40
    # Time that a client waits for the answer to a hold beyond its wait.
    hold_slack_ms: int = 700
    # Pause before a failed hold is repeated.
    hold_retry_ms: int = 250
    # The same on workers with an isolated run, beside which nothing is placed until it is reported.
    hold_wait_isolated_ms: int = 60
    # A worker that has not answered for this long gets no new runs.
    worker_silence_ms: int = 2_600
    # Answers usually take a few milliseconds, but longer on slow links and from frozen workers.
    start_timeout_ms: int = 500
    stop_timeout_ms: int = 500
    # Interval between a leader's renewals in the store.
    renew_interval_ms: int = 300
    # A leader whose renewals stop for this long is replaced; longer while they come slowly.
    leader_silence_ms: int = 1_000
    # Jitter that spreads the claims of several candidates.
    claim_spread_ms: int = 300
    # Delay of this process's claims, for a machine that is small; see `claim_handicap_ms`.
    claim_handicap_ms: int = 0
    # A leader whose own renewal is older than this stops renewing the leases of workers.
    leader_validity_ms: int = 3_500
    # Without a read of the store for this long, its state and the leader's are unknown.
    stale_ms: int = 2_000
    # A copy of the store older than this cannot prove that a job does not exist. A bound of the
    # deployment says how long after its acceptance a job has to be known everywhere.
    max_copy_age_ms: int = 2_700
    # Time after its acknowledgement by which a configuration has to be in force, a bound of the
    # deployment. With one that was complete longer ago, a process may decide wrongly.
    max_config_age_ms: int = 3_000
    # Least time between appends; changes within it share one.
    min_append_interval_ms: int = 12
    # Size from which the records of further jobs wait for the next append; the store rejects one
    # that exceeds a bound of the deployment.
    max_append_bytes: int = 1_000_000
    # Interval at which an unanswered stop is repeated.
    stop_retry_ms: int = 400
    # A run that has taken this many times its estimate is restarted elsewhere; the factor is large
    # because estimates can be far off.
    overdue_factor: float = 6.0
    overdue_min_ms: int = 4_000
    # A run whose progress, after `slow_check_ms`, projects to this many times its estimate is
    # restarted elsewhere if that saves time.
    slow_factor: float = 2.5
    slow_check_ms: int = 700
    # Least excess over the estimate; short tasks often take several times their estimate.
    slow_min_excess_ms: int = 2_500
    # The remaining time has to exceed the estimate by this factor.
    slow_min_saving: float = 1.5
    # A run whose progress does not rise for this long is restarted elsewhere; on a worker that is
    # several times slower than usual it still rises.
    idle_ms: int = 1_400
    # The same for long tasks, as a multiple of the time that one percent of them takes: progress is
    # stated in whole percents, so that of a task of 150 s rises every 1.5 s.
    idle_percents: int = 5
    # Consecutive failures after which a worker is quarantined.
    failure_streak: int = 3
    quarantine_ms: int = 4_000
    # For how long a worker has to report an isolated run before others are placed beside it: the
    # run has proven well. A task that crashes its worker as it starts does so within some ten
    # milliseconds; a crash later than `suspicion.PROMPT_MS` is not taken for one at the start.
    isolation_ms: int = 60
    # How long a task waits for a worker without other runs to be isolated there.
    isolation_wait_ms: int = 1_000
    # Largest share of a pool's workers on which tasks are tried at a time, with those that crashed
    # under one and are not back. With less, jobs without fault wait longer for their trial than
    # they would lose by the crashes (docs/crashing-kinds.md).
    trial_share: float = 0.7
    # The same while work that needs no trial finds no room.
    trial_share_full: float = 0.4
    # A worker that crashed is back within about this time.
    crash_repair_ms: int = 4_000
    # A task that has crashed a worker on which it was alone is tried again when no other trial
    # waits, or after this time.
    retrial_wait_ms: int = 10_000
    # A tried run with less work left than this ends sooner than it is stopped and started again.
    min_moved_work_ms: int = 400
    # A worker that accepts any start gets none if its entry, which states its capacity, was read
    # longer ago; derived from the interval of its reports and from a bound of the deployment.
    max_entry_age_ms: int = 3_000
    # Least time between placement passes; capacity freed within it is assigned in one pass.
    min_pass_interval_ms: int = 20
    # Longest time between placement passes while tasks wait.
    max_pass_interval_ms: int = 200
    # Remaining validity that a ticket needs to be used.
    ticket_margin_ms: int = 400
    # Workers named in one call to the advice service.
    advice_batch_size: int = 30
    # Interval at which the list of machines is read while a wave is active or machines may move.
    machines_read_interval_ms: int = 700
    # Time for which maintenance takes a machine down.
    maintenance_ms: int = 2_000
    # Ended jobs stay visible to callers for this long.
    keep_ended_ms: int = 150_000

    @property
    def longest_lease_ms(self) -> int:
        """Time after which no lease is left on a worker that is granted none."""
        return int(self.lease_max_ms / (1 - self.clock_drift))

    @property
    def usual_lease_ms(self) -> int:
        """The same if the last lease was granted by the clock of the incarnation that holds it."""
        return int(self.lease_ms / (1 - self.clock_drift)) + 1

    @property
    def unconfirmed_lease_ms(self) -> int:
        """The same, from the last call with a deadline, if an unknown incarnation may have got it.

        To a later incarnation, whose clock started anew, the deadline lies far ahead, so that its
        lease is the longest one from the arrival of the call.
        """
        return self.start_timeout_ms + self.longest_lease_ms

    @property
    def uncertain_age_ms(self) -> int:
        """Age up to which an incarnation may have a lease by the clock of the one before.

        Calls with such a deadline end when the worker has been silent, which its first answer would
        end too; a call takes no longer than a hold.
        """
        return self.worker_silence_ms + 2 * self.hold_wait_ms + self.longest_lease_ms

    @property
    def usual_inherited_ms(self) -> int:
        """Time after its last renewal in which the usual leases of a leader end."""
        return int((self.leader_validity_ms + self.lease_ms) / (1 - self.clock_drift))

    @property
    def longest_inherited_ms(self) -> int:
        """Time after its last renewal in which each lease of a leader ends."""
        return int(self.leader_validity_ms / (1 - self.clock_drift)) + self.unconfirmed_lease_ms
