"""Tests of the ordering of settings versions."""

import dataclasses

import hypothesis
from hypothesis import strategies

from cowsliprill.decisions import settings_version

_READERS = 4
_VERSIONS = [
    settings_version.Version(number, index)
    for number in range(1, 6)
    for index in ("aa", "bb")
]
_INVALID = {
    settings_version.Version(3, "bb"),
    settings_version.Version(5, "aa"),
}
_reader = strategies.integers(0, _READERS - 1)


@dataclasses.dataclass(slots=True)
class _Reader:
    """A process that may be paused between comparing and accepting."""

    tracker: settings_version.VersionTracker = dataclasses.field(
        default_factory=settings_version.VersionTracker
    )
    pending_versions: list[settings_version.Version] = dataclasses.field(
        default_factory=list
    )
    log: list[settings_version.Version] = dataclasses.field(
        default_factory=list
    )

    def receive(self, version: settings_version.Version) -> None:
        if self.tracker.classify(version) is settings_version.Verdict.NEWER:
            self.pending_versions.append(version)

    def finish(self, position: int) -> None:
        if not self.pending_versions:
            return
        version = self.pending_versions.pop(
            position % len(self.pending_versions)
        )
        if version in _INVALID:
            self.tracker.refuse(version, "invalid")
        elif self.tracker.accept(version):
            self.log.append(version)


_steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("read"), _reader, strategies.sampled_from(_VERSIONS)
        ),
        strategies.tuples(strategies.just("tell"), _reader, _reader),
        strategies.tuples(
            strategies.just("finish"), _reader, strategies.integers(0, 9)
        ),
        strategies.tuples(
            strategies.just("cut"), strategies.integers(1, 3), _reader
        ),
    ),
    max_size=60,
)


def _run_steps(steps: list[tuple]) -> list[_Reader]:
    readers = [_Reader() for _ in range(_READERS)]
    partition_index = 0
    for kind, first, second in steps:
        match kind:
            case "read":
                readers[first].receive(second)
            case "tell" if (first < partition_index) == (
                second < partition_index
            ):
                readers[second].receive(readers[first].tracker.in_force)
            case "finish":
                readers[first].finish(second)
            case "cut":
                partition_index = first if second else 0
    return readers


def _heal(readers: list[_Reader]) -> None:
    for _ in range(_READERS):
        for sender in readers:
            for receiver in readers:
                receiver.receive(sender.tracker.in_force)
                while receiver.pending_versions:
                    receiver.finish(0)


class TestKeeper:
    """The version in force under any order of messages."""

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=200
    )
    @hypothesis.example(
        [
            ("read", 0, settings_version.Version(2, "aa")),
            ("read", 0, settings_version.Version(1, "aa")),
            ("finish", 0, 0),
            ("finish", 0, 0),
        ]
    )
    @hypothesis.given(_steps)
    def test_the_version_in_force_never_decreases(self, steps: list) -> None:
        """Guards against a return to settings that an operator has replaced.

        Stale replicas offer old versions, and a process may be paused between
        comparing a version and accepting it.
        """
        for reader in _run_steps(steps):
            assert reader.log == sorted(set(reader.log))

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=200
    )
    @hypothesis.given(_steps)
    def test_all_agree_after_a_partition(self, steps: list) -> None:
        """Guards against VMs that disagree on the settings permanently.

        Two halves of a partition read different versions, two of which have
        the same number. If VMs did not agree after the partition, they would
        keep sending conflicting orders to engines.
        """
        readers = _run_steps(steps)
        highest = max(reader.tracker.in_force for reader in readers)
        pending = [
            version for each in readers for version in each.pending_versions
        ]
        valid = [each for each in pending if each not in _INVALID]
        _heal(readers)
        in_force = {reader.tracker.in_force for reader in readers}
        assert in_force == {max([highest, *valid])}

    def test_an_invalid_version_is_read_once(self) -> None:
        """Guards against repeated reads of an invalid revision.

        The platform keeps serving the revision. Reading it each time would use
        up the limited calls to the platform.
        """
        tracker = settings_version.VersionTracker()
        version = settings_version.Version(2, "aa")
        tracker.refuse(version, "settings_invalid: users")
        verdict = tracker.classify(version)
        assert verdict is settings_version.Verdict.REFUSED_BEFORE
        repaired = settings_version.Version(2, "cc")
        assert tracker.classify(repaired) is settings_version.Verdict.NEWER

    def test_only_other_content_of_the_same_number_conflicts(self) -> None:
        tracker = settings_version.VersionTracker()
        tracker.accept(settings_version.Version(2, "bb"))
        assert tracker.conflicts(settings_version.Version(2, "aa"))
        assert not tracker.conflicts(settings_version.Version(2, "bb"))
        assert not tracker.conflicts(settings_version.Version(3, "aa"))
