"""Admission of requests by quota, with usage reports to the quota owners."""

import asyncio
import random
from collections.abc import Mapping

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill import errors
from cowsliprill import peers
from cowsliprill.decisions import coordinator_choice
from cowsliprill.decisions import model
from cowsliprill.decisions import quota_gate
from cowsliprill.decisions import quota_owner
from cowsliprill.entry import coordinator_client
from cowsliprill.observability import log as log_lib
from cowsliprill.quotas import usage_handler as owner_lib
from cowsliprill.quotas import wire

# Interval between usage reports while customers send requests, and the shorter
# interval while a customer has much unreported usage.
_REPORT_INTERVAL_S = 0.3
_URGENT_REPORT_INTERVAL_S = 0.1

_CALL_TIMEOUT_S = 0.35

# Questions that a request waits for while others use up what is left.
_QUESTIONS_MAX = 8

# A question goes on to the next owner after two calls that fail. VMs that have
# ended refuse connections at once, others may give no answer.
_QUESTION_TIMEOUT_S = 3 * _CALL_TIMEOUT_S
_QUESTION_CALLS_MAX = 6 * coordinator_choice.MAX_CONSECUTIVE_FAILURES

_Usages = list[quota_owner.Usage]


class UsageReporter:
    """Admits requests by quota and reports their usage to the quota owners.

    Args:
      vm_id: Id of this VM.
      process_id: Id of this process, different after each restart.
      local_handler: Answers reports for quotas that this VM owns.
      client: Sends messages to other VMs.
      log: The process's log.
      rng: Source of random numbers.
    """

    def __init__(
        self,
        vm_id: str,
        process_id: str,
        local_handler: owner_lib.UsageReportHandler,
        client: coordinator_client.CoordinatorClient,
        log: log_lib.Log,
        rng: random.Random,
    ) -> None:
        self._vm_id = vm_id
        self._process_id = process_id
        self._local_handler = local_handler
        self._client = client
        self._log = log
        self._gate = quota_gate.QuotaGate(rng)
        self._vms_by_id: dict[str, model.Vm] = {}
        # Skips the rebuild if the customers are the same: endpoints change far
        # more often than customers, of whom there may be many.
        self._customers_by_id: Mapping[str, model.Customer] = {}
        self._choices_by_customer: dict[
            str, coordinator_choice.CoordinatorChoice
        ] = {}
        self._owner_ids_by_customer: dict[str, str] = {}
        self._questions_by_customer: dict[str, asyncio.Task] = {}
        self._calls: set[asyncio.Task] = set()
        self._report_due = asyncio.Event()
        self._urgent_report_due = asyncio.Event()

    def update(self, snapshot: model.Snapshot, fleet: model.Fleet) -> None:
        """Applies new settings or a new VM list."""
        self._vms_by_id = fleet.vms_by_id
        self._gate.set_vm_count(len(fleet.vms_by_id))
        if snapshot.customers_by_id is self._customers_by_id:
            return
        self._customers_by_id = snapshot.customers_by_id
        quotas_by_customer = {
            customer.id: customer.quota
            for customer in snapshot.customers_by_id.values()
            if customer.quota is not None
        }
        self._local_handler.set_quotas(quotas_by_customer)
        self._gate.keep_only(quotas_by_customer.keys())
        removed = self._choices_by_customer.keys() - quotas_by_customer.keys()
        for customer_id in removed:
            del self._choices_by_customer[customer_id]
            self._owner_ids_by_customer.pop(customer_id, None)

    async def admit(
        self, customer_id: str, quota: model.Quota, cost: float
    ) -> float | None:
        """Decides whether to admit a request.

        If the customer's latest verdict is too old to decide by, its usage is
        reported first and the decision is made with the new verdict.

        Args:
          customer_id: Id of the customer.
          quota: The customer's quota.
          cost: Cost of the request in the quota's units.

        Returns:
          None if the request is admitted, else seconds until the caller should
          retry.
        """
        now = clock.now()
        retry_after_s = self._gate.admit(customer_id, quota, cost, now)
        self._report_due.set()
        for _ in range(_QUESTIONS_MAX):
            if retry_after_s is None or not self._gate.should_ask(
                customer_id, cost, clock.now()
            ):
                break
            await self._ask_owner(customer_id)
            retry_after_s = self._gate.decide_again(
                customer_id, quota, cost, clock.now()
            )
        if self._gate.needs_prompt_report(customer_id, quota):
            self._urgent_report_due.set()
        return retry_after_s

    def refund(self, customer_id: str, cost: float) -> None:
        """Refunds the cost of an admitted request that was not executed."""
        self._gate.refund(customer_id, cost)

    async def run(self) -> None:
        """Sends usage reports until cancelled."""
        while True:
            await self._report_due.wait()
            await asyncio.sleep(_URGENT_REPORT_INTERVAL_S)
            try:
                async with asyncio.timeout(
                    _REPORT_INTERVAL_S - _URGENT_REPORT_INTERVAL_S
                ):
                    await self._urgent_report_due.wait()
            except TimeoutError:
                pass
            self._report_due.clear()
            self._urgent_report_due.clear()
            self._report_all()

    async def _ask_owner(self, customer_id: str) -> None:
        """Reports a customer's usage and waits for a verdict.

        Requests that come at one moment wait for one report.
        """
        task = self._questions_by_customer.get(customer_id)
        if task is None:
            task = asyncio.create_task(self._report_until_answered(customer_id))
            self._questions_by_customer[customer_id] = task
            task.add_done_callback(
                lambda _: self._questions_by_customer.pop(customer_id, None)
            )
        await asyncio.shield(task)

    async def _report_until_answered(self, customer_id: str) -> None:
        """Reports to the owner, or to the next one if it doesn't answer."""
        ends_at = clock.now() + _QUESTION_TIMEOUT_S
        for _ in range(_QUESTION_CALLS_MAX):
            vm = self._owner_of(customer_id)
            if vm is None:
                break
            usage = self._gate.usage(customer_id, clock.now())
            if await self._send_report(vm, [usage]) or clock.now() >= ends_at:
                break
        if not self._gate.has_fresh_verdict(customer_id, clock.now()):
            self._gate.record_unanswered(customer_id, clock.now())

    def _report_all(self) -> None:
        by_vm: dict[str, tuple[model.Vm, _Usages]] = {}
        for usage in self._gate.usages(clock.now()):
            vm = self._owner_of(usage.customer)
            if vm is not None:
                by_vm.setdefault(vm.id, (vm, []))[1].append(usage)
        for vm, usages in by_vm.values():
            task = asyncio.create_task(self._send_report(vm, usages))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    def _owner_of(self, customer_id: str) -> model.Vm | None:
        choice = self._choices_by_customer.get(customer_id)
        if choice is None:
            choice = coordinator_choice.CoordinatorChoice(
                f"quota/{customer_id}"
            )
            self._choices_by_customer[customer_id] = choice
        choice.update(self._vms_by_id, clock.now())
        return choice.home

    async def _send_report(self, vm: model.Vm, usages: _Usages) -> bool:
        """Sends a report; returns whether it was answered."""
        report = wire.UsageReport(
            reporter=self._process_id, usages=tuple(usages)
        )
        try:
            response = await self._call_owner(vm, report)
        except errors.CowsliprillError as error:
            self._log.warning(
                "quota_owner_failed", vm=vm.id, reason=error.message
            )
            self._record_failure(vm, usages)
            return False
        self._log_owner_change(vm, usages)
        now = clock.now()
        verdicts_by_customer = {
            verdict.customer: verdict for verdict in response.verdicts
        }
        for usage in usages:
            verdict = verdicts_by_customer.get(usage.customer)
            if verdict is None:
                continue
            if verdict.is_valid():
                self._gate.record_verdict(usage, verdict, now)
            else:
                self._log.warning(
                    "quota_verdict_invalid", vm=vm.id, customer=usage.customer
                )
        return True

    def _log_owner_change(self, vm: model.Vm, usages: _Usages) -> None:
        moved = [
            usage
            for usage in usages
            if self._owner_ids_by_customer.get(usage.customer) != vm.id
        ]
        if not moved:
            return
        for usage in moved:
            self._owner_ids_by_customer[usage.customer] = vm.id
        unreported = sum(
            usage.admitted - usage.admitted_before for usage in moved
        )
        self._log.event(
            "quota_owner_changed",
            vm=vm.id,
            customers=len(moved),
            unreported=round(unreported),
        )

    def _record_failure(self, vm: model.Vm, usages: _Usages) -> None:
        for usage in usages:
            choice = self._choices_by_customer.get(usage.customer)
            if choice is not None:
                choice.record_failure(vm, clock.now())
        # The usage that was not delivered is reported again even if no further
        # requests arrive.
        self._report_due.set()

    async def _call_owner(
        self, vm: model.Vm, report: wire.UsageReport
    ) -> wire.UsageResponse:
        if vm.id == self._vm_id:
            return self._local_handler.handle(report)
        text = await self._client.post(
            vm, peers.QUOTAS_PATH, report, _CALL_TIMEOUT_S
        )
        return codec.decode(wire.UsageResponse, text)
