"""Members: majorities of a list that shrinks while some members are cut off from the log."""

from collections.abc import Iterator
from typing import NamedTuple

import attrs

from fescuecrank_model.specification import Mutant, Rules, Specification, Step

MEMBERS = frozenset(range(5))
HOLDER = 0
CLAIMANT = 4
REMOVABLE = (0, 1, 2)
CLAIM = -1


@attrs.frozen
class MemberRules(Rules):
    """Rules of section 6 that this specification can leave out."""

    accept_by_all_lists: bool = True
    accept_by_majority: bool = True
    applied_all_heard: bool = True


class MemberState(NamedTuple):
    """The log, how much of it each member has applied, and what the claimant knows is accepted.

    `log` lists the members that `MemberLeft` removes; -1 stands for the claim. `settled` is the
    length of the longest prefix whose last record the claimant saw accepted.
    """

    log: tuple[int, ...]
    applied: tuple[int, ...]
    settled: int
    overlap: bool


def _members(log: tuple[int, ...], length: int) -> frozenset[int]:
    return MEMBERS - frozenset(log[:length])


def _is_majority(some: frozenset[int], members: frozenset[int]) -> bool:
    return 2 * len(some & members) > len(members)


class Members(Specification):
    """Members 0 to 2 may be cut off from the log but reach each other; 3 and 4 read the log.

    Heartbeats have no age here: `claims` covers their times. Condition 3 holds for the old holder
    if a majority of the list that it knows has applied no more than itself.
    """

    name = "members"
    rules_class = MemberRules
    max_states = 500_000

    def initial(self) -> MemberState:
        """Start with five members and an empty log."""
        return MemberState(log=(), applied=(0,) * len(MEMBERS), settled=0, overlap=False)

    def steps(self, state: MemberState) -> Iterator[Step]:
        """Yield appends of the claimant, reads of every member and acceptance."""
        for label, after in self._all_steps(state):
            overlap = self._claim_is_usable(after) and self._holder_is_current(after)
            yield label, after._replace(overlap=overlap)

    def _all_steps(self, state: MemberState) -> Iterator[Step]:
        if state.applied[CLAIMANT] == len(state.log) and CLAIM not in state.log:
            for member in REMOVABLE:
                if member not in state.log:
                    label = f"MemberLeft of {member} is appended"
                    yield label, state._replace(log=state.log + (member,))
            yield "claim is appended", state._replace(log=state.log + (CLAIM,))
        for member in sorted(MEMBERS):
            applied = list(state.applied)
            if applied[member] < len(state.log):
                applied[member] += 1
                label = f"member {member} applies record {applied[member]}"
                yield label, state._replace(applied=tuple(applied))
        for length in range(state.settled + 1, state.applied[CLAIMANT] + 1):
            if self._accepted(state, length):
                yield f"record {length} is accepted", state._replace(settled=length)

    def _accepted(self, state: MemberState, length: int) -> bool:
        informed = frozenset(m for m in MEMBERS if state.applied[m] >= length)
        if not self.rules.accept_by_majority:
            return CLAIMANT in informed
        first = state.settled if self.rules.accept_by_all_lists else length
        return all(
            _is_majority(informed, _members(state.log, upto)) for upto in range(first, length + 1)
        )

    def _holder_is_current(self, state: MemberState) -> bool:
        applied = state.applied[HOLDER]
        members = _members(state.log, applied)
        if HOLDER not in members or CLAIM in state.log[:applied]:
            return False
        heard = frozenset(
            m for m in members if state.applied[m] <= applied or not self.rules.applied_all_heard
        )
        return _is_majority(heard, members)

    def _claim_is_usable(self, state: MemberState) -> bool:
        return CLAIM in state.log[: state.settled]

    properties = {"one holder is current": lambda s: not s.overlap}
    witnesses = {
        "claim accepted after three removals": lambda s: s.settled == 4,
        "claim accepted while the holder is cut off": lambda s: (
            CLAIM in s.log[: s.settled] and s.applied[HOLDER] == 0
        ),
        "holder learned of its removal": lambda s: HOLDER in s.log[: s.applied[HOLDER]],
    }
    mutants = (
        Mutant("accept_by_all_lists", "one holder is current"),
        Mutant("accept_by_majority", "one holder is current"),
        Mutant("applied_all_heard", "one holder is current"),
    )
