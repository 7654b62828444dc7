"""Behave steps for the format of log lines."""

import io

import behave

from cowsliprill.observability import log


@behave.given("a process that logs to memory")
def step_log_to_memory(context) -> None:
    context.stream = io.StringIO()
    context.log = log.open_log("test", context.stream)


@behave.when("that process logs an event with a two-line value")
def step_log_two_lines(context) -> None:
    context.log.event("example", text="one two\nthree")


@behave.then("the log contains one line with that value quoted")
def step_one_line(context) -> None:
    lines = context.stream.getvalue().splitlines()
    assert len(lines) == 1
    assert lines[0].endswith('event=example text="one two\\nthree"')
