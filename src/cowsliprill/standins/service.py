"""Stand-in of a plain service, with a journal of what it ran."""

import asyncio
import dataclasses
import hashlib
import json
from typing import Annotated
from typing import Any

import cappa

from cowsliprill.engines import protocol
from cowsliprill.standins import misbehaviour as misbehaviour_lib
from cowsliprill.standins import shell


@cappa.command(name="service", help="Stand-in of a plain service.")
@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceCommand:
    """A plain service's stand-in.

    Attributes:
      id: Its id.
      host: IP number to listen on.
      port: TCP port, 0 for any.
      seconds_per_call: How long a call takes to run.
      checks_idempotency_keys: Whether it runs a key at most once.
    """

    id: Annotated[str, cappa.Arg(long=True)]
    host: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True)] = 0
    seconds_per_call: Annotated[float, cappa.Arg(long=True)] = 0.01
    checks_idempotency_keys: Annotated[bool, cappa.Arg(long=True)] = False


@dataclasses.dataclass(slots=True, kw_only=True)
class JournalEntry:
    """One call that was run.

    Attributes:
      request_id: The call's id.
      idempotency_key: Its key, empty if none.
      method: HTTP method.
      path: Path and query.
      body_sha256: Digest of its body.
    """

    request_id: str
    idempotency_key: str
    method: str
    path: str
    body_sha256: str


class Service:
    """The stand-in's state.

    Args:
      command: Its configuration.

    Attributes:
      command: Its configuration.
      conduct: Its misbehaviour.
      journal: Every call that it ran, in order.
    """

    def __init__(self, command: ServiceCommand) -> None:
        self.command = command
        self.conduct = misbehaviour_lib.Conduct()
        self.journal: list[JournalEntry] = []
        self._answers_by_key: dict[str, asyncio.Future[bytes]] = {}
        self._last_answer = b"{}"

    async def run(
        self,
        entry: JournalEntry,
        body: bytes,
        conduct: misbehaviour_lib.Misbehaviour,
    ) -> bytes:
        """Runs a call, or returns what its key's first run gave.

        Args:
          entry: The call.
          body: Its body.
          conduct: What to do wrong.

        Returns:
          The answer's body.
        """
        key = entry.idempotency_key
        if not key or not self.command.checks_idempotency_keys:
            return await self._run_once(entry, body, conduct)
        first = self._answers_by_key.get(key)
        if first is not None:
            return await asyncio.shield(first)
        answer = asyncio.ensure_future(self._run_once(entry, body, conduct))
        self._answers_by_key[key] = answer
        return await asyncio.shield(answer)

    def routes(self) -> list[tuple]:
        """Returns the tornado routes."""
        service = {"service": self}
        return [
            (
                shell.MISBEHAVE_PATH,
                shell.MisbehaveHandler,
                {"conduct": self.conduct},
            ),
            (shell.JOURNAL_PATH, _JournalHandler, service),
            (r"/.*", _CallHandler, service),
        ]

    async def _run_once(
        self,
        entry: JournalEntry,
        body: bytes,
        conduct: misbehaviour_lib.Misbehaviour,
    ) -> bytes:
        self.journal.append(entry)
        number = len(self.journal)
        await asyncio.sleep(self.command.seconds_per_call * conduct.slow_factor)
        answer = {
            "service": self.command.id,
            "number": number,
            "method": entry.method,
            "path": entry.path,
            "received": body.decode(errors="replace"),
        }
        last = self._last_answer
        self._last_answer = json.dumps(answer).encode()
        return last if conduct.swap else self._last_answer


class _CallHandler(shell.Handler):
    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")

    def initialize(self, service: Service) -> None:
        self._service = service

    async def _call(self) -> None:
        request = self.request
        conduct = self._service.conduct.take()
        if conduct.cut_before_run:
            self.cut()
            return
        if conduct.refuse:
            await self.refuse(conduct)
            return
        headers = request.headers
        entry = JournalEntry(
            request_id=headers.get(protocol.REQUEST_ID_HEADER, ""),
            idempotency_key=headers.get(protocol.IDEMPOTENCY_KEY_HEADER, ""),
            method=request.method,
            path=request.uri,
            body_sha256=hashlib.sha256(request.body).hexdigest(),
        )
        answer = await self._service.run(entry, request.body, conduct)
        await asyncio.sleep(conduct.delay_s)
        await self._answer(answer, conduct)

    async def _answer(
        self, answer: bytes, conduct: misbehaviour_lib.Misbehaviour
    ) -> None:
        if conduct.foreign_id:
            self.set_header(protocol.REQUEST_ID_HEADER, "another.e0.x.1.0")
        self.set_header("Content-Type", "application/json")
        self.set_header("Content-Length", str(len(answer)))
        if conduct.cut_at_byte is None:
            self.finish(answer)
            return
        self.write(answer[: conduct.cut_at_byte])
        await self.flush()
        self.cut()

    get = head = post = put = patch = delete = _call


class _JournalHandler(shell.Handler):
    def initialize(self, service: Service) -> None:
        self._service = service

    def get(self) -> None:
        entries: list[dict[str, Any]] = [
            dataclasses.asdict(entry) for entry in self._service.journal
        ]
        self.finish({"ran": entries})


async def serve(command: ServiceCommand) -> None:
    """Serves until SIGTERM.

    Args:
      command: Its configuration.
    """
    service = Service(command)
    server = shell.Server(service.routes(), command.host, command.port)
    await shell.run_until_signal(
        f"standin.{command.id}", server, role="service"
    )
