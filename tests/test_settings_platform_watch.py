"""Tests of the watch on the platform's settings head."""

import asyncio
import dataclasses
import io
import random

from cowsliprill.decisions import settings_version
from cowsliprill.observability import log
from cowsliprill.observability import metrics
from cowsliprill.settings import controller
from cowsliprill.settings import parts
from cowsliprill.settings import platform_watch

_HEAD = parts.Head(revision=4, index="aa", published_by="ann")
_MAX_CALLS = 2


class _Platform:
    """Platform that returns its head at once, also to a watch."""

    def __init__(self, head_revision: int) -> None:
        self._head = dataclasses.replace(_HEAD, revision=head_revision)
        self.requested_revisions: list[int] = []

    async def head(self, above_revision: int, wait_s: float) -> parts.Head:
        self.requested_revisions.append(above_revision)
        if len(self.requested_revisions) > _MAX_CALLS:
            raise asyncio.CancelledError
        return self._head


class _Settings:
    """Controller whose active version is that of the platform."""

    version = settings_version.Version(_HEAD.revision, _HEAD.index)

    async def submit(self, head: parts.Head, source_url: str) -> object:
        return controller.Outcome.UNCHANGED


async def _read(platform: _Platform, stream: io.StringIO) -> None:
    head_watcher = platform_watch.HeadWatcher(
        platform,
        _Settings(),
        random.Random(1),
        log.open_log("test", stream),
        metrics.Metrics(),
    )
    try:
        await head_watcher.run()
    except asyncio.CancelledError:
        pass


class TestHeadWatcher:
    """Watching the platform's settings head."""

    def test_a_watch_that_returns_at_once_is_delayed(self) -> None:
        """A stale replica answers each watch at once with its current head.

        Guards against a busy loop of watches, which would use up the call rate
        that all VMs share.
        """
        platform, stream = _Platform(4), io.StringIO()
        asyncio.run(_read(platform, stream))
        assert platform.requested_revisions == [-1, 4, -1]
        assert "code=watch_ignored" in stream.getvalue()

    def test_a_version_from_a_peer_during_a_watch_is_no_fault(self) -> None:
        """Revision 5 arrives from a peer just before the watch reports it.

        Guards against counting this as a fault of the platform: the backoff
        would delay the next revision.
        """
        platform, stream = _Platform(5), io.StringIO()
        asyncio.run(_read(platform, stream))
        assert platform.requested_revisions == [-1, 4, -1]
        assert "trouble" not in stream.getvalue()
