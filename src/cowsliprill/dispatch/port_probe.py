"""Tells a port on which nothing listens from a host that can't be reached."""

from tornado import iostream
from tornado import tcpclient

from cowsliprill.decisions import orphans

_TIMEOUT_S = 1.0


async def reply_of(host: str, port: int) -> orphans.ProbeResult:
    """Opens a connection and closes it at once.

    Args:
      host: IP number.
      port: TCP port.

    Returns:
      Refused if the host's kernel said that nothing listens, else silent; a
      connection that comes about proves nothing about who is behind it.
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
