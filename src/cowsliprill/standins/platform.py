"""Stand-in of the platform: values to read and watch, and the VM list.

Readers' interface:
  `GET /v1/values/NAME` -> the value's bytes, with `X-Revision`; 404 if none.
  `GET /v1/values/NAME?above=REVISION&wait_s=S` -> the value as soon as its
  revision is above; after `wait_s` 204.
  `GET /v1/vms` -> the list of live and leaving VMs.
Tests' and operators' interface:
  `PUT /standin/values/NAME?revision=N`, `PUT /standin/document` (splits and
  publishes a whole document), `PUT /standin/vms`, `POST /standin/mode`,
  `GET /standin/calls`.

Modes: `up`; `down` (`how`: `close`, `503` or `hang`); `slow` (`delay_s`);
`stale` (answers as of `back` publications before the switch); `half` (the
first half of each value); `garbage` (bytes that aren't JSON); `flap` (`fail`
of each `of` calls are cut). Each may be limited to `only`: `values` or `vms`.
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
    """Arguments of the platform's stand-in."""

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
    """A value with its revision."""

    revision: int
    content: bytes


@dataclasses.dataclass(slots=True)
class Platform:
    """What the stand-in holds.

    Attributes:
      calls_per_s: Calls answered in a second; the others get 429.
      mode: How it misbehaves.
      calls: Counted calls by kind.
      stopping: Whether waiting watches are to be let go.
    """

    calls_per_s: int = 2_000
    mode: dict[str, Any] = dataclasses.field(
        default_factory=lambda: {"mode": "up"}
    )
    calls: dict[str, int] = dataclasses.field(
        default_factory=lambda: {"values": 0, "vms": 0, "refused": 0}
    )
    stopping: bool = False
    _history: dict[str, list[Value]] = dataclasses.field(default_factory=dict)
    _frozen: dict[str, Value] = dataclasses.field(default_factory=dict)
    _publication: publish.Publication | None = None
    _changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    _second: int = 0
    _in_second: int = 0

    def put(self, name: str, content: bytes, revision: int | None) -> None:
        """Sets a value and wakes the watches."""
        history = self._history.setdefault(name, [])
        if revision is None:
            revision = history[-1].revision + 1 if history else 1
        history.append(Value(revision, content))
        self._wake()

    def publish(self, document: str) -> parts.Head:
        """Publishes a document as an operator's tool does: head last."""
        publication = publish.publish(document, self._publication)
        for text_hash, text in publication.texts_by_hash.items():
            name = parts.PART_PREFIX + text_hash
            held = self._history.get(name)
            if held is None or held[-1].content != text.encode():
                self.put(name, text.encode(), publication.head.revision)
        self.put(
            parts.HEAD_NAME,
            parts.encode_head(publication.head).encode(),
            publication.head.revision,
        )
        self._publication = publication
        return publication.head

    def set_mode(self, mode: dict[str, Any]) -> None:
        """Changes how it misbehaves; waiting watches meet it at once."""
        back = mode.get("back", 0)
        self._frozen = {
            name: history[max(0, len(history) - 1 - back)]
            for name, history in self._history.items()
        }
        self.mode = mode
        self._wake()

    def stop(self) -> None:
        """Lets all waiting watches go."""
        self.stopping = True
        self.set_mode({"mode": "up"})

    def mode_for(self, kind: str) -> dict[str, Any]:
        """Returns the mode that holds for `values` or `vms`."""
        only = self.mode.get("only", kind)
        return self.mode if only == kind else {"mode": "up"}

    def get(self, name: str) -> Value | None:
        """Returns a value as a reader gets it in the present mode."""
        kind = "vms" if name == "vms" else "values"
        if self.mode_for(kind)["mode"] == "stale":
            return self._frozen.get(name)
        history = self._history.get(name)
        return history[-1] if history else None

    def count(self, kind: str) -> bool:
        """Counts a call; returns whether it is within the rate."""
        self.calls[kind] += 1
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._in_second = second, 0
        self._in_second += 1
        if self._in_second <= self.calls_per_s:
            return True
        self.calls["refused"] += 1
        return False

    async def changed(self, timeout_s: float) -> None:
        """Waits for the next change of a value or the mode."""
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except TimeoutError:
            pass

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class _Handler(web.RequestHandler):
    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    async def answer(self, name: str, above: int, wait_s: float) -> None:
        """Answers a read (`above` -1) or a watch, as the mode says."""
        kind = "vms" if name == "vms" else "values"
        if not self.platform.count(kind):
            self.set_status(429)
            return
        ends_at = time.monotonic() + wait_s
        while True:
            mode = self.platform.mode_for(kind)
            if self._fails(mode, self.platform.calls[kind]):
                await self._fail(mode)
                return
            value = self.platform.get(name)
            # A stale replica answers with what it has, not knowing better.
            stale = mode["mode"] == "stale"
            if value and (value.revision > above or stale):
                break
            left = ends_at - time.monotonic()
            if left <= 0 or self.platform.stopping:
                self.set_status(404 if value is None else 204)
                return
            await self.platform.changed(left)
        if mode["mode"] == "slow":
            await asyncio.sleep(mode.get("delay_s", 1.0))
        self.set_header("X-Revision", str(value.revision))
        self.set_header("Content-Type", "application/json")
        self.write(_spoilt(value.content, mode))

    def _fails(self, mode: dict[str, Any], call: int) -> bool:
        if mode["mode"] == "flap":
            return call % mode.get("of", 2) < mode.get("fail", 1)
        return mode["mode"] == "down"

    async def _fail(self, mode: dict[str, Any]) -> None:
        match mode.get("how", "close"):
            case "503":
                self.set_status(503)
            case "hang":
                while self.platform.mode == mode:
                    await self.platform.changed(3600)
                self.detach().close()
            case _:
                self.detach().close()


def _spoilt(content: bytes, mode: dict[str, Any]) -> bytes:
    match mode["mode"]:
        case "half":
            return content[: len(content) // 2]
        case "garbage":
            return b"\xff\xfe not JSON"
        case _:
            return content


class _ValueHandler(_Handler):
    async def get(self, name: str) -> None:
        above = int(self.get_query_argument("above", "-1"))
        wait_s = float(self.get_query_argument("wait_s", "0"))
        await self.answer(name, above, wait_s)


class _VmsHandler(_Handler):
    async def get(self) -> None:
        await self.answer("vms", -1, 0)


class _PutValueHandler(_Handler):
    def put(self, name: str) -> None:
        revision = self.get_query_argument("revision", "")
        number = int(revision) if revision else None
        self.platform.put(name, self.request.body, number)


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


def _load(platform: Platform, arguments: PlatformCommand) -> None:
    if arguments.document:
        platform.publish(arguments.document.read_text(encoding="utf-8"))
    if arguments.vms:
        platform.put("vms", arguments.vms.read_bytes(), None)


async def serve(arguments: PlatformCommand) -> None:
    """Runs the stand-in until it is told to stop.

    Args:
      arguments: The command's arguments.
    """
    platform = Platform(calls_per_s=arguments.calls_per_s)
    _load(platform, arguments)

    async def drain() -> None:
        platform.stop()

    shell = process.Process(
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
    options = {"platform": platform}
    shell.listen(
        [
            (r"/v1/values/(.+)", _ValueHandler, options),
            (r"/v1/vms", _VmsHandler, options),
            (r"/standin/values/(.+)", _PutValueHandler, options),
            (r"/standin/vms", _PutVmsHandler, options),
            (r"/standin/document", _PutDocumentHandler, options),
            (r"/standin/mode", _ModeHandler, options),
            (r"/standin/calls", _CallsHandler, options),
        ]
    )
    await shell.run_until_stopped()
