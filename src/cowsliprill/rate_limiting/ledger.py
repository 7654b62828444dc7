"""The rate limits known to this process, with log, metrics and subscribers."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from cowsliprill import clock
from cowsliprill.decisions import endpoint_answers
from cowsliprill.decisions import model
from cowsliprill.decisions import rate_limits
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.observability import repeated_warning

_Limits = Sequence[rate_limits.RateLimit]


class RateLimitLedger:
    """Changes the table of rate limits and reports each change.

    Args:
      log: Log of the process.
      metrics: Metrics of the process.

    Attributes:
      table: The rate limits, to read.
    """

    def __init__(self, log: log_lib.Log, metrics: metrics_lib.Metrics) -> None:
        self.table = rate_limits.RateLimitTable()
        self._log = log
        self._metrics = metrics
        self._callbacks: list[Callable[[_Limits], None]] = []
        self._invalid = repeated_warning.RepeatedWarning(
            log, "endpoint_rate_limit_invalid"
        )

    def subscribe(self, callback: Callable[[_Limits], None]) -> None:
        """Registers a callback that gets the records of each change."""
        self._callbacks.append(callback)

    def observe(self, answer: endpoint_answers.Answer) -> None:
        """Applies what an answer says about its endpoint's rate limit."""
        if answer.limit_text is None:
            if answer.conclusive:
                self._apply(answer, None)
            return
        try:
            per_s = rate_limits.parse(answer.limit_text)
        except rate_limits.InvalidRateLimitError as error:
            self._invalid.report(answer.endpoint.id, error.message)
            return
        self._apply(answer, per_s)

    def merge(self, limits: Iterable[rate_limits.RateLimit]) -> None:
        """Adds records of other processes."""
        changed = []
        now = clock.now()
        for limit in limits:
            previous = self.table.get_by_key(limit.key)
            if self.table.merge(limit, now) is not None:
                self._report(limit, previous, source="peer")
                changed.append(limit)
        self._notify(changed)

    def expire(self, snapshot: model.Snapshot) -> None:
        """Drops records that no longer tell anything.

        Args:
          snapshot: Settings in force.
        """
        expired = self.table.expire(snapshot.endpoints_by_id, clock.now())
        for limit in expired:
            self._log.event(
                "endpoint_rate_limit_dropped", endpoint=limit.endpoint_id
            )
            self._set_gauge(limit.endpoint_id, 0.0)
        if expired:
            self._notify([])

    def _apply(
        self, answer: endpoint_answers.Answer, per_s: float | None
    ) -> None:
        previous = self.table.get(answer.endpoint)
        changed = self.table.observe(
            answer.endpoint, per_s, answer.sent_at, clock.now()
        )
        if changed is not None:
            self._report(changed, previous, source="answer")
            self._notify([changed])

    def _report(
        self,
        limit: rate_limits.RateLimit,
        previous: rate_limits.RateLimit | None,
        source: str,
    ) -> None:
        was_active = previous is not None and previous.active
        if not limit.active:
            event = "endpoint_rate_limit_ended"
        elif was_active:
            event = "endpoint_rate_limit_changed"
        else:
            event = "endpoint_rate_limit_named"
        self._log.event(
            event,
            endpoint=limit.endpoint_id,
            per_s=limit.per_s,
            previous_per_s=previous.per_s if was_active else "",
            version=limit.version,
            source=source,
        )
        # The gauge is 0 without a limit: a limit of 0 is applied as a higher
        # one, see `rate_limits.MIN_RATE_PER_S`.
        rate_per_s = limit.rate_per_s(clock.now()) if limit.active else 0.0
        self._set_gauge(limit.endpoint_id, rate_per_s)

    def _set_gauge(self, endpoint_id: str, per_s: float) -> None:
        self._metrics.endpoint_rate_limit.set({"endpoint": endpoint_id}, per_s)

    def _notify(self, changed: _Limits) -> None:
        for callback in self._callbacks:
            callback(changed)
