"""An endpoint on a raw socket, which does exactly what a test scripts."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Self

# Only a client that never hangs up takes so long.
_PATIENCE_S = 10


class RawEndpoint:
    """Serves each connection by a script and keeps a journal of what ran.

    Args:
      script: Plays one connection.

    Attributes:
      port: Port it listens on.
      connections: Connections taken so far.
      ran: Whole requests that the script ran.
    """

    def __init__(
        self, script: Callable[["Connection"], Awaitable[None]]
    ) -> None:
        self.port = 0
        self.connections = 0
        self.ran: list[bytes] = []
        self._hung_up = asyncio.Event()
        self._script = script
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stops listening."""
        self._server.close()

    async def wait_for_hang_up(self) -> None:
        """Waits until a client has closed its connection."""
        async with asyncio.timeout(_PATIENCE_S):
            await self._hung_up.wait()

    def note_hang_up(self) -> None:
        """Notes that a client has closed its connection."""
        self._hung_up.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            await self._script(Connection(self, reader, writer))
        except (OSError, asyncio.IncompleteReadError):
            self._hung_up.set()
        except asyncio.CancelledError:
            pass  # The test is over.
        finally:
            writer.close()


class Connection:
    """One connection at a raw endpoint.

    Args:
      endpoint: The endpoint.
      reader: What comes in.
      writer: What goes out.
    """

    def __init__(
        self,
        endpoint: RawEndpoint,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.endpoint = endpoint
        self.reader = reader
        self.writer = writer

    async def run(self) -> None:
        """Reads a whole request and runs it."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = head.lower().split(b"content-length:")[1].split(b"\r\n")[0]
        body = await self.reader.readexactly(int(length))
        self.endpoint.ran.append(head + body)

    async def send(self, data: bytes) -> None:
        """Sends bytes as they are."""
        self.writer.write(data)
        await self.writer.drain()

    async def wait_for_hang_up(self) -> None:
        """Waits until the client has closed the connection."""
        while await self.reader.read(65_536):
            pass
        self.endpoint.note_hang_up()


def answer(
    body: bytes, status: str = "200 OK", headers: str = "", length: int = -1
) -> bytes:
    """Writes an HTTP answer.

    Args:
      body: Its body.
      status: Its status.
      headers: Further header lines, each with its line end.
      length: Content length to claim instead of the true one.

    Returns:
      The bytes.
    """
    claimed = len(body) if length < 0 else length
    head = f"HTTP/1.1 {status}\r\nContent-Length: {claimed}\r\n{headers}\r\n"
    return head.encode() + body
