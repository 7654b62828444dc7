"""Raw-socket HTTP endpoint for tests, controlled by a script."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Self

# Long enough that only a client that never disconnects reaches the timeout.
_DISCONNECT_TIMEOUT_S = 10


class RawEndpoint:
    """Runs a script per connection and records the executed requests.

    Args:
      script: Coroutine function that serves one connection.

    Attributes:
      port: Listening port.
      connections: Number of connections accepted so far.
      executed_requests: Complete requests that the script executed.
    """

    def __init__(
        self, script: Callable[["Connection"], Awaitable[None]]
    ) -> None:
        self.port = 0
        self.connections = 0
        self.executed_requests: list[bytes] = []
        self._disconnected = asyncio.Event()
        self._script = script
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stops listening."""
        self._server.close()

    async def wait_for_disconnect(self) -> None:
        """Waits until a client has closed its connection.

        Raises:
          TimeoutError: No client has disconnected in time.
        """
        async with asyncio.timeout(_DISCONNECT_TIMEOUT_S):
            await self._disconnected.wait()

    def record_disconnect(self) -> None:
        """Records that a client has closed its connection."""
        self._disconnected.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            await self._script(Connection(self, reader, writer))
        except (OSError, asyncio.IncompleteReadError):
            self._disconnected.set()
        except asyncio.CancelledError:
            pass  # The test has ended.
        finally:
            writer.close()


class Connection:
    """One connection accepted by a raw endpoint.

    Args:
      endpoint: The endpoint.
      reader: Stream of received bytes.
      writer: Stream for bytes to send.
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
        """Reads a complete request and records its execution."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = head.lower().split(b"content-length:")[1].split(b"\r\n")[0]
        body = await self.reader.readexactly(int(length))
        self.endpoint.executed_requests.append(head + body)

    async def send(self, data: bytes) -> None:
        """Sends raw bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def wait_for_disconnect(self) -> None:
        """Waits until the client has closed the connection."""
        while await self.reader.read(65_536):
            pass
        self.endpoint.record_disconnect()


def http_response(
    body: bytes, status: str = "200 OK", headers: str = "", length: int = -1
) -> bytes:
    """Builds an HTTP response.

    Args:
      body: Response body.
      status: Status code and reason phrase.
      headers: Additional header lines, each with its line break.
      length: Value of `Content-Length`, -1 for the actual length.

    Returns:
      The bytes of the response.
    """
    declared = len(body) if length < 0 else length
    head = f"HTTP/1.1 {status}\r\nContent-Length: {declared}\r\n{headers}\r\n"
    return head.encode() + body
