"""The slot ledgers of the endpoints whose home this VM is.

Owned by the dispatch process' event loop; nothing else touches a ledger.
"""

import dataclasses

from cowsliprill.decisions import coordinator_map
from cowsliprill.decisions import customer_shares
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import slot_ledger
from cowsliprill.dispatch import prefix_feed
from cowsliprill.dispatch import settling as settling_lib
from cowsliprill.engines import model as engine_model


@dataclasses.dataclass(slots=True)
class Home:
    """One endpoint that is homed here.

    Attributes:
      endpoint: The endpoint as the settings describe it.
      ledger: Its slot leases.
      settling: What was stated since this process became its home, until the
        forerunner's leases are over or known; None from then on.
      reported_at: When its newest load report was read.
      load: Its newest load report, None before the first.
      prefixes: What is known of its prefix cache.
    """

    endpoint: model.Endpoint
    ledger: slot_ledger.SlotLedger
    settling: settling_lib.Settling | None
    reported_at: float
    load: engine_model.LoadReport | None = None
    prefixes: prefix_feed.PrefixFeed = dataclasses.field(
        default_factory=prefix_feed.PrefixFeed
    )


class Homes:
    """Which endpoints are homed here, and their ledgers.

    Args:
      vm_id: Id of this VM.
    """

    def __init__(self, vm_id: str) -> None:
        self._vm_id = vm_id
        self._map = coordinator_map.CoordinatorMap()
        self._entries_by_vm: dict[str, int] = {}
        self.by_endpoint: dict[str, Home] = {}

    def update(
        self, snapshot: model.Snapshot, fleet: model.Fleet, now: float
    ) -> None:
        """Takes new settings or a new VM list.

        Args:
          snapshot: The settings in force.
          fleet: The VM list.
          now: Time, seconds.
        """
        self._map.update(fleet.vms_by_id.values())
        self._map.keep_only(snapshot.endpoints_by_id)
        self._entries_by_vm = {
            vm.id: len(vm.entry_ports)
            for vm in fleet.vms_by_id.values()
            if vm.role is model.VmRole.ENTRY
        }
        shares_by_customer = customer_shares.CustomerShares(
            snapshot.customers_by_id
        )
        kept = {}
        for endpoint in snapshot.endpoints_by_id.values():
            if endpoint.kind is model.EndpointKind.PLAIN:
                continue
            if not self.is_here(endpoint.id):
                continue
            home = self._kept_or_new(endpoint, now)
            home.ledger.shares_by_customer = shares_by_customer
            kept[endpoint.id] = home
        self.by_endpoint = kept

    def is_here(self, endpoint_id: str) -> bool:
        """Returns whether the newest VM list makes this VM the home."""
        vm = self._map.coordinator_of(endpoint_id)
        return vm is not None and vm.id == self._vm_id

    def ask(
        self, entry: str, ask: messages.SlotDemand, now: float
    ) -> messages.SlotGrant | None:
        """Answers one ask.

        Args:
          entry: Incarnation of the asking entry process.
          ask: Its statement.
          now: Time, seconds.

        Returns:
          The grant, or None if the endpoint isn't homed here.
        """
        home = self.by_endpoint.get(ask.endpoint_id)
        if home is None:
            return None
        if home.settling is not None:
            home.settling.note(entry, ask)
            self._settle_if_possible(home, now)
        return home.ledger.ask(entry, ask, now)

    def regrant(self, now: float) -> list[tuple[str, messages.SlotGrant]]:
        """Finds the entries that should hear from this home unasked.

        Args:
          now: Time, seconds.

        Returns:
          Pairs of entry and its present grant.
        """
        changed = []
        for home in self.by_endpoint.values():
            changed.extend(home.ledger.regrant(now))
        return changed

    def with_news(
        self, entry: str, grant: messages.SlotGrant, now: float
    ) -> messages.SlotGrant:
        """Adds to a grant what the home has learned of the endpoint.

        Args:
          entry: Who gets the grant.
          grant: The grant.
          now: Time, seconds.

        Returns:
          The grant with age of the load report and news of cached prefixes.
        """
        home = self.by_endpoint.get(grant.endpoint_id)
        if home is None:
            return grant
        news = home.prefixes.news_for(entry)
        return dataclasses.replace(
            grant,
            report_age_s=now - home.reported_at,
            prefix_hashes=news.stored,
            prefix_hashes_gone=news.gone,
            prefix_epoch=news.epoch,
        )

    def unsettled(self, endpoint_id: str, now: float) -> bool:
        """Returns whether an endpoint is homed here since a short time only."""
        home = self.by_endpoint.get(endpoint_id)
        if home is None or home.settling is None:
            return False
        return now < home.settling.ends_at

    def next_expiry(self) -> float | None:
        """Returns when the next lease of any endpoint runs out."""
        times = [
            home.ledger.next_expiry() for home in self.by_endpoint.values()
        ]
        return min((at for at in times if at is not None), default=None)

    def _kept_or_new(self, endpoint: model.Endpoint, now: float) -> Home:
        home = self.by_endpoint.get(endpoint.id)
        if home is not None and home.endpoint.slots == endpoint.slots:
            home.endpoint = endpoint
            return home
        settling = settling_lib.Settling(now)
        ledger = slot_ledger.SlotLedger(
            endpoint.id, endpoint.slots, reclaim_until=settling.ends_at
        )
        return Home(endpoint, ledger, settling, reported_at=now)

    def _settle_if_possible(self, home: Home, now: float) -> None:
        settling = home.settling
        assert settling is not None
        if now >= settling.ends_at:
            home.settling = None
        elif settling.has_heard_all(self._entries_by_vm):
            shares_by_customer = home.ledger.shares_by_customer
            endpoint = home.endpoint
            home.ledger = settling.ledger(endpoint.id, endpoint.slots, now)
            home.ledger.shares_by_customer = shares_by_customer
            home.settling = None
