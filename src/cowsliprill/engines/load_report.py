"""Conversion of engine load reports from and to Prometheus text format."""

import re

from cowsliprill.engines import errors
from cowsliprill.engines import model
from cowsliprill.engines import protocol

_SAMPLE = re.compile(
    r"^(?P<name>\w+)(?:\{[^}]*\})? (?P<value>[-+.\deE]+)", re.MULTILINE
)


def parse(text: bytes) -> model.LoadReport:
    """Parses the four gauges that the router uses.

    Args:
      text: Metrics in Prometheus text format.

    Returns:
      The load report.

    Raises:
      errors.EngineFailed: A gauge is missing or isn't a number.
    """
    values_by_name = {
        match["name"]: match["value"]
        for match in _SAMPLE.finditer(text.decode(errors="replace"))
    }
    try:
        return model.LoadReport(
            running=int(float(values_by_name[protocol.METRIC_RUNNING])),
            waiting=int(float(values_by_name[protocol.METRIC_WAITING])),
            kv_usage=float(values_by_name[protocol.METRIC_KV_USAGE]),
            slots=int(float(values_by_name[protocol.METRIC_SLOTS])),
        )
    except (ArithmeticError, KeyError, ValueError) as error:
        raise errors.EngineFailed(
            f"missing or invalid gauge in load report: {error}"
        ) from error


def render(report: model.LoadReport) -> bytes:
    """Formats a load report as engines do.

    Args:
      report: The load report.

    Returns:
      Metrics in Prometheus text format.
    """
    values_by_name = {
        protocol.METRIC_RUNNING: report.running,
        protocol.METRIC_WAITING: report.waiting,
        protocol.METRIC_KV_USAGE: report.kv_usage,
        protocol.METRIC_SLOTS: report.slots,
    }
    lines = []
    for name, value in values_by_name.items():
        lines.append(f"# TYPE {name} gauge\n{name} {value}\n")
    return "".join(lines).encode()
