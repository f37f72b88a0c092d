"""Causes of late jobs, from logs."""

import attrs
import pytest
from fescuecrank_cli.losses import Cause, compute_losses, read_lines, render_losses
from fescuecrank_cli.main import app
from fescuecrank_cli.trace_lines import LogLine
from fleet_simulation import Simulation
from scheduler_builders import config, job, queue, step
from test_trace import write_logs
from typer.testing import CliRunner


def line(ms, event, node="entry-1", **fields):
    return LogLine(ms, node, event, fields, about_job=False)


def ended(ms, age_ms, job="j1", objective_ms=1_000):
    return line(ms, "job_ended", job=job, pool="a", age_ms=age_ms, objective_ms=objective_ms)


def plan(ms, reason, step=0):
    return line(ms, "runs_planned", job="j1", occurrence=0, step=step, reason=reason)


def causes(*lines):
    losses = compute_losses(lines)
    return [cause for window in losses.windows.values() for cause in window.late.elements()]


def test_job_within_its_objective_is_in_time():
    losses = compute_losses([ended(5_000, age_ms=900)])
    assert losses.windows["a", 4_000].in_time == 1


@pytest.mark.parametrize(
    ("lines", "cause"),
    [
        ([plan(3_000, "no_room"), plan(4_500, "")], Cause.NO_ROOM),
        (
            [
                line(2_900, "run_ended", task="j0.0.0.1", how="done"),
                line(4_600, "leadership_started", node="entry-2"),
                plan(4_610, ""),
            ],
            Cause.NO_LEADER,
        ),
        (
            [plan(3_000, ""), line(3_500, "run_ended", task="j1.0.0.1", how="failed")],
            Cause.LOST_WORK,
        ),
        ([plan(3_000, "")], Cause.OTHER),
    ],
)
def test_largest_part_of_the_time_is_the_cause(lines, cause):
    assert causes(*lines, ended(6_000, age_ms=3_000)) == [cause]


def test_table_has_totals_and_refusals():
    losses = compute_losses(
        [
            ended(5_000, 900),
            ended(5_000, 3_000, job="j2"),
            line(1, "job_refused", reason="pool_full"),
        ]
    )
    rendered = list(render_losses(losses))
    assert rendered[-2].split() == ["all", "1", "0", "0", "0", "1"]
    assert rendered[-1] == "refused, pool_full: 1"


def test_jobs_during_a_change_of_leader(tmp_path):
    tight = config(queues=(queue(stretch=1.0, objective_ms=300),))
    sim = Simulation(nodes=3, workers=3, cfg=tight)
    sim.run(3_000)
    sim.submit(job("b" * 16, step(1), accepted_ms=sim.now.wall_ms))
    sim.run(2_500)
    sim.kill(sim.leader().name)
    sim.submit(attrs.evolve(job("a" * 16, step(1)), accepted_ms=sim.now.wall_ms))
    sim.run(6_000)
    files = write_logs(sim, tmp_path)
    assert causes(*read_lines(files)) == [Cause.NO_LEADER]
    result = CliRunner().invoke(app, ["losses", *map(str, files)])
    assert result.exit_code == 0
    assert "no_leader" in result.stdout
