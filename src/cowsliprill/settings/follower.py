"""Client that follows settings and fleet of this VM's settings process."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from cowsliprill import change_notifier as change_notifier_lib
from cowsliprill import codec
from cowsliprill import environment as environment_lib
from cowsliprill import peer_auth
from cowsliprill import peer_client
from cowsliprill import peers
from cowsliprill.decisions import model
from cowsliprill.decisions import settings_version
from cowsliprill.observability import log as log_lib
from cowsliprill.settings import fetch
from cowsliprill.settings import parts
from cowsliprill.settings import resolve
from cowsliprill.settings import service as service_lib
from cowsliprill.settings import store as store_lib

# A lost long poll looks like one without changes until its timeout.
_LONG_POLL_S = 3.0
_LONG_POLL_TIMEOUT_S = _LONG_POLL_S + 1.5
_CALL_TIMEOUT_S = 2.0
_RETRY_DELAY_S = 0.2
_STATUS_OK = 200
_STATUS_NO_CONTENT = 204


class Follower:
    """Follows this VM's settings process by long polling.

    While the settings process is unreachable, the last settings and fleet stay
    active.

    Args:
      environment: Configuration from the environment variables.
      client: HTTP client.
      log: Log of this process.

    Attributes:
      snapshot: The active settings; revision 0 before the first.
      fleet: The VM list with the ids of leaving endpoints.
      lists_ends: False: endpoints stay in the settings when they end.
    """

    lists_ends = False

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
        self._tracker = settings_version.VersionTracker()
        self._resolver = resolve.Resolver()
        self._store = store_lib.PartStore()
        self._fetcher = fetch.Fetcher(
            self._store, lambda *_: [fetch.PeerSource(client, self._url)]
        )
        self._callbacks: list[Callable[[], None]] = []
        self._changes = change_notifier_lib.ChangeNotifier()
        self._unreachable: set[str] = set()
        self._last_older_version = settings_version.Version()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a callback without arguments, called after each change."""
        self._callbacks.append(callback)

    async def ready(self) -> None:
        """Waits for the first settings and the first fleet."""
        while not self.is_ready():
            await self._changes.wait(_LONG_POLL_S)

    def is_ready(self) -> bool:
        """Returns whether both the settings and the fleet were received."""
        return self.snapshot.revision > 0 and self.fleet.version > 0

    async def run(self) -> None:
        """Polls the settings process until cancelled."""
        await asyncio.gather(
            self._poll_forever("settings", self._poll_settings),
            self._poll_forever("fleet", self._poll_fleet),
        )

    def accepts_api_keys(self) -> bool:
        """Returns True: keys stay valid whatever the age of the settings."""
        return True

    async def report_leaving(self, endpoint_id: str, ttl_s: float) -> None:
        """Reports a leaving endpoint, for announcement to all VMs.

        A failed report is only logged.

        Args:
          endpoint_id: Id of the endpoint that returned a draining response.
          ttl_s: TTL of the leaving notice in seconds.
        """
        report = service_lib.LeavingReport(endpoint_id, ttl_s)
        await self._post_report(peers.LEAVING_PATH, codec.encode(report))

    async def audit(self, entry: dict[str, Any]) -> None:
        """Adds an entry to this VM's audit trail; a failure is only logged.

        Args:
          entry: Fields of the entry; `action` names the event.
        """
        await self._post_report(peers.AUDIT_PATH, json.dumps(entry).encode())

    async def _post_report(self, path: str, body: bytes) -> None:
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
                "report_lost",
                path=path,
                reason=f"unexpected HTTP status {reply.status}",
            )

    async def _poll_forever(
        self, what: str, poll_once: Callable[[], Any]
    ) -> None:
        while True:
            try:
                await poll_once()
            except Exception as error:
                # Catch every error: a process whose polling ended would serve
                # with its last settings forever and still look healthy.
                self._record_unreachable(what, repr(error))
                await asyncio.sleep(_RETRY_DELAY_S)
            else:
                self._record_reachable(what)

    async def _poll_settings(self) -> None:
        active = self._tracker.in_force
        body = await self._poll(
            f"{peers.SETTINGS_PATH}?have={active.revision}&index={active.index}"
        )
        if not body:
            return
        head = parts.parse_head(body)
        version = settings_version.Version(head.revision, head.index)
        if (
            self._tracker.classify(version)
            is not settings_version.Verdict.NEWER
        ):
            # The settings process restarted and has an older version than this
            # process. Its peers or the platform will bring it up to date.
            self._log_older_version(version)
            await asyncio.sleep(_RETRY_DELAY_S)
            return
        await self._activate(head, version)

    async def _activate(
        self, head: parts.Head, version: settings_version.Version
    ) -> None:
        index = await self._fetcher.complete(head, self._url)
        snapshot = self._resolver.resolve(
            head.revision, index, self._store.packed_text
        )
        if not self._tracker.accept(version):
            return
        self._store.activate(head.index, index)
        self.snapshot = snapshot
        self._log.event("settings_followed", revision=head.revision)
        self._notify_changed()

    async def _poll_fleet(self) -> None:
        body = await self._poll(f"{peers.FLEET_PATH}?have={self.fleet.version}")
        if not body:
            return
        self.fleet = codec.decode(model.Fleet, body)
        self._notify_changed()

    async def _poll(self, path: str) -> bytes:
        reply = await self._client.call(
            "GET",
            f"{self._url}{path}&wait_s={_LONG_POLL_S}",
            timeout_s=_LONG_POLL_TIMEOUT_S,
        )
        if reply.status == _STATUS_NO_CONTENT:
            return b""
        if reply.status != _STATUS_OK:
            raise peer_client.PeerError(
                f"{path}: unexpected HTTP status {reply.status}"
            )
        return reply.body

    def _notify_changed(self) -> None:
        self._changes.notify()
        for callback in self._callbacks:
            callback()

    def _log_older_version(self, version: settings_version.Version) -> None:
        if version != self._last_older_version:
            self._log.warning(
                "settings_offered_older",
                revision=version.revision,
                in_force=self._tracker.in_force.revision,
            )
        self._last_older_version = version

    def _record_unreachable(self, what: str, reason: str) -> None:
        if what not in self._unreachable:
            self._log.warning("settings_away", what=what, reason=reason)
        self._unreachable.add(what)

    def _record_reachable(self, what: str) -> None:
        if what in self._unreachable:
            self._log.event("settings_back", what=what)
        self._unreachable.discard(what)
