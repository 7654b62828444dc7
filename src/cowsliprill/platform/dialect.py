"""The platform's way of speaking as a `dialect.Dialect`."""

from tornado import web

from cowsliprill.entry import dialect
from cowsliprill.entry import errors
from cowsliprill.entry import gate as gate_lib
from cowsliprill.entry import routes
from cowsliprill.platform import callers
from cowsliprill.platform import engines


class PlatformDialect:
    """Speaks the platform's protocol to callers, engines and services.

    Args:
      dependencies: What the process has.

    Attributes:
      engines: Calls to engines.
      services: Calls to plain services.
      resumer: None; engines drop what they have lost the connection of.
    """

    resumer = None

    def __init__(self, dependencies: dialect.Dependencies) -> None:
        self.engines = engines.Engines(dependencies.http, dependencies.log)
        self.services = engines.Services(dependencies.http)

    def application(
        self, gate: gate_lib.Gate, components: routes.Components
    ) -> web.Application:
        """Returns what callers reach."""
        return routes.routed_application(gate, components, callers.parse_call)

    def error_response(self, error: errors.EntryError) -> errors.ErrorResponse:
        """Returns what a caller gets for an error."""
        return callers.error_response(error)

    def error_event(self, error: errors.EntryError) -> bytes:
        """Returns nothing: a cut alone tells clients that a stream broke."""
        del error
        return b""
