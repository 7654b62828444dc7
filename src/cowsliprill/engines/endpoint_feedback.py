"""Interface through which calls learn and tell what endpoints want."""

from typing import Protocol

from cowsliprill.decisions import endpoint_answers
from cowsliprill.decisions import model


class EndpointFeedback(Protocol):
    """Receives what endpoints say about themselves in their answers."""

    def record_sent(self, endpoint: model.Endpoint) -> None:
        """Records that a request is sent to an endpoint now."""

    def observe(self, answer: endpoint_answers.Answer) -> None:
        """Applies what an endpoint's answer says about the endpoint."""


class NoFeedback:
    """Ignores what endpoints say about themselves."""

    def record_sent(self, endpoint: model.Endpoint) -> None:
        """Does nothing."""
        del endpoint

    def observe(self, answer: endpoint_answers.Answer) -> None:
        """Does nothing."""
        del answer
