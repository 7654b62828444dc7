"""How one attempt at a request ends without an answer."""

from cowsliprill.decisions import messages
from cowsliprill.engines import service_client


class AttemptLost(Exception):  # noqa: N818
    """Raised when an attempt came to nothing and another may be made.

    Attributes:
      endpoint_id: The endpoint that failed or refused.
      stage: Where the attempt was.
      refused: Whether the endpoint refused, being full or draining.
      unsent: Whether no engine has heard of the attempt.
      unreachable: Whether no connection to the endpoint came about.
      answered: Whether the endpoint itself answered that it failed.
      kept_s: How long the attempt's finished prefill is kept yet.
      resumable: Whether the rest of a broken stream may come from another
        engine.
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
    ) -> None:
        super().__init__(reason)
        self.endpoint_id = endpoint_id
        self.stage = stage
        self.refused = refused
        self.unsent = unsent
        self.unreachable = unreachable
        self.answered = answered
        self.kept_s = kept_s
        self.resumable = resumable
        self.reason = reason


class PlainCallLost(Exception):  # noqa: N818
    """Raised when a call to a plain service gave no answer.

    Attributes:
      run: What is known of whether this call was run.
      reason: One sentence for the log.
      answer: The server's own answer that it failed, None without one.
      unsent: Whether no byte of the call has left.
    """

    def __init__(
        self,
        run: messages.Executed,
        reason: str,
        answer: service_client.ServiceAnswer | None = None,
        *,
        unsent: bool = False,
    ) -> None:
        super().__init__(reason)
        self.unsent = unsent
        self.run = run
        self.reason = reason
        self.answer = answer
