"""The quotas that this process owns, and their answers to the other VMs."""

from collections.abc import Callable

from tornado import web

from cowsliprill import clock
from cowsliprill import codec
from cowsliprill import peer_auth
from cowsliprill.decisions import model
from cowsliprill.decisions import quota_owner
from cowsliprill.quotas import wire


class Owner:
    """Answers reports for the customers that VMs name here.

    Args:
      tolerance: By how much quotas may be exceeded.
      heard_part: Returns the part of the known VMs that are heard here.
    """

    def __init__(
        self,
        tolerance: quota_owner.Tolerance,
        heard_part: Callable[[], float],
    ) -> None:
        self._accounts = quota_owner.QuotaOwner(tolerance)
        self._heard_part = heard_part
        self._quotas_by_customer: dict[str, model.Quota] = {}

    def update(self, snapshot: model.Snapshot) -> None:
        """Takes new settings."""
        self._quotas_by_customer = {
            customer.id: customer.quota
            for customer in snapshot.customers_by_id.values()
            if customer.quota is not None
        }
        self._accounts.keep_only(self._quotas_by_customer)

    def answer(self, report: wire.Report) -> wire.Answer:
        """Takes a VM's report."""
        verdicts = self._accounts.report(
            report.reporter,
            report.usages,
            self._quotas_by_customer,
            self._heard_part(),
            clock.now(),
        )
        return wire.Answer(verdicts=tuple(verdicts))


class QuotasHandler(web.RequestHandler):
    """`POST /v1/quotas`."""

    def initialize(self, auth: peer_auth.PeerAuth, owner: Owner) -> None:
        """Keeps what the handler needs.

        Args:
          auth: Signs and checks bodies.
          owner: Answers.
        """
        self._auth = auth
        self._owner = owner

    def post(self) -> None:
        """Answers a VM."""
        body = self.request.body
        signature = self.request.headers.get(peer_auth.HEADER)
        if not self._auth.accepts(body, signature):
            self._refuse(403, "not_a_peer", "the body isn't signed")
            return
        try:
            report = codec.decode(wire.Report, body)
        except codec.CodecError as error:
            self._refuse(400, error.code, error.message)
            return
        answer = codec.encode_short(self._owner.answer(report))
        self.set_header("Content-Type", "application/json")
        for name, text in self._auth.headers(answer).items():
            self.set_header(name, text)
        self.write(answer)

    def _refuse(self, status: int, code: str, message: str) -> None:
        self.set_status(status)
        self.write({"error": {"code": code, "message": message}})
