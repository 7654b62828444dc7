"""HTTP handler of the calls for permits."""

import asyncio

from cowsliprill import peer_auth
from cowsliprill import peer_handler
from cowsliprill.rate_limiting import permit_server as permit_server_lib
from cowsliprill.rate_limiting import wire


class PermitHandler(peer_handler.PeerHandler):
    """Answers a `wire.PermitCall` unless the caller leaves before."""

    def initialize(
        self,
        auth: peer_auth.PeerAuth,
        permit_server: permit_server_lib.PermitServer,
    ) -> None:
        """Stores the handler's dependencies.

        Args:
          auth: Signs and verifies bodies.
          permit_server: Decides on the requests.
        """
        super().initialize(auth)
        self._permit_server = permit_server
        self._decision: asyncio.Task[wire.PermitAnswer] | None = None

    def on_connection_close(self) -> None:
        """Takes a request out of the queue whose process no longer waits."""
        if self._decision is not None:
            self._decision.cancel()

    async def post(self) -> None:
        """Handles one call."""
        call = self.read_message(wire.PermitCall)
        if call is None:
            return
        self._decision = asyncio.create_task(self._permit_server.handle(call))
        await asyncio.wait([self._decision])
        if not self._decision.cancelled():
            self.answer(self._decision.result())
