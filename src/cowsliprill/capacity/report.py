"""Formats measured and estimated costs as the Markdown tables of the docs.

The tables are those of docs/CAPACITY.md.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from cowsliprill.capacity import control_costs
from cowsliprill.capacity import fleet as fleet_lib
from cowsliprill.capacity import linear_fit


def fits_table(fits: Iterable[linear_fit.LinearFit]) -> str:
    """Formats the fits of all measured costs.

    Args:
      fits: Fits in the order of the rows.

    Returns:
      A Markdown table.
    """
    lines = [
        "| slope | counted by | sizes measured | fixed | each | residual |",
        "|---|---|---|---:|---:|---:|",
    ]
    for line in fits:
        sizes = ", ".join(f"{size:,.0f}" for size, _ in line.points)
        lines.append(
            f"| {line.name} | {line.size_label} | {sizes} "
            f"| {line.intercept:,.1f} {line.cost_label} | {line.slope:,.3f} "
            f"{line.cost_label} | {line.max_relative_residual:.1%} |"
        )
    return "\n".join(lines)


def control_cost_table(
    fits_by_name: Mapping[str, linear_fit.LinearFit],
    fleet: fleet_lib.FleetSize,
    limits: fleet_lib.ResourceLimits,
) -> str:
    """Formats the traffic and CPU time of each control-plane activity per VM.

    Args:
      fits_by_name: Measured cost fits by name.
      fleet: Sizes and rates of the fleet.
      limits: Resource limits of one VM.

    Returns:
      A Markdown table; the column `over` names each limit that the row alone
      exceeds, and by which factor.
    """
    lines = [
        "| process | what | a second | bytes each | bytes/s | core | over |",
        "|---|---|---:|---:|---:|---:|---|",
    ]
    for cost in control_costs.estimate_costs(fits_by_name, fleet):
        exceeded = []
        if cost.bytes_per_s > limits.bytes_per_s:
            exceeded.append(
                f"bytes {cost.bytes_per_s / limits.bytes_per_s:.1f}x"
            )
        if cost.core_fraction > limits.core_fraction:
            exceeded.append(
                f"core {cost.core_fraction / limits.core_fraction:.1f}x"
            )
        lines.append(
            f"| {cost.process} | {cost.activity} | {cost.rate_per_s:,.3f} "
            f"| {cost.bytes_per_event:,.0f} | {cost.bytes_per_s:,.0f} "
            f"| {cost.core_fraction:.2%} | {', '.join(exceeded)} |"
        )
    return "\n".join(lines)


def memory_table(
    fits_by_name: Mapping[str, linear_fit.LinearFit], fleet: fleet_lib.FleetSize
) -> str:
    """Formats the estimated memory of each kind of state in one process.

    Args:
      fits_by_name: Measured cost fits by name.
      fleet: Sizes and rates of the fleet.

    Returns:
      A Markdown table.
    """
    lines = ["| state | MB |", "|---|---:|"]
    for state, size in control_costs.memory_bytes_by_state(
        fits_by_name, fleet
    ).items():
        lines.append(f"| {state} | {size / 1e6:,.2f} |")
    return "\n".join(lines)
