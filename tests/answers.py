"""Reading of answers that may not be whole."""

from cowsliprill.engines import errors
from cowsliprill.engines import exchange


async def read_broken(response: exchange.Response) -> tuple[bytes, bool]:
    """Reads an answer; returns its bytes and whether it ended cleanly."""
    parts = []
    try:
        async for chunk in response.chunks():
            parts.append(chunk)
    except errors.CallError:
        return b"".join(parts), False
    return b"".join(parts), True
