"""Tests of `cli.explain`, which traces a request through logs."""

import io
import pathlib

from cowsliprill.cli import commands
from cowsliprill.cli import explain
from cowsliprill.cli import runner
from cowsliprill.observability import log as log_lib


def _log(process: str, *events: tuple[str, dict]) -> str:
    stream = io.StringIO()
    log = log_lib.open_log(process, stream)
    for name, fields in events:
        log.event(name, **fields)
    return stream.getvalue()


_END_FIELDS = {"request": "vm-1.router.a.7", "caller": "c7", "run": "no"}


def _trace(text: str, wanted_id: str) -> list[explain.LogLine]:
    return explain.trace(explain.read(text.splitlines()), wanted_id)


class TestRead:
    """Lines are parsed also with a prefix that a log collector adds."""

    def test_quoted_values(self):
        text = _log("router.a", ("x", {"reason": 'said "no", twice', "n": 3}))
        (line,) = explain.read([f"  12.5 vm-1 {text}", "Traceback ..."])
        assert line.fields["reason"] == 'said "no", twice'
        assert line.fields["n"] == "3"


class TestTrace:
    """A trace holds the request's lines and the context events before them."""

    def test_by_either_id(self):
        text = _log(
            "router.vm-1",
            ("home_chosen", {"pool": "p", "vm": "vm-2"}),
            ("placed", {"request": "vm-1.router.a.7", "caller": "c7"}),
            ("placed", {"request": "vm-1.router.a.8", "caller": "c8"}),
            ("request_ended", {**_END_FIELDS, "outcome": "overloaded"}),
        )
        events = [line.event for line in _trace(text, "c7")]
        assert events == ["home_chosen", "placed", "request_ended"]
        assert _trace(text, "vm-1.router.a.7") == _trace(text, "c7")
        assert _trace(text, "c9") == []

    def test_by_a_part_of_the_prompt(self):
        """Guards against a story without the requests that share a part."""
        text = _log(
            "router.vm-1",
            ("request_ended", {**_END_FIELDS, "prompt_parts": "aa,bb"}),
            ("prompt_part_held", {"part": "bb", "crashes": 3}),
            ("prompt_part_held", {"part": "cc", "crashes": 3}),
            ("request_ended", {"request": "r8", "prompt_parts": "aa,cc"}),
        )
        events = [(line.event, line.fields) for line in _trace(text, "bb")]
        assert [event for event, _ in events] == [
            "request_ended",
            "prompt_part_held",
        ]
        assert events[1][1]["part"] == "bb"

    def test_context_events_of_other_vms_are_excluded(self):
        text = _log("router.vm-2", ("home_chosen", {"pool": "p"}))
        text += _log("router.vm-1", ("request_ended", _END_FIELDS))
        assert [line.process for line in _trace(text, "c7")] == ["router.vm-1"]


class TestResumedStream:
    """A stream that its caller resumed at another VM."""

    def test_all_attempts_are_traced_by_any_id(self):
        """Guards against a trace that lacks what began the stream."""
        text = _log(
            "router.vm-1",
            ("placed", {"request": "r1", "caller": "c1", "resumes": ""}),
        )
        text += _log(
            "router.vm-2",
            ("placed", {"request": "r2", "caller": "c2", "resumes": "c1"}),
            ("placed", {"request": "r3", "caller": "c3", "resumes": ""}),
        )
        for wanted_id in ("c1", "c2", "r1", "r2"):
            trace = _trace(text, wanted_id)
            assert [line.request_id() for line in trace] == ["r1", "r2"]


class TestRelayedRequest:
    """A request that another VM served has lines of both VMs."""

    _TEXT = _log(
        "router.vm-1",
        (
            "request_ended",
            {**_END_FIELDS, "outcome": "completed", "relayed_to": "vm-2"},
        ),
    ) + _log(
        "router.vm-2",
        (
            "request_ended",
            {
                "request": "vm-2.router.b.4",
                "caller": "c7",
                "outcome": "path_lost",
                "relayed_by": "vm-1",
                "relayed_as": "vm-1.router.a.7",
            },
        ),
    )

    def test_by_the_id_at_either_vm(self):
        processes = {"router.vm-1", "router.vm-2"}
        for wanted_id in ("vm-1.router.a.7", "vm-2.router.b.4", "c7"):
            lines = _trace(self._TEXT, wanted_id)
            assert {line.process for line in lines} == processes

    def test_outcome_is_that_of_the_callers_vm(self):
        description = explain.describe_outcome(_trace(self._TEXT, "c7"))
        assert description == "It got its whole answer."


class TestRepeatedRequest:
    """A fingerprint leads to all repetitions of a request."""

    def test_by_fingerprint(self):
        """Guards against a verdict whose grounds an operator can't find."""
        fingerprint = {"fingerprint": "00ff"}
        text = _log(
            "router.vm-1",
            ("attempt_lost", {"request": "a.1", **fingerprint, "reason": "x"}),
            ("engine_crash_suspected", {"endpoint": "e1", **fingerprint}),
            ("attempt_lost", {"request": "a.2", "fingerprint": "ee"}),
        )
        text += _log(
            "router.vm-2",
            ("request_quarantined", fingerprint),
            ("refused", {"request": "b.1", **fingerprint}),
            (
                "request_ended",
                {"request": "b.1", "run": "no", "outcome": "x", **fingerprint},
            ),
        )
        lines = _trace(text, "00ff")
        # Lines of one millisecond are in no order.
        assert sorted(line.event for line in lines) == [
            "attempt_lost",
            "engine_crash_suspected",
            "refused",
            "request_ended",
            "request_quarantined",
        ]
        assert {line.event for line in _trace(text, "b.1")} >= {
            "engine_crash_suspected",
            "request_quarantined",
        }

    def test_verdicts_of_other_vms_bring_no_context_of_theirs(self):
        """Guards against a trace that all VMs' cluster changes flood."""
        fingerprint = {"fingerprint": "00ff"}
        text = _log(
            "router.vm-2",
            ("members_changed", {"alive": 3}),
            ("request_held", fingerprint),
        )
        text += _log(
            "router.vm-1", ("request_ended", _END_FIELDS | fingerprint)
        )
        lines = _trace(text, "c7")
        assert sorted((line.process, line.event) for line in lines) == [
            ("router.vm-1", "request_ended"),
            ("router.vm-2", "request_held"),
        ]


class TestDescribeOutcome:
    """The outcome is described on one line."""

    def test_refused_request(self):
        ended = {**_END_FIELDS, "outcome": "overloaded"}
        trace = _trace(_log("r", ("request_ended", ended)), "c7")
        assert explain.describe_outcome(trace) == (
            "It was refused: there was no room in time. It was not run."
        )

    def test_refused_for_a_rate_limit(self):
        """Guards against a refusal whose cause an operator can't find."""
        limit = {"endpoint": "s0", "per_s": 1.3, "source": "peer"}
        text = _log(
            "r",
            ("endpoint_rate_limit_named", limit),
            ("refused", {"request": "a.1", "caller": "c7"}),
            ("request_ended", {**_END_FIELDS, "outcome": "rate_limited"}),
        )
        trace = _trace(text, "c7")
        assert "endpoint_rate_limit_named" in {line.event for line in trace}
        assert explain.describe_outcome(trace) == (
            "It was refused: all servers limited their requests."
            " It was not run."
        )

    def test_lost_response(self):
        text = _log(
            "r",
            (
                "call_lost",
                {
                    **_END_FIELDS,
                    "endpoint": "desk-1",
                    "reason": "connection lost",
                },
            ),
            (
                "request_ended",
                {**_END_FIELDS, "outcome": "endpoint_failed", "run": "unknown"},
            ),
        )
        assert explain.describe_outcome(_trace(text, "c7")) == (
            "Its engines or servers failed. It may have run."
            " Lost attempts: desk-1: connection lost."
        )

    def test_trace_of_a_killed_process(self):
        text = _log("r", ("placed", {"request": "r.7", "caller": "c7"}))
        assert "killed" in explain.describe_outcome(_trace(text, "c7"))


class TestCommand:
    """`cowsliprill explain ID FILE...`."""

    def test_reads_files(self, tmp_path: pathlib.Path):
        file = tmp_path / "vm-1.log"
        ended = {**_END_FIELDS, "outcome": "leaving"}
        file.write_text(_log("router.vm-1", ("request_ended", ended)))
        terminal = runner.Terminal(io.StringIO(), io.StringIO(), io.StringIO())
        command = commands.ExplainCommand("c7", [file])
        assert runner.run(command, terminal) == 0
        assert "about to end" in terminal.stdout.getvalue()

    def test_unknown_request(self, tmp_path: pathlib.Path):
        file = tmp_path / "vm-1.log"
        file.write_text("")
        terminal = runner.Terminal(io.StringIO(), io.StringIO(), io.StringIO())
        command = commands.ExplainCommand("c7", [file])
        assert runner.run(command, terminal) == 1
        assert "unknown_request" in terminal.stderr.getvalue()
