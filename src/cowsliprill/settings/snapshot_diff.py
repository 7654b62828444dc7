"""Compares two settings snapshots."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from cowsliprill.decisions import model


@dataclasses.dataclass(frozen=True, slots=True)
class FieldChange:
    """One changed field of a service or endpoint, or its addition or removal.

    Attributes:
      kind: `service` or `endpoint`.
      id: Id of the service or endpoint.
      field: Name of the changed field; empty if the whole service or endpoint
        was added or removed.
      old: Value in the old snapshot; None if added.
      new: Value in the new snapshot; None if removed.
    """

    kind: str
    id: str
    field: str
    old: Any
    new: Any

    def __str__(self) -> str:
        if not self.field:
            action = "added" if self.old is None else "removed"
            return f"{self.kind} {self.id} {action}"
        return f"{self.kind} {self.id}: {self.field} {self.old} -> {self.new}"


def changes(old: model.Snapshot, new: model.Snapshot) -> list[FieldChange]:
    """Compares the services and endpoints of two snapshots.

    Args:
      old: The old snapshot.
      new: The new snapshot.

    Returns:
      The changes: services first, then endpoints, each sorted by id.
    """
    return [
        *_diff_entries("service", old.services_by_id, new.services_by_id),
        *_diff_entries("endpoint", old.endpoints_by_id, new.endpoints_by_id),
    ]


def diff_customers(old: model.Snapshot, new: model.Snapshot) -> list[str]:
    """Describes the customers that were added, removed or changed.

    The cost grows with the number of all customers.

    Args:
      old: The old snapshot.
      new: The new snapshot.

    Returns:
      One line of text per customer, sorted by id.
    """
    old_customers, new_customers = (
        dict(old.customers_by_id),
        dict(new.customers_by_id),
    )
    differences = []
    for customer_id in sorted(old_customers.keys() | new_customers.keys()):
        if customer_id not in old_customers:
            differences.append(f"customer {customer_id} added")
        elif customer_id not in new_customers:
            differences.append(f"customer {customer_id} removed")
        elif old_customers[customer_id] != new_customers[customer_id]:
            differences.append(f"customer {customer_id} changed")
    return differences


def _diff_entries(
    kind: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> list[FieldChange]:
    differences = []
    # Entries that a revision doesn't touch are the same object in both
    # snapshots, so identity is enough to skip them.
    changed_ids = [
        entry_id
        for entry_id in old.keys() | new.keys()
        if old.get(entry_id) is not new.get(entry_id)
    ]
    for entry_id in sorted(changed_ids):
        if entry_id not in old:
            differences.append(
                FieldChange(kind, entry_id, "", None, new[entry_id])
            )
        elif entry_id not in new:
            differences.append(
                FieldChange(kind, entry_id, "", old[entry_id], None)
            )
        else:
            differences.extend(
                _diff_fields(kind, entry_id, old[entry_id], new[entry_id])
            )
    return differences


def _diff_fields(
    kind: str, entry_id: str, old: Any, new: Any
) -> list[FieldChange]:
    return [
        FieldChange(kind, entry_id, field.name, old_value, new_value)
        for field in dataclasses.fields(old)
        if (old_value := getattr(old, field.name))
        != (new_value := getattr(new, field.name))
    ]
