"""HTTP client of the platform's machine service and of its advice service."""

from typing import Any
from urllib.parse import quote

import orjson
from fescuecrank_scheduler.effects import Advise, MaintainMachine, MoveMachine
from fescuecrank_scheduler.events import Advised, MachineOrderDone, MachineRow, OrderResult
from fescuecrank_scheduler.fleet import NO_RESOURCES
from fescuecrank_scheduler.validation import (
    FieldReader,
    elements,
    name,
    number,
    required_name,
    row,
    text,
)
from fescuecrank_service.http_client import HttpClient
from fescuecrank_service.interfaces import FleetClient

from fescuecrank_platform.configuration import decode_labels, decode_resources
from fescuecrank_platform.settings import Endpoints

LIST_TIMEOUT_MS = 1_500
ORDER_TIMEOUT_MS = 1_500
ADVICE_TIMEOUT_MS = 3_000

# Limit on pages of the list of machines; a longer list is treated as unreadable.
MAX_PAGES = 200

# Results by the reason in a response with status 409.
RESULT_BY_REASON = {
    "fence": OrderResult.FENCED,
    "busy": OrderResult.BUSY,
    "wave": OrderResult.REJECTED,
}

RESULT_BY_STATUS = {
    200: OrderResult.OK,
    400: OrderResult.REJECTED,
    429: OrderResult.THROTTLED,
}


class HttpFleetClient(FleetClient):
    """Calls by HTTP; `lease_holder` is the name under which this process sends orders."""

    def __init__(self, client: HttpClient, endpoints: Endpoints, lease_holder: str) -> None:
        self._client = client
        self._endpoints = endpoints
        self._lease_holder = lease_holder

    async def list_machines(self) -> tuple[MachineRow, ...] | None:
        """Read all pages of the list; None if one of them cannot be read."""
        rows: list[MachineRow] = []
        page_token, page_tokens = "", set()
        for _ in range(MAX_PAGES):
            path = "/api/machines" + (
                f"?page_token={quote(page_token, safe='')}" if page_token else ""
            )
            outcome = await self._client.call(
                "machines.list",
                self._endpoints.machines,
                "GET",
                path,
                LIST_TIMEOUT_MS,
                resend=True,
            )
            if outcome.is_err() or outcome.ok_value.code != 200:
                return None
            try:
                page = FieldReader(orjson.loads(outcome.ok_value.body))
                rows += page.read("machines", _machine_rows)
                page_token = page.optional("next_token", text, "")
            except ValueError:
                return None
            if not page_token:
                return tuple(rows)
            if page_token in page_tokens:
                return None
            page_tokens.add(page_token)
        return None

    async def move_machine(self, effect: MoveMachine) -> MachineOrderDone:
        """Move a machine to another pool."""
        body = {"machine": effect.machine, "pool": effect.pool}
        result = await self._send_order("/api/machine-move", body, effect.epoch)
        return MachineOrderDone(effect.machine, None, result)

    async def maintain_machine(self, effect: MaintainMachine) -> MachineOrderDone:
        """Take a machine down for maintenance."""
        body = {"machine": effect.machine, "wave": effect.wave}
        result = await self._send_order("/api/machine-upkeep", body, effect.epoch)
        return MachineOrderDone(effect.machine, effect.wave, result)

    async def _send_order(self, path: str, body: dict[str, object], epoch: int) -> OrderResult:
        headers = {
            "Content-Type": "application/json",
            "X-Lease-Holder": self._lease_holder,
            "X-Fencing-Token": str(epoch),
        }
        # The client sends it once: the refusal of a second copy would say nothing about the first.
        outcome = await self._client.call(
            "machines.order",
            self._endpoints.machines,
            "POST",
            path,
            ORDER_TIMEOUT_MS,
            orjson.dumps(body),
            headers,
        )
        if outcome.is_err():
            return OrderResult.NO_ANSWER
        response = outcome.ok_value
        if response.code == 409:
            try:
                return RESULT_BY_REASON[orjson.loads(response.body)["reason"]]
            except (ValueError, KeyError, TypeError):
                return OrderResult.BUSY
        return RESULT_BY_STATUS.get(response.code, OrderResult.NO_ANSWER)

    async def request_advice(self, effect: Advise) -> Advised:
        """Ask which workers may run a step; the service issues a ticket for each of them."""
        body = {
            "step": f"{effect.job}.{effect.occurrence}.{effect.step}",
            "workers": list(effect.workers),
        }
        outcome = await self._client.call(
            "advice.ask",
            self._endpoints.advice,
            "POST",
            "/api/advise",
            ADVICE_TIMEOUT_MS,
            orjson.dumps(body),
            {"Content-Type": "application/json"},
            resend=True,
        )
        tickets, validity_ms = None, 0
        if outcome.is_ok() and outcome.ok_value.code == 200:
            try:
                advice = FieldReader(orjson.loads(outcome.ok_value.body))
                rows = advice.read("good", _ticket_rows)
                tickets = {worker: ticket for worker, ticket in rows if worker in effect.workers}
                validity_ms = int(advice.read("validity_ms", number))
            except ValueError:
                tickets = None
        return Advised(
            effect.job, effect.occurrence, effect.step, effect.workers, tickets, validity_ms
        )


def _machine_rows(value: Any) -> tuple[MachineRow, ...]:
    return elements(value, _decode_machine)


def _decode_machine(value: Any) -> MachineRow:
    fields = FieldReader(value)
    return MachineRow(
        fields.read("machine", required_name),
        fields.read("pool", name),
        fields.read("state", name),
        fields.optional("id", name, ""),
        fields.optional("capacity", decode_resources, NO_RESOURCES),
        fields.optional("labels", decode_labels, ()),
    )


def _ticket_rows(value: Any) -> tuple[list[Any], ...]:
    return elements(value, lambda cells: row(cells, (name, text), 2, True))
