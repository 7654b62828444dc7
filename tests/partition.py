"""Cuts a process off from endpoints in tests."""

import asyncio
from collections.abc import Iterable
from typing import Any

from tornado import iostream

from cowsliprill.engines import http_client

Address = tuple[str, int]


class Partition:
    """Lets a process open no connections to some addresses.

    Args:
      client: The process's HTTP client.
      addresses: Addresses that it can't connect to any more.
      silent: Whether connection attempts get no answer, else they are refused.

    Attributes:
      attempts: Addresses that it has tried to connect to meanwhile.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        addresses: Iterable[Address],
        *,
        silent: bool = False,
    ) -> None:
        self.attempts: list[Address] = []
        self._silent = silent
        self._addresses = set(addresses)
        self._client = client
        self._connect = client._tcp.connect
        client._tcp.connect = self._connect_unless_cut

    def close_connections(self) -> None:
        """Closes the kept connections to the addresses."""
        for address in self._addresses:
            idle = self._client._idle_by_address.get(address, ())
            for connection in list(idle):
                connection.stream.close()

    def heal(self) -> None:
        """Ends the partition."""
        self._client._tcp.connect = self._connect

    async def _connect_unless_cut(
        self, host: str, port: int, **named: Any
    ) -> iostream.IOStream:
        if (host, port) not in self._addresses:
            return await self._connect(host, port, **named)
        self.attempts.append((host, port))
        if self._silent:
            await asyncio.sleep(named["timeout"])
            raise TimeoutError
        raise ConnectionRefusedError
