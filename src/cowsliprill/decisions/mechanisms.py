"""Switches that disable parts of the routing decisions for ablation studies.

The value of a mechanism is the goodput lost without it. All are enabled by
default. Most are disabled by clearing the endpoint or service fields that they
depend on, so that the decision code needs no switches.
"""

import dataclasses
import enum
from collections.abc import Collection
from collections.abc import Mapping
from typing import Any

from cowsliprill.decisions import model


class Mechanism(enum.StrEnum):
    """A part of the routing decisions that can be disabled.

    Attributes:
      CONNECTION_SHARES: Limit on each VM's connections to an endpoint.
      DECODE_PLACES: Limit on an engine's concurrent decodes
        besides the one on its KV cache memory.
      FEW_READERS: Only a few VMs of each availability zone watch
        the registry's store.
      LATE_QUEUE: Requests stay queued past their target while the
        output is still of use, until callers are expected to disconnect.
      LEARNT_SPEEDS: Measured engine speeds replace the configured defaults.
      ONE_LIFE_AN_ADDRESS: Of several registry entries with one
        address, only the latest incarnation is used.
      OWN_READING: Local prefill on decode engines.
      PEER_NEWS: VMs get registry updates from each other.
      ROLE_ORDERS: Engines are switched between prefill and decode.
      SERVER_COMPARISON: Servers of plain services are ejected by their failure
        rate compared with that of their peers.
      SIZE_WORTH: Larger requests of a service count as more valuable.
    """

    CONNECTION_SHARES = "connection_shares"
    DECODE_PLACES = "decode_places"
    FEW_READERS = "few_readers"
    LATE_QUEUE = "late_queue"
    LEARNT_SPEEDS = "learnt_speeds"
    ONE_LIFE_AN_ADDRESS = "one_life_an_address"
    OWN_READING = "own_reading"
    PEER_NEWS = "peer_news"
    ROLE_ORDERS = "role_orders"
    SERVER_COMPARISON = "server_comparison"
    SIZE_WORTH = "size_worth"


Off = Collection[Mechanism]


# Field values of endpoints and services that disable a mechanism.
_ENDPOINT_OVERRIDES = {
    Mechanism.CONNECTION_SHARES: {"connections_max": 0},
    Mechanism.DECODE_PLACES: {"places": 0},
    Mechanism.LEARNT_SPEEDS: {"speeds_guessed": False},
    Mechanism.OWN_READING: {"own_prefill_tokens_per_s": 0.0},
}
_SERVICE_OVERRIDES = {
    Mechanism.LATE_QUEUE: {"patience_s": 0.0},
    Mechanism.SIZE_WORTH: {"worth_by_size": 0.0},
}


def endpoint(original: model.Endpoint, disabled: Off) -> model.Endpoint:
    """Returns an endpoint with the fields of disabled mechanisms cleared.

    Args:
      original: The endpoint.
      disabled: Mechanisms that are disabled.
    """
    overrides = _overrides(_ENDPOINT_OVERRIDES, disabled)
    return dataclasses.replace(original, **overrides) if overrides else original


def services(
    originals_by_id: dict[str, model.Service], disabled: Off
) -> dict[str, model.Service]:
    """Returns services with the fields of disabled mechanisms cleared.

    Args:
      originals_by_id: The services, possibly tens of thousands. The same dict
        is returned if there is nothing to clear.
      disabled: Mechanisms that are disabled.
    """
    overrides = _overrides(_SERVICE_OVERRIDES, disabled)
    if not overrides:
        return originals_by_id
    return {
        name: dataclasses.replace(service, **overrides)
        for name, service in originals_by_id.items()
    }


def _overrides(
    overrides_by_mechanism: Mapping[Mechanism, Mapping[str, Any]],
    disabled: Off,
) -> dict[str, Any]:
    return {
        name: value
        for mechanism in disabled
        for name, value in overrides_by_mechanism.get(mechanism, {}).items()
    }
