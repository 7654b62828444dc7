"""How often the home asks its engines, so that control stays within bounds."""


def interval_s(
    round_bytes: int,
    *,
    bytes_per_s: int,
    shortest_s: float,
    longest_s: float,
) -> float:
    """Works out the time between two rounds of questions.

    A small site gets fresh answers; a home with many busy engines asks less
    often instead of exceeding its share of the control budget.

    Args:
      round_bytes: Bytes on the wire of one round.
      bytes_per_s: What the rounds may cost on average.
      shortest_s: Lower bound.
      longest_s: Upper bound.

    Returns:
      Seconds.
    """
    return min(max(round_bytes / bytes_per_s, shortest_s), longest_s)
