"""Random partitions, lost answers and drains under load, from a seed.

Run by hand with more seeds: `python tests/test_lost_paths_soak.py 50`.
"""

import asyncio
import collections
import random
import re
import sys

import pytest

import partition as partition_lib
import platform_site
from cowsliprill.engines import errors as engine_errors

_ROUTERS = 4
_CALLS = 150
_MEAN_CALL_INTERVAL_S = 0.01
_MEAN_FAULT_INTERVAL_S = 0.08
_PATHS = (
    platform_site.UNSAFE_PATH,
    platform_site.SAFE_PATH,
    platform_site.MODEL_PATH,
    platform_site.RESUMABLE_PATH,
)
_UNREPEATABLE = (platform_site.UNSAFE_PATH, platform_site.MODEL_PATH)


class _Soak:
    """One run; the seed decides faults and calls."""

    def __init__(self, site: platform_site.Site, seed: int) -> None:
        self._site = site
        self._random = random.Random(seed)
        self._partitions: dict[int, partition_lib.Partition] = {}
        self._draining: set[int] = set()
        self.outcomes: dict[str, tuple[str, int]] = {}

    async def run(self) -> None:
        await self._site.until_routers_are_live()
        faults = asyncio.create_task(self._inject_faults())
        calls = []
        for number in range(_CALLS):
            path = self._random.choice(_PATHS)
            router = self._random.randrange(_ROUTERS)
            call = self._call(path, f"c{number}", router)
            calls.append(asyncio.create_task(call))
            interval_s = self._random.expovariate(1 / _MEAN_CALL_INTERVAL_S)
            await asyncio.sleep(interval_s)
        await asyncio.gather(*calls)
        faults.cancel()
        for number in list(self._partitions):
            self._partitions.pop(number).heal()

    async def _call(self, path: str, attempt: str, router: int) -> None:
        try:
            response = await self._site.open(
                path, attempt=attempt, router=router
            )
            await response.read(1 << 20)
            status = response.status
        except engine_errors.CallError:
            # The router is gone, or broke the answer off.
            status = 0
        self.outcomes[attempt] = (path, status)

    async def _inject_faults(self) -> None:
        while True:
            interval_s = self._random.expovariate(1 / _MEAN_FAULT_INTERVAL_S)
            await asyncio.sleep(interval_s)
            self._random.choice(
                (self._cut, self._cut, self._heal, self._lose_answer)
            )()
            if self._random.random() < 0.02 and not self._draining:
                self._drain()

    def _cut(self) -> None:
        router = self._random.randrange(_ROUTERS)
        if router in self._partitions or router in self._draining:
            return
        services = self._random.choice((("llm", "desk"), ("desk",), ("llm",)))
        partition = partition_lib.Partition(
            self._site.routers[router]._entry._http,
            [
                (platform_site.HOST, engine.site.port)
                for engine in self._site.engines.values()
                if engine.service in services
            ],
            silent=self._random.random() < 0.5,
        )
        if self._random.random() < 0.5:
            partition.close_connections()
        self._partitions[router] = partition

    def _heal(self) -> None:
        if self._partitions:
            router = self._random.choice(sorted(self._partitions))
            self._partitions.pop(router).heal()

    def _lose_answer(self) -> None:
        name = self._random.choice(("s0", "s1"))
        self._site.engines[name].faults = platform_site.Faults(
            lose_response=True, times=1
        )

    def _drain(self) -> None:
        router = self._random.randrange(_ROUTERS)
        self._draining.add(router)
        self._site.routers[router].stop()


async def _run(seed: int) -> list[str]:
    """Runs a soak and returns what was wrong."""
    async with platform_site.running(routers=_ROUTERS) as site:
        soak = _Soak(site, seed)
        await soak.run()
        runs = collections.Counter(site.runs())
        logs = "".join(log.getvalue() for log in site.logs)
    faults = []
    for attempt, (path, status) in soak.outcomes.items():
        if path in _UNREPEATABLE and runs[attempt] > 1:
            faults.append(f"{attempt} ran {runs[attempt]} times")
        if status == 503 and runs[attempt]:
            faults.append(f"{attempt} was refused and has run")
        if status == 200 and not runs[attempt]:
            faults.append(f"{attempt} was answered without a run")
    faults += re.findall(r".*relayed_as=.* relayed_to=.*", logs)
    faults += re.findall(r".*event=internal_error.*", logs)
    if not re.search(r"relayed_to=", logs):
        faults.append("nothing was relayed")
    return faults


class TestSoak:
    """No request runs twice, and no refusal is untrue, whatever is cut."""

    # Guards against requests that run twice by way of two VMs, refusals of
    # requests that ran, and relays of relayed requests.
    @pytest.mark.parametrize("seed", range(1, 4))
    def test_requests_run_as_callers_are_told(self, seed: int):
        assert asyncio.run(_run(seed)) == []


if __name__ == "__main__":
    for wanted in range(1, int(sys.argv[1]) + 1):
        print(wanted, asyncio.run(_run(wanted)) or "clean", flush=True)
