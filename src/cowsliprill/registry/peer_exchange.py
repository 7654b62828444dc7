"""Exchange of registry updates between peers, in place of calls to the store.

Contains the wire format, the HTTP handler and the client.
"""

import base64
import dataclasses
import functools
import math
import zlib
from collections.abc import Callable

from tornado import web

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill import errors
from cowsliprill import peer_client
from cowsliprill import peers
from cowsliprill.decisions import member_records
from cowsliprill.decisions import registry_view
from cowsliprill.observability import log as log_lib

# A peer in another availability zone responds within some milliseconds, and
# other peers can be queried instead.
_TIMEOUT_S = 0.5
_OK = 200

# Settings with thousands of routes take a second on a slow link, a tenth of
# that when compressed. Entries of endpoints are too short to benefit.
_COMPRESSED_MIN_BYTES = 2_048
_VALUE_MAX_BYTES = 67_108_864


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WireChange:
    """Wire format of an entry or a removal.

    Attributes:
      key: Registry key.
      revision: Revision of the change.
      value: The entry's bytes in base64, None for a removal.
      compressed: Whether the bytes are compressed with zlib.
    """

    key: str
    revision: int
    value: str | None = None
    compressed: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WireUpdate:
    """Wire format of `registry_view.RegistryUpdate`.

    Attributes:
      changes: Entries and removals.
      position: Revision up to which the sender's view is complete.
      whole: Whether this is a full listing: keys that aren't included don't
        exist at `position`.
      trouble_left_s: Remaining removal grace period in seconds, during which a
        removal may be an expiry caused by a store outage.
      age_s: Seconds since the sender's view was last revalidated, None if it
        never was.
    """

    changes: tuple[WireChange, ...] = ()
    position: int = 0
    whole: bool = False
    trouble_left_s: float = 0.0
    age_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FetchResult:
    """Result of fetching an update from a peer.

    Attributes:
      changes: Changes that are new to the local view.
      trouble_left_s: Remaining removal grace period in seconds, during which a
        removal may be an expiry caused by a store outage.
    """

    changes: tuple[registry_view.Change, ...]
    trouble_left_s: float


class RegistryHandler(web.RequestHandler):
    """Handles `GET /v1/registry?prefix=P&since=R`."""

    def initialize(
        self,
        views_by_prefix: dict[str, registry_view.View],
        trouble_left_s: Callable[[], float],
    ) -> None:
        """Sets the handler's dependencies.

        Args:
          views_by_prefix: Registry views of this process.
          trouble_left_s: Returns the remaining removal grace period in seconds.
        """
        self._views_by_prefix = views_by_prefix
        self._trouble_left_s = trouble_left_s

    def get(self) -> None:
        """Responds with the changes after the client's revision."""
        view = self._views_by_prefix.get(self.get_query_argument("prefix", ""))
        since = self.get_query_argument("since", "0")
        if view is None or not since.isdigit():
            self.set_status(400)
            error = {"code": "invalid_request", "message": "no such prefix"}
            self.write({"error": error})
            return
        self.set_header("Content-Type", "application/json")
        update = dataclasses.replace(
            view.update_since(int(since)),
            trouble_left_s=self._trouble_left_s(),
            age_s=clock.now() - view.confirmed_at,
        )
        self.write(codec.encode_without_defaults(_update_to_wire(update)))


class RegistryPeerClient:
    """HTTP client for the registry updates of peers.

    Args:
      log: Log of the process.
    """

    def __init__(self, log: log_lib.Log) -> None:
        self._client = peer_client.PeerClient()
        self._log = log

    async def fetch(
        self, peer: member_records.Record, view: registry_view.View
    ) -> FetchResult | None:
        """Fetches an update from a peer and applies it to a view.

        Args:
          peer: Member record of the peer.
          view: Local view to update and revalidate.

        Returns:
          The new changes, None if the request failed or the response is
          unusable.
        """
        sent_at = clock.now()
        try:
            update = await _request_update(self._client, peer.address, view)
        except peer_client.PeerError as error:
            self._log.warning(
                "registry_peer_failed", peer=peer.id, reason=error.message
            )
            return None
        changes = view.apply_update(update)
        view.confirm(sent_at - update.age_s)
        return FetchResult(tuple(changes), trouble_left_s=update.trouble_left_s)


async def _request_update(
    client: peer_client.PeerClient,
    address: tuple[str, int],
    view: registry_view.View,
) -> registry_view.RegistryUpdate:
    host, port = address
    url = f"http://{host}:{port}{peers.REGISTRY_PATH}"
    query = f"?prefix={view.prefix}&since={view.position}"
    reply = await client.call("GET", url + query, timeout_s=_TIMEOUT_S)
    if reply.status != _OK:
        raise peer_client.PeerError(f"{url}: status {reply.status}")
    try:
        return _update_from_wire(codec.decode(WireUpdate, reply.body))
    except (errors.CowsliprillError, ValueError, zlib.error) as error:
        raise peer_client.PeerError(f"{url}: {error}") from error


def _update_to_wire(update: registry_view.RegistryUpdate) -> WireUpdate:
    changes = []
    for change in update.changes:
        match change:
            case registry_view.Entry():
                changes.append(_entry_to_wire(change))
            case registry_view.Removal(key=key, revision=revision):
                changes.append(WireChange(key=key, revision=revision))
    return WireUpdate(
        changes=tuple(changes),
        position=update.position,
        whole=update.whole,
        trouble_left_s=update.trouble_left_s,
        age_s=update.age_s if math.isfinite(update.age_s) else None,
    )


def _entry_to_wire(entry: registry_view.Entry) -> WireChange:
    compressed = len(entry.value) >= _COMPRESSED_MIN_BYTES
    value = _compress(entry.value) if compressed else entry.value
    return WireChange(
        key=entry.key,
        revision=entry.revision,
        value=base64.b64encode(value).decode(),
        compressed=compressed,
    )


# All peers request the same settings at nearly the same time.
@functools.lru_cache(maxsize=1)
def _compress(value: bytes) -> bytes:
    return zlib.compress(value, zlib.Z_BEST_SPEED)


def _decompress(value: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(value, _VALUE_MAX_BYTES)
    if not decompressor.eof:
        raise ValueError(f"decompressed value is over {_VALUE_MAX_BYTES} bytes")
    return decompressed


def _update_from_wire(update: WireUpdate) -> registry_view.RegistryUpdate:
    changes: list[registry_view.Change] = []
    for wire in update.changes:
        if wire.value is None:
            changes.append(
                registry_view.Removal(key=wire.key, revision=wire.revision)
            )
            continue
        value = base64.b64decode(wire.value, validate=True)
        if wire.compressed:
            value = _decompress(value)
        changes.append(
            registry_view.Entry(
                key=wire.key, value=value, revision=wire.revision
            )
        )
    return registry_view.RegistryUpdate(
        changes=tuple(changes),
        position=update.position,
        whole=update.whole,
        trouble_left_s=update.trouble_left_s,
        age_s=math.inf if update.age_s is None else update.age_s,
    )
