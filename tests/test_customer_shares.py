"""Tests of the mapping from customers to shares."""

from cowsliprill.decisions import customer_shares
from cowsliprill.decisions import model


class TestShares:
    """Equivalent to a dict of all shares, without unpacking all customers."""

    def test_known_and_unknown_customers(self) -> None:
        customers = {"umurongo": model.Customer(id="umurongo", share=2.5)}
        found = customer_shares.CustomerShares(customers)
        assert found.get("umurongo", 1.0) == 2.5
        assert found.get("nobody", 1.0) == 1.0
        assert dict(found) == {"umurongo": 2.5}
