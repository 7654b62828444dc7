"""Endpoints that have said in an answer that they are leaving.

An endpoint that leaves ends under its id, so the notice holds for as long as
its incarnation is listed, whatever its entry in the registry says. Tables of
several VMs are merged as sets.
"""

import dataclasses
import hashlib
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from cowsliprill.decisions import model

# A notice is kept for this time after its endpoint was last listed. An entry
# that has expired may come back while its endpoint lives.
KEPT_S = 600.0

MAX_RECORDS = 8_192

_DIGEST_BYTES = 8

Key = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeavingEndpoint:
    """An incarnation of an endpoint that is leaving.

    Attributes:
      endpoint_id: Id of the endpoint.
      life: `model.Endpoint.life` of the endpoint.
      said_at: When it said so, in seconds on the local clock.
    """

    endpoint_id: str
    life: str = ""
    said_at: float = 0.0

    @property
    def key(self) -> Key:
        """Identifies the record in the tables of all VMs."""
        return (self.endpoint_id, self.life)


class LeavingEndpoints:
    """The leaving endpoints known to one VM."""

    def __init__(self) -> None:
        self._records_by_key: dict[Key, LeavingEndpoint] = {}
        self._listed_at_by_key: dict[Key, float] = {}
        self._digest: str | None = None

    def __len__(self) -> int:
        return len(self._records_by_key)

    def __iter__(self) -> Iterator[LeavingEndpoint]:
        return iter(self._records_by_key.values())

    def __contains__(self, endpoint: model.Endpoint) -> bool:
        return endpoint.incarnation in self._records_by_key

    def ids_of(self, endpoints: Iterable[model.Endpoint]) -> frozenset[str]:
        """Returns the ids of those of some endpoints that are leaving."""
        if not self._records_by_key:
            return frozenset()
        return frozenset(item.id for item in endpoints if item in self)

    def observe(
        self, endpoint: model.Endpoint, now: float
    ) -> LeavingEndpoint | None:
        """Records that an endpoint says that it is leaving.

        Args:
          endpoint: The endpoint.
          now: Current time in seconds.

        Returns:
          The new record, None if it was known.
        """
        record = LeavingEndpoint(
            endpoint_id=endpoint.id, life=endpoint.life, said_at=now
        )
        return record if self._store(record, now) else None

    def merge(
        self,
        record: LeavingEndpoint,
        endpoints_by_id: Mapping[str, model.Endpoint],
        now: float,
    ) -> bool:
        """Adds a record of another VM.

        Args:
          record: The record.
          endpoints_by_id: The listed endpoints.
          now: Current time in seconds.

        Returns:
          Whether it is new.
        """
        # VMs drop old records at slightly different times and would otherwise
        # get them back from each other for good.
        is_old = now - record.said_at >= KEPT_S
        if is_old and not _is_listed(record, endpoints_by_id):
            return False
        return self._store(record, now)

    def expire(
        self, endpoints_by_id: Mapping[str, model.Endpoint], now: float
    ) -> list[LeavingEndpoint]:
        """Drops the records of endpoints that haven't been listed for long.

        Args:
          endpoints_by_id: The listed endpoints.
          now: Current time in seconds.

        Returns:
          The dropped records.
        """
        expired = []
        for record in self:
            if _is_listed(record, endpoints_by_id):
                self._listed_at_by_key[record.key] = now
            elif now - self._listed_at_by_key[record.key] >= KEPT_S:
                expired.append(record)
        for record in expired:
            del self._records_by_key[record.key]
            del self._listed_at_by_key[record.key]
            self._digest = None
        return expired

    def digest(self) -> str:
        """Returns a digest that is equal for tables of the same endpoints."""
        if self._digest is None:
            digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
            for key in sorted(self._records_by_key):
                digest.update(repr(key).encode())
            self._digest = digest.hexdigest()
        return self._digest

    def _store(self, record: LeavingEndpoint, now: float) -> bool:
        if record.key in self._records_by_key:
            return False
        if len(self._records_by_key) >= MAX_RECORDS:
            return False
        self._records_by_key[record.key] = record
        self._listed_at_by_key[record.key] = now
        self._digest = None
        return True


def _is_listed(
    record: LeavingEndpoint, endpoints_by_id: Mapping[str, model.Endpoint]
) -> bool:
    endpoint = endpoints_by_id.get(record.endpoint_id)
    return endpoint is not None and endpoint.life == record.life
