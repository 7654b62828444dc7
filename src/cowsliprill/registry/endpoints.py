"""Table of the endpoints listed in the registry.

A removal that may be an expiry caused by a store outage takes effect only
after a grace period.
"""

import collections
import dataclasses
from collections.abc import Callable
from collections.abc import Collection

from cowsliprill.decisions import model
from cowsliprill.decisions import registry_view
from cowsliprill.observability import log as log_lib

# Grace period for removals, counted from the store's recovery, which may be
# long before a removal is known here. Endpoints whose entries expired during an
# outage register again within two seconds of the recovery. Without the grace
# period all engines would be missing for that time; with a longer one, requests
# would go to engines that have really left.
REMOVAL_GRACE_S = 2.1

# No entry expires in a shorter outage: an entry expires after three missed
# heartbeats, the first of which may be due when the outage begins.
EXPIRY_OUTAGE_MIN_S = 2.4

# Up to this many endpoints listed together are logged on a line each, more in
# one summary line. When a large fleet starts, all processes list thousands of
# endpoints at once.
_LOGGED_SINGLY_MAX = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListedEndpoint:
    """An endpoint as described by its registry entry.

    Attributes:
      endpoint: The endpoint.
      leaving: Whether the endpoint is draining and accepts no new requests.
      started_at_ms: Start time of the endpoint's process in Unix milliseconds,
        0 if the entry has none.
    """

    endpoint: model.Endpoint
    leaving: bool
    started_at_ms: int = 0


class EndpointTable:
    """Holds the listed endpoints by registry key.

    Args:
      parse: Parses an entry's key and value; raises ValueError if the entry is
        invalid.
      log: Log of the process.
    """

    def __init__(
        self, parse: Callable[[str, bytes], ListedEndpoint], log: log_lib.Log
    ) -> None:
        self._parse = parse
        self._log = log
        self._listed_by_key: dict[str, ListedEndpoint] = {}
        self._deferred_until_by_key: dict[str, float] = {}
        self._fault_by_key: dict[str, str] = {}

    def all_instances(self) -> Collection[ListedEndpoint]:
        """Returns all listed endpoints, also several with one address."""
        return self._listed_by_key.values()

    def has_unreadable(self) -> bool:
        """Returns whether an entry is listed that isn't readable here."""
        return bool(self._fault_by_key)

    def instances(self) -> Collection[ListedEndpoint]:
        """Returns one endpoint per address, including those that are leaving.

        Of several endpoints with the same address only the one started last is
        returned. A crashed endpoint stays listed until its entry expires, next
        to its restarted process under another id. Counted as two, a pool's only
        prefill engine would be switched to decode as soon as it has restarted,
        and the pool would have none left for prefill.
        """
        latest_by_address: dict[tuple[str, str, int], ListedEndpoint] = {}
        for item in self._listed_by_key.values():
            endpoint = item.endpoint
            address = (endpoint.pool, endpoint.host, endpoint.port)
            latest = latest_by_address.get(address)
            if latest is None or item.started_at_ms >= latest.started_at_ms:
                latest_by_address[address] = item
        return latest_by_address.values()

    def apply(
        self,
        changes: list[registry_view.Change],
        *,
        deferred_until: float,
        now: float,
    ) -> list[model.Endpoint]:
        """Applies changes of registry entries.

        Args:
          changes: Entries and removals.
          deferred_until: Time in seconds until which removals are deferred,
            when the store is unavailable or has just recovered; a time in the
            past if they take effect at once.
          now: Current time in seconds.

        Returns:
          All endpoints that were written, also those that were removed again.
        """
        written: list[model.Endpoint] = []
        changed: list[tuple[registry_view.Entry, ListedEndpoint]] = []
        for change in changes:
            match change:
                case registry_view.Entry():
                    listed = self._add(change)
                    if listed is not None:
                        changed.append((change, listed))
                    if change.key in self._listed_by_key:
                        written.append(self._listed_by_key[change.key].endpoint)
                case registry_view.Removal():
                    self._remove(change, deferred_until, now)
        self._log_listed(changed)
        return written

    def apply_deferred_removals(self, now: float) -> bool:
        """Removes endpoints that didn't register again in the grace period.

        Args:
          now: Current time in seconds.

        Returns:
          Whether any endpoint was removed.
        """
        due = [
            key
            for key, until in self._deferred_until_by_key.items()
            if until <= now
        ]
        for key in due:
            del self._deferred_until_by_key[key]
            self._listed_by_key.pop(key, None)
        return bool(due)

    def _add(self, entry: registry_view.Entry) -> ListedEndpoint | None:
        """Adds an entry; returns its endpoint if the logged state changed."""
        self._deferred_until_by_key.pop(entry.key, None)
        try:
            listed = self._parse(entry.key, entry.value)
        except ValueError as error:
            # Another writer may have stored an invalid value. That entry is
            # dropped; the other endpoints are unaffected.
            self._listed_by_key.pop(entry.key, None)
            self._record_fault(entry.key, str(error))
            return None
        self._fault_by_key.pop(entry.key, None)
        previous = self._listed_by_key.get(entry.key)
        self._listed_by_key[entry.key] = listed
        if previous is not None and _logged_state(previous) == _logged_state(
            listed
        ):
            return None
        return listed

    def _record_fault(self, key: str, reason: str) -> None:
        """Logs an invalid entry, unless it was logged for the same reason.

        Its writer may store it again with each of its heartbeats.
        """
        if self._fault_by_key.get(key) != reason:
            self._fault_by_key[key] = reason
            self._log.warning("endpoint_unreadable", key=key, reason=reason)

    def _log_listed(
        self, changed: list[tuple[registry_view.Entry, ListedEndpoint]]
    ) -> None:
        if len(changed) > _LOGGED_SINGLY_MAX:
            count_by_kind = collections.Counter(
                f"{listed.endpoint.pool}/{listed.endpoint.kind.value}"
                for _, listed in changed
            )
            self._log.event(
                "endpoints_listed",
                by_kind=dict(count_by_kind),
                leaving=[
                    listed.endpoint.id
                    for _, listed in changed
                    if listed.leaving
                ],
                revision=max(entry.revision for entry, _ in changed),
            )
            return
        for entry, listed in changed:
            self._log.event(
                "endpoint_listed",
                endpoint=listed.endpoint.id,
                kind=listed.endpoint.kind.value,
                pool=listed.endpoint.pool,
                version=listed.endpoint.software_version,
                leaving=listed.leaving,
                revision=entry.revision,
            )

    def _remove(
        self, removal: registry_view.Removal, deferred_until: float, now: float
    ) -> None:
        may_be_expiry = deferred_until > now
        self._fault_by_key.pop(removal.key, None)
        self._log.event(
            "endpoint_removed",
            key=removal.key,
            revision=removal.revision,
            may_be_lapse=may_be_expiry,
        )
        if may_be_expiry and removal.key in self._listed_by_key:
            self._deferred_until_by_key[removal.key] = deferred_until
            return
        self._listed_by_key.pop(removal.key, None)


def _logged_state(
    listed: ListedEndpoint,
) -> tuple[model.EndpointKind, bool, str]:
    endpoint = listed.endpoint
    return endpoint.kind, listed.leaving, endpoint.software_version
