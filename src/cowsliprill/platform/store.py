"""Client for the platform's metadata store."""

import base64
import json
from typing import Any
from urllib import parse

from cowsliprill.decisions import registry_view
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import http_client
from cowsliprill.registry import store as store_lib

_MAX_RESPONSE_BYTES = 16_777_216
_CONNECT_TIMEOUT_S = 0.5
_MS_PER_S = 1_000


class MetadataStore:
    """Implements `registry.store.Store` over HTTP.

    Args:
      http: HTTP client.
      host: IP address of the store.
      port: TCP port of the store.
    """

    def __init__(
        self, http: http_client.HttpClient, host: str, port: int
    ) -> None:
        self._http = http
        self._address = (host, port)

    async def page(
        self, prefix: str, after: str, timeout_s: float
    ) -> store_lib.ListingPage:
        """Returns one page of entries; see `registry.store.Store`."""
        query = {"pathPrefix": prefix}
        if after:
            query["after"] = after
        payload = await self._get("/kv-range", query, timeout_s)
        items = payload.get("items")
        return store_lib.ListingPage(
            entries=tuple(
                change
                for change in map(_parse_change, items)
                if isinstance(change, registry_view.Entry)
            ),
            truncated=bool(payload.get("truncated")),
            as_of=_read_revision(payload, "asOf"),
        )

    async def watch(
        self, prefix: str, after: int, wait_s: float, timeout_s: float
    ) -> store_lib.WatchResult:
        """Long-polls for changes; see `registry.store.Store`."""
        query = {
            "pathPrefix": prefix,
            "after": str(after),
            "waitMs": str(int(wait_s * _MS_PER_S)),
        }
        payload = await self._get("/kv-watch", query, timeout_s)
        return store_lib.WatchResult(
            changes=tuple(map(_parse_change, payload.get("events"))),
            as_of=_read_revision(payload, "asOf"),
        )

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> dict[str, Any]:
        host, port = self._address
        target = f"{path}?{parse.urlencode(query, safe='/')}"
        try:
            response = await self._http.call(
                host,
                port,
                "GET",
                target,
                {},
                connect_timeout_s=_CONNECT_TIMEOUT_S,
                timeout_s=timeout_s,
                new_connection=True,
            )
            body = await response.read(_MAX_RESPONSE_BYTES)
        except engine_errors.CallError as error:
            raise store_lib.StoreError(f"{path}: {error.message}") from error
        _check_status(path, response.status)
        return _parse_payload(path, body)


def _check_status(path: str, status: int) -> None:
    match status:
        case 200:
            return
        case 410:
            raise store_lib.HistoryLost(f"{path}: status 410")
        case 429 | 503:
            raise store_lib.StoreBusy(f"{path}: status {status}")
        case _:
            raise store_lib.StoreError(f"{path}: status {status}")


def _parse_payload(path: str, body: bytes) -> dict[str, Any]:
    try:
        payload = json.loads(body)
    except ValueError as error:
        raise store_lib.StoreError(
            f"{path}: response is not JSON: {error}"
        ) from error
    items_or_events = (
        payload.get("items", payload.get("events")) if payload else None
    )
    if not isinstance(items_or_events, list):
        raise store_lib.StoreError(
            f"{path}: response has neither items nor events"
        )
    return payload


def _read_revision(payload: dict[str, Any], name: str) -> int:
    value = payload.get(name)
    if not isinstance(value, int):
        raise store_lib.StoreError(f"{name} is not an integer: {value!r}")
    return value


def _parse_change(item: Any) -> registry_view.Change:
    try:
        if item.get("removed"):
            return registry_view.Removal(
                key=item["key"], revision=item["revision"]
            )
        return registry_view.Entry(
            key=item["key"],
            value=base64.b64decode(item["value"], validate=True),
            revision=item["revision"],
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise store_lib.StoreError(f"malformed item: {error!r}") from error
