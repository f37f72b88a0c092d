"""Stand-in for a worker: its HTTP routes, its endpoint and injected faults."""

import asyncio
import time

import attrs
from fescuecrank_core.declarations import Resources
from fescuecrank_core.events import Instance, InstanceState

from fescuecrank_standin.server import StandIn
from fescuecrank_standin.worker_http import (
    ControlHandler,
    LeasesHandler,
    QueryHandler,
    RunHandler,
    TaskControlHandler,
)
from fescuecrank_standin.worker_tasks import (
    Endpoint,
    RunResult,
    TaskTable,
    WorkerTask,
    echo_endpoint,
)

# Time for which the usage of a task is still reported after its end.
ENDED_TASK_REPORT_MS = 10_000


@attrs.define
class WorkerFaults:
    """Injected faults; each unit of a counter spoils the answer to one start command."""

    fail_all: bool = False
    slow_ms: int = 0
    silent: int = 0
    truncated: int = 0
    crossed: int = 0
    corrupted: int = 0
    lost_answers: int = 0


class WorkerStandIn(StandIn):
    """HTTP server of one worker; `tasks.executions` lists every run since it was created."""

    def __init__(
        self,
        name: str,
        slots: int = 8,
        connections: int = 64,
        endpoint: Endpoint | None = None,
        usage_lag_ms: int = 0,
        reboot_ms: int = 0,
    ) -> None:
        super().__init__()
        self.name = name
        self.connections = connections
        self.usage_lag_ms = usage_lag_ms
        self.reboot_ms = reboot_ms
        self.faults = WorkerFaults()
        self.open_runs = 0
        self.query_count = 0
        self._endpoint = endpoint or echo_endpoint()
        self.tasks = TaskTable(slots, self._run)
        self._rebooting: asyncio.Task | None = None

    async def _run(self, task: WorkerTask) -> RunResult:
        if self.faults.fail_all:
            return RunResult(500, b"endpoint failed")
        return await self._endpoint(task)

    def routes(self) -> list[tuple]:
        """Return the routes for tornado."""
        kwargs = {"worker": self}
        return [
            (r"/run/([^/]+)", RunHandler, kwargs),
            (r"/tasks/([^/]+)/query", QueryHandler, kwargs),
            (r"/tasks/([^/]+)/(throttle|checkpoint|stop)", TaskControlHandler, kwargs),
            (r"/leases", LeasesHandler, kwargs),
            (r"/control/(drain|undrain|reboot)", ControlHandler, kwargs),
        ]

    def instance(self, region: str, data_centre: str, rack: str, capacity: Resources) -> Instance:
        """Return this worker as it appears in the instance list."""
        return Instance(
            self.name,
            self.address,
            region,
            data_centre,
            rack,
            capacity,
            self.connections,
            InstanceState.LIVE,
        )

    def run_count(self, request_id: str) -> int:
        """Return the number of times this worker ran a request."""
        return sum(run.request_id == request_id for run in self.tasks.executions)

    def reboot(self) -> None:
        """Drop all tasks and, with `reboot_ms`, refuse connections for that time."""
        self.tasks.reboot()
        if self.reboot_ms:
            self._rebooting = asyncio.create_task(self._restart())

    async def _restart(self) -> None:
        # Leaves time to send the answer to the reboot command.
        await asyncio.sleep(0.02)
        await self.stop()
        await asyncio.sleep(self.reboot_ms / 1_000)
        await self.start()

    def usage(self) -> list[dict]:
        """Return the resource usage of each task as of `usage_lag_ms` ago."""
        as_of_ms = time.monotonic_ns() // 1_000_000 - self.usage_lag_ms
        reports = []
        for task in self.tasks.tasks_to_report(as_of_ms - ENDED_TASK_REPORT_MS):
            last_ms = min(task.ended_ms or as_of_ms, as_of_ms)
            if task.started_ms > as_of_ms:
                continue
            reports.append(
                {
                    "task_id": task.run.task_id,
                    "used": attrs.asdict(self.tasks.task_usage),
                    "run_ms": last_ms - task.started_ms,
                    "age_ms": self.usage_lag_ms,
                }
            )
        return reports
