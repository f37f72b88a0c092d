"""Entries of the list of workers, from the leader's view.

Each worker writes its own entry, but an earlier incarnation of it, or another writer, may have left
the one that is read.
"""

import attrs

from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.events import WorkerEntry, WorkersRead
from fescuecrank_scheduler.incarnations import Incarnations
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.workers import Worker

# A start that lies this far ahead of our wall clock is no reading of a worker's clock. Wall clocks
# that are set wrong usually differ by hours.
MAX_CLOCK_DIFFERENCE_MS = 24 * 60 * 60 * 1_000


@attrs.define
class WorkerEntries:
    """The list of workers under one leadership."""

    state: LeaderState
    incarnations: Incarnations

    def apply(self, event: WorkersRead, now: Now) -> None:
        """Apply changes of the list."""
        self.state.workers_listed = True
        listed_ids = set()
        for entry in event.entries:
            listed_ids.add(entry.id)
            self._update(entry, now)
        removed_ids = list(event.removed)
        if event.whole:
            removed_ids += [name for name in self.state.workers if name not in listed_ids]
        for worker_id in removed_ids:
            worker = self.state.workers.get(worker_id)
            if worker is not None and worker.listed:
                worker.listed = False
                self.state.log("worker_unlisted", worker=worker_id, runs=len(worker.runs))

    def _update(self, entry: WorkerEntry, now: Now) -> None:
        worker = self.state.worker(entry.id)
        if self._is_outdated(worker, entry):
            return
        was_listed = worker.listed
        moved = bool(worker.address) and worker.address != entry.address
        was_ready = worker.ready
        entry = self._with_plausible_start(worker, entry, now)
        worker.update(entry)
        worker.entry_ms = now.mono_ms
        later = 0 < worker.started_ms < entry.started_ms
        if later and worker.reported_start_ms != entry.started_ms:
            self._ask_for_restart(worker, entry, now)
        elif moved:
            # Whether it is another incarnation is known when it answers at its new address.
            self.state.log("worker_moved", worker=worker.id, address=entry.address)
            worker.epoch_accepted = worker.retired = False
            self.incarnations.begin_calls(worker, now)
        if not was_listed or was_ready != entry.ready:
            self.state.log("worker_listed", worker=entry.id, pool=entry.pool, ready=entry.ready)
            self.state.request_placement(worker.pool)
        if not worker.hold_open:
            self.state.hold_times.set(worker.id, now.mono_ms)

    def _ask_for_restart(self, worker: Worker, entry: WorkerEntry, now: Now) -> None:
        """Call a worker at once whose entry has a later start, and place nothing there meanwhile.

        Only its answer shows that it has restarted: another writer may have left the entry, and
        its runs may go on.
        """
        worker.reported_start_ms = entry.started_ms
        worker.epoch_accepted = worker.retired = False
        self.state.log("worker_restart_reported", worker=worker.id, started_ms=entry.started_ms)
        self.incarnations.begin_calls(worker, now)

    def _with_plausible_start(self, worker: Worker, entry: WorkerEntry, now: Now) -> WorkerEntry:
        """Return the entry without its start if that lies in the future.

        Another writer may have left it, and a later start counts as a restart. The answers of the
        worker tell of a restart as well.
        """
        if entry.started_ms <= now.wall_ms + MAX_CLOCK_DIFFERENCE_MS:
            return entry
        if worker.future_start_ms != entry.started_ms:
            worker.future_start_ms = entry.started_ms
            self.state.log("worker_start_ignored", worker=entry.id, started_ms=entry.started_ms)
        return attrs.evolve(entry, started_ms=0)

    def _is_outdated(self, worker: Worker, entry: WorkerEntry) -> bool:
        """Return whether an earlier incarnation wrote an entry than the one that answers.

        Its address may belong to another worker by now, whose answers would end the runs.
        """
        earlier = 0 < entry.started_ms < worker.answered_started_ms
        if not earlier or worker.contact_lost_ms is not None:
            return False
        if worker.ignored_entry_started_ms != entry.started_ms:
            worker.ignored_entry_started_ms = entry.started_ms
            self.state.log(
                "entry_outdated",
                worker=worker.id,
                entry_started_ms=entry.started_ms,
                started_ms=worker.answered_started_ms,
                address=entry.address,
            )
        return True
