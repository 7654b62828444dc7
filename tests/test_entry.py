"""Tests of the public API with stand-ins for engines and other processes."""

import asyncio
import json
from typing import Any

import pytest
from tests import entry_site

_PROMPT = {"model": "brief", "prompt": "a case file " * 20, "max_tokens": 5}
_COMPLETIONS = "/v1/completions"


def _call(*arguments: Any, **named: Any) -> entry_site.HttpResponse:
    async def scenario():
        async with entry_site.running() as site:
            return await site.call(*arguments, **named)

    return asyncio.run(scenario())


def _is_error(answer: entry_site.HttpResponse, status: int, code: str) -> bool:
    error = answer.json()["error"]
    assert error["run"] == "no"
    assert error["message"]
    return (answer.status, error["code"]) == (status, code)


class TestGeneration:
    """Responses of successful model requests."""

    def test_streamed_response(self):
        answer = _call("POST", _COMPLETIONS, {**_PROMPT, "stream": True})
        assert answer.status == 200
        assert answer.headers["Content-Type"].startswith("text/event-stream")
        assert answer.body.endswith(b"data: [DONE]\n\n")
        assert answer.body.count(b"data: {") == 5

    def test_response_without_streaming(self):
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

    def test_model_list_has_only_the_callers_services(self):
        answer = _call("GET", "/v1/models", customer="zarqa")
        assert [model["id"] for model in answer.json()["data"]] == ["summary"]


class TestPlainCalls:
    """Requests to plain services are passed on unchanged."""

    def test_method_path_headers_and_body(self):
        answer = _call("POST", "/services/lookup/bags/7?x=1", b"\x00bag", {})
        fields = answer.json()
        assert fields["method"] == "POST"
        assert fields["path"] == "/bags/7?x=1"
        assert fields["received"] == "\x00bag"

    def test_method_that_the_service_excludes(self):
        answer = _call("DELETE", "/services/lookup/bags/7")
        assert _is_error(answer, 405, "method_not_allowed")


class TestRefusals:
    """Invalid or unauthorized requests get the right status and code."""

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
        assert _is_error(_call("POST", _COMPLETIONS, body), 400, code)

    def test_unknown_key(self):
        answer = _call("POST", _COMPLETIONS, _PROMPT, customer="")
        assert _is_error(answer, 401, "invalid_api_key")
        wrong = {"Authorization": "Bearer wrong"}
        answer = _call("POST", _COMPLETIONS, _PROMPT, wrong, customer="")
        assert _is_error(answer, 401, "invalid_api_key")

    def test_service_of_another_customer_looks_nonexistent(self):
        """Error responses must not reveal which services other customers have.

        The responses for a foreign and for a nonexistent service are identical
        but for the name.
        """
        body = {**_PROMPT, "model": "summary"}
        foreign = _call("POST", _COMPLETIONS, body)
        unknown = _call("POST", _COMPLETIONS, {**body, "model": "nothing"})
        assert _is_error(foreign, 404, "service_not_found")
        assert foreign.body == unknown.body.replace(b"nothing", b"summary")

    def test_unknown_path(self):
        assert _is_error(_call("GET", "/v2"), 404, "path_not_found")

    def test_large_body(self):
        answer = _call("POST", _COMPLETIONS, b"x" * 9_000_000)
        assert _is_error(answer, 413, "body_too_large")
        answer = _call("POST", "/services/lookup/", b"x" * 2_000_000)
        assert _is_error(answer, 413, "body_too_large")

    def test_large_headers(self):
        headers = {f"X-Large-{number}": "x" * 1000 for number in range(20)}
        answer = _call("POST", _COMPLETIONS, _PROMPT, headers)
        assert _is_error(answer, 431, "headers_too_large")

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
        assert _is_error(answer, 400, "invalid_header")

    def test_valid_request_succeeds_after_invalid_ones(self):
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
        assert _is_error(answer, 503, "not_ready")
        assert answer.headers["Retry-After"] == "1"


class TestBrokenUploads:
    """Callers that disconnect during the upload of a request body."""

    def test_buffered_bytes_are_released(self):
        """Guards against a leak in the count of buffered body bytes.

        Three callers in turn send most of a large body and disconnect. If
        their bytes stayed counted, the next caller and all after it would be
        refused as overload.
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
    """Queueing, slot demands and leases."""

    def test_requests_beyond_the_slots_wait_or_are_refused(self):
        """More requests than slots arrive at once.

        Those beyond the slots are queued; those that would wait too long are
        refused with a `Retry-After` header, and must not fail otherwise.
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

    def test_slot_demands_are_merged_while_one_is_in_flight(self):
        """A burst of requests must not become a burst of slot demands.

        Each demand states the total, so demands that arise while one is in
        flight to a coordinator are merged into the next.
        """

        async def scenario():
            async with entry_site.running() as site:
                calls = [
                    site.call("POST", _COMPLETIONS, _PROMPT) for _ in range(40)
                ]
                await asyncio.gather(*calls)
                return len(site.coordinator.received_requests)

        assert asyncio.run(scenario()) < 120

    def test_leases_are_returned_at_shutdown(self):
        async def scenario():
            async with entry_site.running() as site:
                await site.call("POST", _COMPLETIONS, _PROMPT)
            return site.coordinator.received_requests[-1]

        last = asyncio.run(scenario())
        assert {ask.want for ask in last.asks} == {0}


class TestLog:
    """One log line at the end of each request."""

    def test_request_ended_line(self):
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
        # Without the engines, a failure can't be traced to its engine.
        assert " prefill=prefill" in lines[0]
        assert " decode=decode" in lines[0]
        assert "decode=" not in lines[1]


class TestErrors:
    """All errors have the same JSON form."""

    def test_fields(self):
        answer = _call("GET", "/nothing")
        assert set(json.loads(answer.body)["error"]) == {
            "code",
            "message",
            "run",
        }
