"""Tests of `decisions.cell`: one home places the requests of a pool."""

import random

from cowsliprill.decisions import cell as cell_lib
from cowsliprill.decisions import messages
from cowsliprill.decisions import model

_BLOCKS = 1_000
_BLOCK_TOKENS = 16


def _engine(name: str, kind: model.EndpointKind, slots: int) -> model.Endpoint:
    decodes = kind is model.EndpointKind.DECODE
    return model.Endpoint(
        id=name,
        kind=kind,
        host="10.1.0.1",
        port=80,
        availability_zone="gasabo",
        pool="brief",
        slots=slots,
        block_tokens=_BLOCK_TOKENS if decodes else 0,
        prefill_tokens_per_s=33_000.0,
        seconds_per_token=0.008,
        export_ttl_s=0.5,
    )


def _vm(name: str) -> model.Vm:
    return model.Vm(
        id=name,
        host=name,
        availability_zone="gasabo",
        role=model.VmRole.ENTRY,
        entry_ports=(1,),
    )


_SERVICE = model.Service(
    id="brief/r",
    customer="",
    name="brief",
    kind=model.ServiceKind.MODEL,
    pool="brief",
    ttft_target_s=0.9,
    may_wait_s=0.9,
    retries=model.RetryRules(ratio=0.2, burst=10, attempts=2),
)


def _submit(
    number: int, now: float, tokens: int = 3_200, **changes
) -> messages.Submit:
    fields = {
        "request_id": number,
        "service": _SERVICE,
        "customer": "",
        "prompt_tokens": tokens,
        "output_tokens": 1_000,
        "expected_tokens": 480,
        "deadline": now + 0.9,
        "useful_until": now + 3.0,
        **changes,
    }
    return messages.Submit(**fields)


class _Site:
    """A cell with two decode engines and some entries."""

    def __init__(self, entries: int = 2, decodes: int = 2) -> None:
        self.now = 10.0
        self.cell = cell_lib.Cell("gasabo", 1)
        engines = [_engine("p", model.EndpointKind.PREFILL, 50)]
        engines += [
            _engine(f"d{number}", model.EndpointKind.DECODE, _BLOCKS)
            for number in range(decodes)
        ]
        self.names = [f"vm-{number}" for number in range(entries)]
        self.snapshot = model.Snapshot(
            revision=1, endpoints_by_id={item.id: item for item in engines}
        )
        self.fleet = model.Fleet(
            version=1, vms_by_id={name: _vm(name) for name in self.names}
        )
        self.cell.update(self.snapshot, self.fleet, self.now)
        self.sent = dict.fromkeys(self.names, 0)

    def send(self, name: str, *events: messages.Event, epoch: int = 1) -> None:
        first = self.sent[name] + 1
        self.sent[name] += len(events)
        self.cell.receive(name, epoch, first, events, self.now)

    def hear_all(self) -> None:
        for name in self.names:
            self.send(name)

    def decisions(self, name: str) -> list[messages.Decision]:
        first, decisions, _ = self.cell.decisions(name)
        self.cell.acknowledge(name, first + len(decisions) - 1)
        return list(decisions)


def _starts(decisions: list[messages.Decision]) -> list[messages.Start]:
    return [item for item in decisions if isinstance(item, messages.Start)]


class TestPlacement:
    """Memory is promised once, whichever entry asks."""

    def test_memory_is_counted_over_all_entries(self):
        site = _Site()
        site.hear_all()
        for number in range(10):
            site.send("vm-0", _submit(number, site.now))
            site.send("vm-1", _submit(number, site.now))
        starts = [
            start
            for name in site.names
            for start in _starts(site.decisions(name))
        ]
        used = {"d0": 0, "d1": 0}
        for start in starts:
            used[start.decode_id] += start.slots
        assert starts
        assert max(used.values()) <= _BLOCKS
        assert min(used.values()) > _BLOCKS - starts[0].slots

    def test_all_engines_of_a_large_pool_are_used(self):
        """Guards against engines that stand idle while requests wait."""
        site = _Site(decodes=40)
        site.hear_all()
        used = set()
        for number in range(40):
            site.send("vm-0", _submit(number, site.now))
            (start,) = _starts(site.decisions("vm-0"))
            used.add(start.decode_id)
            site.send("vm-0", messages.PrefillFinished(number))
        assert len(used) == 40

    def test_what_ends_makes_room_for_the_next(self):
        site = _Site(decodes=1)
        site.hear_all()
        patient = site.now + 30.0
        for number in range(6):
            submit = _submit(number, site.now, useful_until=patient)
            site.send("vm-0", submit)
        begun = site.decisions("vm-0")
        assert len(begun) == 4
        site.now += 0.2
        site.send(
            "vm-0",
            messages.PrefillFinished(0),
            messages.FirstToken(0),
            messages.Finished(0, 100),
        )
        assert [item.request_id for item in site.decisions("vm-0")] == [4]

    def test_a_repeated_message_takes_no_memory_twice(self):
        site = _Site(decodes=1)
        site.hear_all()
        submit = _submit(0, site.now)
        for _ in range(5):
            site.cell.receive("vm-0", 1, 1, (submit,), site.now)
        assert len(site.decisions("vm-0")) == 1

    def test_late_ones_wait_behind_those_in_time(self):
        """Callers of a burst waited beyond their target.

        Their answers are worth a fifth now. Served first, they would make the
        next ones late as well, and so on for as long as the load lasts.
        """
        site = _Site(decodes=1)
        site.hear_all()
        patient = site.now + 30.0
        for number in range(5):
            submit = _submit(number, site.now, useful_until=patient)
            site.send("vm-0", submit)
        assert len(site.decisions("vm-0")) == 4
        site.now += 1.0
        site.cell.tick(site.now)
        site.send("vm-0", _submit(5, site.now))
        site.send("vm-0", messages.Finished(0, 10))
        assert [item.request_id for item in site.decisions("vm-0")] == [5]
        site.send("vm-0", messages.Finished(1, 10))
        assert [item.request_id for item in site.decisions("vm-0")] == [4]

    def test_what_is_of_no_use_any_more_is_refused_at_once(self):
        site = _Site(decodes=1)
        site.hear_all()
        patient = site.now + 30.0
        for number in range(5):
            submit = _submit(number, site.now, useful_until=patient)
            site.send("vm-0", submit)
        assert len(site.decisions("vm-0")) == 4
        for _ in range(31):
            site.now += 1.0
            site.hear_all()
            site.cell.tick(site.now)
        (refusal,) = site.decisions("vm-0")
        assert isinstance(refusal, messages.Refuse)
        assert refusal.request_id == 4
        assert refusal.retry_after_s > 0

    def test_late_ones_that_would_wait_for_nothing_are_refused(self):
        """More arrives than the engines serve, for as long as anyone knows.

        What is late then has no turn any more. Its caller would wait until it
        gives up, and could have asked again after the burst.
        """
        site = _Site(decodes=1)
        site.hear_all()
        refused: list[int] = []
        for number in range(40):
            site.now += 0.1
            site.send("vm-0", _submit(number, site.now))
            site.hear_all()
            site.cell.tick(site.now)
            refused += [
                item.request_id
                for item in site.decisions("vm-0")
                if isinstance(item, messages.Refuse)
            ]
        waited_s = 4.0 - 0.1 * min(refused)
        assert len(refused) > 20
        assert waited_s > 3.0


class TestKeptPrefill:
    """A decode engine has no room for a prompt that was read already."""

    def test_another_engine_fetches_it(self):
        """Read anew, the prompt would cost another prefill for nothing."""
        site = _Site()
        site.hear_all()
        site.send("vm-0", _submit(0, site.now))
        (start,) = site.decisions("vm-0")
        site.now += 0.15
        site.send(
            "vm-0",
            messages.PrefillFinished(0),
            messages.AttemptFailed(
                request_id=0,
                endpoint_id=start.decode_id,
                stage=messages.Stage.TRANSFER,
                refused=True,
                not_run=True,
                kept_s=0.3,
            ),
        )
        (second,) = site.decisions("vm-0")
        assert second.reuses_prefill
        assert second.prefill_id == start.prefill_id
        assert second.decode_id != start.decode_id


class TestFullEngine:
    """An engine has less room than this home believes."""

    @staticmethod
    def _turn_away(site: _Site) -> None:
        """Has the engine say that it has no room for the third request."""
        site.send(
            "vm-0",
            messages.PrefillFinished(2),
            messages.AttemptFailed(
                request_id=2,
                endpoint_id="d0",
                stage=messages.Stage.TRANSFER,
                refused=True,
                not_run=True,
                kept_s=0.3,
            ),
        )

    def test_it_isnt_asked_again_at_once(self):
        """It holds what nobody here knows of, and refuses one after another.

        The prompt was read and is kept for half a second. Asked again, the
        engine refuses again, and the prompt has been read for nothing.
        """
        site = _Site(decodes=1)
        site.hear_all()
        for number in range(3):
            site.send("vm-0", _submit(number, site.now))
        starts = _starts(site.decisions("vm-0"))
        assert len(starts) == 3
        self._turn_away(site)
        assert site.decisions("vm-0") == []
        site.send("vm-0", messages.Finished(0, 10))
        (start,) = _starts(site.decisions("vm-0"))
        assert start.request_id == 2

    def test_the_mark_outlasts_a_look(self):
        """Several callers wait while an engine is fuller than expected.

        A home looks at its queue many times a second. Were the engine asked
        at each look, each of them would have a wasted prefill, and be
        turned away, one after the other.
        """
        site = _Site(decodes=1)
        site.hear_all()
        for number in range(3):
            site.send("vm-0", _submit(number, site.now))
        site.decisions("vm-0")
        self._turn_away(site)
        for _ in range(4):
            site.now += 0.1
            site.hear_all()
            site.cell.tick(site.now)
            assert site.decisions("vm-0") == []
        site.now += 0.2
        site.hear_all()
        site.cell.tick(site.now)
        assert len(_starts(site.decisions("vm-0"))) == 1


class TestEntries:
    """Entries die, fall silent, or begin anew."""

    def test_a_part_of_the_entries_may_use_a_part_of_the_memory(self):
        """A partition hides half of the entries from this home.

        They use the same engines by a home of their own. Were all memory
        promised here as well, engines would turn prompts away after reading.
        """
        site = _Site(entries=2, decodes=1)
        for number in range(6):
            site.send("vm-0", _submit(number, site.now))
        starts = _starts(site.decisions("vm-0"))
        assert sum(start.slots for start in starts) <= _BLOCKS / 2
        site.send("vm-1")
        starts += _starts(site.decisions("vm-0"))
        assert sum(start.slots for start in starts) > _BLOCKS / 2

    def test_a_new_home_has_the_whole_once_all_had_time_to_state(self):
        """A home dies and the next takes over, for two hundred entries.

        Few of them have requests. Did it wait until all were heard, it would
        use a sliver of the engines, and callers be refused.
        """
        site = _Site(entries=200, decodes=1)
        site.cell.set_home(True, site.now)
        patient = site.now + 30.0
        for number in range(6):
            submit = _submit(number, site.now, useful_until=patient)
            site.send("vm-0", submit)
        begun = len(_starts(site.decisions("vm-0")))
        assert begun < 4
        while site.cell.next_wakeup(site.now) <= site.now + 0.1:
            site.now += 0.1
            site.cell.tick(site.now)
            if site.now >= 10.0 + cell_lib.TAKEOVER_S:
                break
        begun += len(_starts(site.decisions("vm-0")))
        assert begun == 4

    def test_one_that_stands_in_never_has_the_whole(self):
        """An entry can't reach the home, which serves all others.

        One request an engine is placed all the same, or it would have none.
        """
        site = _Site(entries=200, decodes=1)
        site.cell.set_home(False, site.now)
        for number in range(6):
            site.send("vm-0", _submit(number, site.now))
        site.now += 2 * cell_lib.TAKEOVER_S
        site.send("vm-0")
        site.cell.tick(site.now)
        assert len(_starts(site.decisions("vm-0"))) == 1

    def test_an_entry_without_requests_is_remembered(self):
        """Its next request comes after seconds of silence.

        Forgotten, the entry would have to begin anew, at each of its requests.
        """
        site = _Site()
        site.hear_all()
        site.now += 10 * cell_lib.ENTRY_TIMEOUT_S
        site.cell.tick(site.now)
        assert site.cell.knows("vm-0", 1)

    def test_the_slots_of_a_silent_entry_come_free(self):
        """A VM lost its power; engines dropped its requests."""
        site = _Site(decodes=1)
        site.hear_all()
        for number in range(4):
            site.send("vm-1", _submit(number, site.now))
        site.now += cell_lib.ENTRY_TIMEOUT_S - 0.5
        site.send("vm-0", _submit(0, site.now))
        assert site.decisions("vm-0") == []
        site.now += 0.6
        site.fleet = model.Fleet(version=2, vms_by_id={"vm-0": _vm("vm-0")})
        site.cell.update(site.snapshot, site.fleet, site.now)
        site.cell.tick(site.now)
        assert len(site.decisions("vm-0")) == 1

    def test_a_new_home_counts_what_runs(self):
        """The old home has left; its successor hears what entries run."""
        site = _Site(entries=1, decodes=1)
        start = messages.Start(
            request_id=0,
            attempt=0,
            prefill_id="p",
            decode_id="d0",
            slots=800,
        )
        site.send(
            "vm-0",
            messages.Adopt(
                submit=_submit(0, site.now),
                start=start,
                stage=messages.Stage.DECODE,
            ),
            _submit(1, site.now),
        )
        assert site.decisions("vm-0") == []
        site.send("vm-0", messages.Finished(0, 100))
        assert [item.request_id for item in site.decisions("vm-0")] == [1]

    def test_an_entry_that_begins_anew_leaves_nothing_behind(self):
        site = _Site(decodes=1)
        site.hear_all()
        for number in range(6):
            site.send("vm-0", _submit(number, site.now))
        site.sent["vm-0"] = 0
        site.send("vm-0", _submit(0, site.now), epoch=2)
        assert len(site.decisions("vm-0")) == 1
        site.send("vm-1", *(_submit(n, site.now) for n in range(3)))
        assert len(site.decisions("vm-1")) == 3


class TestRandomLife:
    """Whatever happens to entries and requests, no block is promised twice."""

    def test_never_more_than_the_engines_have(self):
        for seed in range(30):
            _live(random.Random(seed))


def _live(rng: random.Random) -> None:
    site = _Site(entries=3)
    site.hear_all()
    running: dict[tuple[str, int], messages.Start] = {}
    number = 0
    for _ in range(120):
        site.now += rng.uniform(0.0, 0.2)
        name = rng.choice(site.names)
        own = [key for key in running if key[0] == name]
        if own and rng.random() < 0.4:
            key = rng.choice(own)
            del running[key]
            ends = (messages.Finished(key[1], 50), messages.Cancel(key[1]))
            site.send(name, rng.choice(ends))
        else:
            number += 1
            tokens = rng.randint(200, 6_000)
            site.send(name, _submit(number, site.now, tokens))
        site.hear_all()
        site.cell.tick(site.now)
        for entry in site.names:
            for decision in site.decisions(entry):
                if isinstance(decision, messages.Start):
                    running[entry, decision.request_id] = decision
        used: dict[str, int] = {}
        for start in running.values():
            used[start.decode_id] = used.get(start.decode_id, 0) + start.slots
        assert all(blocks <= _BLOCKS for blocks in used.values()), used
