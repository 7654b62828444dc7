"""Selects the engines for a request by their estimated time to first token."""

import math
from collections.abc import Iterator

from cowsliprill.decisions import estimates
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import pair_selection
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import requests
from cowsliprill.decisions import unavailable_engines
from cowsliprill.decisions.engine_health import health

# While all prefill slots are taken and a decode engine has free slots, prefill
# is the bottleneck. A prefill slot is free again after the time of one prompt,
# 0.1 s. If none is by then, a decode engine runs the prefill itself. It does so
# at half the speed and between the tokens of its streams, which delays those
# tokens by as much.
_PREFILL_BUSY_GRACE_S = 0.1

# Cost of an engine with full KV cache memory relative to an empty one. Each
# concurrent request delays every output token by some hundredths of a second,
# and outputs that grow longer than expected preempt other requests.
_FULL_MEMORY_COST_S = 0.1

# Cost of an engine outside the availability zone of the entry process. The
# prompt, and from a decode engine the output, then cross zones, which is slower
# and billed. An engine in the zone is preferred unless its prefill starts later
# by this time, or its KV cache memory is fuller by a tenth.
_PREFILL_CROSS_ZONE_COST_S = 0.02
_DECODE_CROSS_ZONE_COST_S = 0.01


class EngineSelector:
    """Selects engines for the requests of one scheduler.

    Args:
      availability_zone: Availability zone of this process, assumed for the
        requests of entry processes whose zone is unknown.
      engine_health: Ejection state of the engines.
      unavailable: Engines that single entry processes can't use.
    """

    def __init__(
        self,
        availability_zone: str,
        engine_health: health.EngineHealth,
        unavailable: unavailable_engines.UnavailableEngines,
    ) -> None:
        self._availability_zone = availability_zone
        self._health = engine_health
        self._unavailable = unavailable

    def select_pair(
        self, request: requests.Request, now: float, entry: str | None
    ) -> pair_selection.EnginePair | None:
        """Selects the best pair of engines with free leased slots.

        Args:
          request: The request.
          now: Current time in seconds.
          entry: Entry process that must be able to use the engines, None for
            any.

        Returns:
          The best pair, None if the request has to wait.
        """
        pool, submit = request.pool, request.submit
        prefills = list(self._prefill_candidates(pool, submit, now, entry))
        if not prefills:
            return self._choose_without_prefill(request, now, entry)
        pool.prefill_shortage_since = math.inf
        endpoints_by_id = pool.endpoints_by_id
        pair = pair_selection.select_pair(
            prefills,
            list(self._decode_candidates(request, now, entry)),
            lambda prefill_id, decode_id: estimates.transfer_s(
                endpoints_by_id[prefill_id],
                endpoints_by_id[decode_id],
                submit.prompt_tokens,
            ),
        )
        if pair is None or pair.prefill_id not in pool.last_choice_ids(
            pool.prefills
        ):
            return pair
        # About half of the prefills there are lost. One at a decode engine
        # takes longer, but counts as done.
        local = self._local_pair(request, now, entry)
        return min(local or pair, pair, key=lambda item: item.cost_s)

    def candidates(
        self, request: requests.Request, now: float, entry: str | None
    ) -> tuple[list[pair_selection.Candidate], list[pair_selection.Candidate]]:
        """Returns the prefill and the decode engines that could be selected.

        Args:
          request: The request.
          now: Current time in seconds.
          entry: As for `select_pair`.
        """
        return (
            list(
                self._prefill_candidates(
                    request.pool, request.submit, now, entry
                )
            ),
            list(self._decode_candidates(request, now, entry)),
        )

    def has_engines(self, request: requests.Request, now: float) -> bool:
        """Returns whether some entry process could start a request now.

        Args:
          request: The request.
          now: Current time in seconds.
        """
        prefills = self._prefill_candidates(
            request.pool, request.submit, now, entry=None
        )
        if request.can_reuse_prefill(now) or any(prefills):
            return any(self._decode_candidates(request, now, entry=None))
        pair = self._choose_without_prefill(request, now, entry=None)
        return pair is not None

    def _choose_without_prefill(
        self, request: requests.Request, now: float, entry: str | None
    ) -> pair_selection.EnginePair | None:
        pool, submit = request.pool, request.submit
        if not pool.decodes_can_prefill():
            return None
        pair = self._local_pair(request, now, entry)
        if pair is None:
            return None
        prefill_ready_at = self._unavailable.ready_at(entry, pool.prefills)
        may_get_prefill = prefill_ready_at <= now and self._may_get_prefill(
            pool, now
        )
        if may_get_prefill and not _is_sooner(pool, submit, pair.cost_s):
            return None
        return pair

    def _local_pair(
        self, request: requests.Request, now: float, entry: str | None
    ) -> pair_selection.EnginePair | None:
        """Returns the best decode engine that can run the prefill itself."""
        pool = request.pool
        local_prefill_engines = [
            (
                candidate.cost_s
                + estimates.local_prefill_s(
                    pool.endpoints_by_id[candidate.id], request.submit
                ),
                candidate.id,
            )
            for candidate in self._decode_candidates(request, now, entry)
            if pool.endpoints_by_id[candidate.id].own_prefill_tokens_per_s
        ]
        if not local_prefill_engines:
            return None
        cost_s, engine_id = min(local_prefill_engines)
        return pair_selection.EnginePair(engine_id, engine_id, cost_s)

    def _may_get_prefill(self, pool: pools.Pool, now: float) -> bool:
        """Returns whether a prefill engine is likely to be free soon."""
        pool.prefill_shortage_since = min(pool.prefill_shortage_since, now)
        prefills_busy_s = now - pool.prefill_shortage_since
        return (
            pool.has_healthy_prefill()
            and prefills_busy_s < _PREFILL_BUSY_GRACE_S
        )

    def select_decode(
        self,
        request: requests.Request,
        prefill: model.Endpoint,
        now: float,
        entry: str | None,
    ) -> pair_selection.EnginePair | None:
        """Selects a decode engine for a completed prefill.

        Args:
          request: The request.
          prefill: The engine that holds the KV cache of the prompt.
          now: Current time in seconds.
          entry: As for `select_pair`.

        Returns:
          The best pair, None if the request has to wait.
        """
        pool, submit = request.pool, request.submit
        return pair_selection.select_pair(
            [pair_selection.Candidate(prefill.id, 0.0)],
            list(self._decode_candidates(request, now, entry)),
            lambda _, decode_id: estimates.transfer_s(
                prefill, pool.endpoints_by_id[decode_id], submit.prompt_tokens
            ),
        )

    def _prefill_candidates(
        self,
        pool: pools.Pool,
        submit: messages.Submit,
        now: float,
        entry: str | None,
    ) -> Iterator[pair_selection.Candidate]:
        ejected_engine_ids = pool.ejected_ids(pool.prefills)
        all_ejected = pool.none_sound(pool.prefills)
        attempt_s = self._failed_attempt_s(pool)
        for endpoint in pool.prefills:
            if not pool.lease(endpoint.id).fits(1, now):
                continue
            if self._unavailable.has(entry, endpoint.id, now):
                continue
            if not pool.rates.is_open(endpoint.id, now):
                continue
            is_probe = endpoint.id in ejected_engine_ids
            if is_probe and not self._may_probe(
                pool, endpoint, submit, now, all_ejected
            ):
                continue
            cross_zone_s = loss_s = 0.0
            if self._is_cross_zone(endpoint, submit):
                cross_zone_s = _PREFILL_CROSS_ZONE_COST_S
            if attempt_s:
                loss_s = self._health.expected_loss_s(
                    endpoint.id, attempt_s, now
                )
            yield _candidate(
                endpoint,
                pair_selection.CostParts(
                    prefill=pool.prefill_wait_s(endpoint, submit),
                    cross_zone=cross_zone_s,
                    loss=loss_s,
                ),
            )

    def _decode_candidates(
        self, request: requests.Request, now: float, entry: str | None
    ) -> Iterator[pair_selection.Candidate]:
        pool, submit = request.pool, request.submit
        decodes = [
            endpoint
            for endpoint in pool.decodes
            if request.version in (None, endpoint.software_version)
        ]
        ejected_engine_ids = pool.ejected_ids(decodes)
        all_ejected = pool.none_sound(decodes)
        attempt_s = self._failed_attempt_s(pool)
        fastest_s_per_token = min(
            (
                item.seconds_per_token
                for item in decodes
                if item.seconds_per_token > 0
            ),
            default=0.0,
        )
        output_tokens = pool.output_lengths.expected_tokens(submit)
        for endpoint in decodes:
            lease = pool.lease(endpoint.id)
            if not lease.fits(request.slots, now):
                continue
            if self._unavailable.has(entry, endpoint.id, now):
                continue
            if not pool.rates.is_open(endpoint.id, now):
                continue
            # Short requests leave KV cache memory free when the engine already
            # runs its maximum number of requests. It would reject one more only
            # after the prefill of the prompt.
            if endpoint.places and lease.running >= endpoint.places:
                continue
            is_probe = endpoint.id in ejected_engine_ids
            if is_probe and not self._may_probe(
                pool, endpoint, submit, now, all_ejected
            ):
                continue
            occupancy = lease.used / max(endpoint.slots, 1)
            cross_zone_s = memory_s = loss_s = 0.0
            if self._is_cross_zone(endpoint, submit):
                cross_zone_s = _DECODE_CROSS_ZONE_COST_S * (1 + occupancy)
            if endpoint.block_tokens:
                memory_s = occupancy * _FULL_MEMORY_COST_S
            if attempt_s:
                loss_s = self._health.expected_loss_s(
                    endpoint.id, attempt_s, now
                )
            decode_s = estimates.extra_decode_s(
                endpoint, fastest_s_per_token, submit, output_tokens
            )
            yield _candidate(
                endpoint,
                pair_selection.CostParts(
                    cross_zone=cross_zone_s,
                    memory=memory_s,
                    loss=loss_s,
                    decode=decode_s,
                ),
            )

    def _may_probe(
        self,
        pool: pools.Pool,
        endpoint: model.Endpoint,
        submit: messages.Submit,
        now: float,
        all_ejected: bool,
    ) -> bool:
        # A probe is likely to fail and costs less with a short prompt. Prompts
        # are compared with the pool's mean length: with a fixed limit, an
        # engine of a pool whose prompts are all longer would never be probed.
        is_short_prompt = submit.prompt_tokens <= pool.mean_prompt_tokens
        # An engine that is still unreachable is detected before the prefill.
        is_cheap = is_short_prompt or self._health.was_unreachable(endpoint.id)
        usable = self._health.usable(endpoint.id, now, last_resort=all_ejected)
        return usable and (is_cheap or all_ejected)

    def _is_cross_zone(
        self, endpoint: model.Endpoint, submit: messages.Submit
    ) -> bool:
        """Returns whether an engine is outside the entry process's zone."""
        zone = submit.availability_zone or self._availability_zone
        return endpoint.availability_zone != zone

    def _failed_attempt_s(self, pool: pools.Pool) -> float:
        """Returns what a failed attempt costs, 0 if no engine has failed any.

        Most of the time none has, and the candidates need no rates.
        """
        return pool.failed_attempt_s() if self._health.has_losses() else 0.0


def _candidate(
    endpoint: model.Endpoint, parts: pair_selection.CostParts
) -> pair_selection.Candidate:
    return pair_selection.Candidate(endpoint.id, sum(parts), parts)


def _is_sooner(
    pool: pools.Pool, submit: messages.Submit, local_s: float
) -> bool:
    """Returns whether a local prefill ends before one at a prefill engine.

    This matters while prefill engines are ejected: the queues of the others
    don't get short again within `_PREFILL_BUSY_GRACE_S`.

    Args:
      pool: The pool, whose usable prefill engines are all busy.
      submit: The request.
      local_s: Expected duration of the local prefill, in seconds.
    """
    if not pool.lacks_prefill():
        return False
    ejected_ids = pool.ejected_ids(pool.prefills)
    return all(
        pool.prefill_wait_s(endpoint, submit) > local_s
        for endpoint in pool.prefills
        if endpoint.id not in ejected_ids
    )
