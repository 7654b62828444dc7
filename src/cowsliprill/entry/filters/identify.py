"""Who calls: the customer of an API key."""

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
      The digest, empty without a key.
    """
    header = headers.get("Authorization", "")
    if header[: len(_SCHEME)].lower() != _SCHEME:
        return ""
    key = header[len(_SCHEME) :].strip()
    return api_keys.digest(key) if key else ""


def customer_of(key_hash: str, snapshot: model.Snapshot) -> model.Customer:
    """Finds the customer of an API key.

    The settings hold only SHA-256 digests of keys, so who reads them can't
    call in a customer's name. Looking up a digest also gives no timing by which
    a key could be guessed part by part.

    Args:
      key_hash: The key's digest, empty without a key.
      snapshot: The settings.

    Returns:
      The customer.

    Raises:
      errors.EntryError: There is no key, or no customer has it.
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
    """Finds the calling customer."""
    key_hash = key_hash_of(ctx.call.headers)
    ctx.customer = customer_of(key_hash, ctx.snapshot)
    await proceed(ctx)


@dataclasses.dataclass(frozen=True, slots=True)
class IdentifyByRoute:
    """Finds the calling customer where callers name a route.

    A public route needs no key. One that is sent all the same names its
    customer if it is known.

    Attributes:
      authorization: Checks that the key may be honoured.
    """

    authorization: authorization.Authorization

    async def __call__(
        self, ctx: context.Context, proceed: context.Handler
    ) -> None:
        """Finds the customer or refuses the request."""
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
