"""Checks of the properties P1 to P10 from outside: by what callers are told and workers run."""

import time
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

import attrs
from fescuecrank_cli.answers import RequestReport
from fescuecrank_core.declarations import Fleet, Profile
from fescuecrank_core.requests import Outcome

from fescuecrank_standin.observed import ObservedWorker, Started, expected_answer
from fescuecrank_standin.worker_tasks import WorkerTask

# Bound of the design for a withdrawn key and for a configuration in force.
IN_FORCE_MS = 3_000
# The list's lag comes on top: one poll of the list and a margin for commands under way.
LEAVING_GRACE_MS = 3_000


@attrs.frozen
class Asked:
    """One request as its caller sent it."""

    request_id: str
    team: str
    service: str
    body: bytes
    idempotent: bool = True
    slots: int = 1


@attrs.frozen
class Violation:
    """A property that broke."""

    rule: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.detail}"


@attrs.define
class Journal:
    """What callers asked and were told, what workers ran, and what broke.

    `fleet` holds the declarations in force; limits and budgets are judged by it at each start of a
    task and each planned reboot, so that no moment between two samples is missed.
    """

    workers: dict[str, ObservedWorker] = attrs.field(factory=dict)
    fleet: Fleet = attrs.field(factory=Fleet)
    asked: dict[str, Asked] = attrs.field(factory=dict)
    reports: dict[str, RequestReport | None] = attrs.field(factory=dict)
    violations: list[Violation] = attrs.field(factory=list)
    peak_running: Counter[str] = attrs.field(factory=Counter)
    leaving: dict[str, int] = attrs.field(factory=dict)
    applied: dict[str, int] = attrs.field(factory=dict)

    def _add(self, rule: str, detail: str) -> None:
        self.violations.append(Violation(rule, detail))

    def note_asked(self, asked: Asked) -> None:
        """Note a request before it is sent."""
        self.asked[asked.request_id] = asked

    def note_report(self, request_id: str, report: RequestReport | None) -> None:
        """Note what a caller was told last; None if no entry could be reached."""
        self.reports[request_id] = report
        if report is None or report.outcome is not Outcome.DONE:
            return
        asked = self.asked[request_id]
        if report.body != expected_answer(asked.service, asked.body):
            self._add("P5", f"request {request_id} got {len(report.body)} bytes of another answer")

    # Observations of workers

    def on_start(self, worker: ObservedWorker, task: WorkerTask) -> None:
        """Judge limits and pools at the start of a task, which is counted already."""
        running = self.running_slots()
        asked = self.asked.get(task.run.request_id)
        if asked is not None:
            self._check_limit(asked.team, running[asked.team])
        self._check_pool(worker, task)
        self._check_leaving(worker)

    def running_slots(self) -> Counter[str]:
        """Return the slots in use on all workers by team, without requests of unknown callers."""
        running: Counter[str] = Counter()
        for worker in self.workers.values():
            for task in worker.tasks.running():
                asked = self.asked.get(task.run.request_id)
                if asked is not None:
                    running[asked.team] += asked.slots
        return running

    def _check_limit(self, team: str, slots: int) -> None:
        self.peak_running[team] = max(self.peak_running[team], slots)
        declared = self.fleet.teams.get(team)
        if declared is not None and slots > declared.limit:
            self._add("P4", f"team {team} runs {slots} slots of at most {declared.limit}")

    def _check_pool(self, worker: ObservedWorker, task: WorkerTask) -> None:
        services = {item.run.service for item in worker.tasks.running()} | {task.run.service}
        known = self.fleet.services
        pools = {known[name].pool for name in services if name in known}
        if len(pools) > 1:
            self._add("P2", f"worker {worker.name} runs work of pools {sorted(pools)} at once")

    def _check_leaving(self, worker: ObservedWorker) -> None:
        since_ms = self.leaving.get(worker.name)
        late_ms = _now_ms() - since_ms - LEAVING_GRACE_MS if since_ms is not None else 0
        if late_ms > 0:
            self._add("P8", f"worker {worker.name} got work {late_ms} ms past the grace time")

    def on_reboot(self, worker: ObservedWorker) -> None:
        """Judge the budget as a planned reboot takes a worker out; it is counted already."""
        interrupted = len(worker.tasks.running())
        if interrupted:
            self._add("P9", f"the reboot of {worker.name} interrupted {interrupted} tasks")
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
        out = [member.place for member in members if member.is_out]
        place = worker.place
        counts = {
            "max_out": (len(out), profile.max_out),
            "max_out_per_data_centre": (
                sum(item.data_centre == place.data_centre for item in out),
                profile.max_out_per_data_centre,
            ),
            "max_out_per_rack": (sum(item == place for item in out), profile.max_out_per_rack),
        }
        for rule, (count, limit) in counts.items():
            if count > limit:
                self._add("P1", f"pool {pool} has {count} instances out, {rule} is {limit}")

    # Observations of entries

    def note_applied(self, entry: str, offset: int) -> None:
        """Note the offset that one incarnation of an entry has applied; it never goes back."""
        if offset < self.applied.get(entry, -1):
            self._add("P10", f"entry {entry} went back from {self.applied[entry]} to {offset}")
        self.applied[entry] = offset

    def note_pools(self, entry: str, pools: Mapping[str, Iterable[str]]) -> None:
        """Check one entry's view of the pools."""
        homes = Counter(worker for members in pools.values() for worker in members)
        for worker, count in homes.items():
            if count > 1:
                self._add("P2", f"entry {entry} has worker {worker} in {count} pools")

    def note_in_force(self, what: str, took_ms: int) -> None:
        """Check the time that a record took to be in force everywhere."""
        if took_ms > IN_FORCE_MS:
            self._add("P10", f"{what} took {took_ms} ms")

    def note_key_used(self, entry: str, late_ms: int) -> None:
        """Note that an entry accepted a withdrawn key `late_ms` after its withdrawal."""
        if late_ms > IN_FORCE_MS:
            self._add("P3", f"entry {entry} accepted a withdrawn key after {late_ms} ms")

    # Verdicts at the end

    def starts(self) -> list[Started]:
        """Return every start on every worker."""
        return [start for worker in self.workers.values() for start in worker.starts]

    def runs(self) -> Counter[str]:
        """Return how often each request id was run on any worker."""
        return Counter(
            run.request_id for worker in self.workers.values() for run in worker.tasks.executions
        )

    def counts(self) -> Counter[str]:
        """Return the number of requests by what their callers know."""
        return Counter(self._kind(request_id) for request_id in self.asked)

    def _kind(self, request_id: str) -> str:
        if request_id not in self.reports:
            return "lost"
        report = self.reports[request_id]
        if report is None:
            return Outcome.NOT_RUN.value
        return report.outcome.value if report.outcome is not None else "lost"

    def check_requests(self) -> None:
        """Check what every caller was told against what the workers ran."""
        runs = self.runs()
        for asked in self.asked.values():
            kind, count = self._kind(asked.request_id), runs[asked.request_id]
            if kind == "lost":
                self._add("P5", f"request {asked.request_id} has no outcome")
            if kind in (Outcome.NOT_RUN, Outcome.CANCELLED) and count:
                self._add("P6", f"request {asked.request_id} is {kind} but ran {count} times")
            if kind == Outcome.DONE and not count:
                self._add("P5", f"request {asked.request_id} is done but never ran")
            if not asked.idempotent and count > 1:
                self._add("P7", f"request {asked.request_id} ran {count} times")

    def broken(self) -> dict[str, int]:
        """Return the number of violations by property."""
        found: dict[str, int] = defaultdict(int)
        for violation in self.violations:
            found[violation.rule] += 1
        return dict(found)


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
