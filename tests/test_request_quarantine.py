"""Refusal of quarantined requests, as the filters see it."""

import asyncio
import types

import pytest
from tests import fake_log
from tests import test_crash_records

from cowsliprill import clock
from cowsliprill.decisions import messages
from cowsliprill.decisions import quarantine
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import request_quarantine
from cowsliprill.observability import metrics
from cowsliprill.quarantine import ledger as ledger_lib

_REQUEST = f"{1:016x}"


class _FakeDetector:
    """Detector whose examinations last until `done` is set."""

    def __init__(self):
        self.done = asyncio.Event()
        self.sent_at = []

    def report_lost(self, endpoint_id, fingerprint, sent_at, parts):
        self.sent_at.append(sent_at)
        return asyncio.create_task(self.done.wait())


class _Process:
    """Ledger and check of one process."""

    def __init__(self):
        self.log = fake_log.FakeLog()
        self.ledger = ledger_lib.CrashLedger(
            quarantine.Quarantine(quarantine.Limits()),
            self.log,
            metrics.Metrics(),
        )
        self.detector = _FakeDetector()
        self.check = request_quarantine.LedgerQuarantine(
            self.ledger, self.detector, self.log
        )

    def end_engines(self, ends):
        now = clock.now()
        for number in range(ends):
            engine = test_crash_records.engine(f"e{number}")
            lost_at = now - 1.0 + 0.1 * number
            self.ledger.observe(engine, _REQUEST, lost_at - 0.05, lost_at)


def _context(**progress):
    return types.SimpleNamespace(
        request_id="r1",
        caller_id="c1",
        fingerprint=_REQUEST,
        prompt_parts=(),
        service=types.SimpleNamespace(pool="writers"),
        progress=context.Progress(**progress),
    )


class TestCheck:
    """A restricted request is refused with the truth about its execution."""

    @pytest.mark.parametrize("run", list(messages.Executed))
    def test_refusal_tells_what_is_known_of_the_execution(self, run):
        """Guards against 'not run' for a request that an engine had begun."""
        process = _Process()
        process.end_engines(3)
        with pytest.raises(errors.EntryError) as caught:
            process.check.check(_context(run=run))
        assert caught.value.code == "request_quarantined"
        assert caught.value.run is run
        assert 0 < caught.value.retry_after_s <= 8.0
        assert process.log.events[-1][0] == "refused"

    def test_stream_that_has_begun_goes_on(self):
        """Guards against streams cut for what their engine has survived."""
        process = _Process()
        process.end_engines(3)
        process.check.check(_context(tokens=8))

    def test_other_requests_pass(self):
        process = _Process()
        process.end_engines(3)
        other = _context()
        other.fingerprint = f"{2:016x}"
        process.check.check(other)


class TestNotify:
    """Requests that wait are checked again when restrictions change."""

    def test_waiting_request_is_refused_at_once(self):
        """Guards against a request known to be lost that waits for a slot."""

        async def run():
            process = _Process()
            decisions = asyncio.Queue()
            with process.check.notify(_context(), decisions):
                process.end_engines(2)
                assert decisions.empty()
                process.end_engines(3)
                return await decisions.get()

        assert asyncio.run(run()) == messages.Recheck()

    def test_several_requests_with_one_fingerprint(self):
        async def run():
            process = _Process()
            first, second = asyncio.Queue(), asyncio.Queue()
            with process.check.notify(_context(), first):
                with process.check.notify(_context(), second):
                    pass
                process.end_engines(3)
            return first.qsize(), second.qsize()

        first, second = asyncio.run(run())
        assert first > 0
        assert second == 0


class TestReportLost:
    """Only a request that is suspected already waits for the probe."""

    @pytest.mark.parametrize("ends", [0, 1])
    def test_unsuspected_request_does_not_wait(self, ends):
        """Guards against a delay of each retry after a reset connection."""

        async def run():
            process = _Process()
            process.end_engines(ends)
            report = asyncio.create_task(
                process.check.report_lost(_context(sent_at=5.0), "e9")
            )
            await asyncio.sleep(0.01)
            waits = not report.done()
            process.detector.done.set()
            await report
            return waits, process.detector.sent_at

        assert asyncio.run(run()) == (ends > 0, [5.0])


class TestDisabled:
    """One switch turns off all of the quarantine."""

    def test_coordinators_learn_no_features(self):
        """Guards against copies that wait although the quarantine is off."""
        disabled = request_quarantine.Disabled()
        ctx = _context()
        assert disabled.fingerprint(ctx) == ""
        assert disabled.unproven_parts(ctx) == ()
