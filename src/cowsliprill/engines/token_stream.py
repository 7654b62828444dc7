"""Validated token stream of one attempt at a model request."""

from collections.abc import AsyncIterator

from cowsliprill.decisions import stream as stream_lib
from cowsliprill.engines import errors
from cowsliprill.engines import exchange as exchange_lib


class TokenStream:
    """Validated server-sent events of one attempt, as bytes.

    Iterate with `async for`; the iteration ends normally only if the output is
    complete. After an `errors.StreamBroken` that is `resumable`, call
    `EngineClient.resume` and iterate again.

    Attributes:
      request_id: Attempt id as text.
      validator: Validates the events and tracks the last delivered token.
    """

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.validator = stream_lib.StreamValidator(request_id)
        self._response: exchange_lib.Response | None = None

    @property
    def tokens(self) -> int:
        """Number of tokens delivered so far."""
        return self.validator.last_token

    def attach(self, response: exchange_lib.Response) -> None:
        """Sets the response from which the next events are read.

        Args:
          response: Response of the engine.
        """
        self._response = response

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yields validated events.

        Raises:
          errors.StreamBroken: The stream is truncated, stalled or invalid.
        """
        reason = stream_lib.StreamFault.TRUNCATED
        connection_lost = False
        try:
            async for chunk in self._response.chunks():
                result = self.validator.feed(chunk)
                if result.data:
                    yield result.data
                if not isinstance(result, stream_lib.Events):
                    break
        except errors.CallTimeout:
            reason = stream_lib.StreamFault.STALLED
        except errors.CallError as error:
            connection_lost = isinstance(error, errors.ConnectionLost)
        finally:
            self._release_connection()
        result = self.validator.end(reason)
        if isinstance(result, stream_lib.Broken):
            raise errors.StreamBroken(
                f"stream is {result.reason} after token {result.last_token}",
                reason=result.reason,
                last_token=result.last_token,
                connection_lost=connection_lost,
            )

    def _release_connection(self) -> None:
        if self._response is None:
            return
        if self.validator.complete:
            self._response.release()
        else:
            self._response.close()

    def close(self) -> None:
        """Stops reading; may be called at any time.

        Closes the connection if the stream is incomplete. The engine keeps the
        memory of the request until a cancellation.
        """
        self._release_connection()
