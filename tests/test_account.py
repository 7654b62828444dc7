"""Tests of `cli.account`, which summarizes request outcomes from logs."""

import io

import pytest

from cowsliprill.cli import account
from cowsliprill.cli import commands
from cowsliprill.cli import explain
from cowsliprill.cli import runner
from cowsliprill.observability import log as log_lib

_REQUEST_ENDED_FIELDS = {
    "service": "desk",
    "outcome": "completed",
    "in_time": True,
    "prompt_tokens": 0,
    "wasted_prompts": 0,
    "ttft_ms": 20.0,
    "took_ms": 20.0,
}


def _log(process, *events):
    stream = io.StringIO()
    log = log_lib.open_log(process, stream)
    for name, fields in events:
        log.event(name, **fields)
    return stream.getvalue()


def _line(at_s, event, process="router.vm-1", **fields):
    time = f"2026-01-01 00:00:{at_s:06.3f}".replace(".", ",")
    text = {name: str(value) for name, value in fields.items()}
    return explain.LogLine(time, process, event, text)


def _request_ended(at_s, **changes):
    fields = {**_REQUEST_ENDED_FIELDS, **changes}
    fields["in_time"] = str(fields["in_time"]).lower()
    return _line(at_s, "request_ended", **fields)


def _write_log(tmp_path, text):
    path = tmp_path / "vm-1.log"
    path.write_text(text)
    return [path]


def _run(command):
    terminal = runner.Terminal(io.StringIO(), io.StringIO(), io.StringIO())
    code = runner.run(command, terminal)
    return code, terminal.stdout.getvalue(), terminal.stderr.getvalue()


class TestSummaries:
    """Requests are counted by group: service, customer, zone, time, size."""

    def test_each_request_counts_once(self):
        records = account.collect(
            [
                _request_ended(0),
                _request_ended(0, in_time=False),
                _request_ended(0, outcome="overloaded"),
                _request_ended(0, outcome="endpoint_failed"),
                _request_ended(0, outcome="caller_gone"),
            ]
        )
        (total,) = account.summarize_by_service(records)
        assert total.request_count == 5
        parts = (total.in_time, total.late, total.refused, total.failed)
        assert (*parts, total.disconnected) == (1, 1, 1, 1, 1)

    def test_denied_requests_do_not_count_as_failed(self):
        """Scans of unknown routes must not look like faults of the router."""
        records = account.collect(
            [
                _request_ended(0, service="", outcome="path_not_found"),
                _request_ended(0, outcome="invalid_api_key"),
                _request_ended(0, outcome="quota_exceeded", customer="firm"),
            ]
        )
        summaries = {
            item.name: item for item in account.summarize_by_service(records)
        }
        assert {*summaries} == {"(no route)", "desk"}
        assert sum(item.denied for item in summaries.values()) == 3
        assert not any(item.failed for item in summaries.values())
        (firm,) = account.summarize_by_customer(records)
        assert (firm.name, firm.denied) == ("firm", 1)

    def test_by_time_of_arrival(self):
        started = _line(0, "started")
        lines = [
            started,
            _request_ended(1),
            _request_ended(5, took_ms=4_500.0),
            _request_ended(9),
        ]
        summaries = account.summarize_by_time(account.collect(lines), 2.0)
        counts = [(item.name, item.request_count) for item in summaries]
        assert counts == [("0 s", 2), ("8 s", 1)]

    def test_by_zone_of_the_receiving_vm(self):
        lines = [
            _line(0, "started", availability_zone="gasabo"),
            _request_ended(1),
            _line(1, "request_ended", "router.vm-2", **_REQUEST_ENDED_FIELDS),
        ]
        names = {
            item.name
            for item in account.summarize_by_zone(account.collect(lines))
        }
        assert names == {"gasabo", "?"}

    def test_longest_prompts_are_a_separate_group(self):
        """Only the longest prompts are refused, which a mean would hide."""
        lines = [
            _request_ended(
                0,
                prompt_tokens=100 * number,
                outcome="overloaded" if number > 9 else "completed",
            )
            for number in range(1, 11)
        ]
        summaries = account.summarize_by_prompt_size(account.collect(lines))
        refused = {item.name: item.refused for item in summaries}
        assert refused["largest tenth, from 1000"] == 1
        assert sum(refused.values()) == 1

    def test_wasted_prefills(self):
        lines = [
            _request_ended(0, prompt_tokens=3_000),
            _request_ended(
                0, prompt_tokens=1_000, wasted_prompts=1, outcome="x"
            ),
        ]
        (total,) = account.summarize_by_service(account.collect(lines))
        assert total.wasted_fraction == pytest.approx(1 / 3)


class TestPeakLoad:
    """Peak load of the pools in each time interval."""

    def test_maximum_of_each_interval(self):
        lines = [
            _line(0, "pool_standing", pool="p", promised=10, slots=100),
            _line(1, "pool_standing", pool="p", promised=90, slots=100),
            _line(2, "pool_standing", pool="p", promised=5, slots=0, waiting=3),
        ]
        peaks = account.peak_load_by_interval(account.collect(lines), 2.0)
        assert peaks == {"0 s": (0.9, 0), "2 s": (5.0, 3)}


class TestCommand:
    """`cowsliprill account`."""

    def test_tables(self, tmp_path):
        text = _log(
            "router.vm-1",
            ("request_ended", _REQUEST_ENDED_FIELDS),
            ("refused", {"reason": "overloaded", "wait_ms": 700.0}),
            ("call_lost", {"reason": "10.0.0.1:80: connection lost"}),
            ("pool_standing", {"pool": "p", "promised": 5, "slots": 10}),
        )
        files = _write_log(tmp_path, text + "Traceback ...\n")
        code, out, _ = _run(commands.AccountCommand(files))
        assert code == 0
        assert "desk" in out
        assert "overloaded" in out
        assert "connection lost" in out
        assert "10.0.0.1" not in out

    def test_logs_without_requests(self, tmp_path):
        files = _write_log(tmp_path, "nothing of ours\n")
        code, _, error = _run(commands.AccountCommand(files))
        assert code != 0
        assert error.startswith("no_requests:")

    def test_step_of_zero(self, tmp_path):
        files = _write_log(tmp_path, "")
        code, _, error = _run(commands.AccountCommand(files, step=0.0))
        assert code != 0
        assert error.startswith("bad_step:")
