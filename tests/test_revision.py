"""Tests of `decisions.revision`."""

import dataclasses

import hypothesis
from hypothesis import strategies

from cowsliprill.decisions import revision

_READERS = 4
_VERSIONS = [
    revision.Version(number, index)
    for number in range(1, 6)
    for index in ("aa", "bb")
]
_INVALID = {revision.Version(3, "bb"), revision.Version(5, "aa")}
_reader = strategies.integers(0, _READERS - 1)


@dataclasses.dataclass(slots=True)
class _Reader:
    """A reader that may be paused between its judgement and its acceptance."""

    keeper: revision.Keeper = dataclasses.field(default_factory=revision.Keeper)
    judged: list[revision.Version] = dataclasses.field(default_factory=list)
    log: list[revision.Version] = dataclasses.field(default_factory=list)

    def hear(self, version: revision.Version) -> None:
        if self.keeper.judge(version) is revision.Verdict.NEWER:
            self.judged.append(version)

    def finish(self, place: int) -> None:
        if not self.judged:
            return
        version = self.judged.pop(place % len(self.judged))
        if version in _INVALID:
            self.keeper.refuse(version, "invalid")
        elif self.keeper.accept(version):
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


def _play(steps: list[tuple]) -> list[_Reader]:
    readers = [_Reader() for _ in range(_READERS)]
    border = 0
    for kind, first, second in steps:
        match kind:
            case "read":
                readers[first].hear(second)
            case "tell" if (first < border) == (second < border):
                readers[second].hear(readers[first].keeper.in_force)
            case "finish":
                readers[first].finish(second)
            case "cut":
                border = first if second else 0
    return readers


def _heal(readers: list[_Reader]) -> None:
    for _ in range(_READERS):
        for teller in readers:
            for hearer in readers:
                hearer.hear(teller.keeper.in_force)
                while hearer.judged:
                    hearer.finish(0)


class TestKeeper:
    """What is in force under any order of messages."""

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=200
    )
    @hypothesis.example(
        [
            ("read", 0, revision.Version(2, "aa")),
            ("read", 0, revision.Version(1, "aa")),
            ("finish", 0, 0),
            ("finish", 0, 0),
        ]
    )
    @hypothesis.given(_steps)
    def test_the_version_in_force_never_falls(self, steps: list) -> None:
        """Stale replicas offer old versions.

        Besides, a reader is paused between its judgement and its acceptance. If
        it then went back, callers would meet rules that an operator had
        replaced.
        """
        for reader in _play(steps):
            assert reader.log == sorted(set(reader.log))

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=200
    )
    @hypothesis.given(_steps)
    def test_all_agree_after_a_partition(self, steps: list) -> None:
        """Two halves of a partition read different versions.

        Two of them have one number. If they stayed apart after it, two VMs
        would give engines different orders for ever.
        """
        readers = _play(steps)
        highest = max(reader.keeper.in_force for reader in readers)
        pending = [version for each in readers for version in each.judged]
        valid = [each for each in pending if each not in _INVALID]
        _heal(readers)
        in_force = {reader.keeper.in_force for reader in readers}
        assert in_force == {max([highest, *valid])}

    def test_an_invalid_version_is_judged_once(self) -> None:
        """The platform goes on serving a revision that doesn't fit.

        Reading it over and over would use up the platform's calls.
        """
        keeper = revision.Keeper()
        version = revision.Version(2, "aa")
        keeper.refuse(version, "settings_invalid: users")
        verdict = keeper.judge(version)
        assert verdict is revision.Verdict.REFUSED_BEFORE
        repaired = revision.Version(2, "cc")
        assert keeper.judge(repaired) is revision.Verdict.NEWER

    def test_only_another_content_of_one_number_conflicts(self) -> None:
        keeper = revision.Keeper()
        keeper.accept(revision.Version(2, "bb"))
        assert keeper.conflicts(revision.Version(2, "aa"))
        assert not keeper.conflicts(revision.Version(2, "bb"))
        assert not keeper.conflicts(revision.Version(3, "aa"))
