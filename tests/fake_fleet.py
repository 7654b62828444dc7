"""Fake engines and a fake plain service within the process of a test."""

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
from cowsliprill.standins import http_server
from cowsliprill.standins import service

REQUEST_ID = "vm1.e0.a1.1.0"
BODY = {"model": "m", "prompt": "a long case file " * 20, "max_tokens": 5}


@dataclasses.dataclass(slots=True, kw_only=True)
class Fleet:
    """Fake prefill engine, decode engine and plain service, with clients.

    Attributes:
      prefill: The fake prefill engine.
      decode: The fake decode engine.
      service: The fake plain service.
      prefill_endpoint: Endpoint (address and settings) of the prefill engine.
      decode_endpoint: Endpoint of the decode engine.
      service_endpoint: Endpoint of the service.
      client: Client for engines.
      service_client: Client for plain services.
    """

    prefill: engine.Engine
    decode: engine.Engine
    service: service.Service
    prefill_endpoint: model.Endpoint
    decode_endpoint: model.Endpoint
    service_endpoint: model.Endpoint
    client: engine_client.EngineClient
    service_client: service_client.ServiceClient

    def used_resources(self) -> tuple[int, int]:
        """Returns the slots and the KV blocks in use at both engines."""
        engine_states = (self.prefill.state, self.decode.state)
        return (
            sum(engine_state.used_slots() for engine_state in engine_states),
            sum(engine_state.used_blocks() for engine_state in engine_states),
        )

    async def start_decode(
        self, request_id: str = REQUEST_ID, **body_fields: Any
    ) -> engine_client.token_stream.TokenStream:
        """Completes a prefill and starts its decode.

        Args:
          request_id: The request id.
          **body_fields: Fields to add to `BODY` or to replace there.

        Returns:
          The token stream.
        """
        body = {**BODY, **body_fields}
        result = await self.client.prefill(
            self.prefill_endpoint, request_id, body
        )
        return await self.client.decode(
            self.decode_endpoint, request_id, body, result
        )

    async def cancel(self, request_id: str = REQUEST_ID) -> list[bool]:
        """Cancels a request at both engines.

        Returns:
          The results of the prefill and the decode engine's cancellation.
        """
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
    """Starts the fake engines and the service, and stops them on exit.

    Args:
      **options: Fields of `EngineCommand` for both engines.

    Yields:
      The running fakes with their clients.
    """
    options = {"slots": 4, "seconds_per_token": 0.001, **options}
    engines = [
        engine.Engine(
            engine_command.EngineCommand(id=role, role=role, **options)
        )
        for role in ("prefill", "decode")
    ]
    plain_service = service.Service(
        service.ServiceCommand(
            id="desk", seconds_per_call=0, checks_idempotency_keys=True
        )
    )
    routes = [
        engine_handlers.routes(fake_engine) for fake_engine in engines
    ] + [plain_service.routes()]
    servers = [
        http_server.Server(server_routes, "127.0.0.1", 0)
        for server_routes in routes
    ]
    endpoints = [
        _endpoint(kind, server.port)
        for kind, server in zip(model.EndpointKind, servers, strict=True)
    ]
    http = http_client.HttpClient()
    try:
        yield Fleet(
            prefill=engines[0],
            decode=engines[1],
            service=plain_service,
            prefill_endpoint=endpoints[0],
            decode_endpoint=endpoints[1],
            service_endpoint=endpoints[2],
            client=engine_client.EngineClient(http, stall_timeout_s=0.3),
            service_client=service_client.ServiceClient(http),
        )
    finally:
        http.close()
        for fake_engine in engines:
            await fake_engine.stop()
        for server in servers:
            await server.stop()
