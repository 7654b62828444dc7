"""Read-only mapping from customers to their fair-share weights."""

from collections.abc import Iterator
from collections.abc import Mapping

from cowsliprill.decisions import model


class CustomerShares(Mapping[str, float]):
    """Fair-share weight of each configured customer, read on access.

    The settings store customers in packed form. Copying all shares into a
    dictionary would unpack tens of thousands of customers at every change of
    the settings, while only the few with waiting requests are needed.

    Args:
      customers_by_id: Customers of the settings.
    """

    def __init__(self, customers_by_id: Mapping[str, model.Customer]) -> None:
        self._customers_by_id = customers_by_id

    def __getitem__(self, customer_id: str) -> float:
        """Returns a customer's share.

        Raises:
          KeyError: The customer isn't in the settings.
        """
        return self._customers_by_id[customer_id].share

    def __iter__(self) -> Iterator[str]:
        return iter(self._customers_by_id)

    def __len__(self) -> int:
        return len(self._customers_by_id)
