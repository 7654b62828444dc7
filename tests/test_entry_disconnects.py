"""Tests that engine memory is freed when a caller disconnects."""

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


async def _disconnect_in(site: entry_site.Site, kind: str, stage: str) -> None:
    call = asyncio.create_task(site.open("POST", _COMPLETIONS, _LONG))
    await site.until_held(kind, stage)
    call.cancel()
    await asyncio.wait([call])
    await site.until_free()


def _inject_faults(site: entry_site.Site, kind: str, fields: dict) -> None:
    for name, engine in site.engines.items():
        if name.startswith(kind):
            engine.faults.set(fields)


class TestCallerDisconnects:
    """A caller closes its connection; its engine slots must be freed soon.

    Otherwise a slot stays in use until the unread response is complete, and
    other callers wait for the slot or are refused.
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
    def test_during_each_stage(self, kind, stage, prefill, decode):
        async def scenario():
            async with entry_site.running() as site:
                _inject_faults(site, "prefill", prefill)
                _inject_faults(site, "decode", decode)
                await _disconnect_in(site, kind, stage)

        asyncio.run(scenario())

    # Guards against an owner of tickets that goes on for a caller that is gone,
    # because the forwarding process keeps its connection open.
    def test_during_a_forwarded_stream(self):
        async def scenario():
            async with entry_site.running(2) as site:
                _inject_faults(site, "decode", {"stall_at_token": 3})
                issued = await site.call(
                    "POST", "/v1/tickets", {"service": "brief"}
                )
                key = {"Idempotency-Key": issued.json()["ticket"]}
                response = await site.open(
                    "POST", _COMPLETIONS, _LONG, key, entry=1
                )
                assert response.status == 200
                response.close()
                await site.until_free()

        asyncio.run(scenario())

    def test_while_queued(self):
        """A caller disconnects while its request is queued for a slot.

        The request must not be started later, when a slot becomes free.
        """

        async def scenario():
            async with entry_site.running() as site:
                _inject_faults(site, "decode", {"stall_at_token": 1})
                held = [
                    asyncio.create_task(site.open("POST", _COMPLETIONS, _LONG))
                    for _ in range(8)
                ]
                await entry_site.until(
                    lambda: _held_requests(site, "decode") == 8
                )
                queued = asyncio.create_task(
                    site.open("POST", _COMPLETIONS, _LONG)
                )
                await asyncio.sleep(0.05)
                queued.cancel()
                for response in await asyncio.gather(*held):
                    response.close()
                await site.until_free()
                return sum(
                    len(engine.state.requests_by_id)
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
    def test_cancellation_is_retried_until_acknowledged(self, fault):
        """An engine refuses or loses a cancellation, or acknowledges it late.

        The cancellation must be sent again until the engine acknowledges it.
        """

        async def scenario():
            async with entry_site.running() as site:
                call = asyncio.create_task(
                    site.open("POST", _COMPLETIONS, _LONG)
                )
                await site.until_held("decode", "decode")
                _inject_faults(site, "decode", fault)
                (await call).close()
                await site.until_free()
                await entry_site.until(
                    lambda: site.status()["pending_cancels"] == 0
                )

        asyncio.run(scenario())

    def test_pending_cancellations_are_handed_over_at_shutdown(self):
        """The entry process shuts down while an engine refuses cancellations.

        A pending cancellation would be lost with the process, so it must be
        handed over to the coordinator of the endpoint.
        """

        async def scenario():
            async with entry_site.running() as site:
                response = await site.open("POST", _COMPLETIONS, _LONG)
                _inject_faults(site, "decode", {"cancel": "refuse"})
                response.close()
                await entry_site.until(
                    lambda: site.status()["pending_cancels"] > 0
                )
            return [order.request_id for order in site.coordinator.cancels]

        handed_over = asyncio.run(scenario())
        assert len(handed_over) == 1
        assert handed_over[0].startswith("vm-0.e0.")


def _held_requests(site: entry_site.Site, kind: str) -> int:
    return sum(
        len(engine.state.active_requests())
        for name, engine in site.engines.items()
        if name.startswith(kind)
    )
