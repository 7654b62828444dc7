"""What a scheduler remembers of a request."""

import dataclasses

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import retry

# Each of these waits for a new grant, so that this many are no matter of a
# lapsed lease any more.
_UNSENT_MAX = 8

# Requests start late enough to miss their targets when others are before them
# at the prefill engine or on the link. This multiple of the mean delay that
# this costs is kept in hand.
_DELAY_MARGIN = 2.0


@dataclasses.dataclass(slots=True)
class Request:
    """A request from its arrival to its end.

    Attributes:
      submit: The request.
      unhindered_start: When starting it would be too late if nobody else
        were there.
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
      uncached: Tokens of its prompt that had to be read.
      alone_number: Number of its prompt at the prefill engine, None if another
        one was there when it began.
      stage_at: When its present stage began.
      kept_until: Until when a finished prefill of it waits at `prefill`.
      probed: Endpoints that its newest attempt tries again.
    """

    submit: messages.Submit
    unhindered_start: float
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
    uncached: int = 0
    alone_number: int | None = None
    stage_at: float = 0.0
    kept_until: float = 0.0
    probed: tuple[str, ...] = ()


def arrived(submit: messages.Submit, pool: pools.Pool, now: float) -> Request:
    """Makes a request of what has arrived, and learns its size.

    Args:
      submit: What has arrived.
      pool: Its pool.
      now: Time, seconds.

    Returns:
      The request.
    """
    times = pool.best_times(submit)
    first_token_s = times.first_token_s()
    unhindered_start = submit.deadline - first_token_s
    latest_start = min(
        unhindered_start - pool.start_delay_s * _DELAY_MARGIN,
        now + submit.service.may_wait_s,
    )
    last_start = latest_start
    if submit.useful_until:
        last_start = submit.useful_until - first_token_s
    slots = pool.slots_for(submit)
    pool.learn_slots(slots)
    pool.learn_work(submit, slots, first_token_s, now)
    pool.learn_prompt(submit.prompt_tokens)
    tokens = pool.lengths.expected_tokens(submit)
    pool.worths.learn(submit, tokens)
    return Request(
        submit=submit,
        unhindered_start=unhindered_start,
        latest_start=latest_start,
        last_start=last_start,
        first_token_s=first_token_s,
        cost_s=_cost_s(pool, submit, times),
        worth=pool.worths.of(submit, tokens),
        pool=pool,
        slots=slots,
    )


def adopted(
    event: messages.Adopt, pool: pools.Pool, now: float
) -> Request | None:
    """Makes a request of one that another scheduler has placed.

    Args:
      event: What its entry says of it.
      pool: Its pool.
      now: Time, seconds.

    Returns:
      The request, None if its decode engine isn't in use any more.
    """
    submit, start = event.submit, event.start
    decode = pool.endpoints_by_id.get(start.decode_id)
    if decode is None:
        return None
    return Request(
        submit=submit,
        unhindered_start=now,
        latest_start=now,
        last_start=submit.useful_until or now,
        first_token_s=pool.best_times(submit).first_token_s(),
        cost_s=0.0,
        worth=1.0,
        pool=pool,
        slots=start.slots,
        stage=event.stage,
        attempt=start.attempt,
        # The prefill engine may have left since; its part is done. Without
        # one the memory that the answer takes would not be counted.
        prefill=pool.endpoints_by_id.get(start.prefill_id, decode),
        decode=decode,
        started_at=now,
        stage_at=now,
    )


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


def _cost_s(
    pool: pools.Pool, submit: messages.Submit, times: pools.BestTimes
) -> float:
    """Returns the decode slot time that a request is expected to cost.

    Its slot is held from the start of the prefill on. A transfer that
    takes much of the time for which its prefill is kept may come too
    late, the more so the more links are shared; the service says how much
    an unused prefill matters.
    """
    tokens = pool.lengths.expected_tokens(submit)
    held_s = times.first_token_s() + tokens * times.token_s
    risk = times.transfer_s / times.export_ttl_s
    weight = submit.service.wasted_prefill_weight
    return held_s * (1 + weight * risk)
