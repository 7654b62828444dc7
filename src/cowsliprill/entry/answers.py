"""Answers that this process gives by itself: models, tickets, not found."""

import dataclasses
import json
from typing import Any

from cowsliprill import clock
from cowsliprill.decisions import model
from cowsliprill.decisions import tickets
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import gate as gate_lib
from cowsliprill.entry import response_writer as response_writer_lib
from cowsliprill.entry import schema
from cowsliprill.entry import ticket_forwarding
from cowsliprill.entry.filters import resolve

_OK = 200
_CREATED = 201
_JSON_HEADERS = (("Content-Type", "application/json"),)


async def list_models(ctx: context.Context) -> None:
    """Answers `GET /v1/models` with the model services of the caller."""
    services = resolve.services_of(ctx.customer, ctx.snapshot)
    data = [
        {"id": name, "object": "model", "owned_by": service.customer}
        for name, service in sorted(services.items())
        if service.kind is model.ServiceKind.MODEL
    ]
    await _send_json(ctx, _OK, {"object": "list", "data": data})


async def refuse_path(ctx: context.Context) -> None:
    """Answers any path that isn't served."""
    raise errors.EntryError(
        errors.Code.PATH_NOT_FOUND, f"There is nothing at {ctx.call.path}."
    )


@dataclasses.dataclass(slots=True)
class IssueTicket:
    """Answers `POST /v1/tickets`.

    Attributes:
      ticket_store: The tickets of this incarnation.
      gate: Knows whether the process is leaving.
      forwarder: Reaches the processes that stay.
    """

    ticket_store: tickets.TicketStore
    gate: gate_lib.Gate
    forwarder: ticket_forwarding.TicketForwarder

    async def __call__(self, ctx: context.Context) -> None:
        """Gives out a ticket for one request of a service."""
        fields = schema.parse_json(ctx.call.body)
        request = schema.validate(schema.TicketRequest, fields)
        service = resolve.find_service(
            request.service, ctx.customer, ctx.snapshot
        )
        leaving = self.gate.draining and not ctx.call.forwarded
        if leaving and await self.forwarder.issue_at_peer(ctx):
            return
        ticket = self.ticket_store.issue(
            ctx.customer.id, service.id, clock.now()
        )
        await _send_json(
            ctx,
            _CREATED,
            {
                "ticket": str(ticket),
                "service": service.name,
                "expires_in_s": tickets.RECORD_TTL_S,
            },
        )


async def _send_json(
    ctx: context.Context, status: int, fields: dict[str, Any]
) -> None:
    body = json.dumps(fields).encode()
    await response_writer_lib.send(
        ctx.response_writer, status, _JSON_HEADERS, body
    )
