"""Tests of `engines.engine_client` against the stand-ins of engines."""

import asyncio
import functools

import pytest
from tests import standin_fleet

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import stream as stream_lib
from cowsliprill.engines import errors
from cowsliprill.engines import protocol
from cowsliprill.standins import engine_memory
from cowsliprill.standins import shell

_ID = standin_fleet.REQUEST_ID
_OTHER = "vm2.e0.b2.1.0"
_Stage = engine_memory.RequestStage


def _with_fleet(scenario=None, **options):
    if scenario is None:
        return functools.partial(_with_fleet, **options)

    @functools.wraps(scenario)
    def run(self, *args) -> None:
        async def body() -> None:
            async with standin_fleet.start(**options) as fleet:
                async with asyncio.timeout(20):
                    await scenario(self, fleet, *args)

        asyncio.run(body())

    # pytest must ask for the parameters but not for `fleet`.
    del run.__wrapped__
    return run


async def _read(stream) -> bytes:
    return b"".join([events async for events in stream])


async def _read_until_broken(stream) -> tuple[bytes, errors.StreamBroken]:
    delivered = b""
    with pytest.raises(errors.StreamBroken) as caught:
        async for events in stream:
            delivered += events
    return delivered, caught.value


def _true_events(fleet, request_id: str = _ID) -> bytes:
    request = fleet.decode.memory.requests_by_id[request_id]
    return b"".join(request.events)


class TestWholeRequest:
    """Prefill, transfer and decode without faults."""

    @_with_fleet
    async def test_streams_the_tokens_and_frees_all_memory(self, fleet) -> None:
        stream = await fleet.start_decode()
        delivered = await _read(stream)
        assert delivered == _true_events(fleet) + protocol.END_MARKER
        assert stream.validator.last_token == 5
        assert fleet.held() == (0, 0)

    @_with_fleet
    async def test_same_prompt_of_two_customers_shares_no_block(
        self, fleet
    ) -> None:
        """Rival firms send the same case file.

        A first token that comes sooner would tell one of them that the other
        has the same client.
        """
        for number, salt in enumerate(["firm-1", "ubumwe", "ubumwe"]):
            await _read(
                await fleet.start_decode(f"v.e.x.{number}.0", cache_salt=salt)
            )
        events = await fleet.client.cache_events(fleet.prefill_endpoint, 0)
        blocks = [event.block for event in events.events]
        prompt_blocks = len(standin_fleet.BODY["prompt"]) // 64
        assert len(set(blocks)) == len(blocks) == 2 * prompt_blocks


class TestCancelFreesMemory:
    """The caller leaves in each stage; the engines must hold nothing."""

    @pytest.mark.parametrize(
        ("stage", "fault"),
        [
            (_Stage.PREFILL, {"slow_factor": 1e9}),
            (_Stage.TRANSFER, {"stall_export_at_byte": 0}),
        ],
    )
    def test_while_an_engine_works(self, stage, fault) -> None:
        """The caller hangs up during the prefill or the transfer.

        A slot that stays taken makes briefs wait behind nobody.
        """

        @_with_fleet(prefill_tokens_per_s=1e9, link_bytes_per_s=1e9)
        async def scenario(self, fleet) -> None:
            fleet.prefill.conduct.set(fault)
            call = asyncio.create_task(fleet.start_decode())
            engine = fleet.prefill if stage is _Stage.PREFILL else fleet.decode
            await _admitted(engine, stage)
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            assert fleet.held() != (0, 0)
            assert await fleet.cancel() == [True, True]
            assert fleet.held() == (0, 0)

        scenario(None)

    @_with_fleet
    async def test_between_prefill_and_transfer(self, fleet) -> None:
        """The caller hangs up when its prefill has just finished."""
        await fleet.client.prefill(
            fleet.prefill_endpoint, _ID, standin_fleet.BODY
        )
        assert fleet.held()[1] > 0
        assert await fleet.cancel() == [True, True]
        assert fleet.held() == (0, 0)

    @_with_fleet(seconds_per_token=0.05)
    async def test_during_decode(self, fleet) -> None:
        """The caller hangs up amid the answer.

        Closing the connection alone leaves the engine at work.
        """
        stream = await fleet.start_decode(max_tokens=10_000)
        async for _ in stream:
            stream.close()
            break
        running = await fleet.client.running(fleet.decode_endpoint)
        assert [request.request_id for request in running] == [_ID]
        assert await fleet.cancel() == [True, True]
        assert fleet.held() == (0, 0)

    @_with_fleet
    async def test_cancel_overtakes_its_request(self, fleet) -> None:
        """The cancel order arrives before the request that it is for."""
        assert await fleet.cancel() == [True, True]
        with pytest.raises(errors.EngineRefused) as caught:
            await fleet.start_decode()
        assert caught.value.run is messages.Run.NO
        assert fleet.held() == (0, 0)

    @pytest.mark.parametrize("fault", ["refuse", "lose"])
    def test_cancel_that_fails_is_not_called_done(self, fault) -> None:
        """The engine refuses the cancel order, or it is lost.

        Taken for done, the slot would stay held.
        """

        @_with_fleet
        async def scenario(self, fleet) -> None:
            await fleet.client.prefill(
                fleet.prefill_endpoint, _ID, standin_fleet.BODY
            )
            fleet.prefill.conduct.set({"cancel": fault, "times": 1})
            assert await fleet.cancel() == [False, True]
            assert await fleet.cancel() == [True, True]
            assert fleet.held() == (0, 0)

        scenario(None)

    @_with_fleet
    async def test_late_cancel_is_not_called_done_in_time(self, fleet) -> None:
        fleet.prefill.conduct.set({"cancel": "late", "cancel_delay_s": 60})
        assert not await fleet.client.cancel(
            fleet.prefill_endpoint, _ID, timeout_s=0.05
        )


async def _admitted(engine, stage) -> engine_memory.Request:
    for _ in range(1_000_000):
        request = engine.memory.requests_by_id.get(_ID)
        if request is not None and request.stage is stage:
            return request
        await asyncio.sleep(0)
    raise AssertionError(f"request never came to {stage}")


class TestRefusal:
    """An engine doesn't take a request."""

    @pytest.mark.parametrize(
        "code", [protocol.CODE_FULL, protocol.CODE_DRAINING]
    )
    def test_whole_refusal_says_not_run(self, code) -> None:
        @_with_fleet
        async def scenario(self, fleet) -> None:
            fleet.prefill.conduct.set({"refuse": code})
            with pytest.raises(errors.EngineRefused) as caught:
                await fleet.start_decode()
            assert caught.value.code == code
            assert caught.value.run is messages.Run.NO
            assert fleet.prefill.memory.requests_by_id == {}

        scenario(None)

    @_with_fleet(slots=1, seconds_per_token=0.05)
    async def test_engine_that_is_full(self, fleet) -> None:
        stream = await fleet.start_decode(max_tokens=1_000)
        with pytest.raises(errors.EngineRefused) as caught:
            await fleet.start_decode(_OTHER)
        assert caught.value.code == protocol.CODE_FULL
        stream.close()

    @_with_fleet(export_ttl_s=0.01)
    async def test_prefill_that_was_evicted(self, fleet) -> None:
        """The decode comes later than the KV cache is kept."""
        result = await fleet.client.prefill(
            fleet.prefill_endpoint, _ID, standin_fleet.BODY
        )
        await _admitted(fleet.prefill, _Stage.EVICTED)
        with pytest.raises(errors.EngineRefused) as caught:
            await fleet.client.decode(
                fleet.decode_endpoint, _ID, standin_fleet.BODY, result
            )
        assert caught.value.code == protocol.CODE_EVICTED
        assert fleet.held() == (0, 0)

    @_with_fleet
    async def test_engine_that_dies_while_refusing(self, fleet) -> None:
        """The refusal breaks off; it can't be told from another answer.

        "Not run" may only be said of a whole refusal.
        """
        refusal = {"refuse": protocol.CODE_FULL, "times": 1}
        length = len(shell.refusal_body(protocol.CODE_FULL))
        for end in range(length + 1):
            fleet.prefill.conduct.set({**refusal, "cut_refusal_at_byte": end})
            with pytest.raises(errors.CallError) as caught:
                await fleet.start_decode()
            whole = isinstance(caught.value, errors.EngineRefused)
            assert (caught.value.run is messages.Run.NO) is whole
            assert whole is (end == length)

    @_with_fleet
    async def test_refusal_of_another_request(self, fleet) -> None:
        """An engine sends the refusal of another request."""
        fleet.prefill.conduct.set({"foreign_id": True})
        with pytest.raises(errors.ForeignAnswer) as caught:
            await fleet.start_decode()
        assert caught.value.run is messages.Run.UNKNOWN


class TestBrokenStream:
    """The decode engine's stream is cut, garbled or another's."""

    @_with_fleet
    async def test_cut_anywhere_and_resumed(self, fleet) -> None:
        """The connection to the engine breaks, and the engine lives on.

        The caller must read each token once, and the end.
        """
        for number, end in enumerate(range(0, 900, 61)):
            request_id = f"v.e.x.{number}.0"
            fleet.decode.conduct.set({"cut_at_byte": end, "times": 1})
            stream = await fleet.start_decode(request_id)
            delivered, broken = await _read_until_broken(stream)
            assert broken.resumable
            await fleet.client.resume(fleet.decode_endpoint, stream)
            delivered += await _read(stream)
            true = _true_events(fleet, request_id)
            assert delivered == true + protocol.END_MARKER

    @_with_fleet
    async def test_resumed_stream_that_overlaps(self, fleet) -> None:
        fleet.decode.conduct.set({"cut_at_token": 3, "times": 1})
        stream = await fleet.start_decode()
        delivered, _ = await _read_until_broken(stream)
        fleet.decode.conduct.set({"repeat_token": True})
        await fleet.client.resume(fleet.decode_endpoint, stream)
        delivered += await _read(stream)
        assert delivered == _true_events(fleet) + protocol.END_MARKER

    @_with_fleet
    async def test_engine_no_longer_knows_the_request(self, fleet) -> None:
        """The engine was replaced; its successor can't go on."""
        fleet.decode.conduct.set({"cut_at_token": 2, "times": 1})
        stream = await fleet.start_decode()
        await _read_until_broken(stream)
        fleet.decode.memory.requests_by_id.clear()
        with pytest.raises(errors.EngineRefused) as caught:
            await fleet.client.resume(fleet.decode_endpoint, stream)
        assert caught.value.code == protocol.CODE_UNKNOWN_REQUEST

    @_with_fleet
    async def test_engine_that_stalls(self, fleet) -> None:
        """The engine stands still partway, its connection open."""
        fleet.decode.conduct.set({"stall_at_token": 2, "times": 1})
        stream = await fleet.start_decode()
        _, broken = await _read_until_broken(stream)
        assert broken.reason is stream_lib.Reason.STALLED
        assert broken.last_token == 2
        assert await fleet.cancel() == [True, True]
        assert fleet.held() == (0, 0)

    @pytest.mark.parametrize(
        ("fault", "reason"),
        [
            ("wrong_count", stream_lib.Reason.WRONG_COUNT),
            ("omit_end_marker", stream_lib.Reason.CUT),
        ],
    )
    def test_end_that_proves_nothing(self, fault, reason) -> None:
        """The stream ends cleanly, but isn't whole by its own account."""

        @_with_fleet
        async def scenario(self, fleet) -> None:
            fleet.decode.conduct.set({fault: True})
            stream = await fleet.start_decode()
            delivered, broken = await _read_until_broken(stream)
            assert broken.reason is reason
            assert protocol.END_MARKER not in delivered

        scenario(None)

    @_with_fleet
    async def test_answer_headed_by_another_id(self, fleet) -> None:
        """The head of a stream already names another request."""
        fleet.decode.conduct.set({"foreign_id": True})
        with pytest.raises(errors.ForeignAnswer):
            await fleet.start_decode()

    @_with_fleet(seconds_per_token=0.01)
    async def test_answers_swapped(self, fleet) -> None:
        """An engine sends a firm the answer of its rival."""
        other = await fleet.start_decode(
            _OTHER, prompt="a rival's", max_tokens=50
        )
        async for _ in other:
            break
        fleet.decode.conduct.set({"swap": True})
        stream = await fleet.start_decode()
        delivered, broken = await _read_until_broken(stream)
        assert delivered == b""
        assert broken.reason is stream_lib.Reason.FOREIGN
        other.close()

    @_with_fleet
    async def test_transfer_cut(self, fleet) -> None:
        """The transfer between the engines breaks off."""
        fleet.prefill.conduct.set({"cut_export_at_byte": 0})
        with pytest.raises(errors.EngineRefused) as caught:
            await fleet.start_decode()
        assert caught.value.run is messages.Run.NO
        assert fleet.decode.memory.used_blocks() == 0
        await fleet.cancel()
        assert fleet.held() == (0, 0)


class TestReports:
    """Load, cache events and orders."""

    @_with_fleet(report_lag_s=3600)
    async def test_load_report_lags(self, fleet) -> None:
        stream = await fleet.start_decode(max_tokens=1_000)
        load = await fleet.client.load(fleet.decode_endpoint)
        assert (load.running, load.slots) == (0, 4)
        stream.close()

    @_with_fleet
    async def test_lost_cache_events_are_flagged(self, fleet) -> None:
        """Cache events are lost on their way.

        A view without the lost ones would send prompts to an engine that has
        dropped them from its cache.
        """
        await _read(await fleet.start_decode())
        endpoint = fleet.prefill_endpoint
        whole = await fleet.client.cache_events(endpoint, 0)
        assert len(whole.events) == whole.last_seq and not whole.gap
        fleet.prefill.conduct.set({"drop_cache_events": 2})
        assert (await fleet.client.cache_events(endpoint, 0)).gap
        fleet.prefill.conduct.set({"cache_lag_s": 3600})
        late = await fleet.client.cache_events(endpoint, 0)
        assert late.events == () and not late.gap

    @pytest.mark.parametrize("checks", [True, False])
    def test_order_with_an_old_fencing_number(self, checks) -> None:
        """A VM wakes after long and sends an order that is out of date."""
        old = model.EngineTarget(role=model.EndpointKind.DECODE, model="old")
        new = model.EngineTarget(role=model.EndpointKind.DECODE, model="new")

        @_with_fleet(checks_fencing=checks)
        async def scenario(self, fleet) -> None:
            endpoint = fleet.decode_endpoint
            await fleet.client.order(endpoint, 7, new)
            if checks:
                with pytest.raises(errors.StaleFencing) as caught:
                    await fleet.client.order(endpoint, 6, old)
                assert caught.value.highest == 7
            else:
                await fleet.client.order(endpoint, 6, old)
            order = await fleet.client.read_order(endpoint)
            assert order.target == (new if checks else old)

        scenario(None)

    @pytest.mark.parametrize("answer", [b"[]", b"{}", b"\xff", b"{"])
    def test_answer_of_another_form(self, answer) -> None:
        """An engine answers with what isn't the protocol's JSON."""

        @_with_fleet
        async def scenario(self, fleet) -> None:
            fleet.service._last_answer = answer
            fleet.service.conduct.set({"swap": True})
            endpoint = fleet.service_endpoint
            with pytest.raises(errors.CallError):
                await fleet.client.running(endpoint)
            fleet.service._last_answer = answer
            with pytest.raises(errors.CallError):
                await fleet.client.load(endpoint)
            assert not await fleet.client.cancel(endpoint, _ID)

        scenario(None)
