"""Selection of workers for tasks."""

import heapq
from collections.abc import Iterable

import attrs

from fescuecrank_scheduler.fleet import Resources
from fescuecrank_scheduler.jobs import Step
from fescuecrank_scheduler.workers import Worker


def satisfies_constraints(worker: Worker, step: Step, peers_on_worker: int) -> bool:
    """Return whether `worker` has the required label and does not violate anti-affinity.

    `peers_on_worker` is the number of tasks of the same step and occurrence on the worker. Free
    capacity is not considered.
    """
    if step.requires and step.requires not in worker.labels:
        return False
    return not step.anti_affinity or peers_on_worker < step.anti_affinity


def peers_on(worker: Worker, job: str, occurrence: int, step: int) -> int:
    """Return how many tasks of a step of one occurrence run on `worker`."""
    return sum(
        1
        for task in worker.runs
        if task.step == step and task.occurrence == occurrence and task.job == job
    )


def tasks_that_fit(worker: Worker, step: Step, available: Resources, peers_on_worker: int) -> int:
    """Return how many tasks of a step may start on `worker` within the `available` resources."""
    if not satisfies_constraints(worker, step, peers_on_worker):
        return 0
    need = step.reservation
    pairs = (
        (need.cpu, available.cpu),
        (need.mem_mb, available.mem_mb),
        (need.gpu, available.gpu),
    )
    most = step.anti_affinity - peers_on_worker if step.anti_affinity else step.count
    return max(0, min([most, *(free // wanted for wanted, free in pairs if wanted)]))


@attrs.define
class Candidate:
    """A worker that may take tasks of a step, with what remains free while they are chosen."""

    worker: Worker
    free: Resources
    # Tasks of the same step and occurrence on the worker.
    peers: int = 0


def choose_workers(
    workers: Iterable[Worker], job: str, occurrence: int, step_number: int, step: Step, count: int
) -> list[Worker]:
    """Return a worker for each of `count` tasks of a step; fewer if there is no capacity for all.

    Prefers the rack of the data, then workers that are not overflow, then the worker with the most
    free CPU. Long-running tasks without a latency target are packed onto few workers, so that
    other machines can be switched off. While possible, a worker gets at most half of a step, so
    that a failure leaves the other half.

    In a burst most steps find the pool almost full, so workers without capacity are ruled out once
    for all tasks of the step.
    """
    if not count:
        return []
    need = step.reservation
    candidates = [
        Candidate(worker, worker.free)
        for worker in workers
        if need.cpu <= worker.free.cpu
        and need.fits(worker.free)
        and (not step.requires or step.requires in worker.labels)
    ]
    if step.anti_affinity or _packs(step):
        for candidate in candidates:
            candidate.peers = peers_on(candidate.worker, job, occurrence, step_number)
        return _choose_by_peers(candidates, step, count)
    return _choose_most_free(candidates, step, count)


def _packs(step: Step) -> bool:
    return step.long_running and not step.target_ms and not step.best_effort


def _affinity_met(worker: Worker, step: Step) -> bool:
    return not step.affinity or step.affinity in worker.labels


def _choose_most_free(candidates: list[Candidate], step: Step, count: int) -> list[Worker]:
    need = step.reservation
    heap = [
        (
            not _affinity_met(candidate.worker, step),
            candidate.worker.overflow,
            -candidate.free.cpu,
            number,
        )
        for number, candidate in enumerate(candidates)
    ]
    heapq.heapify(heap)
    chosen: list[Worker] = []
    while heap and len(chosen) < count:
        far, overflow, _, number = heap[0]
        candidate = candidates[number]
        chosen.append(candidate.worker)
        candidate.free = candidate.free.minus(need)
        if need.fits(candidate.free):
            heapq.heapreplace(heap, (far, overflow, -candidate.free.cpu, number))
        else:
            heapq.heappop(heap)
    return chosen


def _choose_by_peers(candidates: list[Candidate], step: Step, count: int) -> list[Worker]:
    need = step.reservation
    half = -(-step.count // 2)

    def rank(candidate: Candidate) -> tuple[object, ...]:
        worker = candidate.worker
        if not _packs(step):
            return (_affinity_met(worker, step), not worker.overflow, candidate.free.cpu)
        return (
            _affinity_met(worker, step),
            not worker.maintenance_due,
            not worker.overflow,
            candidate.peers < half,
            candidate.peers,
            candidate.free.cpu,
        )

    chosen: list[Worker] = []
    while len(chosen) < count:
        fitting = [
            candidate
            for candidate in candidates
            if need.fits(candidate.free)
            and satisfies_constraints(candidate.worker, step, candidate.peers)
        ]
        if not fitting:
            break
        best = max(fitting, key=rank)
        chosen.append(best.worker)
        best.free = best.free.minus(need)
        best.peers += 1
    return chosen


def choose_gang(
    workers: Iterable[Worker], job: str, occurrence: int, step_number: int, step: Step
) -> list[Worker] | None:
    """Return one worker for each task of a gang, or None if not all tasks fit at once.

    With `same_rack`, a rack that can hold all tasks is preferred.
    """
    usable = list(workers)
    groups = [usable]
    if step.same_rack:
        racks = sorted({worker.rack for worker in usable})
        groups = [[worker for worker in usable if worker.rack == rack] for rack in racks]
        groups.append(usable)
    for group in groups:
        chosen = _place_gang(group, job, occurrence, step_number, step)
        if chosen is not None:
            return chosen
    return None


def _place_gang(
    workers: list[Worker], job: str, occurrence: int, step_number: int, step: Step
) -> list[Worker] | None:
    chosen: list[Worker] = []
    free = {worker.id: worker.free for worker in workers}
    counts = {worker.id: peers_on(worker, job, occurrence, step_number) for worker in workers}
    for _ in range(step.count):
        fitting = [
            worker
            for worker in workers
            if step.reservation.fits(free[worker.id])
            and satisfies_constraints(worker, step, counts[worker.id])
        ]
        if not fitting:
            return None
        worker = max(fitting, key=lambda worker: free[worker.id].cpu)
        chosen.append(worker)
        free[worker.id] = free[worker.id].minus(step.reservation)
        counts[worker.id] += 1
    return chosen
