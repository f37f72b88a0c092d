"""Repeated submissions of a job of which an earlier attempt may have been carried out.

Each test guards against REFUSED: a caller is told that its job never runs, and the job runs.
"""

import attrs
import pytest
from fescuecrank_scheduler import open_submissions
from fescuecrank_scheduler.effects import ForwardRequest, Reply, StoreIntake
from fescuecrank_scheduler.events import Forwarded, PeerAnswer, StoreResult, Submit
from fescuecrank_scheduler.intake import Intake
from fescuecrank_scheduler.job_table import JobTable
from fescuecrank_scheduler.limits import Limits
from fescuecrank_scheduler.open_submissions import OpenSubmissions
from fescuecrank_scheduler.records import Leadership, StoredRecord
from scheduler_builders import KEY, config, instant, job, step

JOB = "00000000000000aa"


def submit(token: int, **fields: object) -> Submit:
    return Submit(token, "host.example", f"/checks/{JOB}", KEY, job(JOB, step()), **fields)


def make_intake(leader: str = "", backlog_ms: int = 0) -> Intake:
    """Return the intake of a process whose copy of the store is current."""
    table = JobTable()
    backlog = {"pool-a": backlog_ms} if backlog_ms else {}
    table.leader = Leadership(
        1, "entry-2", 0, wall_ms=instant(0).wall_ms, address=leader, backlog_ms=backlog
    )
    intake = Intake(Limits(), table, "entry-1:80", config())
    intake.synced_ms = 0
    return intake


def send(intake: Intake, token: int) -> object:
    """Submit the job and return the last effect."""
    return intake.handle_request(submit(token), instant(100))[-1]


def status_of(effects: list) -> int:
    assert isinstance(effects[-1], Reply)
    return effects[-1].status


def lose_append(intake: Intake, token: int = 1) -> None:
    """Submit the job; its append gets no answer."""
    assert isinstance(send(intake, token), StoreIntake)
    assert status_of(intake.on_stored(token, StoreResult.UNKNOWN, instant(200))) == 504


def test_job_that_may_be_stored_is_not_refused_while_the_store_is_away():
    intake = make_intake()
    lose_append(intake)
    intake.store_failing = True
    assert send(intake, 2).status == 504


def test_job_that_may_be_stored_is_not_refused_for_a_full_pool():
    intake = make_intake()
    lose_append(intake)
    intake.table.leader = attrs.evolve(intake.table.leader, backlog_ms={"pool-a": 900_000})
    assert isinstance(send(intake, 2), StoreIntake)
    other = attrs.evolve(submit(3), path="/checks/00000000000000bb")
    assert intake.handle_request(other, instant(100))[-1].status == 429


def test_refusal_of_a_second_append_does_not_tell_of_the_first():
    intake = make_intake()
    lose_append(intake)
    assert isinstance(send(intake, 2), StoreIntake)
    assert status_of(intake.on_stored(2, StoreResult.REFUSED, instant(300))) == 504


def test_refusal_of_a_copy_that_waited_behind_another_is_not_passed_on():
    intake = make_intake()
    assert isinstance(send(intake, 1), StoreIntake)
    assert isinstance(send(intake, 2), StoreIntake)
    assert status_of(intake.on_stored(2, StoreResult.REFUSED, instant(200))) == 504
    assert status_of(intake.on_stored(1, StoreResult.REFUSED, instant(200))) == 503


def test_job_that_was_accepted_is_not_refused_before_its_record_is_read():
    intake = make_intake()
    send(intake, 1)
    assert status_of(intake.on_stored(1, StoreResult.STORED, instant(200))) == 200
    intake.store_failing = True
    assert send(intake, 2).status == 200


def test_id_of_a_deleted_job_can_be_used_again():
    # Guards against LOST: the caller would be told 200 for a job that nobody has stored.
    intake = make_intake()
    send(intake, 1)
    assert status_of(intake.on_stored(1, StoreResult.STORED, instant(200))) == 200
    assert send(intake, 2).status == 200
    intake.synced_ms = 300
    assert isinstance(send(intake, 3), StoreIntake)


def test_job_that_was_refused_for_certain_is_refused_again():
    intake = make_intake()
    send(intake, 1)
    assert status_of(intake.on_stored(1, StoreResult.REFUSED, instant(200))) == 503
    intake.store_failing = True
    assert send(intake, 2).status == 503


@pytest.mark.parametrize("status", [400, 401, 404, 413, 429, 503])
def test_refusal_of_a_peer_does_not_tell_of_an_earlier_request_to_it(status):
    intake = make_intake("entry-2:80")
    intake.store_failing = True
    assert isinstance(send(intake, 1), ForwardRequest)
    lost = Forwarded(1, None, sent=True)
    assert status_of(intake.on_forwarded(lost, instant(200))) == 504
    assert isinstance(send(intake, 2), ForwardRequest)
    refused = Forwarded(2, PeerAnswer(status, {}, None), sent=True)
    assert status_of(intake.on_forwarded(refused, instant(300))) == 504


def test_refusal_of_a_peer_that_got_the_only_copy_is_passed_on():
    intake = make_intake("entry-2:80")
    intake.store_failing = True
    send(intake, 1)
    refused = Forwarded(1, PeerAnswer(503, {}, 1_000), sent=True)
    assert status_of(intake.on_forwarded(refused, instant(200))) == 503


def test_old_configuration_is_no_reason_to_say_that_an_accepted_job_never_runs():
    intake = make_intake()
    lose_append(intake)
    intake.config = attrs.evolve(intake.config, queues=())
    intake.config_age.as_of_ms = -(10**6)
    assert send(intake, 2).status == 504


def test_job_is_forgotten_once_its_record_is_read():
    intake = make_intake()
    effect = send(intake, 1)
    intake.on_stored(1, StoreResult.UNKNOWN, instant(200))
    intake.table.apply(StoredRecord(0, effect.record))
    assert send(intake, 2).status == 200
    assert not intake.submissions.may_be_accepted("host.example", f"/checks/{JOB}")


def test_oldest_jobs_are_forgotten_first(monkeypatch):
    # Guards against memory that grows with every job whose caller gave up.
    monkeypatch.setattr(open_submissions, "MAX_OPEN_SUBMISSIONS", 2)
    submissions = OpenSubmissions()
    for path in ("/a", "/b", "/a", "/c"):
        submissions.begin("host", path)
    assert [submissions.may_be_accepted("host", path) for path in ("/a", "/b", "/c")] == [
        True,
        False,
        True,
    ]
