"""Fake of a worker: fencing, leases, runs and their ends."""

import attrs
from fescuecrank_scheduler.effects import HoldWorker, StartRun, StopRun
from fescuecrank_scheduler.events import CallResult, EndRow, HoldReply, RunRow
from fescuecrank_scheduler.jobs import TaskId

STOP_MS = 100
LEASE_MAX_MS = 10_000
MAX_LISTED_ENDS = 500


@attrs.define
class FakeRun:
    task: TaskId
    run: int
    running_since_ms: int
    work_ms: int | None
    fails: bool = False
    stop_at_ms: int | None = None


@attrs.define
class FakeWorker:
    """One incarnation of a worker; its clock starts at 0 and runs 2 % slow."""

    id: str
    started_ms: int = 1
    alive: bool = True
    # When the worker crashed or its machine was taken down.
    ended_ms: int = 0
    reachable: bool = True
    # Connections to the worker are refused.
    refusing: bool = False
    # Another worker has the address of this one.
    succeeded: bool = False
    highest_token: int = 0
    lease_deadline_ms: int | None = None
    runs: dict[TaskId, FakeRun] = attrs.field(factory=dict)
    highest_ended_run: dict[TaskId, int] = attrs.field(factory=dict)
    ends: list[EndRow] = attrs.field(factory=list)
    end_count: int = 0
    # Every start that was carried out: time, task and run.
    started: list[tuple[int, TaskId, int]] = attrs.field(factory=list)
    fails_all: bool = False
    hangs: bool = False
    work_ms: int = 1_000

    def clock(self, now_ms: int) -> int:
        return int(now_ms * 0.98)

    def advance(self, now_ms: int) -> None:
        """End the runs that have finished, were stopped or lost their lease by `now_ms`."""
        if not self.alive:
            return
        lapsed = self.lease_deadline_ms is not None and self.clock(now_ms) > self.lease_deadline_ms
        for run in list(self.runs.values()):
            if lapsed:
                self._end(run, "lapsed")
            elif run.stop_at_ms is not None and now_ms >= run.stop_at_ms:
                self._end(run, "stopped")
            elif run.work_ms is None or self.hangs:
                continue
            elif now_ms >= run.running_since_ms + run.work_ms:
                self._end(run, "failed" if run.fails else "done")

    def _end(self, run: FakeRun, end_reason: str) -> None:
        self.end_count += 1
        self.ends.append(EndRow(self.end_count, run.task, run.run, end_reason, ""))
        self.highest_ended_run[run.task] = max(run.run, self.highest_ended_run.get(run.task, 0))
        del self.runs[run.task]

    def crash(self, now_ms: int) -> None:
        self.alive, self.ended_ms = False, now_ms
        self.runs.clear()

    def restart(self, now_ms: int) -> None:
        """Start a new incarnation under the same id."""
        self.alive, self.started_ms = True, now_ms + 1
        self.highest_token, self.lease_deadline_ms, self.end_count = 0, None, 0
        self.highest_ended_run.clear()
        self.ends.clear()

    def start(self, effect: StartRun, now_ms: int, long_running: bool) -> CallResult:
        self.advance(now_ms)
        if effect.token < self.highest_token:
            return CallResult.FENCED
        self.highest_token = effect.token
        present = self.runs.get(effect.task)
        if present is not None and present.run == effect.run:
            return CallResult.OK
        self._grant(effect.deadline_ms, now_ms)
        if effect.run <= self.highest_ended_run.get(effect.task, 0) or present is not None:
            return CallResult.OLD
        if effect.deadline_ms <= self.clock(now_ms):
            return CallResult.LATE
        work_ms = None if long_running else self.work_ms
        self.runs[effect.task] = FakeRun(effect.task, effect.run, now_ms, work_ms, self.fails_all)
        self.started.append((now_ms, effect.task, effect.run))
        return CallResult.OK

    def stop(self, effect: StopRun, now_ms: int) -> CallResult:
        self.advance(now_ms)
        if effect.token < self.highest_token:
            return CallResult.FENCED
        self.highest_token = effect.token
        run = self.runs.get(effect.task)
        if run is not None and run.run <= effect.run:
            run.stop_at_ms = run.stop_at_ms or now_ms + STOP_MS
        else:
            self.highest_ended_run[effect.task] = max(
                effect.run, self.highest_ended_run.get(effect.task, 0)
            )
        return CallResult.OK

    def hold(self, effect: HoldWorker, now_ms: int) -> HoldReply | CallResult:
        self.advance(now_ms)
        if effect.token < self.highest_token:
            return CallResult.FENCED
        self.highest_token = effect.token
        if effect.deadline_ms is not None:
            self._grant(effect.deadline_ms, now_ms)
        self.ends = [row for row in self.ends if row.number > effect.last_acked_end]
        running = tuple(
            RunRow(run.task, run.run, "", self._progress(run, now_ms)) for run in self.runs.values()
        )
        ended = tuple(self.ends[:MAX_LISTED_ENDS])
        truncated = len(ended) < len(self.ends)
        return HoldReply(self.clock(now_ms), self.started_ms, running, ended, truncated)

    def _grant(self, deadline_ms: int, now_ms: int) -> None:
        longest = self.clock(now_ms) + LEASE_MAX_MS
        self.lease_deadline_ms = max(self.lease_deadline_ms or 0, min(deadline_ms, longest))

    def _progress(self, run: FakeRun, now_ms: int) -> int:
        if run.work_ms is None:
            return 100
        if self.hangs:
            return 1
        return min(99, 100 * (now_ms - run.running_since_ms) // run.work_ms)
