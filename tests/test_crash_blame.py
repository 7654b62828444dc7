"""Which requests are blamed for the ends of engines."""

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
        assert not blame["p"].has_sole_suspect
        blame = crash_blame.assign(_records("pa", "p", "pc"))
        assert blame["p"].has_sole_suspect

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
