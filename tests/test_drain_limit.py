"""Tests of requests in flight when the time to drain is over."""

import asyncio
import json

from tests import entry_site

_COMPLETIONS = "/v1/completions"
_STREAM = {
    "model": "brief",
    "prompt": "a long manifest " * 50,
    "max_tokens": 2_000,
    "stream": True,
}


def _drain(send, *, started) -> entry_site.HttpResponse:
    """Ends an entry process while it serves a request.

    Args:
      send: Sends the request to a site and returns its response.
      started: Waits until the request has come as far as the test needs.

    Returns:
      The response, as the caller received it.
    """

    async def scenario():
        async with entry_site.running(drain_limit_s=0.05) as site:
            for engine in site.engines.values():
                engine.faults.set({"stall_at_token": 3})
            for service in site.services.values():
                service.faults.set({"delay_s": 600.0})
            caller = asyncio.create_task(send(site))
            await started(site)
            site.entries[0].shell.stop()
            return await asyncio.wait_for(caller, 10)

    return asyncio.run(scenario())


class TestDrainLimit:
    """What callers get when a process ends before their requests do."""

    # Guards against a closed connection in place of a refusal: the request was
    # read whole, and no engine had it.
    def test_request_that_waits_for_a_slot_is_refused(self):
        async def send(site):
            short = {**_STREAM, "max_tokens": 5}
            streams = [site.open("POST", _COMPLETIONS, short) for _ in range(8)]
            await asyncio.gather(*streams)
            return await site.call("POST", _COMPLETIONS, short)

        async def started(site):
            tasks = site.entries[0]._gate.tasks  # noqa: SLF001
            await entry_site.until(lambda: len(tasks) == 9)

        response = _drain(send, started=started)
        assert response.status == 503
        assert response.headers["Retry-After"] == "0"
        error = response.json()["error"]
        assert (error["code"], error["run"]) == ("leaving", "no")

    # Guards against a closed connection in place of an error that tells that
    # the call may have been executed.
    def test_call_that_may_have_been_executed_is_answered(self):
        async def send(site):
            return await site.call("POST", "/services/booking/a", b"{}")

        async def started(site):
            await entry_site.until(
                lambda: any(
                    each.executed_calls for each in site.services.values()
                )
            )

        response = _drain(send, started=started)
        assert response.status == 502
        error = response.json()["error"]
        assert (error["code"], error["run"]) == ("interrupted", "unknown")

    # Guards against a truncated stream that looks complete.
    def test_stream_that_has_begun_ends_with_an_error(self):
        async def send(site):
            return await site.raw_post(_COMPLETIONS, _STREAM)

        async def started(site):
            await site.until_held("decode", "decode")
            await asyncio.sleep(0.05)

        answer = _drain(send, started=started)
        assert not answer.endswith(b"0\r\n\r\n")
        event = answer.rpartition(b"data: ")[2].partition(b"\n")[0]
        error = json.loads(event)["error"]
        assert (error["code"], error["run"]) == ("interrupted", "unknown")
