"""Tests of the table of endpoints that say that they leave."""

import dataclasses
import random

from cowsliprill.decisions import leaving_endpoints
from cowsliprill.decisions import model


def _endpoint(name: str, life: str = "") -> model.Endpoint:
    return model.Endpoint(
        id=name,
        kind=model.EndpointKind.PLAIN,
        host="10.0.0.1",
        port=1,
        availability_zone="a",
        pool="desk",
        slots=2,
        life=life,
    )


_ENDPOINT = _endpoint("s0")
_LISTED = {"s0": _ENDPOINT}


class TestLeavingEndpoints:
    """A notice holds as long as its endpoint is listed."""

    def test_holds_while_the_endpoint_is_listed(self) -> None:
        """Guards against a notice that expires while the endpoint drains."""
        table = leaving_endpoints.LeavingEndpoints()
        assert table.observe(_ENDPOINT, 0.0)
        for now in range(0, 3_600, 60):
            assert not table.expire(_LISTED, float(now))
        assert _ENDPOINT in table
        assert table.ids_of(_LISTED.values()) == {"s0"}

    def test_holds_while_the_entry_is_away_for_a_while(self) -> None:
        """Guards against an entry that expires and comes back."""
        table = leaving_endpoints.LeavingEndpoints()
        table.observe(_ENDPOINT, 0.0)
        table.expire(_LISTED, 100.0)
        assert not table.expire({}, 100.0 + leaving_endpoints.KEPT_S - 1)
        assert _ENDPOINT in table

    def test_is_dropped_long_after_the_endpoint_has_ended(self) -> None:
        table = leaving_endpoints.LeavingEndpoints()
        table.observe(_ENDPOINT, 0.0)
        assert table.expire({}, leaving_endpoints.KEPT_S)
        assert not len(table)

    def test_says_nothing_of_the_next_incarnation(self) -> None:
        table = leaving_endpoints.LeavingEndpoints()
        table.observe(_endpoint("s0", "1"), 0.0)
        assert _endpoint("s0", "2") not in table

    def test_is_reported_once(self) -> None:
        table = leaving_endpoints.LeavingEndpoints()
        assert table.observe(_ENDPOINT, 0.0)
        assert table.observe(_ENDPOINT, 1.0) is None

    def test_is_bounded(self, monkeypatch) -> None:
        monkeypatch.setattr(leaving_endpoints, "MAX_RECORDS", 2)
        table = leaving_endpoints.LeavingEndpoints()
        for number in range(3):
            table.observe(_endpoint(f"s{number}"), 0.0)
        assert len(table) == 2


class TestMerge:
    """Tables of several VMs become equal, in whatever order they meet."""

    def test_order_and_repetition_do_not_matter(self) -> None:
        records = [
            leaving_endpoints.LeavingEndpoint(endpoint_id=f"s{number % 5}")
            for number in range(12)
        ]
        digests = set()
        for seed in range(5):
            shuffled = random.Random(seed).sample(records, len(records))
            table = leaving_endpoints.LeavingEndpoints()
            for record in shuffled:
                table.merge(record, {}, 0.0)
            digests.add(table.digest())
        assert len(digests) == 1

    def test_digest_ignores_when_it_was_said(self) -> None:
        early, late = (
            leaving_endpoints.LeavingEndpoints(),
            leaving_endpoints.LeavingEndpoints(),
        )
        early.observe(_ENDPOINT, 0.0)
        late.observe(_ENDPOINT, 5.0)
        assert early.digest() == late.digest()

    def test_old_record_of_an_ended_endpoint_is_not_taken(self) -> None:
        """Guards against records that two VMs give back to each other."""
        table = leaving_endpoints.LeavingEndpoints()
        record = leaving_endpoints.LeavingEndpoint(endpoint_id="s0")
        assert not table.merge(record, {}, leaving_endpoints.KEPT_S)
        assert table.merge(record, _LISTED, leaving_endpoints.KEPT_S)

    def test_record_of_an_endpoint_that_is_not_listed_yet_is_taken(self):
        table = leaving_endpoints.LeavingEndpoints()
        record = leaving_endpoints.LeavingEndpoint(endpoint_id="s0")
        assert table.merge(record, {}, 1.0)
        other = dataclasses.replace(record, said_at=1.0)
        assert not table.merge(other, {}, 1.0)
