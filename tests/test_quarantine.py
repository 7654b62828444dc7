"""Restrictions of requests that end engines."""

import dataclasses

import pytest
from tests import test_crash_records

from cowsliprill.decisions import crash_records
from cowsliprill.decisions import quarantine

_KIND = quarantine.RestrictionKind
_REQUEST = f"{1:016x}"
_OTHER = f"{2:016x}"
_START = 100.0


def _quarantine(ends: int, *, confirmed: int = 0, company: str = "", **limits):
    """Returns a quarantine after some ends, one a second."""
    state = quarantine.Quarantine(quarantine.Limits(**limits))
    for number in range(ends):
        now = _START + number
        engine = test_crash_records.engine(f"e{number}")
        record = state.table.observe(engine, _REQUEST, now - 0.1, now)
        if company:
            state.table.observe(engine, company, now - 0.1, now)
        if number < confirmed:
            state.table.confirm(record.key)
    state.refresh(_START + ends)
    return state


def _kind(state, fingerprint=_REQUEST, now=_START + 5.0):
    restriction = state.restriction(fingerprint, now)
    return restriction.kind if restriction else None


class TestRestriction:
    """When a request must not be sent."""

    @pytest.mark.parametrize(
        ("ends", "confirmed", "kind"),
        [
            (2, 2, None),
            (3, 0, _KIND.HELD),
            (3, 2, _KIND.HELD),
            (3, 3, _KIND.QUARANTINED),
            (4, 3, _KIND.QUARANTINED),
        ],
    )
    def test_three_ends_restrict_and_confirmed_ones_quarantine(
        self, ends, confirmed, kind
    ):
        assert _kind(_quarantine(ends, confirmed=confirmed)) is kind

    def test_held_request_is_released_when_no_end_is_confirmed(self):
        """Guards against cut connections that keep a proper request out."""
        state = _quarantine(3)
        left_s = state.restriction(_REQUEST, _START + 5.0).left_s
        last_end = _START + 2.0
        expiry = last_end + crash_records.CONFIRMATION_TIMEOUT_S
        assert left_s == expiry - (_START + 5.0)
        assert _kind(state, now=expiry) is None

    def test_company_needs_further_ends(self):
        """Guards against refusing a request that came along three times."""
        assert _kind(_quarantine(3, confirmed=3, company=_OTHER)) is None
        assert _kind(_quarantine(4, confirmed=4, company=_OTHER)) is None
        five = _quarantine(5, confirmed=5, company=_OTHER)
        assert _kind(five) is _KIND.QUARANTINED

    def test_one_more_end_alone_tells_cause_and_company_apart(self):
        state = _quarantine(3, confirmed=3, company=_OTHER)
        record = state.table.observe(
            test_crash_records.engine("last"),
            _REQUEST,
            _START + 3.9,
            _START + 4.0,
        )
        state.table.confirm(record.key)
        state.refresh(_START + 4.0)
        assert _kind(state) is _KIND.QUARANTINED
        assert _kind(state, _OTHER) is None

    def test_quarantine_ends_and_doubles_with_each_further_end(self):
        """Guards against a request that is refused for good."""
        state = _quarantine(3, confirmed=3, quarantine_s=60.0)
        assert _kind(state, now=_START + 61.0) is _KIND.QUARANTINED
        assert _kind(state, now=_START + 62.0) is None
        record = state.table.observe(
            test_crash_records.engine("last"),
            _REQUEST,
            _START + 69.9,
            _START + 70.0,
        )
        state.table.confirm(record.key)
        state.refresh(_START + 70.0)
        assert _kind(state, now=_START + 189.0) is _KIND.QUARANTINED
        assert _kind(state, now=_START + 190.0) is None

    def test_completed_run_lifts_it(self):
        state = _quarantine(3, confirmed=3)
        state.table.acquit(_REQUEST, "writers")
        state.refresh(_START + 5.0)
        assert _kind(state) is None

    def test_operator_can_release_a_request(self):
        state = _quarantine(3, confirmed=3)
        state.limits = dataclasses.replace(
            state.limits, released=frozenset({_REQUEST})
        )
        assert _kind(state) is None


class TestFullTable:
    """The table is full of ends of other engines."""

    @pytest.mark.parametrize("acquitted", [False, True])
    def test_a_request_that_ends_engines_is_restricted(self, acquitted):
        """Guards against a quarantine that many ends of a day switch off."""
        state = quarantine.Quarantine(quarantine.Limits())
        table = state.table
        for number in range(crash_records.MAX_RECORDS + 1):
            engine = test_crash_records.engine(f"old-{number}")
            request = f"{number + 2**32:016x}"
            now = number * 0.01
            record = table.observe(engine, request, now - 0.1, now)
            table.confirm(record.key)
            if acquitted:
                table.acquit(request, engine.pool)
        for number in range(3):
            now = _START + 4.0 * number
            engine = test_crash_records.engine(f"e{number}")
            record = table.observe(engine, _REQUEST, now - 0.1, now)
            state.refresh(now + 1.0)
            table.confirm(record.key)
        state.refresh(_START + 9.0)
        assert _kind(state, now=_START + 9.0) is _KIND.QUARANTINED

    def test_later_ends_of_other_engines_do_not_release_it(self):
        """Guards against a request that is let through by unrelated ends."""
        state = _quarantine(3, confirmed=3)
        for number in range(crash_records.MAX_RECORDS + 1):
            now = _START + 3.0 + number * 0.01
            engine = test_crash_records.engine(f"new-{number}")
            request = f"{number + 2**32:016x}"
            record = state.table.observe(engine, request, now - 0.1, now)
            state.table.confirm(record.key)
        state.refresh(_START + 10.0)
        assert _kind(state, now=_START + 10.0) is _KIND.QUARANTINED
