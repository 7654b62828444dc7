"""Load generator of the benchmark: concurrent streams, counted and timed."""

import asyncio
import dataclasses
import itertools
import json
import statistics
import time
from collections.abc import Awaitable
from collections.abc import Callable

from cowsliprill.decisions import model
from cowsliprill.engines import engine_client
from cowsliprill.engines import http_client
from cowsliprill.engines import protocol

_HOST = "127.0.0.1"
_READ_BYTES = 65_536
_TOKEN_EVENT_START = b"\ndata: {"
_DONE_EVENT = b"data: [DONE]"
_STATUS_LINE_OK = b"HTTP/1.1 200 "
_LAST_CHUNK = b"0\r\n\r\n"
_TIMEOUT_S = 120.0
# Staggers the starts, but closely enough that all streams overlap.
_START_INTERVAL_S = 0.002


class BenchError(Exception):
    """Raised when a stream is refused, truncated or has missing tokens."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """Server and request parameters of a benchmark stream.

    Attributes:
      port: TCP port on the local host.
      key: API key.
      model: Name of the service, sent as the model.
      prompt: Prompt of each request.
    """

    port: int
    key: str
    model: str
    prompt: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamResult:
    """Timing and size of one complete stream.

    Attributes:
      ttft_s: Time to first token in seconds.
      events: Number of token events received.
    """

    ttft_s: float
    events: int


def _request(target: Target, tokens: int) -> bytes:
    body = json.dumps(
        {
            "model": target.model,
            "prompt": target.prompt,
            "max_tokens": tokens,
            "stream": True,
        }
    )
    return (
        f"POST {protocol.COMPLETIONS_PATH} HTTP/1.1\r\n"
        f"Host: {_HOST}:{target.port}\r\n"
        f"Authorization: Bearer {target.key}\r\n"
        f"Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


async def read_stream(target: Target, tokens: int) -> StreamResult:
    """Sends one streaming request and reads the response to its end.

    Args:
      target: Server and request parameters.
      tokens: Number of output tokens to request.

    Returns:
      The timing and size of the stream.

    Raises:
      BenchError: The stream was refused, truncated or has missing tokens.
      TimeoutError: The stream didn't end within the timeout.
    """
    reader, writer = await asyncio.open_connection(_HOST, target.port)
    started = time.perf_counter()
    writer.write(_request(target, tokens))
    ttft_s = 0.0
    events = 0
    tail = b""
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            while not tail.endswith(_LAST_CHUNK):
                chunk = await reader.read(_READ_BYTES)
                if not chunk or (
                    not tail and not chunk.startswith(_STATUS_LINE_OK)
                ):
                    raise BenchError(f"no stream: {(tail + chunk)!r}")
                # The tail of earlier data is kept, as an event's prefix may be
                # split between two reads.
                counted = tail.count(_TOKEN_EVENT_START)
                tail += chunk
                events += tail.count(_TOKEN_EVENT_START) - counted
                if events and not ttft_s:
                    ttft_s = time.perf_counter() - started
                tail = tail[-len(_DONE_EVENT) - 64 :]
    finally:
        writer.close()
    if events != tokens or _DONE_EVENT not in tail:
        raise BenchError(f"{events} of {tokens} tokens: {tail!r}")
    return StreamResult(ttft_s, events)


@dataclasses.dataclass(frozen=True, slots=True)
class RoundResult:
    """Result of a round of concurrent streams.

    Attributes:
      events: Token events received on all complete streams.
      failures: Errors of refused or incomplete streams.
    """

    events: int
    failures: tuple[BenchError, ...]


async def run_round(target: Target, streams: int, tokens: int) -> RoundResult:
    """Runs concurrent streams and waits for all of them.

    Args:
      target: Server and request parameters.
      streams: Number of streams.
      tokens: Output tokens to request for each stream.

    Returns:
      The token events and the failures of the round.
    """

    async def delayed_stream(number: int) -> StreamResult:
        await asyncio.sleep(number * _START_INTERVAL_S)
        return await read_stream(target, tokens)

    results = await asyncio.gather(
        *(delayed_stream(number) for number in range(streams)),
        return_exceptions=True,
    )
    failures = []
    events = 0
    for result in results:
        match result:
            case StreamResult():
                events += result.events
            case BenchError():
                failures.append(result)
            case _:
                raise result
    return RoundResult(events, tuple(failures))


class DirectCaller:
    """Client that calls the engines directly, as the latency baseline.

    Args:
      prefill: Prefill engine to call.
      decode: Decode engine to call.
      prompt: Prompt of each request.
    """

    def __init__(
        self, prefill: model.Endpoint, decode: model.Endpoint, prompt: str
    ) -> None:
        self._client = engine_client.EngineClient(http_client.HttpClient())
        self._prefill = prefill
        self._decode = decode
        self._prompt = prompt
        self._request_numbers = itertools.count()

    async def ttft_s(self, tokens: int) -> float:
        """Runs one prefill and decode and reads the output to its end.

        Args:
          tokens: Number of output tokens to request.

        Returns:
          Time to first token in seconds.
        """
        request_id = f"bench.direct.x.{next(self._request_numbers)}.0"
        body = {"prompt": self._prompt, "max_tokens": tokens}
        started = time.perf_counter()
        result = await self._client.prefill(self._prefill, request_id, body)
        events = await self._client.decode(
            self._decode, request_id, body, result
        )
        ttft_s = 0.0
        async for _ in events:
            ttft_s = ttft_s or time.perf_counter() - started
        return ttft_s


async def interleaved_medians(
    callers: list[Callable[[], Awaitable[float]]], count: int
) -> list[float]:
    """Times callers sequentially, so that no request queues.

    The callers take turns, so that a change in the machine's load affects all
    of them alike.

    Args:
      callers: Functions that each return a time in seconds.
      count: Number of calls to each caller.

    Returns:
      The median time of each caller in seconds, in the order of `callers`.
    """
    times_by_caller: list[list[float]] = [[] for _ in callers]
    for _ in range(count):
        for caller, caller_times_s in zip(
            callers, times_by_caller, strict=True
        ):
            caller_times_s.append(await caller())
    return [
        statistics.median(caller_times_s) for caller_times_s in times_by_caller
    ]
