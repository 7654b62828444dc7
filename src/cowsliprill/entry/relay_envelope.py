"""Envelope of a request that one VM has another serve."""

import dataclasses

from cowsliprill.decisions import messages


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Envelope:
    """What the sending VM knows of a relayed request.

    Durations count from the moment of sending.

    Attributes:
      vm: Id of the sending VM.
      request_id: Id of the request there.
      method: HTTP method.
      uri: Path and query as the caller sent them.
      host: The caller's `Host` header.
      revision: Revision of the settings that the sending VM uses.
      deadline_s: Seconds until the first token is due; may be negative.
      response_due_s: Seconds until the complete response is due.
      useful_s: Seconds for which a late first token is of use, None if it is
        only until the deadline.
      attempts: Attempts that were sent to endpoints.
      run: Whether the request was executed, as far as known.
      idempotency_key: Idempotency key that the sending VM has claimed.
      last_event_id: Id of the last event that the caller has received of a
        stream, empty for none.
      software_version: Software version that began the stream, None if the
        sending VM doesn't know it.
    """

    vm: str
    request_id: str
    method: str
    uri: str
    host: str
    revision: int
    deadline_s: float
    response_due_s: float
    useful_s: float | None = None
    attempts: int = 0
    run: messages.Executed = messages.Executed.NO
    idempotency_key: str = ""
    last_event_id: str = ""
    software_version: str | None = None
