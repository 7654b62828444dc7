"""Parts of prompts that may end engines, and the starts that this restricts.

Different requests may share a part that ends each engine which begins to write
an answer on it. From the first loss of such a request until an engine gives
output on the part, the requests with it start one after the other, so that one
engine at a time is at risk.
"""

from collections.abc import Collection
from collections.abc import Iterable

from cowsliprill.decisions import crash_records
from cowsliprill.decisions import survived_requests


class SuspectedParts:
    """Tells which requests of a scheduler have to wait for the start of others.

    A request starts when it is placed on engines, and has started once there is
    output.
    """

    def __init__(self) -> None:
        self._survived = survived_requests.SurvivedRequests()
        self._suspected_until_by_key: dict[tuple[str, str], float] = {}
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
        until = now + crash_records.CONFIRMATION_TIMEOUT_S
        for part in parts:
            if not self._survived.contains(part, pool, now):
                self._suspected_until_by_key[part, pool] = until

    def survive(self, request_id: int, now: float) -> None:
        """Records that an engine gave output for a request.

        Args:
          request_id: The request.
          now: Current time in seconds.
        """
        pool, parts = self._starting_by_id.pop(request_id, ("", ()))
        for part in parts:
            self._survived.add(part, pool, now)
            self._suspected_until_by_key.pop((part, pool), None)

    def must_wait(self, pool: str, parts: Iterable[str], now: float) -> bool:
        """Returns whether another request with a suspected part is starting.

        Args:
          pool: Pool of the request.
          parts: Digests of the parts of its prompt.
          now: Current time in seconds.
        """
        if not self._suspected_until_by_key:
            return False
        suspected = {
            part for part in parts if self._is_suspected(part, pool, now)
        }
        return any(
            pool == other_pool and not suspected.isdisjoint(other_parts)
            for other_pool, other_parts in self._starting_by_id.values()
        )

    def _is_suspected(self, part: str, pool: str, now: float) -> bool:
        until = self._suspected_until_by_key.get((part, pool))
        if until is None:
            return False
        if now < until:
            return True
        del self._suspected_until_by_key[part, pool]
        return False
