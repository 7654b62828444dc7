"""Headers that concern one connection and are not passed on."""

from collections.abc import Mapping

from tornado import httputil

# These belong to one connection, not to the message (RFC 9110, 7.6.1).
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)


def end_to_end(
    headers: httputil.HTTPHeaders | Mapping[str, str],
    without: frozenset[str] = frozenset(),
) -> httputil.HTTPHeaders:
    """Copies the headers that are meant for the far end.

    Args:
      headers: Headers as received.
      without: Further names to leave out, in lower case.

    Returns:
      The copy.
    """
    whole = httputil.HTTPHeaders(headers)
    named = {
        name.strip().lower() for name in whole.get("Connection", "").split(",")
    }
    dropped = _HOP_BY_HOP | named | without
    kept = httputil.HTTPHeaders()
    for name, value in whole.get_all():
        if name.lower() not in dropped:
            kept.add(name, value)
    return kept
