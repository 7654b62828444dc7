"""Messages between VMs and the owners of customers' quotas."""

import dataclasses

from cowsliprill.decisions import quota_owner


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsageReport:
    """Body of `POST /v1/quotas`.

    Attributes:
      reporter: Id of the reporting process, different after each restart.
      usages: Usage reports, one per customer.
    """

    reporter: str
    usages: tuple[quota_owner.Usage, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsageResponse:
    """Response to `POST /v1/quotas`.

    Attributes:
      verdicts: How much of its requests each reported customer may have
        admitted.
    """

    verdicts: tuple[quota_owner.Verdict, ...]
