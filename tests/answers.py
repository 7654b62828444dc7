"""Test helper that reads response bodies that may be truncated."""

from cowsliprill.engines import errors
from cowsliprill.engines import exchange


async def read_until_error(response: exchange.Response) -> tuple[bytes, bool]:
    """Returns the bytes of a response body and whether it ended cleanly."""
    chunks = []
    try:
        async for chunk in response.chunks():
            chunks.append(chunk)
    except errors.CallError:
        return b"".join(chunks), False
    return b"".join(chunks), True
