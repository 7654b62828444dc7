"""Tests of which resumed streams may wait for an engine."""

import dataclasses

import pytest
from tests import test_pool_scheduler as base

from cowsliprill.decisions import messages
from cowsliprill.decisions import model

_CALLERS = 60
# Takes almost all memory of an engine.
_FULL_TOKENS = 16 * 1_000 - 400


class _Site(base._Site):
    """A pool whose engines are full."""

    def __init__(self, *versions: str, learns: bool = True) -> None:
        super().__init__(entries=1, decodes=len(versions))
        self.set_versions(*versions)
        self.send_heartbeats()
        if learns:
            self._learn()
        for number in range(len(versions)):
            self.send("vm-0", base._submit(number, self.now, _FULL_TOKENS))
        assert len(self.decisions("vm-0")) == len(versions)

    def _learn(self) -> None:
        """Completes a request that took a second, so that estimates exist."""
        self.send("vm-0", base._submit(900, self.now))
        self.decisions("vm-0")
        self.send("vm-0", messages.PrefillFinished(900))
        self.send("vm-0", messages.FirstToken(900))
        self.now += 4.0
        self.send("vm-0", messages.Finished(900, 480))

    def submit_all(self, **fields) -> list[messages.Decision]:
        """Submits requests that arrive one after the other."""
        decisions = []
        for number in range(100, 100 + _CALLERS):
            self.now += 0.005
            submit = base._submit(number, self.now, **fields)
            self.send("vm-0", submit)
            decisions += self.decisions("vm-0")
        return decisions


def _outcomes(decisions: list[messages.Decision]) -> list[tuple[int, str]]:
    return [
        (
            decision.request_id,
            decision.code.value
            if isinstance(decision, messages.Refuse)
            else "started",
        )
        for decision in decisions
    ]


class TestOnlyVersion:
    """All engines can serve a resumed stream, as they can a new request."""

    def test_is_admitted_as_a_new_request_is(self):
        """Guards against streams that wait without a chance.

        They start all at once when an engine comes back, so that none of them
        gets output in time.
        """
        new = _outcomes(_Site("v1", "v1").submit_all())
        resumed = _outcomes(
            _Site("v1", "v1").submit_all(resumes=True, version="v1")
        )
        assert new
        assert resumed == new

    def test_waits_in_one_queue_with_new_requests(self):
        """Guards against new requests that are admitted as if none waited."""
        site = _Site("v1", "v1")
        site.submit_all(resumes=True, version="v1")
        load = site.pool_scheduler.pool_load("brief")
        late = base._submit(1_000, site.now)
        site.send("vm-0", late)
        assert load.waiting
        (refusal,) = site.decisions("vm-0")
        assert isinstance(refusal, messages.Refuse)


class TestSeveralVersions:
    """Only some engines can serve a resumed stream."""

    @pytest.mark.parametrize("versions", [("v1", "v2"), ("v1", "v2", "v2")])
    def test_no_more_wait_than_its_engines_can_serve_in_time(self, versions):
        """Guards against streams that wait for their version without a chance.

        Their callers learn too late that they must begin anew.
        """
        alone = _outcomes(_Site("v1").submit_all(resumes=True, version="v1"))
        refused = _outcomes(
            _Site(*versions).submit_all(resumes=True, version="v1")
        )
        assert alone
        assert len(refused) >= len(alone)


class TestChangeOfEngines:
    """Engines of another version come while a stream waits."""

    @staticmethod
    def _upgraded(site: _Site, *left: str) -> dict[str, model.Endpoint]:
        """Returns the engines with a free one of another version."""
        engines = {
            name: engine
            for name, engine in site.snapshot.endpoints_by_id.items()
            if name not in left
        }
        new = dataclasses.replace(
            site.snapshot.endpoints_by_id["d0"], id="d9", software_version="v2"
        )
        return {**engines, "d9": new}

    def test_waiting_stream_does_not_block_new_requests(self):
        """Guards against idle engines behind a stream of another version."""
        site = _Site("v1", learns=False)
        resumed = base._submit(1, site.now, resumes=True, version="v1")
        site.send("vm-0", resumed)
        assert site.decisions("vm-0") == []
        site.set_engines(self._upgraded(site))
        assert site.decisions("vm-0") == []
        site.send("vm-0", base._submit(2, site.now))
        (start,) = site.decisions("vm-0")
        assert (start.request_id, start.decode_id) == (2, "d9")

    def test_waiting_stream_is_refused_when_its_version_leaves(self):
        """Guards against waits until the deadline after a release."""
        site = _Site("v1", learns=False)
        resumed = base._submit(1, site.now, resumes=True, version="v1")
        site.send("vm-0", resumed)
        assert site.decisions("vm-0") == []
        site.set_engines(self._upgraded(site, "d0"))
        (refusal,) = site.decisions("vm-0")
        assert refusal.code is messages.RefusalCode.VERSION_UNAVAILABLE

    def test_waiting_stream_is_refused_when_all_engines_leave(self):
        """Guards against waits until the deadline in an empty pool."""
        site = _Site("v1", learns=False)
        resumed = base._submit(1, site.now, resumes=True, version="v1")
        site.send("vm-0", resumed)
        assert site.decisions("vm-0") == []
        engines = dict(site.snapshot.endpoints_by_id)
        del engines["d0"]
        site.set_engines(engines)
        (refusal,) = site.decisions("vm-0")
        assert refusal.code is messages.RefusalCode.VERSION_UNAVAILABLE
