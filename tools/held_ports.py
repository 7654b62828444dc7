"""TCP ports that stay reserved while their processes restart."""

import socket


def hold_port(host: str) -> socket.socket:
    """Reserves a port that the kernel chooses, until the socket is closed.

    The kernel gives a reserved port to no outgoing connection. `SO_REUSEADDR`
    lets a process listen on it.

    Args:
      host: IP address.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((host, 0))
    return reserved


class HeldPorts:
    """Reserves ports of one host, so that processes can restart on them.

    Args:
      host: IP address.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._sockets: list[socket.socket] = []

    def take(self) -> int:
        """Reserves a port that the kernel chooses and returns it."""
        reserved = hold_port(self._host)
        self._sockets.append(reserved)
        return reserved.getsockname()[1]

    def close(self) -> None:
        """Releases all ports."""
        for reserved in self._sockets:
            reserved.close()
        self._sockets = []
