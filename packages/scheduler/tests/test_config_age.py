"""What a process does with a configuration that may be old.

Entries that had missed a configuration during an outage answered 404 and 401 for its routes and
keys for 17 s, while others had it.
"""

import random

import pytest
from fescuecrank_core.clock import Instant
from fescuecrank_scheduler.config_age import ConfigAge, ConfigChecked
from fescuecrank_scheduler.effects import ForwardRequest, Reply
from fescuecrank_scheduler.events import ConfigRead, Lookup
from fescuecrank_scheduler.limits import Limits
from fescuecrank_scheduler.records import Leadership
from fescuecrank_scheduler.reducer import Reducer
from hypothesis import given
from hypothesis import strategies as st
from scheduler_builders import KEY, config, job

JOB = "a" * 16

LIMITS = Limits(max_config_age_ms=3_000)
CHECKED_MS = 10_000
OLD = Instant(CHECKED_MS + 3_001, 0)
RECENT = Instant(CHECKED_MS + 3_000, 0)


def make_reducer(leader_address=""):
    reducer = Reducer("entry-1", LIMITS, random.Random(1), "10.0.0.1:80")
    reducer.handle(ConfigRead(config(version=4), ()), Instant(CHECKED_MS, 0))
    reducer.handle(ConfigChecked(CHECKED_MS), Instant(CHECKED_MS, 0))
    if leader_address:
        reducer.table.leader = Leadership(1, "entry-2", 0, address=leader_address)
    reducer.intake.synced_ms = CHECKED_MS + 3_000
    return reducer


def ask(reducer, now, path=f"/checks/{JOB}", key=KEY, forwarded=False):
    req = Lookup(1, "host.example", path, key, forwarded=forwarded)
    return reducer.handle(req, now)


def status(effects):
    (reply,) = (effect for effect in effects if isinstance(effect, Reply))
    return reply.status


@pytest.mark.parametrize(("path", "key", "expected"), [("/no/x", KEY, 404), (None, "no-key", 401)])
def test_refusal_by_a_recent_configuration_is_final(path, key, expected):
    effects = ask(make_reducer("10.0.0.2:80"), RECENT, path or f"/checks/{JOB}", key)
    assert status(effects) == expected


@pytest.mark.parametrize(("path", "key"), [("/no/x", KEY), (None, "no-key"), (None, KEY)])
def test_request_is_passed_on_to_the_leader_if_the_configuration_is_too_old(path, key):
    effects = ask(make_reducer("10.0.0.2:80"), OLD, path or f"/checks/{JOB}", key)
    assert any(isinstance(effect, ForwardRequest) for effect in effects)
    assert not any(isinstance(effect, Reply) for effect in effects)


@pytest.mark.parametrize("forwarded", [False, True])
@pytest.mark.parametrize(("path", "key"), [("/no/x", KEY), (None, "no-key")])
def test_old_configuration_denies_no_route_and_no_key(path, key, forwarded):
    # Without a leader to ask, or as the leader that was asked.
    reducer = make_reducer("10.0.0.2:80" if forwarded else "")
    effects = ask(reducer, OLD, path or f"/checks/{JOB}", key, forwarded)
    assert status(effects) == 503
    (reply,) = (effect for effect in effects if isinstance(effect, Reply))
    assert reply.retry_after_ms


def test_old_configuration_still_serves_what_it_allows():
    reducer = make_reducer()
    reducer.table.jobs[JOB] = job(JOB)
    assert status(ask(reducer, OLD)) == 200


def test_age_counts_from_the_last_read_not_from_the_last_change():
    reducer = make_reducer()
    reducer.handle(ConfigChecked(CHECKED_MS + 2_500), Instant(CHECKED_MS + 2_600, 0))
    assert status(ask(reducer, OLD, "/no/x")) == 404


@given(read_ms=st.integers(0, 10_000), sent_ms=st.integers(0, 20_000), way_ms=st.integers(0, 500))
def test_decision_within_the_limit_knows_each_version_that_has_to_be_in_force(
    read_ms, sent_ms, way_ms
):
    age = ConfigAge(3_000, as_of_ms=read_ms)
    now = Instant(sent_ms + way_ms, 0)
    # Acknowledged before the request by more than the bound.
    acknowledged_ms = sent_ms - 3_001
    if not age.too_old(now):
        assert acknowledged_ms < read_ms
