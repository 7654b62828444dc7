"""Interface through which calls learn and tell what endpoints want."""

from typing import Protocol

from cowsliprill.decisions import endpoint_answers
from cowsliprill.decisions import model


class EndpointFeedback(Protocol):
    """Receives what endpoints say about themselves in their answers."""

    def check(self, endpoint: model.Endpoint) -> None:
        """Checks that an endpoint takes requests.

        Raises:
          errors.EndpointUnavailable: The endpoint wants none.
        """

    def before_send(self, endpoint: model.Endpoint) -> None:
        """Checks an endpoint once more, and records that it gets a request.

        Called right before a request is written, without a wait in between.

        Raises:
          errors.EndpointUnavailable: The endpoint wants none.
        """

    def pause_left_s(self, endpoint: model.Endpoint) -> float:
        """Returns for how long an endpoint wants nothing, in seconds."""

    def observe(self, answer: endpoint_answers.Answer) -> None:
        """Applies what an endpoint's answer says about the endpoint."""


class NoFeedback:
    """Ignores what endpoints say about themselves."""

    def check(self, endpoint: model.Endpoint) -> None:
        """Does nothing."""
        del endpoint

    def before_send(self, endpoint: model.Endpoint) -> None:
        """Does nothing."""
        del endpoint

    def observe(self, answer: endpoint_answers.Answer) -> None:
        """Does nothing."""
        del answer

    def pause_left_s(self, endpoint: model.Endpoint) -> float:
        """Returns 0."""
        del endpoint
        return 0.0
