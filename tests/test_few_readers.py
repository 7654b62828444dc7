"""Routers of one zone of which a few read the store, and what may cut them."""

import asyncio
import contextlib

from tests import platform_site

from cowsliprill import peer_client
from cowsliprill.decisions import designated_readers
from cowsliprill.registry import endpoints as endpoints_lib
from cowsliprill.registry import peers as registry_peers

_ROUTERS = 5

# One of them may read because it orders engines.
_READERS_MAX = designated_readers.READERS_PER_ZONE + 1


@contextlib.asynccontextmanager
async def _running():
    async with platform_site.running(1) as site:
        site.doors = [site.store.door]
        for _ in range(_ROUTERS - 1):
            door = platform_site.Door(site.store)
            site.doors.append(door)
            site.add_router(door.site.address)
        await platform_site.until(
            lambda: (
                all(site.ready(number) for number in range(_ROUTERS))
                and _reading(site) == _to_read(site)
            )
        )
        assert len(_reading(site)) <= _READERS_MAX
        yield site


def _to_read(site) -> list[int]:
    """Returns the numbers of the routers that are to watch the store."""
    found = []
    for number, router in enumerate(site.routers):
        members = router._members
        membership_view = members.membership_view()
        orders = any(
            membership_view.leader_of(pool) == membership_view.own
            for pool in router._source.engine_pools()
        )
        if orders or designated_readers.is_reader(members.own, members.alive()):
            found.append(number)
    return found


def _reading(site) -> list[int]:
    """Returns the numbers of the routers that watch the store."""
    found = []
    for number, log in enumerate(site.logs):
        lines = [
            line
            for line in log.getvalue().splitlines()
            if "event=registry_reading" in line
        ]
        if lines and "reading=true" in lines[-1]:
            found.append(number)
    return found


async def _all_learn_of(site, name: str, numbers) -> None:
    engine = platform_site.Engine(name, "desk", None)
    site.engines[name] = engine
    await site.store.put(f"servers/{name}", engine.entry())
    await platform_site.until(
        lambda: all(
            f"endpoint={name} " in site.logs[number].getvalue()
            for number in numbers
        )
    )


class TestFewReaders:
    """What is new reaches all, whoever reads it."""

    def test_those_that_dont_read_hear_from_those_that_do(self):
        """Each change would else wake every VM of a large fleet."""

        async def scenario():
            async with _running() as site:
                reading = _reading(site)
                calls = {
                    number: len(site.doors[number].calls)
                    for number in range(1, _ROUTERS)
                    if number not in reading
                }
                await _all_learn_of(site, "s7", range(_ROUTERS))
                after = {
                    number: len(site.doors[number].calls) for number in calls
                }
                return calls, after

        calls, after = asyncio.run(scenario())
        assert len(calls) >= _ROUTERS - _READERS_MAX
        assert after == calls

    def test_readers_that_the_store_turns_away_are_stood_in_for(self):
        """The store refuses just those that read for the others.

        All others can reach it. They would send requests to engines that
        have left, for as long as the store goes on refusing.
        """

        async def scenario():
            async with _running() as site:
                for number in _reading(site):
                    site.doors[number].status = 503
                await _all_learn_of(site, "s7", range(_ROUTERS))

        asyncio.run(scenario())

    def test_a_vm_that_the_store_turns_away_doubts_no_removal(self):
        """Guards against engines that left and are used by this VM alone."""

        async def scenario():
            async with _running() as site:
                number = _reading(site)[0]
                site.doors[number].status = 503
                log = site.logs[number]
                await platform_site.until(
                    lambda: "event=registry_away" in log.getvalue()
                )
                await site.store.remove("servers/s1")
                await platform_site.until(
                    lambda: "event=endpoint_removed" in log.getvalue()
                )
                return log.getvalue()

        text = asyncio.run(scenario())
        assert "may_be_lapse=false" in text
        assert "may_be_lapse=true" not in text

    def test_a_vm_that_hears_no_peer_reads_for_itself(self):
        """A VM is cut off from its peers and not from the store.

        Callers still reach it. Its settings would stay as they are.
        """

        async def scenario():
            async with _running() as site:
                reading = _reading(site)
                cut = next(n for n in range(1, _ROUTERS) if n not in reading)
                agent = site.routers[cut]._agent
                agent.datagram_received = lambda data, addr: None
                agent._send = lambda sends: None
                await platform_site.until(lambda: cut in _reading(site))
                await _all_learn_of(site, "s7", [cut])

        asyncio.run(scenario())

    def test_a_vm_whose_peers_give_no_answer_lists_the_store(self, monkeypatch):
        """Peers tell that there is news, and their answers are lost."""

        async def no_answer(client, address, view):
            raise peer_client.PeerError("lost")

        async def scenario():
            async with _running() as site:
                reading = _reading(site)
                others = [n for n in range(_ROUTERS) if n not in reading]
                monkeypatch.setattr(registry_peers, "_ask", no_answer)
                await _all_learn_of(site, "s7", range(_ROUTERS))
                return others

        assert asyncio.run(scenario())

    def test_a_removal_amid_the_stores_troubles_is_doubted_by_all(
        self, monkeypatch
    ):
        """The store comes back and has let the entries of engines lapse.

        Who reads knows of its trouble, the others don't. They would drop
        engines that live, and refuse their callers.
        """
        # An outage as long as a lapse takes would make the test wait for it.
        monkeypatch.setattr(endpoints_lib, "LAPSE_AFTER_S", 0.0)

        async def scenario():
            async with _running() as site:
                await site.store.fail(503)
                await platform_site.until(
                    lambda: all(
                        "event=registry_away" in site.logs[number].getvalue()
                        for number in _reading(site)
                    )
                )
                await site.store.remove("servers/s1")
                await site.store.fail(0)
                await platform_site.until(
                    lambda: all(
                        "event=endpoint_removed" in log.getvalue()
                        for log in site.logs
                    )
                )
                return [log.getvalue() for log in site.logs]

        for text in asyncio.run(scenario()):
            line = next(
                line
                for line in text.splitlines()
                if "event=endpoint_removed" in line
            )
            assert "may_be_lapse=true" in line
