"""What an engine's stand-in holds and has done: slots, KV cache, journal."""

import asyncio
import collections
import dataclasses
import enum
import time

from cowsliprill.engines import model
from cowsliprill.engines import prompt_blocks

_CANCEL_MEMORY_S = 60.0
_MAX_CACHE_EVENTS = 10_000


class RequestStage(enum.StrEnum):
    """Where a request is at this engine."""

    PREFILL = "prefill"
    EXPORTED = "exported"
    TRANSFER = "transfer"
    DECODE = "decode"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    EVICTED = "evicted"
    FAILED = "failed"


_HOLDS_SLOT = frozenset(
    {RequestStage.PREFILL, RequestStage.TRANSFER, RequestStage.DECODE}
)
_HOLDS_MEMORY = _HOLDS_SLOT | {RequestStage.EXPORTED}


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A request as this engine knows it.

    Attributes:
      request_id: Text of the attempt id.
      stage: Where it is.
      blocks: KV blocks that it holds while its stage holds memory.
      came_at: When it came, on the monotonic clock.
      runs: How often it was run.
      text: The prompt.
      prompt_tokens: Tokens of the prompt.
      events: What was generated, one event a token.
      grown: Notified when events were added or the stage changed.
    """

    request_id: str
    stage: RequestStage
    blocks: int
    came_at: float
    runs: int = 0
    text: str = ""
    prompt_tokens: int = 0
    events: list[bytes] = dataclasses.field(default_factory=list)
    grown: asyncio.Condition = dataclasses.field(
        default_factory=asyncio.Condition
    )

    @property
    def holds_slot(self) -> bool:
        """Whether it takes a place in the batch."""
        return self.stage in _HOLDS_SLOT

    @property
    def holds_memory(self) -> bool:
        """Whether it holds KV blocks."""
        return self.stage in _HOLDS_MEMORY

    async def move(self, stage: RequestStage) -> None:
        """Changes the stage and tells those who wait for it."""
        async with self.grown:
            self.stage = stage
            self.grown.notify_all()

    async def grown_beyond(self, count: int) -> None:
        """Waits for more than so many events, or for the request's end."""
        async with self.grown:
            await self.grown.wait_for(
                lambda: len(self.events) > count or not self.holds_memory
            )

    async def left(self, stage: RequestStage) -> None:
        """Waits until the request isn't in a stage any more."""
        async with self.grown:
            await self.grown.wait_for(lambda: self.stage is not stage)

    async def add(self, event: bytes) -> None:
        """Adds a generated token's event."""
        async with self.grown:
            self.events.append(event)
            self.grown.notify_all()


class Memory:
    """The engine's memory and its journal.

    Args:
      slots: Places in the batch.
      blocks: KV blocks.
      cache_blocks: Blocks of the prefix cache.

    Attributes:
      slots: Places in the batch.
      blocks: KV blocks.
      requests_by_id: Every request it has seen, for the journal.
    """

    def __init__(self, slots: int, blocks: int, cache_blocks: int) -> None:
        self.slots = slots
        self.blocks = blocks
        self.requests_by_id: dict[str, Request] = {}
        self._held: list[Request] = []
        self._cancelled_until_by_id: dict[str, float] = {}
        self._cache_blocks = cache_blocks
        self._cached: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, model.CacheEvent]] = (
            collections.deque(maxlen=_MAX_CACHE_EVENTS)
        )
        self._last_seq = 0

    def held_requests(self) -> list[Request]:
        """Returns the requests that hold memory."""
        self._held = [request for request in self._held if request.holds_memory]
        return self._held

    def used_slots(self) -> int:
        """Counts the places taken in the batch."""
        return sum(request.holds_slot for request in self.held_requests())

    def used_blocks(self) -> int:
        """Counts the KV blocks taken."""
        return sum(request.blocks for request in self.held_requests())

    def admit(
        self, request_id: str, text: str, tokens: int, stage: RequestStage
    ) -> Request | None:
        """Takes a request in.

        Args:
          request_id: Text of the attempt id.
          text: The prompt.
          tokens: Tokens for which it needs KV blocks.
          stage: Its first stage.

        Returns:
          The request, None if there is no slot or not enough KV blocks.
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
            came_at=time.monotonic(),
            text=text,
        )
        earlier = self.requests_by_id.get(request_id)
        request.runs = 1 + (earlier.runs if earlier else 0)
        self.requests_by_id[request_id] = request
        self._held.append(request)
        return request

    async def cancel(self, request_id: str) -> None:
        """Drops a request, and refuses it if it comes later.

        Args:
          request_id: Text of the attempt id.
        """
        until = time.monotonic() + _CANCEL_MEMORY_S
        self._cancelled_until_by_id[request_id] = until
        request = self.requests_by_id.get(request_id)
        if request is not None and request.holds_memory:
            await request.move(RequestStage.CANCELLED)

    def is_cancelled(self, request_id: str) -> bool:
        """Whether a cancel overtook this request."""
        until = self._cancelled_until_by_id.get(request_id, 0.0)
        return until > time.monotonic()

    def count_cached(self, hashes: tuple[int, ...]) -> int:
        """Counts the leading blocks that are in the prefix cache."""
        count = 0
        for block in hashes:
            if block not in self._cached:
                break
            self._cached.move_to_end(block)
            count += 1
        return count

    def store(self, hashes: tuple[int, ...]) -> None:
        """Puts a prompt's blocks into the prefix cache."""
        for block in hashes:
            if block not in self._cached:
                self._publish(model.CacheEventKind.STORED, block)
            self._cached[block] = None
            self._cached.move_to_end(block)
        while len(self._cached) > self._cache_blocks:
            block, _ = self._cached.popitem(last=False)
            self._publish(model.CacheEventKind.REMOVED, block)

    def cache_events(
        self, after: int, lag_s: float, drop: int
    ) -> list[model.CacheEvent]:
        """Returns published cache events.

        Args:
          after: Number of the last event known.
          lag_s: Events younger than this aren't published yet.
          drop: Each so-manieth event is lost, 0 for none.

        Returns:
          The events.
        """
        latest = time.monotonic() - lag_s
        return [
            event
            for at, event in self._events
            if event.seq > after
            and at <= latest
            and not (drop and event.seq % drop == 0)
        ]

    def _publish(self, kind: model.CacheEventKind, block: int) -> None:
        self._last_seq += 1
        event = model.CacheEvent(seq=self._last_seq, kind=kind, block=block)
        self._events.append((time.monotonic(), event))
