"""Repeats reads that are not answered in time, beside one that waits for longer.

A connection on which a response was lost stays silent, so a read without an answer is repeated
soon. A store that needs longer than that to answer would then never be read: after some attempts
one of them is left to wait while the others go on.
"""

import asyncio
from collections.abc import Hashable

import attrs
from fescuecrank_core.errors import Failure
from result import Ok, Result

from fescuecrank_service.http_client import Download, HttpClient
from fescuecrank_service.interfaces import OnProgress

# Reads without an answer after which one is left to wait.
PATIENT_AFTER = 2

# How long that one waits for its answer to begin. A store that takes longer, more than a thousand
# times its usual time, cannot be read.
PATIENCE_MS = 10_000


@attrs.define(eq=False)
class PatientReads:
    """The reads of one stream.

    The reader makes one at a time; a read of a loop that it has replaced may overlap with the next.
    """

    client: HttpClient
    _unanswered: int = 0
    # What the waiting read asks for, and its task.
    _waiting: tuple[Hashable, asyncio.Task[Result[Download, Failure]]] | None = None

    async def fetch(
        self,
        wanted: Hashable,
        operation: str,
        address: str,
        path: str,
        begin_timeout_ms: int,
        stall_timeout_ms: int,
        on_progress: OnProgress,
    ) -> Result[Download, Failure]:
        """Fetch `path`, or return the answer of an earlier fetch of the same `wanted`."""
        quick = self.client.fetch(
            operation, address, path, begin_timeout_ms, stall_timeout_ms, on_progress
        )
        if self._waiting is not None and self._waiting[0] != wanted:
            self.close()
        if self._unanswered < PATIENT_AFTER:
            outcome = await quick
            in_time = outcome.is_ok()
        else:
            loop = asyncio.get_running_loop()
            fresh = self._waiting is None
            if self._waiting is None:
                patient = self.client.fetch(
                    operation, address, path, PATIENCE_MS, stall_timeout_ms, on_progress
                )
                self._waiting = (wanted, loop.create_task(patient))
            outcome, waited = await self._first_answer(loop.create_task(quick), self._waiting[1])
            in_time = outcome.is_ok() and (fresh or not waited)
            if waited and not fresh:
                outcome = Ok(attrs.evolve(outcome.ok_value, sent_before=True))
        if in_time:
            self._unanswered = 0
        elif outcome.is_err():
            self._unanswered += 1
        return outcome

    async def _first_answer(
        self,
        quick: asyncio.Task[Result[Download, Failure]],
        patient: asyncio.Task[Result[Download, Failure]],
    ) -> tuple[Result[Download, Failure], bool]:
        """Return the first answer, and whether it is that of the patient read."""
        try:
            await asyncio.wait({quick, patient}, return_when=asyncio.FIRST_COMPLETED)
            if patient.done():
                self._waiting = None
                # A read loop that has been replaced may still be here, and cancel it.
                if not patient.cancelled() and patient.result().is_ok():
                    return patient.result(), True
            outcome = await quick
            if outcome.is_ok():
                self.close()
            return outcome, False
        finally:
            quick.cancel()

    def close(self) -> None:
        """Give up the read that waits."""
        if self._waiting is not None:
            self._waiting[1].cancel()
            self._waiting = None
