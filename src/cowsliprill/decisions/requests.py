"""What a scheduler remembers of a request."""

import dataclasses

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import retry

# Each of these waits for a new grant, so that this many are no matter of a
# lapsed lease any more.
_UNSENT_MAX = 8


@dataclasses.dataclass(slots=True)
class Request:
    """A request from its arrival to its end.

    Attributes:
      submit: The request.
      latest_start: When starting it would be too late.
      last_start: When starting it would be too late for any use.
      first_token_s: Least time to its first token.
      cost_s: Decode slot time that it is expected to cost.
      worth: What its answer is worth, about 1 for a usual one.
      pool: Its pool.
      slots: Slots of a decode engine that it takes.
      stage: Where it is.
      attempt: Number of the newest attempt.
      unsent: Attempts that no engine has heard of.
      prefill: Prefill engine of the newest attempt.
      decode: Decode engine of the newest attempt.
      started_at: When the newest attempt began.
      expected_s: Time that its prefill takes at the engine's usual speed.
      stage_at: When its present stage began.
      kept_until: Until when a finished prefill of it waits at `prefill`.
    """

    submit: messages.Submit
    latest_start: float
    last_start: float
    first_token_s: float
    cost_s: float
    worth: float
    pool: pools.Pool
    slots: int = 1
    stage: messages.Stage = messages.Stage.QUEUED
    attempt: int = -1
    unsent: int = 0
    prefill: model.Endpoint | None = None
    decode: model.Endpoint | None = None
    started_at: float = 0.0
    expected_s: float = 1.0
    stage_at: float = 0.0
    kept_until: float = 0.0


def why_not_again(
    request: Request,
    event: messages.AttemptFailed,
    budgets: retry.RetryBudgets,
    now: float,
) -> messages.RefusalCode | None:
    """Decides whether a failed request is tried again.

    Args:
      request: The request.
      event: How its newest attempt failed.
      budgets: Budgets of retries; one is spent if it is tried again.
      now: Time, seconds.

    Returns:
      Why it is refused, None if it is tried again.
    """
    service = request.submit.service
    repeatable = service.idempotency is model.Idempotency.REPEATABLE
    if not repeatable and not (event.refused or event.not_run):
        return messages.RefusalCode.ENDPOINT_FAILED
    # An attempt that no engine has heard of adds no load. Counted as a retry,
    # a busy moment in which leases lapse would spend the budget and refuse
    # callers whose engines are well.
    if event.unsent and request.unsent < _UNSENT_MAX:
        request.unsent += 1
        late = request.last_start <= now
        return messages.RefusalCode.WAITED_TOO_LONG if late else None
    made = request.attempt + 1 - request.unsent
    if made >= service.retries.attempts:
        return messages.RefusalCode.ENDPOINT_FAILED
    if request.last_start <= now:
        return messages.RefusalCode.ENDPOINT_FAILED
    if not budgets.of(service).spend(made):
        return messages.RefusalCode.RETRY_BUDGET_SPENT
    return None
