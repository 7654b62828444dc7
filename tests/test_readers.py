"""Tests of `decisions.readers`: who reads the registry's store."""

import dataclasses

import pytest
from tests import member_net

from cowsliprill.decisions import readers

_ZONES = 6


def _fleet(count, **fields):
    return [member_net.record(number, **fields) for number in range(count)]


def _readers(fleet):
    return [
        own
        for own in fleet
        if readers.reads(own, [record for record in fleet if record != own])
    ]


def _change(fleet, ids, **fields):
    return [
        dataclasses.replace(record, **fields) if record.id in ids else record
        for record in fleet
    ]


class TestReads:
    """Few VMs of each zone read for the others."""

    @pytest.mark.parametrize("count", [12, 195, 690])
    def test_a_few_a_zone_whatever_the_fleet(self, count):
        assert len(_readers(_fleet(count))) == _ZONES * readers.READERS_A_ZONE

    def test_a_vm_alone_in_its_zone_reads(self):
        assert len(_readers(_fleet(_ZONES))) == _ZONES

    def test_others_stand_in_for_those_that_the_store_turns_away(self):
        """The store turns a zone's readers away and serves the other VMs.

        Nobody of the zone would have what is new until the store serves its
        readers again. They go on trying themselves.
        """
        fleet = _fleet(195)
        before = {own.id for own in _readers(fleet)}
        fleet = _change(fleet, before, blind=True)
        after = {own.id for own in _readers(fleet)}
        assert len(after) == 2 * len(before)
        assert after > before

    def test_a_store_that_is_down_is_not_tried_by_all(self):
        """The store is down, and each VM that tries finds it so.

        If all tried, the store would be pressed by the whole fleet just when
        it comes back.
        """
        fleet = _fleet(195)
        for _ in range(20):
            ids = {own.id for own in _readers(fleet)}
            fleet = _change(fleet, ids, blind=True)
        assert len(_readers(fleet)) < 195 / 3

    def test_one_that_leaves_hands_over(self):
        fleet = _fleet(195)
        before = {own.id for own in _readers(fleet)}
        fleet = _change(fleet, before, leaving=True)
        assert not before & {own.id for own in _readers(fleet)}
