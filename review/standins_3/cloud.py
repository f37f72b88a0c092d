"""Stand-in of the platform's machine service: the list of machines, moves and upkeep."""

import asyncio
import enum
import json

from http_server import NoAnswerError, Request, Server
from workers import Machine

MAINTENANCE_S, MOVE_S = 2.0, 1.5


class Mode(enum.Enum):
    """What the service does with an order."""

    SERVE = "carries it out and answers"
    SILENT = "does nothing and does not answer"
    KEEP = "does not answer; the scenario carries it out later"
    LOSE_ANSWERS = "carries it out and does not answer"


class Cloud(Server):
    """The machine service; it checks the fencing token of each machine's orders."""

    def __init__(self, machines: list[Machine], record) -> None:
        super().__init__()
        self.machines = {machine.name: machine for machine in machines}
        self.record, self.mode = record, Mode.SERVE
        self.waves: dict[int, dict] = {}
        # Machines that have begun their upkeep, and those that are down for it, by wave.
        self.begun: dict[int, set[str]] = {}
        self.down: dict[int, set[str]] = {}
        self._tokens: dict[str, int] = {}
        self.kept: list[Request] = []
        # Called with each order as it arrives.
        self.on_order = lambda req: None
        # Called as an upkeep begins, with the wave, the machine and the machines that are down.
        self.on_upkeep = lambda wave, machine, down: None
        self._tasks: set[asyncio.Task] = set()

    async def handle(self, req: Request) -> tuple[int, bytes]:
        """Answer a call as the mode says."""
        mode = self.mode
        if req.path != "/api/machines":
            self.on_order(req)
        if mode is Mode.SILENT:
            raise NoAnswerError
        if req.path == "/api/machines":
            return 200, json.dumps({"machines": self._rows(), "next_token": None}).encode()
        if mode is Mode.KEEP:
            self.kept.append(req)
            raise NoAnswerError
        answer = self.carry_out(req)
        if mode is Mode.LOSE_ANSWERS:
            raise NoAnswerError
        return answer

    def _rows(self) -> list[dict]:
        return [
            {
                "machine": machine.name,
                "pool": machine.pool,
                "state": machine.state,
                "zone": "z-1",
                "labels": ["a", machine.rack],
                "capacity": {"cpu": machine.cpu, "mem_mb": 32_768, "gpu": 0},
                "id": machine.worker.id if machine.worker is not None else "",
            }
            for machine in self.machines.values()
        ]

    def carry_out(self, req: Request) -> tuple[int, bytes]:
        """Carry out an order, now or later than it arrived."""
        body, holder = json.loads(req.body), req.headers.get("x-lease-holder")
        token = int(req.headers.get("x-fencing-token", 0))
        status, reason = self._order(req.path, body, token)
        order = req.path.rsplit("/", 1)[-1]
        self.record(order, **body, holder=holder, token=token, status=status, reason=reason)
        return status, json.dumps({"reason": reason} if reason else {}).encode()

    def _order(self, path: str, body: dict, token: int) -> tuple[int, str]:
        machine = self.machines.get(body["machine"])
        if machine is None:
            return 400, ""
        if token < self._tokens.get(machine.name, 0):
            return 409, "fence"
        self._tokens[machine.name] = token
        if path == "/api/machine-upkeep":
            return self._upkeep(machine, body["wave"])
        if machine.pool == body["pool"]:
            return 200, ""
        if machine.state != "up":
            return 409, "busy"
        self._take_down(machine, "moving", MOVE_S, body["pool"])
        return 200, ""

    def _upkeep(self, machine: Machine, wave: int) -> tuple[int, str]:
        if machine.name not in self.waves.get(wave, {}).get("machines", ()):
            return 409, "wave"
        if machine.name in self.begun.setdefault(wave, set()):
            return 200, ""
        if machine.state != "up":
            return 409, "busy"
        down = self.down.setdefault(wave, set())
        self.on_upkeep(wave, machine, frozenset(down))
        self.begun[wave].add(machine.name)
        down.add(machine.name)
        self._take_down(machine, "upkeep", MAINTENANCE_S, machine.pool, wave)
        return 200, ""

    def _take_down(
        self, machine: Machine, state: str, down_s: float, pool: str, wave: int | None = None
    ) -> None:
        machine.state = state
        machine.end_life()

        async def come_back() -> None:
            await asyncio.sleep(down_s)
            machine.pool = pool
            if wave is not None:
                self.down[wave].discard(machine.name)
            await machine.boot()

        task = asyncio.ensure_future(come_back())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
