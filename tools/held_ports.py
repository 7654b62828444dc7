"""TCP ports that stay reserved while their processes restart."""

import socket


class HeldPorts:
    """Reserves ports of one host until `close`.

    A process that restarts finds its port free: the kernel gives a reserved
    port to no outgoing connection. `SO_REUSEADDR` lets the process listen.

    Args:
      host: IP address.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._sockets: list[socket.socket] = []

    def take(self) -> int:
        """Reserves a port that the kernel chooses and returns it."""
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((self._host, 0))
        self._sockets.append(reserved)
        return reserved.getsockname()[1]

    def close(self) -> None:
        """Releases all ports."""
        for reserved in self._sockets:
            reserved.close()
        self._sockets = []
