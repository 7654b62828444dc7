"""Settings and VM list in force, from the registry and the membership."""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

from cowsliprill import clock
from cowsliprill.decisions import designated_readers
from cowsliprill.decisions import freshness as freshness_lib
from cowsliprill.decisions import leaving_endpoints
from cowsliprill.decisions import mechanisms
from cowsliprill.decisions import member_records
from cowsliprill.decisions import membership
from cowsliprill.decisions import model
from cowsliprill.decisions import registry_view
from cowsliprill.observability import log as log_lib
from cowsliprill.registry import endpoints as endpoints_lib
from cowsliprill.registry import follower as follower_lib
from cowsliprill.registry import peer_sync
from cowsliprill.registry import recent_versions
from cowsliprill.registry import revalidation
from cowsliprill.registry import store as store_lib

# Members that join within this time cause one new parse of the settings.
_REPARSE_DELAY_S = 1.0

# This long after the store's recovery the endpoint list matches the store
# again: deferred removals have taken effect or the endpoints have registered
# again.
_SETTLING_S = endpoints_lib.REMOVAL_GRACE_S + 0.6

# When the whole system starts for the first time, no endpoint can have served
# and left before a process has listed the store, unless this takes longer.
_FIRST_LISTING_MAX_S = 5.0

# A process lists the store at its start. A reader starts to watch it after this
# delay, when the process knows the other members.
_FIRST_WATCH_DELAY_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Settings parsed from the operator's registry entry.

    Attributes:
      version: Monotonically increasing version number.
      services_by_id: Services by id.
      routes_by_prefix_by_host: Routes by path prefix, by host.
      engines_by_pool: Common properties of the engines of each pool.
      connections_by_pool: Max connections to each endpoint of a pool.
      limits: Limits of HTTP requests.
      customers_by_id: Customers by id; empty if no API key is required.
      customers_by_key_hash: Customers by the digest of each API key.
    """

    version: int = 0
    services_by_id: dict[str, model.Service] = dataclasses.field(
        default_factory=dict
    )
    routes_by_prefix_by_host: dict[str, dict[str, model.Route]] = (
        dataclasses.field(default_factory=dict)
    )
    engines_by_pool: dict[str, model.EngineSpec] = dataclasses.field(
        default_factory=dict
    )
    connections_by_pool: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    limits: model.HttpLimits = model.HttpLimits()
    customers_by_id: dict[str, model.Customer] = dataclasses.field(
        default_factory=dict
    )
    customers_by_key_hash: dict[str, model.Customer] = dataclasses.field(
        default_factory=dict
    )


class EntryParser(Protocol):
    """Parser of the registry entries of one platform.

    Attributes:
      settings_key: Key of the operator's entry.
      endpoints_prefix: Key prefix of the endpoints' entries.
    """

    settings_key: str
    endpoints_prefix: str

    async def settings(self, value: bytes, members: int) -> Settings:
        """Parses the operator's entry.

        Args:
          value: Value of the entry.
          members: Number of processes among which retry budgets are divided.

        Returns:
          The settings.

        Raises:
          ValueError: The entry is invalid.
        """

    def parse_endpoint(
        self, key: str, value: bytes
    ) -> endpoints_lib.ListedEndpoint:
        """Parses an endpoint's entry.

        Args:
          key: Registry key of the entry.
          value: Value of the entry.

        Returns:
          The endpoint.

        Raises:
          ValueError: The entry is invalid.
        """


class EndpointHistory(Protocol):
    """Observer of all endpoints that were ever listed."""

    def add_listed(
        self, endpoints: Iterable[model.Endpoint], now: float
    ) -> None:
        """Adds endpoints whose entries were written, if only for a moment."""

    def forget_past(self, now: float) -> None:
        """Records that endpoints may have come and gone unseen until now."""

    def set_unreadable(self, unreadable: bool, now: float) -> None:
        """Sets whether entries are listed that aren't readable here."""

    def begin_late(self) -> None:
        """Records that endpoints may have served before the first listing."""


class RegistrySource:
    """Source of the cluster state for a platform with a registry.

    Implements the interface through which the entry process gets its settings.

    Args:
      store: Client of the registry store.
      entry_parser: Parser of registry entries.
      members: Membership of the other processes.
      log: Log of the process.
      rng: Adds jitter to retries and chooses peers.
      disabled: Mechanisms disabled for an ablation experiment.
      freshness: Maximum staleness of settings for API keys to be accepted;
        unlimited by default.
      history: Observer of the listed endpoints, None for none.

    Attributes:
      snapshot: Settings and endpoints in force.
      fleet: The VM list.
      views_by_prefix: Registry view of each key prefix.
      recent_versions: Reader of the software versions listed shortly before.
      lists_ends: True: the entry of an endpoint that has ended expires.
    """

    lists_ends = True

    def __init__(
        self,
        store: store_lib.Store,
        entry_parser: EntryParser,
        members: membership.Membership,
        log: log_lib.Log,
        rng: random.Random,
        disabled: mechanisms.DisabledMechanisms = (),
        freshness: freshness_lib.Freshness | None = None,
        history: EndpointHistory | None = None,
    ) -> None:
        self._disabled = disabled
        self._history = history
        self._seen_gaps = 0
        self._has_listed = False
        self._freshness = freshness or freshness_lib.Freshness(None)
        self._applied_revision = 0
        self.snapshot = model.Snapshot()
        self.fleet = model.Fleet()
        self._entry_parser = entry_parser
        self._members = members
        self._log = log
        self._callbacks: list[Callable[[], None]] = []
        self._newest_callbacks: list[Callable[[], None]] = []
        self._settings = Settings()
        self._settings_entries: asyncio.Queue[registry_view.Entry] = (
            asyncio.Queue()
        )
        self._endpoints = endpoints_lib.EndpointTable(
            entry_parser.parse_endpoint, log
        )
        self._deduplicates_addresses = (
            mechanisms.Mechanism.ONE_INCARNATION_PER_ADDRESS not in disabled
        )
        self._leaving_until_by_incarnation: dict[tuple[str, str], float] = {}
        self._leaving_keys: frozenset[leaving_endpoints.Key] = frozenset()
        self._reads_required = False
        self._is_reader = False
        self._started_at = clock.now()
        self._last_member_count = 0
        self._members_revision = (0, False)
        self._reparse_timer: asyncio.TimerHandle | None = None
        self._pending_role_changes: frozenset[tuple[str, str]] = frozenset()
        prefixes = (entry_parser.settings_key, entry_parser.endpoints_prefix)
        self.views_by_prefix = {
            prefix: registry_view.View(prefix) for prefix in prefixes
        }
        self.recent_versions = recent_versions.RecentVersionsReader(
            store,
            self.views_by_prefix[entry_parser.endpoints_prefix],
            entry_parser.parse_endpoint,
            log,
        )
        handlers = (self._apply_settings_changes, self._apply_endpoint_changes)
        # Only the settings must be revalidated at short intervals.
        watches_s = (self._freshness.watch_timeout_s, follower_lib.WATCH_MAX_S)
        self._followers = [
            follower_lib.Follower(
                store, view, on_changes, log, rng, watch_timeout_s
            )
            for view, on_changes, watch_timeout_s in zip(
                self.views_by_prefix.values(), handlers, watches_s, strict=True
            )
        ]
        self._revalidator = revalidation.SettingsRevalidator(
            self._followers[0],
            self._freshness,
            self._update_freshness,
            members,
            log,
            rng,
        )
        self._peer_sync = peer_sync.PeerSync(
            self._followers, members, log, rng, disabled
        )

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback for each change of settings or VM list."""
        self._callbacks.append(callback)

    def subscribe_revisions(self, callback: Callable[[], None]) -> None:
        """Registers a callback for newer changes of the settings prefix.

        The callback runs before the settings are parsed and in force.
        """
        self._newest_callbacks.append(callback)

    def newest(self) -> tuple[int, ...]:
        """Returns the newest known revision of each prefix."""
        return tuple(view.newest for view in self.views_by_prefix.values())

    def is_ready(self) -> bool:
        """Returns whether settings and endpoints have been loaded."""
        return self.snapshot.revision > 0 and bool(self._endpoints.instances())

    def followers(self) -> list[follower_lib.Follower]:
        """Returns the follower of each prefix, for metrics."""
        return self._followers

    def is_endpoint_list_current(self, now: float) -> bool:
        """Returns whether the endpoint list is known to match the store.

        During a store outage, and until deferred removals are resolved, the
        list may contain engines that have left.

        Args:
          now: Current time in seconds.
        """
        return not any(
            follower.unavailable_since
            or now - max(follower.recovered_at, follower.first_response_at)
            < _SETTLING_S
            for follower in self._followers
        )

    def require_store_reads(self, required: bool) -> None:
        """Makes this process watch the store even if it isn't a reader.

        Args:
          required: Whether this process must watch the store itself.
        """
        self._reads_required = required

    def accepts_api_keys(self) -> bool:
        """Returns whether the settings are fresh enough to accept API keys."""
        self._update_freshness()
        return self._freshness.accepts_api_keys(clock.now())

    def is_store_unreachable(self) -> bool:
        """Returns whether the store is unavailable to this process."""
        now = clock.now()
        return any(
            follower.is_store_unavailable(now) for follower in self._followers
        )

    def removal_grace_left_s(self) -> float:
        """Returns the remaining removal grace period in seconds.

        Endpoints can't renew their entries during a store outage, so a removal
        in this period may be an expiry and the entry may come back. A VM that
        can't reach the store gets removals from peers, and with them the
        peers' remaining grace period.
        """
        follower = self._endpoints_follower
        now = clock.now()
        peer_grace_s = self._peer_sync.peer_grace_left_s(now)
        if follower.response_gap_s < endpoints_lib.EXPIRY_OUTAGE_MIN_S:
            return peer_grace_s
        return max(
            follower.recovered_at + endpoints_lib.REMOVAL_GRACE_S - now,
            peer_grace_s,
        )

    def engine_pools(self) -> list[str]:
        """Returns the names of the pools of engines."""
        return list(self._settings.engines_by_pool)

    def remaining_endpoints(self, pool: str) -> list[model.Endpoint]:
        """Returns the endpoints of a pool that aren't leaving."""
        leaving = self.fleet.leaving_endpoint_ids
        return [
            endpoint
            for endpoint in self.snapshot.endpoints_by_id.values()
            if endpoint.pool == pool and endpoint.id not in leaving
        ]

    async def report_leaving(self, endpoint_id: str, ttl_s: float) -> None:
        """Records that an endpoint has refused a request as it is draining.

        Args:
          endpoint_id: The leaving endpoint.
          ttl_s: Time in seconds after which the announcement expires.
        """
        endpoint = self.snapshot.endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            return
        until = clock.now() + ttl_s
        self._leaving_until_by_incarnation[endpoint.incarnation] = until
        self._rebuild()

    def apply_leaving(self, keys: frozenset[leaving_endpoints.Key]) -> None:
        """Applies which endpoints have said in answers that they leave.

        Their entries may say so much later, or not at all.

        Args:
          keys: Id and life of each.
        """
        if keys != self._leaving_keys:
            self._leaving_keys = keys
            self._rebuild()

    async def run(self) -> None:
        """Follows the registry until cancelled."""
        async with asyncio.TaskGroup() as group:
            for follower in self._followers:
                group.create_task(follower.run())
            group.create_task(self._parse_settings())
            group.create_task(self._peer_sync.run())
            group.create_task(self._revalidator.run())

    def apply_members(self) -> None:
        """Applies the membership's state, after each tick and each change."""
        self._apply_deferred_removals()
        if self._members.revision != self._members_revision:
            self._members_revision = self._members.revision
            self._update_pending_role_changes()
            self._update_fleet()
            self._is_reader = designated_readers.is_reader(
                self._members.own, self._members.alive()
            )
        self._update_reading()
        self._peer_sync.check_for_updates(clock.now())

    def _update_reading(self) -> None:
        # A process that has just started doesn't know the other members yet. A
        # process without contact to any member gets no updates from peers.
        now = clock.now()
        should_read = (
            self._reads_required
            or self._is_reader
            or mechanisms.Mechanism.DESIGNATED_READERS in self._disabled
            or not self._members.has_recent_contact(now)
        )
        has_started = now - self._started_at > _FIRST_WATCH_DELAY_S
        for follower in self._followers:
            follower.set_reading(should_read and has_started)

    # Membership.

    def _update_pending_role_changes(self) -> None:
        pending_role_changes = self._members.pending_role_changes()
        if pending_role_changes != self._pending_role_changes:
            self._pending_role_changes = pending_role_changes
            self._rebuild()

    def _update_fleet(self) -> None:
        vms_by_id = {
            record.id: _vm(record)
            for record in (self._members.own, *self._members.alive())
        }
        if vms_by_id == self.fleet.vms_by_id:
            return
        self.fleet = dataclasses.replace(
            self.fleet, version=self.fleet.version + 1, vms_by_id=vms_by_id
        )
        if self._members.member_count() != self._last_member_count:
            self._last_member_count = self._members.member_count()
            self._schedule_reparse()
        self._notify_subscribers()

    def _schedule_reparse(self) -> None:
        # While a fleet starts, hundreds of members join within a second, and
        # parsing settings with thousands of routes takes a good part of one.
        if self._reparse_timer is None:
            loop = asyncio.get_running_loop()
            self._reparse_timer = loop.call_later(
                _REPARSE_DELAY_S, self._queue_reparse
            )

    # Settings.

    def _apply_settings_changes(
        self, changes: list[registry_view.Change]
    ) -> None:
        for change in changes:
            if change.key != self._entry_parser.settings_key:
                continue
            if isinstance(change, registry_view.Entry):
                self._settings_entries.put_nowait(change)
        if changes:
            for callback in self._newest_callbacks:
                callback()

    def _queue_reparse(self) -> None:
        # Retry budgets are divided by the number of processes.
        self._reparse_timer = None
        view = self.views_by_prefix[self._entry_parser.settings_key]
        entry = view.entries_by_key.get(self._entry_parser.settings_key)
        if entry is not None:
            self._settings_entries.put_nowait(entry)

    def _update_freshness(self) -> None:
        # While a newer entry is being parsed, the settings in force aren't the
        # newest, even if the store has revalidated the view.
        view = self.views_by_prefix[self._entry_parser.settings_key]
        if view.newest == self._applied_revision:
            self._freshness.confirm(view.confirmed_at)

    async def _parse_settings(self) -> None:
        while True:
            entry = await self._settings_entries.get()
            try:
                settings = await self._entry_parser.settings(
                    entry.value, self._members.member_count()
                )
            except ValueError as error:
                self._log.warning(
                    "settings_unreadable",
                    revision=entry.revision,
                    reason=str(error),
                )
                continue
            # Responses of the store and of peers may be stale. Returning to an
            # older version would route requests to targets that the operator
            # has just removed.
            if settings.version < self._settings.version:
                self._log.warning(
                    "settings_older",
                    version=settings.version,
                    in_force=self._settings.version,
                )
                continue
            if settings.version > self._settings.version:
                self._log.event(
                    "settings_in_force",
                    version=settings.version,
                    revision=entry.revision,
                    routes=sum(
                        map(len, settings.routes_by_prefix_by_host.values())
                    ),
                    services=len(settings.services_by_id),
                )
            self._settings = dataclasses.replace(
                settings,
                services_by_id=mechanisms.services(
                    settings.services_by_id, self._disabled
                ),
            )
            self._applied_revision = entry.revision
            self._rebuild()

    def _apply_endpoint_changes(
        self, changes: list[registry_view.Change]
    ) -> None:
        now = clock.now()
        grace_left_s = self.removal_grace_left_s()
        written = self._endpoints.apply(
            changes, deferred_until=now + grace_left_s, now=now
        )
        self._update_history(written, now)
        if grace_left_s and changes:
            asyncio.get_running_loop().call_later(
                grace_left_s, self._apply_deferred_removals
            )
        if changes:
            self._rebuild()

    def _update_history(
        self, written: Iterable[model.Endpoint], now: float
    ) -> None:
        if self._history is None:
            return
        if not self._has_listed:
            self._has_listed = True
            if now - self._started_at > _FIRST_LISTING_MAX_S:
                self._history.begin_late()
        gaps = self._endpoints_follower.view.gaps
        if gaps != self._seen_gaps:
            self._seen_gaps = gaps
            self._log.event("endpoint_history_incomplete", gaps=gaps)
            self._history.forget_past(now)
        view = self._endpoints_follower.view
        self._history.set_unreadable(
            self._endpoints.has_unreadable() or bool(view.unreadable_keys), now
        )
        self._history.add_listed(
            [
                mechanisms.endpoint(endpoint, self._disabled)
                for endpoint in written
            ],
            now,
        )

    @property
    def _endpoints_follower(self) -> follower_lib.Follower:
        return self._followers[1]

    def endpoints_confirmed_at(self) -> float:
        """Returns when the endpoint list was last known to be complete.

        Returns:
          Time in seconds, minus infinity if it never was.
        """
        return self._endpoints_follower.view.confirmed_at

    async def confirm_endpoints(self) -> None:
        """Asks the store for changes of the endpoints that are unknown here.

        Raises:
          store.StoreError: The store failed or its response is unusable.
        """
        follower = self._endpoints_follower
        if not follower.reading:
            # The store may have discarded what came after this view, and a
            # listing would hide what came and went. Readers have seen it all.
            await self._peer_sync.fetch_from_reader(follower)
        await follower.revalidate()

    def _apply_deferred_removals(self) -> None:
        if self._endpoints.apply_deferred_removals(clock.now()):
            self._rebuild()

    # Published state.

    def _rebuild(self) -> None:
        instances = (
            self._endpoints.instances()
            if self._deduplicates_addresses
            else self._endpoints.all_instances()
        )
        now = clock.now()
        endpoints_by_id = {}
        leaving = set()
        marked = {
            incarnation
            for incarnation, until in (
                self._leaving_until_by_incarnation.items()
            )
            if until > now
        }
        for item in instances:
            endpoint = self._with_pool_settings(item.endpoint)
            endpoints_by_id[endpoint.id] = endpoint
            says_so = endpoint.incarnation in self._leaving_keys | marked
            if item.leaving or says_so:
                leaving.add(endpoint.id)
        self.snapshot = model.Snapshot(
            revision=self._settings.version,
            customers_by_id=self._settings.customers_by_id,
            customers_by_key_hash=self._settings.customers_by_key_hash,
            keys_required=bool(self._settings.customers_by_id),
            services_by_id=self._settings.services_by_id,
            endpoints_by_id=endpoints_by_id,
            routes_by_prefix_by_host=self._settings.routes_by_prefix_by_host,
            limits=self._settings.limits,
        )
        self.fleet = dataclasses.replace(
            self.fleet,
            version=self.fleet.version + 1,
            leaving_endpoint_ids=frozenset(leaving),
            changing_endpoint_ids=frozenset(
                name
                for name, kind in self._pending_role_changes
                if name in endpoints_by_id
                and endpoints_by_id[name].kind.value != kind
            ),
        )
        self._notify_subscribers()

    def _with_pool_settings(self, endpoint: model.Endpoint) -> model.Endpoint:
        settings = self._settings
        engine_spec = settings.engines_by_pool.get(endpoint.pool)
        connections_limit = settings.connections_by_pool.get(endpoint.pool, 0)
        if engine_spec and endpoint.kind is not model.EndpointKind.PLAIN:
            endpoint = engine_spec.apply_to(endpoint, connections_limit)
        elif connections_limit:
            endpoint = dataclasses.replace(
                endpoint, connections_max=connections_limit
            )
        return mechanisms.endpoint(endpoint, self._disabled)

    def _notify_subscribers(self) -> None:
        for callback in self._callbacks:
            callback()


def _vm_state(record: member_records.Record) -> model.VmState:
    if record.leaving:
        return model.VmState.LEAVING
    return model.VmState.LIVE if record.ready else model.VmState.JOINING


def _vm(record: member_records.Record) -> model.Vm:
    return model.Vm(
        id=record.id,
        host=record.host,
        availability_zone=record.availability_zone,
        role=model.VmRole.ENTRY,
        state=_vm_state(record),
        dispatch_port=record.port,
        entry_ports=(record.port,),
        cores=record.cores,
    )
