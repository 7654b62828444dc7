"""HTTP handlers of the dispatch process: peers' messages in and out."""

import asyncio
from typing import Any
from typing import TypeVar

from tornado import web

from cowsliprill import codec
from cowsliprill import errors as errors_lib
from cowsliprill import peer_auth
from cowsliprill.dispatch import canceller as canceller_lib
from cowsliprill.dispatch import errors
from cowsliprill.dispatch import messages
from cowsliprill.dispatch import slot_desk

_T = TypeVar("_T")


class _PeerHandler(web.RequestHandler):
    def initialize(self, auth: peer_auth.PeerAuth) -> None:
        self._auth = auth

    def read(self, kind: type[_T]) -> _T | None:
        signature = self.request.headers.get(peer_auth.HEADER)
        if not self._auth.accepts(self.request.body, signature):
            self.refuse(errors.PeerUnknownError("the body isn't signed"), 403)
            return None
        try:
            return codec.decode(kind, self.request.body)
        except codec.CodecError as error:
            self.refuse(error)
            return None

    def refuse(
        self, error: errors_lib.CowsliprillError, status: int = 400
    ) -> None:
        self.set_status(status)
        self.write({"error": {"code": error.code, "message": error.message}})

    def answer(self, value: Any) -> None:
        body = codec.encode_short(value)
        self.set_header("Content-Type", "application/json")
        for name, text in self._auth.headers(body).items():
            self.set_header(name, text)
        self.write(body)


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
            self.refuse(error)
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
