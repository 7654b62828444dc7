"""Settings of all tests."""

import gc

import pytest


@pytest.hookimpl(wrapper=True)
def pytest_collection(session):
    """Holds the garbage collector while test modules are read.

    CPython 3.11 counts the depth of a syntax tree in one place for all. When
    the collector runs a finalizer that parses something amid another tree, it
    ends with `SystemError: AST constructor recursion depth mismatch`, and with
    it the run before its first test. Nothing is collected meanwhile, so no
    finalizer runs there.
    """
    del session
    gc.disable()
    try:
        return (yield)
    finally:
        gc.enable()
