"""HTTP handlers of the dispatch process: peers' messages in and out."""

import asyncio

from cowsliprill import errors as errors_lib
from cowsliprill import peer_auth
from cowsliprill import peer_handler
from cowsliprill.dispatch import canceller as canceller_lib
from cowsliprill.dispatch import messages
from cowsliprill.dispatch import slot_desk


class _PeerHandler(peer_handler.PeerHandler):
    unsigned_code = "peer_unknown"


class SlotsHandler(_PeerHandler):
    """`POST /v1/slots`."""

    def initialize(
        self, auth: peer_auth.PeerAuth, desk: slot_desk.SlotDesk
    ) -> None:
        """Keeps what the handler needs.

        Args:
          auth: Signs and checks bodies.
          desk: The desk that answers.
        """
        super().initialize(auth)
        self._desk = desk
        self._task: asyncio.Task | None = None
        self._gone = False

    async def post(self) -> None:
        """Answers asks, perhaps after a wait."""
        request = self.read(messages.SlotsRequest)
        if request is None:
            return
        self._task = asyncio.ensure_future(self._desk.answer(request))
        try:
            self.answer(await self._task)
        except errors_lib.CowsliprillError as error:
            self.refuse(400, error.code, error.message)
        except asyncio.CancelledError:
            if not self._gone:
                raise

    def on_connection_close(self) -> None:
        """Stops the wait of an entry that is gone.

        The wait states the entry's wants again and again; for a dead entry
        that would hold slots which nobody will use.
        """
        self._gone = True
        if self._task is not None:
            self._task.cancel()


class CancelsHandler(_PeerHandler):
    """`POST /v1/cancels`."""

    def initialize(
        self, auth: peer_auth.PeerAuth, canceller: canceller_lib.Canceller
    ) -> None:
        """Keeps what the handler needs.

        Args:
          auth: Signs and checks bodies.
          canceller: Owner of the orders.
        """
        super().initialize(auth)
        self._canceller = canceller

    def post(self) -> None:
        """Takes over cancel orders of a process that leaves."""
        request = self.read(messages.CancelsRequest)
        if request is None:
            return
        self._canceller.add(request.cancels)
        self.answer(messages.CancelsAnswer(taken=len(request.cancels)))
