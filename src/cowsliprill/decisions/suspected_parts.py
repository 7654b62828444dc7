"""Parts of prompts that may end engines, and the starts that this restricts.

Different requests may share a part that ends each engine which begins to write
an answer on it. From the first loss of such a request until an engine gives
output on the part, the requests with it start one after the other, so that one
engine at a time is at risk.
"""

import dataclasses
from collections.abc import Collection
from collections.abc import Iterable

import xxhash

from cowsliprill.decisions import crash_records
from cowsliprill.decisions import survived_requests

# A part on which engines were lost twice in a row is tried again after this
# time, doubled with each further loss. By then VMs know of the losses, and
# refuse its requests if they blame the part.
_RETRY_DELAY_S = 0.5
_MAX_DOUBLINGS = 3
_LOSSES_BEFORE_DELAY = 2

# Range of the pseudo-random factors of these delays. Parts that were lost with
# one engine are tried again at different times, which tells them apart.
_DELAY_SPREAD = 1.0

_MAX_SUSPECTED = 8_192

_PartKey = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Suspicion:
    """Engines lost on a part since engines last gave output on it.

    Attributes:
      lost_at: Time of the latest loss in seconds.
      losses: Losses that the entry processes have told this scheduler.
      crashes: Keys of the crash records. Losses and crashes are the same ends,
        but for what one of the two doesn't know.
    """

    lost_at: float
    losses: int = 0
    crashes: frozenset[crash_records.CrashKey] = frozenset()

    def retry_at(self, part: str) -> float:
        losses = max(self.losses, len(self.crashes))
        further = losses - _LOSSES_BEFORE_DELAY
        if further < 0:
            return self.lost_at
        delay_s = _RETRY_DELAY_S * 2.0 ** min(further, _MAX_DOUBLINGS)
        return self.lost_at + delay_s * _delay_factor(part)


def _delay_factor(part: str) -> float:
    """Returns a factor that all VMs agree on."""
    return 1.0 + _DELAY_SPREAD * xxhash.xxh32_intdigest(part.encode()) / 2**32


class SuspectedParts:
    """Tells which requests of a scheduler have to wait for the start of others.

    A request starts when it is placed on engines, and has started once there is
    output.
    """

    def __init__(self) -> None:
        self._survived = survived_requests.SurvivedRequests()
        self._suspicions_by_part: dict[_PartKey, _Suspicion] = {}
        self._starting_by_id: dict[int, tuple[str, Collection[str]]] = {}

    def start(self, request_id: int, pool: str, parts: Collection[str]) -> None:
        """Records that a request has been placed.

        Args:
          request_id: The request.
          pool: Its pool.
          parts: Digests of the parts of its prompt.
        """
        if parts:
            self._starting_by_id[request_id] = (pool, parts)

    def end(self, request_id: int) -> None:
        """Records that a placement has ended, for whatever reason."""
        self._starting_by_id.pop(request_id, None)

    def lose(self, request_id: int, now: float) -> None:
        """Records that an engine closed the connection before any output.

        Args:
          request_id: The request.
          now: Current time in seconds.
        """
        pool, parts = self._starting_by_id.get(request_id, ("", ()))
        for part in parts:
            if not self._survived.contains(part, pool, now):
                self._suspect((part, pool), now, losses=1)

    def learn(
        self, records: Iterable[crash_records.CrashRecord], now: float
    ) -> None:
        """Adds ends of engines that other schedulers had placed requests on.

        A new coordinator hasn't seen the losses before it began.

        Args:
          records: New or changed crash records.
          now: Current time in seconds.
        """
        for record in records:
            for part in record.remaining_features & record.parts:
                if not self._survived.contains(part, record.pool, now):
                    key = (part, record.pool)
                    self._suspect(key, record.observed_at, crash=record.key)

    def survive(self, request_id: int, now: float) -> None:
        """Records that an engine gave output for a request.

        Args:
          request_id: The request.
          now: Current time in seconds.
        """
        pool, parts = self._starting_by_id.pop(request_id, ("", ()))
        for part in parts:
            self._survived.add(part, pool, now)
            self._suspicions_by_part.pop((part, pool), None)

    def must_wait(self, pool: str, parts: Collection[str], now: float) -> bool:
        """Returns whether a request must not start yet.

        Another request with a suspected part of its prompt is starting, or has
        ended an engine lately.

        Args:
          pool: Pool of the request.
          parts: Digests of the parts of its prompt.
          now: Current time in seconds.
        """
        suspicions_by_part = {
            part: self._suspicions_by_part[part, pool]
            for part in parts
            if (part, pool) in self._suspicions_by_part
        }
        if not suspicions_by_part:
            return False
        if any(
            now < suspicion.retry_at(part)
            for part, suspicion in suspicions_by_part.items()
        ):
            return True
        return any(
            pool == other_pool
            and not suspicions_by_part.keys().isdisjoint(other_parts)
            for other_pool, other_parts in self._starting_by_id.values()
        )

    def _suspect(
        self,
        key: _PartKey,
        lost_at: float,
        losses: int = 0,
        crash: crash_records.CrashKey | None = None,
    ) -> None:
        # The dictionary is kept in order of change, oldest first.
        known = self._suspicions_by_part.pop(key, _Suspicion(lost_at))
        crashes = known.crashes if crash is None else known.crashes | {crash}
        self._suspicions_by_part[key] = _Suspicion(
            lost_at=max(known.lost_at, lost_at),
            losses=known.losses + losses,
            crashes=crashes,
        )
        if len(self._suspicions_by_part) > _MAX_SUSPECTED:
            del self._suspicions_by_part[next(iter(self._suspicions_by_part))]
