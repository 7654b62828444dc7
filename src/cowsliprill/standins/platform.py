"""A fake platform: a key-value store with long polls, and the VM list.

Interface for clients:
  `GET /v1/values/NAME` returns the value with its revision in `X-Revision`,
  or 404 without a value.
  `GET /v1/values/NAME?above=REVISION&wait_s=S` is a long poll: it returns the
  value once its revision is greater than REVISION, or 204 after `wait_s`
  seconds (404 without a value).
  `GET /v1/vms` returns the list of live and leaving VMs.
Interface for tests and operators:
  `PUT /standin/values/NAME?revision=N`, `PUT /standin/document` (splits and
  publishes a whole settings document), `PUT /standin/vms`,
  `POST /standin/mode`, `GET /standin/calls`.

Failure modes: `up` (no failure); `down` (`how`: `close`, `503` or
`hang`, which keeps the connection open until the mode changes);
`slow` (delays each response by `delay_s`); `stale` (returns each value as of
`back` publications before the mode was set); `half` (truncates each value to
its first half); `garbage` (returns bytes that aren't JSON); `flap` (closes
the connection of `fail` in every `of` calls). `only`, with `values` or `vms`,
limits a mode to one of the two interfaces.
"""

import asyncio
import dataclasses
import json
import pathlib
import time
from typing import Annotated
from typing import Any

import cappa
from tornado import web

from cowsliprill import environment as environment_lib
from cowsliprill import process
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.settings import errors
from cowsliprill.settings import parts
from cowsliprill.settings import publish

_MODES = ("up", "down", "slow", "stale", "half", "garbage", "flap")


@cappa.command(name="platform", help="Run the stand-in of the platform.")
@dataclasses.dataclass
class PlatformCommand:
    """Arguments of the fake platform."""

    host: Annotated[
        str, cappa.Arg(long=True, help="IP number to listen on.")
    ] = "127.0.0.1"
    port: Annotated[
        int, cappa.Arg(long=True, help="Port; 0 lets the kernel pick.")
    ] = 0
    document: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="Settings to publish.")
    ] = None
    vms: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="VM list to serve.")
    ] = None
    calls_per_s: Annotated[
        int, cappa.Arg(long=True, help="Calls answered in a second.")
    ] = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """A revision of a stored value."""

    revision: int
    content: bytes


@dataclasses.dataclass(slots=True)
class PlatformState:
    """Stored values, failure mode and call counts of the fake platform.

    Attributes:
      calls_per_s: Rate limit; calls beyond it in a second get status 429.
      mode: The failure mode with its parameters, as in the module docstring.
      calls: Number of calls by kind, and of those over the rate limit.
      is_stopping: Whether the process stops and long polls must end.
    """

    calls_per_s: int = 2_000
    mode: dict[str, Any] = dataclasses.field(
        default_factory=lambda: {"mode": "up"}
    )
    calls: dict[str, int] = dataclasses.field(
        default_factory=lambda: {"values": 0, "vms": 0, "refused": 0}
    )
    is_stopping: bool = False
    _revisions_by_name: dict[str, list[Value]] = dataclasses.field(
        default_factory=dict
    )
    _stale_values: dict[str, Value] = dataclasses.field(default_factory=dict)
    _last_publication: publish.Publication | None = None
    _changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    _window_start_s: int = 0
    _calls_in_window: int = 0

    def put(self, name: str, content: bytes, revision: int | None) -> None:
        """Stores a value and wakes the long polls.

        Without a revision, the value gets the next one after its last.
        """
        revisions = self._revisions_by_name.setdefault(name, [])
        if revision is None:
            revision = revisions[-1].revision + 1 if revisions else 1
        revisions.append(Value(revision, content))
        self._wake_long_polls()

    def publish(self, document: str) -> parts.Head:
        """Publishes a settings document, with its head last.

        Operators' tools publish in the same order.
        """
        publication = publish.publish(document, self._last_publication)
        for text_hash, text in publication.texts_by_hash.items():
            name = parts.PART_PREFIX + text_hash
            stored_revisions = self._revisions_by_name.get(name)
            if (
                stored_revisions is None
                or stored_revisions[-1].content != text.encode()
            ):
                self.put(name, text.encode(), publication.head.revision)
        self.put(
            parts.HEAD_NAME,
            parts.encode_head(publication.head).encode(),
            publication.head.revision,
        )
        self._last_publication = publication
        return publication.head

    def set_mode(self, mode: dict[str, Any]) -> None:
        """Sets the failure mode, also for long polls in progress."""
        back = mode.get("back", 0)
        self._stale_values = {
            name: revisions[max(0, len(revisions) - 1 - back)]
            for name, revisions in self._revisions_by_name.items()
        }
        self.mode = mode
        self._wake_long_polls()

    def stop(self) -> None:
        """Ends all long polls in progress."""
        self.is_stopping = True
        self.set_mode({"mode": "up"})

    def mode_for(self, kind: str) -> dict[str, Any]:
        """Returns the failure mode of `values` or `vms`."""
        only = self.mode.get("only", kind)
        return self.mode if only == kind else {"mode": "up"}

    def get(self, name: str) -> Value | None:
        """Returns a value, an old revision in the mode `stale`."""
        kind = "vms" if name == "vms" else "values"
        if self.mode_for(kind)["mode"] == "stale":
            return self._stale_values.get(name)
        revisions = self._revisions_by_name.get(name)
        return revisions[-1] if revisions else None

    def admit_call(self, kind: str) -> bool:
        """Counts a call and returns whether the rate limit admits it."""
        self.calls[kind] += 1
        current_second = int(time.monotonic())
        if current_second != self._window_start_s:
            self._window_start_s, self._calls_in_window = current_second, 0
        self._calls_in_window += 1
        if self._calls_in_window <= self.calls_per_s:
            return True
        self.calls["refused"] += 1
        return False

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits at most `timeout_s` for a change of a value or the mode."""
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except TimeoutError:
            pass

    def _wake_long_polls(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class _Handler(web.RequestHandler):
    def initialize(self, platform: PlatformState) -> None:
        self.platform = platform

    async def respond(
        self, name: str, above_revision: int, wait_s: float
    ) -> None:
        """Responds to a read or a long poll, subject to the failure mode.

        Args:
          name: Name of the value, or `vms`.
          above_revision: Revision that the value must exceed, -1 for a read.
          wait_s: Timeout of the long poll in seconds, 0 for a read.
        """
        kind = "vms" if name == "vms" else "values"
        if not self.platform.admit_call(kind):
            self.set_status(429)
            return
        deadline = time.monotonic() + wait_s
        while True:
            mode = self.platform.mode_for(kind)
            if self._is_failing(mode, self.platform.calls[kind]):
                await self._respond_failure(mode)
                return
            value = self.platform.get(name)
            # A stale replica doesn't know of newer revisions: its old value is
            # returned at once, also to a long poll for a newer one.
            stale = mode["mode"] == "stale"
            if value and (value.revision > above_revision or stale):
                break
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0 or self.platform.is_stopping:
                self.set_status(404 if value is None else 204)
                return
            await self.platform.wait_for_change(remaining_s)
        if mode["mode"] == "slow":
            await asyncio.sleep(mode.get("delay_s", 1.0))
        self.set_header("X-Revision", str(value.revision))
        self.set_header("Content-Type", "application/json")
        self.write(_corrupted(value.content, mode))

    def _is_failing(self, mode: dict[str, Any], call_number: int) -> bool:
        if mode["mode"] == "flap":
            return call_number % mode.get("of", 2) < mode.get("fail", 1)
        return mode["mode"] == "down"

    async def _respond_failure(self, mode: dict[str, Any]) -> None:
        match mode.get("how", "close"):
            case "503":
                self.set_status(503)
            case "hang":
                while self.platform.mode == mode:
                    await self.platform.wait_for_change(3600)
                self.detach().close()
            case _:
                self.detach().close()


def _corrupted(content: bytes, mode: dict[str, Any]) -> bytes:
    match mode["mode"]:
        case "half":
            return content[: len(content) // 2]
        case "garbage":
            return b"\xff\xfe not JSON"
        case _:
            return content


class _ValueHandler(_Handler):
    async def get(self, name: str) -> None:
        above_revision = int(self.get_query_argument("above", "-1"))
        wait_s = float(self.get_query_argument("wait_s", "0"))
        await self.respond(name, above_revision, wait_s)


class _VmsHandler(_Handler):
    async def get(self) -> None:
        await self.respond("vms", -1, 0)


class _PutValueHandler(_Handler):
    def put(self, name: str) -> None:
        revision = self.get_query_argument("revision", "")
        revision_number = int(revision) if revision else None
        self.platform.put(name, self.request.body, revision_number)


class _PutVmsHandler(_Handler):
    def put(self) -> None:
        self.platform.put("vms", self.request.body, None)


class _PutDocumentHandler(_Handler):
    def put(self) -> None:
        try:
            head = self.platform.publish(self.request.body.decode())
        except errors.SettingsError as error:
            self.set_status(400)
            self.write({"error": {"code": error.code, "message": str(error)}})
            return
        self.write({"revision": head.revision, "index": head.index})


class _ModeHandler(_Handler):
    def post(self) -> None:
        mode = json.loads(self.request.body)
        if mode.get("mode") not in _MODES:
            self.set_status(400)
            self.write({"modes": list(_MODES)})
            return
        self.platform.set_mode(mode)
        self.write(mode)


class _CallsHandler(_Handler):
    def get(self) -> None:
        self.write(self.platform.calls)


def _load_initial_values(
    platform: PlatformState, arguments: PlatformCommand
) -> None:
    if arguments.document:
        platform.publish(arguments.document.read_text(encoding="utf-8"))
    if arguments.vms:
        platform.put("vms", arguments.vms.read_bytes(), None)


async def serve(arguments: PlatformCommand) -> None:
    """Serves the fake platform until a stop signal.

    Args:
      arguments: The command-line arguments.
    """
    platform = PlatformState(calls_per_s=arguments.calls_per_s)
    _load_initial_values(platform, arguments)

    async def drain() -> None:
        platform.stop()

    server_process = process.Process(
        environment_lib.Environment(
            vm="platform",
            availability_zone="platform",
            process="platform",
            host=arguments.host,
            port=arguments.port,
        ),
        log_lib.open_log("platform"),
        metrics_lib.Metrics(),
        unready_reason=lambda: "",
        status=lambda: {"mode": platform.mode, "calls": platform.calls},
        drain=drain,
    )
    handler_arguments = {"platform": platform}
    server_process.listen(
        [
            (r"/v1/values/(.+)", _ValueHandler, handler_arguments),
            (r"/v1/vms", _VmsHandler, handler_arguments),
            (r"/standin/values/(.+)", _PutValueHandler, handler_arguments),
            (r"/standin/vms", _PutVmsHandler, handler_arguments),
            (r"/standin/document", _PutDocumentHandler, handler_arguments),
            (r"/standin/mode", _ModeHandler, handler_arguments),
            (r"/standin/calls", _CallsHandler, handler_arguments),
        ]
    )
    await server_process.run_until_stopped()
