"""Calls of operators: publications, and views of the state."""

from collections.abc import Callable

import attrs
from cattrs import unstructure

from fescuecrank_core.cell_host import CellHost
from fescuecrank_core.claims import SCOPE_SEPARATOR
from fescuecrank_core.clock import Instant
from fescuecrank_core.declarations import SECTIONS
from fescuecrank_core.effects import (
    Effect,
    ReplyFailure,
    ReplyVerdict,
    ReplyView,
    SendPeer,
    Verdict,
)
from fescuecrank_core.entry_config import EntryConfig
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_core.events import PublicationAsked, PublishAsked, StatusAsked
from fescuecrank_core.ids import IdGenerator
from fescuecrank_core.keys import key_id_of, verify_secret
from fescuecrank_core.ledger import Ledger, version_key
from fescuecrank_core.ledger_state import Key
from fescuecrank_core.membership import Membership
from fescuecrank_core.messages import ViewReply, ViewRequest
from fescuecrank_core.publishing import Publisher
from fescuecrank_core.records import MemberLeft, Record

VIEW_TIMEOUT_MS = 3_000


@attrs.frozen
class PendingView:
    """An operator's query that waits for the answer of the holder of a cell."""

    reply_to: str
    subject: str
    pool: str
    since_ms: int


class OperatorApi:
    """Checks operators' keys, publishes their records, and returns views of the state."""

    def __init__(
        self,
        cfg: EntryConfig,
        ledger: Ledger,
        membership: Membership,
        publisher: Publisher,
        cell_host: CellHost,
        ids: IdGenerator,
    ) -> None:
        self._cfg = cfg
        self._ledger = ledger
        self._membership = membership
        self._publisher = publisher
        self._cell_host = cell_host
        self._ids = ids
        self._views: dict[str, PendingView] = {}
        self._settings_keys = {
            item.key_id: Key(item.key_id, item.kind, item.team, item.salt, item.digest)
            for item in cfg.operator_keys
        }

    def _authorize(self, secret: str, now: Instant, step: str) -> Failure | None:
        key_id = key_id_of(secret)
        key = self._ledger.state.keys.get(key_id) or self._settings_key(key_id)
        if verify_secret(secret, key) and key.kind == "operator":
            return None
        detail = "the key is unknown, withdrawn, or not an operator's key"
        return Failure(FailureKind.UNAUTHORIZED, step, self._cfg.name, detail)

    def _settings_key(self, key_id: str) -> Key | None:
        if key_id in self._ledger.state.withdrawn:
            return None
        return self._settings_keys.get(key_id)

    def on_publish(self, event: PublishAsked, now: Instant) -> list[Effect]:
        """Publish a record if it passes the checks that can be made before it is sent."""
        failure = self._authorize(event.secret, now, "publish")
        failure = failure or self._check_publishable(event.record, now)
        if failure is not None:
            return [ReplyFailure(event.reply_to, failure)]
        record_id = event.record.record_id
        is_known = self._ledger.verdict(record_id) or self._publisher.is_pending(record_id)
        refusal = None if is_known else self._ledger.dry_run(event.record)
        if refusal is not None:
            detail = f"not sent: {refusal.detail}"
            return [ReplyVerdict(event.reply_to, record_id, Verdict.REFUSED, -1, detail)]
        return self._publisher.publish(event.record, now, event.reply_to)

    def _check_publishable(self, record: Record, now: Instant) -> Failure | None:
        # A forced removal must work without a quorum: it is how a deployment that has lost members
        # gets its quorum back.
        is_forced_removal = isinstance(record, MemberLeft) and record.forced
        if not self._membership.is_current(now):
            detail = "this entry cannot tell whether its configuration is current"
        elif not is_forced_removal and not self._membership.has_quorum(now):
            detail = "this entry has no recent heartbeats from a majority of the entries"
        else:
            return None
        return Failure(FailureKind.UNAVAILABLE, "publish", self._cfg.name, detail)

    def on_publication_asked(self, event: PublicationAsked, now: Instant) -> list[Effect]:
        """Reply with the verdict on a record id."""
        failure = self._authorize(event.secret, now, "publication")
        if failure is not None:
            return [ReplyFailure(event.reply_to, failure)]
        return self._publisher.query_verdict(event.record_id, event.reply_to, now)

    def on_status(self, event: StatusAsked, now: Instant) -> list[Effect]:
        """Reply with a view of the state of this entry."""
        failure = self._authorize(event.secret, now, "status")
        if failure is not None:
            return [ReplyFailure(event.reply_to, failure)]
        if event.view == "why":
            return self._request_explanation(event, now)
        view = _VIEWS.get(event.view)
        content = view(self, event.subject, now) if view else None
        if content is None:
            detail = f"nothing to show for {event.view} {event.subject}".rstrip()
            failure = Failure(FailureKind.NOT_FOUND, "status", self._cfg.name, detail)
            return [ReplyFailure(event.reply_to, failure)]
        return [ReplyView(event.reply_to, content)]

    def _config(self, subject: str, now: Instant) -> dict:
        sections: dict[str, dict] = {}
        for section in SECTIONS:
            items = getattr(self._ledger.fleet, section)
            sections[section] = {
                name: {
                    "version": self._ledger.state.versions[version_key(section, name)],
                    "value": unstructure(value),
                }
                for name, value in items.items()
            }
        return {"applied": self._ledger.applied, "sections": sections}

    def _status(self, subject: str, now: Instant) -> dict:
        live = {member.name for member in self._membership.live_members(now)}
        members = [
            {**unstructure(member), "live": member.name in live}
            for member in self._ledger.state.members.values()
        ]
        claims = [
            {
                "scope": claim.scope,
                "epoch": claim.epoch,
                "holder": claim.holder,
                "backups": list(claim.backups),
                "prepared": claim.prepared,
                "vacant": self._ledger.is_vacant(claim.scope),
            }
            for claim in self._ledger.state.claims.values()
        ]
        return {
            "entry": self._cfg.name,
            "incarnation": self._cfg.incarnation,
            "applied": self._ledger.applied,
            "current": self._membership.is_current(now),
            "majority": self._membership.has_quorum(now),
            "log_read_age_ms": max(0, min(self._membership.log_read_age_ms(now), 10**9)),
            "members": members,
            "claims": claims,
            "pools": self._pools(),
            "keys": sorted(self._ledger.state.keys),
            "cells": [self._cell(cell) for cell in self._cell_host.cells.values()],
        }

    def _pools(self) -> dict[str, list[str]]:
        return {name: self._ledger.workers_of(name) for name in self._ledger.fleet.pools}

    @staticmethod
    def _cell(cell: object) -> dict:
        return {
            "scope": cell.scope,
            "epoch": cell.epoch,
            "waiting": len(cell.queue),
            "running": len(cell.tasks),
            "in_service": len(cell.workers.usable()),
            "out": {name: reason.value for name, reason in cell.workers.out_reasons().items()},
            "escrow": {
                name: {"units": account.units, "in_use": account.in_use}
                for name, account in cell.accounts.teams().items()
            },
        }

    def _waves(self, subject: str, now: Instant) -> dict:
        waves = []
        for wave in self._ledger.state.waves.values():
            pools = wave.pools or tuple(self._ledger.fleet.pools)
            workers = [name for pool in pools for name in self._ledger.workers_of(pool)]
            done = [name for name in workers if name in wave.done]
            waves.append(
                {
                    "wave_id": wave.wave_id,
                    "pools": list(pools),
                    "paused": wave.paused,
                    "done": len(done),
                    "total": len(workers),
                    "finished": len(done) == len(workers),
                }
            )
        return {"waves": waves}

    def _request_explanation(self, event: StatusAsked, now: Instant) -> list[Effect]:
        """Request the explanation from the holders of the worker's pool, here or elsewhere."""
        pool = self._ledger.pool_of(event.subject)
        holders = [
            self._ledger.holder(scope)
            for scope in self._ledger.state.claims
            if pool is not None and scope.endswith(f"{SCOPE_SEPARATOR}{pool}")
        ]
        holders = [holder.name for holder in holders if holder is not None]
        if not holders:
            detail = f"no entry schedules worker {event.subject!r} now"
            failure = Failure(FailureKind.NOT_FOUND, "why", self._cfg.name, detail)
            return [ReplyFailure(event.reply_to, failure)]
        query_id = self._ids.next("view")
        self._views[query_id] = PendingView(event.reply_to, event.subject, pool, now.mono_ms)
        request = ViewRequest(query_id, "why", event.subject)
        return [SendPeer(holder, request) for holder in holders]

    def on_view_request(self, sender: str, message: ViewRequest, now: Instant) -> list[Effect]:
        """Answer an operator's query that another entry received."""
        answer = self._cell_host.explain_worker(message.subject) or ""
        return [SendPeer(sender, ViewReply(message.query_id, answer))]

    def on_view_reply(self, sender: str, message: ViewReply, now: Instant) -> list[Effect]:
        """Pass the first answer that is not empty to the operator."""
        if not message.answer or message.query_id not in self._views:
            return []
        pending = self._views.pop(message.query_id)
        view = {"worker": pending.subject, "pool": pending.pool, "answer": message.answer}
        return [ReplyView(pending.reply_to, {**view, "holder": sender})]

    def on_tick(self, now: Instant) -> list[Effect]:
        """Fail the queries that no holder has answered in time."""
        effects: list[Effect] = []
        for query_id, pending in list(self._views.items()):
            if now.mono_ms - pending.since_ms > VIEW_TIMEOUT_MS:
                del self._views[query_id]
                detail = f"no holder knows worker {pending.subject!r}, or none answered in time"
                failure = Failure(FailureKind.TIMEOUT, "why", self._cfg.name, detail)
                effects.append(ReplyFailure(pending.reply_to, failure))
        return effects


_VIEWS: dict[str, Callable[[OperatorApi, str, Instant], dict | None]] = {
    "config": OperatorApi._config,
    "status": OperatorApi._status,
    "waves": OperatorApi._waves,
}
