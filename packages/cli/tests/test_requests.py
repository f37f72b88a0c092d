"""Commands for callers: one id over all attempts, and no outcome reported as another."""

import json

import pytest
from entry_fake import (
    DROP,
    NOT_CURRENT,
    closed_address,
    done,
    ended,
    plain,
    refusal,
    request_id_of,
    waiting,
)

SUBMIT = "POST /v1/services/quoting/requests"
RESULT = "GET /v1/services/quoting/requests/"
CANCEL = "DELETE /v1/services/quoting/requests/"
BUSY = refusal(429, "overloaded", outcome="not_run")
DENIED = refusal(403, "forbidden", outcome="not_run")
NOT_RUN = ended(503, "not_run")
FAILED = ended(502, "failed")
LOST = ended(504, "unknown")
CANCELLED = ended(409, "cancelled")
ABSENT = refusal(404, "not_found")
STOPPED = refusal(504, "unknown", outcome="unknown")
UNTYPED = plain({}, 503)
OTHER = done(b"other", Request_Id="0190")
GOOD = done(b"quote 7")

# Each entry: answers of two entries to the submission, then to the look-up, the exit status and
# the number of submissions.
SUBMISSIONS = {
    "done": ([GOOD], [GOOD], [], 0, 1),
    "first entry lost": ([DROP], [GOOD], [], 0, 2),
    "first entry not current": ([NOT_CURRENT], [GOOD], [], 0, 2),
    "first entry busy": ([BUSY], [GOOD], [], 0, 2),
    "first entry stopped": ([STOPPED], [GOOD], [], 0, 2),
    "altered answer": ([done(b"x", Repr_Digest="sha-256=:AAAA:")], [GOOD], [], 0, 2),
    "malformed digest": ([done(b"x", Repr_Digest="sha-256=!")], [GOOD], [], 0, 2),
    "no digest": ([done(b"x", Repr_Digest="")], [GOOD], [], 0, 2),
    "no id": ([done(b"x", Request_Id="")], [GOOD], [], 0, 2),
    "crossed answer": ([OTHER], [GOOD], [], 0, 2),
    "truncated answer": ([done(b"x", Content_Length="9")], [GOOD], [], 0, 2),
    "not run": ([NOT_RUN], [GOOD], [], 1, 1),
    "denied": ([DENIED], [GOOD], [], 1, 1),
    "nonsense types": ([plain({"kind": [], "outcome": {}}, 400)], [GOOD], [], 0, 2),
    "nobody current": ([NOT_CURRENT], [NOT_CURRENT], [], 1, 2),
    "lost, then not run": ([DROP], [NOT_RUN], [], 3, 2),
    "lost, then denied": ([DROP], [DENIED], [DENIED], 3, 2),
    "lost, then not current": ([DROP], [NOT_CURRENT], [NOT_CURRENT], 3, 6),
    "untyped, then denied": ([UNTYPED], [DENIED], [ABSENT], 3, 2),
    "lost, and the record says not run": ([DROP], [NOT_CURRENT], [NOT_RUN], 1, 6),
    "lost, and the record says done": ([DROP], [NOT_CURRENT], [GOOD], 0, 6),
    "always lost": ([DROP], [DROP], [], 3, 6),
    "lost once everywhere": ([DROP, GOOD], [DROP], [], 0, 3),
    "ran and failed": ([FAILED], [GOOD], [], 1, 1),
    "unknown": ([LOST], [LOST], [], 3, 6),
    "waits, then done": ([waiting()], [GOOD], [waiting(), DROP, NOT_CURRENT, GOOD], 0, 1),
    "waits, then unknown": ([waiting()], [GOOD], [LOST], 3, 1),
    "waits, then failed": ([waiting()], [GOOD], [FAILED], 1, 1),
    "waits, and is lost with its holder": ([waiting(), GOOD], [GOOD], [ABSENT], 0, 2),
    "waits, is lost, then denied": ([waiting(), DENIED], [GOOD], [ABSENT], 3, 3),
    "waits, and is never found": ([waiting()], [GOOD], [ABSENT], 3, 3),
}


@pytest.mark.parametrize("case", SUBMISSIONS)
def test_submission(entries, run, case):
    """Guards against a repeated run, and against `not run` for a request that may have run."""
    first, second, results, status, count = SUBMISSIONS[case]
    look_up = {RESULT: results or [LOST]}
    fakes = entries({SUBMIT: first, **look_up}, {SUBMIT: second, **look_up})
    ran = run([fake.address for fake in fakes], "submit", "quoting", "--wait", "1")
    assert ran.exit_code == status, ran.output
    calls = [call for fake in fakes for call in fake.calls if call.method == "POST"]
    ids = {request_id_of(call) for call in calls}
    assert (len(calls), len(ids)) == (count, 1)
    request = f"quoting/{ids.pop()}"
    assert ran.stderr.splitlines()[0] == f"request: {request}"
    if status == 0:
        assert ran.stdout_bytes == b"quote 7"
    assert ("not_run" in ran.output) == (status == 1 and "failed" not in case)
    assert (f"fescuecrank result {request}" in ran.stderr) == (status == 3)


def test_submission_carries_its_options(entries, run, tmp_path):
    """Guards against a declared size or the key being left out, which changes placement."""
    (fake,) = entries({SUBMIT: [GOOD]})
    body = tmp_path / "body"
    body.write_bytes(b"\x00\xff")
    options = ["--class", "archival", "--idempotent", "--memory-mb", "64", "--run-ms", "9"]
    run([fake.address], "submit", "quoting", "--body", str(body), *options, env={KEY: "k1.s"})
    (call,) = fake.calls
    assert call.body == b"\x00\xff"
    assert call.headers["Authorization"] == "Bearer k1.s"
    sent = {"Request-Class": "archival", "Request-Idempotent": "true", "Need-Memory-Mb": "64"}
    assert sent.items() <= dict(call.headers).items()
    assert call.headers["Expected-Run-Ms"] == "9"
    assert "Need-Slots" not in call.headers


KEY = "FESCUECRANK_KEY"
# Each entry: command, script, exit status and a part of the output.
QUESTIONS = {
    "result": ("result", {RESULT: [GOOD]}, 0, "quote 7"),
    "result waits": ("result", {RESULT: [waiting()]}, 3, "behind 3 requests"),
    "result unknown": ("result", {RESULT: [LOST]}, 3, "fescuecrank result quoting/r1"),
    "result denied": ("result", {RESULT: [DENIED]}, 1, "forbidden"),
    "result absent": ("result", {RESULT: [ABSENT]}, 1, "because not_found"),
    "result not current": ("result", {RESULT: [NOT_CURRENT]}, 1, "because unavailable"),
    "result lost": ("result", {RESULT: [DROP]}, 3, "fescuecrank result quoting/r1"),
    "result late": ("result", {RESULT: [refusal(504, "timeout")]}, 3, "timeout"),
    "result not run": ("result", {RESULT: [NOT_RUN]}, 1, "not_run"),
    "cancelled": ("cancel", {CANCEL: [CANCELLED]}, 0, "cancelled"),
    "cancelled after a lost answer": ("cancel", {CANCEL: [DROP, CANCELLED]}, 0, "cancelled"),
    "cancel not current": ("cancel", {CANCEL: [NOT_CURRENT]}, 1, "because unavailable"),
    "cancelled later": ("cancel", {CANCEL: [waiting()], RESULT: [CANCELLED]}, 0, "cancelled"),
    "cancelled too late": ("cancel", {CANCEL: [GOOD]}, 1, "too late"),
    "cancel denied": ("cancel", {CANCEL: [DENIED]}, 1, "forbidden"),
    "cancel lost": ("cancel", {CANCEL: [DROP]}, 3, "ask again"),
    "explain": ("explain", {RESULT: [waiting()]}, 0, "behind 3 requests"),
}


@pytest.mark.parametrize("case", QUESTIONS)
def test_question_about_a_request(entries, run, case):
    """Guards against a refused look-up being shown as the outcome of the request."""
    command, script, status, shown = QUESTIONS[case]
    (fake,) = entries(script)
    ran = run([fake.address], command, "quoting/r1")
    assert ran.exit_code == status, ran.output
    assert shown in ran.output
    assert ("not_run" in ran.output) == (case == "result not run")


def test_json_output_holds_the_whole_answer(entries, run):
    """Guards against a binary body being damaged by text output."""
    (fake,) = entries({RESULT: [done(b"\xff\x00")]})
    ran = run([fake.address], "--output", "json", "result", "quoting/r1")
    assert json.loads(ran.stdout)["body_base64"] == "/wA="


@pytest.mark.parametrize("command", ["submit quoting", "result a/b", "cancel a/b", "status"])
def test_no_entry_can_be_reached(run, command):
    """Guards against an unreachable fleet being taken for a refusal or an unknown outcome."""
    ran = run([closed_address(), closed_address()], *command.split())
    assert ran.exit_code == 4, ran.output
