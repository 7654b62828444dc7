"""Tests that garbage collection is disabled while pytest collects tests."""

import gc

_GC_ENABLED_AT_IMPORT = gc.isenabled()


class TestGarbageCollector:
    """Guards against a test run that fails during test collection.

    About one run in 60 of the whole suite failed before its first test: a
    finalizer that parses Python code ran while a test module was being parsed,
    which makes the interpreter's parser fail.
    """

    def test_collector_is_disabled_during_test_collection(self):
        assert not _GC_ENABLED_AT_IMPORT

    def test_collector_is_enabled_after_test_collection(self):
        assert gc.isenabled()
