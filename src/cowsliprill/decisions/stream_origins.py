"""Which software version of the engines began each stream.

What two versions write doesn't fit together, so a stream may be continued only
by the version that sent its first event. A caller names the attempt that
brought this event. The version of that attempt's engine is recorded once the
event is there. A placement proves nothing: a VM that stood still may place a
request that another one has placed anew meanwhile.

Where only one version has been listed for longer than a stream can last, it is
known without a record. That takes a list of engines that was complete for all
of this time, until after the caller asked: another VM may have begun the stream
at an engine that this one hasn't listed yet.
"""

import collections
import dataclasses
import enum
import hashlib
import math
from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

from cowsliprill.decisions import version_history

# Least time for which a stream can be resumed after it began.
STREAM_AGE_MIN_S = 60.0

# The last events of a complete stream may be lost on the way to the caller.
_COMPLETED_RETENTION_S = 5.0

# About 12 MB. The oldest records are dropped first; streams without a record
# are refused while several versions serve.
_MAX_RECORDS = 50_000

_KEY_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Origin:
    """The software version that began a stream.

    Attributes:
      key: Key of the caller's attempt; see `key_of`.
      pool: Name of the engines' pool.
      version: The version.
      begun: Whether the stream has begun at this version. Older releases of the
        router also send the versions of placements.
    """

    key: str
    pool: str
    version: str
    begun: bool = False


class Evidence(enum.StrEnum):
    """By what a stream's version is known; logged with each placement."""

    RECORD = "record"
    LISTED = "listed"
    ENGINES = "engines"


@dataclasses.dataclass(frozen=True, slots=True)
class KnownVersion:
    """The software version that began a stream.

    Attributes:
      version: The version.
      evidence: By what it is known.
    """

    version: str
    evidence: Evidence


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PromptPart:
    """The last part of a prompt, which no other request shares.

    Attributes:
      id: Its id, empty if unknown.
      tokens: Number of its tokens.
    """

    id: str = ""
    tokens: int = 0


class Origins(Protocol):
    """What a scheduler needs to know and to tell about streams."""

    def record(self, origin: Origin, age_max_s: float, now: float) -> None:
        """Records the version of the engine that a stream begins at."""

    def complete(self, key: str, pool: str, now: float) -> None:
        """Records that a stream is complete."""

    def recorded_version(
        self, key: str, pool: str, now: float
    ) -> KnownVersion | None:
        """Returns the version that a record names, None if there is none."""

    def version_of(
        self,
        key: str,
        pool: str,
        age_max_s: float,
        asked_at: float,
        now: float,
    ) -> KnownVersion | None:
        """Returns the version that began a stream, None if unknown."""

    def version_at_engines(
        self,
        customer: str,
        key: str,
        last_part: PromptPart,
        pool: str,
        asked_at: float,
    ) -> KnownVersion | None:
        """Returns the version that began a stream, by what engines tell."""

    def is_settling(self, pool: str, asked_at: float, now: float) -> bool:
        """Returns whether unknown versions may soon be known."""


def key_of(customer: str, attempt: str) -> str:
    """Returns the key of a caller's attempt, empty if it has no id.

    Args:
      customer: Id of the customer, whose attempts no other one can name.
      attempt: The caller's id of the attempt.
    """
    if not attempt:
        return ""
    digest = hashlib.blake2b(digest_size=_KEY_BYTES)
    part = customer.encode()
    # The length keeps ("ab", "c") apart from ("a", "bc").
    digest.update(len(part).to_bytes(4, "big"))
    digest.update(part)
    digest.update(attempt.encode())
    return digest.hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    origin: Origin
    expires_at: float


class StreamOrigins:
    """The origins known to this process, whichever process observed them.

    Args:
      history: Software versions listed so far.
      confirmed_at: Returns the time in seconds at which the list of endpoints
        was last known to be complete.
    """

    def __init__(
        self,
        history: version_history.VersionHistory,
        confirmed_at: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self.history = history
        self._confirmed_at = confirmed_at
        # Each is sorted by the time of the record.
        self._open_by_key: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )
        self._completed_by_key: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )

    def record(self, origin: Origin, age_max_s: float, now: float) -> None:
        """Records the version of the engine that a stream begins at.

        Args:
          origin: The version.
          age_max_s: Time in seconds for which the stream can be resumed.
          now: Current time in seconds.
        """
        if not origin.key:
            return
        self._completed_by_key.pop(origin.key, None)
        retention_s = max(age_max_s, STREAM_AGE_MIN_S)
        self._open_by_key[origin.key] = _Record(origin, now + retention_s)
        self._open_by_key.move_to_end(origin.key)
        self._drop(now)

    def complete(self, key: str, pool: str, now: float) -> None:
        """Records that a stream is complete.

        Args:
          key: Its key.
          pool: Name of its pool.
          now: Current time in seconds.
        """
        record = self._open_by_key.get(key)
        if record is None or record.origin.pool != pool:
            return
        del self._open_by_key[key]
        expires_at = now + _COMPLETED_RETENTION_S
        self._completed_by_key[key] = _Record(record.origin, expires_at)
        self._drop(now)

    def merge(self, origins: Iterable[Origin], now: float) -> None:
        """Adds records of other VMs.

        Args:
          origins: The records.
          now: Current time in seconds.
        """
        for origin in origins:
            if origin.begun and not self.has_record(origin.key, now):
                self.record(origin, STREAM_AGE_MIN_S, now)

    def recorded_version(
        self, key: str, pool: str, now: float
    ) -> KnownVersion | None:
        """Returns the version that a record names.

        Args:
          key: Key of the attempt that brought the stream's first event, empty
            if the caller named none.
          pool: Name of the pool that the request is for.
          now: Current time in seconds.

        Returns:
          The version, None if there is no record or it is of another pool.
        """
        origin = self._find(key, now)
        if origin is None or origin.pool != pool:
            return None
        return KnownVersion(origin.version, Evidence.RECORD)

    def version_of(
        self,
        key: str,
        pool: str,
        age_max_s: float,
        asked_at: float,
        now: float,
    ) -> KnownVersion | None:
        """Returns the software version that began a stream.

        Args:
          key: Key of the attempt that brought its first event, empty if the
            caller named none.
          pool: Name of the pool that the request is for.
          age_max_s: How long ago it began at most, in seconds.
          asked_at: Time in seconds at which the caller's request was known
            here; the stream had begun before.
          now: Current time in seconds.

        Returns:
          The version, None if it is unknown or of another pool.
        """
        if self.has_record(key, now):
            return self.recorded_version(key, pool, now)
        if not self.is_list_confirmed(asked_at):
            return None
        version = self.history.only_version(pool, age_max_s, now)
        if version is None:
            return None
        return KnownVersion(version, Evidence.LISTED)

    def has_record(self, key: str, now: float) -> bool:
        """Returns whether there is a record of a stream, of any pool.

        Args:
          key: Its key.
          now: Current time in seconds.
        """
        return self._find(key, now) is not None

    def is_list_confirmed(self, since: float) -> bool:
        """Returns whether the list of endpoints shows all listed by a time.

        Args:
          since: The time in seconds.
        """
        return self._confirmed_at() >= since

    def version_at_engines(
        self,
        customer: str,
        key: str,
        last_part: PromptPart,
        pool: str,
        asked_at: float,
    ) -> KnownVersion | None:
        """Returns None: only coordinators ask engines."""
        del customer, key, last_part, pool, asked_at
        return None

    def is_settling(self, pool: str, asked_at: float, now: float) -> bool:
        """Returns whether the version of unknown streams may soon be known.

        Args:
          pool: Name of the pool.
          asked_at: Time in seconds at which the caller's request was known.
          now: Current time in seconds.
        """
        del asked_at
        return self.history.is_settling(pool, now)

    def of_pool(self, pool: str, now: float) -> list[Origin]:
        """Returns the known origins of one pool, the newest last.

        Args:
          pool: Name of the pool.
          now: Current time in seconds.
        """
        return [
            record.origin
            for record in self._open_by_key.values()
            if record.origin.pool == pool and record.expires_at > now
        ]

    def _find(self, key: str, now: float) -> Origin | None:
        record = self._open_by_key.get(key) or self._completed_by_key.get(key)
        if record is None or record.expires_at <= now:
            return None
        return record.origin

    def _drop(self, now: float) -> None:
        for records_by_key in (self._open_by_key, self._completed_by_key):
            while records_by_key:
                oldest = next(iter(records_by_key.values()))
                is_full = len(records_by_key) > _MAX_RECORDS
                if oldest.expires_at > now and not is_full:
                    break
                records_by_key.popitem(last=False)
