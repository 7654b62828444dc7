"""Tests of `registry.endpoints`."""

import io

import pytest

from cowsliprill.decisions import model
from cowsliprill.decisions import registry_view
from cowsliprill.observability import log as log_lib
from cowsliprill.registry import endpoints as endpoints_lib


def _parse(key: str, value: bytes) -> endpoints_lib.ListedEndpoint:
    if value == b"?":
        raise ValueError("unreadable")
    endpoint = model.Endpoint(
        id=key,
        kind=model.EndpointKind.PLAIN,
        host="10.0.0.1",
        port=80,
        availability_zone="gasabo",
        pool="desk",
        slots=6,
        life=value.decode(),
    )
    return endpoints_lib.ListedEndpoint(
        endpoint=endpoint, leaving=False, started_at_ms=int(value)
    )


def _endpoint_table() -> endpoints_lib.EndpointTable:
    log = log_lib.open_log("test", io.StringIO())
    return endpoints_lib.EndpointTable(_parse, log)


def _entry(
    revision: int, value: bytes = b"1", key: str = "a"
) -> registry_view.Entry:
    return registry_view.Entry(key=key, value=value, revision=revision)


_REMOVAL = registry_view.Removal(key="a", revision=9)


class TestEndpointTable:
    """Changes of entries with and without a store outage."""

    def test_removal_takes_effect_at_once(self):
        table = _endpoint_table()
        table.apply([_entry(1)], deferred_until=0.0, now=0.0)
        table.apply([_REMOVAL], deferred_until=0.0, now=1.0)
        assert not table.instances()

    def test_expiry_during_an_outage_is_deferred(self):
        """Guards against rejected requests after a store outage.

        Engines can't renew their entries during an outage. If their expiry
        counted as removal, all engines would be missing for two seconds and
        every request would be rejected although the engines are idle.
        """
        table = _endpoint_table()
        table.apply([_entry(1)], deferred_until=0.0, now=0.0)
        table.apply([_REMOVAL], deferred_until=3.0, now=1.0)
        assert table.instances()
        table.apply([_entry(10)], deferred_until=4.0, now=2.0)
        assert not table.apply_deferred_removals(10.0)
        assert table.instances()

    def test_deferred_removal_takes_effect_after_the_grace_period(self):
        table = _endpoint_table()
        table.apply([_entry(1)], deferred_until=0.0, now=0.0)
        table.apply([_REMOVAL], deferred_until=3.0, now=1.0)
        assert not table.apply_deferred_removals(2.99)
        assert table.apply_deferred_removals(3.0)
        assert not table.instances()

    def test_invalid_value_removes_the_endpoint(self):
        table = _endpoint_table()
        table.apply([_entry(1)], deferred_until=0.0, now=0.0)
        table.apply([_entry(2, b"?")], deferred_until=0.0, now=1.0)
        assert not table.instances()

    def test_restart_under_the_same_key_replaces_the_endpoint(self):
        table = _endpoint_table()
        table.apply([_entry(1)], deferred_until=0.0, now=0.0)
        table.apply([_entry(2, b"2")], deferred_until=0.0, now=1.0)
        (instance,) = table.instances()
        assert instance.endpoint.life == "2"


class TestDuplicateAddresses:
    """Several entries have the same address."""

    def test_only_the_latest_start_is_returned(self):
        """Guards against counting a restarted engine twice.

        An engine crashes and restarts under another id; its old entry stays
        for some seconds. Counted as two engines, requests would be sent to one
        that doesn't exist, and the pool would seem to have more prefill engines
        than it needs.
        """
        table = _endpoint_table()
        for entries in ((1, b"5"), (2, b"7", "b")), ((2, b"7", "b"), (3, b"5")):
            table.apply(
                [_entry(*entry) for entry in entries],
                deferred_until=0.0,
                now=0.0,
            )
            assert [item.endpoint.id for item in table.instances()] == ["b"]

    def test_removal_of_the_latest_start_returns_the_earlier_one(self):
        table = _endpoint_table()
        table.apply(
            [_entry(1, b"5"), _entry(2, b"7", "b")],
            deferred_until=0.0,
            now=0.0,
        )
        removal = registry_view.Removal(key="b", revision=3)
        table.apply([removal], deferred_until=0.0, now=1.0)
        assert [item.endpoint.id for item in table.instances()] == ["a"]


class TestLog:
    """Log volume when hundreds of processes list all endpoints at once."""

    @pytest.mark.parametrize(("count", "lines"), [(3, 3), (40, 1)])
    def test_many_endpoints_are_logged_in_one_line(self, count, lines):
        """Guards against excessive logging while a fleet starts.

        Each process lists every engine at its start. One line per engine and
        process would be the fleet's largest log volume, at a time when the
        processes are short of CPU time.
        """
        output = io.StringIO()
        log = log_lib.open_log("test", output)
        table = endpoints_lib.EndpointTable(_parse, log)
        entries = [
            _entry(number, key=f"k/{number}") for number in range(1, count + 1)
        ]
        table.apply(entries, deferred_until=0.0, now=1.0)
        assert output.getvalue().count("\n") == lines
        assert len(table.all_instances()) == count
