"""Black-box checker of the safety properties P1 to P10.

It compares the answers that callers receive with the tasks that the workers run, and checks the
states that the entries report.
"""

import time
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

import attrs
from fescuecrank_cli.answers import RequestReport
from fescuecrank_core.declarations import Fleet, Profile
from fescuecrank_core.requests import Outcome

from fescuecrank_standin.observed import ObservedWorker, TaskStart, expected_answer
from fescuecrank_standin.worker_tasks import WorkerTask

# Time by which a withdrawal or a new configuration must be in force on all entries, by design.
IN_FORCE_MS = 3_000
# One poll of the instance list and a margin for commands in flight. It starts when the list shows
# the worker as leaving, so the lag of the list comes on top.
LEAVING_GRACE_MS = 3_000


@attrs.frozen
class SentRequest:
    """A request as its caller sent it."""

    request_id: str
    team: str
    service: str
    body: bytes
    idempotent: bool = True
    slots: int = 1


@attrs.frozen
class Violation:
    """A violation of one property; `property_id` is `P1` to `P10`."""

    property_id: str
    detail: str

    def __str__(self) -> str:
        return f"{self.property_id}: {self.detail}"


@attrs.define
class PropertyChecker:
    """Records requests and their reported outcomes, and collects the violations it detects.

    `fleet` holds the declarations in force. Limits and budgets are checked against it at each start
    of a task and each planned reboot; periodic sampling could miss a short violation.

    `reports` maps each request id to the last report that its caller received, or to None if no
    entry could be reached. `peak_slots` holds the most slots that each team used at once.
    `leaving_since_ms` maps the workers that are leaving to the monotonic time at which the instance
    list shows it. `applied_offsets` has one key per incarnation of an entry.
    """

    workers: dict[str, ObservedWorker] = attrs.field(factory=dict)
    fleet: Fleet = attrs.field(factory=Fleet)
    requests: dict[str, SentRequest] = attrs.field(factory=dict)
    reports: dict[str, RequestReport | None] = attrs.field(factory=dict)
    violations: list[Violation] = attrs.field(factory=list)
    peak_slots: Counter[str] = attrs.field(factory=Counter)
    leaving_since_ms: dict[str, int] = attrs.field(factory=dict)
    applied_offsets: dict[str, int] = attrs.field(factory=dict)

    def _add_violation(self, property_id: str, detail: str) -> None:
        self.violations.append(Violation(property_id, detail))

    def record_request(self, request: SentRequest) -> None:
        """Record a request; call it before the request is sent."""
        self.requests[request.request_id] = request

    def record_report(self, request_id: str, report: RequestReport | None) -> None:
        """Record the last report that a caller received; None if no entry could be reached."""
        self.reports[request_id] = report
        if report is None or report.outcome is not Outcome.DONE:
            return
        request = self.requests[request_id]
        if report.body != expected_answer(request.service, request.body):
            self._add_violation(
                "P5", f"request {request_id} got {len(report.body)} bytes that are not its answer"
            )

    # Events of workers

    def on_start(self, worker: ObservedWorker, task: WorkerTask) -> None:
        """Check limits, pools and leaving workers at a task start; `task` is already running."""
        running = self.running_slots()
        request = self.requests.get(task.run.request_id)
        if request is not None:
            self._check_limit(request.team, running[request.team])
        self._check_pool(worker, task)
        self._check_leaving(worker)

    def running_slots(self) -> Counter[str]:
        """Return the slots in use by team over all workers; only recorded requests count."""
        running: Counter[str] = Counter()
        for worker in self.workers.values():
            for task in worker.tasks.running():
                request = self.requests.get(task.run.request_id)
                if request is not None:
                    running[request.team] += request.slots
        return running

    def _check_limit(self, team: str, slots: int) -> None:
        self.peak_slots[team] = max(self.peak_slots[team], slots)
        declared = self.fleet.teams.get(team)
        if declared is not None and slots > declared.limit:
            self._add_violation("P4", f"team {team} runs {slots} slots of at most {declared.limit}")

    def _check_pool(self, worker: ObservedWorker, task: WorkerTask) -> None:
        services = {item.run.service for item in worker.tasks.running()} | {task.run.service}
        known = self.fleet.services
        pools = {known[name].pool for name in services if name in known}
        if len(pools) > 1:
            self._add_violation(
                "P2", f"worker {worker.name} runs tasks of pools {sorted(pools)} at once"
            )

    def _check_leaving(self, worker: ObservedWorker) -> None:
        since_ms = self.leaving_since_ms.get(worker.name)
        late_ms = _now_ms() - since_ms - LEAVING_GRACE_MS if since_ms is not None else 0
        if late_ms > 0:
            self._add_violation(
                "P8", f"worker {worker.name} started a task {late_ms} ms after the grace period"
            )

    def on_reboot(self, worker: ObservedWorker) -> None:
        """Check the budgets at a planned reboot; `worker` counts as out already."""
        interrupted = len(worker.tasks.running())
        if interrupted:
            self._add_violation(
                "P9", f"the reboot of {worker.name} interrupted {interrupted} tasks"
            )
        for pool, profile in self._pools_of(worker.name):
            self._check_budget(pool, profile, worker)

    def _pools_of(self, worker: str) -> list[tuple[str, Profile]]:
        return [
            (pool.name, self.fleet.profiles[pool.profile])
            for pool in self.fleet.pools.values()
            if worker in pool.workers
        ]

    def _check_budget(self, pool: str, profile: Profile, worker: ObservedWorker) -> None:
        members = [self.workers[name] for name in self.fleet.pools[pool].workers]
        out = [member.location for member in members if member.is_out]
        location = worker.location
        counts = {
            "max_out": (len(out), profile.max_out),
            "max_out_per_data_centre": (
                sum(item.data_centre == location.data_centre for item in out),
                profile.max_out_per_data_centre,
            ),
            "max_out_per_rack": (sum(item == location for item in out), profile.max_out_per_rack),
        }
        for bound, (count, limit) in counts.items():
            if count > limit:
                self._add_violation(
                    "P1", f"pool {pool} has {count} instances out, {bound} is {limit}"
                )

    # States of entries

    def check_applied_offset(self, entry: str, offset: int) -> None:
        """Check that the offset applied by one incarnation of an entry never decreases."""
        if offset < self.applied_offsets.get(entry, -1):
            self._add_violation(
                "P10",
                f"applied offset of {entry} fell from {self.applied_offsets[entry]} to {offset}",
            )
        self.applied_offsets[entry] = offset

    def check_pools(self, entry: str, pools: Mapping[str, Iterable[str]]) -> None:
        """Check that an entry assigns each worker to at most one pool."""
        pool_counts = Counter(worker for members in pools.values() for worker in members)
        for worker, count in pool_counts.items():
            if count > 1:
                self._add_violation("P2", f"entry {entry} has worker {worker} in {count} pools")

    def check_in_force(self, change: str, took_ms: int) -> None:
        """Check the time that a change took to be in force on all entries."""
        if took_ms > IN_FORCE_MS:
            self._add_violation("P10", f"{change} took {took_ms} ms to be in force on all entries")

    def check_key_use(self, entry: str, late_ms: int) -> None:
        """Check the use of a withdrawn key, accepted by an entry `late_ms` after the withdrawal."""
        if late_ms > IN_FORCE_MS:
            self._add_violation("P3", f"entry {entry} accepted a withdrawn key after {late_ms} ms")

    # Summary at the end of a run

    def starts(self) -> list[TaskStart]:
        """Return every task start on every worker."""
        return [start for worker in self.workers.values() for start in worker.starts]

    def run_counts(self) -> Counter[str]:
        """Return the number of runs of each request id over all workers."""
        return Counter(
            run.request_id for worker in self.workers.values() for run in worker.tasks.executions
        )

    def outcome_counts(self) -> Counter[str]:
        """Return the number of requests by reported outcome; those without one are `lost`."""
        return Counter(self._outcome_label(request_id) for request_id in self.requests)

    def _outcome_label(self, request_id: str) -> str:
        if request_id not in self.reports:
            return "lost"
        report = self.reports[request_id]
        if report is None:
            # `check_requests` reports the request if a worker ran it after all.
            return Outcome.NOT_RUN.value
        return report.outcome.value if report.outcome is not None else "lost"

    def check_requests(self) -> None:
        """Check the reported outcome of each request against the runs on the workers."""
        runs = self.run_counts()
        for request in self.requests.values():
            outcome, count = self._outcome_label(request.request_id), runs[request.request_id]
            if outcome == "lost":
                self._add_violation("P5", f"request {request.request_id} has no outcome")
            if outcome in (Outcome.NOT_RUN, Outcome.CANCELLED) and count:
                self._add_violation(
                    "P6", f"request {request.request_id} is {outcome} but ran {count} times"
                )
            if outcome == Outcome.DONE and not count:
                self._add_violation("P5", f"request {request.request_id} is done but never ran")
            if not request.idempotent and count > 1:
                self._add_violation("P7", f"request {request.request_id} ran {count} times")

    def violation_counts(self) -> dict[str, int]:
        """Return the number of violations by property."""
        counts: dict[str, int] = defaultdict(int)
        for violation in self.violations:
            counts[violation.property_id] += 1
        return dict(counts)


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
