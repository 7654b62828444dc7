"""Exceptions for attempts at a request that failed without a response."""

import dataclasses
import math

from cowsliprill.decisions import messages
from cowsliprill.engines import service_client


@dataclasses.dataclass(slots=True)
class EngineWait:
    """The wait for the output of an engine.

    Attributes:
      endpoint_id: ID of the engine.
      stage: What the engine is to do.
      max_s: How long a sound engine may take for it, in seconds.
      begun_at: When the wait has begun in seconds, infinite while the request
        waits for its caller.
    """

    endpoint_id: str
    stage: messages.Stage
    max_s: float
    begun_at: float = math.inf

    def failure(self, number: int, now: float) -> messages.AttemptFailed | None:
        """Returns the failure of the engine, None if it may be sound.

        Args:
          number: Number of the request.
          now: Current time in seconds.
        """
        if now - self.begun_at < self.max_s:
            return None
        return messages.AttemptFailed(
            request_id=number, endpoint_id=self.endpoint_id, stage=self.stage
        )


class AttemptError(Exception):  # noqa: N818
    """Raised when an attempt failed in a way that may allow a retry.

    Attributes:
      endpoint_id: ID of the endpoint that failed or refused.
      stage: Stage at which the attempt failed.
      refused: Whether the endpoint refused because it is full or draining.
      unsent: Whether the attempt was sent to no engine.
      unreachable: Whether no connection to the endpoint could be opened.
      answered: Whether the endpoint itself responded that it failed.
      kept_s: Seconds for which the KV cache of the attempt's finished prefill
        is still kept for another decode engine.
      resumable: Whether another engine may resume the broken stream.
      sent: Whether the endpoint got the request and neither refused nor
        answered it.
      connection_lost: Whether the endpoint then closed the connection.
      had_output: Whether the endpoint had sent output of this attempt.
      held: Whether the endpoint may still go on: its stream is held.
      silent: Whether the endpoint of a held stream stands still.
      timed_out: Whether the time for the call was over.
      reason: One sentence for the log.
    """

    def __init__(
        self,
        endpoint_id: str,
        stage: messages.Stage,
        reason: str,
        *,
        refused: bool = False,
        unsent: bool = False,
        unreachable: bool = False,
        answered: bool = False,
        kept_s: float = 0.0,
        resumable: bool = False,
        sent: bool = False,
        connection_lost: bool = False,
        had_output: bool = False,
        held: bool = False,
        silent: bool = False,
        timed_out: bool = False,
    ) -> None:
        super().__init__(reason)
        self.timed_out = timed_out
        self.sent = sent
        self.connection_lost = connection_lost
        self.had_output = had_output
        self.held = held
        self.silent = silent
        self.endpoint_id = endpoint_id
        self.stage = stage
        self.refused = refused
        self.unsent = unsent
        self.unreachable = unreachable
        self.answered = answered
        self.kept_s = kept_s
        self.resumable = resumable
        self.reason = reason


class PlainCallError(Exception):  # noqa: N818
    """Raised when a call to a plain service failed.

    Attributes:
      run: Whether this call was executed, as far as is known.
      reason: One sentence for the log.
      answer: The server's error response, None if there was none.
      unsent: Whether no byte of the call was sent.
      withheld: Whether that was because this VM may send it none now.
      connection_lost: Whether the server closed the connection during the call.
    """

    def __init__(
        self,
        run: messages.Executed,
        reason: str,
        answer: service_client.ServiceResponse | None = None,
        *,
        unsent: bool = False,
        withheld: bool = False,
        connection_lost: bool = False,
    ) -> None:
        super().__init__(reason)
        self.unsent = unsent
        self.withheld = withheld
        self.connection_lost = connection_lost
        self.run = run
        self.reason = reason
        self.answer = answer
