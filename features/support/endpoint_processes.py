"""Engines and a booking desk as processes, with the router's clients."""

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
_STALL_S = 0.5
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
    """Starts the stand-ins, calls them and disturbs them.

    Attributes:
      client: Client of engines.
      endpoints_by_id: Where each is.
    """

    def __init__(self) -> None:
        self.runner = asyncio.Runner()
        http = http_client.HttpClient()
        self.client = engine_client.EngineClient(http, stall_timeout_s=_STALL_S)
        self._service_client = service_client.ServiceClient(http)
        self._children_by_id = {
            name: child.Child(
                name, "cowsliprill.standins", [*arguments, "--id", name]
            )
            for name, arguments in _ARGUMENTS_BY_ID.items()
        }
        self.endpoints_by_id = {
            name: model.Endpoint(
                id=name,
                kind=_KINDS_BY_ID[name],
                host="127.0.0.1",
                port=int(process.wait_for_event("started")["port"]),
                availability_zone="gasabo",
                pool="briefs",
                slots=20,
            )
            for name, process in self._children_by_id.items()
        }

    def close(self) -> None:
        """Kills what was started."""
        for process in self._children_by_id.values():
            process.end()
        self.runner.close()

    def suspend(self, name: str) -> None:
        """Stops a process, as a suspended VM does."""
        self._children_by_id[name].send_signal(signal.SIGSTOP)

    def wake(self, name: str) -> None:
        """Lets a suspended process go on."""
        self._children_by_id[name].send_signal(signal.SIGCONT)

    def kill(self, name: str) -> None:
        """Kills a process."""
        self._children_by_id[name].end()

    def admin(self, name: str, method: str, path: str, body: Any = None) -> Any:
        """Calls a stand-in's interface for tests."""
        url = f"http://127.0.0.1:{self.endpoints_by_id[name].port}{path}"
        return http_calls.call(method, url, body).json()

    async def begin_answer(
        self,
    ) -> tuple[token_stream.TokenStream, AsyncIterator[bytes]]:
        """Runs a prefill and reads the first token of its decode.

        Returns:
          The stream, and its iterator after the first token.
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
          timeout_s: Time for the whole call.

        Returns:
          The desk's answer.
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
