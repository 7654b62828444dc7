"""Gossip of settings versions and leaving notices between settings processes.

A process that activates a version or receives a leaving notice announces it to
about ln n random peers at once. In addition, each process contacts one random
peer every few seconds (anti-entropy), which repairs messages lost on the way or
blocked by a partition. Both use the same message, and the reply is a message of
the same type.
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

GOSSIP_INTERVAL_S = 3.0

_STATUS_OK = 200
_CALL_TIMEOUT_S = 2.0

# A peer's VM list replaces the local one only if read from the platform this
# much later, so that peers don't swap lists while the platform is up.
_MIN_VM_LIST_AGE_GAIN_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeMessage:
    """Gossip message between two settings processes.

    Attributes:
      url: URL of the sender.
      revision: Revision active at the sender, 0 for none.
      index: Hash of the index of that revision.
      list_age_s: Age of the sender's VM list in seconds since the read from
        the platform; negative if never read.
      leaving: Leaving notices of endpoints.
    """

    url: str
    revision: int
    index: str
    list_age_s: float = -1.0
    leaving: tuple[leaving_notices.LeavingNotice, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Announced:
    """State that was announced to peers: version and leaving notice ids."""

    version: settings_version.Version = settings_version.Version()
    item_ids: frozenset[tuple[str, str, int]] = frozenset()

    def has_updates_since(self, announced: "_Announced") -> bool:
        """Returns whether any of this state was not announced yet."""
        newer = self.version > announced.version
        return newer or not self.item_ids <= announced.item_ids


class SettingsGossip:
    """Gossips with the settings processes of the other VMs.

    Args:
      own_url: Returns the URL of this process.
      boot_peers: URLs of peers to contact before the VM list is known.
      settings: Controller of the active settings.
      fleet: Controller of the VM list and the leaving notices.
      client: HTTP client.
      auth: Signs and verifies message bodies.
      random_source: Source for peer selection and jitter.
      log: Log of this process.
      metrics: Metrics of this process.
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
        """Returns URLs of the listed peers, or the boot peers if none."""
        listed_urls = self._fleet.other_settings_urls()
        return listed_urls or [
            url for url in self._boot_peers if url != self._own_url()
        ]

    async def query_boot_peers(self) -> None:
        """Exchanges messages with all boot peers before this VM is ready.

        A new VM gets no settings from a platform that is down, and an outdated
        revision from a stale one, and would then apply outdated rules to its
        callers. Boot peers supply the revision that is active elsewhere.
        """
        await asyncio.gather(
            *(self._exchange_with(url) for url in self._boot_peers)
        )

    async def run(self) -> None:
        """Gossips with peers until cancelled."""
        announced = _Announced()
        while True:
            current = self._current_state()
            if current.has_updates_since(announced):
                await self._exchange_with_random_peers(
                    self._fan_out(current, announced)
                )
            elif not await self._wait_for_update():
                await self._exchange_with_random_peers(1)
            announced = current

    def _current_state(self) -> "_Announced":
        items = self._fleet.leaving_notices()
        ids = {(item.endpoint_id, item.origin, item.number) for item in items}
        return _Announced(self._settings.version, frozenset(ids))

    def _fan_out(self, current: "_Announced", announced: "_Announced") -> int:
        from_platform = not self._settings.source_url
        only_settings = current.item_ids <= announced.item_ids
        return leaving_notices.gossip_fanout(
            len(self.peer_urls()),
            from_platform=from_platform and only_settings,
        )

    async def _exchange_with_random_peers(self, count: int) -> None:
        chosen = leaving_notices.sample_peers(
            self.peer_urls(), count, self._random
        )
        await asyncio.gather(*(self._exchange_with(url) for url in chosen))

    async def _wait_for_update(self) -> bool:
        timeout_s = GOSSIP_INTERVAL_S * self._random.uniform(0.7, 1.3)
        wait_tasks = {
            asyncio.create_task(self._settings.changes.wait(timeout_s)),
            asyncio.create_task(self._fleet.notices_changed.wait(timeout_s)),
        }
        done, pending = await asyncio.wait(
            wait_tasks, return_when=asyncio.FIRST_COMPLETED
        )
        for task in pending:
            task.cancel()
        return any(task.result() for task in done)

    def message(self) -> ExchangeMessage:
        """Returns a message with the current state of this process."""
        version = self._settings.version
        age_s = self._fleet.list_age_s() if self._fleet.listed else -1.0
        return ExchangeMessage(
            url=self._own_url(),
            revision=version.revision,
            index=version.index,
            list_age_s=age_s,
            leaving=tuple(self._fleet.leaving_notices()),
        )

    def receive(self, message: ExchangeMessage) -> None:
        """Handles a peer's message; a task fetches what is missing here.

        Args:
          message: The message received.
        """
        self._fleet.receive(list(message.leaving))
        task = asyncio.create_task(self._sync_from(message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _exchange_with(self, url: str) -> None:
        body = codec.encode(self.message())
        try:
            reply = await self._client.call(
                "POST",
                url + peers.EXCHANGE_PATH,
                body,
                timeout_s=_CALL_TIMEOUT_S,
                headers=self._auth.headers(body),
            )
            answer = self._decode_verified(reply, ExchangeMessage)
        except (peer_client.PeerError, codec.CodecError) as error:
            self._metrics.events.inc({"event": "peer_unavailable"})
            self._log.warning("peer_unavailable", url=url, reason=str(error))
            return
        self._fleet.receive(list(answer.leaving))
        await self._sync_from(dataclasses.replace(answer, url=url))

    async def _sync_from(self, message: ExchangeMessage) -> None:
        try:
            await self._pull_settings(message)
            await self._pull_vm_list(message)
        except (
            peer_client.PeerError,
            codec.CodecError,
            errors.SettingsError,
        ) as error:
            self._metrics.events.inc({"event": "peer_unavailable"})
            self._log.warning(
                "peer_unavailable", url=message.url, reason=str(error)
            )

    async def _pull_settings(self, message: ExchangeMessage) -> None:
        offered = settings_version.Version(message.revision, message.index)
        if not self._settings.should_fetch(offered):
            return
        reply = await self._client.call(
            "GET", message.url + peers.SETTINGS_PATH, timeout_s=_CALL_TIMEOUT_S
        )
        head = parts.parse_head(self._verified_body(reply))
        await self._settings.submit(head, message.url)

    async def _pull_vm_list(self, message: ExchangeMessage) -> None:
        if message.list_age_s < 0:
            return
        age_s = self._fleet.list_age_s()
        if (
            self._fleet.listed
            and message.list_age_s + _MIN_VM_LIST_AGE_GAIN_S > age_s
        ):
            return
        reply = await self._client.call(
            "GET", message.url + peers.FLEET_PATH, timeout_s=_CALL_TIMEOUT_S
        )
        fleet = self._decode_verified(reply, model.Fleet)
        self._fleet.apply_vm_list(fleet.vms_by_id, message.list_age_s)

    def _decode_verified(
        self, reply: peer_client.PeerResponse, message_type: type
    ) -> object:
        return codec.decode(message_type, self._verified_body(reply))

    def _verified_body(self, reply: peer_client.PeerResponse) -> bytes:
        if reply.status != _STATUS_OK:
            raise peer_client.PeerError(
                f"unexpected HTTP status {reply.status}"
            )
        signature = reply.headers.get(peer_auth.HEADER)
        if not self._auth.verify(reply.body, signature):
            raise peer_client.PeerError("the reply has no valid peer signature")
        return reply.body
