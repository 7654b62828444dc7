"""Tests of the messages between entry processes and coordinators."""

import dataclasses
import typing

import pytest

from cowsliprill import codec
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.pool_scheduling import wire


def _with_all_fields_set(kind: type) -> object:
    """Returns an event whose fields all differ from their defaults."""
    values = {bool: True, int: 7, float: 0.25, str: "e-1", str | None: "v1"}
    hints = typing.get_type_hints(kind)
    fields = {}
    for field in dataclasses.fields(kind):
        hint = hints[field.name]
        fields[field.name] = (
            messages.Stage.DECODE if hint is messages.Stage else values[hint]
        )
    return kind(**fields)


def _round_trip(event: messages.Event) -> messages.Event:
    """Returns an event after it was encoded and decoded."""
    request = wire.SchedulingRequest(
        entry="vm-1.router.a",
        pool="writers",
        epoch=3,
        first=1,
        events=(wire.event_to_wire(event),),
        acknowledged=0,
        wait_s=0.0,
    )
    received = codec.decode(
        wire.SchedulingRequest, codec.encode_without_defaults(request)
    )
    return wire.event_from_wire(received.events[0], now=0.0)


class TestEventRoundTrip:
    """Guards against fields that are lost in a message.

    A lost field changes a scheduling decision without an error. For example, a
    coordinator that isn't informed that an attempt reached no engine counts the
    attempt and refuses the request's last retry.
    """

    @pytest.mark.parametrize(
        "kind",
        [
            messages.PrefillFinished,
            messages.FirstToken,
            messages.Progress,
            messages.Finished,
            messages.Cancel,
            messages.AttemptFailed,
        ],
    )
    def test_every_field_survives_the_round_trip(self, kind):
        event = _with_all_fields_set(kind)
        assert _round_trip(event) == event

    def test_omitted_defaults_are_restored(self):
        event = messages.AttemptFailed(
            request_id=1, stage=messages.Stage.PREFILL, endpoint_id="e"
        )
        assert _round_trip(event) == event

    def test_event_without_a_message_is_rejected(self):
        with pytest.raises(TypeError):
            wire.event_to_wire(messages.Tick())

    def test_features_reach_the_coordinator(self):
        """Guards against suspected requests that start at many engines."""
        submit = messages.Submit(
            request_id=1,
            service=model.Service(
                id="u/s",
                customer="",
                name="u/s",
                kind=model.ServiceKind.MODEL,
                pool="g",
            ),
            customer="u",
            prompt_tokens=1,
            output_tokens=1,
            fingerprint="r",
            prompt_parts=("x", "y"),
        )
        request = wire.request_to_wire(submit, now=0.0)
        text = codec.encode_without_defaults(request)
        received = codec.decode(wire.Request, text)
        submit = wire.request_from_wire(received, now=0.0)
        assert submit.features == ("r", "x", "y")
