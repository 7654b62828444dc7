"""The operator's command line: one command in, text and an exit code out."""

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
from cowsliprill.observability import log
from cowsliprill.settings import parts
from cowsliprill.settings import publish
from cowsliprill.settings import resolve
from cowsliprill.settings import snapshot_diff

_CALL_TIMEOUT_S = 5.0
_STATUS_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Terminal:
    """Where commands read and write.

    Attributes:
      stdin: Standard input.
      stdout: Results.
      stderr: Errors.
    """

    stdin: TextIO
    stdout: TextIO
    stderr: TextIO

    def write(self, text: str) -> None:
        """Writes one line of the result."""
        print(text, file=self.stdout)


def run(command: Any, terminal: Terminal) -> int:
    """Carries out a command.

    Args:
      command: One of `commands`, or another package's command.
      terminal: Where to read and write.

    Returns:
      The exit code.
    """
    try:
        return _carry_out(command, terminal)
    except errors_lib.CowsliprillError as error:
        print(f"{error.code}: {error}", file=terminal.stderr)
        return error.exit_code
    except KeyboardInterrupt:
        return errors_lib.ExitCode.INTERRUPTED


def _carry_out(command: Any, terminal: Terminal) -> int:
    match command:
        case commands.CheckCommand(file):
            _check(_read(file), terminal)
        case commands.ShowCommand(file, name):
            for line in show.lines(_read(file), name):
                terminal.write(line)
        case commands.DiffCommand(old, new):
            _diff(_read(old), _read(new), terminal)
        case commands.PackCommand(file, folder, previous):
            _pack(_read(file), folder, previous, terminal)
        case commands.HashCommand():
            key = terminal.stdin.readline().rstrip("\n")
            terminal.write(api_keys.digest(key))
        case commands.ExplainCommand(request, files):
            _explain(request, files, terminal)
        case commands.AccountCommand(files, step):
            _account(files, step, terminal)
        case commands.StatusCommand(url):
            _status(_get(url + peers.STATUS_PATH), terminal)
        case commands.AuditCommand(url):
            for entry in _get(url + peers.AUDIT_PATH):
                terminal.write(log.serialize(entry))
        case _:
            return _replay(command)
    return errors_lib.ExitCode.OK


def _replay(command: Any) -> int:
    # Imported only here, so that settings can be checked where the replay's
    # own needs are not installed.
    main = importlib.import_module("cowsliprill.replay.main")
    return main.run(command)


def _read(file: pathlib.Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.CliError(
            f"{file} can't be read: {error}", code="file_unreadable"
        ) from error


def _log_lines(
    files: list[pathlib.Path], terminal: Terminal
) -> list[explain.Line]:
    lines: list[explain.Line] = []
    for file in files:
        text = terminal.stdin.read() if str(file) == "-" else _read(file)
        lines.extend(explain.read(text.splitlines()))
    return lines


def _account(
    files: list[pathlib.Path], step_s: float, terminal: Terminal
) -> None:
    if step_s <= 0:
        raise errors.CliError(
            f"--step must be above 0, not {step_s:g}.", code="bad_step"
        )
    day = account.read(_log_lines(files, terminal))
    if not day.ended:
        raise errors.CliError(
            "No line of these logs tells of a request's end.",
            code="no_requests",
        )
    account_tables.write(day, step_s, terminal.stdout)


def _explain(
    request: str, files: list[pathlib.Path], terminal: Terminal
) -> None:
    lines = _log_lines(files, terminal)
    story = explain.story(lines, request)
    if not story:
        raise errors.CliError(
            f"No line of these logs is about {request}.",
            code="unknown_request",
        )
    for line in story:
        terminal.write(explain.tell(line))
    terminal.write(explain.cause(story))


def _check(document: str, terminal: Terminal) -> None:
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


def _diff(old: str, new: str, terminal: Terminal) -> None:
    before, after = resolve.resolve(old), resolve.resolve(new)
    found = [str(change) for change in snapshot_diff.changes(before, after)]
    found += snapshot_diff.diff_customers(before, after)
    terminal.write(f"Revision {before.revision} -> {after.revision}")
    for line in found or ["Nothing changes."]:
        terminal.write(line)
    if found and after.revision <= before.revision:
        terminal.write(
            "Warning: the revision doesn't rise, so no VM would take this."
        )


def _pack(
    document: str,
    folder: pathlib.Path,
    previous: pathlib.Path | None,
    terminal: Terminal,
) -> None:
    resolve.resolve(document)
    before = publish.publish(_read(previous)) if previous else None
    publication = publish.publish(document, before)
    held = before.texts_by_hash if before else {}
    folder.mkdir(parents=True, exist_ok=True)
    for text_hash, text in publication.texts_by_hash.items():
        if text_hash not in held:
            _write(folder / (parts.PART_PREFIX + text_hash), text, terminal)
    head = parts.encode_head(publication.head)
    _write(folder / parts.HEAD_NAME, head, terminal)


def _write(path: pathlib.Path, text: str, terminal: Terminal) -> None:
    path.write_text(text, encoding="utf-8")
    terminal.write(str(path))


def _status(state: dict[str, Any], terminal: Terminal) -> None:
    width = max(map(len, state), default=0)
    for name, value in state.items():
        text = value if isinstance(value, str) else json.dumps(value)
        terminal.write(f"{name:<{width}}  {text or '-'}")


def _get(url: str) -> Any:
    async def fetch() -> peer_client.Reply:
        client = peer_client.PeerClient()
        return await client.call("GET", url, timeout_s=_CALL_TIMEOUT_S)

    try:
        reply = asyncio.run(fetch())
        if reply.status != _STATUS_OK:
            raise errors.CliError(f"{url} answered {reply.status}")
        return reply.json()
    except (peer_client.PeerError, ValueError) as error:
        raise errors.CliError(f"{url} gives no answer: {error}") from error


def terminal() -> Terminal:
    """Returns the process's own terminal."""
    return Terminal(sys.stdin, sys.stdout, sys.stderr)
