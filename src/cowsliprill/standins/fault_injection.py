"""Fault injection: the faults that a test makes a fake endpoint show."""

import dataclasses
import enum
import os
from typing import Any

import pydantic

from cowsliprill import errors

_CRASH_EXIT_CODE = 70


class FaultsError(errors.CowsliprillError):
    """Raised for fields that don't describe faults of a fake endpoint."""

    code = "unknown_misbehaviour"


def end_process_on(text: str, body: bytes) -> None:
    """Ends this process at once, as a crash does, if a body contains a text.

    Args:
      text: The text, empty for none.
      body: Body of a request that is about to be executed.
    """
    if text and text.encode() in body:
        os._exit(_CRASH_EXIT_CODE)


class CancelFault(enum.StrEnum):
    """Fault in the handling of a cancellation."""

    NONE = ""
    REFUSE = "refuse"
    LOSE = "lose"
    LATE = "late"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Faults:
    """The faults to inject; each field's default injects none.

    Attributes:
      times: Number of requests affected, 0 for all from now on.
      slow_factor: Multiplies the time of prefill, decode and service calls.
      delay_s: Delay of the response after the work is done.
      refuse: Error code of a refusal, `engine_full` or `engine_draining`.
      cut_refusal_at_byte: The connection is closed after so many bytes of the
        refusal.
      cut_before_run: The connection is closed before anything is executed.
      stall_at_token: Generation stops after this token; the stream stays open.
      cut_at_token: The connection is closed after this token.
      cut_at_byte: The connection is closed after so many bytes of the body.
      foreign_id: The response carries another request's id.
      swap: The response is that of another request.
      omit_end_marker: The stream ends without its end marker.
      wrong_count: `usage.completion_tokens` is one too high.
      repeat_token: A resumed stream begins one token early.
      stall_export_at_byte: The KV cache export stops after so many bytes and
        keeps its connection open.
      cut_export_at_byte: The connection of a KV cache export is closed after
        so many bytes.
      drop_cache_events: One in so many cache events is lost, 0 for none.
      cache_lag_s: Delay before a cache event is published.
      ignore_fencing: Orders with an old fencing token are accepted.
      rate_limit: Rate limit that the endpoint names in its answers, in requests
        a second; empty for none.
      cancel: Fault in the handling of cancellations.
      cancel_delay_s: Delay of a cancellation with `CancelFault.LATE`.
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
    rate_limit: str = ""
    cancel: CancelFault = CancelFault.NONE
    cancel_delay_s: float = 0.0


NO_FAULTS = Faults()

_FAULTS_ADAPTER = pydantic.TypeAdapter(Faults)
_FIELD_NAMES = frozenset(field.name for field in dataclasses.fields(Faults))


class FaultInjector:
    """Holds the faults in force and counts the requests they affect.

    Attributes:
      current: The faults in force.
    """

    def __init__(self) -> None:
        self.current = NO_FAULTS
        self._remaining_requests = 0

    def set(self, fields: Any) -> None:
        """Replaces the faults in force.

        Args:
          fields: JSON object with fields of `Faults`; an empty one ends all
            faults.

        Raises:
          FaultsError: The fields aren't valid fields of `Faults`.
        """
        if not isinstance(fields, dict) or not fields.keys() <= _FIELD_NAMES:
            raise FaultsError(f"not a misbehaviour: {fields!r}")
        try:
            self.current = _FAULTS_ADAPTER.validate_python(fields)
        except pydantic.ValidationError as error:
            raise FaultsError(str(error)) from error
        self._remaining_requests = self.current.times

    def take(self) -> Faults:
        """Returns the faults for one request and counts the request."""
        faults = self.current
        if faults.times:
            self._remaining_requests -= 1
            if self._remaining_requests == 0:
                self.current = NO_FAULTS
        return faults
