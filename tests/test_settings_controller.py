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

_PATIENCE_S = 5.0


def _run(play: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(play, _PATIENCE_S))


class _Source:
    """Gives texts, once it is let."""

    def __init__(self) -> None:
        self.texts_by_hash: dict[str, str] = {}
        self.let = asyncio.Event()
        self.let.set()
        self.faulty = False
        self.asked = asyncio.Event()

    async def fetch(self, hashes: list[str]) -> list[str]:
        if self.faulty:
            raise KeyError("an answer that nobody foresaw")
        self.asked.set()
        await self.let.wait()
        return [
            self.texts_by_hash[each]
            for each in hashes
            if each in self.texts_by_hash
        ]


class _FaultyResolver(resolve.Resolver):
    """Has a fault that revision 2 brings to light."""

    def resolve(self, revision: int, *arguments: Any) -> model.Snapshot:
        if revision == 2:
            raise KeyError("a fault in the checks")
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
    """The task that puts versions in force."""

    def test_a_fault_in_the_checks_does_not_end_it(self) -> None:
        """A revision meets a fault of ours that no check foresaw.

        Without care the task would end and the VM stay at its revision for
        ever, while its health check is fine.
        """

        async def play() -> None:
            source = _Source()
            async with _running(source, _FaultyResolver()) as settings:
                outcomes = []
                for number in (1, 2, 3):
                    publication = _publication(number)
                    source.texts_by_hash |= publication.texts_by_hash
                    outcome = await settings.offer(publication.head, "")
                    outcomes.append(outcome)
                assert outcomes == ["accepted", "invalid", "accepted"]
                assert settings.version.revision == 3

        _run(play())

    def test_a_faulty_source_does_not_end_it(self) -> None:
        """A source answers in a way that no check foresaw.

        The revision must neither be given up for ever nor the task end.
        """

        async def play() -> None:
            source = _Source()
            async with _running(source, resolve.Resolver()) as settings:
                publication = _publication(1)
                source.texts_by_hash = publication.texts_by_hash
                source.faulty = True
                outcome = await settings.offer(publication.head, "")
                assert outcome == "incomplete"
                source.faulty = False
                outcome = await settings.offer(publication.head, "")
                assert outcome == "accepted"

        _run(play())

    def test_an_offer_read_slowly_does_not_turn_back(self) -> None:
        """Revision 2 is offered while 3 waits for slow parts, and after it.

        It must not replace 3, neither from the queue nor later.
        """

        async def play() -> None:
            source = _Source()
            async with _running(source, resolve.Resolver()) as settings:
                two, three = _publication(2), _publication(3)
                source.texts_by_hash = {
                    **two.texts_by_hash,
                    **three.texts_by_hash,
                }
                source.let.clear()
                newer = asyncio.create_task(settings.offer(three.head, ""))
                await source.asked.wait()
                older = asyncio.create_task(settings.offer(two.head, ""))
                await asyncio.sleep(0)
                source.let.set()
                assert await newer == "accepted"
                assert await older == "older"
                assert settings.snapshot.revision == 3

        _run(play())

    def test_missing_parts_leave_the_old_revision(self) -> None:
        """A part is nowhere to be had yet, because it is published late."""

        async def play() -> None:
            source = _Source()
            async with _running(source, resolve.Resolver()) as settings:
                one, two = _publication(1), _publication(2)
                source.texts_by_hash = dict(one.texts_by_hash)
                assert await settings.offer(one.head, "") == "accepted"
                assert await settings.offer(two.head, "") == "incomplete"
                assert settings.snapshot.revision == 1
                source.texts_by_hash |= two.texts_by_hash
                assert await settings.offer(two.head, "") == "accepted"

        _run(play())
