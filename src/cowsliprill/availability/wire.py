"""Messages by which processes tell each other which endpoints leave."""

import dataclasses
from typing import Annotated

import pydantic

from cowsliprill.decisions import leaving_endpoints

_Age = Annotated[float, pydantic.Field(ge=0.0, allow_inf_nan=False)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WireLeaving:
    """Wire format of `leaving_endpoints.LeavingEndpoint`.

    Attributes:
      endpoint_id: Id of the endpoint.
      life: Life of the endpoint.
      age_s: Time since it said so, in seconds.
    """

    endpoint_id: str
    life: str = ""
    age_s: _Age = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeavingExchange:
    """Request and response of the exchange.

    Attributes:
      leaving: Records that the receiver may lack.
      digest: Digest of the sender's records; in a request, asks for the
        receiver's records if they differ. Empty for none.
    """

    leaving: Annotated[
        tuple[WireLeaving, ...],
        pydantic.Field(max_length=leaving_endpoints.MAX_RECORDS),
    ] = ()
    digest: str = ""


def to_wire(
    record: leaving_endpoints.LeavingEndpoint, now: float
) -> WireLeaving:
    """Converts a record to its wire format.

    Args:
      record: The record.
      now: Current time in seconds.
    """
    return WireLeaving(
        endpoint_id=record.endpoint_id,
        life=record.life,
        age_s=round(max(now - record.said_at, 0.0), 3),
    )


def from_wire(
    record: WireLeaving, now: float
) -> leaving_endpoints.LeavingEndpoint:
    """Converts a record from its wire format.

    Args:
      record: The record as received.
      now: Current time in seconds.
    """
    return leaving_endpoints.LeavingEndpoint(
        endpoint_id=record.endpoint_id,
        life=record.life,
        said_at=now - record.age_s,
    )
