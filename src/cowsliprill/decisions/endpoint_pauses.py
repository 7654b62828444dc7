"""Pauses that endpoints have asked this VM for.

An endpoint that turns a request away may say for how long it wants nothing from
the VM that sent it. After the pause one request at a time is sent as a probe,
until the endpoint takes one.
"""

import dataclasses
from collections.abc import Iterator

# Longest pause that an endpoint is granted. A faulty one that asks for more is
# tried again after this time.
MAX_PAUSE_S = 3_600.0

# A probe without an answer for this time no longer keeps others back.
_PROBE_TIMEOUT_S = 1.0

# A pause that ended this long ago says nothing about the endpoint any more.
_KEPT_S = 10.0

Key = tuple[str, str]


@dataclasses.dataclass(slots=True)
class _Pause:
    until: float
    probe_until: float = 0.0

    def ends_at(self) -> float:
        return max(self.until, self.probe_until)


class EndpointPauses:
    """The pauses of endpoints, by `(id, life)` of the endpoint."""

    def __init__(self) -> None:
        self._pauses_by_key: dict[Key, _Pause] = {}

    def __len__(self) -> int:
        return len(self._pauses_by_key)

    def __iter__(self) -> Iterator[Key]:
        return iter(self._pauses_by_key)

    def ask(self, key: Key, pause_s: float, now: float) -> bool:
        """Records that an endpoint asks for a pause.

        A shorter pause doesn't end a longer one: its answer may be to a request
        that was sent before.

        Args:
          key: The endpoint.
          pause_s: Duration in seconds from now.
          now: Current time in seconds.

        Returns:
          Whether the pause is new or longer.
        """
        if not pause_s > 0:
            return False
        until = now + min(pause_s, MAX_PAUSE_S)
        pause = self._pauses_by_key.get(key)
        if pause is not None and until <= pause.until:
            return False
        self._pauses_by_key[key] = _Pause(until)
        return True

    def until(self, key: Key, now: float) -> float:
        """Returns when an endpoint may get the next request, in seconds.

        Args:
          key: The endpoint.
          now: Current time in seconds.

        Returns:
          The time, 0 if it may get one now.
        """
        pause = self._pauses_by_key.get(key)
        if pause is None or pause.ends_at() <= now:
            return 0.0
        return pause.ends_at()

    def asked_until(self, key: Key) -> float:
        """Returns the end of an endpoint's pause in seconds, 0 without one."""
        pause = self._pauses_by_key.get(key)
        return pause.until if pause is not None else 0.0

    def record_sent(self, key: Key, now: float) -> bool:
        """Records that a request is sent to an endpoint now.

        Args:
          key: The endpoint.
          now: Current time in seconds.

        Returns:
          Whether it is a probe, so that others have to wait for its answer.
        """
        pause = self._pauses_by_key.get(key)
        if pause is None:
            return False
        pause.probe_until = now + _PROBE_TIMEOUT_S
        return True

    def record_accepted(self, key: Key, sent_at: float) -> bool:
        """Records that an endpoint has taken a request.

        Args:
          key: The endpoint.
          sent_at: When the request was sent, in seconds.

        Returns:
          Whether that ends the pause for good. A request that was sent before
          its end says nothing.
        """
        pause = self._pauses_by_key.get(key)
        if pause is None or sent_at < pause.until:
            return False
        del self._pauses_by_key[key]
        return True

    def expire(self, now: float) -> list[Key]:
        """Drops pauses that ended long ago; returns their endpoints."""
        expired = [
            key
            for key, pause in self._pauses_by_key.items()
            if now - pause.ends_at() >= _KEPT_S
        ]
        for key in expired:
            del self._pauses_by_key[key]
        return expired
