"""Slopes of the holder of the `limits` claim: minter and mover."""

from fescuecrank_core import codec, messages
from fescuecrank_core.capacity import CapacityPlanner, PoolLoad
from fescuecrank_core.records import ClaimTaken

from fescuecrank_bench.slopes_builders import (
    TARGET_POOLS,
    TARGET_TEAMS,
    TARGET_WORKERS,
    fleet,
    pool_name,
    team_name,
)
from fescuecrank_bench.slopes_driver import INCARNATION, Driver
from fescuecrank_bench.slopes_fit import MICROSECONDS, Slope, processor_us

MINTER = "minter"
MOVER = "mover"
CELLS = (4, 25, 75, 175)
TEAMS = (2, 8, 31, 62)
POOLS = (2, 5, 10, 25)
WORKERS = (30, 300, 3_000, 27_000)
WINDOW_MS = 2_000
DEMAND_MS = 200
UNITS = 100
PLAN_AFTER_MS = 1_200_000


def minter_slopes() -> list[Slope]:
    """Measure the minter by the number of cells and by the number of teams."""
    by_cells = [(count, *_minter(count, TARGET_TEAMS)) for count in CELLS]
    by_teams = [(count, *_minter(TARGET_POOLS, count)) for count in TEAMS]
    found = []
    for per, rows in (("cell", by_cells), ("team", by_teams)):
        columns = [tuple((row[0], row[i]) for row in rows) for i in (1, 2, 3)]
        found.append(Slope(MINTER, "processor time a second", MICROSECONDS, per, columns[0]))
        found.append(Slope(MINTER, "grants a second", "messages", per, columns[1]))
        found.append(Slope(MINTER, "demands and grants a second", "B", per, columns[2]))
    return found


def _minter(cells: int, teams: int) -> tuple[float, float, float]:
    """Return time, grants and bytes a second while nothing is wanted and all teams have units."""
    driver = Driver(fleet(30, 1, teams), members=4, holds_cell=False, holds_limits=True)
    minter_epoch = driver.entry.ledger.claim("limits").epoch
    opened = {team_name(number): UNITS for number in range(teams)}
    demands = []
    for number in range(cells):
        scope = f"r2/{pool_name(number)}"
        driver.append(ClaimTaken(f"claim-{scope}", scope, -1, "entry-001", INCARNATION))
        epoch = driver.entry.ledger.claim(scope).epoch
        driver.receive("entry-001", messages.EscrowReport(scope, epoch, minter_epoch, opened))
        returned = dict.fromkeys(opened, UNITS // 2)
        demands.append(messages.EscrowDemand(scope, epoch, minter_epoch, {}, returned))
    own_epoch = driver.entry.ledger.claim(driver.scope()).epoch
    report = messages.EscrowReport(driver.scope(), own_epoch, minter_epoch, opened)
    driver.receive("entry-001", report)
    driver.run(500)
    driver.meter.clear()
    for _ in range(WINDOW_MS // DEMAND_MS):
        for demand in demands:
            driver.receive("entry-001", demand)
        driver.run(DEMAND_MS)
    seconds, meter = WINDOW_MS / 1_000, driver.meter
    grants = meter.messages["out EscrowGrant"]
    if not grants:
        raise RuntimeError("the minter granted nothing")
    size = meter.bytes["out EscrowGrant"] + meter.bytes["in EscrowDemand"]
    return meter.cpu_us() / seconds, grants / seconds, size / seconds


def mover_slopes() -> list[Slope]:
    """Measure the mover by the pools that it plans for and by the workers that loads name."""
    plan = [(count, _plan_us(count, TARGET_WORKERS)) for count in POOLS]
    times, sizes = [], []
    for count in WORKERS:
        times.append((count, _plan_us(TARGET_POOLS, count)))
        loads = _loads(count, TARGET_POOLS)
        sizes.append((count, sum(len(codec.encode(load)) for load in loads)))
    return [
        Slope(MOVER, "loads taken in and one plan", MICROSECONDS, "pool", tuple(plan)),
        Slope(MOVER, "loads taken in and one plan", MICROSECONDS, "worker", tuple(times)),
        Slope(MOVER, "loads of all cells a second", "B", "worker", tuple(sizes)),
    ]


def _loads(workers: int, pools: int) -> list[messages.CellLoad]:
    declared = fleet(workers, pools)
    return [
        messages.CellLoad(
            f"r1/{name}", 9, name, pool.workers, 0, 8 * len(pool.workers), 10, 0, 10.0
        )
        for name, pool in declared.pools.items()
    ]


def _plan_us(pools: int, workers: int) -> float:
    declared, planner = fleet(workers, pools), CapacityPlanner()
    loads = [
        PoolLoad(m.pool, m.usable, m.out, m.slots, m.busy, m.waiting, m.offered)
        for m in _loads(workers, pools)
    ]

    def second(now_ms: int) -> None:
        for load in loads:
            planner.observe(load, now_ms)
        planner.plan(declared, now_ms, now_ms)

    second(0)
    return processor_us(lambda: second(PLAN_AFTER_MS), 5)
