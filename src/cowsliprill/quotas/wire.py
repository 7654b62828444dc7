"""Messages between VMs and the owners of customers' quotas."""

import dataclasses

from cowsliprill.decisions import quota_owner


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsageReport:
    """Body of `POST /v1/quotas`.

    Attributes:
      reporter: Id of the reporting process; each start has another.
      usages: Its reports, one a customer.
    """

    reporter: str
    usages: tuple[quota_owner.Usage, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsageResponse:
    """Answer of `POST /v1/quotas`.

    Attributes:
      verdicts: What may be admitted of each customer that was named.
    """

    verdicts: tuple[quota_owner.Verdict, ...]
