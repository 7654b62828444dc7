"""Parts of the decisions that can be switched off for an experiment. Pure.

What a mechanism is worth is what is lost without it. All are on by default.
Most are switched off by what the decisions are told of endpoints and services,
so that the decisions themselves need no switches.
"""

import dataclasses
import enum
from collections.abc import Collection
from collections.abc import Mapping
from typing import Any

from cowsliprill.decisions import model


class Mechanism(enum.StrEnum):
    """One part of the decisions."""

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


# What decisions are told of an endpoint, or of a service, without a mechanism.
_ENDPOINT_CHANGES = {
    Mechanism.CONNECTION_SHARES: {"connections_max": 0},
    Mechanism.DECODE_PLACES: {"places": 0},
    Mechanism.LEARNT_SPEEDS: {"speeds_guessed": False},
    Mechanism.OWN_READING: {"own_prefill_tokens_per_s": 0.0},
}
_SERVICE_CHANGES = {
    Mechanism.LATE_QUEUE: {"patience_s": 0.0},
    Mechanism.SIZE_WORTH: {"worth_by_size": 0.0},
}


def endpoint(known: model.Endpoint, off: Off) -> model.Endpoint:
    """Returns an endpoint as it is told to decisions without some mechanisms.

    Args:
      known: The endpoint.
      off: Mechanisms that are switched off.
    """
    changes = _changes(_ENDPOINT_CHANGES, off)
    return dataclasses.replace(known, **changes) if changes else known


def services(
    known_by_id: dict[str, model.Service], off: Off
) -> dict[str, model.Service]:
    """Returns services as they are told to decisions without some mechanisms.

    Args:
      known_by_id: The services. There may be tens of thousands: they are the
        very same where nothing is switched off.
      off: Mechanisms that are switched off.
    """
    changes = _changes(_SERVICE_CHANGES, off)
    if not changes:
        return known_by_id
    return {
        name: dataclasses.replace(service, **changes)
        for name, service in known_by_id.items()
    }


def _changes(
    changes_by_mechanism: Mapping[Mechanism, Mapping[str, Any]], off: Off
) -> dict[str, Any]:
    return {
        name: value
        for mechanism in off
        for name, value in changes_by_mechanism.get(mechanism, {}).items()
    }
