"""Forwards a request to the entry process that owns its ticket.

A ticket is an idempotency key that one entry process has issued. Only that
process knows whether the ticket has been used.
"""

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
from cowsliprill.entry import cluster_state
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import peer_response

METHOD_HEADER = "X-Forwarded-Method"
TARGET_HEADER = "X-Forwarded-Target"
OWNER_INCARNATION_HEADER = "X-Ticket-Owner"

_RETRY_AFTER_S = 1.0
_PEER_TIMEOUT_S = 1.0
_MAX_PEERS_TRIED = 2
_MAX_INCARNATION_BYTES = 1_024


@dataclasses.dataclass(slots=True)
class TicketForwarder:
    """Forwards requests to other entry processes over their peer ports.

    Attributes:
      client: HTTP client.
      cluster_state: Cluster state; its VM list gives the addresses.
      auth: Signs forwarded bodies.
      vm_id: ID of this VM.
      random_source: Shuffles the peers that tickets are requested from.
    """

    client: http_client.HttpClient
    cluster_state: cluster_state.ClusterState
    auth: peer_auth.PeerAuth
    vm_id: str
    random_source: random.Random

    async def forward(
        self, ctx: context.Context, ticket: tickets.Ticket
    ) -> None:
        """Forwards a request to the owner of its ticket.

        The owner executes the request or replays the stored response. After a
        failure the request is not executed locally: the owner may have
        executed it before, and no other process can tell.

        Args:
          ctx: Request context.
          ticket: Ticket that the request carries.

        Raises:
          errors.EntryError: The owner has ended or is unreachable.
        """
        vm = self._owner_vm(ticket)
        if ctx.call.forwarded or vm is None:
            # A forwarded ticket of another incarnation has reached the process
            # that took over the owner's port. Forwarding the request again
            # would create a loop.
            raise owner_ended_error()
        ctx.progress.run = messages.Executed.UNKNOWN
        address = (vm.host, ticket.port)
        try:
            owner = str(ticket.incarnation)
            await _relay_response(ctx, await self._send(ctx, address, owner))
        except engine_errors.CallError as error:
            if ctx.response_writer.started:
                ctx.response_writer.abort()
            raise errors.EntryError(
                errors.Code.TICKET_OWNER_UNREACHABLE,
                "The process that owns this ticket can't be reached.",
                run=messages.Executed.UNKNOWN,
                retry_after_s=_RETRY_AFTER_S,
            ) from error

    async def issue_at_peer(self, ctx: context.Context) -> bool:
        """Forwards a request for a ticket to another entry process.

        Used while this process shuts down: its own tickets become invalid
        when it ends.

        Args:
          ctx: Context of the request for a ticket.

        Returns:
          Whether a peer's response was relayed; else the peers tried are
          unreachable or unavailable, for instance because they shut down too.

        Raises:
          engine_errors.CallError: The connection to the peer failed after the
            response to the caller had started.
        """
        addresses = self._peer_addresses()
        self.random_source.shuffle(addresses)
        for address in addresses[:_MAX_PEERS_TRIED]:
            try:
                incarnation = await self._fetch_incarnation(address)
                response = await self._send(ctx, address, incarnation)
                if response.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
                    response.close()
                    continue
                await _relay_response(ctx, response)
                return True
            except (engine_errors.CallError, codec.CodecError):
                if ctx.response_writer.started:
                    raise
        return False

    async def _fetch_incarnation(self, address: tuple[str, int]) -> str:
        response = await self.client.call(
            *address,
            "GET",
            peers.INCARNATION_PATH,
            {},
            timeout_s=_PEER_TIMEOUT_S,
        )
        body = await response.read(_MAX_INCARNATION_BYTES)
        return codec.decode(dict[str, str], body).get("incarnation", "")

    async def _send(
        self,
        ctx: context.Context,
        address: tuple[str, int],
        owner_incarnation: str,
    ) -> exchange.Response:
        timeout_s = ctx.service.timeout_s if ctx.service else _PEER_TIMEOUT_S
        return await self.client.call(
            *address,
            "POST",
            peers.FORWARD_PATH,
            self._forward_headers(ctx.call, owner_incarnation),
            ctx.call.body,
            timeout_s=timeout_s,
            new_connection=True,
        )

    def _peer_addresses(self) -> list[tuple[str, int]]:
        return [
            (vm.host, port)
            for vm in self.cluster_state.fleet.vms_by_id.values()
            if vm.role is model.VmRole.ENTRY
            and vm.state is model.VmState.LIVE
            and vm.id != self.vm_id
            for port in vm.entry_ports
        ]

    def _owner_vm(self, ticket: tickets.Ticket) -> model.Vm | None:
        # Host and port are checked against the VM list. Otherwise a forged
        # ticket could make this process call an arbitrary address.
        vm = self.cluster_state.fleet.vms_by_id.get(ticket.incarnation.vm)
        if vm is None or ticket.port not in vm.entry_ports:
            return None
        return vm

    def _forward_headers(
        self, call: context.Call, owner_incarnation: str
    ) -> httputil.HTTPHeaders:
        headers = hop_headers.end_to_end(call.headers)
        headers[METHOD_HEADER] = call.method
        headers[TARGET_HEADER] = call.target
        headers[OWNER_INCARNATION_HEADER] = owner_incarnation
        for name, value in self.auth.headers(call.body).items():
            headers[name] = value
        return headers


async def _relay_response(
    ctx: context.Context, response: exchange.Response
) -> None:
    try:
        await peer_response.relay(ctx.response_writer, response)
    finally:
        response.close()
    succeeded = response.status < http.HTTPStatus.BAD_REQUEST
    ctx.progress.outcome = "forwarded" if succeeded else "forwarded_error"


def owner_ended_error() -> errors.EntryError:
    """Returns the error for a ticket whose owner process has ended."""
    return errors.EntryError(
        errors.Code.TICKET_OWNER_GONE,
        "The process that owns this ticket is gone. The request is never run"
        " again.",
        run=messages.Executed.UNKNOWN,
    )
