"""Messages on a real socket: bytes both ways, processor time of both ends."""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable
from collections.abc import Callable

from tornado import httpserver
from tornado import netutil
from tornado import web

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill import peer_auth
from cowsliprill import peer_client
from cowsliprill import peers
from cowsliprill.capacity import synthetic
from cowsliprill.decisions import model
from cowsliprill.dispatch import coordinated_endpoints as coordinated_lib
from cowsliprill.dispatch import handlers
from cowsliprill.dispatch import messages
from cowsliprill.dispatch import slot_lease_server
from cowsliprill.engines import engine_client
from cowsliprill.engines import http_client
from cowsliprill.engines import protocol

_ENTRY = "vm-0001.e0.0123456789abcdef"
_TIMES = 60
_HOST = "127.0.0.1"


@dataclasses.dataclass(slots=True)
class Cost:
    """What one exchange costs.

    Attributes:
      bytes: Bytes both ways, headers included, without those of TCP and IP.
      cpu_s: Processor time of both ends.
    """

    bytes: float = 0.0
    cpu_s: float = 0.0


class _CountingProxy:
    """Passes bytes on and counts them."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.count = 0
        self._tasks: set[asyncio.Task] = set()

    def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Takes a connection."""
        self._tasks.add(asyncio.create_task(self._serve(reader, writer)))

    async def close(self) -> None:
        """Ends all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        there = await asyncio.open_connection(_HOST, self._port)
        await asyncio.gather(
            self._pass_on(reader, there[1]), self._pass_on(there[0], writer)
        )

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while chunk := await reader.read(65_536):
                self.count += len(chunk)
                writer.write(chunk)
        finally:
            writer.close()


def _ignore(value: object) -> None:
    del value


async def _measure(
    routes: list[tuple], exchange: Callable[[int], Awaitable[object]]
) -> Cost:
    application = web.Application(routes, log_function=_ignore)
    server = httpserver.HTTPServer(application)
    sockets = netutil.bind_sockets(0, _HOST)
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    proxy = _CountingProxy(port)
    counted = await asyncio.start_server(proxy.accept, _HOST, 0)
    counted_port = counted.sockets[0].getsockname()[1]
    try:
        await exchange(counted_port)
        before = proxy.count
        await exchange(counted_port)
        size = proxy.count - before
        await exchange(port)
        start = time.process_time()
        for _ in range(_TIMES):
            await exchange(port)
        spent = (time.process_time() - start) / _TIMES
    finally:
        counted.close()
        await proxy.close()
        server.stop()
        await server.close_all_connections()
    return Cost(float(size), spent)


def slots_exchange(asks: int, running: int = 3) -> Cost:
    """Measures one `POST /v1/slots` and its answer.

    Args:
      asks: Endpoints in one message.
      running: Requests that the entry runs on each.

    Returns:
      The cost.
    """
    return asyncio.run(_slots_exchange(asks, running))


async def _slots_exchange(asks: int, running: int) -> Cost:
    endpoints = [
        model.Endpoint(
            id=f"engine-{n:04d}",
            kind=model.EndpointKind.DECODE,
            host=_HOST,
            port=1,
            availability_zone="zone-0",
            pool=synthetic.POOL,
            slots=20,
        )
        for n in range(asks)
    ]
    coordinated = coordinated_lib.CoordinatedEndpoints("vm-0000")
    by_id = {endpoint.id: endpoint for endpoint in endpoints}
    snapshot = model.Snapshot(revision=1, endpoints_by_id=by_id)
    own = synthetic.vms(1)[0]
    coordinated.update(snapshot, model.Fleet(vms_by_id={own.id: own}), -1e9)
    lease_server = slot_lease_server.SlotLeaseServer(
        coordinated, clock.now, _ignore
    )
    auth = peer_auth.PeerAuth("secret")
    route = (
        peers.SLOTS_PATH,
        handlers.SlotsHandler,
        {"auth": auth, "desk": lease_server},
    )
    client = http_client.HttpClient()
    sequence = 0

    async def exchange(port: int) -> None:
        nonlocal sequence
        sequence += 1
        request = messages.SlotsRequest(
            entry=_ENTRY,
            asks=tuple(
                synthetic.ask(each, running, sequence) for each in by_id
            ),
            wait_s=0.5,
        )
        body = codec.encode_short(request)
        headers = {"Content-Type": "application/json", **auth.headers(body)}
        response = await client.call(
            _HOST, port, "POST", peers.SLOTS_PATH, headers, body
        )
        codec.decode(messages.SlotsResponse, await response.read(1_000_000))

    try:
        return await _measure([route], exchange)
    finally:
        client.close()


class _RunningHandler(web.RequestHandler):
    def initialize(self, requests: list[dict]) -> None:
        self._requests = requests

    def get(self) -> None:
        self.write({"requests": self._requests})


def running_list(requests: int) -> Cost:
    """Measures reading what an engine runs.

    Args:
      requests: Requests that it runs.

    Returns:
      The cost.
    """
    return asyncio.run(_running_list(requests))


async def _running_list(requests: int) -> Cost:
    entries = [
        {
            "request_id": f"vm-{n:04d}.e0.0123456789abcdef.{10_000 + n}.0",
            "stage": "decode",
            "age_s": 1.25,
        }
        for n in range(requests)
    ]
    route = (protocol.RUNNING_PATH, _RunningHandler, {"requests": entries})
    client = http_client.HttpClient()
    engines = engine_client.EngineClient(client)

    async def exchange(port: int) -> None:
        endpoint = model.Endpoint(
            id="engine",
            kind=model.EndpointKind.DECODE,
            host=_HOST,
            port=port,
            availability_zone="zone-0",
            pool=synthetic.POOL,
            slots=20,
        )
        await engines.running(endpoint)

    try:
        return await _measure([route], exchange)
    finally:
        client.close()


class _BodyHandler(web.RequestHandler):
    def initialize(self, body: bytes) -> None:
        self._body = body

    def post(self) -> None:
        self.write(self._body)


def peer_exchange(body_bytes: int) -> Cost:
    """Measures one call between settings processes, the same size both ways.

    Args:
      body_bytes: Bytes of each body.

    Returns:
      The cost.
    """
    return asyncio.run(_peer_exchange(b"x" * body_bytes))


async def _peer_exchange(body: bytes) -> Cost:
    route = (peers.EXCHANGE_PATH, _BodyHandler, {"body": body})
    client = peer_client.PeerClient()
    auth = peer_auth.PeerAuth("secret")

    async def exchange(port: int) -> None:
        url = f"http://{_HOST}:{port}{peers.EXCHANGE_PATH}"
        await client.call("POST", url, body, headers=auth.headers(body))

    try:
        return await _measure([route], exchange)
    finally:
        client.close()
