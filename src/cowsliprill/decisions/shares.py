"""Customers' shares, looked up one by one."""

from collections.abc import Iterator
from collections.abc import Mapping

from cowsliprill.decisions import model


class Shares(Mapping[str, float]):
    """The share of each customer of the settings.

    Customers are kept packed. Copying the shares of all of them reads tens of
    thousands at every change of the settings, for the few whose requests wait.

    Args:
      customers_by_id: Customers of the settings.
    """

    def __init__(self, customers_by_id: Mapping[str, model.Customer]) -> None:
        self._customers_by_id = customers_by_id

    def __getitem__(self, customer_id: str) -> float:
        """Returns a customer's share.

        Raises:
          KeyError: The settings name no such customer.
        """
        return self._customers_by_id[customer_id].share

    def __iter__(self) -> Iterator[str]:
        return iter(self._customers_by_id)

    def __len__(self) -> int:
        return len(self._customers_by_id)
