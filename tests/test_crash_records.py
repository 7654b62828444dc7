"""Records of engines that ended, as each VM keeps and merges them."""

import dataclasses
import random

import hypothesis
import pytest
from hypothesis import strategies

from cowsliprill.decisions import crash_records
from cowsliprill.decisions import model

_FINGERPRINTS = [f"{number:016x}" for number in range(40)]


def engine(
    name: str = "e1", life: str = "", pool: str = "writers"
) -> model.Endpoint:
    """Returns a decode engine."""
    return model.Endpoint(
        id=name,
        kind=model.EndpointKind.DECODE,
        host="10.0.0.1",
        port=1,
        availability_zone="a",
        pool=pool,
        slots=4,
        life=life,
    )


_RECORDS = strategies.builds(
    crash_records.CrashRecord,
    endpoint_id=strategies.sampled_from(["e1", "e2"]),
    number=strategies.integers(0, 1),
    sent_before_s=strategies.dictionaries(
        strategies.sampled_from(_FINGERPRINTS),
        strategies.sampled_from([0.0, 0.1, 0.2]),
        max_size=20,
    ),
    acquitted=strategies.frozensets(
        strategies.sampled_from(_FINGERPRINTS[:5]), max_size=3
    ),
    confirmed=strategies.booleans(),
    version=strategies.sampled_from(["", "v1", "v2"]),
    observed_at=strategies.floats(95.0, 100.0),
)


_PARTS = strategies.frozensets(
    strategies.sampled_from(_FINGERPRINTS), max_size=8
)
_RECORDS_WITH_PARTS = strategies.builds(
    lambda record, parts, acquitted: dataclasses.replace(
        record,
        parts_by_fingerprint=dict.fromkeys(record.suspects, parts),
        acquitted_parts=parts & acquitted,
    ),
    _RECORDS,
    _PARTS.filter(bool),
    _PARTS,
)


def _merged(records):
    table = crash_records.CrashTable()
    for record in records:
        table.merge(record, 100.0)
    return sorted(record.content() for record in table)


class TestMerge:
    """VMs that have received the same records agree."""

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(
        strategies.lists(_RECORDS, max_size=6), strategies.integers(0, 99)
    )
    def test_order_and_repetition_do_not_matter(self, records, seed):
        """Guards against views that differ for good after lost messages."""
        shuffled = [*records, *records]
        random.Random(seed).shuffle(shuffled)
        assert _merged(shuffled) == _merged(records)

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(
        strategies.lists(_RECORDS_WITH_PARTS, max_size=6),
        strategies.integers(0, 99),
    )
    def test_order_does_not_matter_for_parts(self, records, seed):
        """Guards against VMs that differ for good on a part of prompts."""
        shuffled = [*records, *records]
        random.Random(seed).shuffle(shuffled)
        assert _merged(shuffled) == _merged(records)

    def test_confirmed_record_is_taken_after_the_unconfirmed_has_expired(self):
        """Guards against a VM that ignores what the others have confirmed."""
        table = crash_records.CrashTable()
        record = table.observe(engine(), _FINGERPRINTS[0], 99.9, 100.0)
        later = 100.0 + crash_records.CONFIRMATION_TIMEOUT_S
        assert table.expire(later) == [record]
        assert table.merge(record, later) is None
        confirmed = dataclasses.replace(record, confirmed=True)
        assert table.merge(confirmed, later) == confirmed
        assert not table.expire(later + 60.0)


class TestObserve:
    """Losses of one end make one record, a further end makes another."""

    @pytest.mark.parametrize(
        ("second", "after_s", "records"),
        [
            (engine(), 0.5, 1),
            (engine(), 3.0, 2),
            (engine(life="2"), 0.5, 2),
            (engine("e2"), 0.5, 2),
        ],
        ids=["same", "same-id-later", "other-life", "other-engine"],
    )
    def test_ends_are_counted_rather_than_ids(self, second, after_s, records):
        """Guards against an engine that ends often and counts once."""
        table = crash_records.CrashTable()
        table.observe(engine(), _FINGERPRINTS[0], 99.9, 100.0)
        table.observe(second, _FINGERPRINTS[0], 99.9, 100.0 + after_s)
        assert len(table) == records

    def test_end_after_a_confirmed_one_is_another(self):
        """Guards against an engine that restarts fast and counts once."""
        table = crash_records.CrashTable()
        first = table.observe(engine(), _FINGERPRINTS[0], 99.9, 100.0)
        table.confirm(first.key)
        table.observe(engine(), _FINGERPRINTS[0], 100.5, 100.6)
        assert len(table) == 2

    def test_memory_is_bounded_under_a_flood(self):
        """Guards against unbounded memory under many crashing requests."""
        table = crash_records.CrashTable()
        kept = table.observe(engine("kept"), _FINGERPRINTS[0], 99.9, 100.0)
        table.confirm(kept.key)
        for number in range(3_000):
            table.observe(engine(f"e{number}"), f"{number:016x}", 99.9, 100.0)
        for number in range(100):
            table.observe(engine("one"), f"{number:016x}", 99.9, 100.0)
        assert len(table) == 512
        assert max(len(record.suspects) for record in table) <= 32
        assert kept.key in {record.key for record in table}


class TestAcquit:
    """A completed run clears a request, at engines of the same pool."""

    def test_other_pools_still_count(self):
        """Guards against a canary that ends while the old engines serve on."""
        table = crash_records.CrashTable()
        table.observe(engine("old"), _FINGERPRINTS[0], 99.9, 100.0)
        table.observe(
            engine("new", pool="canary"), _FINGERPRINTS[0], 99.9, 100.0
        )
        table.acquit(_FINGERPRINTS[0], "writers")
        assert [
            record.pool for record in table if record.remaining_suspects
        ] == ["canary"]

    def test_output_clears_all_parts_of_the_prompt(self):
        """Guards against popular parts that stay suspected."""
        table = crash_records.CrashTable()
        table.observe(engine(), _FINGERPRINTS[0], 99.9, 100.0, ["x", "y"])
        table.acquit(_FINGERPRINTS[1], "writers", ["x", "z"])
        (record,) = table
        assert record.remaining_features == {_FINGERPRINTS[0], "y"}
        assert record.acquitted_parts == {"x"}
