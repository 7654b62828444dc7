"""Seeded soak: engines stand still, hang and fail while streams run.

By hand: `python tests/test_engine_silence_soak.py SEEDS`.
"""

import asyncio
import collections
import dataclasses
import random
import re
import sys

import pytest

import platform_site
from cowsliprill.engines import errors

_ROUTERS = 3
_LENGTH_S = 10.0
_STREAMS_PER_S = 12.0
_EVENT_INTERVAL_S = 0.15
_STANDSTILL_S = (0.4, 1.4)
# Longer than any sound engine stands still.
_HANG_S = (1.8, 2.4)
_WHOLE = list(range(1, platform_site.EVENTS + 1))


@dataclasses.dataclass(frozen=True)
class _Plan:
    """Faults of one kind of run.

    Attributes:
      standstills: Number of times that some or all engines stand still.
      hangs: Number of times that one decode engine hangs for longer.
      failures: Number of times that one engine answers 503 or 500 for a while.
      leaves: Part of the callers that leave in the middle.
    """

    standstills: int
    hangs: int = 0
    failures: int = 0
    leaves: float = 0.0


_PLANS = {
    "standstills": _Plan(standstills=6),
    "mixed": _Plan(standstills=4, hangs=2, failures=3, leaves=0.2),
}


@dataclasses.dataclass
class _Outcome:
    """What callers and engines have seen.

    Attributes:
      streams: Status and event ids of each stream whose caller stayed.
      runs: How often engines began to run each request.
      later: Statuses of requests after all faults.
    """

    streams: list[tuple[int, list[int]]]
    runs: collections.Counter
    later: list[int]

    def cut(self) -> int:
        """Returns how many answers began and weren't whole."""
        return sum(
            status == 200 and ids != _WHOLE for status, ids in self.streams
        )


class _Soak:
    def __init__(self, site: platform_site.Site, plan: _Plan, seed: int):
        self._site = site
        self._plan = plan
        self._rng = random.Random(seed)
        self._streams: list[tuple[int, list[int]]] = []
        self._asleep: collections.Counter[str] = collections.Counter()

    async def run(self) -> _Outcome:
        for engine in self._site.engines.values():
            engine.event_interval_s = _EVENT_INTERVAL_S
        await self._site.until_routers_are_live()
        faults = [
            *[self._stand_still] * self._plan.standstills,
            *[self._hang] * self._plan.hangs,
            *[self._fail] * self._plan.failures,
            self._change_config,
        ]
        await asyncio.gather(
            self._send(), *(self._at_random(fault) for fault in faults)
        )
        later = [
            (
                await self._site.call(
                    platform_site.RESUMABLE_PATH, attempt=f"l{n}"
                )
            )[0]
            for n in range(3)
        ]
        runs = collections.Counter(self._site.runs())
        return _Outcome(self._streams, runs, later)

    async def _at_random(self, fault) -> None:
        await asyncio.sleep(self._rng.uniform(0.5, _LENGTH_S - 3.0))
        await fault()

    async def _sleep_engines(self, names: list[str], span) -> None:
        # Standstills of an engine may overlap.
        self._asleep.update(names)
        self._site.stand_still(*names)
        await asyncio.sleep(self._rng.uniform(*span))
        self._asleep.subtract(names)
        awake = [name for name in names if not self._asleep[name]]
        if awake:
            self._site.wake(*awake)

    async def _stand_still(self) -> None:
        names = sorted(
            name
            for name, engine in self._site.engines.items()
            if engine.stage and not self._asleep[name]
        )
        if not names:
            return
        count = self._rng.choice([1, 2, len(names)])
        chosen = self._rng.sample(names, min(count, len(names)))
        await self._sleep_engines(chosen, _STANDSTILL_S)

    async def _hang(self) -> None:
        await self._sleep_engines([self._rng.choice(["d0", "d1"])], _HANG_S)

    async def _fail(self) -> None:
        name = self._rng.choice(["p0", "p1", "d0", "d1"])
        kind = self._rng.choice(["refuse", "fail"])
        status = 503 if kind == "refuse" else 500
        self._site.engines[name].faults = platform_site.Faults(**{kind: status})
        await asyncio.sleep(self._rng.uniform(0.3, 1.5))
        self._site.engines[name].faults = platform_site.Faults()

    async def _change_config(self) -> None:
        for version in (2, 3):
            config = platform_site.config(version=version)
            await self._site.store.put("op/config", config)
            await asyncio.sleep(0.5)

    async def _send(self) -> None:
        streams = []
        for number in range(int(_LENGTH_S * _STREAMS_PER_S)):
            streams.append(asyncio.create_task(self._stream(f"a{number}")))
            await asyncio.sleep(1 / _STREAMS_PER_S)
        await asyncio.gather(*streams)

    async def _stream(self, attempt: str) -> None:
        router = self._rng.randrange(_ROUTERS)
        leaves_after_s = (
            self._rng.uniform(0.1, 2.0)
            if self._rng.random() < self._plan.leaves
            else None
        )
        status, body, response = 0, b"", None
        try:
            async with asyncio.timeout(leaves_after_s):
                response = await self._site.open(
                    platform_site.RESUMABLE_PATH, attempt=attempt, router=router
                )
                status = response.status
                async for chunk in response.chunks():
                    body += chunk
        except TimeoutError:
            if response is not None:
                response.close()
            return
        except errors.CallError:
            pass
        ids = [int(number) for number in re.findall(rb"id: (\d+)", body)]
        self._streams.append((status, ids))


def _play(plan: str, seed: int) -> _Outcome:
    async def run() -> _Outcome:
        async with platform_site.running(_ROUTERS) as site:
            try:
                return await _Soak(site, _PLANS[plan], seed).run()
            finally:
                site.wake()

    return asyncio.run(run())


class TestSoak:
    """Faults of engines in series and overlapping."""

    @pytest.mark.parametrize("seed", [1, 2])
    @pytest.mark.parametrize("plan", _PLANS)
    def test_no_stream_is_cut_joined_or_run_too_often(
        self, plan: str, seed: int
    ) -> None:
        """Guards against streams that end, or go on twice, for a silence."""
        outcome = _play(plan, seed)
        for _, ids in outcome.streams:
            assert ids == _WHOLE[: len(ids)]
        # A request has two attempts.
        assert max(outcome.runs.values()) <= 2
        assert outcome.later == [200] * 3
        if plan == "standstills":
            assert outcome.cut() == 0


def _main() -> None:
    for plan in sys.argv[2:] or _PLANS:
        for seed in range(1, int(sys.argv[1]) + 1):
            outcome = _play(plan, seed)
            statuses = collections.Counter(
                status for status, _ in outcome.streams
            )
            joined = sum(
                ids != _WHOLE[: len(ids)] for _, ids in outcome.streams
            )
            print(
                f"{plan} {seed}: {dict(statuses)}, {outcome.cut()} cut, "
                f"{joined} joined, {max(outcome.runs.values())} runs at most, "
                f"later {outcome.later}",
                flush=True,
            )


if __name__ == "__main__":
    _main()
