"""Tests of what the home passes on about its engines."""

import asyncio
import dataclasses
from typing import Any

from tornado import httpserver
from tornado import netutil
from tornado import web

from cowsliprill.decisions import model
from cowsliprill.dispatch import world as world_lib
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
    """Takes reports as the settings process' follower does."""

    def __init__(self) -> None:
        self.fleet = model.Fleet()
        self.reported: list[str] = []

    async def report_leaving(self, endpoint_id: str, ttl_s: float) -> None:
        assert ttl_s > 0
        self.reported.append(endpoint_id)


def _world(follower: Any) -> world_lib.World:
    unused: Any = None
    return world_lib.World(
        environment=unused,
        follower=follower,
        homes=unused,
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


async def _ask_draining_engine() -> errors.CallError:
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


class TestNoteFailure:
    """An engine's own word that it is draining travels before the VM list."""

    def test_a_draining_answer_is_passed_on_once(self) -> None:
        """An engine's VM is told to leave; the platform's list lags.

        Until the list names it, entries would go on sending work there, and
        each try would cost the caller a refused attempt.
        """
        follower = _Follower()
        world = _world(follower)

        async def scenario() -> None:
            error = await _ask_draining_engine()
            await world.note_failure(_ENDPOINT, error)
            follower.fleet = model.Fleet(leaving_endpoint_ids=frozenset({"d0"}))
            await world.note_failure(_ENDPOINT, error)

        asyncio.run(scenario())
        assert follower.reported == ["d0"]

    def test_other_failures_are_no_news_of_leaving(self) -> None:
        follower = _Follower()
        error = errors.ConnectFailed("refused")
        asyncio.run(_world(follower).note_failure(_ENDPOINT, error))
        assert follower.reported == []
