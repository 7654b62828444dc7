"""The task that owns the settings in force on this VM.

Versions heard of come in as offers, one queue for the platform and all peers.
They are looked at one after the other: what is newer is fetched, checked as a
whole and put in force.
"""

import asyncio
import dataclasses
import enum

from cowsliprill import clock
from cowsliprill.decisions import model
from cowsliprill.decisions import settings_version
from cowsliprill.observability import audit as audit_lib
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.settings import changes as changes_lib
from cowsliprill.settings import difference
from cowsliprill.settings import errors
from cowsliprill.settings import fetch
from cowsliprill.settings import parts
from cowsliprill.settings import resolve
from cowsliprill.settings import store as store_lib

# Peers offer again at the next exchange, so offers beyond this may be lost.
_MAX_OFFERS = 64
_AUDITED_CHANGES = 20


class Outcome(enum.StrEnum):
    """What became of an offer."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    OLDER = "older"
    INVALID = "invalid"
    INCOMPLETE = "incomplete"


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A version heard of.

    Attributes:
      head: Its head.
      heard_at: Where: URL of a settings process, or empty for the platform.
      outcome: Gets what became of it.
    """

    head: parts.Head
    heard_at: str
    outcome: asyncio.Future[Outcome]


def version_of(head: parts.Head) -> settings_version.Version:
    """Returns the version that a head names."""
    return settings_version.Version(head.revision, head.index)


class SettingsController:
    """Owns the version in force, its texts and its snapshot.

    Args:
      store: Texts of the parts.
      fetcher: Completes the store.
      resolver: Checks and resolves.
      log: This process's log.
      metrics: This process's metrics.
      audit: This VM's audit trail.

    Attributes:
      head: Head of the version in force, None before the first.
      snapshot: The settings in force.
      heard_at: Where that version was heard of: a URL, or empty for the
        platform.
      in_force_since: When they came into force, seconds.
      changes: Notified after each change.
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
        self.heard_at = ""
        self.in_force_since = 0.0
        self.changes = changes_lib.Changes()
        self._store = store
        self._fetcher = fetcher
        self._log = log
        self._metrics = metrics
        self._audit = audit
        self._version_tracker = settings_version.VersionTracker()
        self._resolver = resolver
        self._offers: asyncio.Queue[Offer] = asyncio.Queue(_MAX_OFFERS)
        self._reported_conflict = settings_version.Version()
        metrics.revision.set({}, 0)

    @property
    def version(self) -> settings_version.Version:
        """The version in force."""
        return self._version_tracker.in_force

    def wants(self, version: settings_version.Version) -> bool:
        """Returns whether a version's head is worth reading."""
        return (
            self._version_tracker.classify(version)
            is settings_version.Verdict.NEWER
        )

    def refused(self) -> dict[settings_version.Version, str]:
        """Returns the versions refused lately and why."""
        return self._version_tracker.refused()

    async def offer(self, head: parts.Head, heard_at: str) -> Outcome:
        """Offers a version and waits for what becomes of it.

        Args:
          head: Its head.
          heard_at: Where it was heard of: a URL, or empty for the platform.

        Returns:
          The outcome; INCOMPLETE too if there are too many offers.
        """
        known = self._without_reading(head)
        if known is not None:
            return known
        outcome = asyncio.get_running_loop().create_future()
        try:
            self._offers.put_nowait(Offer(head, heard_at, outcome))
        except asyncio.QueueFull:
            return Outcome.INCOMPLETE
        return await outcome

    async def run(self) -> None:
        """Looks at offers until cancelled."""
        while True:
            offer = await self._offers.get()
            outcome = self._without_reading(offer.head)
            if outcome is None:
                outcome = await self._consider(offer)
            if not offer.outcome.done():
                offer.outcome.set_result(outcome)

    def _without_reading(self, head: parts.Head) -> Outcome | None:
        version = version_of(head)
        if self._version_tracker.conflicts(version):
            self._report_conflict(head)
        match self._version_tracker.classify(version):
            case settings_version.Verdict.IN_FORCE:
                return Outcome.UNCHANGED
            case settings_version.Verdict.OLDER:
                return Outcome.OLDER
            case settings_version.Verdict.REFUSED_BEFORE:
                return Outcome.INVALID
            case settings_version.Verdict.NEWER:
                return None

    async def _consider(self, offer: Offer) -> Outcome:
        head = offer.head
        try:
            index = await self._fetcher.complete(head, offer.heard_at)
        except errors.SettingsError as error:
            if error.code != "part_missing":
                return self._refuse(head, error)
            self._note("settings_incomplete", head, error)
            return Outcome.INCOMPLETE
        except Exception as error:
            # A source answered in a way that no check foresaw; see below. It
            # says nothing of the revision, which another source may give.
            fault = errors.SettingsError(repr(error), code="internal_error")
            self._note("settings_incomplete", head, fault)
            return Outcome.INCOMPLETE
        try:
            snapshot = self._resolver.resolve(
                head.revision, index, self._store.held
            )
        except errors.SettingsError as error:
            return self._refuse(head, error)
        except Exception as error:
            # A fault in the checks themselves. Were this task to end of it,
            # no later revision would come into force here, and the offer's
            # sender would wait for ever.
            return self._refuse(
                head, errors.SettingsError(repr(error), code="internal_error")
            )
        if not self._version_tracker.accept(version_of(head)):
            return Outcome.OLDER
        self.heard_at = offer.heard_at
        self._put_in_force(head, index, snapshot)
        return Outcome.ACCEPTED

    def _refuse(self, head: parts.Head, error: errors.SettingsError) -> Outcome:
        self._version_tracker.refuse(version_of(head), f"{error.code}: {error}")
        self._store.drop_pending()
        self._note("settings_refused", head, error)
        self._audit.record(
            "settings_refused",
            revision=head.revision,
            index=head.index,
            published_by=head.published_by,
            code=error.code,
            reason=str(error),
        )
        return Outcome.INVALID

    def _note(
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

    def _put_in_force(
        self,
        head: parts.Head,
        index: dict[str, str],
        snapshot: model.Snapshot,
    ) -> None:
        old, old_index = self.snapshot, self._store.hashes_by_part
        self._store.put_in_force(head.index, index)
        self.head, self.snapshot = head, snapshot
        self.in_force_since = clock.now()
        self._metrics.revision.set({}, head.revision)
        self._log.event(
            "settings_in_force",
            revision=head.revision,
            index=head.index,
            previous=old.revision,
            published_by=head.published_by,
        )
        self._audit_change(head, old, old_index)
        self.changes.notify()

    def _audit_change(
        self,
        head: parts.Head,
        old: model.Snapshot,
        old_index: dict[str, str],
    ) -> None:
        index = self._store.hashes_by_part
        changed_parts = sorted(
            part
            for part in old_index.keys() | index.keys()
            if old_index.get(part) != index.get(part)
        )
        found = difference.changes(old, self.snapshot)
        self._audit.record(
            "settings_in_force",
            revision=head.revision,
            previous=old.revision,
            index=head.index,
            published_by=head.published_by,
            published_at=head.published_at,
            parts=changed_parts[:_AUDITED_CHANGES],
            changed_parts=len(changed_parts),
            changes=[str(change) for change in found[:_AUDITED_CHANGES]],
            changed=len(found),
        )

    def _report_conflict(self, head: parts.Head) -> None:
        # Two operators published one number. One of the two believes that his
        # change is in force everywhere, and it isn't: he has to be told.
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
