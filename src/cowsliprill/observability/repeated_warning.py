"""Warnings about endpoints that may occur with every answer."""

from cowsliprill import clock
from cowsliprill.observability import log as log_lib

# Minimum time between two log lines of a warning, about any endpoints.
_INTERVAL_S = 10.0


class RepeatedWarning:
    """Logs a warning at most once per interval, with a count of the others.

    Args:
      log: Log of the process.
      event: Name of the event.
    """

    def __init__(self, log: log_lib.Log, event: str) -> None:
        self._log = log
        self._event = event
        self._logged_at = -_INTERVAL_S
        self._answers = 0

    def report(self, endpoint_id: str, reason: str) -> None:
        """Counts an occurrence, and logs it unless another was just logged.

        Args:
          endpoint_id: Id of the endpoint that answered.
          reason: What is wrong with its answer.
        """
        self._answers += 1
        now = clock.now()
        if now - self._logged_at < _INTERVAL_S:
            return
        self._log.warning(
            self._event,
            endpoint=endpoint_id,
            reason=reason,
            answers=self._answers,
        )
        self._logged_at = now
        self._answers = 0
