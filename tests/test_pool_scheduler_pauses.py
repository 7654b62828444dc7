"""Tests of the pool scheduler with engines that some VMs can't use."""

from collections.abc import Mapping

from tests import test_pool_scheduler

from cowsliprill.decisions import messages

_BLOCKS = test_pool_scheduler._BLOCKS
_starts = test_pool_scheduler._starts
_submit = test_pool_scheduler._submit


class _PauseSite(test_pool_scheduler._Site):
    """A site whose entry processes name engines that they can't use."""

    def __init__(self, **arguments: int) -> None:
        super().__init__(**arguments)
        self.unavailable: dict[str, Mapping[str, float]] = {}
        self.send_heartbeats()

    def send(self, name: str, *events: messages.Event, epoch: int = 1) -> None:
        first = self.sent[name] + 1
        self.sent[name] += len(events)
        self.pool_scheduler.receive(
            name,
            epoch,
            first,
            events,
            self.now,
            self.unavailable.get(name, {}),
        )

    def fail(self, name: str, number: int, engine: str, **fields: bool) -> None:
        """Reports an attempt that the engine didn't run."""
        failed = messages.AttemptFailed(
            request_id=number,
            endpoint_id=engine,
            stage=messages.Stage.TRANSFER,
            not_run=True,
            **fields,
        )
        self.send(name, failed)

    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.send_heartbeats()
        self.pool_scheduler.tick(self.now)


class TestUnavailableEngine:
    """An engine has asked one VM for a pause."""

    def test_gets_no_request_of_that_vm(self) -> None:
        """Guards against a coordinator that doesn't know of the pause."""
        site = _PauseSite()
        site.unavailable["vm-0"] = {"d0": site.now + 3.0}
        for number in range(6):
            site.send("vm-0", _submit(number, site.now))
        used = {start.decode_id for start in _starts(site.decisions("vm-0"))}
        assert used == {"d1"}

    def test_serves_the_others(self) -> None:
        """Guards against an engine that idles since one VM can't use it."""
        site = _PauseSite()
        site.unavailable["vm-0"] = {"d0": site.now + 3.0}
        site.send("vm-0")
        for number in range(6):
            site.send("vm-1", _submit(number, site.now))
        used = {start.decode_id for start in _starts(site.decisions("vm-1"))}
        assert "d0" in used

    def test_serves_that_vm_again_after_the_pause(self) -> None:
        site = _PauseSite(decodes=1)
        site.unavailable["vm-0"] = {"d0": site.now + 0.4}
        site.send("vm-0", _submit(1, site.now))
        assert not site.decisions("vm-0")
        site.unavailable = {}
        site.pass_time(0.4)
        assert len(_starts(site.decisions("vm-0"))) == 1

    def test_does_not_delay_requests_of_others(self) -> None:
        """Guards against a queue whose head can't use the free engines."""
        site = _PauseSite(decodes=1)
        site.unavailable["vm-0"] = {"d0": site.now + 0.4}
        site.send("vm-0", _submit(1, site.now))
        site.send("vm-1", _submit(1, site.now))
        assert len(_starts(site.decisions("vm-1"))) == 1

    def test_that_pauses_too_long_has_requests_refused_at_once(self) -> None:
        """Guards against requests that wait for a pause until it's too late."""
        site = _PauseSite(decodes=1)
        site.unavailable["vm-0"] = {"d0": site.now + 30.0}
        site.send("vm-0", _submit(1, site.now))
        [refusal] = site.decisions("vm-0")
        assert isinstance(refusal, messages.Refuse)
        assert refusal.code is messages.RefusalCode.OVERLOADED
        assert refusal.retry_after_s >= 30.0

    def test_and_all_others_turn_the_last_attempt_away(self) -> None:
        """Guards against callers that come back while all engines still rest.

        The request is refused as its attempts are spent.
        """
        site = _PauseSite()
        site.send("vm-0", _submit(1, site.now))
        paused: dict[str, float] = {}
        for _ in range(2):
            [start] = _starts(site.decisions("vm-0"))
            paused[start.decode_id] = site.now + 30.0
            site.unavailable["vm-0"] = dict(paused)
            site.fail("vm-0", 1, start.decode_id, refused=True)
        [refusal] = site.decisions("vm-0")
        assert isinstance(refusal, messages.Refuse)
        assert refusal.retry_after_s >= 30.0

    def test_that_prefills_is_missed_by_that_vm_only(self) -> None:
        site = _PauseSite()
        site.unavailable["vm-0"] = {"p": site.now + 30.0}
        site.send("vm-0", _submit(1, site.now))
        [refusal] = site.decisions("vm-0")
        assert isinstance(refusal, messages.Refuse)
        site.send("vm-1", _submit(1, site.now))
        assert len(_starts(site.decisions("vm-1"))) == 1

    def test_is_forgotten_with_the_session(self) -> None:
        site = _PauseSite(decodes=1)
        site.unavailable["vm-0"] = {"d0": site.now + 30.0}
        site.send("vm-0")
        site.unavailable = {}
        site.sent["vm-0"] = 0
        site.send("vm-0", _submit(1, site.now), epoch=2)
        assert len(_starts(site.decisions("vm-0"))) == 1

    def test_is_forgotten_with_a_session_that_has_requests(self) -> None:
        """Guards against placements for a session that has ended."""
        site = _PauseSite(decodes=1)
        site.unavailable["vm-0"] = {"d0": site.now + 0.4}
        site.send("vm-0", _submit(1, site.now))
        site.unavailable = {}
        site.sent["vm-0"] = 0
        site.send("vm-0", epoch=2)
        assert not site.decisions("vm-0")
        site.send("vm-0", _submit(1, site.now), epoch=2)
        assert len(_starts(site.decisions("vm-0"))) == 1

    def test_is_not_ejected_for_turning_requests_away(self) -> None:
        """Guards against an engine that idles after the pause it asked for."""
        site = _PauseSite(decodes=1)
        site.send("vm-0", _submit(1, site.now))
        site.decisions("vm-0")
        site.unavailable["vm-0"] = {"d0": site.now + 0.3}
        site.fail("vm-0", 1, "d0", refused=True)
        site.unavailable = {}
        site.pass_time(0.5)
        assert len(_starts(site.decisions("vm-0"))) == 1

    def test_does_not_hide_a_full_pool(self) -> None:
        """Guards against requests that pass others in a full pool."""
        site = _PauseSite(decodes=2)
        tokens = _BLOCKS * 16
        site.send(
            "vm-1",
            _submit(1, site.now, tokens=tokens, output_tokens=1),
        )
        site.send(
            "vm-1",
            _submit(2, site.now, tokens=tokens, output_tokens=1),
        )
        assert len(_starts(site.decisions("vm-1"))) == 2
        site.send("vm-1", _submit(3, site.now))
        site.unavailable["vm-0"] = {"d0": site.now + 0.3}
        site.send("vm-0", _submit(1, site.now))
        load = site.pool_scheduler.pool_load("brief")
        assert load is not None
        assert load.waiting == 2
        site.send("vm-1", messages.Cancel(1))
        assert [start.request_id for start in _starts(site.decisions("vm-1"))]


class TestUnsentAttempt:
    """A VM withholds a request as its engine has just asked for a pause."""

    def test_is_placed_elsewhere_and_blames_no_engine(self) -> None:
        """Guards against engines ejected for requests that they never got."""
        site = _PauseSite()
        for number in range(3):
            site.send("vm-0", _submit(number, site.now))
            [start] = _starts(site.decisions("vm-0"))
            site.unavailable["vm-0"] = {start.decode_id: site.now + 1.0}
            site.fail("vm-0", number, start.decode_id, unsent=True)
            [other] = _starts(site.decisions("vm-0"))
            assert other.decode_id != start.decode_id
        load = site.pool_scheduler.pool_load("brief")
        assert load is not None
        assert load.ejected == ""

    def test_is_not_placed_there_again_at_once(self) -> None:
        """Guards against placements that a VM withholds again and again."""
        site = _PauseSite()
        site.send("vm-0", _submit(1, site.now))
        [start] = _starts(site.decisions("vm-0"))
        site.fail("vm-0", 1, start.decode_id, unsent=True)
        [other] = _starts(site.decisions("vm-0"))
        assert other.decode_id != start.decode_id

    def test_leaves_the_engine_to_other_vms(self) -> None:
        site = _PauseSite(decodes=1)
        site.send("vm-0", _submit(1, site.now))
        site.decisions("vm-0")
        site.fail("vm-0", 1, "d0", unsent=True)
        assert not site.decisions("vm-0")
        site.send("vm-1", _submit(1, site.now))
        assert len(_starts(site.decisions("vm-1"))) == 1
        site.pass_time(0.2)
        assert len(_starts(site.decisions("vm-0"))) == 1
