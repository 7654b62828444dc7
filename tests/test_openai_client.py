"""Compatibility of the public API with the OpenAI Python client."""

import asyncio

import openai
import pytest
from tests import entry_site

_USER = "umurongo/firm-1"


def _run_with_client(scenario):
    async def run():
        async with entry_site.running() as site:
            client = openai.AsyncOpenAI(
                api_key=entry_site.KEYS[_USER],
                base_url=f"http://{entry_site.HOST}:{site.public_port()}/v1",
                max_retries=0,
            )
            async with client:
                return await scenario(client)

    return asyncio.run(run())


class TestClientLibrary:
    """Callers use the OpenAI client library unchanged."""

    def test_models(self):
        async def scenario(client):
            return [model.id async for model in client.models.list()]

        assert "brief" in _run_with_client(scenario)

    def test_unstreamed_completion(self):
        async def scenario(client):
            return await client.completions.create(
                model="brief", prompt="hello", max_tokens=5
            )

        completion = _run_with_client(scenario)
        assert completion.choices[0].text.endswith("-5")
        assert completion.usage.completion_tokens == 5
        assert completion.usage.prompt_tokens > 0

    def test_streamed_chat(self):
        async def scenario(client):
            stream = await client.chat.completions.create(
                model="brief",
                messages=[{"role": "user", "content": "hello"}],
                max_tokens=5,
                stream=True,
            )
            return [chunk async for chunk in stream]

        chunks = _run_with_client(scenario)
        text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks)
        assert text.endswith("-5")
        assert chunks[-1].choices[0].finish_reason == "length"

    def test_unknown_model(self):
        async def scenario(client):
            await client.completions.create(model="nope", prompt="hello")

        with pytest.raises(openai.NotFoundError) as caught:
            _run_with_client(scenario)
        assert caught.value.code == "service_not_found"
