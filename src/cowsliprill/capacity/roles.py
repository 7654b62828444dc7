"""What the letter's size costs each node, worked out from the slopes."""

import dataclasses
from collections.abc import Mapping

from cowsliprill.capacity import fit
from cowsliprill.capacity import fleet as fleet_lib
from cowsliprill.decisions import engine_subset
from cowsliprill.decisions import fencing

# Assumptions that are neither measured nor in the letter.
ENTRIES_PER_NODE = 2
RENEWALS_PER_S = 1.0
FAN_OUT = 2
EXCHANGE_BODY_BYTES = 300
EXCHANGE_INTERVAL_S = 3.0
LIST_INTERVAL_S = 2.0
WATCH_S = 5.0
SWEEP_S = 60.0
REPORT_BYTES = 900
REPORT_BYTES_PER_S = 1_000
KV_BYTES_PER_TOKEN = 131_072
KV_BYTES_PER_S = 3_900e9
BLOCK_TOKENS = 16
CACHE_EVENT_BYTES = 60
SECONDS_PER_TOKEN = 0.032
POOLS = 3
# The redesign of the slot messages that the page proposes.
NEW_HOMES = 4
NEW_RENEWAL_S = 30.0
ASK_RUNNING = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One kind of message or work of one node.

    Attributes:
      role: Process that does it.
      what: What it is.
      rate_per_s: How often.
      bytes_each: Bytes of one, both ways.
      cpu_us_each: Processor time of one, microseconds; 0 if not measured.
    """

    role: str
    what: str
    rate_per_s: float
    bytes_each: float
    cpu_us_each: float

    @property
    def bytes_per_s(self) -> float:
        """Bytes a second of one node."""
        return self.rate_per_s * self.bytes_each

    @property
    def core(self) -> float:
        """Part of a core."""
        return self.rate_per_s * self.cpu_us_each / 1e6


def running_per_node(fleet: fleet_lib.FleetSize) -> float:
    """Returns the streams that run at once through one node."""
    tokens = fleet.tokens_per_s / fleet.requests_per_s
    return fleet.requests_per_node * tokens * SECONDS_PER_TOKEN


def rows(
    slopes_by_name: Mapping[str, fit.Slope], fleet: fleet_lib.FleetSize
) -> list[Row]:
    """Works out every kind of control message and work of one node.

    Each exchange between two nodes counts with the bytes and the processor
    time of both ends once, since each node is at one end as often as at the
    other: bytes are doubled, for they are sent by one and received by the
    other.

    Args:
      slopes_by_name: The measured slopes.
      fleet: The size.

    Returns:
      The rows.
    """
    return [
        *_slot_rows(slopes_by_name, fleet),
        *_home_rows(slopes_by_name, fleet),
        *_settings_rows(slopes_by_name, fleet),
        *_change_rows(slopes_by_name, fleet),
    ]


def _slot_rows(
    slopes_by_name: Mapping[str, fit.Slope], fleet: fleet_lib.FleetSize
) -> list[Row]:
    engines = (
        engine_subset.MAX_PREFILL_ENGINES + engine_subset.MAX_DECODE_ENGINES
    )
    homes = fleet.nodes * (1 - (1 - 1 / fleet.nodes) ** engines)
    customers = slopes_by_name["slots_user_bytes"].each
    running = running_per_node(fleet) / ENTRIES_PER_NODE
    size = slopes_by_name["slots_bytes"]
    spent = slopes_by_name["slots_cpu"]
    per_ask = engines / homes
    today = size.at(per_ask) + customers * (
        running / homes - ASK_RUNNING * per_ask
    )
    asks = engines / NEW_HOMES
    new = size.fixed + asks * (size.each - (ASK_RUNNING + 1) * customers)
    return [
        Row(
            role="entry+dispatch",
            what="slot asks, today: one home an engine, each second",
            rate_per_s=homes * ENTRIES_PER_NODE * RENEWALS_PER_S,
            bytes_each=2 * today,
            cpu_us_each=spent.at(per_ask),
        ),
        Row(
            role="entry+dispatch",
            what=f"slot asks, proposed: {NEW_HOMES} homes, each"
            f" {NEW_RENEWAL_S:.0f} s, customers only when scarce",
            rate_per_s=NEW_HOMES * ENTRIES_PER_NODE / NEW_RENEWAL_S,
            bytes_each=2 * new,
            cpu_us_each=spent.at(asks),
        ),
        Row(
            role="entry",
            what="placement of a request",
            rate_per_s=fleet.requests_per_node,
            bytes_each=0.0,
            cpu_us_each=slopes_by_name["request_cpu"].at(fleet.engines),
        ),
    ]


def _home_rows(
    slopes_by_name: Mapping[str, fit.Slope], fleet: fleet_lib.FleetSize
) -> list[Row]:
    homed = fleet.engines_per_home
    running = running_per_node(fleet)
    lists = slopes_by_name["running_bytes"]
    order_bytes = lists.fixed + lists.each
    blocks_per_s = KV_BYTES_PER_S / KV_BYTES_PER_TOKEN / BLOCK_TOKENS
    return [
        Row(
            role="dispatch",
            what="running lists for the sweep",
            rate_per_s=homed / SWEEP_S,
            bytes_each=lists.at(running / homed),
            cpu_us_each=slopes_by_name["running_cpu"].at(running / homed),
        ),
        Row(
            role="dispatch",
            what="judging what runs",
            rate_per_s=1.0,
            bytes_each=0.0,
            cpu_us_each=slopes_by_name["sweep_cpu"].at(running),
        ),
        Row(
            role="dispatch",
            what="orders read back",
            rate_per_s=homed / fencing.READ_BACK_INTERVAL_S,
            bytes_each=order_bytes,
            cpu_us_each=slopes_by_name["running_cpu"].at(1),
        ),
        Row(
            role="dispatch",
            what="load reports, paced",
            rate_per_s=REPORT_BYTES_PER_S / REPORT_BYTES,
            bytes_each=REPORT_BYTES,
            cpu_us_each=slopes_by_name["running_cpu"].at(1),
        ),
        Row(
            role="dispatch",
            what="cache events, all of them",
            rate_per_s=blocks_per_s / fleet.nodes,
            bytes_each=CACHE_EVENT_BYTES,
            cpu_us_each=0.0,
        ),
        Row(
            role="dispatch",
            what="homes after a change of one VM",
            rate_per_s=fleet.vm_changes_per_s,
            bytes_each=0.0,
            cpu_us_each=slopes_by_name["homes_change_cpu"].at(fleet.engines)
            / 2,
        ),
    ]


def _settings_rows(
    slopes_by_name: Mapping[str, fit.Slope], fleet: fleet_lib.FleetSize
) -> list[Row]:
    list_bytes = slopes_by_name["list_bytes"]
    list_cpu = slopes_by_name["list_cpu"]
    peer = slopes_by_name["peer_bytes"].at(EXCHANGE_BODY_BYTES)
    told = FAN_OUT * fleet.changes_per_s + 1 / EXCHANGE_INTERVAL_S
    everything = fleet.nodes + fleet.engines
    return [
        Row(
            role="settings",
            what="VM list, entry VMs only",
            rate_per_s=1 / LIST_INTERVAL_S,
            bytes_each=list_bytes.at(fleet.nodes),
            cpu_us_each=list_cpu.at(fleet.nodes),
        ),
        Row(
            role="settings",
            what="VM list, with a VM an engine",
            rate_per_s=1 / LIST_INTERVAL_S,
            bytes_each=list_bytes.at(everything),
            cpu_us_each=list_cpu.at(everything),
        ),
        Row(
            role="settings",
            what="exchanges with peers",
            rate_per_s=told,
            bytes_each=2 * peer,
            cpu_us_each=slopes_by_name["peer_cpu"].at(EXCHANGE_BODY_BYTES),
        ),
    ]


def _change_rows(
    slopes_by_name: Mapping[str, fit.Slope], fleet: fleet_lib.FleetSize
) -> list[Row]:
    moved = slopes_by_name["change_bytes"].at(fleet.customers)
    part = slopes_by_name["engine_change_bytes"].at(fleet.engines / POOLS)
    resolving = slopes_by_name["change_cpu"].at(fleet.customers)
    schedulers = (
        slopes_by_name["world_cpu"].at(fleet.engines)
        + slopes_by_name["world_users_cpu"].each * fleet.customers
    )
    return [
        Row(
            role="settings",
            what="changes of a customer: head and part",
            rate_per_s=fleet.changes_per_s,
            bytes_each=moved,
            cpu_us_each=resolving,
        ),
        Row(
            role="settings",
            what="changes of an engine, if 1 of 10 changes is one",
            rate_per_s=fleet.changes_per_s / 10,
            bytes_each=part,
            cpu_us_each=0.0,
        ),
        Row(
            role="dispatch",
            what="changes: resolving them again in this process",
            rate_per_s=fleet.changes_per_s,
            bytes_each=0.0,
            cpu_us_each=resolving,
        ),
        Row(
            role="entry",
            what="changes: resolving and scheduler, each entry process",
            rate_per_s=fleet.changes_per_s * ENTRIES_PER_NODE,
            bytes_each=0.0,
            cpu_us_each=resolving + schedulers,
        ),
    ]


def memory_bytes(
    slopes_by_name: Mapping[str, fit.Slope], fleet: fleet_lib.FleetSize
) -> dict[str, float]:
    """Works out the state of one process, beside Python itself.

    Args:
      slopes_by_name: The measured slopes.
      fleet: The size.

    Returns:
      Bytes by state.
    """
    customers = slopes_by_name["settings_memory_customer"].each
    engines = slopes_by_name["settings_memory_engine"].each
    customers_of_engine = (
        ENTRIES_PER_NODE
        * fleet.nodes
        * (engine_subset.MAX_PREFILL_ENGINES + engine_subset.MAX_DECODE_ENGINES)
        / fleet.engines
    )
    ledger = slopes_by_name["ledger_memory"].at(customers_of_engine)
    return {
        "settings of customers": customers * fleet.customers,
        "settings of engines": engines * fleet.engines,
        "VM list": slopes_by_name["list_memory"].at(fleet.nodes),
        "slot ledgers (dispatch)": ledger * fleet.engines_per_home,
    }
