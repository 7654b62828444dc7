"""Tracks whether a call to an endpoint may have been executed.

The HTTP client records how far a call got. From this follows what the caller
may be told: that the call was not executed, or that this is unknown.
"""

import dataclasses
import enum

from cowsliprill.decisions import messages


class CallState(enum.IntEnum):
    """How far a call got."""

    NOTHING_WRITTEN = 0
    WRITTEN = 1
    REFUSED = 2


@dataclasses.dataclass(slots=True)
class CallProgress:
    """State of one call; valid at any time, also after a cancellation.

    Attributes:
      state: The furthest state reached.
    """

    state: CallState = CallState.NOTHING_WRITTEN

    def mark_writing(self) -> None:
        """Records that bytes are about to be written.

        Must be called right before the first write rather than after it: a
        write that fails may have sent some bytes, and the task may be cancelled
        in between.
        """
        self.state = CallState.WRITTEN

    def mark_refused(self) -> None:
        """Records a complete response that states that nothing was executed."""
        self.state = CallState.REFUSED

    @property
    def run(self) -> messages.Executed:
        """Whether the endpoint may have executed the call."""
        match self.state:
            case CallState.NOTHING_WRITTEN | CallState.REFUSED:
                return messages.Executed.NO
            case _:
                return messages.Executed.UNKNOWN


def is_refusal(
    status: int, run: object, echoed_request_id: str | None, request_id: str
) -> bool:
    """Returns whether a complete response proves that nothing was executed.

    The response must echo the id of this request: a response to another request
    says nothing about this one.

    Args:
      status: HTTP status.
      run: Field `error.run` of the response's JSON body, None if it has none.
      echoed_request_id: Request id that the response carries.
      request_id: Id of this request.

    Returns:
      Whether the endpoint refused the request without executing it.
    """
    min_error_status = 400
    return (
        status >= min_error_status
        and run == messages.Executed.NO.value
        and echoed_request_id == request_id
    )
