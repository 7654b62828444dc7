"""Tests of the reports of draining engines by their coordinator."""

import asyncio
import dataclasses
from typing import Any

from tornado import httpserver
from tornado import netutil
from tornado import web

from cowsliprill.decisions import model
from cowsliprill.dispatch import context as context_lib
from cowsliprill.engines import engine_client
from cowsliprill.engines import errors
from cowsliprill.engines import http_client
from cowsliprill.engines import protocol
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

_ENDPOINT = model.Endpoint(
    id="d0",
    kind=model.EndpointKind.DECODE,
    host="127.0.0.1",
    port=1,
    availability_zone="gasabo",
    pool="briefs",
    slots=20,
)


class _Follower:
    """Records the leaving notices that are reported to it."""

    def __init__(self) -> None:
        self.fleet = model.Fleet()
        self.reported: list[str] = []

    async def report_leaving(self, endpoint_id: str, ttl_s: float) -> None:
        assert ttl_s > 0
        self.reported.append(endpoint_id)


def _context(follower: Any) -> context_lib.DispatchContext:
    unused: Any = None
    return context_lib.DispatchContext(
        environment=unused,
        follower=follower,
        coordinated=unused,
        engines=unused,
        peers=unused,
        auth=unused,
        log=log_lib.open_log("test"),
        metrics=metrics_lib.Metrics(),
    )


class _DrainingHandler(web.RequestHandler):
    def get(self) -> None:
        self.set_status(503)
        code = protocol.CODE_DRAINING
        self.write({"error": {"code": code, "message": "", "run": "no"}})


async def _call_draining_engine() -> errors.CallError:
    route = (protocol.RUNNING_PATH, _DrainingHandler)
    application = web.Application([route], log_function=lambda _: None)
    server = httpserver.HTTPServer(application)
    sockets = netutil.bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    client = http_client.HttpClient()
    engine = dataclasses.replace(_ENDPOINT, port=port)
    try:
        await engine_client.EngineClient(client).running(engine)
    except errors.CallError as error:
        return error
    finally:
        client.close()
        server.stop()
    raise AssertionError("a draining engine answered")


class TestReportIfDraining:
    """Draining engines are reported before the VM list names them."""

    def test_a_draining_engine_is_reported_once(self) -> None:
        """Guards against requests to an engine whose VM is being drained.

        The platform's VM list lags behind. Until the list names the engine as
        leaving, entry processes would go on sending requests there, each of
        which would cost the caller a refused attempt.
        """
        follower = _Follower()
        context = _context(follower)

        async def scenario() -> None:
            error = await _call_draining_engine()
            await context.report_if_draining(_ENDPOINT, error)
            follower.fleet = model.Fleet(leaving_endpoint_ids=frozenset({"d0"}))
            await context.report_if_draining(_ENDPOINT, error)

        asyncio.run(scenario())
        assert follower.reported == ["d0"]

    def test_other_failures_are_not_reported_as_leaving(self) -> None:
        follower = _Follower()
        error = errors.ConnectFailed("refused")
        asyncio.run(_context(follower).report_if_draining(_ENDPOINT, error))
        assert follower.reported == []
