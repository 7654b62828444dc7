"""Simulated entry process: the I/O layer of one policy in a replay."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.replay import coordinators
from cowsliprill.replay import engines
from cowsliprill.replay import policy as policies
from cowsliprill.replay import records
from cowsliprill.replay import virtual_clock

_LEASE_RENEWAL_INTERVAL_S = 0.5


class SimulationContext(Protocol):
    """Parts of the simulation that an entry process uses.

    Attributes:
      clock: Virtual clock.
      links: Links between the engines.
      result: Receives the records of the run.
      services_by_id: Services by id.
      engines_by_id: Simulated engines by endpoint id.
      coordinators_by_endpoint_id: Coordinators by endpoint id.
    """

    clock: virtual_clock.VirtualClock
    links: engines.Links
    result: records.Result
    services_by_id: dict[str, model.Service]
    engines_by_id: dict[str, engines.Engine]
    coordinators_by_endpoint_id: dict[str, coordinators.EndpointCoordinator]

    def delay(self, availability_zone: str, engine: engines.Engine) -> float:
        """Returns the one-way network delay to an engine in seconds."""

    def record_refusal(
        self, outcome: records.Outcome, action: messages.Refuse
    ) -> None:
        """Records a refusal."""


@dataclasses.dataclass(slots=True)
class _Attempt:
    job: engines.EngineJob
    action: messages.Start
    ended: bool = False


class EntryProcess:
    """Performs the actions of a policy and delivers events to the policy.

    Args:
      number: Index of the entry process.
      availability_zone: Availability zone of the entry process.
      policy: Scheduling policy.
      context: The simulation.
    """

    def __init__(
        self,
        number: int,
        availability_zone: str,
        policy: policies.Policy,
        context: SimulationContext,
    ) -> None:
        self.name = f"vm{number}.e0.replay"
        self.number = number
        self.availability_zone = availability_zone
        self.policy = policy
        self.context = context
        self._attempts_by_request: dict[int, _Attempt] = {}
        self._outcomes_by_request: dict[int, records.Outcome] = {}
        self._wakeup_at = float("inf")
        self._renew_leases()

    def submit(self, request_id: int, outcome: records.Outcome) -> None:
        """Submits a caller's request to the policy."""
        self._outcomes_by_request[request_id] = outcome
        demand = outcome.demand
        service = self.context.services_by_id[demand.service]
        self.deliver(
            messages.Submit(
                request_id=request_id,
                service=service,
                customer=demand.user,
                prompt_tokens=demand.prompt_tokens,
                output_tokens=demand.output_limit,
                prefix_hashes=demand.prefix,
                priority=service.priority,
                deadline=self.context.clock.now + service.ttft_target_s,
            )
        )

    def cancel(self, request_id: int) -> None:
        """Cancels a request whose caller has disconnected."""
        if request_id in self._outcomes_by_request:
            self.deliver(messages.Cancel(request_id))
            self._remove_request(request_id)

    def deliver(self, event: messages.Event) -> None:
        """Delivers an event to the policy and performs the returned actions."""
        now = self.context.clock.now
        slot_demands = []
        for action in self.policy.handle(event, now):
            match action:
                case messages.Start():
                    self._start(action)
                case messages.Refuse():
                    self._refuse(action)
                case messages.CancelAttempt():
                    self._cancel_attempt(action)
                case messages.SlotDemand():
                    slot_demands.append(action)
        self._send_slot_demands(slot_demands)
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        clock = self.context.clock
        wakeup_at = self.policy.next_wakeup(clock.now)
        if wakeup_at >= self._wakeup_at:
            return
        self._wakeup_at = wakeup_at
        clock.call_at(wakeup_at, lambda: self._tick(wakeup_at))

    def _tick(self, wakeup_at: float) -> None:
        if wakeup_at == self._wakeup_at:
            self._wakeup_at = float("inf")
            self.deliver(messages.Tick())

    def _renew_leases(self) -> None:
        self._send_slot_demands(self.policy.asks(self.context.clock.now))
        self.context.clock.call_after(
            _LEASE_RENEWAL_INTERVAL_S, self._renew_leases
        )

    def _send_slot_demands(
        self, slot_demands: list[messages.SlotDemand]
    ) -> None:
        sent_at = self.context.clock.now
        for slot_demand in slot_demands:
            self.context.result.messages_sent += 1
            engine = self.context.engines_by_id[slot_demand.endpoint_id]
            delay = self.context.delay(self.availability_zone, engine)
            coordinator = self.context.coordinators_by_endpoint_id[
                slot_demand.endpoint_id
            ]

            def send(grant: messages.SlotGrant, delay: float = delay) -> None:
                self.context.result.messages_sent += 1
                self.context.clock.call_after(
                    delay, lambda: self.deliver(grant)
                )

            def handle_slot_demand(
                slot_demand: messages.SlotDemand = slot_demand,
                coordinator: coordinators.EndpointCoordinator = coordinator,
                send: Callable[[messages.SlotGrant], None] = send,
            ) -> None:
                coordinator.handle_slot_demand(
                    self.name, slot_demand, sent_at, send
                )

            self.context.clock.call_after(delay, handle_slot_demand)

    def _remove_request(self, request_id: int) -> None:
        self._outcomes_by_request.pop(request_id, None)
        attempt = self._attempts_by_request.pop(request_id, None)
        if attempt:
            attempt.ended = True

    def _refuse(self, action: messages.Refuse) -> None:
        outcome = self._outcomes_by_request[action.request_id]
        self._remove_request(action.request_id)
        self.context.record_refusal(outcome, action)

    def _cancel_attempt(self, action: messages.CancelAttempt) -> None:
        attempt = self._attempts_by_request.get(action.request_id)
        if attempt is None or attempt.action.attempt != action.attempt:
            return
        attempt.ended = True
        for endpoint_id in action.endpoint_ids:
            engine = self.context.engines_by_id[endpoint_id]
            delay = self.context.delay(self.availability_zone, engine)
            self.context.clock.call_after(
                delay, lambda engine=engine: _cancel_job(engine, attempt.job)
            )

    def _start(self, action: messages.Start) -> None:
        outcome = self._outcomes_by_request[action.request_id]
        job = engines.EngineJob(
            key=(self.number, action.request_id, action.attempt),
            prompt_tokens=outcome.demand.prompt_tokens,
            output_tokens=outcome.demand.output_tokens,
            prefix=outcome.demand.prefix,
        )
        attempt = _Attempt(job, action)
        self._attempts_by_request[action.request_id] = attempt
        self.context.result.jobs.append(job)
        engine = self.context.engines_by_id[action.prefill_id]
        delay = self.context.delay(self.availability_zone, engine)
        self.context.clock.call_after(
            delay, lambda: self._start_prefill(attempt)
        )

    def _start_prefill(self, attempt: _Attempt) -> None:
        engine = self.context.engines_by_id[attempt.action.prefill_id]
        assert isinstance(engine, engines.PrefillEngine)
        stage = messages.Stage.PREFILL
        if attempt.job.cancelled:
            return
        if engine.is_down:
            self._report_failure(attempt, stage, engine, refused=False)
        elif engine.try_accept(
            attempt.job,
            lambda: self._report_failure(attempt, stage, engine, refused=False),
        ):
            delay = self.context.delay(self.availability_zone, engine)
            engine.run(
                attempt.job,
                lambda: self.context.clock.call_after(
                    delay, lambda: self._handle_prefill_finished(attempt)
                ),
            )
        else:
            self._report_failure(attempt, stage, engine, refused=True)

    def _handle_prefill_finished(self, attempt: _Attempt) -> None:
        if attempt.ended:
            return
        self.deliver(messages.PrefillFinished(attempt.action.request_id))
        if attempt.ended:
            return
        engine = self.context.engines_by_id[attempt.action.decode_id]
        delay = self.context.delay(self.availability_zone, engine)
        self.context.clock.call_after(
            delay, lambda: self._start_decode(attempt)
        )

    def _start_decode(self, attempt: _Attempt) -> None:
        engine = self.context.engines_by_id[attempt.action.decode_id]
        assert isinstance(engine, engines.DecodeEngine)
        stage = messages.Stage.DECODE
        if attempt.job.cancelled:
            return

        def on_failure() -> None:
            self._report_failure(attempt, stage, engine, refused=False)

        if engine.is_down:
            on_failure()
        elif not engine.try_accept(attempt.job, on_failure):
            self._report_failure(attempt, stage, engine, refused=True)
        else:
            self._run_decode(attempt, engine)

    def _run_decode(
        self, attempt: _Attempt, engine: engines.DecodeEngine
    ) -> None:
        source = self.context.engines_by_id[attempt.action.prefill_id]
        delay = self.context.delay(self.availability_zone, engine)
        clock = self.context.clock
        user = self._outcomes_by_request[attempt.action.request_id].demand.user

        self.context.result.slot_usages.append(
            records.SlotUsage(user, attempt.job, engine.endpoint.id, clock.now)
        )
        usage = self.context.result.slot_usages[-1]

        def on_evicted() -> None:
            self._report_failure(
                attempt, messages.Stage.TRANSFER, source, refused=False
            )

        def on_finished() -> None:
            usage.ended_at = clock.now
            clock.call_after(delay, lambda: self._handle_finished(attempt))

        engine.run(
            attempt.job,
            source,
            self.context.links,
            engines.DecodeCallbacks(
                on_evicted,
                lambda: clock.call_after(
                    delay, lambda: self._handle_first_token(attempt)
                ),
                lambda: clock.call_after(
                    delay, lambda: self._handle_progress(attempt)
                ),
                on_finished,
            ),
        )

    def _handle_first_token(self, attempt: _Attempt) -> None:
        if not attempt.ended:
            request_id = attempt.action.request_id
            outcome = self._outcomes_by_request[request_id]
            outcome.first_token_at = self.context.clock.now
            self.deliver(messages.FirstToken(request_id))

    def _handle_progress(self, attempt: _Attempt) -> None:
        if not attempt.ended:
            request_id = attempt.action.request_id
            tokens = engines.PROGRESS_TOKENS
            self.deliver(messages.Progress(request_id, tokens))

    def _handle_finished(self, attempt: _Attempt) -> None:
        if attempt.ended:
            return
        request_id = attempt.action.request_id
        outcome = self._outcomes_by_request[request_id]
        outcome.finished_at = self.context.clock.now
        self._remove_request(request_id)
        self.deliver(
            messages.Finished(request_id, outcome.demand.output_tokens)
        )

    def _report_failure(
        self,
        attempt: _Attempt,
        stage: messages.Stage,
        engine: engines.Engine,
        *,
        refused: bool,
    ) -> None:
        delay = self.context.delay(self.availability_zone, engine)

        def report() -> None:
            if attempt.ended:
                return
            attempt.ended = True
            request_id = attempt.action.request_id
            outcome = self._outcomes_by_request[request_id]
            outcome.last_failed_at = self.context.clock.now
            event = messages.AttemptFailed(
                request_id=request_id,
                endpoint_id=engine.endpoint.id,
                stage=stage,
                refused=refused,
            )
            if outcome.first_token_at:
                # The stream is cut: the replay does not resume streams.
                outcome.stream_cut = True
                self.deliver(event)
                self._remove_request(request_id)
            else:
                self.deliver(event)

        self.context.clock.call_after(delay, report)


def _cancel_job(engine: engines.Engine, job: engines.EngineJob) -> None:
    job.cancelled = True
    engine.release(job)
