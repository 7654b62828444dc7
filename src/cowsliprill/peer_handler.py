"""HTTP handlers for signed messages between the processes."""

import inspect
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import TypeVar

from tornado import web

from cowsliprill import codec
from cowsliprill import peer_auth

_T = TypeVar("_T")


class PeerHandler(web.RequestHandler):
    """Base handler that verifies, decodes and signs messages.

    Attributes:
      unsigned_code: Error code for a message without a valid signature.
    """

    unsigned_code = "not_a_peer"

    def initialize(self, auth: peer_auth.PeerAuth) -> None:
        """Stores the handler's dependencies.

        Args:
          auth: Signs and verifies bodies.
        """
        self._auth = auth

    def read_message(self, kind: type[_T]) -> _T | None:
        """Returns the verified message, or None after writing an error.

        Args:
          kind: Data class of the message.
        """
        body = self.request.body
        signature = self.request.headers.get(peer_auth.HEADER)
        if not self._auth.verify(body, signature):
            self.respond_with_error(
                403, self.unsigned_code, "the body isn't signed"
            )
            return None
        try:
            return codec.decode(kind, body)
        except codec.CodecError as error:
            self.respond_with_error(400, error.code, error.message)
            return None

    def respond_with_error(self, status: int, code: str, message: str) -> None:
        """Writes an error response."""
        self.set_status(status)
        self.write({"error": {"code": code, "message": message}})

    def answer(self, value: Any) -> None:
        """Writes a data class as a signed response."""
        body = codec.encode_without_defaults(value)
        self.set_header("Content-Type", "application/json")
        for name, text in self._auth.headers(body).items():
            self.set_header(name, text)
        self.write(body)


class MessageHandler(PeerHandler):
    """Serves one request type by POST."""

    def initialize(
        self,
        auth: peer_auth.PeerAuth,
        kind: type,
        respond: Callable[[Any], Any | Awaitable[Any]],
    ) -> None:
        """Stores the handler's dependencies.

        Args:
          auth: Signs and verifies bodies.
          kind: Data class of the request message.
          respond: Returns the response message, a data class, or an awaitable
            of one.
        """
        super().initialize(auth)
        self._kind = kind
        self._respond = respond

    async def post(self) -> None:
        """Handles one request of a peer."""
        message = self.read_message(self._kind)
        if message is None:
            return
        response = self._respond(message)
        if inspect.isawaitable(response):
            response = await response
        self.answer(response)
