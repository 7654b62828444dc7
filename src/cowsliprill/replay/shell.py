"""The shell round one policy in a replay, in place of an entry process."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.replay import engines
from cowsliprill.replay import homes
from cowsliprill.replay import outcomes
from cowsliprill.replay import policy as policies
from cowsliprill.replay import timeline

_RENEW_S = 0.5


class World(Protocol):
    """What an entry needs of the simulation.

    Attributes:
      clock: The virtual time.
      links: The links between engines.
      result: Where to note what happens.
      services_by_id: The services.
      engines_by_id: The engines.
      homes_by_id: The home of each engine.
    """

    clock: timeline.Timeline
    links: engines.Links
    result: outcomes.Result
    services_by_id: dict[str, model.Service]
    engines_by_id: dict[str, engines.Engine]
    homes_by_id: dict[str, homes.Home]

    def delay(self, zone: str, engine: engines.Engine) -> float:
        """Returns the time of a message one way, in seconds."""

    def refused(
        self, outcome: outcomes.Outcome, action: messages.Refuse
    ) -> None:
        """Notes a refusal."""


@dataclasses.dataclass(slots=True)
class _Attempt:
    work: engines.Work
    action: messages.Start
    over: bool = False


class Entry:
    """Performs a policy's actions and reports events to it.

    Args:
      number: Number of the entry.
      zone: Its availability zone.
      policy: What decides.
      world: The simulation.
    """

    def __init__(
        self, number: int, zone: str, policy: policies.Policy, world: World
    ) -> None:
        self.name = f"vm{number}.e0.replay"
        self.number = number
        self.zone = zone
        self.policy = policy
        self.world = world
        self._attempts_by_request: dict[int, _Attempt] = {}
        self._outcomes_by_request: dict[int, outcomes.Outcome] = {}
        self._wakeup_at = float("inf")
        self._renew()

    def submit(self, request_id: int, outcome: outcomes.Outcome) -> None:
        """Takes a caller's request."""
        self._outcomes_by_request[request_id] = outcome
        demand = outcome.demand
        service = self.world.services_by_id[demand.service]
        self.deliver(
            messages.Submit(
                request_id=request_id,
                service=service,
                customer=demand.user,
                prompt_tokens=demand.prompt_tokens,
                output_tokens=demand.output_limit,
                prefix_hashes=demand.prefix,
                priority=service.priority,
                deadline=self.world.clock.now + service.ttft_target_s,
            )
        )

    def cancel(self, request_id: int) -> None:
        """Takes note that a caller has left."""
        if request_id in self._outcomes_by_request:
            self.deliver(messages.Cancel(request_id))
            self._forget(request_id)

    def deliver(self, event: messages.Event) -> None:
        """Gives an event to the policy and does what it says."""
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
                case messages.SlotDemand():
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

    def _send_asks(self, asks: list[messages.SlotDemand]) -> None:
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
                ask: messages.SlotDemand = ask,
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
            outcomes.SlotUse(user, attempt.work, engine.endpoint.id, clock.now)
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
