"""Polling interval that keeps the traffic within a byte-rate budget."""


def poll_interval_s(
    round_bytes: int,
    *,
    bytes_per_s: int,
    min_interval_s: float,
    max_interval_s: float,
) -> float:
    """Returns the interval between two polling rounds, in seconds.

    A small site is polled often and has fresh data; a coordinator of many busy
    engines polls less often instead of exceeding its share of the budget for
    control traffic.

    Args:
      round_bytes: Bytes on the wire in one round.
      bytes_per_s: Average byte rate that the rounds may use.
      min_interval_s: Lower limit of the interval, in seconds.
      max_interval_s: Upper limit of the interval, in seconds.
    """
    return min(max(round_bytes / bytes_per_s, min_interval_s), max_interval_s)
