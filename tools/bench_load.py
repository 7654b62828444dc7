"""Callers of the benchmark: many streams at once, counted and timed."""

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
# Callers come one after the other, but soon enough that all overlap.
_START_INTERVAL_S = 0.002


class BenchError(Exception):
    """Raised when a stream of the benchmark isn't whole."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """Where streams are asked for.

    Attributes:
      port: TCP port.
      key: API key.
      model: Name of the service.
      prompt: The prompt.
    """

    port: int
    key: str
    model: str
    prompt: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamResult:
    """One whole stream.

    Attributes:
      ttft_s: Time to the first token.
      events: Tokens that came.
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
    """Asks for one stream and reads it to its end.

    Args:
      target: Where.
      tokens: Tokens to ask for.

    Returns:
      What came.

    Raises:
      BenchError: The stream isn't whole.
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
                # The end of what came before is kept, as a mark may be cut.
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
    """Many streams at once.

    Attributes:
      events: Tokens that came.
      failures: Why streams weren't whole, empty if all were.
    """

    events: int
    failures: tuple[BenchError, ...]


async def run_round(target: Target, streams: int, tokens: int) -> RoundResult:
    """Reads many streams at once.

    Args:
      target: Where.
      streams: How many.
      tokens: Tokens to ask for, each.

    Returns:
      What came.
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
    """A caller that knows the engines itself, with nothing between.

    Args:
      prefill: The prefill engine.
      decode: The decode engine.
      prompt: The prompt.
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
        """Has an answer streamed.

        Args:
          tokens: Tokens to ask for.

        Returns:
          Time to the first token, seconds.
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
    """Times callers one at a time, so that nothing queues.

    They take turns, so that a change of the machine's load meets all alike.

    Args:
      callers: Each returns a time in seconds.
      count: Calls of each.

    Returns:
      The median by caller.
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
