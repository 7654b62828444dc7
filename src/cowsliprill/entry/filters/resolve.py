"""Filters that find the called service and check the request's limits."""

from typing import Any

from cowsliprill.decisions import model
from cowsliprill.engines import prompt_blocks
from cowsliprill.engines import protocol
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.entry import schema

SERVICES_PATH = "/services/"

# 256 blocks of 16 tokens. Hashes of more blocks would rarely change the choice
# of an engine, and for a long prompt they would take more memory than the
# prompt.
_MAX_HASHED_CHARACTERS = 16_384

_REQUEST_TYPE_BY_PATH: dict[str, type[schema.GenerationRequest]] = {
    protocol.COMPLETIONS_PATH: schema.CompletionRequest,
    protocol.CHAT_PATH: schema.ChatRequest,
}


def services_of(
    customer: model.Customer, snapshot: model.Snapshot
) -> dict[str, model.Service]:
    """Returns the services that a customer may call.

    A service of the customer itself or of a nearer ancestor hides a service of
    the same name of a more distant ancestor.

    Args:
      customer: The customer.
      snapshot: The settings.

    Returns:
      Services by name.
    """
    owner_ids = _self_and_ancestor_ids(customer, snapshot)
    services_by_name: dict[str, model.Service] = {}
    for service in snapshot.services_by_id.values():
        if service.customer not in owner_ids:
            continue
        other = services_by_name.get(service.name)
        nearest = other is None or (
            owner_ids.index(service.customer) < owner_ids.index(other.customer)
        )
        if nearest:
            services_by_name[service.name] = service
    return services_by_name


def find_service(
    name: str, customer: model.Customer, snapshot: model.Snapshot
) -> model.Service:
    """Finds a service by name among those that a customer may call.

    Args:
      name: Name of the service.
      customer: The calling customer.
      snapshot: The settings.

    Returns:
      The service.

    Raises:
      errors.EntryError: The customer has no service of this name. Another
        customer's service gives the same 404 as a missing one: a 403 would
        reveal to a competitor which services exist.
    """
    for owner_id in _self_and_ancestor_ids(customer, snapshot):
        service = snapshot.services_by_id.get(f"{owner_id}/{name}")
        if service is not None:
            return service
    raise errors.EntryError(
        errors.Code.SERVICE_NOT_FOUND, f"There is no service {name!r} for you."
    )


async def resolve_generation(
    ctx: context.Context, proceed: context.Handler
) -> None:
    """Validates a model request and finds its service."""
    fields = schema.parse_json(ctx.call.body)
    request = schema.validate(_REQUEST_TYPE_BY_PATH[ctx.call.path], fields)
    service = find_service(request.model, ctx.customer, ctx.snapshot)
    if service.kind is not model.ServiceKind.MODEL:
        raise errors.EntryError(
            errors.Code.SERVICE_NOT_FOUND,
            f"{service.name!r} is called at {SERVICES_PATH}{service.name}/.",
        )
    _check_body_size(ctx.call.body, service)
    ctx.service = service
    ctx.generation = _make_generation(ctx, request, fields, service)
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
    _check_body_size(ctx.call.body, service)
    ctx.service = service
    query = f"?{ctx.call.query}" if ctx.call.query else ""
    ctx.service_path = f"{slash or '/'}{rest}{query}"
    await proceed(ctx)


def _self_and_ancestor_ids(
    customer: model.Customer, snapshot: model.Snapshot
) -> list[str]:
    owner_ids = [customer.id]
    parent_id = customer.parent
    while parent_id and parent_id not in owner_ids:
        owner_ids.append(parent_id)
        parent = snapshot.customers_by_id.get(parent_id)
        parent_id = parent.parent if parent else ""
    return owner_ids


def _check_body_size(body: bytes, service: model.Service) -> None:
    if len(body) > service.max_body_bytes:
        raise errors.EntryError(
            errors.Code.BODY_TOO_LARGE,
            f"The body has over {service.max_body_bytes} bytes.",
        )


def _make_generation(
    ctx: context.Context,
    request: schema.GenerationRequest,
    fields: dict[str, Any],
    service: model.Service,
) -> context.Generation:
    text = prompt_blocks.prompt_text(fields)
    prompt_tokens = prompt_blocks.count_tokens(text)
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
        # The salt keeps customers from sharing prefix cache blocks: otherwise
        # one could infer from its TTFT which prompts a competitor has sent.
        prefix_hashes=prompt_blocks.block_hashes(
            text[:_MAX_HASHED_CHARACTERS], salt
        ),
        part_ids=prompt_blocks.shared_part_ids(fields, salt),
        output_tokens=output_tokens,
    )
