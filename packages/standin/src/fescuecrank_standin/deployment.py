"""An embedded deployment: all parts in one process and event loop, over TCP on loopback."""

import asyncio
import base64
import contextlib
import io
import time
from collections.abc import Awaitable, Callable, Iterable

import attrs
import orjson
from fescuecrank_cli.answers import Publication, RequestReport, Verdict
from fescuecrank_cli.client import EntryClient, Submission, new_record_id
from fescuecrank_cli.ids import uuid7
from fescuecrank_cli.key_material import NewKey, new_key
from fescuecrank_core.clock import Clock
from fescuecrank_core.declarations import Fleet, RequestClass
from fescuecrank_core.errors import Failure
from fescuecrank_core.events import InstanceState
from fescuecrank_core.loader import load_fleet
from fescuecrank_core.plan import plan_changes
from fescuecrank_daemon.compose import EntryDaemon
from fescuecrank_daemon.settings import (
    HttpSettings,
    InstanceSettings,
    LoggingSettings,
    LogSettings,
    OperatorKey,
    PeerSettings,
    Settings,
    TraceExporter,
    TracingSettings,
)
from result import Result

from fescuecrank_standin.instance_list import InstanceListStandIn
from fescuecrank_standin.log_service import LogStandIn
from fescuecrank_standin.observed import ObservedWorker
from fescuecrank_standin.property_checker import PropertyChecker, SentRequest
from fescuecrank_standin.server import LOOPBACK
from fescuecrank_standin.topology import TOPOLOGIES, Topology

SHARED_KEY = "shared-key-of-an-embedded-deployment"
FREE_PORT = f"{LOOPBACK}:0"
POLL_MS = 50
# The steps take seconds at most; only one that hangs takes this long.
STEP_TIMEOUT_MS = 30_000


class DeploymentError(Exception):
    """A step failed, or timed out, that later steps depend on."""


@attrs.define
class RunningEntry:
    """An entry of the deployment, the task that returns its exit status, and its exported spans."""

    daemon: EntryDaemon
    exit_task: asyncio.Task
    spans: io.StringIO

    @property
    def url(self) -> str:
        """The base URL for callers and operators."""
        return f"http://{self.daemon.http_address}"


class Deployment:
    """Log, instance list, workers and entries, with a checker that watches them."""

    def __init__(
        self,
        topology: Topology,
        fleet: Fleet,
        entry_count: int = 3,
        reboot_ms: int = 500,
        traced: bool = False,
        clock: Clock | None = None,
    ) -> None:
        self.topology = topology
        self.fleet = fleet
        self.log = LogStandIn()
        self.instances = InstanceListStandIn()
        self.checker = PropertyChecker()
        self.entries: dict[str, RunningEntry] = {}
        self.operator_key = new_key()
        self.log_output = io.StringIO()
        self.entry_names = [f"entry-{number + 1}" for number in range(entry_count)]
        self._traced = traced
        self._clock = clock
        # Serializes the polls, as the checker compares each state of an entry with the one before.
        self._status_lock = asyncio.Lock()
        self._clients: dict[tuple[tuple[str, ...], str], EntryClient] = {}
        names = [name for pool in fleet.pools.values() for name in pool.workers]
        for name, location in topology.assign_locations(names).items():
            self.checker.workers[name] = ObservedWorker(
                name, topology, location, reboot_ms, self.checker.on_start, self.checker.on_reboot
            )

    @property
    def workers(self) -> dict[str, ObservedWorker]:
        """Workers by name."""
        return self.checker.workers

    # Start and stop of the parts

    async def start(self) -> None:
        """Start all parts and wait until every entry is a live member."""
        await self.log.start()
        await self.instances.start()
        for worker in self.workers.values():
            await worker.start()
        self.update_instance_list()
        for name in self.entry_names:
            await self.start_entry(name)
        await self.wait_for_members(self.entry_names)

    async def close(self) -> None:
        """Stop all parts without waiting for requests in flight."""
        for client in self._clients.values():
            client.close()
        for name in list(self.entries):
            await self.kill_entry(name)
        for part in (*self.workers.values(), self.instances, self.log):
            await part.stop()

    def update_instance_list(self, leaving: Iterable[str] = ()) -> None:
        """Put all workers in the instance list as live, but those in `leaving` as leaving."""
        states = dict.fromkeys(leaving, InstanceState.LEAVING)
        self.instances.replace(
            tuple(
                worker.listed_instance(states.get(worker.name, InstanceState.LIVE))
                for worker in self.workers.values()
            )
        )
        visible_ms = _now_ms() + self.instances.lag_ms
        self.checker.leaving_since_ms = {
            name: self.checker.leaving_since_ms.get(name, visible_ms) for name in states
        }

    async def start_entry(self, name: str) -> RunningEntry:
        """Start an entry on free ports, with the running entries as its seeds."""
        spans = io.StringIO()
        daemon = EntryDaemon(
            self._settings(name), clock=self._clock, log_stream=self.log_output, span_stream=spans
        )
        await daemon.start()
        self.entries[name] = RunningEntry(daemon, asyncio.create_task(daemon.wait()), spans)
        return self.entries[name]

    def _settings(self, name: str) -> Settings:
        key = self.operator_key
        seeds = {peer: entry.daemon.peer_address for peer, entry in self.entries.items()}
        exporter = TraceExporter.JSON if self._traced else TraceExporter.NONE
        return Settings(
            name=name,
            region=self.topology.region,
            data_centre=self.topology.data_centre_of(self.entry_names.index(name)),
            http=HttpSettings(address=FREE_PORT),
            peers=PeerSettings(address=FREE_PORT, shared_key=SHARED_KEY, seeds=seeds),
            log=LogSettings(url=self.log.url),
            instances=InstanceSettings(url=self.instances.url),
            operator_keys=(OperatorKey(key.key_id, _base64(key.salt), _base64(key.digest)),),
            logging=LoggingSettings(calls=False),
            tracing=TracingSettings(exporter=exporter, sample_ratio=1.0),
        )

    async def kill_entry(self, name: str) -> None:
        """Abort an entry; its callers and peers see closed connections."""
        entry = self.entries.pop(name)
        entry.exit_task.cancel()
        await entry.daemon.abort()

    async def stop_entry(self, name: str) -> int:
        """Shut an entry down as SIGTERM does, and return its exit status."""
        entry = self.entries[name]
        entry.daemon.shut_down()
        status = await entry.exit_task
        del self.entries[name]
        return status

    async def replace_entry(self, name: str) -> int:
        """Shut an entry down, start a new one with its name and wait until that has joined."""
        status = await self.stop_entry(name)
        await self.start_entry(name)
        await self.wait_for_members([name])
        return status

    def mark_leaving(self, worker: str) -> None:
        """Mark a worker as leaving in the instance list."""
        self.update_instance_list([*self.checker.leaving_since_ms, worker])

    # Waiting

    async def wait_until(self, step: str, condition: Callable[[], object]) -> None:
        """Wait until `condition()` is true; `step` describes it in the error message."""
        deadline = _now_ms() + STEP_TIMEOUT_MS
        while not condition():
            if _now_ms() > deadline:
                raise DeploymentError(f"{step}: not within {STEP_TIMEOUT_MS} ms")
            await asyncio.sleep(POLL_MS / 1_000)

    async def wait_for_members(self, names: Iterable[str]) -> None:
        """Wait until every running entry is ready and lists these entries as live members."""
        wanted = set(names)
        await self.wait_for_status(
            f"members {sorted(wanted)}",
            lambda status: wanted <= {item["name"] for item in status["members"] if item["live"]},
        )

    async def wait_for_cells(self) -> None:
        """Wait until every pool has a cell with all of its workers in service."""
        deadline = _now_ms() + STEP_TIMEOUT_MS
        sizes = {
            f"{self.topology.region}/{p.name}": len(p.workers) for p in self.fleet.pools.values()
        }
        while True:
            statuses = await self.poll_statuses()
            in_service = {
                cell["scope"]: cell["in_service"]
                for status in statuses.values()
                for cell in status["cells"]
            }
            if all(in_service.get(scope) == size for scope, size in sizes.items()):
                return
            if _now_ms() > deadline:
                raise DeploymentError(f"workers in service by cell: {in_service}, expected {sizes}")
            await asyncio.sleep(POLL_MS / 1_000)

    async def wait_for_status(self, step: str, condition: Callable[[dict], bool]) -> None:
        """Wait until `condition` is true for the status of every running entry."""
        deadline = _now_ms() + STEP_TIMEOUT_MS
        while True:
            statuses = await self.poll_statuses()
            if len(statuses) == len(self.entries) and all(map(condition, statuses.values())):
                return
            if _now_ms() > deadline:
                raise DeploymentError(f"{step}: not within {STEP_TIMEOUT_MS} ms")
            await asyncio.sleep(POLL_MS / 1_000)

    async def poll_statuses(self) -> dict[str, dict]:
        """Return the status of each entry that answers, after checking P2 and P10 on it."""
        async with self._status_lock:
            return await self._poll_statuses()

    async def _poll_statuses(self) -> dict[str, dict]:
        names = list(self.entries)
        replies = await asyncio.gather(*(self.operator(name).status() for name in names))
        statuses = {
            name: reply.ok_value
            for name, reply in zip(names, replies, strict=True)
            if reply.is_ok()
        }
        for name, status in statuses.items():
            self.checker.check_applied_offset(f"{name}/{status['incarnation']}", status["applied"])
            self.checker.check_pools(name, status["pools"])
        return statuses

    # Clients

    def client(self, key: str = "", entries: Iterable[str] = ()) -> EntryClient:
        """Return a client that tries the given entries in turn, by default all running ones."""
        names = list(entries) or list(self.entries)
        urls = tuple(self.entries[name].url for name in names)
        client = self._clients.get((urls, key))
        if client is None:
            client = self._clients[(urls, key)] = EntryClient(urls, key)
        return client

    def operator(self, *entries: str) -> EntryClient:
        """Return a client with the operator's key, by default for all running entries."""
        return self.client(self.operator_key.secret, entries)

    def client_from(self, first: str, key: str) -> EntryClient:
        """Return a client that tries the entry `first` before the others."""
        names = list(self.entries)
        start = names.index(first)
        return self.client(key, [*names[start:], *names[:start]])

    async def apply(self, fleet: Fleet | None = None) -> Publication:
        """Publish declarations, by default `self.fleet`, and return the accepted publication."""
        wanted = fleet or self.fleet
        in_force = (await self.operator().config()).unwrap()
        changes = plan_changes(in_force.sections, wanted)
        # The checker needs the new limits before the first task can start under them.
        self.checker.fleet = wanted
        record_id = new_record_id()
        return await self._publish(
            "apply",
            lambda: self.operator().publish_changes(changes, wanted, "operator", record_id),
        )

    async def grant(self, team: str) -> NewKey:
        """Grant a new key to a team."""
        key = new_key()
        record_id = new_record_id()
        await self._publish(
            "grant", lambda: self.operator().grant_key(key, "team", team, record_id)
        )
        return key

    async def withdraw(self, key: NewKey) -> Publication:
        """Withdraw a key."""
        record_id = new_record_id()
        return await self._publish(
            "withdraw", lambda: self.operator().withdraw_key(key.key_id, record_id)
        )

    async def _publish(
        self, step: str, send: Callable[[], Awaitable[Result[Publication, Failure]]]
    ) -> Publication:
        """Return a publication once it is accepted; raises `DeploymentError` if it is not.

        One with an unknown verdict is repeated, as a second copy of a record id changes nothing.
        """
        deadline = _now_ms() + STEP_TIMEOUT_MS
        published = await send()
        while _is_unknown(published) and _now_ms() < deadline:
            published = await send()
        return _accepted(step, published)

    async def wait_in_force(self, publication: Publication) -> int:
        """Wait until all entries have applied a record; return the time since the log stored it."""
        urls = {entry.url: name for name, entry in self.entries.items()}
        client = self.operator()
        late = await client.wait_in_force(publication.offset, STEP_TIMEOUT_MS, lambda _: None)
        if late:
            raise DeploymentError(f"record not applied by {[urls[url] for url in late]}")
        return _now_ms() - self.log.stored_ms(publication.offset)

    async def submit(
        self, request: SentRequest, client: EntryClient, **options: object
    ) -> RequestReport:
        """Submit a request, wait for its outcome and record the last report."""
        self.checker.record_request(request)
        submission = Submission(
            request.service,
            request.request_id,
            request.body,
            idempotent=request.idempotent,
            slots=request.slots,
            **options,
        )
        sent = await client.submit(submission, STEP_TIMEOUT_MS)
        report = sent.ok_value if sent.is_ok() else None
        self.checker.record_report(request.request_id, report)
        return report

    async def query_outcome(self, request_id: str, key: str) -> RequestReport | None:
        """Query all entries for the outcome of a request and record the report."""
        service = self.checker.requests[request_id].service
        reply = await self.client(key).result(service, request_id, STEP_TIMEOUT_MS)
        report = reply.ok_value if reply.is_ok() else self.checker.reports.get(request_id)
        self.checker.record_report(request_id, report)
        return report

    def new_request(self, team: str, service: str, body: bytes, **options: object) -> SentRequest:
        """Return a new request with a unique id."""
        return SentRequest(uuid7(), team, service, body, **options)

    def spans(self) -> list[dict]:
        """Return the trace spans that the running entries have exported."""
        lines = [line for e in self.entries.values() for line in e.spans.getvalue().splitlines()]
        return [orjson.loads(line) for line in lines]


def _is_unknown(published: Result[Publication, Failure]) -> bool:
    return published.is_ok() and published.ok_value.verdict is Verdict.UNKNOWN


def _accepted(step: str, published: Result[Publication, Failure]) -> Publication:
    if published.is_err() or published.ok_value.verdict is not Verdict.ACCEPTED:
        raise DeploymentError(f"{step}: {published.err() or published.ok()}")
    return published.ok_value


def deployment_of(name: str, **options: object) -> Deployment:
    """Return a deployment with the declarations of `examples/<name>/fleet`."""
    topology = TOPOLOGIES[name]
    loaded = load_fleet(topology.fleet_folder)
    if loaded.is_err():
        raise DeploymentError("\n".join(map(str, loaded.err_value)))
    return Deployment(topology, loaded.ok_value, **options)


@contextlib.asynccontextmanager
async def running_deployment(deployment: Deployment, apply_declarations: bool = True):
    """Start a deployment, by default apply its declarations, and stop it on exit."""
    try:
        await deployment.start()
        if apply_declarations:
            await deployment.apply()
            await deployment.wait_for_cells()
        yield deployment
    finally:
        await deployment.close()


def _base64(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


__all__ = [
    "SentRequest",
    "Deployment",
    "DeploymentError",
    "RequestClass",
    "deployment_of",
    "running_deployment",
]
