"""Local copy of the durable state of all jobs, which every process keeps."""

from collections.abc import Container

import attrs

from fescuecrank_scheduler.jobs import Job, Outcome, Phase
from fescuecrank_scheduler.record_decoding import decode
from fescuecrank_scheduler.records import (
    JOB_PREFIX,
    HomePools,
    JobBegun,
    JobTombstone,
    KindRecord,
    Leadership,
    LongLeases,
    Progress,
    ProgressTombstone,
    StoredRecord,
    SuspectedKinds,
    WaveRecord,
)


@attrs.define
class JobTable:
    """Jobs by id, built from the records of the store.

    After a reload, records may be applied again or out of order; of progress and leadership records
    the one with the highest offset wins. An accepted job never changes: of two job records with the
    same id the first wins.
    """

    jobs: dict[str, Job] = attrs.field(factory=dict)
    leader: Leadership | None = None
    leader_offset: int = -1
    # Leases that may last longer than usual, as of the newest renewal, and the offset of their
    # record.
    long_leases: dict[str, int] = attrs.field(factory=dict)
    leases_offset: int = -1
    # Machines of each maintenance wave that have been taken down.
    wave_machines_down: dict[int, tuple[str, ...]] = attrs.field(factory=dict)
    # Home pool of each machine.
    home_pools: dict[str, str] = attrs.field(factory=dict)
    # Kinds of tasks that are suspected of crashing their workers, as last stored.
    kinds: dict[str, KindRecord] = attrs.field(factory=dict)
    # Progress and cancellations read before the record of their job.
    _unmatched_progress: dict[str, Progress] = attrs.field(factory=dict)
    _unmatched_cancels: set[str] = attrs.field(factory=set)
    # Jobs that have begun, read before the record of their job.
    _unmatched_begun: set[str] = attrs.field(factory=set)
    # Deleted jobs whose progress record, as far as this process knows, is still stored.
    _orphans: set[str] = attrs.field(factory=set)
    _progress_offsets: dict[str, int] = attrs.field(factory=dict)
    # Jobs that changed since the last call of `take_changed`.
    _changed: dict[str, None] = attrs.field(factory=dict)

    def apply(self, stored: StoredRecord) -> None:
        """Apply one record; raises `ValueError` if it is malformed."""
        match decode(stored.record):
            case Job() as job:
                self._add_job(job)
            case Progress() as progress:
                if stored.offset > self._progress_offsets.get(progress.job, -1):
                    self._progress_offsets[progress.job] = stored.offset
                    self._apply_progress(progress)
            case Leadership() as leader:
                if stored.offset > self.leader_offset:
                    self.leader, self.leader_offset = leader, stored.offset
            case LongLeases() as leases:
                if stored.offset > self.leases_offset:
                    self.long_leases = leases.remaining_ms
                    self.leases_offset = stored.offset
            case WaveRecord() as wave:
                self.wave_machines_down[wave.wave] = wave.machines
            case HomePools() as home_pools:
                self.home_pools = home_pools.pools
            case SuspectedKinds() as suspected:
                self.kinds = suspected.kinds
            case JobTombstone() as tombstone:
                self._delete_job(tombstone.job)
            case JobBegun() as begun:
                self._apply_begun(begun.job)
            case ProgressTombstone() as tombstone:
                self.forget_progress(tombstone.job)
            case str() as job_id:
                self._cancel(job_id)

    def reset_progress(self) -> None:
        """Discard the progress of open jobs; the caller reads all progress records again."""
        self._progress_offsets.clear()
        for job in self.jobs.values():
            if job.outcome is None:
                job.tasks.clear()
                job.assigned = False

    def orphaned_progress(self) -> set[str]:
        """Return the ids of the jobs with a progress record but no job record.

        A job may be among them whose record has not been read yet.
        """
        return self._orphans | self._unmatched_begun | set(self._unmatched_progress)

    def forget_progress(self, job_id: str) -> None:
        """Record that the progress of a deleted job was deleted as well."""
        self._orphans.discard(job_id)
        self._unmatched_progress.pop(job_id, None)
        self._unmatched_begun.discard(job_id)

    def is_newer_than_leases(self, job_id: str) -> bool:
        """Return whether a job's progress was stored after the record of long leases."""
        return self._progress_offsets.get(job_id, -1) > self.leases_offset

    def workers_of_unread_jobs(self) -> set[str]:
        """Return the workers of runs, of jobs not read yet, that are newer than the long leases."""
        return {
            task.worker
            for progress in self._unmatched_progress.values()
            if self.is_newer_than_leases(progress.job)
            for task in progress.tasks
            if task.phase is Phase.ASSIGNED
        }

    def take_changed(self) -> tuple[str, ...]:
        """Return the ids of the jobs that changed since the last call."""
        changed, self._changed = self._changed, {}
        return tuple(changed)

    def pending_count(self, queue: str) -> int:
        """Return the number of open jobs of a queue of which no task is known to have begun."""
        return sum(
            1 for job in self.jobs.values() if job.queue == queue and job.open and not job.begun
        )

    def _add_job(self, job: Job) -> None:
        if job.id in self.jobs:
            return
        self.jobs[job.id] = job
        self._orphans.discard(job.id)
        self._changed[job.id] = None
        if job.id in self._unmatched_cancels:
            self._unmatched_cancels.discard(job.id)
            job.cancelled = True
        if job.id in self._unmatched_begun:
            self._unmatched_begun.discard(job.id)
            job.begun = True
        progress = self._unmatched_progress.pop(job.id, None)
        if progress is not None:
            self._apply_progress(progress)

    def _delete_job(self, job_id: str) -> None:
        job = self.jobs.pop(job_id, None)
        if self._progress_offsets.pop(job_id, None) is not None or (job and job.outcome):
            self._orphans.add(job_id)
        self._unmatched_cancels.discard(job_id)
        self._changed.pop(job_id, None)

    def retain_jobs(self, keys: Container[str]) -> list[Job]:
        """Remove the jobs whose record is not among `keys`, and return them."""
        deleted = [job for job in self.jobs.values() if JOB_PREFIX + job.id not in keys]
        for job in deleted:
            self._delete_job(job.id)
        return deleted

    def _cancel(self, job_id: str) -> None:
        job = self.jobs.get(job_id)
        if job is None:
            self._unmatched_cancels.add(job_id)
        elif not job.cancelled:
            job.cancelled = True
            self._changed[job_id] = None

    def _apply_begun(self, job_id: str) -> None:
        job = self.jobs.get(job_id)
        if job is not None:
            job.begun = True
        elif job_id not in self._orphans:
            self._unmatched_begun.add(job_id)

    def _apply_progress(self, progress: Progress) -> None:
        job = self.jobs.get(progress.job)
        if job is None:
            self._unmatched_progress[progress.job] = progress
            return
        self._changed[job.id] = None
        if progress.outcome is not None:
            job.outcome = progress.outcome
            job.tasks.clear()
            return
        for recorded in progress.tasks:
            job.create_occurrence(recorded.id.occurrence)
            task = job.task(recorded.id)
            if task is None:
                continue
            task.phase, task.run, task.failures = recorded.phase, recorded.run, recorded.failures
            task.worker, task.checkpoint = recorded.worker, recorded.checkpoint
            task.suspicion = recorded.suspicion
            job.assigned = job.assigned or task.run > 0
            # Records of earlier versions do not say which jobs have begun.
            job.begun = job.begun or task.phase is Phase.DONE or task.failures > 0

    def set_outcome(self, job: Job, outcome: Outcome) -> None:
        """Set the outcome of a job; the caller has stored it already."""
        job.outcome = outcome
        job.tasks.clear()
