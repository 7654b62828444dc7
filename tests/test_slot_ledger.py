"""Tests of slot leases: the ledger and the client side together."""

import dataclasses

import hypothesis
from hypothesis import strategies

from cowsliprill.decisions import endpoint_lease
from cowsliprill.decisions import messages
from cowsliprill.decisions import slot_ledger

_SLOTS = 4

# Less than a lease and the time for which its slots stay reserved after it has
# expired, see `_EXPIRED_RESERVED_S` of the ledger.
_MAX_TIME_S = 6.0
_ENTRIES = ("a", "b", "c")


def _demand(
    sequence: int, in_use: int, want: int, held: int = 0, customer: str = "u"
) -> messages.SlotDemand:
    return messages.SlotDemand(
        endpoint_id="d",
        in_use=in_use,
        want=want,
        held=max(held, in_use),
        sequence=sequence,
        customer_wants=((customer, max(want - in_use, 0)),),
        customer_in_use=((customer, in_use),) if in_use else (),
    )


@dataclasses.dataclass
class _UnreliableNetwork:
    """A ledger and entry processes, connected by an unreliable network.

    Messages may be delayed, duplicated, lost or reordered.
    """

    ledger: slot_ledger.SlotLedger
    now: float = 0.0
    sequence: int = 0

    def __post_init__(self) -> None:
        self.leases_by_entry = {
            name: endpoint_lease.EndpointLease() for name in _ENTRIES
        }
        self.demands: list[tuple[str, messages.SlotDemand, float]] = []
        self.grants: list[tuple[str, messages.SlotGrant]] = []
        self.sent_at = dict.fromkeys(_ENTRIES, 0.0)
        self.received_at = dict.fromkeys(_ENTRIES, 0.0)

    def step(self, name: str, action: int, pick: int) -> None:
        lease = self.leases_by_entry[name]
        match action:
            case 0 | 1:
                self._send_demand(name, lease, pick)
            case 2 | 3 if self.demands:
                self._deliver_demand(pick, twice=False)
            case 4 if self.demands:
                self._deliver_demand(pick, twice=True)
            case 5 | 6 if self.grants:
                entry, grant = self.grants.pop(pick % len(self.grants))
                self.leases_by_entry[entry].grant(grant)
            case 7 if lease.free_slots(self.now) > 0:
                lease.acquire("u")
            case 8 if lease.in_use:
                lease.release("u")
            case 9:
                # Shorter than the time for which expired leases are reserved.
                self.now += pick / 20
            case 10 if self.demands or self.grants:
                (self.demands or self.grants).pop()

    def _send_demand(
        self, name: str, lease: endpoint_lease.EndpointLease, pick: int
    ) -> None:
        self.sequence += 1
        held = max(lease.held_slots(self.now) - pick % 2, lease.in_use)
        want = max(held, lease.in_use + pick % 5)
        lease.record_demand(self.sequence, held)
        demand = _demand(self.sequence, lease.in_use, want, held)
        self.demands.append((name, demand, self.now))

    def _deliver_demand(self, pick: int, *, twice: bool) -> None:
        index = pick % len(self.demands)
        name, demand, sent_at = self.demands[index]
        if not twice:
            del self.demands[index]
        grant = self.ledger.ask(name, demand, self.now)
        found = [(name, grant), *self.ledger.regrant(self.now)]
        latency = self.now - sent_at
        for entry, item in found:
            # A lease starts when its slot demand was sent.
            elapsed_s = latency if entry == name else self.received_at[entry]
            self.received_at[entry] = max(elapsed_s, self.received_at[entry])
            expires_at = item.expires_at - self.received_at[entry]
            received = dataclasses.replace(item, expires_at=expires_at)
            self.grants.append((entry, received))

    def held_slots(self) -> int:
        """Returns the slots that are in use or leased at this time."""
        return sum(
            lease.held_slots(self.now)
            for lease in self.leases_by_entry.values()
        )


class TestNoOvercommit:
    """The ledger never leases more slots than the endpoint has."""

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=300
    )
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(_ENTRIES),
                strategies.integers(0, 10),
                strategies.integers(0, 9),
            ),
            min_size=20,
            max_size=90,
        )
    )
    def test_unreliable_network_and_pauses(self, steps) -> None:
        """Demands and grants are lost, duplicated, delayed and reordered.

        If the coordinator applied an outdated demand, it would lease slots
        twice, and callers would wait for a prefill whose decode engine is full.
        """
        network = _UnreliableNetwork(slot_ledger.SlotLedger("d", _SLOTS))
        for name, action, pick in steps:
            if network.now > _MAX_TIME_S:
                break
            network.step(name, action, pick)
            assert network.held_slots() <= _SLOTS
            assert network.ledger.leased() <= _SLOTS

    def test_outdated_demand_releases_nothing(self) -> None:
        """An old demand arrives after a newer one that was granted more."""
        ledger = slot_ledger.SlotLedger("d", _SLOTS)
        assert ledger.ask("a", _demand(2, 0, 4), 0.0).slots == _SLOTS
        ledger.ask("a", _demand(1, 0, 1), 0.1)
        assert ledger.ask("b", _demand(1, 0, 1), 0.2).slots == 0

    def test_slots_of_an_expired_lease_stay_reserved(self) -> None:
        """An entry process crashes while its requests run at the engine.

        If its slots were reassigned at once, the next prefill would be
        discarded because the decode engine turns out to be full.
        """
        ledger = slot_ledger.SlotLedger("d", _SLOTS)
        ledger.ask("a", _demand(1, 0, 4), 0.0)
        after = slot_ledger.LEASE_DURATION_S + 0.5
        assert ledger.ask("b", _demand(1, 0, 4), after).slots == 0
        ledger.reconcile_usage({"a": 1}, after)
        assert [grant.slots for _, grant in ledger.regrant(after)] == [3]

    def test_new_coordinator_only_confirms_held_slots_at_first(self) -> None:
        """A coordinator starts while leases of the previous one are valid."""
        ledger = slot_ledger.SlotLedger("d", _SLOTS, reclaim_until=2.0)
        assert ledger.ask("a", _demand(1, 1, 2, held=2), 0.0).slots == 2
        assert ledger.ask("b", _demand(1, 0, 4), 0.1).slots == 0
        assert ledger.ask("b", _demand(2, 0, 4), 2.0).slots == 2


class TestSharing:
    """Allocation of slots that become free."""

    def test_increased_grant_is_pushed_once(self) -> None:
        ledger = slot_ledger.SlotLedger("d", 1)
        ledger.ask("a", _demand(1, 1, 1), 0.0)
        assert ledger.ask("b", _demand(1, 0, 1), 0.1).slots == 0
        ledger.ask("a", _demand(2, 0, 0), 0.2)
        assert [name for name, _ in ledger.regrant(0.2)] == ["b"]
        assert ledger.regrant(0.2) == []

    def test_idle_slots_are_recalled_if_other_requests_wait(self) -> None:
        ledger = slot_ledger.SlotLedger("d", 3)
        reserve = dataclasses.replace(
            _demand(1, 0, 1), customer_wants=(), want=1, held=1
        )
        ledger.ask("a", reserve, 0.0)
        ledger.ask("b", _demand(1, 0, 4), 0.1)
        recalled = dict(ledger.regrant(0.1))
        assert recalled["a"].waiting > 0

    def test_higher_priority_entry_process_is_served_first(self) -> None:
        ledger = slot_ledger.SlotLedger("d", 1)
        ledger.ask("a", _demand(1, 1, 1), 0.0)
        ledger.ask("b", _demand(1, 0, 1), 0.1)
        urgent = dataclasses.replace(_demand(1, 0, 1), priority=1)
        ledger.ask("c", urgent, 0.2)
        ledger.ask("a", _demand(2, 0, 0), 0.3)
        assert [name for name, _ in ledger.regrant(0.3)] == ["c"]

    def test_customer_cannot_starve_another(self) -> None:
        """One customer demands far more than its share, at high priority.

        Without fair sharing all requests of the other customer would be
        refused.
        """
        ledger = slot_ledger.SlotLedger("d", 4)
        ledger.ask("a", _demand(1, 4, 4, customer="greedy"), 0.0)
        greedy = dataclasses.replace(
            _demand(1, 0, 4, customer="greedy"), priority=9
        )
        ledger.ask("b", greedy, 0.1)
        ledger.ask("c", _demand(1, 0, 2, customer="modest"), 0.2)
        ledger.ask("a", _demand(2, 2, 2, customer="greedy"), 0.3)
        slots_by_entry = {
            name: grant.slots for name, grant in ledger.regrant(0.3)
        }
        assert slots_by_entry == {"c": 2}


class TestHolding:
    """Client side of a lease."""

    def test_outdated_grant_is_ignored(self) -> None:
        """A grant arrives after the answer to a newer demand.

        The entry process has given the slots up since. If it applied the old
        grant, it would place work on slots that the coordinator has leased to
        another entry process.
        """
        lease = endpoint_lease.EndpointLease()
        lease.record_demand(1, 0)
        old = messages.SlotGrant(
            endpoint_id="d", slots=3, expires_at=2.0, sequence=1
        )
        lease.grant(old)
        lease.record_demand(2, 0)
        lease.grant(dataclasses.replace(old, slots=0, sequence=2))
        lease.grant(old)
        assert lease.free_slots(1.0) == 0

    def test_no_work_on_an_expired_lease(self) -> None:
        """The process is paused until after its lease has expired."""
        lease = endpoint_lease.EndpointLease()
        lease.grant(
            messages.SlotGrant(endpoint_id="d", slots=3, expires_at=2.0)
        )
        lease.acquire("u")
        assert lease.free_slots(1.9) == 2
        assert lease.free_slots(2.0) < 1
        assert lease.held_slots(2.0) == 1

    def test_new_prefix_epoch_replaces_cached_blocks(self) -> None:
        """Cache events were lost, among them evictions.

        Without the reset, requests would still be routed to an engine for
        blocks that it no longer caches.
        """
        lease = endpoint_lease.EndpointLease()
        grant = messages.SlotGrant(
            endpoint_id="d",
            slots=0,
            expires_at=2.0,
            prefix_hashes=(1, 2),
            prefix_epoch=1,
        )
        lease.grant(grant)
        assert lease.cached.cached_tokens((1, 2)) > 0
        news = dataclasses.replace(grant, prefix_hashes=(3,))
        lease.grant(dataclasses.replace(news, prefix_hashes_gone=(2,)))
        both = lease.cached.cached_tokens((1, 3))
        assert lease.cached.cached_tokens((1, 2)) < both
        lease.grant(dataclasses.replace(news, prefix_epoch=2))
        assert lease.cached.cached_tokens((1, 3)) == 0
        assert lease.cached.cached_tokens((3,)) > 0
