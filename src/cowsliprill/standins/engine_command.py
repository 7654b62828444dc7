"""Command-line arguments of a fake engine."""

import dataclasses
from typing import Annotated

import cappa


@cappa.command(name="engine", help="Stand-in of a prefill or decode engine.")
@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineCommand:
    """Arguments of a fake engine.

    Attributes:
      id: Endpoint id.
      role: `prefill` or `decode`.
      host: IP address to listen on.
      port: TCP port, 0 for any free one.
      slots: Number of slots of the batch.
      kv_blocks: Number of KV blocks, of 16 tokens each.
      cache_blocks: Capacity of the prefix cache in blocks.
      prefill_tokens_per_s: Prefill speed in tokens per second.
      seconds_per_token: Time between two tokens of one stream.
      export_ttl_s: Time in seconds after which an exported KV cache that
        wasn't fetched is evicted.
      link_bytes_per_s: Bandwidth of the link that exports KV cache.
      kv_bytes_per_token: KV cache size of one prompt token.
      report_lag_s: Interval in seconds at which the load report is refreshed.
      checks_fencing: Whether orders with an old fencing token are refused.
      model: Name of the loaded model.
      ends_on: The process ends when it begins to decode for a request whose
        body contains this text; empty for none.
    """

    id: Annotated[str, cappa.Arg(long=True)]
    role: Annotated[str, cappa.Arg(long=True)]
    host: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True)] = 0
    slots: Annotated[int, cappa.Arg(long=True)] = 20
    kv_blocks: Annotated[int, cappa.Arg(long=True)] = 65_536
    cache_blocks: Annotated[int, cappa.Arg(long=True)] = 8_192
    prefill_tokens_per_s: Annotated[float, cappa.Arg(long=True)] = 20_000.0
    seconds_per_token: Annotated[float, cappa.Arg(long=True)] = 0.02
    export_ttl_s: Annotated[float, cappa.Arg(long=True)] = 0.8
    link_bytes_per_s: Annotated[float, cappa.Arg(long=True)] = 100_000_000.0
    kv_bytes_per_token: Annotated[int, cappa.Arg(long=True)] = 1_000
    report_lag_s: Annotated[float, cappa.Arg(long=True)] = 0.5
    checks_fencing: Annotated[bool, cappa.Arg(long=True)] = False
    model: Annotated[str, cappa.Arg(long=True)] = "standin"
    ends_on: Annotated[str, cappa.Arg(long=True)] = ""
