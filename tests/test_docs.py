"""Tests that docs/OPERATIONS.md names what the code has."""

import ast
import pathlib
import re

import pytest

from cowsliprill import environment
from cowsliprill.cli import __main__ as cli
from cowsliprill.entry import errors
from cowsliprill.observability import metrics
from cowsliprill.settings import schema

_SOURCE = pathlib.Path("src/cowsliprill")
_PAGE = pathlib.Path("docs/OPERATIONS.md").read_text(encoding="utf-8")
_NAMED = set(re.findall(r"`([a-z_./-]+)`", _PAGE))
_LOG_METHODS = {"event", "warning", "error"}


def _logged_events() -> set[str]:
    names = set()
    for path in _SOURCE.rglob("*.py"):
        if "standins" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            method = node.func
            first = node.args[0]
            if (
                isinstance(method, ast.Attribute)
                and method.attr in _LOG_METHODS
                and isinstance(first, ast.Constant)
            ):
                names.add(first.value)
            elif isinstance(method, ast.Attribute) and (
                method.attr == "RepeatedWarning"
            ):
                names.add(node.args[1].value)
    return names


def _transcripts() -> list[tuple[str, str]]:
    """Returns the commands of the page and what it shows for each."""
    blocks = re.findall(r"```\n\$ cowsliprill (.*?)\n(.*?)```", _PAGE, re.S)
    return [(command, shown) for command, shown in blocks]


class TestTranscripts:
    """An engineer follows the page from a complaint to its cause."""

    def test_each_kind_of_failure_is_followed(self) -> None:
        assert len(_transcripts()) == 3

    @pytest.mark.parametrize(("command", "shown"), _transcripts())
    def test_the_command_prints_what_the_page_shows(
        self, capsys, command: str, shown: str
    ) -> None:
        assert cli.main(command.split()) == 0
        assert capsys.readouterr().out == shown


class TestOperationsPage:
    """An operator finds every name that the processes print."""

    def test_log_events(self) -> None:
        events = _logged_events()
        assert "request_ended" in events
        assert events - _NAMED == set()

    def test_metrics(self) -> None:
        registry = metrics.Metrics().registry
        names = {collector.name for collector in registry.get_all()}
        assert "cowsliprill_requests_total" in names
        assert names - _NAMED == set()

    def test_callers_error_codes(self) -> None:
        assert {code.value for code in errors.Code} - _NAMED == set()

    @pytest.mark.parametrize(
        ("node", "prefix"),
        [
            (schema.ServiceNode, ""),
            (schema.EndpointNode, ""),
            (schema.RetryNode, "retries."),
            (schema.TargetNode, "target."),
            (environment.Environment, ""),
        ],
    )
    def test_settings(self, node, prefix) -> None:
        nested = {"retries", "target"}
        names = {
            prefix + name for name in node.model_fields if name not in nested
        }
        assert names - _NAMED == set()
