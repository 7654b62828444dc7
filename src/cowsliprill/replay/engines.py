"""Fakes of engines and links in virtual time.

Just what the decisions depend on: slots, the time of a prefill, its eviction,
shared links, a prefix cache. No batching model beyond that.
"""

import collections
import dataclasses
from collections.abc import Callable

from cowsliprill.decisions import model
from cowsliprill.replay import sites
from cowsliprill.replay import timeline

_CACHE_BLOCKS = 600
_PREFILL_OVERHEAD_S = 0.01

# Tokens after which the shell reports a stream's progress.
PROGRESS_TOKENS = 16


@dataclasses.dataclass(slots=True)
class Work:
    """One attempt as the engines see it.

    Attributes:
      key: Unique key of the attempt.
      prompt_tokens: Length of the prompt.
      output_tokens: Tokens to generate.
      prefix: Hashes of the prompt's blocks.
      cancelled: Whether it was cancelled.
      prefill_started: Whether computing began.
      used: Whether the decode engine used the prefill's result.
      exported_at: When the prefill finished.
    """

    key: tuple[int, int, int]
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[int, ...]
    cancelled: bool = False
    prefill_started: bool = False
    used: bool = False
    exported_at: float = 0.0


class Engine:
    """What both kinds of engine have: slots, speed and faults.

    Args:
      endpoint: Its settings.
      clock: The virtual time.
    """

    def __init__(
        self, endpoint: model.Endpoint, clock: timeline.Timeline
    ) -> None:
        self.endpoint = endpoint
        self.clock = clock
        self.slow = 1.0
        self.lost = False
        self.link_rate = endpoint.link_bytes_per_s
        self.held: dict[tuple[int, int, int], Work] = {}
        self.failed_by_key: dict[tuple[int, int, int], Callable[[], None]] = {}

    def accept(self, work: Work, failed: Callable[[], None]) -> bool:
        """Takes a slot for the work unless all are taken."""
        if len(self.held) >= self.endpoint.slots:
            return False
        self.held[work.key] = work
        self.failed_by_key[work.key] = failed
        return True

    def release(self, work: Work) -> None:
        """Frees the work's slot, if it has one."""
        self.held.pop(work.key, None)
        self.failed_by_key.pop(work.key, None)

    def lose(self) -> None:
        """Stops answering; all work is gone."""
        self.lost = True
        failed = list(self.failed_by_key.values())
        self.held.clear()
        self.failed_by_key.clear()
        for report in failed:
            report()


def _ignore(blocks: list[int]) -> None:
    del blocks


class PrefillEngine(Engine):
    """Computes one prompt after another and caches blocks of prompts."""

    def __init__(
        self, endpoint: model.Endpoint, clock: timeline.Timeline
    ) -> None:
        super().__init__(endpoint, clock)
        self._queue: collections.deque[tuple[Work, Callable[[], None]]] = (
            collections.deque()
        )
        self._busy = False
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.on_stored: Callable[[list[int]], None] = _ignore

    def run(self, work: Work, done: Callable[[], None]) -> None:
        """Computes a prompt in its turn."""
        self._queue.append((work, done))
        self._next()

    def _next(self) -> None:
        if self._busy or not self._queue:
            return
        work, done = self._queue.popleft()
        if work.cancelled or work.key not in self.held:
            self._next()
            return
        self._busy = True
        work.prefill_started = True
        tokens = work.prompt_tokens - self._cached_tokens(work.prefix)
        speed = self.endpoint.prefill_tokens_per_s / self.slow
        self.clock.after(
            _PREFILL_OVERHEAD_S + tokens / speed,
            lambda: self._done(work, done),
        )

    def _done(self, work: Work, done: Callable[[], None]) -> None:
        self._busy = False
        if not self.lost:
            self._store(work.prefix)
            work.exported_at = self.clock.now
            if work.key in self.held:
                self.release(work)
                done()
        self._next()

    def _cached_tokens(self, prefix: tuple[int, ...]) -> int:
        count = 0
        for block in prefix:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            count += 1
        return count * sites.BLOCK_TOKENS

    def _store(self, prefix: tuple[int, ...]) -> None:
        new = [block for block in prefix if block not in self._cache]
        for block in new:
            self._cache[block] = None
        while len(self._cache) > _CACHE_BLOCKS:
            self._cache.popitem(last=False)
        if new:
            self.on_stored(new)


@dataclasses.dataclass(slots=True)
class _Transfer:
    source: Engine
    target: Engine
    bytes_left: float
    done: Callable[[], None]
    rate: float = 0.0

    def ends(self) -> tuple[int, int]:
        """Returns keys of its two engines."""
        return id(self.source), id(self.target)


class Links:
    """Transfers that share the links of their two engines equally."""

    def __init__(self, clock: timeline.Timeline) -> None:
        self._clock = clock
        self._transfers: list[_Transfer] = []
        self._updated_at = 0.0
        self._generation = 0

    def send(
        self,
        source: Engine,
        target: Engine,
        size: float,
        done: Callable[[], None],
    ) -> None:
        """Starts a transfer of `size` bytes."""
        self._advance()
        self._transfers.append(_Transfer(source, target, size, done))
        self.share()

    def share(self) -> None:
        """Works out the rates anew; called when transfers or links change."""
        self._advance()
        self._fill()
        soonest = min(
            (item.bytes_left / item.rate for item in self._transfers),
            default=0.0,
        )
        self._generation += 1
        generation = self._generation
        if self._transfers:
            self._clock.after(soonest, lambda: self._complete(generation))

    def _fill(self) -> None:
        """Gives max-min fair rates: the tightest link fixes its own first."""
        engines = {
            id(engine): engine
            for transfer in self._transfers
            for engine in (transfer.source, transfer.target)
        }
        left = {key: engine.link_rate for key, engine in engines.items()}
        open_transfers = list(self._transfers)
        while open_transfers:
            counts = collections.Counter(
                key for transfer in open_transfers for key in transfer.ends()
            )
            tightest = min(counts, key=lambda key: left[key] / counts[key])
            rate = left[tightest] / counts[tightest]
            for transfer in list(open_transfers):
                if tightest in transfer.ends():
                    transfer.rate = rate
                    open_transfers.remove(transfer)
                    for key in transfer.ends():
                        left[key] = max(left[key] - rate, 1.0)

    def _advance(self) -> None:
        passed = self._clock.now - self._updated_at
        self._updated_at = self._clock.now
        for transfer in self._transfers:
            transfer.bytes_left -= passed * transfer.rate

    def _complete(self, generation: int) -> None:
        if generation != self._generation:
            return
        self._advance()
        complete = [item for item in self._transfers if item.bytes_left < 1.0]
        self._transfers = [
            item for item in self._transfers if item.bytes_left >= 1.0
        ]
        self.share()
        for transfer in complete:
            transfer.done()


class DecodeEngine(Engine):
    """Fetches a KV cache into a slot and generates tokens."""

    def run(
        self,
        work: Work,
        source: Engine,
        links: Links,
        events: "DecodeEvents",
    ) -> None:
        """Transfers and generates; the slot is taken already."""
        size = work.prompt_tokens * self.endpoint.kv_bytes_per_token
        links.send(
            source, self, size, lambda: self._fetched(work, source, events)
        )

    def _fetched(
        self, work: Work, source: Engine, events: "DecodeEvents"
    ) -> None:
        if work.key not in self.held:
            return
        age = self.clock.now - work.exported_at
        if source.lost or age > source.endpoint.export_ttl_s:
            self.release(work)
            events.evicted()
            return
        work.used = True
        pace = self.endpoint.seconds_per_token * self.slow
        self.clock.after(pace, lambda: self._first(work, events))
        if work.output_tokens > PROGRESS_TOKENS:
            self.clock.after(
                pace * PROGRESS_TOKENS, lambda: self._progress(work, events)
            )
        self.clock.after(
            pace * work.output_tokens, lambda: self._finish(work, events)
        )

    def _first(self, work: Work, events: "DecodeEvents") -> None:
        if work.key in self.held:
            events.first_token()

    def _progress(self, work: Work, events: "DecodeEvents") -> None:
        if work.key in self.held:
            events.progress()

    def _finish(self, work: Work, events: "DecodeEvents") -> None:
        if work.key in self.held:
            self.release(work)
            events.finished()


@dataclasses.dataclass(frozen=True, slots=True)
class DecodeEvents:
    """Whom a decode engine tells what became of a work."""

    evicted: Callable[[], None]
    first_token: Callable[[], None]
    progress: Callable[[], None]
    finished: Callable[[], None]
