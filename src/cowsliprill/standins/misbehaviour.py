"""How a stand-in misbehaves on request of a test."""

import dataclasses
import enum
from typing import Any

import pydantic

from cowsliprill import errors


class MisbehaviourError(errors.CowsliprillError):
    """Raised for a misbehaviour that no stand-in knows."""

    code = "unknown_misbehaviour"


class CancelFault(enum.StrEnum):
    """What goes wrong with a cancel order."""

    NONE = ""
    REFUSE = "refuse"
    LOSE = "lose"
    LATE = "late"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Misbehaviour:
    """What a stand-in does wrong; each field's default is to do it right.

    Attributes:
      times: How many requests are affected, 0 for all from now on.
      slow_factor: Multiplies the time of prefill, decode and service calls.
      delay_s: Answer is held back for so long after the work is done.
      refuse: Code of a refusal, `engine_full` or `engine_draining`.
      cut_refusal_at_byte: The refusal is cut there.
      cut_before_run: The connection is cut before anything is run.
      stall_at_token: No token after this one is generated.
      cut_at_token: The connection is cut after this token.
      cut_at_byte: The connection is cut after so many bytes of the body.
      foreign_id: The answer carries another request's id.
      swap: The answer is that of another request in progress.
      omit_end_marker: The stream ends without its end marker.
      wrong_count: `usage.completion_tokens` is one too high.
      repeat_token: A resumed stream begins one token early.
      stall_export_at_byte: The export of KV cache stops there.
      cut_export_at_byte: The export of KV cache is cut there.
      drop_cache_events: Each so-manieth cache event is lost, 0 for none.
      cache_lag_s: Cache events are published so late.
      ignore_fencing: An order's fencing number isn't checked.
      cancel: What goes wrong with cancel orders.
      cancel_delay_s: How late a late cancel is answered.
    """

    times: int = 0
    slow_factor: float = 1.0
    delay_s: float = 0.0
    refuse: str = ""
    cut_refusal_at_byte: int | None = None
    cut_before_run: bool = False
    stall_at_token: int | None = None
    cut_at_token: int | None = None
    cut_at_byte: int | None = None
    foreign_id: bool = False
    swap: bool = False
    omit_end_marker: bool = False
    wrong_count: bool = False
    repeat_token: bool = False
    stall_export_at_byte: int | None = None
    cut_export_at_byte: int | None = None
    drop_cache_events: int = 0
    cache_lag_s: float = 0.0
    ignore_fencing: bool = False
    cancel: CancelFault = CancelFault.NONE
    cancel_delay_s: float = 0.0


GOOD = Misbehaviour()

_FORM = pydantic.TypeAdapter(Misbehaviour)
_NAMES = frozenset(field.name for field in dataclasses.fields(Misbehaviour))


class Conduct:
    """The misbehaviour in force, and for how many requests yet.

    Attributes:
      current: In force now.
    """

    def __init__(self) -> None:
        self.current = GOOD
        self._left = 0

    def set(self, fields: Any) -> None:
        """Replaces the misbehaviour.

        Args:
          fields: JSON object of `Misbehaviour`; an empty one ends it.

        Raises:
          MisbehaviourError: The fields aren't those of `Misbehaviour`.
        """
        if not isinstance(fields, dict) or not fields.keys() <= _NAMES:
            raise MisbehaviourError(f"not a misbehaviour: {fields!r}")
        try:
            self.current = _FORM.validate_python(fields)
        except pydantic.ValidationError as error:
            raise MisbehaviourError(str(error)) from error
        self._left = self.current.times

    def take(self) -> Misbehaviour:
        """Returns the misbehaviour for one request, and counts it."""
        taken = self.current
        if taken.times:
            self._left -= 1
            if self._left == 0:
                self.current = GOOD
        return taken
