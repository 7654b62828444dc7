"""Requests that end every engine that begins to run them."""

import asyncio
import itertools

import pytest
from tests import platform_site
from tornado import httpclient

_CRASH_BODY = b"ends the engine"
_CRASH_PART = "badbad"
_FIRST_PART = "f1a5"
_ROUTERS = 3
# Limits of the customers: three ended engines, then three more sends at most,
# counted from the time that machines in touch have to learn of the third.
_CRASHES_MAX = 3
_LATE_SENDS_MAX = 3
_CONTACT_S = 3.0
# One request after the other: the first end, and one that was let start before
# all VMs knew of it.
_ENDS_ONE_BY_ONE_MAX = 2
# An entry of an engine that has ended expires after three missed heartbeats.
_EXPIRY_S = 1.0


class _CrashSite:
    """A site whose engines end when they begin to run one request.

    Ended engines lose their entry after a while, and others take their place
    under new ids, unless `replaces` is false.
    """

    def __init__(
        self,
        site: platform_site.Site,
        service: str,
        *,
        unframed: bool = False,
        replaces: bool = True,
    ) -> None:
        self.site = site
        self._replaces = replaces
        self._unframed = unframed
        self._service = service
        self._stage = "decode" if service == "llm" else None
        self._replaced: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self._number = 0
        self._sends = 0
        self._client = httpclient.AsyncHTTPClient(force_instance=True)

    async def start(self) -> None:
        for engine in self._engines():
            self._make_crashable(engine)
        for _ in range(4):
            await self._add_engine()

    def _engines(self) -> list[platform_site.Engine]:
        return [
            engine
            for engine in self.site.engines.values()
            if (engine.service, engine.stage) == (self._service, self._stage)
        ]

    async def _add_engine(self) -> None:
        self._number += 1
        name = f"n{self._number}"
        engine = await self.site.add_engine(name, self._service, self._stage)
        self._make_crashable(engine)

    def _make_crashable(self, engine: platform_site.Engine) -> None:
        engine.faults.crash_body = _CRASH_BODY
        engine.faults.crash_part = _CRASH_PART
        engine.faults.unframed = self._unframed

    async def _replace(self, engine: platform_site.Engine) -> None:
        await asyncio.sleep(_EXPIRY_S)
        await self.site.store.remove(f"servers/{engine.name}")
        await self._add_engine()

    def replace_ended(self) -> None:
        """Starts to replace the engines that have ended since the last call."""
        for engine in self._engines() if self._replaces else ():
            if engine.crashed and engine.name not in self._replaced:
                self._replaced.add(engine.name)
                self._tasks.add(asyncio.create_task(self._replace(engine)))

    async def until_replaced(self) -> None:
        """Waits until all engines that have ended are replaced."""
        self.replace_ended()
        await asyncio.gather(*self._tasks)

    async def release(self, version: str) -> None:
        """Replaces all engines by others that survive any request."""
        old = [
            engine.name
            for engine in self.site.engines.values()
            if engine.service == self._service
            and engine.name not in self._replaced
        ]
        for name, stage in (("r0", "prefill"), ("r1", "decode")):
            await self.site.add_engine(
                name, self._service, stage, version=version
            )
        for name in old:
            await self.site.store.remove(f"servers/{name}")
        await platform_site.until(
            lambda: all(
                f"event=endpoint_removed key=servers/{name}" in log.getvalue()
                for log in self.site.logs
                for name in old
            )
        )

    async def stop(self) -> None:
        """Waits until all engines are replaced and closes the client."""
        await self.until_replaced()
        self._client.close()

    def crashes(self) -> int:
        return sum(engine.crashed for engine in self._engines())

    def sends(self) -> int:
        """Returns how often crashing requests have reached any engine."""
        return sum(
            request.body == _CRASH_BODY
            or _CRASH_PART in platform_site.shared_parts(request)
            for engine in self.site.engines.values()
            for request in engine.requests
        )

    async def send(
        self,
        path: str,
        router: int,
        attempt: str,
        body: bytes = _CRASH_BODY,
        parts: tuple[str, ...] = (),
    ) -> int:
        """Sends a request once, from another address each time.

        Load balancers and address translation change the address between two
        attempts of one caller.
        """
        self._sends += 1
        response = await self._client.fetch(
            f"http://127.0.0.{router + 1}"
            f":{self.site.routers[router].public_port}{path}",
            method="POST",
            body=body,
            headers={
                **platform_site.CALLER_HEADERS,
                "Attempt-Id": attempt,
                "Prefix-Hash": ",".join(f"{part}:100" for part in parts),
            },
            network_interface=f"127.0.1.{self._sends}",
            raise_error=False,
        )
        self.replace_ended()
        return response.code


async def _crash_three(crash_site: _CrashSite, path: str) -> None:
    """Repeats the request at one VM after the other until three have ended."""
    number = 0
    while crash_site.crashes() < _CRASHES_MAX:
        await crash_site.send(path, number % _ROUTERS, f"first-{number}")
        number += 1


async def _late_sends(path: str, service: str) -> tuple[int, int]:
    """Returns the sends after the time to learn, and a proper request's status.

    All routers get the request again and again.
    """
    async with platform_site.running(_ROUTERS) as site:
        crash_site = _CrashSite(site, service)
        await crash_site.start()
        await _crash_three(crash_site, path)
        await asyncio.sleep(_CONTACT_S)
        before = crash_site.sends()
        for number in range(4 * _ROUTERS):
            await crash_site.send(path, number % _ROUTERS, f"late-{number}")
        late_sends = crash_site.sends() - before
        await crash_site.stop()
        proper, _, _ = await site.call(path, body=b"proper")
        return late_sends, proper


class TestRepeatedRequest:
    """A request that has ended three engines is sent again and again."""

    def test_is_sent_no_more_after_three_engines_ended(self):
        """Guards against a request that ends engine after engine."""

        async def scenario():
            return await asyncio.gather(
                _late_sends(platform_site.RESUMABLE_PATH, "llm"),
                _late_sends(platform_site.SAFE_PATH, "desk"),
            )

        (stream, plain) = asyncio.run(scenario())
        assert (stream[1], plain[1]) == (200, 200)
        assert stream[0] <= _LATE_SENDS_MAX
        assert plain[0] <= _LATE_SENDS_MAX

    def test_copies_at_one_moment_end_few_engines(self):
        """Guards against copies that end an engine each at the same time.

        The first request has ended engines, but too few to be refused.
        """

        async def scenario():
            async with platform_site.running(_ROUTERS) as site:
                crash_site = _CrashSite(site, "llm", replaces=False)
                await crash_site.start()
                path = platform_site.RESUMABLE_PATH
                await crash_site.send(path, 0, "first")
                before = crash_site.crashes()
                await asyncio.gather(
                    *(
                        crash_site.send(path, number % _ROUTERS, f"c{number}")
                        for number in range(8)
                    )
                )
                ended = crash_site.crashes() - before
                await crash_site.stop()
                return before, ended

        before, ended = asyncio.run(scenario())
        assert 0 < before < _CRASHES_MAX
        assert ended <= _ENDS_ONE_BY_ONE_MAX


class _PartSender:
    """Sends different requests, some with the part that ends engines.

    Sound requests have the same first part and the same caller.
    """

    def __init__(self, crash_site: _CrashSite) -> None:
        self._crash_site = crash_site
        self._numbers = itertools.count()

    async def send(self, *parts: str, router: int | None = None) -> int:
        """Sends a new request with these parts after the first one."""
        number = next(self._numbers)
        return await self._crash_site.send(
            platform_site.RESUMABLE_PATH,
            number % _ROUTERS if router is None else router,
            f"part-{number}",
            f"ask {number}".encode(),
            (_FIRST_PART, *parts, f"e{number:03x}"),
        )


class TestSharedPart:
    """Different requests whose prompts share a part that ends engines."""

    @pytest.mark.parametrize("unframed", [False, True])
    def test_few_are_sent_after_five_engines_ended(self, unframed):
        """Guards against a part of prompts that ends engine after engine.

        The engines have sent the head of an answer, with or without a length or
        chunks; without, its end is that of the connection.
        """

        async def scenario():
            async with platform_site.running(_ROUTERS) as site:
                crash_site = _CrashSite(site, "llm", unframed=unframed)
                await crash_site.start()
                sender = _PartSender(crash_site)
                sound = [await sender.send("c0") for _ in range(_ROUTERS)]
                for _ in range(8):
                    await sender.send("c0", _CRASH_PART)
                await asyncio.sleep(_CONTACT_S)
                before = crash_site.sends()
                for _ in range(4 * _ROUTERS):
                    await sender.send("c0", _CRASH_PART)
                late_sends = crash_site.sends() - before
                await crash_site.until_replaced()
                sound += [await sender.send("c0") for _ in range(2 * _ROUTERS)]
                await crash_site.stop()
                return late_sends, sound

        late_sends, sound = asyncio.run(scenario())
        assert late_sends <= _LATE_SENDS_MAX
        assert sound == [200] * len(sound)

    def test_few_end_together_after_a_change_of_coordinator(self):
        """Guards against a new coordinator that doesn't know what is suspected.

        It would start all requests with the part at the same moment.
        """

        async def scenario():
            async with platform_site.running(_ROUTERS) as site:
                crash_site = _CrashSite(site, "llm", replaces=False)
                await crash_site.start()
                sender = _PartSender(crash_site)
                for _ in range(_ROUTERS):
                    await sender.send("c0")
                (coordinator,) = [
                    number
                    for number, log in enumerate(site.logs)
                    if "event=cell_begun pool=llm" in log.getvalue()
                ]
                others = {*range(_ROUTERS)} - {coordinator}
                await sender.send("c0", _CRASH_PART, router=min(others))
                before = crash_site.crashes()
                site.routers[coordinator].stop()
                await asyncio.wait_for(site.tasks[coordinator], 10)
                await asyncio.gather(
                    *(
                        sender.send("c0", _CRASH_PART, router=router)
                        for router in [*others] * 4
                    )
                )
                ended = crash_site.crashes() - before
                await crash_site.stop()
                return before, ended

        before, ended = asyncio.run(scenario())
        assert before
        assert ended <= _ENDS_ONE_BY_ONE_MAX

    def test_is_served_by_a_release_that_survives_it(self):
        """Guards against a verdict that outlives the release that mends it."""

        async def scenario():
            async with platform_site.running(_ROUTERS) as site:
                crash_site = _CrashSite(site, "llm")
                await crash_site.start()
                sender = _PartSender(crash_site)
                await sender.send("c0")
                for _ in range(8):
                    await sender.send("c0", _CRASH_PART)
                await crash_site.until_replaced()
                refused = [
                    await sender.send("c0", _CRASH_PART, router=router)
                    for router in range(_ROUTERS)
                ]
                await crash_site.release("v2")
                served = [
                    await sender.send("c0", _CRASH_PART, router=router)
                    for router in range(_ROUTERS)
                ]
                await crash_site.stop()
                return refused, served

        refused, served = asyncio.run(scenario())
        assert 200 not in refused
        assert served == [200] * _ROUTERS
