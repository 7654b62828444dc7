"""The start of a router process, which callers wait for."""

import gc
import subprocess
import sys

import pytest

from cowsliprill import launcher
from cowsliprill.router import __main__ as router_main

# Packages that a router never uses.
_FOREIGN = {
    "cowsliprill.arguments",
    "cowsliprill.capacity",
    "cowsliprill.cli",
    "cowsliprill.replay",
    "cowsliprill.standins",
    "cappa",
    "numpy",
    "rich",
    "uvloop",
}


class TestImports:
    """What a router process loads."""

    # Guards against a start that loads what the process never uses.
    def test_router_loads_no_foreign_packages(self):
        program = "import cowsliprill.router.core, sys; print(*sys.modules)"
        done = subprocess.run(
            [sys.executable, "-c", program],
            env={"PYTHONPATH": "src"},
            stdout=subprocess.PIPE,
            check=True,
        )
        loaded = set(done.stdout.decode().split())
        assert "cowsliprill.router.core" in loaded
        assert not loaded & _FOREIGN


class TestGarbageCollection:
    """Collections are paused only while modules are loaded."""

    # Guards against a process whose memory grows as nothing is collected.
    def test_collections_go_on_once_the_router_runs(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        enabled = []

        def run(*_: object, **__: object) -> int:
            enabled.append(gc.isenabled())
            return 0

        monkeypatch.setattr(launcher, "run", run)
        try:
            assert router_main.main() == 0
        finally:
            gc.enable()
            gc.unfreeze()
        assert enabled == [True]
