"""Messages by which processes share the capacity of a plain pool."""

import dataclasses
from typing import Annotated

import pydantic

from cowsliprill.decisions.overload import plain_limits
from cowsliprill.decisions.overload import plain_reports

_MAX_INTERVAL_S = 60.0

_Name = Annotated[str, pydantic.Field(max_length=256)]
_Priority = Annotated[int, pydantic.Field(ge=-1_000, le=1_000)]
_Count = Annotated[int, pydantic.Field(ge=0, lt=1_000_000)]
_Fraction = Annotated[float, pydantic.Field(ge=0.0, le=1.0)]
_Rate = Annotated[float, pydantic.Field(ge=0.0, lt=1e9, allow_inf_nan=False)]
_Seconds = Annotated[
    float, pydantic.Field(ge=0.0, le=_MAX_INTERVAL_S, allow_inf_nan=False)
]
_MaxCustomers = pydantic.Field(max_length=plain_reports.MAX_CUSTOMERS)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallReport:
    """Counts of one process, see `plain_reports.Report`.

    Attributes:
      process: Id of the process.
      pool: The pool.
      span_s: Length of the interval in seconds.
      arrived: Customer, priority and number of the calls that arrived.
      others: Calls of all other customers.
      completed: Completed calls.
      late: Calls that missed their target.
      rejected: Server and number of the attempts that it rejected.
    """

    process: _Name
    pool: _Name
    span_s: Annotated[
        float,
        pydantic.Field(
            ge=plain_reports.MIN_INTERVAL_S,
            le=_MAX_INTERVAL_S,
            allow_inf_nan=False,
        ),
    ]
    arrived: Annotated[
        tuple[tuple[_Name, _Priority, _Count], ...], _MaxCustomers
    ] = ()
    others: _Count = 0
    completed: _Count = 0
    late: _Count = 0
    rejected: Annotated[tuple[tuple[_Name, _Count], ...], _MaxCustomers] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallVerdict:
    """The coordinator's answer, see `plain_limits.Verdict`.

    Attributes:
      limits: Customer, priority, fraction and calls a second of each limit.
      interval_s: When the process reports again, in seconds.
    """

    limits: Annotated[
        tuple[tuple[_Name, _Priority, _Fraction, _Rate], ...], _MaxCustomers
    ] = ()
    interval_s: _Seconds = plain_reports.MIN_INTERVAL_S


def report_to_wire(
    process: str, pool: str, report: plain_reports.Report
) -> CallReport:
    """Converts a report to its wire format."""
    return CallReport(
        process=process,
        pool=pool,
        span_s=round(min(report.span_s, _MAX_INTERVAL_S), 3),
        arrived=tuple(
            (customer, priority, count)
            for (customer, priority), count in report.arrived.items()
        ),
        others=report.others,
        completed=report.completed,
        late=report.late,
        rejected=tuple(report.rejected_by_server.items()),
    )


def report_from_wire(report: CallReport) -> plain_reports.Report:
    """Converts a report from its wire format."""
    return plain_reports.Report(
        span_s=report.span_s,
        arrived={
            (customer, priority): count
            for customer, priority, count in report.arrived
        },
        others=report.others,
        completed=report.completed,
        late=report.late,
        rejected_by_server=dict(report.rejected),
    )


def verdict_to_wire(verdict: plain_limits.Verdict) -> CallVerdict:
    """Converts a verdict to its wire format."""
    return CallVerdict(
        limits=tuple(
            (
                customer,
                limit.priority,
                round(limit.fraction, 4),
                round(limit.calls_per_s, 4),
            )
            for customer, limit in verdict.limits_by_customer.items()
        ),
        interval_s=round(min(verdict.interval_s, _MAX_INTERVAL_S), 3),
    )


def verdict_from_wire(verdict: CallVerdict) -> plain_limits.Verdict:
    """Converts a verdict from its wire format."""
    return plain_limits.Verdict(
        limits_by_customer={
            customer: plain_limits.Limit(
                priority=priority, fraction=fraction, calls_per_s=calls_per_s
            )
            for customer, priority, fraction, calls_per_s in verdict.limits
        },
        interval_s=max(verdict.interval_s, plain_reports.MIN_INTERVAL_S),
    )
