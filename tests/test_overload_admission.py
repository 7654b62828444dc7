"""Tests of the admission to a pool under overload, with `overload_control`."""

import collections
import heapq
import itertools

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import pool_scheduler as pool_scheduler_lib
from cowsliprill.decisions.overload import first_token_delays

_URGENT, _ROUTINE = 0, -2
_TARGET_S_BY_PRIORITY = {_URGENT: 0.8, _ROUTINE: 2.0}
_BLOCKS, _TOKENS = 1_759, 67
_PREFILL_S, _HOLD_S = 0.1, 2.5
_CUSTOMERS = [f"calm-{number}" for number in range(7)]


def _engine(name: str, kind: model.EndpointKind) -> model.Endpoint:
    decodes = kind is model.EndpointKind.DECODE
    return model.Endpoint(
        id=name,
        kind=kind,
        host="10.1.0.1",
        port=80,
        availability_zone="gasabo",
        pool="brief",
        slots=_BLOCKS if decodes else 3,
        places=12 if decodes else 0,
        block_tokens=16 if decodes else 0,
        prefill_tokens_per_s=33_000.0,
        seconds_per_token=_HOLD_S / _TOKENS,
        export_ttl_s=0.5,
    )


def _submit(number, customer, priority, now) -> messages.Submit:
    target_s = _TARGET_S_BY_PRIORITY[priority]
    service = model.Service(
        id=f"brief/{priority}",
        customer="",
        name="brief",
        kind=model.ServiceKind.MODEL,
        pool="brief",
        ttft_target_s=target_s,
        may_wait_s=target_s,
        priority=priority,
    )
    return messages.Submit(
        request_id=number,
        service=service,
        customer=customer,
        prompt_tokens=3_200,
        output_tokens=256,
        expected_tokens=_TOKENS,
        priority=priority,
        deadline=now + target_s,
        useful_until=now + max(2.0, 4 * target_s),
    )


class _Site:
    """A pool scheduler whose engines are replayed in virtual time."""

    def __init__(self, *, overload_control: bool = True) -> None:
        self.now = 10.0
        self.decode_ids = [f"d{number}" for number in range(3)]
        engines = [
            _engine(f"p{number}", model.EndpointKind.PREFILL)
            for number in range(2)
        ]
        engines += [
            _engine(name, model.EndpointKind.DECODE) for name in self.decode_ids
        ]
        vm = model.Vm(
            id="vm",
            host="vm",
            availability_zone="gasabo",
            role=model.VmRole.ENTRY,
            entry_ports=(1,),
        )
        self.snapshot = model.Snapshot(
            revision=1, endpoints_by_id={item.id: item for item in engines}
        )
        self.fleet = model.Fleet(version=1, vms_by_id={"vm": vm})
        self.submit_by_number: dict[int, messages.Submit] = {}
        self.start_by_number: dict[int, messages.Start] = {}
        self.refused_at: dict[int, tuple[float, messages.Refuse]] = {}
        self.started_at: dict[int, float] = {}
        self.done: set[int] = set()
        self.violations: list[str] = []
        self._due: list = []
        self._order = itertools.count()
        self._overload_control = overload_control
        self.begin_coordinator()

    def begin_coordinator(self) -> None:
        """Starts a new coordinator, to which the entry process reports."""
        self.scheduler = pool_scheduler_lib.PoolScheduler(
            "gasabo", 1, overload_control=self._overload_control
        )
        self.scheduler.update(self.snapshot, self.fleet, self.now)
        self.scheduler.set_is_coordinator(True, self.now)
        self._sent = 0
        events = []
        for number, submit in self.submit_by_number.items():
            start = self.start_by_number.get(number)
            if number in self.done or number in self.refused_at:
                continue
            stage = messages.Stage.DECODE
            events.append(
                submit
                if start is None
                else messages.Adopt(submit=submit, start=start, stage=stage)
            )
        self._send(*events)

    def arrive(self, customer: str, priority: int, at: float) -> None:
        self._push(at, "arrive", (customer, priority))

    def run(self, until: float) -> None:
        for at in _times(self.now, until, 20.0):
            self._push(at, "tick", None)
        while self._due and self._due[0][0] <= until:
            self.now, _, kind, item = heapq.heappop(self._due)
            if kind == "arrive":
                number = len(self.submit_by_number)
                submit = _submit(number, *item, self.now)
                self.submit_by_number[number] = submit
                self._send(submit)
            elif kind == "tick":
                self._send()
            else:
                if isinstance(item, messages.Finished):
                    self.done.add(item.request_id)
                self._send(item)

    def counts(self) -> collections.Counter:
        """Counts requests by kind of customer, priority and outcome."""
        return collections.Counter(
            (
                submit.customer.split("-")[0],
                submit.priority,
                "refused" if number in self.refused_at else "served",
            )
            for number, submit in self.submit_by_number.items()
        )

    def _push(self, at: float, kind: str, item: object) -> None:
        heapq.heappush(self._due, (at, next(self._order), kind, item))

    def _send(self, *events: messages.Event) -> None:
        first = self._sent + 1
        self._sent += len(events)
        self.scheduler.receive("vm", 1, first, events, self.now)
        self.scheduler.tick(self.now)
        number, decisions, _ = self.scheduler.decisions("vm")
        self.scheduler.acknowledge("vm", number + len(decisions) - 1)
        for decision in decisions:
            number = decision.request_id
            match decision:
                case messages.Start():
                    self.start_by_number[number] = decision
                    self.started_at[number] = self.now
                    self._run(number)
                case messages.Refuse():
                    self.refused_at[number] = (self.now, decision)
                    self._check(number)

    def _run(self, number: int) -> None:
        for after_s, event in (
            (_PREFILL_S, messages.PrefillFinished(number)),
            (_PREFILL_S + 0.02, messages.FirstToken(number)),
            (_HOLD_S, messages.Finished(number, _TOKENS)),
        ):
            self._push(self.now + after_s, "event", event)

    def _check(self, number: int) -> None:
        """Notes a refusal with room, or before less urgent own requests."""
        refused = self.submit_by_number[number]
        for other, submit in self.submit_by_number.items():
            waits = other not in self.start_by_number | self.refused_at
            less_urgent = submit.priority < refused.priority
            if waits and less_urgent and submit.customer == refused.customer:
                self.violations.append(f"{number} refused before {other}")
        used, prefills = collections.Counter(), collections.Counter()
        for running, start in self.start_by_number.items():
            if running not in self.done:
                used[start.decode_id] += start.slots
            if self.now < self.started_at[running] + _PREFILL_S:
                prefills[start.prefill_id] += 1
        decode_room = min(used[name] for name in self.decode_ids) + 300
        if decode_room < _BLOCKS and min(prefills["p0"], prefills["p1"]) < 3:
            self.violations.append(f"{number} refused with room")


def _flood(site: _Site, rate: float, until: float) -> None:
    """Adds routine requests of one customer with urgent ones among them."""
    for at in _times(site.now, until, rate):
        site.arrive("flood", _ROUTINE, at)
    for at in _times(site.now + 0.01, until, rate / 8):
        site.arrive("flood", _URGENT, at)


def _calm(site: _Site, until: float) -> None:
    """Adds requests of customers that stay within their shares."""
    for number, customer in enumerate(_CUSTOMERS):
        for at in _times(site.now + number * 0.1, until, 0.5):
            site.arrive(customer, _ROUTINE, at)


def _times(since: float, until: float, per_s: float) -> list[float]:
    return [
        since + number / per_s for number in range(int((until - since) * per_s))
    ]


class TestFloodWithUrgentRequests:
    """A customer sends twice what the pool serves, one in nine urgent."""

    def test_urgent_and_other_customers_requests_are_served(self):
        # Guards against urgent requests that are refused while routine ones of
        # the same customer are served, and against requests of customers within
        # their shares that are refused for those of the flood.
        site = _Site()
        _flood(site, 15.0, site.now + 9.0)
        _calm(site, site.now + 9.0)
        site.run(site.now + 14.0)
        counts = site.counts()
        assert counts["flood", _ROUTINE, "refused"] > 40
        assert counts["flood", _ROUTINE, "served"] > 40
        assert not counts["flood", _URGENT, "refused"]
        assert not counts["calm", _ROUTINE, "refused"]
        assert site.violations == []
        assert sum(site.scheduler.displaced().values()) > 40

    def test_refusals_tell_their_rank(self):
        site = _Site()
        _flood(site, 15.0, site.now + 6.0)
        _calm(site, site.now + 6.0)
        site.run(site.now + 9.0)
        ranks = [refuse.rank for _, refuse in site.refused_at.values()]
        assert ranks
        assert all(
            rank.over_share and rank.priority == _ROUTINE and rank.ahead
            for rank in ranks
        )

    def test_routine_delays_do_not_make_urgent_requests_hopeless(self):
        # Guards against one average of all delays of first tokens, which uses
        # up the 0.8 s that an urgent request has.
        delays = first_token_delays.FirstTokenDelays(by_priority=True)
        for _ in range(100):
            delays.record(_ROUTINE, 1.0)
            delays.record(_URGENT, 0.05)
        assert delays.expected_s(_URGENT) < 0.06
        assert delays.expected_s(_ROUTINE) > 0.9
        assert delays.expected_s(_URGENT - 1) == delays.expected_s(_URGENT)


class TestBurstOfTheLeastUrgentRequests:
    """All customers send routine requests at once, with few urgent ones."""

    def test_urgent_requests_go_first(self):
        site = _Site()
        begun_at = site.now
        for number in range(60):
            site.arrive(_CUSTOMERS[number % 7], _ROUTINE, begun_at + 0.01)
        for number in range(6):
            at = begun_at + 3.0 + number * 0.1
            site.arrive(_CUSTOMERS[number], _URGENT, at)
        site.run(begun_at + 9.0)
        assert not site.counts()["calm", _URGENT, "refused"]
        assert site.violations == []

    def test_no_request_is_refused_while_the_pool_has_room(self):
        site = _Site()
        for number in range(20):
            site.arrive("flood", _ROUTINE, site.now + number * 0.05)
        site.run(site.now + 5.0)
        assert not site.refused_at


class TestCoordinatorFailover:
    """The coordinator is lost in the middle of the overload."""

    def test_the_new_coordinator_keeps_the_order(self):
        # Guards against state of the ranking that only the lost one had.
        site = _Site()
        begun_at = site.now
        _flood(site, 15.0, begun_at + 9.0)
        _calm(site, begun_at + 9.0)
        site.run(begun_at + 4.5)
        site.begin_coordinator()
        site.run(begun_at + 14.0)
        counts = site.counts()
        assert counts["flood", _ROUTINE, "refused"] > 40
        assert not counts["flood", _URGENT, "refused"]
        assert not counts["calm", _ROUTINE, "refused"]
        assert site.violations == []


class TestSwitchedOff:
    """Without the switch nothing of the ranking is in force."""

    def test_refusals_have_no_rank_and_nothing_is_displaced(self):
        site = _Site(overload_control=False)
        _flood(site, 15.0, site.now + 6.0)
        site.run(site.now + 9.0)
        assert site.refused_at
        assert {item.rank for _, item in site.refused_at.values()} == {None}
        assert not site.scheduler.displaced()
