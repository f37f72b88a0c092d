"""Workers with callbacks for starts and reboots, and an endpoint with verifiable answers."""

import asyncio
import hashlib
import time
from collections.abc import Callable

import attrs
from fescuecrank_core.declarations import Resources
from fescuecrank_core.events import Instance, InstanceState

from fescuecrank_standin.topology import Location, Topology
from fescuecrank_standin.worker import WorkerStandIn
from fescuecrank_standin.worker_tasks import RunResult, WorkerTask

RUN_MS_PREFIX = b"run-ms="


def request_body(run_ms: int, text: str = "") -> bytes:
    """Return a body for which `digest_endpoint` runs for `run_ms`."""
    return RUN_MS_PREFIX + f"{run_ms}\n{text}".encode()


def expected_answer(service: str, body: bytes) -> bytes:
    """Return the answer of `digest_endpoint` to `body`."""
    return service.encode() + b" " + hashlib.sha256(body).hexdigest().encode() + b"\n" + body


def _run_ms(body: bytes) -> int:
    line = body.partition(b"\n")[0]
    return int(line[len(RUN_MS_PREFIX) :]) if line.startswith(RUN_MS_PREFIX) else 0


async def digest_endpoint(task: WorkerTask) -> RunResult:
    """Run for the time given in the body, then answer with the service, the digest and the body."""
    left_ms = _run_ms(task.run.body)
    while left_ms > 0:
        slice_ms = min(left_ms, 50)
        await asyncio.sleep(slice_ms / 1_000)
        left_ms -= slice_ms // 2 if task.throttled and slice_ms > 1 else slice_ms
    return RunResult(200, expected_answer(task.run.service, task.run.body))


@attrs.frozen
class TaskStart:
    """The start of a task on a worker; `at_ms` is monotonic time."""

    worker: str
    request_id: str
    service: str
    at_ms: int


class ObservedWorker(WorkerStandIn):
    """Worker that calls `on_start` as each task starts and `on_reboot` before each reboot.

    A task is already listed as running in its `on_start`, and a worker is already out in its
    `on_reboot`.
    """

    def __init__(
        self,
        name: str,
        topology: Topology,
        location: Location,
        reboot_ms: int,
        on_start: Callable[["ObservedWorker", WorkerTask], None],
        on_reboot: Callable[["ObservedWorker"], None],
    ) -> None:
        super().__init__(
            name,
            topology.capacity.slots,
            topology.connections,
            digest_endpoint,
            reboot_ms=reboot_ms,
        )
        self.location = location
        self.is_up = True
        self.starts: list[TaskStart] = []
        self._topology = topology
        self._on_start = on_start
        self._on_reboot = on_reboot

    async def _run(self, task: WorkerTask) -> RunResult:
        now_ms = time.monotonic_ns() // 1_000_000
        run = task.run
        self.starts.append(TaskStart(self.name, run.request_id, run.service, now_ms))
        self._on_start(self, task)
        return await super()._run(task)

    def reboot(self) -> None:
        """Reboot on the command of a maintenance wave."""
        self.is_up = False
        self._on_reboot(self)
        super().reboot()
        if not self.reboot_ms:
            self.is_up = True

    async def _restart(self) -> None:
        await super()._restart()
        self.is_up = True

    async def power_off(self) -> None:
        """Drop all tasks and stop listening, as a machine that loses power does."""
        self.is_up = False
        self.tasks.reboot()
        await self.stop()

    async def power_on(self) -> None:
        """Listen again on the same address."""
        await self.start()
        self.is_up = True

    def listed_instance(self, state: InstanceState = InstanceState.LIVE) -> Instance:
        """Return this worker as it appears in the instance list."""
        location, topology = self.location, self._topology
        item = self.instance(topology.region, location.data_centre, location.rack, self.capacity)
        return attrs.evolve(item, state=state)

    @property
    def capacity(self) -> Resources:
        """The resources of the worker."""
        return self._topology.capacity

    @property
    def is_out(self) -> bool:
        """Whether the worker can start no tasks, because it is down or draining."""
        return not self.is_up or self.tasks.draining
