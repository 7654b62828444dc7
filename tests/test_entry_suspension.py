"""Tests of an entry process that resumes after a suspension of its VM.

Leases and deadlines may have expired in between.
"""

import asyncio
import types

import pytest
from tests import entry_site

from cowsliprill import clock
from cowsliprill.decisions import messages
from cowsliprill.entry import leases
from cowsliprill.entry import model_relay
from cowsliprill.entry import scheduler_task
from cowsliprill.entry.filters import plain_placement

_BODY = {"model": "brief", "prompt": "a case file " * 40, "max_tokens": 3}
_SUSPENDED_S = 100.0


def _simulate_suspension(monkeypatch, module) -> None:
    """Advances a module's clock as if the VM had just been suspended."""
    advanced = types.SimpleNamespace(now=lambda: clock.now() + _SUSPENDED_S)
    monkeypatch.setattr(module, "clock", advanced)


def _call(*arguments, **named):
    async def scenario():
        async with entry_site.running() as site:
            answer = await site.call(*arguments, **named)
            held = [
                request_id
                for engine in site.engines.values()
                for request_id in engine.state.requests_by_id
            ]
            runs = sum(
                len(each.executed_calls) for each in site.services.values()
            )
            return answer, held, runs, site.logs[0].getvalue()

    return asyncio.run(scenario())


def _lease(expires_at):
    return messages.SlotGrant(
        endpoint_id="decode-0", slots=1, expires_at=expires_at
    )


class TestLeases:
    """How long a lease allows requests to be sent to an endpoint."""

    def test_lease_expires(self):
        granted = leases.LeaseTable()
        assert not granted.allow("decode-0", 1.0, 1.0)
        granted.grant(_lease(3.0), 1.0)
        assert granted.allow("decode-0", 1.0, 2.9)
        assert not granted.allow("decode-0", 1.0, 3.0)

    def test_renewal_without_a_gap_keeps_earlier_decisions_valid(self):
        granted = leases.LeaseTable()
        granted.grant(_lease(3.0), 1.0)
        granted.grant(_lease(4.0), 2.0)
        assert granted.allow("decode-0", 1.5, 3.5)

    def test_lease_after_a_gap_allows_new_decisions_only(self):
        """The process is suspended past its lease, then gets a new one.

        In between, its slot may have been leased to another entry process. The
        decode of a prefill decided before the gap would exceed the slots.
        """
        granted = leases.LeaseTable()
        granted.grant(_lease(3.0), 1.0)
        granted.grant(_lease(9.0), 7.0)
        assert not granted.allow("decode-0", 1.5, 7.5)
        assert granted.allow("decode-0", 7.0, 7.5)

    def test_fallback_after_a_gap_allows_new_decisions_only(self):
        """As above, but the coordinator is unreachable after the suspension."""
        granted = leases.LeaseTable()
        granted.grant(_lease(3.0), 1.0)
        granted.use_fallback(("decode-0",), 7.0)
        assert not granted.allow("decode-0", 1.5, 7.5)
        assert granted.allow("decode-0", 7.0, 7.5)

    def test_fallback_lasts_while_it_is_confirmed(self):
        """Guards against a fallback share that ends before the scheduler's.

        The coordinator stays unreachable and an engine is rarely used. Its
        fallback share expired in the leases but not in the scheduler, so
        callers got `endpoint_failed` although the engine was idle.
        """
        granted = leases.LeaseTable()
        granted.use_fallback(("decode-0",), 1.0)
        for now in (2.0, 3.0, 4.0):
            granted.confirm_fallbacks(now)
        assert granted.allow("decode-0", 1.0, 5.0)
        granted.confirm_fallbacks(60.0)
        assert not granted.allow("decode-0", 1.0, 60.0)


class TestSuspension:
    """The VM is suspended between a placement decision and its execution."""

    def test_no_request_is_sent_on_an_expired_lease(self, monkeypatch):
        """The coordinator has leased the slot to another entry process.

        The engine would hold more requests than it has slots, or refuse those
        of the other process.
        """
        _simulate_suspension(monkeypatch, model_relay)
        answer, held, _, log = _call("POST", "/v1/completions", _BODY)
        assert held == []
        assert answer.status == 502
        assert answer.json()["error"]["run"] == "no"
        assert 'reason="its lease has run out"' in log

    @pytest.mark.parametrize("service", ["lookup", "booking"])
    def test_no_request_is_sent_after_its_deadline(self, monkeypatch, service):
        """The caller has given up and doesn't expect any effect by now."""
        _simulate_suspension(monkeypatch, plain_placement)
        path = f"/services/{service}/slots"
        answer, _, runs, _ = _call("POST", path, b"", {})
        assert runs == 0
        assert answer.json()["error"]["code"] == "target_unreachable"
        assert answer.json()["error"]["run"] == "no"


class TestSubmission:
    """The event with which a request is submitted to the scheduler."""

    def test_prefix_hashes_differ_by_customer(self, monkeypatch):
        """Guards against a side channel through cached prefixes.

        Two customers send the same prompt. If the second request went to the
        engine with the first one's cached prefix, its fast response would
        reveal the first request.
        """
        submitted = []
        submit = scheduler_task.Scheduling.submit

        def capture(self, event):
            submitted.append(event)
            return submit(self, event)

        monkeypatch.setattr(scheduler_task.Scheduling, "submit", capture)
        for customer in ("umurongo/amahoro", "umurongo/firm-1"):
            headers = {"X-Priority": "-3", "X-Deadline-Ms": "5000"}
            _call("POST", "/v1/completions", _BODY, headers, customer=customer)
        first, second = submitted
        assert len(first.prefix_hashes) == 480 // 64
        assert not set(first.prefix_hashes) & set(second.prefix_hashes)
        assert first.prompt_tokens == 120
        assert first.priority == -3
