"""Router processes beside engines that stand still, ended and back again.

By hand: `python tests/test_return_processes.py ROUTERS SEEDS` prints how soon
requests are served after the return.
"""

import asyncio
import pathlib
import random
import re
import sys
import tempfile

import pytest
from tests import platform_site
from tests import router_processes

from cowsliprill.engines import errors

_ENGINES = [
    *((f"p{number}", "prefill", "v1") for number in range(2)),
    *((f"d{number}", "decode", "v1") for number in range(4)),
]
_STREAMS = 12
_EVENTS_BEFORE = 2
# Sound processes stand still for up to 1.5 s.
_STANDSTILL_S = (1.0, 1.4)
_TRY_INTERVAL_S = 0.05
_TRIES_S = 8.0
# First tries are served as before from this time after the return.
_SERVED_WITHIN_S = 5.0


class _Run:
    """One run of a fleet with seeded times.

    Attributes:
      bodies: Statuses and event ids of the streams during a standstill.
      tries: Time since the return and status of each first try after it, 0 for
        no answer.
    """

    def __init__(self, fleet: router_processes.Fleet, seed: int) -> None:
        self.bodies: list[tuple[int, list[int]]] = []
        self.tries: list[tuple[float, int]] = []
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._number = 0

    async def play(self) -> None:
        """Plays a standstill amid streams, then the return of all routers."""
        await asyncio.gather(self._send_streams(), self._stand_still(version=2))
        await self._fleet.end_routers()
        await asyncio.gather(self._return(), self._stand_still(version=3))

    async def _stand_still(self, version: int) -> None:
        await asyncio.sleep(self._rng.uniform(0.1, 0.3))
        for engine in self._fleet.engines:
            engine.awake.clear()
        await self._fleet.store.put(
            "op/config", platform_site.config(version=version)
        )
        await asyncio.sleep(self._rng.uniform(*_STANDSTILL_S))
        for engine in self._fleet.engines:
            engine.faults = platform_site.Faults()
            engine.awake.set()

    async def _send_streams(self) -> None:
        for engine in self._fleet.engines:
            if engine.stage == "decode":
                engine.faults.stand_still_after_events = _EVENTS_BEFORE
        await asyncio.gather(*(self._stream() for _ in range(_STREAMS)))

    async def _stream(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, 0.3))
        router = self._rng.choice(self._fleet.routers)
        try:
            response = await self._fleet.open(router, self._next_attempt())
            body = await response.read(1 << 20)
        except errors.CallError:
            self.bodies.append((0, []))
            return
        ids = [int(number) for number in re.findall(rb"id: (\d+)", body)]
        self.bodies.append((response.status, ids))

    async def _return(self) -> None:
        loop = asyncio.get_running_loop()
        await self._fleet.start_routers()
        begun_at = loop.time()
        tries = []
        while loop.time() - begun_at < _TRIES_S:
            tries.append(asyncio.create_task(self._try(begun_at)))
            await asyncio.sleep(_TRY_INTERVAL_S)
        await asyncio.gather(*tries)

    async def _try(self, begun_at: float) -> None:
        loop = asyncio.get_running_loop()
        sent_s = loop.time() - begun_at
        router = self._rng.choice(self._fleet.routers)
        try:
            response = await self._fleet.open(router, self._next_attempt())
            body = await response.read(1 << 20)
        except errors.CallError:
            self.tries.append((sent_s, 0))
            return
        complete = body == platform_site.stream()
        self.tries.append((sent_s, response.status if complete else 0))

    def _next_attempt(self) -> str:
        self._number += 1
        return f"a{self._number}"

    def served_from_s(self) -> float:
        """Returns the time from which nine in ten first tries are served."""
        tries = sorted(self.tries)
        for index, (sent_s, _) in enumerate(tries):
            served = [status == 200 for _, status in tries[index:]]
            if sum(served) >= 0.9 * len(served) and served[0]:
                return sent_s
        return float("inf")

    def first_served_s(self) -> float:
        """Returns the time of the first try that is served."""
        return min(
            (sent_s for sent_s, status in self.tries if status == 200),
            default=float("inf"),
        )


async def _play(routers: int, seed: int, folder: pathlib.Path) -> _Run:
    async with router_processes.running(routers, _ENGINES, folder) as fleet:
        run = _Run(fleet, seed)
        await run.play()
        return run


class TestReturn:
    """All routers are killed and start again while engines stand still."""

    # Guards against answers that end, and a fleet that doesn't come back, as
    # sound engines were silent for a second.
    @pytest.mark.parametrize("seed", [1, 2])
    def test_streams_are_whole_and_service_comes_back(
        self, seed: int, tmp_path: pathlib.Path
    ) -> None:
        run = asyncio.run(_play(4, seed, tmp_path))
        whole = list(range(1, platform_site.EVENTS + 1))
        assert run.bodies == [(200, whole)] * _STREAMS
        late = [
            status for sent_s, status in run.tries if sent_s > _SERVED_WITHIN_S
        ]
        assert late.count(200) >= 0.9 * len(late)


def _main() -> None:
    routers, seeds = map(int, sys.argv[1:])
    for seed in range(1, seeds + 1):
        with tempfile.TemporaryDirectory() as folder:
            run = asyncio.run(_play(routers, seed, pathlib.Path(folder)))
        whole = sum(
            status == 200 and len(ids) == platform_site.EVENTS
            for status, ids in run.bodies
        )
        print(
            f"seed {seed}: {whole} of {len(run.bodies)} streams whole; "
            f"first served {run.first_served_s():.2f} s, nine in ten from "
            f"{run.served_from_s():.2f} s after the start of {routers} routers",
            flush=True,
        )


if __name__ == "__main__":
    _main()
