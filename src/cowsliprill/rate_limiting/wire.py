"""Messages by which processes share the rate limits of endpoints."""

import dataclasses
from typing import Annotated

import pydantic

from cowsliprill.decisions import rate_limits

# Bounds of what is accepted from a peer.
_MAX_ENDPOINTS = 1_024
MAX_WAIT_S = 60.0

_Age = Annotated[float, pydantic.Field(ge=0.0, allow_inf_nan=False)]
_Rate = Annotated[float, pydantic.Field(ge=0.0, lt=1e9, allow_inf_nan=False)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WireLimit:
    """Wire format of `rate_limits.RateLimit`.

    Attributes:
      endpoint_id: Id of the endpoint.
      life: Life of the endpoint.
      version: Number of the change.
      per_s: Requests a second, as last named.
      active: Whether the limit holds.
      age_s: Time since the change in seconds.
    """

    endpoint_id: str
    life: str = ""
    version: Annotated[int, pydantic.Field(ge=1)]
    per_s: _Rate
    active: bool = True
    age_s: _Age = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitExchange:
    """Request and response of the exchange.

    Attributes:
      limits: Records that the receiver may lack.
      digest: Digest of the sender's records; in a request, asks for the
        receiver's records if they differ. Empty for none.
    """

    limits: Annotated[
        tuple[WireLimit, ...],
        pydantic.Field(max_length=rate_limits.MAX_RECORDS),
    ] = ()
    digest: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PermitCall:
    """Asks a pool's coordinator for a permit to send one request.

    Attributes:
      requester: Id of the process that asks.
      pool: Pool of the endpoints.
      endpoint_ids: Endpoints to any of which the request may be sent.
      priority: Priority of the request; higher is more urgent.
      customer: Id of its customer.
      max_wait_s: Time for which the request can wait, in seconds.
      digest: Digest of the limits known to the sender.
      limits: Limits of the endpoints, after the receiver has asked for them.
    """

    requester: str
    pool: str
    endpoint_ids: Annotated[
        tuple[str, ...], pydantic.Field(min_length=1, max_length=_MAX_ENDPOINTS)
    ]
    priority: int = 0
    customer: str = ""
    max_wait_s: Annotated[
        float, pydantic.Field(ge=0.0, le=MAX_WAIT_S, allow_inf_nan=False)
    ] = 0.0
    digest: str = ""
    limits: Annotated[
        tuple[WireLimit, ...], pydantic.Field(max_length=_MAX_ENDPOINTS)
    ] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PermitAnswer:
    """The coordinator's answer to a `PermitCall`.

    Attributes:
      endpoint_id: Endpoint to send the request to, empty if it is denied.
      needs_limits: Whether the coordinator knows other limits than the sender
        and decides only on a call that names the limits of its endpoints.
      wait_s: Expected wait for a permit in seconds.
      interval_s: Mean time between the permits that each process can get.
      quiet_s: Time in seconds for which the process shall not ask again for
        requests that aren't more urgent.
    """

    endpoint_id: str = ""
    needs_limits: bool = False
    wait_s: float = 0.0
    interval_s: float = 0.0
    quiet_s: float = 0.0


def to_wire(limit: rate_limits.RateLimit, now: float) -> WireLimit:
    """Converts a record to its wire format.

    Args:
      limit: The record.
      now: Current time in seconds.
    """
    return WireLimit(
        endpoint_id=limit.endpoint_id,
        life=limit.life,
        version=limit.version,
        per_s=limit.per_s,
        active=limit.active,
        age_s=round(max(now - limit.changed_at, 0.0), 3),
    )


def from_wire(limit: WireLimit, now: float) -> rate_limits.RateLimit:
    """Converts a record from its wire format.

    Args:
      limit: The record as received.
      now: Current time in seconds.
    """
    return rate_limits.RateLimit(
        endpoint_id=limit.endpoint_id,
        life=limit.life,
        version=limit.version,
        per_s=limit.per_s,
        active=limit.active,
        changed_at=now - limit.age_s,
        received_at=now,
    )
