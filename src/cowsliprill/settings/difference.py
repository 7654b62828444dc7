"""What one snapshot changes against another."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from cowsliprill.decisions import model


@dataclasses.dataclass(frozen=True, slots=True)
class FieldChange:
    """One changed field of a service or an endpoint.

    Attributes:
      kind: `service` or `endpoint`.
      id: Which one.
      field: Name of the field; empty where the whole was added or removed.
      old: Value before, None where there was none.
      new: Value after, None where there is none.
    """

    kind: str
    id: str
    field: str
    old: Any
    new: Any

    def __str__(self) -> str:
        if not self.field:
            what = "added" if self.old is None else "removed"
            return f"{self.kind} {self.id} {what}"
        return f"{self.kind} {self.id}: {self.field} {self.old} -> {self.new}"


def changes(old: model.Snapshot, new: model.Snapshot) -> list[FieldChange]:
    """Lists what differs in services and endpoints.

    Args:
      old: The snapshot before.
      new: The snapshot after.

    Returns:
      The changes, by kind and id.
    """
    return [
        *_changes("service", old.services_by_id, new.services_by_id),
        *_changes("endpoint", old.endpoints_by_id, new.endpoints_by_id),
    ]


def customer_changes(old: model.Snapshot, new: model.Snapshot) -> list[str]:
    """Lists users that were added, removed or changed; reads all users."""
    before, after = dict(old.customers_by_id), dict(new.customers_by_id)
    found = []
    for customer_id in sorted(before.keys() | after.keys()):
        if customer_id not in before:
            found.append(f"customer {customer_id} added")
        elif customer_id not in after:
            found.append(f"customer {customer_id} removed")
        elif before[customer_id] != after[customer_id]:
            found.append(f"customer {customer_id} changed")
    return found


def _changes(
    kind: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> list[FieldChange]:
    found = []
    # What a change doesn't touch is the same object in both snapshots, and
    # need not be compared.
    touched = [
        each
        for each in old.keys() | new.keys()
        if old.get(each) is not new.get(each)
    ]
    for each in sorted(touched):
        if each not in old:
            found.append(FieldChange(kind, each, "", None, new[each]))
        elif each not in new:
            found.append(FieldChange(kind, each, "", old[each], None))
        else:
            found.extend(_field_changes(kind, each, old[each], new[each]))
    return found


def _field_changes(
    kind: str, each: str, old: Any, new: Any
) -> list[FieldChange]:
    return [
        FieldChange(kind, each, field.name, before, after)
        for field in dataclasses.fields(old)
        if (before := getattr(old, field.name))
        != (after := getattr(new, field.name))
    ]
