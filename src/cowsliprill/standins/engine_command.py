"""What the stand-in of an engine is told about itself."""

import dataclasses
from typing import Annotated

import cappa


@cappa.command(name="engine", help="Stand-in of a prefill or decode engine.")
@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineCommand:
    """An engine's stand-in.

    Attributes:
      id: Its id.
      role: `prefill` or `decode`.
      host: IP number to listen on.
      port: TCP port, 0 for any.
      slots: Places in the batch.
      kv_blocks: KV blocks of 16 tokens.
      cache_blocks: Blocks of the prefix cache.
      prefill_tokens_per_s: Speed of a prefill.
      seconds_per_token: Time between two tokens of one stream.
      export_ttl_s: How long a finished prefill waits to be fetched.
      link_bytes_per_s: Rate of the link by which KV cache leaves.
      kv_bytes_per_token: Size of one prompt token's KV cache.
      report_lag_s: How old a load report gets.
      checks_fencing: Whether it refuses orders with an old fencing number.
      model: Model that it has loaded.
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
