"""The entry's scheduler of model requests.

Pure state machine: `messages.Event` in, `messages.Action` out. A request is
started only while a decode slot and a prefill slot are leased for it; it is
refused as soon as its target can't be met. Each submitted request ends in
exactly one of: `Refuse`, or the shell's `Finished` or `Cancel`.
"""

import dataclasses
import random

from cowsliprill.decisions import demand
from cowsliprill.decisions import estimates
from cowsliprill.decisions import health
from cowsliprill.decisions import leases
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import placement
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import queue
from cowsliprill.decisions import retry
from cowsliprill.decisions import subset

_IDLE_WAKEUP_S = 0.5

# A caller waits in the queue only if the backlog is expected to drain within
# this multiple of the time it has.
_ADMIT_FACTOR = 1.0

# How many seconds of waiting a second of expected decode time outweighs.
_SIZE_WORTH = 3.0

# Requests start late enough to miss their targets when others are before them
# at the prefill engine or on the link. This multiple of the mean delay that
# this costs is kept in hand.
_DELAY_MARGIN = 2.0

# Longest prompt with which an engine that was left alone is tried again.
_PROBE_PROMPT_TOKENS = 2_000


@dataclasses.dataclass(slots=True)
class _Request:
    """A request from its arrival to its end.

    Attributes:
      submit: The request.
      latest_start: When starting it would be too late.
      first_token_s: Least time to its first token.
      cost_s: Decode slot time that it is expected to cost.
      pool: Its pool.
      stage: Where it is.
      attempt: Number of the newest attempt.
      prefill: Prefill engine of the newest attempt.
      decode: Decode engine of the newest attempt.
      started_at: When the newest attempt began.
      expected_s: Time that its prefill takes at the engine's usual speed.
      stage_at: When its present stage began.
    """

    submit: messages.Submit
    latest_start: float
    first_token_s: float
    cost_s: float
    pool: pools.Pool
    stage: messages.Stage = messages.Stage.QUEUED
    attempt: int = -1
    prefill: model.Endpoint | None = None
    decode: model.Endpoint | None = None
    started_at: float = 0.0
    expected_s: float = 1.0
    stage_at: float = 0.0


class Scheduler:
    """Places the model requests of one entry process.

    Args:
      availability_zone: Where this process runs.
      seed: Seed of its random numbers.
    """

    def __init__(self, availability_zone: str, seed: int) -> None:
        self._availability_zone = availability_zone
        self._seed = seed
        self._random = random.Random(seed)
        self._snapshot = model.Snapshot()
        self._entries = 1
        self._requests_by_id: dict[int, _Request] = {}
        self._pools_by_name: dict[str, pools.Pool] = {}
        self._pools_by_endpoint: dict[str, pools.Pool] = {}
        self._health = health.Health()
        self._budgets = retry.RetryBudgets()
        self._lengths = estimates.AnswerLengths()
        self._sequence = 0

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Action]:
        """Takes one event.

        Args:
          event: What happened.
          now: Time, seconds, on the clock of all other times here.

        Returns:
          What the shell has to do, in order.
        """
        match event:
            case messages.Submit():
                return self._submit(event, now)
            case messages.Cancel(request_id):
                return self._cancel(request_id, now)
            case messages.PrefillFinished(request_id):
                return self._prefill_finished(request_id, now)
            case messages.FirstToken(request_id):
                return self._first_token(request_id, now)
            case messages.Progress():
                return self._progress(event, now)
            case messages.Finished():
                return self._finished(event, now)
            case messages.AttemptFailed():
                return self._failed(event, now)
            case messages.SlotGrant():
                return self._granted(event, now)
            case messages.HomeUnreachable(endpoint_ids):
                return self._home_unreachable(endpoint_ids, now)
            case messages.WorldChanged(snapshot, fleet):
                return self._world_changed(snapshot, fleet, now)
            case messages.Tick():
                return self._advance_all(now)

    def asks(self, now: float) -> list[messages.SlotAsk]:
        """States this entry's standing with every endpoint it uses.

        Args:
          now: Time, seconds.

        Returns:
          One ask per endpoint; the shell sends them to the homes, at each
          renewal and whenever `handle` returns some.
        """
        self._sequence += 1
        return [
            ask
            for pool in self._pools_by_name.values()
            for ask in pool.asks(now, self._sequence, only_urgent=False)
        ]

    def next_wakeup(self, now: float) -> float:
        """Returns the time at which the shell must send `Tick`."""
        soonest = min(
            (
                pool.queue.soonest_latest_start()
                for pool in self._pools_by_name.values()
            ),
            default=now + _IDLE_WAKEUP_S,
        )
        return min(soonest, now + _IDLE_WAKEUP_S)

    # Events of one request.

    def _submit(
        self, event: messages.Submit, now: float
    ) -> list[messages.Action]:
        pool = self._pools_by_name.get(event.service.pool)
        if pool is None or not pool.prefills or not pool.decodes:
            code = messages.RefusalCode.NO_ENDPOINT
            return [
                messages.Refuse(
                    request_id=event.request_id,
                    code=code,
                    retry_after_s=_IDLE_WAKEUP_S,
                )
            ]
        self._budgets.of(event.service).earn()
        times = pool.best_times(event)
        unhindered_start = event.deadline - times.first_token_s()
        latest_start = min(
            unhindered_start - pool.start_delay_s * _DELAY_MARGIN,
            now + event.service.may_wait_s,
        )
        cost_s = self._cost_s(event, times)
        request = _Request(
            event, latest_start, times.first_token_s(), cost_s, pool
        )
        self._requests_by_id[event.request_id] = request
        if unhindered_start < now:
            code = messages.RefusalCode.TARGET_UNREACHABLE
            return [self._refuse(request, code, now)]
        item = self._demand_item(request, now)
        pool.demand.add(item)
        self._enqueue(request)
        starts = self._place_all(pool, now)
        waits = request.stage is messages.Stage.QUEUED
        if waits and not self._fits(request, item):
            code = messages.RefusalCode.OVERLOADED
            starts.append(self._refuse(request, code, now))
        return starts + self._advance(pool, now)

    def _fits(self, request: _Request, item: demand.Item) -> bool:
        """Returns whether a request that has to wait is worth its wait."""
        pool = request.pool
        if not pool.backlog(item.priority).is_scarce():
            return True
        slots = pool.slots() / self._entries
        return pool.demand.fits(item, slots, pool.shares_by_user)

    def _demand_item(self, request: _Request, now: float) -> demand.Item:
        service = request.submit.service
        weight = service.goodput_weight
        return demand.Item(
            at=now,
            user=request.submit.user,
            priority=request.submit.priority,
            cost_s=request.cost_s,
            worth=weight,
        )

    def _cost_s(self, submit: messages.Submit, times: pools.BestTimes) -> float:
        """Returns the decode slot time that a request is expected to cost.

        Its slot is held from the start of the prefill on. A transfer that
        takes much of the time for which its prefill is kept may come too
        late, the more so the more links are shared; the service says how much
        an unused prefill matters.
        """
        tokens = self._lengths.expected_tokens(submit)
        held_s = times.first_token_s() + tokens * times.token_s
        risk = times.transfer_s / times.export_ttl_s
        weight = submit.service.wasted_prefill_weight
        return held_s * (1 + weight * risk)

    def _enqueue(self, request: _Request) -> None:
        request.stage = messages.Stage.QUEUED
        request.pool.queue.add(
            queue.Waiting(
                submit=request.submit,
                latest_start=request.latest_start,
                cost_s=request.cost_s,
                size_worth=_SIZE_WORTH,
            )
        )

    def _cancel(self, request_id: int, now: float) -> list[messages.Action]:
        request = self._requests_by_id.pop(request_id, None)
        if request is None:
            return []
        actions: list[messages.Action] = []
        if request.stage is messages.Stage.QUEUED:
            request.pool.queue.remove(request_id)
        else:
            actions.append(self._cancel_attempt(request))
            self._release(request)
        return actions + self._advance(request.pool, now)

    def _prefill_finished(
        self, request_id: int, now: float
    ) -> list[messages.Action]:
        request = self._requests_by_id.get(request_id)
        if request is None or request.stage is not messages.Stage.PREFILL:
            return []
        self._release_prefill(request)
        assert request.prefill is not None
        request.pool.learn_prefill_speed(
            request.prefill.id, (now - request.started_at) / request.expected_s
        )
        request.stage = messages.Stage.TRANSFER
        request.stage_at = now
        return self._advance(request.pool, now)

    def _first_token(
        self, request_id: int, now: float
    ) -> list[messages.Action]:
        request = self._requests_by_id.get(request_id)
        if request is None or request.stage is not messages.Stage.TRANSFER:
            return []
        prefill, decode = request.prefill, request.decode
        assert prefill is not None and decode is not None
        expected = decode.seconds_per_token + estimates.transfer_s(
            prefill, decode, request.submit.prompt_tokens
        )
        ratio = (now - request.stage_at) / max(expected, 0.01)
        self._health.transfer(prefill.id, decode.id, ratio, now)
        request.stage = messages.Stage.DECODE
        request.stage_at = now
        request.pool.learn_start_delay(
            now - request.started_at - request.first_token_s
        )
        return []

    def _progress(
        self, event: messages.Progress, now: float
    ) -> list[messages.Action]:
        request = self._requests_by_id.get(event.request_id)
        if request is not None and request.stage is messages.Stage.DECODE:
            self._learn_pace(request, event.output_tokens, now)
        return []

    def _finished(
        self, event: messages.Finished, now: float
    ) -> list[messages.Action]:
        request = self._requests_by_id.pop(event.request_id, None)
        if request is None:
            return []
        if request.stage is messages.Stage.QUEUED:
            request.pool.queue.remove(event.request_id)
            return []
        if request.stage is messages.Stage.DECODE:
            self._learn_pace(request, event.output_tokens, now)
            self._lengths.learn(request.submit, event.output_tokens)
            request.pool.learn_hold(now - request.started_at)
        self._release(request)
        return self._advance(request.pool, now)

    def _learn_pace(
        self, request: _Request, output_tokens: int, now: float
    ) -> None:
        decode = request.decode
        assert decode is not None
        if output_tokens < 2 or decode.seconds_per_token <= 0:
            return
        pace = (now - request.stage_at) / (output_tokens - 1)
        self._health.pace(decode.id, pace / decode.seconds_per_token, now)

    def _failed(
        self, event: messages.AttemptFailed, now: float
    ) -> list[messages.Action]:
        request = self._requests_by_id.get(event.request_id)
        if request is None or request.stage is messages.Stage.QUEUED:
            return []
        self._blame(request, event, now)
        cancel = self._cancel_attempt(request)
        streaming = request.stage is messages.Stage.DECODE
        self._release(request)
        if streaming:
            # Tokens have reached the caller; what becomes of its stream is
            # the shell's to decide, not ours to start anew.
            del self._requests_by_id[event.request_id]
            return [cancel, *self._advance(request.pool, now)]
        code = self._why_not_again(request, event, now)
        if code is not None:
            return [
                cancel,
                self._refuse(request, code, now),
                *self._advance(request.pool, now),
            ]
        self._enqueue(request)
        return [cancel, *self._advance(request.pool, now)]

    def _blame(
        self, request: _Request, event: messages.AttemptFailed, now: float
    ) -> None:
        prefill, decode = request.prefill, request.decode
        assert prefill is not None and decode is not None
        if event.refused:
            request.pool.holding(event.endpoint_id).drop_free()
        elif event.stage is messages.Stage.TRANSFER:
            self._health.transfer(prefill.id, decode.id, float("inf"), now)
        else:
            self._health.failed(event.endpoint_id, now)

    def _why_not_again(
        self, request: _Request, event: messages.AttemptFailed, now: float
    ) -> messages.RefusalCode | None:
        service = request.submit.service
        repeatable = service.idempotency is model.Idempotency.REPEATABLE
        if not repeatable and not event.refused:
            return messages.RefusalCode.ENDPOINT_FAILED
        if request.attempt + 1 >= service.retries.attempts:
            return messages.RefusalCode.ENDPOINT_FAILED
        if request.latest_start <= now:
            return messages.RefusalCode.ENDPOINT_FAILED
        if not self._budgets.of(service).spend(request.attempt + 1):
            return messages.RefusalCode.RETRY_BUDGET_SPENT
        return None

    def _cancel_attempt(self, request: _Request) -> messages.CancelAttempt:
        prefill, decode = request.prefill, request.decode
        assert prefill is not None and decode is not None
        return messages.CancelAttempt(
            request_id=request.submit.request_id,
            attempt=request.attempt,
            endpoint_ids=(prefill.id, decode.id),
        )

    def _release(self, request: _Request) -> None:
        if request.stage is messages.Stage.PREFILL:
            self._release_prefill(request)
        assert request.decode is not None
        user = request.submit.user
        request.pool.holding(request.decode.id).release(user)
        request.pool.release(user)

    def _release_prefill(self, request: _Request) -> None:
        assert request.prefill is not None
        holding = request.pool.holding(request.prefill.id)
        holding.release(request.submit.user)

    def _refuse(
        self, request: _Request, code: messages.RefusalCode, now: float
    ) -> messages.Refuse:
        pool = request.pool
        request_id = request.submit.request_id
        pool.queue.remove(request_id)
        del self._requests_by_id[request_id]
        step_s = pool.hold_s / max(pool.slots(), 1) * self._entries
        return messages.Refuse(
            request_id=request_id,
            code=code,
            retry_after_s=pool.returns.retry_after_s(
                now, pool.backlog(request.submit.priority).wait_s(), step_s
            ),
        )

    # Events of the world.

    def _granted(
        self, event: messages.SlotGrant, now: float
    ) -> list[messages.Action]:
        pool = self._pools_by_endpoint.get(event.endpoint_id)
        if pool is None:
            return []
        pool.holding(event.endpoint_id).grant(event)
        return self._advance(pool, now)

    def _home_unreachable(
        self, endpoint_ids: tuple[str, ...], now: float
    ) -> list[messages.Action]:
        for endpoint_id in endpoint_ids:
            pool = self._pools_by_endpoint.get(endpoint_id)
            endpoint = self._snapshot.endpoints_by_id.get(endpoint_id)
            if pool is None or endpoint is None:
                continue
            # Half of an equal share: entries that still reach the home may
            # hold the rest, and the engine refuses what is too much.
            share = endpoint.slots // (2 * self._entries)
            pool.holding(endpoint_id).fallback = max(share, 1)
        return self._advance_all(now)

    def _world_changed(
        self, snapshot: model.Snapshot, fleet: model.Fleet, now: float
    ) -> list[messages.Action]:
        self._snapshot = snapshot
        self._entries = max(
            sum(
                len(vm.entry_ports) or 1
                for vm in fleet.vms_by_id.values()
                if vm.role is model.VmRole.ENTRY
            ),
            1,
        )
        self._choose_engines(fleet)
        for pool in self._pools_by_name.values():
            pool.shares_by_user = {
                user.id: user.share for user in snapshot.users_by_id.values()
            }
        return self._advance_all(now)

    def _choose_engines(self, fleet: model.Fleet) -> None:
        by_pool: dict[str, dict[model.EndpointKind, list[model.Endpoint]]] = {}
        for endpoint in self._snapshot.endpoints_by_id.values():
            if endpoint.id not in fleet.leaving_endpoint_ids:
                kinds = by_pool.setdefault(endpoint.pool, {})
                kinds.setdefault(endpoint.kind, []).append(endpoint)
        self._pools_by_endpoint = {}
        for name in by_pool.keys() | self._pools_by_name.keys():
            kinds = by_pool.get(name, {})
            self._set_engines(name, kinds)
        self._health.forget_except(set(self._pools_by_endpoint))

    def _set_engines(
        self,
        name: str,
        kinds: dict[model.EndpointKind, list[model.Endpoint]],
    ) -> None:
        pool = self._pools_by_name.get(name)
        if pool is None:
            pool = pools.Pool(self._random, self._health)
            self._pools_by_name[name] = pool
        prefills, decodes = (
            subset.choose(
                kinds.get(kind, []), limit, self._seed, self._availability_zone
            )
            for kind, limit in (
                (model.EndpointKind.PREFILL, subset.PREFILLS_MAX),
                (model.EndpointKind.DECODE, subset.DECODES_MAX),
            )
        )
        pool.set_engines(prefills, decodes)
        for endpoint_id in pool.holdings_by_endpoint:
            self._pools_by_endpoint[endpoint_id] = pool

    # Placement.

    def _advance_all(self, now: float) -> list[messages.Action]:
        return [
            action
            for pool in self._pools_by_name.values()
            for action in self._advance(pool, now)
        ]

    def _advance(self, pool: pools.Pool, now: float) -> list[messages.Action]:
        """Does all that is possible now for a pool's waiting requests."""
        actions = self._place_all(pool, now)
        actions.extend(self._give_up(pool, now))
        self._sequence += 1
        actions.extend(pool.asks(now, self._sequence, only_urgent=True))
        return actions

    def _place_all(self, pool: pools.Pool, now: float) -> list[messages.Action]:
        starts: list[messages.Action] = []
        while len(pool.queue):
            start = self._place_first(pool, now)
            if start is None:
                break
            starts.append(start)
        return starts

    def _give_up(self, pool: pools.Pool, now: float) -> list[messages.Refuse]:
        """Refuses at once what is too late or will be."""
        refusals = []
        for waiting in pool.queue.too_late(now):
            request = self._requests_by_id[waiting.submit.request_id]
            code = messages.RefusalCode.WAITED_TOO_LONG
            refusals.append(self._refuse(request, code, now))
        while len(pool.queue):
            last = pool.queue.last(pool.over_share)
            assert last is not None
            time_left = last.latest_start - now
            wait_s = pool.backlog(last.submit.priority).wait_s()
            if wait_s <= time_left * _ADMIT_FACTOR:
                break
            request = self._requests_by_id[last.submit.request_id]
            code = messages.RefusalCode.OVERLOADED
            refusals.append(self._refuse(request, code, now))
        return refusals

    def _place_first(
        self, pool: pools.Pool, now: float
    ) -> messages.Start | None:
        waiting = pool.queue.first(pool.over_share)
        assert waiting is not None
        submit = waiting.submit
        prefills = self._prefill_candidates(pool, submit, now)
        if not prefills:
            return None
        pair = placement.choose(
            prefills,
            self._decode_candidates(pool, submit, now),
            lambda prefill_id, decode_id: estimates.transfer_s(
                self._snapshot.endpoints_by_id[prefill_id],
                self._snapshot.endpoints_by_id[decode_id],
                submit.prompt_tokens,
            ),
        )
        if pair is None:
            return None
        pool.queue.remove(submit.request_id)
        return self._start(pool, submit, pair, now)

    def _prefill_candidates(
        self, pool: pools.Pool, submit: messages.Submit, now: float
    ) -> list[placement.Candidate]:
        found = []
        for endpoint in pool.prefills:
            holding = pool.holding(endpoint.id)
            if not self._may_use(endpoint, holding, submit, now):
                continue
            cost_s = pool.prefill_wait_s(endpoint, submit)
            cost_s += self._hop_s(endpoint)
            found.append(placement.Candidate(endpoint.id, cost_s))
        return found

    def _decode_candidates(
        self, pool: pools.Pool, submit: messages.Submit, now: float
    ) -> list[placement.Candidate]:
        found = []
        for endpoint in pool.decodes:
            holding = pool.holding(endpoint.id)
            if not self._may_use(endpoint, holding, submit, now):
                continue
            load = holding.used / max(endpoint.slots, 1)
            cost_s = self._hop_s(endpoint) * (1 + load)
            found.append(placement.Candidate(endpoint.id, cost_s))
        return found

    def _may_use(
        self,
        endpoint: model.Endpoint,
        holding: leases.Holding,
        submit: messages.Submit,
        now: float,
    ) -> bool:
        if holding.free(now) <= 0 or not self._health.usable(endpoint.id, now):
            return False
        # A probe may well come to nothing. With a short prompt it costs little
        # and its transfer arrives in time even on a slow link.
        is_short = submit.prompt_tokens <= _PROBE_PROMPT_TOKENS
        return is_short or not self._health.is_probe(endpoint.id)

    def _hop_s(self, endpoint: model.Endpoint) -> float:
        if endpoint.availability_zone == self._availability_zone:
            return 0.0
        return estimates.CROSS_ZONE_S

    def _start(
        self,
        pool: pools.Pool,
        submit: messages.Submit,
        pair: placement.Pair,
        now: float,
    ) -> messages.Start:
        request = self._requests_by_id[submit.request_id]
        request.prefill = self._snapshot.endpoints_by_id[pair.prefill_id]
        request.decode = self._snapshot.endpoints_by_id[pair.decode_id]
        request.stage = messages.Stage.PREFILL
        request.attempt += 1
        request.started_at = now
        request.expected_s = pool.prefill_wait_s(
            request.prefill, submit, usual=True
        )
        request.stage_at = now
        cached = pool.holding(pair.prefill_id).cached
        pool.learn_prefill(
            estimates.prefill_s(
                request.prefill,
                submit,
                cached.cached_tokens(submit.prefix_hashes),
            )
        )
        cached.add(submit.prefix_hashes)
        for endpoint_id in (pair.prefill_id, pair.decode_id):
            pool.holding(endpoint_id).take(submit.user)
            self._health.placed(endpoint_id, now)
        pool.take(submit.user)
        return messages.Start(
            request_id=submit.request_id,
            attempt=request.attempt,
            prefill_id=pair.prefill_id,
            decode_id=pair.decode_id,
        )
