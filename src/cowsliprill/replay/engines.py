"""Simulated engines and network links in virtual time.

The model covers what scheduling decisions depend on: slots, prefill time,
expiry of exported KV caches, shared links and a prefix cache. There is no
further model of batching.
"""

import collections
import dataclasses
from collections.abc import Callable

from cowsliprill.decisions import model
from cowsliprill.replay import sites
from cowsliprill.replay import virtual_clock

_PREFIX_CACHE_BLOCKS = 600
_PREFILL_OVERHEAD_S = 0.01

# Output tokens after which the I/O layer reports the progress of a stream.
PROGRESS_TOKENS = 16


@dataclasses.dataclass(slots=True)
class EngineJob:
    """The work of one attempt of a request on the engines.

    Attributes:
      key: Unique key of the attempt: entry process, request and attempt.
      prompt_tokens: Length of the prompt.
      output_tokens: Number of tokens to generate.
      prefix: Hashes of the prompt's blocks.
      cancelled: Whether the attempt was cancelled.
      prefill_started: Whether the prefill engine began to compute.
      used: Whether the decode engine used the exported KV cache.
      exported_at: Virtual time at which the prefill finished, in seconds.
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
    """Base class of both kinds of engine: slots, speed and faults.

    Args:
      endpoint: Settings of the engine.
      clock: Virtual clock.
    """

    def __init__(
        self, endpoint: model.Endpoint, clock: virtual_clock.VirtualClock
    ) -> None:
        self.endpoint = endpoint
        self.clock = clock
        self.slowdown_factor = 1.0
        self.is_down = False
        self.link_rate = endpoint.link_bytes_per_s
        self.jobs_by_key: dict[tuple[int, int, int], EngineJob] = {}
        self.on_failure_by_key: dict[
            tuple[int, int, int], Callable[[], None]
        ] = {}

    def try_accept(
        self, job: EngineJob, on_failure: Callable[[], None]
    ) -> bool:
        """Acquires a slot for a job.

        Args:
          job: The job.
          on_failure: Called if the engine crashes while the job holds a slot.

        Returns:
          False if all slots are taken.
        """
        if len(self.jobs_by_key) >= self.endpoint.slots:
            return False
        self.jobs_by_key[job.key] = job
        self.on_failure_by_key[job.key] = on_failure
        return True

    def release(self, job: EngineJob) -> None:
        """Releases the job's slot; does nothing if the job holds none."""
        self.jobs_by_key.pop(job.key, None)
        self.on_failure_by_key.pop(job.key, None)

    def crash(self) -> None:
        """Marks the engine as down and fails all of its jobs."""
        self.is_down = True
        on_failure = list(self.on_failure_by_key.values())
        self.jobs_by_key.clear()
        self.on_failure_by_key.clear()
        for report in on_failure:
            report()


def _ignore_blocks(blocks: list[int]) -> None:
    del blocks


class PrefillEngine(Engine):
    """Prefills prompts one at a time and keeps an LRU prefix cache.

    Attributes:
      on_blocks_stored: Called with the block hashes that enter the cache.
    """

    def __init__(
        self, endpoint: model.Endpoint, clock: virtual_clock.VirtualClock
    ) -> None:
        super().__init__(endpoint, clock)
        self._queue: collections.deque[tuple[EngineJob, Callable[[], None]]] = (
            collections.deque()
        )
        self._busy = False
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.on_blocks_stored: Callable[[list[int]], None] = _ignore_blocks

    def run(self, job: EngineJob, on_done: Callable[[], None]) -> None:
        """Queues a prefill; `on_done` is called when it has finished."""
        self._queue.append((job, on_done))
        self._start_next()

    def _start_next(self) -> None:
        if self._busy or not self._queue:
            return
        job, on_done = self._queue.popleft()
        if job.cancelled or job.key not in self.jobs_by_key:
            self._start_next()
            return
        self._busy = True
        job.prefill_started = True
        tokens = job.prompt_tokens - self._cached_tokens(job.prefix)
        speed = self.endpoint.prefill_tokens_per_s / self.slowdown_factor
        self.clock.call_after(
            _PREFILL_OVERHEAD_S + tokens / speed,
            lambda: self._finish_prefill(job, on_done),
        )

    def _finish_prefill(
        self, job: EngineJob, on_done: Callable[[], None]
    ) -> None:
        self._busy = False
        if not self.is_down:
            self._store_blocks(job.prefix)
            job.exported_at = self.clock.now
            if job.key in self.jobs_by_key:
                self.release(job)
                on_done()
        self._start_next()

    def _cached_tokens(self, prefix: tuple[int, ...]) -> int:
        count = 0
        for block in prefix:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            count += 1
        return count * sites.BLOCK_TOKENS

    def _store_blocks(self, prefix: tuple[int, ...]) -> None:
        new = [block for block in prefix if block not in self._cache]
        for block in new:
            self._cache[block] = None
        while len(self._cache) > _PREFIX_CACHE_BLOCKS:
            self._cache.popitem(last=False)
        if new:
            self.on_blocks_stored(new)


@dataclasses.dataclass(slots=True)
class _Transfer:
    source: Engine
    target: Engine
    bytes_left: float
    on_done: Callable[[], None]
    rate: float = 0.0

    def link_keys(self) -> tuple[int, int]:
        """Returns the keys of the links of both engines."""
        return id(self.source), id(self.target)


class Links:
    """KV cache transfers that share the engines' links max-min fairly."""

    def __init__(self, clock: virtual_clock.VirtualClock) -> None:
        self._clock = clock
        self._transfers: list[_Transfer] = []
        self._updated_at = 0.0
        self._generation = 0

    def send(
        self,
        source: Engine,
        target: Engine,
        size_bytes: float,
        on_done: Callable[[], None],
    ) -> None:
        """Starts a transfer and calls `on_done` at its end."""
        self._advance()
        self._transfers.append(_Transfer(source, target, size_bytes, on_done))
        self.reallocate()

    def reallocate(self) -> None:
        """Recomputes all transfer rates and schedules the next completion.

        Must be called whenever the transfers or the link rates change.
        """
        self._advance()
        self._allocate_rates()
        next_completion_s = min(
            (item.bytes_left / item.rate for item in self._transfers),
            default=0.0,
        )
        self._generation += 1
        generation = self._generation
        if self._transfers:
            self._clock.call_after(
                next_completion_s, lambda: self._complete(generation)
            )

    def _allocate_rates(self) -> None:
        """Assigns max-min fair rates by progressive filling.

        The link with the smallest rate per transfer is the bottleneck and fixes
        the rates of its transfers first.
        """
        engines = {
            id(engine): engine
            for transfer in self._transfers
            for engine in (transfer.source, transfer.target)
        }
        free_rate_by_link = {
            key: engine.link_rate for key, engine in engines.items()
        }
        unallocated = list(self._transfers)
        while unallocated:
            counts = collections.Counter(
                key for transfer in unallocated for key in transfer.link_keys()
            )
            bottleneck = min(
                counts, key=lambda key: free_rate_by_link[key] / counts[key]
            )
            rate = free_rate_by_link[bottleneck] / counts[bottleneck]
            for transfer in list(unallocated):
                if bottleneck in transfer.link_keys():
                    transfer.rate = rate
                    unallocated.remove(transfer)
                    for key in transfer.link_keys():
                        free_rate_by_link[key] = max(
                            free_rate_by_link[key] - rate, 1.0
                        )

    def _advance(self) -> None:
        elapsed_s = self._clock.now - self._updated_at
        self._updated_at = self._clock.now
        for transfer in self._transfers:
            transfer.bytes_left -= elapsed_s * transfer.rate

    def _complete(self, generation: int) -> None:
        if generation != self._generation:
            return
        self._advance()
        complete = [item for item in self._transfers if item.bytes_left < 1.0]
        self._transfers = [
            item for item in self._transfers if item.bytes_left >= 1.0
        ]
        self.reallocate()
        for transfer in complete:
            transfer.on_done()


class DecodeEngine(Engine):
    """Fetches the KV cache of a prefilled prompt and generates tokens."""

    def run(
        self,
        job: EngineJob,
        source: Engine,
        links: Links,
        callbacks: "DecodeCallbacks",
    ) -> None:
        """Runs transfer and decode of a job that already holds a slot."""
        size_bytes = job.prompt_tokens * self.endpoint.kv_bytes_per_token
        links.send(
            source,
            self,
            size_bytes,
            lambda: self._handle_transfer_finished(job, source, callbacks),
        )

    def _handle_transfer_finished(
        self, job: EngineJob, source: Engine, callbacks: "DecodeCallbacks"
    ) -> None:
        if job.key not in self.jobs_by_key:
            return
        age = self.clock.now - job.exported_at
        if source.is_down or age > source.endpoint.export_ttl_s:
            self.release(job)
            callbacks.on_evicted()
            return
        job.used = True
        token_interval_s = (
            self.endpoint.seconds_per_token * self.slowdown_factor
        )
        self.clock.call_after(
            token_interval_s, lambda: self._emit_first_token(job, callbacks)
        )
        if job.output_tokens > PROGRESS_TOKENS:
            self.clock.call_after(
                token_interval_s * PROGRESS_TOKENS,
                lambda: self._emit_progress(job, callbacks),
            )
        self.clock.call_after(
            token_interval_s * job.output_tokens,
            lambda: self._finish_decode(job, callbacks),
        )

    def _emit_first_token(
        self, job: EngineJob, callbacks: "DecodeCallbacks"
    ) -> None:
        if job.key in self.jobs_by_key:
            callbacks.on_first_token()

    def _emit_progress(
        self, job: EngineJob, callbacks: "DecodeCallbacks"
    ) -> None:
        if job.key in self.jobs_by_key:
            callbacks.on_progress()

    def _finish_decode(
        self, job: EngineJob, callbacks: "DecodeCallbacks"
    ) -> None:
        if job.key in self.jobs_by_key:
            self.release(job)
            callbacks.on_finished()


@dataclasses.dataclass(frozen=True, slots=True)
class DecodeCallbacks:
    """Callbacks by which a decode engine reports the progress of a job.

    Attributes:
      on_evicted: The exported KV cache expired or its engine is down.
      on_first_token: The first token was generated.
      on_progress: `PROGRESS_TOKENS` tokens were generated.
      on_finished: All tokens were generated.
    """

    on_evicted: Callable[[], None]
    on_first_token: Callable[[], None]
    on_progress: Callable[[], None]
    on_finished: Callable[[], None]
