"""Estimates control-plane costs per VM at a fleet's size from cost fits."""

import dataclasses
from collections.abc import Mapping

from cowsliprill.capacity import fleet as fleet_lib
from cowsliprill.capacity import linear_fit
from cowsliprill.decisions import engine_subset
from cowsliprill.decisions import fencing

# Assumed values: neither given by the target fleet nor taken from the fits.
ENTRY_PROCESSES_PER_VM = 2
LEASE_RENEWALS_PER_S = 1.0
UPDATE_FAN_OUT = 2
PEER_EXCHANGE_BODY_BYTES = 300
PEER_EXCHANGE_INTERVAL_S = 3.0
VM_LIST_INTERVAL_S = 2.0
WATCH_INTERVAL_S = 5.0
RUNNING_LIST_INTERVAL_S = 60.0
LOAD_REPORT_BYTES = 900
LOAD_REPORT_BYTES_PER_S = 1_000
KV_BYTES_PER_TOKEN = 131_072
FLEET_KV_BYTES_PER_S = 3_900e9
TOKENS_PER_CACHE_BLOCK = 16
CACHE_EVENT_BYTES = 60
DECODE_S_PER_TOKEN = 0.032
POOLS = 3
# The change of the slot messages that docs/CAPACITY.md proposes: fewer
# coordinators per entry process and rarer renewals.
PROPOSED_COORDINATORS = 4
PROPOSED_RENEWAL_INTERVAL_S = 30.0
RUNNING_PER_DEMAND = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlCost:
    """Rate and cost of one control-plane activity on one VM.

    Attributes:
      process: Process type that performs the activity.
      activity: Description, the row's label in the table.
      rate_per_s: Events per second.
      bytes_per_event: Bytes per event, both directions.
      cpu_us_per_event: CPU time per event in microseconds; 0 if not measured.
    """

    process: str
    activity: str
    rate_per_s: float
    bytes_per_event: float
    cpu_us_per_event: float

    @property
    def bytes_per_s(self) -> float:
        """Returns the bytes per second on one VM."""
        return self.rate_per_s * self.bytes_per_event

    @property
    def core_fraction(self) -> float:
        """Returns the CPU time as a fraction of one core."""
        return self.rate_per_s * self.cpu_us_per_event / 1e6


def running_requests_per_vm(fleet: fleet_lib.FleetSize) -> float:
    """Returns the mean number of concurrent response streams through one VM."""
    tokens = fleet.tokens_per_s / fleet.requests_per_s
    return fleet.requests_per_s_per_vm * tokens * DECODE_S_PER_TOKEN


def estimate_costs(
    fits_by_name: Mapping[str, linear_fit.LinearFit], fleet: fleet_lib.FleetSize
) -> list[ControlCost]:
    """Estimates the cost of every control-plane activity on one VM.

    A VM is the client of an exchange as often as the server. Each exchange
    therefore counts once with the CPU time of both ends, and with twice its
    bytes, since one VM sends and the other receives them.

    Args:
      fits_by_name: Measured cost fits by name.
      fleet: Sizes and rates of the fleet.

    Returns:
      One cost per activity.
    """
    return [
        *_slot_costs(fits_by_name, fleet),
        *_coordinator_costs(fits_by_name, fleet),
        *_settings_costs(fits_by_name, fleet),
        *_settings_change_costs(fits_by_name, fleet),
    ]


def _slot_costs(
    fits_by_name: Mapping[str, linear_fit.LinearFit], fleet: fleet_lib.FleetSize
) -> list[ControlCost]:
    engines_per_entry = (
        engine_subset.MAX_PREFILL_ENGINES + engine_subset.MAX_DECODE_ENGINES
    )
    coordinators = fleet.entry_vms * (
        1 - (1 - 1 / fleet.entry_vms) ** engines_per_entry
    )
    bytes_per_running_request = fits_by_name["slots_user_bytes"].slope
    running = running_requests_per_vm(fleet) / ENTRY_PROCESSES_PER_VM
    exchange_bytes = fits_by_name["slots_bytes"]
    exchange_cpu_us = fits_by_name["slots_cpu"]
    demands_per_message = engines_per_entry / coordinators
    current_message_bytes = exchange_bytes.predict(
        demands_per_message
    ) + bytes_per_running_request * (
        running / coordinators - RUNNING_PER_DEMAND * demands_per_message
    )
    proposed_demands_per_message = engines_per_entry / PROPOSED_COORDINATORS
    proposed_message_bytes = (
        exchange_bytes.intercept
        + proposed_demands_per_message
        * (
            exchange_bytes.slope
            - (RUNNING_PER_DEMAND + 1) * bytes_per_running_request
        )
    )
    return [
        ControlCost(
            process="entry+dispatch",
            activity="slot asks, today: one home an engine, each second",
            rate_per_s=coordinators
            * ENTRY_PROCESSES_PER_VM
            * LEASE_RENEWALS_PER_S,
            bytes_per_event=2 * current_message_bytes,
            cpu_us_per_event=exchange_cpu_us.predict(demands_per_message),
        ),
        ControlCost(
            process="entry+dispatch",
            activity=f"slot asks, proposed: {PROPOSED_COORDINATORS} homes, each"
            f" {PROPOSED_RENEWAL_INTERVAL_S:.0f} s, customers only when scarce",
            rate_per_s=PROPOSED_COORDINATORS
            * ENTRY_PROCESSES_PER_VM
            / PROPOSED_RENEWAL_INTERVAL_S,
            bytes_per_event=2 * proposed_message_bytes,
            cpu_us_per_event=exchange_cpu_us.predict(
                proposed_demands_per_message
            ),
        ),
        ControlCost(
            process="entry",
            activity="placement of a request",
            rate_per_s=fleet.requests_per_s_per_vm,
            bytes_per_event=0.0,
            cpu_us_per_event=fits_by_name["request_cpu"].predict(fleet.engines),
        ),
    ]


def _coordinator_costs(
    fits_by_name: Mapping[str, linear_fit.LinearFit], fleet: fleet_lib.FleetSize
) -> list[ControlCost]:
    coordinated_engines = fleet.engines_per_coordinator
    running = running_requests_per_vm(fleet)
    running_list_bytes = fits_by_name["running_bytes"]
    order_bytes = running_list_bytes.intercept + running_list_bytes.slope
    blocks_per_s = (
        FLEET_KV_BYTES_PER_S / KV_BYTES_PER_TOKEN / TOKENS_PER_CACHE_BLOCK
    )
    return [
        ControlCost(
            process="dispatch",
            activity="running lists for the sweep",
            rate_per_s=coordinated_engines / RUNNING_LIST_INTERVAL_S,
            bytes_per_event=running_list_bytes.predict(
                running / coordinated_engines
            ),
            cpu_us_per_event=fits_by_name["running_cpu"].predict(
                running / coordinated_engines
            ),
        ),
        ControlCost(
            process="dispatch",
            activity="judging what runs",
            rate_per_s=1.0,
            bytes_per_event=0.0,
            cpu_us_per_event=fits_by_name["sweep_cpu"].predict(running),
        ),
        ControlCost(
            process="dispatch",
            activity="orders read back",
            rate_per_s=coordinated_engines / fencing.READ_BACK_INTERVAL_S,
            bytes_per_event=order_bytes,
            cpu_us_per_event=fits_by_name["running_cpu"].predict(1),
        ),
        ControlCost(
            process="dispatch",
            activity="load reports, paced",
            rate_per_s=LOAD_REPORT_BYTES_PER_S / LOAD_REPORT_BYTES,
            bytes_per_event=LOAD_REPORT_BYTES,
            cpu_us_per_event=fits_by_name["running_cpu"].predict(1),
        ),
        ControlCost(
            process="dispatch",
            activity="cache events, all of them",
            rate_per_s=blocks_per_s / fleet.entry_vms,
            bytes_per_event=CACHE_EVENT_BYTES,
            cpu_us_per_event=0.0,
        ),
        ControlCost(
            process="dispatch",
            activity="homes after a change of one VM",
            rate_per_s=fleet.vm_list_changes_per_s,
            bytes_per_event=0.0,
            cpu_us_per_event=fits_by_name["homes_change_cpu"].predict(
                fleet.engines
            )
            / 2,
        ),
    ]


def _settings_costs(
    fits_by_name: Mapping[str, linear_fit.LinearFit], fleet: fleet_lib.FleetSize
) -> list[ControlCost]:
    list_bytes = fits_by_name["list_bytes"]
    list_cpu = fits_by_name["list_cpu"]
    exchange_bytes = fits_by_name["peer_bytes"].predict(
        PEER_EXCHANGE_BODY_BYTES
    )
    exchanges_per_s = (
        UPDATE_FAN_OUT * fleet.settings_changes_per_s
        + 1 / PEER_EXCHANGE_INTERVAL_S
    )
    entry_and_engine_vms = fleet.entry_vms + fleet.engines
    return [
        ControlCost(
            process="settings",
            activity="VM list, entry VMs only",
            rate_per_s=1 / VM_LIST_INTERVAL_S,
            bytes_per_event=list_bytes.predict(fleet.entry_vms),
            cpu_us_per_event=list_cpu.predict(fleet.entry_vms),
        ),
        ControlCost(
            process="settings",
            activity="VM list, with a VM an engine",
            rate_per_s=1 / VM_LIST_INTERVAL_S,
            bytes_per_event=list_bytes.predict(entry_and_engine_vms),
            cpu_us_per_event=list_cpu.predict(entry_and_engine_vms),
        ),
        ControlCost(
            process="settings",
            activity="exchanges with peers",
            rate_per_s=exchanges_per_s,
            bytes_per_event=2 * exchange_bytes,
            cpu_us_per_event=fits_by_name["peer_cpu"].predict(
                PEER_EXCHANGE_BODY_BYTES
            ),
        ),
    ]


def _settings_change_costs(
    fits_by_name: Mapping[str, linear_fit.LinearFit], fleet: fleet_lib.FleetSize
) -> list[ControlCost]:
    customer_change_bytes = fits_by_name["change_bytes"].predict(
        fleet.customers
    )
    engine_change_bytes = fits_by_name["engine_change_bytes"].predict(
        fleet.engines / POOLS
    )
    resolve_cpu_us = fits_by_name["change_cpu"].predict(fleet.customers)
    scheduler_cpu_us = (
        fits_by_name["world_cpu"].predict(fleet.engines)
        + fits_by_name["world_users_cpu"].slope * fleet.customers
    )
    return [
        ControlCost(
            process="settings",
            activity="changes of a customer: head and part",
            rate_per_s=fleet.settings_changes_per_s,
            bytes_per_event=customer_change_bytes,
            cpu_us_per_event=resolve_cpu_us,
        ),
        ControlCost(
            process="settings",
            activity="changes of an engine, if 1 of 10 changes is one",
            rate_per_s=fleet.settings_changes_per_s / 10,
            bytes_per_event=engine_change_bytes,
            cpu_us_per_event=0.0,
        ),
        ControlCost(
            process="dispatch",
            activity="changes: resolving them again in this process",
            rate_per_s=fleet.settings_changes_per_s,
            bytes_per_event=0.0,
            cpu_us_per_event=resolve_cpu_us,
        ),
        ControlCost(
            process="entry",
            activity="changes: resolving and scheduler, each entry process",
            rate_per_s=fleet.settings_changes_per_s * ENTRY_PROCESSES_PER_VM,
            bytes_per_event=0.0,
            cpu_us_per_event=resolve_cpu_us + scheduler_cpu_us,
        ),
    ]


def memory_bytes_by_state(
    fits_by_name: Mapping[str, linear_fit.LinearFit], fleet: fleet_lib.FleetSize
) -> dict[str, float]:
    """Estimates the memory of one process, without the Python runtime.

    Args:
      fits_by_name: Measured cost fits by name.
      fleet: Sizes and rates of the fleet.

    Returns:
      Bytes by kind of state.
    """
    bytes_per_customer = fits_by_name["settings_memory_customer"].slope
    bytes_per_engine = fits_by_name["settings_memory_engine"].slope
    entry_processes_per_engine = (
        ENTRY_PROCESSES_PER_VM
        * fleet.entry_vms
        * (engine_subset.MAX_PREFILL_ENGINES + engine_subset.MAX_DECODE_ENGINES)
        / fleet.engines
    )
    bytes_per_ledger = fits_by_name["ledger_memory"].predict(
        entry_processes_per_engine
    )
    return {
        "settings of customers": bytes_per_customer * fleet.customers,
        "settings of engines": bytes_per_engine * fleet.engines,
        "VM list": fits_by_name["list_memory"].predict(fleet.entry_vms),
        "slot ledgers (dispatch)": bytes_per_ledger
        * fleet.engines_per_coordinator,
    }
