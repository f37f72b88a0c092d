"""Callers' requests, which every process answers from its local copy of the store.

A job is accepted once its record is stored. An append with an unknown outcome is neither accepted
nor refused: the caller retries the request and is answered from the record. As long as an attempt
to store a job may have succeeded, no repetition of it is refused either, since that would say that
the job never runs.

Often the store turns away or loses a part of the processes, a third of them for many seconds,
while it serves the others. A caller that is refused comes back a second later, which makes most
jobs late. A process without the store therefore passes requests on to the leader, which has it.
"""

import attrs

from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.config_age import ConfigAge
from fescuecrank_scheduler.effects import Effect, ForwardRequest, LogLine, Reply, StoreIntake
from fescuecrank_scheduler.events import (
    Cancel,
    Forwarded,
    Lookup,
    Request,
    StoreResult,
    Submit,
)
from fescuecrank_scheduler.fleet import EMPTY_CONFIG, FleetConfig, Queue
from fescuecrank_scheduler.job_table import JobTable
from fescuecrank_scheduler.jobs import Job
from fescuecrank_scheduler.limits import Limits
from fescuecrank_scheduler.open_submissions import OpenSubmissions
from fescuecrank_scheduler.ordering import LATE_LIMIT_FACTOR
from fescuecrank_scheduler.records import encode_cancel, encode_job

ID_LENGTH = 16
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")

# Statuses with which another process says that it has not stored a request.
REJECTIONS = frozenset({400, 401, 404, 405, 413, 429, 503})

# A cancellation of a job that is not known waits for a read that was sent after it. Reads that find
# nothing take a second, and callers wait for three.
UNKNOWN_CANCEL_WAIT_MS = 2_400

# Values of `Retry-After` while the store is unavailable and during startup.
RETRY_STORE_MS = 1_000
RETRY_START_MS = 500


@attrs.define
class PendingRequest:
    """A request whose record is being stored."""

    request: Request
    job_id: str
    operation: str
    since_ms: int


@attrs.frozen
class ForwardedRequest:
    """A request that was passed on; `may_be_stored` if an append of its record has no outcome."""

    request: Request
    may_be_stored: bool


@attrs.frozen
class WaitingCancel:
    """The cancellation of a job that the local copy of the store lacked when it came."""

    request: Request
    queue: Queue
    team: str
    job_id: str
    since_ms: int


@attrs.define
class Intake:
    """Requests of callers at this process."""

    limits: Limits
    table: JobTable
    # Address of this process, to which it passes nothing on.
    address: str = ""
    config: FleetConfig = EMPTY_CONFIG
    config_age: ConfigAge = attrs.field(init=False)
    # As of when the local copy of the intake stream is complete.
    synced_ms: int | None = None
    # While appends fail, requests are refused at once instead of keeping their callers waiting.
    store_failing: bool = False
    # Whether the latest read of the intake stream failed.
    unreadable: bool = False
    draining: bool = False
    submissions: OpenSubmissions = attrs.field(factory=OpenSubmissions)
    _pending: dict[int, PendingRequest] = attrs.field(factory=dict)
    _forwarded: dict[int, ForwardedRequest] = attrs.field(factory=dict)
    _waiting_cancels: list[WaitingCancel] = attrs.field(factory=list)

    @config_age.default
    def _make_config_age(self) -> ConfigAge:
        return ConfigAge(self.limits.max_config_age_ms)

    @property
    def ready(self) -> bool:
        """Whether this process accepts new connections.

        One that passes requests on serves them too; with a third of the entries out of rotation the
        others would carry all connections. One that can do neither should get none.
        """
        loaded = self.config.version >= 0 and self.synced_ms is not None
        return loaded and not self.draining and (not self.without_store or bool(self._peer()))

    @property
    def without_store(self) -> bool:
        """Whether this process probably cannot reach the store."""
        return self.store_failing or self.unreadable

    @property
    def open_requests(self) -> int:
        """Number of requests that are being stored, were passed on or wait for a read."""
        return len(self._pending) + len(self._forwarded) + len(self._waiting_cancels)

    def handle_request(self, req: Request, now: Now) -> list[Effect]:
        """Answer a request, or start to store it."""
        if self.config.version < 0:
            return [Reply(req.token, 503, retry_after_ms=RETRY_START_MS)]
        queue = self.config.queue_at(req.host, req.path)
        if queue is None:
            return self._reject(req, 404, now)
        team = self.config.team_for_key(req.key) if req.key else None
        if team is None and not queue.is_open:
            return self._reject(req, 401, now)
        if isinstance(req, Submit) and self._accepted_unread(req):
            return [Reply(req.token, 200)]
        unsure = self.without_store or self.config_age.too_old(now)
        if unsure and self._may_forward(req):
            return self._forward(req, may_be_stored=False)
        name = team.name if team else ""
        job_id = req.path[len(queue.prefix) :]
        if isinstance(req, Lookup) and self._is_stale(now) and self._may_forward(req):
            return self._forward(req, may_be_stored=False)
        match req:
            case Submit():
                return self._submit(req, queue, name, job_id, now)
            case Lookup() if not job_id:
                return self._count_pending(req, queue, now)
            case Lookup():
                return self._lookup(req, queue, name, job_id, now)
            case Cancel():
                return self._cancel(req, queue, name, job_id, now)
        return [Reply(req.token, 405)]

    def _reject(self, req: Request, status: int, now: Now) -> list[Effect]:
        """Answer a request that the configuration does not allow."""
        if self.config_age.too_old(now):
            if self._may_forward(req):
                return self._forward(req, may_be_stored=False)
            status = 504 if self._may_be_accepted(req) else 503
        line = LogLine("request_rejected", {"host": req.host, "path": req.path, "status": status})
        retry_ms = RETRY_STORE_MS if status == 503 else None
        return [line, Reply(req.token, status, retry_after_ms=retry_ms)]

    def _submit(self, req: Submit, queue: Queue, team: str, job_id: str, now: Now) -> list[Effect]:
        if len(job_id) != ID_LENGTH or not HEX_DIGITS.issuperset(job_id):
            return [Reply(req.token, 400, {"error": "the id is not 16 hexadecimal digits"})]
        if req.job is None:
            return [Reply(req.token, 400, {"error": req.problem})]
        if job_id in self.table.jobs:
            self.submissions.settle(req.host, req.path)
            return [Reply(req.token, 200)]
        may_be_accepted = self._may_be_accepted(req)
        if self.store_failing and may_be_accepted:
            return [self._without_answer(req.token, may_be_stored=True)]
        if self.store_failing:
            return self._refuse(req.token, 503, job_id, "store_unavailable", RETRY_STORE_MS)
        late_ms = self._lateness_ms(queue, req.job, now)
        if late_ms > 0 and not may_be_accepted:
            return self._refuse(req.token, 429, job_id, "pool_full", late_ms)
        job = attrs.evolve(
            req.job, id=job_id, queue=queue.name, team=team, accepted_ms=now.wall_ms, tasks={}
        )
        self._pending[req.token] = PendingRequest(req, job_id, "submit", now.mono_ms)
        self.submissions.begin(req.host, req.path)
        return [StoreIntake(req.token, encode_job(job))]

    def _team_of(self, req: Request) -> str:
        """Return the name of the team that a request's key belongs to, or the empty string."""
        team = self.config.team_for_key(req.key) if req.key else None
        return team.name if team else ""

    def _may_be_accepted(self, req: Request) -> bool:
        """Return whether an earlier attempt to submit a job may have been carried out."""
        return isinstance(req, Submit) and self.submissions.may_be_accepted(req.host, req.path)

    def _accepted_unread(self, req: Submit) -> bool:
        """Return whether a job was accepted through this process and cannot have been read yet."""
        accepted_ms = self.submissions.accepted_ms(req.host, req.path)
        if accepted_ms is None:
            return False
        if self.synced_ms is None or self.synced_ms <= accepted_ms:
            return True
        # The local copy has it, or it has been deleted since.
        self.submissions.settle(req.host, req.path)
        return False

    def _lateness_ms(self, queue: Queue, job: Job, now: Now) -> int:
        """Return by how many ms a job submitted now would exceed the latest useful end.

        The load comes in bursts far above a pool's capacity. Jobs that can only end when they are
        useless to their callers would take capacity from all others.
        """
        leader = self.table.leader
        if leader is None or job.schedule or any(step.long_running for step in job.steps):
            return 0
        if now.wall_ms - leader.wall_ms > self.limits.stale_ms:
            return 0
        critical_path_ms = job.critical_path_ms()
        latest_ms = LATE_LIMIT_FACTOR * (queue.stretch * critical_path_ms + queue.objective_ms)
        return int(leader.backlog_ms.get(queue.pool, 0) + critical_path_ms - latest_ms)

    def _refuse(
        self, token: int, status: int, job_id: str, reason: str, after_ms: int
    ) -> list[Effect]:
        line = LogLine("job_refused", {"job": job_id, "reason": reason, "retry_ms": after_ms})
        return [line, Reply(token, status, {"error": reason}, retry_after_ms=after_ms)]

    def _find_job(self, queue: Queue, team: str, job_id: str) -> Job | None:
        job = self.table.jobs.get(job_id)
        if job is None or job.queue != queue.name or (job.team and job.team != team):
            return None
        return job

    def _is_stale(self, now: Now) -> bool:
        """Return whether the copy may lack a job whose caller expects it to be known."""
        age_ms = now.mono_ms - self.synced_ms if self.synced_ms is not None else None
        return age_ms is None or age_ms > self.limits.max_copy_age_ms

    def _lookup(self, req: Request, queue: Queue, team: str, job_id: str, now: Now) -> list[Effect]:
        job = self._find_job(queue, team, job_id)
        if job is not None:
            return [Reply(req.token, 200, {"state": job.state()})]
        if self._is_stale(now):
            return [Reply(req.token, 503, retry_after_ms=RETRY_STORE_MS)]
        return [Reply(req.token, 410)]

    def _count_pending(self, req: Request, queue: Queue, now: Now) -> list[Effect]:
        if self._is_stale(now):
            return [Reply(req.token, 503, retry_after_ms=RETRY_STORE_MS)]
        return [Reply(req.token, 200, {"pending": self.table.pending_count(queue.name)})]

    def _cancel(self, req: Request, queue: Queue, team: str, job_id: str, now: Now) -> list[Effect]:
        job = self._find_job(queue, team, job_id)
        if job is None and not self._accepted_for(req, team):
            if job_id in self.table.jobs:
                return [Reply(req.token, 410)]
            if self._is_stale(now):
                return [Reply(req.token, 503, retry_after_ms=RETRY_STORE_MS)]
            waiting = WaitingCancel(req, queue, team, job_id, now.mono_ms)
            self._waiting_cancels.append(waiting)
            return []
        if job is not None and not job.open:
            return [Reply(req.token, 200)]
        if self.store_failing:
            return [Reply(req.token, 503, retry_after_ms=RETRY_STORE_MS)]
        self._pending[req.token] = PendingRequest(req, job_id, "cancel", now.mono_ms)
        return [StoreIntake(req.token, encode_cancel(job_id))]

    def _accepted_for(self, req: Request, team: str) -> bool:
        """Return whether a team's job was accepted through this process and is not read yet."""
        accepted = self.submissions.accepted_ms(req.host, req.path) is not None
        return accepted and self.submissions.accepted_team(req.host, req.path) == team

    def answer_waiting(self, now: Now) -> list[Effect]:
        """Answer the cancellations that waited for a read of the store.

        A caller that was told of a job's acceptance by another process may cancel it before this
        one has read it; only a read that was sent later proves that a job does not exist.
        """
        waiting, self._waiting_cancels = self._waiting_cancels, []
        effects: list[Effect] = []
        for cancel in waiting:
            req, since_ms = cancel.request, cancel.since_ms
            if cancel.job_id in self.table.jobs or self._accepted_for(req, cancel.team):
                effects += self._cancel(req, cancel.queue, cancel.team, cancel.job_id, now)
            elif self.synced_ms is not None and self.synced_ms > since_ms:
                effects.append(Reply(req.token, 410))
            elif now.mono_ms - since_ms >= UNKNOWN_CANCEL_WAIT_MS:
                effects.append(Reply(req.token, 503, retry_after_ms=RETRY_STORE_MS))
            else:
                self._waiting_cancels.append(cancel)
        return effects

    def on_stored(self, token: int, result: StoreResult, now: Now) -> list[Effect]:
        """Answer the caller of a request once the outcome of its append is known."""
        pending = self._pending.pop(token, None)
        if pending is None:
            return []
        line = LogLine(
            "request_stored",
            {
                "job": pending.job_id,
                "request": pending.operation,
                "result": result.value,
                "took_ms": now.mono_ms - pending.since_ms,
            },
        )
        req = pending.request
        if result is StoreResult.STORED:
            if isinstance(req, Submit):
                self.submissions.accept(req.host, req.path, now.mono_ms, self._team_of(req))
            return [line, Reply(token, 200)]
        may_be_stored = result is not StoreResult.REFUSED
        if not may_be_stored and isinstance(req, Submit):
            self.submissions.refused(req.host, req.path)
            may_be_stored = self._may_be_accepted(req)
        if self._may_forward(req):
            return [line, *self._forward(req, may_be_stored)]
        return [line, self._without_answer(token, may_be_stored)]

    # Requests that are passed on.

    def _may_forward(self, req: Request) -> bool:
        """Return whether another process may answer; a request is passed on once at most."""
        return bool(self._peer()) and not req.forwarded

    def _peer(self) -> str:
        """Return the address to which requests can be passed on, or the empty string."""
        leader = self.table.leader
        address = leader.address if leader is not None else ""
        return address if address != self.address else ""

    def _forward(self, req: Request, may_be_stored: bool) -> list[Effect]:
        self._forwarded[req.token] = ForwardedRequest(req, may_be_stored)
        if isinstance(req, Submit):
            self.submissions.begin(req.host, req.path)
        address = self._peer()
        line = LogLine("request_forwarded", {"path": req.path, "peer": address})
        return [line, ForwardRequest(req.token, address)]

    def on_forwarded(self, event: Forwarded, now: Now) -> list[Effect]:
        """Answer the caller of a request that was passed on.

        A refusal by the other process says only that it has not stored the request; this one may
        have, if it tried.
        """
        pending = self._forwarded.pop(event.token, None)
        if pending is None:
            return []
        req, answer = pending.request, event.answer
        changes = not isinstance(req, Lookup)
        may_be_stored = pending.may_be_stored or (changes and answer is None and event.sent)
        if isinstance(req, Submit):
            may_be_stored = self._settle_forwarded(req, event, now)
        line = LogLine(
            "forward_answered",
            {
                "path": req.path,
                "status": answer.status if answer is not None else None,
                "sent": event.sent,
                "may_be_stored": may_be_stored,
            },
        )
        if answer is None or (answer.status in REJECTIONS and may_be_stored):
            return [line, self._without_answer(event.token, may_be_stored)]
        return [line, Reply(event.token, answer.status, answer.body, answer.retry_after_ms)]

    def _settle_forwarded(self, req: Submit, event: Forwarded, now: Now) -> bool:
        """Apply the answer to a job that was passed on; return whether it may be accepted."""
        status = event.answer.status if event.answer is not None else None
        if status in REJECTIONS or not event.sent:
            self.submissions.refused(req.host, req.path)
        elif status == 200:
            self.submissions.accept(req.host, req.path, now.mono_ms, self._team_of(req))
        return self._may_be_accepted(req)

    @staticmethod
    def _without_answer(token: int, may_be_stored: bool) -> Reply:
        if may_be_stored:
            return Reply(token, 504, {"error": "outcome unknown"})
        return Reply(token, 503, {"error": "store_unavailable"}, retry_after_ms=RETRY_STORE_MS)
