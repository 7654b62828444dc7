"""The checked tokens of one attempt at a model request."""

from collections.abc import AsyncIterator

from cowsliprill.decisions import stream as stream_lib
from cowsliprill.engines import errors
from cowsliprill.engines import exchange as exchange_lib


class TokenStream:
    """The checked tokens of one attempt, as bytes of server-sent events.

    Iterate with `async for`; the end of the iteration means that the answer
    is whole. A `errors.StreamBroken` that is `resumable` may be followed by
    `EngineClient.resume`, after which the iteration goes on.

    Attributes:
      request_id: The attempt's id.
      validator: Where the stream stands.
    """

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.validator = stream_lib.StreamValidator(request_id)
        self._response: exchange_lib.Response | None = None

    @property
    def tokens(self) -> int:
        """Tokens that were delivered so far."""
        return self.validator.last_token

    def attach(self, response: exchange_lib.Response) -> None:
        """Takes the connection that the next events come by.

        Args:
          response: The engine's answer.
        """
        self._response = response

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yields checked events.

        Raises:
          errors.StreamBroken: The answer isn't whole.
        """
        reason = stream_lib.StreamFault.TRUNCATED
        try:
            async for chunk in self._response.chunks():
                result = self.validator.feed(chunk)
                if result.data:
                    yield result.data
                if not isinstance(result, stream_lib.Events):
                    break
        except errors.CallTimeout:
            reason = stream_lib.StreamFault.STALLED
        except errors.CallError:
            pass
        finally:
            self._let_go()
        result = self.validator.end(reason)
        if isinstance(result, stream_lib.Broken):
            raise errors.StreamBroken(
                f"stream is {result.reason} after token {result.last_token}",
                reason=result.reason,
                last_token=result.last_token,
            )

    def _let_go(self) -> None:
        if self._response is None:
            return
        if self.validator.complete:
            self._response.release()
        else:
            self._response.close()

    def close(self) -> None:
        """Ends the reading, at any time.

        The connection of an answer that isn't whole is dropped; the engine
        holds its memory until a cancel.
        """
        self._let_go()
