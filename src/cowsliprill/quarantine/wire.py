"""Messages by which processes exchange crash records."""

import dataclasses
from typing import Annotated

import pydantic

from cowsliprill.decisions import crash_records
from cowsliprill.decisions import request_fingerprint

# Bound of what is accepted from a peer.
_MAX_RECORDS = 1_024

_Fingerprint = Annotated[
    str, pydantic.Field(pattern=request_fingerprint.PATTERN)
]
_Fingerprints = Annotated[
    tuple[_Fingerprint, ...],
    pydantic.Field(max_length=crash_records.MAX_SUSPECTS),
]
_Parts = Annotated[
    tuple[_Fingerprint, ...],
    pydantic.Field(max_length=crash_records.MAX_PARTS),
]
_Age = Annotated[float, pydantic.Field(ge=0.0, allow_inf_nan=False)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WireCrash:
    """Wire format of `crash_records.CrashRecord`.

    Attributes:
      endpoint_id: Id of the engine that ended.
      number: Distinguishes ends of engines that start again under their id.
      life: Life of the engine.
      pool: Pool of the engine.
      version: Its software version, empty if unknown.
      suspects: Fingerprints of the suspects, and how long before the end each
        was sent, in seconds.
      acquitted: Fingerprints of the suspects that were cleared.
      parts: Digests of the parts of a suspect's prompt that may be the cause,
        by its fingerprint.
      acquitted_parts: Digests of parts that were cleared.
      confirmed: Whether the engine is known to have ended.
      control: See `crash_records.CrashRecord`.
      age_s: Time since the first report in seconds.
    """

    endpoint_id: str
    number: Annotated[int, pydantic.Field(ge=0)]
    life: str = ""
    pool: str = ""
    version: str = ""
    suspects: Annotated[
        tuple[tuple[_Fingerprint, _Age], ...],
        pydantic.Field(max_length=crash_records.MAX_SUSPECTS),
    ] = ()
    acquitted: _Fingerprints = ()
    parts: Annotated[
        dict[_Fingerprint, _Parts],
        pydantic.Field(max_length=crash_records.MAX_SUSPECTS),
    ] = dataclasses.field(default_factory=dict)
    acquitted_parts: Annotated[
        tuple[_Fingerprint, ...],
        pydantic.Field(max_length=crash_records.MAX_ACQUITTED_PARTS),
    ] = ()
    confirmed: bool = False
    control: crash_records.Control = crash_records.Control.NONE
    age_s: _Age = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CrashExchange:
    """Request and response of the exchange.

    Attributes:
      crashes: Records that the receiver may lack.
      digest: Digest of the sender's records; in a request, asks for the
        receiver's records if they differ. Empty for none.
    """

    crashes: Annotated[
        tuple[WireCrash, ...], pydantic.Field(max_length=_MAX_RECORDS)
    ] = ()
    digest: str = ""


def to_wire(record: crash_records.CrashRecord, now: float) -> WireCrash:
    """Converts a record to its wire format.

    Args:
      record: The record.
      now: Current time in seconds.
    """
    return WireCrash(
        endpoint_id=record.endpoint_id,
        number=record.number,
        life=record.life,
        pool=record.pool,
        version=record.version,
        suspects=tuple(sorted(record.sent_before_s.items())),
        acquitted=tuple(sorted(record.acquitted)),
        parts={
            fingerprint: tuple(sorted(parts))
            for fingerprint, parts in sorted(
                record.parts_by_fingerprint.items()
            )
        },
        acquitted_parts=tuple(sorted(record.acquitted_parts)),
        confirmed=record.confirmed,
        control=record.control,
        age_s=round(max(now - record.observed_at, 0.0), 6),
    )


def from_wire(crash: WireCrash, now: float) -> crash_records.CrashRecord:
    """Converts a record from its wire format.

    Args:
      crash: The record as received.
      now: Current time in seconds.
    """
    return crash_records.CrashRecord(
        endpoint_id=crash.endpoint_id,
        number=crash.number,
        life=crash.life,
        pool=crash.pool,
        version=crash.version,
        sent_before_s=dict(crash.suspects),
        acquitted=frozenset(crash.acquitted),
        parts_by_fingerprint={
            fingerprint: frozenset(parts)
            for fingerprint, parts in crash.parts.items()
        },
        acquitted_parts=frozenset(crash.acquitted_parts),
        confirmed=crash.confirmed,
        control=crash.control,
        observed_at=now - crash.age_s,
    )
