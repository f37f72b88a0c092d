"""Members: majorities of a member list that shrinks while members are cut off from the log."""

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
    """Rules of section 6 of the design that mutants disable."""

    accept_by_all_member_lists: bool = True
    accept_by_majority: bool = True
    peer_not_ahead: bool = True


class MemberState(NamedTuple):
    """The log, how much of it each member has applied, and what the claimant knows is accepted.

    `log` contains the member that each `MemberLeft` removes, and -1 for the claim.
    `accepted_length` is the length of the longest prefix whose last record the claimant found
    accepted. `two_holders` is set while the claim is usable and the old holder is still current.
    """

    log: tuple[int, ...]
    applied: tuple[int, ...]
    accepted_length: int
    two_holders: bool


def _members_after(log: tuple[int, ...], length: int) -> frozenset[int]:
    return MEMBERS - frozenset(log[:length])


def _is_majority(subset: frozenset[int], members: frozenset[int]) -> bool:
    return 2 * len(subset & members) > len(members)


class Members(Specification):
    """Member 4 may remove members 0 to 2, and claims the scope that member 0 holds.

    Members 0 to 2 may be cut off from the log but reach each other; 3 and 4 read the log.
    Heartbeats have no age here: `claims` covers their times. The old holder is current, by
    condition 3 of section 6, if a majority of the member list that it knows has applied no record
    that it lacks.
    """

    name = "members"
    rules_class = MemberRules
    max_states = 500_000

    def initial(self) -> MemberState:
        """Start with five members and an empty log."""
        return MemberState(
            log=(), applied=(0,) * len(MEMBERS), accepted_length=0, two_holders=False
        )

    def steps(self, state: MemberState) -> Iterator[Step]:
        """Yield the appends of the claimant, the reads of every member, and acceptances."""
        for label, after in self._all_steps(state):
            two_holders = self._claim_is_usable(after) and self._holder_is_current(after)
            yield label, after._replace(two_holders=two_holders)

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
        for length in range(state.accepted_length + 1, state.applied[CLAIMANT] + 1):
            if self._is_accepted(state, length):
                yield f"record {length} is accepted", state._replace(accepted_length=length)

    def _is_accepted(self, state: MemberState, length: int) -> bool:
        applied_by = frozenset(m for m in MEMBERS if state.applied[m] >= length)
        if not self.rules.accept_by_majority:
            return CLAIMANT in applied_by
        first = state.accepted_length if self.rules.accept_by_all_member_lists else length
        return all(
            _is_majority(applied_by, _members_after(state.log, prefix_length))
            for prefix_length in range(first, length + 1)
        )

    def _holder_is_current(self, state: MemberState) -> bool:
        applied = state.applied[HOLDER]
        members = _members_after(state.log, applied)
        if HOLDER not in members or CLAIM in state.log[:applied]:
            return False
        proving = frozenset(
            m for m in members if state.applied[m] <= applied or not self.rules.peer_not_ahead
        )
        return _is_majority(proving, members)

    def _claim_is_usable(self, state: MemberState) -> bool:
        return CLAIM in state.log[: state.accepted_length]

    properties = {"at most one holder is current": lambda s: not s.two_holders}
    witnesses = {
        "claim accepted after three removals": lambda s: s.accepted_length == 4,
        "claim accepted while the holder is cut off": lambda s: (
            CLAIM in s.log[: s.accepted_length] and s.applied[HOLDER] == 0
        ),
        "holder has applied its own removal": lambda s: HOLDER in s.log[: s.applied[HOLDER]],
    }
    mutants = (
        Mutant("accept_by_all_member_lists", "at most one holder is current"),
        Mutant("accept_by_majority", "at most one holder is current"),
        Mutant("peer_not_ahead", "at most one holder is current"),
    )
