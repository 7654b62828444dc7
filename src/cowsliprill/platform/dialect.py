"""Implements `entry.dialect.Dialect` with the platform's protocol."""

from tornado import web

from cowsliprill.entry import dialect
from cowsliprill.entry import errors
from cowsliprill.entry import gate as gate_lib
from cowsliprill.entry import routes
from cowsliprill.platform import callers
from cowsliprill.platform import engines


class PlatformDialect:
    """Protocol adapter for callers, engines and plain services.

    Args:
      tools: HTTP client and log of the process.

    Attributes:
      engines: Client for engines.
      services: Client for plain services.
      resumer: None, as engines abort a request when its connection is lost.
    """

    resumer = None

    def __init__(self, tools: dialect.Tools) -> None:
        self.engines = engines.EngineClient(tools.http, tools.log)
        self.services = engines.ServiceClient(tools.http)

    def application(
        self, gate: gate_lib.Gate, parts: routes.Parts
    ) -> web.Application:
        """Returns the web application that serves callers."""
        return routes.routed_application(gate, parts, callers.read_call)

    def error_answer(self, error: errors.EntryError) -> errors.ErrorAnswer:
        """Returns the response to a caller for an error."""
        return callers.error_answer(error)

    def error_event(self, error: errors.EntryError) -> bytes:
        """Returns no bytes; clients detect a broken stream by truncation."""
        del error
        return b""
