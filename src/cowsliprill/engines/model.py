"""Data classes for engine responses: prefill results, load, cache events."""

import dataclasses
import enum

from cowsliprill.decisions import model


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KvTransferParams:
    """Address from which a decode engine fetches the KV cache of a prefill.

    Attributes:
      remote_engine_id: Id of the prefill engine.
      remote_host: IP address of the prefill engine.
      remote_port: TCP port of the prefill engine.
      remote_handle: Handle of the exported KV cache on that engine.
    """

    remote_engine_id: str
    remote_host: str
    remote_port: int
    remote_handle: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PrefillResult:
    """Result of a finished prefill whose exported KV cache can be fetched.

    Attributes:
      params: Address of the exported KV cache.
      prompt_tokens: Number of prompt tokens, as counted by the engine.
    """

    params: KvTransferParams
    prompt_tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunningRequest:
    """A request for which an engine holds memory.

    Attributes:
      request_id: Attempt id as text.
      stage: Processing stage, as named by the engine.
      age_s: Seconds since the engine received the request.
    """

    request_id: str
    stage: str = ""
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load reported by an engine; the values may be out of date.

    Attributes:
      running: Number of requests that hold a slot.
      waiting: Number of requests in the engine's own queue.
      kv_usage: Fraction of the KV cache memory in use, from 0 to 1.
      slots: Total number of slots of the engine.
    """

    running: int
    waiting: int
    kv_usage: float
    slots: int


class CacheEventKind(enum.StrEnum):
    """Kind of change to a block of the prefix cache."""

    STORED = "stored"
    REMOVED = "removed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """One change to the prefix cache of an engine.

    Attributes:
      seq: Sequence number, starting at 1 when the engine starts.
      kind: Whether the block was stored or removed.
      block: Hash of the block and all preceding blocks.
    """

    seq: int
    kind: CacheEventKind
    block: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvents:
    """Cache events after a given sequence number.

    Attributes:
      events: The events, ordered by `seq`.
      last_seq: Sequence number to pass as `after` in the next request.
      gap: Whether events are missing before or between these. A view built
        from them may then contain blocks that are no longer cached.
    """

    events: tuple[CacheEvent, ...]
    last_seq: int
    gap: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineOrder:
    """The role and model order that is in force at an engine.

    Attributes:
      fencing: Fencing token of the order, 0 before the first order.
      target: Role and model that the engine has.
    """

    fencing: int
    target: model.EngineTarget
