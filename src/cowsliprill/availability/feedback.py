"""Passes on what endpoints say about themselves, and acts on it."""

from cowsliprill.availability import ledger as ledger_lib
from cowsliprill.decisions import endpoint_answers
from cowsliprill.decisions import model
from cowsliprill.engines import errors
from cowsliprill.rate_limiting import ledger as rate_limit_ledger

_TEXT_BY_REASON = {
    ledger_lib.Reason.LEAVING: "the endpoint is leaving",
    ledger_lib.Reason.PAUSED: "the endpoint wants no requests for a while",
}


class Feedback:
    """Implements `engines.endpoint_feedback.EndpointFeedback`.

    Args:
      rate_limits: Rate limits that endpoints name.
      availability: Endpoints that leave or want a pause.
      enabled: Whether such endpoints get no requests, rather than only being
        logged.
    """

    def __init__(
        self,
        rate_limits: rate_limit_ledger.RateLimitLedger,
        availability: ledger_lib.AvailabilityLedger,
        *,
        enabled: bool,
    ) -> None:
        self._rate_limits = rate_limits
        self._availability = availability
        self._enabled = enabled

    def check(self, endpoint: model.Endpoint) -> None:
        """Checks that an endpoint takes requests."""
        reason = self._availability.reason(endpoint)
        if not self._enabled or reason is None:
            return
        self._availability.record_withheld(endpoint, reason)
        raise errors.EndpointUnavailable(_TEXT_BY_REASON[reason])

    def before_send(self, endpoint: model.Endpoint) -> None:
        """Checks an endpoint once more, and records that it gets a request."""
        self.check(endpoint)
        self._availability.record_sent(endpoint)

    def pause_left_s(self, endpoint: model.Endpoint) -> float:
        """Returns for how long an endpoint wants nothing, in seconds."""
        if not self._enabled:
            return 0.0
        return self._availability.pause_left_s(endpoint)

    def observe(self, answer: endpoint_answers.Answer) -> None:
        """Applies what an endpoint's answer says about the endpoint."""
        self._rate_limits.observe(answer)
        self._availability.observe(answer)
