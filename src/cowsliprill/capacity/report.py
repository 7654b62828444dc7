"""The tables of docs/CAPACITY.md, as Markdown."""

from collections.abc import Iterable
from collections.abc import Mapping

from cowsliprill.capacity import fit
from cowsliprill.capacity import fleet as fleet_lib
from cowsliprill.capacity import roles


def slopes_table(slopes: Iterable[fit.Slope]) -> str:
    """Writes the measured slopes.

    Args:
      slopes: The slopes.

    Returns:
      A Markdown table.
    """
    lines = [
        "| slope | counted by | sizes measured | fixed | each | residual |",
        "|---|---|---|---:|---:|---:|",
    ]
    for slope in slopes:
        sizes = ", ".join(f"{size:,.0f}" for size, _ in slope.points)
        lines.append(
            f"| {slope.name} | {slope.per} | {sizes} "
            f"| {slope.fixed:,.1f} {slope.unit} | {slope.each:,.3f} "
            f"{slope.unit} | {slope.residual:.1%} |"
        )
    return "\n".join(lines)


def roles_table(
    slopes_by_name: Mapping[str, fit.Slope],
    fleet: fleet_lib.FleetSize,
    limits: fleet_lib.Limits,
) -> str:
    """Writes what each kind of control work costs one node.

    Args:
      slopes_by_name: The measured slopes.
      fleet: The size.
      limits: What a node may spend.

    Returns:
      A Markdown table; `over` names the limits that a row exceeds alone.
    """
    lines = [
        "| process | what | a second | bytes each | bytes/s | core | over |",
        "|---|---|---:|---:|---:|---:|---|",
    ]
    for row in roles.rows(slopes_by_name, fleet):
        over = []
        if row.bytes_per_s > limits.bytes_per_s:
            over.append(f"bytes {row.bytes_per_s / limits.bytes_per_s:.1f}x")
        if row.core > limits.core:
            over.append(f"core {row.core / limits.core:.1f}x")
        lines.append(
            f"| {row.role} | {row.what} | {row.rate_per_s:,.3f} "
            f"| {row.bytes_each:,.0f} | {row.bytes_per_s:,.0f} "
            f"| {row.core:.2%} | {', '.join(over)} |"
        )
    return "\n".join(lines)


def memory_table(
    slopes_by_name: Mapping[str, fit.Slope], fleet: fleet_lib.FleetSize
) -> str:
    """Writes the state of one process.

    Args:
      slopes_by_name: The measured slopes.
      fleet: The size.

    Returns:
      A Markdown table.
    """
    lines = ["| state | MB |", "|---|---:|"]
    for name, size in roles.memory_bytes(slopes_by_name, fleet).items():
        lines.append(f"| {name} | {size / 1e6:,.2f} |")
    return "\n".join(lines)
