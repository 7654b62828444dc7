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
      AVAILABILITY: Endpoints that say that they leave, or want a pause, get no
        requests.
      CONNECTION_SHARES: Limit on each VM's connections to an endpoint.
      DECODE_CONCURRENCY_LIMIT: Limit on an engine's concurrent decodes
        besides the one on its KV cache memory.
      DESIGNATED_READERS: Only a few VMs of each availability zone watch
        the registry's store.
      QUEUE_PAST_TARGET: Requests stay queued past their target while the
        output is still of use, until callers are expected to disconnect.
      ESTIMATED_SPEEDS: Measured engine speeds replace the configured defaults.
      ONE_INCARNATION_PER_ADDRESS: Of several registry entries with one
        address, only the latest incarnation is used.
      LOCAL_PREFILL: Local prefill on decode engines.
      PEER_RELAY: Other VMs serve the requests of one that can't reach
        endpoints.
      PEER_UPDATES: VMs get registry updates from each other.
      QUARANTINE: Requests that end engines are refused.
      RATE_LIMITS: Rate limits that endpoints name are kept.
      ROLE_ORDERS: Engines are switched between prefill and decode.
      OUTLIER_DETECTION: Servers of plain services are ejected by their failure
        rate compared with that of their peers.
      STREAM_VERSIONS: Streams go on only at the software version that began
        them.
      SIZE_VALUE: Larger requests of a service count as more valuable.
    """

    AVAILABILITY = "availability"
    CONNECTION_SHARES = "connection_shares"
    DECODE_CONCURRENCY_LIMIT = "decode_places"
    DESIGNATED_READERS = "few_readers"
    QUEUE_PAST_TARGET = "late_queue"
    ESTIMATED_SPEEDS = "learnt_speeds"
    ONE_INCARNATION_PER_ADDRESS = "one_life_an_address"
    LOCAL_PREFILL = "own_reading"
    PEER_RELAY = "peer_relay"
    PEER_UPDATES = "peer_news"
    QUARANTINE = "quarantine"
    RATE_LIMITS = "rate_limits"
    ROLE_ORDERS = "role_orders"
    OUTLIER_DETECTION = "server_comparison"
    SIZE_VALUE = "size_worth"
    STREAM_VERSIONS = "stream_versions"


DisabledMechanisms = Collection[Mechanism]


# Field values of endpoints and services that disable a mechanism.
_ENDPOINT_OVERRIDES = {
    Mechanism.CONNECTION_SHARES: {"connections_max": 0},
    Mechanism.DECODE_CONCURRENCY_LIMIT: {"places": 0},
    Mechanism.ESTIMATED_SPEEDS: {"speeds_guessed": False},
    Mechanism.LOCAL_PREFILL: {"own_prefill_tokens_per_s": 0.0},
    Mechanism.STREAM_VERSIONS: {"software_version": ""},
}
_SERVICE_OVERRIDES = {
    Mechanism.QUEUE_PAST_TARGET: {"patience_s": 0.0},
    Mechanism.SIZE_VALUE: {"worth_by_size": 0.0},
}


def endpoint(
    original: model.Endpoint, disabled: DisabledMechanisms
) -> model.Endpoint:
    """Returns an endpoint with the fields of disabled mechanisms cleared.

    Args:
      original: The endpoint.
      disabled: Mechanisms that are disabled.
    """
    overrides = _overrides(_ENDPOINT_OVERRIDES, disabled)
    return dataclasses.replace(original, **overrides) if overrides else original


def services(
    originals_by_id: dict[str, model.Service], disabled: DisabledMechanisms
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
    disabled: DisabledMechanisms,
) -> dict[str, Any]:
    return {
        name: value
        for mechanism in disabled
        for name, value in overrides_by_mechanism.get(mechanism, {}).items()
    }
