"""Fake of a worker: fencing, leases, runs and their ends."""

import attrs
from fescuecrank_scheduler.effects import HoldWorker, StartRun, StopRun, WorkerEffect
from fescuecrank_scheduler.events import CallResult, EndRow, HoldReply, RunRow
from fescuecrank_scheduler.jobs import TaskId
from run_history import DoneEnd, RunHistory
from scheduler_builders import WALL_MS

STOP_MS = 100
LEASE_MAX_MS = 10_000
MAX_LISTED_ENDS = 500


def fencing_token(effect: WorkerEffect) -> int:
    """Return the token by which a worker rejects calls that newer ones have replaced."""
    return effect.token


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
    """A worker; each incarnation starts without state, and with a clock at 0 that runs 2 % slow."""

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
    incarnation: int = 1
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
    history: RunHistory = attrs.field(factory=RunHistory)
    # Ends `done` of this incarnation that were not acknowledged, and no lease has lapsed since.
    _open_ends: list[DoneEnd] = attrs.field(factory=list)

    @property
    def born_ms(self) -> int:
        """Start of this incarnation in Unix milliseconds."""
        return WALL_MS + self.started_ms

    def clock(self, now_ms: int) -> int:
        return int((now_ms - self.started_ms + 1) * 0.98)

    def advance(self, now_ms: int) -> None:
        """End the runs that have finished, were stopped or lost their lease by `now_ms`."""
        if not self.alive:
            return
        lapsed = self.lease_deadline_ms is not None and self.clock(now_ms) > self.lease_deadline_ms
        if lapsed:
            self._open_ends.clear()
        for run in list(self.runs.values()):
            if lapsed:
                self._end(run, "lapsed", now_ms)
            elif run.stop_at_ms is not None and now_ms >= run.stop_at_ms:
                self._end(run, "stopped", now_ms)
            elif run.work_ms is None or self.hangs:
                continue
            elif now_ms >= run.running_since_ms + run.work_ms:
                self._end(run, "failed" if run.fails else "done", now_ms)

    def _end(self, run: FakeRun, end_reason: str, now_ms: int) -> None:
        self.end_count += 1
        self.ends.append(EndRow(self.end_count, run.task, run.run, end_reason, ""))
        self.highest_ended_run[run.task] = max(run.run, self.highest_ended_run.get(run.task, 0))
        del self.runs[run.task]
        if end_reason == "done":
            end = self.history.record_done(run.task, run.run, self.id, self.end_count, now_ms)
            self._open_ends.append(end)

    def crash(self, now_ms: int) -> None:
        self.alive, self.ended_ms = False, now_ms
        self.runs.clear()
        self._open_ends.clear()

    def restart(self, now_ms: int) -> None:
        """Start a new incarnation under the same id."""
        self.alive, self.started_ms = True, now_ms + 1
        self.incarnation += 1
        self.highest_token, self.lease_deadline_ms, self.end_count = 0, None, 0
        self.highest_ended_run.clear()
        self.ends.clear()

    def start(self, effect: StartRun, now_ms: int, long_running: bool) -> CallResult:
        self.advance(now_ms)
        if self._is_fenced(effect):
            return CallResult.FENCED
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
        self.history.record_start(effect.task, effect.run, self.id, now_ms)
        return CallResult.OK

    def refuse_for_room(self, effect: StartRun, now_ms: int) -> CallResult:
        """Reject a start for want of capacity, which grants its lease all the same."""
        self.advance(now_ms)
        if self._is_fenced(effect):
            return CallResult.FENCED
        self._grant(effect.deadline_ms, now_ms)
        return CallResult.NO_ROOM

    def _is_fenced(self, effect: WorkerEffect) -> bool:
        token = fencing_token(effect)
        if token < self.highest_token:
            return True
        self.highest_token = token
        return False

    def stop(self, effect: StopRun, now_ms: int) -> CallResult:
        self.advance(now_ms)
        if self._is_fenced(effect):
            return CallResult.FENCED
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
        if self._is_fenced(effect):
            return CallResult.FENCED
        if effect.deadline_ms is not None:
            self._grant(effect.deadline_ms, now_ms)
        self.ends = [row for row in self.ends if row.number > effect.last_acked_end]
        for end in [end for end in self._open_ends if end.number <= effect.last_acked_end]:
            self._open_ends.remove(end)
            self.history.record_ack(end, now_ms)
        running = tuple(
            RunRow(run.task, run.run, "", self._progress(run, now_ms)) for run in self.runs.values()
        )
        ended = tuple(self.ends[:MAX_LISTED_ENDS])
        truncated = len(ended) < len(self.ends)
        return HoldReply(self.clock(now_ms), self.born_ms, running, ended, truncated)

    def _grant(self, deadline_ms: int, now_ms: int) -> None:
        longest = self.clock(now_ms) + LEASE_MAX_MS
        self.lease_deadline_ms = max(self.lease_deadline_ms or 0, min(deadline_ms, longest))

    def _progress(self, run: FakeRun, now_ms: int) -> int:
        if run.work_ms is None:
            return 100
        if self.hangs:
            return 1
        return min(99, 100 * (now_ms - run.running_since_ms) // run.work_ms)
