"""Messages between entries and homes say the same at both ends."""

import dataclasses
import typing

import pytest

from cowsliprill import codec
from cowsliprill.cells import wire
from cowsliprill.decisions import messages


def _filled(kind: type) -> object:
    """Makes an event whose fields all differ from their defaults."""
    values = {bool: True, int: 7, float: 0.25, str: "e-1"}
    hints = typing.get_type_hints(kind)
    fields = {}
    for field in dataclasses.fields(kind):
        hint = hints[field.name]
        fields[field.name] = (
            messages.Stage.DECODE if hint is messages.Stage else values[hint]
        )
    return kind(**fields)


def _round_trip(event: messages.Event) -> messages.Event:
    """Returns an event as the home reads it."""
    request = wire.SchedulingRequest(
        entry="vm-1.router.a",
        pool="writers",
        epoch=3,
        first=1,
        events=(wire.event_to_wire(event),),
        acknowledged=0,
        wait_s=0.0,
    )
    received = codec.decode(wire.SchedulingRequest, codec.encode_short(request))
    return wire.event_from_wire(received.events[0], now=0.0)


class TestEvents:
    """A field that is lost on the way changes a decision without a sign.

    A home that isn't told that an attempt reached no engine counts it, and
    refuses the request's last try.
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
    def test_every_field_arrives(self, kind):
        event = _filled(kind)
        assert _round_trip(event) == event

    def test_defaults_arrive_as_such(self):
        event = messages.AttemptFailed(
            request_id=1, stage=messages.Stage.PREFILL, endpoint_id="e"
        )
        assert _round_trip(event) == event

    def test_news_of_the_world_is_no_message(self):
        with pytest.raises(TypeError):
            wire.event_to_wire(messages.Tick())
