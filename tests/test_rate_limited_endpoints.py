"""Endpoints that name how many requests a second they take from all VMs."""

import asyncio
import time

from tests import platform_site

_ROUTERS = 3
_PER_S = 1.3
# Bounds of the customers: within some 4 s an endpoint gets at most one and a
# half times what its limit allows and 5 requests. Counted are VMs that had an
# answer with the limit half a second before, 3 s after it was first named.
_WINDOW_S = 4.0
_REACTION_S = 0.5
_CONTACT_S = 3.0
_ALLOWED = 1.5 * _PER_S * _WINDOW_S + 5
_DURATION_S = 6.0


class _LimitedEndpoint:
    """Counts what one endpoint gets from each VM once it names a limit."""

    def __init__(self, endpoint: platform_site.Engine) -> None:
        self._endpoint = endpoint
        self._told_at_by_router: dict[str, float] = {}
        self._counted_at: list[float] = []
        self._known = len(endpoint.requests)
        self.named_at = time.monotonic()
        endpoint.rate_limit = str(_PER_S)

    def count(self) -> None:
        """Counts the requests since the last call."""
        now = time.monotonic()
        requests = self._endpoint.requests[self._known :]
        self._known += len(requests)
        for request in requests:
            router = request.headers["Attempt-Id"].partition(".")[0]
            told_at = self._told_at_by_router.setdefault(router, now)
            if now - told_at >= _REACTION_S:
                self._counted_at.append(now)

    def worst_window(self) -> int:
        """Returns the most requests within some window of the rule."""
        ends = [
            at for at in self._counted_at if at >= self.named_at + _CONTACT_S
        ]
        return max(
            (
                sum(end - _WINDOW_S < at <= end for at in self._counted_at)
                for end in ends
            ),
            default=0,
        )


async def _send_all_the_time(
    site: platform_site.Site, router: int, path: str, interval_s: float
) -> None:
    pending = set()
    number = 0
    until = time.monotonic() + _DURATION_S
    while time.monotonic() < until:
        number += 1
        call = site.call(path, router=router, attempt=f"r{router}.{number}")
        pending.add(asyncio.create_task(call))
        await asyncio.sleep(interval_s)
    await asyncio.gather(*pending)


async def _worst_windows(
    path: str, names: list[str], interval_s: float
) -> list[int]:
    """Returns the worst window of each limited endpoint under load."""
    async with platform_site.running(_ROUTERS) as site:
        limited = [_LimitedEndpoint(site.engines[name]) for name in names]
        load = asyncio.gather(
            *(
                _send_all_the_time(site, router, path, interval_s)
                for router in range(_ROUTERS)
            )
        )
        while not load.done():
            for endpoint in limited:
                endpoint.count()
            await asyncio.sleep(0.005)
        await load
        return [endpoint.worst_window() for endpoint in limited]


class TestNamedLimit:
    """One of several endpoints names a limit while callers go on."""

    def test_of_a_plain_server_is_kept_by_all_vms_together(self) -> None:
        """Guards against VMs that ignore a limit or keep it each alone."""
        windows = _worst_windows(platform_site.SAFE_PATH, ["s0"], 0.1)
        assert max(asyncio.run(windows)) <= _ALLOWED

    def test_of_engines_is_kept_by_all_vms_together(self) -> None:
        """Guards against a limit that prefills or decodes exceed."""
        windows = _worst_windows(platform_site.MODEL_PATH, ["p0", "d0"], 0.25)
        assert max(asyncio.run(windows)) <= _ALLOWED
