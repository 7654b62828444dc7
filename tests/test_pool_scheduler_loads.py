"""Tests of the pool scheduler under load and engine faults, no network."""

import dataclasses

import pytest
from tests import test_pool_scheduler

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import workload

_BLOCKS = 5_000
_TOKEN_S = 0.0005

# Longest duration of a burst.
_BURST_S = 5.0


def _engine(name, kind, **changes):
    engine = test_pool_scheduler._engine(name, kind, _BLOCKS)
    facts = {"places": 12} if kind is model.EndpointKind.DECODE else {}
    return dataclasses.replace(
        engine, seconds_per_token=_TOKEN_S, **facts, **changes
    )


class _Site(test_pool_scheduler._Site):
    """One prefill engine, and decode engines limited in requests and memory."""

    def __init__(self, decodes: int = 1) -> None:
        super().__init__(entries=1, decodes=decodes)
        self.engines = {
            name: _engine(name, engine.kind)
            for name, engine in self.snapshot.endpoints_by_id.items()
        }
        self.update_settings()
        self.send_heartbeats()

    def update_settings(self, **engines: model.Endpoint) -> None:
        self.engines.update(engines)
        self.snapshot = dataclasses.replace(
            self.snapshot, endpoints_by_id=dict(self.engines)
        )
        self.pool_scheduler.update(self.snapshot, self.fleet, self.now)

    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.send_heartbeats()
        self.pool_scheduler.tick(self.now)

    def submit_requests(
        self, *numbers: int, tokens: int = 5_000, answer: int = 6_000
    ):
        for number in numbers:
            submit = test_pool_scheduler._submit(
                number,
                self.now,
                tokens,
                expected_tokens=answer,
                output_tokens=2 * answer,
                useful_until=self.now + 3.6,
            )
            self.send("vm-0", submit)

    def starts(self):
        return test_pool_scheduler._starts(self.decisions("vm-0"))


class TestMaxConcurrentRequests:
    """Short requests leave memory free at an engine's request limit."""

    def test_request_limit_is_respected(self):
        """Guards against requests that are rejected after their prefill.

        12 short requests run and leave memory for 100 more, but the engine
        rejects the 13th after its prefill.
        """
        site = _Site()
        site.submit_requests(*range(20), tokens=100, answer=50)
        assert len(site.starts()) == 12
        site.send("vm-0", messages.Finished(0, 50))
        assert len(site.starts()) == 1


class TestBursts:
    """Many requests arrive at once."""

    def test_steady_requests_use_all_free_memory(self):
        site = _Site()
        concurrent = 0
        running: set[int] = set()
        for number in range(60):
            site.submit_requests(number)
            running |= {start.request_id for start in site.starts()}
            concurrent = max(concurrent, len(running))
            if len(running) > 7:
                done = min(running)
                running.remove(done)
                site.send("vm-0", messages.Finished(done, 6_000))
                running |= {start.request_id for start in site.starts()}
            site.pass_time(0.35)
        assert concurrent == 8

    def test_retry_after_exceeds_the_duration_of_a_burst(self):
        """Guards against clients that retry during the same burst.

        For some seconds nearly twice as many requests arrive as can be served.
        With the time of one response as retry-after, clients return during the
        burst and are refused for good.
        """
        site = _Site()
        refused: list[messages.Refuse] = []
        for number in range(40):
            site.submit_requests(number)
            site.pass_time(0.2)
            refused += [
                item
                for item in site.decisions("vm-0")
                if isinstance(item, messages.Refuse)
            ]
        # Only the first refusals; the times of later ones are further apart.
        assert min(item.retry_after_s for item in refused[1:5]) > _BURST_S


class TestEjection:
    """An ejected engine is probed, whatever requests arrive."""

    def _failed_once(self):
        site = _Site(decodes=2)
        site.submit_requests(0)
        (start,) = site.starts()
        site.send(
            "vm-0",
            messages.AttemptFailed(
                request_id=0,
                endpoint_id=start.decode_id,
                stage=messages.Stage.DECODE,
            ),
        )
        return site, start.decode_id

    def _engines_used(self, site, numbers):
        used = set()
        for number in numbers:
            site.submit_requests(number)
            used |= {start.decode_id for start in site.starts()}
            site.send("vm-0", messages.Finished(number, 6_000))
            site.pass_time(0.3)
        return used

    def test_engine_that_fails_new_requests_gets_few_of_them(self):
        """Guards against prefills wasted on an engine that returns HTTP 500.

        Its health check passes, and streams from before the fault continue.
        """
        site = _Site(decodes=2)
        site.submit_requests(*range(8))
        running = {start.request_id: start.decode_id for start in site.starts()}
        failing_id = running[0]
        for number in running:
            site.send(
                "vm-0",
                messages.PrefillFinished(number),
                messages.FirstToken(number),
            )
        failed = 0
        for number in range(100, 140):
            site.pass_time(0.05)
            older = number % len(running)
            # Streams from before the fault keep their normal speed.
            tokens = int((number - 99) * 0.05 / _TOKEN_S)
            site.send("vm-0", messages.Progress(older, tokens))
            site.submit_requests(number)
            for start in site.starts():
                site.send("vm-0", messages.PrefillFinished(start.request_id))
                if start.decode_id != failing_id:
                    site.send(
                        "vm-0",
                        messages.FirstToken(start.request_id),
                        messages.Finished(start.request_id, 6_000),
                    )
                    continue
                failed += 1
                site.send(
                    "vm-0",
                    messages.AttemptFailed(
                        request_id=start.request_id,
                        endpoint_id=failing_id,
                        stage=messages.Stage.TRANSFER,
                        answered=True,
                    ),
                )
        assert 1 <= failed <= 2

    def test_ejected_engine_is_probed_when_all_prompts_are_long(self):
        """Guards against an engine that stays ejected for good.

        An engine lost one response, and all prompts have 5,000 tokens. If only
        short prompts were used as probes, it would stay idle while the others
        are full and requests are refused.
        """
        site, failed = self._failed_once()
        assert failed not in self._engines_used(site, range(1, 4))
        site.pass_time(2.0)
        assert failed in self._engines_used(site, range(4, 20))

    @pytest.mark.parametrize("change", ["life", "kind"])
    def test_restart_or_role_change_ends_the_ejection(self, change):
        """Guards against an engine that stays ejected after a role change.

        A prefill engine rejects a prompt while it changes to the decode role.
        Failures from before the change or a restart no longer apply.
        """
        site, failed = self._failed_once()
        if change == "life":
            site.update_settings(
                **{failed: dataclasses.replace(site.engines[failed], life="2")}
            )
        else:
            engine = site.engines[failed]
            kind = model.EndpointKind.PREFILL
            site.update_settings(**{failed: _engine(failed, kind)})
            site.update_settings(**{failed: engine})
        assert failed in self._engines_used(site, range(1, 5))


class TestSpeeds:
    """Speed estimates from the requests of busy engines."""

    def _run_prefill(self, site, number, tokens, seconds):
        site.submit_requests(number, tokens=tokens)
        (start,) = site.starts()
        site.pass_time(seconds)
        site.send("vm-0", messages.PrefillFinished(number))
        return start

    def _finish(self, site, *numbers):
        for number in numbers:
            site.send(
                "vm-0",
                messages.FirstToken(number),
                messages.Finished(number, 6_000),
            )

    def test_concurrent_prefills_do_not_count(self):
        """Guards against speed estimates that drop as engines get busier.

        Too low a speed would lead to too many prefill engines.
        """
        site = _Site()
        guessed = {
            name: dataclasses.replace(engine, speeds_guessed=True)
            for name, engine in site.engines.items()
        }
        site.update_settings(**guessed)
        for number in range(0, 120, 3):
            tokens = 3_000 + 60 * number
            self._run_prefill(site, number, tokens, tokens / 50_000)
            # Two concurrent prefills take nearly twice as long, both of them.
            site.submit_requests(number + 1, tokens=tokens)
            site.pass_time(0.01)
            site.submit_requests(number + 2, tokens=tokens)
            site.starts()
            site.pass_time(1.8 * tokens / 50_000)
            for shared in (number + 1, number + 2):
                site.send("vm-0", messages.PrefillFinished(shared))
            self._finish(site, number, number + 1, number + 2)
        pool_load = site.pool_scheduler.pool_load("brief")
        assert 45_000 < pool_load.prompt_tokens_per_s < 55_000


class TestWorkload:
    """Fraction of engine time that prefills take."""

    def test_memory_reserved_during_the_prefill_counts_as_decode(self):
        """Guards against too few decode engines for long prompts."""
        site = _Site()
        guessed = {
            name: dataclasses.replace(engine, speeds_guessed=True)
            for name, engine in site.engines.items()
        }
        site.update_settings(**guessed)
        pool = site.pool_scheduler._scheduler._pools.pools_by_name["brief"]
        fractions = []
        for min_ttft_s in (0.0, 0.5):
            pool._workload = workload.Workload()
            pool._speeds._prefill.published_s = 1 / 50_000
            pool._speeds._decode.published_s = 0.001
            for number in range(40):
                submit = test_pool_scheduler._submit(number, site.now, 5_000)
                pool.record_work(submit, 500, min_ttft_s, site.now)
            fractions.append(pool.prompt_part())
        assert fractions[1] < fractions[0]
