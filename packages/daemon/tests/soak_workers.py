"""The workers of a soak, which crash, restart under the same id, and answer late or never."""

import asyncio
import contextlib
import random

import orjson
from fescuecrank_platform.store import WORKERS_TOPIC
from fescuecrank_platform.worker_client import parse_task_name
from fescuecrank_scheduler.effects import HoldWorker
from fescuecrank_scheduler.events import CallResult
from fescuecrank_scheduler.jobs import TaskId
from platform_servers import POLL_INTERVAL_S, WorkerServer, now_ms, unix_ms
from soak_jobs import TASK_CPU
from soak_ledger import CutLease, Life
from soak_machine import CLOCK_RATE, SoakMachine
from soak_proxy import Proxy
from soak_servers import NoAnswerError, SilentServer
from tornado.httputil import HTTPServerRequest

CAPACITY = 4_000

HEARTBEAT_MS = 500
CRASH_DELAY_MS = 10

# A worker's report about itself counts after this time.
RESIZE_GRACE_MS = 4_500

# An order that is carried out late is so by this much; a proxy holds calls back as long.
LATE_MS = (1_000, 6_000)

# An incarnation that is called again this long after it answered a hold is known to its caller.
KNOWN_AFTER_MS = 300
MAX_WAIT_TO_BE_KNOWN_MS = 10_000

# Calls of a former life are counted apart from this age on: a network that sends a lost packet
# again delivers most of them earlier.
EARLIER_CALL_MS = 1_000

START_PATH, HOLD_PATH = "/api/run-start", "/api/hold"


def fencing_token(body: dict) -> int:
    """Return the fencing token of a call to a worker."""
    return body["fencing_token"]


class SoakWorker(SilentServer, WorkerServer):
    """One machine: a worker behind a proxy, whose successor has another id or the same."""

    def __init__(self, number: int, work_ms: int, guards_room: bool, soak) -> None:
        super().__init__(f"i-{number}-1", work_ms)
        self.number, self.work_ms, self.soak, self.lives = number, work_ms, soak, 1
        # Whether it refuses starts beyond its capacity.
        self.guards_room = guards_room
        self.worker = self._make_machine()
        self.proxy = Proxy(self.address, lambda name: soak.count(f"worker {name}"))
        self.cpu, self.resized_ms = CAPACITY, 0
        self._rng = random.Random(f"{soak.seed}-worker-{number}")
        self._seen_end = 0
        # When this incarnation first answered a hold, and whether its caller knows of it.
        self._answered_ms: int | None = None
        self._known = False
        # Until when calls that were sent earlier may arrive.
        self.late_until_ms = 0
        # Whether the worker is down and calls that arrive wait for its next incarnation, those that
        # wait, and whether a call has reached this incarnation.
        self.keeps_calls_while_down = False
        self._waiting: list[asyncio.Future[None]] = []
        self._called = False
        # Calls that the next incarnation carries out before it is called, and when they came.
        self._kept: list[tuple[int, HTTPServerRequest]] = []
        # Until when the list shows the incarnation before.
        self.list_stale_until_ms = 0
        self._starts_before = 0
        # When this incarnation last answered a hold.
        self.last_hold_ms = 0
        self.repair_orders()

    def repair_orders(self) -> None:
        """Carry out and answer all further calls at once."""
        # Paths of the calls that may be carried out late, and the share of them.
        self.late_paths: tuple[str, ...] = ()
        self.late_share = 0.0
        # Shares of the calls that are carried out and not answered, and that are turned away.
        self.unanswered_share = self.turned_away_share = 0.0
        # Paths of the calls that are kept for the next incarnation, and the share of them.
        self.kept_paths: tuple[str, ...] = ()
        self.kept_share = 0.0
        self.answer_delay_ms = 0

    def _make_machine(self) -> SoakMachine:
        name = f"i-{self.number}-{self.lives}"
        gangs = self.soak.gangs
        machine = SoakMachine(name, started_ms=now_ms(), work_ms=self.work_ms, gangs=gangs)
        gangs.machines.append(machine)
        return machine

    @property
    def has_started(self) -> bool:
        """Whether this incarnation has started a task."""
        return len(self.worker.started) > self._starts_before

    @property
    def life(self) -> Life:
        return Life(self.worker.id, self.worker.started_ms)

    def listed_entry(self) -> dict:
        capacity = {"cpu": self.cpu, "mem_mb": 8_000}
        machine = f"m-{self.number}"
        fields = {"address": self.proxy.address, "capacity": capacity, "machine": machine}
        return self.entry("pool-a") | fields

    async def send_heartbeats(self) -> None:
        while True:
            if now_ms() < self.list_stale_until_ms:
                self.soak.count("heartbeats that an unnoticed restart left out")
            elif self.worker.alive:
                self.soak.store.put(WORKERS_TOPIC, self.worker.id, self.listed_entry())
            await asyncio.sleep(HEARTBEAT_MS / 1_000)

    def expect_late_calls(self, duration_ms: int) -> None:
        """Allow for calls that arrive late for some time after a fault."""
        self.late_until_ms = max(self.late_until_ms, now_ms() + duration_ms + LATE_MS[1])

    # Calls.

    async def handle(self, req) -> tuple[int, bytes]:
        late = self.keeps_calls_while_down and self._is_for_this_worker(req)
        if late:
            await self._reach_next_incarnation(req)
        if not self._is_for_this_worker(req):
            return 421, orjson.dumps({"clock_ms": 0})
        if req.path == START_PATH and self._rng.random() < self.turned_away_share:
            self.soak.count("starts turned away")
            return 503, b""
        if req.path in self.late_paths and self._rng.random() < self.late_share:
            self.soak.count(f"late {req.path.rsplit('/', 1)[-1]}")
            delay_ms, life = self._rng.randrange(*LATE_MS), self.life
            self.soak.later(delay_ms, lambda: self._carry_out_late(req, life))
            raise NoAnswerError
        if req.path in self.kept_paths and self._rng.random() < self.kept_share:
            self.soak.count(f"{req.path.rsplit('/', 1)[-1]} calls kept for the next incarnation")
            self._kept.append((now_ms(), req))
            raise NoAnswerError
        self._known = self._known or (
            self._answered_ms is not None and now_ms() - self._answered_ms > KNOWN_AFTER_MS
        )
        life, answer = self.life, await self._carry_out(req, late)
        if self._rng.random() < self.unanswered_share:
            self.soak.count("worker answers lost")
            raise NoAnswerError
        if self.answer_delay_ms:
            self.soak.count("worker answers delayed")
            await asyncio.sleep(self.answer_delay_ms / 1_000)
        elif req.path == HOLD_PATH and self.life == life and not self.proxy.disturbed:
            self.last_hold_ms = now_ms()
            self._answered_ms = self._answered_ms or self.last_hold_ms
        return answer

    async def _reach_next_incarnation(self, req) -> None:
        """Keep a call until the worker is back, also if its caller gives up meanwhile."""
        path = req.path.rsplit("/", 1)[-1]
        sent_ms, back = now_ms(), asyncio.get_running_loop().create_future()
        self._waiting.append(back)
        await back
        age_ms, order = now_ms() - sent_ms, "later" if self._called else "first"
        bound = "under" if age_ms < EARLIER_CALL_MS else "over"
        self.soak.count(f"{path} calls of a former life carried out {order}, {bound} 1 s late")
        if req.path == START_PATH:
            body = orjson.loads(req.body)
            start = f"the start of {body['task']} run {body['run']}"
            self.soak.note(f"{self.worker.id} takes {start} {order}, sent {age_ms} ms before")

    def _is_for_this_worker(self, req) -> bool:
        return req.headers.get("X-Expect-Instance") == self.worker.id

    async def _carry_out_late(self, req, sent_to: Life) -> None:
        """Carry an order out, maybe by a later incarnation than the one that it was sent to.

        A later one has to be known to its caller; `_carry_out_kept` has the calls that come first.
        """
        if self.life != sent_to:
            end_ms = now_ms() + MAX_WAIT_TO_BE_KNOWN_MS
            while not (self._known and self.worker.alive) and now_ms() < end_ms:
                await asyncio.sleep(POLL_INTERVAL_S)
            if not self._known:
                return
            self.soak.count("late orders to a later incarnation")
        if self.worker.alive and self._is_for_this_worker(req):
            # The worker may end while a hold waits.
            with contextlib.suppress(NoAnswerError):
                await self._carry_out(req, late=True)

    async def wait_for_kept_start(self, wait_ms: int) -> bool:
        """Return whether a start has been kept in time."""
        end_ms = now_ms() + wait_ms
        while now_ms() < end_ms:
            if any(req.path == START_PATH for _, req in self._kept):
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    def _carry_out_kept(self) -> None:
        """Carry out kept calls before anybody calls this incarnation."""

        async def carry_out(req: HTTPServerRequest) -> None:
            with contextlib.suppress(NoAnswerError):
                await self._carry_out(req, late=True)

        kept, self._kept = self._kept, []
        for kept_ms, req in kept:
            if now_ms() - kept_ms > LATE_MS[1] or not self._is_for_this_worker(req):
                continue
            self.soak.count(f"{req.path.rsplit('/', 1)[-1]} calls before the first to a worker")
            self.soak.note(f"{self.worker.id} first carries out a kept {req.path}")
            self.soak.spawn(carry_out(req))

    async def _carry_out(self, req, late: bool = False) -> tuple[int, bytes]:
        if not self.worker.alive:
            self.soak.count("calls discarded by workers that were down")
            raise NoAnswerError
        self.observe()
        self._called = True
        body, life = orjson.loads(req.body), self.life
        if req.path == START_PATH and self._is_beyond_room(body):
            return self._refuse_for_room(body)
        count = len(self.worker.started)
        answer = await super().handle(req)
        if req.path == START_PATH and len(self.worker.started) > count:
            self._on_start(life, parse_task_name(body["task"]), body["run"], late)
        return answer

    def _is_beyond_room(self, body: dict) -> bool:
        if not self.guards_room or parse_task_name(body["task"]) in self.worker.runs:
            return False
        return TASK_CPU * (len(self.worker.runs) + 1) > self.cpu

    def _refuse_for_room(self, body: dict) -> tuple[int, bytes]:
        """Refuse a start, which renews the lease nevertheless."""
        self.soak.count("starts refused for room")
        deadline_ms, token = body["deadline_ms"], fencing_token(body)
        hold = HoldWorker(self.worker.id, self.address, token, 0, deadline_ms, 0, 0)
        fenced = isinstance(self.worker.hold(hold, now_ms()), CallResult)
        reason = "fence" if fenced else "room"
        return 409, orjson.dumps({"reason": reason, "clock_ms": self.worker.clock(now_ms())})

    async def _hold(self, base_fields, body) -> tuple[int, bytes]:
        life, end_ms = self.life, now_ms() + body.get("wait_ms", 0)
        body = body | {"wait_ms": 0}
        answer = await super()._hold(base_fields, body)
        if answer[0] != 200:
            return answer
        self.soak.ledger.on_acknowledged(life, body["last_seen"])
        if self.worker.ends or now_ms() >= end_ms:
            return answer
        while not self.worker.ends and now_ms() < end_ms:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.life != life or not self.worker.alive:
                raise NoAnswerError
            self.observe()
        body.pop("deadline_ms", None)
        return await super()._hold(base_fields, body)

    # What it sees.

    def observe(self) -> None:
        """Record the ends until now."""
        worker, now = self.worker, now_ms()
        if not worker.alive:
            return
        if worker.lease_deadline_ms is not None and worker.clock(now) > worker.lease_deadline_ms:
            self.soak.ledger.on_lapse(self.life)
        worker.advance(now)
        for row in worker.ends:
            if row.number > self._seen_end:
                self._seen_end = row.number
                self.soak.ledger.on_end(self.life, row)

    def _on_start(self, life: Life, task: TaskId, run: int, late: bool) -> None:
        ledger = self.soak.ledger
        # Its own ends come later: this process may be delayed for longer than the run takes.
        elsewhere = [other for other in self.soak.workers if other is not self]
        for other in elsewhere:
            other.observe()
        others = [
            other.worker.id
            for other in elsewhere
            if other.worker.alive and self._runs_beside(other, task, run)
        ]
        if any(
            present.run != run and ledger.unit(present.task) == ledger.unit(task)
            for present in self.worker.runs.values()
        ):
            others.append(self.worker.id)
        ledger.on_start(life, task, run, others, late)
        used = TASK_CPU * len(self.worker.runs)
        may_be_late = late or now_ms() < self.late_until_ms
        grace_ms = RESIZE_GRACE_MS + (LATE_MS[1] if may_be_late else 0)
        if not self.guards_room and used > self.cpu and now_ms() - self.resized_ms > grace_ms:
            self.soak.violate(f"{life.worker} holds {self.cpu} and has {used}, start of {task}")
        job = ledger.jobs.get(task.job)
        if job is not None and job.crashing and (task.step, task.index) == (0, 0):
            self.soak.later(CRASH_DELAY_MS, lambda: self._crash_under(task, life))

    def _runs_beside(self, other: "SoakWorker", task: TaskId, run: int) -> bool:
        """Return whether another worker runs the task, or a member of another run of its gang."""
        unit = self.soak.ledger.unit
        return task in other.worker.runs or any(
            present.run != run and unit(present.task) == unit(task)
            for present in other.worker.runs.values()
        )

    def _crash_under(self, task: TaskId, life: Life) -> None:
        if self.worker.alive and self.life == life and task in self.worker.runs:
            self.soak.ledger.on_crash(task, life)
            self.soak.count("crashes under a task")
            self.soak.note(f"{life.worker} crashes under {task.job}")
            self.crash(self._rng.randrange(800, 2_500), keeps_id=self._rng.random() < 0.3)

    # Faults.

    def crash(
        self,
        repair_ms: int,
        keeps_id: bool = False,
        silent: bool = False,
        keeps_connections: bool = False,
    ) -> None:
        """End the worker; after a while another one has the address, or the same with a new clock.

        If it crashes `silent`, its connections stay open; the next incarnation reads from them if
        it `keeps_connections`.
        """
        if not self.worker.alive:
            return
        self.observe()
        self.worker.crash(now_ms())
        self.soak.count("workers crashed")
        if silent and not keeps_connections:
            self.proxy.abandon()
        elif not silent:
            self.proxy.refuse()
        self.soak.later(repair_ms, lambda: self._come_back(keeps_id))

    def restart_unnoticed(
        self, away_ms: int, stale_ms: int, silent: bool, keeps_connections: bool = False
    ) -> None:
        """Restart under the same id while the list goes on to show the incarnation before."""
        if self.worker.alive:
            self.list_stale_until_ms = now_ms() + away_ms + stale_ms
            self.crash(away_ms, True, silent, keeps_connections)
            if silent:
                self.soak.later(away_ms + stale_ms, self.proxy.drop_dead)

    def restart_in_group(self, away_ms: int, stale_ms: int, takes_calls: bool) -> None:
        """Restart under the same id with open connections.

        Calls that arrive meanwhile are carried out by the next incarnation, or by none.
        """
        if not self.worker.alive:
            return
        # What an earlier cut held back is for the former life.
        self.proxy.rejoin(drop=True)
        self.soak.count("workers of reborn groups")
        self.soak.note(f"{self.worker.id} is down for {away_ms} ms")
        self.keeps_calls_while_down = takes_calls
        self.restart_unnoticed(away_ms, stale_ms, silent=True, keeps_connections=takes_calls)

    async def cut_off_after_start(self, wait_ms: int, cut_ms: int, drop: bool) -> None:
        """Cut the next incarnation off once it has started a task."""
        life, end_ms = self.life, now_ms() + wait_ms
        while self.life == life or not (self.worker.alive and self.has_started):
            if now_ms() > end_ms:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        self.soak.count("workers cut off again after they got work")
        self.cut_off(cut_ms, drop)

    def cut_off(self, cut_ms: int, drop: bool) -> None:
        """Hold all calls and answers back for a time; with `drop`, reset their connections then."""
        self.soak.note(f"{self.worker.id} is cut off for {cut_ms} ms")
        self.proxy.isolated = True
        self.expect_late_calls(cut_ms)
        life, since_ms = self.life, now_ms()
        runs = frozenset(task.label for task in self.worker.runs)

        def rejoin() -> None:
            deadline_ms, now = self.worker.lease_deadline_ms, now_ms()
            if self.life == life and deadline_ms is not None:
                left_ms = int((deadline_ms - self.worker.clock(now)) / CLOCK_RATE)
                times = (unix_ms(time_ms) for time_ms in (since_ms, now, now + left_ms))
                self.soak.ledger.cut_leases.append(CutLease(life.worker, *times, runs))
            self.proxy.rejoin(drop)

        self.soak.later(cut_ms, rejoin)

    async def _come_back(self, keeps_id: bool) -> None:
        self._seen_end, self._answered_ms, self._known = 0, None, False
        self.last_hold_ms = 0
        self._called, self.keeps_calls_while_down = False, False
        if keeps_id:
            self.soak.count("workers restarted under the same id")
            self.worker.restart(now_ms())
        else:
            self.soak.store.put(WORKERS_TOPIC, self.worker.id, None)
            self.lives += 1
            self.soak.gangs.machines.remove(self.worker)
            self.worker = self._make_machine()
        self._starts_before = len(self.worker.started)
        self._carry_out_kept()
        waiting, self._waiting = self._waiting, []
        for back in waiting:
            if not back.done():
                back.set_result(None)
        await self.proxy.open()

    def resize(self, cpu: int) -> None:
        """Change the capacity; the worker goes on with what it runs."""
        self.soak.count("capacity changes")
        self.cpu, self.resized_ms = cpu, now_ms()
