"""Headers that concern one connection and are not passed on."""

from tornado import httputil

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
    headers: httputil.HTTPHeaders, without: frozenset[str] = frozenset()
) -> httputil.HTTPHeaders:
    """Copies the headers that are meant for the far end.

    Args:
      headers: Headers as received.
      without: Further names to leave out, in lower case.

    Returns:
      The copy.
    """
    named = {
        name.strip().lower()
        for name in headers.get("Connection", "").split(",")
    }
    dropped = _HOP_BY_HOP | named | without
    kept = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped:
            kept.add(name, value)
    return kept
