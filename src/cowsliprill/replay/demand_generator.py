"""Generator of synthetic demands from the parameters of a trace and a seed."""

import dataclasses
import itertools
import math
import random

from cowsliprill.replay import sites
from cowsliprill.replay import trace as traces

_URGENT_FRACTION = 0.2
_HOT_PREFIX_COUNT = 12
_HOT_PREFIX_BLOCKS = 8
_OUTPUT_LIMIT_STEP_TOKENS = 64
_MEAN_TRANSFER_S = 0.12


def _lognormal_mean(median: float, sigma: float) -> float:
    return median * math.exp(sigma * sigma / 2)


def max_requests_per_s(site: sites.Site) -> float:
    """Returns the mean request rate that a fleet can serve.

    Args:
      site: The fleet and the length distributions of its requests.

    Returns:
      Requests per second: the smaller of the rates that the decode slots and
      the prefill engines allow.
    """
    output = _lognormal_mean(site.output_median, site.output_sigma)
    slot_s_per_request = output * site.seconds_per_token + _MEAN_TRANSFER_S
    engines = site.endpoints().values()
    slots = sum(
        engine.slots for engine in engines if engine.kind.value == "decode"
    )
    prompt = _lognormal_mean(site.prompt_median, site.prompt_sigma)
    prefills_per_s = site.prefill_engines * site.prefill_tokens_per_s / prompt
    return min(slots / slot_s_per_request, prefills_per_s)


def _hot_prefix(user: str, number: int) -> tuple[int, ...]:
    # Seeded by user, so that no two users share a prefix block.
    rng = random.Random(f"{user}/{number}")
    return tuple(rng.getrandbits(48) for _ in range(_HOT_PREFIX_BLOCKS))


class _Generator:
    """Generates the demands of one trace."""

    def __init__(self, trace: traces.Trace, seed: int) -> None:
        self._trace = trace
        self._site = sites.SITES_BY_NAME[trace.site]
        self._random = random.Random(f"{trace.name}/{seed}")
        self._burst_window = (trace.duration_s * 0.4, trace.duration_s * 0.6)
        weights = [1 / rank for rank in range(1, _HOT_PREFIX_COUNT + 1)]
        self._hot_prefix_cum_weights = list(itertools.accumulate(weights))

    def demands(self) -> list[traces.Demand]:
        rate = self._trace.load * max_requests_per_s(self._site)
        drawn = []
        at = self._random.expovariate(rate)
        while at < self._trace.duration_s:
            drawn.append(self._draw_demand(at))
            at += self._random.expovariate(rate)
        return drawn

    def _draw_demand(self, at: float) -> traces.Demand:
        in_burst_window = self._burst_window[0] <= at < self._burst_window[1]
        user = self._draw_user()
        prompt = self._draw_lognormal(
            self._site.prompt_median, self._site.prompt_sigma
        )
        prompt = min(max(prompt, 100), 12_000)
        if in_burst_window:
            prompt = min(int(prompt * self._trace.burst), 24_000)
        output = self._draw_lognormal(
            self._site.output_median, self._site.output_sigma
        )
        limit_steps = math.ceil(output * 1.15 / _OUTPUT_LIMIT_STEP_TOKENS)
        gone_after = 0.0
        if in_burst_window and self._random.random() < self._trace.cancel_share:
            gone_after = self._random.uniform(0.05, 3.0)
        urgent = self._random.random() < _URGENT_FRACTION
        service = self._site.services[1 if urgent else 0]
        return traces.Demand(
            at=at,
            user=user,
            service=f"{self._site.user}/{service}",
            prompt_tokens=prompt,
            output_limit=limit_steps * _OUTPUT_LIMIT_STEP_TOKENS,
            output_tokens=output,
            prefix=self._draw_prefix(user, prompt),
            gone_after=gone_after,
        )

    def _draw_user(self) -> str:
        child_customers = self._site.child_customers
        weights = [self._trace.skew] + [1.0] * (len(child_customers) - 1)
        return self._random.choices(child_customers, weights)[0]

    def _draw_lognormal(self, median: float, sigma: float) -> int:
        return max(int(self._random.lognormvariate(math.log(median), sigma)), 8)

    def _draw_prefix(self, user: str, prompt: int) -> tuple[int, ...]:
        blocks: tuple[int, ...] = ()
        if self._random.random() < self._trace.hot_prefixes:
            number = self._random.choices(
                range(_HOT_PREFIX_COUNT),
                cum_weights=self._hot_prefix_cum_weights,
            )[0]
            blocks = _hot_prefix(user, number)
        count = prompt // sites.BLOCK_TOKENS
        unique_blocks = tuple(
            self._random.getrandbits(48) for _ in range(count - len(blocks))
        )
        return (blocks + unique_blocks)[:count]


def with_demands(trace: traces.Trace, seed: int) -> traces.Trace:
    """Returns a trace with its demands generated.

    Args:
      trace: A trace; one that already has demands is returned unchanged.
      seed: Seed of the random numbers.

    Returns:
      The trace with demands in order of arrival.
    """
    if trace.demands:
        return trace
    demands = tuple(_Generator(trace, seed).demands())
    return dataclasses.replace(trace, demands=demands)
