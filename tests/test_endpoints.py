"""Tests of `registry.endpoints`."""

import io

import pytest

from cowsliprill.decisions import model
from cowsliprill.decisions import registry_view
from cowsliprill.observability import log as log_lib
from cowsliprill.registry import endpoints as endpoints_lib


def _read(key: str, value: bytes) -> endpoints_lib.Listed:
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
    return endpoints_lib.Listed(
        endpoint=endpoint, leaving=False, started_at_ms=int(value)
    )


def _endpoints() -> endpoints_lib.Endpoints:
    log = log_lib.open_log("test", io.StringIO())
    return endpoints_lib.Endpoints(_read, log)


def _entry(
    revision: int, value: bytes = b"1", key: str = "a"
) -> registry_view.Entry:
    return registry_view.Entry(key=key, value=value, revision=revision)


_GONE = registry_view.Removal(key="a", revision=9)


class TestEndpoints:
    """What entries say, and what becomes of it around an outage."""

    def test_a_removal_counts_at_once(self):
        known = _endpoints()
        known.take([_entry(1)], doubt_until=0.0, now=0.0)
        known.take([_GONE], doubt_until=0.0, now=1.0)
        assert not known.listed()

    def test_a_lapse_during_an_outage_is_waited_for(self):
        """Engines couldn't renew their entries while the store was away.

        Taken for gone they would all be missing for two seconds, and every
        caller would be refused although the engines are idle.
        """
        known = _endpoints()
        known.take([_entry(1)], doubt_until=0.0, now=0.0)
        known.take([_GONE], doubt_until=3.0, now=1.0)
        assert known.listed()
        known.take([_entry(10)], doubt_until=4.0, now=2.0)
        assert not known.drop_doubtful(10.0)
        assert known.listed()

    def test_one_that_doesnt_come_back_is_gone(self):
        known = _endpoints()
        known.take([_entry(1)], doubt_until=0.0, now=0.0)
        known.take([_GONE], doubt_until=3.0, now=1.0)
        assert not known.drop_doubtful(2.99)
        assert known.drop_doubtful(3.0)
        assert not known.listed()

    def test_an_entry_that_became_unreadable_names_none(self):
        known = _endpoints()
        known.take([_entry(1)], doubt_until=0.0, now=0.0)
        known.take([_entry(2, b"?")], doubt_until=0.0, now=1.0)
        assert not known.listed()

    def test_a_new_life_replaces_the_old_one(self):
        known = _endpoints()
        known.take([_entry(1)], doubt_until=0.0, now=0.0)
        known.take([_entry(2, b"2")], doubt_until=0.0, now=1.0)
        (listed,) = known.listed()
        assert listed.endpoint.life == "2"


class TestOneAddress:
    """Several entries that name one address."""

    def test_only_the_last_life_counts(self):
        """An engine crashes and starts again, under another id.

        Its old entry stays for some seconds. Counted as two engines, requests
        would go to one that isn't there, and a pool would seem to have more
        prefill engines than it needs.
        """
        known = _endpoints()
        for entries in ((1, b"5"), (2, b"7", "b")), ((2, b"7", "b"), (3, b"5")):
            known.take(
                [_entry(*entry) for entry in entries],
                doubt_until=0.0,
                now=0.0,
            )
            assert [item.endpoint.id for item in known.listed()] == ["b"]

    def test_the_old_life_counts_again_when_the_new_entry_goes(self):
        known = _endpoints()
        known.take(
            [_entry(1, b"5"), _entry(2, b"7", "b")],
            doubt_until=0.0,
            now=0.0,
        )
        gone = registry_view.Removal(key="b", revision=3)
        known.take([gone], doubt_until=0.0, now=1.0)
        assert [item.endpoint.id for item in known.listed()] == ["a"]


class TestLog:
    """Lines at a start, when hundreds of processes list all endpoints."""

    @pytest.mark.parametrize(("count", "lines"), [(3, 3), (40, 1)])
    def test_many_at_once_are_one_line(self, count, lines):
        """A fleet starts, and each process lists every engine.

        A line for each engine and process is the most that the fleet writes,
        just when its processes are short of time.
        """
        output = io.StringIO()
        log = log_lib.open_log("test", output)
        known = endpoints_lib.Endpoints(_read, log)
        entries = [
            _entry(number, key=f"k/{number}") for number in range(1, count + 1)
        ]
        known.take(entries, doubt_until=0.0, now=1.0)
        assert output.getvalue().count("\n") == lines
        assert len(known.all_lives()) == count
