"""State that a scheduler keeps of each request, and the retry decision."""

import dataclasses

from cowsliprill.decisions import endpoint_lease
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import request_queue
from cowsliprill.decisions import retry_budget

# Attempts that were never sent and don't count as retries. Each waits for a new
# lease, so more of them have another cause than an expired lease.
_MAX_FREE_UNSENT_ATTEMPTS = 8

# Queueing at the prefill engine and on the link delays first tokens. Start
# deadlines are earlier by this multiple of the mean delay, or requests would
# start too late to meet their targets.
_DELAY_MARGIN_FACTOR = 2.0


@dataclasses.dataclass(slots=True)
class Request:
    """A request from its arrival to its end.

    All times are in seconds on the scheduler's clock.

    Attributes:
      submit: The request as submitted.
      unloaded_start_deadline: Latest start that meets the TTFT target on idle
        engines.
      start_deadline: Latest start that is expected to meet the TTFT target,
        bounded by the service's `may_wait_s`.
      useful_start_deadline: Latest start at which the response is still of use
        to the client.
      min_ttft_s: Expected TTFT on idle engines.
      cost_s: Expected time for which it holds its decode slots, plus a penalty
        for the risk of a wasted prefill.
      value: Value of its response, about 1 for a request of average size.
      pool: Its pool.
      slots: Decode slots that it takes.
      submitted_at: When it was submitted here, in seconds.
      stage: Its present stage.
      attempt: Number of the newest attempt, -1 before the first.
      unsent: Number of attempts that failed before they reached an engine.
      prefill: Prefill engine of the newest attempt.
      decode: Decode engine of the newest attempt.
      prefill_lease: Lease of the prefill engine in which the newest attempt
        takes part while it prefills. The engine may have restarted since.
      decode_lease: The same for the decode engine, until the attempt ends.
      started_at: When the newest attempt began.
      expected_prefill_s: Expected duration of its prefill, without the
        slowdown recorded for the engine.
      uncached_tokens: Prompt tokens that were not in the engine's prefix cache.
      solo_prompt_number: Sequence number of its prompt at the prefill engine,
        None if the engine had other prompts when it began.
      stage_started_at: When its present stage began.
      export_expires_at: Until when `prefill` keeps the exported KV cache of a
        finished prefill, 0 if there is none.
      probed_ids: Ids of ejected endpoints that the newest attempt probes.
      version: Software version that began its stream, None before the first
        token. Only engines of this version may go on.
      evidence: By what the version of a resumed stream is known; see
        `stream_origins.Evidence`.
      starts_apart: Whether it waits for the start of another request that may
        end an engine for the same reason.
      avoids_engines: Whether it waits for one of the engines that its entry
        process can use, while others may be free.
      needs_version: Whether it waits for an engine of its version, while the
        pool has engines of another one.
      knows_versions: Whether its entry process runs a release that knows of
        software versions and their error code.
      began_unseen: Whether it was taken over while it decoded. When its output
        began is unknown then, and so are its pace and duration.
    """

    submit: messages.Submit
    unloaded_start_deadline: float
    start_deadline: float
    useful_start_deadline: float
    min_ttft_s: float
    cost_s: float
    value: float
    pool: pools.Pool
    slots: int = 1
    submitted_at: float = 0.0
    stage: messages.Stage = messages.Stage.QUEUED
    attempt: int = -1
    unsent: int = 0
    prefill: model.Endpoint | None = None
    decode: model.Endpoint | None = None
    prefill_lease: endpoint_lease.EndpointLease | None = None
    decode_lease: endpoint_lease.EndpointLease | None = None
    started_at: float = 0.0
    expected_prefill_s: float = 1.0
    uncached_tokens: int = 0
    solo_prompt_number: int | None = None
    stage_started_at: float = 0.0
    export_expires_at: float = 0.0
    probed_ids: tuple[str, ...] = ()
    version: str | None = None
    evidence: str = ""
    starts_apart: bool = False
    avoids_engines: bool = False
    needs_version: bool = False
    knows_versions: bool = False
    began_unseen: bool = False

    @property
    def queue(self) -> request_queue.RequestQueue:
        """The queue of its pool in which it waits."""
        if self.starts_apart or self.avoids_engines or self.needs_version:
            return self.pool.constrained
        return self.pool.queue

    def lacks_engines(self) -> bool:
        """Returns whether not all engines of its pool can go on with it."""
        versions = {item.software_version for item in self.pool.decodes}
        return self.version is not None and versions != {self.version}

    def can_reuse_prefill(self, now: float) -> bool:
        """Returns whether the KV cache of its last prefill can be fetched."""
        return self.export_expires_at > now and self.prefill is not None

    @property
    def no_version_code(self) -> messages.RefusalCode:
        """Error code for a stream whose version no engine has."""
        if self.knows_versions:
            return messages.RefusalCode.VERSION_UNAVAILABLE
        return messages.RefusalCode.ENDPOINT_FAILED


def from_submit(
    submit: messages.Submit, pool: pools.Pool, now: float
) -> Request:
    """Creates the state of a new request and records its size in its pool.

    Args:
      submit: The submitted request.
      pool: Its pool.
      now: Current time in seconds.

    Returns:
      The request, not yet queued.
    """
    times = pool.unloaded_latency(submit)
    min_ttft_s = times.min_ttft_s()
    unloaded_start_deadline = submit.deadline - min_ttft_s
    start_deadline = min(
        unloaded_start_deadline
        - pool.first_token_delays.expected_s(submit.priority)
        * _DELAY_MARGIN_FACTOR,
        now + submit.service.may_wait_s,
    )
    useful_start_deadline = start_deadline
    if submit.useful_until:
        useful_start_deadline = submit.useful_until - min_ttft_s
    slots = pool.slots_for(submit)
    pool.record_slots(slots)
    pool.record_work(submit, slots, min_ttft_s, now)
    pool.record_prompt_tokens(submit.prompt_tokens)
    pool.prompt_load.add(submit.prompt_tokens, now)
    tokens = pool.output_lengths.expected_tokens(submit)
    pool.request_values.record(submit, tokens)
    return Request(
        submit=submit,
        unloaded_start_deadline=unloaded_start_deadline,
        start_deadline=start_deadline,
        useful_start_deadline=useful_start_deadline,
        min_ttft_s=min_ttft_s,
        cost_s=_cost_s(pool, submit, times),
        value=pool.request_values.of(submit, tokens),
        pool=pool,
        slots=slots,
        submitted_at=now,
        version=submit.version,
        evidence=submit.evidence,
        knows_versions=submit.resumes,
    )


def from_adopt(event: messages.Adopt, pool: pools.Pool, now: float) -> Request:
    """Creates the state of a running request that another scheduler placed.

    Args:
      event: The request and its placement, as the entry process reports them.
      pool: Its pool.
      now: Current time in seconds.

    Returns:
      The request. Its decode engine may not be in use any more, as it drains.
    """
    submit, start = event.submit, event.start
    decode = pool.endpoints_by_id.get(start.decode_id)
    version = submit.version
    stage = event.stage
    if stage is messages.Stage.PREFILL and not start.has_prefill():
        # No end of a prefill is reported, the first event comes next.
        stage = messages.Stage.TRANSFER
    if decode is None:
        decode = _unlisted_engine(start.decode_id, submit)
    elif version is None and event.stage is messages.Stage.DECODE:
        version = decode.software_version
    return Request(
        submit=submit,
        unloaded_start_deadline=now,
        start_deadline=now,
        useful_start_deadline=submit.useful_until or now,
        min_ttft_s=pool.unloaded_latency(submit).min_ttft_s(),
        cost_s=0.0,
        value=1.0,
        pool=pool,
        slots=start.slots,
        stage=stage,
        attempt=start.attempt,
        # The prefill engine may be gone after its work is done. The decode
        # engine stands in for it, or the memory that the output takes would
        # not be counted.
        prefill=pool.endpoints_by_id.get(start.prefill_id, decode),
        decode=decode,
        started_at=now,
        stage_started_at=now,
        version=version,
        began_unseen=event.stage is messages.Stage.DECODE,
    )


def _unlisted_engine(engine_id: str, submit: messages.Submit) -> model.Endpoint:
    return model.Endpoint(
        id=engine_id,
        kind=model.EndpointKind.DECODE,
        host="",
        port=0,
        availability_zone="",
        pool=submit.service.pool,
        slots=0,
    )


def check_retry(
    request: Request,
    event: messages.AttemptFailed,
    budgets: retry_budget.RetryBudgets,
    now: float,
) -> messages.RefusalCode | None:
    """Decides whether a failed request is retried.

    Args:
      request: The request.
      event: Failure of its newest attempt.
      budgets: Retry budgets; a retry is deducted from the service's budget.
      now: Current time in seconds.

    Returns:
      The code with which it must be refused, or None if it may be retried.
    """
    service = request.submit.service
    repeatable = service.idempotency is model.Idempotency.IDEMPOTENT
    if not repeatable and not (event.refused or event.not_run):
        return messages.RefusalCode.ENDPOINT_FAILED
    # An attempt that never reached an engine adds no load. If it counted as a
    # retry, a load spike in which leases expire would use up the budget and
    # refuse requests although the engines are healthy.
    if event.unsent and request.unsent < _MAX_FREE_UNSENT_ATTEMPTS:
        request.unsent += 1
        late = request.useful_start_deadline <= now
        return messages.RefusalCode.WAITED_TOO_LONG if late else None
    attempts_made = request.attempt + 1 - request.unsent
    if attempts_made >= service.retries.attempts:
        return messages.RefusalCode.ENDPOINT_FAILED
    if request.useful_start_deadline <= now:
        return messages.RefusalCode.ENDPOINT_FAILED
    if not budgets.of(service).try_withdraw(attempts_made):
        return messages.RefusalCode.RETRY_BUDGET_SPENT
    return None


def _cost_s(
    pool: pools.Pool, submit: messages.Submit, times: pools.UnloadedLatency
) -> float:
    """Returns the expected decode slot time of a request, in seconds.

    The slots are held from the start of the prefill. A transfer that takes
    much of the time for which the prefill engine keeps the KV cache may miss
    it, the more so the more transfers share a link. The cost grows with this
    risk, weighted by the service's `wasted_prefill_weight`.
    """
    tokens = pool.output_lengths.expected_tokens(submit)
    hold_s = times.min_ttft_s() + tokens * times.token_interval_s
    risk = times.transfer_s / times.export_ttl_s
    weight = submit.service.wasted_prefill_weight
    return hold_s * (1 + weight * risk)
