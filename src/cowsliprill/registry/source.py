"""Settings in force and VM list, out of the registry and the membership."""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from typing import Protocol

from cowsliprill import clock
from cowsliprill.decisions import designated_readers
from cowsliprill.decisions import freshness as freshness_lib
from cowsliprill.decisions import mechanisms
from cowsliprill.decisions import member_records
from cowsliprill.decisions import membership
from cowsliprill.decisions import model
from cowsliprill.decisions import registry_view
from cowsliprill.observability import log as log_lib
from cowsliprill.registry import confirmation
from cowsliprill.registry import endpoints as endpoints_lib
from cowsliprill.registry import follower as follower_lib
from cowsliprill.registry import peer_news
from cowsliprill.registry import store as store_lib

# Members that come within this time change the settings' parts once.
_REREAD_S = 1.0

# After the store's return and so long, what is listed is the store's own word
# again: doubtful entries are back or dropped.
_SETTLED_S = endpoints_lib.DOUBT_S + 0.6

# A process lists the store at its start, and watches it from so much later on
# if it is to.
_FIRST_READING_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """What the operator's entry says.

    Attributes:
      version: Number that only rises.
      services_by_id: The services.
      routes_by_prefix_by_host: The routes.
      engines_by_pool: What is common to the engines of each pool.
      connections_by_pool: Connections that each endpoint of a pool takes.
      limits: What callers may send.
      customers_by_id: The customers; empty where callers need no API key.
      customers_by_key_hash: The customer of each API key's digest.
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


class Translator(Protocol):
    """Reads entries of one platform.

    Attributes:
      settings_key: Key of the operator's entry.
      endpoints_prefix: Start of the keys of endpoints.
    """

    settings_key: str
    endpoints_prefix: str

    async def settings(self, value: bytes, members: int) -> Settings:
        """Reads the operator's entry; raises ValueError if it is unusable."""

    def listed(self, key: str, value: bytes) -> endpoints_lib.Listed:
        """Reads an endpoint's entry; raises ValueError if it is unusable."""


class Source:
    """`world.Source` for a platform with a registry.

    Args:
      store: Reads the store.
      translator: Reads entries.
      members: The other processes.
      log: The process's log.
      rng: Spreads retries.
      disabled: Mechanisms that are switched off for an experiment.
      freshness: How recent settings have to be for keys to be honoured.

    Attributes:
      snapshot: The settings in force.
      fleet: The VM list.
      views_by_prefix: What is known of the registry.
    """

    def __init__(
        self,
        store: store_lib.Store,
        translator: Translator,
        members: membership.Membership,
        log: log_lib.Log,
        rng: random.Random,
        disabled: mechanisms.DisabledMechanisms = (),
        freshness: freshness_lib.Freshness | None = None,
    ) -> None:
        self._disabled = disabled
        self._freshness = freshness or freshness_lib.Freshness(None)
        self._in_force_revision = 0
        self.snapshot = model.Snapshot()
        self.fleet = model.Fleet()
        self._translator = translator
        self._members = members
        self._log = log
        self._callbacks: list[Callable[[], None]] = []
        self._newest_callbacks: list[Callable[[], None]] = []
        self._settings = Settings()
        self._settings_entries: asyncio.Queue[registry_view.Entry] = (
            asyncio.Queue()
        )
        self._endpoints = endpoints_lib.Endpoints(translator.listed, log)
        self._one_life = (
            mechanisms.Mechanism.ONE_INCARNATION_PER_ADDRESS not in disabled
        )
        self._leaving_until_by_endpoint: dict[str, float] = {}
        self._must_read = False
        self._is_reader = False
        self._started_at = clock.now()
        self._members_known = 0
        self._members_revision = (0, False)
        self._reread: asyncio.TimerHandle | None = None
        self._pending_role_changes: frozenset[tuple[str, str]] = frozenset()
        prefixes = (translator.settings_key, translator.endpoints_prefix)
        self.views_by_prefix = {
            prefix: registry_view.View(prefix) for prefix in prefixes
        }
        takers = (self._take_settings, self._take_endpoints)
        # Only the settings have to be confirmed in short intervals.
        watches_s = (self._freshness.watch_timeout_s, follower_lib.WATCH_S)
        self._followers = [
            follower_lib.Follower(store, view, took, log, rng, watch_timeout_s)
            for view, took, watch_timeout_s in zip(
                self.views_by_prefix.values(), takers, watches_s, strict=True
            )
        ]
        self._confirmation = confirmation.Confirmation(
            self._followers[0],
            self._freshness,
            self._note_confirmed,
            members,
            log,
            rng,
        )
        self._peer_news = peer_news.PeerNews(
            self._followers, members, log, rng, disabled
        )

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Has a function called after each change."""
        self._callbacks.append(callback)

    def subscribe_newest(self, callback: Callable[[], None]) -> None:
        """Has a function called as soon as something newer is known.

        Settings come into force later, when they have been read.
        """
        self._newest_callbacks.append(callback)

    def newest(self) -> tuple[int, ...]:
        """Returns the newest change known below each prefix."""
        return tuple(view.newest for view in self.views_by_prefix.values())

    def is_ready(self) -> bool:
        """Returns whether settings and endpoints are known."""
        return self.snapshot.revision > 0 and bool(self._endpoints.listed())

    def followers(self) -> list[follower_lib.Follower]:
        """Returns what follows the store, for metrics."""
        return self._followers

    def is_settled(self, now: float) -> bool:
        """Returns whether what is known of endpoints is the store's own word.

        While the store is away, and until doubtful entries are back or
        dropped, engines may be listed that are gone.
        """
        return not any(
            follower.away_since
            or now - max(follower.back_at, follower.began_at) < _SETTLED_S
            for follower in self._followers
        )

    def require_reading(self, required: bool) -> None:
        """Has this process read the store whatever the others do.

        Args:
          required: Whether it needs the store's own word.
        """
        self._must_read = required

    def accepts_api_keys(self) -> bool:
        """Returns whether API keys of the settings may be honoured now."""
        self._note_confirmed()
        return self._freshness.accepts_api_keys(clock.now())

    def is_blind(self) -> bool:
        """Returns whether the store doesn't answer this process."""
        now = clock.now()
        return any(follower.is_away(now) for follower in self._followers)

    def trouble_left_s(self) -> float:
        """Returns for how long removed entries may yet come back, seconds.

        While the store is away endpoints can't renew their entries. A VM that
        it turns away learns of removals from peers, and of its state as well.
        """
        follower = self._followers[1]
        now = clock.now()
        heard_s = self._peer_news.trouble_left_s(now)
        if follower.silent_s < endpoints_lib.LAPSE_AFTER_S:
            return heard_s
        return max(follower.back_at + endpoints_lib.DOUBT_S - now, heard_s)

    def engine_pools(self) -> list[str]:
        """Returns the names of the pools of engines."""
        return list(self._settings.engines_by_pool)

    def staying_endpoints(self, pool: str) -> list[model.Endpoint]:
        """Returns the endpoints of a pool without those that leave."""
        leaving = self.fleet.leaving_endpoint_ids
        return [
            endpoint
            for endpoint in self.snapshot.endpoints_by_id.values()
            if endpoint.pool == pool and endpoint.id not in leaving
        ]

    async def report_leaving(self, endpoint_id: str, ttl_s: float) -> None:
        """Takes what an endpoint said of itself; the registry tells others."""
        self._leaving_until_by_endpoint[endpoint_id] = clock.now() + ttl_s
        self._rebuild()

    async def run(self) -> None:
        """Follows until cancelled."""
        async with asyncio.TaskGroup() as group:
            for follower in self._followers:
                group.create_task(follower.run())
            group.create_task(self._read_settings())
            group.create_task(self._peer_news.run())
            group.create_task(self._confirmation.run())

    def take_members(self) -> None:
        """Takes the membership over after a beat, or when it has changed."""
        self._drop_doubtful()
        if self._members.revision != self._members_revision:
            self._members_revision = self._members.revision
            self._take_changing()
            self._take_fleet()
            self._is_reader = designated_readers.is_reader(
                self._members.own, self._members.alive()
            )
        self._set_reading()
        self._peer_news.look(clock.now())

    def _set_reading(self) -> None:
        # Who has just started doesn't know yet who else there is. Who hears
        # nobody gets no news from others either.
        now = clock.now()
        is_reader = (
            self._must_read
            or self._is_reader
            or mechanisms.Mechanism.DESIGNATED_READERS in self._disabled
            or not self._members.has_recent_contact(now)
        )
        settled = now - self._started_at > _FIRST_READING_S
        for follower in self._followers:
            follower.set_reading(is_reader and settled)

    # The membership.

    def _take_changing(self) -> None:
        pending_role_changes = self._members.pending_role_changes()
        if pending_role_changes != self._pending_role_changes:
            self._pending_role_changes = pending_role_changes
            self._rebuild()

    def _take_fleet(self) -> None:
        vms_by_id = {
            record.id: _vm(record)
            for record in (self._members.own, *self._members.alive())
        }
        if vms_by_id == self.fleet.vms_by_id:
            return
        self.fleet = dataclasses.replace(
            self.fleet, version=self.fleet.version + 1, vms_by_id=vms_by_id
        )
        if self._members.member_count() != self._members_known:
            self._members_known = self._members.member_count()
            self._arrange_reread()
        self._announce()

    def _arrange_reread(self) -> None:
        # While a fleet starts members come by the hundred within a second, and
        # reading settings of thousands of routes takes a good part of one.
        if self._reread is None:
            loop = asyncio.get_running_loop()
            self._reread = loop.call_later(_REREAD_S, self._reread_settings)

    # Settings.

    def _take_settings(self, changes: list[registry_view.Change]) -> None:
        for change in changes:
            if change.key != self._translator.settings_key:
                continue
            if isinstance(change, registry_view.Entry):
                self._settings_entries.put_nowait(change)
        if changes:
            for callback in self._newest_callbacks:
                callback()

    def _reread_settings(self) -> None:
        # Parts that are shared out by the count of processes depend on it.
        self._reread = None
        view = self.views_by_prefix[self._translator.settings_key]
        entry = view.entries_by_key.get(self._translator.settings_key)
        if entry is not None:
            self._settings_entries.put_nowait(entry)

    def _note_confirmed(self) -> None:
        # While a newer entry is being read, the settings in force aren't the
        # newest, whatever the store confirms of the view.
        view = self.views_by_prefix[self._translator.settings_key]
        if view.newest == self._in_force_revision:
            self._freshness.confirm(view.confirmed_at)

    async def _read_settings(self) -> None:
        while True:
            entry = await self._settings_entries.get()
            try:
                settings = await self._translator.settings(
                    entry.value, self._members.member_count()
                )
            except ValueError as error:
                self._log.warning(
                    "settings_unreadable",
                    revision=entry.revision,
                    reason=str(error),
                )
                continue
            # The store's answers may be old, and so may a peer's. Going back
            # would send calls where the operator has just taken them away.
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
            self._in_force_revision = entry.revision
            self._rebuild()

    def _take_endpoints(self, changes: list[registry_view.Change]) -> None:
        now = clock.now()
        left_s = self.trouble_left_s()
        self._endpoints.take(changes, doubt_until=now + left_s, now=now)
        if left_s and changes:
            asyncio.get_running_loop().call_later(left_s, self._drop_doubtful)
        if changes:
            self._rebuild()

    def _drop_doubtful(self) -> None:
        if self._endpoints.drop_doubtful(clock.now()):
            self._rebuild()

    # What is told.

    def _rebuild(self) -> None:
        listed = (
            self._endpoints.listed()
            if self._one_life
            else self._endpoints.all_lives()
        )
        now = clock.now()
        endpoints_by_id = {}
        leaving = {
            endpoint_id
            for endpoint_id, until in self._leaving_until_by_endpoint.items()
            if until > now
        }
        for item in listed:
            endpoint = self._described(item.endpoint)
            endpoints_by_id[endpoint.id] = endpoint
            if item.leaving:
                leaving.add(item.endpoint.id)
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
        self._announce()

    def _described(self, endpoint: model.Endpoint) -> model.Endpoint:
        settings = self._settings
        engine_spec = settings.engines_by_pool.get(endpoint.pool)
        bound = settings.connections_by_pool.get(endpoint.pool, 0)
        if engine_spec and endpoint.kind is not model.EndpointKind.PLAIN:
            endpoint = engine_spec.apply_to(endpoint, bound)
        elif bound:
            endpoint = dataclasses.replace(endpoint, connections_max=bound)
        return mechanisms.endpoint(endpoint, self._disabled)

    def _announce(self) -> None:
        for callback in self._callbacks:
            callback()


def _state(record: member_records.Record) -> model.VmState:
    if record.leaving:
        return model.VmState.LEAVING
    return model.VmState.LIVE if record.ready else model.VmState.JOINING


def _vm(record: member_records.Record) -> model.Vm:
    return model.Vm(
        id=record.id,
        host=record.host,
        availability_zone=record.availability_zone,
        role=model.VmRole.ENTRY,
        state=_state(record),
        dispatch_port=record.port,
        entry_ports=(record.port,),
        cores=record.cores,
    )
