"""News of the registry from peer to peer, for those the store turns away."""

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

# A peer in another availability zone answers within some milliseconds, and
# there are others to ask.
_TIMEOUT_S = 0.5
_OK = 200

# Settings of thousands of routes fill a slow link for a second; compressed,
# for a tenth of one. Entries of endpoints are too short to gain by it.
_COMPRESSED_MIN_BYTES = 2_048
_VALUE_MAX_BYTES = 67_108_864


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WireChange:
    """An entry or a removal on its way between peers.

    Attributes:
      key: Its key.
      revision: Revision of the change.
      value: The entry's bytes in base64, None for a removal.
      compressed: Whether the bytes are compressed by zlib.
    """

    key: str
    revision: int
    value: str | None = None
    compressed: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WireNews:
    """`registry.RegistryUpdate` on its way between peers.

    Attributes:
      changes: Entries and removals.
      position: Revision up to which the teller has read.
      whole: Whether keys that aren't named don't exist up to there.
      trouble_left_s: For how long removals may be lapses yet, seconds.
      age_s: How long ago the teller's view was known to be whole, None if it
        never was.
    """

    changes: tuple[WireChange, ...] = ()
    position: int = 0
    whole: bool = False
    trouble_left_s: float = 0.0
    age_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a peer's answer has brought.

    Attributes:
      changes: What is new here.
      trouble_left_s: For how long removals may be lapses yet, seconds.
    """

    changes: tuple[registry_view.Change, ...]
    trouble_left_s: float


class NewsHandler(web.RequestHandler):
    """`GET /v1/registry?prefix=P&since=R`."""

    def initialize(
        self,
        views_by_prefix: dict[str, registry_view.View],
        trouble_left_s: Callable[[], float],
    ) -> None:
        """Keeps what the handler needs.

        Args:
          views_by_prefix: What this process knows.
          trouble_left_s: Returns for how long removals may be lapses yet.
        """
        self._views_by_prefix = views_by_prefix
        self._trouble_left_s = trouble_left_s

    def get(self) -> None:
        """Answers with what the asker lacks."""
        view = self._views_by_prefix.get(self.get_query_argument("prefix", ""))
        since = self.get_query_argument("since", "0")
        if view is None or not since.isdigit():
            self.set_status(400)
            error = {"code": "invalid_request", "message": "no such prefix"}
            self.write({"error": error})
            return
        self.set_header("Content-Type", "application/json")
        news = dataclasses.replace(
            view.update_since(int(since)),
            trouble_left_s=self._trouble_left_s(),
            age_s=clock.now() - view.confirmed_at,
        )
        self.write(codec.encode_short(_on_wire(news)))


class Asker:
    """Asks peers for what they know beyond this process.

    Args:
      log: The process's log.
    """

    def __init__(self, log: log_lib.Log) -> None:
        self._client = peer_client.PeerClient()
        self._log = log

    async def ask(
        self, peer: member_records.Record, view: registry_view.View
    ) -> Answer | None:
        """Asks a peer, and takes what is new into the view.

        Args:
          peer: The peer.
          view: What this process knows.

        Returns:
          What is new, None if the peer gave no usable answer.
        """
        asked_at = clock.now()
        try:
            news = await _ask(self._client, peer.address, view)
        except peer_client.PeerError as error:
            self._log.warning(
                "registry_peer_failed", peer=peer.id, reason=error.message
            )
            return None
        changes = view.apply_update(news)
        view.confirm(asked_at - news.age_s)
        return Answer(tuple(changes), trouble_left_s=news.trouble_left_s)


async def _ask(
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
        return _from_wire(codec.decode(WireNews, reply.body))
    except (errors.CowsliprillError, ValueError, zlib.error) as error:
        raise peer_client.PeerError(f"{url}: {error}") from error


def _on_wire(news: registry_view.RegistryUpdate) -> WireNews:
    changes = []
    for change in news.changes:
        match change:
            case registry_view.Entry():
                changes.append(_entry_on_wire(change))
            case registry_view.Removal(key=key, revision=revision):
                changes.append(WireChange(key=key, revision=revision))
    return WireNews(
        changes=tuple(changes),
        position=news.position,
        whole=news.whole,
        trouble_left_s=news.trouble_left_s,
        age_s=news.age_s if math.isfinite(news.age_s) else None,
    )


def _entry_on_wire(entry: registry_view.Entry) -> WireChange:
    compressed = len(entry.value) >= _COMPRESSED_MIN_BYTES
    value = _compressed(entry.value) if compressed else entry.value
    return WireChange(
        key=entry.key,
        revision=entry.revision,
        value=base64.b64encode(value).decode(),
        compressed=compressed,
    )


# All peers ask for the same settings within a moment.
@functools.lru_cache(maxsize=1)
def _compressed(value: bytes) -> bytes:
    return zlib.compress(value, zlib.Z_BEST_SPEED)


def _decompressed(value: bytes) -> bytes:
    reader = zlib.decompressobj()
    whole = reader.decompress(value, _VALUE_MAX_BYTES)
    if not reader.eof:
        raise ValueError(f"a value of over {_VALUE_MAX_BYTES} bytes")
    return whole


def _from_wire(news: WireNews) -> registry_view.RegistryUpdate:
    changes: list[registry_view.Change] = []
    for wire in news.changes:
        if wire.value is None:
            changes.append(
                registry_view.Removal(key=wire.key, revision=wire.revision)
            )
            continue
        value = base64.b64decode(wire.value, validate=True)
        if wire.compressed:
            value = _decompressed(value)
        changes.append(
            registry_view.Entry(
                key=wire.key, value=value, revision=wire.revision
            )
        )
    return registry_view.RegistryUpdate(
        changes=tuple(changes),
        position=news.position,
        whole=news.whole,
        trouble_left_s=news.trouble_left_s,
        age_s=math.inf if news.age_s is None else news.age_s,
    )
