"""Tests of `decisions.message_channel`: each message once and in order."""

import hypothesis
from hypothesis import strategies

from cowsliprill.decisions import message_channel


class TestChannel:
    """Calls that carry messages are lost, repeated and reordered."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3), strategies.integers(0, 5)
            ),
            max_size=40,
        )
    )
    def test_all_arrive_in_order_and_once(self, steps):
        outbox: message_channel.Outbox[int] = message_channel.Outbox()
        inbox = message_channel.Inbox()
        calls: list[tuple[int, tuple[int, ...]]] = []
        received: list[int] = []
        for step, call_index in steps:
            match step:
                case 0:
                    outbox.add(outbox.last + 1)
                case 1:
                    calls.append((outbox.first, outbox.pending()))
                case 2 if calls:
                    first, pending = calls[call_index % len(calls)]
                    received.extend(inbox.receive(first, pending))
                case 3:
                    outbox.acknowledge(inbox.last)
        received.extend(inbox.receive(outbox.first, outbox.pending()))
        assert received == list(range(1, outbox.last + 1))

    def test_messages_after_a_gap_are_not_accepted(self):
        """A call arrives before the one sent before it, which is lost."""
        inbox = message_channel.Inbox()
        assert inbox.receive(3, ["c"]) == []
        assert inbox.receive(1, ["a", "b", "c"]) == ["a", "b", "c"]
