"""Measures bytes and CPU time of HTTP exchanges over a local socket."""

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
_CPU_ITERATIONS = 60
_HOST = "127.0.0.1"


@dataclasses.dataclass(slots=True)
class ExchangeCost:
    """Cost of one HTTP exchange.

    Attributes:
      bytes: Bytes in both directions, with HTTP headers but without TCP and
        IP headers.
      cpu_s: CPU time of client and server together.
    """

    bytes: float = 0.0
    cpu_s: float = 0.0


class _CountingProxy:
    """TCP proxy that counts the bytes forwarded in both directions.

    Attributes:
      byte_count: Forwarded bytes.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self.byte_count = 0
        self._tasks: set[asyncio.Task] = set()

    def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Starts forwarding an accepted connection."""
        self._tasks.add(asyncio.create_task(self._serve(reader, writer)))

    async def close(self) -> None:
        """Cancels all connections and waits for their end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        upstream = await asyncio.open_connection(_HOST, self._port)
        await asyncio.gather(
            self._forward(reader, upstream[1]),
            self._forward(upstream[0], writer),
        )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while chunk := await reader.read(65_536):
                self.byte_count += len(chunk)
                writer.write(chunk)
        finally:
            writer.close()


def _ignore(value: object) -> None:
    del value


async def _measure(
    routes: list[tuple], exchange: Callable[[int], Awaitable[object]]
) -> ExchangeCost:
    """Measures one exchange with a local server of the given routes.

    Bytes are counted in a proxy, on a connection that is already open; CPU
    time is the mean of `_CPU_ITERATIONS` exchanges without the proxy.

    Args:
      routes: Tornado routes of the server.
      exchange: Performs one exchange with the server at a port.

    Returns:
      Bytes and CPU time of the exchange.
    """
    application = web.Application(routes, log_function=_ignore)
    server = httpserver.HTTPServer(application)
    sockets = netutil.bind_sockets(0, _HOST)
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    proxy = _CountingProxy(port)
    proxy_server = await asyncio.start_server(proxy.accept, _HOST, 0)
    proxy_port = proxy_server.sockets[0].getsockname()[1]
    try:
        await exchange(proxy_port)
        bytes_before = proxy.byte_count
        await exchange(proxy_port)
        exchanged_bytes = proxy.byte_count - bytes_before
        await exchange(port)
        start = time.process_time()
        for _ in range(_CPU_ITERATIONS):
            await exchange(port)
        cpu_s_per_exchange = (time.process_time() - start) / _CPU_ITERATIONS
    finally:
        proxy_server.close()
        await proxy.close()
        server.stop()
        await server.close_all_connections()
    return ExchangeCost(float(exchanged_bytes), cpu_s_per_exchange)


def slots_exchange(demands: int, running: int = 3) -> ExchangeCost:
    """Measures one `POST /v1/slots` request and its response.

    Args:
      demands: Slot demands in the request, one per endpoint.
      running: Requests that the entry process runs on each endpoint.

    Returns:
      Bytes and CPU time of the exchange.
    """
    return asyncio.run(_slots_exchange(demands, running))


async def _slots_exchange(demands: int, running: int) -> ExchangeCost:
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
        for n in range(demands)
    ]
    coordinated_endpoints = coordinated_lib.CoordinatedEndpoints("vm-0000")
    by_id = {endpoint.id: endpoint for endpoint in endpoints}
    snapshot = model.Snapshot(revision=1, endpoints_by_id=by_id)
    local_vm = synthetic.vms(1)[0]
    coordinated_endpoints.update(
        snapshot, model.Fleet(vms_by_id={local_vm.id: local_vm}), -1e9
    )
    lease_server = slot_lease_server.SlotLeaseServer(
        coordinated_endpoints, clock.now, _ignore
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
                synthetic.slot_demand(endpoint_id, running, sequence)
                for endpoint_id in by_id
            ),
            wait_s=0.5,
        )
        body = codec.encode_without_defaults(request)
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


def running_list(requests: int) -> ExchangeCost:
    """Measures fetching an engine's list of running requests.

    Args:
      requests: Number of requests in the list.

    Returns:
      Bytes and CPU time of the exchange.
    """
    return asyncio.run(_running_list(requests))


async def _running_list(requests: int) -> ExchangeCost:
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
    engine_api = engine_client.EngineClient(client)

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
        await engine_api.running(endpoint)

    try:
        return await _measure([route], exchange)
    finally:
        client.close()


class _BodyHandler(web.RequestHandler):
    def initialize(self, body: bytes) -> None:
        self._body = body

    def post(self) -> None:
        self.write(self._body)


def peer_exchange(body_bytes: int) -> ExchangeCost:
    """Measures one call between settings processes.

    Request and response body have the same size.

    Args:
      body_bytes: Size of each body.

    Returns:
      Bytes and CPU time of the exchange.
    """
    return asyncio.run(_peer_exchange(b"x" * body_bytes))


async def _peer_exchange(body: bytes) -> ExchangeCost:
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
