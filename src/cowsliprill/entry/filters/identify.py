"""Who calls: the customer of an API key."""

import dataclasses
import hashlib

from tornado import httputil

from cowsliprill.decisions import model
from cowsliprill.entry import authorization
from cowsliprill.entry import context
from cowsliprill.entry import errors

_SCHEME = "bearer "
_ANONYMOUS = model.Customer(id="")


def key_hash(key: str) -> str:
    """Returns the digest by which settings name an API key."""
    return hashlib.sha256(key.encode()).hexdigest()


def customer_of(
    headers: httputil.HTTPHeaders, snapshot: model.Snapshot
) -> model.Customer:
    """Finds the customer of the API key in a request's headers.

    The settings hold only SHA-256 digests of keys, so who reads them can't
    call in a customer's name. Looking up a digest also gives no timing by which
    a key could be guessed part by part.

    Args:
      headers: The request's headers.
      snapshot: The settings.

    Returns:
      The customer.

    Raises:
      errors.EntryError: There is no key, or no customer has it.
    """
    key = _key(headers)
    if not key:
        raise errors.EntryError(
            errors.Code.INVALID_API_KEY,
            "Send your API key as `Authorization: Bearer KEY`.",
        )
    customer = snapshot.customers_by_key_hash.get(key_hash(key))
    if customer is None:
        raise errors.EntryError(
            errors.Code.INVALID_API_KEY, "The API key isn't known."
        )
    return customer


async def identify(ctx: context.Context, proceed: context.Handle) -> None:
    """Finds the calling customer."""
    ctx.customer = customer_of(ctx.call.headers, ctx.snapshot)
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
        self, ctx: context.Context, proceed: context.Handle
    ) -> None:
        """Finds the customer or refuses the request."""
        ctx.customer = _ANONYMOUS
        if not ctx.snapshot.keys_required:
            await proceed(ctx)
            return
        try:
            ctx.customer = customer_of(ctx.call.headers, ctx.snapshot)
        except errors.EntryError:
            if not ctx.route.public:
                raise
        if not ctx.route.public:
            ctx.key_hash = key_hash(_key(ctx.call.headers))
            self.authorization.check(ctx)
        await proceed(ctx)


def _key(headers: httputil.HTTPHeaders) -> str:
    authorization_header = headers.get("Authorization", "")
    if authorization_header[: len(_SCHEME)].lower() != _SCHEME:
        return ""
    return authorization_header[len(_SCHEME) :].strip()
