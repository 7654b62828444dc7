"""Renders the summaries of `account` as text tables."""

import statistics
from typing import TextIO

import rich.box
import rich.console
import rich.table

from cowsliprill.cli import account
from cowsliprill.cli import explain

# Fits all columns when the output is a file, which has no terminal width.
_WIDTH_CHARACTERS = 120
_MS_PER_S = 1_000


def write(records: account.LogRecords, step_s: float, target: TextIO) -> None:
    """Writes all tables.

    Args:
      records: Records of the logs.
      step_s: Length in seconds of an interval in the table by arrival time.
      target: Stream to write to.
    """
    console = rich.console.Console(
        file=target, width=_WIDTH_CHARACTERS, no_color=True
    )
    peak_by_interval = account.peak_load_by_interval(records, step_s)
    for title, summaries in (
        ("By time of arrival", account.summarize_by_time(records, step_s)),
        ("By service", account.summarize_by_service(records)),
        ("By customer", account.summarize_by_customer(records)),
        ("By availability zone", account.summarize_by_zone(records)),
        (
            "Model requests by prompt tokens",
            account.summarize_by_prompt_size(records),
        ),
    ):
        if summaries:
            console.print(_summary_table(title, summaries, peak_by_interval))
    console.print(_refusal_table(records))
    console.print(_failure_table(records))


def _new_table(title: str, *columns: str) -> rich.table.Table:
    table = rich.table.Table(
        title=title, title_justify="left", box=rich.box.SIMPLE
    )
    table.add_column(columns[0], no_wrap=True)
    for column in columns[1:]:
        table.add_column(column, justify="right")
    return table


def _summary_table(
    title: str,
    summaries: list[account.GroupSummary],
    peak_by_interval: dict[str, tuple[float, int]],
) -> rich.table.Table:
    table = _new_table(
        title,
        "",
        "asked",
        "in time",
        "late",
        "refused",
        "denied",
        "failed",
        "left",
        "half ms",
        "99% ms",
        "wasted",
        "memory",
        "waiting",
    )
    for summary in summaries:
        reserved_fraction, queued = peak_by_interval.get(summary.name, (0.0, 0))
        table.add_row(
            summary.name,
            str(summary.request_count),
            str(summary.in_time),
            str(summary.late),
            str(summary.refused),
            str(summary.denied),
            str(summary.failed),
            str(summary.disconnected),
            f"{summary.ttft_median_s * _MS_PER_S:.0f}",
            f"{summary.ttft_p99_s * _MS_PER_S:.0f}",
            f"{summary.wasted_fraction:.1%}",
            f"{reserved_fraction:.0%}"
            if summary.name in peak_by_interval
            else "",
            str(queued) if summary.name in peak_by_interval else "",
        )
    return table


def _refusal_table(records: account.LogRecords) -> rich.table.Table:
    table = _new_table(
        "Refusals of model requests (medians)",
        "reason",
        "count",
        "expected wait ms",
        "come back in ms",
        "time left ms",
    )
    for reason, lines in sorted(records.refusals_by_reason.items()):
        table.add_row(
            reason,
            str(len(lines)),
            _format_median(lines, "wait_ms"),
            _format_median(lines, "retry_after_ms"),
            _format_median(lines, "time_left_ms"),
        )
    return table


def _format_median(lines: list[explain.LogLine], name: str) -> str:
    values = [float(line.fields[name]) for line in lines if name in line.fields]
    return f"{statistics.median(values):.0f}" if values else ""


def _failure_table(records: account.LogRecords) -> rich.table.Table:
    table = _new_table(
        "Attempts that came to nothing", "what", "where", "count"
    )
    table.add_column("why")
    for event, stage, reason, count in account.count_failed_attempts(records):
        table.add_row(event, stage, str(count), reason)
    return table
