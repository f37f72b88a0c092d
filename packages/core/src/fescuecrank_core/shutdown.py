"""Planned stop of an entry: it finishes open calls and hands its cells over."""

from fescuecrank_core.cell_host import CellHost
from fescuecrank_core.claims import ClaimManager
from fescuecrank_core.clock import Instant
from fescuecrank_core.effects import Effect, Exit, Notice
from fescuecrank_core.events import ShutdownAsked
from fescuecrank_core.gateway import Gateway
from fescuecrank_core.membership import Membership
from fescuecrank_core.records import LIMITS_SCOPE

# The load balancer may send new requests for this long after the entry reports not ready.
UNREADY_NOTICE_MS = 3_000
DEADLINE_MS = 30_000
# Time at the end to write the last answers and to publish that the entry leaves.
LEAVE_TIMEOUT_MS = 2_000


class Shutdown:
    """Sequence of a planned stop: hand over scopes, close the gateway, finish calls, leave."""

    def __init__(
        self, membership: Membership, claims: ClaimManager, cell_host: CellHost, gateway: Gateway
    ) -> None:
        self._membership = membership
        self._claims = claims
        self._cell_host = cell_host
        self._gateway = gateway
        self._requested_ms: int | None = None
        self._leave_ms: int | None = None

    def on_shutdown(self, event: ShutdownAsked, now: Instant) -> list[Effect]:
        """Begin the planned stop; further requests have no effect."""
        if self._requested_ms is None:
            self._requested_ms = now.mono_ms
            self._membership.draining = True
        return []

    def on_tick(self, now: Instant) -> list[Effect]:
        """Advance the planned stop if there is one."""
        if self._requested_ms is None:
            return []
        age = now.mono_ms - self._requested_ms
        if age >= UNREADY_NOTICE_MS:
            self._gateway.closed = True
        effects = self._hand_over(now)
        is_late = age >= DEADLINE_MS - LEAVE_TIMEOUT_MS
        if is_late:
            effects.extend(self._gateway.answer_all_pending())
        is_idle = self._gateway.closed and not self._gateway.callers_waiting()
        if is_late or (
            is_idle and not self._held_scopes() and not self._cell_host.open_call_count()
        ):
            effects.extend(self._leave(now))
        return effects

    def _held_scopes(self) -> list[str]:
        return [scope for scope in self._claims.scopes() if self._claims.held_claim(scope)]

    def _hand_over(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        for scope in self._held_scopes():
            cell = self._cell_host.cell(scope)
            if cell is not None:
                # Gateways resend requests that this cell no longer accepts until the successor
                # answers. Running tasks continue under their leases, and the successor queries the
                # workers for them.
                cell.is_stopping = True
            successors = self._claims.candidates_for(scope, now)
            if successors or scope == LIMITS_SCOPE:
                successor = successors[0] if successors else ""
                effects.extend(self._claims.release(scope, successor, now))
        return effects

    def _leave(self, now: Instant) -> list[Effect]:
        if self._leave_ms is None:
            self._leave_ms = now.mono_ms
            return [Notice("leaving", {}), *self._claims.leave(now)]
        has_left = self._claims.was_removed()
        if has_left or now.mono_ms - self._leave_ms > LEAVE_TIMEOUT_MS:
            return [Exit()]
        return []
