"""Log lines about streams that fail or are read slowly."""

from fescuecrank_core.clock import ManualClock
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_service.stream_health import (
    LINE_INTERVAL_MS,
    MAX_REASONS,
    REMINDER_INTERVAL_MS,
    StreamHealth,
)
from fescuecrank_service.topic_reader import Reading
from service_builders import ListLogger


def failure(detail):
    return Failure(FailureKind.UNAVAILABLE, "store.read", "store", detail)


def make_health():
    clock, log = ManualClock(), ListLogger()
    return StreamHealth(clock, log), clock, log


def test_stream_that_fails_in_another_way_is_logged_with_the_count_of_each_way():
    # Only the first failure was logged: refusals by the store hid the time-outs that followed.
    health, clock, log = make_health()
    for detail in ["503"] * 20 + ["timeout"] * 3:
        health.on_failure("operators", failure(detail))
        clock.advance(100)
    (lost,) = log.fields_of("stream_lost")
    assert "503" in lost["reason"]
    (failing,) = log.fields_of("stream_failing")
    assert "timeout" in failing["reason"]
    health.on_success("operators")
    (regained,) = log.fields_of("stream_regained")
    assert (regained["failures"], regained["lost_ms"]) == (23, 2_300)
    assert sorted(regained["reasons"].values()) == [3, 20]


def test_lines_about_a_failing_stream_are_bounded():
    health, clock, log = make_health()
    duration_ms = 60_000
    for number in range(duration_ms // 50):
        health.on_failure("jobs", failure(f"error {number}"))
        clock.advance(50)
    health.on_success("jobs")
    assert len(log.fields_of("stream_lost")) == 1
    assert len(log.fields_of("stream_failing")) <= duration_ms // REMINDER_INTERVAL_MS + MAX_REASONS
    (regained,) = log.fields_of("stream_regained")
    assert len(regained["reasons"]) <= MAX_REASONS + 1
    assert sum(regained["reasons"].values()) == duration_ms // 50


def test_stream_without_an_outage_is_not_logged():
    health, _, log = make_health()
    health.on_success("jobs")
    assert log.lines == []


def test_long_read_says_how_far_it_has_got():
    health, clock, log = make_health()
    for step in range(31):
        health.on_reading(Reading("operators", 1, 1_000 * step, 5, 0))
        clock.advance(100)
    lines = log.fields_of("stream_reading")
    assert [line["received"] for line in lines] == [10_000, 20_000, 30_000]
    assert lines[1]["since_received"] == 10_000
    assert lines[1]["since_ms"] == LINE_INTERVAL_MS


def test_short_reads_one_after_the_other_are_not_a_long_read():
    # Refusals of 21 bytes, one after the other, were taken for one read.
    health, clock, log = make_health()
    for number in range(100):
        health.on_reading(Reading("operators", number, 21, 5, 0))
        clock.advance(200)
    assert log.lines == []
