"""Messages by which VMs exchange the origins of streams."""

import dataclasses

from cowsliprill.decisions import stream_origins


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
    """

    begun: tuple[stream_origins.Origin, ...] = ()
    only_version: str | None = None
    only_version_s: float = 0.0
    always: bool = False
