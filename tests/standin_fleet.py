"""Stand-ins of engines and of a plain service within the test's process."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator
from typing import Any

from cowsliprill.decisions import model
from cowsliprill.engines import engine_client
from cowsliprill.engines import http_client
from cowsliprill.engines import service_client
from cowsliprill.standins import engine
from cowsliprill.standins import engine_command
from cowsliprill.standins import engine_handlers
from cowsliprill.standins import service
from cowsliprill.standins import shell

REQUEST_ID = "vm1.e0.a1.1.0"
BODY = {"model": "m", "prompt": "a long case file " * 20, "max_tokens": 5}


@dataclasses.dataclass(slots=True, kw_only=True)
class Fleet:
    """One prefill engine, one decode engine, one service and the clients.

    Attributes:
      prefill: The prefill engine's state.
      decode: The decode engine's state.
      service: The service's state.
      prefill_endpoint: Where the prefill engine is.
      decode_endpoint: Where the decode engine is.
      service_endpoint: Where the service is.
      client: Client of engines.
      service_client: Client of services.
    """

    prefill: engine.Engine
    decode: engine.Engine
    service: service.Service
    prefill_endpoint: model.Endpoint
    decode_endpoint: model.Endpoint
    service_endpoint: model.Endpoint
    client: engine_client.EngineClient
    service_client: service_client.ServiceClient

    def held(self) -> tuple[int, int]:
        """Counts slots and KV blocks held at both engines."""
        memories = (self.prefill.memory, self.decode.memory)
        return (
            sum(memory.used_slots() for memory in memories),
            sum(memory.used_blocks() for memory in memories),
        )

    async def start_decode(
        self, request_id: str = REQUEST_ID, **more: Any
    ) -> engine_client.token_stream.TokenStream:
        """Runs a prefill and starts its decode."""
        body = {**BODY, **more}
        result = await self.client.prefill(
            self.prefill_endpoint, request_id, body
        )
        return await self.client.decode(
            self.decode_endpoint, request_id, body, result
        )

    async def cancel(self, request_id: str = REQUEST_ID) -> list[bool]:
        """Cancels at both engines."""
        return [
            await self.client.cancel(endpoint, request_id)
            for endpoint in (self.prefill_endpoint, self.decode_endpoint)
        ]


def _endpoint(kind: model.EndpointKind, port: int) -> model.Endpoint:
    return model.Endpoint(
        id=kind.value,
        kind=kind,
        host="127.0.0.1",
        port=port,
        availability_zone="gasabo",
        pool="briefs",
        slots=4,
    )


@contextlib.asynccontextmanager
async def start(**options: Any) -> AsyncIterator[Fleet]:
    """Starts all stand-ins.

    Args:
      **options: Fields of `EngineCommand` for both engines.

    Yields:
      The fleet.
    """
    options = {"slots": 4, "seconds_per_token": 0.001, **options}
    engines = [
        engine.Engine(
            engine_command.EngineCommand(id=role, role=role, **options)
        )
        for role in ("prefill", "decode")
    ]
    plain = service.Service(
        service.ServiceCommand(
            id="desk", seconds_per_call=0, checks_idempotency_keys=True
        )
    )
    routes = [engine_handlers.routes(one) for one in engines] + [plain.routes()]
    servers = [shell.Server(table, "127.0.0.1", 0) for table in routes]
    endpoints = [
        _endpoint(kind, server.port)
        for kind, server in zip(model.EndpointKind, servers, strict=True)
    ]
    http = http_client.HttpClient()
    try:
        yield Fleet(
            prefill=engines[0],
            decode=engines[1],
            service=plain,
            prefill_endpoint=endpoints[0],
            decode_endpoint=endpoints[1],
            service_endpoint=endpoints[2],
            client=engine_client.EngineClient(http, stall_timeout_s=0.3),
            service_client=service_client.ServiceClient(http),
        )
    finally:
        http.close()
        for one in engines:
            await one.stop()
        for server in servers:
            await server.stop()
