"""Which service is called, and whether the request is within its limits."""

from typing import Any

from cowsliprill.decisions import model
from cowsliprill.engines import prefix
from cowsliprill.engines import protocol
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import schema

SERVICES_PATH = "/services/"

# Hashes of 256 blocks of 16 tokens. More would seldom change the choice of an
# engine, and those of a long prompt would take more memory than the prompt.
_HASHED_CHARACTERS = 16_384

_KIND_BY_PATH: dict[str, type[schema.GenerationRequest]] = {
    protocol.COMPLETIONS_PATH: schema.CompletionRequest,
    protocol.CHAT_PATH: schema.ChatRequest,
}


def services_of(
    customer: model.Customer, snapshot: model.Snapshot
) -> dict[str, model.Service]:
    """Lists the services that a customer may call, its own before its parents'.

    Args:
      customer: The customer.
      snapshot: The settings.

    Returns:
      Services by name.
    """
    lineage = _lineage(customer, snapshot)
    services_by_name: dict[str, model.Service] = {}
    for service in snapshot.services_by_id.values():
        if service.customer not in lineage:
            continue
        other = services_by_name.get(service.name)
        nearest = other is None or (
            lineage.index(service.customer) < lineage.index(other.customer)
        )
        if nearest:
            services_by_name[service.name] = service
    return services_by_name


def find_service(
    name: str, customer: model.Customer, snapshot: model.Snapshot
) -> model.Service:
    """Finds a service by the name that a customer calls it by.

    Args:
      name: The name.
      customer: The calling customer.
      snapshot: The settings.

    Returns:
      The service.

    Raises:
      errors.EntryError: The customer has no service of this name. Another
        customer's service gives the same 404 as none at all: a 403 would tell
        a rival firm which services exist.
    """
    for owner in _lineage(customer, snapshot):
        service = snapshot.services_by_id.get(f"{owner}/{name}")
        if service is not None:
            return service
    raise errors.EntryError(
        errors.Code.SERVICE_NOT_FOUND, f"There is no service {name!r} for you."
    )


async def resolve_generation(
    ctx: context.Context, proceed: context.Handler
) -> None:
    """Checks a model request and finds its service."""
    fields = schema.parse_json(ctx.call.body)
    request = schema.validate(_KIND_BY_PATH[ctx.call.path], fields)
    service = find_service(request.model, ctx.customer, ctx.snapshot)
    if service.kind is not model.ServiceKind.MODEL:
        raise errors.EntryError(
            errors.Code.SERVICE_NOT_FOUND,
            f"{service.name!r} is called at {SERVICES_PATH}{service.name}/.",
        )
    _check_body(ctx.call.body, service)
    ctx.service = service
    ctx.generation = _generation(ctx, request, fields, service)
    await proceed(ctx)


async def resolve_plain(ctx: context.Context, proceed: context.Handler) -> None:
    """Finds the service of a plain call."""
    name, slash, rest = ctx.call.path[len(SERVICES_PATH) :].partition("/")
    service = find_service(name, ctx.customer, ctx.snapshot)
    if service.kind is not model.ServiceKind.PLAIN:
        raise errors.EntryError(
            errors.Code.SERVICE_NOT_FOUND,
            f"{name!r} is called at {protocol.COMPLETIONS_PATH}.",
        )
    if ctx.call.method not in service.methods:
        raise errors.EntryError(
            errors.Code.METHOD_NOT_ALLOWED,
            f"{name!r} takes {', '.join(service.methods)}.",
        )
    _check_body(ctx.call.body, service)
    ctx.service = service
    query = f"?{ctx.call.query}" if ctx.call.query else ""
    ctx.service_path = f"{slash or '/'}{rest}{query}"
    await proceed(ctx)


def _lineage(customer: model.Customer, snapshot: model.Snapshot) -> list[str]:
    lineage = [customer.id]
    parent = customer.parent
    while parent and parent not in lineage:
        lineage.append(parent)
        above = snapshot.customers_by_id.get(parent)
        parent = above.parent if above else ""
    return lineage


def _check_body(body: bytes, service: model.Service) -> None:
    if len(body) > service.max_body_bytes:
        raise errors.EntryError(
            errors.Code.BODY_TOO_LARGE,
            f"The body has over {service.max_body_bytes} bytes.",
        )


def _generation(
    ctx: context.Context,
    request: schema.GenerationRequest,
    fields: dict[str, Any],
    service: model.Service,
) -> context.Generation:
    text = prefix.prompt_text(fields)
    prompt_tokens = prefix.count_tokens(text)
    if prompt_tokens > service.max_prompt_tokens:
        raise errors.EntryError(
            errors.Code.PROMPT_TOO_LARGE,
            f"The prompt has about {prompt_tokens} tokens, over"
            f" {service.max_prompt_tokens}.",
        )
    salt = ctx.customer.id
    output_tokens = request.output_limit or service.max_output_tokens
    if output_tokens > service.max_output_tokens:
        raise errors.EntryError(
            errors.Code.OUTPUT_TOO_LARGE,
            f"At most {service.max_output_tokens} tokens are generated.",
        )
    return context.Generation(
        request=request,
        fields=fields,
        path=ctx.call.path,
        prompt_tokens=prompt_tokens,
        # Rival firms that send the same prompt share no block: a firm could
        # else tell by its time to first token what a rival has asked.
        prefix_hashes=prefix.block_hashes(text[:_HASHED_CHARACTERS], salt),
        output_tokens=output_tokens,
    )
