"""Client for the platform's metadata store."""

import asyncio
import base64
from typing import Any
from urllib import parse

from cowsliprill import codec
from cowsliprill.decisions import registry_view
from cowsliprill.engines import errors as engine_errors
from cowsliprill.engines import http_client
from cowsliprill.observability import log as log_lib
from cowsliprill.registry import store as store_lib

_MAX_RESPONSE_BYTES = 16_777_216
_CONNECT_TIMEOUT_S = 0.5
_MS_PER_S = 1_000
_MAX_REVISION = 2**63 - 1

# Delay of the listing that replaces a watch with an unreadable event. A store
# that repeats the event would otherwise be called without a pause.
_RELIST_DELAY_S = 0.5

# In place of a value that isn't readable. No parser of entries accepts it.
_UNREADABLE_VALUE = b""

# Characters of a malformed key in a log line.
_MAX_QUOTED_CHARACTERS = 200


class _MalformedItemError(ValueError):
    """Raised for an item that names no change.

    Attributes:
      key: Key of the item, None if that isn't readable either.
    """

    def __init__(self, reason: str, key: str | None = None) -> None:
        super().__init__(reason)
        self.key = key


class MetadataStore:
    """Implements `registry.store.Store` over HTTP.

    Items that aren't well formed are logged and concern no other keys.

    Args:
      http: HTTP client.
      host: IP address of the store.
      port: TCP port of the store.
      log: Log of the process.
    """

    def __init__(
        self,
        http: http_client.HttpClient,
        host: str,
        port: int,
        log: log_lib.Log,
    ) -> None:
        self._http = http
        self._address = (host, port)
        self._log = log
        self._last_fault: tuple[str, str] | None = None

    async def page(
        self, prefix: str, after: str, timeout_s: float
    ) -> store_lib.ListingPage:
        """Returns one page of entries; see `registry.store.Store`."""
        query = {"pathPrefix": prefix}
        if after:
            query["after"] = after
        payload = await self._get("/kv-range", query, "items", timeout_s)
        entries = []
        for item in payload["items"]:
            try:
                change = self._parse_change(item)
            except _MalformedItemError as error:
                self._log_fault(error.key, str(error))
                if error.key is None:
                    continue
                # The key exists, so a view that has it must keep it. Nothing
                # that a view may have is older than this.
                change = registry_view.Entry(
                    key=error.key, value=_UNREADABLE_VALUE, revision=0
                )
            if isinstance(change, registry_view.Entry):
                entries.append(change)
        truncated = bool(payload.get("truncated"))
        if truncated and not entries:
            raise store_lib.StoreError("no key after which the listing goes on")
        return store_lib.ListingPage(
            entries=tuple(entries),
            truncated=truncated,
            as_of=_read_revision(payload, "asOf"),
        )

    async def watch(
        self, prefix: str, after: int, wait_s: float, timeout_s: float
    ) -> store_lib.WatchResult:
        """Long-polls for changes; see `registry.store.Store`.

        An event whose key or revision is unreadable may hide any change, which
        only a listing shows.
        """
        query = {
            "pathPrefix": prefix,
            "after": str(after),
            "waitMs": str(int(wait_s * _MS_PER_S)),
        }
        payload = await self._get("/kv-watch", query, "events", timeout_s)
        try:
            changes = tuple(map(self._parse_change, payload["events"]))
        except _MalformedItemError as error:
            self._log_fault(error.key, str(error))
            await asyncio.sleep(_RELIST_DELAY_S)
            raise store_lib.HistoryLost(f"unreadable event: {error}") from error
        return store_lib.WatchResult(
            changes=changes, as_of=_read_revision(payload, "asOf")
        )

    def _parse_change(self, item: Any) -> registry_view.Change:
        """Parses an item; an unreadable value is replaced.

        Raises:
          _MalformedItemError: The key or the revision is unreadable.
        """
        key, revision = _parse_key(item), item.get("revision")
        if not _is_revision(revision):
            raise _MalformedItemError("malformed revision", key)
        if item.get("removed"):
            return registry_view.Removal(key=key, revision=revision)
        try:
            value = base64.b64decode(item["value"], validate=True)
        except (KeyError, TypeError, ValueError) as error:
            self._log_fault(key, f"malformed value: {error!r}")
            value = _UNREADABLE_VALUE
        return registry_view.Entry(key=key, value=value, revision=revision)

    def _log_fault(self, key: str | None, reason: str) -> None:
        """Logs a malformed item, unless it is the one logged last."""
        fault = (str(key)[:_MAX_QUOTED_CHARACTERS], reason)
        if fault != self._last_fault:
            self._last_fault = fault
            self._log.warning(
                "store_item_malformed", key=fault[0], reason=reason
            )

    async def _get(
        self, path: str, query: dict[str, str], content: str, timeout_s: float
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
        return _parse_payload(path, body, content)


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


def _parse_payload(path: str, body: bytes, content: str) -> dict[str, Any]:
    try:
        payload = codec.load_json(body)
    except ValueError as error:
        raise store_lib.StoreError(
            f"{path}: response is not JSON: {error}"
        ) from error
    if not isinstance(payload, dict) or not isinstance(
        payload.get(content), list
    ):
        raise store_lib.StoreError(f"{path}: response has no {content}")
    return payload


def _read_revision(payload: dict[str, Any], name: str) -> int:
    value = payload.get(name)
    if not _is_revision(value):
        raise store_lib.StoreError(f"{name} is not a revision")
    return value


def _is_revision(value: Any) -> bool:
    return type(value) is int and 0 <= value <= _MAX_REVISION


def _parse_key(item: Any) -> str:
    """Returns the key of an item.

    Raises:
      _MalformedItemError: The item has none, or one that isn't Unicode text.
    """
    if not isinstance(item, dict):
        raise _MalformedItemError("not an object")
    key = item.get("key")
    if not isinstance(key, str):
        raise _MalformedItemError("malformed key")
    try:
        key.encode()
    except UnicodeEncodeError as error:
        # Such a key can't be sent to the store or to peers.
        raise _MalformedItemError("key is not Unicode text") from error
    return key
