"""Choice of a worker for a task, at a cost that does not grow with the number of workers.

Workers are grouped by the power of two of each free amount. Bit masks select the groups whose
members fit, and a bounded sample of their members is compared by load of rack and data centre.
"""

import attrs

from fescuecrank_core.declarations import Resources

# Members compared for one choice. With 12 or fewer candidates the choice is exact; beyond that a
# sample of 12 keeps the fullest rack within a few percent of the mean.
SAMPLE_SIZE = 12
# Members examined in groups where only some fit. The start rotates with each call, so a worker
# that one call skips is found by a later one.
MAX_PARTIAL_FIT_PROBES = 64
RESOURCE_NAMES = ("processor (1/1000 core)", "memory (MB)", "accelerators", "slots")


@attrs.define(eq=False)
class _DomainLoad:
    """Slots in use and in total of a rack or a data centre."""

    used: int = 0
    total: int = 0

    def fraction(self) -> float:
        return self.used / self.total if self.total else 1.0


@attrs.define(eq=False)
class _Worker:
    name: str
    capacity: Resources
    connections: int
    free: Resources
    rack: _DomainLoad
    data_centre: _DomainLoad
    in_use: int = 0
    group: "_Group | None" = None
    position: int = 0

    def fits(self, need: Resources) -> bool:
        return self.in_use < self.connections and need.fits_in(self.free)


@attrs.define(eq=False)
class _Group:
    """Workers whose free amounts have the same powers of two."""

    bit: int
    levels: tuple[int, ...]
    members: list[_Worker] = attrs.field(factory=list)


def _amounts(resources: Resources) -> tuple[int, ...]:
    return (resources.cpu_millis, resources.memory_mb, resources.accelerators, resources.slots)


class WorkerIndex:
    """Free amounts of the workers of one cell."""

    def __init__(self) -> None:
        self._workers: dict[str, _Worker] = {}
        self._racks: dict[tuple[str, str], _DomainLoad] = {}
        self._data_centres: dict[str, _DomainLoad] = {}
        self._capacities_seen: dict[Resources, None] = {}
        self._groups: dict[tuple[int, ...], _Group] = {}
        self._groups_by_bit: list[_Group] = []
        self._nonempty_mask = 0
        # For each resource, masks of the groups at or above each level.
        self._masks_by_level: list[list[int]] = [[] for _ in RESOURCE_NAMES]
        self._cursor = 0

    def __len__(self) -> int:
        return len(self._workers)

    def __contains__(self, name: str) -> bool:
        return name in self._workers

    def upsert(
        self, name: str, capacity: Resources, connections: int, rack: str, data_centre: str
    ) -> None:
        """Add an empty worker, or replace the description of a known one and keep its tasks."""
        old = self._workers.get(name)
        used, in_use = Resources(slots=0), 0
        if old is not None:
            used, in_use = old.capacity - old.free, old.in_use
            self.remove(name)
        rack_load = self._racks.setdefault((data_centre, rack), _DomainLoad())
        centre_load = self._data_centres.setdefault(data_centre, _DomainLoad())
        worker = _Worker(name, capacity, connections, capacity - used, rack_load, centre_load)
        worker.in_use = in_use
        for load in (rack_load, centre_load):
            load.total += capacity.slots
            load.used += used.slots
        self._workers[name] = worker
        self._capacities_seen[capacity] = None
        self._add_to_group(worker)

    def remove(self, name: str) -> None:
        """Remove a worker; its capacity still counts as seen, since it may come back."""
        worker = self._workers.pop(name, None)
        if worker is None:
            return
        self._remove_from_group(worker)
        for load in (worker.rack, worker.data_centre):
            load.total -= worker.capacity.slots
            load.used -= worker.capacity.slots - worker.free.slots

    def choose(self, need: Resources, avoid: frozenset[str] = frozenset()) -> str | None:
        """Return a worker that can run `need` now, or None.

        A bounded sample is ordered by the load of data centre and rack, then by the tightest fit.
        """
        self._cursor += 1
        best: _Worker | None = None
        best_score = (0.0, 0)
        comparisons_left = SAMPLE_SIZE
        all_fit, some_fit = self._candidates(need)
        for mask, limit in ((all_fit, 2 * SAMPLE_SIZE), (some_fit, MAX_PARTIAL_FIT_PROBES)):
            probes = limit
            for group in self._rotated_groups(mask):
                size = len(group.members)
                for i in range(min(size, probes)):
                    worker = group.members[(self._cursor + i) % size]
                    probes -= 1
                    if worker.name in avoid or not worker.fits(need):
                        continue
                    comparisons_left -= 1
                    score = self._score(worker)
                    if best is None or score < best_score:
                        best, best_score = worker, score
                    if comparisons_left == 0:
                        return best.name
                if probes <= 0:
                    break
        return best.name if best is not None else None

    def allocate(self, name: str, need: Resources) -> None:
        """Subtract the need of a task that starts; an unknown worker is ignored."""
        self._apply_use(name, need, 1)

    def release(self, name: str, need: Resources) -> None:
        """Add back the need of a task that ended; an unknown worker is ignored."""
        self._apply_use(name, need, -1)

    def infeasible_reason(self, need: Resources) -> str | None:
        """Return why no worker seen so far could run `need` even if idle, or None if one could.

        While no worker has been seen the result is None, since all workers may be out.
        """
        if not self._capacities_seen or any(
            need.fits_in(capacity) for capacity in self._capacities_seen
        ):
            return None
        wanted = _amounts(need)
        for i, label in enumerate(RESOURCE_NAMES):
            largest = max(_amounts(capacity)[i] for capacity in self._capacities_seen)
            if wanted[i] > largest:
                return f"needs {wanted[i]} {label}; the largest worker has {largest}"
        return "each amount fits some worker, but no single worker has all of them"

    def _apply_use(self, name: str, need: Resources, sign: int) -> None:
        worker = self._workers.get(name)
        if worker is None:
            return
        if sign < 0 and not (worker.free + need).fits_in(worker.capacity):
            # The worker was removed and added again after the task started, so its use is not
            # counted any more.
            return
        worker.free = worker.free - need if sign > 0 else worker.free + need
        worker.in_use += sign
        worker.rack.used += sign * need.slots
        worker.data_centre.used += sign * need.slots
        if worker.group is not None and worker.group.levels == self._levels(worker):
            return
        self._remove_from_group(worker)
        self._add_to_group(worker)

    @staticmethod
    def _score(worker: _Worker) -> tuple[float, int]:
        spread = worker.data_centre.fraction() + worker.rack.fraction()
        return (round(spread, 2), worker.free.slots)

    @staticmethod
    def _levels(worker: _Worker) -> tuple[int, ...]:
        # A worker without a free connection has nothing free; overcommitted amounts count as 0.
        if worker.in_use >= worker.connections:
            return (0,) * len(RESOURCE_NAMES)
        return tuple(max(0, amount).bit_length() for amount in _amounts(worker.free))

    def _add_to_group(self, worker: _Worker) -> None:
        levels = self._levels(worker)
        group = self._groups.get(levels) or self._add_group(levels)
        worker.group = group
        worker.position = len(group.members)
        group.members.append(worker)
        self._nonempty_mask |= group.bit

    def _remove_from_group(self, worker: _Worker) -> None:
        group = worker.group
        if group is None:
            return
        last = group.members.pop()
        if last is not worker:
            group.members[worker.position] = last
            last.position = worker.position
        if not group.members:
            self._nonempty_mask &= ~group.bit
        worker.group = None

    def _add_group(self, levels: tuple[int, ...]) -> _Group:
        group = _Group(1 << len(self._groups_by_bit), levels)
        self._groups[levels] = group
        self._groups_by_bit.append(group)
        for masks, level in zip(self._masks_by_level, levels, strict=True):
            while len(masks) <= level:
                masks.append(0)
            for i in range(level + 1):
                masks[i] |= group.bit
        return group

    def _candidates(self, need: Resources) -> tuple[int, int]:
        """Return the masks of groups whose members all fit and of groups where some may fit."""
        all_fit = possible = self._nonempty_mask
        for masks, amount in zip(self._masks_by_level, _amounts(need), strict=True):
            low = amount.bit_length()
            # All members of a group at level n have at least 2**(n-1).
            high = low if amount & (amount - 1) == 0 else low + 1
            possible &= masks[low] if low < len(masks) else 0
            all_fit &= masks[high] if high < len(masks) else 0
        return all_fit, possible & ~all_fit

    def _rotated_groups(self, mask: int):
        """Yield the groups in a mask, starting from a position that changes with each call."""
        if not mask:
            return
        shift = self._cursor % len(self._groups_by_bit)
        upper = mask >> shift << shift
        for part in (upper, mask ^ upper):
            while part:
                low = part & -part
                yield self._groups_by_bit[low.bit_length() - 1]
                part ^= low
