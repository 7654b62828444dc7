"""A fake plain service that logs the calls it executes."""

import asyncio
import dataclasses
import hashlib
import json
from typing import Annotated
from typing import Any

import cappa

from cowsliprill.engines import protocol
from cowsliprill.standins import fault_injection
from cowsliprill.standins import http_server


@cappa.command(name="service", help="Stand-in of a plain service.")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceCommand:
    """Arguments of a fake plain service.

    Attributes:
      id: Endpoint id.
      host: IP address to listen on.
      port: TCP port, 0 for any free one.
      seconds_per_call: Execution time of a call.
      checks_idempotency_keys: Whether calls with the same idempotency key are
        executed only once.
      ends_on: The process ends when it begins to execute a call whose body
        contains this text; empty for none.
    """

    id: Annotated[str, cappa.Arg(long=True)]
    host: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True)] = 0
    seconds_per_call: Annotated[float, cappa.Arg(long=True)] = 0.01
    checks_idempotency_keys: Annotated[bool, cappa.Arg(long=True)] = False
    ends_on: Annotated[str, cappa.Arg(long=True)] = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class ExecutedCall:
    """A call in the log of executed calls.

    Attributes:
      request_id: Request id, empty without one.
      idempotency_key: Idempotency key, empty without one.
      method: HTTP method.
      path: Path and query.
      body_sha256: SHA-256 digest of the body in hexadecimal digits.
    """

    request_id: str
    idempotency_key: str
    method: str
    path: str
    body_sha256: str


class Service:
    """A fake plain service, without its HTTP server.

    Args:
      command: The service's configuration.

    Attributes:
      command: The service's configuration.
      faults: Injected faults.
      executed_calls: Every executed call, in order.
    """

    def __init__(self, command: ServiceCommand) -> None:
        self.command = command
        self.faults = fault_injection.FaultInjector()
        self.executed_calls: list[ExecutedCall] = []
        self._responses_by_key: dict[str, asyncio.Future[bytes]] = {}
        self._last_response = b"{}"

    async def execute(
        self,
        call: ExecutedCall,
        body: bytes,
        faults: fault_injection.Faults,
    ) -> bytes:
        """Executes a call, at most once for each checked idempotency key.

        A repeated key gets the response of its first execution.

        Args:
          call: The call.
          body: The call's body.
          faults: Faults to inject.

        Returns:
          Body of the response.
        """
        key = call.idempotency_key
        if not key or not self.command.checks_idempotency_keys:
            return await self._execute_once(call, body, faults)
        first_execution = self._responses_by_key.get(key)
        if first_execution is not None:
            return await asyncio.shield(first_execution)
        response = asyncio.ensure_future(self._execute_once(call, body, faults))
        self._responses_by_key[key] = response
        return await asyncio.shield(response)

    def routes(self) -> list[tuple]:
        """Returns the tornado routes."""
        handler_arguments = {"service": self}
        return [
            (
                http_server.FAULTS_PATH,
                http_server.FaultsHandler,
                {"faults": self.faults},
            ),
            (
                http_server.REQUEST_LOG_PATH,
                _ExecutedCallsHandler,
                handler_arguments,
            ),
            (r"/.*", _CallHandler, handler_arguments),
        ]

    async def _execute_once(
        self,
        call: ExecutedCall,
        body: bytes,
        faults: fault_injection.Faults,
    ) -> bytes:
        self.executed_calls.append(call)
        fault_injection.end_process_on(self.command.ends_on, body)
        call_number = len(self.executed_calls)
        await asyncio.sleep(self.command.seconds_per_call * faults.slow_factor)
        response = {
            "service": self.command.id,
            "number": call_number,
            "method": call.method,
            "path": call.path,
            "received": body.decode(errors="replace"),
        }
        previous_response = self._last_response
        self._last_response = json.dumps(response).encode()
        return previous_response if faults.swap else self._last_response


class _CallHandler(http_server.Handler):
    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")

    def initialize(self, service: Service) -> None:
        self._service = service

    async def _handle(self) -> None:
        request = self.request
        faults = self._service.faults.take()
        if faults.cut_before_run:
            self.abort_connection()
            return
        if faults.refuse:
            await self.respond_refusal(faults)
            return
        headers = request.headers
        call = ExecutedCall(
            request_id=headers.get(protocol.REQUEST_ID_HEADER, ""),
            idempotency_key=headers.get(protocol.IDEMPOTENCY_KEY_HEADER, ""),
            method=request.method,
            path=request.uri,
            body_sha256=hashlib.sha256(request.body).hexdigest(),
        )
        response = await self._service.execute(call, request.body, faults)
        await asyncio.sleep(faults.delay_s)
        await self._respond(response, faults)

    async def _respond(
        self, response: bytes, faults: fault_injection.Faults
    ) -> None:
        if faults.foreign_id:
            self.set_header(protocol.REQUEST_ID_HEADER, "another.e0.x.1.0")
        if faults.rate_limit:
            self.set_header(protocol.RATE_LIMIT_HEADER, faults.rate_limit)
        self.set_header("Content-Type", "application/json")
        self.set_header("Content-Length", str(len(response)))
        if faults.cut_at_byte is None:
            self.finish(response)
            return
        self.write(response[: faults.cut_at_byte])
        await self.flush()
        self.abort_connection()

    get = head = post = put = patch = delete = _handle


class _ExecutedCallsHandler(http_server.Handler):
    def initialize(self, service: Service) -> None:
        self._service = service

    def get(self) -> None:
        calls: list[dict[str, Any]] = [
            dataclasses.asdict(call) for call in self._service.executed_calls
        ]
        self.finish({"ran": calls})


async def serve(command: ServiceCommand) -> None:
    """Serves a fake service until SIGTERM or SIGINT.

    Args:
      command: The service's configuration.
    """
    service = Service(command)
    server = http_server.Server(service.routes(), command.host, command.port)
    await http_server.run_until_signal(
        f"standin.{command.id}", server, role="service"
    )
