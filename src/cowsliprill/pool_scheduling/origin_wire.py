"""Messages by which VMs exchange the origins of streams."""

import dataclasses
import math

from cowsliprill.decisions import stream_origins
from cowsliprill.decisions import version_history


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OriginMessage:
    """Body of `POST /v1/stream_origins`.

    Attributes:
      pool: Name of the pool.
      begun: Streams that begin.
      completed: Keys of streams that are complete.
      asks: Whether the sender needs what the receiver knows.
    """

    pool: str
    begun: tuple[stream_origins.Origin, ...] = ()
    completed: tuple[str, ...] = ()
    asks: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OriginAnswer:
    """Response to `POST /v1/stream_origins`.

    Attributes:
      begun: Streams that the receiver knows of, if it was asked.
      only_version: Only version of the listed engines, None if there are
        several or the receiver wasn't asked.
      only_version_s: For how long it has been the only one, in seconds.
      always: Whether it has always been the only one.
      replaced_other: Whether another one is known to have been listed before.
      confirmed: Whether the receiver's list of endpoints was complete at a
        moment after it was asked. If not, `only_version` may be outdated.
    """

    begun: tuple[stream_origins.Origin, ...] = ()
    only_version: str | None = None
    only_version_s: float = 0.0
    always: bool = False
    replaced_other: bool = False
    confirmed: bool = False


def only_version_to_wire(
    only: version_history.OnlyVersion | None, now: float
) -> OriginAnswer:
    """Returns an answer with what is known for sure of a pool's only version.

    Times are relative, because the clocks of two VMs have different origins.

    Args:
      only: The only version, None if there are several.
      now: Current time in seconds.
    """
    if only is None:
        return OriginAnswer(confirmed=True)
    always = math.isinf(only.since)
    return OriginAnswer(
        only_version=only.version,
        only_version_s=0.0 if always else now - only.since,
        always=always,
        replaced_other=only.replaced_other,
        confirmed=True,
    )


def only_version_from_wire(
    answer: OriginAnswer, now: float
) -> version_history.OnlyVersion | None:
    """Returns the only version that an answer names, None if it names none.

    Args:
      answer: The answer.
      now: Current time in seconds.
    """
    if answer.only_version is None or not answer.confirmed:
        return None
    return version_history.OnlyVersion(
        version=answer.only_version,
        since=-math.inf if answer.always else now - answer.only_version_s,
        replaced_other=answer.replaced_other,
    )
