"""Reads from the registry's history which software versions were listed.

The registry keeps its history for some seconds. A process that starts after all
others have ended learns from it which engines have just left.
"""

from collections.abc import Callable

from cowsliprill.decisions import model
from cowsliprill.decisions import registry_view
from cowsliprill.decisions import version_history
from cowsliprill.observability import log as log_lib
from cowsliprill.registry import endpoints as endpoints_lib
from cowsliprill.registry import store as store_lib

_CALL_TIMEOUT_S = 1.5


class RecentVersionsReader:
    """Reads the history of the endpoints' entries.

    Args:
      store: Client of the store.
      view: View of the endpoints' key prefix.
      parse_endpoint: Parser of an endpoint's entry.
      log: Log of the process.
    """

    def __init__(
        self,
        store: store_lib.Store,
        view: registry_view.View,
        parse_endpoint: Callable[[str, bytes], endpoints_lib.ListedEndpoint],
        log: log_lib.Log,
    ) -> None:
        self._store = store
        self._view = view
        self._parse_endpoint = parse_endpoint
        self._log = log

    async def read(self) -> version_history.RecentVersions:
        """Returns the versions that the store's history shows.

        A store may discard its history at any time, and changes bear no times.
        So the versions are complete only if nothing was discarded.

        Raises:
          store.StoreError: The store failed or its response is unusable.
        """
        changes, is_whole = await self._oldest_changes()
        return self._versions(changes, is_whole)

    async def _oldest_changes(
        self,
    ) -> tuple[tuple[registry_view.Change, ...], bool]:
        """Returns all changes that the store still has.

        It doesn't tell where its history begins, so this is searched for.

        Returns:
          The changes, and whether there were none before.
        """
        lost = -1
        known = self._view.position
        changes: tuple[registry_view.Change, ...] = ()
        while known - lost > 1:
            after = (lost + known) // 2
            try:
                watched = await self._store.watch(
                    self._view.prefix, after, 0.0, _CALL_TIMEOUT_S
                )
            except store_lib.HistoryLost:
                lost = after
            else:
                known = after
                changes = watched.changes
        return changes, lost < 0

    def _versions(
        self, changes: tuple[registry_view.Change, ...], is_whole: bool
    ) -> version_history.RecentVersions:
        versions_by_pool: dict[str, set[str]] = {}
        written: set[str] = set()
        complete = is_whole
        for change in changes:
            match change:
                case registry_view.Removal():
                    complete = complete and change.key in written
                case registry_view.Entry():
                    written.add(change.key)
                    endpoint = self._endpoint(change)
                    if endpoint is None:
                        complete = False
                        continue
                    versions = versions_by_pool.setdefault(endpoint.pool, set())
                    versions.add(endpoint.software_version)
        return version_history.RecentVersions(
            versions_by_pool=versions_by_pool, complete=complete
        )

    def _endpoint(self, entry: registry_view.Entry) -> model.Endpoint | None:
        try:
            return self._parse_endpoint(entry.key, entry.value).endpoint
        except ValueError as error:
            self._log.warning(
                "recent_endpoint_unreadable", key=entry.key, reason=str(error)
            )
            return None
