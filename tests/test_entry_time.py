"""Processes that wake up late: leases and deadlines that have run out."""

import asyncio
import types

import pytest
from tests import entry_site

from cowsliprill import clock
from cowsliprill.decisions import messages
from cowsliprill.entry import leases
from cowsliprill.entry import model_relay
from cowsliprill.entry import scheduling
from cowsliprill.entry.filters import plain_placement

_BODY = {"model": "brief", "prompt": "a case file " * 40, "max_tokens": 3}
_SLEPT_S = 100.0


def _oversleep(monkeypatch, module) -> None:
    """Has a module act as if the VM had been suspended just before."""
    late = types.SimpleNamespace(now=lambda: clock.now() + _SLEPT_S)
    monkeypatch.setattr(module, "clock", late)


def _call(*arguments, **named):
    async def scenario():
        async with entry_site.running() as site:
            answer = await site.call(*arguments, **named)
            held = [
                request_id
                for engine in site.engines.values()
                for request_id in engine.memory.requests_by_id
            ]
            runs = sum(len(each.journal) for each in site.services.values())
            return answer, held, runs, site.logs[0].getvalue()

    return asyncio.run(scenario())


def _lease(expires_at):
    return messages.SlotGrant(
        endpoint_id="decode-0", slots=1, expires_at=expires_at
    )


class TestLeases:
    """Until when an endpoint may be used."""

    def test_ends(self):
        held = leases.Leases()
        assert not held.allow("decode-0", 1.0, 1.0)
        held.grant(_lease(3.0), 1.0)
        assert held.allow("decode-0", 1.0, 2.9)
        assert not held.allow("decode-0", 1.0, 3.0)

    def test_renewal_keeps_a_decision(self):
        held = leases.Leases()
        held.grant(_lease(3.0), 1.0)
        held.grant(_lease(4.0), 2.0)
        assert held.allow("decode-0", 1.5, 3.5)

    def test_a_lease_after_a_gap_is_for_new_decisions_only(self):
        """The process slept past its lease and got a new one on waking.

        Meanwhile its slot was given to another entry. The decode of a prefill
        from before would be one too many.
        """
        held = leases.Leases()
        held.grant(_lease(3.0), 1.0)
        held.grant(_lease(9.0), 7.0)
        assert not held.allow("decode-0", 1.5, 7.5)
        assert held.allow("decode-0", 7.0, 7.5)

    def test_a_fall_back_after_a_gap_is_for_new_decisions_only(self):
        """As above, but on waking the home can't be reached."""
        held = leases.Leases()
        held.grant(_lease(3.0), 1.0)
        held.fall_back(("decode-0",), 7.0)
        assert not held.allow("decode-0", 1.5, 7.5)
        assert held.allow("decode-0", 7.0, 7.5)

    def test_a_fall_back_lasts_while_it_is_confirmed(self):
        """The home stays away, and some engine is asked for seldom.

        Its share ended here but not in the scheduler, and callers got
        `endpoint_failed` although the engine was idle.
        """
        held = leases.Leases()
        held.fall_back(("decode-0",), 1.0)
        for now in (2.0, 3.0, 4.0):
            held.confirm_fallbacks(now)
        assert held.allow("decode-0", 1.0, 5.0)
        held.confirm_fallbacks(60.0)
        assert not held.allow("decode-0", 1.0, 60.0)


class TestOversleeping:
    """The VM is suspended between a decision and the act that it allows."""

    def test_no_work_is_placed_on_an_old_lease(self, monkeypatch):
        """Its home has given the slot to another entry long ago.

        The engine would hold more than its slots, or refuse another's work.
        """
        _oversleep(monkeypatch, model_relay)
        answer, held, _, log = _call("POST", "/v1/completions", _BODY)
        assert held == []
        assert answer.status == 502
        assert answer.json()["error"]["run"] == "no"
        assert 'reason="its lease has run out"' in log

    @pytest.mark.parametrize("service", ["lookup", "booking"])
    def test_no_call_is_begun_after_its_deadline(self, monkeypatch, service):
        """The caller has given up; a pickup made now would surprise it."""
        _oversleep(monkeypatch, plain_placement)
        path = f"/services/{service}/slots"
        answer, _, runs, _ = _call("POST", path, b"", {})
        assert runs == 0
        assert answer.json()["error"]["code"] == "target_unreachable"
        assert answer.json()["error"]["run"] == "no"


class TestSubmission:
    """What the scheduler hears of a request."""

    def test_prefixes_differ_by_firm(self, monkeypatch):
        """Rival firms send the same prompt.

        Were the second sent where the first one's prefix is cached, its
        answer's speed would tell of the first.
        """
        submitted = []
        submit = scheduling.Scheduling.submit

        def capture(self, event):
            submitted.append(event)
            return submit(self, event)

        monkeypatch.setattr(scheduling.Scheduling, "submit", capture)
        for customer in ("umurongo/amahoro", "umurongo/firm-1"):
            headers = {"X-Priority": "-3", "X-Deadline-Ms": "5000"}
            _call("POST", "/v1/completions", _BODY, headers, customer=customer)
        first, second = submitted
        assert len(first.prefix_hashes) == 480 // 64
        assert not set(first.prefix_hashes) & set(second.prefix_hashes)
        assert first.prompt_tokens == 120
        assert first.priority == -3
