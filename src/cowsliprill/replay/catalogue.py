"""Parameters of the synthetic traces that are committed below `traces/`.

`python -m cowsliprill.replay.catalogue` writes the files.
"""

import dataclasses

from cowsliprill.replay import command
from cowsliprill.replay import sites
from cowsliprill.replay import trace as traces

_TRACE_NOTE = (
    "Synthetic: Poisson arrivals, log-normal lengths, Zipf prefixes, drawn"
    " with a seed; sizes and delays from the brief, the rest assumed."
)
_FAULT_START_S = 30.0
_FAULT_END_S = 90.0
_SLOW_FACTOR = 3.0


def _fault(kind: str, endpoint: str, factor: float = 1.0) -> traces.Fault:
    return traces.Fault(
        kind=kind,
        endpoint=endpoint,
        start=_FAULT_START_S,
        end=_FAULT_END_S,
        factor=factor,
    )


def synthetic_traces(site: str) -> list[traces.Trace]:
    """Returns the synthetic traces of one site.

    Args:
      site: A key of `sites.SITES_BY_NAME`.

    Returns:
      Trace headers without demands, which are generated from a seed.
    """
    base = traces.Trace(
        name=f"{site}-calm", note=_TRACE_NOTE, site=site, load=0.5
    )

    def variant(name: str, **changes: object) -> traces.Trace:
        return dataclasses.replace(base, name=f"{site}-{name}", **changes)

    return [
        base,
        variant("peak-0.7", load=0.7),
        variant("peak-1.0", load=1.0),
        variant("peak-1.3", load=1.3),
        variant("peak-2.0", load=2.0),
        variant("one-firm-2.0", load=2.0, skew=10.0),
        variant("burst-0.7", load=0.7, burst=3.0),
        variant(
            "slow-decode-1.3",
            load=1.3,
            faults=(_fault("slow", "decode-0", _SLOW_FACTOR),),
        ),
        variant(
            "slow-prefill-1.3",
            load=1.3,
            faults=(_fault("slow", "prefill-0", _SLOW_FACTOR),),
        ),
        variant("lost-1.3", load=1.3, faults=(_fault("lost", "decode-0"),)),
        variant(
            "link-1.3", load=1.3, faults=(_fault("link", "decode-1", 10.0),)
        ),
        variant("cancels-1.3", load=1.3, cancel_share=0.5),
        variant("hot-prefixes-1.3", load=1.3, hot_prefixes=0.8),
        variant("late-reports-1.3", load=1.3, report_lag_s=4.0),
        variant("event-gaps-1.3", load=1.3, hot_prefixes=0.8, event_gap=0.5),
    ]


def write_all() -> None:
    """Writes the trace headers of all sites below `traces/`."""
    for site in sites.SITES_BY_NAME:
        for trace in synthetic_traces(site):
            path = command.TRACES_FOLDER / f"{trace.name}.jsonl"
            traces.write(trace, path)


if __name__ == "__main__":
    write_all()
