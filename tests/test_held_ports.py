"""Ports that stay reserved while their processes restart."""

import socket

import pytest
from tests import platform_site
from tools import held_ports

_HOST = "127.0.0.1"


class TestHeldPorts:
    """A process that restarts finds its port free."""

    def test_port_is_free_for_its_process_only(self):
        """Guards against a restart that finds its port taken (EADDRINUSE)."""
        ports = held_ports.HeldPorts(_HOST)
        port = ports.take()
        with socket.socket() as stranger, pytest.raises(OSError):
            stranger.bind((_HOST, port))
        for _ in range(2):
            with (
                socket.create_server((_HOST, port)) as server,
                socket.create_connection((_HOST, port)) as client,
            ):
                connection, _ = server.accept()
                connection.close()
                client.recv(1)
        ports.close()

    def test_port_is_reserved_at_all_hosts(self):
        """Guards against a router whose peer port another socket took.

        Routers of a test share one port number, each on its own address.
        """
        with platform_site.hold_port() as held:
            for host in platform_site.ROUTER_HOSTS:
                with socket.socket() as stranger, pytest.raises(OSError):
                    stranger.bind((host, held.port))
                with socket.create_server((host, held.port)):
                    pass

    def test_several_processes_share_a_public_port(self):
        ports = held_ports.HeldPorts(_HOST)
        address = (_HOST, ports.take())
        with socket.create_server(address, reuse_port=True):
            socket.create_server(address, reuse_port=True).close()
        ports.close()

    def test_outgoing_connections_get_other_ports(self):
        """Guards against a caller that takes the port of a dead process."""
        ports = held_ports.HeldPorts(_HOST)
        held = {ports.take() for _ in range(500)}
        with socket.create_server((_HOST, 0), backlog=500) as server:
            clients = [
                socket.create_connection(server.getsockname())
                for _ in range(400)
            ]
            used = {client.getsockname()[1] for client in clients}
            for client in clients:
                client.close()
        ports.close()
        assert not held & used
