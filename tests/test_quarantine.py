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


_PART = f"{3:016x}"
_COMPANION = f"{4:016x}"


def _request(number):
    return f"{number + 2**16:016x}"


def _part_quarantine(
    *requests, parts=(_PART,), apart_s=1.0, confirmed=True, control=True
):
    """Returns a quarantine after ends by requests that share parts.

    With a control group, engines have since given output for other requests.
    """
    state = quarantine.Quarantine(quarantine.Limits())
    for number, request in enumerate(requests):
        now = _START + number * apart_s
        engine = test_crash_records.engine(f"e{number}")
        record = state.table.observe(
            engine, _request(request), now - 0.1, now, parts
        )
        if confirmed:
            state.table.confirm(record.key)
    end = _START + len(requests) * apart_s
    if control:
        state.table.record_output("writers", end)
    state.refresh(end)
    return state


def _part_kind(state, *parts, request=99, now=_START + 5.0):
    restriction = state.restriction(_request(request), now, parts)
    return restriction.kind if restriction else None


def _record_other_end(table, number, now):
    """Records a certain end of another engine by another request.

    Returns:
      The fingerprint of that request.
    """
    request = f"{number + 2**32:016x}"
    engine = test_crash_records.engine(f"other-{number}")
    record = table.observe(engine, request, now - 0.1, now)
    table.confirm(record.key)
    return request


class TestPart:
    """Requests with a part that ends engines must not be sent."""

    @pytest.mark.parametrize(
        ("requests", "kind"),
        [
            ((1, 2), None),
            ((1, 2, 3), _KIND.QUARANTINED),
            ((1, 1, 2), _KIND.QUARANTINED),
            # Repeats of one request don't tell it from its parts.
            ((1, 1, 1, 1), None),
        ],
    )
    def test_three_ends_by_two_requests_restrict_all_with_the_part(
        self, requests, kind
    ):
        """Guards against new requests that begin with a clean record."""
        state = _part_quarantine(*requests)
        assert _part_kind(state, _PART, _COMPANION) is kind
        assert _part_kind(state, _COMPANION) is None

    def test_part_is_held_until_the_ends_are_confirmed(self):
        state = _part_quarantine(1, 2, 3, confirmed=False)
        assert _part_kind(state, _PART) is _KIND.HELD

    def test_ends_at_one_moment_say_no_more_than_one(self):
        """Guards against blame for a part when engines end with their rack."""
        state = _part_quarantine(1, 2, 3, 4, 5, 6, apart_s=0.01)
        assert _part_kind(state, _PART) is None

    def test_one_later_end_tells_a_burst_from_a_rack(self):
        state = _part_quarantine(1, 2, 3, 4, apart_s=0.01)
        now = _START + 3.0
        engine = test_crash_records.engine("last")
        record = state.table.observe(
            engine, _request(5), now - 0.1, now, [_PART]
        )
        state.table.confirm(record.key)
        state.refresh(now)
        assert _part_kind(state, _PART) is _KIND.QUARANTINED

    def test_parts_that_always_came_together_are_refused_together_only(self):
        """Guards against refusing a part for what its companion does."""
        state = _part_quarantine(1, 2, 3, parts=(_PART, _COMPANION))
        assert _part_kind(state, _PART, _COMPANION) is _KIND.QUARANTINED
        assert _part_kind(state, _COMPANION) is None
        assert _part_kind(state, _PART) is None

    def test_output_on_the_companion_leaves_the_cause(self):
        state = _part_quarantine(1, 2, 3, parts=(_PART, _COMPANION))
        state.table.acquit(_request(98), "writers", [_COMPANION])
        state.refresh(_START + 5.0)
        assert _part_kind(state, _COMPANION) is None
        assert _part_kind(state, _PART) is _KIND.QUARANTINED

    def test_request_whose_part_may_be_the_cause_is_paused_after_two_ends(self):
        """Guards against repeats that end engines and tell nothing new."""
        state = _part_quarantine(1, 1)
        assert _part_kind(state, _PART, request=1) is _KIND.HELD
        assert _part_kind(state, _PART, request=2) is None
        expiry = _START + 1.0 + crash_records.CONFIRMATION_TIMEOUT_S
        assert _part_kind(state, _PART, request=1, now=expiry) is None

    def test_request_with_proven_parts_is_not_paused(self):
        state = _part_quarantine(1, 1)
        state.table.acquit(_request(98), "writers", [_PART])
        state.refresh(_START + 5.0)
        assert _part_kind(state, _PART, request=1) is None

    def test_is_not_blamed_while_engines_survive_nothing_else(self):
        """Guards against a pool refused whole for a part of all requests."""
        state = _part_quarantine(*range(1, 9), control=False)
        assert _part_kind(state, _PART) is None
        assert _part_kind(state, _PART, request=1) is None
        state.table.record_output("writers", _START + 9.0)
        state.refresh(_START + 9.0)
        assert _part_kind(state, _PART) is _KIND.QUARANTINED

    def test_earlier_output_for_others_restricts_it_for_a_short_time(self):
        """Guards against a pool refused for long for what all have since."""
        state = _part_quarantine(1, 2, 3, control=False)
        state.table.record_output("writers", _START - 1.0)
        state.refresh(_START + 5.0)
        assert _part_kind(state, _PART) is _KIND.QUARANTINED
        assert _part_kind(state, _PART, now=_START + 2.0 + 10.0) is None
        state.table.record_output("writers", _START + 5.0)
        state.refresh(_START + 5.0)
        later = _START + 2.0 + 599.0
        assert _part_kind(state, _PART, now=later) is _KIND.QUARANTINED

    def test_output_long_before_is_no_control_group(self):
        state = _part_quarantine(1, 2, 3, control=False)
        assert not state.table.record_output("writers", _START - 100.0)
        state.refresh(_START + 5.0)
        assert _part_kind(state, _PART) is None

    def test_output_of_another_pool_is_no_control_group(self):
        state = _part_quarantine(1, 2, 3, control=False)
        assert not state.table.record_output("readers", _START + 5.0)
        state.refresh(_START + 5.0)
        assert _part_kind(state, _PART) is None

    def test_operator_can_release_a_part(self):
        state = _part_quarantine(1, 2, 3)
        state.limits = dataclasses.replace(
            state.limits, released=frozenset({_PART})
        )
        assert _part_kind(state, _PART) is None

    def test_a_part_outlasts_a_full_table(self):
        """Guards against unrelated ends that push out those of a part."""
        state = _part_quarantine(1, 2, 3)
        for number in range(crash_records.MAX_RECORDS + 1):
            _record_other_end(
                state.table, number, _START + 3.0 + number * 0.001
            )
        state.refresh(_START + 5.0)
        assert _part_kind(state, _PART) is _KIND.QUARANTINED


class TestOtherVersion:
    """Engines of another software version replace those that ended."""

    @staticmethod
    def _ended(ends: int, *, version: str = "v1", state=None, first: int = 0):
        """Returns a quarantine after engines of a version have ended."""
        state = state or quarantine.Quarantine(quarantine.Limits())
        for number in range(first, first + ends):
            now = _START + number
            engine = dataclasses.replace(
                test_crash_records.engine(f"e{number}"),
                software_version=version,
            )
            record = state.table.observe(engine, _REQUEST, now - 0.1, now)
            state.table.confirm(record.key)
        state.refresh(_START + first + ends)
        return state

    @pytest.mark.parametrize(
        ("listed", "kind"),
        [
            ((), _KIND.QUARANTINED),
            (("v1",), _KIND.QUARANTINED),
            (("v1", "v2"), _KIND.QUARANTINED),
            (("v2",), None),
            (("",), None),
        ],
    )
    def test_may_survive_the_request(self, listed, kind):
        """Guards against a verdict that outlives the release that mends it."""
        state = self._ended(3)
        if listed:
            pool = test_crash_records.engine("e0").pool
            state.versions_by_pool = {pool: frozenset(listed)}
        assert _kind(state) is kind

    def test_that_ends_as_well_restricts_the_request_at_once(self):
        """Guards against three more engines that end with each release."""
        state = self._ended(3)
        pool = test_crash_records.engine("e0").pool
        state.versions_by_pool = {pool: frozenset({"v2"})}
        assert _kind(state) is None
        self._ended(1, version="v2", state=state, first=3)
        assert _kind(state) is _KIND.QUARANTINED

    def test_unknown_version_counts_for_all(self):
        """Guards against engines of a release that doesn't tell versions."""
        state = self._ended(3, version="")
        pool = test_crash_records.engine("e0").pool
        state.versions_by_pool = {pool: frozenset({"v2"})}
        assert _kind(state) is _KIND.QUARANTINED


class TestFullTable:
    """The table is full of ends of other engines."""

    @pytest.mark.parametrize("acquitted", [False, True])
    def test_a_request_that_ends_engines_is_restricted(self, acquitted):
        """Guards against a quarantine that many ends of a day switch off."""
        state = quarantine.Quarantine(quarantine.Limits())
        table = state.table
        for number in range(crash_records.MAX_RECORDS + 1):
            request = _record_other_end(table, number, number * 0.01)
            if acquitted:
                table.acquit(request, "writers")
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
            _record_other_end(state.table, number, _START + 3.0 + number * 0.01)
        state.refresh(_START + 10.0)
        assert _kind(state, now=_START + 10.0) is _KIND.QUARANTINED
