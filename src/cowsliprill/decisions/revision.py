"""Which revision of the settings is in force: the rules of acceptance.

A version is a revision number with the hash of its index. Versions have a
total order, and what is in force only moves up in it, so the revision never
falls and all who have seen the same valid versions agree on the highest,
whatever order they saw them in.

Two operators who publish the same number at once give two versions of one
revision. The greater hash wins everywhere. This is arbitrary, but the same on
both sides of a partition without anyone to ask; it is reported as a conflict,
and an operator has to publish the next number with what was meant.
"""

import collections
import dataclasses
import enum

_REFUSED_KEPT = 64


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Version:
    """One published state of the settings.

    Attributes:
      revision: Its number; 0 stands for none.
      index: Hash of its index.
    """

    revision: int = 0
    index: str = ""


class Verdict(enum.StrEnum):
    """What is to be done about an offered version."""

    NEWER = "newer"
    IN_FORCE = "in_force"
    OLDER = "older"
    REFUSED_BEFORE = "refused_before"


class Keeper:
    """Keeps the version in force and which ones were refused."""

    def __init__(self) -> None:
        self._in_force = Version()
        self._refused: collections.OrderedDict[Version, str] = (
            collections.OrderedDict()
        )

    @property
    def in_force(self) -> Version:
        """The version in force."""
        return self._in_force

    def judge(self, offered: Version) -> Verdict:
        """Compares an offered version with the one in force.

        Args:
          offered: The version, from the platform or a peer.

        Returns:
          What it is; only for NEWER need its content be read.
        """
        if offered == self._in_force:
            return Verdict.IN_FORCE
        if offered < self._in_force:
            return Verdict.OLDER
        if offered in self._refused:
            return Verdict.REFUSED_BEFORE
        return Verdict.NEWER

    def conflicts(self, offered: Version) -> bool:
        """Returns whether a version shares only its number with ours."""
        same_revision = offered.revision == self._in_force.revision
        return same_revision and offered.index != self._in_force.index

    def accept(self, version: Version) -> bool:
        """Puts a version in force whose content was found valid.

        The order is checked here once more: between the judgement and this
        call the content was read, and a process that was paused meanwhile, or
        read slowly, would otherwise put an old revision over a newer one.

        Args:
          version: The version.

        Returns:
          Whether it is in force now and was not before.
        """
        if version <= self._in_force:
            return False
        self._in_force = version
        return True

    def refuse(self, version: Version, reason: str) -> None:
        """Remembers a version whose content was found invalid.

        Args:
          version: The version. Its content is fixed by the hash, so it needs
            no second look.
          reason: Why, for the operator.
        """
        self._refused[version] = reason
        if len(self._refused) > _REFUSED_KEPT:
            self._refused.popitem(last=False)

    def refused(self) -> dict[Version, str]:
        """Returns the versions refused lately and why."""
        return dict(self._refused)
