"""Tests of the fixture of the dispatch features."""

import socket

import pytest
from features.support import dispatch_site


class TestEntries:
    """Fake entry processes of a site."""

    # Guards against a listener of another test on the port of a killed entry
    # process, which makes orphan detection wait: the port isn't refused.
    def test_port_of_a_killed_entry_stays_reserved(self):
        site = dispatch_site.Site()
        try:
            site.add_vms("vm-a")
            incarnation = site.add_entry("vm-a", "e0", "killed")
            site.entries_by_incarnation[incarnation].end()
            (port,) = site.vms_by_name["vm-a"].entry_ports
            with socket.socket() as other, pytest.raises(OSError):
                other.bind(("127.0.0.1", port))
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(("127.0.0.1", port))
        finally:
            site.close()
