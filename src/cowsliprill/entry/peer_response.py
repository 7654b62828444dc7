"""Relays the response of another process of this system to the caller."""

from collections.abc import AsyncIterator

from cowsliprill.engines import exchange
from cowsliprill.engines import hop_headers
from cowsliprill.entry import response_writer

# The peer reads the responses of plain services up to this size.
_MAX_RESPONSE_BYTES = 16_777_216


async def relay(
    writer: response_writer.ResponseWriter,
    response: exchange.Response,
) -> None:
    """Relays a response.

    A response without a length is relayed chunk by chunk. One with a length is
    received completely before it is started: if the connection is lost, the
    caller can still be sent an error.

    Args:
      writer: Writer to the caller; may have started, to go on with a stream.
      response: Response with its headers read.

    Raises:
      engines.errors.CallError: The response is incomplete.
    """
    chunks = response.chunks()
    if not writer.started:
        first_chunks = await _receive_before_start(response, chunks)
        headers = hop_headers.end_to_end(response.headers)
        if "Content-Length" in response.headers:
            headers["Content-Length"] = response.headers["Content-Length"]
        await writer.start(response.status, headers.get_all())
        for chunk in first_chunks:
            await writer.write(chunk)
    async for chunk in chunks:
        await writer.write(chunk)
    await writer.end()


async def _receive_before_start(
    response: exchange.Response, chunks: AsyncIterator[bytes]
) -> list[bytes]:
    """Returns what is to be received before the caller's response starts."""
    if "Content-Length" in response.headers:
        body = await response.read(_MAX_RESPONSE_BYTES)
        return [body] if body else []
    first = await anext(chunks, None)
    return [] if first is None else [first]
