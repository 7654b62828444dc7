"""How callers, engines and plain services speak: one pipeline, two dialects.

Filters, scheduler and relays work on a `context.Context` and on `calls`.
`native` is the product's own interface and engine protocol; another dialect
translates the same calls to and from another wire.
"""

import dataclasses
from typing import Protocol

from tornado import web

from cowsliprill.decisions import identity
from cowsliprill.decisions import retry_budget
from cowsliprill.engines import http_client
from cowsliprill.entry import calls
from cowsliprill.entry import errors
from cowsliprill.entry import gate as gate_lib
from cowsliprill.entry import routes
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tools:
    """What a process has for its dialect.

    Attributes:
      incarnation: This process.
      http: HTTP client for endpoints.
      budgets: Budgets of retries.
      metrics: The process's metrics.
      log: The process's log.
    """

    incarnation: identity.Incarnation
    http: http_client.HttpClient
    budgets: retry_budget.RetryBudgets
    metrics: metrics_lib.Metrics
    log: log_lib.Log


class Dialect(errors.ErrorAnswers, Protocol):
    """All that one dialect brings.

    Attributes:
      engines: Calls to engines.
      services: Calls to plain services.
      resumer: Goes on with broken streams at the engine that holds them, None
        where engines drop what they have lost the connection of.
    """

    engines: calls.EngineCalls
    services: calls.PlainCalls
    resumer: calls.Resumer | None

    def application(
        self, gate: gate_lib.Gate, parts: routes.Parts
    ) -> web.Application:
        """Returns what callers reach."""
