"""Who calls: the user of an API key."""

import hashlib

from tornado import httputil

from cowsliprill.decisions import model
from cowsliprill.entry import context
from cowsliprill.entry import errors

_SCHEME = "bearer "


def user_of(
    headers: httputil.HTTPHeaders, snapshot: model.Snapshot
) -> model.User:
    """Finds the user of the API key in a request's headers.

    The settings hold only SHA-256 digests of keys, so who reads them can't
    call in a user's name. Looking up a digest also gives no timing by which a
    key could be guessed part by part.

    Args:
      headers: The request's headers.
      snapshot: The settings.

    Returns:
      The user.

    Raises:
      errors.EntryError: There is no key, or no user has it.
    """
    authorization = headers.get("Authorization", "")
    if authorization[: len(_SCHEME)].lower() != _SCHEME:
        raise errors.EntryError(
            errors.Code.INVALID_API_KEY,
            "Send your API key as `Authorization: Bearer KEY`.",
        )
    key = authorization[len(_SCHEME) :].strip()
    digest = hashlib.sha256(key.encode()).hexdigest()
    user = snapshot.users_by_key_hash.get(digest)
    if user is None:
        raise errors.EntryError(
            errors.Code.INVALID_API_KEY, "The API key isn't known."
        )
    return user


async def identify(ctx: context.Context, proceed: context.Handle) -> None:
    """Finds the calling user."""
    ctx.user = user_of(ctx.call.headers, ctx.snapshot)
    await proceed(ctx)
