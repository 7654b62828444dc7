"""Plays a trace through schedulers, homes and fake engines."""

import dataclasses
import random
from collections.abc import Callable
from typing import Protocol

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.replay import engines
from cowsliprill.replay import homes
from cowsliprill.replay import sites
from cowsliprill.replay import timeline
from cowsliprill.replay import trace as traces

_LOCAL_DELAY_S = 0.0002
_RENEW_S = 0.5
_RETURNS_MAX = 2


class Policy(Protocol):
    """What a replay needs of `scheduler.Scheduler` or of a baseline."""

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Action]:
        """Takes an event and says what to do."""

    def asks(self, now: float) -> list[messages.SlotAsk]:
        """States this entry's standing with every endpoint."""

    def next_wakeup(self, now: float) -> float:
        """Says when to send `Tick`."""


PolicyFactory = Callable[[str, int], Policy]


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of one demand.

    Attributes:
      demand: The demand.
      priority: Of its service.
      submitted_at: Last time the caller came.
      returns: How often the caller came back.
      first_token_at: When its caller saw the first token, 0 if never.
      finished_at: When its caller had it all, 0 if never.
      refused_after: Time from coming to each refusal.
      late_refusals: How long after the last possible start, or after the
        failure that caused it, each refusal came.
      failed: Whether its stream was cut after the first token.
      gone: Whether the caller left before the end.
      failed_at: Time of the newest failed attempt.
    """

    demand: traces.Demand
    priority: int
    submitted_at: float
    returns: int = 0
    first_token_at: float = 0.0
    finished_at: float = 0.0
    refused_after: list[float] = dataclasses.field(default_factory=list)
    late_refusals: list[float] = dataclasses.field(default_factory=list)
    failed: bool = False
    gone: bool = False
    failed_at: float = 0.0

    def ttft_s(self) -> float:
        """Returns the time to first token since the caller last came."""
        return self.first_token_at - self.submitted_at

    def tpot_s(self) -> float:
        """Returns the mean time between tokens."""
        tokens = max(self.demand.output_tokens - 1, 1)
        return (self.finished_at - self.first_token_at) / tokens


@dataclasses.dataclass(slots=True)
class SlotUse:
    """A decode slot used by an attempt.

    Attributes:
      user: Whose request it is.
      work: The attempt.
      endpoint_id: The decode engine.
      began_at: When the slot was taken.
      ended_at: When the answer was complete, 0 if it isn't.
    """

    user: str
    work: engines.Work
    endpoint_id: str
    began_at: float
    ended_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Result:
    """What a replay saw.

    Attributes:
      outcomes: One per demand that arrived.
      works: Every attempt that reached a prefill engine.
      runs: Use of decode slots that brought tokens.
      messages_sent: Messages between entries and homes.
      ended_at: Time of the end.
      unused_at_end: Keys of attempts still on their way at the end.
    """

    outcomes: list[Outcome]
    works: list[engines.Work] = dataclasses.field(default_factory=list)
    runs: list[SlotUse] = dataclasses.field(default_factory=list)
    messages_sent: int = 0
    ended_at: float = 0.0
    unused_at_end: set[tuple[int, int, int]] = dataclasses.field(
        default_factory=set
    )


@dataclasses.dataclass(slots=True)
class _Attempt:
    work: engines.Work
    action: messages.Start
    over: bool = False


class _Entry:
    """The shell round one policy: performs actions, reports events."""

    def __init__(
        self, number: int, zone: str, policy: Policy, world: "Simulation"
    ) -> None:
        self.name = f"vm{number}.e0.replay"
        self.number = number
        self.zone = zone
        self.policy = policy
        self.world = world
        self._attempts_by_request: dict[int, _Attempt] = {}
        self._outcomes_by_request: dict[int, Outcome] = {}
        self._wakeup_at = float("inf")
        self._renew()

    def submit(self, request_id: int, outcome: Outcome) -> None:
        self._outcomes_by_request[request_id] = outcome
        demand = outcome.demand
        service = self.world.services_by_id[demand.service]
        self.deliver(
            messages.Submit(
                request_id=request_id,
                service=service,
                user=demand.user,
                prompt_tokens=demand.prompt_tokens,
                output_tokens=demand.output_limit,
                prefix_hashes=demand.prefix,
                priority=service.priority,
                deadline=self.world.clock.now + service.ttft_target_s,
            )
        )

    def cancel(self, request_id: int) -> None:
        if request_id in self._outcomes_by_request:
            self.deliver(messages.Cancel(request_id))
            self._forget(request_id)

    def deliver(self, event: messages.Event) -> None:
        now = self.world.clock.now
        asks = []
        for action in self.policy.handle(event, now):
            match action:
                case messages.Start():
                    self._start(action)
                case messages.Refuse():
                    self._refuse(action)
                case messages.CancelAttempt():
                    self._cancel_attempt(action)
                case messages.SlotAsk():
                    asks.append(action)
        self._send_asks(asks)
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        clock = self.world.clock
        due = self.policy.next_wakeup(clock.now)
        if due >= self._wakeup_at:
            return
        self._wakeup_at = due
        clock.at(due, lambda: self._tick(due))

    def _tick(self, due: float) -> None:
        if due == self._wakeup_at:
            self._wakeup_at = float("inf")
            self.deliver(messages.Tick())

    def _renew(self) -> None:
        self._send_asks(self.policy.asks(self.world.clock.now))
        self.world.clock.after(_RENEW_S, self._renew)

    def _send_asks(self, asks: list[messages.SlotAsk]) -> None:
        sent_at = self.world.clock.now
        for ask in asks:
            self.world.result.messages_sent += 1
            engine = self.world.engines_by_id[ask.endpoint_id]
            delay = self.world.delay(self.zone, engine)
            home = self.world.homes_by_id[ask.endpoint_id]

            def send(grant: messages.SlotGrant, delay: float = delay) -> None:
                self.world.result.messages_sent += 1
                self.world.clock.after(delay, lambda: self.deliver(grant))

            def receive(
                ask: messages.SlotAsk = ask,
                home: homes.Home = home,
                send: Callable[[messages.SlotGrant], None] = send,
            ) -> None:
                home.receive(self.name, ask, sent_at, send)

            self.world.clock.after(delay, receive)

    def _forget(self, request_id: int) -> None:
        self._outcomes_by_request.pop(request_id, None)
        attempt = self._attempts_by_request.pop(request_id, None)
        if attempt:
            attempt.over = True

    def _refuse(self, action: messages.Refuse) -> None:
        outcome = self._outcomes_by_request[action.request_id]
        self._forget(action.request_id)
        self.world.refused(outcome, action)

    def _cancel_attempt(self, action: messages.CancelAttempt) -> None:
        attempt = self._attempts_by_request.get(action.request_id)
        if attempt is None or attempt.action.attempt != action.attempt:
            return
        attempt.over = True
        for endpoint_id in action.endpoint_ids:
            engine = self.world.engines_by_id[endpoint_id]
            delay = self.world.delay(self.zone, engine)
            self.world.clock.after(
                delay, lambda engine=engine: _drop(engine, attempt.work)
            )

    def _start(self, action: messages.Start) -> None:
        outcome = self._outcomes_by_request[action.request_id]
        work = engines.Work(
            key=(self.number, action.request_id, action.attempt),
            prompt_tokens=outcome.demand.prompt_tokens,
            output_tokens=outcome.demand.output_tokens,
            prefix=outcome.demand.prefix,
        )
        attempt = _Attempt(work, action)
        self._attempts_by_request[action.request_id] = attempt
        self.world.result.works.append(work)
        engine = self.world.engines_by_id[action.prefill_id]
        delay = self.world.delay(self.zone, engine)
        self.world.clock.after(delay, lambda: self._prefill(attempt))

    def _prefill(self, attempt: _Attempt) -> None:
        engine = self.world.engines_by_id[attempt.action.prefill_id]
        assert isinstance(engine, engines.PrefillEngine)
        stage = messages.Stage.PREFILL
        if attempt.work.cancelled:
            return
        if engine.lost:
            self._failed(attempt, stage, engine, refused=False)
        elif engine.accept(
            attempt.work,
            lambda: self._failed(attempt, stage, engine, refused=False),
        ):
            delay = self.world.delay(self.zone, engine)
            engine.run(
                attempt.work,
                lambda: self.world.clock.after(
                    delay, lambda: self._prefilled(attempt)
                ),
            )
        else:
            self._failed(attempt, stage, engine, refused=True)

    def _prefilled(self, attempt: _Attempt) -> None:
        if attempt.over:
            return
        self.deliver(messages.PrefillFinished(attempt.action.request_id))
        if attempt.over:
            return
        engine = self.world.engines_by_id[attempt.action.decode_id]
        delay = self.world.delay(self.zone, engine)
        self.world.clock.after(delay, lambda: self._decode(attempt))

    def _decode(self, attempt: _Attempt) -> None:
        engine = self.world.engines_by_id[attempt.action.decode_id]
        assert isinstance(engine, engines.DecodeEngine)
        stage = messages.Stage.DECODE
        if attempt.work.cancelled:
            return

        def failed() -> None:
            self._failed(attempt, stage, engine, refused=False)

        if engine.lost:
            failed()
        elif not engine.accept(attempt.work, failed):
            self._failed(attempt, stage, engine, refused=True)
        else:
            self._generate(attempt, engine)

    def _generate(
        self, attempt: _Attempt, engine: engines.DecodeEngine
    ) -> None:
        source = self.world.engines_by_id[attempt.action.prefill_id]
        delay = self.world.delay(self.zone, engine)
        clock = self.world.clock
        user = self._outcomes_by_request[attempt.action.request_id].demand.user

        self.world.result.runs.append(
            SlotUse(user, attempt.work, engine.endpoint.id, clock.now)
        )
        use = self.world.result.runs[-1]

        def evicted() -> None:
            self._failed(
                attempt, messages.Stage.TRANSFER, source, refused=False
            )

        def finished() -> None:
            use.ended_at = clock.now
            clock.after(delay, lambda: self._finished(attempt))

        engine.run(
            attempt.work,
            source,
            self.world.links,
            engines.DecodeEvents(
                evicted,
                lambda: clock.after(delay, lambda: self._first_token(attempt)),
                lambda: clock.after(delay, lambda: self._progress(attempt)),
                finished,
            ),
        )

    def _first_token(self, attempt: _Attempt) -> None:
        if not attempt.over:
            request_id = attempt.action.request_id
            outcome = self._outcomes_by_request[request_id]
            outcome.first_token_at = self.world.clock.now
            self.deliver(messages.FirstToken(request_id))

    def _progress(self, attempt: _Attempt) -> None:
        if not attempt.over:
            request_id = attempt.action.request_id
            tokens = engines.PROGRESS_TOKENS
            self.deliver(messages.Progress(request_id, tokens))

    def _finished(self, attempt: _Attempt) -> None:
        if attempt.over:
            return
        request_id = attempt.action.request_id
        outcome = self._outcomes_by_request[request_id]
        outcome.finished_at = self.world.clock.now
        self._forget(request_id)
        self.deliver(
            messages.Finished(request_id, outcome.demand.output_tokens)
        )

    def _failed(
        self,
        attempt: _Attempt,
        stage: messages.Stage,
        engine: engines.Engine,
        *,
        refused: bool,
    ) -> None:
        delay = self.world.delay(self.zone, engine)

        def report() -> None:
            if attempt.over:
                return
            attempt.over = True
            request_id = attempt.action.request_id
            outcome = self._outcomes_by_request[request_id]
            outcome.failed_at = self.world.clock.now
            event = messages.AttemptFailed(
                request_id=request_id,
                endpoint_id=engine.endpoint.id,
                stage=stage,
                refused=refused,
            )
            if outcome.first_token_at:
                # The answer was cut: this replay doesn't resume streams.
                outcome.failed = True
                self.deliver(event)
                self._forget(request_id)
            else:
                self.deliver(event)

        self.world.clock.after(delay, report)


def _drop(engine: engines.Engine, work: engines.Work) -> None:
    work.cancelled = True
    engine.release(work)


class Simulation:
    """One trace, one policy, one seed.

    Args:
      trace: A trace with its demands.
      factory: Makes the policy of an entry from its zone and a seed.
      seed: Seed of the callers' and the homes' random numbers.
    """

    def __init__(
        self, trace: traces.Trace, factory: PolicyFactory, seed: int
    ) -> None:
        self.trace = trace
        self.site = sites.SITES_BY_NAME[trace.site]
        self.clock = timeline.Timeline()
        self.links = engines.Links(self.clock)
        self.result = Result([])
        snapshot = self.site.snapshot()
        self.services_by_id = snapshot.services_by_id
        self.engines_by_id = {
            endpoint.id: self._engine(endpoint)
            for endpoint in snapshot.endpoints_by_id.values()
        }
        self._random = random.Random(f"callers/{seed}")
        self.homes_by_id = {
            name: homes.Home(
                engine,
                self.clock,
                random.Random(f"{name}/{seed}"),
                trace.event_gap,
                trace.report_lag_s,
            )
            for name, engine in self.engines_by_id.items()
        }
        zones = self.site.zones
        self._entries = [
            _Entry(
                number,
                zones[number % len(zones)],
                factory(zones[number % len(zones)], seed * 1000 + number),
                self,
            )
            for number in range(self.site.entries)
        ]
        for entry in self._entries:
            entry.deliver(messages.WorldChanged(snapshot, self._fleet()))
            self._subscribe(entry.policy)
        self._request_id = 0

    def run(self) -> Result:
        """Plays the trace to its end.

        Returns:
          What happened until then.
        """
        for demand in self.trace.demands:
            self.clock.at(demand.at, lambda demand=demand: self._arrive(demand))
        for fault in self.trace.faults:
            self.clock.at(fault.start, lambda fault=fault: self._begin(fault))
            self.clock.at(fault.end, lambda fault=fault: self._end(fault))
        self.clock.run_until(self.trace.duration_s)
        self.result.ended_at = self.clock.now
        for engine in self.engines_by_id.values():
            self.result.unused_at_end.update(engine.held)
        self.result.unused_at_end.update(
            work.key
            for work in self.result.works
            if self.clock.now - work.exported_at < 1.0
        )
        return self.result

    def delay(self, zone: str, engine: engines.Engine) -> float:
        """Returns the time of a message one way, in seconds."""
        if zone == engine.endpoint.availability_zone:
            return _LOCAL_DELAY_S
        return self.site.zone_delay_s

    def refused(self, outcome: Outcome, action: messages.Refuse) -> None:
        """Notes a refusal; the caller comes back a bounded number of times."""
        now = self.clock.now
        service = self.services_by_id[outcome.demand.service]
        last_start = outcome.submitted_at + service.ttft_target_s
        cause = max(min(last_start, now), outcome.failed_at)
        outcome.refused_after.append(now - outcome.submitted_at)
        if now > last_start or outcome.failed_at > outcome.submitted_at:
            outcome.late_refusals.append(now - cause)
        else:
            outcome.late_refusals.append(0.0)
        if outcome.returns < _RETURNS_MAX:
            outcome.returns += 1
            self.clock.after(
                action.retry_after_s, lambda: self._submit(outcome)
            )

    def _fleet(self) -> model.Fleet:
        vms = [
            model.Vm(
                id=f"vm{entry.number}",
                host="127.0.0.1",
                availability_zone=entry.zone,
                role=model.VmRole.ENTRY,
                entry_ports=(1,),
            )
            for entry in self._entries
        ]
        return model.Fleet(version=1, vms_by_id={vm.id: vm for vm in vms})

    def _subscribe(self, policy: Policy) -> None:
        report = getattr(policy, "report", None)
        if report is not None:
            for home in self.homes_by_id.values():
                home.report_to.append(report)

    def _engine(self, endpoint: model.Endpoint) -> engines.Engine:
        if endpoint.kind is model.EndpointKind.PREFILL:
            return engines.PrefillEngine(endpoint, self.clock)
        return engines.DecodeEngine(endpoint, self.clock)

    def _arrive(self, demand: traces.Demand) -> None:
        service = self.services_by_id[demand.service]
        outcome = Outcome(demand, service.priority, self.clock.now)
        self.result.outcomes.append(outcome)
        self._submit(outcome)

    def _submit(self, outcome: Outcome) -> None:
        if outcome.gone:
            return
        outcome.submitted_at = self.clock.now
        self._request_id += 1
        request_id = self._request_id
        entry = self._random.choice(self._entries)
        entry.submit(request_id, outcome)
        if outcome.demand.gone_after:
            self.clock.after(
                outcome.demand.gone_after,
                lambda: self._leave(entry, request_id, outcome),
            )

    def _leave(self, entry: _Entry, request_id: int, outcome: Outcome) -> None:
        if not outcome.finished_at and not outcome.gone:
            outcome.gone = True
            entry.cancel(request_id)

    def _begin(self, fault: traces.Fault) -> None:
        engine = self.engines_by_id[fault.endpoint]
        match fault.kind:
            case "lost":
                engine.lose()
            case "slow":
                engine.slow = fault.factor
            case "link":
                engine.link_rate /= fault.factor
                self.links.share()

    def _end(self, fault: traces.Fault) -> None:
        engine = self.engines_by_id[fault.endpoint]
        engine.lost = False
        engine.slow = 1.0
        engine.link_rate = engine.endpoint.link_bytes_per_s
        self.links.share()
