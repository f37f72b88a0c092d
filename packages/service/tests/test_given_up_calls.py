"""Calls that the network holds up until their caller has given up, over real sockets.

The server's receive window is full, so that the rest of a request stays with the sender's system,
as behind a partition. The server reads on after the caller has given up.
"""

import asyncio
import signal
import socket
import sys

import pytest
from fescuecrank_service.http_client import HttpClient

# Smaller than a request, so that most of it stays with the sender.
RECEIVE_BUFFER_BYTES = 2_048
BODY = b"x" * 48_000

# Time after which the server counts on no further bytes.
READ_TIMEOUT_S = 2.0

CALLER = """
import asyncio, sys
from fescuecrank_service.http_client import HttpClient

async def call():
    client = HttpClient(1)
    task = asyncio.ensure_future(
        client.call("worker.start", sys.argv[1], "POST", "/api/run-start", 60_000, b"x" * 48_000)
    )
    await asyncio.sleep(0.2)
    print("sent", flush=True)
    await task

asyncio.run(call())
"""


@pytest.fixture
def listener():
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        sock.settimeout(READ_TIMEOUT_S)
        yield sock


def address(listener: socket.socket) -> str:
    return f"127.0.0.1:{listener.getsockname()[1]}"


def read_all(listener: socket.socket) -> tuple[int, bool]:
    """Return how much of a request arrives from now on, and whether its connection was reset."""
    conn, _ = listener.accept()
    conn.settimeout(READ_TIMEOUT_S)
    size = 0
    with conn:
        try:
            while data := conn.recv(65_536):
                size += len(data)
        except ConnectionResetError:
            return size, True
    return size, False


def make_call(client: HttpClient, listener: socket.socket, timeout_ms: int):
    return client.call(
        "worker.start", address(listener), "POST", "/api/run-start", timeout_ms, BODY
    )


def test_request_is_not_delivered_after_its_time_out(listener):
    """A start was delivered when a partition ended, seconds after its run was given up."""

    async def scenario():
        result = await make_call(HttpClient(1), listener, 200)
        assert result.is_err()
        await asyncio.sleep(0)

    asyncio.run(scenario())
    size, was_reset = read_all(listener)
    assert was_reset
    assert size < len(BODY)


def test_request_is_not_delivered_after_it_was_cancelled(listener):
    """A leader that resigns cancels its calls; its successor doesn't know of them."""

    async def scenario():
        call = asyncio.ensure_future(make_call(HttpClient(1), listener, 60_000))
        await asyncio.sleep(0.2)
        call.cancel()
        await asyncio.wait([call])
        await asyncio.sleep(0)

    asyncio.run(scenario())
    size, was_reset = read_all(listener)
    assert was_reset
    assert size < len(BODY)


def test_request_is_not_delivered_after_its_process_was_killed(listener):
    """A start of a leader that was killed was delivered while its successor led."""

    async def scenario():
        caller = await asyncio.create_subprocess_exec(
            sys.executable, "-c", CALLER, address(listener), stdout=asyncio.subprocess.PIPE
        )
        assert await caller.stdout.readline() == b"sent\n"
        caller.send_signal(signal.SIGKILL)
        await caller.wait()

    asyncio.run(scenario())
    size, was_reset = read_all(listener)
    assert was_reset
    assert size < len(BODY)


def test_forwarded_request_is_delivered_after_its_time_out(listener):
    """The entry that a request was forwarded to reads it whole; its connection isn't reset."""

    async def scenario():
        result = await make_call(HttpClient(1, resets=False), listener, 200)
        assert result.is_err()
        await asyncio.sleep(0)

    asyncio.run(scenario())
    size, was_reset = read_all(listener)
    assert not was_reset
    assert size > len(BODY)
