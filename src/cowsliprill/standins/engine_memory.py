"""State of a fake engine: slots, KV blocks, prefix cache and request log."""

import asyncio
import collections
import dataclasses
import enum
import time

from cowsliprill.engines import model
from cowsliprill.engines import prompt_blocks

_CANCELLATION_TTL_S = 60.0
_MAX_CACHE_EVENTS = 10_000


class RequestStage(enum.StrEnum):
    """Stage of a request at one engine."""

    PREFILL = "prefill"
    EXPORTED = "exported"
    TRANSFER = "transfer"
    DECODE = "decode"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    EVICTED = "evicted"
    FAILED = "failed"


_STAGES_WITH_SLOT = frozenset(
    {RequestStage.PREFILL, RequestStage.TRANSFER, RequestStage.DECODE}
)
_STAGES_WITH_KV_BLOCKS = _STAGES_WITH_SLOT | {RequestStage.EXPORTED}


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """State of a request at one engine.

    Attributes:
      request_id: The attempt id as text.
      stage: Current stage.
      blocks: Number of KV blocks, held while the stage holds any.
      arrived_at: Time of arrival in seconds, on the monotonic clock.
      executions: Number of times that requests with this id were admitted.
      prompt: Text of the prompt.
      prompt_tokens: Number of tokens of the prompt.
      events: The generated events, one for each output token.
      changed: Notified when an event is added or the stage changes.
    """

    request_id: str
    stage: RequestStage
    blocks: int
    arrived_at: float
    executions: int = 0
    prompt: str = ""
    prompt_tokens: int = 0
    events: list[bytes] = dataclasses.field(default_factory=list)
    changed: asyncio.Condition = dataclasses.field(
        default_factory=asyncio.Condition
    )

    @property
    def holds_slot(self) -> bool:
        """Whether the request occupies a slot of the batch."""
        return self.stage in _STAGES_WITH_SLOT

    @property
    def holds_kv_blocks(self) -> bool:
        """Whether the request holds KV blocks."""
        return self.stage in _STAGES_WITH_KV_BLOCKS

    async def set_stage(self, stage: RequestStage) -> None:
        """Changes the stage and notifies the waiters."""
        async with self.changed:
            self.stage = stage
            self.changed.notify_all()

    async def wait_for_events(self, count: int) -> None:
        """Waits for more than `count` events or for the end of the request."""
        async with self.changed:
            await self.changed.wait_for(
                lambda: len(self.events) > count or not self.holds_kv_blocks
            )

    async def wait_until_left(self, stage: RequestStage) -> None:
        """Waits until the request has left `stage`."""
        async with self.changed:
            await self.changed.wait_for(lambda: self.stage is not stage)

    async def add_event(self, event: bytes) -> None:
        """Appends the event of a generated token and notifies the waiters."""
        async with self.changed:
            self.events.append(event)
            self.changed.notify_all()


class EngineState:
    """Slots, KV blocks, prefix cache and request log of a fake engine.

    Args:
      slots: Number of slots of the batch.
      blocks: Number of KV blocks.
      cache_blocks: Capacity of the prefix cache in blocks.

    Attributes:
      slots: Number of slots of the batch.
      blocks: Number of KV blocks.
      requests_by_id: The latest request of every request id, as request log.
    """

    def __init__(self, slots: int, blocks: int, cache_blocks: int) -> None:
        self.slots = slots
        self.blocks = blocks
        self.requests_by_id: dict[str, Request] = {}
        self._active: list[Request] = []
        self._cancellation_expiry_by_id: dict[str, float] = {}
        self._cache_capacity = cache_blocks
        self._cached_blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._cache_events: collections.deque[
            tuple[float, model.CacheEvent]
        ] = collections.deque(maxlen=_MAX_CACHE_EVENTS)
        self._last_seq = 0

    def active_requests(self) -> list[Request]:
        """Returns the requests that hold KV blocks."""
        self._active = [
            request for request in self._active if request.holds_kv_blocks
        ]
        return self._active

    def used_slots(self) -> int:
        """Returns the number of occupied slots of the batch."""
        return sum(request.holds_slot for request in self.active_requests())

    def used_blocks(self) -> int:
        """Returns the number of KV blocks in use."""
        return sum(request.blocks for request in self.active_requests())

    def admit(
        self, request_id: str, prompt: str, tokens: int, stage: RequestStage
    ) -> Request | None:
        """Admits a request and allocates its slot and KV blocks.

        Args:
          request_id: The attempt id as text.
          prompt: Text of the prompt.
          tokens: Number of tokens to allocate KV blocks for.
          stage: Initial stage.

        Returns:
          The request, or None without a free slot or enough free KV blocks.
        """
        blocks = -(-tokens // prompt_blocks.BLOCK_TOKENS)
        if self.used_slots() >= self.slots:
            return None
        if self.used_blocks() + blocks > self.blocks:
            return None
        request = Request(
            request_id=request_id,
            stage=stage,
            blocks=blocks,
            arrived_at=time.monotonic(),
            prompt=prompt,
        )
        earlier = self.requests_by_id.get(request_id)
        request.executions = 1 + (earlier.executions if earlier else 0)
        self.requests_by_id[request_id] = request
        self._active.append(request)
        return request

    async def cancel(self, request_id: str) -> None:
        """Cancels a request, also one that arrives after its cancellation.

        Args:
          request_id: The attempt id as text.
        """
        expires_at = time.monotonic() + _CANCELLATION_TTL_S
        self._cancellation_expiry_by_id[request_id] = expires_at
        request = self.requests_by_id.get(request_id)
        if request is not None and request.holds_kv_blocks:
            await request.set_stage(RequestStage.CANCELLED)

    def is_cancelled(self, request_id: str) -> bool:
        """Whether the request was cancelled before it arrived."""
        expires_at = self._cancellation_expiry_by_id.get(request_id, 0.0)
        return expires_at > time.monotonic()

    def count_cached(self, hashes: tuple[int, ...]) -> int:
        """Returns the number of leading blocks that are in the prefix cache.

        The blocks found become the most recently used ones.
        """
        count = 0
        for block_hash in hashes:
            if block_hash not in self._cached_blocks:
                break
            self._cached_blocks.move_to_end(block_hash)
            count += 1
        return count

    def cache_prompt(self, hashes: tuple[int, ...]) -> None:
        """Adds a prompt's blocks to the prefix cache and evicts by LRU."""
        for block_hash in hashes:
            if block_hash not in self._cached_blocks:
                self._record_cache_event(
                    model.CacheEventKind.STORED, block_hash
                )
            self._cached_blocks[block_hash] = None
            self._cached_blocks.move_to_end(block_hash)
        while len(self._cached_blocks) > self._cache_capacity:
            block_hash, _ = self._cached_blocks.popitem(last=False)
            self._record_cache_event(model.CacheEventKind.REMOVED, block_hash)

    def cache_events(
        self, after_seq: int, lag_s: float, drop_every: int
    ) -> list[model.CacheEvent]:
        """Returns the published cache events.

        Args:
          after_seq: Sequence number of the last event that the client has.
          lag_s: Age in seconds from which an event is published.
          drop_every: One in so many events is lost, 0 for none.

        Returns:
          The events in order of their sequence numbers.
        """
        published_before = time.monotonic() - lag_s
        return [
            event
            for recorded_at, event in self._cache_events
            if event.seq > after_seq
            and recorded_at <= published_before
            and not (drop_every and event.seq % drop_every == 0)
        ]

    def _record_cache_event(
        self, kind: model.CacheEventKind, block_hash: int
    ) -> None:
        self._last_seq += 1
        event = model.CacheEvent(
            seq=self._last_seq, kind=kind, block=block_hash
        )
        self._cache_events.append((time.monotonic(), event))
