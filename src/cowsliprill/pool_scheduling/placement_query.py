"""Query of an operator for the placement of a request."""

import pydantic

from cowsliprill.decisions import messages
from cowsliprill.decisions import model


class PlacementQuery(pydantic.BaseModel):
    """A request whose placement is asked for.

    Attributes:
      pool: Name of the pool.
      prompt_tokens: Tokens of the prompt.
      output_tokens: Maximum number of output tokens.
      priority: Its priority, None for that of its service.
      customer: Id of the calling customer.
      zone: Availability zone of the caller, empty for the process's own.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    pool: str
    prompt_tokens: int = pydantic.Field(default=1_000, ge=1)
    output_tokens: int = pydantic.Field(default=100, ge=1)
    priority: int | None = None
    customer: str = ""
    zone: str = ""

    def submit(self, snapshot: model.Snapshot, now: float) -> messages.Submit:
        """Returns the request as an entry process would submit it.

        Args:
          snapshot: Settings in force.
          now: Current time in seconds.
        """
        service = self._service(snapshot)
        priority = self.priority
        return messages.Submit(
            request_id=0,
            service=service,
            customer=self.customer,
            prompt_tokens=self.prompt_tokens,
            output_tokens=self.output_tokens,
            priority=service.priority if priority is None else priority,
            deadline=now + service.ttft_target_s,
            availability_zone=self.zone,
        )

    def _service(self, snapshot: model.Snapshot) -> model.Service:
        """Returns the pool's service: the customer's own, else the first."""
        services = [
            service
            for service in snapshot.services_by_id.values()
            if service.pool == self.pool
            and service.kind is model.ServiceKind.MODEL
        ]
        return min(
            services,
            key=lambda item: (item.customer != self.customer, item.id),
            default=model.Service(
                id="",
                customer=self.customer,
                name="",
                kind=model.ServiceKind.MODEL,
                pool=self.pool,
            ),
        )
