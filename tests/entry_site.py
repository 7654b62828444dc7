"""Test fixture: entry processes with stand-in servers in one event loop.

The stand-ins replace engines, plain services and the coordinator of all
endpoints.
"""

import asyncio
import contextlib
import dataclasses
import hashlib
import io
import json
import socket
from collections.abc import Callable
from typing import Any

from tornado import web

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill import environment as environment_lib
from cowsliprill import peer_auth
from cowsliprill import peers
from cowsliprill.decisions import model
from cowsliprill.decisions import slot_ledger
from cowsliprill.dispatch import messages as slot_messages
from cowsliprill.engines import exchange
from cowsliprill.engines import http_client
from cowsliprill.entry import core
from cowsliprill.observability import log as log_lib
from cowsliprill.standins import engine as engine_lib
from cowsliprill.standins import engine_command
from cowsliprill.standins import engine_handlers
from cowsliprill.standins import http_server
from cowsliprill.standins import service as service_lib

HOST = "127.0.0.1"
SECRET = "shared by the VMs"
KEYS = {
    "umurongo/amahoro": "key-amahoro",
    "umurongo/firm-1": "key-firm-1",
    "zarqa": "key-zarqa",
}


class FakeClusterStateSource:
    """Source of settings and VM list whose content a test sets."""

    lists_ends = False

    def __init__(self) -> None:
        self.snapshot = model.Snapshot()
        self.fleet = model.Fleet()
        self.left: list[str] = []
        self._callbacks = []

    def subscribe(self, callback) -> None:
        self._callbacks.append(callback)

    def set(self, snapshot: model.Snapshot, fleet: model.Fleet) -> None:
        self.snapshot, self.fleet = snapshot, fleet
        for callback in self._callbacks:
            callback()

    async def run(self) -> None:
        await asyncio.Event().wait()

    def accepts_api_keys(self) -> bool:
        return True

    async def report_leaving(self, endpoint_id: str, ttl_s: float) -> None:
        self.left.append(endpoint_id)


def _is_signed(request) -> bool:
    signature = request.headers.get(peer_auth.HEADER)
    return peer_auth.PeerAuth(SECRET).verify(request.body, signature)


class SlotsHandler(web.RequestHandler):
    """Serves slot demands: grants leases from the ledger, without waiting."""

    def initialize(self, coordinator) -> None:
        self.coordinator = coordinator

    def post(self) -> None:
        if not _is_signed(self.request):
            self.set_status(403)
            return
        request = codec.decode(slot_messages.SlotsRequest, self.request.body)
        self.coordinator.received_requests.append(request)
        self.write(codec.encode(self.coordinator.answer(request)))


class CancelsHandler(web.RequestHandler):
    """Serves pending cancellations of an entry process that shuts down."""

    def initialize(self, coordinator) -> None:
        self.coordinator = coordinator

    def post(self) -> None:
        if not _is_signed(self.request):
            self.set_status(403)
            return
        request = codec.decode(slot_messages.CancelsRequest, self.request.body)
        self.coordinator.cancels.extend(request.cancels)
        self.write({})


class FakeCoordinator:
    """Stand-in for the coordinator of all endpoints."""

    def __init__(self) -> None:
        self.ledgers: dict[str, slot_ledger.SlotLedger] = {}
        self.received_requests: list[slot_messages.SlotsRequest] = []
        self.cancels: list[slot_messages.Cancellation] = []
        handler_arguments = {"coordinator": self}
        self.server = http_server.Server(
            [
                (peers.SLOTS_PATH, SlotsHandler, handler_arguments),
                (peers.CANCELS_PATH, CancelsHandler, handler_arguments),
            ],
            HOST,
            0,
        )

    def answer(
        self, request: slot_messages.SlotsRequest
    ) -> slot_messages.SlotsResponse:
        now = clock.now()
        grants = []
        for ask in request.asks:
            ledger = self.ledgers[ask.endpoint_id]
            grant = ledger.ask(request.entry, ask, now)
            grants.append(
                slot_messages.WireGrant(
                    endpoint_id=grant.endpoint_id,
                    slots=grant.slots,
                    expires_in_s=grant.expires_at - now,
                    waiting=grant.waiting,
                    used=grant.used,
                    sequence=grant.sequence,
                )
            )
        return slot_messages.SlotsResponse(grants=tuple(grants))


@dataclasses.dataclass
class HttpResponse:
    """HTTP response as a caller received it."""

    status: int
    headers: Any
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


class Site:
    """Entry processes, a coordinator, engines and servers of plain services."""

    def __init__(
        self, drain_notice_s: float = 0.0, drain_limit_s: float = 600.0
    ) -> None:
        self.drain_notice_s = drain_notice_s
        self.drain_limit_s = drain_limit_s
        self.coordinator = FakeCoordinator()
        self.engines: dict[str, engine_lib.Engine] = {}
        self._engine_servers: list[http_server.Server] = []
        self.services: dict[str, service_lib.Service] = {}
        self.endpoints: dict[str, model.Endpoint] = {}
        self.entries: list[core.Entry] = []
        self.tasks: list[asyncio.Task] = []
        self.sources: list[FakeClusterStateSource] = []
        self.logs: list[io.StringIO] = []
        self.http = http_client.HttpClient()
        self._stack = contextlib.AsyncExitStack()

    def add_engine(self, endpoint_id: str, kind: str, slots_: int) -> None:
        engine = engine_lib.Engine(
            engine_command.EngineCommand(
                id=endpoint_id,
                role=kind,
                slots=slots_,
                seconds_per_token=0.002,
                link_bytes_per_s=1e9,
            )
        )
        server = http_server.Server(engine_handlers.routes(engine), HOST, 0)
        engine.start()
        self._stack.push_async_callback(server.stop)
        self._stack.push_async_callback(engine.stop)
        self.engines[endpoint_id] = engine
        self._engine_servers.append(server)
        self._add_endpoint(endpoint_id, kind, "engines", server.port, slots_)

    def add_service(
        self, endpoint_id: str, pool: str, *, checks: bool = False
    ) -> None:
        service = service_lib.Service(
            service_lib.ServiceCommand(
                id=endpoint_id, checks_idempotency_keys=checks
            )
        )
        server = http_server.Server(service.routes(), HOST, 0)
        self._stack.push_async_callback(server.stop)
        self.services[endpoint_id] = service
        self._add_endpoint(endpoint_id, "plain", pool, server.port, 8, checks)

    def _add_endpoint(
        self, endpoint_id, kind, pool, port, slots_, checks=False
    ) -> None:
        self.endpoints[endpoint_id] = model.Endpoint(
            id=endpoint_id,
            kind=model.EndpointKind(kind),
            host=HOST,
            port=port,
            availability_zone="gasabo",
            pool=pool,
            slots=slots_,
            checks_idempotency_keys=checks,
        )
        self.coordinator.ledgers[endpoint_id] = slot_ledger.SlotLedger(
            endpoint_id, slots_
        )

    def snapshot(self, revision: int = 1, **changes: Any) -> model.Snapshot:
        model_fields = {"kind": model.ServiceKind.MODEL, "pool": "engines"}
        plain_fields = {
            "kind": model.ServiceKind.PLAIN,
            "methods": ("GET", "POST"),
            "timeout_s": 5.0,
        }
        booking_fields = {
            **plain_fields,
            "idempotency": model.Idempotency.NON_IDEMPOTENT,
        }
        services = [
            model.Service(
                id="umurongo/brief",
                customer="umurongo",
                name="brief",
                model="standin",
                **model_fields,
                **changes,
            ),
            model.Service(
                id="zarqa/summary",
                customer="zarqa",
                name="summary",
                **model_fields,
            ),
            model.Service(
                id="umurongo/booking",
                customer="umurongo",
                name="booking",
                pool="desk",
                **booking_fields,
            ),
            model.Service(
                id="umurongo/safe-booking",
                customer="umurongo",
                name="safe-booking",
                pool="safe",
                **booking_fields,
            ),
            model.Service(
                id="umurongo/lookup",
                customer="umurongo",
                name="lookup",
                pool="desk",
                **plain_fields,
            ),
        ]
        customers = [
            model.Customer(
                id=name,
                parent=name.partition("/")[0] if "/" in name else "",
                key_hashes=frozenset(
                    {hashlib.sha256(key.encode()).hexdigest()}
                ),
            )
            for name, key in KEYS.items()
        ]
        customers.append(model.Customer(id="umurongo"))
        return model.Snapshot(
            revision=revision,
            customers_by_id={customer.id: customer for customer in customers},
            customers_by_key_hash={
                digest: customer
                for customer in customers
                for digest in customer.key_hashes
            },
            services_by_id={service.id: service for service in services},
            endpoints_by_id=self.endpoints,
        )

    def fleet(self) -> model.Fleet:
        return model.Fleet(
            version=1,
            vms_by_id={
                f"vm-{number}": model.Vm(
                    id=f"vm-{number}",
                    host=HOST,
                    availability_zone="gasabo",
                    role=model.VmRole.ENTRY,
                    dispatch_port=self.coordinator.server.port,
                    entry_ports=(entry.shell.port,),
                )
                for number, entry in enumerate(self.entries)
            },
        )

    def add_entry(self) -> core.Entry:
        number = len(self.entries)
        environment = environment_lib.Environment(
            vm=f"vm-{number}",
            availability_zone="gasabo",
            process="e0",
            drain_notice_s=self.drain_notice_s,
            drain_limit_s=self.drain_limit_s,
            seed=number,
            peer_secret=SECRET,
        )
        stream = io.StringIO()
        source = FakeClusterStateSource()
        log = log_lib.open_log(f"entry.{number}", stream)
        entry = core.Entry(environment, log, source)
        self.entries.append(entry)
        self.sources.append(source)
        self.logs.append(stream)
        self.tasks.append(asyncio.create_task(entry.run()))
        return entry

    def publish(self, snapshot: model.Snapshot | None = None) -> None:
        for source in self.sources:
            source.set(snapshot or self.snapshot(), self.fleet())

    async def start(self, entries: int = 1) -> None:
        for name in ("prefill-0", "prefill-1"):
            self.add_engine(name, "prefill", 4)
        for name in ("decode-0", "decode-1"):
            self.add_engine(name, "decode", 4)
        self.add_service("desk-0", "desk")
        self.add_service("desk-1", "desk")
        self.add_service("safe-0", "safe", checks=True)
        for _ in range(entries):
            self.add_entry()
        await asyncio.sleep(0)
        self.publish()

    async def stop(self) -> None:
        for entry in self.entries:
            entry.shell.stop()
        await asyncio.wait_for(asyncio.gather(*self.tasks), 20)
        await self._stack.aclose()
        await self.coordinator.server.stop()
        self.http.close()

    def public_port(self, entry: int = 0) -> int:
        return self.entries[entry].shell.public_port

    async def open(
        self,
        method: str,
        path: str,
        body: Any = b"",
        headers: dict[str, str] | None = None,
        *,
        customer: str = "umurongo/amahoro",
        entry: int = 0,
    ) -> exchange.Response:
        """Sends a request and returns its response before the body is read."""
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        key = {"Authorization": f"Bearer {KEYS[customer]}"} if customer else {}
        return await self.http.call(
            HOST,
            self.public_port(entry),
            method,
            path,
            {**key, **(headers or {})},
            body,
            new_connection=True,
        )

    async def call(self, *arguments: Any, **named: Any) -> HttpResponse:
        """Sends a request and reads its complete response."""
        response = await self.open(*arguments, **named)
        body = await response.read(1 << 24)
        return HttpResponse(response.status, response.headers, body)

    async def raw_open(
        self,
        path: str,
        body: Any,
        receive_buffer: int = 65_536,
        cut: int = 0,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Sends a POST request without the last `cut` bytes of its body."""
        raw_socket = socket.socket()
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
        )
        raw_socket.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(raw_socket, (HOST, self.public_port()))
        reader, writer = await asyncio.open_connection(
            sock=raw_socket, limit=receive_buffer
        )
        content = json.dumps(body).encode()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n"
            f"Authorization: Bearer {KEYS['umurongo/amahoro']}\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        )
        writer.write(head.encode() + content[: len(content) - cut])
        return reader, writer

    async def raw_post(self, path: str, body: Any) -> bytes:
        """Sends a POST request; returns all bytes until the connection ends."""
        reader, writer = await self.raw_open(path, body)
        answer = await reader.read()
        writer.close()
        return answer

    def status(self, entry: int = 0) -> dict[str, Any]:
        """Returns the content of `GET /v1/status` of an entry process."""
        return self.entries[entry].shell.status()

    async def cut_engines(self) -> None:
        """Stops the engines' servers and closes their connections."""
        for server in self._engine_servers:
            await server.stop()

    async def until_free(self) -> None:
        """Waits until no engine holds a request; fails after ten seconds."""
        await until(
            lambda: (
                not any(
                    engine.state.active_requests()
                    for engine in self.engines.values()
                )
            )
        )

    async def until_held(self, kind: str, stage: str) -> None:
        """Waits until an engine of a kind holds a request in a stage.

        Fails after ten seconds.
        """
        await until(
            lambda: any(
                request.stage == stage
                for name, engine in self.engines.items()
                if name.startswith(kind)
                for request in engine.state.active_requests()
            )
        )


async def until(condition: Callable[[], bool]) -> None:
    """Polls until a condition is true; fails after ten seconds."""
    async with asyncio.timeout(10):
        while not condition():  # noqa: ASYNC110 stand-ins emit no events
            await asyncio.sleep(0.002)


async def until_still(value: Callable[[], int]) -> None:
    """Waits until a value stays the same for 40 polls, 2 ms apart."""
    last, same = value(), 0
    while same < 40:
        await asyncio.sleep(0.002)
        same = same + 1 if value() == last else 0
        last = value()


@contextlib.asynccontextmanager
async def running(
    entries: int = 1,
    drain_notice_s: float = 0.0,
    drain_limit_s: float = 600.0,
    **changes: Any,
):
    """Runs a site for the duration of one test.

    Args:
      entries: Number of entry processes, each on its own VM.
      drain_notice_s: Seconds for which a draining entry process still accepts
        requests.
      drain_limit_s: Seconds after which it ends the requests in flight.
      **changes: Changed fields of the service `brief`.
    """
    site = Site(drain_notice_s, drain_limit_s)
    await site.start(entries)
    if changes:
        site.publish(site.snapshot(2, **changes))
    try:
        yield site
    finally:
        await site.stop()
