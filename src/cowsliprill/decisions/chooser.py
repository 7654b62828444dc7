"""Which engines a request may use now, and what each would cost it."""

import math

from cowsliprill.decisions import estimates
from cowsliprill.decisions import health
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import placement
from cowsliprill.decisions import pool as pools

# While no prefill engine has a place but a decode engine has room, prompts are
# the bottleneck. A place is free again after the time of one prompt, 0.1 s;
# beyond that a decode engine reads the prompt itself, at half the speed and
# between the tokens of its streams, which come late by as much.
_PREFILLS_SHORT_S = 0.1

# What a request loses at an engine whose memory is full over an empty one:
# each request beside it makes every token of an answer come some hundredths
# later, and answers that grow beyond what was expected push others out.
_FULL_S = 0.1


class Chooser:
    """Chooses engines for the requests of one entry.

    Args:
      availability_zone: Where the entry is.
      engine_health: What it has learnt of the engines.
    """

    def __init__(
        self, availability_zone: str, engine_health: health.Health
    ) -> None:
        self._availability_zone = availability_zone
        self._health = engine_health

    def choose(
        self, pool: pools.Pool, submit: messages.Submit, slots: int, now: float
    ) -> placement.Pair | None:
        """Finds the best engines with free leased slots.

        Args:
          pool: The request's pool.
          submit: The request.
          slots: Slots of a decode engine that it takes.
          now: Time, seconds.

        Returns:
          The best pair, None if it has to wait.
        """
        prefills = self._prefills(pool, submit, now)
        if not prefills:
            return self._without_prefill(pool, submit, slots, now)
        pool.prefills_short_since = math.inf
        endpoints_by_id = pool.endpoints_by_id
        return placement.choose(
            prefills,
            self._decodes(pool, submit, slots, now),
            lambda prefill_id, decode_id: estimates.transfer_s(
                endpoints_by_id[prefill_id],
                endpoints_by_id[decode_id],
                submit.prompt_tokens,
            ),
        )

    def _without_prefill(
        self,
        pool: pools.Pool,
        submit: messages.Submit,
        slots: int,
        now: float,
    ) -> placement.Pair | None:
        if not pool.decodes_read_prompts():
            return None
        readers = [
            (candidate.cost_s, candidate.id)
            for candidate in self._decodes(pool, submit, slots, now)
            if pool.endpoints_by_id[candidate.id].own_prefill_tokens_per_s
        ]
        if not readers:
            return None
        pool.prefills_short_since = min(pool.prefills_short_since, now)
        short_s = now - pool.prefills_short_since
        if pool.has_sound_prefill() and short_s < _PREFILLS_SHORT_S:
            return None
        cost_s, engine = min(readers)
        cost_s += estimates.own_prefill_s(pool.endpoints_by_id[engine], submit)
        return placement.Pair(engine, engine, cost_s)

    def choose_decode(
        self,
        pool: pools.Pool,
        submit: messages.Submit,
        slots: int,
        prefill: model.Endpoint,
        now: float,
    ) -> placement.Pair | None:
        """Finds a decode engine for a prefill that is already done.

        Args:
          pool: The request's pool.
          submit: The request.
          slots: Slots of a decode engine that it takes.
          prefill: The engine that keeps the prefill.
          now: Time, seconds.

        Returns:
          The best pair, None if it has to wait.
        """
        return placement.choose(
            [placement.Candidate(prefill.id, 0.0)],
            self._decodes(pool, submit, slots, now),
            lambda _, decode_id: estimates.transfer_s(
                prefill, pool.endpoints_by_id[decode_id], submit.prompt_tokens
            ),
        )

    def _prefills(
        self, pool: pools.Pool, submit: messages.Submit, now: float
    ) -> list[placement.Candidate]:
        found = []
        left_alone = self._health.left_alone(pool.prefills)
        no_other = len(left_alone) == len(pool.prefills)
        for endpoint in pool.prefills:
            if not pool.holding(endpoint.id).fits(1, now):
                continue
            probes = endpoint.id in left_alone
            if probes and not self._may_probe(
                pool, endpoint, submit, now, no_other
            ):
                continue
            cost_s = pool.prefill_wait_s(endpoint, submit)
            cost_s += self._hop_s(endpoint)
            found.append(placement.Candidate(endpoint.id, cost_s))
        return found

    def _decodes(
        self, pool: pools.Pool, submit: messages.Submit, slots: int, now: float
    ) -> list[placement.Candidate]:
        found = []
        left_alone = self._health.left_alone(pool.decodes)
        no_other = len(left_alone) == len(pool.decodes)
        for endpoint in pool.decodes:
            holding = pool.holding(endpoint.id)
            if not holding.fits(slots, now):
                continue
            # Short requests leave memory when all places are taken. One more
            # would be turned away after its prompt was read.
            if endpoint.places and holding.running >= endpoint.places:
                continue
            probes = endpoint.id in left_alone
            if probes and not self._may_probe(
                pool, endpoint, submit, now, no_other
            ):
                continue
            load = holding.used / max(endpoint.slots, 1)
            cost_s = self._hop_s(endpoint) * (1 + load)
            if endpoint.block_tokens:
                cost_s += load * _FULL_S
            found.append(placement.Candidate(endpoint.id, cost_s))
        return found

    def _may_probe(
        self,
        pool: pools.Pool,
        endpoint: model.Endpoint,
        submit: messages.Submit,
        now: float,
        no_other: bool,
    ) -> bool:
        # A probe may well come to nothing. With a short prompt it costs less.
        # What is short goes by the pool's own prompts: where all of them are
        # longer than a fixed bound, no engine would ever be tried again.
        is_short = submit.prompt_tokens <= pool.usual_prompt_tokens
        # One that couldn't be reached is found out before the prefill.
        cheap = is_short or self._health.was_unreachable(endpoint.id)
        usable = self._health.usable(endpoint.id, now, urgently=no_other)
        return usable and (cheap or no_other)

    def _hop_s(self, endpoint: model.Endpoint) -> float:
        if endpoint.availability_zone == self._availability_zone:
            return 0.0
        return estimates.CROSS_ZONE_S
