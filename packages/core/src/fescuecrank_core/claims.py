"""Claims on cells and on the `limits` scope: which entry holds them and when it may act."""

import attrs

from fescuecrank_core.clock import Instant
from fescuecrank_core.effects import Effect, Exit, Notice
from fescuecrank_core.entry_config import REMOVE_AFTER_MS, TAKEOVER_WAIT_MS, EntryConfig
from fescuecrank_core.ids import IdGenerator
from fescuecrank_core.ledger import NO_VERSION, Ledger
from fescuecrank_core.ledger_state import Claim
from fescuecrank_core.membership import Membership
from fescuecrank_core.publishing import Publisher
from fescuecrank_core.records import (
    LIMITS_SCOPE,
    ClaimReleased,
    ClaimTaken,
    MemberJoined,
    MemberLeft,
)
from fescuecrank_core.rendezvous import rank

CHECK_INTERVAL_MS = 100
SCOPE_SEPARATOR = "/"


def cell_scope(region: str, pool: str) -> str:
    """Return the scope of the part of a pool that lies in a region."""
    return f"{region}{SCOPE_SEPARATOR}{pool}"


def pool_of_scope(scope: str) -> str:
    """Return the pool of a cell's scope."""
    return scope.partition(SCOPE_SEPARATOR)[2]


@attrs.define
class HeldClaim:
    """A claim of this entry; `accepted_ms` is when this entry first found it accepted."""

    epoch: int
    accepted_ms: int | None = None


class ClaimManager:
    """Joins the members, removes dead members, and claims vacant scopes assigned to this entry."""

    def __init__(
        self,
        cfg: EntryConfig,
        ledger: Ledger,
        membership: Membership,
        publisher: Publisher,
        ids: IdGenerator,
    ) -> None:
        self._cfg = cfg
        self._ledger = ledger
        self._membership = membership
        self._publisher = publisher
        self._ids = ids
        self._held: dict[str, HeldClaim] = {}
        self._in_flight: dict[str, str] = {}
        self._next_check_ms = 0
        self._was_member = False

    def scopes(self) -> list[str]:
        """Return the scopes that an entry of this region may hold."""
        pools = self._ledger.fleet.pools
        return [LIMITS_SCOPE, *(cell_scope(self._cfg.region, pool) for pool in pools)]

    def held_claim(self, scope: str) -> Claim | None:
        """Return the claim on a scope if this incarnation holds it, else None."""
        claim = self._ledger.claim(scope)
        if claim is None or self._ledger.is_vacant(scope):
            return None
        is_own = (claim.holder, claim.incarnation) == (self._cfg.name, self._cfg.incarnation)
        return claim if is_own else None

    def may_act(self, scope: str, now: Instant) -> bool:
        """Return whether this entry may send commands under its claim on the scope now."""
        return self.is_usable(scope, now) and self._membership.is_current(now)

    def is_usable(self, scope: str, now: Instant) -> bool:
        """Return whether the claim is accepted and no earlier holder can act."""
        claim = self.held_claim(scope)
        held = self._held.get(scope)
        if claim is None or held is None or held.epoch != claim.epoch or held.accepted_ms is None:
            return False
        wait = 0 if claim.is_clean else TAKEOVER_WAIT_MS
        return now.mono_ms >= held.accepted_ms + wait

    def on_tick(self, now: Instant) -> list[Effect]:
        """Join if needed, remove dead members, and claim vacant scopes."""
        if now.mono_ms < self._next_check_ms:
            return []
        self._next_check_ms = now.mono_ms + CHECK_INTERVAL_MS
        self._update_accepted(now)
        if not self._membership.is_current(now) or not self._membership.has_quorum(now):
            return []
        if not self._is_member():
            return self._join(now)
        self._was_member = True
        effects = self._remove_dead_members(now)
        for scope in self.scopes():
            effects.extend(self._claim_if_vacant(scope, now))
        return effects

    def _update_accepted(self, now: Instant) -> None:
        lists = self._ledger.state.member_lists
        if len(lists) > 1:
            self._membership.is_accepted(lists[-1].offset)
        for scope in self.scopes():
            claim = self.held_claim(scope)
            if claim is None:
                self._held.pop(scope, None)
                continue
            held = self._held.get(scope)
            if held is None or held.epoch != claim.epoch:
                held = self._held[scope] = HeldClaim(claim.epoch)
            if held.accepted_ms is None and self._membership.is_accepted(claim.epoch):
                held.accepted_ms = now.mono_ms

    def _is_member(self) -> bool:
        member = self._ledger.state.members.get(self._cfg.name)
        return member is not None and member.incarnation == self._cfg.incarnation

    def was_removed(self) -> bool:
        """Return whether the log shows that this incarnation has left or was replaced."""
        known = self._ledger.state.incarnations.get(self._cfg.name, 0)
        return known >= self._cfg.incarnation and not self._is_member()

    def _join(self, now: Instant) -> list[Effect]:
        if self._membership.draining:
            return []
        known = self._ledger.state.incarnations.get(self._cfg.name, 0)
        if self._was_member and known > self._cfg.incarnation:
            # Two processes with the same name would keep taking over each other's claims.
            return [Notice("name_taken", {"incarnation": known}), Exit()]
        if known >= self._cfg.incarnation:
            # The process rejoins under a new incarnation and does not get its old claims back.
            self._cfg.incarnation = known + 1
        record = MemberJoined(
            self._ids.next("join"),
            self._cfg.name,
            self._cfg.incarnation,
            self._cfg.region,
            self._cfg.data_centre,
            self._cfg.peer_address,
        )
        return self._publish_once("join", record, now)

    def _remove_dead_members(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        for member in list(self._ledger.state.members.values()):
            if self._membership.is_live(member, now) or not self._may_remove_members(now):
                continue
            if self._membership.silent_ms(member.name, now) <= REMOVE_AFTER_MS:
                continue
            record = MemberLeft(self._ids.next("left"), member.name, member.incarnation)
            effects.append(Notice("member_silent", {"peer": member.name}))
            effects.extend(self._publish_once(f"left {member.name}", record, now))
        return effects

    def _may_remove_members(self, now: Instant) -> bool:
        names = [member.name for member in self._membership.live_members(now)]
        return bool(names) and min(names) == self._cfg.name

    def _claim_if_vacant(self, scope: str, now: Instant) -> list[Effect]:
        if not self._ledger.is_vacant(scope) or not self._is_preferred_holder(scope, now):
            return []
        previous = self._ledger.claim(scope)
        record = ClaimTaken(
            self._ids.next("claim"),
            scope,
            previous.epoch if previous else NO_VERSION,
            self._cfg.name,
            self._cfg.incarnation,
        )
        return self._publish_once(scope, record, now)

    def _is_preferred_holder(self, scope: str, now: Instant) -> bool:
        names = self.candidates_for(scope, now)
        previous = self._ledger.claim(scope)
        if previous is not None and previous.successor in names:
            return previous.successor == self._cfg.name
        return bool(names) and names[0] == self._cfg.name

    def candidates_for(self, scope: str, now: Instant) -> list[str]:
        """Return the entries that may claim a scope, in order of preference."""
        members = self._membership.candidates(now)
        if scope != LIMITS_SCOPE:
            members = [member for member in members if member.region == self._cfg.region]
        return rank(scope, [member.name for member in members])

    def release(self, scope: str, successor: str, now: Instant) -> list[Effect]:
        """Release the claim on a scope in favour of a successor."""
        claim = self.held_claim(scope)
        if claim is None:
            return []
        record = ClaimReleased(self._ids.next("release"), scope, claim.epoch, successor)
        return self._publish_once(f"release {scope}", record, now)

    def leave(self, now: Instant) -> list[Effect]:
        """End the membership of this incarnation."""
        record = MemberLeft(self._ids.next("left"), self._cfg.name, self._cfg.incarnation)
        return self._publish_once("leave", record, now)

    def _publish_once(self, purpose: str, record: object, now: Instant) -> list[Effect]:
        in_flight = self._in_flight.get(purpose)
        if in_flight is not None and self._publisher.is_pending(in_flight):
            return []
        self._in_flight[purpose] = record.record_id
        return self._publisher.publish(record, now)
