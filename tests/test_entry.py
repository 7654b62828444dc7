"""The callers' interface, with stand-ins of all that is behind it."""

import asyncio
import json
from typing import Any

import pytest
from tests import entry_site

_PROMPT = {"model": "brief", "prompt": "a case file " * 20, "max_tokens": 5}
_COMPLETIONS = "/v1/completions"


def _call(*arguments: Any, **named: Any) -> entry_site.Answer:
    async def scenario():
        async with entry_site.running() as site:
            return await site.call(*arguments, **named)

    return asyncio.run(scenario())


def _refused(answer: entry_site.Answer, status: int, code: str) -> bool:
    error = answer.json()["error"]
    assert error["run"] == "no"
    assert error["message"]
    return (answer.status, error["code"]) == (status, code)


class TestGeneration:
    """Model requests that go well."""

    def test_stream(self):
        answer = _call("POST", _COMPLETIONS, {**_PROMPT, "stream": True})
        assert answer.status == 200
        assert answer.headers["Content-Type"].startswith("text/event-stream")
        assert answer.body.endswith(b"data: [DONE]\n\n")
        assert answer.body.count(b"data: {") == 5

    def test_whole(self):
        answer = _call("POST", _COMPLETIONS, _PROMPT)
        fields = answer.json()
        assert fields["object"] == "text_completion"
        assert fields["usage"]["completion_tokens"] == 5
        assert len(fields["choices"][0]["text"].split()) == 5

    def test_chat(self):
        messages = [{"role": "user", "content": "a manifest"}]
        body = {"model": "brief", "messages": messages, "max_tokens": 3}
        answer = _call("POST", "/v1/chat/completions", body)
        message = answer.json()["choices"][0]["message"]
        assert message["role"] == "assistant"
        assert len(message["content"].split()) == 3

    def test_models_are_the_callers_own(self):
        answer = _call("GET", "/v1/models", customer="zarqa")
        assert [model["id"] for model in answer.json()["data"]] == ["summary"]


class TestPlainCalls:
    """Calls of plain services are passed whole."""

    def test_method_path_headers_and_body(self):
        answer = _call("POST", "/services/lookup/bags/7?x=1", b"\x00bag", {})
        fields = answer.json()
        assert fields["method"] == "POST"
        assert fields["path"] == "/bags/7?x=1"
        assert fields["received"] == "\x00bag"

    def test_other_method(self):
        answer = _call("DELETE", "/services/lookup/bags/7")
        assert _refused(answer, 405, "method_not_allowed")


class TestRefusals:
    """What isn't a request of this caller gets a clear error."""

    @pytest.mark.parametrize(
        ("body", "code"),
        [
            (b"\xff{", "invalid_json"),
            (b"[1]", "invalid_json"),
            (b"[" * 100_000, "invalid_json"),
            ({"prompt": "x"}, "invalid_request"),
            ({**_PROMPT, "max_tokens": "5"}, "invalid_request"),
            ({**_PROMPT, "max_tokens": -5}, "invalid_request"),
            ({**_PROMPT, "n": 2}, "invalid_request"),
            ({**_PROMPT, "prompt": 7}, "invalid_request"),
            ({**_PROMPT, "max_tokens": 10**9}, "output_too_large"),
            ({**_PROMPT, "prompt": "x" * 200_000}, "prompt_too_large"),
        ],
    )
    def test_bad_body(self, body, code):
        assert _refused(_call("POST", _COMPLETIONS, body), 400, code)

    def test_unknown_key(self):
        answer = _call("POST", _COMPLETIONS, _PROMPT, customer="")
        assert _refused(answer, 401, "invalid_api_key")
        wrong = {"Authorization": "Bearer wrong"}
        answer = _call("POST", _COMPLETIONS, _PROMPT, wrong, customer="")
        assert _refused(answer, 401, "invalid_api_key")

    def test_rivals_service_looks_like_none(self):
        """Existence isn't told: both answers are the same but for the name."""
        body = {**_PROMPT, "model": "summary"}
        rivals = _call("POST", _COMPLETIONS, body)
        nobodys = _call("POST", _COMPLETIONS, {**body, "model": "nothing"})
        assert _refused(rivals, 404, "service_not_found")
        assert rivals.body == nobodys.body.replace(b"nothing", b"summary")

    def test_unknown_path(self):
        assert _refused(_call("GET", "/v2"), 404, "path_not_found")

    def test_large_body(self):
        answer = _call("POST", _COMPLETIONS, b"x" * 9_000_000)
        assert _refused(answer, 413, "body_too_large")
        answer = _call("POST", "/services/lookup/", b"x" * 2_000_000)
        assert _refused(answer, 413, "body_too_large")

    def test_large_headers(self):
        headers = {f"X-Large-{number}": "x" * 1000 for number in range(20)}
        answer = _call("POST", _COMPLETIONS, _PROMPT, headers)
        assert _refused(answer, 431, "headers_too_large")

    @pytest.mark.parametrize(
        "headers",
        [
            {"X-Priority": "5"},
            {"X-Priority": "high"},
            {"X-Deadline-Ms": "-1"},
            {"X-Deadline-Ms": "9" * 30},
            {"Idempotency-Key": "k" * 300},
        ],
    )
    def test_bad_header(self, headers):
        answer = _call("POST", _COMPLETIONS, _PROMPT, headers)
        assert _refused(answer, 400, "invalid_header")

    def test_process_lives_on(self):
        async def scenario():
            async with entry_site.running() as site:
                for body in (b"\xff", b"{}", b"null", b"{}" * 1_000_000):
                    await site.call("POST", _COMPLETIONS, body)
                return await site.call("POST", _COMPLETIONS, _PROMPT)

        assert asyncio.run(scenario()).status == 200

    def test_no_settings_yet(self):
        async def scenario():
            async with entry_site.running() as site:
                site.add_entry()
                await asyncio.sleep(0)
                return await site.call("GET", "/v1/models", entry=1)

        answer = asyncio.run(scenario())
        assert _refused(answer, 503, "not_ready")
        assert answer.headers["Retry-After"] == "1"


class TestBrokenUploads:
    """Callers leave amid their uploads."""

    def test_their_bytes_are_given_back(self):
        """Three callers in turn send most of a large body and leave.

        Were their bytes still counted, the next caller would be refused for
        want of room, and so would everyone after it.
        """

        async def scenario():
            async with entry_site.running() as site:
                body = {**_PROMPT, "prompt": "x" * 7_000_000}
                for _ in range(3):
                    before = site.status()["buffered_bytes"]
                    _, writer = await site.raw_open(_COMPLETIONS, body, cut=100)
                    await writer.drain()
                    await entry_site.until(
                        lambda: site.status()["buffered_bytes"] > 6_000_000
                    )
                    writer.close()
                    await entry_site.until(
                        lambda: site.status()["buffered_bytes"] == 0
                    )
                    assert before == 0
                return await site.call("POST", _COMPLETIONS, _PROMPT)

        assert asyncio.run(scenario()).status == 200


class TestScheduling:
    """What reaches the scheduler and the homes."""

    def test_full_engines_refuse_at_once_or_in_time(self):
        """More requests than slots come at once.

        Those beyond the slots wait; those that wait too long are told so, with
        a time to come back.
        """

        async def scenario():
            async with entry_site.running() as site:
                await site.call("POST", _COMPLETIONS, _PROMPT)
                body = {**_PROMPT, "max_tokens": 400}
                calls = [
                    site.call("POST", _COMPLETIONS, body) for _ in range(20)
                ]
                return await asyncio.gather(*calls)

        answers = asyncio.run(scenario())
        served = [answer for answer in answers if answer.status == 200]
        assert 8 <= len(served) < 20
        for answer in answers:
            if answer.status != 200:
                assert answer.status == 503
                assert answer.json()["error"]["run"] == "no"
                assert int(answer.headers["Retry-After"]) >= 1

    def test_one_call_outstanding_a_home(self):
        """A burst of requests doesn't become a burst of asks.

        Each ask states all, so asks sent while one is under way are merged.
        """

        async def scenario():
            async with entry_site.running() as site:
                calls = [
                    site.call("POST", _COMPLETIONS, _PROMPT) for _ in range(40)
                ]
                await asyncio.gather(*calls)
                return len(site.home.asked)

        assert asyncio.run(scenario()) < 120

    def test_leases_are_handed_back(self):
        async def scenario():
            async with entry_site.running() as site:
                await site.call("POST", _COMPLETIONS, _PROMPT)
            return site.home.asked[-1]

        last = asyncio.run(scenario())
        assert {ask.want for ask in last.asks} == {0}


class TestLog:
    """One line for each request's end."""

    def test_line(self):
        async def scenario():
            async with entry_site.running() as site:
                await site.call("POST", _COMPLETIONS, _PROMPT)
                await site.call("POST", _COMPLETIONS, b"{")
            return site.logs[0].getvalue().splitlines()

        lines = [
            line
            for line in asyncio.run(scenario())
            if "event=request_ended" in line
        ]
        assert "outcome=completed" in lines[0]
        assert "service=umurongo/brief" in lines[0]
        assert "request=vm-0.e0." in lines[0]
        assert "outcome=invalid_json" in lines[1]


class TestErrors:
    """Errors have one shape."""

    def test_shape(self):
        answer = _call("GET", "/nothing")
        assert set(json.loads(answer.body)["error"]) == {
            "code",
            "message",
            "run",
        }
