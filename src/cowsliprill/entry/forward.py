"""Passing a request on to the process that owns its ticket."""

import dataclasses
import http
import random

from tornado import httputil

from cowsliprill import codec
from cowsliprill import peer_auth
from cowsliprill import peers
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import tickets
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import exchange
from cowsliprill.engines import hop_headers
from cowsliprill.engines import http_client
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import world

METHOD_HEADER = "X-Forwarded-Method"
TARGET_HEADER = "X-Forwarded-Target"
OWNER_HEADER = "X-Ticket-Owner"

_RETRY_AFTER_S = 1.0
_ASK_S = 1.0
_MAX_TRIES = 2
_MAX_INCARNATION_BYTES = 1_024


@dataclasses.dataclass(slots=True)
class Forwarder:
    """Calls the owners of tickets over their peer ports.

    Attributes:
      client: HTTP client.
      world: The VM list in force.
      auth: Signs the bodies that are passed on.
      vm_id: This VM.
      random_source: Spreads requests over the other processes.
    """

    client: http_client.HttpClient
    world: world.World
    auth: peer_auth.PeerAuth
    vm_id: str
    random_source: random.Random

    async def forward(
        self, ctx: context.Context, ticket: tickets.Ticket
    ) -> None:
        """Has the owner of a ticket run the request, or tells its last answer.

        Whatever goes wrong, the request is not run here: the ticket may have
        been used at its owner before, and nobody else can know.

        Args:
          ctx: The request.
          ticket: Its ticket.

        Raises:
          errors.EntryError: The owner is gone or can't be reached.
        """
        vm = self._owner(ticket)
        if ctx.call.forwarded or vm is None:
            # A forwarded ticket of another incarnation has found the process
            # that took over its owner's port; passing it on again would go
            # round in a circle.
            raise owner_gone()
        ctx.progress.run = messages.Executed.UNKNOWN
        address = (vm.host, ticket.port)
        try:
            await self._pass_on(ctx, address, str(ticket.incarnation))
        except engine_errors.CallError as error:
            if ctx.reply.started:
                ctx.reply.abort()
            raise errors.EntryError(
                errors.Code.TICKET_OWNER_UNREACHABLE,
                "The process that owns this ticket can't be reached.",
                run=messages.Executed.UNKNOWN,
                retry_after_s=_RETRY_AFTER_S,
            ) from error

    async def issue_elsewhere(self, ctx: context.Context) -> bool:
        """Has a process that stays give out a ticket.

        A ticket of a process that is leaving would soon be worth nothing.

        Args:
          ctx: The request for a ticket.

        Returns:
          Whether another process has answered it.
        """
        others = self._others()
        self.random_source.shuffle(others)
        for address in others[:_MAX_TRIES]:
            try:
                incarnation = await self._incarnation_at(address)
                await self._pass_on(ctx, address, incarnation)
                return True
            except (engine_errors.CallError, codec.CodecError):
                if ctx.reply.started:
                    raise
        return False

    async def _incarnation_at(self, address: tuple[str, int]) -> str:
        response = await self.client.call(
            *address, "GET", peers.INCARNATION_PATH, {}, timeout_s=_ASK_S
        )
        text = await response.read(_MAX_INCARNATION_BYTES)
        return codec.decode(dict[str, str], text).get("incarnation", "")

    async def _pass_on(
        self, ctx: context.Context, address: tuple[str, int], owner: str
    ) -> None:
        timeout_s = ctx.service.timeout_s if ctx.service else _ASK_S
        response = await self.client.call(
            *address,
            "POST",
            peers.FORWARD_PATH,
            self._headers(ctx.call, owner),
            ctx.call.body,
            timeout_s=timeout_s,
            fresh=True,
        )
        await _relay(ctx, response)

    def _others(self) -> list[tuple[str, int]]:
        return [
            (vm.host, port)
            for vm in self.world.fleet.vms_by_id.values()
            if vm.role is model.VmRole.ENTRY
            and vm.state is model.VmState.LIVE
            and vm.id != self.vm_id
            for port in vm.entry_ports
        ]

    def _owner(self, ticket: tickets.Ticket) -> model.Vm | None:
        # Host and port come from the VM list: a made-up ticket could else have
        # this process call any address that its author likes.
        vm = self.world.fleet.vms_by_id.get(ticket.incarnation.vm)
        if vm is None or ticket.port not in vm.entry_ports:
            return None
        return vm

    def _headers(self, call: context.Call, owner: str) -> httputil.HTTPHeaders:
        headers = hop_headers.end_to_end(call.headers)
        headers[METHOD_HEADER] = call.method
        headers[TARGET_HEADER] = call.target
        headers[OWNER_HEADER] = owner
        for name, value in self.auth.headers(call.body).items():
            headers[name] = value
        return headers


async def _relay(ctx: context.Context, response: exchange.Response) -> None:
    headers = hop_headers.end_to_end(response.headers)
    if "Content-Length" in response.headers:
        headers["Content-Length"] = response.headers["Content-Length"]
    await ctx.reply.start(response.status, headers.get_all())
    async for chunk in response.chunks():
        await ctx.reply.write(chunk)
    await ctx.reply.end()
    ok = response.status < http.HTTPStatus.BAD_REQUEST
    ctx.progress.outcome = "forwarded" if ok else "forwarded_error"


def owner_gone() -> errors.EntryError:
    """Returns the answer for a ticket whose owner has ended."""
    return errors.EntryError(
        errors.Code.TICKET_OWNER_GONE,
        "The process that owns this ticket is gone. The request is never run"
        " again.",
        run=messages.Executed.UNKNOWN,
    )
