"""How much later than on idle engines first tokens come, by priority.

Load pattern: a flood of routine requests delays routine prefills by seconds,
while engines serve urgent ones first. One average over all would make an urgent
request with a short target look hopeless at its arrival.
"""

_EMA_WEIGHT = 0.05


class FirstTokenDelays:
    """Moving averages of the delay of first tokens.

    Args:
      by_priority: Whether each priority has an average of its own.
    """

    def __init__(self, *, by_priority: bool) -> None:
        self._by_priority = by_priority
        self._delay_s_by_priority: dict[int, float] = {}

    def record(self, priority: int, delay_s: float) -> None:
        """Records how much later than on idle engines a first token came."""
        level = priority if self._by_priority else 0
        delay = self._delay_s_by_priority.get(level, 0.0)
        delay += (max(delay_s, 0.0) - delay) * _EMA_WEIGHT
        self._delay_s_by_priority[level] = delay

    def expected_s(self, priority: int) -> float:
        """Returns the expected delay of a request, in seconds.

        A priority without samples is expected to be delayed as much as more
        urgent ones are.
        """
        level = priority if self._by_priority else 0
        delay = self._delay_s_by_priority.get(level)
        if delay is not None:
            return delay
        return max(
            (
                delay
                for other, delay in self._delay_s_by_priority.items()
                if other > level
            ),
            default=0.0,
        )
