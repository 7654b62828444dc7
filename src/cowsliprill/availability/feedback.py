"""Passes on what endpoints say about themselves in their answers."""

from cowsliprill.availability import ledger as ledger_lib
from cowsliprill.decisions import endpoint_answers
from cowsliprill.decisions import model
from cowsliprill.rate_limiting import ledger as rate_limit_ledger


class Feedback:
    """Implements `engines.endpoint_feedback.EndpointFeedback`.

    Args:
      rate_limits: Rate limits that endpoints name.
      availability: Endpoints that leave or want a pause.
    """

    def __init__(
        self,
        rate_limits: rate_limit_ledger.RateLimitLedger,
        availability: ledger_lib.AvailabilityLedger,
    ) -> None:
        self._rate_limits = rate_limits
        self._availability = availability

    def record_sent(self, endpoint: model.Endpoint) -> None:
        """Records that a request is sent to an endpoint now."""
        self._availability.record_sent(endpoint)

    def observe(self, answer: endpoint_answers.Answer) -> None:
        """Applies what an endpoint's answer says about the endpoint."""
        self._rate_limits.observe(answer)
        self._availability.observe(answer)
