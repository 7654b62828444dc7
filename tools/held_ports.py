"""TCP ports that stay reserved while their processes restart."""

from __future__ import annotations

import socket


class HeldPort:
    """A port that is reserved at some hosts until it is closed.

    Attributes:
      port: TCP port.
    """

    def __init__(self, port: int, sockets: list[socket.socket]) -> None:
        self.port = port
        self._sockets = sockets

    def __enter__(self) -> HeldPort:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Releases the port."""
        for reserved in self._sockets:
            reserved.close()


def hold_port(*hosts: str) -> HeldPort:
    """Reserves a port that the kernel chooses.

    The kernel gives a reserved port to no outgoing connection and to no
    listener that asks for any port. `SO_REUSEADDR` lets a process listen on it.

    Args:
      *hosts: IP addresses; the port is the same at all of them.
    """
    while True:
        held = _try_to_hold(hosts)
        if held is not None:
            return held


def _try_to_hold(hosts: tuple[str, ...]) -> HeldPort | None:
    port = 0
    sockets = []
    for host in hosts:
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sockets.append(reserved)
        try:
            reserved.bind((host, port))
        except OSError:
            HeldPort(port, sockets).close()
            return None
        port = reserved.getsockname()[1]
    return HeldPort(port, sockets)


class HeldPorts:
    """Reserves ports of one host, so that processes can restart on them.

    Args:
      host: IP address.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._held: list[HeldPort] = []

    def take(self) -> int:
        """Reserves a port that the kernel chooses and returns it."""
        held = hold_port(self._host)
        self._held.append(held)
        return held.port

    def close(self) -> None:
        """Releases all ports."""
        for held in self._held:
            held.close()
        self._held = []
