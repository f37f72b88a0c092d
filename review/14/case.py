"""LOST: a process that is shut down cuts requests that it has read."""

import asyncio
import secrets
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_3"))

from deployment import BROKEN, HELD, HOST, NOT_RUN, Deployment, run_case, trouble  # noqa: E402

MACHINES = {"m-1": "pool-a", "m-2": "pool-a"}

# The process stands still for this long; the platform stops it meanwhile.
FROZEN_S, STOPPED_AFTER_S = 1.7, 0.2
# The bounds of the deployment.
GRACE_S, LOSS_SLACK_S, CONTACT_S = 6.0, 0.2, 3.0

# From this long after the SIGTERM on, a request is sent on each open channel in turn.
FIRST_S, LAST_S, INTERVAL_S = 2.5, 6.2, 0.01
CHANNELS = int((LAST_S - FIRST_S) / INTERVAL_S)


class Channel:
    """A channel that a requester has opened before, with one request on it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.job = secrets.token_hex(8)
        self.sent_s = self.ended_s = 0.0
        # The status of the complete answer; None if the channel ended without one.
        self.status: int | None = None

    async def cancel_job(self) -> None:
        """Cancel a job that does not exist, which is answered with 410 or 2xx."""
        head = f"DELETE /pool-a/{self.job} HTTP/1.1\r\nHost: {HOST}\r\n"
        try:
            self.writer.write(f"{head}Authorization: Bearer key-1\r\n\r\n".encode())
            await self.writer.drain()
            self.sent_s = time.monotonic()
            answer = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            length = int(answer.split("content-length:", 1)[1].split("\r\n", 1)[0])
            await self.reader.readexactly(length)
            self.status = int(answer.split(" ", 2)[1])
        except (OSError, asyncio.IncompleteReadError):
            # The channel has ended, before the request or after it.
            pass
        self.ended_s = time.monotonic()


async def scenario(deployment: Deployment) -> int:
    """Return the exit status of one run."""
    entry = deployment.entries[0]
    host, port = entry.front.rsplit(":", 1)
    channels = [Channel(*await asyncio.open_connection(host, int(port))) for _ in range(CHANNELS)]
    # All processes are in touch.
    await asyncio.sleep(4)
    resumed_s = time.monotonic() - CONTACT_S
    if trouble():
        entry.send_signal(signal.SIGSTOP)
        await asyncio.sleep(STOPPED_AFTER_S)
    entry.send_signal(signal.SIGTERM)
    stopped_s = time.monotonic()
    if trouble():
        await asyncio.sleep(FROZEN_S - STOPPED_AFTER_S)
        entry.send_signal(signal.SIGCONT)
        resumed_s = time.monotonic()

    async def kill_after_grace() -> None:
        await asyncio.sleep(stopped_s + GRACE_S - time.monotonic())
        entry.send_signal(signal.SIGKILL)

    kill = asyncio.ensure_future(kill_after_grace())
    await asyncio.sleep(stopped_s + FIRST_S - time.monotonic())
    requests = []
    for channel in channels:
        if channel.reader.at_eof():
            break
        requests.append(asyncio.ensure_future(channel.cancel_job()))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(kill, *requests)
    lost = 0
    for channel in channels[: len(requests)]:
        age_s = channel.ended_s - channel.sent_s if channel.sent_s else 0.0
        counts = channel.sent_s >= resumed_s + CONTACT_S and age_s > LOSS_SLACK_S
        cut = channel.status is None and counts
        lost += cut
        deployment.record(
            "cancel",
            sent_s=round(channel.sent_s - stopped_s, 3),
            took_s=round(age_s, 3),
            status=channel.status,
            after_resume_s=round(channel.sent_s - resumed_s, 3),
            lost=cut,
        )
    answered = sum(channel.status is not None for channel in channels)
    deployment.record("requests", sent=len(requests), answered=answered, lost=lost)
    if not answered:
        return NOT_RUN
    if lost:
        deployment.record("rule_broken", rule="LOST", requests=lost)
    return BROKEN if lost else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, MACHINES, scenario))
