"""Removal of hop-by-hop headers, which are not forwarded."""

from collections.abc import Mapping

from tornado import httputil

# Headers between two VMs; see `entry.relayed_call`.
RELAY_ENVELOPE = "X-Relay-Envelope"
RELAY_ERROR = "X-Relay-Error"
RELAY_VERSION = "X-Relay-Version"

# Headers of a single connection, not of the message (RFC 9110, 7.6.1).
_HOP_BY_HOP = frozenset(
    {
        RELAY_ENVELOPE.lower(),
        RELAY_ERROR.lower(),
        RELAY_VERSION.lower(),
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
    """Copies the headers to forward, without hop-by-hop headers.

    Args:
      headers: The received headers.
      without: Additional header names to remove, in lower case.

    Returns:
      A copy with the end-to-end headers.
    """
    all_headers = httputil.HTTPHeaders(headers)
    connection_options = {
        name.strip().lower()
        for name in all_headers.get("Connection", "").split(",")
    }
    dropped = _HOP_BY_HOP | connection_options | without
    forwarded = httputil.HTTPHeaders()
    for name, value in all_headers.get_all():
        if name.lower() not in dropped:
            forwarded.add(name, value)
    return forwarded
