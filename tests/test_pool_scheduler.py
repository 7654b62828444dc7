"""Tests of the central scheduler of a pool."""

import dataclasses
import math
import random

from cowsliprill.decisions import crash_records
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import pool_scheduler as pool_scheduler_lib

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
    retries=model.RetryPolicy(ratio=0.2, burst=10, attempts=2),
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
    """A pool scheduler with two decode engines and some entry processes."""

    def __init__(self, entries: int = 2, decodes: int = 2) -> None:
        self.now = 10.0
        self.pool_scheduler = pool_scheduler_lib.PoolScheduler("gasabo", 1)
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
        self.pool_scheduler.update(self.snapshot, self.fleet, self.now)
        self.sent = dict.fromkeys(self.names, 0)

    def send(self, name: str, *events: messages.Event, epoch: int = 1) -> None:
        first = self.sent[name] + 1
        self.sent[name] += len(events)
        self.pool_scheduler.receive(name, epoch, first, events, self.now)

    def set_engines(self, endpoints_by_id: dict[str, model.Endpoint]) -> None:
        self.snapshot = dataclasses.replace(
            self.snapshot, endpoints_by_id=endpoints_by_id
        )
        self.pool_scheduler.update(self.snapshot, self.fleet, self.now)

    def set_versions(self, *versions: str) -> None:
        """Sets the software version of each decode engine."""
        engines = {
            f"d{number}": dataclasses.replace(
                self.snapshot.endpoints_by_id[f"d{number}"],
                software_version=version,
            )
            for number, version in enumerate(versions)
        }
        self.set_engines({**self.snapshot.endpoints_by_id, **engines})

    def send_heartbeats(self) -> None:
        for name in self.names:
            self.send(name)

    def decisions(self, name: str) -> list[messages.Decision]:
        first, decisions, _ = self.pool_scheduler.decisions(name)
        self.pool_scheduler.acknowledge(name, first + len(decisions) - 1)
        return list(decisions)


def _starts(decisions: list[messages.Decision]) -> list[messages.Start]:
    return [item for item in decisions if isinstance(item, messages.Start)]


class TestPlacement:
    """Engine memory is reserved once, whichever entry process uses it."""

    def test_memory_is_accounted_for_all_entries(self):
        site = _Site()
        site.send_heartbeats()
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
        """Guards against idle engines while requests wait."""
        site = _Site(decodes=40)
        site.send_heartbeats()
        used = set()
        for number in range(40):
            site.send("vm-0", _submit(number, site.now))
            (start,) = _starts(site.decisions("vm-0"))
            used.add(start.decode_id)
            site.send("vm-0", messages.PrefillFinished(number))
        assert len(used) == 40

    def test_finished_request_frees_slots_for_the_next(self):
        site = _Site(decodes=1)
        site.send_heartbeats()
        distant_deadline = site.now + 30.0
        for number in range(6):
            submit = _submit(number, site.now, useful_until=distant_deadline)
            site.send("vm-0", submit)
        started = site.decisions("vm-0")
        assert len(started) == 4
        site.now += 0.2
        site.send(
            "vm-0",
            messages.PrefillFinished(0),
            messages.FirstToken(0),
            messages.Finished(0, 100),
        )
        assert [item.request_id for item in site.decisions("vm-0")] == [4]

    def test_repeated_message_reserves_memory_once(self):
        site = _Site(decodes=1)
        site.send_heartbeats()
        submit = _submit(0, site.now)
        for _ in range(5):
            site.pool_scheduler.receive("vm-0", 1, 1, (submit,), site.now)
        assert len(site.decisions("vm-0")) == 1

    def test_late_requests_wait_behind_those_in_time(self):
        """Guards against late requests that make all later ones late.

        Requests of a burst have missed their TTFT target, and their value is
        down to a fifth. Served first, they would make the next ones late as
        well, for as long as the load lasts.
        """
        site = _Site(decodes=1)
        site.send_heartbeats()
        distant_deadline = site.now + 30.0
        for number in range(5):
            submit = _submit(number, site.now, useful_until=distant_deadline)
            site.send("vm-0", submit)
        assert len(site.decisions("vm-0")) == 4
        site.now += 1.0
        site.pool_scheduler.tick(site.now)
        site.send("vm-0", _submit(5, site.now))
        site.send("vm-0", messages.Finished(0, 10))
        assert [item.request_id for item in site.decisions("vm-0")] == [5]
        site.send("vm-0", messages.Finished(1, 10))
        assert [item.request_id for item in site.decisions("vm-0")] == [4]

    def test_request_past_its_useful_time_is_refused_at_once(self):
        site = _Site(decodes=1)
        site.send_heartbeats()
        distant_deadline = site.now + 30.0
        for number in range(5):
            submit = _submit(number, site.now, useful_until=distant_deadline)
            site.send("vm-0", submit)
        assert len(site.decisions("vm-0")) == 4
        for _ in range(31):
            site.now += 1.0
            site.send_heartbeats()
            site.pool_scheduler.tick(site.now)
        (refusal,) = site.decisions("vm-0")
        assert isinstance(refusal, messages.Refuse)
        assert refusal.request_id == 4
        assert refusal.retry_after_s > 0

    def test_late_requests_without_a_chance_are_refused(self):
        """Guards against late requests that wait without a chance to start.

        More requests arrive than the engines can serve. A late request would
        wait until its client gives up, instead of retrying after the burst.
        """
        site = _Site(decodes=1)
        site.send_heartbeats()
        refused: list[int] = []
        for number in range(40):
            site.now += 0.1
            site.send("vm-0", _submit(number, site.now))
            site.send_heartbeats()
            site.pool_scheduler.tick(site.now)
            refused += [
                item.request_id
                for item in site.decisions("vm-0")
                if isinstance(item, messages.Refuse)
            ]
        waited_s = 4.0 - 0.1 * min(refused)
        assert len(refused) > 20
        assert waited_s > 3.0


class TestExportedKvCache:
    """A decode engine has no memory for a request after its prefill."""

    def test_another_engine_fetches_it(self):
        """Guards against a second prefill of the same prompt."""
        site = _Site()
        site.send_heartbeats()
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
    """An engine has less free memory than the pool scheduler assumes."""

    @staticmethod
    def _reject_third(site: _Site) -> None:
        """Lets the engine reject the third request for lack of memory."""
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

    def test_full_engine_is_not_retried_at_once(self):
        """Guards against wasted prefills on an engine that rejects requests.

        The engine's memory is taken by work unknown to the scheduler. The
        exported KV cache is kept for half a second. If the request is retried
        on the engine at once, it is rejected again and the prefill is wasted.
        """
        site = _Site(decodes=1)
        site.send_heartbeats()
        for number in range(3):
            site.send("vm-0", _submit(number, site.now))
        starts = _starts(site.decisions("vm-0"))
        assert len(starts) == 3
        self._reject_third(site)
        assert site.decisions("vm-0") == []
        site.send("vm-0", messages.Finished(0, 10))
        (start,) = _starts(site.decisions("vm-0"))
        assert start.request_id == 2

    def test_backoff_outlasts_a_tick(self):
        """Guards against one wasted prefill for each tick.

        Several requests wait while an engine is fuller than expected. The
        queue is checked many times a second. If the engine were used at each
        tick, the requests would be rejected one after the other.
        """
        site = _Site(decodes=1)
        site.send_heartbeats()
        for number in range(3):
            site.send("vm-0", _submit(number, site.now))
        site.decisions("vm-0")
        self._reject_third(site)
        for _ in range(4):
            site.now += 0.1
            site.send_heartbeats()
            site.pool_scheduler.tick(site.now)
            assert site.decisions("vm-0") == []
        site.now += 0.2
        site.send_heartbeats()
        site.pool_scheduler.tick(site.now)
        assert len(_starts(site.decisions("vm-0"))) == 1


class TestEntries:
    """Entry processes crash, time out or restart."""

    def test_memory_in_use_is_limited_to_the_fraction_of_entries(self):
        """Guards against memory that two coordinators reserve in a partition.

        Half of the entry processes can't reach this VM and use the same engines
        through another. If both reserved all memory, engines would reject
        requests after their prefill.
        """
        site = _Site(entries=2, decodes=1)
        for number in range(6):
            site.send("vm-0", _submit(number, site.now))
        starts = _starts(site.decisions("vm-0"))
        assert sum(start.slots for start in starts) <= _BLOCKS / 2
        site.send("vm-1")
        starts += _starts(site.decisions("vm-0"))
        assert sum(start.slots for start in starts) > _BLOCKS / 2

    def test_new_coordinator_uses_all_slots_after_the_takeover_time(self):
        """Guards against refusals after a coordinator failover.

        There are 200 entry processes and few have requests. If the new
        coordinator waited until all had connected, it would use only a small
        fraction of the engines.
        """
        site = _Site(entries=200, decodes=1)
        site.pool_scheduler.set_is_coordinator(True, site.now)
        distant_deadline = site.now + 30.0
        for number in range(6):
            submit = _submit(number, site.now, useful_until=distant_deadline)
            site.send("vm-0", submit)
        started = len(_starts(site.decisions("vm-0")))
        assert started < 4
        while site.pool_scheduler.next_wakeup(site.now) <= site.now + 0.1:
            site.now += 0.1
            site.pool_scheduler.tick(site.now)
            if site.now >= 10.0 + pool_scheduler_lib.TAKEOVER_S:
                break
        started += len(_starts(site.decisions("vm-0")))
        assert started == 4

    def test_acting_coordinator_never_uses_all_slots(self):
        """Guards against double reservation by an acting coordinator.

        One entry process can't reach the coordinator, which serves all others.
        One request per engine is placed all the same, or it could run none.
        """
        site = _Site(entries=200, decodes=1)
        site.pool_scheduler.set_is_coordinator(False, site.now)
        for number in range(6):
            site.send("vm-0", _submit(number, site.now))
        site.now += 2 * pool_scheduler_lib.TAKEOVER_S
        site.send("vm-0")
        site.pool_scheduler.tick(site.now)
        assert len(_starts(site.decisions("vm-0"))) == 1

    def test_idle_entry_keeps_its_session(self):
        """Guards against a new session for each request of an idle entry.

        The next request comes after seconds without messages.
        """
        site = _Site()
        site.send_heartbeats()
        site.now += 10 * pool_scheduler_lib.ENTRY_TIMEOUT_S
        site.pool_scheduler.tick(site.now)
        assert site.pool_scheduler.has_session("vm-0", 1)

    def test_slots_of_a_timed_out_entry_are_freed(self):
        """Guards against slots that a crashed VM holds for ever.

        The VM lost power, and the engines dropped its requests.
        """
        site = _Site(decodes=1)
        site.send_heartbeats()
        for number in range(4):
            site.send("vm-1", _submit(number, site.now))
        site.now += pool_scheduler_lib.ENTRY_TIMEOUT_S - 0.5
        site.send("vm-0", _submit(0, site.now))
        assert site.decisions("vm-0") == []
        site.now += 0.6
        site.fleet = model.Fleet(version=2, vms_by_id={"vm-0": _vm("vm-0")})
        site.pool_scheduler.update(site.snapshot, site.fleet, site.now)
        site.pool_scheduler.tick(site.now)
        assert len(site.decisions("vm-0")) == 1

    def test_new_coordinator_accounts_for_running_requests(self):
        """Guards against double reservation after a coordinator failover.

        Entry processes report their running requests to the new coordinator.
        """
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

    def test_new_session_frees_the_slots_of_the_old_one(self):
        site = _Site(decodes=1)
        site.send_heartbeats()
        for number in range(6):
            site.send("vm-0", _submit(number, site.now))
        site.sent["vm-0"] = 0
        site.send("vm-0", _submit(0, site.now), epoch=2)
        assert len(site.decisions("vm-0")) == 1
        site.send("vm-1", *(_submit(n, site.now) for n in range(3)))
        assert len(site.decisions("vm-1")) == 3


class TestSoftwareVersions:
    """Streams that have begun go on at engines of the same software version."""

    @staticmethod
    def _site(*versions: str) -> _Site:
        """Returns a site with one decode engine of each version."""
        site = _Site(entries=1, decodes=len(versions))
        site.set_versions(*versions)
        return site

    @staticmethod
    def _begin(site: _Site, number: int, tokens: int = 3_200) -> str:
        """Starts a stream; returns its decode engine."""
        site.send("vm-0", _submit(number, site.now, tokens))
        (start,) = _starts(site.decisions("vm-0"))
        site.send("vm-0", messages.PrefillFinished(number))
        site.send("vm-0", messages.FirstToken(number))
        return start.decode_id

    @staticmethod
    def _break(site: _Site, number: int, engine: str, version: str) -> None:
        failed = messages.AttemptFailed(
            request_id=number,
            endpoint_id=engine,
            stage=messages.Stage.DECODE,
            resumable=True,
            version=version,
        )
        site.send("vm-0", failed)

    def test_broken_stream_goes_on_at_its_version(self):
        """Guards against one answer with events of two versions."""
        site = self._site("v1", "v1", "v2")
        engines = [self._begin(site, number) for number in range(6)]
        versions = [
            site.snapshot.endpoints_by_id[engine].software_version
            for engine in engines
        ]
        assert set(versions) == {"v1", "v2"}
        # One stream of each version breaks, so that the retry budget suffices.
        for version in ("v1", "v2"):
            number = versions.index(version)
            self._break(site, number, engines[number], version)
            # The only engine of a version is tried again after a short time.
            site.now += 1.0
            site.pool_scheduler.tick(site.now)
            (start,) = _starts(site.decisions("vm-0"))
            assert start.version == versions[number]
            decode = site.snapshot.endpoints_by_id[start.decode_id]
            assert decode.software_version == versions[number]

    def test_stream_of_a_version_that_is_gone_is_refused_at_once(self):
        """Guards against callers that wait for an engine that won't come."""
        site = self._site("v1", "v2")
        self._begin(site, 1)
        self._break(site, 1, "d0", "v0")
        (refusal,) = site.decisions("vm-0")
        assert refusal.code is messages.RefusalCode.VERSION_UNAVAILABLE

    def test_waiting_stream_is_refused_when_its_last_engine_leaves(self):
        """Guards against waits until the deadline after the last engine left.

        The stream waits as the only engine of its version is full.
        """
        site = self._site("v1", "v2")
        full = _BLOCKS * _BLOCK_TOKENS - 400
        while self._begin(site, 1, full) != "d0":
            site.send("vm-0", messages.Finished(1, 10))
        resumed = _submit(2, site.now, resumes=True, version="v1")
        site.send("vm-0", resumed)
        assert site.decisions("vm-0") == []
        left = dict(site.snapshot.endpoints_by_id)
        del left["d0"]
        site.set_engines(left)
        (refusal,) = site.decisions("vm-0")
        assert refusal.code is messages.RefusalCode.VERSION_UNAVAILABLE

    def test_waiting_stream_does_not_block_new_requests(self):
        """Guards against idle engines behind a stream of another version."""
        site = self._site("v1", "v2")
        full = _BLOCKS * _BLOCK_TOKENS - 400
        while self._begin(site, 1, full) != "d0":
            site.send("vm-0", messages.Finished(1, 10))
        resumed = _submit(2, site.now, resumes=True, version="v1")
        site.send("vm-0", resumed, _submit(3, site.now))
        (start,) = site.decisions("vm-0")
        assert (start.request_id, start.decode_id) == (3, "d1")
        site.send("vm-0", messages.Finished(1, 10))
        (start,) = site.decisions("vm-0")
        assert (start.request_id, start.decode_id) == (2, "d0")

    def test_older_entry_process_gets_a_code_that_it_knows(self):
        """Guards against a channel that breaks at an unknown error code."""
        site = self._site("v1")
        engine = self._begin(site, 1)
        upgraded = dataclasses.replace(
            site.snapshot.endpoints_by_id[engine],
            id="d9",
            software_version="v2",
        )
        left = dict(site.snapshot.endpoints_by_id)
        del left[engine]
        site.set_engines({**left, "d9": upgraded})
        failed = messages.AttemptFailed(
            request_id=1,
            endpoint_id=engine,
            stage=messages.Stage.DECODE,
            resumable=True,
        )
        site.send("vm-0", failed)
        (refusal,) = site.decisions("vm-0")
        assert refusal.code is messages.RefusalCode.ENDPOINT_FAILED

    def test_adopted_stream_keeps_its_version(self):
        """Guards against another version after a change of coordinator."""
        site = self._site("v1", "v2", "v1")
        site.send("vm-0", _adopt(_submit(1, site.now), "d0"))
        self._break(site, 1, "d0", "v1")
        (start,) = _starts(site.decisions("vm-0"))
        assert start.decode_id in ("d0", "d2")

    def test_stream_at_a_draining_engine_is_adopted(self):
        """Guards against a stream that waits for good once its engine exits.

        The coordinator was chosen while the engine drained, so it doesn't use
        that engine.
        """
        site = self._site("v1", "v2")
        adopt = _adopt(_submit(1, site.now, version="v1"), "left")
        site.send("vm-0", adopt, messages.Progress(1, 100))
        self._break(site, 1, "left", "v1")
        (start,) = _starts(site.decisions("vm-0"))
        assert (start.decode_id, start.attempt) == ("d0", 1)
        site.send("vm-0", messages.FirstToken(1), messages.Finished(1, 200))
        assert site.pool_scheduler.pool_load("brief").promised == 0

    def test_restart_of_an_engine_whose_stream_was_adopted_unlisted(self):
        """Guards against a coordinator that fails as it frees the slots.

        A new coordinator doesn't know which process of the engine it was.
        """
        site = self._site("v1", "v2")
        site.send("vm-0", _adopt(_submit(1, site.now, version="v1"), "new"))
        listed = site.snapshot.endpoints_by_id
        engine = dataclasses.replace(listed["d0"], id="new")
        for life in ("1", "2"):
            restarted = dataclasses.replace(engine, life=life)
            site.set_engines({**listed, "new": restarted})
        assert site.pool_scheduler.pool_load("brief").promised == 0
        site.send("vm-0", messages.Finished(1, 200))
        assert site.pool_scheduler.pool_load("brief").promised == 0


def _adopt(submit: messages.Submit, decode_id: str) -> messages.Adopt:
    number = submit.request_id
    start = messages.Start(
        request_id=number, attempt=0, prefill_id="p", decode_id=decode_id
    )
    return messages.Adopt(
        submit=submit, start=start, stage=messages.Stage.DECODE
    )


class TestRandomEvents:
    """No KV cache block is reserved twice under random events."""

    def test_reserved_blocks_never_exceed_the_engines_memory(self):
        for seed in range(30):
            _run_random_events(random.Random(seed))


def _run_random_events(rng: random.Random) -> None:
    site = _Site(entries=3)
    site.send_heartbeats()
    running: dict[tuple[str, int], messages.Start] = {}
    number = 0
    for _ in range(120):
        site.now += rng.uniform(0.0, 0.2)
        name = rng.choice(site.names)
        own = [key for key in running if key[0] == name]
        if own and rng.random() < 0.4:
            key = rng.choice(own)
            del running[key]
            end_events = (
                messages.Finished(key[1], 50),
                messages.Cancel(key[1]),
            )
            site.send(name, rng.choice(end_events))
        else:
            number += 1
            tokens = rng.randint(200, 6_000)
            site.send(name, _submit(number, site.now, tokens))
        site.send_heartbeats()
        site.pool_scheduler.tick(site.now)
        for entry in site.names:
            for decision in site.decisions(entry):
                if isinstance(decision, messages.Start):
                    running[entry, decision.request_id] = decision
        used: dict[str, int] = {}
        for start in running.values():
            used[start.decode_id] = used.get(start.decode_id, 0) + start.slots
        assert all(blocks <= _BLOCKS for blocks in used.values()), used


class TestNewCoordinator:
    """A VM that begins to place a pool's requests while engines end."""

    def test_starts_requests_with_a_suspected_part_one_by_one(self):
        """Guards against several engines that one part ends together."""
        site = _Site(entries=1)
        record = crash_records.CrashRecord(
            endpoint_id="d9",
            number=0,
            pool="brief",
            sent_before_s={"r": 0.1},
            parts_by_fingerprint={"r": frozenset({"x"})},
            observed_at=site.now,
        )
        site.pool_scheduler.add_crash_records((record,), site.now)
        for number in range(4):
            submit = _submit(number, site.now, prompt_parts=("x",))
            site.send("vm-0", submit)
        assert len(_starts(site.decisions("vm-0"))) == 1


class TestAvailabilityZones:
    """Requests prefer engines in the zone of their entry process.

    The load is light: prompts and outputs of every request would cross zones
    though an equal engine is near.
    """

    def _site(self) -> _Site:
        site = _Site(decodes=0)
        zones = ("gasabo", "remera")
        engines = [
            dataclasses.replace(
                _engine(f"{kind.value}-{zone}", kind, _BLOCKS),
                availability_zone=zone,
            )
            for zone in zones
            for kind in (model.EndpointKind.PREFILL, model.EndpointKind.DECODE)
        ]
        site.names = [f"vm-{number}.router.1" for number in range(2)]
        site.fleet = model.Fleet(
            version=2,
            vms_by_id={
                f"vm-{number}": dataclasses.replace(
                    _vm(f"vm-{number}"), availability_zone=zone
                )
                for number, zone in enumerate(zones)
            },
        )
        site.sent = dict.fromkeys(site.names, 0)
        site.set_engines({item.id: item for item in engines})
        site.send_heartbeats()
        return site

    def test_engines_of_the_callers_zone_are_preferred(self):
        """Guards against placement by the zone of the coordinator."""
        site = self._site()
        for name, zone in zip(site.names, ("gasabo", "remera"), strict=True):
            site.send(name, _submit(0, site.now))
            (start,) = _starts(site.decisions(name))
            assert start.prefill_id == f"prefill-{zone}"
            assert start.decode_id == f"decode-{zone}"

    def test_a_full_zone_uses_engines_of_the_other(self):
        """Guards against requests that wait beside idle engines."""
        site = self._site()
        name = site.names[1]
        for number in range(6):
            site.send(name, _submit(number, site.now))
        starts = _starts(site.decisions(name))
        assert len(starts) == 6
        assert {start.decode_id for start in starts} == {
            "decode-gasabo",
            "decode-remera",
        }


class TestEnginesGone:
    """All engines of a pool leave while requests wait."""

    def test_refusals_can_be_sent(self):
        """Guards against a refusal that JSON can't carry.

        The entry process dropped the whole message, and its callers waited for
        their time limit.
        """
        site = _Site(decodes=1)
        site.send_heartbeats()
        for number in range(6):
            site.send("vm-0", _submit(number, site.now))
        site.decisions("vm-0")
        site.set_engines({})
        site.now += 3.5
        site.send_heartbeats()
        site.pool_scheduler.tick(site.now)
        refusals = [
            item
            for item in site.decisions("vm-0")
            if isinstance(item, messages.Refuse)
        ]
        assert refusals
        assert all(math.isfinite(item.wait_s) for item in refusals)
