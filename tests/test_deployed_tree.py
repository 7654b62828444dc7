"""The tree that the deploy file's build makes, and what a start of it does."""

import os
import pathlib
import shutil
import subprocess
import sys
import tomllib

import pytest

_LISTS_COMPILED_FILES = """
import sys
files = []
def note(event, arguments):
    if event == "compile" and "cowsliprill" in str(arguments[1]):
        files.append(arguments[1])
sys.addaudithook(note)
import cowsliprill.router.core
print(*files)
"""


@pytest.fixture(scope="module")
def tree(tmp_path_factory: pytest.TempPathFactory) -> pathlib.Path:
    """Builds the tree of a checkout whose dependencies are installed."""
    folder = tmp_path_factory.mktemp("checkout")
    for name in ("src", "deploy"):
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(name, folder / name, ignore=ignored)
    # Dependencies that are newer than their list aren't installed again.
    (folder / "target/deps").mkdir(parents=True)
    # The build's `python3` is the interpreter of this process.
    (folder / "programs").mkdir()
    (folder / "programs/python3").symlink_to(sys.executable)
    _build(folder)
    return folder


def _build(folder: pathlib.Path) -> None:
    system = tomllib.loads((folder / "deploy/system.toml").read_text())
    path = f"{folder / 'programs'}:{os.environ['PATH']}"
    subprocess.run(
        ["sh", "-c", system["build"]],
        cwd=folder,
        env={**os.environ, "PATH": path},
        check=True,
    )


def _output(tree: pathlib.Path, program: str) -> str:
    done = subprocess.run(
        [sys.executable, "-c", program],
        cwd=tree,
        env={"PYTHONPATH": "target/deps", "PYTHONDONTWRITEBYTECODE": "1"},
        stdout=subprocess.PIPE,
        check=True,
    )
    return done.stdout.decode().strip()


class TestBuild:
    """The tree that VMs run, which they can't write to."""

    # Guards against VMs that compile all modules again at each start, so that
    # a whole fleet returns too late.
    def test_start_compiles_nothing(self, tree: pathlib.Path) -> None:
        assert _output(tree, _LISTS_COMPILED_FILES) == ""

    # Guards against bytecode that is discarded as files were copied.
    def test_start_compiles_nothing_after_files_got_new_times(
        self, tree: pathlib.Path
    ) -> None:
        for file in (tree / "target/deps/cowsliprill").rglob("*.py"):
            os.utime(file, (1_000_000_000, 1_000_000_000))
        assert _output(tree, _LISTS_COMPILED_FILES) == ""

    def test_build_again_takes_new_sources(self, tree: pathlib.Path) -> None:
        file = tree / "src/cowsliprill/router/core.py"
        file.write_text(file.read_text() + "\nBUILT_AGAIN = 1\n")
        _build(tree)
        program = "from cowsliprill.router import core; print(core.BUILT_AGAIN)"
        assert _output(tree, program) == "1"
