"""A wave is said to be completed although a machine of it has had no upkeep."""

import asyncio
import json
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins_2"))

from stand_ins import (  # noqa: E402
    POOL,  # noqa: E402
    Answer,
    Bed,
    HttpServer,
    Request,
    Worker,
    as_json,
    play,
)

ENTRIES, MACHINES = 3, 3

MAINTENANCE_S = 2.0

# Machines that may be down for the upkeep of one wave at a time.
CAP = 2

# Time between the steps of the operator.
PAUSE_S = 4.0


class Cloud:
    """The platform's machine service."""

    def __init__(self, bed: Bed) -> None:
        self.bed = bed
        self.workers: dict[str, Worker] = {}
        self.states: dict[str, str] = {}
        self.done: dict[str, int] = {}
        self.tokens: dict[str, int] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        self._lives = 0

    async def add(self, machine: str) -> None:
        """Start a worker on a machine."""
        self._lives += 1
        worker = Worker(
            f"i-{self._lives:08x}",
            self.bed.store,
            self.bed.record,
            lambda task: 1_000.0,
            lambda task: 1_000,
            machine=machine,
        )
        await worker.server.open()
        self.workers[machine], self.states[machine] = worker, "up"
        self.tasks[machine] = self.bed.spawn(worker.run())

    async def handle(self, req: Request) -> Answer:
        """Answer a call."""
        if req.path == "/api/machines":
            return as_json(200, {"machines": self._rows(), "next_token": None})
        if req.path != "/api/machine-upkeep":
            return as_json(400, {})
        body = json.loads(req.body)
        by = f"{req.headers['x-lease-holder']} with token {req.headers['x-fencing-token']}"
        self.bed.record.write(f"cloud: upkeep of {body['machine']} is ordered by {by}")
        return await self._carry_out(req, body)

    def _rows(self) -> list[dict]:
        return [
            {
                "machine": machine,
                "pool": POOL,
                "state": state,
                "zone": "zone-a",
                "labels": ["a", "r1-1"],
                "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0},
                "id": self.workers[machine].name,
            }
            for machine, state in self.states.items()
        ]

    async def _carry_out(self, req: Request, body: dict) -> tuple[int, bytes]:
        machine, wave = body["machine"], body["wave"]
        token = int(req.headers["x-fencing-token"])
        if token < self.tokens.get(machine, 0):
            return as_json(409, {"reason": "fence"})
        self.tokens[machine] = token
        if self.done.get(machine) == wave:
            return as_json(200, {})
        if self.states[machine] != "up":
            return as_json(409, {"reason": "busy"})
        self.states[machine], self.done[machine] = "upkeep", wave
        self.bed.record.write(f"cloud: {machine} is down for its upkeep")
        self.tasks[machine].cancel()
        await self.workers[machine].leave()
        self.bed.spawn(self._return(machine))
        return as_json(200, {})

    async def _return(self, machine: str) -> None:
        await asyncio.sleep(MAINTENANCE_S)
        await self.add(machine)
        self.bed.record.write(f"cloud: {machine} is up again")


async def scenario(bed: Bed) -> list[str]:
    """Ask for a wave, add a machine, and ask for a second wave that contains the new machine."""
    cloud = Cloud(bed)
    server = await HttpServer(cloud.handle).open()
    bed.cloud_address = server.address
    for number in range(MACHINES):
        await cloud.add(f"m-{number}")
    await bed.begin(ENTRIES, 0, lambda task: 1_000.0, lambda task: 1_000)

    async def ask(number: int, machines: list[str]) -> None:
        wave = {"wave": number, "machines": machines, "duration_s": 20, "cap": CAP}
        bed.record.write(f"operator: op/wave/{number} {json.dumps(wave)}")
        await bed.store.put("keyed.op", f"wave/{number}", wave)
        async with asyncio.timeout(30):
            while state(number) != "completed":
                await asyncio.sleep(0.05)
        bed.record.write(f"system: status/wave/{number} says completed")

    def state(number: int) -> str:
        found = bed.store.topic("keyed.status").newest.get(f"wave/{number}")
        return json.loads(found[1])["state"] if found else ""

    await ask(1, ["m-0", "m-1"])
    await asyncio.sleep(PAUSE_S)
    added = f"m-{MACHINES}"
    if bed.trouble:
        await cloud.add(added)
        bed.record.write(f"cloud: {added} is added to the pool")
    await asyncio.sleep(PAUSE_S)
    machines = ["m-2", added] if bed.trouble else ["m-2"]
    await ask(2, machines)
    missed = [machine for machine in machines if cloud.done.get(machine) != 2]
    await asyncio.sleep(PAUSE_S)
    later = [machine for machine in missed if cloud.done.get(machine) != 2]
    bed.record.write(f"machines of wave 2 without upkeep {PAUSE_S:.0f} s later: {later}")
    server.close()
    return [
        f"MIXED: wave 2 is said to be completed, and {machine}, which stays, has not begun its"
        " upkeep"
        for machine in missed
    ]


if __name__ == "__main__":
    sys.exit(play(CASE, scenario))
