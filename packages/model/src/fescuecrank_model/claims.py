"""Claims: takeover of one scope, proofs that a holder is current, and the fence at a worker."""

from collections.abc import Iterator
from typing import NamedTuple

import attrs

from fescuecrank_model.specification import Mutant, Rules, Specification, Step

# The wait of a takeover exceeds the maximum staleness by one tick, as TAKEOVER_WAIT_MS (2,500)
# exceeds MAX_STALENESS_MS (2,000) in the core.
MAX_STALENESS_TICKS = 2
TAKEOVER_WAIT_TICKS = 3
EXPIRED_AGE = MAX_STALENESS_TICKS + 1

PEERS = (0, 1)
HEARTBEAT_SENDER = 1


@attrs.frozen
class ClaimRules(Rules):
    """Rules of sections 5 and 6 of the design that mutants disable.

    By `peer_not_ahead`, a heartbeat proves that the holder is current only if its sender has
    applied no record that the holder lacks.
    """

    heartbeat_age_from_sending: bool = True
    read_age_from_sending: bool = True
    peer_not_ahead: bool = True
    recheck_before_send: bool = True
    wait_for_acceptance: bool = True
    wait_after_acceptance: bool = True
    stop_before_release: bool = True
    fence_at_worker: bool = True
    first_claim_wins: bool = True


class Read(NamedTuple):
    """A read of the log whose response the old holder has not processed yet.

    `has_claim` is true if the log had a claim when it was read.
    """

    has_claim: bool
    age: int


class Heartbeat(NamedTuple):
    """A heartbeat, and whether its sender had applied a claim."""

    knows_claim: bool
    age: int


class ClaimState(NamedTuple):
    """The old holder, two peers, the log of claims and releases, and one worker.

    `log` lists the peers whose claims were appended; the first one wins. `applied` is how much of
    it each peer has applied, `superseded` whether the holder has applied any of it. Peer 1 sends
    heartbeats to the holder; `heartbeat` is the one that arrived last, unless it has expired.
    `start_decided` is set from the holder's decision to start a task until it sends or drops the
    command. `ticks_since_accepted` is -1 until the winning claim is accepted. `started_by` lists
    the peers that have started a task, which completes a takeover.
    """

    log: tuple[int, ...]
    released: bool
    applied: tuple[int, int]
    heartbeat_in_flight: Heartbeat | None
    heartbeat: Heartbeat | None
    superseded: bool
    read_age: int
    read_in_flight: Read | None
    start_decided: bool
    command_in_flight: bool
    ticks_since_accepted: int
    started_by: frozenset[int]
    fence: int
    sent_after_takeover: bool
    old_task_ran: bool
    ran_after_takeover: bool


def _aged(age: int) -> int:
    return min(age + 1, EXPIRED_AGE)


def _canonical(state: ClaimState) -> ClaimState:
    """Clear the fields that no longer affect a holder that released its claim or knows of another.

    States that differ in these fields only would enlarge the search without effect.
    """
    if not state.superseded and (not state.released or state.start_decided):
        return state
    return state._replace(
        heartbeat_in_flight=None, heartbeat=None, read_age=EXPIRED_AGE, read_in_flight=None
    )


class Claims(Specification):
    """An old holder that may be slow at every step races with two entries that take over.

    A pause, an outage of the log or a partition means that some steps do not happen for a number of
    ticks. A heartbeat may be delivered at any age.
    """

    name = "claims"
    rules_class = ClaimRules
    max_states = 3_000_000

    def initial(self) -> ClaimState:
        """Start with a current holder and idle peers."""
        return ClaimState(
            log=(),
            released=False,
            applied=(0, 0),
            heartbeat_in_flight=None,
            heartbeat=None,
            superseded=False,
            read_age=0,
            read_in_flight=None,
            start_decided=False,
            command_in_flight=False,
            ticks_since_accepted=-1,
            started_by=frozenset(),
            fence=0,
            sent_after_takeover=False,
            old_task_ran=False,
            ran_after_takeover=False,
        )

    def steps(self, state: ClaimState) -> Iterator[Step]:
        """Yield the steps of time, the log, the peers, the old holder and the worker."""
        for label, after in self._all_steps(state):
            yield label, _canonical(after)

    def _all_steps(self, state: ClaimState) -> Iterator[Step]:
        yield "tick", self._tick(state)
        yield from self._peer_steps(state)
        yield from self._heartbeat_steps(state)
        yield from self._takeover_steps(state)
        yield from self._read_steps(state)
        yield from self._holder_steps(state)

    def _tick(self, state: ClaimState) -> ClaimState:
        ticks_since_accepted = state.ticks_since_accepted
        if ticks_since_accepted >= 0:
            ticks_since_accepted = min(ticks_since_accepted + 1, TAKEOVER_WAIT_TICKS)
        heartbeat = state.heartbeat and state.heartbeat._replace(age=state.heartbeat.age + 1)
        return state._replace(
            heartbeat_in_flight=state.heartbeat_in_flight
            and state.heartbeat_in_flight._replace(age=_aged(state.heartbeat_in_flight.age)),
            heartbeat=heartbeat if heartbeat and heartbeat.age <= MAX_STALENESS_TICKS else None,
            read_age=_aged(state.read_age),
            read_in_flight=state.read_in_flight
            and Read(state.read_in_flight.has_claim, _aged(state.read_in_flight.age)),
            ticks_since_accepted=ticks_since_accepted,
        )

    def _peer_steps(self, state: ClaimState) -> Iterator[Step]:
        for index in PEERS:
            applied = list(state.applied)
            applied[index] = len(state.log)
            after = state._replace(applied=tuple(applied))
            if after != state:
                yield f"peer {index} reads the log", after
            if state.applied[index]:
                yield f"peer {index} relays the records to the holder", state._replace(
                    superseded=True
                )

    def _heartbeat_steps(self, state: ClaimState) -> Iterator[Step]:
        if state.superseded or state.released:
            return
        if state.heartbeat_in_flight is None:
            sent = Heartbeat(state.applied[HEARTBEAT_SENDER] > 0, 0)
            yield "peer 1 sends a heartbeat", state._replace(heartbeat_in_flight=sent)
            return
        age = state.heartbeat_in_flight.age if self.rules.heartbeat_age_from_sending else 0
        heartbeat = (
            state.heartbeat_in_flight._replace(age=age)
            if age <= MAX_STALENESS_TICKS
            else state.heartbeat
        )
        label = f"holder receives the heartbeat, {state.heartbeat_in_flight.age} ticks old"
        yield label, state._replace(heartbeat_in_flight=None, heartbeat=heartbeat)

    def _takeover_steps(self, state: ClaimState) -> Iterator[Step]:
        for index in PEERS:
            if index not in state.log and state.applied[index] == 0:
                log = state.log + (index,)
                yield f"claim of peer {index} is appended", state._replace(log=log)
            if self._wins(state, index):
                yield from self._winner_steps(state, index)

    def _wins(self, state: ClaimState, index: int) -> bool:
        if index not in state.log:
            return False
        position = state.log.index(index)
        if state.applied[index] <= position:
            return False
        return position == 0 or not self.rules.first_claim_wins

    def _winner_steps(self, state: ClaimState, index: int) -> Iterator[Step]:
        if state.ticks_since_accepted < 0:
            if state.superseded or state.applied[1 - index] or not self.rules.wait_for_acceptance:
                yield f"claim of peer {index} is accepted", state._replace(ticks_since_accepted=0)
            return
        waited = (
            state.ticks_since_accepted >= TAKEOVER_WAIT_TICKS
            or not self.rules.wait_after_acceptance
        )
        if (waited or state.released) and index not in state.started_by:
            after = state._replace(started_by=state.started_by | {index}, fence=1)
            yield f"peer {index} starts a task", after

    def _read_steps(self, state: ClaimState) -> Iterator[Step]:
        if state.superseded or state.released:
            return
        if state.read_in_flight is None:
            yield "holder sends a read", state._replace(read_in_flight=Read(bool(state.log), 0))
            return
        age = state.read_in_flight.age if self.rules.read_age_from_sending else 0
        superseded = state.superseded or state.read_in_flight.has_claim
        after = state._replace(read_in_flight=None, read_age=age, superseded=superseded)
        yield "holder receives the records", after

    def _holder_steps(self, state: ClaimState) -> Iterator[Step]:
        if not state.released and not state.start_decided and self._may_start(state):
            yield "holder decides to start a task", state._replace(start_decided=True)
        if state.start_decided and not state.command_in_flight:
            yield from self._send_steps(state)
        if not state.released and not state.superseded and self._may_release(state):
            yield "holder releases the claim", state._replace(released=True)
        if state.command_in_flight:
            yield "worker receives the old holder's command", self._delivered(state)

    def _may_release(self, state: ClaimState) -> bool:
        return not state.start_decided or not self.rules.stop_before_release

    def _send_steps(self, state: ClaimState) -> Iterator[Step]:
        if self._may_start(state) or not self.rules.recheck_before_send:
            after_takeover = state.sent_after_takeover or bool(state.started_by)
            after = state._replace(
                start_decided=False, command_in_flight=True, sent_after_takeover=after_takeover
            )
            yield "holder sends the command", after
        else:
            yield "holder drops the command", state._replace(start_decided=False)

    def _delivered(self, state: ClaimState) -> ClaimState:
        after = state._replace(command_in_flight=False)
        if state.fence and self.rules.fence_at_worker:
            return after
        return after._replace(
            old_task_ran=True, ran_after_takeover=state.ran_after_takeover or bool(state.started_by)
        )

    def _may_start(self, state: ClaimState) -> bool:
        return not state.superseded and self._is_current(state)

    def _is_current(self, state: ClaimState) -> bool:
        if state.read_age <= MAX_STALENESS_TICKS:
            return True
        # The holder and one peer are a majority of three members, so one heartbeat that has not
        # expired satisfies condition 3 of section 6.
        if state.heartbeat is None:
            return False
        return not (state.heartbeat.knows_claim and self.rules.peer_not_ahead)

    properties = {
        "at most one entry sends commands": lambda s: not s.sent_after_takeover
        and len(s.started_by) <= 1,
        "no command of the old holder runs after the takeover": lambda s: not s.ran_after_takeover,
    }
    witnesses = {
        "old holder runs a task before the takeover": lambda s: s.old_task_ran
        and bool(s.started_by),
        "takeover without release while a command is in flight": lambda s: (
            bool(s.started_by) and s.command_in_flight and not s.released
        ),
        "takeover after release": lambda s: s.released and bool(s.started_by),
        "two claims race": lambda s: len(s.log) == 2 and s.ticks_since_accepted >= 0,
        "holder is current by heartbeats only": lambda s: (
            s.start_decided and s.read_age == EXPIRED_AGE and not s.superseded
        ),
    }
    mutants = (
        Mutant("heartbeat_age_from_sending", "at most one entry sends commands"),
        Mutant("read_age_from_sending", "at most one entry sends commands"),
        Mutant("peer_not_ahead", "at most one entry sends commands"),
        Mutant("recheck_before_send", "at most one entry sends commands"),
        Mutant("wait_for_acceptance", "at most one entry sends commands"),
        Mutant("wait_after_acceptance", "at most one entry sends commands"),
        Mutant("stop_before_release", "at most one entry sends commands"),
        Mutant("first_claim_wins", "at most one entry sends commands"),
        Mutant("fence_at_worker", "no command of the old holder runs after the takeover"),
    )
