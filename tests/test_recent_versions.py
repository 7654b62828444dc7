"""Tests of the versions that the registry's history shows."""

import io
import json

import pytest
from tests import outage_store
from tests import virtual_time

from cowsliprill.decisions import registry_view
from cowsliprill.observability import log as log_lib
from cowsliprill.platform import catalog
from cowsliprill.registry import recent_versions
from cowsliprill.registry import store as store_lib

_PREFIX = "servers/"


class _Case:
    def __init__(self) -> None:
        self.store = outage_store.OutageStore()
        self.view = registry_view.View(_PREFIX)
        self.output = io.StringIO()

    def put(self, name: str, version: str, state: str = "ready") -> None:
        entry = {
            "service": "llm",
            "address": "10.0.0.1:80",
            "zone": "a",
            "slots": 4,
            "state": state,
            "stage": "decode",
            "version": version,
        }
        self.store.put(_PREFIX + name, json.dumps(entry).encode())

    def remove(self, name: str) -> None:
        self.store.remove(_PREFIX + name)

    async def read(self):
        page = await self.store.page(_PREFIX, "", 1.0)
        self.view.apply_listing(page.entries, page.as_of)
        reader = recent_versions.RecentVersionsReader(
            self.store,
            self.view,
            catalog.Catalog(0.1, 10).parse_endpoint,
            log_lib.open_log(f"t.{id(self)}", self.output),
        )
        return await reader.read()


@pytest.fixture
def case() -> _Case:
    """A store and a process that reads it."""
    return _Case()


def _read(case: _Case, monkeypatch):
    return virtual_time.run(case.read(), monkeypatch)


class TestRead:
    """The whole history that the registry still has is read."""

    def test_version_whose_last_engine_has_left(self, case, monkeypatch):
        """Guards against a version that nobody remembers."""
        case.put("d0", "v1")
        case.put("d0", "v1", "draining")
        case.put("d1", "v2")
        case.remove("d0")
        recent = _read(case, monkeypatch)
        assert recent.versions_by_pool == {"llm": {"v1", "v2"}}
        assert recent.complete

    @pytest.mark.parametrize("kept", range(1, 12))
    def test_history_that_begins_at_any_revision(self, kept, case, monkeypatch):
        """Guards against changes that are skipped as the begin is unknown."""
        for number in range(12):
            case.put(f"d{number}", f"v{number}")
        case.store.compact(12 - kept)
        recent = _read(case, monkeypatch)
        expected = {f"v{number}" for number in range(12 - kept, 12)}
        assert recent.versions_by_pool == {"llm": expected}
        assert not recent.complete

    def test_nothing_was_discarded(self, case, monkeypatch):
        for number in range(12):
            case.put(f"d{number}", f"v{number}")
        recent = _read(case, monkeypatch)
        expected = {f"v{number}" for number in range(12)}
        assert recent.versions_by_pool == {"llm": expected}
        assert recent.complete

    def test_engine_that_ended_without_a_word(self, case, monkeypatch):
        """Guards against a guess: the history doesn't tell its version."""
        case.put("d0", "v1")
        case.put("d1", "v2")
        case.store.compact(2)
        case.remove("d0")
        recent = _read(case, monkeypatch)
        assert recent.versions_by_pool == {}
        assert not recent.complete

    # Guards against joined streams after a version has left: an empty history
    # says nothing about the time before it was discarded.
    def test_whole_history_was_discarded(self, case, monkeypatch):
        case.put("d0", "v1")
        case.put("d1", "v2")
        case.remove("d0")
        case.store.compact(3)
        recent = _read(case, monkeypatch)
        assert recent.versions_by_pool == {}
        assert not recent.complete

    def test_unreadable_entry(self, case, monkeypatch):
        """Guards against a version that was skipped without a log line."""
        case.store.put(_PREFIX + "d0", b"{")
        case.put("d1", "v2")
        assert not _read(case, monkeypatch).complete
        assert "event=recent_endpoint_unreadable" in case.output.getvalue()

    def test_failing_store(self, case, monkeypatch):
        """Guards against an answer that was never given."""
        case.put("d0", "v1")

        async def scenario():
            await case.read()
            outage = outage_store.Outage(
                begins_at=0.0, ends_at=1e9, refuses=True
            )
            case.store.outages.append(outage)
            await case.read()

        with pytest.raises(store_lib.StoreError):
            virtual_time.run(scenario(), monkeypatch)
