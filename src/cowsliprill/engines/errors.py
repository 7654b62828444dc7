"""Errors of calls to engines and plain services.

Each error records whether the endpoint executed the request, as far as known.
"""

from tornado import iostream

from cowsliprill import errors
from cowsliprill.decisions import engine_silence
from cowsliprill.decisions import messages
from cowsliprill.decisions import stream


class CallError(errors.CowsliprillError):
    """Base class: a call to an endpoint returned no usable response.

    Attributes:
      run: Whether the request was executed, as far as known.
    """

    code = "endpoint_failed"
    # What it says about a silent engine if it ends a probe.
    liveness = engine_silence.Liveness.STANDS_STILL

    def __init__(
        self,
        message: str,
        *,
        run: messages.Executed = messages.Executed.UNKNOWN,
        code: str | None = None,
    ) -> None:
        super().__init__(message, code=code)
        self.run = run


class ConnectFailed(CallError):  # noqa: N818
    """The connection could not be established, so nothing was sent.

    Attributes:
      refused: Whether the host answered that nothing listens at the port.
    """

    code = "connect_failed"
    liveness = engine_silence.Liveness.UNREACHABLE

    def __init__(self, message: str, *, refused: bool = False) -> None:
        super().__init__(message, run=messages.Executed.NO)
        self.refused = refused


class EndpointUnavailable(CallError):  # noqa: N818
    """This VM may send the endpoint no requests now, so nothing was sent.

    The endpoint has asked for that, or a limit of this VM applies. Neither
    tells whether it is reachable.
    """

    code = "endpoint_unavailable"

    def __init__(self, message: str) -> None:
        super().__init__(message, run=messages.Executed.NO)


class ConnectionLimitReached(EndpointUnavailable):
    """This VM has reached its connection limit for the endpoint."""

    code = "connections_spent"


class ConnectionLost(CallError):  # noqa: N818
    """The endpoint closed or reset the connection during the call."""

    code = "connection_lost"


def lost_connection(message: str, cause: BaseException | None) -> CallError:
    """Returns the error for a connection that was lost during a call.

    Args:
      message: Error message.
      cause: Error of the connection, None if the endpoint closed it.
    """
    if isinstance(cause, iostream.UnsatisfiableReadError):
        # The client has closed it.
        return MalformedResponse(f"malformed response: {cause}")
    if isinstance(cause, TimeoutError):
        # The host stopped answering, so the endpoint has closed nothing.
        return CallError(message)
    return ConnectionLost(message)


class MalformedResponse(CallError):  # noqa: N818
    """The endpoint sent bytes that are no HTTP response."""

    code = "malformed_answer"


class CallTimeout(CallError):  # noqa: N818
    """The response exceeded the call timeout or the stall timeout."""

    code = "endpoint_timeout"


class EngineSilent(CallError):  # noqa: N818
    """The engine has sent nothing for a while; the call stays open.

    Reading may be continued, and continues the response.
    """

    code = "engine_silent"


class ResponseUnread(CallError):  # noqa: N818
    """The response was cut or dropped because it wasn't read in time.

    That says nothing about the endpoint.
    """

    code = "response_unread"


class ResponseTooLarge(CallError):  # noqa: N818
    """The response body exceeds the size limit for buffering in memory."""

    code = "answer_too_large"


class ResponseIdMismatch(CallError):  # noqa: N818
    """The response does not carry the id of the request."""

    code = "foreign_answer"


class EngineFailed(CallError):  # noqa: N818
    """An engine returned no usable response."""

    code = "engine_failed"
    liveness = engine_silence.Liveness.ANSWERS


class EngineRefused(CallError):  # noqa: N818
    """An engine reported that it did not execute the request.

    Attributes:
      code: Error code sent by the engine, such as `protocol.CODE_FULL`.
    """

    liveness = engine_silence.Liveness.ANSWERS

    def __init__(self, message: str, *, code: str) -> None:
        super().__init__(message, run=messages.Executed.NO, code=code)


class StaleFencingToken(EngineRefused):
    """The engine rejected an order because it has seen a higher fencing token.

    Attributes:
      highest: Highest fencing token that the engine has seen.
    """

    def __init__(self, message: str, *, code: str, highest: int) -> None:
        super().__init__(message, code=code)
        self.highest = highest


class ServiceFailed(CallError):  # noqa: N818
    """A plain service returned no usable response."""

    code = "service_failed"


class ServiceRefused(CallError):  # noqa: N818
    """A plain service reported that it did not execute the request."""

    def __init__(self, message: str, *, code: str) -> None:
        super().__init__(message, run=messages.Executed.NO, code=code)


class StreamBroken(CallError):  # noqa: N818
    """A token stream ended before it was complete, or was invalid.

    Attributes:
      reason: Why the stream is not complete.
      last_token: Number of the last token delivered.
      connection_lost: Whether the engine closed or reset the connection.
      malformed: Whether the engine sent bytes that are no stream of events.
      unread: Whether it ended because its reader was too slow.
    """

    code = "stream_broken"

    def __init__(
        self,
        message: str,
        *,
        reason: stream.StreamFault,
        last_token: int,
        connection_lost: bool = False,
        malformed: bool = False,
        unread: bool = False,
    ) -> None:
        super().__init__(message)
        self.unread = unread
        self.malformed = malformed
        self.connection_lost = connection_lost
        self.reason = reason
        self.last_token = last_token

    @property
    def resumable(self) -> bool:
        """Whether `EngineClient.resume` can continue the stream."""
        return self.reason.resumable
