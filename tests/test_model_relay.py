"""One attempt at a model request, against calls that stand in for engines."""

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


_BY_ID = {
    "p": _engine("p", model.EndpointKind.PREFILL),
    "d": _engine("d", model.EndpointKind.DECODE),
}


class _Stream:
    """Two events and an end."""

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
class _World:
    snapshot: model.Snapshot = dataclasses.field(
        default_factory=lambda: model.Snapshot(endpoints_by_id=_BY_ID)
    )

    leaving: frozenset = frozenset()

    def fleet_at(self, now):
        del now
        return model.Fleet(leaving_endpoint_ids=self.leaving)

    async def learn_of(self, endpoint_id, wait_s):
        del endpoint_id, wait_s

    def unlist(self, name):
        left = {key: item for key, item in _BY_ID.items() if key != name}
        self.snapshot = model.Snapshot(endpoints_by_id=left)


class _Calls:
    """Engines that answer; what happens meanwhile is up to the test."""

    prefill_runs = False
    closing_ends_work = True
    resumes_elsewhere = True

    def __init__(self):
        self.amid_prefill = self.amid_decode = lambda: None
        self.broken = None
        self.decoded_from = []
        self.discarded = []
        self.events = []

    async def prepare(self, ctx, endpoint):
        del ctx, endpoint

    async def prefill(self, ctx, endpoint, timeout_s):
        del ctx, endpoint, timeout_s
        self.amid_prefill()
        return "handle"

    async def decode(self, ctx, endpoint, prefilled, timeout_s):
        del ctx, endpoint, timeout_s
        self.decoded_from.append(prefilled)
        self.amid_decode()
        return _Stream(self.broken)

    def discard(self, prefilled):
        self.discarded.append(prefilled)

    def sink(self, ctx, stream):
        del ctx, stream

        async def take(events):
            self.events.append(events)

        async def end():
            self.events.append(b"end")

        return types.SimpleNamespace(take=take, end=end)


class _Attempt:
    """A relay, its surroundings and one request."""

    def __init__(self, prefill="p"):
        self.world = _World()
        self.calls = _Calls()
        self.posted = []
        self.warnings = []
        self.relay = model_relay.ModelRelay(
            calls=self.calls,
            scheduling=types.SimpleNamespace(post=self.posted.append),
            leases=types.SimpleNamespace(allow=lambda *_: True),
            world=self.world,
            resumer=None,
            report_leaving=lambda *_: None,
            log=types.SimpleNamespace(warning=self._warn),
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
            generation=types.SimpleNamespace(prompt_tokens=100),
            snapshot=self.world.snapshot,
            progress=context.Progress(),
            ends_at=clock.now() + 60,
            connection=None,
            kept=None,
            stall_s=None,
        )

    def _warn(self, event, **fields):
        self.warnings.append((event, fields))

    def run(self):
        asyncio.run(self.relay(self.ctx))


class TestEndpointsThatLeave:
    """A decode engine's entry is removed amid an attempt."""

    def test_before_the_decode_nothing_counts_as_run(self):
        """It is removed while the prompt is read.

        No engine has been asked for an answer. Counted as an attempt, it used
        up the caller's last one, and the request failed though other engines
        had room and the prompt was ready for them.
        """
        attempt = _Attempt()
        attempt.calls.amid_prefill = lambda: attempt.world.unlist("d")
        with pytest.raises(attempts.AttemptLost) as lost:
            attempt.run()
        assert lost.value.unsent
        assert lost.value.kept_s > 0
        assert attempt.ctx.progress.run is messages.Executed.NO
        assert attempt.calls.decoded_from == []

    @pytest.mark.parametrize("name", ["p", "d"])
    def test_none_that_leaves_is_asked(self, name):
        """A pool's home stood still while an engine said that it leaves.

        Woken, it places requests there by what it knew before. This process
        has heard of the leaving: sent on, the request would reach an engine
        that is about to end.
        """
        attempt = _Attempt()
        attempt.world.leaving = frozenset({name})
        with pytest.raises(attempts.AttemptLost) as lost:
            attempt.run()
        assert lost.value.unsent
        assert lost.value.endpoint_id == name
        assert attempt.calls.decoded_from == []

    def test_none_that_has_begun_to_leave_amid_the_prefill(self):
        attempt = _Attempt()

        def leave():
            attempt.world.leaving = frozenset({"d"})

        attempt.calls.amid_prefill = leave
        with pytest.raises(attempts.AttemptLost) as lost:
            attempt.run()
        assert lost.value.unsent
        assert attempt.calls.decoded_from == []

    def test_a_stream_that_has_begun_goes_on(self):
        """It is removed as its answer begins; it serves on for a while."""
        attempt = _Attempt()
        attempt.calls.amid_decode = lambda: attempt.world.unlist("d")
        attempt.run()
        assert attempt.calls.events == [b"one", b"two", b"end"]


class TestBrokenStreams:
    """A stream that may not go on elsewhere is cut by its engine."""

    def test_the_log_says_what_the_engine_did(self):
        """A caller complains of half an answer.

        The line of the request's end said that its stream broke, and nothing
        said at which engine or why.
        """
        attempt = _Attempt()
        attempt.ctx.service.resume = False
        attempt.calls.broken = engine_errors.StreamBroken(
            "cut after '2'", reason=stream.StreamFault.TRUNCATED, last_token=2
        )
        with pytest.raises(errors.EntryError):
            attempt.run()
        ((event, fields),) = attempt.warnings
        assert event == "stream_broken"
        assert fields["request"] == "r1"
        assert fields["endpoint"] == "d"
        assert "cut after '2'" in fields["reason"]


class TestDecodeEnginesThatPrefill:
    """The decode engine reads the prompt itself."""

    def test_it_is_asked_alone(self):
        attempt = _Attempt(prefill="d")
        attempt.run()
        assert attempt.calls.decoded_from == [None]
        assert attempt.calls.events == [b"one", b"two", b"end"]
        kinds = [type(event) for event in attempt.posted]
        assert messages.PrefillFinished not in kinds

    def test_a_prefill_kept_from_the_attempt_before_is_freed(self):
        attempt = _Attempt(prefill="d")
        attempt.ctx.kept = "handle"
        attempt.run()
        assert attempt.calls.discarded == ["handle"]
