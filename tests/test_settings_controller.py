"""Tests of `settings.controller`."""

import asyncio
import contextlib
import io
import json
from collections.abc import AsyncIterator
from collections.abc import Coroutine
from typing import Any

from cowsliprill.decisions import model
from cowsliprill.observability import audit
from cowsliprill.observability import log
from cowsliprill.observability import metrics
from cowsliprill.settings import controller
from cowsliprill.settings import fetch
from cowsliprill.settings import measure
from cowsliprill.settings import publish
from cowsliprill.settings import resolve
from cowsliprill.settings import store as store_lib

_TEST_TIMEOUT_S = 5.0


def _run(scenario: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(scenario, _TEST_TIMEOUT_S))


class _Source:
    """Source whose replies can be held back or made to fail."""

    def __init__(self) -> None:
        self.texts_by_hash: dict[str, str] = {}
        self.released = asyncio.Event()
        self.released.set()
        self.fails = False
        self.fetch_started = asyncio.Event()

    async def fetch(self, hashes: list[str]) -> list[str]:
        if self.fails:
            raise KeyError("unexpected response")
        self.fetch_started.set()
        await self.released.wait()
        return [
            self.texts_by_hash[text_hash]
            for text_hash in hashes
            if text_hash in self.texts_by_hash
        ]


class _FaultyResolver(resolve.Resolver):
    """Resolver with a bug that revision 2 triggers."""

    def resolve(self, revision: int, *arguments: Any) -> model.Snapshot:
        if revision == 2:
            raise KeyError("bug in validation")
        return super().resolve(revision, *arguments)


def _publication(revision: int) -> publish.Publication:
    tree = measure.tree_of_size(2, 6)
    tree["revision"] = revision
    tree["users"]["site"]["share"] = float(revision)
    return publish.publish(json.dumps(tree))


@contextlib.asynccontextmanager
async def _running(
    source: _Source, resolver: resolve.Resolver
) -> AsyncIterator[controller.SettingsController]:
    store = store_lib.PartStore()
    settings = controller.SettingsController(
        store,
        fetch.Fetcher(store, lambda *_: [source]),
        resolver,
        log.open_log("test", io.StringIO()),
        metrics.Metrics(),
        audit.AuditTrail("vm0", io.StringIO()),
    )
    task = asyncio.create_task(settings.run())
    yield settings
    task.cancel()


class TestSettingsController:
    """Activation of candidate versions."""

    def test_a_validation_bug_does_not_end_the_task(self) -> None:
        """Validation of a revision raises an unexpected exception.

        Guards against the controller task ending: the VM would stay at its
        revision forever while its health check passes.
        """

        async def scenario() -> None:
            source = _Source()
            async with _running(source, _FaultyResolver()) as settings:
                outcomes = []
                for number in (1, 2, 3):
                    publication = _publication(number)
                    source.texts_by_hash |= publication.texts_by_hash
                    outcome = await settings.submit(publication.head, "")
                    outcomes.append(outcome)
                assert outcomes == ["accepted", "invalid", "accepted"]
                assert settings.version.revision == 3

        _run(scenario())

    def test_a_failing_source_does_not_end_the_task(self) -> None:
        """A source raises an unexpected exception.

        Guards against the task ending, and against rejecting the revision for
        good: a later attempt must succeed.
        """

        async def scenario() -> None:
            source = _Source()
            async with _running(source, resolve.Resolver()) as settings:
                publication = _publication(1)
                source.texts_by_hash = publication.texts_by_hash
                source.fails = True
                outcome = await settings.submit(publication.head, "")
                assert outcome == "incomplete"
                source.fails = False
                outcome = await settings.submit(publication.head, "")
                assert outcome == "accepted"

        _run(scenario())

    def test_a_slow_fetch_does_not_activate_an_older_revision(self) -> None:
        """Revision 2 is announced while the parts of 3 are fetched slowly.

        Guards against the queued older revision replacing revision 3.
        """

        async def scenario() -> None:
            source = _Source()
            async with _running(source, resolve.Resolver()) as settings:
                two, three = _publication(2), _publication(3)
                source.texts_by_hash = {
                    **two.texts_by_hash,
                    **three.texts_by_hash,
                }
                source.released.clear()
                newer = asyncio.create_task(settings.submit(three.head, ""))
                await source.fetch_started.wait()
                older = asyncio.create_task(settings.submit(two.head, ""))
                await asyncio.sleep(0)
                source.released.set()
                assert await newer == "accepted"
                assert await older == "older"
                assert settings.snapshot.revision == 3

        _run(scenario())

    def test_missing_parts_keep_the_old_revision(self) -> None:
        """A part is published late, so no source has it at first."""

        async def scenario() -> None:
            source = _Source()
            async with _running(source, resolve.Resolver()) as settings:
                one, two = _publication(1), _publication(2)
                source.texts_by_hash = dict(one.texts_by_hash)
                assert await settings.submit(one.head, "") == "accepted"
                assert await settings.submit(two.head, "") == "incomplete"
                assert settings.snapshot.revision == 1
                source.texts_by_hash |= two.texts_by_hash
                assert await settings.submit(two.head, "") == "accepted"

        _run(scenario())
