"""News of the registry from peer to peer, for those the store turns away."""

import base64
import dataclasses
import math
from collections.abc import Callable

from tornado import web

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill import errors
from cowsliprill import peer_client
from cowsliprill import peers
from cowsliprill.decisions import registry

# A peer in another availability zone answers within some milliseconds, and
# there are others to ask.
_TIMEOUT_S = 0.5
_OK = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WireChange:
    """An entry or a removal on its way between peers.

    Attributes:
      key: Its key.
      revision: Revision of the change.
      value: The entry's bytes in base64, None for a removal.
    """

    key: str
    revision: int
    value: str | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WireNews:
    """`registry.News` on its way between peers.

    Attributes:
      changes: Entries and removals.
      position: Revision up to which the teller has read.
      whole: Whether keys that aren't named don't exist up to there.
      store_troubled: Whether removals may be lapses.
      age_s: How long ago the teller's view was known to be whole, None if it
        never was.
    """

    changes: tuple[WireChange, ...] = ()
    position: int = 0
    whole: bool = False
    store_troubled: bool = False
    age_s: float | None = None


class NewsHandler(web.RequestHandler):
    """`GET /v1/registry?prefix=P&since=R`."""

    def initialize(
        self,
        views_by_prefix: dict[str, registry.View],
        store_troubled: Callable[[], bool],
    ) -> None:
        """Keeps what the handler needs.

        Args:
          views_by_prefix: What this process knows.
          store_troubled: Returns whether removals may be lapses.
        """
        self._views_by_prefix = views_by_prefix
        self._store_troubled = store_troubled

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
            view.news_since(int(since)),
            store_troubled=self._store_troubled(),
            age_s=clock.now() - view.confirmed_at,
        )
        self.write(codec.encode_short(_on_wire(news)))


async def ask(
    client: peer_client.PeerClient,
    address: tuple[str, int],
    view: registry.View,
) -> registry.News:
    """Asks a peer for what it knows beyond this process.

    Args:
      client: Calls peers.
      address: The peer.
      view: What this process knows.

    Returns:
      The peer's news.

    Raises:
      peer_client.PeerError: It gave no usable answer.
    """
    host, port = address
    url = f"http://{host}:{port}{peers.REGISTRY_PATH}"
    query = f"?prefix={view.prefix}&since={view.position}"
    reply = await client.call("GET", url + query, timeout_s=_TIMEOUT_S)
    if reply.status != _OK:
        raise peer_client.PeerError(f"{url}: status {reply.status}")
    try:
        return _from_wire(codec.decode(WireNews, reply.body))
    except (errors.CowsliprillError, ValueError) as error:
        raise peer_client.PeerError(f"{url}: {error}") from error


def _on_wire(news: registry.News) -> WireNews:
    changes = []
    for change in news.changes:
        value = None
        if isinstance(change, registry.Entry):
            value = base64.b64encode(change.value).decode()
        changes.append(
            WireChange(key=change.key, revision=change.revision, value=value)
        )
    return WireNews(
        changes=tuple(changes),
        position=news.position,
        whole=news.whole,
        store_troubled=news.store_troubled,
        age_s=news.age_s if math.isfinite(news.age_s) else None,
    )


def _from_wire(news: WireNews) -> registry.News:
    changes: list[registry.Change] = []
    for wire in news.changes:
        if wire.value is None:
            changes.append(
                registry.Removal(key=wire.key, revision=wire.revision)
            )
            continue
        value = base64.b64decode(wire.value, validate=True)
        changes.append(
            registry.Entry(key=wire.key, value=value, revision=wire.revision)
        )
    return registry.News(
        changes=tuple(changes),
        position=news.position,
        whole=news.whole,
        store_troubled=news.store_troubled,
        age_s=math.inf if news.age_s is None else news.age_s,
    )
