"""Tests of `tools.paired_days`, which writes days of paired troubles."""

import collections
import itertools
import tomllib

from tools import paired_days

_SERVICES = ["drafting", "desk"]


def _pairs_of(day):
    return [
        (_without_time(work), _without_time(fault))
        for work, fault in zip(day.plan, day.faults, strict=True)
    ]


def _without_time(entry):
    return tuple(item for item in entry.items() if item[0] != "at")


class TestDays:
    """Which pairs the days of one seed hold."""

    def test_each_pair_comes_once(self):
        counts = collections.Counter(
            itertools.chain.from_iterable(
                _pairs_of(day) for day in paired_days.days(_SERVICES, 1)
            )
        )
        assert set(counts.values()) == {1}
        assert len(counts) == len(paired_days.pairs(_SERVICES))

    def test_seed_repeats_its_days(self):
        first, again, other = (
            list(paired_days.days(_SERVICES, seed)) for seed in (1, 1, 2)
        )
        assert first == again
        assert first != other

    def test_fault_begins_beside_its_planned_work(self):
        for day in paired_days.days(_SERVICES, 1):
            for work, fault in zip(day.plan, day.faults, strict=True):
                assert abs(work["at"] - fault["at"]) <= 1.0

    def test_text_is_a_day_file(self):
        day = next(paired_days.days(_SERVICES, 1))
        [parsed] = tomllib.loads(day.text())["day"]
        assert parsed["name"] == "pairs-1-0"
        assert parsed["plan"] == day.plan
        assert parsed["faults"] == day.faults
