"""Parts of the decisions that can be switched off for an experiment. Pure.

What a mechanism is worth is what is lost without it. All are on by default.
Most are switched off by what the decisions are told of endpoints and services,
so that the decisions themselves need no switches.
"""

import dataclasses
import enum
from collections.abc import Collection

from cowsliprill.decisions import model


class Mechanism(enum.StrEnum):
    """One part of the decisions."""

    CONNECTION_SHARES = "connection_shares"
    DECODE_PLACES = "decode_places"
    LATE_QUEUE = "late_queue"
    LEARNT_SPEEDS = "learnt_speeds"
    ONE_LIFE_AN_ADDRESS = "one_life_an_address"
    OWN_READING = "own_reading"
    PEER_NEWS = "peer_news"
    ROLE_ORDERS = "role_orders"
    SERVER_COMPARISON = "server_comparison"
    SIZE_WORTH = "size_worth"


Off = Collection[Mechanism]


def endpoint(known: model.Endpoint, off: Off) -> model.Endpoint:
    """Returns an endpoint as it is told to decisions without some mechanisms.

    Args:
      known: The endpoint.
      off: Mechanisms that are switched off.
    """
    changes: dict[str, float] = {}
    if Mechanism.CONNECTION_SHARES in off:
        changes["connections_max"] = 0
    if Mechanism.DECODE_PLACES in off:
        changes["places"] = 0
    if Mechanism.LEARNT_SPEEDS in off:
        changes["speeds_guessed"] = False
    if Mechanism.OWN_READING in off:
        changes["own_prefill_tokens_per_s"] = 0.0
    return dataclasses.replace(known, **changes) if changes else known


def service(known: model.Service, off: Off) -> model.Service:
    """Returns a service as it is told to decisions without some mechanisms.

    Args:
      known: The service.
      off: Mechanisms that are switched off.
    """
    changes: dict[str, float] = {}
    if Mechanism.LATE_QUEUE in off:
        changes["patience_s"] = 0.0
    if Mechanism.SIZE_WORTH in off:
        changes["worth_by_size"] = 0.0
    return dataclasses.replace(known, **changes) if changes else known
