"""HTTP handlers for operators: configuration, keys, waves, workers, publications, status."""

from fescuecrank_core.effects import ReplyVerdict, ReplyView, Verdict
from fescuecrank_core.errors import FailureKind
from fescuecrank_core.events import PublicationAsked, PublishAsked, StatusAsked

from fescuecrank_daemon import publications
from fescuecrank_daemon.http_base import EntryHandler
from fescuecrank_daemon.publications import ParsedRecord

VERDICT_STATUS = {Verdict.ACCEPTED: 200, Verdict.REFUSED: 409, Verdict.UNKNOWN: 504}


class OperatorHandler(EntryHandler):
    """Base class of the handlers for operators."""

    async def publish(self, parsed: ParsedRecord) -> None:
        """Publish a record and send the verdict."""
        if parsed.is_err():
            self.refuse(self.make_failure(FailureKind.INVALID, parsed.err_value))
            return
        secret, record = self.caller_key(), parsed.ok_value
        self.log_fields["record_id"] = record.record_id
        await self._post_and_answer(lambda token: PublishAsked(token, secret, record))

    async def publish_body(self, parse: object, *args: str) -> None:
        """Publish the record that `parse` makes from the body and `args`."""
        body = self.body()
        if body is not None:
            await self.publish(parse(body, *args))

    async def send_view(self, view: str, subject: str = "") -> None:
        """Send the named view of the reducer's state."""
        secret = self.caller_key()
        await self._post_and_answer(lambda token: StatusAsked(token, secret, view, subject))

    async def send_verdict(self, record_id: str) -> None:
        """Send the verdict on the publication with a record id."""
        secret = self.caller_key()
        await self._post_and_answer(lambda token: PublicationAsked(token, secret, record_id))

    async def _post_and_answer(self, make_event: object) -> None:
        wait_ms = self.context.cfg.operator_wait_ms
        result = await self.context.pending_calls.post_and_wait(
            make_event, wait_ms, until_final=False
        )
        if isinstance(result, ReplyVerdict):
            self._send_verdict_reply(result)
        elif isinstance(result, ReplyView):
            self.send_json(200, result.view)
        else:
            self.send_missing_reply(result)

    def _send_verdict_reply(self, reply: ReplyVerdict) -> None:
        body = {
            "record_id": reply.record_id,
            "verdict": reply.verdict.value,
            "offset": reply.offset,
            "detail": reply.detail,
        }
        self.send_json(VERDICT_STATUS[reply.verdict], body)

    def record_id_argument(self) -> str:
        """Return the record id in the query string."""
        return self.get_query_argument("record_id", "")


class ConfigHandler(OperatorHandler):
    """`/v1/config`."""

    async def get(self) -> None:
        """Send the declarations in force."""
        await self.send_view("config")

    async def post(self) -> None:
        """Publish changes."""
        await self.publish_body(publications.config_record)


class KeysHandler(OperatorHandler):
    """`/v1/keys`."""

    async def post(self) -> None:
        """Grant a key."""
        await self.publish_body(publications.key_grant_record)


class KeyHandler(OperatorHandler):
    """`/v1/keys/{key_id}`."""

    async def delete(self, key_id: str) -> None:
        """Withdraw a key."""
        await self.publish(publications.key_withdrawal_record(self.record_id_argument(), key_id))


class WavesHandler(OperatorHandler):
    """`/v1/waves`."""

    async def get(self) -> None:
        """List the waves."""
        await self.send_view("waves")

    async def post(self) -> None:
        """Start a wave."""
        await self.publish_body(publications.wave_start_record)


class WavePauseHandler(OperatorHandler):
    """`/v1/waves/{wave_id}/pause`."""

    async def post(self, wave_id: str) -> None:
        """Pause a wave."""
        await self.publish_body(publications.wave_pause_record, wave_id)


class WaveResumeHandler(OperatorHandler):
    """`/v1/waves/{wave_id}/resume`."""

    async def post(self, wave_id: str) -> None:
        """Resume a wave."""
        await self.publish_body(publications.wave_resume_record, wave_id)


class DrainHandler(OperatorHandler):
    """`/v1/workers/{name}/drain`."""

    async def post(self, worker: str) -> None:
        """Drain a worker."""
        await self.publish_body(publications.drain_record, worker)

    async def delete(self, worker: str) -> None:
        """Cancel a drain; the record id is in the query, as a DELETE body may be dropped."""
        await self.publish(publications.undrain_record(self.record_id_argument(), worker))


class StrikeHandler(OperatorHandler):
    """`/v1/members/{name}/strike`."""

    async def post(self, name: str) -> None:
        """Remove a permanently lost entry from all majorities."""
        await self.publish_body(publications.strike_record, name)


class WhyHandler(OperatorHandler):
    """`/v1/workers/{name}/why`."""

    async def get(self, worker: str) -> None:
        """Send why a worker is out of service, or cannot be taken out now."""
        await self.send_view("why", worker)


class PublicationHandler(OperatorHandler):
    """`/v1/publications/{record_id}`."""

    async def get(self, record_id: str) -> None:
        """Send the verdict on a publication."""
        await self.send_verdict(record_id)


class StatusHandler(OperatorHandler):
    """`/v1/status`."""

    async def get(self) -> None:
        """Send members, claims, pools, budgets and how current the state is."""
        await self.send_view("status")


class HealthHandler(EntryHandler):
    """`/healthz`."""

    def get(self) -> None:
        """Report that the event loop runs."""
        self.send_json(200, {"status": "alive"})


class ReadyHandler(EntryHandler):
    """`/readyz`."""

    def get(self) -> None:
        """Report to the load balancer whether to route requests to this entry."""
        if self.context.is_ready():
            self.send_json(200, {"status": "ready"})
        else:
            self.refuse(self.make_failure(FailureKind.UNAVAILABLE, "this entry is not ready"))


class MetricsHandler(EntryHandler):
    """`/metrics`."""

    def get(self) -> None:
        """Send the Prometheus exposition."""
        context = self.context
        body, headers = context.metrics.render(
            context.reducer_samples(),
            len(context.pending_calls),
            self.request.headers.get("Accept", ""),
        )
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)
