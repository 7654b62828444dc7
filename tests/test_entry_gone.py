"""No engine memory stays held for a caller that is gone."""

import asyncio

import pytest
from tests import entry_site

_COMPLETIONS = "/v1/completions"
_LONG = {
    "model": "brief",
    "prompt": "a long manifest " * 50,
    "max_tokens": 2_000,
    "stream": True,
}
_SLOW = {"slow_factor": 1_000.0}


async def _gone_in(site: entry_site.Site, kind: str, stage: str) -> None:
    call = asyncio.create_task(site.open("POST", _COMPLETIONS, _LONG))
    await site.until_held(kind, stage)
    call.cancel()
    await asyncio.wait([call])
    await site.until_free()


def _misbehave(site: entry_site.Site, kind: str, fields: dict) -> None:
    for name, engine in site.engines.items():
        if name.startswith(kind):
            engine.conduct.set(fields)


class TestCallerGone:
    """A caller closes its connection; its engines must be free soon after.

    Otherwise the slot stays taken until the answer nobody reads is complete,
    and other callers wait for it or are refused.
    """

    @pytest.mark.parametrize(
        ("kind", "stage", "prefill", "decode"),
        [
            ("prefill", "prefill", _SLOW, {}),
            ("prefill", "exported", {"delay_s": 30.0}, {}),
            ("decode", "transfer", {"stall_export_at_byte": 0}, {}),
            ("decode", "decode", {}, {"stall_at_token": 0}),
            ("decode", "decode", {}, {"stall_at_token": 3}),
        ],
        ids=["prefill", "between", "transfer", "before-token", "decode"],
    )
    def test_in_each_stage(self, kind, stage, prefill, decode):
        async def scenario():
            async with entry_site.running() as site:
                _misbehave(site, "prefill", prefill)
                _misbehave(site, "decode", decode)
                await _gone_in(site, kind, stage)

        asyncio.run(scenario())

    def test_while_queued(self):
        """It waits for a slot when its caller leaves.

        It must not be started later, when a slot comes free.
        """

        async def scenario():
            async with entry_site.running() as site:
                _misbehave(site, "decode", {"stall_at_token": 1})
                held = [
                    asyncio.create_task(site.open("POST", _COMPLETIONS, _LONG))
                    for _ in range(8)
                ]
                await entry_site.until(lambda: _held(site, "decode") == 8)
                queued = asyncio.create_task(
                    site.open("POST", _COMPLETIONS, _LONG)
                )
                await asyncio.sleep(0.05)
                queued.cancel()
                for response in await asyncio.gather(*held):
                    response.close()
                await site.until_free()
                return sum(
                    len(engine.memory.requests_by_id)
                    for name, engine in site.engines.items()
                    if name.startswith("prefill")
                )

        assert asyncio.run(scenario()) == 8

    @pytest.mark.parametrize(
        "fault",
        [
            {"cancel": "refuse", "times": 3},
            {"cancel": "lose", "times": 3},
            {"cancel": "late", "cancel_delay_s": 0.1, "times": 1},
        ],
        ids=["refused", "lost", "late"],
    )
    def test_cancel_order_fails(self, fault):
        """The order to the engine is refused, lost or answered late.

        It is sent again until the engine acknowledges it.
        """

        async def scenario():
            async with entry_site.running() as site:
                call = asyncio.create_task(
                    site.open("POST", _COMPLETIONS, _LONG)
                )
                await site.until_held("decode", "decode")
                _misbehave(site, "decode", fault)
                (await call).close()
                await site.until_free()
                await entry_site.until(
                    lambda: site.status()["pending_cancels"] == 0
                )

        asyncio.run(scenario())

    def test_leaving_entry_hands_its_cancels_over(self):
        """The entry is shut down while an engine acknowledges no cancel.

        The order would be lost with the process, so the endpoint's home gets
        it.
        """

        async def scenario():
            async with entry_site.running() as site:
                response = await site.open("POST", _COMPLETIONS, _LONG)
                _misbehave(site, "decode", {"cancel": "refuse"})
                response.close()
                await entry_site.until(
                    lambda: site.status()["pending_cancels"] > 0
                )
            return [order.request_id for order in site.home.cancels]

        handed_over = asyncio.run(scenario())
        assert len(handed_over) == 1
        assert handed_over[0].startswith("vm-0.e0.")


def _held(site: entry_site.Site, kind: str) -> int:
    return sum(
        len(engine.memory.held_requests())
        for name, engine in site.engines.items()
        if name.startswith(kind)
    )
