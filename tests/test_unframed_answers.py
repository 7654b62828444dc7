"""Answers of endpoints that have neither a length nor chunks.

They end with their connection, so a broken one must be told from a whole one,
directly and over a peer.
"""

import asyncio
import contextlib

import pytest
from tests import partition as partition_lib
from tests import platform_site

from cowsliprill.engines import errors as engine_errors

_DECODES = ("d0", "d1")
_PLAIN = ("s0", "s1")
_BODY = b"x" * 3_000


@contextlib.asynccontextmanager
async def _site(*, over_peer: bool):
    """Runs routers of which the first may have no path to any endpoint."""
    async with platform_site.running(routers=3) as site:
        await site.until_routers_are_live()
        if not over_peer:
            yield site
            return
        addresses = [
            (platform_site.HOST, engine.site.port)
            for engine in site.engines.values()
        ]
        partition = partition_lib.Partition(
            site.routers[0]._entry._http, addresses, silent=False
        )
        # The first calls make the router notice that it has lost its path.
        await asyncio.gather(
            *(
                site.call(path, attempt=f"first{number}-{path}")
                for path in (
                    platform_site.SAFE_PATH,
                    platform_site.RESUMABLE_PATH,
                )
                for number in range(2)
            )
        )
        log = site.logs[0].getvalue()
        assert "event=path_lost pool=llm " in log
        assert "event=path_lost pool=desk " in log
        yield site
        partition.heal()


def _set_faults(site, names, **fields):
    # All endpoints share them, so that `times` counts for all together.
    faults = platform_site.Faults(unframed=True, **fields)
    for name in names:
        site.engines[name].faults = faults


def _result(path, names, *, over_peer, body=b"ask", **fields):
    """Returns status and body of a call, None if the answer is broken."""

    async def run():
        async with _site(over_peer=over_peer) as site:
            _set_faults(site, names, **fields)
            try:
                status, _, content = await site.call(
                    path, attempt="unframed", body=body
                )
            except engine_errors.CallError:
                return None
            return status, content

    return asyncio.run(run())


@pytest.mark.parametrize("over_peer", [False, True])
class TestWhole:
    """The answer is whole."""

    def test_plain_answer_arrives_unchanged(self, over_peer):
        """Guards against sound answers that are taken for broken ones."""
        result = _result(
            platform_site.SAFE_PATH, _PLAIN, over_peer=over_peer, body=_BODY
        )
        assert result == (200, _BODY)

    def test_stream_arrives_unchanged(self, over_peer):
        """Guards against sound streams that are taken for broken ones."""
        result = _result(
            platform_site.RESUMABLE_PATH, _DECODES, over_peer=over_peer
        )
        assert result == (200, platform_site.stream())


@pytest.mark.parametrize("over_peer", [False, True])
class TestBroken:
    """The connection ends before the answer does."""

    @pytest.mark.parametrize("reset", [False, True])
    def test_stream_goes_on_at_another_engine(self, over_peer, reset):
        """Guards against a broken stream that looks complete."""
        result = _result(
            platform_site.RESUMABLE_PATH,
            _DECODES,
            over_peer=over_peer,
            end_after_bytes=25,
            reset=reset,
            times=1,
        )
        assert result == (200, platform_site.stream())

    @pytest.mark.parametrize("reset", [False, True])
    def test_stream_that_may_not_be_repeated_ends_broken(
        self, over_peer, reset
    ):
        """Guards against a broken stream that looks complete."""
        result = _result(
            platform_site.MODEL_PATH,
            _DECODES,
            over_peer=over_peer,
            end_after_bytes=25,
            reset=reset,
        )
        # A peer's answer that breaks before its first event hasn't been begun.
        assert result == ((502, b"") if over_peer else None)

    def test_plain_answer_that_is_reset_does_not_look_whole(self, over_peer):
        """Guards against a part of an answer that looks like all of it."""
        result = _result(
            platform_site.SAFE_PATH,
            _PLAIN,
            over_peer=over_peer,
            body=_BODY,
            end_after_bytes=1_000,
            reset=True,
        )
        assert result is None or result[0] >= 500
