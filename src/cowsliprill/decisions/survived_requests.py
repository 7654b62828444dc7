"""Remembers which requests and parts of prompts engines survive."""

_REMEMBERED_S = 60.0
_MAX_ENTRIES = 8_192

# A feature and the pool of the engine. Engines of another pool may run other
# software, which the same request may end.
_Key = tuple[str, str]


class SurvivedRequests:
    """Features of requests that engines survive, with bounded memory.

    A feature is the fingerprint of a request or the digest of a part of its
    prompt.

    Many callers may send the same request. If engines keep giving output for
    it and one is lost with it, it was not the cause. After a while without
    output it may be: engines may have been replaced by others that it ends.
    """

    def __init__(self) -> None:
        self._output_at_by_key: dict[_Key, float] = {}

    def add(self, feature: str, pool: str, now: float) -> None:
        """Records that an engine gave output for a request.

        Args:
          feature: Feature of the request.
          pool: Pool of the engine.
          now: Current time in seconds.
        """
        key = (feature, pool)
        # The dictionary is kept in order of time, oldest first.
        self._output_at_by_key.pop(key, None)
        self._output_at_by_key[key] = now
        if len(self._output_at_by_key) > _MAX_ENTRIES:
            del self._output_at_by_key[next(iter(self._output_at_by_key))]

    def contains(self, feature: str, pool: str, now: float) -> bool:
        """Returns whether an engine of the pool gave output for it lately."""
        output_at = self._output_at_by_key.get((feature, pool))
        return output_at is not None and now - output_at < _REMEMBERED_S
