"""Tests of the handler of requests that peers relay, over real connections."""

import asyncio
import types

from tornado import httpclient
from tornado import httpserver
from tornado import httputil
from tornado import netutil
from tornado import web

from cowsliprill import peer_auth
from cowsliprill.decisions import identity
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.entry import context
from cowsliprill.entry import gate as gate_lib
from cowsliprill.entry import handlers
from cowsliprill.entry import relay_envelope
from cowsliprill.entry import relayed_call
from cowsliprill.entry import response_writer

_BODY = b"a request"
_PATH = "/v1/relay"


async def _answer_rejection(ctx: context.Context) -> None:
    response = relayed_call.ErrorFormatter().error_response(ctx.call.rejection)
    await response_writer.send(
        ctx.response_writer, response.status, response.headers, response.body
    )


class _Vm:
    """A VM whose peers sign what they relay to it."""

    def __init__(self, limits: model.HttpLimits | None = None) -> None:
        cluster_state = cluster_state_lib.ClusterState()
        if limits is not None:
            snapshot = model.Snapshot(limits=limits)
            cluster_state.update(snapshot, model.Fleet())
        self.gate = gate_lib.Gate(
            identity.Incarnation("vm", "e0", "0"), cluster_state
        )
        self._auth = peer_auth.PeerAuth("shared by the VMs")
        arguments = {
            "gate": self.gate,
            "handle": _answer_rejection,
            "auth": self._auth,
        }
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self._port = sockets[0].getsockname()[1]
        self._server = httpserver.HTTPServer(
            web.Application([(_PATH, handlers.RelayHandler, arguments)])
        )
        self._server.add_sockets(sockets)

    async def relay(self, body: bytes) -> tuple[int, str]:
        """Relays a request to the VM; returns status and error code."""
        envelope = relay_envelope.Envelope(
            vm="peer",
            request_id="a",
            method="POST",
            uri="/services/lookup/a",
            host="entry",
            revision=1,
            deadline_s=1.0,
            response_due_s=1.0,
            useful_s=None,
            attempts=0,
            run=messages.Executed.NO,
            idempotency_key="",
            last_event_id="",
            software_version="",
        )
        call = types.SimpleNamespace(headers=httputil.HTTPHeaders(), body=body)
        response = await httpclient.AsyncHTTPClient().fetch(
            f"http://127.0.0.1:{self._port}{_PATH}",
            method="POST",
            headers=relayed_call.encode(envelope, call, self._auth),
            body=body,
            raise_error=False,
        )
        return response.code, response.headers[relayed_call.ERROR_HEADER]


class TestRejectedRequests:
    """A VM refuses what a peer relays, for a reason of its own."""

    # Guards against 403 in place of a refusal after which other VMs are asked:
    # the body of a rejected request isn't kept, so its signature can't match.
    def test_leaving_vm_refuses_a_request_with_a_body(self):
        async def scenario():
            vm = _Vm()
            vm.gate.closed = True
            return await vm.relay(b""), await vm.relay(_BODY)

        empty, with_body = asyncio.run(scenario())
        assert with_body == empty
        assert with_body[0] == 503

    # Guards against 403 for a body that is too large under the settings of the
    # VM that was asked.
    def test_body_above_the_limit_is_refused_as_too_large(self):
        async def scenario():
            limits = model.HttpLimits(body_bytes=len(_BODY) - 1)
            return await _Vm(limits).relay(_BODY)

        status, error = asyncio.run(scenario())
        assert status == 413
        assert "body_too_large" in error
