"""Tasks that watch the platform's settings head and poll the VM list."""

import asyncio
import random

from cowsliprill.decisions import pacing
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.settings import controller as controller_lib
from cowsliprill.settings import errors
from cowsliprill.settings import fleet as fleet_lib
from cowsliprill.settings import platform_client

# A longer watch would delay detecting the recovery of a platform that accepts
# calls but doesn't respond.
_WATCH_TIMEOUT_S = 5.0
_IGNORED_WATCH_MIN_DELAY_S = 1.0
_VM_LIST_INTERVAL_S = 2.0
_READ_CURRENT = -1


class _SourceStatus:
    """Logs the faults of a source, once per change of the error code."""

    def __init__(
        self, name: str, log: log_lib.Log, metrics: metrics_lib.Metrics
    ) -> None:
        self._name = name
        self._log = log
        self._metrics = metrics
        self._fault_code = ""

    def record_success(self) -> None:
        if self._fault_code:
            self._log.event(f"{self._name}_recovered", after=self._fault_code)
        self._fault_code = ""

    def record_fault(self, code: str, reason: str) -> None:
        self._metrics.events.inc({"event": f"{self._name}_{code}"})
        if code != self._fault_code:
            self._log.warning(f"{self._name}_trouble", code=code, reason=reason)
        self._fault_code = code


class HeadWatcher:
    """Watches the platform's settings head and submits new versions.

    Args:
      client: Client of the platform.
      settings: Controller of the active settings.
      random_source: Source of jitter.
      log: Log of this process.
      metrics: Metrics of this process.
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
        self._source_status = _SourceStatus("platform", log, metrics)

    async def run(self) -> None:
        """Watches for new revisions until cancelled.

        A watch reports only higher revision numbers. If two operators publish
        the same number at once, the later version would stay unnoticed until a
        VM restarts, so a plain read follows each watch without a new version.
        """
        above_revision = _READ_CURRENT
        while True:
            accepted = await self.read(above_revision)
            if accepted or above_revision == _READ_CURRENT:
                above_revision = self._settings.version.revision
            else:
                above_revision = _READ_CURRENT

    async def read(self, above_revision: int) -> bool:
        """Reads or watches the head once and backs off after a fault.

        Args:
          above_revision: Watch for a revision above this one; -1 reads the
            current head.

        Returns:
          Whether a new version was activated.
        """
        try:
            head = await self._client.head(above_revision, _WATCH_TIMEOUT_S)
        except errors.PlatformError as error:
            await self._fail_and_back_off(error.code, str(error))
            return False
        if head is None:
            self._mark_healthy()
            return False
        outcome = await self._settings.submit(head, "")
        match outcome:
            case controller_lib.Outcome.ACCEPTED:
                self._mark_healthy()
                return True
            case controller_lib.Outcome.UNCHANGED if (
                above_revision == _READ_CURRENT
            ):
                self._mark_healthy()
            case (
                controller_lib.Outcome.UNCHANGED | controller_lib.Outcome.OLDER
            ) if head.revision > above_revision != _READ_CURRENT:
                # A peer announced this version or a newer one during the watch.
                self._mark_healthy()
            case controller_lib.Outcome.UNCHANGED:
                # Repeating a watch that returns at once would use up the call
                # rate that all VMs share.
                await self._fail_and_back_off(
                    "watch_ignored",
                    "the watch returned at once without a newer revision",
                    _IGNORED_WATCH_MIN_DELAY_S,
                )
            case _:
                active_revision = self._settings.version.revision
                await self._fail_and_back_off(
                    f"settings_{outcome}",
                    f"head has revision {head.revision}, "
                    f"active is {active_revision}",
                )
        return False

    def _mark_healthy(self) -> None:
        self._source_status.record_success()
        self._backoff.reset()

    async def _fail_and_back_off(
        self, code: str, reason: str, min_delay_s: float = 0.0
    ) -> None:
        self._source_status.record_fault(code, reason)
        await asyncio.sleep(max(min_delay_s, self._backoff.next_delay_s()))


class VmListPoller:
    """Polls the platform's VM list.

    Args:
      client: Client of the platform.
      fleet: Controller of the VM list.
      random_source: Source of jitter.
      log: Log of this process.
      metrics: Metrics of this process.
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
        self._source_status = _SourceStatus("vm_list", log, metrics)

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            delay_s = await self.read()
            await asyncio.sleep(delay_s)

    async def read(self) -> float:
        """Reads the VM list once.

        Returns:
          Delay before the next read, in seconds.
        """
        try:
            vms_by_id = await self._client.vms()
        except errors.PlatformError as error:
            self._source_status.record_fault(error.code, str(error))
            return self._backoff.next_delay_s()
        if not self._fleet.apply_vm_list(vms_by_id):
            self._source_status.record_fault(
                "value_invalid", "the VM list is empty"
            )
            return self._backoff.next_delay_s()
        self._source_status.record_success()
        self._backoff.reset()
        self._client.set_reader_count(
            1 + len(self._fleet.other_settings_urls())
        )
        return _VM_LIST_INTERVAL_S * self._random.uniform(0.7, 1.3)
