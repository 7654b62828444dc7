"""Errors of calls to engines and plain services.

Each says what is known of whether the call was run.
"""

from cowsliprill import errors
from cowsliprill.decisions import messages
from cowsliprill.decisions import stream


class CallError(errors.CowsliprillError):
    """Base: a call to an endpoint gave no usable answer.

    Attributes:
      run: What is known of whether it was run.
    """

    code = "endpoint_failed"

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
    """No connection came about, so nothing was written."""

    code = "connect_failed"

    def __init__(self, message: str) -> None:
        super().__init__(message, run=messages.Executed.NO)


class ConnectionsSpent(ConnectFailed):
    """This VM has as many connections there as it may."""

    code = "connections_spent"


class CallTimeout(CallError):  # noqa: N818
    """The answer was not whole in time, or stood still for too long."""

    code = "endpoint_timeout"


class AnswerTooLarge(CallError):  # noqa: N818
    """The answer is larger than what may be held in memory."""

    code = "answer_too_large"


class ForeignAnswer(CallError):  # noqa: N818
    """The answer carries another request's id."""

    code = "foreign_answer"


class EngineFailed(CallError):  # noqa: N818
    """An engine gave no usable answer."""

    code = "engine_failed"


class EngineRefused(CallError):  # noqa: N818
    """An engine says that it did not run the request.

    Attributes:
      code: The engine's own code, for example `protocol.CODE_FULL`.
    """

    def __init__(self, message: str, *, code: str) -> None:
        super().__init__(message, run=messages.Executed.NO, code=code)


class StaleFencing(EngineRefused):
    """An engine has seen a higher fencing number.

    Attributes:
      highest: The highest number that it has seen.
    """

    def __init__(self, message: str, *, code: str, highest: int) -> None:
        super().__init__(message, code=code)
        self.highest = highest


class ServiceFailed(CallError):  # noqa: N818
    """A plain service gave no usable answer."""

    code = "service_failed"


class ServiceRefused(CallError):  # noqa: N818
    """A plain service says that it did not run the request."""

    def __init__(self, message: str, *, code: str) -> None:
        super().__init__(message, run=messages.Executed.NO, code=code)


class StreamBroken(CallError):  # noqa: N818
    """A token stream ended before it was whole.

    Attributes:
      reason: What was wrong.
      last_token: Number of the last token that was delivered.
    """

    code = "stream_broken"

    def __init__(
        self, message: str, *, reason: stream.StreamFault, last_token: int
    ) -> None:
        super().__init__(message)
        self.reason = reason
        self.last_token = last_token

    @property
    def resumable(self) -> bool:
        """Whether the rest may be asked for with `EngineClient.resume`."""
        return self.reason.resumable
