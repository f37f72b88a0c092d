"""Placement passes: which waiting tasks start on which workers."""

from collections import defaultdict
from collections.abc import Container

import attrs

from fescuecrank_scheduler import ordering, placement
from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.fleet import Resources
from fescuecrank_scheduler.isolation import Isolation, allowed_workers
from fescuecrank_scheduler.jobs import Job, Step
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.ordering import Demand, ReadyStep
from fescuecrank_scheduler.runs import Runs
from fescuecrank_scheduler.workers import Worker


@attrs.define
class Dispatcher:
    """Places waiting tasks in passes, at least `min_pass_interval_ms` apart."""

    state: LeaderState
    runs: Runs
    last_pass_ms: int = 0
    # Wall-clock time of the next occurrence of any scheduled job, by queue.
    next_occurrence_ms: dict[str, float] = attrs.field(factory=dict)
    # Reservations for which the pool of the current pass has no worker left; none is released
    # during a pass, so larger ones need not be looked for.
    _full_for: list[Resources] = attrs.field(factory=list)
    _isolation: Isolation = attrs.field(init=False)

    @_isolation.default
    def _make_isolation(self) -> Isolation:
        return Isolation(self.state, self.runs)

    def tick(self, now: Now) -> None:
        """Request a pass when an occurrence is due or `max_pass_interval_ms` have passed."""
        state = self.state
        # A blocked worker becomes usable again without an event.
        retry_due = (
            state.waiting_jobs
            and now.mono_ms - self.last_pass_ms >= state.limits.max_pass_interval_ms
        )
        if retry_due:
            state.request_placement()
        for name, due_ms in self.next_occurrence_ms.items():
            queue = state.config.queue(name)
            if now.wall_ms >= due_ms and queue is not None:
                state.request_placement(queue.pool)

    def place_waiting(self, now: Now) -> None:
        """Run a pass if one was requested and the last one is not too recent."""
        due_ms = self.next_due_ms(now)
        if due_ms is not None and now.mono_ms >= due_ms:
            self._run_pass(now)

    def next_due_ms(self, now: Now) -> int | None:
        """Return when the next pass may run; None if none was requested or can be run."""
        state = self.state
        if not state.placement_due or not state.workers_listed or state.resigning:
            return None
        return self.last_pass_ms + state.limits.min_pass_interval_ms

    def _run_pass(self, now: Now) -> None:
        state = self.state
        due = None if state.all_pools_due else state.pools_due
        state.all_pools_due, state.pools_due = False, set()
        self.last_pass_ms = now.mono_ms
        by_pool: dict[str, list[Demand]] = {}
        for queue_name in state.waiting_jobs.queues():
            queue = state.config.queue(queue_name)
            if queue is None or (due is not None and queue.pool not in due):
                continue
            demands = by_pool.setdefault(queue.pool, [])
            self.next_occurrence_ms.pop(queue_name, None)
            for job_id in state.waiting_jobs.in_queue(queue_name):
                job = state.table.jobs[job_id]
                if not job.open or job_id in state.outcomes:
                    state.waiting_jobs.discard(job)
                else:
                    demands.append(self._demand(job, now))
        if self.runs.crashes.kinds.kinds:
            self.runs.crashes.kinds.review(now)
        for name in list(state.waiting_work) if due is None else due:
            state.forget_unplaced(name)
        usable_by_pool = self._usable_workers(by_pool, now)
        for pool, demands in by_pool.items():
            self._place_pool(pool, demands, usable_by_pool[pool], now)

    def _usable_workers(self, pools: Container[str], now: Now) -> dict[str, list[Worker]]:
        usable: dict[str, list[Worker]] = defaultdict(list)
        for worker in self.state.workers.values():
            if (
                worker.pool in pools
                and worker.usable(now.mono_ms, self.state.limits)
                and self.state.capacity_known(worker, now)
            ):
                usable[worker.pool].append(worker)
        return usable

    def _place_pool(self, pool: str, demands: list[Demand], usable: list[Worker], now: Now) -> None:
        """Place the waiting tasks of one pool in the order of its demands."""
        self._full_for.clear()
        speed = ordering.PoolSpeed.of_workers(usable)
        unplaced = unplaced_on_time = 0.0
        reserved: list[Worker] = []
        ordered = ordering.order_demands(demands, speed, now.wall_ms)
        if self._isolation.needed(demands):
            unplaced, unplaced_on_time = self._isolation.place_trials(pool, ordered, usable, now)
            open_workers = [worker for worker in usable if not worker.isolated_runs]
            usable = [worker for worker in open_workers if worker.reserved_until_ms <= now.mono_ms]
            reserved = [worker for worker in open_workers if worker.reserved_until_ms > now.mono_ms]
        full = 0.0
        for demand in ordered:
            work = self._schedule_job(demand, usable, now)
            unplaced += work
            full += work
            if now.wall_ms + demand.critical_path_ms <= demand.due_ms:
                unplaced_on_time += work
            if reserved and demand.long_running:
                # Services come before trials where the other workers have no room.
                self._full_for.clear()
                self._schedule_job(ordering.still_waiting(demand), reserved, now)
                self._full_for.clear()
        if full:
            self._isolation.full_pools.add(pool)
        else:
            self._isolation.full_pools.discard(pool)
        self.state.waiting_work[pool] = unplaced
        self.state.on_time_work[pool] = unplaced_on_time

    def _demand(self, job: Job, now: Now) -> Demand:
        demand = self.state.demands.get(job.id)
        if demand is None or job.schedule is not None:
            self._create_due_occurrences(job, now)
            demand = self.state.demands[job.id] = ordering.compute_demand(job, self.state.config)
        return demand

    def _schedule_job(self, demand: Demand, usable: list[Worker], now: Now) -> float:
        """Plan runs of a job's ready tasks; return the work left without capacity, in core-ms."""
        unplaced = 0.0
        job = demand.job
        if not demand.waiting and job.schedule is None:
            self.state.waiting_jobs.discard(job)
        for waiting in demand.ready:
            ready = self._isolation.startable(job, waiting)
            if not ready.tasks:
                self._log_trial_wait(job, waiting)
                continue
            step = job.steps[ready.number]
            if not usable or any(full.fits(step.reservation) for full in self._full_for):
                unplaced += ordering.step_work(step, len(ready.tasks))
                self._log_plan(job, ready, [], len(ready.tasks), "no_room")
                self._record_unplaced(job, step)
                continue
            workers = allowed_workers(self.state, job, ready, usable, now)
            if step.gang:
                unplaced += self._place_gang(job, ready, workers, now)
            else:
                unplaced += self._place_tasks(job, ready, workers, now)
        return unplaced

    def _create_due_occurrences(self, job: Job, now: Now) -> None:
        if job.schedule is None:
            job.create_occurrence(0)
            return
        schedule = job.schedule
        for number in range(schedule.repeat_count):
            due = schedule.first_ms + number * schedule.interval_ms
            if now.wall_ms < due:
                next_ms = self.next_occurrence_ms.get(job.queue, due)
                self.next_occurrence_ms[job.queue] = min(next_ms, due)
                break
            job.create_occurrence(number)

    def _place_tasks(self, job: Job, ready: ReadyStep, workers: list[Worker], now: Now) -> float:
        step, team = job.steps[ready.number], self.state.config.teams.get(job.team)
        allowed = self.state.usage.room(team, step.need, len(ready.tasks))
        chosen = placement.choose_workers(
            workers, job.id, ready.occurrence, ready.number, step, allowed
        )
        for task, worker in zip(ready.tasks, chosen, strict=False):
            self.runs.plan(worker, job, task, task.run + 1, now)
        left = len(ready.tasks) - len(chosen)
        reason = ""
        if len(chosen) < allowed:
            reason = "no_room"
        elif left:
            reason = "team_limit"
        self._log_plan(job, ready, [worker.id for worker in chosen], left, reason)
        if reason == "no_room":
            self._record_unplaced(job, step)
            queue = self.state.config.queue(job.queue)
            everywhere = queue is None or not queue.needs_advice
            if everywhere and not step.requires and not step.anti_affinity:
                self._full_for.append(step.reservation)
            return ordering.step_work(step, left)
        if reason == "team_limit":
            self._record_team_limited(job)
        return 0.0

    def _record_team_limited(self, job: Job) -> None:
        queue = self.state.config.queue(job.queue)
        if queue is not None:
            self.state.team_limited_pools.add(queue.pool)

    def _log_plan(
        self,
        job: Job,
        ready: ReadyStep,
        chosen: list[str],
        left: int,
        reason: str,
        **fields: object,
    ) -> None:
        """Log the runs planned for a step, or a change of the reason why it waits."""
        key = (job.id, ready.occurrence, ready.number)
        if not chosen and self.state.wait_reasons.get(key) == reason:
            return
        self.state.wait_reasons[key] = reason
        self.state.log(
            "runs_planned",
            job=job.id,
            occurrence=ready.occurrence,
            step=ready.number,
            workers=chosen,
            left=left,
            reason=reason,
            epoch=self.state.leader.epoch,
            config=self.state.config.version,
            **fields,
        )

    def _log_trial_wait(self, job: Job, ready: ReadyStep) -> None:
        """Log that a step waits for a trial, with what speaks against its kind."""
        kind = self._isolation.kinds.of_step(job.queue, job.steps[ready.number])
        record = kind.record if kind is not None else None
        fields = attrs.asdict(record) if record is not None else {}
        self._log_plan(job, ready, [], len(ready.tasks), "kind_suspected", suspected=fields)

    def _place_gang(self, job: Job, ready: ReadyStep, workers: list[Worker], now: Now) -> float:
        step, team = job.steps[ready.number], self.state.config.teams.get(job.team)
        if len(ready.tasks) < step.count:
            return 0.0
        if self.state.usage.room(team, step.need, step.count) < step.count:
            self._record_team_limited(job)
            return 0.0
        chosen = placement.choose_gang(workers, job.id, ready.occurrence, ready.number, step)
        if chosen is None:
            self._log_plan(job, ready, [], step.count, "no_room")
            self._record_unplaced(job, step)
            return ordering.step_work(step, step.count)
        run = max(task.run for task in ready.tasks) + 1
        for task, worker in zip(ready.tasks, chosen, strict=True):
            self.runs.plan(worker, job, task, run, now)
        self._log_plan(job, ready, [worker.id for worker in chosen], 0, "")
        return 0.0

    def _record_unplaced(self, job: Job, step: Step) -> None:
        queue = self.state.config.queue(job.queue)
        if step.long_running and queue is not None:
            self.state.pools_awaiting_long_running.add(queue.pool)
