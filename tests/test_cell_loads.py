"""Loads and faults that a pool's home answers, played without a network."""

import dataclasses

import pytest
from tests import test_cell

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import workload

_BLOCKS = 5_000
_TOKEN_S = 0.0005

# Bursts last up to so long.
_BURST_S = 5.0


def _engine(name, kind, **changes):
    engine = test_cell._engine(name, kind, _BLOCKS)
    facts = {"places": 12} if kind is model.EndpointKind.DECODE else {}
    return dataclasses.replace(
        engine, seconds_per_token=_TOKEN_S, **facts, **changes
    )


class _Site(test_cell._Site):
    """One prefill engine, and decode engines with places as well as memory."""

    def __init__(self, decodes: int = 1) -> None:
        super().__init__(entries=1, decodes=decodes)
        self.engines = {
            name: _engine(name, engine.kind)
            for name, engine in self.snapshot.endpoints_by_id.items()
        }
        self.settings()
        self.hear_all()

    def settings(self, **engines: model.Endpoint) -> None:
        self.engines.update(engines)
        self.snapshot = dataclasses.replace(
            self.snapshot, endpoints_by_id=dict(self.engines)
        )
        self.cell.update(self.snapshot, self.fleet, self.now)

    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.hear_all()
        self.cell.tick(self.now)

    def ask(self, *numbers: int, tokens: int = 5_000, answer: int = 6_000):
        for number in numbers:
            submit = test_cell._submit(
                number,
                self.now,
                tokens,
                expected_tokens=answer,
                output_tokens=2 * answer,
                useful_until=self.now + 3.6,
            )
            self.send("vm-0", submit)

    def starts(self):
        return test_cell._starts(self.decisions("vm-0"))


class TestPlaces:
    """Short requests leave memory when all places are taken."""

    def test_no_more_than_an_engine_runs_at_once(self):
        """A dozen short questions run, and memory for a hundred is left.

        An engine turns the thirteenth away after its prompt was read.
        """
        site = _Site()
        site.ask(*range(20), tokens=100, answer=50)
        assert len(site.starts()) == 12
        site.send("vm-0", messages.Finished(0, 50))
        assert len(site.starts()) == 1


class TestBursts:
    """Many callers come at once."""

    def test_those_that_come_in_turn_share_what_is_free(self):
        site = _Site()
        at_once = 0
        running: set[int] = set()
        for number in range(60):
            site.ask(number)
            running |= {start.request_id for start in site.starts()}
            at_once = max(at_once, len(running))
            if len(running) > 7:
                done = min(running)
                running.remove(done)
                site.send("vm-0", messages.Finished(done, 6_000))
                running |= {start.request_id for start in site.starts()}
            site.pass_time(0.35)
        assert at_once == 8

    def test_callers_are_told_to_come_back_after_it(self):
        """Nearly twice as many ask as can be served, for some seconds.

        Told the time in which one answer ends, callers come back while it
        lasts and are refused for good.
        """
        site = _Site()
        refused: list[messages.Refuse] = []
        for number in range(40):
            site.ask(number)
            site.pass_time(0.2)
            refused += [
                item
                for item in site.decisions("vm-0")
                if isinstance(item, messages.Refuse)
            ]
        # Of the first ones; the times of those after them are further apart.
        assert min(item.retry_after_s for item in refused[1:5]) > _BURST_S


class TestLeftAlone:
    """An engine that failed is tried again, whatever callers ask."""

    def _failed_once(self):
        site = _Site(decodes=2)
        site.ask(0)
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

    def _used(self, site, numbers):
        used = set()
        for number in numbers:
            site.ask(number)
            used |= {start.decode_id for start in site.starts()}
            site.send("vm-0", messages.Finished(number, 6_000))
            site.pass_time(0.3)
        return used

    def test_one_that_fails_all_new_work_gets_little_of_it(self):
        """Guards against prompts read for an engine that answers with 500.

        The pattern: its health is good, and streams from before go on well.
        """
        site = _Site(decodes=2)
        site.ask(*range(8))
        running = {start.request_id: start.decode_id for start in site.starts()}
        bad = running[0]
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
            # Its streams come at their usual pace.
            tokens = int((number - 99) * 0.05 / _TOKEN_S)
            site.send("vm-0", messages.Progress(older, tokens))
            site.ask(number)
            for start in site.starts():
                site.send("vm-0", messages.PrefillFinished(start.request_id))
                if start.decode_id != bad:
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
                        endpoint_id=bad,
                        stage=messages.Stage.TRANSFER,
                        answered=True,
                    ),
                )
        assert 1 <= failed <= 2

    def test_where_all_prompts_are_long(self):
        """An engine lost one answer; all prompts here have 5,000 tokens.

        Tried again with short prompts only, it would stand idle for the rest
        of its life while the others are full and callers are refused.
        """
        site, failed = self._failed_once()
        assert failed not in self._used(site, range(1, 4))
        site.pass_time(2.0)
        assert failed in self._used(site, range(4, 20))

    @pytest.mark.parametrize("change", ["life", "kind"])
    def test_not_for_what_it_was_before(self, change):
        """A prefill engine turns a prompt away while it changes to answers.

        What it did before its change says nothing of its work now.
        """
        site, failed = self._failed_once()
        if change == "life":
            site.settings(
                **{failed: dataclasses.replace(site.engines[failed], life="2")}
            )
        else:
            engine = site.engines[failed]
            kind = model.EndpointKind.PREFILL
            site.settings(**{failed: _engine(failed, kind)})
            site.settings(**{failed: engine})
        assert failed in self._used(site, range(1, 5))


class TestSpeeds:
    """What busy engines tell of their speed."""

    def _read(self, site, number, tokens, seconds):
        site.ask(number, tokens=tokens)
        (start,) = site.starts()
        site.pass_time(seconds)
        site.send("vm-0", messages.PrefillFinished(number))
        return start

    def _end(self, site, *numbers):
        for number in numbers:
            site.send(
                "vm-0",
                messages.FirstToken(number),
                messages.Finished(number, 6_000),
            )

    def test_prompts_that_share_an_engine_say_nothing_of_its_speed(self):
        """Guards against more prefill engines the busier they are."""
        site = _Site()
        guessed = {
            name: dataclasses.replace(engine, speeds_guessed=True)
            for name, engine in site.engines.items()
        }
        site.settings(**guessed)
        for number in range(0, 120, 3):
            tokens = 3_000 + 60 * number
            self._read(site, number, tokens, tokens / 50_000)
            # Two at once take nearly twice as long, the first one as well.
            site.ask(number + 1, tokens=tokens)
            site.pass_time(0.01)
            site.ask(number + 2, tokens=tokens)
            site.starts()
            site.pass_time(1.8 * tokens / 50_000)
            for shared in (number + 1, number + 2):
                site.send("vm-0", messages.PrefillFinished(shared))
            self._end(site, number, number + 1, number + 2)
        standing = site.cell.standing("brief")
        assert 45_000 < standing.prompt_tokens_per_s < 55_000


class TestWork:
    """What answers take of the engines that write them."""

    def test_memory_kept_while_a_prompt_is_read_counts(self):
        """Guards against too few engines for answers to long prompts."""
        site = _Site()
        guessed = {
            name: dataclasses.replace(engine, speeds_guessed=True)
            for name, engine in site.engines.items()
        }
        site.settings(**guessed)
        pool = site.cell._scheduler._pools.pools_by_name["brief"]
        parts = []
        for min_ttft_s in (0.0, 0.5):
            pool._workload = workload.Workload()
            pool._speeds._prompt.told_s = 1 / 50_000
            pool._speeds._answer.told_s = 0.001
            for number in range(40):
                submit = test_cell._submit(number, site.now, 5_000)
                pool.record_work(submit, 500, min_ttft_s, site.now)
            parts.append(pool.prompt_part())
        assert parts[1] < parts[0]
