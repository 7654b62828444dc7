"""Plays a trace through schedulers, homes and fake engines."""

import random

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.replay import engines
from cowsliprill.replay import homes
from cowsliprill.replay import outcomes
from cowsliprill.replay import policy as policies
from cowsliprill.replay import shell
from cowsliprill.replay import sites
from cowsliprill.replay import timeline
from cowsliprill.replay import trace as traces

_LOCAL_DELAY_S = 0.0002
_RETURNS_MAX = 2


class Simulation:
    """One trace, one policy, one seed.

    Args:
      trace: A trace with its demands.
      factory: Makes the policy of an entry from its zone and a seed.
      seed: Seed of the callers' and the homes' random numbers.
    """

    def __init__(
        self, trace: traces.Trace, factory: policies.PolicyFactory, seed: int
    ) -> None:
        self.trace = trace
        self.site = sites.SITES_BY_NAME[trace.site]
        self.clock = timeline.Timeline()
        self.links = engines.Links(self.clock)
        self.result = outcomes.Result([])
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
            shell.Entry(
                number,
                zones[number % len(zones)],
                factory(zones[number % len(zones)], seed * 1000 + number),
                self,
            )
            for number in range(self.site.entries)
        ]
        for entry in self._entries:
            entry.deliver(messages.ClusterStateChanged(snapshot, self._fleet()))
            self._subscribe(entry.policy)
        self._request_id = 0

    def run(self) -> outcomes.Result:
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

    def refused(
        self, outcome: outcomes.Outcome, action: messages.Refuse
    ) -> None:
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

    def _subscribe(self, policy: policies.Policy) -> None:
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
        outcome = outcomes.Outcome(demand, service.priority, self.clock.now)
        self.result.outcomes.append(outcome)
        self._submit(outcome)

    def _submit(self, outcome: outcomes.Outcome) -> None:
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

    def _leave(
        self, entry: shell.Entry, request_id: int, outcome: outcomes.Outcome
    ) -> None:
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
