"""Engines and a booking service as processes, with the router's clients."""

import asyncio
import dataclasses
import signal
from collections.abc import AsyncIterator
from typing import Any

from tools import child
from tools import http_calls

from cowsliprill.decisions import model
from cowsliprill.engines import engine_client
from cowsliprill.engines import http_client
from cowsliprill.engines import service_client
from cowsliprill.engines import token_stream

REQUEST_ID = "vm1.e0.a1.1.0"
_BODY = {"prompt": "a case file", "max_tokens": 100_000}
_STALL_TIMEOUT_S = 0.5
_BOOKING_TIMEOUT_S = 0.5

_ARGUMENTS_BY_ID = {
    "prefill": ["engine", "--role", "prefill"],
    "decode": ["engine", "--role", "decode", "--seconds-per-token", "0.01"],
    "desk": ["service"],
}
_KINDS_BY_ID = {
    "prefill": model.EndpointKind.PREFILL,
    "decode": model.EndpointKind.DECODE,
    "desk": model.EndpointKind.PLAIN,
}
_SERVICE = model.Service(
    id="umurongo/booking",
    customer="umurongo",
    name="booking",
    kind=model.ServiceKind.PLAIN,
    pool="desk",
    idempotency=model.Idempotency.NON_IDEMPOTENT,
    timeout_s=_BOOKING_TIMEOUT_S,
)


class EndpointProcesses:
    """Starts endpoint stand-ins, calls them and injects process faults.

    Attributes:
      runner: Runner of the event loop that the clients use.
      client: Engine client.
      endpoints_by_id: Endpoints of the processes.
    """

    def __init__(self) -> None:
        self.runner = asyncio.Runner()
        http = http_client.HttpClient()
        self.client = engine_client.EngineClient(
            http, stall_timeout_s=_STALL_TIMEOUT_S
        )
        self._service_client = service_client.ServiceClient(http)
        self._children_by_id = {
            endpoint_id: child.Child(
                endpoint_id,
                "cowsliprill.standins",
                [*arguments, "--id", endpoint_id],
            )
            for endpoint_id, arguments in _ARGUMENTS_BY_ID.items()
        }
        self.endpoints_by_id = {
            endpoint_id: model.Endpoint(
                id=endpoint_id,
                kind=_KINDS_BY_ID[endpoint_id],
                host="127.0.0.1",
                port=int(process.wait_for_event("started")["port"]),
                availability_zone="gasabo",
                pool="briefs",
                slots=20,
            )
            for endpoint_id, process in self._children_by_id.items()
        }

    def close(self) -> None:
        """Kills all processes and closes the event loop."""
        for process in self._children_by_id.values():
            process.end()
        self.runner.close()

    def suspend(self, endpoint_id: str) -> None:
        """Pauses a process with SIGSTOP, as if its VM were suspended."""
        self._children_by_id[endpoint_id].send_signal(signal.SIGSTOP)

    def resume(self, endpoint_id: str) -> None:
        """Resumes a suspended process."""
        self._children_by_id[endpoint_id].send_signal(signal.SIGCONT)

    def kill(self, endpoint_id: str) -> None:
        """Kills a process."""
        self._children_by_id[endpoint_id].end()

    def call_test_api(
        self, endpoint_id: str, method: str, path: str, body: Any = None
    ) -> Any:
        """Calls the test API of a stand-in and returns the JSON response."""
        url = f"http://127.0.0.1:{self.endpoints_by_id[endpoint_id].port}{path}"
        return http_calls.call(method, url, body).json()

    async def start_stream(
        self,
    ) -> tuple[token_stream.TokenStream, AsyncIterator[bytes]]:
        """Runs a prefill and reads the first token of its decode.

        Returns:
          The stream and its iterator, positioned after the first token.
        """
        result = await self.client.prefill(
            self.endpoints_by_id["prefill"], REQUEST_ID, _BODY
        )
        stream = await self.client.decode(
            self.endpoints_by_id["decode"], REQUEST_ID, _BODY, result
        )
        events = aiter(stream)
        await anext(events)
        return stream, events

    async def book(
        self, timeout_s: float = _BOOKING_TIMEOUT_S
    ) -> service_client.ServiceResponse:
        """Makes a booking.

        Args:
          timeout_s: Timeout of the whole call in seconds.

        Returns:
          The response of the booking service.
        """
        return await self._service_client.call(
            self.endpoints_by_id["desk"],
            dataclasses.replace(_SERVICE, timeout_s=timeout_s),
            service_client.ServiceRequest(
                request_id=REQUEST_ID,
                method="POST",
                path="/bookings",
                headers={},
                body=b"a family of four",
            ),
        )
