"""Interface of the output streams of engines."""

from collections.abc import AsyncIterator
from typing import Protocol


class OutputStream(Protocol):
    """Output stream of a decode engine.

    The iteration ends normally only if the stream is complete.

    Attributes:
      tokens: Number of tokens delivered so far.
    """

    tokens: int

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Yields whole events.

        Raises:
          engines.errors.EngineSilent: The engine has sent nothing for a while.
          engines.errors.StreamBroken: The stream is truncated or invalid.
        """

    def watch_silence(self) -> None:
        """Has silence reported again; to be called after `EngineSilent`."""

    def close(self) -> None:
        """Stops reading; allowed at any time."""
