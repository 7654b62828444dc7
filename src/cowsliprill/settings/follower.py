"""The settings and the fleet in a process other than the settings process."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from cowsliprill import codec
from cowsliprill import environment as environment_lib
from cowsliprill import peer_auth
from cowsliprill import peer_client
from cowsliprill import peers
from cowsliprill.decisions import model
from cowsliprill.decisions import settings_version
from cowsliprill.observability import log as log_lib
from cowsliprill.settings import changes as changes_lib
from cowsliprill.settings import fetch
from cowsliprill.settings import parts
from cowsliprill.settings import resolve
from cowsliprill.settings import service as service_lib
from cowsliprill.settings import store as store_lib

# A poll that is lost looks like one without news until its time is over.
_WAIT_S = 3.0
_TIMEOUT_S = _WAIT_S + 1.5
_CALL_TIMEOUT_S = 2.0
_RETRY_S = 0.2
_STATUS_OK = 200
_STATUS_NOTHING_NEW = 204


class Follower:
    """Follows this VM's settings process.

    While that process is away, the last settings and fleet stay in force.

    Args:
      environment: What this process was told about itself.
      client: HTTP client.
      log: This process's log.

    Attributes:
      snapshot: The settings in force; revision 0 before the first.
      fleet: The VM list with news.
    """

    def __init__(
        self,
        environment: environment_lib.Environment,
        client: peer_client.PeerClient,
        log: log_lib.Log,
    ) -> None:
        self.snapshot = model.Snapshot()
        self.fleet = model.Fleet()
        self._url = environment.settings_url
        self._auth = peer_auth.PeerAuth(
            environment.peer_secret.get_secret_value()
        )
        self._client = client
        self._log = log
        self._version_tracker = settings_version.VersionTracker()
        self._resolver = resolve.Resolver()
        self._store = store_lib.PartStore()
        self._fetcher = fetch.Fetcher(
            self._store, lambda *_: [fetch.PeerSource(client, self._url)]
        )
        self._callbacks: list[Callable[[], None]] = []
        self._changes = changes_lib.Changes()
        self._away: set[str] = set()
        self._offered_older = settings_version.Version()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Has a function called, without arguments, after each change."""
        self._callbacks.append(callback)

    async def ready(self) -> None:
        """Waits for the first settings and the first fleet."""
        while not self.is_ready():
            await self._changes.wait(_WAIT_S)

    def is_ready(self) -> bool:
        """Returns whether settings and fleet are known."""
        return self.snapshot.revision > 0 and self.fleet.version > 0

    async def run(self) -> None:
        """Follows until cancelled."""
        await asyncio.gather(
            self._follow("settings", self._next_settings),
            self._follow("fleet", self._next_fleet),
        )

    def accepts_api_keys(self) -> bool:
        """Returns True: this platform sets no bound for revoked keys."""
        return True

    async def report_leaving(self, endpoint_id: str, ttl_s: float) -> None:
        """Tells all VMs that an endpoint is leaving; a lost report is logged.

        Args:
          endpoint_id: The endpoint that gave a draining answer.
          ttl_s: How long the news shall hold, seconds.
        """
        report = service_lib.LeavingReport(endpoint_id, ttl_s)
        await self._tell(peers.LEAVING_PATH, codec.encode(report))

    async def audit(self, entry: dict[str, Any]) -> None:
        """Adds an entry to this VM's audit trail; a lost one is logged.

        Args:
          entry: The pairs; `action` names what happened.
        """
        await self._tell(peers.AUDIT_PATH, json.dumps(entry).encode())

    async def _tell(self, path: str, body: bytes) -> None:
        headers = self._auth.headers(body)
        try:
            reply = await self._client.call(
                "POST",
                self._url + path,
                body,
                timeout_s=_CALL_TIMEOUT_S,
                headers=headers,
            )
        except peer_client.PeerError as error:
            self._log.warning("report_lost", path=path, reason=str(error))
            return
        if reply.status != _STATUS_OK:
            self._log.warning(
                "report_lost", path=path, reason=f"status {reply.status}"
            )

    async def _follow(self, what: str, step: Callable[[], Any]) -> None:
        while True:
            try:
                await step()
            except Exception as error:
                # Whatever it is: a process that no longer follows would serve
                # by its last settings for ever and look healthy.
                self._note_away(what, repr(error))
                await asyncio.sleep(_RETRY_S)
            else:
                self._note_back(what)

    async def _next_settings(self) -> None:
        have = self._version_tracker.in_force
        body = await self._poll(
            f"{peers.SETTINGS_PATH}?have={have.revision}&index={have.index}"
        )
        if not body:
            return
        head = parts.read_head(body)
        version = settings_version.Version(head.revision, head.index)
        if (
            self._version_tracker.classify(version)
            is not settings_version.Verdict.NEWER
        ):
            # The settings process began anew and knows less than we do. It
            # will hear of ours from its peers or the platform.
            self._note_older(version)
            await asyncio.sleep(_RETRY_S)
            return
        await self._put_in_force(head, version)

    async def _put_in_force(
        self, head: parts.Head, version: settings_version.Version
    ) -> None:
        index = await self._fetcher.complete(head, self._url)
        snapshot = self._resolver.resolve(
            head.revision, index, self._store.held
        )
        if not self._version_tracker.accept(version):
            return
        self._store.put_in_force(head.index, index)
        self.snapshot = snapshot
        self._log.event("settings_followed", revision=head.revision)
        self._changed()

    async def _next_fleet(self) -> None:
        body = await self._poll(f"{peers.FLEET_PATH}?have={self.fleet.version}")
        if not body:
            return
        self.fleet = codec.decode(model.Fleet, body)
        self._changed()

    async def _poll(self, path: str) -> bytes:
        reply = await self._client.call(
            "GET",
            f"{self._url}{path}&wait_s={_WAIT_S}",
            timeout_s=_TIMEOUT_S,
        )
        if reply.status == _STATUS_NOTHING_NEW:
            return b""
        if reply.status != _STATUS_OK:
            raise peer_client.PeerError(f"{path}: status {reply.status}")
        return reply.body

    def _changed(self) -> None:
        self._changes.notify()
        for callback in self._callbacks:
            callback()

    def _note_older(self, version: settings_version.Version) -> None:
        if version != self._offered_older:
            self._log.warning(
                "settings_offered_older",
                revision=version.revision,
                in_force=self._version_tracker.in_force.revision,
            )
        self._offered_older = version

    def _note_away(self, what: str, reason: str) -> None:
        if what not in self._away:
            self._log.warning("settings_away", what=what, reason=reason)
        self._away.add(what)

    def _note_back(self, what: str) -> None:
        if what in self._away:
            self._log.event("settings_back", what=what)
        self._away.discard(what)
