"""Implements `entry.dialect.Dialect` with the platform's protocol."""

from tornado import web

from cowsliprill.entry import context
from cowsliprill.entry import dialect
from cowsliprill.entry import errors
from cowsliprill.entry import gate as gate_lib
from cowsliprill.entry import routes
from cowsliprill.entry.filters import combined_priority
from cowsliprill.platform import callers
from cowsliprill.platform import engines


class PlatformDialect:
    """Protocol adapter for callers, engines and plain services.

    Args:
      dependencies: HTTP client and log of the process.

    Attributes:
      engines: Client for engines.
      services: Client for plain services.
      resumer: None, as engines abort a request when its connection is lost.
    """

    resumer = None

    def __init__(self, dependencies: dialect.Dependencies) -> None:
        self.engines = engines.EngineClient(
            dependencies.http,
            dependencies.log,
            dependencies.feedback,
            sends_priority=dependencies.overload_control,
        )
        self.services = engines.ServiceClient(
            dependencies.http, dependencies.feedback
        )
        self._parse_call: context.Filter = callers.parse_call
        if dependencies.overload_control:
            self._parse_call = combined_priority.after(callers.parse_call)

    def application(
        self, gate: gate_lib.Gate, components: routes.Components
    ) -> web.Application:
        """Returns the web application that serves callers."""
        return routes.routed_application(gate, components, self._parse_call)

    def relayed_chain(self, components: routes.Components) -> context.Handler:
        """Returns the filter chain for requests that peers relay."""
        return routes.relayed_routed_chain(components, self._parse_call)

    def error_response(self, error: errors.EntryError) -> errors.ErrorResponse:
        """Returns the response to a caller for an error."""
        return callers.error_response(error)

    def error_event(self, error: errors.EntryError) -> bytes:
        """Returns no bytes; clients detect a broken stream by truncation."""
        del error
        return b""
