"""Tests of the commands that read settings."""

import io
import json
import pathlib
from typing import Any

import pytest

from cowsliprill import errors
from cowsliprill.cli import commands
from cowsliprill.cli import runner
from cowsliprill.settings import parts

_EXAMPLE = pathlib.Path(__file__).parent.parent / "examples" / "both.json"


def _run(command: Any, stdin: str = "") -> tuple[int, str, str]:
    terminal = runner.Terminal(io.StringIO(stdin), io.StringIO(), io.StringIO())
    code = runner.run(command, terminal)
    return code, terminal.stdout.getvalue(), terminal.stderr.getvalue()


def _write_changed(folder: pathlib.Path, change: Any) -> pathlib.Path:
    tree = json.loads(_EXAMPLE.read_text(encoding="utf-8"))
    change(tree)
    path = folder / "changed.json"
    path.write_text(json.dumps(tree), encoding="utf-8")
    return path


class TestCheck:
    """`cowsliprill check`."""

    def test_valid_settings(self) -> None:
        code, out, _ = _run(commands.CheckCommand(_EXAMPLE))
        assert code == errors.ExitCode.OK
        assert "6 customers, 6 services, 22 endpoints" in out

    def test_unknown_setting_name(self, tmp_path: pathlib.Path) -> None:
        path = _write_changed(tmp_path, lambda tree: tree.update(customer={}))
        code, _, err = _run(commands.CheckCommand(path))
        assert code == errors.ExitCode.SETTINGS_INVALID
        assert err.startswith("unknown_name: ")
        assert "did you mean 'users'?" in err

    def test_missing_file(self, tmp_path: pathlib.Path) -> None:
        code, _, err = _run(commands.CheckCommand(tmp_path / "none.json"))
        assert code == errors.ExitCode.ERROR
        assert err.startswith("file_unreadable: ")


class TestShow:
    """`cowsliprill show`."""

    @pytest.mark.parametrize(
        ("name", "line"),
        [
            (
                "umurongo/brief",
                "timeout_s 60.0 users.umurongo.service_defaults",
            ),
            ("umurongo/brief", "retries.ratio 0.1 service_defaults"),
            ("umurongo/brief", "resume True built-in default"),
            (
                "umurongo/firm-2/brief",
                "umurongo/firm-2/brief is umurongo/brief, inherited whole",
            ),
            (
                "brief-d1",
                "target.model case-brief-13b "
                "pools.umurongo-briefs.endpoint_defaults",
            ),
        ],
    )
    def test_values_and_origins(self, name: str, line: str) -> None:
        code, out, _ = _run(commands.ShowCommand(_EXAMPLE, name))
        assert code == errors.ExitCode.OK
        assert line in [" ".join(each.split()) for each in out.splitlines()]

    def test_child_customer_overrides_service_defaults(
        self, tmp_path: pathlib.Path
    ) -> None:
        def change(tree: dict) -> None:
            firm = tree["users"]["umurongo"]["users"]["firm-2"]
            firm["service_defaults"] = {"priority": 3}

        path = _write_changed(tmp_path, change)
        _, out, _ = _run(commands.ShowCommand(path, "umurongo/firm-2/brief"))
        lines = [" ".join(each.split()) for each in out.splitlines()]
        origin = "users.umurongo.users.firm-2.service_defaults"
        assert f"priority 3 {origin}" in lines
        assert "tpot_target_s 0.032 users.umurongo.services.brief" in lines

    def test_misspelled_name_suggests_the_closest_one(self) -> None:
        code, _, err = _run(commands.ShowCommand(_EXAMPLE, "umurongo/breif"))
        assert code == errors.ExitCode.ERROR
        assert "did you mean 'umurongo/brief'?" in err


class TestDiff:
    """`cowsliprill diff`."""

    def test_changed_defaults_reach_services(
        self, tmp_path: pathlib.Path
    ) -> None:
        def change(tree: dict) -> None:
            tree["revision"] = 2
            tree["users"]["umurongo"]["service_defaults"] = {"timeout_s": 30.0}
            del tree["users"]["umurongo"]["users"]["firm-2"]

        path = _write_changed(tmp_path, change)
        _, out, _ = _run(commands.DiffCommand(_EXAMPLE, path))
        assert out.splitlines() == [
            "Revision 1 -> 2",
            "service umurongo/brief: timeout_s 60.0 -> 30.0",
            "customer umurongo/firm-2 removed",
        ]

    def test_unchanged_settings_and_revision(self) -> None:
        _, out, _ = _run(commands.DiffCommand(_EXAMPLE, _EXAMPLE))
        assert out.splitlines() == ["Revision 1 -> 1", "Nothing changes."]


class TestPack:
    """`cowsliprill pack`."""

    def test_unchanged_values_are_not_written_again(
        self, tmp_path: pathlib.Path
    ) -> None:
        path = _write_changed(tmp_path, lambda tree: tree.update(revision=2))
        folder = tmp_path / "values"
        code, out, _ = _run(commands.PackCommand(path, folder, _EXAMPLE))
        assert code == errors.ExitCode.OK
        assert out.splitlines() == [str(folder / parts.HEAD_NAME)]
        head = parts.parse_head((folder / parts.HEAD_NAME).read_bytes())
        assert head.revision == 2


class TestHash:
    """`cowsliprill hash`."""

    def test_hash_of_an_example_key(self) -> None:
        _, out, _ = _run(commands.HashCommand(), "example-key-firm-2\n")
        assert out.strip() in _EXAMPLE.read_text(encoding="utf-8")
