"""Tests of what a process tells of its start."""

import pathlib
import subprocess
import sys

_PROGRAM = """
from cowsliprill import start_cost
print(start_cost.modules_without_bytecode(), start_cost.times())
"""


def _output(folder: pathlib.Path) -> str:
    done = subprocess.run(
        [sys.executable, "-c", _PROGRAM],
        env={"PYTHONPATH": str(folder), "PYTHONDONTWRITEBYTECODE": "1"},
        stdout=subprocess.PIPE,
        check=True,
    )
    return done.stdout.decode()


def _package(folder: pathlib.Path) -> pathlib.Path:
    package = folder / "cowsliprill"
    package.mkdir()
    (package / "__init__.py").write_text("")
    module = pathlib.Path("src/cowsliprill/start_cost.py")
    (package / module.name).write_text(module.read_text())
    return package


class TestModulesWithoutBytecode:
    """Operators see that starts compile modules."""

    def test_nothing_is_compiled(self, tmp_path: pathlib.Path) -> None:
        _package(tmp_path)
        assert _output(tmp_path).startswith("2 ")

    def test_all_is_compiled(self, tmp_path: pathlib.Path) -> None:
        package = _package(tmp_path)
        subprocess.run(
            [sys.executable, "-m", "compileall", "-q", str(package)],
            check=True,
        )
        assert _output(tmp_path).startswith("0 ")


class TestTimes:
    """The log tells how long a start took."""

    def test_times_are_in_the_log_of_a_process(
        self, tmp_path: pathlib.Path
    ) -> None:
        _package(tmp_path)
        output = _output(tmp_path)
        assert "since_start_s" in output
        assert "processor_s" in output
