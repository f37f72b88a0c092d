"""Load of the pools: the capacity that each has, needs now and will need shortly."""

import attrs

from fescuecrank_scheduler.arrivals import SHORT_WINDOWS_MS
from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.workers import Worker

# Time in which the waiting work is to be done; the cores that it requires follow from this.
RELIEF_MS = 1_000

# A pool that has had work without capacity for this long needs all of its own machines.
BACKLOG_MS = 1_000


@attrs.define
class PoolLoad:
    """Load of one pool."""

    cores: float = 0.0
    # Cores of machines that are being moved to the pool.
    incoming: float = 0.0
    # Waiting work in core-ms.
    waiting_work: float = 0.0
    # Cores reserved by long-running tasks, and cores that the arriving jobs need.
    long_running_cores: float = 0.0
    arrival_cores: float = 0.0
    # The same over `SHORT_WINDOWS_MS` only.
    recent_arrival_cores: float = 0.0
    # Whether work has been without capacity for `BACKLOG_MS`.
    backlogged: bool = False

    @property
    def required(self) -> float:
        """Cores needed for long-running tasks, arriving jobs and the waiting work."""
        return self.long_running_cores + self.arrival_cores + self.waiting_work / RELIEF_MS

    @property
    def shortage(self) -> float:
        """Cores that the pool lacks; negative if it has more than it requires."""
        return self.required - self.cores - self.incoming


@attrs.define
class PoolLoads:
    """Measures the load of the pools under one leadership."""

    state: LeaderState
    # Since when each pool has had work without capacity.
    _unplaced_since: dict[str, int] = attrs.field(factory=dict)

    def measure(self, now: Now) -> dict[str, PoolLoad]:
        """Return the load of each pool that is not a standby pool."""
        pools = {
            name: PoolLoad(waiting_work=self.state.on_time_work.get(name, 0.0))
            for name, pool in self.state.config.pools.items()
            if not pool.standby
        }
        for name, load in pools.items():
            arrivals = self.state.arrivals
            load.arrival_cores = arrivals.required_cores(name, now.mono_ms)
            load.recent_arrival_cores = arrivals.required_cores(name, now.mono_ms, SHORT_WINDOWS_MS)
            if self.state.waiting_work.get(name) or name in self.state.pools_awaiting_long_running:
                since = self._unplaced_since.setdefault(name, now.mono_ms)
                load.backlogged = now.mono_ms - since >= BACKLOG_MS
            else:
                self._unplaced_since.pop(name, None)
        for worker in self.state.workers.values():
            load = pools.get(worker.pool)
            if load is not None and self._counts_as_capacity(worker, now):
                load.cores += worker.capacity.cpu / 1_000
                load.long_running_cores += sum(
                    run.step.reservation.cpu / 1_000
                    for run in worker.runs.values()
                    if run.step.long_running
                )
        return pools

    def _counts_as_capacity(self, worker: Worker, now: Now) -> bool:
        """Return whether a worker counts towards its pool's capacity; a silent one does not."""
        limits = self.state.limits
        just_started = now.mono_ms - self.state.started_ms < limits.worker_silence_ms
        responsive = just_started or now.mono_ms - worker.last_answer_ms < limits.worker_silence_ms
        unavailable = worker.cordoned or worker.retired or not worker.listed or not worker.ready
        return responsive and not unavailable

    def min_machines(self, all_machines: int) -> dict[str, int]:
        """Return the least number of machines that the long-running tasks of each pool need.

        Tasks with a latency target disturb each other, and best-effort tasks use idle CPU. In pools
        with either of them, `all_machines` stay on.
        """
        min_by_pool: dict[str, int] = {}
        for worker in self.state.workers.values():
            for run in worker.runs.values():
                step = run.step
                if step.target_ms or step.best_effort:
                    min_by_pool[worker.pool] = all_machines
                elif step.long_running and step.anti_affinity:
                    # One spare machine, so that maintenance can move a task.
                    least = -(-step.count // step.anti_affinity) + 1
                    min_by_pool[worker.pool] = max(min_by_pool.get(worker.pool, 0), least)
        return min_by_pool
