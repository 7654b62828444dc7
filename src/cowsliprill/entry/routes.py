"""HTTP routes of the entry process and the filter chain of each."""

import dataclasses

from tornado import web

from cowsliprill import peer_auth
from cowsliprill import peers
from cowsliprill.decisions import tickets
from cowsliprill.engines import protocol
from cowsliprill.entry import context
from cowsliprill.entry import gate as gate_lib
from cowsliprill.entry import handlers
from cowsliprill.entry import local_responses
from cowsliprill.entry import model_relay
from cowsliprill.entry import plain_relay
from cowsliprill.entry.filters import admission
from cowsliprill.entry.filters import call_validation
from cowsliprill.entry.filters import caller_deadlines
from cowsliprill.entry.filters import failover
from cowsliprill.entry.filters import fingerprint
from cowsliprill.entry.filters import idempotency
from cowsliprill.entry.filters import identify
from cowsliprill.entry.filters import model_placement
from cowsliprill.entry.filters import plain_placement
from cowsliprill.entry.filters import priority_and_deadline
from cowsliprill.entry.filters import prompt_parts
from cowsliprill.entry.filters import quota
from cowsliprill.entry.filters import relayed_limits
from cowsliprill.entry.filters import report
from cowsliprill.entry.filters import resolve
from cowsliprill.entry.filters import route

MODELS_PATH = "/v1/models"
TICKETS_PATH = "/v1/tickets"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Components:
    """Filters that hold state, and the final handlers of the chains.

    Attributes:
      report: Writes log line and metrics when a request ends; sends errors.
      relayed_report: The same for requests that a peer relays.
      route: Selects the service of a request by host and path.
      identify_by_route: Identifies the customer of a request with a route.
      fingerprint: Computes the fingerprint of each request.
      prompt_parts: Computes digests of the parts of each prompt.
      quota: Enforces the customers' quotas.
      idempotency: Executes each idempotency key at most once.
      admission: Limits the number of concurrent requests.
      failover: Has peers serve requests while endpoints can't be reached.
      model_placement: Chooses engines for model requests and retries them.
      plain_placement: Chooses endpoints of plain services and retries.
      model_relay: Runs one attempt of a model request at its engines.
      plain_relay: Sends a request to a plain service.
      ticket_store: Ticket store of this incarnation.
    """

    report: report.Report
    relayed_report: report.Report
    route: route.Route
    identify_by_route: identify.IdentifyByRoute
    fingerprint: fingerprint.Fingerprint
    prompt_parts: prompt_parts.PromptParts
    quota: quota.Quota
    idempotency: idempotency.Idempotency
    admission: admission.Admission
    failover: failover.Failover
    model_placement: model_placement.ModelPlacement
    plain_placement: plain_placement.PlainPlacement
    model_relay: model_relay.ModelRelay
    plain_relay: plain_relay.PlainRelay
    ticket_store: tickets.TicketStore


def generation_chain(components: Components) -> context.Handler:
    """Returns the filter chain for model requests."""
    return context.chain(
        [
            components.report,
            call_validation.CallValidation(("POST",)),
            identify.identify,
            components.fingerprint,
            resolve.resolve_generation,
            components.prompt_parts,
            priority_and_deadline.set_priority_and_deadline,
            components.idempotency,
            components.admission,
            components.failover,
            components.model_placement,
        ],
        components.model_relay,
    )


def plain_chain(components: Components) -> context.Handler:
    """Returns the filter chain for requests to plain services."""
    return context.chain(
        [
            components.report,
            call_validation.CallValidation(),
            identify.identify,
            components.fingerprint,
            resolve.resolve_plain,
            priority_and_deadline.set_priority_and_deadline,
            components.idempotency,
            components.admission,
            components.failover,
            components.plain_placement,
        ],
        components.plain_relay,
    )


def _authenticated_chain(
    components: Components, method: str, final_handler: context.Handler
) -> context.Handler:
    return context.chain(
        [
            components.report,
            call_validation.CallValidation((method,)),
            identify.identify,
        ],
        final_handler,
    )


def _ticket_chain(
    gate: gate_lib.Gate, components: Components
) -> context.Handler:
    issue = local_responses.IssueTicket(
        components.ticket_store, gate, components.idempotency.forwarder
    )
    return _authenticated_chain(components, "POST", issue)


def public_application(
    gate: gate_lib.Gate, components: Components
) -> web.Application:
    """Returns the HTTP application of the public port."""
    generate = generation_chain(components)
    chains_by_pattern = {
        protocol.COMPLETIONS_PATH: generate,
        protocol.CHAT_PATH: generate,
        resolve.SERVICES_PATH + ".*": plain_chain(components),
        MODELS_PATH: _authenticated_chain(
            components, "GET", local_responses.list_models
        ),
        TICKETS_PATH: _ticket_chain(gate, components),
        "/.*": context.chain(
            [components.report], local_responses.raise_path_not_found
        ),
    }
    return web.Application(
        [
            (pattern, handlers.CallHandler, {"gate": gate, "handle": handle})
            for pattern, handle in chains_by_pattern.items()
        ],
        log_function=_suppress_access_log,
    )


def routed_application(
    gate: gate_lib.Gate, components: Components, parse_call: context.Filter
) -> web.Application:
    """Returns the HTTP application that selects services by host and path.

    Args:
      gate: Request gate of the process.
      components: Filters that hold state, and the final handlers of the chains.
      parse_call: Filter that parses a request once its service is known.
    """
    handle = context.chain(
        [
            components.report,
            call_validation.CallValidation(),
            components.route,
            components.identify_by_route,
            components.fingerprint,
            parse_call,
            components.prompt_parts,
            caller_deadlines.CallerDeadlines(),
            components.quota,
            components.admission,
        ],
        _by_kind(components),
    )
    handler_arguments = {"gate": gate, "handle": handle}
    return web.Application(
        [(".*", handlers.CallHandler, handler_arguments)],
        log_function=_suppress_access_log,
    )


def _by_kind(components: Components) -> context.Handler:
    return route.ServiceKindDispatcher(
        generate=context.chain(
            [components.failover, components.model_placement],
            components.model_relay,
        ),
        plain=context.chain(
            [components.failover, components.plain_placement],
            components.plain_relay,
        ),
    )


def relayed_routed_chain(
    components: Components, parse_call: context.Filter
) -> context.Handler:
    """Returns the chain for relayed requests to services by host and path.

    Args:
      components: Filters that hold state, and the final handlers of the chains.
      parse_call: Filter that parses a request once its service is known.
    """
    return context.chain(
        [
            components.relayed_report,
            call_validation.CallValidation(),
            components.route,
            components.identify_by_route,
            components.fingerprint,
            parse_call,
            components.prompt_parts,
            relayed_limits.RelayedLimits(),
            components.admission,
        ],
        _by_kind(components),
    )


def relayed_public_chain(components: Components) -> context.Handler:
    """Returns the chain for relayed requests of the public API."""

    def relayed_chain(
        resolve_service: context.Filter, handle: context.Handler
    ) -> context.Handler:
        return context.chain(
            [
                identify.identify,
                components.fingerprint,
                resolve_service,
                components.prompt_parts,
                priority_and_deadline.set_priority_and_deadline,
                relayed_limits.RelayedLimits(),
                components.admission,
            ],
            handle,
        )

    by_kind = _by_kind(components)
    generate = relayed_chain(resolve.resolve_generation, by_kind)
    plain = relayed_chain(resolve.resolve_plain, by_kind)

    async def by_path(ctx: context.Context) -> None:
        is_plain = ctx.call.path.startswith(resolve.SERVICES_PATH)
        await (plain if is_plain else generate)(ctx)

    return context.chain(
        [components.relayed_report, call_validation.CallValidation()], by_path
    )


def relay_routes(
    gate: gate_lib.Gate, handle: context.Handler, auth: peer_auth.PeerAuth
) -> list[tuple]:
    """Returns the tornado routes for requests that peers relay.

    Args:
      gate: Request gate of the process.
      handle: Filter chain of relayed requests.
      auth: Verifies the signatures of peers.
    """
    arguments = {"gate": gate, "handle": handle, "auth": auth}
    return [
        (path, handlers.RelayHandler, arguments)
        for path in (peers.RELAY_PATH, peers.RELAY_STREAM_PATH)
    ]


def peer_routes(
    gate: gate_lib.Gate, components: Components, auth: peer_auth.PeerAuth
) -> list[tuple]:
    """Returns the tornado routes of the peer port."""
    generate = generation_chain(components)
    handles_by_prefix = [
        (protocol.COMPLETIONS_PATH, generate),
        (protocol.CHAT_PATH, generate),
        (resolve.SERVICES_PATH, plain_chain(components)),
        (TICKETS_PATH, _ticket_chain(gate, components)),
    ]
    incarnation = {"incarnation": gate.incarnation}
    forward_arguments = {
        "gate": gate,
        "handles_by_prefix": handles_by_prefix,
        "auth": auth,
    }
    return [
        (peers.INCARNATION_PATH, handlers.IncarnationHandler, incarnation),
        (peers.FORWARD_PATH, handlers.ForwardHandler, forward_arguments),
    ]


def _suppress_access_log(handler: web.RequestHandler) -> None:
    # Replaces tornado's access log: the report filter writes one line for each
    # request, with its id and outcome.
    del handler
