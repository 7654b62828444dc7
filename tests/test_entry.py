"""The entry with stand-ins of all that is round it, in one event loop."""

import asyncio

from tests import entry_site

_PROMPT = {"model": "brief", "prompt": "a case file " * 20, "max_tokens": 5}


class TestGeneration:
    """Model requests that go well."""

    def test_stream(self):
        async def scenario():
            async with entry_site.running() as site:
                body = {**_PROMPT, "stream": True}
                return await site.call("POST", "/v1/completions", body)

        answer = asyncio.run(scenario())
        assert answer.status == 200
        assert answer.body.endswith(b"data: [DONE]\n\n")
        assert answer.body.count(b"\nid: ") == 4

    def test_plain_call(self):
        async def scenario():
            async with entry_site.running() as site:
                return await site.call(
                    "POST", "/services/lookup/bags/7?x=1", b"where", {}
                )

        answer = asyncio.run(scenario())
        assert answer.status == 200
        assert answer.json()["path"] == "/bags/7?x=1"
        assert answer.json()["received"] == "where"
