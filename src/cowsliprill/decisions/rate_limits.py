"""Request rate limits that endpoints name in their answers.

An endpoint in need names the requests a second that it takes from all VMs
together, in each answer for as long as the limit holds. Each VM keeps a table
of the limits and passes changes on. Versions order the changes of one endpoint,
so that merging is commutative, associative and idempotent.
"""

import dataclasses
import hashlib
import math
import re
from collections.abc import Iterator
from collections.abc import Mapping

from cowsliprill import errors
from cowsliprill.decisions import model

# A limit below this rate is raised to it. Answers are the only way to learn
# that a limit has ended, so an endpoint gets a request now and then even if it
# names a limit of 0.
MIN_RATE_PER_S = 0.2

# After a limit has ended, the rate grows by this factor a second, starting from
# the limit but at least from `_RECOVERY_START_PER_S`.
_RECOVERY_GROWTH = 4.0
_RECOVERY_START_PER_S = 1.0
RECOVERY_S = 3.0

# An ended limit is kept for this time, so that a VM that was paused and then
# sends its old records can't bring it back. A limit of an endpoint that isn't
# listed is kept as long: the sender may know the endpoint earlier.
_KEPT_S = 60.0

MAX_RECORDS = 8_192

_DIGEST_BYTES = 8

# A decimal number without a sign or an exponent.
_RATE = re.compile(r"(\d{1,9}(\.\d{0,30})?|\.\d{1,30})", re.ASCII)
_MAX_QUOTED_CHARACTERS = 40

LimitKey = tuple[str, str]


class InvalidRateLimitError(errors.CowsliprillError):
    """Raised for a text that isn't a rate limit."""

    code = "invalid_rate_limit"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RateLimit:
    """The rate limit of one incarnation of an endpoint.

    Attributes:
      endpoint_id: Id of the endpoint.
      life: `model.Endpoint.life` of the endpoint.
      version: Number of the change; each change is one above the last that its
        VM knew.
      per_s: Requests a second that the endpoint takes from all VMs together, as
        last named.
      active: Whether the limit holds; otherwise it has ended.
      changed_at: Time of this change in seconds, on the local clock.
      received_at: When this process learned of it, in seconds.
    """

    endpoint_id: str
    life: str = ""
    version: int = 1
    per_s: float
    active: bool = True
    changed_at: float = 0.0
    received_at: float = 0.0

    @property
    def key(self) -> LimitKey:
        """Identifies the record in the tables of all VMs."""
        return (self.endpoint_id, self.life)

    def is_of(self, endpoints_by_id: Mapping[str, model.Endpoint]) -> bool:
        """Returns whether this is a limit of one of some endpoints."""
        endpoint = endpoints_by_id.get(self.endpoint_id)
        return endpoint is not None and endpoint.life == self.life

    def rate_per_s(self, now: float) -> float:
        """Returns the rate at which the endpoint may get requests.

        After the end of a limit the rate rises, and is infinite after
        `RECOVERY_S`.

        Args:
          now: Current time in seconds.
        """
        if self.active:
            return max(self.per_s, MIN_RATE_PER_S)
        elapsed_s = max(now - self.changed_at, 0.0)
        if elapsed_s >= RECOVERY_S:
            return math.inf
        start_per_s = max(self.per_s, _RECOVERY_START_PER_S)
        return start_per_s * _RECOVERY_GROWTH**elapsed_s

    def restricts(self, now: float) -> bool:
        """Returns whether requests to the endpoint are paced now."""
        return self.rate_per_s(now) < math.inf

    def supersedes(self, other: "RateLimit") -> bool:
        """Returns whether this record replaces another of the same endpoint.

        Of two changes made at the same time the more restrictive one wins.
        """
        return self._rank() > other._rank()

    def _rank(self) -> tuple[int, bool, float]:
        return (self.version, self.active, -self.per_s)


def parse(text: str) -> float:
    """Parses a rate limit.

    Args:
      text: The limit as an endpoint wrote it, a decimal number.

    Returns:
      Requests a second.

    Raises:
      InvalidRateLimitError: The text isn't a decimal number, or is too long.
    """
    if not _RATE.fullmatch(text.strip()):
        quoted = text[:_MAX_QUOTED_CHARACTERS]
        raise InvalidRateLimitError(f"not a decimal number: {quoted!r}")
    return float(text)


class RateLimitTable:
    """The rate limits known to one VM."""

    def __init__(self) -> None:
        self._limits_by_key: dict[LimitKey, RateLimit] = {}
        self._digest: str | None = None

    def __len__(self) -> int:
        return len(self._limits_by_key)

    def __iter__(self) -> Iterator[RateLimit]:
        return iter(self._limits_by_key.values())

    def get(self, endpoint: model.Endpoint) -> RateLimit | None:
        """Returns the limit of an endpoint, None if it never named one."""
        return self.get_by_key(endpoint.incarnation)

    def get_by_key(self, key: LimitKey) -> RateLimit | None:
        """Returns the limit of an incarnation of an endpoint, if known."""
        return self._limits_by_key.get(key)

    def observe(
        self,
        endpoint: model.Endpoint,
        per_s: float | None,
        sent_at: float,
        now: float,
    ) -> RateLimit | None:
        """Applies what an answer says.

        Answers on parallel connections overtake each other. A stricter limit
        counts at once. A higher one, or none, counts only if the request was
        sent after this process had learned of the current limit.

        Args:
          endpoint: The endpoint that answered.
          per_s: Limit that it named, None for none.
          sent_at: When the request was sent, in seconds.
          now: Current time in seconds.

        Returns:
          The new record, None if nothing has changed.
        """
        current = self.get(endpoint)
        if current is None and per_s is None:
            return None
        if current is not None:
            if _says_the_same(current, per_s):
                return None
            if _is_laxer(current, per_s) and sent_at < current.received_at:
                return None
        changed = RateLimit(
            endpoint_id=endpoint.id,
            life=endpoint.life,
            version=current.version + 1 if current else 1,
            per_s=current.per_s if per_s is None else per_s,
            active=per_s is not None,
            changed_at=now,
            received_at=now,
        )
        return changed if self._store(changed) else None

    def merge(self, limit: RateLimit, now: float) -> RateLimit | None:
        """Adds a record of another VM.

        Args:
          limit: The record.
          now: Current time in seconds.

        Returns:
          The record, None if the table has it or a newer one already, or if it
          ended too long ago.
        """
        current = self._limits_by_key.get(limit.key)
        if current is not None and not limit.supersedes(current):
            return None
        # VMs drop old records at slightly different times and would otherwise
        # get them back from each other for good.
        if not limit.active and _is_old(limit, now):
            return None
        return limit if self._store(limit) else None

    def expire(
        self, endpoints_by_id: Mapping[str, model.Endpoint], now: float
    ) -> list[RateLimit]:
        """Drops the records that no longer tell anything.

        Args:
          endpoints_by_id: The listed endpoints.
          now: Current time in seconds.

        Returns:
          The dropped records.
        """
        expired = []
        for limit in self:
            listed = limit.is_of(endpoints_by_id)
            if not (listed and limit.active) and _is_old(limit, now):
                expired.append(limit)
        for limit in expired:
            del self._limits_by_key[limit.key]
            self._digest = None
        return expired

    def digest(self) -> str:
        """Returns a digest that is equal for equal tables."""
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    def _compute_digest(self) -> str:
        digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        for limit in sorted(self, key=lambda item: item.key):
            fields = (*limit.key, limit.version, limit.per_s, limit.active)
            digest.update(repr(fields).encode())
        return digest.hexdigest()

    def _store(self, limit: RateLimit) -> bool:
        is_new = limit.key not in self._limits_by_key
        if is_new and len(self._limits_by_key) >= MAX_RECORDS:
            return False
        self._limits_by_key[limit.key] = limit
        self._digest = None
        return True


def _is_old(limit: RateLimit, now: float) -> bool:
    return now - limit.changed_at >= _KEPT_S


def _says_the_same(current: RateLimit, per_s: float | None) -> bool:
    if per_s is None:
        return not current.active
    return current.active and current.per_s == per_s


def _is_laxer(current: RateLimit, per_s: float | None) -> bool:
    return current.active and (per_s is None or per_s > current.per_s)
