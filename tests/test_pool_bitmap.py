"""Tests for `decisions.pool_bitmap`."""

from cowsliprill.decisions import pool_bitmap


class TestPoolBitmap:
    """Which pools a bitmap may contain."""

    def test_contains_what_was_encoded(self):
        pools = [f"pool-{number}" for number in range(100)]
        bitmap = pool_bitmap.encode(pools)
        assert all(pool_bitmap.may_contain(bitmap, pool) for pool in pools)

    def test_few_pools_seem_to_contain_few_others(self):
        bitmap = pool_bitmap.encode(["llm"])
        others = [f"pool-{number}" for number in range(1_000)]
        contained = sum(pool_bitmap.may_contain(bitmap, it) for it in others)
        assert contained < 100

    def test_no_pools_contain_none(self):
        assert not pool_bitmap.may_contain(pool_bitmap.encode([]), "llm")
