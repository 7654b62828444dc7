"""Discrete-event simulation of a trace.

Entry processes with a scheduling policy, coordinators and engines exchange
messages in virtual time.
"""

import random

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.replay import coordinators
from cowsliprill.replay import engines
from cowsliprill.replay import entry_process
from cowsliprill.replay import policy as policies
from cowsliprill.replay import records
from cowsliprill.replay import sites
from cowsliprill.replay import trace as traces
from cowsliprill.replay import virtual_clock

_SAME_ZONE_DELAY_S = 0.0002
_MAX_RETRIES = 2


class Simulation:
    """Simulation of one trace with one policy and one seed.

    Args:
      trace: A trace with demands.
      policy_factory: Creates the policy of an entry process from its
        availability zone and a seed.
      seed: Seed of the random numbers of callers, coordinators and policies.
    """

    def __init__(
        self,
        trace: traces.Trace,
        policy_factory: policies.PolicyFactory,
        seed: int,
    ) -> None:
        self.trace = trace
        self.site = sites.SITES_BY_NAME[trace.site]
        self.clock = virtual_clock.VirtualClock()
        self.links = engines.Links(self.clock)
        self.result = records.Result([])
        snapshot = self.site.snapshot()
        self.services_by_id = snapshot.services_by_id
        self.engines_by_id = {
            endpoint.id: self._make_engine(endpoint)
            for endpoint in snapshot.endpoints_by_id.values()
        }
        self._random = random.Random(f"callers/{seed}")
        self.coordinators_by_endpoint_id = {
            name: coordinators.EndpointCoordinator(
                engine,
                self.clock,
                random.Random(f"{name}/{seed}"),
                trace.event_gap,
                trace.report_lag_s,
            )
            for name, engine in self.engines_by_id.items()
        }
        availability_zones = self.site.availability_zones
        self._entries = [
            entry_process.EntryProcess(
                number,
                availability_zones[number % len(availability_zones)],
                policy_factory(
                    availability_zones[number % len(availability_zones)],
                    seed * 1000 + number,
                ),
                self,
            )
            for number in range(self.site.entry_processes)
        ]
        for entry in self._entries:
            entry.deliver(messages.ClusterStateChanged(snapshot, self._fleet()))
            self._subscribe_to_reports(entry.policy)
        self._request_id = 0

    def run(self) -> records.Result:
        """Runs the simulation to the end of the trace.

        Returns:
          The result of the run.
        """
        for demand in self.trace.demands:
            self.clock.call_at(
                demand.at, lambda demand=demand: self._handle_arrival(demand)
            )
        for fault in self.trace.faults:
            self.clock.call_at(
                fault.start, lambda fault=fault: self._start_fault(fault)
            )
            self.clock.call_at(
                fault.end, lambda fault=fault: self._end_fault(fault)
            )
        self.clock.run_until(self.trace.duration_s)
        self.result.ended_at = self.clock.now
        for engine in self.engines_by_id.values():
            self.result.in_flight_keys_at_end.update(engine.jobs_by_key)
        self.result.in_flight_keys_at_end.update(
            job.key
            for job in self.result.jobs
            if self.clock.now - job.exported_at < 1.0
        )
        return self.result

    def delay(self, availability_zone: str, engine: engines.Engine) -> float:
        """Returns the one-way network delay to an engine in seconds."""
        if availability_zone == engine.endpoint.availability_zone:
            return _SAME_ZONE_DELAY_S
        return self.site.cross_zone_delay_s

    def record_refusal(
        self, outcome: records.Outcome, action: messages.Refuse
    ) -> None:
        """Records a refusal and schedules the caller's retry.

        A caller submits again after `retry_after_s`, at most `_MAX_RETRIES`
        times.
        """
        now = self.clock.now
        service = self.services_by_id[outcome.demand.service]
        latest_start_at = outcome.submitted_at + service.ttft_target_s
        caused_at = max(min(latest_start_at, now), outcome.last_failed_at)
        outcome.refusal_delays_s.append(now - outcome.submitted_at)
        if (
            now > latest_start_at
            or outcome.last_failed_at > outcome.submitted_at
        ):
            outcome.refusal_lateness_s.append(now - caused_at)
        else:
            outcome.refusal_lateness_s.append(0.0)
        if outcome.retries < _MAX_RETRIES:
            outcome.retries += 1
            self.clock.call_after(
                action.retry_after_s, lambda: self._submit(outcome)
            )

    def _fleet(self) -> model.Fleet:
        vms = [
            model.Vm(
                id=f"vm{entry.number}",
                host="127.0.0.1",
                availability_zone=entry.availability_zone,
                role=model.VmRole.ENTRY,
                entry_ports=(1,),
            )
            for entry in self._entries
        ]
        return model.Fleet(version=1, vms_by_id={vm.id: vm for vm in vms})

    def _subscribe_to_reports(self, policy: policies.Policy) -> None:
        report = getattr(policy, "report", None)
        if report is not None:
            for coordinator in self.coordinators_by_endpoint_id.values():
                coordinator.report_listeners.append(report)

    def _make_engine(self, endpoint: model.Endpoint) -> engines.Engine:
        if endpoint.kind is model.EndpointKind.PREFILL:
            return engines.PrefillEngine(endpoint, self.clock)
        return engines.DecodeEngine(endpoint, self.clock)

    def _handle_arrival(self, demand: traces.Demand) -> None:
        service = self.services_by_id[demand.service]
        outcome = records.Outcome(demand, service.priority, self.clock.now)
        self.result.outcomes.append(outcome)
        self._submit(outcome)

    def _submit(self, outcome: records.Outcome) -> None:
        if outcome.abandoned:
            return
        outcome.submitted_at = self.clock.now
        self._request_id += 1
        request_id = self._request_id
        entry = self._random.choice(self._entries)
        entry.submit(request_id, outcome)
        if outcome.demand.gone_after:
            self.clock.call_after(
                outcome.demand.gone_after,
                lambda: self._abandon(entry, request_id, outcome),
            )

    def _abandon(
        self,
        entry: entry_process.EntryProcess,
        request_id: int,
        outcome: records.Outcome,
    ) -> None:
        if not outcome.finished_at and not outcome.abandoned:
            outcome.abandoned = True
            entry.cancel(request_id)

    def _start_fault(self, fault: traces.Fault) -> None:
        engine = self.engines_by_id[fault.endpoint]
        match fault.kind:
            case "lost":
                engine.crash()
            case "slow":
                engine.slowdown_factor = fault.factor
            case "link":
                engine.link_rate /= fault.factor
                self.links.reallocate()

    def _end_fault(self, fault: traces.Fault) -> None:
        engine = self.engines_by_id[fault.endpoint]
        engine.is_down = False
        engine.slowdown_factor = 1.0
        engine.link_rate = engine.endpoint.link_bytes_per_s
        self.links.reallocate()
