"""Audit trail: who changed the settings, and when this VM applied the change.

VMs have no disks, so entries are written to standard output, which the platform
stores, and the most recent ones are kept in memory for `cowsliprill audit`.
"""

import collections
import datetime
import json
import sys
from typing import Any
from typing import TextIO

from cowsliprill.observability import log

_MAX_ENTRIES = 500
_MAX_VALUE_CHARACTERS = 2_000


class AuditTrail:
    """Writes the audit entries of one VM and keeps the most recent ones.

    Args:
      vm: Id of the VM.
      stream: Output of the entries; standard output if None.
    """

    def __init__(self, vm: str, stream: TextIO | None = None) -> None:
        self._vm = vm
        self._stream = stream or sys.stdout
        self._entries: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=_MAX_ENTRIES
        )

    def record(self, action: str, **fields: Any) -> None:
        """Records one action.

        Args:
          action: Name of the action in snake_case.
          **fields: Further fields of the entry.
        """
        self.record_fields({"action": action, **fields})

    def record_fields(self, fields: dict[str, Any]) -> None:
        """Records an action that a process of this VM has sent.

        Args:
          fields: Fields of the entry, including `action`.
        """
        now = datetime.datetime.now(datetime.UTC)
        entry = {
            "time": now.isoformat(timespec="milliseconds"),
            "audit": str(fields.get("action", "unnamed")),
            "vm": self._vm,
        }
        for key, value in fields.items():
            if key not in {"time", "audit", "vm", "action"}:
                entry[key] = _truncated(value)
        self._entries.append(entry)
        print(log.serialize(entry), file=self._stream, flush=True)

    def entries(self) -> list[dict[str, Any]]:
        """Returns the entries in memory, oldest first."""
        return list(self._entries)


def _truncated(value: Any) -> Any:
    # Hundreds of entries are kept, so the memory used by a large value, such as
    # a whole engine order, has to be limited.
    if isinstance(value, int | float | bool) or value is None:
        return value
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    if len(text) <= _MAX_VALUE_CHARACTERS:
        return value
    return text[:_MAX_VALUE_CHARACTERS] + "..."
