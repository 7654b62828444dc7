"""Ordering of settings versions, and which one is in force.

A version is a revision number with the hash of the revision's index. Versions
are totally ordered, and the version in force only increases. So the revision
never decreases, and all processes that have seen the same valid versions agree
on the highest one, in whatever order they received them.

Two operators who publish the same number concurrently create two versions of
one revision. The greater hash wins everywhere: an arbitrary choice, but one
that both sides of a network partition make without coordination. The conflict
is reported, and an operator has to publish the intended content under the next
number.
"""

import collections
import dataclasses
import enum

_REFUSED_VERSIONS_MAX = 64


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Version:
    """A published version of the settings.

    Attributes:
      revision: Revision number; 0 stands for no settings.
      index: Hash of the revision's index.
    """

    revision: int = 0
    index: str = ""


class Verdict(enum.StrEnum):
    """Result of comparing an offered version with the one in force."""

    NEWER = "newer"
    IN_FORCE = "in_force"
    OLDER = "older"
    REFUSED_BEFORE = "refused_before"


class VersionTracker:
    """Tracks the version in force and recently refused versions."""

    def __init__(self) -> None:
        self._in_force = Version()
        self._refused: collections.OrderedDict[Version, str] = (
            collections.OrderedDict()
        )

    @property
    def in_force(self) -> Version:
        """The version in force."""
        return self._in_force

    def classify(self, offered: Version) -> Verdict:
        """Compares an offered version with the one in force.

        Args:
          offered: A version offered by the platform or a peer.

        Returns:
          The verdict; the version's content must be read only for NEWER.
        """
        if offered == self._in_force:
            return Verdict.IN_FORCE
        if offered < self._in_force:
            return Verdict.OLDER
        if offered in self._refused:
            return Verdict.REFUSED_BEFORE
        return Verdict.NEWER

    def conflicts(self, offered: Version) -> bool:
        """Returns whether a version has the number in force, but another hash.

        Args:
          offered: A version offered by the platform or a peer.
        """
        same_revision = offered.revision == self._in_force.revision
        return same_revision and offered.index != self._in_force.index

    def accept(self, version: Version) -> bool:
        """Puts a version in force whose content was found valid.

        The order is checked again here. The content was read after `classify`
        was called, and a process that was paused or slow meanwhile would
        otherwise replace a newer version by an older one.

        Args:
          version: The version.

        Returns:
          Whether the version in force has changed.
        """
        if version <= self._in_force:
            return False
        self._in_force = version
        return True

    def refuse(self, version: Version, reason: str) -> None:
        """Records that a version's content was found invalid.

        Args:
          version: The version. Its hash determines the content, so the content
            doesn't have to be validated again.
          reason: Reason to show to the operator.
        """
        self._refused[version] = reason
        if len(self._refused) > _REFUSED_VERSIONS_MAX:
            self._refused.popitem(last=False)

    def refused(self) -> dict[Version, str]:
        """Returns the recently refused versions with the reasons."""
        return dict(self._refused)
