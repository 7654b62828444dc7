"""The audit trail: who changed what, and when it came into force here.

VMs have no disks, so entries go to standard output, which the platform keeps,
and the last ones stay in memory for `cowsliprill audit`.
"""

import collections
import datetime
import json
import sys
from typing import Any
from typing import TextIO

from cowsliprill.observability import log

_KEPT = 500
_MAX_VALUE_CHARACTERS = 2_000


class AuditTrail:
    """Entries of one VM.

    Args:
      vm: Id of the VM.
      stream: Where lines go; standard output if None.
    """

    def __init__(self, vm: str, stream: TextIO | None = None) -> None:
        self._vm = vm
        self._stream = stream or sys.stdout
        self._entries: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=_KEPT
        )

    def record(self, action: str, **fields: Any) -> None:
        """Writes one entry.

        Args:
          action: What happened, in snake_case.
          **fields: Further pairs.
        """
        self.take({"action": action, **fields})

    def take(self, fields: dict[str, Any]) -> None:
        """Writes an entry that a local process sent, as `record`.

        Args:
          fields: The pairs, `action` among them.
        """
        now = datetime.datetime.now(datetime.UTC)
        entry = {
            "time": now.isoformat(timespec="milliseconds"),
            "audit": str(fields.get("action", "unnamed")),
            "vm": self._vm,
        }
        for key, value in fields.items():
            if key not in {"time", "audit", "vm", "action"}:
                entry[key] = _bounded(value)
        self._entries.append(entry)
        print(log.serialize(entry), file=self._stream, flush=True)

    def entries(self) -> list[dict[str, Any]]:
        """Returns the entries kept, oldest first."""
        return list(self._entries)


def _bounded(value: Any) -> Any:
    # One huge value (a whole engine order, say) must not fill the memory of a
    # process that keeps hundreds of entries.
    if isinstance(value, int | float | bool) or value is None:
        return value
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    if len(text) <= _MAX_VALUE_CHARACTERS:
        return value
    return text[:_MAX_VALUE_CHARACTERS] + "..."
