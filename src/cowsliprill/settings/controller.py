"""Controller of the settings that are active on this VM.

Versions announced by the platform or by peers enter one queue as candidates.
A single task processes them in order: it fetches each newer version, validates
it as a whole and activates it.
"""

import asyncio
import dataclasses
import enum

from cowsliprill import change_notifier as change_notifier_lib
from cowsliprill import clock
from cowsliprill.decisions import model
from cowsliprill.decisions import settings_version
from cowsliprill.observability import audit as audit_lib
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.settings import errors
from cowsliprill.settings import fetch
from cowsliprill.settings import parts
from cowsliprill.settings import resolve
from cowsliprill.settings import snapshot_diff
from cowsliprill.settings import store as store_lib

# Peers announce versions again at the next exchange, so candidates beyond
# this limit may be dropped.
_MAX_QUEUED_CANDIDATES = 64
_MAX_AUDITED_CHANGES = 20


class Outcome(enum.StrEnum):
    """Result of processing a candidate version."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    OLDER = "older"
    INVALID = "invalid"
    INCOMPLETE = "incomplete"


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An announced version that waits in the queue.

    Attributes:
      head: Head of the version.
      source_url: URL of the settings process that announced the version, or
        empty for the platform.
      outcome: Future that receives the result.
    """

    head: parts.Head
    source_url: str
    outcome: asyncio.Future[Outcome]


def version_of(head: parts.Head) -> settings_version.Version:
    """Returns the version identified by a head."""
    return settings_version.Version(head.revision, head.index)


class SettingsController:
    """Holds the active version, its parts and its resolved snapshot.

    Args:
      store: Store of the parts.
      fetcher: Fetches missing parts into the store.
      resolver: Validates and resolves a version.
      log: Log of this process.
      metrics: Metrics of this process.
      audit: Audit trail of this VM.

    Attributes:
      head: Head of the active version, None before the first.
      snapshot: The active settings.
      source_url: URL of the settings process that announced the active
        version, or empty for the platform.
      active_since: Time of activation in seconds.
      changes: Notified after each activation.
    """

    def __init__(
        self,
        store: store_lib.PartStore,
        fetcher: fetch.Fetcher,
        resolver: resolve.Resolver,
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
        audit: audit_lib.AuditTrail,
    ) -> None:
        self.head: parts.Head | None = None
        self.snapshot = model.Snapshot()
        self.source_url = ""
        self.active_since = 0.0
        self.changes = change_notifier_lib.ChangeNotifier()
        self._store = store
        self._fetcher = fetcher
        self._log = log
        self._metrics = metrics
        self._audit = audit
        self._tracker = settings_version.VersionTracker()
        self._resolver = resolver
        self._candidates: asyncio.Queue[Candidate] = asyncio.Queue(
            _MAX_QUEUED_CANDIDATES
        )
        self._reported_conflict = settings_version.Version()
        metrics.revision.set({}, 0)

    @property
    def version(self) -> settings_version.Version:
        """The active version."""
        return self._tracker.in_force

    def should_fetch(self, version: settings_version.Version) -> bool:
        """Returns whether a version is newer and was not rejected before."""
        return self._tracker.classify(version) is settings_version.Verdict.NEWER

    def refused(self) -> dict[settings_version.Version, str]:
        """Returns the recently rejected versions with the reasons."""
        return self._tracker.refused()

    async def submit(self, head: parts.Head, source_url: str) -> Outcome:
        """Queues a version as a candidate and waits for the outcome.

        Args:
          head: Head of the version.
          source_url: URL of the settings process that announced the version,
            or empty for the platform.

        Returns:
          The outcome; INCOMPLETE also if the queue is full.
        """
        known_outcome = self._known_outcome(head)
        if known_outcome is not None:
            return known_outcome
        outcome = asyncio.get_running_loop().create_future()
        try:
            self._candidates.put_nowait(Candidate(head, source_url, outcome))
        except asyncio.QueueFull:
            return Outcome.INCOMPLETE
        return await outcome

    async def run(self) -> None:
        """Processes queued candidates until cancelled."""
        while True:
            candidate = await self._candidates.get()
            outcome = self._known_outcome(candidate.head)
            if outcome is None:
                outcome = await self._process(candidate)
            if not candidate.outcome.done():
                candidate.outcome.set_result(outcome)

    def _known_outcome(self, head: parts.Head) -> Outcome | None:
        version = version_of(head)
        if self._tracker.conflicts(version):
            self._report_conflict(head)
        match self._tracker.classify(version):
            case settings_version.Verdict.IN_FORCE:
                return Outcome.UNCHANGED
            case settings_version.Verdict.OLDER:
                return Outcome.OLDER
            case settings_version.Verdict.REFUSED_BEFORE:
                return Outcome.INVALID
            case settings_version.Verdict.NEWER:
                return None

    async def _process(self, candidate: Candidate) -> Outcome:
        head = candidate.head
        try:
            index = await self._fetcher.complete(head, candidate.source_url)
        except errors.SettingsError as error:
            if error.code != "part_missing":
                return self._reject(head, error)
            self._log_failure("settings_incomplete", head, error)
            return Outcome.INCOMPLETE
        except Exception as error:
            # An unexpected response from a source must not end this task, and
            # doesn't invalidate the revision: another source may have it.
            internal_error = errors.SettingsError(
                repr(error), code="internal_error"
            )
            self._log_failure("settings_incomplete", head, internal_error)
            return Outcome.INCOMPLETE
        try:
            snapshot = self._resolver.resolve(
                head.revision, index, self._store.packed_text
            )
        except errors.SettingsError as error:
            return self._reject(head, error)
        except Exception as error:
            # A bug in validation must not end this task: no later revision
            # would become active on this VM, and the caller of `submit` would
            # wait forever.
            return self._reject(
                head, errors.SettingsError(repr(error), code="internal_error")
            )
        if not self._tracker.accept(version_of(head)):
            return Outcome.OLDER
        self.source_url = candidate.source_url
        self._activate(head, index, snapshot)
        return Outcome.ACCEPTED

    def _reject(self, head: parts.Head, error: errors.SettingsError) -> Outcome:
        self._tracker.refuse(version_of(head), f"{error.code}: {error}")
        self._store.drop_unreferenced()
        self._log_failure("settings_refused", head, error)
        self._audit.record(
            "settings_refused",
            revision=head.revision,
            index=head.index,
            published_by=head.published_by,
            code=error.code,
            reason=str(error),
        )
        return Outcome.INVALID

    def _log_failure(
        self, event: str, head: parts.Head, error: errors.SettingsError
    ) -> None:
        self._metrics.events.inc({"event": event})
        self._log.warning(
            event,
            revision=head.revision,
            index=head.index,
            in_force=self.version.revision,
            code=error.code,
            reason=str(error),
        )

    def _activate(
        self,
        head: parts.Head,
        index: dict[str, str],
        snapshot: model.Snapshot,
    ) -> None:
        previous_snapshot, previous_index = (
            self.snapshot,
            self._store.hashes_by_part,
        )
        self._store.activate(head.index, index)
        self.head, self.snapshot = head, snapshot
        self.active_since = clock.now()
        self._metrics.revision.set({}, head.revision)
        self._log.event(
            "settings_in_force",
            revision=head.revision,
            index=head.index,
            previous=previous_snapshot.revision,
            published_by=head.published_by,
        )
        self._audit_change(head, previous_snapshot, previous_index)
        self.changes.notify()

    def _audit_change(
        self,
        head: parts.Head,
        previous_snapshot: model.Snapshot,
        previous_index: dict[str, str],
    ) -> None:
        index = self._store.hashes_by_part
        changed_parts = sorted(
            part
            for part in previous_index.keys() | index.keys()
            if previous_index.get(part) != index.get(part)
        )
        differences = snapshot_diff.changes(previous_snapshot, self.snapshot)
        self._audit.record(
            "settings_in_force",
            revision=head.revision,
            previous=previous_snapshot.revision,
            index=head.index,
            published_by=head.published_by,
            published_at=head.published_at,
            parts=changed_parts[:_MAX_AUDITED_CHANGES],
            changed_parts=len(changed_parts),
            changes=[
                str(change) for change in differences[:_MAX_AUDITED_CHANGES]
            ],
            changed=len(differences),
        )

    def _report_conflict(self, head: parts.Head) -> None:
        # Two operators published different versions under one revision number.
        # One of them wrongly believes that the change is active on all VMs, so
        # the conflict must be reported.
        version = version_of(head)
        if version == self._reported_conflict:
            return
        self._reported_conflict = version
        self._metrics.events.inc({"event": "settings_conflict"})
        fields = {
            "revision": head.revision,
            "index": head.index,
            "published_by": head.published_by,
            "in_force_index": self.version.index,
            "in_force_by": self.head.published_by if self.head else "",
        }
        self._log.warning("settings_conflict", **fields)
        self._audit.record("settings_conflict", **fields)
