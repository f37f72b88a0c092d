"""Appends, stream reads, log lines, file changes and HTTP of the service."""

import asyncio
import json
import os

import pytest
from fescuecrank_core.clock import ManualClock
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_scheduler.effects import ForwardRequest, Reply, StoreIntake, StoreProgress
from fescuecrank_scheduler.events import (
    Forwarded,
    IntakeStored,
    Lookup,
    PeerAnswer,
    ProgressStored,
    StoreHealth,
    StoreResult,
)
from fescuecrank_scheduler.records import Record, StoredRecord
from fescuecrank_service.appenders import (
    ATTEMPT_TIMEOUTS_MS,
    CUT_OFF_DEADLINE_MS,
    AttemptTimeouts,
    IntakeAppender,
    ProgressAppender,
)
from fescuecrank_service.file_watch import FileWatcher
from fescuecrank_service.forwarding import forward
from fescuecrank_service.http_client import HttpClient
from fescuecrank_service.http_frontend import FORWARDED_HEADER, HttpFrontend, retry_after_seconds
from fescuecrank_service.interfaces import AppendOutcome, NewestPage, OffsetExpired, Page, Stream
from fescuecrank_service.log_lines import MAX_LINES_PER_SECOND, JsonLineLogger
from fescuecrank_service.topic_reader import TopicReader
from result import Err, Ok
from service_builders import ListLogger, MinimalRequestFormat, free_port, until
from tornado.httputil import HTTPHeaders, HTTPServerRequest, RequestStartLine

RECORD = Record("j/1", b"x")
READ_FAILURE = Failure(FailureKind.TIMEOUT, "store.read", "store", "timed out")


class ScriptedStream(Stream):
    """Returns prepared results of appends and reads; the last one of each list repeats."""

    def __init__(self, appends=(), reads=(), newest=()):
        self.appends, self.reads, self.pages = list(appends), list(reads), list(newest)
        self.calls = []

    @staticmethod
    def next_result(results):
        return results.pop(0) if len(results) > 1 else results[0]

    async def append(self, records, producer, epoch, sequence, expected_end_offset, timeout_ms):
        self.calls.append((len(records), epoch, sequence))
        await asyncio.sleep(0.002)
        result = self.next_result(self.appends)
        if isinstance(result, Exception):
            raise result
        return AppendOutcome(result, 7)

    async def read(self, from_offset, wait_ms, max_kb, on_progress):
        self.calls.append(("read", from_offset))
        await asyncio.sleep(0.002)
        return self.next_result(self.reads)

    async def read_newest(self, after_key, on_progress):
        self.calls.append(("newest", after_key))
        await asyncio.sleep(0.002)
        return self.next_result(self.pages)


def make_intake_appender(stream):
    posted = []
    return IntakeAppender(stream, "entry-1", ManualClock(), posted.append, ListLogger()), posted


class TestIntakeAppender:
    """Records of callers' requests."""

    def run(self, stream, count=1, clock_step_ms=0):
        async def scenario():
            clock = ManualClock()
            posted = []
            appender = IntakeAppender(stream, "entry-1", clock, posted.append, ListLogger())
            for token in range(count):
                appender.add(StoreIntake(token, RECORD))
            stored = [event for event in posted if isinstance(event, IntakeStored)]
            while len(stored) < count:
                clock.advance(clock_step_ms)
                await asyncio.sleep(0.002)
                stored = [event for event in posted if isinstance(event, IntakeStored)]
            return posted, [event.result for event in stored]

        return asyncio.run(scenario())

    def test_requests_that_arrive_together_share_an_append(self):
        stream = ScriptedStream([StoreResult.STORED])
        _, results = self.run(stream, count=5)
        assert results == [StoreResult.STORED] * 5
        assert stream.calls == [(5, 1, 0)]

    def test_unanswered_append_is_retried_with_the_same_sequence_number(self):
        stream = ScriptedStream([StoreResult.UNKNOWN, StoreResult.STORED])
        _, results = self.run(stream)
        assert results == [StoreResult.STORED]
        assert stream.calls == [(1, 1, 0), (1, 1, 0)]

    def test_outcome_that_stays_unknown_is_not_reported_as_refused(self):
        stream = ScriptedStream([StoreResult.UNKNOWN, StoreResult.REFUSED])
        posted, results = self.run(stream, clock_step_ms=100)
        assert results == [StoreResult.UNKNOWN]
        assert StoreHealth(True) in posted

    def test_append_that_is_always_refused_is_reported_as_refused(self):
        stream = ScriptedStream([StoreResult.REFUSED])
        _, results = self.run(stream, clock_step_ms=100)
        assert results == [StoreResult.REFUSED]

    def test_requests_behind_an_unanswered_append_are_refused_and_were_not_sent(self):
        # On a machine whose connection to the store had gone silent, 55 callers waited behind an
        # append until their deadline.
        async def scenario():
            stream = ScriptedStream([StoreResult.UNKNOWN])
            clock, posted = ManualClock(), []
            appender = IntakeAppender(stream, "entry-1", clock, posted.append, ListLogger())
            appender.add(StoreIntake(1, RECORD))
            await until(lambda: stream.calls)
            appender.add(StoreIntake(2, RECORD))
            waiting_ms = 0
            while IntakeStored(2, StoreResult.REFUSED) not in posted:
                clock.advance(50)
                waiting_ms += 50
                await asyncio.sleep(0.002)
                assert waiting_ms <= CUT_OFF_DEADLINE_MS
            assert all(records == 1 for records, _, _ in stream.calls)
            appender.close()

        asyncio.run(scenario())

    def test_failed_attempt_leaves_no_caller_without_an_answer(self):
        # Guards against LOST: an unexpected error ended the appender, the callers waited for ever,
        # and the next append reused the number of one that may have been stored.
        stream = ScriptedStream([ValueError("odd"), StoreResult.STORED])
        _, results = self.run(stream)
        assert results == [StoreResult.STORED]
        assert stream.calls == [(1, 1, 0), (1, 1, 0)]
        stream = ScriptedStream([ValueError("odd"), StoreResult.REFUSED])
        _, results = self.run(stream, clock_step_ms=100)
        assert results == [StoreResult.UNKNOWN]

    def test_unanswered_append_does_not_show_that_the_store_is_back(self):
        # Guards against requests that wait for a store that is still away.
        async def scenario():
            stream = ScriptedStream([StoreResult.REFUSED])
            clock, posted = ManualClock(), []
            appender = IntakeAppender(stream, "entry-1", clock, posted.append, ListLogger())
            appender.add(StoreIntake(1, RECORD))
            while StoreHealth(True) not in posted:
                clock.advance(50)
                await asyncio.sleep(0.002)
            stream.appends = [StoreResult.UNKNOWN]
            appender.add(StoreIntake(2, RECORD))
            while IntakeStored(2, StoreResult.UNKNOWN) not in posted:
                clock.advance(50)
                await asyncio.sleep(0.002)
            assert StoreHealth(False) not in posted
            appender.close()

        asyncio.run(scenario())

    def test_attempts_whose_connections_are_closed_at_once_are_paced(self):
        # Guards against a thousand calls a second to a store that resets every connection.
        stream = ScriptedStream([StoreResult.UNKNOWN])
        _, results = self.run(stream, clock_step_ms=5)
        assert results == [StoreResult.UNKNOWN]
        assert len(stream.calls) <= 8

    @pytest.mark.parametrize("outcome", [StoreResult.REFUSED, StoreResult.UNKNOWN])
    def test_number_of_an_append_is_never_used_for_other_records(self, outcome):
        # Guards against LOST: to the store the next job is a repetition of the append that had the
        # number before it, if that was carried out after all.
        async def scenario():
            stream = ScriptedStream([outcome])
            clock, posted = ManualClock(), []
            appender = IntakeAppender(stream, "entry-1", clock, posted.append, ListLogger())
            appender.add(StoreIntake(1, RECORD))
            while IntakeStored(1, outcome) not in posted:
                clock.advance(50)
                await asyncio.sleep(0.002)
            used = {call[1:] for call in stream.calls if call[0]}
            stream.appends = [StoreResult.STORED]
            stream.calls.clear()
            appender.add(StoreIntake(2, RECORD))
            await until(lambda: IntakeStored(2, StoreResult.STORED) in posted)
            assert not used & {call[1:] for call in stream.calls if call[0]}
            appender.close()

        asyncio.run(scenario())

    def test_probe_detects_that_appends_succeed_again(self):
        async def scenario():
            stream = ScriptedStream([StoreResult.REFUSED])
            clock, posted = ManualClock(), []
            appender = IntakeAppender(stream, "entry-1", clock, posted.append, ListLogger())
            appender.add(StoreIntake(1, RECORD))
            while StoreHealth(True) not in posted:
                clock.advance(50)
                await asyncio.sleep(0.002)
            stream.appends = [StoreResult.STORED]
            await until(lambda: StoreHealth(False) in posted)

        asyncio.run(scenario())


class TestProgressAppender:
    """Records of the leader."""

    def run(self, answers):
        async def scenario():
            posted = []
            stream = ScriptedStream(answers)
            appender = ProgressAppender(
                stream, "leader", ManualClock(), posted.append, ListLogger()
            )
            appender.append(StoreProgress(3, 11, (RECORD,)))
            await until(lambda: posted)
            return stream.calls, posted

        return asyncio.run(scenario())

    def test_append_is_retried_until_the_store_states_its_outcome(self):
        calls, posted = self.run([StoreResult.UNKNOWN, StoreResult.REFUSED, StoreResult.STORED])
        assert calls == [(1, 3, 11)] * 3
        assert posted == [ProgressStored(3, 11, StoreResult.STORED, 7)]

    def test_failed_attempt_is_repeated(self):
        # Guards against a process that waits for ever for the outcome of its claim.
        calls, posted = self.run([ValueError("odd"), StoreResult.STORED])
        assert calls == [(1, 3, 11)] * 2
        assert posted == [ProgressStored(3, 11, StoreResult.STORED, 7)]

    def test_fenced_append_is_not_retried(self):
        calls, posted = self.run([StoreResult.FENCED])
        assert len(calls) == 1
        assert posted[0].result is StoreResult.FENCED


class TestAttemptTimeouts:
    """Time-outs of appends."""

    def test_healthy_store_gets_the_least_time(self):
        timeouts = AttemptTimeouts()
        for _ in range(5):
            timeouts.record(12, timed_out=False)
        assert [timeouts.timeout_ms(attempt) for attempt in range(5)] == [
            *ATTEMPT_TIMEOUTS_MS,
            ATTEMPT_TIMEOUTS_MS[-1],
        ]

    def test_appends_to_a_slow_store_are_not_repeated_while_they_wait_there(self):
        # 97 processes, an append each 60 ms, and a store that takes 72 ms for one instead of 2 ms:
        # each attempt beyond the first takes the place of a new append.
        def attempts(adaptive):
            timeouts = [AttemptTimeouts() for _ in range(97)]
            free_ms = sent = 0
            for number in range(80):
                now_ms, chosen = 60 * number, timeouts[number % 97 % 8]
                attempt, start_ms = 0, now_ms
                while True:
                    free_ms = max(free_ms, start_ms) + 72
                    sent += 1
                    timeout_ms = (chosen if adaptive else AttemptTimeouts()).timeout_ms(attempt)
                    if free_ms - start_ms <= timeout_ms:
                        chosen.record(free_ms - start_ms, timed_out=False)
                        break
                    chosen.record(timeout_ms, timed_out=True)
                    attempt, start_ms = attempt + 1, start_ms + timeout_ms
            return sent

        assert attempts(adaptive=True) <= 1.2 * 80
        assert attempts(adaptive=False) >= 1.5 * 80

    def test_request_is_given_up_sooner_where_the_store_was_fast(self):
        # A process cut off from the store held callers for 2.5 s, longer than their objective.
        fast, slow = AttemptTimeouts(), AttemptTimeouts()
        fast.record(12, timed_out=False)
        for _ in range(4):
            slow.record(900, timed_out=False)
        assert fast.deadline_ms() < 1_400
        assert slow.deadline_ms() == 2_500

    def test_dead_connection_does_not_make_the_next_attempts_slow_for_long(self):
        timeouts = AttemptTimeouts()
        timeouts.record(400, timed_out=True)
        for _ in range(3):
            timeouts.record(12, timed_out=False)
        assert timeouts.timeout_ms(0) == ATTEMPT_TIMEOUTS_MS[0]


class TestTopicReader:
    """Reads of the newest records and of the tail."""

    def stored(self, offset, key="k"):
        return StoredRecord(offset, Record(key, b"v"))

    def read_until(self, stream, condition, clock=None):
        async def scenario():
            delivered, failed = [], []
            reader = TopicReader(
                "intake",
                stream,
                clock or ManualClock(),
                delivered.append,
                lambda *args: failed.append(args),
            )
            reader.set_polling(1, 0)
            await until(lambda: condition(delivered, failed))
            reader.set_polling(None, 0)
            return delivered, failed

        return asyncio.run(scenario())

    def test_tail_is_read_from_the_end_offset_of_the_first_page(self):
        pages = [
            Ok(NewestPage((self.stored(3, "a"),), 9, True)),
            Ok(NewestPage((self.stored(11, "b"),), 12, False)),
        ]
        stream = ScriptedStream(reads=[Ok(Page((), 9))], newest=pages)
        delivered, _ = self.read_until(stream, lambda delivered, _: len(delivered) >= 2)
        assert stream.calls[:3] == [("newest", None), ("newest", "a"), ("read", 9)]
        assert (delivered[0].next_offset, delivered[0].complete) == (9, True)

    def test_expired_offset_reloads_the_newest_records(self):
        stream = ScriptedStream(
            reads=[Ok(OffsetExpired()), Ok(Page((), 5))], newest=[Ok(NewestPage((), 5, False))]
        )
        self.read_until(stream, lambda delivered, _: len(delivered) >= 3)
        assert stream.calls[:4] == [
            ("newest", None),
            ("read", 5),
            ("newest", None),
            ("read", 5),
        ]

    def test_failed_read_is_reported_and_retried(self):
        stream = ScriptedStream(
            reads=[Err(READ_FAILURE), Ok(Page((self.stored(5),), 6))],
            newest=[Ok(NewestPage((), 5, False))],
        )
        delivered, failed = self.read_until(stream, lambda delivered, _: len(delivered) >= 2)
        assert failed == [("intake", READ_FAILURE)]
        assert delivered[1].next_offset == 6

    def test_records_are_as_old_as_the_request_of_their_first_page(self):
        # The 410 after a loss of power: a load of seconds was taken for a copy of now.
        clock = ManualClock(mono_ms=1_000)

        class SlowStream(ScriptedStream):
            async def read_newest(self, after_key, on_progress):
                clock.advance(2_000)
                return await super().read_newest(after_key, on_progress)

            async def read(self, from_offset, wait_ms, max_kb, on_progress):
                clock.advance(400)
                return await super().read(from_offset, wait_ms, max_kb, on_progress)

        pages = [
            Ok(NewestPage((self.stored(3, "a"),), 9, True)),
            Ok(NewestPage((self.stored(8, "b"),), 9, False)),
        ]
        tail = [
            Ok(Page((self.stored(9),), 11)),
            Ok(Page((self.stored(10),), 11)),
            Ok(Page((), 11)),
        ]
        stream = SlowStream(reads=tail, newest=pages)
        delivered, _ = self.read_until(stream, lambda delivered, _: len(delivered) >= 4, clock)
        # Record 10 was not read yet when record 9 was.
        assert [batch.as_of_ms for batch in delivered[:4]] == [1_000, None, 5_400, 5_800]


class TestJsonLineLogger:
    """Log lines and their limits."""

    def lines(self, write):
        read_fd, write_fd = os.pipe()
        log = JsonLineLogger(ManualClock(), "entry-1", write_fd)
        write(log)
        os.set_blocking(read_fd, False)
        text = os.read(read_fd, 1_000_000)
        os.close(read_fd)
        os.close(write_fd)
        return log, [json.loads(line) for line in text.splitlines()]

    def test_line_names_its_event_and_process(self):
        _, (line,) = self.lines(lambda log: log.write("job_ended", {"job": "1", "ms": 3}))
        assert (line["event"], line["node"], line["job"]) == ("job_ended", "entry-1", "1")
        # Fields of an event never replace those that every line has.
        assert line["ms"] == ManualClock().now().wall_ms

    def test_lines_of_one_event_are_limited_without_affecting_others(self):
        def write(log):
            for _ in range(3 * MAX_LINES_PER_SECOND):
                log.write("run_ended", {})
            log.write("job_ended", {})

        _, lines = self.lines(write)
        assert [line["event"] for line in lines].count("run_ended") == MAX_LINES_PER_SECOND
        assert lines[-1]["event"] == "job_ended"

    def test_full_pipe_neither_blocks_nor_splits_lines(self):
        def write(log):
            for number in range(4_000):
                log.write(f"kind-{number}", {"text": "x" * 100})

        log, lines = self.lines(write)
        assert log.dropped > 0
        assert lines


def test_file_watcher_reports_changes_and_forced_checks(tmp_path):
    path, contents = tmp_path / "settings.yaml", []
    path.write_text("a")
    watcher = FileWatcher(path, lambda: contents.append(path.read_text()), ListLogger())
    watcher.check()
    path.write_text("bb")
    watcher.check()
    watcher.check(force=True)
    path.unlink()
    watcher.check()
    assert contents == ["bb", "bb"]


@pytest.mark.parametrize(("ms", "seconds"), [(0, "1"), (999, "1"), (1_001, "2")])
def test_retry_after_is_rounded_up(ms, seconds):
    assert retry_after_seconds(ms) == seconds


class TestHttpFrontend:
    """HTTP server and client over real sockets."""

    def test_requests_are_answered_until_the_process_ends(self):
        """A caller on a connection that is kept open saw it end without an answer."""

        async def scenario():
            posted = []
            frontend = HttpFrontend(
                MinimalRequestFormat(), ManualClock(), posted.append, lambda: True, lambda: 100
            )
            address = f"127.0.0.1:{free_port()}"
            frontend.listen(address, f"127.0.0.1:{free_port()}")
            client = HttpClient(8)

            async def get(path):
                return (await client.call("test", address, "GET", path, 2_000)).ok_value

            open_request = asyncio.ensure_future(get("/checks/1"))
            await until(lambda: posted)
            frontend.stopping = True
            frontend.close()
            assert (await open_request).code == 504
            late = await get("/checks/2")
            assert (late.code, late.headers["retry-after"]) == (503, "1")
            assert len(posted) == 1
            frontend.stop_listening()
            client.close()

        asyncio.run(scenario())

    def test_request_becomes_an_event_and_its_reply_a_response(self):
        async def scenario():
            posted = []
            ready = [False]
            frontend = HttpFrontend(
                MinimalRequestFormat(), ManualClock(), posted.append, lambda: ready[0], lambda: 100
            )
            request_address, readiness_address = (
                f"127.0.0.1:{free_port()}",
                f"127.0.0.1:{free_port()}",
            )
            frontend.listen(request_address, readiness_address)
            client = HttpClient(8)

            async def get(address, path):
                result = await client.call("test", address, "GET", path, 2_000)
                return result.ok_value

            pending = asyncio.ensure_future(get(request_address, "/checks/1"))
            await until(lambda: posted)
            assert isinstance(posted[0], Lookup)
            frontend.send_reply(Reply(posted[0].token, 429, {"error": "full"}, 1_500))
            response = await pending
            assert response.code == 429
            assert response.headers["retry-after"] == "2"
            assert (await get(readiness_address, "/ready")).code == 503
            ready[0] = True
            assert (await get(readiness_address, "/ready")).code == 200
            too_large = await client.call(
                "test", request_address, "POST", "/checks/2", 2_000, b"x" * 101
            )
            assert too_large.ok_value.code == 413
            frontend.stop_listening()

        asyncio.run(scenario())

    def test_request_to_a_closed_port_is_unavailable(self):
        async def scenario():
            result = await HttpClient(2).call(
                "worker.start", f"127.0.0.1:{free_port()}", "POST", "/", 500, b""
            )
            assert result.err_value.kind is FailureKind.UNAVAILABLE

        asyncio.run(scenario())

    def test_call_to_a_malformed_address_sends_nothing(self):
        async def scenario():
            result = await HttpClient(2).call("worker.stop", "", "POST", "/", 100, b"")
            assert result.err_value.kind is FailureKind.UNAVAILABLE

        asyncio.run(scenario())

    def test_server_that_does_not_respond_is_a_timeout(self):
        async def scenario():
            server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            result = await HttpClient(2).call("x", f"127.0.0.1:{port}", "GET", "/", 100)
            assert result.err_value.kind is FailureKind.TIMEOUT
            server.close()

        asyncio.run(scenario())


class RawServer:
    """A server of scripted responses, one for each request, which counts its connections.

    A response of None closes the connection instead.
    """

    def __init__(self, *responses: bytes | None) -> None:
        self.responses = list(responses)
        self.connections = 0
        self.requests: list[bytes] = []
        self.address = ""

    async def start(self) -> "RawServer":
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        while True:
            try:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
            except asyncio.IncompleteReadError:
                break
            response = self.responses.pop(0)
            if response is None:
                break
            writer.write(response)
        writer.close()


def http(body: bytes, *headers: bytes) -> bytes:
    lines = (b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), *headers)
    return b"\r\n".join((*lines, b"", body))


class TestHttpClientConnections:
    """Which connections are reused, and what is known about a call whose response was lost."""

    @staticmethod
    def call_in_turn(server, *timeouts_ms, **options):
        async def scenario():
            await server.start()
            client = HttpClient(2)
            results = [
                await client.call("x", server.address, "GET", "/", timeout_ms, **options)
                for timeout_ms in timeouts_ms
            ]
            client.close()
            return results

        return asyncio.run(scenario())

    def test_connection_is_reused(self):
        server = RawServer(http(b"a"), http(b"b"))
        results = self.call_in_turn(server, 500, 500)
        assert [result.ok_value.body for result in results] == [b"a", b"b"]
        assert server.connections == 1

    def test_connection_that_the_server_closes_is_not_reused(self):
        server = RawServer(http(b"a", b"Connection: close"), http(b"b"))
        results = self.call_in_turn(server, 500, 500)
        assert [result.ok_value.body for result in results] == [b"a", b"b"]
        assert server.connections == 2

    def test_request_on_an_idle_connection_that_was_closed_is_sent_once_more(self):
        server = RawServer(http(b"a"), None, http(b"b"))
        results = self.call_in_turn(server, 500, 500, resend=True)
        assert results[1].ok_value.body == b"b"
        assert (server.connections, len(server.requests)) == (2, 3)

    def test_order_on_an_idle_connection_that_was_closed_may_have_been_executed(self):
        server = RawServer(http(b"a"), None, http(b"b"))
        results = self.call_in_turn(server, 500, 500)
        assert results[1].err_value.kind is FailureKind.TIMEOUT
        assert len(server.requests) == 2

    def test_request_on_a_new_connection_that_was_closed_may_have_been_executed(self):
        server = RawServer(None)
        (result,) = self.call_in_turn(server, 500)
        assert result.err_value.kind is FailureKind.TIMEOUT
        assert len(server.requests) == 1

    def test_late_response_is_not_taken_for_that_of_the_next_call(self):
        server = RawServer(b"HTTP/1.1 200 OK\r\n", http(b"b"))
        results = self.call_in_turn(server, 100, 500)
        assert results[0].err_value.kind is FailureKind.TIMEOUT
        assert results[1].ok_value.body == b"b"

    @pytest.mark.parametrize("response", [b"\x00\xff garbage\r\n\r\n", b"HTTP/1.1 abc\r\n\r\n"])
    def test_malformed_response_fails_only_its_call(self, response):
        server = RawServer(response, http(b"b"))
        results = self.call_in_turn(server, 500, 500)
        assert results[0].err_value.kind is FailureKind.TIMEOUT
        assert results[1].ok_value.body == b"b"

    def test_response_in_pieces_and_chunks_is_read_whole(self):
        chunked = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        )
        (result,) = self.call_in_turn(RawServer(chunked), 500)
        assert result.ok_value.body == b"abc"


class TestForward:
    """A caller's request passed on to another entry."""

    def run(self, *responses, address=None):
        async def scenario():
            server = await RawServer(*responses).start()
            headers = {"Host": "h.example", "Authorization": "Bearer k", "X-A": "1"}
            req = HTTPServerRequest(
                start_line=RequestStartLine("POST", "/checks/1?x=2", "HTTP/1.1"),
                headers=HTTPHeaders(headers),
                body=b"{}",
            )
            client = HttpClient(2)
            effect = ForwardRequest(7, address or server.address)
            return server, await forward(client, effect, req)

        return asyncio.run(scenario())

    def test_request_is_passed_on_as_it_came_and_marked(self):
        server, event = self.run(http(b'{"state":"queued"}', b"Retry-After: 2"))
        head = server.requests[0].decode()
        assert head.startswith("POST /checks/1?x=2 HTTP/1.1\r\nHost: h.example\r\n")
        assert "Authorization: Bearer k" in head
        assert FORWARDED_HEADER in head
        assert "X-A" not in head
        assert event == Forwarded(7, PeerAnswer(200, {"state": "queued"}, 2_000), sent=True)

    @pytest.mark.parametrize("response", [http(b"[1"), http(b"[]"), None])
    def test_answer_that_cannot_be_read_is_an_unknown_outcome(self, response):
        assert self.run(response)[1] == Forwarded(7, None, sent=True)

    def test_request_to_an_entry_that_is_gone_was_not_sent(self):
        _, event = self.run(address=f"127.0.0.1:{free_port()}")
        assert event == Forwarded(7, None, sent=False)
