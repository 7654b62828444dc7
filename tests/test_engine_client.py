"""Tests of `engines.engine_client` against simulated engines."""

import asyncio
import functools

import pytest
from tests import fake_fleet

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import stream as stream_lib
from cowsliprill.engines import errors
from cowsliprill.engines import protocol
from cowsliprill.standins import engine_memory
from cowsliprill.standins import http_server

_ID = fake_fleet.REQUEST_ID
_OTHER = "vm2.e0.b2.1.0"
_Stage = engine_memory.RequestStage


def _with_fleet(scenario=None, **options):
    if scenario is None:
        return functools.partial(_with_fleet, **options)

    @functools.wraps(scenario)
    def run(self, *args) -> None:
        async def body() -> None:
            async with fake_fleet.start(**options) as fleet:
                async with asyncio.timeout(20):
                    await scenario(self, fleet, *args)

        asyncio.run(body())

    # pytest must not treat `fleet` as a fixture, but pass the parameters.
    del run.__wrapped__
    return run


async def _read(stream) -> bytes:
    return b"".join([events async for events in stream])


async def _read_until_error(stream) -> tuple[bytes, errors.StreamBroken]:
    received = b""
    with pytest.raises(errors.StreamBroken) as caught:
        async for events in stream:
            received += events
    return received, caught.value


def _expected_events(fleet, request_id: str = _ID) -> bytes:
    request = fleet.decode.state.requests_by_id[request_id]
    return b"".join(request.events)


class TestCompleteRequest:
    """Prefill, KV cache transfer and decode without faults."""

    @_with_fleet
    async def test_streams_all_tokens_and_frees_memory(self, fleet) -> None:
        stream = await fleet.start_decode()
        received = await _read(stream)
        assert received == _expected_events(fleet) + protocol.END_MARKER
        assert stream.validator.last_token == 5
        assert fleet.used_resources() == (0, 0)

    @_with_fleet
    async def test_customers_share_no_cache_blocks(self, fleet) -> None:
        """Two customers send the same prompt to one engine.

        With shared cache blocks, a shorter time to first token would reveal to
        one customer that another one has sent the same prompt.
        """
        for number, salt in enumerate(["firm-1", "ubumwe", "ubumwe"]):
            await _read(
                await fleet.start_decode(f"v.e.x.{number}.0", cache_salt=salt)
            )
        events = await fleet.client.cache_events(fleet.prefill_endpoint, 0)
        blocks = [event.block for event in events.events]
        prompt_blocks = len(fake_fleet.BODY["prompt"]) // 64
        assert len(set(blocks)) == len(blocks) == 2 * prompt_blocks


class TestCancelFreesMemory:
    """A cancellation in any stage frees all engine memory."""

    @pytest.mark.parametrize(
        ("stage", "fault"),
        [
            (_Stage.PREFILL, {"slow_factor": 1e9}),
            (_Stage.TRANSFER, {"stall_export_at_byte": 0}),
        ],
    )
    def test_during_prefill_or_transfer(self, stage, fault) -> None:
        """The caller disconnects during the prefill or the transfer.

        A slot that stays in use would delay other requests for nothing.
        """

        @_with_fleet(prefill_tokens_per_s=1e9, link_bytes_per_s=1e9)
        async def scenario(self, fleet) -> None:
            fleet.prefill.faults.set(fault)
            call = asyncio.create_task(fleet.start_decode())
            engine = fleet.prefill if stage is _Stage.PREFILL else fleet.decode
            await _wait_for_stage(engine, stage)
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            assert fleet.used_resources() != (0, 0)
            assert await fleet.cancel() == [True, True]
            assert fleet.used_resources() == (0, 0)

        scenario(None)

    @_with_fleet
    async def test_between_prefill_and_transfer(self, fleet) -> None:
        """The caller disconnects just after its prefill has finished."""
        await fleet.client.prefill(fleet.prefill_endpoint, _ID, fake_fleet.BODY)
        assert fleet.used_resources()[1] > 0
        assert await fleet.cancel() == [True, True]
        assert fleet.used_resources() == (0, 0)

    @_with_fleet(seconds_per_token=0.05)
    async def test_during_decode(self, fleet) -> None:
        """The caller disconnects while tokens are streamed.

        Closing the connection alone doesn't stop the request at the engine.
        """
        stream = await fleet.start_decode(max_tokens=10_000)
        async for _ in stream:
            stream.close()
            break
        running = await fleet.client.running(fleet.decode_endpoint)
        assert [request.request_id for request in running] == [_ID]
        assert await fleet.cancel() == [True, True]
        assert fleet.used_resources() == (0, 0)

    @_with_fleet
    async def test_cancel_before_its_request(self, fleet) -> None:
        """The cancellation arrives first; the engine refuses the request."""
        assert await fleet.cancel() == [True, True]
        with pytest.raises(errors.EngineRefused) as caught:
            await fleet.start_decode()
        assert caught.value.run is messages.Executed.NO
        assert fleet.used_resources() == (0, 0)

    @pytest.mark.parametrize("fault", ["refuse", "lose"])
    def test_failed_cancel_is_not_reported_as_done(self, fault) -> None:
        """The engine refuses the cancellation, or the message is lost.

        If the cancellation counted as done, the slot would stay in use.
        """

        @_with_fleet
        async def scenario(self, fleet) -> None:
            await fleet.client.prefill(
                fleet.prefill_endpoint, _ID, fake_fleet.BODY
            )
            fleet.prefill.faults.set({"cancel": fault, "times": 1})
            assert await fleet.cancel() == [False, True]
            assert await fleet.cancel() == [True, True]
            assert fleet.used_resources() == (0, 0)

        scenario(None)

    @_with_fleet
    async def test_cancel_that_times_out_is_not_reported_as_done(
        self, fleet
    ) -> None:
        fleet.prefill.faults.set({"cancel": "late", "cancel_delay_s": 60})
        assert not await fleet.client.cancel(
            fleet.prefill_endpoint, _ID, timeout_s=0.05
        )


async def _wait_for_stage(engine, stage) -> engine_memory.Request:
    for _ in range(1_000_000):
        request = engine.state.requests_by_id.get(_ID)
        if request is not None and request.stage is stage:
            return request
        await asyncio.sleep(0)
    raise AssertionError(f"request never reached {stage}")


class TestRefusal:
    """An engine refuses a request."""

    @pytest.mark.parametrize(
        "code", [protocol.CODE_FULL, protocol.CODE_DRAINING]
    )
    def test_complete_refusal_proves_not_executed(self, code) -> None:
        @_with_fleet
        async def scenario(self, fleet) -> None:
            fleet.prefill.faults.set({"refuse": code})
            with pytest.raises(errors.EngineRefused) as caught:
                await fleet.start_decode()
            assert caught.value.code == code
            assert caught.value.run is messages.Executed.NO
            assert fleet.prefill.state.requests_by_id == {}

        scenario(None)

    @_with_fleet(slots=1, seconds_per_token=0.05)
    async def test_full_engine(self, fleet) -> None:
        stream = await fleet.start_decode(max_tokens=1_000)
        with pytest.raises(errors.EngineRefused) as caught:
            await fleet.start_decode(_OTHER)
        assert caught.value.code == protocol.CODE_FULL
        stream.close()

    @_with_fleet(export_ttl_s=0.01)
    async def test_evicted_prefill(self, fleet) -> None:
        """The decode starts after the exported KV cache has expired."""
        result = await fleet.client.prefill(
            fleet.prefill_endpoint, _ID, fake_fleet.BODY
        )
        await _wait_for_stage(fleet.prefill, _Stage.EVICTED)
        with pytest.raises(errors.EngineRefused) as caught:
            await fleet.client.decode(
                fleet.decode_endpoint, _ID, fake_fleet.BODY, result
            )
        assert caught.value.code == protocol.CODE_EVICTED
        assert fleet.used_resources() == (0, 0)

    @_with_fleet
    async def test_truncated_refusal(self, fleet) -> None:
        """The connection is lost at each byte of a refusal.

        A truncated refusal can't be told from another truncated response, so
        only a complete one proves that the request was not executed.
        """
        refusal = {"refuse": protocol.CODE_FULL, "times": 1}
        length = len(http_server.refusal_body(protocol.CODE_FULL))
        for end in range(length + 1):
            fleet.prefill.faults.set({**refusal, "cut_refusal_at_byte": end})
            with pytest.raises(errors.CallError) as caught:
                await fleet.start_decode()
            is_refusal = isinstance(caught.value, errors.EngineRefused)
            assert (caught.value.run is messages.Executed.NO) is is_refusal
            assert is_refusal is (end == length)

    @_with_fleet
    async def test_refusal_of_another_request(self, fleet) -> None:
        """An engine sends a refusal that carries another request's id."""
        fleet.prefill.faults.set({"foreign_id": True})
        with pytest.raises(errors.ResponseIdMismatch) as caught:
            await fleet.start_decode()
        assert caught.value.run is messages.Executed.UNKNOWN


class TestInvalidStream:
    """The decode stream is truncated, invalid or of another request."""

    @_with_fleet
    async def test_interrupted_and_resumed(self, fleet) -> None:
        """The connection is lost at several offsets and the stream resumed.

        The engine keeps running. The caller must receive each token exactly
        once, and the end marker.
        """
        for number, end in enumerate(range(0, 900, 61)):
            request_id = f"v.e.x.{number}.0"
            fleet.decode.faults.set({"cut_at_byte": end, "times": 1})
            stream = await fleet.start_decode(request_id)
            received, stream_error = await _read_until_error(stream)
            assert stream_error.resumable
            await fleet.client.resume(fleet.decode_endpoint, stream)
            received += await _read(stream)
            expected = _expected_events(fleet, request_id)
            assert received == expected + protocol.END_MARKER

    @_with_fleet
    async def test_resumed_stream_repeats_a_token(self, fleet) -> None:
        fleet.decode.faults.set({"cut_at_token": 3, "times": 1})
        stream = await fleet.start_decode()
        received, _ = await _read_until_error(stream)
        fleet.decode.faults.set({"repeat_token": True})
        await fleet.client.resume(fleet.decode_endpoint, stream)
        received += await _read(stream)
        assert received == _expected_events(fleet) + protocol.END_MARKER

    @_with_fleet
    async def test_resume_of_an_unknown_request(self, fleet) -> None:
        """The engine was replaced; the new one can't resume the request."""
        fleet.decode.faults.set({"cut_at_token": 2, "times": 1})
        stream = await fleet.start_decode()
        await _read_until_error(stream)
        fleet.decode.state.requests_by_id.clear()
        with pytest.raises(errors.EngineRefused) as caught:
            await fleet.client.resume(fleet.decode_endpoint, stream)
        assert caught.value.code == protocol.CODE_UNKNOWN_REQUEST

    @_with_fleet
    async def test_stalled_stream(self, fleet) -> None:
        """The engine stops sending while the connection stays open."""
        fleet.decode.faults.set({"stall_at_token": 2, "times": 1})
        stream = await fleet.start_decode()
        _, stream_error = await _read_until_error(stream)
        assert stream_error.reason is stream_lib.StreamFault.STALLED
        assert stream_error.last_token == 2
        assert await fleet.cancel() == [True, True]
        assert fleet.used_resources() == (0, 0)

    @pytest.mark.parametrize(
        ("fault", "reason"),
        [
            ("wrong_count", stream_lib.StreamFault.WRONG_COUNT),
            ("omit_end_marker", stream_lib.StreamFault.TRUNCATED),
        ],
    )
    def test_end_of_an_incomplete_stream(self, fault, reason) -> None:
        """The HTTP response ends normally, but the stream is incomplete."""

        @_with_fleet
        async def scenario(self, fleet) -> None:
            fleet.decode.faults.set({fault: True})
            stream = await fleet.start_decode()
            received, stream_error = await _read_until_error(stream)
            assert stream_error.reason is reason
            assert protocol.END_MARKER not in received

        scenario(None)

    @_with_fleet
    async def test_response_header_with_another_id(self, fleet) -> None:
        """The response headers of a stream carry another request's id."""
        fleet.decode.faults.set({"foreign_id": True})
        with pytest.raises(errors.ResponseIdMismatch):
            await fleet.start_decode()

    @_with_fleet(seconds_per_token=0.01)
    async def test_stream_of_another_request(self, fleet) -> None:
        """An engine sends the tokens of another customer's request."""
        other = await fleet.start_decode(
            _OTHER, prompt="a rival's", max_tokens=50
        )
        async for _ in other:
            break
        fleet.decode.faults.set({"swap": True})
        stream = await fleet.start_decode()
        received, stream_error = await _read_until_error(stream)
        assert received == b""
        assert stream_error.reason is stream_lib.StreamFault.FOREIGN
        other.close()

    @_with_fleet
    async def test_interrupted_transfer(self, fleet) -> None:
        """The KV cache transfer between the engines is interrupted."""
        fleet.prefill.faults.set({"cut_export_at_byte": 0})
        with pytest.raises(errors.EngineRefused) as caught:
            await fleet.start_decode()
        assert caught.value.run is messages.Executed.NO
        assert fleet.decode.state.used_blocks() == 0
        await fleet.cancel()
        assert fleet.used_resources() == (0, 0)


class TestReportsAndOrders:
    """Load reports, cache events and orders."""

    @_with_fleet(report_lag_s=3600)
    async def test_load_report_lags(self, fleet) -> None:
        stream = await fleet.start_decode(max_tokens=1_000)
        load = await fleet.client.load(fleet.decode_endpoint)
        assert (load.running, load.slots) == (0, 4)
        stream.close()

    @_with_fleet
    async def test_lost_cache_events_are_flagged(self, fleet) -> None:
        """The engine omits cache events.

        Without the gap flag, the router would send prompts to an engine that
        has already removed their blocks from its cache.
        """
        await _read(await fleet.start_decode())
        endpoint = fleet.prefill_endpoint
        complete = await fleet.client.cache_events(endpoint, 0)
        assert len(complete.events) == complete.last_seq and not complete.gap
        fleet.prefill.faults.set({"drop_cache_events": 2})
        assert (await fleet.client.cache_events(endpoint, 0)).gap
        fleet.prefill.faults.set({"cache_lag_s": 3600})
        late = await fleet.client.cache_events(endpoint, 0)
        assert late.events == () and not late.gap

    @pytest.mark.parametrize("checks", [True, False])
    def test_order_with_an_old_fencing_token(self, checks) -> None:
        """A VM resumes after a long pause and sends an outdated order."""
        old = model.EngineTarget(role=model.EndpointKind.DECODE, model="old")
        new = model.EngineTarget(role=model.EndpointKind.DECODE, model="new")

        @_with_fleet(checks_fencing=checks)
        async def scenario(self, fleet) -> None:
            endpoint = fleet.decode_endpoint
            await fleet.client.order(endpoint, 7, new)
            if checks:
                with pytest.raises(errors.StaleFencingToken) as caught:
                    await fleet.client.order(endpoint, 6, old)
                assert caught.value.highest == 7
            else:
                await fleet.client.order(endpoint, 6, old)
            order = await fleet.client.read_order(endpoint)
            assert order.target == (new if checks else old)

        scenario(None)

    @pytest.mark.parametrize("response_body", [b"[]", b"{}", b"\xff", b"{"])
    def test_malformed_response(self, response_body) -> None:
        """An engine responds with invalid or unexpected JSON."""

        @_with_fleet
        async def scenario(self, fleet) -> None:
            fleet.service._last_answer = response_body
            fleet.service.faults.set({"swap": True})
            endpoint = fleet.service_endpoint
            with pytest.raises(errors.CallError):
                await fleet.client.running(endpoint)
            fleet.service._last_answer = response_body
            with pytest.raises(errors.CallError):
                await fleet.client.load(endpoint)
            assert not await fleet.client.cancel(endpoint, _ID)

        scenario(None)
