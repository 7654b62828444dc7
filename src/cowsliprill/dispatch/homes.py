"""The slot ledgers of the endpoints whose home this VM is.

Owned by the dispatch process' event loop; nothing else touches a ledger.
"""

import dataclasses

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import ownership
from cowsliprill.decisions import slots


@dataclasses.dataclass(slots=True)
class Home:
    """One endpoint that is homed here.

    Attributes:
      endpoint: The endpoint as the settings describe it.
      ledger: Its slot leases.
      since: When this process became its home.
      heard_by_entry: When each entry last asked for its slots.
    """

    endpoint: model.Endpoint
    ledger: slots.SlotLedger
    since: float
    heard_by_entry: dict[str, float] = dataclasses.field(default_factory=dict)


class Homes:
    """Which endpoints are homed here, and their ledgers.

    Args:
      vm_id: Id of this VM.
    """

    def __init__(self, vm_id: str) -> None:
        self._vm_id = vm_id
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
        vms = list(fleet.vms_by_id.values())
        kept = {}
        for endpoint in snapshot.endpoints_by_id.values():
            home = ownership.home_of(endpoint.id, vms)
            if home is None or home.id != self._vm_id:
                continue
            kept[endpoint.id] = self._kept_or_new(endpoint, now)
        self.by_endpoint = kept

    def ask(
        self, entry: str, ask: messages.SlotAsk, now: float
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
        home.heard_by_entry[entry] = now
        if now < home.since + slots.LEASE_S:
            ask = _without_new_work(ask)
        return home.ledger.ask(entry, ask, now)

    def _kept_or_new(self, endpoint: model.Endpoint, now: float) -> Home:
        home = self.by_endpoint.get(endpoint.id)
        if home is not None and home.endpoint.slots == endpoint.slots:
            home.endpoint = endpoint
            return home
        ledger = slots.SlotLedger(endpoint.id, endpoint.slots)
        return Home(endpoint, ledger, now)


def _without_new_work(ask: messages.SlotAsk) -> messages.SlotAsk:
    # A home that has just started, or has just taken the endpoint over, knows
    # nothing of the leases of its forerunner. Granting from an empty ledger
    # would promise the same slots twice; one would notice refusals with
    # `engine_full` after each restart of a home. After one lease time every
    # lease of the forerunner has run out or was asked for again here.
    return dataclasses.replace(ask, want=ask.in_use)
