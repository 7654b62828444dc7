"""Tests of the selection of designated readers of the registry's store."""

import dataclasses

import pytest
from tests import member_net

from cowsliprill.decisions import designated_readers

_ZONES = 6


def _fleet(count, **fields):
    return [member_net.record(number, **fields) for number in range(count)]


def _selected(fleet):
    return [
        own
        for own in fleet
        if designated_readers.is_reader(
            own, [record for record in fleet if record != own]
        )
    ]


def _with_fields(fleet, ids, **fields):
    return [
        dataclasses.replace(record, **fields) if record.id in ids else record
        for record in fleet
    ]


class TestReads:
    """Few VMs of each zone read the store on behalf of the others."""

    @pytest.mark.parametrize("count", [12, 195, 690])
    def test_readers_per_zone_do_not_grow_with_the_fleet(self, count):
        assert (
            len(_selected(_fleet(count)))
            == _ZONES * designated_readers.READERS_PER_ZONE
        )

    def test_the_only_vm_of_a_zone_reads(self):
        assert len(_selected(_fleet(_ZONES))) == _ZONES

    def test_backup_readers_take_over_from_refused_readers(self):
        """Guards against a zone without updates while its readers are refused.

        The store refuses the readers of each zone but serves other VMs. Backup
        readers must take over, while the refused readers keep trying.
        """
        fleet = _fleet(195)
        before = {own.id for own in _selected(fleet)}
        fleet = _with_fields(fleet, before, store_unreachable=True)
        after = {own.id for own in _selected(fleet)}
        assert len(after) == 2 * len(before)
        assert after > before

    def test_few_vms_try_a_store_that_is_down(self):
        """Guards against a whole fleet that calls a store on its recovery.

        While the store is down, every VM that tries to read it fails. If each
        failure added a backup reader, all VMs would call the store when it
        comes back.
        """
        fleet = _fleet(195)
        for _ in range(20):
            ids = {own.id for own in _selected(fleet)}
            fleet = _with_fields(fleet, ids, store_unreachable=True)
        assert len(_selected(fleet)) < 195 / 3

    def test_a_leaving_reader_is_replaced(self):
        fleet = _fleet(195)
        before = {own.id for own in _selected(fleet)}
        fleet = _with_fields(fleet, before, leaving=True)
        assert not before & {own.id for own in _selected(fleet)}
