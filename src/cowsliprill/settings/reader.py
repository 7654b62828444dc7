"""The tasks that read from the platform: the settings and the VM list."""

import asyncio
import random

from cowsliprill.decisions import pacing
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.settings import controller as controller_lib
from cowsliprill.settings import errors
from cowsliprill.settings import fleet as fleet_lib
from cowsliprill.settings import platform_client

# A watch waits so long. Were it longer, a platform that takes calls but never
# answers would hide its recovery for as long.
_WATCH_S = 5.0
_UNWATCHED_S = 1.0
_LIST_INTERVAL_S = 2.0
_READ_ALL = -1


class _Health:
    """Tells of a source's faults, once at each change."""

    def __init__(
        self, name: str, log: log_lib.Log, metrics: metrics_lib.Metrics
    ) -> None:
        self._name = name
        self._log = log
        self._metrics = metrics
        self._trouble = ""

    def well(self) -> None:
        if self._trouble:
            self._log.event(f"{self._name}_recovered", after=self._trouble)
        self._trouble = ""

    def trouble(self, code: str, reason: str) -> None:
        self._metrics.events.inc({"event": f"{self._name}_{code}"})
        if code != self._trouble:
            self._log.warning(f"{self._name}_trouble", code=code, reason=reason)
        self._trouble = code


class SettingsReader:
    """Watches the platform's head and offers what it says.

    Args:
      client: The platform's client.
      settings: Owner of the settings.
      random_source: Source of jitter.
      log: This process's log.
      metrics: This process's metrics.
    """

    def __init__(
        self,
        client: platform_client.PlatformClient,
        settings: controller_lib.SettingsController,
        random_source: random.Random,
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._client = client
        self._settings = settings
        self._backoff = pacing.Backoff(random_source)
        self._health = _Health("platform", log, metrics)

    async def run(self) -> None:
        """Reads and watches in turn, until cancelled.

        A watch tells only of higher numbers. Of two operators who published
        one number at once, the later one's version would stay unseen until
        some VM restarts; so after each watch that ends with nothing the head
        is read as it is.
        """
        above = _READ_ALL
        while True:
            accepted = await self.read(above)
            if accepted or above == _READ_ALL:
                above = self._settings.version.revision
            else:
                above = _READ_ALL

    async def read(self, above: int) -> bool:
        """Reads or watches once, and waits after a fault.

        Args:
          above: Revision to watch above; -1 reads what there is.

        Returns:
          Whether a version was accepted.
        """
        try:
            head = await self._client.head(above, _WATCH_S)
        except errors.PlatformError as error:
            await self._pause(error.code, str(error))
            return False
        if head is None:
            self._healthy()
            return False
        outcome = await self._settings.offer(head, "")
        match outcome:
            case controller_lib.Outcome.ACCEPTED:
                self._healthy()
                return True
            case controller_lib.Outcome.UNCHANGED if above == _READ_ALL:
                self._healthy()
            case (
                controller_lib.Outcome.UNCHANGED | controller_lib.Outcome.OLDER
            ) if head.revision > above != _READ_ALL:
                # A peer brought it, or a newer one, while the watch waited.
                self._healthy()
            case controller_lib.Outcome.UNCHANGED:
                # A watch that doesn't wait would be called without end, and
                # use up the calls that all readers share.
                await self._pause(
                    "watch_ignored", "a watch didn't wait", _UNWATCHED_S
                )
            case _:
                in_force = self._settings.version.revision
                await self._pause(
                    f"settings_{outcome}",
                    f"offers revision {head.revision}, in force is {in_force}",
                )
        return False

    def _healthy(self) -> None:
        self._health.well()
        self._backoff.reset()

    async def _pause(
        self, code: str, reason: str, least_s: float = 0.0
    ) -> None:
        self._health.trouble(code, reason)
        await asyncio.sleep(max(least_s, self._backoff.next_delay_s()))


class ListReader:
    """Reads the VM list regularly.

    Args:
      client: The platform's client.
      fleet: Owner of the list.
      random_source: Source of jitter.
      log: This process's log.
      metrics: This process's metrics.
    """

    def __init__(
        self,
        client: platform_client.PlatformClient,
        fleet: fleet_lib.FleetController,
        random_source: random.Random,
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._client = client
        self._fleet = fleet
        self._random = random_source
        self._backoff = pacing.Backoff(random_source)
        self._health = _Health("vm_list", log, metrics)

    async def run(self) -> None:
        """Reads until cancelled."""
        while True:
            pause_s = await self.read()
            await asyncio.sleep(pause_s)

    async def read(self) -> float:
        """Reads the list once.

        Returns:
          Seconds to wait before the next time.
        """
        try:
            vms_by_id = await self._client.vms()
        except errors.PlatformError as error:
            self._health.trouble(error.code, str(error))
            return self._backoff.next_delay_s()
        if not self._fleet.put_list(vms_by_id):
            self._health.trouble("value_invalid", "the VM list is empty")
            return self._backoff.next_delay_s()
        self._health.well()
        self._backoff.reset()
        self._client.share_with(1 + len(self._fleet.other_entry_urls()))
        return _LIST_INTERVAL_S * self._random.uniform(0.7, 1.3)
