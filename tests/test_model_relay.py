"""Attempts at model requests, with fake engine calls."""

import asyncio
import dataclasses
import types

import pytest

from cowsliprill import clock
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import stream
from cowsliprill.engines import errors as engine_errors
from cowsliprill.entry import attempts
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import model_relay
from cowsliprill.entry import request_quarantine


def _engine(name, kind):
    return model.Endpoint(
        id=name,
        kind=kind,
        host="10.0.0.1",
        port=1,
        availability_zone="a",
        pool="writers",
        slots=4,
    )


_ENGINES_BY_ID = {
    "p": _engine("p", model.EndpointKind.PREFILL),
    "d": _engine("d", model.EndpointKind.DECODE),
}


class _FakeStream:
    """Yields two events, then ends or raises an error."""

    tokens = 0

    def __init__(self, broken=None):
        self._broken = broken

    async def __aiter__(self):
        for event in (b"one", b"two"):
            self.tokens += 1
            yield event
        if self._broken is not None:
            raise self._broken

    def close(self):
        pass


@dataclasses.dataclass
class _FakeClusterState:
    snapshot: model.Snapshot = dataclasses.field(
        default_factory=lambda: model.Snapshot(endpoints_by_id=_ENGINES_BY_ID)
    )

    leaving: frozenset = frozenset()

    def fleet_at(self, now):
        del now
        return model.Fleet(leaving_endpoint_ids=self.leaving)

    async def wait_until_listed(self, endpoint_id, wait_s):
        del endpoint_id, wait_s

    def remove_endpoint(self, name):
        remaining = {
            key: item for key, item in _ENGINES_BY_ID.items() if key != name
        }
        self.snapshot = model.Snapshot(endpoints_by_id=remaining)


class _FakeEngineCalls:
    """Engine calls that succeed; hooks run while they are in progress."""

    prefill_counts_as_execution = False
    disconnect_cancels = True
    can_resume_elsewhere = True

    def __init__(self):
        self.on_prefill = self.on_decode = lambda: None
        self.broken = None
        self.decoded_from = []
        self.discarded = []
        self.events = []

    async def prepare(self, ctx, endpoint):
        del ctx, endpoint

    async def prefill(self, ctx, endpoint, timeout_s):
        del ctx, endpoint, timeout_s
        self.on_prefill()
        return "handle"

    async def decode(self, ctx, endpoint, prefilled, timeout_s):
        del ctx, endpoint, timeout_s
        self.decoded_from.append(prefilled)
        self.on_decode()
        return _FakeStream(self.broken)

    def discard(self, prefilled):
        self.discarded.append(prefilled)

    def sink(self, ctx, stream):
        del ctx, stream

        async def write_events(events):
            self.events.append(events)

        async def end():
            self.events.append(b"end")

        return types.SimpleNamespace(write_events=write_events, end=end)


class _Harness:
    """A relay with fake collaborators and one request."""

    def __init__(self, prefill="p"):
        self.cluster_state = _FakeClusterState()
        self.calls = _FakeEngineCalls()
        self.posted_events = []
        self.warnings = []
        self.relay = model_relay.ModelRelay(
            calls=self.calls,
            scheduling=types.SimpleNamespace(post=self.posted_events.append),
            leases=types.SimpleNamespace(allow=lambda *_: True),
            cluster_state=self.cluster_state,
            resumer=None,
            report_leaving=lambda *_: None,
            log=types.SimpleNamespace(warning=self._warn),
            quarantine=request_quarantine.Disabled(),
            silence=types.SimpleNamespace(watch=lambda *_: None),
        )
        start = messages.Start(
            request_id=1, attempt=0, prefill_id=prefill, decode_id="d"
        )
        self.ctx = types.SimpleNamespace(
            number=1,
            request_id="r1",
            caller_id="c1",
            start=start,
            service=types.SimpleNamespace(resume=True),
            fingerprint="f",
            generation=types.SimpleNamespace(prompt_tokens=100),
            snapshot=self.cluster_state.snapshot,
            progress=context.Progress(),
            response_due_at=clock.now() + 60,
            connection=None,
            exported_prefill=None,
            held=None,
            silence=None,
        )

    def _warn(self, event, **fields):
        self.warnings.append((event, fields))

    def run(self):
        asyncio.run(self.relay(self.ctx))


class TestLeavingEndpoints:
    """An engine leaves or is removed from the settings during an attempt."""

    def test_removal_before_decode_does_not_count_as_execution(self):
        """The decode engine is removed during the prefill.

        No decode call was made. Counted as an attempt, the removal used up the
        request's last attempt, and the request failed although other engines
        had free slots and could have fetched the exported prefill.
        """
        harness = _Harness()
        harness.calls.on_prefill = lambda: (
            harness.cluster_state.remove_endpoint("d")
        )
        with pytest.raises(attempts.AttemptError) as lost:
            harness.run()
        assert lost.value.unsent
        assert lost.value.kept_s > 0
        assert harness.ctx.progress.run is messages.Executed.NO
        assert harness.calls.decoded_from == []

    @pytest.mark.parametrize("name", ["p", "d"])
    def test_leaving_engine_is_not_called(self, name):
        """A coordinator was paused while an engine announced its shutdown.

        After the pause the coordinator places requests on that engine by its
        outdated state. This process has received the leaving notice and must
        not send the request to an engine that is about to end.
        """
        harness = _Harness()
        harness.cluster_state.leaving = frozenset({name})
        with pytest.raises(attempts.AttemptError) as lost:
            harness.run()
        assert lost.value.unsent
        assert lost.value.endpoint_id == name
        assert harness.calls.decoded_from == []

    @pytest.mark.parametrize("call", ["prepare", "prefill", "decode"])
    def test_own_connection_limit_is_not_the_engine_s_fault(self, call):
        """Guards against ejected engines as this VM's connections are spent."""

        async def reach_limit(*arguments):
            del arguments
            raise engine_errors.ConnectionLimitReached("all are in use")

        harness = _Harness()
        setattr(harness.calls, call, reach_limit)
        with pytest.raises(attempts.AttemptError) as lost:
            harness.run()
        assert lost.value.unsent
        assert not lost.value.unreachable
        assert not lost.value.refused
        assert harness.ctx.progress.run is messages.Executed.NO

    def test_engine_that_starts_leaving_during_prefill_is_not_called(self):
        harness = _Harness()

        def start_leaving():
            harness.cluster_state.leaving = frozenset({"d"})

        harness.calls.on_prefill = start_leaving
        with pytest.raises(attempts.AttemptError) as lost:
            harness.run()
        assert lost.value.unsent
        assert harness.calls.decoded_from == []

    def test_open_stream_continues_after_removal(self):
        """The decode engine is removed as decoding starts.

        A removed engine keeps serving its open streams for a while.
        """
        harness = _Harness()
        harness.calls.on_decode = lambda: harness.cluster_state.remove_endpoint(
            "d"
        )
        harness.run()
        assert harness.calls.events == [b"one", b"two", b"end"]


class TestBrokenStreams:
    """The engine closes a stream that no other engine may resume."""

    def test_log_names_the_engine_and_the_reason(self):
        """A caller has received a truncated response.

        Guards against a log that records the broken stream but neither the
        engine nor the reason.
        """
        harness = _Harness()
        harness.ctx.service.resume = False
        harness.calls.broken = engine_errors.StreamBroken(
            "cut after '2'", reason=stream.StreamFault.TRUNCATED, last_token=2
        )
        with pytest.raises(errors.EntryError):
            harness.run()
        ((event, fields),) = harness.warnings
        assert event == "stream_broken"
        assert fields["request"] == "r1"
        assert fields["endpoint"] == "d"
        assert "cut after '2'" in fields["reason"]


class TestLocalPrefill:
    """The decode engine runs the prefill itself."""

    def test_only_the_decode_engine_is_called(self):
        harness = _Harness(prefill="d")
        harness.run()
        assert harness.calls.decoded_from == [None]
        assert harness.calls.events == [b"one", b"two", b"end"]
        event_types = [type(event) for event in harness.posted_events]
        assert messages.PrefillFinished not in event_types

    def test_exported_prefill_of_an_earlier_attempt_is_discarded(self):
        harness = _Harness(prefill="d")
        harness.ctx.exported_prefill = "handle"
        harness.run()
        assert harness.calls.discarded == ["handle"]
