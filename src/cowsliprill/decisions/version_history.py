"""For how long the engines of each pool have had one software version."""

import dataclasses
import math
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from cowsliprill.decisions import model

# Peers tell a process that has just started what they have observed within this
# time.
SETTLING_S = 1.0

# What was listed before is normally read within this time.
_PAST_READ_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OnlyVersion:
    """The only software version of a pool's listed engines.

    Attributes:
      version: The version.
      since: Time in seconds since which only this version has been listed;
        minus infinity if there was none before.
      replaced_other: Whether another version was listed before that time, or
        may have been. If not, nothing is known of the time before.
    """

    version: str
    since: float
    replaced_other: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecentVersions:
    """Software versions listed shortly before a process started.

    Attributes:
      versions_by_pool: The versions known to have been listed, by pool.
      complete: Whether there can't have been any others.
    """

    versions_by_pool: Mapping[str, Collection[str]]
    complete: bool


class VersionHistory:
    """Observes the software versions of each pool's engines.

    Args:
      complete: Whether no engine can have served before the first
        observation: the whole system starts for the first time.
      past_readable: Whether what was listed before the first observation can
        be read elsewhere; see `add_recent`.
    """

    def __init__(
        self, *, complete: bool = False, past_readable: bool = False
    ) -> None:
        self._complete = complete
        self._past_readable = past_readable
        self._awaits_past = past_readable and not complete
        self._has_unreadable = False
        self._only_by_pool: dict[str, OnlyVersion | None] = {}

    def update(self, endpoints: Iterable[model.Endpoint], now: float) -> None:
        """Applies the list of endpoints, including those that are leaving.

        Args:
          endpoints: All endpoints.
          now: Current time in seconds.
        """
        for pool, versions in _versions_by_pool(endpoints).items():
            self._only_by_pool[pool] = self._observe(pool, versions, now)

    def add_listed(
        self, endpoints: Iterable[model.Endpoint], now: float
    ) -> None:
        """Adds endpoints that were listed, if only for a moment.

        The list of endpoints may not show them: the changes of some time are
        often applied together.

        Args:
          endpoints: The endpoints.
          now: Current time in seconds.
        """
        for pool, versions in _versions_by_pool(endpoints).items():
            only = self._only_by_pool.get(pool)
            if only is not None:
                versions.add(only.version)
            if len(versions) > 1:
                self._only_by_pool[pool] = self._observe(pool, versions, now)

    def set_unreadable(self, unreadable: bool, now: float) -> None:
        """Sets whether entries are listed that aren't readable here.

        Other VMs may be able to read them, and the engines have any version.

        Args:
          unreadable: Whether there are any.
          now: Current time in seconds.
        """
        if self._has_unreadable and not unreadable:
            self.forget_past(now)
        self._has_unreadable = unreadable

    def begin_late(self) -> None:
        """Records that engines may have served before the first update."""
        self._complete = False
        self._awaits_past = self._past_readable

    def forget_past(self, now: float) -> None:
        """Records that other versions may have been listed unseen until now.

        Args:
          now: Current time in seconds.
        """
        self._complete = False
        self._awaits_past = False
        for pool, only in self._only_by_pool.items():
            if only is not None:
                self._only_by_pool[pool] = dataclasses.replace(
                    only, since=now, replaced_other=True
                )

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
        only = self.only(pool)
        if only is None or only.since > now - span_s:
            return None
        return only.version

    def is_settling(self, pool: str, now: float) -> bool:
        """Returns whether `only_version` may soon tell a version.

        Peers and the registry tell a process that has just started what was
        listed before.

        Args:
          pool: Name of the pool.
          now: Current time in seconds.
        """
        only = self._only_by_pool.get(pool)
        if only is None or only.replaced_other:
            return False
        settles_s = _PAST_READ_S if self._awaits_past else SETTLING_S
        return now - only.since < settles_s

    def is_observed(self) -> bool:
        """Returns whether engines of any pool have been listed."""
        return bool(self._only_by_pool)

    def lacks_past(self, span_s: float, now: float) -> bool:
        """Returns whether `add_recent` would help to know a pool's version.

        Args:
          span_s: Length of the time span in seconds that is of interest.
          now: Current time in seconds.
        """
        return self._awaits_past and any(
            only is not None
            and not only.replaced_other
            and only.since > now - span_s
            for only in self._only_by_pool.values()
        )

    def add_recent(self, recent: RecentVersions) -> None:
        """Adds what was listed before the first observation.

        Args:
          recent: The versions.
        """
        self._awaits_past = False
        for pool in recent.versions_by_pool.keys() - self._only_by_pool.keys():
            self._only_by_pool[pool] = None
        for pool, only in self._only_by_pool.items():
            if only is None:
                continue
            others = {*recent.versions_by_pool.get(pool, ())} - {only.version}
            if others or not recent.complete:
                self._only_by_pool[pool] = dataclasses.replace(
                    only, replaced_other=True
                )
            elif not only.replaced_other:
                self._only_by_pool[pool] = dataclasses.replace(
                    only, since=-math.inf
                )

    def only(self, pool: str) -> OnlyVersion | None:
        """Returns the only listed version, None if there may be several.

        Args:
          pool: Name of the pool.
        """
        return None if self._has_unreadable else self._only_by_pool.get(pool)

    def extend(self, pool: str, observed: OnlyVersion) -> None:
        """Adds what another VM has observed before this one had started.

        Args:
          pool: Name of the pool.
          observed: The only version listed there.
        """
        only = self._only_by_pool.get(pool)
        if only is None or only.version != observed.version:
            return
        replaced_later = observed.replaced_other and observed.since > only.since
        observed_before = (
            not only.replaced_other and observed.since < only.since
        )
        if replaced_later or observed_before:
            self._only_by_pool[pool] = observed

    def _observe(
        self, pool: str, versions: set[str], now: float
    ) -> OnlyVersion | None:
        if len(versions) > 1:
            return None
        (version,) = versions
        only = self._only_by_pool.get(pool)
        if only is not None and only.version == version:
            return only
        if pool in self._only_by_pool:
            return OnlyVersion(version=version, since=now, replaced_other=True)
        since = -math.inf if self._complete else now
        return OnlyVersion(version=version, since=since)


def _versions_by_pool(
    endpoints: Iterable[model.Endpoint],
) -> dict[str, set[str]]:
    versions_by_pool: dict[str, set[str]] = {}
    for endpoint in endpoints:
        if endpoint.kind is not model.EndpointKind.PLAIN:
            versions = versions_by_pool.setdefault(endpoint.pool, set())
            versions.add(endpoint.software_version)
    return versions_by_pool
