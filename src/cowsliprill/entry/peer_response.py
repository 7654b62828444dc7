"""Relays the response of another process of this system to the caller."""

from cowsliprill.engines import exchange
from cowsliprill.engines import hop_headers
from cowsliprill.entry import response_writer


async def relay(
    writer: response_writer.ResponseWriter,
    response: exchange.Response,
) -> None:
    """Relays a response chunk by chunk.

    Args:
      writer: Writer to the caller; may have started, to go on with a stream.
      response: Response with its headers read.

    Raises:
      engines.errors.CallError: The response is incomplete.
    """
    if not writer.started:
        headers = hop_headers.end_to_end(response.headers)
        if "Content-Length" in response.headers:
            headers["Content-Length"] = response.headers["Content-Length"]
        await writer.start(response.status, headers.get_all())
    async for chunk in response.chunks():
        await writer.write(chunk)
    await writer.end()
