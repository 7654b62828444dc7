"""Tests of `decisions.scheduler`."""

import collections
import dataclasses

import hypothesis
from hypothesis import strategies

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import scheduler

_LEASE_S = 60.0


def _endpoint(kind: model.EndpointKind, number: int) -> model.Endpoint:
    return model.Endpoint(
        id=f"{kind}-{number}",
        kind=kind,
        host="127.0.0.1",
        port=1,
        availability_zone="gasabo",
        pool="g",
        slots=4,
        prefill_tokens_per_s=1_000.0,
        seconds_per_token=0.01,
        link_bytes_per_s=1e9,
        kv_bytes_per_token=1_000,
    )


_PREFILLS = [_endpoint(model.EndpointKind.PREFILL, n) for n in range(2)]
_DECODES = [_endpoint(model.EndpointKind.DECODE, n) for n in range(2)]
_SNAPSHOT = model.Snapshot(
    revision=1,
    endpoints_by_id={item.id: item for item in _PREFILLS + _DECODES},
)


def _service(**changes: object) -> model.Service:
    return model.Service(
        id="u/s",
        customer="u",
        name="s",
        kind=model.ServiceKind.MODEL,
        pool="g",
        **changes,
    )


def _submit(
    request_id: int, now: float = 0.0, **changes: object
) -> messages.Submit:
    fields: dict = {
        "request_id": request_id,
        "service": _service(),
        "customer": "u",
        "prompt_tokens": 100,
        "output_tokens": 100,
        "deadline": now + 1.0,
    }
    return messages.Submit(**(fields | changes))


def _scheduler() -> scheduler.Scheduler:
    found = scheduler.Scheduler("gasabo", 1)
    found.handle(messages.WorldChanged(_SNAPSHOT, model.Fleet()), 0.0)
    return found


def _grant(
    endpoint_id: str, slots: int, waiting: int = 0, used: int = 0
) -> messages.SlotGrant:
    return messages.SlotGrant(
        endpoint_id=endpoint_id,
        slots=slots,
        expires_at=_LEASE_S,
        waiting=waiting,
        used=used,
        sequence=10**6,
    )


def _with_slots(slots: int = 2) -> scheduler.Scheduler:
    found = _scheduler()
    for endpoint_id in _SNAPSHOT.endpoints_by_id:
        found.handle(_grant(endpoint_id, slots), 0.0)
    return found


def _of(actions: list[messages.Action], kind: type) -> list:
    return [action for action in actions if isinstance(action, kind)]


class TestOneFinalAction:
    """Every submitted request comes to exactly one end."""

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=150
    )
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 9), strategies.integers(0, 30)
            ),
            min_size=10,
            max_size=80,
        )
    )
    def test_any_order_of_events(self, steps) -> None:
        """Requests come, fail, end and are given up in any order.

        A second final answer would reach another caller or none; a refusal of
        a request that runs would have its caller do the work again.
        """
        subject = _with_slots()
        now = 0.0
        running: dict[int, messages.Start] = {}
        waiting: set[int] = set()
        streaming: set[int] = set()
        ended: collections.Counter[int] = collections.Counter()

        def perform(event: messages.Event) -> None:
            for action in subject.handle(event, now):
                match action:
                    case messages.Start(request_id=request_id):
                        assert request_id in waiting
                        waiting.remove(request_id)
                        running[request_id] = action
                    case messages.Refuse(request_id=request_id):
                        assert request_id not in running
                        assert request_id in waiting
                        assert action.retry_after_s > 0
                        waiting.remove(request_id)
                        ended[request_id] += 1
                    case messages.CancelAttempt(request_id=request_id):
                        assert request_id not in running

        for number, (act, pick) in enumerate(steps):
            chosen = sorted(running)[pick % len(running)] if running else None
            match act:
                case 0 | 1 | 2:
                    waiting.add(number)
                    perform(_submit(number, now, priority=pick % 2))
                case 3 if chosen is not None:
                    perform(messages.PrefillFinished(chosen))
                    perform(messages.FirstToken(chosen))
                    streaming.add(chosen)
                case 4 if chosen is not None:
                    del running[chosen]
                    ended[chosen] += 1
                    perform(messages.Finished(chosen, 50))
                case 5 if chosen is not None:
                    start = running.pop(chosen)
                    streams = chosen in streaming
                    if streams:
                        ended[chosen] += 1
                    elif pick % 2:
                        perform(messages.PrefillFinished(chosen))
                    if not streams:
                        waiting.add(chosen)
                    perform(
                        messages.AttemptFailed(
                            request_id=chosen,
                            endpoint_id=start.decode_id,
                            stage=messages.Stage.DECODE,
                            refused=pick % 3 == 0,
                        )
                    )
                case 6 if waiting:
                    gone = sorted(waiting)[pick % len(waiting)]
                    waiting.remove(gone)
                    ended[gone] += 1
                    perform(messages.Cancel(gone))
                case 7:
                    now += pick / 30
                    perform(messages.Tick())
                case 8:
                    endpoint_id = sorted(_SNAPSHOT.endpoints_by_id)[pick % 4]
                    perform(_grant(endpoint_id, pick % 5, waiting=pick % 3))
                case 9:
                    perform(messages.HomeUnreachable(("decode-0",)))
        now += 10.0
        perform(messages.Tick())
        assert not waiting
        assert all(count == 1 for count in ended.values())
        assert not ended.keys() & running.keys()


class TestPromise:
    """A prefill starts only once its decode slot is promised."""

    def test_no_start_without_a_decode_slot(self) -> None:
        """The prefill engine is free, the decode engines are full.

        A prefill started now would be evicted before a decode slot is free.
        """
        subject = _scheduler()
        subject.handle(_grant("prefill-0", 4), 0.0)
        actions = subject.handle(_submit(1), 0.0)
        assert not _of(actions, messages.Start)
        assert _of(actions, messages.SlotAsk)
        actions = subject.handle(_grant("decode-1", 1), 0.1)
        assert [start.decode_id for start in _of(actions, messages.Start)] == [
            "decode-1"
        ]

    def test_idle_slots_go_back_at_once_when_others_wait(self) -> None:
        subject = _with_slots(2)
        actions = subject.handle(_grant("decode-0", 2, waiting=1), 0.1)
        (ask,) = _of(actions, messages.SlotAsk)
        assert (ask.endpoint_id, ask.held) == ("decode-0", 0)

    def test_a_lost_home_leaves_a_small_share(self) -> None:
        """The homes can't be reached and no lease is left.

        Without a share of its own the entry would refuse everything, though
        the engines are well.
        """
        subject = _scheduler()
        everything = tuple(_SNAPSHOT.endpoints_by_id)
        subject.handle(messages.HomeUnreachable(everything), 0.0)
        starts = [
            start
            for number in range(20)
            for start in _of(
                subject.handle(_submit(number), 0.0), messages.Start
            )
        ]
        assert len(starts) == 4


class TestRefusals:
    """Refusals come at once and say when to come back."""

    def test_an_unreachable_target(self) -> None:
        subject = _with_slots()
        slow = _submit(1, prompt_tokens=5_000, deadline=1.0)
        (refusal,) = _of(subject.handle(slow, 0.0), messages.Refuse)
        assert refusal.code is messages.RefusalCode.TARGET_UNREACHABLE

    def test_a_queue_that_will_not_drain(self) -> None:
        """Every slot is busy and many requests of other entries wait.

        Its caller would wait for nothing until its target has passed.
        """
        subject = _scheduler()
        for endpoint in _DECODES:
            subject.handle(_grant(endpoint.id, 0, waiting=99, used=4), 0.0)
        actions = subject.handle(_submit(1), 0.0)
        (refusal,) = _of(actions, messages.Refuse)
        assert refusal.code is messages.RefusalCode.OVERLOADED

    def test_callers_do_not_return_together(self) -> None:
        subject = _scheduler()
        for endpoint in _DECODES:
            subject.handle(_grant(endpoint.id, 0, waiting=99, used=4), 0.0)
        times = {
            round(refusal.retry_after_s, 3)
            for number in range(20)
            for refusal in _of(
                subject.handle(_submit(number), 0.0), messages.Refuse
            )
        }
        assert len(times) == 20

    def test_an_unrepeatable_request_is_not_started_again(self) -> None:
        """An unrepeatable request fails and may have been run."""
        subject = _with_slots()
        service = _service(idempotency=model.Idempotency.UNREPEATABLE)
        start = _of(
            subject.handle(_submit(1, service=service), 0.0), messages.Start
        )[0]
        failed = messages.AttemptFailed(
            request_id=1,
            endpoint_id=start.prefill_id,
            stage=messages.Stage.PREFILL,
        )
        actions = subject.handle(failed, 0.1)
        assert not _of(actions, messages.Start)
        assert len(_of(actions, messages.Refuse)) == 1


class TestSickEngines:
    """Engines that fail or are slow, judged by their own answers."""

    def _start(
        self, subject: scheduler.Scheduler, request_id: int, now: float
    ) -> messages.Start:
        submit = _submit(request_id, now)
        return _of(subject.handle(submit, now), messages.Start)[0]

    def test_a_failed_engine_is_left_alone_and_tried_again(self) -> None:
        """A prefill engine dies; callers would meet it with each request."""
        subject = _with_slots(4)
        first = self._start(subject, 1, 0.0)
        failed = messages.AttemptFailed(
            request_id=1,
            endpoint_id=first.prefill_id,
            stage=messages.Stage.PREFILL,
        )
        (again,) = _of(subject.handle(failed, 0.0), messages.Start)
        assert again.prefill_id != first.prefill_id
        assert self._start(subject, 2, 0.1).prefill_id != first.prefill_id
        later = [self._start(subject, n, 10.0).prefill_id for n in (3, 4)]
        assert later.count(first.prefill_id) == 1

    def test_a_slow_decode_engine_is_left_alone(self) -> None:
        """Its streams are too slow, so every answer there misses its target."""
        subject = _with_slots(4)
        slow_id = ""
        for number in range(8):
            start = self._start(subject, number, 0.0)
            slow_id = slow_id or start.decode_id
            subject.handle(messages.PrefillFinished(number), 0.1)
            subject.handle(messages.FirstToken(number), 0.12)
            pace = 0.05 if start.decode_id == slow_id else 0.01
            at = 0.12 + 15 * pace
            subject.handle(messages.Progress(number, 16), at)
            subject.handle(messages.Finished(number, 16), at)
        found = {self._start(subject, 20 + n, 1.0).decode_id for n in range(4)}
        assert slow_id not in found


class TestCancel:
    """A caller that is gone holds nothing."""

    def test_queued_work_leaves_at_once(self) -> None:
        subject = _scheduler()
        subject.handle(_submit(1), 0.0)
        actions = subject.handle(messages.Cancel(1), 0.1)
        asks = _of(actions, messages.SlotAsk)
        assert asks
        assert all(not ask.customer_wants for ask in asks)
        assert not _of(
            subject.handle(_grant("decode-0", 4), 0.2), messages.Start
        )

    def test_running_work_is_cancelled_and_frees_its_slots(self) -> None:
        subject = _with_slots(1)
        start = _of(subject.handle(_submit(1), 0.0), messages.Start)[0]
        actions = subject.handle(messages.Cancel(1), 0.1)
        (cancel,) = _of(actions, messages.CancelAttempt)
        assert cancel.endpoint_ids == (start.prefill_id, start.decode_id)
        assert all(ask.in_use == 0 for ask in subject.asks(0.2))


class TestManyEngines:
    """Cost and reach of an entry when the fleet is large."""

    def test_an_entry_uses_a_bounded_part(self) -> None:
        engines = [
            _endpoint(kind, number)
            for kind in (model.EndpointKind.PREFILL, model.EndpointKind.DECODE)
            for number in range(500)
        ]
        snapshot = model.Snapshot(
            revision=1, endpoints_by_id={item.id: item for item in engines}
        )
        asked = []
        for seed in range(2):
            subject = scheduler.Scheduler("gasabo", seed)
            subject.handle(messages.WorldChanged(snapshot, model.Fleet()), 0.0)
            asked.append({ask.endpoint_id for ask in subject.asks(0.0)})
        assert len(asked[0]) == len(asked[1]) == 32
        assert asked[0] != asked[1]


class TestUnsentAttempts:
    """The entry's own lease had run out before the engine was called."""

    def test_they_cost_no_retry(self) -> None:
        """A burst keeps the entry busy and its leases lapse.

        Counted as retries, five of 200 callers got `retry_budget_spent` on
        an idle pool.
        """
        found = _with_slots()
        submit = _submit(1)
        retries = model.RetryRules(ratio=0.0, burst=0, attempts=1)
        service = dataclasses.replace(submit.service, retries=retries)
        submit = dataclasses.replace(submit, service=service)
        actions = found.handle(submit, 0.0)
        for attempt in range(3):
            (start,) = _of(actions, messages.Start)
            assert start.attempt == attempt
            lost = messages.AttemptFailed(
                request_id=1,
                endpoint_id=start.prefill_id,
                stage=messages.Stage.PREFILL,
                refused=True,
                unsent=True,
            )
            actions = found.handle(lost, 0.0)
            assert not _of(actions, messages.Refuse)
            actions += found.handle(_grant(start.prefill_id, 2), 0.0)

    def test_they_end(self) -> None:
        """Leases that lapse for ever must not keep a caller for ever."""
        found = _with_slots()
        actions = found.handle(_submit(1), 0.0)
        for _ in range(20):
            starts = _of(actions, messages.Start)
            if not starts:
                break
            lost = messages.AttemptFailed(
                request_id=1,
                endpoint_id=starts[0].prefill_id,
                stage=messages.Stage.PREFILL,
                refused=True,
                unsent=True,
            )
            actions = found.handle(lost, 0.0)
            actions += found.handle(_grant(starts[0].prefill_id, 2), 0.0)
        assert _of(actions, messages.Refuse)


def _lose_answers(subject: scheduler.Scheduler) -> int:
    """Has each prefill engine fail one request; returns how many it took."""
    failed: set[str] = set()
    number = 0
    once = _service(idempotency=model.Idempotency.UNREPEATABLE)
    while len(failed) < len(_PREFILLS):
        submit = _submit(number, service=once)
        (start,) = _of(subject.handle(submit, 0.0), messages.Start)
        subject.handle(
            messages.AttemptFailed(
                request_id=number,
                stage=messages.Stage.PREFILL,
                endpoint_id=start.prefill_id,
            ),
            0.0,
        )
        failed.add(start.prefill_id)
        number += 1
    return number


class TestAllOfAKindFailed:
    """Each prefill engine of a pool has failed a request lately."""

    def _pool(self) -> scheduler.Scheduler:
        subject = scheduler.Scheduler("gasabo", 1, owns_slots=True)
        subject.handle(messages.WorldChanged(_SNAPSHOT, model.Fleet()), 0.0)
        return subject

    def test_a_request_is_tried_within_its_time(self) -> None:
        """Answers are lost on the way for some seconds, at all engines.

        Callers were refused for as long as the engines were left alone, which
        was ten times as long as the trouble.
        """
        subject = self._pool()
        number = _lose_answers(subject)
        actions = subject.handle(
            _submit(number, 0.1, prompt_tokens=100, deadline=2.0), 0.1
        )
        assert not _of(actions, messages.Refuse)
        actions = subject.handle(messages.Tick(), 0.7)
        (start,) = _of(actions, messages.Start)
        assert start.request_id == number

    def test_one_good_prefill_brings_the_engine_back(self) -> None:
        subject = self._pool()
        number = _lose_answers(subject)
        subject.handle(_submit(number, 0.1, deadline=2.0), 0.1)
        (probe,) = _of(subject.handle(messages.Tick(), 0.7), messages.Start)
        subject.handle(messages.PrefillFinished(probe.request_id), 0.8)
        for later in range(number + 1, number + 4):
            actions = subject.handle(_submit(later, 0.8, deadline=2.0), 0.8)
            (start,) = _of(actions, messages.Start)
            assert start.prefill_id == probe.prefill_id


def _reading_itself(endpoint: model.Endpoint) -> model.Endpoint:
    if endpoint.kind is not model.EndpointKind.DECODE:
        return endpoint
    return dataclasses.replace(endpoint, own_prefill_tokens_per_s=500.0)


class TestDecodeEnginesThatPrefill:
    """A decode engine reads a prompt itself, slower than a prefill engine."""

    def _pool(self, engines: list[model.Endpoint]) -> scheduler.Scheduler:
        subject = scheduler.Scheduler("gasabo", 1, owns_slots=True)
        self._list(subject, engines, 0.0)
        return subject

    @staticmethod
    def _list(
        subject: scheduler.Scheduler, engines: list[model.Endpoint], now: float
    ) -> None:
        by_id = {item.id: _reading_itself(item) for item in engines}
        snapshot = model.Snapshot(revision=1, endpoints_by_id=by_id)
        subject.handle(messages.WorldChanged(snapshot, model.Fleet()), now)

    def test_not_while_prefill_engines_have_places(self) -> None:
        subject = self._pool(_PREFILLS + _DECODES)
        (start,) = _of(subject.handle(_submit(0), 0.0), messages.Start)
        assert start.has_prefill()

    def test_where_all_prefill_engines_are_gone(self) -> None:
        """The only prefill engine crashes; its entry is removed.

        Callers got `no_endpoint` until another had started, while decode
        engines had room and could have read their prompts.
        """
        subject = self._pool(_DECODES)
        (start,) = _of(subject.handle(_submit(0), 0.0), messages.Start)
        assert not start.has_prefill()
        subject.handle(messages.FirstToken(0), 0.3)
        subject.handle(messages.Finished(0, 100), 1.3)
        (start,) = _of(subject.handle(_submit(1, 1.4), 1.4), messages.Start)
        assert not start.has_prefill()

    def test_where_all_prefill_engines_fail(self) -> None:
        subject = self._pool(_PREFILLS + _DECODES)
        number = _lose_answers(subject)
        (start,) = _of(
            subject.handle(_submit(number, 0.1), 0.1), messages.Start
        )
        assert not start.has_prefill()

    def test_where_prefill_engines_are_long_busy(self) -> None:
        """Long prompts fill the prefill engines, short answers end at once.

        Requests waited for a place there though decode engines stood idle.
        """
        subject = self._pool(_PREFILLS[:1] + _DECODES)
        for number in range(4):
            subject.handle(_submit(number, deadline=3.0), 0.0)
        waits = _submit(4, deadline=3.0)
        assert not _of(subject.handle(waits, 0.0), messages.Start)
        assert not _of(subject.handle(messages.Tick(), 0.05), messages.Start)
        (start,) = _of(subject.handle(messages.Tick(), 0.2), messages.Start)
        assert start.request_id == 4
        assert not start.has_prefill()

    def test_one_that_fails_so_is_tried_with_a_prefill_engine(self) -> None:
        subject = self._pool(_DECODES)
        (start,) = _of(subject.handle(_submit(0), 0.0), messages.Start)
        self._list(subject, _PREFILLS + _DECODES, 0.1)
        failed = messages.AttemptFailed(
            request_id=0,
            stage=messages.Stage.TRANSFER,
            endpoint_id=start.decode_id,
        )
        (start,) = _of(subject.handle(failed, 0.1), messages.Start)
        assert start.has_prefill()
