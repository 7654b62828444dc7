"""Tests of `cli.explain`: from a request's id to its cause."""

import io
import pathlib

from cowsliprill.cli import commands
from cowsliprill.cli import core
from cowsliprill.cli import explain
from cowsliprill.observability import log as log_lib


def _log(process: str, *events: tuple[str, dict]) -> str:
    stream = io.StringIO()
    log = log_lib.open_log(process, stream)
    for name, fields in events:
        log.event(name, **fields)
    return stream.getvalue()


_ENDED = {"request": "vm-1.router.a.7", "caller": "c7", "run": "no"}


def _story(text: str, wanted: str) -> list[explain.Line]:
    return explain.story(explain.read(text.splitlines()), wanted)


class TestRead:
    """Lines as they are written, with whatever a collector puts before."""

    def test_quoted_values(self):
        text = _log("router.a", ("x", {"reason": 'said "no", twice', "n": 3}))
        (line,) = explain.read([f"  12.5 vm-1 {text}", "Traceback ..."])
        assert line.fields["reason"] == 'said "no", twice'
        assert line.fields["n"] == "3"


class TestStory:
    """The request's own lines and the news that its VM had before them."""

    def test_by_either_id(self):
        text = _log(
            "router.vm-1",
            ("home_chosen", {"pool": "p", "vm": "vm-2"}),
            ("placed", {"request": "vm-1.router.a.7", "caller": "c7"}),
            ("placed", {"request": "vm-1.router.a.8", "caller": "c8"}),
            ("request_ended", {**_ENDED, "outcome": "overloaded"}),
        )
        events = [line.event for line in _story(text, "c7")]
        assert events == ["home_chosen", "placed", "request_ended"]
        assert _story(text, "vm-1.router.a.7") == _story(text, "c7")
        assert _story(text, "c9") == []

    def test_news_of_other_vms_are_left_out(self):
        text = _log("router.vm-2", ("home_chosen", {"pool": "p"}))
        text += _log("router.vm-1", ("request_ended", _ENDED))
        assert [line.process for line in _story(text, "c7")] == ["router.vm-1"]


class TestCause:
    """One sentence at the end."""

    def test_a_refusal(self):
        ended = {**_ENDED, "outcome": "overloaded"}
        story = _story(_log("r", ("request_ended", ended)), "c7")
        assert explain.cause(story) == (
            "It was refused: there was no room in time. It was not run."
        )

    def test_a_lost_answer(self):
        text = _log(
            "r",
            (
                "call_lost",
                {**_ENDED, "endpoint": "desk-1", "reason": "connection lost"},
            ),
            (
                "request_ended",
                {**_ENDED, "outcome": "endpoint_failed", "run": "unknown"},
            ),
        )
        assert explain.cause(_story(text, "c7")) == (
            "Its engines or servers failed. It may have run."
            " Lost attempts: desk-1: connection lost."
        )

    def test_a_process_that_was_killed(self):
        text = _log("r", ("placed", {"request": "r.7", "caller": "c7"}))
        assert "killed" in explain.cause(_story(text, "c7"))


class TestCommand:
    """`cowsliprill explain ID FILE...`."""

    def test_reads_files(self, tmp_path: pathlib.Path):
        file = tmp_path / "vm-1.log"
        ended = {**_ENDED, "outcome": "leaving"}
        file.write_text(_log("router.vm-1", ("request_ended", ended)))
        terminal = core.Terminal(io.StringIO(), io.StringIO(), io.StringIO())
        command = commands.ExplainCommand("c7", [file])
        assert core.run(command, terminal) == 0
        assert "about to end" in terminal.stdout.getvalue()

    def test_unknown_request(self, tmp_path: pathlib.Path):
        file = tmp_path / "vm-1.log"
        file.write_text("")
        terminal = core.Terminal(io.StringIO(), io.StringIO(), io.StringIO())
        command = commands.ExplainCommand("c7", [file])
        assert core.run(command, terminal) == 1
        assert "unknown_request" in terminal.stderr.getvalue()
