"""Tracing the cause of a failure in logs that the simulated scheduler writes."""

import orjson
import pytest
from fescuecrank_cli.main import app
from fescuecrank_cli.trace_lines import build_trace
from fescuecrank_scheduler.events import Submit
from fescuecrank_scheduler.jobs import TaskId
from fescuecrank_scheduler.records import Leadership
from fleet_simulation import Simulation
from scheduler_builders import KEY, job, step
from typer.testing import CliRunner

JOB = "00000000000000aa"


def write_logs(sim, folder):
    """Write the log of each entry to its own file, with a prefix as added by log collectors."""
    files = {}
    for ms, node, event, fields in sim.log:
        line = orjson.dumps({"ms": ms, "node": node, "event": event} | fields).decode()
        files.setdefault(node, []).append(f"{ms / 1000} {node} {line}")
    paths = []
    for node, lines in files.items():
        path = folder / f"{node}.log"
        path.write_text("\n".join(["not a log line", "{broken", *lines]))
        paths.append(path)
    return paths


def started_simulation(**fields):
    sim = Simulation(**fields)
    sim.run(2_000)
    return sim


def event_names(trace):
    return [line.event for line in trace.lines]


def submit(sim, name="entry-1"):
    sim.jobs[JOB] = job(JOB, step(1, estimate_ms=1_000))
    submitted = job("", step(1, estimate_ms=1_000))
    path = f"/checks/{JOB}"
    return sim.request(
        sim.nodes[name], lambda token: Submit(token, "host.example", path, KEY, submitted)
    )


def test_refused_job_shows_reason_and_retry_time(tmp_path):
    sim = started_simulation()
    for node in sim.nodes.values():
        table = node.reducer.table
        table.leader = Leadership(
            9, "entry-9", 1, wall_ms=sim.now.wall_ms, backlog_ms={"pool-a": 60_000}
        )
    token = submit(sim)
    sim.run(50)
    assert sim.replies[token].status == 429
    trace = build_trace(JOB, write_logs(sim, tmp_path))
    (line,) = [line for line in trace.lines if line.event == "job_refused"]
    assert line.fields["reason"] == "pool_full"
    assert line.fields["retry_ms"] > 0
    assert trace.missing == ()


def test_job_of_a_failed_leader_shows_the_change_of_leader(tmp_path):
    sim = started_simulation()
    for worker in sim.workers.values():
        worker.work_ms = 4_000
    follower = next(name for name, node in sim.nodes.items() if node is not sim.leader())
    submit(sim, follower)
    sim.run(500)
    sim.kill(sim.leader().name)
    sim.run(8_000)
    trace = build_trace(JOB, write_logs(sim, tmp_path))
    order = event_names(trace)
    assert order.index("runs_planned") < order.index("leadership_started")
    assert order.index("leadership_started") < order.index("job_ended")


def test_job_on_failing_workers_shows_each_failed_run(tmp_path):
    sim = started_simulation()
    for worker in sim.workers.values():
        worker.fails_all = True
    submit(sim)
    sim.run(20_000)
    trace = build_trace(JOB, write_logs(sim, tmp_path))
    failed = [line for line in trace.lines if line.fields.get("how") == "failed"]
    assert len(failed) == 3
    assert trace.lines[-1].fields["outcome"] == "failed"


def test_job_with_a_crashing_task_shows_the_crashes_and_the_end(tmp_path):
    sim = started_simulation(workers=4, nodes=5)
    sim.crashing_tasks.add(TaskId(JOB, 0, 0, 0))
    submit(sim)
    sim.run(500)
    sim.kill(sim.leader().name)
    sim.run(20_000)
    trace = build_trace(JOB, write_logs(sim, tmp_path))
    order = event_names(trace)
    assert order.index("runs_suspected") < order.index("leadership_started", 1)
    assert order.index("run_isolated") < order.index("task_given_up") < order.index("job_ended")
    (given_up,) = [line for line in trace.lines if line.event == "task_given_up"]
    suspected = [line for line in trace.lines if line.event == "runs_suspected"]
    assert given_up.fields["worker"] == suspected[-1].fields["worker"]
    assert trace.lines[-1].fields["outcome"] == "failed"


def test_missing_logs_are_named(tmp_path):
    sim = started_simulation()
    follower = next(name for name, node in sim.nodes.items() if node is not sim.leader())
    submit(sim, follower)
    sim.run(500)
    paths = [path for path in write_logs(sim, tmp_path) if follower not in path.name]
    trace = build_trace(JOB, paths)
    assert [text.split(":")[0] for text in trace.missing] == [
        "the entry that accepted the job",
        "the end of the job",
    ]
    assert build_trace("ffff", paths).missing == ("no file has a line about ffff",)


def test_command_prints_lines_in_order(tmp_path):
    sim = started_simulation()
    submit(sim)
    sim.run(4_000)
    files = [str(path) for path in write_logs(sim, tmp_path)]
    result = CliRunner().invoke(app, ["--entry", "127.0.0.1:1", "trace", JOB, *files])
    assert result.exit_code == 0
    times = [int(line.split()[0]) for line in result.stdout.splitlines()]
    assert times == sorted(times)
    assert "job_ended" in result.stdout


@pytest.mark.parametrize("text", ["", "{}", '{"ms": 1}', '{"ms": "x", "node": [], "event": 3}'])
def test_unreadable_lines_are_skipped(tmp_path, text):
    path = tmp_path / "a.log"
    path.write_text(f"{JOB} {text}")
    build_trace(JOB, [path])
