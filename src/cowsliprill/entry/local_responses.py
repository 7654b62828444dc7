"""Parts of the HTTP API that the entry process serves itself.

These are the model list, the issue of tickets and the response for unknown
paths; none of them needs an engine or a plain service.
"""

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
    """Serves `GET /v1/models`: the model services of the calling customer."""
    services = resolve.services_of(ctx.customer, ctx.snapshot)
    data = [
        {"id": name, "object": "model", "owned_by": service.customer}
        for name, service in sorted(services.items())
        if service.kind is model.ServiceKind.MODEL
    ]
    await _send_json(ctx, _OK, {"object": "list", "data": data})


async def raise_path_not_found(ctx: context.Context) -> None:
    """Serves unknown paths.

    Args:
      ctx: The request.

    Raises:
      errors.EntryError: Always, with `PATH_NOT_FOUND`.
    """
    raise errors.EntryError(
        errors.Code.PATH_NOT_FOUND, f"There is nothing at {ctx.call.path}."
    )


@dataclasses.dataclass(slots=True)
class IssueTicket:
    """Serves `POST /v1/tickets`.

    Attributes:
      ticket_store: Ticket store of this incarnation.
      gate: Request gate; says whether the process is draining.
      forwarder: Forwards requests to other entry processes.
    """

    ticket_store: tickets.TicketStore
    gate: gate_lib.Gate
    forwarder: ticket_forwarding.TicketForwarder

    async def __call__(self, ctx: context.Context) -> None:
        """Issues a ticket for one request to a service.

        A draining process lets another process issue the ticket if one can be
        reached.
        """
        fields = schema.parse_json(ctx.call.body)
        request = schema.validate(schema.TicketRequest, fields)
        service = resolve.find_service(
            request.service, ctx.customer, ctx.snapshot
        )
        should_delegate = self.gate.draining and not ctx.call.forwarded
        if should_delegate and await self.forwarder.issue_at_peer(ctx):
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
