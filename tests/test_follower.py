"""Tests of `registry.follower`: when a process calls the store itself."""

import asyncio
import io
import random

from tests import outage_store
from tests import virtual_time

from cowsliprill import clock
from cowsliprill.decisions import registry_view
from cowsliprill.observability import log as log_lib
from cowsliprill.registry import follower as follower_lib
from cowsliprill.registry import store as store_lib

_ENTRY = registry_view.Entry(key="k/a", value=b"1", revision=5)
_WAIT_S = 5.0


class _Store:
    """A store that may turn all calls away; its watches wait for ever."""

    def __init__(self) -> None:
        self.away = False
        self.calls: list[str] = []
        self.called = asyncio.Event()

    async def page(self, prefix, after, timeout_s):
        self._note("page")
        return store_lib.Page(entries=(_ENTRY,), truncated=False, as_of=7)

    async def watch(self, prefix, after, wait_s, timeout_s):
        self._note("watch")
        await asyncio.Event().wait()

    def _note(self, call: str) -> None:
        self.calls.append(call)
        self.called.set()
        if self.away:
            raise store_lib.StoreError("away")

    async def next_call(self) -> None:
        self.called.clear()
        await asyncio.wait_for(self.called.wait(), _WAIT_S)


def _follower(store: _Store) -> follower_lib.Follower:
    return follower_lib.Follower(
        store,
        registry_view.View("k/"),
        lambda changes: None,
        log_lib.open_log("test", io.StringIO()),
        random.Random(1),
    )


def _run(scenario) -> None:
    async def whole():
        store = _Store()
        follower = _follower(store)
        task = asyncio.create_task(follower.run())
        try:
            await scenario(store, follower)
        finally:
            task.cancel()
            await asyncio.wait([task])
        assert task.cancelled()

    asyncio.run(whole())


class TestReading:
    """A process lists at its start, and watches only if it is to read."""

    def test_one_that_leaves_the_store_to_others_lists_once(self):
        async def scenario(store, follower):
            await store.next_call()
            for _ in range(10):
                await asyncio.sleep(0)
            assert store.calls == ["page"]
            assert follower.view.position == 7

        _run(scenario)

    def test_one_that_reads_watches_until_others_do(self):
        async def scenario(store, follower):
            await store.next_call()
            follower.set_reading(True)
            await store.next_call()
            assert store.calls == ["page", "watch"]
            follower.set_reading(False)
            for _ in range(10):
                await asyncio.sleep(0)
            follower.list_once()
            await store.next_call()
            assert store.calls == ["page", "watch", "page"]

        _run(scenario)

    def test_a_store_that_was_away_is_forgotten_with_the_peers_news(self):
        """The store turns a VM away at its start, and peers tell it all.

        It doesn't call the store any more. Taken for away for ever, each
        engine that leaves would be doubted, and used for longer, by this VM
        and by all that ask it.
        """

        async def scenario(store, follower):
            store.away = True
            await store.next_call()
            for _ in range(10):
                await asyncio.sleep(0)
            assert follower.away_since
            follower.leave_to_peers()
            assert not follower.is_away(clock.now() + 60.0)
            assert not follower.away_since

        _run(scenario)


class TestLog:
    """What the log tells of a store that gives no answer."""

    def test_a_lost_call_is_logged_with_the_age_of_the_view(self, monkeypatch):
        """Guards against outages whose log hides how much may be missing."""

        async def scenario():
            loop = asyncio.get_running_loop()
            store = outage_store.OutageStore()
            store.put("k/a", b"1")
            output = io.StringIO()
            follower = follower_lib.Follower(
                store,
                registry_view.View("k/"),
                lambda changes: None,
                log_lib.open_log("test", output),
                random.Random(1),
            )
            follower.set_reading(True)
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(0.05)
            began_at = loop.time()
            store.outages.append(
                outage_store.Outage(begins_at=began_at, ends_at=began_at + 60.0)
            )
            store.put("k/b", b"1")
            await asyncio.sleep(30.0)
            task.cancel()
            await asyncio.wait([task])
            return output.getvalue()

        log = virtual_time.run(scenario(), monkeypatch)
        (line,) = [text for text in log.splitlines() if "registry_away" in text]
        fields = dict(
            part.split("=", 1) for part in line.split() if "=" in part
        )
        assert float(fields["waited_s"]) > 0.0
        assert float(fields["view_age_s"]) >= float(fields["waited_s"])
