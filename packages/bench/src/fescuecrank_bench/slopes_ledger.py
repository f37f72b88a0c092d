"""Slopes of the ledger: the fold of each kind of record, its size on the log, and snapshots."""

import gc
import time
from collections.abc import Callable

import attrs
from fescuecrank_core import codec, records
from fescuecrank_core.declarations import Team
from fescuecrank_core.ledger import Ledger
from fescuecrank_core.ledger_state import LedgerState
from fescuecrank_core.records import Change, ConfigPublished, LogEntry, Record

from fescuecrank_bench.slopes_builders import (
    TARGET_POOLS,
    TARGET_TEAMS,
    TARGET_WORKERS,
    WALL_START_MS,
    config_record,
    fleet,
    key_record,
    pool_name,
    team_name,
    worker_names,
)
from fescuecrank_bench.slopes_fit import MICROSECONDS, Slope, memory_bytes, processor_us

FOLD = "ledger fold"
LOG = "log"
SNAPSHOT = "snapshot writer"
LEDGER = "ledger"
WORKERS = (30, 300, 3_000, 27_000)
CHANGES = (1, 100, 1_000, 10_000, 88_000)
# Tracing allocations takes long, so the state is measured at smaller sizes.
TRACED = 3_000
RECORDS = (10, 40, 160, 640)
REPEATS = 3
MEMBER = "entry-000"
SCOPE = "r1/pool-00"


class Journal:
    """A ledger with the offset at which the next record stands."""

    def __init__(self, workers: int = TARGET_WORKERS, pools: int = TARGET_POOLS) -> None:
        self.ledger = Ledger()
        self.declared = fleet(workers, pools)
        self.add(_joined(0))
        self.add(config_record(self.declared))
        for number in range(TARGET_TEAMS):
            self.add(key_record(number))
        self.epoch = self.add(records.ClaimTaken("claim", SCOPE, -1, MEMBER, 1))

    def add(self, record: Record) -> int:
        """Fold a record and return its offset; `RuntimeError` if it was refused."""
        offset = self.ledger.applied
        self.ledger.fold(LogEntry(offset, record))
        verdict = self.ledger.verdict(record.record_id)
        if not verdict.accepted:
            raise RuntimeError(f"{record.record_id}: {verdict.detail}")
        return offset


def _joined(number: int) -> records.MemberJoined:
    name = f"entry-{number:03d}"
    return records.MemberJoined(f"join-{name}", name, 1, "r1", "dc-00", "10.0.0.1:7000")


def _team_change(journal: Journal, number: int) -> ConfigPublished:
    name = team_name(number % TARGET_TEAMS)
    follows = journal.ledger.state.versions[f"teams/{name}"]
    value = codec.encode(Team(name, 1.0 + number, 1_000))
    return ConfigPublished(
        f"team-{number:06d}", (Change("teams", name, follows, value),), "operator"
    )


def _pool_change(journal: Journal, number: int) -> ConfigPublished:
    name = pool_name(number % len(journal.declared.pools))
    follows = journal.ledger.state.versions[f"pools/{name}"]
    value = codec.encode(attrs.evolve(journal.declared.pools[name], min_workers=number))
    change = Change("pools", name, follows, value)
    return ConfigPublished(f"pool-{number:06d}", (change,), "operator")


def _key_granted(journal: Journal, number: int) -> Record:
    return attrs.evolve(key_record(0), record_id=f"key-{number}", key_id=f"key-{number}")


def _moved(journal: Journal, number: int) -> Record:
    worker = worker_names(0, number + 1)[-1]
    version = journal.ledger.state.assignments[worker].version
    target = pool_name(1)
    return records.InstanceMoved(f"move-{number}", worker, target, version, SCOPE, journal.epoch)


def _maintained(journal: Journal, number: int) -> Record:
    if number == 0:
        journal.add(records.WaveStarted("start", "wave", ()))
    worker = f"worker-{number:05d}"
    return records.InstanceMaintained(f"kept-{number}", worker, "wave", WALL_START_MS)


def _backups(journal: Journal, number: int) -> Record:
    return records.BackupsChanged(f"b-{number}", SCOPE, journal.epoch, ("entry-001",), 0)


def _drain(journal: Journal, number: int) -> Record:
    return records.DrainRequested(f"drain-{number}", worker_names(0, number + 1)[-1], "operator")


def _undrain(journal: Journal, number: int) -> Record:
    return records.DrainCancelled(f"undrain-{number}", worker_names(0, number + 1)[-1])


# Kinds of records with the function that returns the next one of many.
KINDS: dict[str, Callable[[Journal, int], Record]] = {
    "ConfigPublished, one team": _team_change,
    "KeyGranted": _key_granted,
    "KeyWithdrawn": lambda _, number: records.KeyWithdrawn(f"w-{number}", f"key-{number}"),
    "MemberJoined": lambda _, number: _joined(number + 1),
    "MemberLeft": lambda _, number: records.MemberLeft(f"l-{number}", f"entry-{number + 1:03d}", 1),
    "ClaimTaken": lambda _, n: records.ClaimTaken(f"c-{n}", f"r1/x{n}", -1, MEMBER, 1),
    "BackupsChanged": _backups,
    "InstanceMoved": _moved,
    "WaveStarted": lambda _, number: records.WaveStarted(
        f"v-{number}", f"wave-{number}", ("pool-00",)
    ),
    "WavePaused": lambda j, n: records.WavePaused(f"p-{n}", next(reversed(j.ledger.state.waves))),
    "WaveResumed": lambda j, n: records.WaveResumed(f"r-{n}", next(reversed(j.ledger.state.waves))),
    "InstanceMaintained": _maintained,
    "DrainRequested": _drain,
    "DrainCancelled": _undrain,
    "Snapshot": lambda _, number: records.Snapshot(f"s-{number}", number, b""),
}


def kind_slopes() -> list[Slope]:
    """Measure fold and size of each kind of record in a ledger of the target size."""
    journal = Journal()
    found = []
    for kind, make in KINDS.items():
        times, sizes, number = [], [], 0
        for count in RECORDS:
            spent_ns, size = 0, 0
            gc.collect()
            for _ in range(count):
                record = make(journal, number)
                number += 1
                started = time.process_time_ns()
                journal.add(record)
                spent_ns += time.process_time_ns() - started
                size += len(codec.encode(record))
            times.append((count, spent_ns / 1_000))
            sizes.append((count, size))
        found.append(Slope(FOLD, kind, MICROSECONDS, "record", tuple(times)))
        found.append(Slope(LOG, kind, "B", "record", tuple(sizes)))
    return found


def day_slopes() -> list[Slope]:
    """Measure a day of small changes, from 1 to 88,000 of them."""
    journal, points, number = Journal(), [], 0
    for count in CHANGES:
        changes = range(number, number + count)
        number += count
        points.append((count, processor_us(lambda c=changes: _change_all(journal, c), 1)))
    return [
        Slope(FOLD, "day of changes with their encoding", MICROSECONDS, "change", tuple(points))
    ]


def _change_all(journal: Journal, numbers: range) -> None:
    for number in numbers:
        journal.add(_team_change(journal, number))


def pool_change_slopes() -> list[Slope]:
    """Measure the change of one pool's declaration by the workers of the fleet."""
    times, sizes = [], []
    for count in WORKERS:
        journal = Journal(count)
        spent = []
        for number in range(5):
            record = _pool_change(journal, number)
            spent.append(processor_us(lambda r=record, j=journal: j.add(r), 1))
        times.append((count, sorted(spent)[2]))
        sizes.append((count, len(codec.encode(record))))
    return [
        Slope(FOLD, "ConfigPublished, one pool", MICROSECONDS, "worker", tuple(times)),
        Slope(LOG, "ConfigPublished, one pool", "B", "worker", tuple(sizes)),
    ]


def snapshot_slopes() -> list[Slope]:
    """Measure snapshots of the ledger and its memory by the workers of the fleet."""
    size, write, restore, memory = [], [], [], []
    for count in WORKERS:
        ledger = _maintained_ledger(count)
        data = ledger.encode()
        size.append((count, len(data)))
        write.append((count, processor_us(ledger.encode, REPEATS)))
        restore.append((count, processor_us(lambda d=data: _decode(d), REPEATS)))
        if count <= TRACED:
            memory.append((count, memory_bytes(lambda d=data: _decode(d))))
    return [
        Slope(SNAPSHOT, "size", "B", "worker", tuple(size)),
        Slope(SNAPSHOT, "encoding", MICROSECONDS, "worker", tuple(write)),
        Slope(SNAPSHOT, "restoring", MICROSECONDS, "worker", tuple(restore)),
        Slope(LEDGER, "state", "B", "worker", tuple(memory)),
    ]


def _decode(data: bytes) -> LedgerState:
    return codec.decode(data, LedgerState, "bench", "").unwrap()


def _maintained_ledger(workers: int) -> Ledger:
    """Return a ledger with all verdicts that are kept, in which each worker was maintained once."""
    journal = Journal(workers)
    for number in range(4_000):
        journal.add(_team_change(journal, number))
    state = journal.ledger.state
    for name in state.assignments:
        state.maintained_wall_ms[name] = WALL_START_MS
    return journal.ledger
