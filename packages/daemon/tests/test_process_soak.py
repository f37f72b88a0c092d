"""A short seeded run of the soak over real processes; see `process_soak`."""

from process_soak import run_soak


def test_random_faults_on_real_processes_break_no_promise(tmp_path):
    soak = run_soak(seed=1, seconds=8, entries=3, workers=5, folder=tmp_path)
    assert not soak.violations, soak.report(1)
    assert any(job.accepted_ms is not None for job in soak.jobs.values())
