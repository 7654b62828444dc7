"""Tests of designated readers: a few routers watch the store for a zone."""

import asyncio
import contextlib

from tests import platform_site

from cowsliprill import peer_client
from cowsliprill.decisions import designated_readers
from cowsliprill.registry import endpoints as endpoints_lib
from cowsliprill.registry import peer_exchange as peer_exchange_lib

_ROUTERS = 5

# A VM that leads a pool, and so orders its engines, also reads the store.
_READERS_MAX = designated_readers.READERS_PER_ZONE + 1


@contextlib.asynccontextmanager
async def _running():
    async with platform_site.running(1) as site:
        site.store_addresses = [site.store.store_address]
        for _ in range(_ROUTERS - 1):
            store_address = platform_site.StoreAddress(site.store)
            site.store_addresses.append(store_address)
            site.add_router(store_address.site.address)
        await platform_site.until(
            lambda: (
                all(site.ready(number) for number in range(_ROUTERS))
                and _current_readers(site) == _expected_readers(site)
            )
        )
        assert len(_current_readers(site)) <= _READERS_MAX
        yield site


def _expected_readers(site) -> list[int]:
    """Returns the numbers of the routers that should watch the store."""
    numbers = []
    for number, router in enumerate(site.routers):
        members = router._members
        membership_view = members.membership_view()
        leads_a_pool = any(
            membership_view.leader_of(pool) == membership_view.own
            for pool in router._source.engine_pools()
        )
        if leads_a_pool or designated_readers.is_reader(
            members.own, members.alive()
        ):
            numbers.append(number)
    return numbers


def _current_readers(site) -> list[int]:
    """Returns the numbers of the routers that watch the store."""
    numbers = []
    for number, log in enumerate(site.logs):
        lines = [
            line
            for line in log.getvalue().splitlines()
            if "event=registry_reading" in line
        ]
        if lines and "reading=true" in lines[-1]:
            numbers.append(number)
    return numbers


async def _add_engine_and_await(site, name: str, numbers) -> None:
    engine = platform_site.Engine(name, "desk", None)
    site.engines[name] = engine
    await site.store.put(f"servers/{name}", engine.entry())
    await platform_site.until(
        lambda: all(
            f"endpoint={name} " in site.logs[number].getvalue()
            for number in numbers
        )
    )


class TestDesignatedReaders:
    """Changes reach all routers, whichever of them watch the store."""

    def test_non_readers_receive_changes_without_store_calls(self):
        """Guards against store calls by every VM of a fleet at each change."""

        async def scenario():
            async with _running() as site:
                reader_numbers = _current_readers(site)
                calls = {
                    number: len(site.store_addresses[number].calls)
                    for number in range(1, _ROUTERS)
                    if number not in reader_numbers
                }
                await _add_engine_and_await(site, "s7", range(_ROUTERS))
                calls_after = {
                    number: len(site.store_addresses[number].calls)
                    for number in calls
                }
                return calls, calls_after

        calls, calls_after = asyncio.run(scenario())
        assert len(calls) >= _ROUTERS - _READERS_MAX
        assert calls_after == calls

    def test_readers_rejected_by_the_store_are_replaced(self):
        """Guards against stale endpoint lists when the store rejects readers.

        The store rejects only the designated readers. Without a replacement,
        all other VMs would send requests to engines that have left for as long
        as this lasts, although they can reach the store.
        """

        async def scenario():
            async with _running() as site:
                for number in _current_readers(site):
                    site.store_addresses[number].status = 503
                await _add_engine_and_await(site, "s7", range(_ROUTERS))

        asyncio.run(scenario())

    def test_vm_rejected_by_the_store_applies_removals_at_once(self):
        """Guards against one rejected VM using engines that have left."""

        async def scenario():
            async with _running() as site:
                number = _current_readers(site)[0]
                site.store_addresses[number].status = 503
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

    def test_vm_without_peers_reads_the_store(self):
        """Guards against stale settings in a VM partitioned from its peers.

        The VM can reach the store and still receives requests of callers.
        """

        async def scenario():
            async with _running() as site:
                reader_numbers = _current_readers(site)
                isolated = next(
                    n for n in range(1, _ROUTERS) if n not in reader_numbers
                )
                agent = site.routers[isolated]._agent
                agent.datagram_received = lambda data, addr: None
                agent._send = lambda sends: None
                await platform_site.until(
                    lambda: isolated in _current_readers(site)
                )
                await _add_engine_and_await(site, "s7", [isolated])

        asyncio.run(scenario())

    def test_vm_lists_the_store_if_peers_dont_respond(self, monkeypatch):
        """Guards against non-readers that stay behind announced changes.

        Peers announce a change, and their responses are lost.
        """

        async def fail_request(client, address, view):
            raise peer_client.PeerError("lost")

        async def scenario():
            async with _running() as site:
                reader_numbers = _current_readers(site)
                non_readers = [
                    n for n in range(_ROUTERS) if n not in reader_numbers
                ]
                monkeypatch.setattr(
                    peer_exchange_lib, "_request_update", fail_request
                )
                await _add_engine_and_await(site, "s7", range(_ROUTERS))
                return non_readers

        assert asyncio.run(scenario())

    def test_all_vms_defer_removals_after_an_outage(self, monkeypatch):
        """Guards against non-readers dropping live engines after an outage.

        The store recovers and the entries of engines have expired in it. Only
        readers noticed the outage; the other VMs would drop live engines and
        reject requests.
        """
        # Without this, the outage would have to last until entries expire.
        monkeypatch.setattr(endpoints_lib, "EXPIRY_OUTAGE_MIN_S", 0.0)

        async def scenario():
            async with _running() as site:
                await site.store.fail(503)
                await platform_site.until(
                    lambda: all(
                        "event=registry_away" in site.logs[number].getvalue()
                        for number in _current_readers(site)
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
