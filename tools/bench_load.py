"""Callers of the benchmark: many streams at once, counted and timed."""

import asyncio
import dataclasses
import json
import time

from cowsliprill.engines import protocol

_HOST = "127.0.0.1"
_READ_BYTES = 65_536
_EVENT = b"\ndata: {"
_DONE = b"data: [DONE]"
_LAST_CHUNK = b"0\r\n\r\n"
_TIMEOUT_S = 120.0


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
class Streamed:
    """One whole stream.

    Attributes:
      first_token_s: Time to the first token.
      events: Tokens that came.
    """

    first_token_s: float
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


async def stream(target: Target, tokens: int) -> Streamed:
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
    first_token_s = 0.0
    events = 0
    rest = b""
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            while not rest.endswith(_LAST_CHUNK):
                chunk = await reader.read(_READ_BYTES)
                if not chunk:
                    raise BenchError(f"stream ended: {rest!r}")
                # The end of what came before is kept, as a mark may be cut.
                seen = rest.count(_EVENT)
                rest += chunk
                events += rest.count(_EVENT) - seen
                if events and not first_token_s:
                    first_token_s = time.perf_counter() - started
                rest = rest[-len(_DONE) - 64 :]
    finally:
        writer.close()
    if events != tokens or _DONE not in rest:
        raise BenchError(f"{events} of {tokens} tokens: {rest!r}")
    return Streamed(first_token_s, events)


async def many(target: Target, streams: int, tokens: int) -> list[Streamed]:
    """Reads many streams at once.

    Args:
      target: Where.
      streams: How many.
      tokens: Tokens to ask for, each.

    Returns:
      What came.
    """
    return await asyncio.gather(
        *(stream(target, tokens) for _ in range(streams))
    )


async def one_by_one(
    targets: list[Target], count: int, tokens: int
) -> list[list[Streamed]]:
    """Reads streams one at a time, taking turns among targets.

    Args:
      targets: Where; taking turns, so that a change of the machine's load
        meets all alike.
      count: Streams from each.
      tokens: Tokens to ask for, each.

    Returns:
      What came, by target.
    """
    results: list[list[Streamed]] = [[] for _ in targets]
    for _ in range(count):
        for target, result in zip(targets, results, strict=True):
            result.append(await stream(target, tokens))
    return results
