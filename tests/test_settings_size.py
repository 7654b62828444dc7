"""Tests of caching in the resolver and of costs as settings grow."""

import hashlib
import json
from typing import Any

import hypothesis
from hypothesis import strategies

from cowsliprill.decisions import model
from cowsliprill.settings import errors
from cowsliprill.settings import measure
from cowsliprill.settings import publish
from cowsliprill.settings import resolve

_KEYS = [
    hashlib.sha256(str(number).encode()).hexdigest() for number in range(6)
]

# Moves of API keys between customers; some of them lead to a duplicate key.
_moves = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 79),
        strategies.lists(strategies.sampled_from(_KEYS), max_size=2),
    ),
    max_size=12,
)


def _resolved(
    resolver: resolve.Resolver, tree: dict[str, Any]
) -> model.Snapshot | str:
    texts = publish.split(json.dumps(tree))
    try:
        return resolver.resolve_texts(tree["revision"], texts)
    except errors.SettingsError as error:
        return error.code


class TestResolverCache:
    """Tests of a resolver that caches results of earlier revisions."""

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=30
    )
    @hypothesis.given(_moves)
    def test_keys_that_move_between_users(self, moves: list) -> None:
        """Operators move API keys from one customer to another.

        A table that kept an old place would let a caller in as another
        customer, or refuse a valid revision.
        """
        tree = measure.tree_of_size(80, 6)
        firms = tree["users"]["site"]["users"]
        resolver = resolve.Resolver()
        for number, keys in moves:
            firms[f"firm-{number}"]["key_hashes"] = keys
            tree["revision"] += 1
            found = _resolved(resolver, tree)
            expected = _resolved(resolve.Resolver(), tree)
            if isinstance(expected, str):
                assert found == expected
                continue
            assert dict(found.customers_by_id) == dict(expected.customers_by_id)
            users = {
                customer.id: customer
                for customer in found.customers_by_id.values()
            }
            assert users == dict(found.customers_by_id)
            for key in _KEYS:
                customer = expected.customers_by_key_hash.get(key)
                assert found.customers_by_key_hash.get(key) == customer
                assert customer is None or key in customer.key_hashes

    def test_older_snapshot_keeps_its_api_keys(self) -> None:
        """Guards against an update that changes an older snapshot.

        A request admitted under revision 1 still uses that revision's snapshot
        while revision 2 is activated.
        """
        tree = measure.tree_of_size(80, 6)
        resolver = resolve.Resolver()
        old = _resolved(resolver, tree)
        child_customer = tree["users"]["site"]["users"]["firm-7"]
        key = child_customer["key_hashes"][0]
        child_customer["key_hashes"] = []
        tree["revision"] = 2
        new = _resolved(resolver, tree)
        assert old.customers_by_key_hash[key].id == "site/firm-7"
        assert key not in new.customers_by_key_hash


class TestCosts:
    """Tests of costs that must not grow with the number of customers."""

    def test_change_size_is_independent_of_the_number_of_customers(
        self,
    ) -> None:
        """Guards against changes that transfer the settings of all customers.

        Tens of thousands of customers change their settings each day. If each
        change transferred all settings, control traffic would need more
        bandwidth than responses do.
        """
        small = measure.change_cost(500, 30, changes=3)
        large = measure.change_cost(4_000, 30, changes=3)
        assert large.transferred_bytes < 1.5 * small.transferred_bytes
        assert large.transferred_bytes < 5_000

    def test_memory_per_customer_is_bounded(self) -> None:
        """Guards against entry processes that exceed their memory limit.

        A customer held as a data class in two dicts takes about 600 bytes. With
        42,000 customers an entry process would exceed its limit of 64 MB and be
        killed.
        """
        small = measure.change_cost(500, 30, changes=1)
        large = measure.change_cost(4_000, 30, changes=1)
        grown = large.memory_bytes - small.memory_bytes
        assert grown / 3_500 < 200
