"""The exchange of versions and VM news between settings processes.

A process that puts a version in force or hears news tells a few peers at once
(about ln n of them); besides, each speaks with one drawn peer every few
seconds, so that what was lost on the way, or held back by a partition, arrives
after all. One message serves for both, and its answer is the same message the
other way.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from cowsliprill import codec
from cowsliprill import peer_auth
from cowsliprill import peer_client
from cowsliprill import peers
from cowsliprill.decisions import leaving_notices
from cowsliprill.decisions import model
from cowsliprill.decisions import settings_version
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.settings import controller as controller_lib
from cowsliprill.settings import errors
from cowsliprill.settings import fleet as fleet_lib
from cowsliprill.settings import parts

INTERVAL_S = 3.0

_STATUS_OK = 200
_CALL_TIMEOUT_S = 2.0

# A peer's VM list is taken over only when it was read this much later than
# ours, so that lists aren't passed to and fro while the platform is up.
_LIST_MARGIN_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exchange:
    """What one settings process tells another.

    Attributes:
      url: URL of the sender.
      revision: Revision in force at the sender, 0 for none.
      index: Hash of its index.
      list_age_s: How long ago its VM list was read from the platform; negative
        for never.
      leaving: News of leaving endpoints.
    """

    url: str
    revision: int
    index: str
    list_age_s: float = -1.0
    leaving: tuple[leaving_notices.LeavingNotice, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Told:
    """What peers were told of."""

    version: settings_version.Version = settings_version.Version()
    item_ids: frozenset[tuple[str, str, int]] = frozenset()

    def adds_to(self, told: "_Told") -> bool:
        """Returns whether there is anything that was not told yet."""
        newer = self.version > told.version
        return newer or not self.item_ids <= told.item_ids


class PeerExchange:
    """Speaks with the other VMs' settings processes.

    Args:
      own_url: Returns this process's own URL.
      boot_peers: URLs to ask before the VM list is known.
      settings: Owner of the settings.
      fleet: Owner of the VM list and the news.
      client: HTTP client.
      auth: Signs and checks.
      random_source: Draws peers and intervals.
      log: This process's log.
      metrics: This process's metrics.
    """

    def __init__(
        self,
        own_url: Callable[[], str],
        boot_peers: tuple[str, ...],
        settings: controller_lib.SettingsController,
        fleet: fleet_lib.FleetController,
        client: peer_client.PeerClient,
        auth: peer_auth.PeerAuth,
        random_source: random.Random,
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._own_url = own_url
        self._boot_peers = boot_peers
        self._settings = settings
        self._fleet = fleet
        self._client = client
        self._auth = auth
        self._random = random_source
        self._log = log
        self._metrics = metrics
        self._tasks: set[asyncio.Task] = set()

    def peer_urls(self) -> list[str]:
        """Returns the peers known: those of the list, else the boot peers."""
        listed = self._fleet.other_entry_urls()
        return listed or [
            url for url in self._boot_peers if url != self._own_url()
        ]

    async def ask_boot_peers(self) -> None:
        """Speaks with every boot peer once, before this VM is ready.

        A platform that is down gives a new VM nothing, and a stale one gives
        it a revision that is no longer in force elsewhere; its callers would
        meet rules that were changed long ago. Peers know better.
        """
        await asyncio.gather(*(self._speak(url) for url in self._boot_peers))

    async def run(self) -> None:
        """Speaks with peers until cancelled."""
        told = _Told()
        while True:
            to_tell = self._to_tell()
            if to_tell.adds_to(told):
                await self._speak_with(self._fan_out(to_tell, told))
            elif not await self._wait_for_news():
                await self._speak_with(1)
            told = to_tell

    def _to_tell(self) -> "_Told":
        items = self._fleet.leaving_items()
        ids = {(item.endpoint_id, item.origin, item.number) for item in items}
        return _Told(self._settings.version, frozenset(ids))

    def _fan_out(self, to_tell: "_Told", told: "_Told") -> int:
        from_platform = not self._settings.heard_at
        only_settings = to_tell.item_ids <= told.item_ids
        return leaving_notices.gossip_fanout(
            len(self.peer_urls()),
            from_platform=from_platform and only_settings,
        )

    async def _speak_with(self, count: int) -> None:
        drawn = leaving_notices.sample_peers(
            self.peer_urls(), count, self._random
        )
        await asyncio.gather(*(self._speak(url) for url in drawn))

    async def _wait_for_news(self) -> bool:
        timeout_s = INTERVAL_S * self._random.uniform(0.7, 1.3)
        waits = {
            asyncio.create_task(self._settings.changes.wait(timeout_s)),
            asyncio.create_task(self._fleet.heard.wait(timeout_s)),
        }
        done, pending = await asyncio.wait(
            waits, return_when=asyncio.FIRST_COMPLETED
        )
        for task in pending:
            task.cancel()
        return any(task.result() for task in done)

    def message(self) -> Exchange:
        """Returns what this process has to tell."""
        version = self._settings.version
        age_s = self._fleet.list_age_s() if self._fleet.listed else -1.0
        return Exchange(
            url=self._own_url(),
            revision=version.revision,
            index=version.index,
            list_age_s=age_s,
            leaving=tuple(self._fleet.leaving_items()),
        )

    def receive(self, message: Exchange) -> None:
        """Takes a peer's message; what is missing is fetched in a task.

        Args:
          message: The message.
        """
        self._fleet.receive(list(message.leaving))
        task = asyncio.create_task(self._catch_up(message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _speak(self, url: str) -> None:
        body = codec.encode(self.message())
        try:
            reply = await self._client.call(
                "POST",
                url + peers.EXCHANGE_PATH,
                body,
                timeout_s=_CALL_TIMEOUT_S,
                headers=self._auth.headers(body),
            )
            answer = self._checked(reply, Exchange)
        except (peer_client.PeerError, codec.CodecError) as error:
            self._metrics.events.inc({"event": "peer_unavailable"})
            self._log.warning("peer_unavailable", url=url, reason=str(error))
            return
        self._fleet.receive(list(answer.leaving))
        await self._catch_up(dataclasses.replace(answer, url=url))

    async def _catch_up(self, message: Exchange) -> None:
        try:
            await self._pull_settings(message)
            await self._pull_list(message)
        except (
            peer_client.PeerError,
            codec.CodecError,
            errors.SettingsError,
        ) as error:
            self._metrics.events.inc({"event": "peer_unavailable"})
            self._log.warning(
                "peer_unavailable", url=message.url, reason=str(error)
            )

    async def _pull_settings(self, message: Exchange) -> None:
        offered = settings_version.Version(message.revision, message.index)
        if not self._settings.wants(offered):
            return
        reply = await self._client.call(
            "GET", message.url + peers.SETTINGS_PATH, timeout_s=_CALL_TIMEOUT_S
        )
        head = parts.read_head(self._accepted(reply))
        await self._settings.offer(head, message.url)

    async def _pull_list(self, message: Exchange) -> None:
        if message.list_age_s < 0:
            return
        age_s = self._fleet.list_age_s()
        if self._fleet.listed and message.list_age_s + _LIST_MARGIN_S > age_s:
            return
        reply = await self._client.call(
            "GET", message.url + peers.FLEET_PATH, timeout_s=_CALL_TIMEOUT_S
        )
        fleet = self._checked(reply, model.Fleet)
        self._fleet.put_list(fleet.vms_by_id, message.list_age_s)

    def _checked(self, reply: peer_client.Reply, kind: type) -> object:
        return codec.decode(kind, self._accepted(reply))

    def _accepted(self, reply: peer_client.Reply) -> bytes:
        if reply.status != _STATUS_OK:
            raise peer_client.PeerError(f"status {reply.status}")
        signature = reply.headers.get(peer_auth.HEADER)
        if not self._auth.accepts(reply.body, signature):
            raise peer_client.PeerError("the answer isn't signed by a peer")
        return reply.body
