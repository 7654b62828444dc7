"""Remembers for which requests engines have lately given output."""

_REMEMBERED_S = 60.0
_MAX_ENTRIES = 8_192

# A request and the pool of the engine. Engines of another pool may run other
# software, which the same request may end.
_Key = tuple[str, str]


class SurvivedRequests:
    """Fingerprints of requests that engines survive, with bounded memory.

    Many callers may send the same request. If engines keep giving output for
    it and one is lost with it, it was not the cause. After a while without
    output it may be: engines may have been replaced by others that it ends.
    """

    def __init__(self) -> None:
        self._output_at_by_key: dict[_Key, float] = {}

    def add(self, fingerprint: str, pool: str, now: float) -> None:
        """Records that an engine gave output.

        Args:
          fingerprint: Fingerprint of the request.
          pool: Pool of the engine.
          now: Current time in seconds.
        """
        key = (fingerprint, pool)
        # The dictionary is kept in order of time, oldest first.
        self._output_at_by_key.pop(key, None)
        self._output_at_by_key[key] = now
        if len(self._output_at_by_key) > _MAX_ENTRIES:
            del self._output_at_by_key[next(iter(self._output_at_by_key))]

    def contains(self, fingerprint: str, pool: str, now: float) -> bool:
        """Returns whether an engine of the pool gave output for it lately."""
        output_at = self._output_at_by_key.get((fingerprint, pool))
        return output_at is not None and now - output_at < _REMEMBERED_S
