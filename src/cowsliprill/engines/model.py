"""What engines say, as data classes."""

import dataclasses
import enum

from cowsliprill.decisions import model


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KvTransferParams:
    """Where a decode engine finds a prefill's KV cache.

    Attributes:
      remote_engine_id: Id of the prefill engine.
      remote_host: Its IP number.
      remote_port: Its TCP port.
      remote_handle: The export's handle there.
    """

    remote_engine_id: str
    remote_host: str
    remote_port: int
    remote_handle: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PrefillResult:
    """A finished prefill; its KV cache waits to be fetched.

    Attributes:
      params: Where the KV cache is.
      prompt_tokens: Tokens of the prompt, as counted by the engine.
    """

    params: KvTransferParams
    prompt_tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunningRequest:
    """A request that an engine holds memory for.

    Attributes:
      request_id: Text of the attempt id.
      stage: The engine's word for its stage.
      age_s: Seconds since it came.
    """

    request_id: str
    stage: str = ""
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """An engine's load, which lags.

    Attributes:
      running: Requests that hold a slot.
      waiting: Requests in the engine's own queue.
      kv_usage: Part of the KV cache's memory in use, from 0 to 1.
      slots: Slots it has.
    """

    running: int
    waiting: int
    kv_usage: float
    slots: int


class CacheEventKind(enum.StrEnum):
    """What became of a block of the prefix cache."""

    STORED = "stored"
    REMOVED = "removed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """One change of an engine's prefix cache.

    Attributes:
      seq: Counts from 1 at the engine's start.
      kind: What became of the block.
      block: Hash of the block and all before it.
    """

    seq: int
    kind: CacheEventKind
    block: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvents:
    """Cache events after a number.

    Attributes:
      events: In order of `seq`.
      last_seq: What to ask after next time.
      gap: Whether events are missing before or among these, so that a view
        built from them may hold blocks which are no longer cached.
    """

    events: tuple[CacheEvent, ...]
    last_seq: int
    gap: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineOrder:
    """What an engine was ordered to be.

    Attributes:
      fencing: The order's fencing number, 0 before the first order.
      target: What the engine is.
    """

    fencing: int
    target: model.EngineTarget
