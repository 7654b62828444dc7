"""Tests of the trace replay: bound, trace files, engines and command."""

import itertools
import json
import pathlib

import hypothesis
import pytest
from hypothesis import strategies

from cowsliprill.replay import catalogue
from cowsliprill.replay import command
from cowsliprill.replay import demand_generator
from cowsliprill.replay import engines
from cowsliprill.replay import goodput_bound
from cowsliprill.replay import main
from cowsliprill.replay import sites
from cowsliprill.replay import trace as traces
from cowsliprill.replay import virtual_clock


def _short(**changes) -> traces.Trace:
    fields = {
        "name": "short",
        "note": "test",
        "site": "umurongo",
        "duration_s": 12.0,
        "load": 1.0,
    }
    return traces.Trace(**(fields | changes))


class TestBound:
    """Upper bound on the number of requests that fit."""

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=80
    )
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 9), strategies.integers(1, 6)
            ),
            max_size=7,
        )
    )
    def test_bound_equals_exhaustive_search(self, jobs) -> None:
        def capacity_after(time: float) -> float:
            return 10 - time

        def fits(chosen) -> bool:
            return all(
                sum(cost for at, cost in chosen if at >= time)
                <= capacity_after(time)
                for time in range(10)
            )

        best = max(
            size
            for size in range(len(jobs) + 1)
            if any(
                fits(chosen) for chosen in itertools.combinations(jobs, size)
            )
        )
        floats = [(float(at), float(cost)) for at, cost in jobs]
        assert goodput_bound.max_feasible_jobs(floats, capacity_after) == best


class TestTraces:
    """Reading and writing of trace files."""

    def test_written_trace_is_read_back_unchanged(self, tmp_path) -> None:
        trace = demand_generator.with_demands(_short(duration_s=1.0), 1)
        path = tmp_path / "t.jsonl"
        traces.write(trace, path)
        assert traces.read(path) == trace

    def test_committed_traces_match_the_catalogue(self) -> None:
        for site in sites.SITES_BY_NAME:
            for header in catalogue.synthetic_traces(site):
                path = command.TRACES_FOLDER / f"{header.name}.jsonl"
                assert traces.read(path) == header

    def test_error_for_invalid_file_names_the_path(self, tmp_path) -> None:
        path = tmp_path / "t.jsonl"
        path.write_text("{", encoding="utf-8")
        with pytest.raises(traces.TraceError, match="t.jsonl"):
            traces.read(path)


class TestSimulatedEngines:
    """Simulated links and engines in virtual time."""

    def test_concurrent_transfers_share_link_bandwidth(self) -> None:
        clock = virtual_clock.VirtualClock()
        links = engines.Links(clock)
        endpoints = sites.SITES_BY_NAME["umurongo"].endpoints()
        source, first, second = (
            engines.Engine(endpoints[name], clock)
            for name in ("prefill-0", "decode-0", "decode-1")
        )
        ended = []
        for target in (first, second):
            links.send(source, target, 4e9, lambda: ended.append(clock.now))
        clock.run_until(10.0)
        assert ended == pytest.approx([2.0, 2.0])


class TestRuns:
    """End-to-end replays of short traces."""

    @pytest.mark.parametrize("policy", list(main.POLICIES_BY_NAME))
    def test_goodput_of_no_policy_exceeds_the_bound(self, policy) -> None:
        metrics = main.replay_trace(_short(load=1.5), policy, 1)
        assert 0 < metrics.good <= metrics.bound
        assert metrics.good <= metrics.demands

    def test_equal_seeds_give_equal_metrics(self) -> None:
        runs = [
            main.replay_trace(_short(), main.COWSLIPRILL, 7) for _ in range(2)
        ]
        assert runs[0] == runs[1]

    def test_low_load_causes_no_waste_and_no_refusals(self) -> None:
        metrics = main.replay_trace(_short(load=0.4), main.COWSLIPRILL, 2)
        assert metrics.wasted == 0
        assert metrics.refusals == 0

    def test_overload_refusals_are_immediate(self) -> None:
        """Guards against late refusals under overload.

        The offered load is a multiple of the capacity. A caller that the
        scheduler can no longer serve but does not refuse at once loses the time
        in which it could fall back or retry.
        """
        metrics = main.replay_trace(
            _short(load=3.0, duration_s=20.0), main.COWSLIPRILL, 3
        )
        assert metrics.refusals > 0
        assert metrics.late_refusal_s <= 0.01


class TestCommand:
    """Command-line interface."""

    def test_writes_metrics_as_json(self, tmp_path, capsys) -> None:
        trace = tmp_path / "t.jsonl"
        traces.write(_short(duration_s=4.0), trace)
        path = pathlib.Path(tmp_path / "out.json")
        code = main.run(
            command.ReplayCommand(
                traces=[trace],
                seeds=[1],
                policies=[main.COWSLIPRILL],
                json=path,
                jobs=1,
            )
        )
        assert code == 0
        (found,) = json.loads(path.read_text(encoding="utf-8"))
        assert found["policy"] == main.COWSLIPRILL
        assert main.COWSLIPRILL in capsys.readouterr().out

    def test_missing_trace_argument_is_a_usage_error(self, capsys) -> None:
        assert main.run(command.ReplayCommand()) == 2
        assert "trace_invalid" in capsys.readouterr().err
