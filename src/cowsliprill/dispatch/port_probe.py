"""TCP probe that distinguishes a closed port from an unreachable host."""

from tornado import iostream
from tornado import tcpclient

from cowsliprill.decisions import orphans

_TIMEOUT_S = 1.0


async def probe(host: str, port: int) -> orphans.ProbeResult:
    """Opens a TCP connection and closes it at once.

    Args:
      host: IP address.
      port: TCP port.

    Returns:
      `Refused` if the host's kernel refused the connection because nothing
      listens on the port, else `NoAnswer`, also for a successful connection:
      that doesn't identify the process that listens.
    """
    client = tcpclient.TCPClient()
    try:
        stream = await client.connect(host, port, timeout=_TIMEOUT_S)
    except iostream.StreamClosedError as error:
        refused = isinstance(error.real_error, ConnectionRefusedError)
        return orphans.Refused() if refused else orphans.NoAnswer()
    except (TimeoutError, OSError):
        return orphans.NoAnswer()
    finally:
        client.close()
    stream.close()
    return orphans.NoAnswer()
