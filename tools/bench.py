"""Benchmark of the router's overhead against a minimal tornado relay.

`make bench` starts the endpoint stand-ins, the processes of one VM and the
relay, and puts the same load on the router and the relay. Limits on times apply
to ratios or differences within one run, so they don't depend on the machine's
speed.
"""

import asyncio
import collections
import dataclasses
import statistics
import sys
from collections.abc import Callable

import psutil

from cowsliprill.decisions import model
from tools import bench_load
from tools import child
from tools import fleet_document
from tools import local_fleet

_STREAMS = 200
# Keeps both processes well below one full core: a saturated process reads
# several chunks per socket read, which understates its cost per chunk.
_COST_CONCURRENT_STREAMS = 80
_SHORT_TOKENS = 20
_LONG_TOKENS = 120
_ROUNDS = 10
_COST_REPEATS = 3
# Allocator memory levels off only after several rounds at full load.
_WARM_UP_ROUNDS = 8
_SEQUENTIAL_REQUESTS = 100
_TTFT_TOKENS = 2
_MAX_SHOWN_FAILURES = 3
_MIB = 1024 * 1024
_USER = "bench"
_SERVICE = "bench"
_PROMPT = "A short question. " * 4

_MAX_CHUNK_COST_RATIO = 1.5
_MAX_ADDED_TTFT_S = 0.003
_MAX_RESIDENT_BYTES = 64 * _MIB
# Growth below this is allocator noise.
_MAX_GROWTH_BYTES = 1 * _MIB

_DOCUMENT = {
    "revision": 1,
    "published_by": "bench",
    "published_at": "2026-12-01T08:00:00Z",
    "users": {
        _USER: {
            "key_hashes": [],
            "services": {
                _SERVICE: {
                    "kind": "model",
                    "pool": "bench",
                    "model": "standin",
                    "ttft_target_s": 10.0,
                    "tpot_target_s": 1.0,
                    "may_wait_s": 10.0,
                }
            },
        }
    },
    "pools": {
        "bench": {
            "endpoint_defaults": {
                "slots": 80,
                "kv_bytes_per_token": 1_000,
                "export_ttl_s": 5.0,
                "link_bytes_per_s": 1e12,
                "host": "127.0.0.1",
                "port": 1,
                "prefill_tokens_per_s": 1e9,
                "seconds_per_token": 0.04,
                "target": {"model": "standin", "version": "1"},
            },
            "endpoints": {
                f"{kind}-{number}": {"kind": kind, "availability_zone": "one"}
                for kind in ("prefill", "decode")
                for number in range(4)
            },
        }
    },
}


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured value and its upper limit.

    Attributes:
      name: Label of the value in the report.
      value: Measured value.
      limit: Largest value that passes.
      format_value: Formats a value with its unit for the report.
    """

    name: str
    value: float
    limit: float
    format_value: Callable[[float], str]

    def line(self) -> str:
        """Returns the line of the report: name, value, limit and verdict."""
        verdict = "within" if self.value <= self.limit else "MISSED"
        return (
            f"{self.name:<52} {self.format_value(self.value):>10}"
            f"  bound {self.format_value(self.limit):>9}  {verdict}"
        )


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.customer + times.system


def _microseconds(seconds: float) -> str:
    return f"{seconds * 1e6:.1f} us"


def _milliseconds(seconds: float) -> str:
    return f"{seconds * 1e3:.2f} ms"


def _mebibytes(size: float) -> str:
    return f"{size / _MIB:.1f} MB"


@dataclasses.dataclass(frozen=True, slots=True)
class _Cost:
    cpu_s_per_chunk: float
    cpu_s_per_request: float


def _median_cost(costs: list[_Cost]) -> _Cost:
    return _Cost(
        statistics.median(cost.cpu_s_per_chunk for cost in costs),
        statistics.median(cost.cpu_s_per_request for cost in costs),
    )


@dataclasses.dataclass(slots=True)
class Bench:
    """Measures the router and the relay, which share the same engines.

    Attributes:
      entry: The entry process.
      relay: The process of the bare relay.
      other_processes: Other router processes of the VM, by name.
      routed: Target that sends requests through the entry process.
      bare: Target that sends requests through the bare relay.
      engines: A prefill engine and a decode engine for direct calls.
      failures: Streams that were refused or incomplete.
    """

    entry: psutil.Process
    relay: psutil.Process
    other_processes: dict[str, psutil.Process]
    routed: bench_load.Target
    bare: bench_load.Target
    engines: tuple[model.Endpoint, model.Endpoint]
    failures: list[bench_load.BenchError] = dataclasses.field(
        default_factory=list
    )

    def warm_up(self) -> None:
        """Applies load so that leases grow and code paths are warm."""
        for _ in range(_WARM_UP_ROUNDS):
            self._run_round(self.routed)
        self._run_round(self.bare)

    def failed_streams(self) -> Figure:
        """Prints sample failures; counts refused or incomplete streams."""
        for failure in self.failures[:_MAX_SHOWN_FAILURES]:
            print(f"not whole: {failure}")
        return Figure(
            "streams refused or broken",
            len(self.failures),
            0,
            lambda value: f"{value:.0f}",
        )

    def _run_round(
        self,
        target: bench_load.Target,
        streams: int = _STREAMS,
        tokens: int = _SHORT_TOKENS,
    ) -> int:
        result = asyncio.run(bench_load.run_round(target, streams, tokens))
        self.failures.extend(result.failures)
        return result.events

    def _measure_cost(
        self, target: bench_load.Target, process: psutil.Process
    ) -> _Cost:
        # The slope between short and long streams is the cost per chunk; the
        # remainder is the fixed cost per request.
        seconds, events = [], []
        for tokens in (_SHORT_TOKENS, _LONG_TOKENS):
            before = _cpu_s(process)
            events.append(
                self._run_round(target, _COST_CONCURRENT_STREAMS, tokens)
            )
            seconds.append(_cpu_s(process) - before)
        cpu_s_per_chunk = (seconds[1] - seconds[0]) / (events[1] - events[0])
        cpu_s_per_request = (
            seconds[0] - cpu_s_per_chunk * events[0]
        ) / _COST_CONCURRENT_STREAMS
        return _Cost(cpu_s_per_chunk, cpu_s_per_request)

    def chunk_cost(self) -> Figure:
        """Compares the CPU time per streamed chunk of entry and relay."""
        bare, routed = [], []
        for _ in range(_COST_REPEATS):
            bare.append(self._measure_cost(self.bare, self.relay))
            routed.append(self._measure_cost(self.routed, self.entry))
        medians = {
            "bare relay": _median_cost(bare),
            "whole path": _median_cost(routed),
        }
        for name, cost in medians.items():
            chunk = _microseconds(cost.cpu_s_per_chunk)
            request = _microseconds(cost.cpu_s_per_request)
            print(f"{name}: {chunk} a chunk, {request} a request")
        ratio = (
            medians["whole path"].cpu_s_per_chunk
            / medians["bare relay"].cpu_s_per_chunk
        )
        return Figure(
            "CPU a streamed chunk, entry / bare relay",
            ratio,
            _MAX_CHUNK_COST_RATIO,
            lambda value: f"{value:.2f}",
        )

    def added_latency(self) -> Figure:
        """Compares the median time to first token of sequential requests."""
        routed_s, bare_s, direct_s = asyncio.run(self._median_ttfts())
        print(
            f"median time to first token: direct {_milliseconds(direct_s)}, "
            f"bare relay {_milliseconds(bare_s)}, "
            f"whole path {_milliseconds(routed_s)}"
        )
        return Figure(
            "added time to first token, median, entry - direct",
            routed_s - direct_s,
            _MAX_ADDED_TTFT_S,
            _milliseconds,
        )

    async def _median_ttfts(self) -> list[float]:
        async def ttft_of(target: bench_load.Target) -> float:
            streamed = await bench_load.read_stream(target, _TTFT_TOKENS)
            return streamed.ttft_s

        caller = bench_load.DirectCaller(*self.engines, _PROMPT)
        return await bench_load.interleaved_medians(
            [
                lambda: ttft_of(self.routed),
                lambda: ttft_of(self.bare),
                lambda: caller.ttft_s(_TTFT_TOKENS),
            ],
            _SEQUENTIAL_REQUESTS,
        )

    def memory(self) -> list[Figure]:
        """Measures resident memory over rounds of concurrent streams.

        Returns:
          The growth of the entry process between the two halves of the rounds,
          and the final resident size of each process.
        """
        sizes = []
        for _ in range(_ROUNDS):
            self._run_round(self.routed)
            sizes.append(self.entry.memory_info().rss)
        half = _ROUNDS // 2
        growth = statistics.median(sizes[half:]) - statistics.median(
            sizes[:half]
        )
        figures = [
            Figure(
                f"growth over {_ROUNDS} rounds of {_STREAMS} streams",
                growth,
                _MAX_GROWTH_BYTES,
                _mebibytes,
            )
        ]
        for name, process in {
            "entry": self.entry,
            **self.other_processes,
        }.items():
            size = process.memory_info().rss
            figures.append(
                Figure(
                    f"resident, {name}", size, _MAX_RESIDENT_BYTES, _mebibytes
                )
            )
        return figures


def _ports(fleet: local_fleet.LocalFleet, kind: str) -> str:
    urls = [fleet.endpoint_url(name) for name in fleet.endpoint_ids(kind)]
    return ",".join(url.rpartition(":")[2] for url in urls)


def _endpoint(fleet: local_fleet.LocalFleet, kind: str) -> model.Endpoint:
    name = fleet.endpoint_ids(kind)[0]
    return model.Endpoint(
        id=name,
        kind=model.EndpointKind(kind),
        host=local_fleet.HOST,
        port=int(fleet.endpoint_url(name).rpartition(":")[2]),
        availability_zone="one",
        pool="bench",
        slots=1,
    )


def _process(fleet: local_fleet.LocalFleet, name: str) -> psutil.Process:
    return psutil.Process(fleet.children_by_name[f"vm-0.{name}"].pid)


def main() -> int:
    """Runs the benchmark and prints the report.

    Returns:
      The exit code: 0 if every value is within its limit.
    """
    relay = None
    with local_fleet.LocalFleet(_DOCUMENT) as fleet:
        try:
            fleet.start()
            relay = child.Child(
                "relay",
                "tools.bench_relay",
                [_ports(fleet, "prefill"), _ports(fleet, "decode")],
            )
            port = int(relay.wait_for_event("started")["port"])
            figures = _measure(fleet, psutil.Process(relay.pid), port)
            _print_lost_attempts(fleet)
        finally:
            if relay is not None:
                relay.end()
    for figure in figures:
        print(figure.line())
    return int(any(figure.value > figure.limit for figure in figures))


def _print_lost_attempts(fleet: local_fleet.LocalFleet) -> None:
    lines = fleet.children_by_name["vm-0.e0"].lines
    parsed_lines = [child.parse_line(line) for line in lines]
    reasons = collections.Counter(
        pairs.get("reason", "")
        for pairs in parsed_lines
        if pairs.get("event") == "attempt_lost"
    )
    for reason, count in reasons.most_common():
        print(f"attempts lost: {count}, {reason}")


def _measure(
    fleet: local_fleet.LocalFleet, relay: psutil.Process, relay_port: int
) -> list[Figure]:
    bare = bench_load.Target(
        port=relay_port,
        key=fleet_document.api_key_of(_USER),
        model=_SERVICE,
        prompt=_PROMPT,
    )
    routed = dataclasses.replace(bare, port=fleet.vms_by_id["vm-0"].public_port)
    bench = Bench(
        entry=_process(fleet, "e0"),
        relay=relay,
        other_processes={
            name: _process(fleet, name) for name in ("dispatch", "settings")
        },
        routed=routed,
        bare=bare,
        engines=(_endpoint(fleet, "prefill"), _endpoint(fleet, "decode")),
    )
    bench.warm_up()
    return [
        bench.added_latency(),
        bench.chunk_cost(),
        *bench.memory(),
        bench.failed_streams(),
    ]


if __name__ == "__main__":
    sys.exit(main())
