"""Which filters each path passes."""

import dataclasses

from tornado import web

from cowsliprill import peer_auth
from cowsliprill import peers
from cowsliprill.decisions import tickets
from cowsliprill.engines import protocol
from cowsliprill.entry import answers
from cowsliprill.entry import context
from cowsliprill.entry import gate as gate_lib
from cowsliprill.entry import handlers
from cowsliprill.entry import model_relay
from cowsliprill.entry import plain_relay
from cowsliprill.entry.filters import accept
from cowsliprill.entry.filters import admission
from cowsliprill.entry.filters import arrival
from cowsliprill.entry.filters import idempotency
from cowsliprill.entry.filters import identify
from cowsliprill.entry.filters import model_placement
from cowsliprill.entry.filters import plain_placement
from cowsliprill.entry.filters import quota
from cowsliprill.entry.filters import report
from cowsliprill.entry.filters import resolve
from cowsliprill.entry.filters import route
from cowsliprill.entry.filters import urgency

MODELS_PATH = "/v1/models"
TICKETS_PATH = "/v1/tickets"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Parts:
    """The filters that hold state, and the ends of the chains.

    Attributes:
      report: Reports each request's end.
      route: Finds the services of calls that name none.
      identify_by_route: Finds the customers of calls that name a route.
      quota: Refuses what goes beyond a customer's quota.
      idempotency: Lets each key run once.
      admission: Bounds the requests at once.
      model_placement: Places model requests.
      plain_placement: Places plain calls.
      model_relay: Runs attempts at model requests.
      plain_relay: Makes plain calls.
      ticket_store: Tickets of this incarnation.
    """

    report: report.Report
    route: route.Route
    identify_by_route: identify.IdentifyByRoute
    quota: quota.Quota
    idempotency: idempotency.Idempotency
    admission: admission.Admission
    model_placement: model_placement.ModelPlacement
    plain_placement: plain_placement.PlainPlacement
    model_relay: model_relay.ModelRelay
    plain_relay: plain_relay.PlainRelay
    ticket_store: tickets.TicketStore


def generation(parts: Parts) -> context.Handle:
    """Returns the chain of model requests."""
    return context.chain(
        [
            parts.report,
            accept.Accept(("POST",)),
            identify.identify,
            resolve.resolve_generation,
            urgency.urgency,
            parts.idempotency,
            parts.admission,
            parts.model_placement,
        ],
        parts.model_relay,
    )


def plain(parts: Parts) -> context.Handle:
    """Returns the chain of plain calls."""
    return context.chain(
        [
            parts.report,
            accept.Accept(),
            identify.identify,
            resolve.resolve_plain,
            urgency.urgency,
            parts.idempotency,
            parts.admission,
            parts.plain_placement,
        ],
        parts.plain_relay,
    )


def _own(parts: Parts, method: str, last: context.Handle) -> context.Handle:
    return context.chain(
        [parts.report, accept.Accept((method,)), identify.identify], last
    )


def _tickets(gate: gate_lib.Gate, parts: Parts) -> context.Handle:
    issue = answers.IssueTicket(
        parts.ticket_store, gate, parts.idempotency.forwarder
    )
    return _own(parts, "POST", issue)


def public_application(gate: gate_lib.Gate, parts: Parts) -> web.Application:
    """Returns what callers reach."""
    generate = generation(parts)
    chains_by_pattern = {
        protocol.COMPLETIONS_PATH: generate,
        protocol.CHAT_PATH: generate,
        resolve.SERVICES_PATH + ".*": plain(parts),
        MODELS_PATH: _own(parts, "GET", answers.list_models),
        TICKETS_PATH: _tickets(gate, parts),
        "/.*": context.chain([parts.report], answers.refuse_path),
    }
    return web.Application(
        [
            (pattern, handlers.CallHandler, {"gate": gate, "handle": handle})
            for pattern, handle in chains_by_pattern.items()
        ],
        log_function=_log_nothing,
    )


def routed_application(
    gate: gate_lib.Gate, parts: Parts, read_call: context.Filter
) -> web.Application:
    """Returns what callers reach who name a host and a path.

    Args:
      gate: Where calls enter.
      parts: The filters that hold state, and the ends of the chains.
      read_call: Reads a call's headers once its service is known.
    """
    by_kind = route.ByKind(
        generate=context.chain([parts.model_placement], parts.model_relay),
        plain=context.chain([parts.plain_placement], parts.plain_relay),
    )
    handle = context.chain(
        [
            parts.report,
            accept.Accept(),
            parts.route,
            parts.identify_by_route,
            read_call,
            arrival.Arrival(),
            parts.quota,
            parts.admission,
        ],
        by_kind,
    )
    own = {"gate": gate, "handle": handle}
    return web.Application(
        [(".*", handlers.CallHandler, own)], log_function=_log_nothing
    )


def peer_routes(
    gate: gate_lib.Gate, parts: Parts, auth: peer_auth.PeerAuth
) -> list[tuple]:
    """Returns what peers reach."""
    generate = generation(parts)
    handles_by_prefix = [
        (protocol.COMPLETIONS_PATH, generate),
        (protocol.CHAT_PATH, generate),
        (resolve.SERVICES_PATH, plain(parts)),
        (TICKETS_PATH, _tickets(gate, parts)),
    ]
    incarnation = {"incarnation": gate.incarnation}
    forward = {
        "gate": gate,
        "handles_by_prefix": handles_by_prefix,
        "auth": auth,
    }
    return [
        (peers.INCARNATION_PATH, handlers.IncarnationHandler, incarnation),
        (peers.FORWARD_PATH, handlers.ForwardHandler, forward),
    ]


def _log_nothing(handler: web.RequestHandler) -> None:
    # The report filter writes one line a request, with its id and outcome.
    del handler
