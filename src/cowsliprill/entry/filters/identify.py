"""Filter that authenticates the calling customer by API key."""

import dataclasses

from tornado import httputil

from cowsliprill import api_keys
from cowsliprill.decisions import model
from cowsliprill.entry import authorization
from cowsliprill.entry import context
from cowsliprill.entry import errors

_SCHEME = "bearer "
_ANONYMOUS = model.Customer(id="")


def key_hash_of(headers: httputil.HTTPHeaders) -> str:
    """Returns the digest of the API key in a request's headers.

    Args:
      headers: The request's headers.

    Returns:
      The digest, empty if there is no key.
    """
    header = headers.get("Authorization", "")
    if header[: len(_SCHEME)].lower() != _SCHEME:
        return ""
    key = header[len(_SCHEME) :].strip()
    return api_keys.digest(key) if key else ""


def customer_of(key_hash: str, snapshot: model.Snapshot) -> model.Customer:
    """Finds the customer of an API key.

    The settings store only SHA-256 digests of keys, so access to the settings
    doesn't allow calls in a customer's name. A lookup by digest also prevents
    timing attacks, which guess a key piece by piece.

    Args:
      key_hash: The key's digest, empty if there is no key.
      snapshot: The settings.

    Returns:
      The customer.

    Raises:
      errors.EntryError: The key is missing or unknown.
    """
    if not key_hash:
        raise errors.EntryError(
            errors.Code.INVALID_API_KEY,
            "Send your API key as `Authorization: Bearer KEY`.",
        )
    customer = snapshot.customers_by_key_hash.get(key_hash)
    if customer is None:
        raise errors.EntryError(
            errors.Code.INVALID_API_KEY, "The API key isn't known."
        )
    return customer


async def identify(ctx: context.Context, proceed: context.Handler) -> None:
    """Authenticates the calling customer or raises `errors.EntryError`."""
    key_hash = key_hash_of(ctx.call.headers)
    ctx.customer = customer_of(key_hash, ctx.snapshot)
    await proceed(ctx)


@dataclasses.dataclass(frozen=True, slots=True)
class IdentifyByRoute:
    """Authenticates the calling customer of a call to a route.

    A public route needs no API key. If a known key is sent anyway, the call is
    attributed to the key's customer.

    Attributes:
      authorization: Checks that the API key may be accepted.
    """

    authorization: authorization.Authorization

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Sets the customer or raises `errors.EntryError`."""
        ctx.customer = _ANONYMOUS
        if not ctx.snapshot.keys_required:
            await proceed(ctx)
            return
        key_hash = key_hash_of(ctx.call.headers)
        try:
            ctx.customer = customer_of(key_hash, ctx.snapshot)
        except errors.EntryError:
            if not ctx.route.public:
                raise
        if not ctx.route.public:
            ctx.key_hash = key_hash
            self.authorization.check(ctx)
        await proceed(ctx)
