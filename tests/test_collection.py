"""Test modules are read without the garbage collector at work."""

import gc

_COLLECTS_GARBAGE = gc.isenabled()


class TestCollection:
    """The run of all tests ends before its first one, once in sixty.

    A finalizer that parses something ran amid the reading of a test module,
    which ends the interpreter's parser with an error.
    """

    def test_the_collector_stood_still(self):
        assert not _COLLECTS_GARBAGE

    def test_it_works_again(self):
        assert gc.isenabled()
