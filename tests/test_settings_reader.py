"""Tests of `settings.reader`."""

import asyncio
import dataclasses
import io
import random

from cowsliprill.decisions import settings_version
from cowsliprill.observability import log
from cowsliprill.observability import metrics
from cowsliprill.settings import controller
from cowsliprill.settings import parts
from cowsliprill.settings import reader

_HEAD = parts.Head(revision=4, index="aa", published_by="ann")
_CALLS = 2


class _Platform:
    """Answers every call at once, also a watch, with what it holds."""

    def __init__(self, revision_held: int) -> None:
        self._head = dataclasses.replace(_HEAD, revision=revision_held)
        self.asked: list[int] = []

    async def head(self, above: int, wait_s: float) -> parts.Head:
        self.asked.append(above)
        if len(self.asked) > _CALLS:
            raise asyncio.CancelledError
        return self._head


class _Settings:
    """Has had the platform's version in force for long."""

    version = settings_version.Version(_HEAD.revision, _HEAD.index)

    async def offer(self, head: parts.Head, heard_at: str) -> object:
        return controller.Outcome.UNCHANGED


async def _read(platform: _Platform, stream: io.StringIO) -> None:
    settings_reader = reader.SettingsReader(
        platform,
        _Settings(),
        random.Random(1),
        log.open_log("test", stream),
        metrics.Metrics(),
    )
    try:
        await settings_reader.run()
    except asyncio.CancelledError:
        pass


class TestSettingsReader:
    """Watching the platform."""

    def test_a_watch_that_does_not_wait(self) -> None:
        """A stale replica answers each watch at once with what it holds.

        Without a pause the reader would call it as fast as it can, and use up
        the calls that all readers share.
        """
        platform, stream = _Platform(4), io.StringIO()
        asyncio.run(_read(platform, stream))
        assert platform.asked == [-1, 4, -1]
        assert "code=watch_ignored" in stream.getvalue()

    def test_a_peer_that_was_faster(self) -> None:
        """Revision 5 comes from a peer a moment before the watch tells of it.

        That is no fault of the platform. A pause for it would make the next
        revision late here.
        """
        platform, stream = _Platform(5), io.StringIO()
        asyncio.run(_read(platform, stream))
        assert platform.asked == [-1, 4, -1]
        assert "trouble" not in stream.getvalue()
