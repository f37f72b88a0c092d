"""Tests of the translation of the platform's names, formats and calls."""

import asyncio
import struct

import attrs
import orjson
import pytest
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_platform import request_format, settings, store, worker_client
from fescuecrank_platform.configuration import decode_configuration
from fescuecrank_platform.fleet_client import HttpFleetClient
from fescuecrank_platform.settings import Endpoints
from fescuecrank_platform.worker_list import decode_workers
from fescuecrank_scheduler import effects
from fescuecrank_scheduler.effects import Reply
from fescuecrank_scheduler.events import (
    CallResult,
    Cancel,
    ClockReading,
    Lookup,
    OrderResult,
    StoreResult,
    Submit,
    Topic,
)
from fescuecrank_scheduler.jobs import TaskId
from fescuecrank_scheduler.records import Record, StoredRecord
from fescuecrank_service.interfaces import OffsetExpired
from hypothesis import given
from hypothesis import strategies as st
from platform_builders import ENDPOINTS, FakeHttpClient, Response, ignore_progress

JOB = "5c0e7a21d94b36f8"
TASK = TaskId(JOB, 0, 1, 17)


def failure(kind=FailureKind.TIMEOUT):
    return Failure(kind, "step", "peer", "no answer")


class TestSettings:
    """The settings file."""

    TEXT = """
node_name: "edge-1"
zone: "dc-1"
listen_addrs: {front: "10.0.0.1:1", ready: "10.0.0.1:2"}
platform: {address: "10.0.0.9:3"}
cloud: {address: "10.0.0.8:4"}
bounds: {hold_max_ms: 5000, maintenance_s: 2.5}
unknown_field: 1
"""

    def read(self, tmp_path, text):
        path = tmp_path / "settings.yaml"
        path.write_text(text)
        return settings.read_settings(path)

    def test_fields_are_typed_and_unknown_ones_are_ignored(self, tmp_path):
        cfg = self.read(tmp_path, self.TEXT).ok_value
        assert (cfg.node, cfg.data_centre, cfg.store_address) == ("edge-1", "dc-1", "10.0.0.9:3")
        assert cfg.limits().lease_ms == 5_000
        assert cfg.limits().maintenance_ms == 2_500

    @pytest.mark.parametrize(
        ("bounds", "expected_ms"),
        [("", 3_000), ("contact_ms: 5000, ", 5_000), ("contact_ms: 0, ", 1_500)],
    )
    def test_age_of_a_capacity_follows_the_bounds(self, tmp_path, bounds, expected_ms):
        """Workers that report more rarely than by default must remain usable."""
        text = self.TEXT.replace("bounds: {", "bounds: {" + bounds)
        assert self.read(tmp_path, text).ok_value.limits().max_entry_age_ms == expected_ms
        slow = self.read(tmp_path, text + "heartbeat_ms: 4000\n").ok_value
        assert slow.limits().max_entry_age_ms == expected_ms + 2_500

    @pytest.mark.parametrize(
        ("old", "new", "expected"),
        [
            ('zone: "dc-1"', "zone: 7", "zone"),
            ("hold_max_ms: 5000", "hold_max_ms: soon", "bounds.hold_max_ms"),
            ('platform: {address: "10.0.0.9:3"}', "platform: {}", "platform.address"),
            ("node_name", "{", "settings.yaml"),
            ("hold_max_ms: 5000", "hold_max_ms: 0", "line 7: field bounds.hold_max_ms"),
            ("hold_max_ms: 5000", "hold_max_ms: .inf", "line 7: field bounds.hold_max_ms"),
            ("hold_max_ms: 5000", "hold_max_ms: true", "line 7: field bounds.hold_max_ms"),
            ("hold_max_ms: 5000", "visible_ms: -1", "line 7: field bounds.visible_ms"),
        ],
    )
    def test_error_names_file_and_field(self, tmp_path, old, new, expected):
        read = self.read(tmp_path, self.TEXT.replace(old, new))
        assert expected in str(read.err_value)
        assert "settings.yaml" in str(read.err_value)


def test_configuration_is_translated_to_the_projects_names():
    config = {
        "version": 7,
        "routes": [
            {
                "name": "r",
                "host": "h",
                "path_prefix": "/p/",
                "backend": "b",
                "slo_ms": 600,
                "priority": 1,
                "max_attempts": 4,
                "stretch": 1.6,
                "public": True,
            }
        ],
        "backends": [{"name": "b", "admission_check": True, "standby": True}],
        "tenants": [{"name": "t", "api_keys": ["k"], "weight": 25, "cap": {"cpu": 9}}],
    }
    wave = {"wave": 1, "machines": ["m"], "duration_s": 20, "cap": 1}
    values = {"config": orjson.dumps(config), "wave/1": orjson.dumps(wave)}
    configuration = decode_configuration(values).ok_value
    decoded, waves = configuration.config, configuration.waves
    queue = decoded.queue_at("h", "/p/x")
    assert (queue.pool, queue.objective_ms, queue.is_open) == ("b", 600, True)
    assert decoded.pools["b"].standby
    assert decoded.team_for_key("k").limit.cpu == 9
    assert (waves[0].duration_ms, waves[0].cap) == (20_000, 1)


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b'{"routes": []}', b'{"version": "x"}'])
def test_unreadable_configuration_is_an_error(value):
    assert decode_configuration({"config": value}).is_err()


class TestWorkerList:
    """Entries that workers write, and malformed ones of other writers."""

    ENTRY = {
        "backend": "b",
        "address": "10.0.0.1:80",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 16_000, "mem_mb": 1},
        "labels": ["a", "r1"],
        "born": 5,
    }

    def read(self, value):
        raw = value if isinstance(value, bytes) else orjson.dumps(value)
        return decode_workers((StoredRecord(0, Record("i-1", raw)),), complete=False)

    def test_entry_is_decoded(self):
        (entry,) = self.read(self.ENTRY).entries
        assert (entry.id, entry.pool, entry.ready, entry.started_ms) == ("i-1", "b", True, 5)

    def test_empty_value_removes_the_worker(self):
        assert self.read(b"").removed == ("i-1",)

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "dancing"},
            {"capacity": 5},
            {"capacity": {"cpu": "many"}},
            {"address": 7},
            {"address": "nowhere"},
            {"labels": [1]},
            {"backend": None},
            {"born": "today"},
        ],
    )
    def test_malformed_entry_is_skipped(self, change):
        read = self.read(self.ENTRY | change)
        assert read.entries == ()
        # It replaced the entry before it, so the worker is not in the list any more.
        assert read.removed == ("i-1",)
        assert [each.field for each in read.rejected] == list(change)

    @given(st.binary(max_size=60))
    def test_arbitrary_value_raises_no_exception(self, value):
        self.read(value)


class TestRequests:
    """Callers' requests and the responses to them."""

    HEADERS = {"Host": "h", "Authorization": "Bearer key"}

    def decode(self, method="POST", body=b"", headers=None):
        platform_format = request_format.PlatformRequestFormat()
        return platform_format.decode(1, method, "/p/" + JOB, headers or self.HEADERS, body)

    def test_methods_are_mapped_to_requests(self):
        assert isinstance(self.decode("GET"), Lookup)
        assert isinstance(self.decode("DELETE"), Cancel)
        assert self.decode("PUT").status == 405
        assert self.decode("GET", headers={"Host": "h"}).key is None

    def test_job_is_decoded(self):
        steps = [
            {"count": 2, "cpu": 500, "affinity": "r1"},
            {"count": 1, "after": [0], "long_running": True, "may_miss": 1},
        ]
        body = orjson.dumps({"spec": "s", "steps": steps, "repeat_count": 3, "first_ms": 9})
        job = self.decode(body=body).job
        assert job.steps[0].affinity == "r1"
        assert (job.steps[1].after, job.steps[1].may_miss) == ((0,), 1)
        assert (job.schedule.repeat_count, job.schedule.first_ms) == (3, 9)

    @pytest.mark.parametrize(
        "fields",
        [
            {},
            {"steps": []},
            {"steps": [{"after": [0]}]},
            {"steps": [{"count": 1, "after": [1]}, {"count": 1}]},
            {"steps": [{"cpu": -1}]},
            {"steps": [{"count": 0}]},
            {"steps": [{"affinity": 7}]},
            {"steps": [{"after": 3}]},
            {"spec": "x" * 4_001, "steps": [{}]},
            {"spec": 5, "steps": [{}]},
            {"steps": [{"count": 10**9}]},
            {"steps": [{"count": 10}], "repeat_count": 1_000},
            [],
        ],
    )
    def test_invalid_job_becomes_a_problem(self, fields):
        decoded = self.decode(body=orjson.dumps(fields))
        assert isinstance(decoded, Submit)
        assert decoded.job is None
        assert decoded.problem

    @given(st.binary(max_size=60))
    def test_arbitrary_body_raises_no_exception(self, body):
        self.decode(body=body)

    def test_refusal_has_a_retry_after_header(self):
        response = request_format.PlatformRequestFormat().encode(
            Reply(1, 429, {"error": "full"}, 2_100)
        )
        assert (response.status, response.headers["Retry-After"]) == (429, "3")


class TestStore:
    """Calls to the store."""

    def stream(self, *outcomes):
        http_client = FakeHttpClient(*outcomes)
        return http_client, store.LogStore(http_client, ENDPOINTS).shared_stream(Topic.INTAKE)

    @given(st.lists(st.tuples(st.text(max_size=20), st.binary(max_size=50)), max_size=5))
    def test_records_are_unchanged_by_encoding_and_decoding(self, rows):
        records = tuple(Record(key, value) for key, value in rows)
        read = store.decode_records(bytes(16) + store.encode_records(records), 40)
        assert tuple(stored.record for stored in read) == records
        assert [stored.offset for stored in read] == list(range(40, 40 + len(records)))

    def test_truncated_record_is_an_error(self):
        body = bytes(16) + store.encode_records((Record("k", b"value"),))[:-1]
        with pytest.raises(ValueError, match="truncated"):
            store.decode_records(body, 0)

    @pytest.mark.parametrize(
        ("response", "result"),
        [
            (Response(200, b'{"offset": 4, "end": 5}'), StoreResult.STORED),
            (Response(409), StoreResult.FENCED),
            (Response(412), StoreResult.CONFLICT),
            (Response(503), StoreResult.REFUSED),
            (Response(429), StoreResult.REFUSED),
            (Response(500), StoreResult.UNKNOWN),
            (failure(), StoreResult.UNKNOWN),
            (failure(FailureKind.UNAVAILABLE), StoreResult.REFUSED),
        ],
    )
    def test_append_response_becomes_a_result(self, response, result):
        http_client, stream = self.stream(response)
        outcome = asyncio.run(stream.append((Record("k", b"v"),), "p q", 3, 9, 7, 100))
        assert outcome.result is result
        query = http_client.calls[0][2]
        assert "at=7" in query
        assert "producer=p%20q&epoch=3&sequence=9" in query

    def test_append_is_not_sent_again_by_the_client(self):
        """The refusal of a second copy would hide that the first one may have been carried out."""
        http_client, stream = self.stream(Response(200, b'{"offset": 4, "end": 5}'))
        asyncio.run(stream.append((Record("k", b"v"),), "p", 3, 9, None, 100))
        assert http_client.resent == [False]

    def test_read_returns_page_expiry_or_failure(self):
        body = struct.pack(">QQ", 9, 3) + store.encode_records((Record("k", b"v"),))
        _, stream = self.stream(Response(200, body))
        page = asyncio.run(stream.read(8, 100, 64, ignore_progress)).ok_value
        assert (page.records[0].offset, page.end_offset) == (8, 9)
        _, stream = self.stream(Response(410))
        assert asyncio.run(stream.read(8, 100, 64, ignore_progress)).ok_value == OffsetExpired()
        _, stream = self.stream(Response(503))
        assert asyncio.run(stream.read(8, 100, 64, ignore_progress)).is_err()

    @given(st.integers(0, 120))
    def test_read_that_ends_early_keeps_the_records_that_arrived(self, size):
        # Each attempt at a long read lost all that had arrived, and began again.
        records = (Record("a", b"v" * 20), Record("b", b"w" * 30))
        whole = struct.pack(">QQ", 9, 3) + store.encode_records(records)
        lost = failure()
        _, stream = self.stream(Response(200, whole[:size], lost))
        outcome = asyncio.run(stream.read(7, 100, 64, ignore_progress))
        if size < 16:
            assert outcome.err_value == lost
            return
        page = outcome.ok_value
        kept = sum(size >= end for end in (16 + 26, len(whole)))
        assert tuple(stored.record for stored in page.records) == records[:kept]
        assert (page.end_offset, page.failure) == (9, lost)

    def test_store_that_gets_too_many_calls_is_told_from_one_that_is_down(self):
        # Readers call less often then.
        kinds = {}
        for status in (429, 503):
            _, stream = self.stream(Response(status))
            kinds[status] = asyncio.run(stream.read(8, 0, 64, ignore_progress)).err_value.kind
        assert kinds == {429: FailureKind.OVERLOADED, 503: FailureKind.UNAVAILABLE}

    def test_read_newest_returns_a_page(self):
        items = [{"key": "k", "value": "dg==", "offset": 4}]
        response = Response(200, orjson.dumps({"items": items, "has_more": True, "end": 6}))
        http_client, stream = self.stream(response)
        page = asyncio.run(stream.read_newest("a/b", ignore_progress)).ok_value
        assert page.records[0].record == Record("k", b"v")
        assert (page.has_more, page.end_offset) == (True, 6)
        assert "after=a%2Fb" in http_client.calls[0][2]

    def test_reloaded_settings_change_the_address(self):
        endpoints = Endpoints("old:1", "m:1", "a:1")
        http_client = FakeHttpClient(Response(503))
        stream = store.LogStore(http_client, endpoints).shared_stream(Topic.INTAKE)
        endpoints.store = "new:1"
        asyncio.run(stream.read(0, 0, 64, ignore_progress))
        assert http_client.calls[0][0] == "new:1"


class TestWorkerClient:
    """Calls to workers."""

    START = effects.StartRun("i-1", "10.0.0.1:80", 7, TASK, 2, "spec", 486_000, "cp", "", 500)

    def start(self, response):
        http_client = FakeHttpClient(response)
        done = asyncio.run(worker_client.HttpWorkerClient(http_client).start_run(self.START))
        return http_client, done.result

    def test_start_sends_task_run_epoch_and_worker(self):
        http_client, result = self.start(Response(200))
        _, method, path, body, headers = http_client.calls[0]
        assert (method, path) == ("POST", "/api/run-start")
        assert orjson.loads(body) == {
            "task": f"{JOB}.0.1.17",
            "run": 2,
            "spec": "spec",
            "deadline_ms": 486_000,
            "fencing_token": 7,
            "checkpoint": "cp",
        }
        assert headers["X-Expect-Instance"] == "i-1"
        assert result is CallResult.OK

    @pytest.mark.parametrize(
        ("response", "result"),
        [
            (Response(409, b'{"reason": "fence"}'), CallResult.FENCED),
            (Response(409, b'{"reason": "old"}'), CallResult.OLD),
            (Response(409, b'{"reason": "late"}'), CallResult.LATE),
            (Response(409, b'{"reason": "room"}'), CallResult.NO_ROOM),
            (Response(409, b'{"reason": "ticket"}'), CallResult.BAD_TICKET),
            (Response(409, b"?"), CallResult.INVALID),
            (Response(421), CallResult.OTHER_INCARNATION),
            (Response(503), CallResult.UNHEALTHY),
            (Response(500), CallResult.NO_ANSWER),
            (failure(), CallResult.NO_ANSWER),
            (failure(FailureKind.UNAVAILABLE), CallResult.REFUSED),
        ],
    )
    def test_responses_become_results(self, response, result):
        assert self.start(response)[1] is result

    def test_calls_are_not_sent_to_the_next_incarnation_of_a_worker(self):
        """A connection that is reused is closed when the worker crashes; another copy of the call
        would be carried out by its next incarnation, or be refused while the first one is not.
        """
        http_client = FakeHttpClient(Response(200, b"{}"))
        client = worker_client.HttpWorkerClient(http_client)
        hold = effects.HoldWorker("i-1", "10.0.0.1:80", 7, 57, 486_000, 1_000, 3)
        stop = effects.StopRun("i-1", "10.0.0.1:80", 7, TASK, 2, 500)
        pace = effects.PaceRun("i-1", "10.0.0.1:80", 7, TASK, 2, 50)
        for call in (
            client.start_run(self.START),
            client.hold_worker(hold),
            client.stop_run(stop),
            client.pace_run(pace),
        ):
            asyncio.run(call)
        assert http_client.resent == [False] * 4

    @pytest.mark.parametrize(
        ("response", "clock_ms"),
        [
            (Response(200, b'{"clock_ms": 482113}'), 482_113),
            (Response(409, b'{"clock_ms": 482113, "reason": "old"}'), 482_113),
            (Response(200, b'{"clock_ms": "482113"}'), None),
            (Response(200, b"[]"), None),
            (Response(503, b""), None),
            (failure(), None),
        ],
    )
    def test_answers_to_orders_state_the_clock(self, response, clock_ms):
        """A start that a restarted worker answers shows the restart before the next hold does."""
        client = worker_client.HttpWorkerClient(FakeHttpClient(response))
        start = attrs.evolve(self.START, sent_ms=40)
        stop = effects.StopRun("i-1", "10.0.0.1:80", 7, TASK, 2, 500, sent_ms=40)
        pace = effects.PaceRun("i-1", "10.0.0.1:80", 7, TASK, 2, 50, sent_ms=40)
        clock = None if clock_ms is None else ClockReading(clock_ms, 40)
        for call in (client.start_run(start), client.stop_run(stop), client.pace_run(pace)):
            assert asyncio.run(call).clock == clock

    def test_hold_returns_running_and_ended_runs(self):
        fields = {
            "clock_ms": 482_113,
            "born": 5,
            "running": [[f"{JOB}.0.1.17", 2, "cp", 41, 900]],
            "finished": [[58, f"{JOB}.0.1.9", 1, "done", ""]],
        }
        http_client = FakeHttpClient(Response(200, orjson.dumps(fields)))
        hold = effects.HoldWorker("i-1", "10.0.0.1:80", 7, 57, 486_000, 1_000, 3)
        done = asyncio.run(worker_client.HttpWorkerClient(http_client).hold_worker(hold))
        assert done.number == 3
        assert done.reply.running[0].task == TASK
        assert (done.reply.running[0].percent, done.reply.running[0].measurement) == (41, 900)
        assert (done.reply.ended[0].number, done.reply.ended[0].end_reason) == (58, "done")

    @pytest.mark.parametrize(("count", "truncated"), [(499, False), (500, True)])
    def test_hold_with_the_most_ends_that_are_listed_may_leave_out_others(self, count, truncated):
        rows = [[number, f"{JOB}.0.1.9", 1, "done", ""] for number in range(1, count + 1)]
        fields = {"clock_ms": 1, "born": 5, "running": [], "finished": rows}
        http_client = FakeHttpClient(Response(200, orjson.dumps(fields)))
        hold = effects.HoldWorker("i-1", "10.0.0.1:80", 7, 0, None, 0, 3)
        done = asyncio.run(worker_client.HttpWorkerClient(http_client).hold_worker(hold))
        assert done.reply.truncated is truncated

    def test_malformed_hold_response_is_invalid(self):
        http_client = FakeHttpClient(Response(200, b'{"clock_ms": 1, "running": [["x"]]}'))
        hold = effects.HoldWorker("i-1", "10.0.0.1:80", 7, 57, None, 0, 3)
        done = asyncio.run(worker_client.HttpWorkerClient(http_client).hold_worker(hold))
        assert done.result is CallResult.INVALID


class TestFleetClient:
    """Calls for machines and advice."""

    def fleet_client(self, *outcomes):
        http_client = FakeHttpClient(*outcomes)
        return http_client, HttpFleetClient(http_client, ENDPOINTS, "edge-1")

    def test_all_pages_of_the_list_are_read(self):
        row = {"machine": "m1", "pool": "b", "state": "up", "id": "i-1"}
        pages = [
            Response(200, orjson.dumps({"machines": [row], "next_token": "t"})),
            Response(200, orjson.dumps({"machines": [row | {"id": None}]})),
        ]
        http_client, fleet = self.fleet_client(*pages)
        rows = asyncio.run(fleet.list_machines())
        assert [row.worker for row in rows] == ["i-1", ""]
        assert http_client.calls[1][2] == "/api/machines?page_token=t"

    def test_incomplete_machine_list_is_discarded(self):
        _, fleet = self.fleet_client(Response(503))
        assert asyncio.run(fleet.list_machines()) is None

    @pytest.mark.parametrize(
        ("response", "result"),
        [
            (Response(200), OrderResult.OK),
            (Response(409, b'{"reason": "fence"}'), OrderResult.FENCED),
            (Response(409, b'{"reason": "busy"}'), OrderResult.BUSY),
            (Response(409, b'{"reason": "wave"}'), OrderResult.REJECTED),
            (Response(400), OrderResult.REJECTED),
            (Response(429), OrderResult.THROTTLED),
            (failure(), OrderResult.NO_ANSWER),
        ],
    )
    def test_orders_send_lease_holder_and_fencing_token(self, response, result):
        http_client, fleet = self.fleet_client(response)
        done = asyncio.run(fleet.maintain_machine(effects.MaintainMachine("m1", 4, 12)))
        assert done.result is result
        headers = http_client.calls[0][4]
        assert (headers["X-Lease-Holder"], headers["X-Fencing-Token"]) == ("edge-1", "12")
        assert http_client.resent == [False]

    def test_advice_returns_tickets(self):
        response = Response(200, b'{"good": [["i-1", "t"]], "validity_ms": 3000}')
        http_client, fleet = self.fleet_client(response)
        done = asyncio.run(fleet.request_advice(effects.Advise(JOB, 0, 1, ("i-1", "i-2"))))
        assert done.tickets == {"i-1": "t"}
        assert orjson.loads(http_client.calls[0][3])["step"] == f"{JOB}.0.1"
        _, fleet = self.fleet_client(Response(429))
        assert (
            asyncio.run(fleet.request_advice(effects.Advise(JOB, 0, 1, ("i-1",)))).tickets is None
        )
