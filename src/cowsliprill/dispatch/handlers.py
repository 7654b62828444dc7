"""HTTP handlers of the dispatch process: peers' messages in and out."""

import asyncio
from typing import Any
from typing import TypeVar

from tornado import web

from cowsliprill import codec
from cowsliprill import errors as errors_lib
from cowsliprill.dispatch import messages
from cowsliprill.dispatch import slot_desk

_T = TypeVar("_T")


class _PeerHandler(web.RequestHandler):
    def read(self, kind: type[_T]) -> _T | None:
        try:
            return codec.decode(kind, self.request.body)
        except codec.CodecError as error:
            self.refuse(error)
            return None

    def refuse(self, error: errors_lib.CowsliprillError) -> None:
        self.set_status(400)
        self.write({"error": {"code": error.code, "message": error.message}})

    def answer(self, value: Any) -> None:
        self.set_header("Content-Type", "application/json")
        self.write(codec.encode(value))


class SlotsHandler(_PeerHandler):
    """`POST /v1/slots`."""

    def initialize(self, desk: slot_desk.SlotDesk) -> None:
        """Keeps what the handler needs.

        Args:
          desk: The desk that answers.
        """
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
