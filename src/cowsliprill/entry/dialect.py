"""Interface of a dialect: the wire protocols of one kind of deployment.

A dialect defines the protocols spoken with callers, engines and plain services.
Filters, scheduler and relays are independent of it: they work on a
`context.Context` and on the interfaces of `calls`. `native` implements the
project's own API and engine protocol; `platform` translates to another one.
"""

import dataclasses
from typing import Protocol

from tornado import web

from cowsliprill.decisions import identity
from cowsliprill.decisions import retry_budget
from cowsliprill.engines import endpoint_feedback
from cowsliprill.engines import http_client
from cowsliprill.entry import calls
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import gate as gate_lib
from cowsliprill.entry import routes
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dependencies:
    """Dependencies that the entry process provides to a dialect.

    Attributes:
      incarnation: Identity of this process since its start.
      http: HTTP client for endpoints.
      budgets: Retry budgets of the services.
      metrics: Metrics of the process.
      log: Log of the process.
      feedback: Receives what each answer of an endpoint says about it.
      overload_control: Whether engines are to serve requests by priority.
    """

    incarnation: identity.Incarnation
    http: http_client.HttpClient
    budgets: retry_budget.RetryBudgets
    metrics: metrics_lib.Metrics
    log: log_lib.Log
    feedback: endpoint_feedback.EndpointFeedback
    overload_control: bool = False


class Dialect(errors.ErrorFormatter, Protocol):
    """One dialect: error format, clients of endpoints and public HTTP API.

    Attributes:
      engines: Client of prefill and decode engines.
      services: Client of plain services.
      resumer: Resumes broken streams at the engine that still runs them; None
        where engines drop a request when its connection is lost.
    """

    engines: calls.EngineCalls
    services: calls.PlainCalls
    resumer: calls.StreamResumer | None

    def application(
        self, gate: gate_lib.Gate, components: routes.Components
    ) -> web.Application:
        """Returns the HTTP application of the public port."""

    def relayed_chain(self, components: routes.Components) -> context.Handler:
        """Returns the filter chain for requests that peers relay."""
