"""Interface for the filters that choose among endpoints."""

from typing import Protocol

from cowsliprill.decisions import model


class EndpointAvailability(Protocol):
    """Tells which endpoints want no requests from this VM for a while."""

    def paused_until(self, endpoint: model.Endpoint) -> float:
        """Returns when an endpoint may get a request, 0 if it may now.

        While a probe after a pause is unanswered, that is when another is sent.
        """

    def pause_left_s(self, endpoint: model.Endpoint) -> float:
        """Returns for how long an endpoint wants nothing, in seconds."""

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits until an endpoint's state changes, for a time at most."""


class AlwaysAvailable:
    """Takes no endpoint as paused."""

    def paused_until(self, endpoint: model.Endpoint) -> float:
        """Returns 0."""
        del endpoint
        return 0.0

    def pause_left_s(self, endpoint: model.Endpoint) -> float:
        """Returns 0."""
        del endpoint
        return 0.0

    async def wait_for_change(self, timeout_s: float) -> None:
        """Returns at once."""
        del timeout_s
