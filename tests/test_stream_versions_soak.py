"""Releases of engines amid kills, crashes and partitions, from a seed.

Run by hand with more seeds: `python tests/test_stream_versions_soak.py 50`;
with `--off` the VMs don't know the versions.
"""

import dataclasses
import sys

import pytest

import version_simulation
import virtual_time

# Streams go on this often, compared with new ones that begin.
_MIN_RESUMED_RATIO = 0.9

_PLANS_BY_NAME = {
    "release": version_simulation.Plan(),
    "kills": version_simulation.Plan(killed_fraction=0.6),
    "all_killed": version_simulation.Plan(
        killed_fraction=1.0, vm_kills_per_s=0.05, pauses_s=(1.3, 4.0)
    ),
    "cuts": version_simulation.Plan(cuts_per_s=0.1),
    "slow_callers": version_simulation.Plan(pauses_s=(1.0, 10.0)),
    "crashes": version_simulation.Plan(engine_crashes_per_s=0.5),
}


_results_by_run: dict[tuple[str, int], version_simulation.Result] = {}


def _play(name: str, seed: int, monkeypatch) -> version_simulation.Result:
    """Plays a plan, once for all tests."""
    result = _results_by_run.get((name, seed))
    if result is None:
        simulation = version_simulation.Simulation(_PLANS_BY_NAME[name], seed)
        result = virtual_time.run(simulation.run(), monkeypatch)
        _results_by_run[name, seed] = result
    return result


# With this seed, all VMs end as the last engine of a version leaves.
_RUNS = [
    *((name, seed) for name in _PLANS_BY_NAME for seed in (1, 2)),
    ("all_killed", 48),
]


@pytest.mark.parametrize(("name", "seed"), _RUNS)
class TestReleases:
    """Engines of several versions serve side by side while others fail."""

    def test_no_stream_has_events_of_two_versions(
        self, name, seed, monkeypatch
    ):
        """Guards against streams joined from two software versions."""
        result = _play(name, seed, monkeypatch)
        assert result.new["begun"] > 300
        assert result.mixed == []


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("name", ["release", "kills", "slow_callers"])
class TestResumedStreams:
    """Streams are resumed while an engine of their version serves."""

    def test_they_go_on_about_as_often_as_new_ones_begin(
        self, name, seed, monkeypatch
    ):
        """Guards against streams that are refused though they could go on."""
        result = _play(name, seed, monkeypatch)
        assert result.resumed.total() >= 12
        required = _MIN_RESUMED_RATIO * result.new_fraction()
        assert result.resumed_fraction() >= required


def _main(seeds: int, *, tells_versions: bool) -> int:
    patch = pytest.MonkeyPatch()
    mixed = 0
    for name, plan in _PLANS_BY_NAME.items():
        _PLANS_BY_NAME[name] = dataclasses.replace(
            plan, tells_versions=tells_versions
        )
        total = version_simulation.Result()
        for seed in range(1, seeds + 1):
            result = _play(name, seed, patch)
            total.new += result.new
            total.resumed += result.resumed
            total.lacking += result.lacking
            total.continued += result.continued
            total.forgotten += result.forgotten
            total.mixed += result.mixed
        mixed += len(total.mixed)
        print(
            f"{name}: mixed {len(total.mixed)}, continued {total.continued}, "
            f"forgotten {total.forgotten}, new {dict(total.new)}, "
            f"resumed {dict(total.resumed)}, lacking {dict(total.lacking)}"
        )
    patch.undo()
    return 1 if mixed else 0


if __name__ == "__main__":
    sys.exit(_main(int(sys.argv[1]), tells_versions="--off" not in sys.argv))
