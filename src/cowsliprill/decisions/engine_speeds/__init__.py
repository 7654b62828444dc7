"""Estimates the speeds of a pool's engines from the requests that they served.

The configured speeds are used until enough requests have been observed. They
can be far off: with a configured speed twelve times too low, a pool computes
twelve times its real load and rejects requests while half of its KV cache
memory is free. Engines of one pool can differ as well: with one speed for all,
a slow engine gets as many requests as the others and is ejected for being slow.

The package estimates the prefill and decode times of the whole pool, and the
time that each incarnation of an engine takes relative to the pool. It never
changes speeds that were configured explicitly, ejects no engine, reads no clock
and keeps nothing beyond the memory of its process.

Modules:
  estimator: What the pool uses: adds samples and applies the estimates.
  stage_times: Estimates of one stage, prefill or decode.
  pace: Time that one engine takes relative to its pool.
  fits: Robust fits of a stage's time over the number of tokens.
  changes: Which change of an engine's speed is worth a log line.
"""
