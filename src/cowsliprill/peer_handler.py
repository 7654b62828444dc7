"""Answers to signed messages between our own processes."""

import inspect
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from tornado import web

from cowsliprill import codec
from cowsliprill import peer_auth


class MessageHandler(web.RequestHandler):
    """Takes one kind of message by POST and answers with another."""

    def initialize(
        self,
        auth: peer_auth.PeerAuth,
        kind: type,
        answer: Callable[[Any], Any | Awaitable[Any]],
    ) -> None:
        """Keeps what the handler needs.

        Args:
          auth: Signs and checks bodies.
          kind: Data class of the message.
          answer: Returns the answer, a data class, at once or when awaited.
        """
        self._auth = auth
        self._kind = kind
        self._answer = answer

    async def post(self) -> None:
        """Answers a peer."""
        body = self.request.body
        signature = self.request.headers.get(peer_auth.HEADER)
        if not self._auth.accepts(body, signature):
            self._refuse(403, "not_a_peer", "the body isn't signed")
            return
        try:
            message = codec.decode(self._kind, body)
        except codec.CodecError as error:
            self._refuse(400, error.code, error.message)
            return
        answer = self._answer(message)
        if inspect.isawaitable(answer):
            answer = await answer
        text = codec.encode_short(answer)
        self.set_header("Content-Type", "application/json")
        for name, value in self._auth.headers(text).items():
            self.set_header(name, value)
        self.write(text)

    def _refuse(self, status: int, code: str, message: str) -> None:
        self.set_status(status)
        self.write({"error": {"code": code, "message": message}})
