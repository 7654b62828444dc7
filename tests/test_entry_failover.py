"""Entry processes of the own interface that lose their path to endpoints."""

import asyncio

import entry_site
import partition as partition_lib

_LOOKUP = "/services/lookup/slots"
_BOOKING = "/services/booking/slots"
_MODEL_BODY = {"model": "brief", "prompt": "a case", "max_tokens": 4}


def _cut_off(site: entry_site.Site) -> partition_lib.Partition:
    addresses = [
        (endpoint.host, endpoint.port) for endpoint in site.endpoints.values()
    ]
    return partition_lib.Partition(site.entries[0]._http, addresses)


def _executions(site: entry_site.Site) -> int:
    return sum(
        len(service.executed_calls) for service in site.services.values()
    )


def _run(steps):
    async def run():
        async with entry_site.running(entries=2) as site:
            partition = _cut_off(site)
            result = await steps(site)
            partition.heal()
            return result

    return asyncio.run(run())


class TestPlainCalls:
    """Plain calls at an entry process without a path to any endpoint."""

    # Guards against refusing calls that the process of another VM can serve.
    def test_calls_are_served(self):
        async def steps(site):
            answers = [await site.call("GET", _LOOKUP) for _ in range(4)]
            return [answer.status for answer in answers]

        assert _run(steps) == [200] * 4

    # Guards against a ticket that is spent at one VM and run twice by others.
    def test_ticket_is_executed_once(self):
        async def steps(site):
            issued = await site.call(
                "POST", "/v1/tickets", {"service": "booking"}
            )
            headers = {"Idempotency-Key": issued.json()["ticket"]}
            answers = [
                await site.call(
                    "POST", _BOOKING, b"nine", headers, entry=number
                )
                for number in (0, 1, 0)
            ]
            return [answer.status for answer in answers], _executions(site)

        assert _run(steps) == ([200] * 3, 1)

    # Guards against a helping process that doesn't check the caller's key.
    def test_unknown_api_key_is_refused(self):
        async def steps(site):
            return (await site.call("GET", _LOOKUP, customer="")).status

        assert _run(steps) == 401


class TestModelRequests:
    """Model requests at an entry process without a path to any engine."""

    # Guards against refusing requests that the process of another VM can serve.
    def test_whole_answers_and_streams_are_served(self):
        async def steps(site):
            whole = await site.call("POST", "/v1/completions", _MODEL_BODY)
            streamed = await site.call(
                "POST", "/v1/completions", {**_MODEL_BODY, "stream": True}
            )
            return whole, streamed

        whole, streamed = _run(steps)
        assert whole.status == streamed.status == 200
        assert whole.json()["choices"]
        assert streamed.body.endswith(b"data: [DONE]\n\n")
