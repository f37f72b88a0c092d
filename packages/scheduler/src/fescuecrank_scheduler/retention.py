"""Deletes the records of jobs that ended long ago, so that the store does not fill up.

A job and its progress are records of two streams, of which either append may fail. A job without
its progress would be run again, so the job is deleted first, for as long as it takes until its
tombstone is read, and its progress some time after that.
"""

from collections.abc import Iterable

import attrs

from fescuecrank_scheduler.clocks import Now
from fescuecrank_scheduler.effects import Effect, LogLine, StoreIntake
from fescuecrank_scheduler.leader_state import LeaderState
from fescuecrank_scheduler.records import job_tombstones, progress_tombstones

# Interval between scans for ended jobs.
SCAN_INTERVAL_MS = 1_000

# Most jobs whose records are deleted in one scan.
MAX_DELETED_PER_SCAN = 100

# Time after which a tombstone that has not been read is appended again; the store answers slow
# appends within a few seconds.
REPEAT_MS = 5_000

# For how long the progress of a deleted job is kept. A process that starts reads the two streams
# one after the other; with a copy that is older than this none can lead.
PROGRESS_KEPT_MS = 30_000

# Token of appends that no caller waits for.
NO_CALLER = 0


@attrs.define
class Retention:
    """Records that are due to be deleted, as this leadership has found them."""

    state: LeaderState
    # When each ended job and each progress record without a job was first found.
    _ended_ms: dict[str, int] = attrs.field(factory=dict)
    _orphaned_ms: dict[str, int] = attrs.field(factory=dict)
    # When the tombstone of each job was last sent.
    _sent_ms: dict[str, int] = attrs.field(factory=dict)
    _scanned_ms: int = 0

    def tick(self, now: Now) -> list[Effect]:
        """Delete the records of jobs that ended more than `keep_ended_ms` ago."""
        if now.mono_ms - self._scanned_ms < SCAN_INTERVAL_MS:
            return []
        self._scanned_ms = now.mono_ms
        self._delete_orphans(now)
        return self._delete_jobs(now)

    def _delete_jobs(self, now: Now) -> list[Effect]:
        jobs = self.state.table.jobs
        ended = [job.id for job in jobs.values() if job.outcome is not None]
        self._ended_ms = _update_times(self._ended_ms, ended, now.mono_ms)
        self._sent_ms = {job: sent for job, sent in self._sent_ms.items() if job in jobs}
        oldest_ms = now.mono_ms - self.state.limits.keep_ended_ms
        resent_ms = now.mono_ms - REPEAT_MS
        due = [
            job_id
            for job_id, ended_ms in self._ended_ms.items()
            if ended_ms < oldest_ms and self._sent_ms.get(job_id, resent_ms) <= resent_ms
        ][:MAX_DELETED_PER_SCAN]
        if not due:
            return []
        repeated = sum(job_id in self._sent_ms for job_id in due)
        effects: list[Effect] = [
            LogLine("ended_jobs_deleted", {"jobs": len(due), "repeated": repeated})
        ]
        for job_id in due:
            self._sent_ms[job_id] = now.mono_ms
            effects += [StoreIntake(NO_CALLER, record) for record in job_tombstones(jobs[job_id])]
        return effects

    def _delete_orphans(self, now: Now) -> None:
        """Delete progress records whose job has been deleted, perhaps under an earlier leader."""
        if not self.state.jobs_loaded:
            return
        orphans = self.state.table.orphaned_progress()
        self._orphaned_ms = _update_times(self._orphaned_ms, orphans, now.mono_ms)
        oldest_ms = now.mono_ms - PROGRESS_KEPT_MS
        due = [job_id for job_id, found_ms in self._orphaned_ms.items() if found_ms < oldest_ms]
        for job_id in due[:MAX_DELETED_PER_SCAN]:
            for record in progress_tombstones(job_id):
                self.state.queue_record(record)
            self.state.table.forget_progress(job_id)


def _update_times(times_ms: dict[str, int], ids: Iterable[str], now_ms: int) -> dict[str, int]:
    """Return the time at which each of `ids` was first found."""
    return {job_id: times_ms.get(job_id, now_ms) for job_id in ids}
