"""Tests of the table of endpoints' rate limits."""

import dataclasses
import itertools
import random

import pytest
from tests import fake_log

from cowsliprill.decisions import endpoint_answers
from cowsliprill.decisions import model
from cowsliprill.decisions import rate_limits
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.rate_limiting import ledger as ledger_lib


def _endpoint(name: str = "s0", life: str = "1") -> model.Endpoint:
    return model.Endpoint(
        id=name,
        kind=model.EndpointKind.PLAIN,
        host="10.0.0.1",
        port=1,
        availability_zone="gasabo",
        pool="desk",
        slots=6,
        life=life,
    )


SERVER = _endpoint()


class TestParse:
    """Endpoints write a limit as a decimal number."""

    @pytest.mark.parametrize(
        ("text", "per_s"),
        [
            ("1.3", 1.3),
            ("0", 0.0),
            ("12", 12.0),
            (" 2.50 ", 2.5),
            (".5", 0.5),
            ("1.6666666666666667", 5 / 3),
        ],
    )
    def test_decimal_numbers(self, text: str, per_s: float) -> None:
        assert rate_limits.parse(text) == per_s

    @pytest.mark.parametrize(
        "text",
        [
            "",
            " ",
            "-1",
            "+1",
            "nan",
            "inf",
            "1e3",
            "1e309",
            "9" * 400,
            "1.3,1.3",
            "1.3 1.4",
            "1,3",
            "0x10",
            "١",
            "1_000",
        ],
    )
    def test_other_texts_are_invalid(self, text: str) -> None:
        """Guards against a malformed limit that stops or frees an endpoint."""
        with pytest.raises(rate_limits.InvalidRateLimitError):
            rate_limits.parse(text)


class TestObserve:
    """One VM learns limits from the answers that it gets."""

    def test_a_limit_is_named_changed_and_ended(self) -> None:
        table = rate_limits.RateLimitTable()
        assert table.observe(SERVER, None, 0.0, 0.1) is None
        assert table.observe(SERVER, 1.5, 0.2, 0.3).version == 1
        assert table.observe(SERVER, 1.5, 0.4, 0.5) is None
        assert table.observe(SERVER, 2.0, 0.4, 0.5).per_s == 2.0
        ended = table.observe(SERVER, None, 0.6, 0.7)
        assert (ended.version, ended.active) == (3, False)
        assert table.observe(SERVER, None, 0.8, 0.9) is None

    def test_an_answer_to_an_earlier_request_does_not_end_a_limit(self) -> None:
        """Guards against an answer that was overtaken by one with a limit."""
        table = rate_limits.RateLimitTable()
        table.observe(SERVER, 1.5, 0.0, 1.0)
        assert table.observe(SERVER, None, 0.9, 1.1) is None
        assert table.observe(SERVER, 3.0, 0.9, 1.1) is None
        assert table.observe(SERVER, 1.0, 0.9, 1.1).per_s == 1.0

    def test_a_limit_belongs_to_one_incarnation(self) -> None:
        """Guards against a limit that outlives the restart of its endpoint."""
        table = rate_limits.RateLimitTable()
        table.observe(SERVER, 1.5, 0.0, 1.0)
        assert table.get(_endpoint(life="2")) is None

        (limit,) = table
        assert limit.is_of({SERVER.id: SERVER})
        assert not limit.is_of({SERVER.id: _endpoint(life="2")})

    def test_memory_is_bounded(self) -> None:
        table = rate_limits.RateLimitTable()
        for number in range(rate_limits.MAX_RECORDS + 10):
            table.observe(_endpoint(f"s{number}"), 1.0, 0.0, 1.0)
        assert len(table) == rate_limits.MAX_RECORDS
        assert table.observe(SERVER, 2.0, 1.0, 2.0) is not None


class TestRate:
    """How many requests a second an endpoint may get."""

    def test_a_limit_of_zero_lets_a_request_pass_now_and_then(self) -> None:
        """Guards against an endpoint that is never asked again."""
        limit = rate_limits.RateLimit(endpoint_id="s0", per_s=0.0)
        assert limit.rate_per_s(0.0) == rate_limits.MIN_RATE_PER_S

    def test_the_rate_recovers_step_by_step(self) -> None:
        limit = rate_limits.RateLimit(
            endpoint_id="s0", per_s=2.0, active=False, changed_at=10.0
        )
        rates = [limit.rate_per_s(10.0 + age / 10) for age in range(31)]
        assert rates[0] == 2.0
        assert rates == sorted(rates)
        assert rates[-1] == float("inf")


class TestMerge:
    """VMs exchange records in any order, any number of times."""

    def _records(self) -> list[rate_limits.RateLimit]:
        rng = random.Random(1)
        return [
            rate_limits.RateLimit(
                endpoint_id=rng.choice("ab"),
                life="1",
                version=rng.randint(1, 3),
                per_s=rng.choice([1.0, 2.0]),
                active=rng.random() < 0.5,
            )
            for _ in range(5)
        ]

    def test_the_order_does_not_matter(self) -> None:
        """Guards against VMs that keep different limits for good."""
        digests = set()
        for order in itertools.permutations(self._records()):
            table = rate_limits.RateLimitTable()
            for record in (*order, *order):
                table.merge(record, 1.0)
            digests.add(table.digest())
        assert len(digests) == 1

    def test_of_simultaneous_changes_the_stricter_wins(self) -> None:
        ended = rate_limits.RateLimit(
            endpoint_id="s0", version=2, per_s=1.0, active=False
        )
        named = dataclasses.replace(ended, per_s=1.5, active=True)
        stricter = dataclasses.replace(named, per_s=1.2)
        assert named.supersedes(ended)
        assert stricter.supersedes(named)
        assert not named.supersedes(named)


class TestExpiry:
    """Records of endpoints that are gone, and ended ones, are dropped."""

    def test_only_limits_of_listed_endpoints_stay(self) -> None:
        table = rate_limits.RateLimitTable()
        gone = _endpoint("gone")
        table.observe(SERVER, 1.0, 0.0, 1.0)
        table.observe(gone, 1.0, 0.0, 1.0)
        listed = {SERVER.id: SERVER}
        assert table.expire(listed, 30.0) == []
        assert [item.endpoint_id for item in table.expire(listed, 61.0)] == [
            "gone"
        ]
        table.observe(SERVER, None, 62.0, 63.0)
        assert table.expire(listed, 64.0) == []
        assert len(table.expire(listed, 123.0)) == 1

    def test_a_dropped_record_does_not_come_back(self) -> None:
        """Guards against ended limits that VMs send each other for good."""
        first, second = (rate_limits.RateLimitTable() for _ in range(2))
        first.observe(SERVER, 1.0, 0.0, 1.0)
        (ended,) = [first.observe(SERVER, None, 2.0, 3.0)]
        received = dataclasses.replace(ended, received_at=4.0)
        assert second.merge(received, 4.0) is not None
        assert len(first.expire({SERVER.id: SERVER}, 63.5)) == 1
        (sent,) = second
        assert first.merge(sent, 63.6) is None

    def test_the_digest_follows_each_change(self) -> None:
        table = rate_limits.RateLimitTable()
        digests = [table.digest()]
        table.observe(SERVER, 1.0, 0.0, 1.0)
        digests.append(table.digest())
        table.observe(SERVER, None, 2.0, 3.0)
        digests.append(table.digest())
        table.expire({}, 100.0)
        assert len(set(digests)) == 3
        assert table.digest() == digests[0]


class TestLedger:
    """The operator sees each change of a limit."""

    def _observe(self, ledger, text, sent_at=1e12, conclusive=True):
        ledger.observe(
            endpoint_answers.Answer(
                endpoint=SERVER,
                limit_text=text,
                sent_at=sent_at,
                conclusive=conclusive,
            )
        )

    def test_changes_are_logged(self) -> None:
        log = fake_log.FakeLog()
        ledger = ledger_lib.RateLimitLedger(log, metrics_lib.Metrics())
        for text in (None, "1.5", "1.5", "1.0", None, None, "2"):
            self._observe(ledger, text)
        assert [name for name, _ in log.events] == [
            "endpoint_rate_limit_named",
            "endpoint_rate_limit_changed",
            "endpoint_rate_limit_ended",
            "endpoint_rate_limit_named",
        ]

    def test_an_inconclusive_answer_does_not_end_a_limit(self) -> None:
        """Guards against a failed answer without headers that ends a limit."""
        ledger = ledger_lib.RateLimitLedger(
            fake_log.FakeLog(), metrics_lib.Metrics()
        )
        self._observe(ledger, "1.5")
        self._observe(ledger, None, conclusive=False)
        assert ledger.table.get(SERVER).active

    def test_invalid_limits_change_nothing_and_are_logged_seldom(self) -> None:
        """Guards against a log flooded by an endpoint's malformed answers."""
        log = fake_log.FakeLog()
        ledger = ledger_lib.RateLimitLedger(log, metrics_lib.Metrics())
        self._observe(ledger, "1.5")
        for _ in range(50):
            self._observe(ledger, "nan")
        assert ledger.table.get(SERVER).per_s == 1.5
        names = [name for name, _ in log.events]
        assert names.count("endpoint_rate_limit_invalid") == 1
