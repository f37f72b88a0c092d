"""Malformed messages from each side, decoded by the adapter.

Guards against one bad message that ends a process or leaves a call without an outcome.
"""

import asyncio

import orjson
import pytest
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_platform import request_format, store, worker_client
from fescuecrank_platform.configuration import decode_configuration
from fescuecrank_platform.fleet_client import HttpFleetClient
from fescuecrank_platform.worker_list import decode_workers
from fescuecrank_scheduler import effects
from fescuecrank_scheduler.events import CallResult, Topic
from fescuecrank_scheduler.jobs import TaskId
from fescuecrank_scheduler.records import Record, StoredRecord
from hypothesis import given
from hypothesis import strategies as st
from platform_builders import ENDPOINTS, FakeHttpClient, Response, ignore_progress

JOB = "5c0e7a21d94b36f8"
TASK = TaskId(JOB, 0, 1, 17)
START = effects.StartRun("i-1", "10.0.0.1:80", 7, TASK, 2, "spec", 486_000, "cp", "", 500)
HOLD = effects.HoldWorker("i-1", "10.0.0.1:80", 7, 57, None, 0, 3)

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=12,
)


def documents(*names: str):
    """Return bodies: documents with the named fields of any type, cut documents, other bytes."""
    known = st.fixed_dictionaries({}, optional={name: JSON_VALUES for name in names})
    encoded = (known | JSON_VALUES).map(orjson.dumps)
    cut = st.tuples(encoded, st.integers(0, 200)).map(lambda pair: pair[0][: pair[1]])
    return encoded | cut | st.binary(max_size=80)


def answer_hold(body: bytes):
    client = worker_client.HttpWorkerClient(FakeHttpClient(Response(200, body)))
    return asyncio.run(client.hold_worker(HOLD))


def fleet_client(body: bytes) -> HttpFleetClient:
    return HttpFleetClient(FakeHttpClient(Response(200, body)), ENDPOINTS, "edge-1")


def intake_stream(body: bytes):
    http_client = FakeHttpClient(Response(200, body))
    return store.LogStore(http_client, ENDPOINTS).shared_stream(Topic.INTAKE)


def submit(body: bytes):
    return request_format.PlatformRequestFormat().decode(1, "POST", "/q/1", {}, body)


@given(documents("clock_ms", "born", "running", "finished"))
def test_hold(body):
    done = answer_hold(body)
    assert (done.worker, done.number) == ("i-1", 3)
    assert (done.result is CallResult.OK) == (done.reply is not None)


@pytest.mark.parametrize(
    "row", [[5, 2, "cp", 41], [f"{JOB}.0.1.17", "2", "cp", 41], [f"{JOB}.0.1.17", 2, 1, 41]]
)
def test_hold_with_one_unreadable_row_is_not_used_at_all(row):
    # Without the row, its run would count as lost and be started again.
    fields = {"clock_ms": 1, "running": [[f"{JOB}.0.1.9", 1, "", 0], row]}
    assert answer_hold(orjson.dumps(fields)).result is CallResult.INVALID


@given(documents("reason"))
def test_rejected_start(body):
    client = worker_client.HttpWorkerClient(FakeHttpClient(Response(409, body)))
    assert isinstance(asyncio.run(client.start_run(START)).result, CallResult)


@given(documents("machines", "next_token"))
def test_list_of_machines(body):
    rows = asyncio.run(fleet_client(body).list_machines())
    assert rows is None or isinstance(rows, tuple)


@pytest.mark.parametrize("capacity", ["x", [1], {"cpu": "1"}])
def test_machine_with_an_unreadable_capacity(capacity):
    row = {"machine": "m1", "pool": "b", "state": "up", "id": "i-1", "capacity": capacity}
    assert asyncio.run(fleet_client(orjson.dumps({"machines": [row]})).list_machines()) is None


@given(documents("good", "validity_ms"))
def test_advice(body):
    call = effects.Advise(JOB, 0, 1, ("i-1",))
    assert asyncio.run(fleet_client(body).request_advice(call)).workers == ("i-1",)


@given(documents("address", "backend", "state", "capacity", "labels", "zone", "born"))
def test_entry_of_a_worker(body):
    read = decode_workers((StoredRecord(1, Record("i-1", body)),), complete=True)
    assert len(read.entries) + len(read.removed) <= 1


@given(documents("version", "routes", "backends", "tenants", "limits"), documents("wave"))
def test_configuration(config, wave):
    decode_configuration({"config": config, "wave/1": wave})


@given(documents("items", "has_more", "end"))
def test_newest_records(body):
    asyncio.run(intake_stream(body).read_newest(None, ignore_progress))


@given(st.binary(max_size=120))
def test_tail(body):
    asyncio.run(intake_stream(body).read(0, 10, 64, ignore_progress))


@given(st.binary(max_size=120))
def test_tail_that_ends_early(body):
    lost = Failure(FailureKind.TIMEOUT, "store.read", "store", "nothing arrived")
    client = FakeHttpClient(Response(200, body, lost))
    stream = store.LogStore(client, ENDPOINTS).shared_stream(Topic.INTAKE)
    asyncio.run(stream.read(0, 10, 64, ignore_progress))


@given(documents("spec", "steps", "repeat_count", "first_ms", "interval_ms"))
def test_submission(body):
    decoded = submit(body)
    assert (decoded.job is None) == bool(decoded.problem)


@pytest.mark.parametrize("body", [b"[" * 100_000, b"x" * 10_000_000, b'{"steps":' * 5_000])
def test_large_and_deeply_nested_submission(body):
    assert submit(body).job is None


@pytest.mark.parametrize("field", ["cpu", "mem_mb", "gpu", "count", "estimate_ms"])
def test_amounts_whose_sums_no_record_can_hold_are_refused(field):
    # One such job would make every append of the leader fail.
    step = {"count": 1, "cpu": 1, "estimate_ms": 1} | {field: 2**63}
    decoded = submit(orjson.dumps({"spec": "", "steps": [step]}))
    assert (decoded.job, field in decoded.problem) == (None, True)


@pytest.mark.parametrize(
    ("table", "kind"), [("routes", "route"), ("backends", "pool"), ("tenants", "team")]
)
@pytest.mark.parametrize("broken", [{}, 7, {"name": 7}, None])
def test_unreadable_entry_of_a_configuration_leaves_the_others_in_force(table, kind, broken):
    config = {
        "version": 4,
        "routes": [{"name": "q", "host": "h", "path_prefix": "/q/", "backend": "b"}],
        "backends": [{"name": "b"}],
        "tenants": [{"name": "t", "api_keys": ["k"]}],
    }
    config[table] = [broken, *config[table]]
    waves = {"wave/1": b'{"wave": 1', "wave/2": b'{"wave": 2, "machines": ["m"]}'}
    read = decode_configuration({"config": orjson.dumps(config)} | waves).ok_value
    assert read.config.queue_at("h", "/q/1").name == "q"
    assert (list(read.config.pools), read.config.team_for_key("k").name) == (["b"], "t")
    assert [wave.number for wave in read.waves] == [2]
    assert [problem.split()[0] for problem in read.problems] == [kind, "wave"]
