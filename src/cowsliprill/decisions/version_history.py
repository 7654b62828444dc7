"""For how long the engines of each pool have had one software version."""

import dataclasses
import math
from collections.abc import Iterable

from cowsliprill.decisions import model


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OnlyVersion:
    """The only software version of a pool's listed engines.

    Attributes:
      version: The version.
      since: Time in seconds from which no other version is known to have been
        listed; minus infinity if there was none before.
    """

    version: str
    since: float


class VersionHistory:
    """Observes the software versions of each pool's engines.

    Args:
      complete: Whether no engine can have served before the first
        observation: the whole system starts for the first time.
    """

    def __init__(self, *, complete: bool = False) -> None:
        self._complete = complete
        self._only_by_pool: dict[str, OnlyVersion | None] = {}

    def update(self, endpoints: Iterable[model.Endpoint], now: float) -> None:
        """Applies the list of endpoints, including those that are leaving.

        Args:
          endpoints: All endpoints.
          now: Current time in seconds.
        """
        versions_by_pool: dict[str, set[str]] = {}
        for endpoint in endpoints:
            if endpoint.kind is not model.EndpointKind.PLAIN:
                versions = versions_by_pool.setdefault(endpoint.pool, set())
                versions.add(endpoint.software_version)
        for pool, versions in versions_by_pool.items():
            self._only_by_pool[pool] = self._observe(pool, versions, now)

    def only_version(self, pool: str, span_s: float, now: float) -> str | None:
        """Returns the only version that served in a time span up to now.

        Args:
          pool: Name of the pool.
          span_s: Length of the time span in seconds.
          now: Current time in seconds.

        Returns:
          The version; None if there were several, or if this isn't known for
          the whole time span.
        """
        only = self._only_by_pool.get(pool)
        if only is None or only.since > now - span_s:
            return None
        return only.version

    def only_version_age_s(
        self, pool: str, now: float
    ) -> tuple[str, float] | None:
        """Returns the only listed version and for how long it has been that.

        Args:
          pool: Name of the pool.
          now: Current time in seconds.

        Returns:
          The version and the seconds, possibly infinite; None if several
          versions are listed.
        """
        only = self._only_by_pool.get(pool)
        return None if only is None else (only.version, now - only.since)

    def extend(self, pool: str, version: str, age_s: float, now: float) -> None:
        """Adds what another VM has observed before this one had started.

        Args:
          pool: Name of the pool.
          version: Only version listed there.
          age_s: For how long it has been the only one, in seconds.
          now: Current time in seconds.
        """
        only = self._only_by_pool.get(pool)
        if only is None or only.version != version:
            return
        since = min(only.since, now - age_s)
        self._only_by_pool[pool] = OnlyVersion(version=version, since=since)

    def _observe(
        self, pool: str, versions: set[str], now: float
    ) -> OnlyVersion | None:
        if len(versions) > 1:
            return None
        (version,) = versions
        only = self._only_by_pool.get(pool)
        if only is not None and only.version == version:
            return only
        is_first = self._complete and pool not in self._only_by_pool
        return OnlyVersion(
            version=version, since=-math.inf if is_first else now
        )
