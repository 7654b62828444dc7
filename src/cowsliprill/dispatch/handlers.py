"""HTTP handlers of the dispatch process for messages from peers."""

import asyncio

from cowsliprill import errors as errors_lib
from cowsliprill import peer_auth
from cowsliprill import peer_handler
from cowsliprill.dispatch import canceller as canceller_lib
from cowsliprill.dispatch import messages
from cowsliprill.dispatch import slot_lease_server


class _PeerHandler(peer_handler.PeerHandler):
    unsigned_code = "peer_unknown"


class SlotsHandler(_PeerHandler):
    """Handles `POST /v1/slots`, a long poll for slot leases."""

    def initialize(
        self, auth: peer_auth.PeerAuth, desk: slot_lease_server.SlotLeaseServer
    ) -> None:
        """Stores the dependencies of the handler.

        Args:
          auth: Signs and verifies message bodies.
          desk: Server that grants the slot leases.
        """
        super().initialize(auth)
        self._lease_server = desk
        self._response_task: asyncio.Task | None = None
        self._connection_closed = False

    async def post(self) -> None:
        """Responds with slot grants, possibly after a long-poll wait."""
        request = self.read_message(messages.SlotsRequest)
        if request is None:
            return
        self._response_task = asyncio.ensure_future(
            self._lease_server.handle(request)
        )
        try:
            self.answer(await self._response_task)
        except errors_lib.CowsliprillError as error:
            self.respond_with_error(400, error.code, error.message)
        except asyncio.CancelledError:
            if not self._connection_closed:
                raise

    def on_connection_close(self) -> None:
        """Cancels the long poll of an entry process that has disconnected.

        A long poll keeps requesting slots on behalf of its entry process. For
        a dead process, that would lease slots which stay unused.
        """
        self._connection_closed = True
        if self._response_task is not None:
            self._response_task.cancel()


class CancelsHandler(_PeerHandler):
    """Handles `POST /v1/cancels`, the handover of pending cancellations."""

    def initialize(
        self, auth: peer_auth.PeerAuth, canceller: canceller_lib.Canceller
    ) -> None:
        """Stores the dependencies of the handler.

        Args:
          auth: Signs and verifies message bodies.
          canceller: Queue that takes over the cancellations.
        """
        super().initialize(auth)
        self._canceller = canceller

    def post(self) -> None:
        """Takes over the pending cancellations of a process that stops."""
        request = self.read_message(messages.CancelsRequest)
        if request is None:
            return
        self._canceller.add(request.cancels)
        self.answer(messages.CancelsResponse(taken=len(request.cancels)))
