"""Which requests are blamed for the ends of engines."""

import dataclasses

import pytest

from cowsliprill.decisions import crash_blame
from cowsliprill.decisions import crash_records


def _records(*suspects_of_ends: str) -> list[crash_records.CrashRecord]:
    """Returns one record an end; each letter stands for one request."""
    return [
        crash_records.CrashRecord(
            endpoint_id=f"e{number}",
            number=0,
            sent_before_s=dict.fromkeys(suspects, 0.1),
            observed_at=float(number),
        )
        for number, suspects in enumerate(suspects_of_ends)
    ]


def _counts(*suspects_of_ends: str) -> dict[str, int]:
    blame = crash_blame.assign(_records(*suspects_of_ends))
    return {key: len(item.records) for key, item in blame.items()}


class TestAssign:
    """The request that accounts for most ends is blamed for all of them."""

    def test_company_is_cleared_of_ends_that_another_accounts_for(self):
        """Guards against blame for requests that were in bad company."""
        assert _counts("pa", "pab", "pb", "p") == {"p": 4}

    def test_two_causes_are_told_apart(self):
        assert _counts("p", "pa", "p", "q", "qa", "q") == {"p": 3, "q": 3}

    def test_requests_that_always_came_together_are_both_blamed(self):
        assert _counts("pa", "pa", "pa") == {"p": 3, "a": 3}

    def test_acquitted_requests_are_left_out(self):
        first, *others = _records("pa", "pa", "p")
        first = crash_records.CrashRecord(
            endpoint_id=first.endpoint_id,
            number=0,
            sent_before_s=first.sent_before_s,
            acquitted=frozenset("p"),
        )
        blame = crash_blame.assign([first, *others])
        assert len(blame["p"].records) == 2


class TestBlame:
    """Properties of the ends that a request is blamed for."""

    def test_sole_suspect(self):
        blame = crash_blame.assign(_records("pa", "pb", "pc"))
        assert not blame["p"].sole_suspects
        blame = crash_blame.assign(_records("pa", "p", "pc"))
        assert blame["p"].sole_suspects == {"p"}

    def test_end_beside_that_of_an_engine_without_the_request(self):
        """Guards against blame for a rack that ends with its engines."""
        alone, other = _records("p", "q")
        together = dataclasses.replace(other, observed_at=0.05)
        blame = crash_blame.assign([alone, together])
        assert not blame["p"].sole_suspects
        blame = crash_blame.assign([alone, other])
        assert blame["p"].sole_suspects == {"p"}

    @pytest.mark.parametrize(
        ("sent_before_s", "separate"), [(0.5, 1), (0.05, 5)]
    )
    def test_ends_are_separate_if_sent_after_the_previous_one(
        self, sent_before_s, separate
    ):
        """Guards against a rack whose engines count as several ends."""
        records = [
            crash_records.CrashRecord(
                endpoint_id=f"e{number}",
                number=0,
                sent_before_s={"a": sent_before_s},
                observed_at=number * 0.1,
                confirmed=True,
            )
            for number in range(5)
        ]
        blame = crash_blame.assign(records)["a"]
        assert blame.separate_ends == separate
        assert blame.confirmed == separate


def _part_records(*ends: dict[str, str]) -> list[crash_records.CrashRecord]:
    """Returns one record an end, from the parts of each request's prompt."""
    return [
        crash_records.CrashRecord(
            endpoint_id=f"e{number}",
            number=0,
            sent_before_s=dict.fromkeys(parts_by_request, 0.1),
            parts_by_fingerprint={
                request: frozenset(parts)
                for request, parts in parts_by_request.items()
            },
            observed_at=float(number),
        )
        for number, parts_by_request in enumerate(ends)
    ]


class TestParts:
    """A part that different requests share is blamed for all of their ends."""

    def test_part_explains_ends_of_different_requests(self):
        """Guards against a part that each request with it is blamed for."""
        records = _part_records({"P": "xa"}, {"Q": "xb"}, {"R": "xc"})
        blame = crash_blame.assign(records)
        assert set(blame) == {"x"}
        assert blame["x"].is_part
        assert blame["x"].fingerprints == {"P", "Q", "R"}
        assert blame["x"].sole_suspects == {"P", "Q", "R"}
        assert blame["x"].companions == frozenset()

    def test_repeats_of_one_request_blame_it_and_its_parts_alike(self):
        blame = crash_blame.assign(_part_records({"P": "x"}, {"P": "x"}))
        assert {key: len(item.records) for key, item in blame.items()} == {
            "P": 2,
            "x": 2,
        }
        assert not blame["P"].is_part
        assert blame["x"].fingerprints == {"P"}

    def test_parts_that_always_came_together_are_companions(self):
        """Guards against blame for a part that only came with the cause."""
        blame = crash_blame.assign(_part_records({"P": "xy"}, {"Q": "xyz"}))
        assert blame["x"].companions == {"y"}
        assert blame["y"].companions == {"x"}

    def test_request_in_company_of_the_part_is_cleared(self):
        """Guards against blame for requests that started beside the cause."""
        records = _part_records({"P": "x", "S": "s"}, {"Q": "x"}, {"R": "x"})
        assert set(crash_blame.assign(records)) == {"x"}

    def test_two_parts_that_end_engines_are_told_apart(self):
        records = _part_records({"P": "x"}, {"Q": "y"}, {"R": "x"}, {"S": "y"})
        counts = {
            key: len(item.records)
            for key, item in crash_blame.assign(records).items()
        }
        assert counts == {"x": 2, "y": 2}

    def test_part_that_engines_survive_is_left_out(self):
        table = crash_records.CrashTable()
        for record in _part_records({"P": "xa"}, {"Q": "xa"}):
            table.merge(record, 1.0)
        table.acquit("S", "", ["a"])
        assert set(crash_blame.assign(table)) == {"x"}
