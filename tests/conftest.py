"""Pytest hooks for all tests."""

import gc

import pytest


@pytest.hookimpl(wrapper=True)
def pytest_collection(session):
    """Disables the garbage collector while pytest collects test modules.

    CPython 3.11 keeps a single recursion depth counter for all syntax trees
    under construction. When the collector runs a finalizer that parses code
    while another tree is built, parsing fails with `SystemError: AST
    constructor recursion depth mismatch`, and the run ends before its first
    test. With the collector disabled, no finalizer runs during collection.
    """
    del session
    gc.disable()
    try:
        return (yield)
    finally:
        gc.enable()
