"""What is known of whether a call to an endpoint was run.

Pure: the HTTP client reports how far a call got, and whoever must answer the
caller reads off what may truthfully be said.
"""

import dataclasses
import enum

from cowsliprill.decisions import messages


class Reached(enum.IntEnum):
    """How far a call got."""

    NOTHING_WRITTEN = 0
    WRITTEN = 1
    REFUSED = 2


@dataclasses.dataclass(slots=True)
class Progress:
    """How far one call got; it can be read at any time, also after a cancel.

    Attributes:
      reached: The furthest point.
    """

    reached: Reached = Reached.NOTHING_WRITTEN

    def writing(self) -> None:
        """Notes that bytes are about to be written.

        To be called right before the first write, not after it: a write that
        fails may still have sent a part, and a cancel may come between.
        """
        self.reached = Reached.WRITTEN

    def refused(self) -> None:
        """Notes a whole answer of the endpoint that says it ran nothing."""
        self.reached = Reached.REFUSED

    @property
    def run(self) -> messages.Run:
        """What may be told to the caller."""
        match self.reached:
            case Reached.NOTHING_WRITTEN | Reached.REFUSED:
                return messages.Run.NO
            case _:
                return messages.Run.UNKNOWN


def is_refusal(
    status: int, run: object, answer_id: str | None, request_id: str
) -> bool:
    """Decides whether a whole answer proves that nothing was run.

    An answer that belongs to another request says nothing about this one, so
    the echoed id must be this request's own.

    Args:
      status: HTTP status.
      run: The field `error.run` of the answer's JSON, None if it has none.
      answer_id: The request id that the answer carries.
      request_id: The id of this request.

    Returns:
      Whether the endpoint refused the request without running it.
    """
    client_error = 400
    return (
        status >= client_error
        and run == messages.Run.NO.value
        and answer_id == request_id
    )
