"""Runs a parsed command: prints its result and returns an exit code."""

import asyncio
import dataclasses
import importlib
import json
import pathlib
import sys
from typing import Any
from typing import TextIO

from cowsliprill import api_keys
from cowsliprill import errors as errors_lib
from cowsliprill import peer_client
from cowsliprill import peers
from cowsliprill.cli import account
from cowsliprill.cli import account_tables
from cowsliprill.cli import commands
from cowsliprill.cli import errors
from cowsliprill.cli import explain
from cowsliprill.cli import show
from cowsliprill.cli import where
from cowsliprill.observability import log
from cowsliprill.settings import parts
from cowsliprill.settings import publish
from cowsliprill.settings import resolve
from cowsliprill.settings import snapshot_diff

_REQUEST_TIMEOUT_S = 5.0
_STATUS_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Terminal:
    """Streams that commands read from and write to.

    Attributes:
      stdin: Standard input.
      stdout: Stream for results.
      stderr: Stream for errors.
    """

    stdin: TextIO
    stdout: TextIO
    stderr: TextIO

    def write(self, text: str) -> None:
        """Writes one line to `stdout`."""
        print(text, file=self.stdout)


def run(command: Any, terminal: Terminal) -> int:
    """Runs a command and reports its error, if any, on `terminal.stderr`.

    Args:
      command: A command of `commands`, or the `replay` command.
      terminal: Streams to read from and write to.

    Returns:
      The exit code: 0 on success, else that of the error or of an interrupt.
    """
    try:
        return _execute(command, terminal)
    except errors_lib.CowsliprillError as error:
        print(f"{error.code}: {error}", file=terminal.stderr)
        return error.exit_code
    except KeyboardInterrupt:
        return errors_lib.ExitCode.INTERRUPTED


def _execute(command: Any, terminal: Terminal) -> int:
    match command:
        case commands.CheckCommand(file):
            _print_check(_read_file(file), terminal)
        case commands.ShowCommand(file, name):
            for line in show.format_values(_read_file(file), name):
                terminal.write(line)
        case commands.DiffCommand(old, new):
            _print_diff(_read_file(old), _read_file(new), terminal)
        case commands.PackCommand(file, folder, previous):
            _write_values(_read_file(file), folder, previous, terminal)
        case commands.HashCommand():
            key = terminal.stdin.readline().rstrip("\n")
            terminal.write(api_keys.digest(key))
        case commands.ExplainCommand(request, files):
            _print_trace(request, files, terminal)
        case commands.AccountCommand(files, step):
            _print_account(files, step, terminal)
        case commands.StatusCommand(url):
            _print_status(_fetch_json(url + peers.STATUS_PATH), terminal)
        case commands.WhereCommand():
            for line in where.format_lines(_fetch_json(where.url(command))):
                terminal.write(line)
        case commands.AuditCommand(url):
            for entry in _fetch_json(url + peers.AUDIT_PATH):
                terminal.write(log.serialize(entry))
        case _:
            return _run_replay(command)
    return errors_lib.ExitCode.OK


def _run_replay(command: Any) -> int:
    # Imported lazily: the other commands must work where the dependencies of
    # the replay are not installed.
    main = importlib.import_module("cowsliprill.replay.main")
    return main.run(command)


def _read_file(file: pathlib.Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.CliError(
            f"{file} can't be read: {error}", code="file_unreadable"
        ) from error


def _read_log_lines(
    files: list[pathlib.Path], terminal: Terminal
) -> list[explain.LogLine]:
    lines: list[explain.LogLine] = []
    for file in files:
        text = terminal.stdin.read() if str(file) == "-" else _read_file(file)
        lines.extend(explain.read(text.splitlines()))
    return lines


def _print_account(
    files: list[pathlib.Path], step_s: float, terminal: Terminal
) -> None:
    if step_s <= 0:
        raise errors.CliError(
            f"--step must be above 0, not {step_s:g}.", code="bad_step"
        )
    records = account.collect(_read_log_lines(files, terminal))
    if not records.requests:
        raise errors.CliError(
            "No line of these logs tells of a request's end.",
            code="no_requests",
        )
    account_tables.write(records, step_s, terminal.stdout)


def _print_trace(
    request_id: str, files: list[pathlib.Path], terminal: Terminal
) -> None:
    lines = _read_log_lines(files, terminal)
    trace = explain.trace(lines, request_id)
    if not trace:
        raise errors.CliError(
            f"No line of these logs is about {request_id}.",
            code="unknown_request",
        )
    for line in trace:
        terminal.write(explain.format_line(line))
    terminal.write(explain.describe_outcome(trace))


def _print_check(document: str, terminal: Terminal) -> None:
    snapshot = resolve.resolve(document)
    publication = publish.publish(document)
    largest = max(map(len, publication.texts_by_hash.values()))
    terminal.write(
        f"Revision {snapshot.revision} is valid: "
        f"{len(snapshot.customers_by_id)} customers, "
        f"{len(snapshot.services_by_id)} services, "
        f"{len(snapshot.endpoints_by_id)} endpoints, "
        f"{len(publication.texts_by_hash)} values of at most {largest} bytes."
    )


def _print_diff(old: str, new: str, terminal: Terminal) -> None:
    before, after = resolve.resolve(old), resolve.resolve(new)
    descriptions = [
        str(change) for change in snapshot_diff.changes(before, after)
    ]
    descriptions += snapshot_diff.diff_customers(before, after)
    terminal.write(f"Revision {before.revision} -> {after.revision}")
    for line in descriptions or ["Nothing changes."]:
        terminal.write(line)
    if descriptions and after.revision <= before.revision:
        terminal.write(
            "Warning: the revision doesn't rise, so no VM would take this."
        )


def _write_values(
    document: str,
    folder: pathlib.Path,
    previous: pathlib.Path | None,
    terminal: Terminal,
) -> None:
    resolve.resolve(document)
    before = publish.publish(_read_file(previous)) if previous else None
    publication = publish.publish(document, before)
    published_texts_by_hash = before.texts_by_hash if before else {}
    folder.mkdir(parents=True, exist_ok=True)
    for text_hash, text in publication.texts_by_hash.items():
        if text_hash not in published_texts_by_hash:
            _write_file(
                folder / (parts.PART_PREFIX + text_hash), text, terminal
            )
    head = parts.encode_head(publication.head)
    _write_file(folder / parts.HEAD_NAME, head, terminal)


def _write_file(path: pathlib.Path, text: str, terminal: Terminal) -> None:
    path.write_text(text, encoding="utf-8")
    terminal.write(str(path))


def _print_status(state: dict[str, Any], terminal: Terminal) -> None:
    width = max(map(len, state), default=0)
    for name, value in state.items():
        text = value if isinstance(value, str) else json.dumps(value)
        terminal.write(f"{name:<{width}}  {text or '-'}")


def _fetch_json(url: str) -> Any:
    async def fetch() -> peer_client.PeerResponse:
        client = peer_client.PeerClient()
        return await client.call("GET", url, timeout_s=_REQUEST_TIMEOUT_S)

    try:
        reply = asyncio.run(fetch())
        if reply.status != _STATUS_OK:
            raise _error_of(url, reply)
        return reply.json()
    except (peer_client.PeerError, ValueError) as error:
        raise errors.CliError(f"{url} gives no answer: {error}") from error


def _error_of(url: str, reply: peer_client.PeerResponse) -> errors.CliError:
    """Returns the error that a process has answered with."""
    try:
        error = reply.json()["error"]
        return errors.CliError(error["message"], code=error["code"])
    except (peer_client.PeerError, LookupError, TypeError):
        return errors.CliError(f"{url} answered {reply.status}")


def standard_terminal() -> Terminal:
    """Returns the standard streams of the current process."""
    return Terminal(sys.stdin, sys.stdout, sys.stderr)
